package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"linenloom/review/rig"
)

const (
	burstMemoryMB    = 64  // DAYS: a proxy has 32 to 192 MB
	burstDescriptors = 512 // and 256 to 1,024 descriptors
	burstCaches      = 36  // BRIEF: 30 to 42 tile boxes today
	burstClients     = 100 // connections; clients hold a third of the descriptors at most
	burstReads       = 32  // commands of a client at once
	burstRounds      = 5
	burstValue       = 64 << 10 // PROTOCOL: values hold at most 64 KiB
)

// burst plays clients that ask for many tiles of 64 KiB. The trouble: each sends its commands at once, where it else sends
// one after the other. The rule: a proxy stays under its memory limit; over it the platform kills it.
func burst(p *play) error {
	registry, err := rig.NewRegistry()
	if err != nil {
		return err
	}
	defer registry.Close()
	origin, err := rig.NewOrigin()
	if err != nil {
		return err
	}
	defer origin.Close()
	registry.Set(member("o-1", origin.Addr, "origin"))
	padding := strings.Repeat(".", burstValue)
	value := func(key, id string) string { return (rig.Value(key, id) + padding)[:burstValue] }
	for i := range burstCaches {
		cache, err := rig.NewCache(fmt.Sprintf("s-%d", i+1))
		if err != nil {
			return err
		}
		defer cache.Close()
		cache.Takes = func(rig.Read) time.Duration { return 3 * time.Millisecond }
		cache.OnRead = func(r rig.Read) { p.Printf("%s: read %s %s %s", r.Cache, r.Key, r.ID, r.List) }
		cache.Value = func(r rig.Read) string { return value(r.Key, r.ID) }
		registry.Set(member(cache.ID, cache.Addr, "standard"))
	}
	settings := rig.Settings(1, 0, "automatic", rig.Class("tile-read", "repeatable", 800, 3000, 5000, 5),
		rig.Class("pass-order", "once", 1500, 6000, 5000, 15))
	c, err := config("n0", p.seed, registry, settings)
	if err != nil {
		return err
	}
	c.Limits["memory_mb"], c.Limits["sockets"] = burstMemoryMB, burstDescriptors
	proxy, err := p.start(c)
	if err != nil {
		return err
	}
	ended, watched := make(chan struct{}), make(chan struct{})
	go func() { // the platform's limit
		defer close(watched)
		most := 0
		defer func() {
			p.Printf("platform: the proxy's own memory (RssAnon) was at most %d KB", most)
			if most > burstMemoryMB<<10 {
				p.breaks("the proxy's own memory was %d KB, and its limit is %d MB: over it the platform kills it", most, burstMemoryMB)
			}
		}()
		for {
			select {
			case <-ended:
				return
			case <-time.After(time.Millisecond):
			}
			most = max(most, rssAnonKB(proxy.Pid()))
		}
	}()
	counts := map[string]int{}
	var mu sync.Mutex
	for round := range burstRounds {
		var group sync.WaitGroup
		for i := range burstClients {
			group.Go(func() {
				client, err := rig.Dial(proxy.Listen)
				for j := 0; err == nil && j < burstReads; j++ {
					command := rig.Command("OBJ.GET", fmt.Sprintf("key%d", (i*burstReads+j)%700), fmt.Sprintf("r%d-%d-%d", round, i, j), "c=tile-read,d=3000")
					if p.trouble && j == 0 {
						for more := 1; more < burstReads; more++ {
							command = append(command, rig.Command("OBJ.GET", fmt.Sprintf("key%d", (i*burstReads+more)%700), fmt.Sprintf("r%d-%d-%d", round, i, more), "c=tile-read,d=3000")...)
						}
					}
					if !p.trouble || j == 0 {
						_, err = client.Conn.Write(command)
					}
					var reply rig.Reply
					if err == nil {
						reply, err = client.Read(10 * time.Second)
					}
					p.Printf("client %d-%d: command %d answered %.12q, %d bytes, %v", round, i, j, reply.Text, len(reply.Text), err)
					mu.Lock()
					switch {
					case err != nil:
						counts["no answer"] += burstReads - j
					case reply.Served():
						counts["served"]++
					case reply.Refused():
						counts["refused"]++
					default:
						counts["failed"]++
					}
					mu.Unlock()
				}
				if client != nil {
					client.Close()
				}
			})
		}
		group.Wait()
		p.Printf("after burst %d: %v", round, counts)
		time.Sleep(500 * time.Millisecond)
	}
	close(ended)
	<-watched
	if counts["served"] == 0 {
		return fmt.Errorf("no read was served")
	}
	return nil
}

// rssAnonKB returns the resident memory of a process without that of its program file; 0 if it is unknown.
func rssAnonKB(pid int) (kb int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			fmt.Sscan(rest, &kb)
		}
	}
	return kb
}
