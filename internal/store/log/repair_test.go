package log

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"linenloom/internal/store/crash"
)

// logWithDuplicates is a log as openings left it that counted of the latest group all but its last record, and wrote the whole group anew: with records
// appended and rotations after that. It tells what was acknowledged, and where the segment begins that is spoilt.
func logWithDuplicates(t *testing.T, groups int) (d *crash.Disk, acked []string) {
	t.Helper()
	d = crash.New()
	acked, _ = appendGroups(d, groups)
	lock, err := d.Lock("")
	if err != nil {
		t.Fatal(err)
	}
	l := &Log{fs: d, options: testOptions, lock: lock, nextSequence: 1}
	all, err1 := l.listSegments()
	chain, err2 := l.buildChain(all)
	tail, err3 := l.replayChain(chain, func(Record) error { return nil })
	if err := errors.Join(err1, err2, err3); err != nil || len(tail) < 2 {
		t.Fatal(len(tail), err)
	}
	if l.validGeneration != lastGeneration(chain) { // nothing of the latest segment is vouched for: the fault left such a one alone
		t.Fatal("the latest segment has one group")
	}
	for _, r := range tail[:len(tail)-1] {
		l.validSize += int64(frameSize + len(r.Payload))
	}
	if err := l.rewriteTail(tail); err != nil {
		t.Fatal(err)
	}
	l.durableSequence = l.nextSequence - 1
	for i := range 9 {
		r := Record{Kind: 9, Payload: fmt.Appendf(nil, "after %d %s", i, strings.Repeat("x", 50))}
		if err := appendGroup(l, r, r); err != nil {
			t.Fatal(err)
		}
		for k := range uint64(2) {
			acked = append(acked, fmt.Sprintf("%d:9:%s", l.nextSequence-2+k, r.Payload))
		}
	}
	lock.Close()
	if _, _, err := openLog(t, d); !isDuplicateDamage(err) {
		t.Fatalf("it is not spoilt: %v", err)
	}
	return d, acked
}

func isDuplicateDamage(err error) bool {
	var d *Damage
	return errors.As(err, &d) && d.Duplicate
}

// A spoilt log is mended without a record lost; the copy is what it was before; a log that is whole, and damage of other kinds, are left alone.
func TestRepair(t *testing.T) {
	d, acked := logWithDuplicates(t, 4)
	copies := crash.New()
	before, _ := d.List()
	m, err := Repair(d, copies)
	if err != nil || !m.Duplicate || m.LastDuplicate < m.FirstDuplicate || m.RecordsWritten < 18 {
		t.Fatalf("%+v, %v", m, err)
	}
	verifyRecovery(t, "mended", d, acked)
	if names, _ := copies.List(); !slices.Equal(names, before) {
		t.Errorf("the copy has %q, not %q", names, before)
	}
	if _, _, err := openLog(t, copies); !isDuplicateDamage(err) {
		t.Errorf("the copy opens with %v", err)
	}
	ops := d.Operations
	if m, err := Repair(d, crash.New()); err != nil || m.Duplicate || d.Operations != ops {
		t.Errorf("a whole log: %+v, %v, %d changes", m, err, d.Operations-ops)
	}
	d, _ = logWithDuplicates(t, 4)
	copies = crash.New()
	if f, err := copies.Create(segmentName(1)); err != nil || f == nil {
		t.Fatal(err)
	}
	ops = d.Operations
	if _, err := Repair(d, copies); err == nil || d.Operations != ops {
		t.Errorf("a folder with another log for the copy: %v, %d changes", err, d.Operations-ops)
	}
	for _, at := range []int64{m.PrecedingSize + frameSize, m.PrecedingSize - 1} { // a record that stands twice, and one that stands once
		d, _ = logWithDuplicates(t, 4)
		d.FlipBit(m.PrecedingFile, int(at*8))
		ops = d.Operations
		m, err := Repair(d, crash.New())
		if at >= m.PrecedingSize && m.Duplicate {
			continue // it can't be read there, nothing ever vouched for it, and its follower has it
		}
		if !errors.Is(err, ErrDamage) || d.Operations != ops {
			t.Errorf("bit flipped at byte %d: %v, %d changes", at, err, d.Operations-ops)
		}
	}
}

// The power goes, or a step fails, at every step of a repair: it is as before, or mended, and in the end nothing is lost.
func TestPowerLossDuringRepair(t *testing.T) {
	whole, _ := logWithDuplicates(t, 4)
	first := whole.Operations
	if _, err := Repair(whole, crash.New()); err != nil {
		t.Fatal(err)
	}
	for step := first + 1; step <= whole.Operations; step++ {
		for cut := 0; cut < 3000; cut += 1 + cut {
			d, acked := logWithDuplicates(t, 4)
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
			if l, _, err := openLog(t, after); err == nil {
				l.Close()
			} else if isDuplicateDamage(err) {
				if m, err := Repair(after, crash.New()); err != nil || !m.Duplicate {
					t.Fatalf("step %d, cut %d: again %+v, %v", step, cut, m, err)
				}
			}
			verifyRecovery(t, fmt.Sprintf("step %d, cut %d", step, cut), after, acked)
		}
	}
}
