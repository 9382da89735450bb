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

// concurrentCase is a way for many reads at once to be given up. It tells the longest time from when an answer was due, and how
// many reads were given up in that way.
type concurrentCase struct {
	name string
	run  func(*Env) (worst time.Duration, n int, err error)
}

var concurrentCases = []concurrentCase{
	{"in line when the origin leaves the list (no_member)", func(e *Env) (time.Duration, int, error) {
		return e.measureRemoval("line", func(i int) string { return fmt.Sprint("m", i) }, func(f *standin.Fleet) { f.RemoveOrigin() })
	}},
	{"waiting for another's fetch when the boxes leave the list (shared_fetch)", func(e *Env) (time.Duration, int, error) {
		return e.measureRemoval("shared", func(int) string { return "m" }, func(f *standin.Fleet) {
			for _, b := range f.Boxes {
				f.Remove(b)
			}
		})
	}},
	{"in line for a slow origin past their aim (origin_line)", (*Env).measureFullQueue},
	{"no candidate has room (no_room)", (*Env).measureNoCapacity},
}

// startWarmProxy starts a proxy before a fleet.
func (e *Env) startWarmProxy(name string, caches int) (*standin.Fleet, *Process, string, error) {
	fleet, err := standin.NewFleet(caches, 64)
	if err != nil {
		return nil, nil, "", err
	}
	addr, process, err := e.startProxy(name, fleet, 64, 512)
	if err != nil {
		fleet.Close()
		return nil, nil, "", err
	}
	if err := warmUp(fleet, addr, name); err != nil {
		process.Kill()
		fleet.Close()
		return nil, nil, "", err
	}
	return fleet, process, addr, nil
}

// warmUp has a few clients read what every box holds, so that the proxy knows its boxes.
func warmUp(fleet *standin.Fleet, addr, name string) error {
	fleet.Fill("warm")
	for round := range 40 {
		if _, err := readConcurrently(addr, fmt.Sprint(name, "-warm", round), 8, func(int) string { return "warm" }, func() {}); err != nil {
			return err
		}
	}
	return nil
}

// stopAndCountRefused ends a proxy and tells how many reads it says to have refused for a reason.
func stopAndCountRefused(process *Process, reason string) (n int, err error) {
	if err := process.Stop(); err != nil {
		return 0, err
	}
	for _, line := range process.Reasons() {
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

// concurrentRead is one read of a crowd.
type concurrentRead struct {
	sentAt, answeredAt time.Time
	answer             string
	id                 string
}

// readConcurrently makes reads at once, on a connection each.
func readConcurrently(addr, name string, n int, key func(int) string, onAnswer func()) ([]concurrentRead, error) {
	reads := make([]concurrentRead, n)
	errs := make([]error, n)
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() {
			client, err := dialRedis(addr)
			if err != nil {
				errs[i] = err
				return
			}
			defer client.conn.Close()
			read := &reads[i]
			read.id, read.sentAt = fmt.Sprint(name, "-", i), time.Now()
			read.answer, errs[i] = client.do("OBJ.GET", key(i), read.id, "c=tile-read,d=3000")
			read.answeredAt = time.Now()
			onAnswer()
		})
	}
	group.Wait()
	return reads, errors.Join(errs...)
}

