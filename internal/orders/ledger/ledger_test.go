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

// outcome is what clients and the origin know of a run.
type outcome struct {
	reported map[orders.Name][]byte
	ran      map[orders.Name]bool
}

// runOrders takes so many orders through, one after another; every fourth is given up before it is sent, every fifth comes back unrun once, and
// the ledger is opened anew now and then.
func runOrders(d disk.FS, n int) outcome {
	p := outcome{map[orders.Name][]byte{}, map[orders.Name]bool{}}
	var l *Ledger
	for i := range n {
		if l == nil || i%9 == 8 {
			if l != nil {
				l.Close()
			}
			var err error
			if l, err = Open(d, testOptions, clock); err != nil {
				l = nil
				continue
			}
		}
		o := orders.Order{Name: orderName(i)}
		if v, _, err := l.Take(o); v != orders.Proceed || err != nil {
			continue
		}
		if i%4 == 3 {
			l.End(o.Name, orders.NeverRan, nil, "")
			continue
		}
		if l.Send(o.Name, "o-1") != nil {
			continue
		}
		if i%5 == 4 {
			l.MarkNotRun(o.Name)
			if l.Send(o.Name, "o-2") != nil {
				continue
			}
		}
		p.ran[o.Name] = true
		if r := []byte(fmt.Sprint("receipt ", i)); l.End(o.Name, orders.Done, r, "") == nil {
			p.reported[o.Name] = r
		}
	}
	if l != nil {
		l.Close()
	}
	return p
}

// verifyRecovery opens a ledger after a crash and tells what contradicts what is known outside.
func verifyRecovery(t *testing.T, d disk.FS, p outcome, n int) (all []orders.Entry) {
	t.Helper()
	l, err := Open(d, testOptions, clock)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	l.All(func(e *orders.Entry) bool { all = append(all, *e); return true })
	for i := range n {
		e, _ := l.Get(orderName(i))
		if r := p.reported[orderName(i)]; r != nil && (e.State != orders.Done || !bytes.Equal(e.Receipt, r)) {
			t.Fatalf("order %d: its receipt was told, and on record is %v", i, e.State)
		}
		if e.State == orders.Done && !p.ran[orderName(i)] {
			t.Fatalf("order %d is on record as done, and has not run", i)
		}
		if v, _, _ := l.Take(orders.Order{Name: orderName(i)}); v == orders.Proceed && p.ran[orderName(i)] {
			t.Fatalf("order %d has run, and may be sent again: %v", i, e.State)
		}
	}
	return all
}

// The power goes at every step of a run with rotations, openings and compactions, with every part of what was not synced; or each step fails
// once. No order that has run may be sent again, each receipt that was told is on record.
func TestPowerLossAtEveryStep(t *testing.T) {
	const n = 26
	whole := crash.New()
	if p := runOrders(whole, n); len(p.reported) < n/2 || whole.Operations < 100 {
		t.Fatalf("%d receipts, %d steps", len(p.reported), whole.Operations)
	}
	errPower := errors.New("the power is gone")
	for step := 1; step <= whole.Operations; step++ {
		for cut := -2; cut < 200; cut += 1 + max(0, cut)*2/3 {
			d := crash.New()
			d.Fail = func(op int, _ string) error {
				if op >= step {
					return errPower
				}
				return nil
			}
			p := runOrders(d, n)
			verifyRecovery(t, d.Crash(max(-1, cut), rand.New(rand.NewPCG(uint64(step), uint64(cut+9)))), p, n)
		}
		for _, how := range []error{errors.New("no space left on device"), crash.ErrShort} {
			d := crash.New()
			d.Fail = func(op int, _ string) error {
				if op == step {
					return how
				}
				return nil
			}
			p := runOrders(d, n)
			d.Fail = nil
			verifyRecovery(t, d.Crash(-1, rand.New(rand.NewPCG(uint64(step), 1))), p, n)
		}
	}
}

// writersDirEnv has the test's binary be a process that writes orders until it is killed, in the folder that it names.
const writersDirEnv = "LEDGER_TEST_WRITERS"

func TestMain(m *testing.M) {
	if dir := os.Getenv(writersDirEnv); dir != "" {
		os.Exit(runWriters(disk.Dir(dir), os.Stdout))
	}
	os.Exit(m.Run())
}

// runWriters has eight clients take orders through at once, without an end, and tells of each what it knows: that it will run, and its receipt.
func runWriters(dir disk.Dir, out io.Writer) int {
	l, err := Open(dir, testOptions, clock)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	var mu sync.Mutex
	tell := func(what string, o int) {
		mu.Lock()
		fmt.Fprintln(out, what, o)
		mu.Unlock()
	}
	from := 0
	l.All(func(*orders.Entry) bool { from++; return true })
	var all sync.WaitGroup
	for w := range 8 {
		all.Go(func() {
			for i := 0; ; i++ {
				o := from + i*8 + w
				if v, _, err := l.Take(orders.Order{Name: orderName(o)}); v != orders.Proceed || err != nil {
					continue // its number is taken, after a run that was cut short
				}
				if l.Send(orderName(o), "o-1") != nil {
					return
				}
				tell("ran", o)
				if l.End(orderName(o), orders.Done, []byte("r"), "") != nil {
					return
				}
				tell("told", o)
			}
		})
	}
	all.Wait()
	return 1
}

