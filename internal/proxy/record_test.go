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
	"linenloom/logic"
)

var recordOptions = keeper.Options{Options: ledger.Options{
	Limits: orders.Limits{Retention: time.Hour, MaxOrders: 1000, MaxReceiptBytes: 1 << 20}, SegmentSize: 64 << 10, CompactAfter: 1000, MaxPending: 32}}

func openRecord(t *testing.T, disk *crash.Disk, options keeper.Options) *keeper.Keeper {
	t.Helper()
	k, err := keeper.Open(disk, options, ledger.WallClock, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { k.Close() })
	return k
}

// countingOrigin is an origin that counts how often each order ran.
type countingOrigin struct {
	t         *testing.T
	mu        sync.Mutex
	runCounts map[string]int
	answer    func(r *http.Request, n int) string // nil: a receipt
	requests  chan string
}

func newCountingOrigin(t *testing.T) *countingOrigin {
	return &countingOrigin{t: t, runCounts: map[string]int{}, requests: make(chan string, 100)}
}

func (o *countingOrigin) origin() string {
	return startOrigin(o.t, func(r *http.Request) string {
		key := r.URL.Path[1:]
		o.mu.Lock()
		o.runCounts[key]++
		n := o.runCounts[key]
		o.mu.Unlock()
		o.requests <- key
		if o.answer != nil {
			return o.answer(r, n)
		}
		return httpOK("receipt of " + key)
	})
}

func (o *countingOrigin) runs(key string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.runCounts[key]
}

// startRecording starts a proxy in front of a counting origin and a cache, with a record on the given disk.
func startRecording(t *testing.T, counter *countingOrigin, disk *crash.Disk, set ...func(*Config, *keeper.Options)) *testProxy {
	t.Helper()
	cfg, options := testConfig(), recordOptions
	cfg.ReceiptFronts = []string{"resp2"}
	cfg.Settings.CanRetryAfter, cfg.Settings.MaxRetryAfter = true, 2*time.Second
	for _, f := range set {
		f(&cfg, &options)
	}
	cfg.Record = openRecord(t, disk, options)
	return startProxy(t, cfg, listEntry("s-a", startCache(t, func(memberCommand) string { return hitReply("tile") }), "large"), listEntry("s-o", counter.origin(), "origin"))
}

func order(key, id, value, more string) string {
	return respCommand("OBJ.SET", key, id, "c=pass-order,d=4000"+more, value)
}

const notProcessed = "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"

// A repeated order is answered according to the outcome of the first one, by the same process and by
// one that opens the record later.
func TestAnswersToRepeatedOrders(t *testing.T) {
	for name, c := range map[string]struct {
		answer        func(r *http.Request, n int) string
		first, repeat string // prefixes of the answers
		other         string // value of the repeat; "": the same
		sendReceipts  bool
		before, runs  int // runs after the first answer, and after the repeats in this and the next process
	}{
		"it has run":                           {first: "receipt", repeat: "receipt of p", sendReceipts: true, before: 1, runs: 1},
		"it has run, and that is all it hears": {first: "receipt", repeat: "-ERR failed", before: 1, runs: 1},
		"it may have run": {answer: func(*http.Request, int) string { return "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n" },
			first: "-ERR failed", repeat: "-ERR failed", sendReceipts: true, before: 1, runs: 1},
		"it never ran": {answer: func(_ *http.Request, n int) string {
			if n <= 4 {
				return notProcessed
			}
			return httpOK("receipt of p")
		}, first: "-BUSY", repeat: "receipt of p", sendReceipts: true, before: 4, runs: 5},
		"it is another order": {first: "receipt", repeat: "-ERR the idempotency key", other: "two passes", sendReceipts: true, before: 1, runs: 1},
	} {
		t.Run(name, func(t *testing.T) {
			counter, disk := newCountingOrigin(t), crash.New()
			counter.answer = c.answer
			set := func(cfg *Config, _ *keeper.Options) {
				if !c.sendReceipts {
					cfg.ReceiptFronts = nil
				}
			}
			p := startRecording(t, counter, disk, set)
			client := p.dial()
			check := func(client *testClient, id, want string, runs int) {
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
				if got := counter.runs("p"); got != runs {
					t.Errorf("after order %s it has run %d times, want %d", id, got, runs)
				}
			}
			check(client, "1", c.first, c.before)
			check(client, "2", c.repeat, c.runs)
			p.stopAndWait()
			next := startRecording(t, counter, disk, set)
			check(next.dial(), "3", c.repeat, c.runs)
		})
	}
}

