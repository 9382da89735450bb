package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["window"] = windowCase }

// windowCase: a keyed write may be sent again only while its first attempt is remembered. The origin carries the first
// attempt out and resets its connection; while the second attempt is written, it hangs for a moment.
func windowCase(r *rig) error {
	const window = 1500 * time.Millisecond
	var mu sync.Mutex
	firstRun := map[string]time.Time{} // by idempotency key: when the first attempt's last byte came
	runs := map[string]int{}
	o, err := newOrigin(func(q originRequest) bool {
		k := attribute(q.attrs, "k")
		q.conn.(*net.TCPConn).SetReadBuffer(64 << 10) // the rest waits at the proxy
		if k == "" {
			io.Copy(io.Discard, q.Body)
			return q.answer(200, "value of "+q.key)
		}
		mu.Lock()
		again := !firstRun[k].IsZero()
		trouble := r.trouble && strings.HasPrefix(k, "long")
		mu.Unlock()
		if again && trouble {
			head := make([]byte, 1000)
			io.ReadFull(q.Body, head)
			r.logf("origin: second attempt of %s has begun to arrive; the origin hangs for 1.6 s", k)
			time.Sleep(1600 * time.Millisecond)
		}
		n, err := io.Copy(io.Discard, q.Body)
		if err != nil {
			r.logf("origin: an attempt of %s ended after %d bytes of its body and was not carried out: %v", k, n, err)
			return false
		}
		now := time.Now()
		mu.Lock()
		first := firstRun[k]
		if first.IsZero() {
			firstRun[k] = now
			runs[k] = 1
			mu.Unlock()
			r.logf("origin: last byte of the first attempt of %s, id %s, d %s; carried out", k, q.id, attribute(q.attrs, "d"))
			if trouble {
				time.Sleep(400 * time.Millisecond)
				r.logf("origin: resets the connection under %s", k)
				return q.reset()
			}
			return q.answer(200, "receipt of "+k)
		}
		age := now.Sub(first)
		if age > window {
			runs[k]++
		}
		count := runs[k]
		mu.Unlock()
		r.logf("origin: last byte of another attempt of %s, id %s, %d ms after the first; carried out %d times", k, q.id, age.Milliseconds(), count)
		if age > window+50*time.Millisecond {
			r.breaks("%s was sent again and arrived %d ms after its first attempt, window %d ms", k, age.Milliseconds(), window.Milliseconds())
		}
		return q.answer(200, "receipt of "+k)
	})
	if err != nil {
		return err
	}
	members := []member{o.member}
	for i := range 4 {
		c, err := newCache(fmt.Sprintf("s-%d", i), "kochi-dc", i/2)
		if err != nil {
			return err
		}
		c.get = func(key, id, attrs string, _ <-chan struct{}) (string, bool) { return "value of " + key, true }
		members = append(members, c.member)
	}
	d, err := newRegistry(members...)
	if err != nil {
		return err
	}
	classes := []any{class("tile-read", "repeatable", 800, 3000, 5000, 5),
		class("pass-order", "by_key", 2800, 3000, float64(window.Milliseconds()), 15)}
	listen := freeAddr()
	p, err := r.startProxy(proxySpec{name: "n0", listen: listen, config: config("n0", listen, d.addr(), d.known(), classes)})
	if err != nil {
		return err
	}
	if err := r.awaitReady(p); err != nil {
		return err
	}
	value := strings.Repeat("m", 4<<20)
	for i := range 4 {
		c, err := dial(listen)
		if err != nil {
			return err
		}
		name, body := fmt.Sprintf("long%d", i), value
		if i == 0 {
			name, body = "short", "a small order"
		}
		c.conn.SetDeadline(time.Now().Add(10 * time.Second))
		r.logf("client: sends %s", name)
		a, err := c.call("OBJ.SET", "aa"+fmt.Sprint(i), fmt.Sprintf("id%d", i), "c=pass-order,d=3000,k="+name, body)
		r.logf("client: %s: %v %v", name, a, err)
		c.close()
		if !r.trouble && (err != nil || !a.served) {
			return fmt.Errorf("%s was not served without trouble", name)
		}
	}
	return nil
}
