package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"linenloom/review/rig"
)

const (
	keyedWindow = 1000 * time.Millisecond // the class's window_ms
	slack       = 50 * time.Millisecond   // PROTOCOL: each time limit is 50 ms longer
	keyedBursts = 16
	keyedBurst  = 40 // orders at once
)

// keyed sends bursts of keyed orders to an origin that takes 1.08 to 1.14 s for each. The trouble: in each burst the
// connections of two orders are reset under them, 0.9 to 0.96 s after they came and were carried out. The rule: an order
// that may have run is sent again only while its repeats are dropped.
func keyed(p *play) error {
	random, service := rand.New(rand.NewPCG(p.seed, 1)), rand.New(rand.NewPCG(p.seed, 2)) // service: guarded by mu
	within60ms := func() time.Duration { return time.Duration(service.Int64N(int64(60 * time.Millisecond))) }
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
	cache, err := rig.NewCache("s-1")
	if err != nil {
		return err
	}
	defer cache.Close()

	type effect struct {
		came  time.Time // when the first copy's last byte had come
		until time.Time // until when repeats are dropped
		runs  int
	}
	var mu sync.Mutex
	effects := map[string]*effect{}
	resetsLeft := 0 // in this burst
	origin.OnPut = func(put rig.Put) rig.Verdict {
		mu.Lock()
		defer mu.Unlock()
		k := rig.Attribute(put.List, "k")
		verdict := rig.Verdict{After: 1080*time.Millisecond + within60ms(), Body: rig.Value(put.Key, put.ID)}
		e := effects[k]
		switch {
		case e == nil:
			effects[k] = &effect{put.Came, put.Came.Add(keyedWindow), 1}
			p.Printf("origin: k=%s id=%s carried out", k, put.ID)
			if resetsLeft > 0 {
				resetsLeft--
				verdict = rig.Verdict{After: 900*time.Millisecond + within60ms(), Reset: true}
				p.Printf("origin: k=%s will be reset after %v", k, verdict.After)
			}
		case put.Came.Before(e.until):
			p.Printf("origin: k=%s id=%s is a repeat after %v, dropped", k, put.ID, put.Came.Sub(e.came))
			verdict.After = 0
		default:
			e.runs++
			p.Printf("origin: k=%s id=%s carried out again, %v after the first copy", k, put.ID, put.Came.Sub(e.came))
			if late := put.Began.Sub(e.came); late > keyedWindow+slack {
				p.breaks("order k=%s ran %d times: its repeat was sent %v after the first copy had come; repeats are dropped for %v",
					k, e.runs, late.Round(time.Millisecond), keyedWindow)
			}
		}
		return verdict
	}
	registry.Set(member("s-1", cache.Addr, "standard"))
	registry.Set(member("o-1", origin.Addr, "origin"))
	settings := rig.Settings(1, 0, "automatic", rig.Class("tile-read", "repeatable", 800, 3000, 5000, 5),
		rig.Class("pass-order", "by_key", 1500, 6000, float64(keyedWindow.Milliseconds()), 15))
	c, err := config("n0", p.seed, registry, settings)
	if err != nil {
		return err
	}
	proxy, err := p.start(c)
	if err != nil {
		return err
	}
	served, refused, failed, lost := 0, 0, 0, 0
	for burst := range keyedBursts {
		mu.Lock()
		if p.trouble && burst > 0 { // the first burst is undisturbed
			resetsLeft = 2
		}
		mu.Unlock()
		var clients sync.WaitGroup
		for i := range keyedBurst {
			// A try is given up after 70 to 100% of the class's give-up time.
			deadline := 4200 + random.IntN(1800)
			k := fmt.Sprintf("%d-%d", burst, i)
			clients.Go(func() {
				reply, err := ask(proxy.Listen, time.Duration(deadline)*time.Millisecond, "OBJ.SET", "key"+k, "id"+k,
					fmt.Sprintf("c=pass-order,d=%d,k=%s", deadline, k), "a printed map")
				p.Printf("client: k=%s d=%d answered %.40q %v", k, deadline, reply.Text, err)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err != nil:
					lost++
				case reply.Served():
					served++
				case reply.Refused():
					refused++
				default:
					failed++
				}
			})
		}
		clients.Wait()
		time.Sleep(500 * time.Millisecond)
	}
	p.Printf("orders: %d served, %d refused, %d failed, %d without an answer", served, refused, failed, lost)
	if served == 0 {
		return fmt.Errorf("no order was served")
	}
	return nil
}

// ask sends one command on a connection of its own.
func ask(addr string, within time.Duration, words ...string) (rig.Reply, error) {
	client, err := rig.Dial(addr)
	if err != nil {
		return rig.Reply{}, err
	}
	defer client.Close()
	return client.Do(within+500*time.Millisecond, words...)
}
