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

// openLog opens a log and returns the records that it contains.
func openLog(t *testing.T, fs disk.FS) (l *Log, records []string, err error) {
	t.Helper()
	l, err = Open(fs, testOptions, func(r Record) error {
		records = append(records, fmt.Sprintf("%d:%d:%s", r.Sequence, r.Kind, r.Payload))
		return nil
	})
	return l, records, err
}

// appendGroup appends records as one group, as for concurrent callers of Append.
func appendGroup(l *Log, records ...Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	pending := &group{done: make(chan struct{}), records: records}
	l.pendingGroup = pending
	l.writeGroup()
	return pending.err
}

// maxGroupSize is the size of the largest group that appendGroups and writeValues append.
const maxGroupSize = 8

// groupCount is the number of groups that the crash tests append.
const groupCount = 22

// appendGroups appends groups of records and reopens the log every seven groups. It returns the
// acknowledged records in order and the number of records attempted.
func appendGroups(storage *crash.Disk, groups int) (acked []string, attempted int) {
	var opened *Log
	for i := range groups {
		size := 1 + i*5%maxGroupSize
		attempted += size
		if opened == nil || i%7 == 6 {
			if opened != nil {
				opened.Close()
			}
			var err error
			if opened, err = Open(storage, testOptions, func(Record) error { return nil }); err != nil {
				opened = nil // the next group tries to open it again
				continue
			}
		}
		var records []Record
		for k := range size {
			records = append(records, Record{Kind: byte(i), Payload: []byte(fmt.Sprintf("order %d.%d %s", i, k, string(make([]byte, i%40))))})
		}
		if appendGroup(opened, records...) == nil {
			for _, r := range records {
				acked = append(acked, fmt.Sprintf("%d:%d:%s", r.Sequence, r.Kind, r.Payload))
			}
		}
	}
	if opened != nil {
		opened.Close()
	}
	return acked, attempted
}

// holdsAcknowledged reports whether all acknowledged records are present, once and in order, with at
// most extra other records.
func holdsAcknowledged(records, acked []string, extra int) bool {
	for _, record := range records {
		if len(acked) > 0 && record == acked[0] {
			acked = acked[1:]
		} else if extra--; extra < 0 {
			return false
		}
	}
	return len(acked) == 0
}

var errPower = errors.New("the power is gone")

// openCount is how often a log is opened after a crash: a successful opening may leave a state that the
// next one cannot read.
const openCount = 3

// verifyRecovery opens a log three times. Each opening must find all acknowledged records and at most
// one more group, and all must find the same records.
func verifyRecovery(t *testing.T, context string, storage *crash.Disk, acked []string) {
	t.Helper()
	var first []string
	for i := range openCount {
		l, records, err := openLog(t, storage)
		if err != nil {
			t.Fatalf("%s, opening %d: %v", context, i+1, err)
		}
		l.Close()
		if !holdsAcknowledged(records, acked, maxGroupSize) {
			t.Fatalf("%s, opening %d: %d are acknowledged, %d there", context, i+1, len(acked), len(records))
		}
		if i > 0 && !slices.Equal(records, first) {
			t.Fatalf("%s, opening %d finds %q, not %q", context, i+1, records, first)
		}
		first = records
	}
}

