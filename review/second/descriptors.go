package main

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

func init() { cases["descriptors"] = descriptorsCase }

// descriptorsCase: a healthy fleet, and a proxy with 256 descriptors, of which its clients hold a third at most.
func descriptorsCase(r *rig) error {
	const (
		clients = 80
		service = 80 * time.Millisecond // of a read at a cache node
		rate    = 1000                  // requests a second, all clients together
		length  = 25 * time.Second
	)
	value := strings.Repeat("m", 64<<10)
	o, err := newOrigin(func(q originRequest) bool {
		io.Copy(io.Discard, q.Body)
		return q.answer(200, "value of "+q.key)
	})
	if err != nil {
		return err
	}
	members := []member{o.member}
	for i := range 36 {
		c, err := newCache(fmt.Sprintf("s-%d", i), "kochi-dc", i/6)
		if err != nil {
			return err
		}
		c.get = func(key, id, attrs string, _ <-chan struct{}) (string, bool) {
			time.Sleep(service)
			return value, true
		}
		members = append(members, c.member)
	}
	d, err := newRegistry(members...)
	if err != nil {
		return err
	}
	listen := freeAddr()
	settings := config("n0", listen, d.addr(), d.known(), siteClasses())
	sockets := 256
	if !r.trouble {
		sockets = 1024
	}
	settings["limits"].(map[string]any)["sockets"] = sockets
	settings["settings"].(map[string]any)["areas"] = []any{"kochi-dc"}
	p, err := r.startProxy(proxySpec{name: "n0", listen: listen, config: settings})
	if err != nil {
		return err
	}
	if err := r.awaitReady(p); err != nil {
		return err
	}
	var mu sync.Mutex
	served, refused, failed, closedOnce, lost := 0, 0, 0, 0, 0
	end := time.Now().Add(length)
	var all sync.WaitGroup
	for n := range clients {
		all.Go(func() {
			var c *respConn
			next := time.Now().Add(time.Duration(n) * time.Second / rate)
			for i := 0; time.Now().Before(end); i++ {
				time.Sleep(time.Until(next))
				next = next.Add(time.Duration(clients) * time.Second / rate)
				id := fmt.Sprintf("i%d-%d", n, i)
				kept := c != nil
				var a reply
				var err error
				first := error(nil)
				for {
					if c == nil {
						if c, err = dial(listen); err != nil {
							break
						}
					}
					c.conn.SetDeadline(time.Now().Add(4 * time.Second))
					if a, err = c.call("OBJ.GET", fmt.Sprintf("%x", 256+(i*clients+n)%3000), id, "c=tile-read,d=3000"); err == nil {
						break
					}
					c.close()
					c = nil
					if !kept || first != nil { // it was closed on a new connection
						break
					}
					first = err // sent once more on a new connection, as the protocol has it
				}
				mu.Lock()
				if first != nil {
					closedOnce++
				}
				switch {
				case err != nil:
					if lost++; lost <= 40 {
						r.logf("client %d: %s was sent on a new connection, which ended with no answer: %v (before, on a kept one: %v)", n, id, err, first)
					}
				case a.served && len(a.text) == len(value):
					served++
				case a.busy:
					refused++
				default:
					failed++
				}
				mu.Unlock()
			}
			if c != nil {
				c.close()
			}
		})
	}
	all.Wait()
	r.logf("%d clients, %d descriptors: %d served, %d refused, %d failed; %d sent once more on a new connection; %d with no answer there either", clients, sockets, served, refused, failed, closedOnce, lost)
	if served == 0 {
		return errors.New("nothing was served")
	}
	if lost > 0 {
		r.breaks("%d requests of %d got no answer, on a new connection either", lost, served+refused+failed+lost)
	}
	return nil
}
