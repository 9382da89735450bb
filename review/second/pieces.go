package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

func init() { cases["pieces"] = piecesCase }

// piecesCase: discovery is one service that is asked. It writes the lines of a watch in two pieces, a fifth of a second
// apart. A cache node drains.
func piecesCase(r *rig) error {
	const pause = 200 * time.Millisecond
	// A change counts as told 6 s after discovery had it at the latest. Then the grace and the slack of the rule apply.
	const toldAfter, grace = 6 * time.Second, 300 * time.Millisecond
	o, err := newOrigin(func(q originRequest) bool {
		io.Copy(io.Discard, q.Body)
		return q.answer(200, "value of "+q.key)
	})
	if err != nil {
		return err
	}
	members := []member{o.member}
	var mu sync.Mutex
	var drainTold time.Time // when the drain counts as told
	late, sent := 0, 0
	var draining member
	for i := range 6 {
		c, err := newCache(fmt.Sprintf("s-%d", i), "kochi-dc", i/2)
		if err != nil {
			return err
		}
		c.get = func(key, id, attrs string, _ <-chan struct{}) (string, bool) {
			mu.Lock()
			if i == 2 {
				if sent++; !drainTold.IsZero() && time.Since(drainTold) > grace {
					if late++; late <= 20 {
						r.logf("the draining cache node s-2 gets %s, id %s, %d ms after the drain counts as told", key, id, time.Since(drainTold).Milliseconds())
					}
				}
			}
			mu.Unlock()
			return "value of " + key, true
		}
		members = append(members, c.member)
		if i == 2 {
			draining = c.member
		}
	}
	d, err := newRegistry(members...)
	if err != nil {
		return err
	}
	if r.trouble {
		d.setPause(pause)
	}
	tells := 0
	d.told = func(revision int64) {
		mu.Lock()
		if now := time.Now(); revision >= 2 && now.Before(drainTold) {
			drainTold = now
		}
		tells++
		mu.Unlock()
		r.logf("discovery has written all of a line, up to revision %d", revision)
	}
	listen := freeAddr()
	settings := config("n0", listen, d.addr(), d.known(), siteClasses())
	settings["settings"].(map[string]any)["discovery"] = "subscribe"
	p, err := r.startProxy(proxySpec{name: "n0", listen: listen, config: settings})
	if err != nil {
		return err
	}
	if err := r.awaitReady(p); err != nil {
		return err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 4 {
		clients.Go(func() {
			c, err := dial(listen)
			if err != nil {
				return
			}
			defer c.close()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(15 * time.Millisecond):
				}
				if _, err := c.call("OBJ.GET", fmt.Sprintf("%x", 1000+(i*4+n)%200), fmt.Sprintf("i%d-%d", n, i), "c=tile-read,d=3000"); err != nil {
					return
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	draining.Phase = "terminating"
	r.logf("s-2 begins to drain: discovery has the change")
	mu.Lock()
	drainTold = time.Now().Add(toldAfter)
	mu.Unlock()
	d.update(draining)
	time.Sleep(16 * time.Second)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	d.mu.Lock()
	calls := d.calls
	d.mu.Unlock()
	r.logf("s-2 got %d reads, %d of them more than 300 ms after the drain counts as told; discovery was called %d times, %d lines were read to their end", sent, late, calls, tells)
	if late > 0 {
		r.breaks("the draining cache node got %d reads more than 300 ms after its drain counts as told", late)
	}
	if sent < 20 {
		return fmt.Errorf("s-2 got only %d reads", sent)
	}
	return nil
}
