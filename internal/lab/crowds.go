package lab

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"linenloom/internal/standin"
)

// crowdCase is a way for many reads at once to be given up. It tells the longest time from when an answer was due, and how
// many reads were given up in that way.
type crowdCase struct {
	name string
	play func(*Env) (worst time.Duration, n int, err error)
}

var crowdCases = []crowdCase{
	{"in line when the origin leaves the list (no_member)", func(e *Env) (time.Duration, int, error) {
		return e.leaves("line", func(i int) string { return fmt.Sprint("m", i) }, func(f *standin.Fleet) { f.RemoveOrigin() })
	}},
	{"waiting for another's fetch when the boxes leave the list (shared_fetch)", func(e *Env) (time.Duration, int, error) {
		return e.leaves("shared", func(int) string { return "m" }, func(f *standin.Fleet) {
			for _, b := range f.Caches {
				f.Remove(b)
			}
		})
	}},
	{"in line for a slow origin past their aim (origin_line)", (*Env).lineFull},
	{"no candidate has room (no_room)", (*Env).noRoom},
}

// crowd starts a proxy before a fleet.
func (e *Env) crowd(name string, boxes int) (*standin.Fleet, *Process, string, error) {
	fleet, err := standin.NewFleet(boxes, 64)
	if err != nil {
		return nil, nil, "", err
	}
	addr, p, err := e.proxy(name, fleet, 64, 512)
	if err != nil {
		fleet.Close()
		return nil, nil, "", err
	}
	if err := warm(fleet, addr, name); err != nil {
		p.Kill()
		fleet.Close()
		return nil, nil, "", err
	}
	return fleet, p, addr, nil
}

// warm has a few clients read what every box holds, so that the proxy knows its boxes.
func warm(fleet *standin.Fleet, addr, name string) error {
	fleet.Fill("warm")
	for round := range 40 {
		if _, err := readAll(addr, fmt.Sprint(name, "-warm", round), 8, func(int) string { return "warm" }, func() {}); err != nil {
			return err
		}
	}
	return nil
}

// refusedFor ends a proxy and tells how many reads it says to have refused for a reason.
func refusedFor(p *Process, reason string) (n int, err error) {
	if err := p.Stop(); err != nil {
		return 0, err
	}
	for _, line := range p.Reasons() {
		_, rest, ok := strings.Cut(line, `refused_tile-read=`)
		if !ok {
			continue
		}
		rest = strings.TrimPrefix(rest, `"`)
		if i := strings.IndexByte(rest, '"'); i >= 0 {
			rest = rest[:i]
		}
		for _, word := range strings.Fields(rest) {
			if name, count, _ := strings.Cut(word, "="); name == reason {
				var k int
				if _, err := fmt.Sscan(count, &k); err != nil {
					return 0, err
				}
				n += k
			}
		}
	}
	return n, nil
}

// crowdRead is one read of a crowd.
type crowdRead struct {
	asked, heard time.Time
	answer       string
	id           string
}

// readAll makes reads at once, on a connection each.
func readAll(addr, name string, n int, key func(int) string, each func()) ([]crowdRead, error) {
	reads := make([]crowdRead, n)
	errs := make([]error, n)
	var g sync.WaitGroup
	for i := range n {
		g.Go(func() {
			rc, err := dialRedis(addr)
			if err != nil {
				errs[i] = err
				return
			}
			defer rc.conn.Close()
			r := &reads[i]
			r.id, r.asked = fmt.Sprint(name, "-", i), time.Now()
			r.answer, errs[i] = rc.ask("OBJ.GET", key(i), r.id, "c=tile-read,d=3000")
			r.heard = time.Now()
			each()
		})
	}
	g.Wait()
	return reads, errors.Join(errs...)
}