// A real process with eight writers is killed again and again, each time after another count of lines, and its folder is opened by the
// next, and three times here: all that it told of is on record, nothing that has run may be sent again.
func TestRepeatedKills(t *testing.T) {
	dir := t.TempDir()
	p := outcome{map[orders.Name][]byte{}, map[orders.Name]bool{}}
	many := Options{Limits: orders.Limits{Retention: time.Hour, MaxOrders: 1 << 20, MaxReceiptBytes: 1 << 30}, SegmentSize: testOptions.SegmentSize, CompactAfter: testOptions.CompactAfter}
	most := 0
	for round := range 8 {
		c := exec.Command(os.Args[0])
		c.Env = append(os.Environ(), writersDirEnv+"="+dir)
		c.Stderr = os.Stderr
		out, err := c.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		lines := bufio.NewScanner(out)
		for n := 0; lines.Scan(); n++ {
			what, o := "", 0
			if k, err := fmt.Sscan(lines.Text(), &what, &o); k == 2 && err == nil {
				if most = max(most, o+1); what == "told" {
					p.reported[orderName(o)] = []byte("r")
				}
				p.ran[orderName(o)] = true
			}
			if n == 20+7*round {
				c.Process.Kill()
			}
		}
		c.Wait() // it was killed
		if len(p.reported) < 5*(round+1) {
			t.Fatalf("round %d: %d receipts", round, len(p.reported))
		}
		for n := range 3 {
			l, err := Open(disk.Dir(dir), many, clock)
			if err != nil {
				t.Fatalf("round %d, opening %d: %v", round, n+1, err)
			}
			for i := range most {
				e, _ := l.Get(orderName(i))
				if p.reported[orderName(i)] != nil && e.State != orders.Done {
					t.Fatalf("round %d: order %d was told done, and is %v", round, i, e.State)
				}
				if p.ran[orderName(i)] && e.State != orders.Done && e.State != orders.Unknown {
					t.Fatalf("round %d: order %d may have run, and is %v", round, i, e.State)
				}
			}
			l.Close()
		}
	}
}

// stalledDisk is a disk whose syncs wait, once it is told so.
type stalledDisk struct {
	*crash.Disk
	mu      sync.Mutex
	release chan struct{} // nil: they don't
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

// The disk takes its time: so many orders wait for it and no more are taken, at once and as never run; repeats of what is known are answered, and what
// is in hand ends as it should when the disk is back.
func TestSlowDisk(t *testing.T) {
	s := &stalledDisk{Disk: crash.New()}
	opt := testOptions
	opt.MaxPending = 4
	l, err := Open(s, opt, clock)
	if err != nil {
		t.Fatal(err)
	}
	take := func(i int) (orders.Verdict, error) {
		v, _, err := l.Take(orders.Order{Name: orderName(i)})
		return v, err
	}
	if _, err := take(0); err != nil {
		t.Fatal(err)
	}
	errs := []error{l.Send(orderName(0), "o-1"), l.End(orderName(0), orders.Done, []byte("r"), "")}
	_, err = take(1)
	if err := errors.Join(append(errs, err, l.Send(orderName(1), "o-1"))...); err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	s.release = make(chan struct{})
	s.mu.Unlock()
	ended, came := make(chan error, 1), make(chan error, 3)
	go func() { ended <- l.End(orderName(1), orders.Done, []byte("late"), "") }()
	for i := range 3 {
		go func() { _, err := take(2 + i); came <- err }()
	}
	for waiting := 0; waiting < opt.MaxPending; runtime.Gosched() { // each of them is in line now
		l.mu.Lock()
		waiting = l.pending
		l.mu.Unlock()
	}
	if _, err := take(9); !errors.Is(err, ErrDiskOverloaded) {
		t.Errorf("one more is taken: %v", err)
	}
	if v, err := take(0); v != orders.Receipt || err != nil {
		t.Errorf("a repeat: %v, %v", v, err)
	}
	close(s.release)
	for range 3 {
		if err := <-came; err != nil {
			t.Error(err)
		}
	}
	if err := <-ended; err != nil {
		t.Errorf("what has run is not recorded: %v", err)
	}
	if v, err := take(9); v != orders.Proceed || err != nil {
		t.Errorf("once the disk is back: %v, %v", v, err)
	}
	if _, there := l.Get(orderName(1)); !there || l.pending != 0 {
		t.Errorf("%d changes wait", l.pending)
	}
}

// Many at once on a real folder: each order is taken by one of those that ask for it, and compactions lose none.
func TestConcurrentOrders(t *testing.T) {
	dir := disk.Dir(t.TempDir())
	l, err := Open(dir, testOptions, clock)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir, testOptions, clock); !errors.Is(err, disk.ErrLocked) {
		t.Errorf("opened twice: %v", err)
	}
	const names, askers = 60, 8
	var mu sync.Mutex
	ran := map[orders.Name]int{}
	var all sync.WaitGroup
	for a := range askers {
		all.Go(func() {
			for i := range names {
				n := orderName((i + a*7) % names)
				v, _, err := l.Take(orders.Order{Name: n})
				if err != nil {
					t.Error(err)
				}
				if v != orders.Proceed {
					continue
				}
				if err := l.Send(n, "o-1"); err != nil {
					t.Error(err)
				}
				mu.Lock()
				ran[n]++
				mu.Unlock()
				if err := l.End(n, orders.Done, []byte("r "+n.Key), ""); err != nil {
					t.Error(err)
				}
			}
		})
	}
	all.Wait()
	if err := errors.Join(l.CompactionError(), l.Close()); err != nil {
		t.Error(err)
	}
	l, err = Open(dir, testOptions, clock)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for i := range names {
		if v, r, _ := l.Take(orders.Order{Name: orderName(i)}); ran[orderName(i)] != 1 || v != orders.Receipt || string(r) != "r "+orderName(i).Key {
			t.Errorf("order %d ran %d times; asked again: %v %q", i, ran[orderName(i)], v, r)
		}
	}
	if err := l.Settle(orderName(0), orders.NeverRan, nil, "ops"); !errors.Is(err, orders.ErrNotUnknown) {
		t.Errorf("settling what is done: %v", err)
	}
}
