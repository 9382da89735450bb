package log

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"

	"linenloom/internal/store/crash"
	"linenloom/internal/store/disk"
)

var testOptions = Options{SegmentSize: 200}

// openLog opens a log and tells what it holds.
func openLog(t *testing.T, d disk.FS) (l *Log, all []string, err error) {
	t.Helper()
	l, err = Open(d, testOptions, func(r Record) error {
		all = append(all, fmt.Sprintf("%d:%d:%s", r.Sequence, r.Kind, r.Payload))
		return nil
	})
	return l, all, err
}

// appendGroup appends records as one group, as callers at one time have them written.
func appendGroup(l *Log, records ...Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := &group{done: make(chan struct{}), records: records}
	l.pendingGroup = g
	l.writeGroup()
	return g.err
}

// maxGroupSize is the largest group of the scripts.
const maxGroupSize = 8

// groupCount is how many groups the scripts of crashes append.
const groupCount = 22

// appendGroups appends groups of records, opening the log again now and then, and tells which were acknowledged, in order, and how many were tried.
func appendGroups(d *crash.Disk, groups int) (acked []string, all int) {
	var l *Log
	for i := range groups {
		size := 1 + i*5%maxGroupSize
		all += size
		if l == nil || i%7 == 6 {
			if l != nil {
				l.Close()
			}
			var err error
			if l, err = Open(d, testOptions, func(Record) error { return nil }); err != nil {
				l = nil // it is asked again with the next group
				continue
			}
		}
		var g []Record
		for k := range size {
			g = append(g, Record{Kind: byte(i), Payload: []byte(fmt.Sprintf("order %d.%d %s", i, k, string(make([]byte, i%40))))})
		}
		if appendGroup(l, g...) == nil {
			for _, r := range g {
				acked = append(acked, fmt.Sprintf("%d:%d:%s", r.Sequence, r.Kind, r.Payload))
			}
		}
	}
	if l != nil {
		l.Close()
	}
	return acked, all
}

// holdsAcknowledged tells whether all that was acknowledged is there, once and in order, with no more than so many that were not.
func holdsAcknowledged(got, acked []string, more int) bool {
	for _, g := range got {
		if len(acked) > 0 && g == acked[0] {
			acked = acked[1:]
		} else if more--; more < 0 {
			return false
		}
	}
	return len(acked) == 0
}

var errPower = errors.New("the power is gone")

// openCount is how often what a crash has left is opened: an opening that goes well may leave what the next one can't read.
const openCount = 3

// verifyRecovery opens a log three times: all that was acknowledged is there, with at most a group more, and each time the same.
func verifyRecovery(t *testing.T, what string, d *crash.Disk, acked []string) {
	t.Helper()
	var first []string
	for n := range openCount {
		l, got, err := openLog(t, d)
		if err != nil {
			t.Fatalf("%s, opening %d: %v", what, n+1, err)
		}
		l.Close()
		if !holdsAcknowledged(got, acked, maxGroupSize) {
			t.Fatalf("%s, opening %d: %d are acknowledged, %d there", what, n+1, len(acked), len(got))
		}
		if n > 0 && !slices.Equal(got, first) {
			t.Fatalf("%s, opening %d finds %q, not %q", what, n+1, got, first)
		}
		first = got
	}
}

// The power goes at every step of a run with rotations, openings and groups: each acknowledged record is there, in order, and at most the group
// more that was being written; opening again, and again, finds the same.
func TestPowerLossAtEveryStep(t *testing.T) {
	whole := crash.New()
	if acked, all := appendGroups(whole, groupCount); len(acked) != all || whole.Operations < 60 {
		t.Fatalf("%d records of %d, %d steps", len(acked), all, whole.Operations)
	}
	for step := 1; step <= whole.Operations; step++ {
		for cut := -4; cut < 300; cut += 1 + max(0, cut)/2 { // below 0: any part, by chance
			d := crash.New()
			d.Fail = func(op int, _ string) error {
				if op >= step {
					return errPower
				}
				return nil
			}
			acked, _ := appendGroups(d, groupCount)
			verifyRecovery(t, fmt.Sprintf("step %d, cut %d", step, cut), d.Crash(max(-1, cut), rand.New(rand.NewPCG(uint64(step), uint64(cut+100)))), acked)
		}
	}
}