// leaves has reads wait for an origin that stalls, takes what they wait for off the list, and tells how long after that
// the last of those that were not out at the origin had its answer.
func (e *Env) leaves(name string, key func(int) string, leave func(*standin.Fleet)) (worst time.Duration, n int, err error) {
	fleet, p, addr, err := e.crowd(name, 3)
	if err != nil {
		return 0, 0, err
	}
	defer fleet.Close()
	defer p.Kill()
	fleet.Origin.SetFault(standin.Stall)
	const crowd = 24
	var early atomic.Int32 // refused before, for want of room
	var left atomic.Bool
	var reads []crowdRead
	var failed error
	done := make(chan struct{})
	go func() {
		defer close(done)
		reads, failed = readAll(addr, name, crowd, key, func() {
			if !left.Load() {
				early.Add(1)
			}
		})
	}()
	settled := func() bool {
		n := int(early.Load())
		for _, b := range fleet.Caches {
			_, misses := b.Reads()
			n += misses
		}
		return n >= crowd || key(0) == key(1) && fleet.Origin.Received() > 0
	}
	if err := eventually("every read waits", settled); err != nil {
		return 0, 0, err
	}
	time.Sleep(20 * time.Millisecond) // what has missed comes to the origin, or into line
	stalled := fleet.Origin.Received()
	left.Store(true)
	removed := time.Now()
	leave(fleet)
	<-done
	if failed != nil {
		return 0, 0, failed
	}
	// Those that the origin has already are out, and wait on; they are the last to hear.
	slices.SortFunc(reads, func(a, b crowdRead) int { return a.heard.Compare(b.heard) })
	if n = crowd - stalled - int(early.Load()); n <= 0 {
		return 0, 0, fmt.Errorf("no read waited: %d at the origin, %d refused before", stalled, early.Load())
	}
	counted, err := refusedFor(p, "no_member")
	if err == nil && counted < n {
		err = fmt.Errorf("%d reads were refused for no_member, want %d", counted, n)
	}
	return reads[crowd-stalled-1].heard.Sub(removed), n, err
}

// lineFull puts more reads in line for a slow origin than it can answer before their aim, and tells how far past it the
// last refusal came. The time between the aim's passing and the answer is what counts; a refusal may well come sooner.
func (e *Env) lineFull() (worst time.Duration, n int, err error) {
	fleet, p, addr, err := e.crowd("full", 3)
	if err != nil {
		return 0, 0, err
	}
	defer fleet.Close()
	defer p.Kill()
	fleet.Origin.SetService(300*time.Millisecond, 4)
	reads, err := readAll(addr, "full", 200, func(i int) string { return fmt.Sprint("m", i) }, func() {})
	if err != nil {
		return 0, 0, err
	}
	worst = -standin.ReadSoftDeadline
	for _, r := range reads {
		if strings.HasPrefix(r.answer, "-BUSY") {
			worst = max(worst, r.heard.Sub(r.asked)-standin.ReadSoftDeadline)
		}
	}
	n, err = refusedFor(p, "origin_line")
	if err == nil && n == 0 {
		err = fmt.Errorf("no read was refused for the line: %v", p.Reasons())
	}
	return worst, n, err
}

// noRoom has boxes answer so slowly that the limits at them fall, and tells how long after it was asked the slowest of the
// reads was refused that no box has heard of.
func (e *Env) noRoom() (worst time.Duration, n int, err error) {
	fleet, p, addr, err := e.crowd("room", 8)
	if err != nil {
		return 0, 0, err
	}
	defer fleet.Close()
	defer p.Kill()
	const roomReads = 160
	var mu sync.Mutex
	sent := map[string]bool{}
	var keys []string
	for i := range roomReads {
		keys = append(keys, fmt.Sprint("k", i))
	}
	fleet.Fill(keys...)
	for _, b := range fleet.Caches {
		b.SetService(450*time.Millisecond, 0)
		b.OnRead(func(id string) {
			mu.Lock()
			sent[id] = true
			mu.Unlock()
		})
	}
	// The limits fall by a fifth a round, and have to be under the connections to a box: else reads wait for one of those,
	// unheard of by any box as well, and not given up.
	const falls, measured = 14, 4
	for round := range falls + measured {
		reads, err := readAll(addr, fmt.Sprint("room", round), roomReads, func(i int) string { return keys[i] }, func() {})
		if err != nil {
			return 0, 0, err
		}
		if round < falls {
			continue
		}
		mu.Lock()
		for _, r := range reads {
			if strings.HasPrefix(r.answer, "-BUSY") && !sent[r.id] {
				n++
				worst = max(worst, r.heard.Sub(r.asked))
			}
		}
		mu.Unlock()
	}
	counted, err := refusedFor(p, "no_room")
	if err == nil && (counted == 0 || n == 0) {
		err = fmt.Errorf("%d reads were refused for no_room, %d of them unsent: %v", counted, n, p.Reasons())
	}
	return worst, n, err
}
