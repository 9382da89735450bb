package ledger

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"testing"
	"time"

	"linenloom/internal/orders"
	"linenloom/internal/store/crash"
	"linenloom/internal/store/disk"
)

var testOptions = Options{Limits: orders.Limits{Retention: time.Hour, MaxOrders: 1000, MaxReceiptBytes: 1 << 20}, SegmentSize: 600, CompactAfter: 10}

func clock() time.Duration { return time.Minute }

func orderName(i int) orders.Name { return orders.Name{Tenant: "kiosk", Key: fmt.Sprint("k", i)} }

// outcome is what clients and the origin observed during a run.
type outcome struct {
	reported map[orders.Name][]byte // receipts that clients have received
	ran      map[orders.Name]bool
}

// runOrders processes n orders one after another. Every fourth is ended before it is sent, every fifth
// is rejected unrun by its first member and sent again, and the ledger is reopened every nine orders.
func runOrders(fs disk.FS, count int) outcome {
	result := outcome{map[orders.Name][]byte{}, map[orders.Name]bool{}}
	var ledger *Ledger
	for i := range count {
		if ledger == nil || i%9 == 8 {
			if ledger != nil {
				ledger.Close()
			}
			var err error
			if ledger, err = Open(fs, testOptions, clock); err != nil {
				ledger = nil
				continue
			}
		}
		o := orders.Order{Name: orderName(i)}
		if v, _, err := ledger.Take(o); v != orders.Proceed || err != nil {
			continue
		}
		if i%4 == 3 {
			ledger.End(o.Name, orders.NeverRan, nil, "")
			continue
		}
		if ledger.Send(o.Name, "o-1") != nil {
			continue
		}
		if i%5 == 4 {
			ledger.MarkNotRun(o.Name)
			if ledger.Send(o.Name, "o-2") != nil {
				continue
			}
		}
		result.ran[o.Name] = true
		if receipt := []byte(fmt.Sprint("receipt ", i)); ledger.End(o.Name, orders.Done, receipt, "") == nil {
			result.reported[o.Name] = receipt
		}
	}
	if ledger != nil {
		ledger.Close()
	}
	return result
}

// verifyRecovery opens a ledger after a crash and fails the test if its content contradicts the
// outcome.
func verifyRecovery(t *testing.T, fs disk.FS, observed outcome, count int) (entries []orders.Entry) {
	t.Helper()
	ledger, err := Open(fs, testOptions, clock)
	if err != nil {
		t.Fatal(err)
	}
	defer ledger.Close()
	ledger.All(func(e *orders.Entry) bool { entries = append(entries, *e); return true })
	for i := range count {
		e, _ := ledger.Get(orderName(i))
		if r := observed.reported[orderName(i)]; r != nil && (e.State != orders.Done || !bytes.Equal(e.Receipt, r)) {
			t.Fatalf("order %d: its receipt was told, and on record is %v", i, e.State)
		}
		if e.State == orders.Done && !observed.ran[orderName(i)] {
			t.Fatalf("order %d is on record as done, and has not run", i)
		}
		if v, _, _ := ledger.Take(orders.Order{Name: orderName(i)}); v == orders.Proceed && observed.ran[orderName(i)] {
			t.Fatalf("order %d has run, and may be sent again: %v", i, e.State)
		}
	}
	return entries
}

// The power fails at every step of a run with segment rotations, reopenings and compactions, with any
// part of the unsynced data surviving, or a single step fails. No order that has run may be sent again,
// and each reported receipt must be on record.
func TestPowerLossAtEveryStep(t *testing.T) {
	const n = 26
	complete := crash.New()
	if observed := runOrders(complete, n); len(observed.reported) < n/2 || complete.Operations < 100 {
		t.Fatalf("%d receipts, %d steps", len(observed.reported), complete.Operations)
	}
	errPower := errors.New("the power is gone")
	for step := 1; step <= complete.Operations; step++ {
		for cut := -2; cut < 200; cut += 1 + max(0, cut)*2/3 {
			d := crash.New()
			d.Fail = func(op int, _ string) error {
				if op >= step {
					return errPower
				}
				return nil
			}
			observed := runOrders(d, n)
			verifyRecovery(t, d.Crash(max(-1, cut), rand.New(rand.NewPCG(uint64(step), uint64(cut+9)))), observed, n)
		}
		for _, failure := range []error{errors.New("no space left on device"), crash.ErrShort} {
			d := crash.New()
			d.Fail = func(op int, _ string) error {
				if op == step {
					return failure
				}
				return nil
			}
			observed := runOrders(d, n)
			d.Fail = nil
			verifyRecovery(t, d.Crash(-1, rand.New(rand.NewPCG(uint64(step), 1))), observed, n)
		}
	}
}