// Every change and sync fails once, in turn: that group is not acknowledged, those after it are, and all that was acknowledged is there.
func TestEachStepFailing(t *testing.T) {
	whole := crash.New()
	appendGroups(whole, groupCount)
	for _, how := range []error{errors.New("input/output error"), crash.ErrShort} {
		for step := 1; step <= whole.Operations; step++ {
			d := crash.New()
			d.Fail = func(op int, _ string) error {
				if op == step {
					return how
				}
				return nil
			}
			acked, all := appendGroups(d, groupCount)
			if len(acked) < all-maxGroupSize {
				t.Fatalf("step %d: %d of %d are acknowledged", step, len(acked), all)
			}
			verifyRecovery(t, fmt.Sprintf("step %d", step), d.Crash(-1, rand.New(rand.NewPCG(1, uint64(step)))), acked)
		}
	}
}

// A bit is flipped at any place: it is found and named, or it is in the last group of all, which can't be told from what a crash leaves; what is
// replayed before is what was written, and opening again says the same.
func TestFlippedBits(t *testing.T) {
	d := crash.New()
	all, _ := appendGroups(d, 11) // the last group has 3
	names, _ := d.List()
	for _, n := range names {
		for bit := range d.Size(n) * 8 {
			bad := d.Crash(0, nil)
			bad.FlipBit(n, bit)
			sound := false
			for try := range openCount {
				l, got, err := openLog(t, bad)
				if err == nil {
					l.Close()
					if last := names[len(names)-1]; len(got) < len(all) && (n != last || len(got) < len(all)-3) {
						t.Fatalf("%s, bit %d: %d of %d records are there, and nothing is said", n, bit, len(got), len(all))
					}
					sound = true
				} else if sound || !errors.Is(err, ErrDamage) {
					t.Fatalf("%s, bit %d, opening %d: %v", n, bit, try+1, err)
				}
				if len(got) > len(all) || !slices.Equal(got, all[:len(got)]) {
					t.Fatalf("%s, bit %d: another record is served: %q", n, bit, got)
				}
			}
		}
	}
}