// Retries of orders that are not on record are not run, unless the operator allows it. An order without
// a key can't be recognized by its request ID.
func TestUnknownRetriesOfOrders(t *testing.T) {
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
			p := startRecording(t, newCountingOrigin(t), crash.New(), func(_ *Config, opt *keeper.Options) { opt.RunUnknownRetries = c.run })
			client := p.dial()
			client.send(order("p", "1", "a pass", c.more))
			if got := client.answer(); got != c.want {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}

// Two clients send the same order at the same time: for one of them it runs, and the other gets the answer that the
// outcome is unknown. It runs once.
func TestTheSameOrderTwiceConcurrently(t *testing.T) {
	counter := newCountingOrigin(t)
	free := make(chan struct{})
	counter.answer = func(*http.Request, int) string { <-free; return httpOK("receipt") }
	p := startRecording(t, counter, crash.New())
	a, b := p.dial(), p.dial()
	a.send(order("p", "1", "a pass", ",k=a"))
	<-counter.requests
	b.send(order("p", "2", "a pass", ",k=a"))
	if got := b.answer(); got != "-ERR failed" {
		t.Errorf("the second: %q", got)
	}
	close(free)
	if got := a.answer(); got != "receipt" || counter.runs("p") != 1 {
		t.Errorf("the first: %q, %d runs", got, counter.runs("p"))
	}
}

// The disk fails at each step of an order. The order is refused as never run, or has run once and its
// client gets the answer that the outcome is unknown. Reads are served throughout, and orders work again as
// soon as the disk does.
func TestRecordDiskFailsWhileServing(t *testing.T) {
	bad := errors.New("input/output error")
	for name, c := range map[string]struct {
		fails func(ops int) bool // by the number of disk operations since the start of the order
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
			counter, disk := newCountingOrigin(t), crash.New()
			p := startRecording(t, counter, disk)
			client := p.dial()
			read := func() {
				t.Helper()
				client.send(getCommand("a", fmt.Sprint("r", time.Now().UnixNano())))
				if got := client.answer(); got != "tile" {
					t.Errorf("a read: %q", got)
				}
			}
			from := disk.Operations
			var well atomic.Bool
			disk.Fail = func(op int, what string) error {
				if !well.Load() && c.fails(op-from) {
					return bad
				}
				return nil
			}
			client.send(order("p", "1", "a pass", ",k=a"))
			if got := client.answer(); !strings.HasPrefix(got, c.want) || counter.runs("p") != c.runs {
				t.Errorf("%q after %d runs, want %q after %d", got, counter.runs("p"), c.want, c.runs)
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
			if got := counter.runs("p"); got != 1 {
				t.Errorf("it has run %d times", got)
			}
		})
	}
}

