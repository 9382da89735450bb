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

var usual = Options{Limits: orders.Limits{Retention: time.Hour, MaxOrders: 1000, MaxReceiptBytes: 1 << 20}, SegmentSize: 600, CompactAt: 10}

func clock() time.Duration { return time.Minute }

func name(i int) orders.Name { return orders.Name{Tenant: "kiosk", Key: fmt.Sprint("k", i)} }

// played is what clients and the origin know of a run.
type played struct {
	told map[orders.Name][]byte
	ran  map[orders.Name]bool
}

// play takes so many orders through, one after another; every fourth is given up before it is sent, every fifth comes back unrun once, and
// the ledger is opened anew now and then.
func play(d disk.FS, n int) played {
	p := played{map[orders.Name][]byte{}, map[orders.Name]bool{}}
	var l *Ledger
	for i := range n {
		if l == nil || i%9 == 8 {
			if l != nil {
				l.Close()
			}
			var err error
			if l, err = Open(d, usual, clock); err != nil {
				l = nil
				continue
			}
		}
		o := orders.Order{Name: name(i)}
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
			l.Returned(o.Name)
			if l.Send(o.Name, "o-2") != nil {
				continue
			}
		}
		p.ran[o.Name] = true
		if r := []byte(fmt.Sprint("receipt ", i)); l.End(o.Name, orders.Done, r, "") == nil {
			p.told[o.Name] = r
		}
	}
	if l != nil {
		l.Close()
	}
	return p
}

// held opens a ledger after a crash and tells what contradicts what is known outside.
func held(t *testing.T, d disk.FS, p played, n int) (all []orders.Entry) {
	t.Helper()
	l, err := Open(d, usual, clock)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	l.Each(func(e *orders.Entry) bool { all = append(all, *e); return true })
	for i := range n {
		e, _ := l.Get(name(i))
		if r := p.told[name(i)]; r != nil && (e.State != orders.Done || !bytes.Equal(e.Receipt, r)) {
			t.Fatalf("order %d: its receipt was told, and on record is %v", i, e.State)
		}
		if e.State == orders.Done && !p.ran[name(i)] {
			t.Fatalf("order %d is on record as done, and has not run", i)
		}
		if v, _, _ := l.Take(orders.Order{Name: name(i)}); v == orders.Proceed && p.ran[name(i)] {
			t.Fatalf("order %d has run, and may be sent again: %v", i, e.State)
		}
	}
	return all
}

// The power goes at every step of a run with rotations, openings and compactions, with every part of what was not synced; or each step fails
// once. No order that has run may be sent again, each receipt that was told is on record.
func TestPowerGoesAtEveryStep(t *testing.T) {
	const n = 26
	whole := crash.New()
	if p := play(whole, n); len(p.told) < n/2 || whole.Ops < 100 {
		t.Fatalf("%d receipts, %d steps", len(p.told), whole.Ops)
	}
	errPower := errors.New("the power is gone")
	for step := 1; step <= whole.Ops; step++ {
		for cut := -2; cut < 200; cut += 1 + max(0, cut)*2/3 {
			d := crash.New()
			d.Fail = func(op int, _ string) error {
				if op >= step {
					return errPower
				}
				return nil
			}
			p := play(d, n)
			held(t, d.Crash(max(-1, cut), rand.New(rand.NewPCG(uint64(step), uint64(cut+9)))), p, n)
		}
		for _, how := range []error{errors.New("no space left on device"), crash.ErrShort} {
			d := crash.New()
			d.Fail = func(op int, _ string) error {
				if op == step {
					return how
				}
				return nil
			}
			p := play(d, n)
			d.Fail = nil
			held(t, d.Crash(-1, rand.New(rand.NewPCG(uint64(step), 1))), p, n)
		}
	}
}

// writersEnv has the test's binary be a process that writes orders until it is killed, in the folder that it names.
const writersEnv = "LEDGER_TEST_WRITERS"

func TestMain(m *testing.M) {
	if dir := os.Getenv(writersEnv); dir != "" {
		os.Exit(writers(disk.Dir(dir), os.Stdout))
	}
	os.Exit(m.Run())
}

