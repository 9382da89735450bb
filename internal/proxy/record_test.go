package proxy

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"linenloom/internal/orders"
	"linenloom/internal/orders/keeper"
	"linenloom/internal/orders/ledger"
	"linenloom/internal/reasons"
	"linenloom/internal/store/crash"
)

var recordOptions = keeper.Options{Options: ledger.Options{
	Limits: orders.Limits{Retention: time.Hour, MaxOrders: 1000, MaxReceiptBytes: 1 << 20}, SegmentSize: 64 << 10, CompactAfter: 1000, MaxPending: 32}}

func openRecord(t *testing.T, d *crash.Disk, opt keeper.Options) *keeper.Keeper {
	t.Helper()
	k, err := keeper.Open(d, opt, ledger.WallClock, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { k.Close() })
	return k
}

// till is an origin that counts how often each order ran.
type till struct {
	t      *testing.T
	mu     sync.Mutex
	ran    map[string]int
	answer func(r *http.Request, n int) string // nil: a receipt
	asked  chan string
}

func newTill(t *testing.T) *till {
	return &till{t: t, ran: map[string]int{}, asked: make(chan string, 100)}
}

func (o *till) origin() string {
	return origin(o.t, func(r *http.Request) string {
		key := r.URL.Path[1:]
		o.mu.Lock()
		o.ran[key]++
		n := o.ran[key]
		o.mu.Unlock()
		o.asked <- key
		if o.answer != nil {
			return o.answer(r, n)
		}
		return page("receipt of " + key)
	})
}

func (o *till) runs(key string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ran[key]
}

// recording is a proxy before a till and a cache, with a record on a disk.
func recording(t *testing.T, o *till, d *crash.Disk, set ...func(*Config, *keeper.Options)) *testProxy {
	t.Helper()
	cfg, opt := testConfig(), recordOptions
	cfg.Receipts = []string{"resp2"}
	cfg.Settings.CanRetryAfter, cfg.Settings.MaxRetryAfter = true, 2*time.Second
	for _, f := range set {
		f(&cfg, &opt)
	}
	cfg.Record = openRecord(t, d, opt)
	return start(t, cfg, entry("s-a", cache(t, func(asked) string { return hit("tile") }), "large"), entry("s-o", o.origin(), "origin"))
}

func order(key, id, value, more string) string {
	return words("OBJ.SET", key, id, "c=pass-order,d=4000"+more, value)
}

const notProcessed = "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"

// What a repeat is told, by what became of the order, here and by a process that opens the record after this one.
func TestWhatARepeatIsTold(t *testing.T) {
	for name, c := range map[string]struct {
		answer          func(r *http.Request, n int) string
		first, repeat   string // how the answers begin
		other           string // value of the repeat; "": the same
		receiptsAreTold bool
		before, runs    int // after the first answer, and after the repeats, here and at the next process
	}{
		"it has run":                           {first: "receipt", repeat: "receipt of p", receiptsAreTold: true, before: 1, runs: 1},
		"it has run, and that is all it hears": {first: "receipt", repeat: "-ERR failed", before: 1, runs: 1},
		"it may have run": {answer: func(*http.Request, int) string { return "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n" },
			first: "-ERR failed", repeat: "-ERR failed", receiptsAreTold: true, before: 1, runs: 1},
		"it never ran": {answer: func(_ *http.Request, n int) string {
			if n <= 4 {
				return notProcessed
			}
			return page("receipt of p")
		}, first: "-BUSY", repeat: "receipt of p", receiptsAreTold: true, before: 4, runs: 5},
		"it is another order": {first: "receipt", repeat: "-ERR the idempotency key", other: "two passes", receiptsAreTold: true, before: 1, runs: 1},
	} {
		t.Run(name, func(t *testing.T) {
			o, d := newTill(t), crash.New()
			o.answer = c.answer
			set := func(cfg *Config, _ *keeper.Options) {
				if !c.receiptsAreTold {
					cfg.Receipts = nil
				}
			}
			p := recording(t, o, d, set)
			client := p.dial()
			tell := func(client *testClient, id, want string, runs int) {
				t.Helper()
				value, more := "a pass", ",t=acme,k=key-1"
				if id != "1" {
					more += ",r=1"
					if c.other != "" {
						value = c.other
					}
				}
				client.send(order("p", id, value, more))
				if got := client.answer(); !strings.HasPrefix(got, want) {
					t.Errorf("order %s: %q, want %q", id, got, want)
				}
				if got := o.runs("p"); got != runs {
					t.Errorf("after order %s it has run %d times, want %d", id, got, runs)
				}
			}
			tell(client, "1", c.first, c.before)
			tell(client, "2", c.repeat, c.runs)
			p.ended()
			next := recording(t, o, d, set)
			tell(next.dial(), "3", c.repeat, c.runs)
		})
	}
}

