package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"linenloom/review/rig"
)

const (
	copiesProxies = 3
	copiesClients = 6 // of each proxy
	copiesRounds  = 5
	copiesFor     = 6 * time.Second // a round; each round starts the proxies anew
	copyOneIn     = 100             // answers of a cache node, one in so many, come twice
)

// copies plays cache nodes that take one request at a time on a connection. The trouble: one answer in a hundred comes
// twice, the second copy some milliseconds late. The rule: a client is served with nothing but the value that was made for
// its request.
func copies(p *play) error {
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
	for i := range 3 {
		cache, err := rig.NewCache(fmt.Sprintf("s-%d", i+1))
		if err != nil {
			return err
		}
		defer cache.Close()
		cache.OnRead = func(r rig.Read) { p.Printf("%s: read %s %s %s", r.Cache, r.Key, r.ID, r.List) }
		cache.Takes = func(rig.Read) time.Duration { return 10*time.Millisecond + rand.N(10*time.Millisecond) }
		if p.trouble {
			random, mu := rand.New(rand.NewPCG(p.seed, uint64(i))), sync.Mutex{}
			cache.Copy = func(r rig.Read) time.Duration {
				mu.Lock()
				defer mu.Unlock()
				if random.IntN(copyOneIn) > 0 {
					return 0
				}
				late := time.Duration(2+random.IntN(9)) * time.Millisecond
				p.Printf("%s: the answer to %s comes again %v later", r.Cache, r.ID, late)
				return late
			}
		}
		registry.Set(member(cache.ID, cache.Addr, "standard"))
	}
	counts := map[string]int{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	for round := range copiesRounds {
		for n := range copiesProxies {
			settings := rig.Settings(copiesProxies, n, "automatic", rig.Class("tile-read", "repeatable", 800, 3000, 5000, 5),
				rig.Class("pass-order", "once", 1500, 6000, 5000, 15))
			settings["limits"].(map[string]any)["multiplex"] = 1
			name := fmt.Sprintf("n%d-%d", n, round)
			c, err := config(name, p.seed*1000+uint64(round*copiesProxies+n), registry, settings)
			if err != nil {
				return err
			}
			proxy, err := p.start(c)
			if err != nil {
				return err
			}
			until := time.Now().Add(copiesFor)
			for i := range copiesClients {
				clients.Go(func() {
					client, err := rig.Dial(proxy.Listen)
					for j := 0; err == nil && time.Now().Before(until); j++ {
						key, id := fmt.Sprintf("key%d", (i*37+j*11)%400), fmt.Sprintf("%s-%d-%d", name, i, j)
						var reply rig.Reply
						if reply, err = client.Do(4*time.Second, "OBJ.GET", key, id, "c=tile-read,d=3000"); err != nil {
							break
						}
						p.Printf("client %s-%d: %s %s answered %q", name, i, key, id, reply.Text)
						mu.Lock()
						switch {
						case !reply.Served():
							counts["other"]++
						case reply.Text != "$"+rig.Value(key, id):
							counts["foreign"]++
						default:
							counts["served"]++
						}
						mu.Unlock()
						if reply.Served() && reply.Text != "$"+rig.Value(key, id) {
							p.breaks("request %s for %s was served with %q", id, key, reply.Text)
						}
					}
					if err != nil {
						p.Printf("client %s-%d: %v", name, i, err)
					}
					if client != nil {
						client.Close()
					}
				})
			}
		}
		clients.Wait()
		p.end()
	}
	p.Printf("reads: %v", counts)
	if counts["served"] == 0 {
		return fmt.Errorf("no read was served")
	}
	return nil
}
