package pool

import (
	"math/rand/v2"
	"testing"
	"time"
)

// door is a cache that takes so many connections of all proxies together, and turns further ones away at once.
type door struct {
	most, open, tried, refused int
}

// flock is the pools of many proxies before one cache, on one clock.
type flock struct {
	t      *testing.T
	door   *door
	now    time.Duration
	worlds []*world
	at     []*Member[*fake]
	served []int
	failed []int // requests that were told at once that the cache takes no connection
	rng    *rand.Rand
	n      int
}

func newFlock(t *testing.T, proxies, most int) *flock {
	f := &flock{t: t, door: &door{most: most}, now: time.Hour, served: make([]int, proxies), failed: make([]int, proxies),
		rng: rand.New(rand.NewPCG(1, 2))}
	cfg := usual
	cfg.Instances = proxies
	for range proxies {
		f.worlds = append(f.worlds, newWorld(t, cfg))
		f.at = append(f.at, &Member[*fake]{Ready: true})
	}
	return f
}

// run plays milliseconds: each proxy asks the cache every gap or so, answers come after two, dials end after one.
func (f *flock) run(d, gap time.Duration, asks func(proxy int) bool) {
	const tick = time.Millisecond
	for end := f.now + d; f.now < end; f.now += tick {
		for i, w := range f.worlds {
			m := f.at[i]
			w.now = f.now
			w.p.Advance(f.now)
			for len(w.dials) > 0 {
				f.door.tried++
				well := f.door.open < f.door.most
				if well {
					f.door.open++
				} else {
					f.door.refused++
				}
				dl := w.dials[0]
				w.dials = w.dials[1:]
				if !well {
					w.p.Dialled(dl.m, nil, dl.epoch, dl.warm, true)
					continue
				}
				l := &wire{w: w, epoch: dl.epoch, c: &Conn[*fake]{M: dl.m}}
				l.c.Link = l
				w.wires = append(w.wires, l)
				w.p.Dialled(dl.m, l.c, dl.epoch, dl.warm, false)
			}
			live := w.wires[:0]
			for _, l := range w.wires {
				if l.closed {
					f.door.open--
					continue
				}
				if len(l.sent) > 0 && f.now-l.sent[0].Began >= 2*tick {
					f.served[i]++
					w.answer(l)
				}
				live = append(live, l)
			}
			w.wires = live
			if at := w.redials[m]; at > 0 && f.now >= at {
				delete(w.redials, m)
				w.p.Redial(m)
			}
			for x, at := range w.late {
				if x.Ended || x.Began > 0 {
					delete(w.late, x)
				} else if f.now >= at {
					delete(w.late, x)
					w.p.Late(m, x)
				}
			}
			w.p.Wake()
			if f.now%(250*tick) == 0 {
				w.p.Sweep(m, 60)
			}
			if asks(i) && f.rng.Float64() < float64(tick)/float64(gap) {
				f.n++
				x := &fake{n: f.n, key: string(rune('a' + f.n%26)), Request: Request{Until: f.now + time.Second}}
				w.p.Place(m, x)
				if len(x.verdict) > 0 {
					f.failed[i]++
				}
			}
		}
		if f.door.open > f.door.most {
			f.t.Fatalf("%d connections at a cache that takes %d", f.door.open, f.door.most)
		}
	}
}

// 80 proxies before a cache that takes 28 connections: each holds one at the most, those without one are told so at once; and when others go, each of them has one again within two seconds of asking.
func TestMoreProxiesThanConnections(t *testing.T) {
	for _, most := range []int{28, 14} {
		f := newFlock(t, 80, most)
		all := func(int) bool { return true }
		f.run(4*time.Second, 500*time.Millisecond, all)
		tried := f.door.tried
		f.run(4*time.Second, 500*time.Millisecond, all)
		if f.door.open != most {
			t.Errorf("%d of %d connections are used", f.door.open, most)
		}
		// Without a connection every proxy still asks: twice for a request, as a refusal takes no time.
		if perS := (f.door.tried - tried) / 4; perS > 2*2*80 {
			t.Errorf("%d dials a second", perS)
		}
		for i, m := range f.at {
			if len(m.Conns) > 1 {
				t.Errorf("proxy %d holds %d connections", i, len(m.Conns))
			}
			if len(m.Waiting) > WaitingRoom+1 {
				t.Errorf("%d requests wait at proxy %d", len(m.Waiting), i)
			}
		}
		// Those that hold one stop asking: theirs fall idle and are closed, and the others get them.
		var quiet [80]bool
		for i, m := range f.at {
			quiet[i] = len(m.Conns) > 0
		}
		f.run(usual.ConnIdle, 500*time.Millisecond, func(i int) bool { return !quiet[i] })
		held := 0
		for i, m := range f.at {
			if !quiet[i] && len(m.Conns) > 0 {
				held++
			}
		}
		if held != min(most, 80-most) {
			t.Errorf("limit %d: %d of the others hold a connection once those before have let go", most, held)
		}
	}
}