// writers has eight clients take orders through at once, without an end, and tells of each what it knows: that it will run, and its receipt.
func writers(dir disk.Dir, out io.Writer) int {
	l, err := Open(dir, usual, clock)
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
	l.Each(func(*orders.Entry) bool { from++; return true })
	var all sync.WaitGroup
	for w := range 8 {
		all.Go(func() {
			for i := 0; ; i++ {
				o := from + i*8 + w
				if v, _, err := l.Take(orders.Order{Name: name(o)}); v != orders.Proceed || err != nil {
					continue // its number is taken, after a run that was cut short
				}
				if l.Send(name(o), "o-1") != nil {
					return
				}
				tell("ran", o)
				if l.End(name(o), orders.Done, []byte("r"), "") != nil {
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
func TestKilledAgainAndAgain(t *testing.T) {
	dir := t.TempDir()
	p := played{map[orders.Name][]byte{}, map[orders.Name]bool{}}
	many := Options{Limits: orders.Limits{Retention: time.Hour, MaxOrders: 1 << 20, MaxReceiptBytes: 1 << 30}, SegmentSize: usual.SegmentSize, CompactAt: usual.CompactAt}
	most := 0
	for round := range 8 {
		c := exec.Command(os.Args[0])
		c.Env = append(os.Environ(), writersEnv+"="+dir)
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
					p.told[name(o)] = []byte("r")
				}
				p.ran[name(o)] = true
			}
			if n == 20+7*round {
				c.Process.Kill()
			}
		}
		c.Wait() // it was killed
		if len(p.told) < 5*(round+1) {
			t.Fatalf("round %d: %d receipts", round, len(p.told))
		}
		for n := range 3 {
			l, err := Open(disk.Dir(dir), many, clock)
			if err != nil {
				t.Fatalf("round %d, opening %d: %v", round, n+1, err)
			}
			for i := range most {
				e, _ := l.Get(name(i))
				if p.told[name(i)] != nil && e.State != orders.Done {
					t.Fatalf("round %d: order %d was told done, and is %v", round, i, e.State)
				}
				if p.ran[name(i)] && e.State != orders.Done && e.State != orders.Unknown {
					t.Fatalf("round %d: order %d may have run, and is %v", round, i, e.State)
				}
			}
			l.Close()
		}
	}
}

// stuck is a disk whose syncs wait, once it is told so.
type stuck struct {
	*crash.Disk
	mu   sync.Mutex
	hold chan struct{} // nil: they don't
}

func (s *stuck) Create(name string) (disk.File, error) {
	f, err := s.Disk.Create(name)
	return stuckFile{f, s}, err
}

type stuckFile struct {
	disk.File
	s *stuck
}

func (f stuckFile) Sync() error {
	f.s.mu.Lock()
	hold := f.s.hold
	f.s.mu.Unlock()
	if hold != nil {
		<-hold
	}
	return f.File.Sync()
}

// The disk takes its time: so many orders wait for it and no more are taken, at once and as never run; repeats of what is known are answered, and what
// is in hand ends as it should when the disk is back.
func TestDiskIsSlow(t *testing.T) {
	s := &stuck{Disk: crash.New()}
	opt := usual
	opt.Line = 4
	l, err := Open(s, opt, clock)
	if err != nil {
		t.Fatal(err)
	}
	take := func(i int) (orders.Verdict, error) {
		v, _, err := l.Take(orders.Order{Name: name(i)})
		return v, err
	}
	if _, err := take(0); err != nil {
		t.Fatal(err)
	}
	errs := []error{l.Send(name(0), "o-1"), l.End(name(0), orders.Done, []byte("r"), "")}
	_, err = take(1)
	if err := errors.Join(append(errs, err, l.Send(name(1), "o-1"))...); err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	s.hold = make(chan struct{})
	s.mu.Unlock()
	ended, came := make(chan error, 1), make(chan error, 3)
	go func() { ended <- l.End(name(1), orders.Done, []byte("late"), "") }()
	for i := range 3 {
		go func() { _, err := take(2 + i); came <- err }()
	}
	for waiting := 0; waiting < opt.Line; runtime.Gosched() { // each of them is in line now
		l.mu.Lock()
		waiting = l.line
		l.mu.Unlock()
	}
	if _, err := take(9); !errors.Is(err, ErrSlow) {
		t.Errorf("one more is taken: %v", err)
	}
	if v, err := take(0); v != orders.Receipt || err != nil {
		t.Errorf("a repeat: %v, %v", v, err)
	}
	close(s.hold)
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
	if _, there := l.Get(name(1)); !there || l.line != 0 {
		t.Errorf("%d changes wait", l.line)
	}
}

// Many at once on a real folder: each order is taken by one of those that ask for it, and compactions lose none.
func TestManyAtOnce(t *testing.T) {
	dir := disk.Dir(t.TempDir())
	l, err := Open(dir, usual, clock)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir, usual, clock); !errors.Is(err, disk.ErrLocked) {
		t.Errorf("opened twice: %v", err)
	}
	const names, askers = 60, 8
	var mu sync.Mutex
	ran := map[orders.Name]int{}
	var all sync.WaitGroup
	for a := range askers {
		all.Go(func() {
			for i := range names {
				n := name((i + a*7) % names)
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
	if err := errors.Join(l.Fault(), l.Close()); err != nil {
		t.Error(err)
	}
	l, err = Open(dir, usual, clock)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for i := range names {
		if v, r, _ := l.Take(orders.Order{Name: name(i)}); ran[name(i)] != 1 || v != orders.Receipt || string(r) != "r "+name(i).Key {
			t.Errorf("order %d ran %d times; asked again: %v %q", i, ran[name(i)], v, r)
		}
	}
	if err := l.Settle(name(0), orders.NeverRan, nil, "ops"); !errors.Is(err, orders.ErrNotUnknown) {
		t.Errorf("settling what is done: %v", err)
	}
}
