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

var small = Options{SegmentSize: 200}

// opened opens a log and tells what it holds.
func opened(t *testing.T, d disk.FS) (l *Log, all []string, err error) {
	t.Helper()
	l, err = Open(d, small, func(r Record) error {
		all = append(all, fmt.Sprintf("%d:%d:%s", r.Seq, r.Kind, r.Payload))
		return nil
	})
	return l, all, err
}

// script appends records, opening the log again now and then, and tells which were acknowledged, in order.
func script(d *crash.Disk, records int) (acked []string) {
	var l *Log
	for i := range records {
		if l == nil || i%7 == 6 {
			if l != nil {
				l.Close()
			}
			var err error
			if l, err = Open(d, small, func(Record) error { return nil }); err != nil {
				l = nil // it is asked again with the next record
				continue
			}
		}
		payload := fmt.Sprintf("order %d %s", i, string(make([]byte, i%40)))
		if seq, err := l.Append(byte(i), []byte(payload)); err == nil {
			acked = append(acked, fmt.Sprintf("%d:%d:%s", seq, byte(i), payload))
		}
	}
	if l != nil {
		l.Close()
	}
	return acked
}

// holds tells whether all that was acknowledged is there, once and in order, with no more than so many that were not.
func holds(got, acked []string, more int) bool {
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

// The power goes at every step of a run with rotations and openings: each acknowledged record is there, in order, and at most one more, which was
// being written; opening again finds the same.
func TestPowerGoesAtEveryStep(t *testing.T) {
	whole := crash.New()
	all := script(whole, 40)
	if len(all) != 40 || whole.Ops < 100 {
		t.Fatalf("%d records, %d steps", len(all), whole.Ops)
	}
	for step := 1; step <= whole.Ops; step++ {
		for cut := -4; cut < 60; cut += 1 + max(0, cut)/8 { // below 0: any part, by chance
			d := crash.New()
			d.Fail = func(op int, _ string) error {
				if op >= step {
					return errPower
				}
				return nil
			}
			acked := script(d, 40)
			after := d.Crash(max(-1, cut), rand.New(rand.NewPCG(uint64(step), uint64(cut+100))))
			var first []string
			for again := range 2 {
				l, got, err := opened(t, after)
				if err != nil {
					t.Fatalf("step %d, cut %d: %v", step, cut, err)
				}
				l.Close()
				if !holds(got, acked, 1) {
					t.Fatalf("step %d, cut %d: %d are acknowledged, %d there", step, cut, len(acked), len(got))
				}
				if again == 1 && !slices.Equal(got, first) {
					t.Fatalf("step %d, cut %d: another opening finds %q, not %q", step, cut, got, first)
				}
				first = got
			}
		}
	}
}

// Every change and sync fails once, in turn: that append is not acknowledged, those after it are, and all that was acknowledged is there.
func TestEachStepFailsOnce(t *testing.T) {
	whole := crash.New()
	script(whole, 40)
	for _, how := range []error{errors.New("input/output error"), crash.ErrShort} {
		for step := 1; step <= whole.Ops; step++ {
			d := crash.New()
			d.Fail = func(op int, _ string) error {
				if op == step {
					return how
				}
				return nil
			}
			acked := script(d, 40)
			if len(acked) < 39 {
				t.Fatalf("step %d: %d of 40 are acknowledged", step, len(acked))
			}
			l, got, err := opened(t, d.Crash(-1, rand.New(rand.NewPCG(1, uint64(step)))))
			if err != nil {
				t.Fatalf("step %d: %v", step, err)
			}
			l.Close()
			if !holds(got, acked, 1) {
				t.Fatalf("step %d: %d are acknowledged, %d there", step, len(acked), len(got))
			}
		}
	}
}

// A bit is flipped at any place: it is found and named, or it is in the last record of all, which can't be told from what a crash leaves; what is
// replayed before is what was written.
func TestEveryBitFlipped(t *testing.T) {
	d := crash.New()
	all := script(d, 20)
	names, _ := d.List()
	for _, n := range names {
		for bit := range d.Size(n) * 8 {
			bad := d.Crash(0, nil)
			bad.Flip(n, bit)
			l, got, err := opened(t, bad)
			if err == nil {
				l.Close()
				last := names[len(names)-1]
				if len(got) < len(all) && (n != last || len(got) < len(all)-1) {
					t.Fatalf("%s, bit %d: %d of %d records are there, and nothing is said", n, bit, len(got), len(all))
				}
			} else if !errors.Is(err, ErrDamage) {
				t.Fatalf("%s, bit %d: %v", n, bit, err)
			}
			if len(got) > len(all) || !slices.Equal(got, all[:len(got)]) {
				t.Fatalf("%s, bit %d: another record is served: %q", n, bit, got)
			}
		}
	}
}

// Many write at once: each is acknowledged with a sequence of its own, and they share syncs. On a real folder a second process is told so.
func TestManyWriters(t *testing.T) {
	dir := disk.Dir(t.TempDir())
	l, _, err := opened(t, dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := opened(t, dir); !errors.Is(err, disk.ErrLocked) {
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
	_, got, err := opened(t, dir)
	if err != nil || len(got) != writers*each {
		t.Errorf("%d records, %v", len(got), err)
	}
	t.Logf("%d records, %d syncs", writers*each, l.Syncs)
}

// puts writes numbers under a few names, compacts now and then, and tells what was acknowledged last under each, and what was not
// acknowledged since.
func puts(d *crash.Disk, n int) (acked map[string]string, unsure map[string][]string) {
	acked, unsure = map[string]string{}, map[string][]string{}
	var l *Log
	for i := range n {
		if l == nil || i%11 == 10 {
			if l != nil {
				l.Close()
			}
			var err error
			at := map[string]string{}
			if l, err = Open(d, small, put1(at)); err != nil {
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
		name, value := fmt.Sprint("n", i%5), fmt.Sprint(i)
		if _, err := l.Append(1, []byte(name+"="+value)); err == nil {
			acked[name] = value
			delete(unsure, name)
		} else {
			unsure[name] = append(unsure[name], value)
		}
	}
	if l != nil {
		l.Close()
	}
	return acked, unsure
}

// put1 takes in records of kind 1.
func put1(m map[string]string) func(Record) error {
	return func(r Record) error {
		if name, value, ok := strings.Cut(string(r.Payload), "="); ok && r.Kind == 1 {
			m[name] = value
		}
		return nil
	}
}

// state opens a log and tells what stands under each name.
func state(d disk.FS) (map[string]string, error) {
	m := map[string]string{}
	l, err := Open(d, small, put1(m))
	if err == nil {
		l.Close()
	}
	return m, err
}

// The power goes at every step of a run with compactions, or each step fails once: what was acknowledged stands, and opening again finds the
// same.
func TestCompaction(t *testing.T) {
	const n = 60
	whole := crash.New()
	puts(whole, n)
	files, _ := whole.List()
	if len(files) > 8 {
		t.Errorf("%d files are left", len(files))
	}
	check := func(what string, d *crash.Disk, acked map[string]string, unsure map[string][]string) {
		t.Helper()
		first, err := state(d)
		if err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		for name, want := range acked {
			if got := first[name]; got != want && !slices.Contains(unsure[name], got) {
				t.Fatalf("%s: %s is %q, want %q", what, name, got, want)
			}
		}
		if again, err := state(d); err != nil || !maps.Equal(again, first) {
			t.Fatalf("%s: another opening finds %v, not %v: %v", what, again, first, err)
		}
	}
	for step := 1; step <= whole.Ops; step++ {
		for cut := -3; cut < 80; cut += 1 + max(0, cut)/4 {
			d := crash.New()
			d.Fail = func(op int, _ string) error {
				if op >= step {
					return errPower
				}
				return nil
			}
			acked, unsure := puts(d, n)
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
			acked, unsure := puts(d, n)
			d.Fail = nil
			check(fmt.Sprintf("step %d fails", step), d.Crash(-1, rand.New(rand.NewPCG(uint64(step), 1))), acked, unsure)
		}
	}
}