// writersDirEnv makes the test binary run runWriters, in the folder that the variable names, until the
// process is killed.
const writersDirEnv = "LEDGER_TEST_WRITERS"

func TestMain(m *testing.M) {
	if dir := os.Getenv(writersDirEnv); dir != "" {
		os.Exit(runWriters(disk.Dir(dir), os.Stdout))
	}
	os.Exit(m.Run())
}

// runWriters lets eight concurrent clients process orders without end. It prints "ran" before an order
// is ended and "recorded" once its receipt is on record.
func runWriters(dir disk.Dir, out io.Writer) int {
	ledger, err := Open(dir, testOptions, clock)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	var mu sync.Mutex
	report := func(what string, number int) {
		mu.Lock()
		fmt.Fprintln(out, what, number)
		mu.Unlock()
	}
	from := 0
	ledger.All(func(*orders.Entry) bool { from++; return true })
	var clients sync.WaitGroup
	for client := range 8 {
		clients.Go(func() {
			for i := 0; ; i++ {
				number := from + i*8 + client
				if v, _, err := ledger.Take(orders.Order{Name: orderName(number)}); v != orders.Proceed || err != nil {
					continue // an earlier process was killed after it had used this number
				}
				if ledger.Send(orderName(number), "o-1") != nil {
					return
				}
				report("ran", number)
				if ledger.End(orderName(number), orders.Done, []byte("r"), "") != nil {
					return
				}
				report("recorded", number)
			}
		})
	}
	clients.Wait()
	return 1
}

// A process with eight writers is killed repeatedly, each time after a different number of lines, and
// the next process reopens its folder. After each kill the folder is opened three times: everything
// that the process reported must be on record, and no order that has run may be sent again.
func TestRepeatedKills(t *testing.T) {
	dir := t.TempDir()
	observed := outcome{map[orders.Name][]byte{}, map[orders.Name]bool{}}
	options := Options{Limits: orders.Limits{Retention: time.Hour, MaxOrders: 1 << 20, MaxReceiptBytes: 1 << 30}, SegmentSize: testOptions.SegmentSize, CompactAfter: testOptions.CompactAfter}
	highest := 0
	for round := range 8 {
		process := exec.Command(os.Args[0])
		process.Env = append(os.Environ(), writersDirEnv+"="+dir)
		process.Stderr = os.Stderr
		out, err := process.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := process.Start(); err != nil {
			t.Fatal(err)
		}
		lines := bufio.NewScanner(out)
		for n := 0; lines.Scan(); n++ {
			what, number := "", 0
			if k, err := fmt.Sscan(lines.Text(), &what, &number); k == 2 && err == nil {
				if highest = max(highest, number+1); what == "recorded" {
					observed.reported[orderName(number)] = []byte("r")
				}
				observed.ran[orderName(number)] = true
			}
			if n == 20+7*round {
				process.Process.Kill()
			}
		}
		process.Wait() // the error is that it was killed
		if len(observed.reported) < 5*(round+1) {
			t.Fatalf("round %d: %d receipts", round, len(observed.reported))
		}
		for n := range 3 {
			ledger, err := Open(disk.Dir(dir), options, clock)
			if err != nil {
				t.Fatalf("round %d, opening %d: %v", round, n+1, err)
			}
			for i := range highest {
				e, _ := ledger.Get(orderName(i))
				if observed.reported[orderName(i)] != nil && e.State != orders.Done {
					t.Fatalf("round %d: order %d was told done, and is %v", round, i, e.State)
				}
				if observed.ran[orderName(i)] && e.State != orders.Done && e.State != orders.Unknown {
					t.Fatalf("round %d: order %d may have run, and is %v", round, i, e.State)
				}
			}
			ledger.Close()
		}
	}
}

// stalledDisk is a disk whose syncs block while release is set.
type stalledDisk struct {
	*crash.Disk
	mu      sync.Mutex
	release chan struct{} // nil: syncs do not block
}

func (s *stalledDisk) Create(name string) (disk.File, error) {
	f, err := s.Disk.Create(name)
	return stalledFile{f, s}, err
}

type stalledFile struct {
	disk.File
	disk *stalledDisk
}

