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

// concurrentCase is a situation in which the proxy gives up many concurrent reads. Its run returns the
// longest delay of an answer past the time when it was due, and the number of reads refused for the reason in
// question.
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
			for _, cache := range f.Caches {
				f.Remove(cache)
			}
		})
	}},
	{"in line for a slow origin past their aim (origin_line)", (*Env).measureFullQueue},
	{"no candidate has room (no_room)", (*Env).measureNoCapacity},
}

// startWarmProxy starts a proxy in front of a new fleet and warms it up.
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

// warmUp reads a key that every cache holds from a few clients, so that the proxy has statistics of its caches.
func warmUp(fleet *standin.Fleet, addr, name string) error {
	fleet.Fill("warm")
	for round := range 40 {
		if _, err := readConcurrently(addr, fmt.Sprint(name, "-warm", round), 8, func(int) string { return "warm" }, func() {}); err != nil {
			return err
		}
	}
	return nil
}

// stopAndCountRefused stops the proxy and returns the number of reads that its log reports as refused for the
// reason.
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

// concurrentRead is one of a set of concurrent reads.
type concurrentRead struct {
	sentAt, answeredAt time.Time
	answer             string
	id                 string
}

// readConcurrently sends n reads at the same time, each on its own connection.
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

// measureRemoval makes reads wait for a stalled origin, removes the members that they wait for from the list,
// and returns the time from the removal to the last answer among the reads that the origin had not received.
func (e *Env) measureRemoval(name string, key func(int) string, remove func(*standin.Fleet)) (worst time.Duration, refused int, err error) {
	fleet, process, addr, err := e.startWarmProxy(name, 3)
	if err != nil {
		return 0, 0, err
	}
	defer fleet.Close()
	defer process.Kill()
	fleet.Origin.SetFault(standin.Stall)
	const readCount = 24
	var refusedEarly atomic.Int32 // refused before the removal, for lack of capacity
	var membersRemoved atomic.Bool
	var reads []concurrentRead
	var readError error
	done := make(chan struct{})
	go func() {
		defer close(done)
		reads, readError = readConcurrently(addr, name, readCount, key, func() {
			if !membersRemoved.Load() {
				refusedEarly.Add(1)
			}
		})
	}()
	allWaiting := func() bool {
		n := int(refusedEarly.Load())
		for _, cache := range fleet.Caches {
			_, misses := cache.Reads()
			n += misses
		}
		return n >= readCount || key(0) == key(1) && fleet.Origin.Received() > 0
	}
	if err := eventually("all reads are waiting", allWaiting); err != nil {
		return 0, 0, err
	}
	time.Sleep(20 * time.Millisecond) // until reads that missed have reached the origin or its queue
	stalled := fleet.Origin.Received()
	membersRemoved.Store(true)
	removedAt := time.Now()
	remove(fleet)
	<-done
	if readError != nil {
		return 0, 0, readError
	}
	// Reads that the origin has already received stay outstanding, so they are the last to be answered.
	slices.SortFunc(reads, func(a, b concurrentRead) int { return a.answeredAt.Compare(b.answeredAt) })
	if refused = readCount - stalled - int(refusedEarly.Load()); refused <= 0 {
		return 0, 0, fmt.Errorf("no read was waiting: %d at the origin, %d refused before the removal", stalled, refusedEarly.Load())
	}
	counted, err := stopAndCountRefused(process, "no_member")
	if err == nil && counted < refused {
		err = fmt.Errorf("%d reads were refused for no_member, want at least %d", counted, refused)
	}
	return reads[readCount-stalled-1].answeredAt.Sub(removedAt), refused, err
}

// measureFullQueue queues more reads for a slow origin than it can answer within their latency target, and
// returns how long past that target the last refusal came. A refusal may come earlier; only the time past the
// target counts.
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
	worst = -standin.ReadSoftDeadline
	for _, r := range reads {
		if strings.HasPrefix(r.answer, "-BUSY") {
			worst = max(worst, r.answeredAt.Sub(r.sentAt)-standin.ReadSoftDeadline)
		}
	}
	refused, err = stopAndCountRefused(process, "origin_line")
	if err == nil && refused == 0 {
		err = fmt.Errorf("no read was refused for origin_line: %v", process.Reasons())
	}
	return worst, refused, err
}

// measureNoCapacity slows the caches down until their concurrency limits fall, and returns the longest time
// from sending to refusal among the reads that no cache received.
func (e *Env) measureNoCapacity() (worst time.Duration, refused int, err error) {
	fleet, process, addr, err := e.startWarmProxy("room", 8)
	if err != nil {
		return 0, 0, err
	}
	defer fleet.Close()
	defer process.Kill()
	const readsPerRound = 160
	var mu sync.Mutex
	sentIDs := map[string]bool{}
	var keys []string
	for i := range readsPerRound {
		keys = append(keys, fmt.Sprint("k", i))
	}
	fleet.Fill(keys...)
	for _, cache := range fleet.Caches {
		cache.SetService(450*time.Millisecond, 0)
		cache.OnRead(func(id string) {
			mu.Lock()
			sentIDs[id] = true
			mu.Unlock()
		})
	}
	// The limits fall by a fifth each round and have to get below the number of connections to a cache.
	// Otherwise reads wait for a connection, which no cache sees either, and are not refused.
	const fallingRounds, measuredRounds = 14, 4
	for round := range fallingRounds + measuredRounds {
		reads, err := readConcurrently(addr, fmt.Sprint("room", round), readsPerRound, func(i int) string { return keys[i] }, func() {})
		if err != nil {
			return 0, 0, err
		}
		if round < fallingRounds {
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
		err = fmt.Errorf("%d reads were refused for no_room, %d reads refused before any attempt: %v", counted, refused, process.Reasons())
	}
	return worst, refused, err
}