// A cache that is gone, or turns new connections away on their first request, as one that holds all it will does. From the second in
// a row on no request waits for a connection; those that are tried, and the requests that find out, are paced by the backoff; and
// an answer ends all that.
func TestOutOfReach(t *testing.T) {
	for _, gone := range []bool{true, false} {
		w := newWorld(t, usual)
		m := &Member[*fake]{Ready: true}
		n := 0
		place := func() *fake {
			n++
			x := &fake{n: n, Request: Request{Until: w.now + time.Minute}}
			w.p.Place(m, x)
			return x
		}
		turn := func() (dials int) {
			for ; len(w.dials) > 0; dials++ {
				w.connect(0, !gone)
			}
			for _, l := range w.wires {
				if len(l.sent) > 0 && !l.closed {
					l.c.TurnedAway = true
					w.answer(l)
					w.broken(l)
				}
			}
			return dials
		}
		for range 2 {
			if wait := w.p.Wait(m); wait != 0 {
				t.Fatalf("gone %v: passed over (%v) after %d in a row", gone, wait, n)
			}
			place()
			turn()
			w.now += dialBackoffMax
			w.p.Advance(w.now)
		}
		dials, placed := 0, 0
		for end := w.now + 20*time.Second; w.now < end; w.now += time.Millisecond {
			w.p.Advance(w.now)
			if w.p.Wait(m) >= 0 {
				if placed++; len(m.Conns) == 0 {
					t.Fatalf("gone %v: a request would wait for a connection", gone)
				}
				place()
			}
			dials += turn()
		}
		if dials < 10 || dials > 30 || gone && placed > 0 || placed > dials {
			t.Errorf("gone %v: %d connections are tried in 20 s, with %d requests", gone, dials, placed)
		}
		w.now += dialBackoffMax
		w.p.Advance(w.now)
		if w.p.Wait(m) >= 0 || len(w.dials) != 1 {
			t.Fatalf("gone %v: %d dials are out", gone, len(w.dials))
		}
		l := w.connect(0, true)
		if x := place(); len(l.sent) != 1 || l.sent[0] != x {
			t.Errorf("gone %v: the connection that was tried is not used", gone)
		}
		if w.p.Wait(m) >= 0 {
			t.Errorf("gone %v: a second request would wait for what the first finds out", gone)
		}
		w.answer(l)
		if wait := w.p.Wait(m); wait != 0 || m.Backoff() != 0 {
			t.Errorf("gone %v: wait %v, backoff %v after an answer", gone, wait, m.Backoff())
		}
	}
}

// A request that is told that there is no room on a connection that stays open has not found the cache out of reach.
func TestNoRoomOnAConnectionThatStays(t *testing.T) {
	w := newWorld(t, usual)
	m := &Member[*fake]{Ready: true}
	for i := range 20 {
		w.p.Place(m, &fake{n: i, Request: Request{Until: w.now + time.Minute}})
		for len(w.dials) > 0 {
			w.connect(0, true)
		}
		w.wires[0].c.TurnedAway = true
		w.answer(w.wires[0])
		w.now += 10 * time.Millisecond
		w.p.Advance(w.now)
		if w.p.Wait(m) != 0 || m.Backoff() != 0 || len(w.wires) != 1 {
			t.Fatalf("request %d: wait %v, backoff %v, %d connections", i, w.p.Wait(m), m.Backoff(), len(w.wires))
		}
	}
}

// 4 proxies before the same cache: nobody is ever without a connection.
func TestFewProxiesHaveConnectionsEnough(t *testing.T) {
	f := newFlock(t, 4, 28)
	f.run(5*time.Second, 20*time.Millisecond, func(int) bool { return true })
	for i := range f.at {
		if f.failed[i] > 0 || f.served[i] < 200 || f.door.refused > 0 {
			t.Errorf("proxy %d: %d served, %d without a connection; %d dials refused", i, f.served[i], f.failed[i], f.door.refused)
		}
	}
}
