package log

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"linenloom/internal/store/crash"
)

// spoilt is a log as openings left it that counted of the latest group all but its last record, and wrote the whole group anew: with records
// appended and rotations after that. It tells what was acknowledged, and where the segment begins that is spoilt.
func spoilt(t *testing.T, groups int) (d *crash.Disk, acked []string) {
	t.Helper()
	d = crash.New()
	acked, _ = script(d, groups)
	lock, err := d.Lock("")
	if err != nil {
		t.Fatal(err)
	}
	l := &Log{fs: d, opt: small, lock: lock, next: 1}
	all, err1 := l.segments()
	chain, err2 := l.chain(all)
	tail, err3 := l.replayAll(chain, func(Record) error { return nil })
	if err := errors.Join(err1, err2, err3); err != nil || len(tail) < 2 {
		t.Fatal(len(tail), err)
	}
	if l.good != latest(chain) { // nothing of the latest segment is vouched for: the fault left such a one alone
		t.Fatal("the latest segment has one group")
	}
	for _, r := range tail[:len(tail)-1] {
		l.goodEnd += int64(frameSize + len(r.Payload))
	}
	if err := l.settle(tail); err != nil {
		t.Fatal(err)
	}
	l.durable = l.next - 1
	for i := range 9 {
		r := Record{Kind: 9, Payload: fmt.Appendf(nil, "after %d %s", i, strings.Repeat("x", 50))}
		if err := together(l, r, r); err != nil {
			t.Fatal(err)
		}
		for k := range uint64(2) {
			acked = append(acked, fmt.Sprintf("%d:9:%s", l.next-2+k, r.Payload))
		}
	}
	lock.Close()
	if _, _, err := opened(t, d); !twiceIn(err) {
		t.Fatalf("it is not spoilt: %v", err)
	}
	return d, acked
}

func twiceIn(err error) bool {
	var d *Damage
	return errors.As(err, &d) && d.Twice
}

// A spoilt log is mended without a record lost; the copy is what it was before; a log that is whole, and damage of other kinds, are left alone.
func TestRepair(t *testing.T) {
	d, acked := spoilt(t, 4)
	copies := crash.New()
	before, _ := d.List()
	m, err := Repair(d, copies)
	if err != nil || !m.Twice || m.Last < m.First || m.Records < 18 {
		t.Fatalf("%+v, %v", m, err)
	}
	found(t, "mended", d, acked)
	if names, _ := copies.List(); !slices.Equal(names, before) {
		t.Errorf("the copy has %q, not %q", names, before)
	}
	if _, _, err := opened(t, copies); !twiceIn(err) {
		t.Errorf("the copy opens with %v", err)
	}
	ops := d.Ops
	if m, err := Repair(d, crash.New()); err != nil || m.Twice || d.Ops != ops {
		t.Errorf("a whole log: %+v, %v, %d changes", m, err, d.Ops-ops)
	}
	d, _ = spoilt(t, 4)
	copies = crash.New()
	if f, err := copies.Create(name(1)); err != nil || f == nil {
		t.Fatal(err)
	}
	ops = d.Ops
	if _, err := Repair(d, copies); err == nil || d.Ops != ops {
		t.Errorf("a folder with another log for the copy: %v, %d changes", err, d.Ops-ops)
	}
	for _, at := range []int64{m.At + frameSize, m.At - 1} { // a record that stands twice, and one that stands once
		d, _ = spoilt(t, 4)
		d.Flip(m.Before, int(at*8))
		ops = d.Ops
		m, err := Repair(d, crash.New())
		if at >= m.At && m.Twice {
			continue // it can't be read there, nothing ever vouched for it, and its follower has it
		}
		if !errors.Is(err, ErrDamage) || d.Ops != ops {
			t.Errorf("bit flipped at byte %d: %v, %d changes", at, err, d.Ops-ops)
		}
	}
}

// The power goes, or a step fails, at every step of a repair: it is as before, or mended, and in the end nothing is lost.
func TestPowerGoesWithinRepair(t *testing.T) {
	whole, _ := spoilt(t, 4)
	first := whole.Ops
	if _, err := Repair(whole, crash.New()); err != nil {
		t.Fatal(err)
	}
	for step := first + 1; step <= whole.Ops; step++ {
		for cut := 0; cut < 3000; cut += 1 + cut {
			d, acked := spoilt(t, 4)
			d.Fail = func(op int, _ string) error {
				if op >= step {
					return errPower
				}
				return nil
			}
			if _, err := Repair(d, crash.New()); !errors.Is(err, errPower) {
				t.Fatalf("step %d: %v", step, err)
			}
			after := d.Crash(cut, nil)
			if l, _, err := opened(t, after); err == nil {
				l.Close()
			} else if twiceIn(err) {
				if m, err := Repair(after, crash.New()); err != nil || !m.Twice {
					t.Fatalf("step %d, cut %d: again %+v, %v", step, cut, m, err)
				}
			}
			found(t, fmt.Sprintf("step %d, cut %d", step, cut), after, acked)
		}
	}
}