// Repeats that nobody here knows are not run, unless the operator says that they may be; who has no key is not known by its request's id.
func TestStrangers(t *testing.T) {
	for name, c := range map[string]struct {
		run  bool
		more string
		want string
	}{
		"looked up":           {false, ",k=a,r=1", "-ERR failed"},
		"run":                 {true, ",k=a,r=1", "receipt of p"},
		"no repeat by a key":  {false, ",k=a", "receipt of p"},
		"a repeat without it": {false, ",r=1", "receipt of p"},
	} {
		t.Run(name, func(t *testing.T) {
			p := recording(t, newTill(t), crash.New(), func(_ *Config, opt *keeper.Options) { opt.RunUnknownRetries = c.run })
			client := p.dial()
			client.send(order("p", "1", "a pass", c.more))
			if got := client.answer(); got != c.want {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}

// Two askers of one order at once: one has it, the other is told that nothing is promised; it runs once.
func TestTheSameOrderTwiceAtOnce(t *testing.T) {
	o := newTill(t)
	free := make(chan struct{})
	o.answer = func(*http.Request, int) string { <-free; return page("receipt") }
	p := recording(t, o, crash.New())
	a, b := p.dial(), p.dial()
	a.send(order("p", "1", "a pass", ",k=a"))
	<-o.asked
	b.send(order("p", "2", "a pass", ",k=a"))
	if got := b.answer(); got != "-ERR failed" {
		t.Errorf("the second: %q", got)
	}
	close(free)
	if got := a.answer(); got != "receipt" || o.runs("p") != 1 {
		t.Errorf("the first: %q, %d runs", got, o.runs("p"))
	}
}

// A disk that fails at each step of an order: it is refused as never run, or has run once and its client is promised nothing; reads are
// served throughout, and once the disk is well orders go on by themselves.
func TestDiskGoesBadWhileServing(t *testing.T) {
	bad := errors.New("input/output error")
	for name, c := range map[string]struct {
		fails func(ops int) bool // of the changes of the disk, from the order's first on
		want  string
		runs  int
	}{
		"from its taking on":  {func(n int) bool { return n >= 1 }, "-BUSY ", 0},
		"at one sync, taken":  {func(n int) bool { return n == 6 }, "-BUSY ", 0},
		"from its sending on": {func(n int) bool { return n >= 7 }, "-BUSY ", 0},
		"at one sync, sent":   {func(n int) bool { return n == 8 }, "-BUSY ", 0},
		"from its end on":     {func(n int) bool { return n >= 9 }, "-ERR failed", 1},
		"at one sync, ended":  {func(n int) bool { return n == 10 }, "-ERR failed", 1},
	} {
		t.Run(name, func(t *testing.T) {
			o, d := newTill(t), crash.New()
			p := recording(t, o, d)
			client := p.dial()
			read := func() {
				t.Helper()
				client.send(get("a", fmt.Sprint("r", time.Now().UnixNano())))
				if got := client.answer(); got != "tile" {
					t.Errorf("a read: %q", got)
				}
			}
			from := d.Operations
			var well atomic.Bool
			d.Fail = func(op int, what string) error {
				if !well.Load() && c.fails(op-from) {
					return bad
				}
				return nil
			}
			client.send(order("p", "1", "a pass", ",k=a"))
			if got := client.answer(); !strings.HasPrefix(got, c.want) || o.runs("p") != c.runs {
				t.Errorf("%q after %d runs, want %q after %d", got, o.runs("p"), c.want, c.runs)
			}
			read()
			well.Store(true)
			client.send(order("q", "2", "a pass", ",k=b"))
			if got := client.answer(); got != "receipt of q" {
				t.Errorf("on the disk that is well again: %q", got)
			}
			read()
			client.send(order("p", "3", "a pass", ",k=a,r=1"))
			if got := client.answer(); c.runs == 0 && got != "receipt of p" || c.runs == 1 && got != "-ERR failed" {
				t.Errorf("the repeat: %q", got)
			}
			if got := o.runs("p"); got != 1 {
				t.Errorf("it has run %d times", got)
			}
		})
	}
}

// A disk that takes long: reads are served, orders are refused when their time is over or the line is full, and none of them runs; one that
// has run and waits for its receipt to be on record is told that nothing is promised, and the record knows better later.
func TestSlowDisk(t *testing.T) {
	o, d := newTill(t), crash.New()
	var on func(*testProxy, time.Duration)
	p := recording(t, o, d, func(cfg *Config, opt *keeper.Options) { on, opt.MaxPending = handClock(cfg), 4 })
	client := p.dial()
	stuck, reached := make(chan struct{}), make(chan struct{}, 100)
	var block atomic.Bool
	d.Fail = func(int, string) error {
		if block.Load() {
			reached <- struct{}{}
			<-stuck
		}
		return nil
	}
	o.answer = func(r *http.Request, _ int) string {
		block.Store(true)
		return page("receipt of " + r.URL.Path[1:])
	}
	client.send(order("first", "1", "a pass", ",k=first"))
	// The clock goes on a little for the module's choice, and far less than the order's time.
	p.eventually("it is taken", func() bool { return p.recorded == 1 })
	for ticks, waits := 0, true; waits; ticks++ {
		select {
		case <-reached: // its receipt is on its way to the disk
			waits = false
		case <-time.After(time.Millisecond):
			if ticks < 1000 {
				on(p, time.Millisecond)
			}
		}
	}
	var rest []*testClient
	for i := range 6 {
		c := p.dial()
		rest = append(rest, c)
		c.send(order(fmt.Sprint("o", i), fmt.Sprint("id", i), "a pass", fmt.Sprint(",k=o", i)))
	}
	p.eventually("two find the line full", func() bool { return p.reasons.Total(reasons.Refused, reasons.RecordBehind) == 3 })
	reader := p.dial()
	reader.send(get("a", "r1"))
	if got := reader.answer(); got != "tile" {
		t.Errorf("a read: %q", got)
	}
	on(p, 4*time.Second)
	if got := client.answer(); got != "-ERR failed" {
		t.Errorf("what has run and is not on record: %q", got)
	}
	for _, c := range rest {
		if got := c.answer(); !strings.HasPrefix(got, "-BUSY ") {
			t.Errorf("what waited: %q", got)
		}
	}
	block.Store(false)
	close(stuck)
	p.eventually("nothing is in hand", func() bool { return p.recorded == 0 && len(p.requests) == 0 })
	client.send(order("first", "9", "a pass", ",k=first,r=1"))
	if got := client.answer(); got != "receipt of first" {
		t.Errorf("the repeat: %q", got)
	}
	for i := range 6 {
		if n := o.runs(fmt.Sprint("o", i)); n != 0 {
			t.Errorf("order %d has run %d times", i, n)
		}
	}
}

// A successor's orders wait until the process before has given up the record, and go then; what they repeat is known.
func TestRecordIsHandedOver(t *testing.T) {
	o, d := newTill(t), crash.New()
	free := make(chan struct{})
	o.answer = func(r *http.Request, _ int) string {
		if r.URL.Path == "/long" {
			<-free
		}
		return page("receipt of " + r.URL.Path[1:])
	}
	p := recording(t, o, d)
	a := p.dial()
	a.send(order("long", "1", "a pass", ",k=long"))
	<-o.asked
	next := recording(t, o, d, func(_ *Config, opt *keeper.Options) { opt.WaitForPredecessor = true })
	b := next.dial()
	b.send(order("p", "2", "a pass", ",k=p"))
	next.eventually("it waits", func() bool { return next.recorded == 1 })
	p.stop()
	p.eventually("the stop is under way", func() bool { return p.stopping })
	close(free)
	if got := a.answer(); got != "receipt of long" {
		t.Errorf("at the process before: %q", got)
	}
	if got := b.answer(); got != "receipt of p" {
		t.Errorf("at its successor: %q", got)
	}
	b.send(order("long", "3", "a pass", ",k=long,r=1"))
	if got := b.answer(); got != "receipt of long" || o.runs("long") != 1 {
		t.Errorf("the repeat: %q, %d runs", got, o.runs("long"))
	}
}

// A member that drains while the record is written gets nothing new, and the order goes to another.
func TestDrainWhileRecorded(t *testing.T) {
	o, other, d := newTill(t), newTill(t), crash.New()
	cfg := testConfig()
	cfg.Record = openRecord(t, d, recordOptions)
	first := entry("o-1", o.origin(), "origin")
	r := newRegistry(t, discoveryList(1, true, first))
	p := startAt(t, cfg, r)
	<-r.watched
	syncs, stuck, reached := 0, make(chan struct{}), make(chan struct{})
	d.Fail = func(_ int, what string) error {
		if strings.HasPrefix(what, "sync") {
			if syncs++; syncs == 4 { // the file's, the folder's, the taking's, the sending's
				close(reached)
				<-stuck
			}
		}
		return nil
	}
	c := p.dial()
	c.send(order("p", "1", "a pass", ",k=a"))
	<-reached
	first.Phase = "terminating"
	r.tell(discoveryList(2, false, first, entry("o-2", other.origin(), "origin")))
	p.eventually("the drain is known", func() bool { return p.revision == 2 })
	close(stuck)
	if got := c.answer(); got != "receipt of p" || o.runs("p") != 0 || other.runs("p") != 1 {
		t.Errorf("%q; %d runs at the member that drains, %d at the other", got, o.runs("p"), other.runs("p"))
	}
}

// A client that leaves: what was sent runs, and its receipt is there for it when it comes again.
func TestClientOfAnOrderLeaves(t *testing.T) {
	o, d := newTill(t), crash.New()
	free := make(chan struct{})
	o.answer = func(*http.Request, int) string { <-free; return page("receipt") }
	p := recording(t, o, d)
	c := p.dial()
	c.send(order("p", "1", "a pass", ",k=a"))
	<-o.asked
	c.conn.(*net.TCPConn).SetLinger(0)
	c.conn.Close()
	p.eventually("its end is seen", func() bool { return len(p.redis.clients) == 0 })
	close(free)
	p.eventually("nothing is in hand", func() bool { return p.recorded == 0 && len(p.requests) == 0 && p.held == 0 })
	again := p.dial()
	again.send(order("p", "2", "a pass", ",k=a,r=1"))
	if got := again.answer(); got != "receipt" || o.runs("p") != 1 {
		t.Errorf("%q, %d runs", got, o.runs("p"))
	}
}

// A proven caller's token serves one order, over a restart too; a repeat of that order may come by it.
func TestTokensOverARestart(t *testing.T) {
	office, d := newTokenIssuer(t, "k1"), crash.New()
	token := office.token("k1", "shop", "j1")
	for i, at := range []string{"at first", "after a restart"} {
		p, _, _ := startWithCallers(t, office, func(cfg *Config) {
			cfg.Record, cfg.Receipts = openRecord(t, d, recordOptions), []string{"resp2"}
		})
		c := p.dial()
		for _, a := range []struct{ key, more, want string }{
			{"o1", ",k=o1", "receipt"}, {"o2", ",k=o2", "-NOPERM"}, {"o1", ",k=o1,r=1", "receipt"}, {"o3", "", "-NOPERM"},
		} {
			c.send(order(a.key, fmt.Sprint(a.key, a.more, i), "a pass", a.more+",tk="+token))
			if got := c.answer(); !strings.HasPrefix(got, a.want) {
				t.Errorf("%s, order %s%s: %q, want %q", at, a.key, a.more, got, a.want)
			}
		}
		p.ended()
	}
}