// The power fails at every step of a run with segment rotations, reopenings and groups. Each
// acknowledged record must be present in order, with at most the group that was being written in
// addition, and each further opening must find the same records.
func TestPowerLossAtEveryStep(t *testing.T) {
	complete := crash.New()
	if acked, attempted := appendGroups(complete, groupCount); len(acked) != attempted || complete.Operations < 60 {
		t.Fatalf("%d records of %d, %d steps", len(acked), attempted, complete.Operations)
	}
	for step := 1; step <= complete.Operations; step++ {
		for cut := -4; cut < 300; cut += 1 + max(0, cut)/2 { // below 0: any part survives, at random
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

// Each change and sync fails once, in turn. Only the group affected is not acknowledged, and all
// acknowledged records must be present.
func TestEachStepFailing(t *testing.T) {
	complete := crash.New()
	appendGroups(complete, groupCount)
	for _, failure := range []error{errors.New("input/output error"), crash.ErrShort} {
		for step := 1; step <= complete.Operations; step++ {
			d := crash.New()
			d.Fail = func(op int, _ string) error {
				if op == step {
					return failure
				}
				return nil
			}
			acked, attempted := appendGroups(d, groupCount)
			if len(acked) < attempted-maxGroupSize {
				t.Fatalf("step %d: %d of %d are acknowledged", step, len(acked), attempted)
			}
			verifyRecovery(t, fmt.Sprintf("step %d", step), d.Crash(-1, rand.New(rand.NewPCG(1, uint64(step)))), acked)
		}
	}
}

// Each bit of the log is flipped in turn. The damage must be reported with its location, unless it is
// in the last group, where it cannot be told from the effect of a crash. The records replayed before it
// must be unchanged, and each further opening must give the same result.
func TestFlippedBits(t *testing.T) {
	original := crash.New()
	written, _ := appendGroups(original, 11) // the last group has 3
	names, _ := original.List()
	for _, file := range names {
		for bit := range original.Size(file) * 8 {
			damaged := original.Crash(0, nil)
			damaged.FlipBit(file, bit)
			opened := false
			for try := range openCount {
				log, records, err := openLog(t, damaged)
				if err == nil {
					log.Close()
					if last := names[len(names)-1]; len(records) < len(written) && (file != last || len(records) < len(written)-3) {
						t.Fatalf("%s, bit %d: %d of %d records are there, and nothing is said", file, bit, len(records), len(written))
					}
					opened = true
				} else if opened || !errors.Is(err, ErrDamage) {
					t.Fatalf("%s, bit %d, opening %d: %v", file, bit, try+1, err)
				}
				if len(records) > len(written) || !slices.Equal(records, written[:len(records)]) {
					t.Fatalf("%s, bit %d: another record is served: %q", file, bit, records)
				}
			}
		}
	}
}

// Each record of concurrent writers is acknowledged with its own sequence, and writers share syncs. A
// second opening of a real folder fails with ErrLocked.
func TestConcurrentWriters(t *testing.T) {
	dir := disk.Dir(t.TempDir())
	opened, _, err := openLog(t, dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := openLog(t, dir); !errors.Is(err, disk.ErrLocked) {
		t.Errorf("a second one: %v", err)
	}
	const writers, perWriter = 32, 20
	var mu sync.Mutex
	seen := map[uint64]bool{}
	var group sync.WaitGroup
	for w := range writers {
		group.Go(func() {
			for i := range perWriter {
				seq, err := opened.Append(1, fmt.Appendf(nil, "%d-%d", w, i))
				mu.Lock()
				if err != nil || seen[seq] {
					t.Errorf("record %d: %v", seq, err)
				}
				seen[seq] = true
				mu.Unlock()
			}
		})
	}
	group.Wait()
	if err := opened.Close(); err != nil {
		t.Error(err)
	}
	if _, err := opened.Append(1, nil); !errors.Is(err, ErrClosed) {
		t.Errorf("after the end: %v", err)
	}
	for n := range openCount {
		again, got, err := openLog(t, dir)
		if err != nil || len(got) != writers*perWriter {
			t.Fatalf("opening %d: %d records, %v", n+1, len(got), err)
		}
		again.Close()
	}
	t.Logf("%d records, %d syncs", writers*perWriter, opened.GroupsWritten)
}

// writeValues writes numbered values under a few names and compacts the log every eight groups. It
// returns the last acknowledged value of each name and the unacknowledged values written since.
func writeValues(storage *crash.Disk, groups int) (acked map[string]string, unacknowledged map[string][]string) {
	acked, unacknowledged = map[string]string{}, map[string][]string{}
	var opened *Log
	for i := range groups {
		if opened == nil || i%11 == 10 {
			if opened != nil {
				opened.Close()
			}
			var err error
			found := map[string]string{}
			if opened, err = Open(storage, testOptions, collectValues(found)); err != nil {
				opened = nil
				continue
			}
			for name, want := range acked {
				if got := found[name]; got != want && !slices.Contains(unacknowledged[name], got) {
					panic(fmt.Sprintf("opened in between, %s is %q, want %q", name, got, want))
				}
			}
		}
		if i%8 == 7 {
			var compacted []Record
			for _, name := range slices.Sorted(maps.Keys(acked)) {
				compacted = append(compacted, Record{Kind: 1, Payload: []byte(name + "=" + acked[name])})
			}
			opened.Compact(compacted, Record{Kind: 2})
		}
		var records []Record
		for k := range 1 + i%maxGroupSize {
			records = append(records, Record{Kind: 1, Payload: fmt.Appendf(nil, "n%d=%d.%d", (i+k)%5, i, k)})
		}
		err := appendGroup(opened, records...)
		for _, r := range records {
			name, value, _ := strings.Cut(string(r.Payload), "=")
			if err == nil {
				acked[name] = value
				delete(unacknowledged, name)
			} else {
				unacknowledged[name] = append(unacknowledged[name], value)
			}
		}
	}
	if opened != nil {
		opened.Close()
	}
	return acked, unacknowledged
}

// collectValues returns a replay function that stores the records of kind 1.
func collectValues(values map[string]string) func(Record) error {
	return func(r Record) error {
		if name, value, ok := strings.Cut(string(r.Payload), "="); ok && r.Kind == 1 {
			values[name] = value
		}
		return nil
	}
}

// readValues opens a log and returns the value of each name.
func readValues(fs disk.FS) (map[string]string, error) {
	values := map[string]string{}
	l, err := Open(fs, testOptions, collectValues(values))
	if err == nil {
		l.Close()
	}
	return values, err
}

// The power fails at every step of a run with compactions, or a single step fails. Acknowledged values
// must be present, and each further opening must find the same values.
func TestCompaction(t *testing.T) {
	const groups = 30
	complete := crash.New()
	writeValues(complete, groups)
	files, _ := complete.List()
	if len(files) > 8 {
		t.Errorf("%d files are left", len(files))
	}
	check := func(context string, d *crash.Disk, acked map[string]string, unacknowledged map[string][]string) {
		t.Helper()
		first, err := readValues(d)
		if err != nil {
			t.Fatalf("%s: %v", context, err)
		}
		for name, want := range acked {
			if got := first[name]; got != want && !slices.Contains(unacknowledged[name], got) {
				t.Fatalf("%s: %s is %q, want %q", context, name, got, want)
			}
		}
		for range openCount - 1 {
			if again, err := readValues(d); err != nil || !maps.Equal(again, first) {
				t.Fatalf("%s: another opening finds %v, not %v: %v", context, again, first, err)
			}
		}
	}
	for step := 1; step <= complete.Operations; step++ {
		for cut := -3; cut < 200; cut += 1 + max(0, cut)/2 {
			d := crash.New()
			d.Fail = func(op int, _ string) error {
				if op >= step {
					return errPower
				}
				return nil
			}
			acked, unacknowledged := writeValues(d, groups)
			check(fmt.Sprintf("step %d, cut %d", step, cut), d.Crash(max(-1, cut), rand.New(rand.NewPCG(uint64(step), uint64(cut+100)))), acked, unacknowledged)
		}
		for _, failure := range []error{errors.New("input/output error"), crash.ErrShort} {
			d := crash.New()
			d.Fail = func(op int, _ string) error {
				if op == step {
					return failure
				}
				return nil
			}
			acked, unacknowledged := writeValues(d, groups)
			d.Fail = nil
			check(fmt.Sprintf("step %d fails", step), d.Crash(-1, rand.New(rand.NewPCG(uint64(step), 1))), acked, unacknowledged)
		}
	}
}
