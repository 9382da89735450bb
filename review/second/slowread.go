package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

func init() { cases["slowread"] = slowReadCase }

// slowReadCase: clients read a value of 4 MiB steadily, and slowly.
func slowReadCase(r *rig) error {
	o, err := newOrigin(func(q originRequest) bool {
		io.Copy(io.Discard, q.Body)
		return q.answer(200, "value of "+q.key)
	})
	if err != nil {
		return err
	}
	members := []member{o.member}
	long := strings.Repeat("m", 4<<20)
	for i := range 4 {
		c, err := newCache(fmt.Sprintf("s-%d", i), "kochi-dc", i/2)
		if err != nil {
			return err
		}
		c.get = func(key, id, attrs string, _ <-chan struct{}) (string, bool) {
			r.logf("%s: gives %s whole", c.ID, key)
			return long, true
		}
		members = append(members, c.member)
	}
	d, err := newRegistry(members...)
	if err != nil {
		return err
	}
	listen := freeAddr()
	p, err := r.startProxy(proxySpec{name: "n0", listen: listen, config: config("n0", listen, d.addr(), d.known(), siteClasses())})
	if err != nil {
		return err
	}
	if err := r.awaitReady(p); err != nil {
		return err
	}
	var clients sync.WaitGroup
	for i, rate := range []int{120, 160, 200, 500} {
		if !r.trouble {
			rate = 50000
		}
		clients.Go(func() {
			c, err := dial(listen)
			if err != nil {
				r.logf("client %d: %v", i, err)
				return
			}
			defer c.close()
			c.send("OBJ.GET", fmt.Sprintf("%x", 256+i), fmt.Sprintf("s%d", i), "c=tile-read,d=3000")
			began, last, longest := time.Now(), time.Now(), time.Duration(0)
			received, piece := 0, make([]byte, 8<<10)
			for received < len(long)+12 {
				n, err := c.conn.Read(piece)
				received += n
				longest = max(longest, time.Since(last))
				if err != nil {
					r.logf("client %d, at %d KB/s: %v after %d bytes and %d ms; it waited %d ms at most for a piece", i, rate, err, received, time.Since(began).Milliseconds(), longest.Milliseconds())
					r.breaks("the value of client %d, which reads %d KB/s, was cut off after %d of %d bytes", i, rate, received, len(long))
					return
				}
				time.Sleep(time.Until(began.Add(time.Duration(received) * time.Second / time.Duration(rate*1000))))
				last = time.Now()
			}
			r.logf("client %d, at %d KB/s: all after %d ms; it waited %d ms at most for a piece", i, rate, time.Since(began).Milliseconds(), longest.Milliseconds())
		})
	}
	clients.Wait()
	return nil
}