// The disk is slow. Reads are served; orders are refused when their deadline passes or the queue is
// full, and none of them runs. An order that has run, but whose receipt is not on disk in time, is
// answered as unknown, and its repeat gets the receipt.
func TestSlowRecordDisk(t *testing.T) {
	counter, disk := newCountingOrigin(t), crash.New()
	var advance func(*testProxy, time.Duration)
	p := startRecording(t, counter, disk, func(cfg *Config, opt *keeper.Options) { advance, opt.MaxPending = manualClock(cfg), 4 })
	client := p.dial()
	stuck, reached := make(chan struct{}), make(chan struct{}, 100)
	var block atomic.Bool
	disk.Fail = func(int, string) error {
		if block.Load() {
			reached <- struct{}{}
			<-stuck
		}
		return nil
	}
	counter.answer = func(r *http.Request, _ int) string {
		block.Store(true)
		return httpOK("receipt of " + r.URL.Path[1:])
	}
	client.send(order("first", "1", "a pass", ",k=first"))
	// The clock advances a little so that the decision module can act, and far less than the order's deadline.
	p.eventually("it is taken", func() bool { return p.openOrders == 1 })
	for ticks, waits := 0, true; waits; ticks++ {
		select {
		case <-reached: // its receipt is being written to disk
			waits = false
		case <-time.After(time.Millisecond):
			if ticks < 1000 {
				advance(p, time.Millisecond)
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
	reader.send(getCommand("a", "r1"))
	if got := reader.answer(); got != "tile" {
		t.Errorf("a read: %q", got)
	}
	advance(p, 4*time.Second)
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
	p.eventually("nothing is in hand", func() bool { return p.openOrders == 0 && len(p.requests) == 0 })
	client.send(order("first", "9", "a pass", ",k=first,r=1"))
	if got := client.answer(); got != "receipt of first" {
		t.Errorf("the repeat: %q", got)
	}
	for i := range 6 {
		if n := counter.runs(fmt.Sprint("o", i)); n != 0 {
			t.Errorf("order %d has run %d times", i, n)
		}
	}
}

// Orders at a successor process wait until the predecessor closes the record, and then run. The
// successor recognizes repeats of the predecessor's orders.
func TestRecordIsHandedOver(t *testing.T) {
	counter, disk := newCountingOrigin(t), crash.New()
	free := make(chan struct{})
	counter.answer = func(r *http.Request, _ int) string {
		if r.URL.Path == "/long" {
			<-free
		}
		return httpOK("receipt of " + r.URL.Path[1:])
	}
	p := startRecording(t, counter, disk)
	a := p.dial()
	a.send(order("long", "1", "a pass", ",k=long"))
	<-counter.requests
	next := startRecording(t, counter, disk, func(_ *Config, opt *keeper.Options) { opt.WaitForPredecessor = true })
	b := next.dial()
	b.send(order("p", "2", "a pass", ",k=p"))
	next.eventually("it waits", func() bool { return next.openOrders == 1 })
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
	if got := b.answer(); got != "receipt of long" || counter.runs("long") != 1 {
		t.Errorf("the repeat: %q, %d runs", got, counter.runs("long"))
	}
}

// A member starts to drain while an attempt is being recorded. It gets nothing new, and the order goes
// to another member.
func TestDrainWhileOrderIsRecorded(t *testing.T) {
	draining, other, disk := newCountingOrigin(t), newCountingOrigin(t), crash.New()
	cfg := testConfig()
	cfg.Record = openRecord(t, disk, recordOptions)
	first := listEntry("o-1", draining.origin(), "origin")
	r := newFakeDiscovery(t, discoveryList(1, true, first))
	p := startProxyAt(t, cfg, r)
	<-r.watchBegan
	syncs, stuck, reached := 0, make(chan struct{}), make(chan struct{})
	disk.Fail = func(_ int, what string) error {
		if strings.HasPrefix(what, "sync") {
			if syncs++; syncs == 4 { // of the file, of the directory, on taking the order, on sending it
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
	r.publish(discoveryList(2, false, first, listEntry("o-2", other.origin(), "origin")))
	p.eventually("the drain is known", func() bool { return p.revision == 2 })
	close(stuck)
	if got := c.answer(); got != "receipt of p" || draining.runs("p") != 0 || other.runs("p") != 1 {
		t.Errorf("%q; %d runs at the member that drains, %d at the other", got, draining.runs("p"), other.runs("p"))
	}
}

// The client leaves after its order was sent. The order runs, and a retry gets its receipt.
func TestOrderRunsOnAfterItsClientLeaves(t *testing.T) {
	counter, disk := newCountingOrigin(t), crash.New()
	free := make(chan struct{})
	counter.answer = func(*http.Request, int) string { <-free; return httpOK("receipt") }
	p := startRecording(t, counter, disk)
	c := p.dial()
	c.send(order("p", "1", "a pass", ",k=a"))
	<-counter.requests
	c.conn.(*net.TCPConn).SetLinger(0)
	c.conn.Close()
	p.eventually("its end is seen", func() bool { return len(p.redis.clients) == 0 })
	close(free)
	p.eventually("nothing is in hand", func() bool { return p.openOrders == 0 && len(p.requests) == 0 && p.bufferedBytes == 0 })
	again := p.dial()
	again.send(order("p", "2", "a pass", ",k=a,r=1"))
	if got := again.answer(); got != "receipt" || counter.runs("p") != 1 {
		t.Errorf("%q, %d runs", got, counter.runs("p"))
	}
}

// A token serves one order, across a restart too. A repeat of that order may use the same token.
func TestOrderTokensSurviveARestart(t *testing.T) {
	office, disk := newTokenIssuer(t, "k1"), crash.New()
	token := office.token("k1", "shop", "j1")
	for i, at := range []string{"at first", "after a restart"} {
		p, _, _ := startWithCallers(t, office, func(cfg *Config) {
			cfg.Record, cfg.ReceiptFronts = openRecord(t, disk, recordOptions), []string{"resp2"}
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
		p.stopAndWait()
	}
}

// gatedRecord tells nobody of the orders that it has taken until it is opened.
type gatedRecord struct {
	Record
	taken  chan struct{}
	opened chan struct{}
}

func (g gatedRecord) Take(o orders.Order, done func(orders.Verdict, []byte, error)) {
	g.Record.Take(o, func(v orders.Verdict, receipt []byte, err error) {
		g.taken <- struct{}{}
		go func() {
			<-g.opened
			done(v, receipt, err)
		}()
	})
}

// Guards against an order that is refused although it may have run, and so runs again: it waits for the record while
// classes are added, and its class, kept as a place in their list, becomes one that may be repeated.
func TestOrderThatWaitsForTheRecordKeepsItsClass(t *testing.T) {
	counter, disk := newCountingOrigin(t), crash.New()
	counter.answer = func(*http.Request, int) string { return "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n" }
	record := gatedRecord{openRecord(t, disk, recordOptions), make(chan struct{}, 10), make(chan struct{})}
	cfg := testConfig()
	cfg.Record = record
	p := startProxy(t, cfg, listEntry("s-o", counter.origin(), "origin"))
	client := p.dial()
	client.send(order("p", "1", "a pass", ""))
	<-record.taken
	read, pass := cfg.Settings.Classes[0], cfg.Settings.Classes[1]
	added := read
	added.Name = "added"
	if err := p.UpdateClasses([]logic.Class{added, read, pass}, cfg.Settings.MaxAttempts); err != nil {
		t.Fatal(err)
	}
	close(record.opened)
	if got := client.answer(); got != "-ERR failed" {
		t.Errorf("an order that may have run was answered %q", got)
	}
	if runs := counter.runs("p"); runs != 1 {
		t.Errorf("it ran %d times", runs)
	}
}