func (f stalledFile) Sync() error {
	f.disk.mu.Lock()
	hold := f.disk.release
	f.disk.mu.Unlock()
	if hold != nil {
		<-hold
	}
	return f.File.Sync()
}

// While the disk blocks, at most MaxPending orders wait for it; further orders are refused at once as
// not run. Retries of known orders are answered, and orders in progress end normally once the disk
// works again.
func TestSlowDisk(t *testing.T) {
	slow := &stalledDisk{Disk: crash.New()}
	options := testOptions
	options.MaxPending = 4
	ledger, err := Open(slow, options, clock)
	if err != nil {
		t.Fatal(err)
	}
	take := func(i int) (orders.Verdict, error) {
		v, _, err := ledger.Take(orders.Order{Name: orderName(i)})
		return v, err
	}
	if _, err := take(0); err != nil {
		t.Fatal(err)
	}
	errs := []error{ledger.Send(orderName(0), "o-1"), ledger.End(orderName(0), orders.Done, []byte("r"), "")}
	_, err = take(1)
	if err := errors.Join(append(errs, err, ledger.Send(orderName(1), "o-1"))...); err != nil {
		t.Fatal(err)
	}
	slow.mu.Lock()
	slow.release = make(chan struct{})
	slow.mu.Unlock()
	ended, taken := make(chan error, 1), make(chan error, 3)
	go func() { ended <- ledger.End(orderName(1), orders.Done, []byte("late"), "") }()
	for i := range 3 {
		go func() { _, err := take(2 + i); taken <- err }()
	}
	for waiting := 0; waiting < options.MaxPending; runtime.Gosched() { // until each of them waits for the disk
		ledger.mu.Lock()
		waiting = ledger.pending
		ledger.mu.Unlock()
	}
	if _, err := take(9); !errors.Is(err, ErrTooManyPending) {
		t.Errorf("one more is taken: %v", err)
	}
	if v, err := take(0); v != orders.Receipt || err != nil {
		t.Errorf("a repeat: %v, %v", v, err)
	}
	close(slow.release)
	for range 3 {
		if err := <-taken; err != nil {
			t.Error(err)
		}
	}
	if err := <-ended; err != nil {
		t.Errorf("what has run is not recorded: %v", err)
	}
	if v, err := take(9); v != orders.Proceed || err != nil {
		t.Errorf("once the disk is back: %v, %v", v, err)
	}
	if _, there := ledger.Get(orderName(1)); !there || ledger.pending != 0 {
		t.Errorf("%d changes wait", ledger.pending)
	}
}

// Several clients submit the same orders concurrently to a ledger in a real folder. Exactly one client
// gets each order, and compactions lose no order.
func TestConcurrentOrders(t *testing.T) {
	dir := disk.Dir(t.TempDir())
	ledger, err := Open(dir, testOptions, clock)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir, testOptions, clock); !errors.Is(err, disk.ErrLocked) {
		t.Errorf("opened twice: %v", err)
	}
	const orderCount, clientCount = 60, 8
	var mu sync.Mutex
	ran := map[orders.Name]int{}
	var clients sync.WaitGroup
	for client := range clientCount {
		clients.Go(func() {
			for i := range orderCount {
				name := orderName((i + client*7) % orderCount)
				v, _, err := ledger.Take(orders.Order{Name: name})
				if err != nil {
					t.Error(err)
				}
				if v != orders.Proceed {
					continue
				}
				if err := ledger.Send(name, "o-1"); err != nil {
					t.Error(err)
				}
				mu.Lock()
				ran[name]++
				mu.Unlock()
				if err := ledger.End(name, orders.Done, []byte("r "+name.Key), ""); err != nil {
					t.Error(err)
				}
			}
		})
	}
	clients.Wait()
	if err := errors.Join(ledger.CompactionError(), ledger.Close()); err != nil {
		t.Error(err)
	}
	ledger, err = Open(dir, testOptions, clock)
	if err != nil {
		t.Fatal(err)
	}
	defer ledger.Close()
	for i := range orderCount {
		if v, r, _ := ledger.Take(orders.Order{Name: orderName(i)}); ran[orderName(i)] != 1 || v != orders.Receipt || string(r) != "r "+orderName(i).Key {
			t.Errorf("order %d ran %d times; asked again: %v %q", i, ran[orderName(i)], v, r)
		}
	}
	if err := ledger.Settle(orderName(0), orders.NeverRan, nil, "ops"); !errors.Is(err, orders.ErrNotUnknown) {
		t.Errorf("settling what is done: %v", err)
	}
}