// Many write at once: each is acknowledged with a sequence of its own, and they share syncs. On a real folder a second process is told so.
func TestConcurrentWriters(t *testing.T) {
	dir := disk.Dir(t.TempDir())
	l, _, err := openLog(t, dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := openLog(t, dir); !errors.Is(err, disk.ErrLocked) {
		t.Errorf("a second one: %v", err)
	}
	const writers, each = 32, 20
	var mu sync.Mutex
	seen := map[uint64]bool{}
	var g sync.WaitGroup
	for w := range writers {
		g.Go(func() {
			for i := range each {
				seq, err := l.Append(1, fmt.Appendf(nil, "%d-%d", w, i))
				mu.Lock()
				if err != nil || seen[seq] {
					t.Errorf("record %d: %v", seq, err)
				}
				seen[seq] = true
				mu.Unlock()
			}
		})
	}
	g.Wait()
	if err := l.Close(); err != nil {
		t.Error(err)
	}
	if _, err := l.Append(1, nil); !errors.Is(err, ErrClosed) {
		t.Errorf("after the end: %v", err)
	}
	for n := range openCount {
		again, got, err := openLog(t, dir)
		if err != nil || len(got) != writers*each {
			t.Fatalf("opening %d: %d records, %v", n+1, len(got), err)
		}
		again.Close()
	}
	t.Logf("%d records, %d syncs", writers*each, l.GroupsWritten)
}

// writeValues writes numbers under a few names, compacts now and then, and tells what was acknowledged last under each, and what was not
// acknowledged since.
func writeValues(d *crash.Disk, n int) (acked map[string]string, unsure map[string][]string) {
	acked, unsure = map[string]string{}, map[string][]string{}
	var l *Log
	for i := range n {
		if l == nil || i%11 == 10 {
			if l != nil {
				l.Close()
			}
			var err error
			at := map[string]string{}
			if l, err = Open(d, testOptions, collectValues(at)); err != nil {
				l = nil
				continue
			}
			for name, want := range acked {
				if got := at[name]; got != want && !slices.Contains(unsure[name], got) {
					panic(fmt.Sprintf("opened in between, %s is %q, want %q", name, got, want))
				}
			}
		}
		if i%8 == 7 {
			var all []Record
			for _, name := range slices.Sorted(maps.Keys(acked)) {
				all = append(all, Record{Kind: 1, Payload: []byte(name + "=" + acked[name])})
			}
			l.Compact(all, Record{Kind: 2})
		}
		var g []Record
		for k := range 1 + i%maxGroupSize {
			g = append(g, Record{Kind: 1, Payload: fmt.Appendf(nil, "n%d=%d.%d", (i+k)%5, i, k)})
		}
		err := appendGroup(l, g...)
		for _, r := range g {
			name, value, _ := strings.Cut(string(r.Payload), "=")
			if err == nil {
				acked[name] = value
				delete(unsure, name)
			} else {
				unsure[name] = append(unsure[name], value)
			}
		}
	}
	if l != nil {
		l.Close()
	}
	return acked, unsure
}

// collectValues takes in records of kind 1.
func collectValues(m map[string]string) func(Record) error {
	return func(r Record) error {
		if name, value, ok := strings.Cut(string(r.Payload), "="); ok && r.Kind == 1 {
			m[name] = value
		}
		return nil
	}
}

// readValues opens a log and tells what stands under each name.
func readValues(d disk.FS) (map[string]string, error) {
	m := map[string]string{}
	l, err := Open(d, testOptions, collectValues(m))
	if err == nil {
		l.Close()
	}
	return m, err
}

// The power goes at every step of a run with compactions, or each step fails once: what was acknowledged stands, and opening again finds the
// same.
func TestCompaction(t *testing.T) {
	const n = 30
	whole := crash.New()
	writeValues(whole, n)
	files, _ := whole.List()
	if len(files) > 8 {
		t.Errorf("%d files are left", len(files))
	}
	check := func(what string, d *crash.Disk, acked map[string]string, unsure map[string][]string) {
		t.Helper()
		first, err := readValues(d)
		if err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		for name, want := range acked {
			if got := first[name]; got != want && !slices.Contains(unsure[name], got) {
				t.Fatalf("%s: %s is %q, want %q", what, name, got, want)
			}
		}
		for range openCount - 1 {
			if again, err := readValues(d); err != nil || !maps.Equal(again, first) {
				t.Fatalf("%s: another opening finds %v, not %v: %v", what, again, first, err)
			}
		}
	}
	for step := 1; step <= whole.Operations; step++ {
		for cut := -3; cut < 200; cut += 1 + max(0, cut)/2 {
			d := crash.New()
			d.Fail = func(op int, _ string) error {
				if op >= step {
					return errPower
				}
				return nil
			}
			acked, unsure := writeValues(d, n)
			check(fmt.Sprintf("step %d, cut %d", step, cut), d.Crash(max(-1, cut), rand.New(rand.NewPCG(uint64(step), uint64(cut+100)))), acked, unsure)
		}
		for _, how := range []error{errors.New("input/output error"), crash.ErrShort} {
			d := crash.New()
			d.Fail = func(op int, _ string) error {
				if op == step {
					return how
				}
				return nil
			}
			acked, unsure := writeValues(d, n)
			d.Fail = nil
			check(fmt.Sprintf("step %d fails", step), d.Crash(-1, rand.New(rand.NewPCG(uint64(step), 1))), acked, unsure)
		}
	}
}
