package log

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"linenloom/internal/store/crash"
)

// logWithDuplicates returns a log with duplicate records, as left by versions whose opening treated all
// records of the latest group except the last as valid and then rewrote the whole group. Further
// records and rotations follow. It also returns the acknowledged records.
func logWithDuplicates(t *testing.T, groups int) (disk *crash.Disk, acked []string) {
	t.Helper()
	disk = crash.New()
	acked, _ = appendGroups(disk, groups)
	lock, err := disk.Lock("")
	if err != nil {
		t.Fatal(err)
	}
	opened := &Log{fs: disk, options: testOptions, lock: lock, nextSequence: 1}
	segments, err1 := opened.listSegments()
	chain, err2 := opened.buildChain(segments)
	tail, err3 := opened.replayChain(chain, func(Record) error { return nil })
	if err := errors.Join(err1, err2, err3); err != nil || len(tail) < 2 {
		t.Fatal(len(tail), err)
	}
	// Without confirmed records in the latest segment the old versions wrote no duplicates.
	if opened.validGeneration != lastGeneration(chain) {
		t.Fatal("the latest segment has one group")
	}
	for _, r := range tail[:len(tail)-1] {
		opened.validSize += int64(frameSize + len(r.Payload))
	}
	if err := opened.rewriteTail(tail); err != nil {
		t.Fatal(err)
	}
	opened.durableSequence = opened.nextSequence - 1
	for i := range 9 {
		r := Record{Kind: 9, Payload: fmt.Appendf(nil, "after %d %s", i, strings.Repeat("x", 50))}
		if err := appendGroup(opened, r, r); err != nil {
			t.Fatal(err)
		}
		for k := range uint64(2) {
			acked = append(acked, fmt.Sprintf("%d:9:%s", opened.nextSequence-2+k, r.Payload))
		}
	}
	lock.Close()
	if _, _, err := openLog(t, disk); !isDuplicateDamage(err) {
		t.Fatalf("it is not spoilt: %v", err)
	}
	return disk, acked
}

func isDuplicateDamage(err error) bool {
	var d *Damage
	return errors.As(err, &d) && d.Duplicate
}

// Repair fixes a log with duplicate records without losing a record, and the copy equals the original.
// Logs without duplicates and other kinds of damage are left unchanged.
func TestRepair(t *testing.T) {
	disk, acked := logWithDuplicates(t, 4)
	copyTo := crash.New()
	before, _ := disk.List()
	result, err := Repair(disk, copyTo)
	if err != nil || !result.Duplicate || result.LastDuplicate < result.FirstDuplicate || result.RecordsWritten < 18 {
		t.Fatalf("%+v, %v", result, err)
	}
	verifyRecovery(t, "mended", disk, acked)
	if names, _ := copyTo.List(); !slices.Equal(names, before) {
		t.Errorf("the copy has %q, not %q", names, before)
	}
	if _, _, err := openLog(t, copyTo); !isDuplicateDamage(err) {
		t.Errorf("the copy opens with %v", err)
	}
	ops := disk.Operations
	if result, err := Repair(disk, crash.New()); err != nil || result.Duplicate || disk.Operations != ops {
		t.Errorf("a whole log: %+v, %v, %d changes", result, err, disk.Operations-ops)
	}
	disk, _ = logWithDuplicates(t, 4)
	copyTo = crash.New()
	if f, err := copyTo.Create(segmentName(1)); err != nil || f == nil {
		t.Fatal(err)
	}
	ops = disk.Operations
	if _, err := Repair(disk, copyTo); err == nil || disk.Operations != ops {
		t.Errorf("a folder with another log for the copy: %v, %d changes", err, disk.Operations-ops)
	}
	// The first offset is in a duplicate record, the second in a record that occurs once.
	for _, at := range []int64{result.PrecedingSize + frameSize, result.PrecedingSize - 1} {
		disk, _ = logWithDuplicates(t, 4)
		disk.FlipBit(result.PrecedingFile, int(at*8))
		ops = disk.Operations
		result, err := Repair(disk, crash.New())
		if at >= result.PrecedingSize && result.Duplicate {
			continue // the record is unreadable here, was never confirmed, and the follower contains it
		}
		if !errors.Is(err, ErrDamage) || disk.Operations != ops {
			t.Errorf("bit flipped at byte %d: %v, %d changes", at, err, disk.Operations-ops)
		}
	}
}

// The power fails at every step of a repair. The log must be either unchanged or repaired, and after
// another repair if necessary no record is lost.
func TestPowerLossDuringRepair(t *testing.T) {
	complete, _ := logWithDuplicates(t, 4)
	first := complete.Operations
	if _, err := Repair(complete, crash.New()); err != nil {
		t.Fatal(err)
	}
	for step := first + 1; step <= complete.Operations; step++ {
		for cut := 0; cut < 3000; cut += 1 + cut {
			disk, acked := logWithDuplicates(t, 4)
			disk.Fail = func(op int, _ string) error {
				if op >= step {
					return errPower
				}
				return nil
			}
			if _, err := Repair(disk, crash.New()); !errors.Is(err, errPower) {
				t.Fatalf("step %d: %v", step, err)
			}
			after := disk.Crash(cut, nil)
			if l, _, err := openLog(t, after); err == nil {
				l.Close()
			} else if isDuplicateDamage(err) {
				if result, err := Repair(after, crash.New()); err != nil || !result.Duplicate {
					t.Fatalf("step %d, cut %d: again %+v, %v", step, cut, result, err)
				}
			}
			verifyRecovery(t, fmt.Sprintf("step %d, cut %d", step, cut), after, acked)
		}
	}
}