// measureRemoval has reads wait for an origin that stalls, takes what they wait for off the list, and tells how long after that
// the last of those that were not out at the origin had its answer.
func (e *Env) measureRemoval(name string, key func(int) string, remove func(*standin.Fleet)) (worst time.Duration, refused int, err error) {
	fleet, process, addr, err := e.startWarmProxy(name, 3)
	if err != nil {
		return 0, 0, err
	}
	defer fleet.Close()
	defer process.Kill()
	fleet.Origin.SetFault(standin.Stall)
	const crowd = 24
	var refusedEarly atomic.Int32 // refused before, for want of room
	var membersRemoved atomic.Bool
	var reads []concurrentRead
	var readError error
	done := make(chan struct{})
	go func() {
		defer close(done)
		reads, readError = readConcurrently(addr, name, crowd, key, func() {
			if !membersRemoved.Load() {
				refusedEarly.Add(1)
			}
		})
	}()
	allWaiting := func() bool {
		n := int(refusedEarly.Load())
		for _, b := range fleet.Boxes {
			_, misses := b.Reads()
			n += misses
		}
		return n >= crowd || key(0) == key(1) && fleet.Origin.Began() > 0
	}
	if err := eventually("every read waits", allWaiting); err != nil {
		return 0, 0, err
	}
	time.Sleep(20 * time.Millisecond) // what has missed comes to the origin, or into line
	stalled := fleet.Origin.Began()
	membersRemoved.Store(true)
	removedAt := time.Now()
	remove(fleet)
	<-done
	if readError != nil {
		return 0, 0, readError
	}
	// Those that the origin has already are out, and wait on; they are the last to hear.
	slices.SortFunc(reads, func(a, b concurrentRead) int { return a.answeredAt.Compare(b.answeredAt) })
	if refused = crowd - stalled - int(refusedEarly.Load()); refused <= 0 {
		return 0, 0, fmt.Errorf("no read waited: %d at the origin, %d refused before", stalled, refusedEarly.Load())
	}
	counted, err := stopAndCountRefused(process, "no_member")
	if err == nil && counted < refused {
		err = fmt.Errorf("%d reads were refused for no_member, want %d", counted, refused)
	}
	return reads[crowd-stalled-1].answeredAt.Sub(removedAt), refused, err
}

// measureFullQueue puts more reads in line for a slow origin than it can answer before their aim, and tells how far past it the
// last refusal came. The time between the aim's passing and the answer is what counts; a refusal may well come sooner.
func (e *Env) measureFullQueue() (worst time.Duration, refused int, err error) {
	fleet, process, addr, err := e.startWarmProxy("full", 3)
	if err != nil {
		return 0, 0, err
	}
	defer fleet.Close()
	defer process.Kill()
	fleet.Origin.SetService(300*time.Millisecond, 4)
	reads, err := readConcurrently(addr, "full", 200, func(i int) string { return fmt.Sprint("m", i) }, func() {})
	if err != nil {
		return 0, 0, err
	}
	worst = -standin.ReadAim
	for _, r := range reads {
		if strings.HasPrefix(r.answer, "-BUSY") {
			worst = max(worst, r.answeredAt.Sub(r.sentAt)-standin.ReadAim)
		}
	}
	refused, err = stopAndCountRefused(process, "origin_line")
	if err == nil && refused == 0 {
		err = fmt.Errorf("no read was refused for the line: %v", process.Reasons())
	}
	return worst, refused, err
}

// measureNoCapacity has boxes answer so slowly that the limits at them fall, and tells how long after it was asked the slowest of the
// reads was refused that no box has heard of.
func (e *Env) measureNoCapacity() (worst time.Duration, refused int, err error) {
	fleet, process, addr, err := e.startWarmProxy("room", 8)
	if err != nil {
		return 0, 0, err
	}
	defer fleet.Close()
	defer process.Kill()
	const roomReads = 160
	var mu sync.Mutex
	sentIDs := map[string]bool{}
	var keys []string
	for i := range roomReads {
		keys = append(keys, fmt.Sprint("k", i))
	}
	fleet.Fill(keys...)
	for _, b := range fleet.Boxes {
		b.SetService(450*time.Millisecond, 0)
		b.OnRead(func(id string) {
			mu.Lock()
			sentIDs[id] = true
			mu.Unlock()
		})
	}
	// The limits fall by a fifth a round, and have to be under the connections to a box: else reads wait for one of those,
	// unheard of by any box as well, and not given up.
	const falls, measured = 14, 4
	for round := range falls + measured {
		reads, err := readConcurrently(addr, fmt.Sprint("room", round), roomReads, func(i int) string { return keys[i] }, func() {})
		if err != nil {
			return 0, 0, err
		}
		if round < falls {
			continue
		}
		mu.Lock()
		for _, r := range reads {
			if strings.HasPrefix(r.answer, "-BUSY") && !sentIDs[r.id] {
				refused++
				worst = max(worst, r.answeredAt.Sub(r.sentAt))
			}
		}
		mu.Unlock()
	}
	counted, err := stopAndCountRefused(process, "no_room")
	if err == nil && (counted == 0 || refused == 0) {
		err = fmt.Errorf("%d reads were refused for no_room, %d of them unsent: %v", counted, refused, process.Reasons())
	}
	return worst, refused, err
}
