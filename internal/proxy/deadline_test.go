package proxy

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"linenloom/internal/arrival"
	"linenloom/internal/discovery"
	"linenloom/internal/joining"
	"linenloom/internal/manykeys"
	"linenloom/internal/pool"
	"linenloom/internal/standin"
	"linenloom/internal/upstream"
	"linenloom/logic"
)

// deadlineChecker checks the deadlines sent to the members of a proxy, on a clock that the test advances.
type deadlineChecker struct {
	standin.DeadlineChecker
	t       *testing.T
	advance func(*testProxy, time.Duration)
}

// checkDeadlines gives a proxy the test's clock. At the end of the test it checks that no member was
// sent a longer deadline than its client had left.
func checkDeadlines(t *testing.T, cfg *Config) *deadlineChecker {
	checker := &deadlineChecker{t: t, advance: manualClock(cfg)}
	checker.Now = cfg.Clock
	t.Cleanup(func() {
		for _, v := range checker.Violations() {
			t.Error(v)
		}
	})
	return checker
}

// cache starts a cache whose received deadlines are checked.
func (w *deadlineChecker) cache(name string, answer func(memberCommand) string) string {
	return startCache(w.t, func(a memberCommand) string {
		w.AttemptReceived(name, a.id, a.attrs)
		return answer(a)
	})
}

// serve is the cache side of one connection, which checks received deadlines and has every key. The
// text of each deadline is sent to the channel unless that is nil.
func (w *deadlineChecker) serve(name string, conn net.Conn, deadlines chan<- string) {
	in := newMemberInput(conn)
	for {
		command, err := readCommand(in)
		if err != nil {
			return
		}
		w.AttemptReceived(name, command[2], command[3])
		if deadlines != nil {
			_, deadline, _ := strings.Cut(command[3], ",d=")
			deadlines <- deadline
		}
		if _, err := io.WriteString(conn, hitReply("value of "+command[1])); err != nil {
			return
		}
	}
}

// origin starts an origin whose received deadlines are checked.
func (w *deadlineChecker) origin(answer func(*http.Request) string) string {
	return startOrigin(w.t, func(r *http.Request) string {
		w.AttemptReceived("origin", r.Header.Get("X-Request-ID"), r.Header.Get("X-Attrs"))
		return answer(r)
	})
}

// get and put return commands of a client that waits for that many milliseconds. Their last byte counts
// as written now.
func (w *deadlineChecker) get(key, id string, wait int) string {
	attrs := fmt.Sprintf("c=tile-read,d=%d", wait)
	w.RequestSent(id, attrs)
	return respCommand("OBJ.GET", key, id, attrs)
}

func (w *deadlineChecker) put(key, id string, wait int) string {
	attrs := fmt.Sprintf("c=pass-order,d=%d", wait)
	w.RequestSent(id, attrs)
	return respCommand("OBJ.SET", key, id, attrs, "value")
}

// expectAttempts checks the number of first attempts at the members, and whether there were further ones.
func (w *deadlineChecker) expectAttempts(first int, further bool) {
	w.t.Helper()
	if f, more := w.Attempts(); f != first || more > 0 != further {
		w.t.Errorf("%d first attempts and %d further ones; want %d, and further ones: %v", f, more, first, further)
	}
}

// advanceUntil advances the clock until the channel delivers. Attempts time out meanwhile, and others
// follow. The clock stands still while bytes are in transit.
func (w *deadlineChecker) advanceUntil(p *testProxy, limit time.Duration, event string, arrived <-chan struct{}) {
	w.t.Helper()
	for range limit / time.Millisecond {
		p.eventually("what was sent has come", func() bool { return w.allArrived(p) })
		select {
		case <-arrived:
			return
		case <-time.After(200 * time.Microsecond):
			w.advance(p, time.Millisecond)
		}
	}
	w.t.Fatalf("never came about: %s", event)
}

// allArrived reports whether all reads that were written to members have arrived. The last byte of a
// write may be held back until the clock advances.
func (w *deadlineChecker) allArrived(p *testProxy) bool {
	for _, r := range p.requests {
		sent := 0
		for _, a := range r.attempts {
			if a.Sent() {
				sent++
			}
		}
		if !r.Write && w.AttemptCount(string(r.ReqID)) < sent {
			return false
		}
	}
	return true
}

// A further attempt sends its server the time that the client has left, however the previous attempt
// ended and whichever server is next.
func TestFurtherAttemptSendsRemainingDeadline(t *testing.T) {
	const busyOrigin = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
	for name, first := range map[string]string{
		"missed":    missReply,
		"failed":    "-ERR failed\r\n",
		"refused":   "-BUSY\r\n",
		"malformed": "\x8fb2\xf4\r\n",
		"silent":    "",
	} {
		t.Run("a read, "+name, func(t *testing.T) {
			t.Parallel()
			cfg := testConfig()
			checker := checkDeadlines(t, &cfg)
			arrived, next, release := make(chan struct{}, 10), make(chan struct{}, 10), make(chan struct{})
			var requests atomic.Int32
			answer := func(a memberCommand) string {
				if requests.Add(1) > 1 {
					next <- struct{}{}
					return missReply
				}
				arrived <- struct{}{}
				<-release
				return first
			}
			o := checker.origin(func(r *http.Request) string {
				select {
				case next <- struct{}{}:
				default:
				}
				return httpOK("value")
			})
			p := startProxy(t, cfg, listEntry("s-1", checker.cache("s-1", answer), "large"), listEntry("s-2", checker.cache("s-2", answer), "large"), listEntry("o-1", o, "origin"))
			client := p.dial()
			client.send(checker.get("a1", "id", 8000))
			<-arrived
			checker.advance(p, 2500*time.Millisecond) // less than the timeout of the attempt
			if first != "" {
				close(release)
			} else {
				defer close(release)
			}
			checker.advanceUntil(p, 5*time.Second, "another attempt", next)
			checker.advanceUntil(p, 5*time.Second, "the answer", awaitAnswer(client, "value"))
			checker.expectAttempts(1, true)
		})
	}
	t.Run("an order, refused", func(t *testing.T) {
		t.Parallel()
		cfg := testConfig()
		checker := checkDeadlines(t, &cfg)
		arrived, release := make(chan struct{}, 10), make(chan struct{})
		var requests atomic.Int32
		o := checker.origin(func(*http.Request) string {
			if requests.Add(1) == 1 {
				arrived <- struct{}{}
				<-release
				return busyOrigin
			}
			return httpOK("receipt")
		})
		p := startProxy(t, cfg, listEntry("o-1", o, "origin"))
		client := p.dial()
		client.send(checker.put("a1", "id", 8000))
		checker.advanceUntil(p, time.Second, "the first attempt", arrived)
		checker.advance(p, 2500*time.Millisecond)
		close(release)
		checker.advanceUntil(p, 5*time.Second, "the receipt", awaitAnswer(client, "receipt"))
		checker.expectAttempts(1, true)
	})
}

// A request in progress keeps its deadline when the classes change between two of its attempts.
func TestDeadlineKeptWhenClassesChange(t *testing.T) {
	for _, deadline := range []time.Duration{5 * time.Second, 60 * time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			cfg := testConfig()
			checker := checkDeadlines(t, &cfg)
			arrived, release := make(chan struct{}, 10), make(chan struct{})
			node := checker.cache("s-1", func(memberCommand) string {
				arrived <- struct{}{}
				<-release
				return missReply
			})
			attributes := make(chan string, 1)
			o := checker.origin(func(r *http.Request) string {
				attributes <- r.Header.Get("X-Attrs")
				return httpOK("value")
			})
			p := startProxy(t, cfg, listEntry("s-1", node, "large"), listEntry("o-1", o, "origin"))
			client := p.dial()
			client.send(checker.get("a1", "id", 8000))
			<-arrived
			checker.advance(p, 2*time.Second)
			classes := slices.Clone(cfg.Settings.Classes)
			for i := range classes {
				classes[i].Deadline = deadline
			}
			if err := p.UpdateClasses(classes, cfg.Settings.MaxAttempts); err != nil {
				t.Fatal(err)
			}
			close(release)
			checker.advanceUntil(p, 5*time.Second, "the answer", awaitAnswer(client, "value"))
			_, text, _ := strings.Cut(<-attributes, ",d=")
			if ms, err := strconv.Atoi(text); err != nil || ms < 5500 || ms > 6000 {
				t.Errorf("the origin was told %q, want what is left of 8000 after 2 s", text)
			}
		})
	}
}

// awaitAnswer returns a channel that is closed after the client's next answer, which has to be want.
func awaitAnswer(c *testClient, want string) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		if got := c.answer(); got != want {
			c.t.Errorf("answered %q, want %q", got, want)
		}
		close(done)
	}()
	return done
}

// A client's deadline counts from its last byte, also for commands that were unread while earlier ones were pending.
func TestUnreadCommandsKeepTheirDeadline(t *testing.T) {
	const commands = 3 * maxPipeline
	cfg := noTimeoutConfig(false)
	cfg.Settings.MaxAttempts = 1 // so that an attempt may take all that its client has left
	checker := checkDeadlines(t, &cfg)
	server, err := standin.NewFullListener()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	p := startProxy(t, cfg, listEntry("s-1", server.Addr().String(), "large"))
	var text strings.Builder
	for i := range commands {
		text.WriteString(checker.get(fmt.Sprint("k", i), fmt.Sprint("id", i), 15_000))
	}
	client := p.dial()
	client.send(text.String())
	p.eventually("its reader waits", func() bool {
		for c := range p.redis.clients {
			return c.resume != nil
		}
		return false
	})
	checker.advance(p, 5*time.Second)
	server.Serve(func(conn net.Conn) { checker.serve("s-1", conn, nil) })
	all := make(chan struct{})
	go func() {
		defer close(all)
		for i := range commands {
			if got, want := client.answer(), fmt.Sprint("value of k", i); got != want && !strings.HasPrefix(got, "-BUSY") {
				t.Errorf("command %d was answered %q", i, got)
				return
			}
		}
	}()
	checker.advanceUntil(p, 9*time.Second, "the answers", all)
	if first, _ := checker.Attempts(); first <= maxPipeline {
		t.Errorf("only %d commands were sent on: none that stood unread", first)
	}
}

// Commands that arrived while their connection's reader was suspended count from the start of that
// wait, and later ones from their own arrival.
func TestCommandsSentDuringAWaitKeepTheirDeadline(t *testing.T) {
	cfg := noTimeoutConfig(false)
	cfg.Settings.MaxAttempts = 1
	checker := checkDeadlines(t, &cfg)
	server, err := standin.NewFullListener()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	deadlines := make(chan string, 10*maxPipeline)
	p := startProxy(t, cfg, listEntry("s-1", server.Addr().String(), "large"))
	client := p.dial()
	send := func(from, to int) {
		var text strings.Builder
		for i := from; i < to; i++ {
			text.WriteString(checker.get(fmt.Sprint("k", i), fmt.Sprint("id", i), 15_000))
		}
		client.send(text.String())
	}
	const during = 10
	send(0, maxPipeline)
	p.eventually("its reader waits", func() bool {
		for c := range p.redis.clients {
			return c.resume != nil
		}
		return false
	})
	send(maxPipeline, maxPipeline+during)
	p.eventually("the rest has come", func() bool {
		for c := range p.redis.clients {
			return !c.hasNoInput()
		}
		return false
	})
	checker.advance(p, 5*time.Second)
	server.Serve(func(conn net.Conn) { checker.serve("s-1", conn, deadlines) })
	all := make(chan struct{})
	go func() {
		defer close(all)
		for range maxPipeline + during {
			client.answer()
		}
	}()
	checker.advanceUntil(p, 9*time.Second, "the answers", all)
	for len(deadlines) > 0 {
		<-deadlines
	}
	p.eventually("its reader reads", func() bool {
		for c := range p.redis.clients {
			return c.resume == nil && len(c.pending) == 0
		}
		return false
	})
	checker.advance(p, 3*time.Second)
	send(maxPipeline+during, maxPipeline+during+1)
	last := make(chan struct{})
	go func() { defer close(last); client.answer() }()
	checker.advanceUntil(p, 9*time.Second, "the last answer", last)
	if n, err := strconv.Atoi(<-deadlines); err != nil || n < 14_000 {
		t.Errorf("a command that came by itself was told %d ms of 15,000, %v", n, err)
	}
}

// A connection may have waited in the listener's queue, with a command on it, before the proxy accepted
// its first client.
func TestConnectionsQueuedAtStartKeepTheirDeadline(t *testing.T) {
	cfg := noTimeoutConfig(false)
	cfg.Settings.MaxAttempts = 1
	checker := checkDeadlines(t, &cfg)
	var p *testProxy
	ready, begin := make(chan struct{}), make(chan struct{})
	cfg.BeforeServing = func() {
		close(ready)
		<-begin
	}
	p = startProxy(t, cfg, listEntry("s-1", checker.cache("s-1", func(a memberCommand) string { return hitReply("value of " + a.key) }), "large"))
	<-ready
	client := p.dial()
	client.send(checker.get("k", "id", 15_000))
	checker.advance(p, 2*time.Second)
	close(begin)
	if got := client.answer(); got != "value of k" {
		t.Errorf("answered %q", got)
	}
	checker.expectAttempts(1, false)
}

// A connection that was queued while the proxy had no descriptor for it counts from the start of that
// wait, and a later one from its own arrival.
func TestConnectionsQueuedForADescriptorKeepTheirDeadline(t *testing.T) {
	cfg := noTimeoutConfig(false)
	cfg.Settings.MaxAttempts = 1
	checker := checkDeadlines(t, &cfg)
	deadlines := make(chan string, 10)
	p := startProxy(t, cfg, listEntry("s-1", checker.cache("s-1", func(a memberCommand) string {
		_, deadline, _ := strings.Cut(a.attrs, ",d=")
		deadlines <- deadline
		return hitReply("value of " + a.key)
	}), "large"))
	ask := func(id string) int {
		p.beginEvent() // no connection is accepted before the command has arrived
		client := p.dial()
		client.send(checker.get("k", id, 15_000))
		p.endEvent()
		if got := client.answer(); got != "value of k" {
			t.Fatalf("answered %q", got)
		}
		ms, err := strconv.Atoi(<-deadlines)
		if err != nil {
			t.Error(err)
		}
		return ms
	}
	ask("first") // from here on connections are accepted as they arrive
	p.redis.backOffAccept(acceptNoDescriptors, 1)
	checker.advance(p, 2*time.Second)
	if ms := ask("in-line"); ms > 13_000 {
		t.Errorf("what may have stood in line for 2 s was told %d ms of 15,000", ms)
	}
	p.eventually("the line is empty", func() bool { return p.redis.queuedSince == 0 })
	checker.advance(p, 2*time.Second)
	if ms := ask("later"); ms < 14_500 {
		t.Errorf("what came by itself was told %d ms of 15,000", ms)
	}
}

// Several attempts begin in one event, and each is delayed before its bytes are sent. Each sends the
// time that is left when it is sent.
func TestDelayedAttemptsSendRemainingDeadline(t *testing.T) {
	for name, wait := range map[string]time.Duration{
		"deadline after the event":         8 * time.Second,
		"deadline passes during the event": 4100 * time.Millisecond, // attempts that begin later are not sent
	} {
		t.Run(name, func(t *testing.T) { testDelayedAttempts(t, wait) })
	}
}

// testDelayedAttempts makes the second attempts of several reads begin in one event, 3.5 s after their
// clients wrote them.
func testDelayedAttempts(t *testing.T, wait time.Duration) {
	const reads, pause = 6, 140 * time.Millisecond
	cfg := testConfig()
	cfg.Settings.MaxAttempts = 2 // so that the second attempt goes to the origin
	var holding atomic.Bool
	var sent atomic.Int32
	arrived := make(chan struct{}, 100)
	checker := &deadlineChecker{t: t}
	var extraDelay atomic.Int64 // by the delays, in addition to the test's advances
	checker.advance = manualClock(&cfg)
	base := cfg.Clock
	cfg.Clock = func() time.Duration { return base() + time.Duration(extraDelay.Load()) }
	checker.Now = cfg.Clock
	cfg.OnSend = func(logic.RequestID, logic.MemberID) {
		if !holding.Load() {
			return
		}
		if sent.Add(1) > 1 { // the previous attempt has arrived: no time passes while bytes are in transit
			<-arrived
		}
		extraDelay.Add(int64(pause))
	}
	allOrdersArrived := make(chan struct{})
	var warmups atomic.Int32
	o := checker.origin(func(r *http.Request) string {
		if r.Method != http.MethodPut {
			arrived <- struct{}{}
			return httpOK("value")
		}
		if warmups.Add(1) == reads {
			close(allOrdersArrived)
		}
		<-allOrdersArrived
		return httpOK("receipt")
	})
	releaseCache, requests := make(chan struct{}), make(chan struct{}, 100)
	silent := checker.cache("s-1", func(memberCommand) string {
		requests <- struct{}{}
		<-releaseCache
		return missReply
	})
	t.Cleanup(func() { close(releaseCache) })
	p := startProxy(t, cfg, listEntry("s-1", silent, "large"), listEntry("o-1", o, "origin"))
	for i := range reads { // opens that many connections to the origin
		p.dial().send(checker.put(fmt.Sprint("o", i), fmt.Sprint("order", i), 8000))
	}
	checker.advanceUntil(p, time.Second, "the orders are at the origin", allOrdersArrived)
	for range 20 {
		checker.advance(p, time.Millisecond)
	}
	p.eventually("the connections are free", func() bool {
		free := 0
		for _, c := range p.memberAt(o).Conns {
			if c.Reusable(p.now) {
				free++
			}
		}
		extraDelay.Add(int64(time.Millisecond))
		return len(p.requests) == 0 && free == reads
	})
	for i := range reads {
		p.dial().send(checker.get(fmt.Sprint("k", i), fmt.Sprint("id", i), int(wait.Milliseconds())))
		<-requests
	}
	p.Do(func() {}) // waits for the end of the last read's event, which notes when it was written
	holding.Store(true)
	extraDelay.Add(int64(3500 * time.Millisecond)) // the first attempts of all reads have timed out
	p.Tick()
	want := reads
	if left := int((wait - 3500*time.Millisecond) / pause); left < reads {
		want = left + 1
	}
	if n := int(sent.Load()); n != want && n != want+1 { // the last one may expire as it begins
		t.Fatalf("%d attempts in one event, want %d", n, want)
	}
	p.eventually("all are answered", func() bool { return len(p.requests) == 0 })
	checker.expectAttempts(2*reads, true)
	for _, v := range checker.Violations() {
		t.Error(v)
	}
}

// All reads of a request for many keys have its deadline, also those that begin after others were answered.
func TestManyKeysShareOneDeadline(t *testing.T) {
	cfg := testConfig()
	cfg.Settings.MaxAttempts = 1
	cfg.ManyKeys = &manykeys.Limits{Keys: 10, Bytes: 100_000, Outstanding: 1, PartSize: 1}
	checker := checkDeadlines(t, &cfg)
	arrived, release := make(chan struct{}, 10), make(chan struct{}, 10)
	p := startProxy(t, cfg, listEntry("s-1", checker.cache("s-1", func(a memberCommand) string {
		arrived <- struct{}{}
		<-release
		return hitReply("value of " + a.key)
	}), "large"))
	client := p.dial()
	checker.RequestSent("many", "c=tile-read,d=8000")
	client.send(mget("many", "c=tile-read,d=8000", "a", "b", "c"))
	for range 3 {
		<-arrived
		checker.advance(p, 2*time.Second)
		release <- struct{}{}
	}
	if got, line := client.readArray(); !slices.Equal(got, []string{"value of a", "value of b", "value of c"}) {
		t.Errorf("%s %q", line, got)
	}
}

// A read that continues for its followers after its own client has left sends the time that the last of
// them has left.
func TestJoinedReadSendsDeadlineOfItsFollowers(t *testing.T) {
	cfg := testConfig()
	cfg.Settings.MaxAttempts = 2 // so that the second attempt may take all that is left
	cfg.Joining = &joining.Limits{Followers: 10, PerTenant: 10, Groups: 10}
	checker := checkDeadlines(t, &cfg)
	arrived, release := make(chan struct{}, 10), make(chan struct{})
	var requests atomic.Int32
	attributes := make(chan string, 10)
	answer := func(a memberCommand) string {
		attributes <- a.attrs
		if requests.Add(1) == 1 {
			arrived <- struct{}{}
			<-release
			return "-ERR failed\r\n"
		}
		return hitReply("value")
	}
	o := checker.origin(func(r *http.Request) string { attributes <- r.Header.Get("X-Attrs"); return httpOK("value") })
	p := startProxy(t, cfg, listEntry("s-1", checker.cache("s-1", answer), "large"), listEntry("o-1", o, "origin"))
	lead, follower := p.dial(), p.dial()
	lead.send(checker.get("a", "lead", 8000))
	<-arrived
	<-attributes
	follower.send(checker.get("a", "follower", 4000))
	p.awaitFollowers(1)
	lead.conn.Close()
	p.eventually("the lead's client has left", func() bool { return len(p.redis.clients) == 1 })
	checker.RequestSent("lead", "d=4000") // as the follower's is now the longest wait
	checker.advance(p, 2500*time.Millisecond)
	close(release)
	checker.advanceUntil(p, 2*time.Second, "the answer", awaitAnswer(follower, "value"))
	checker.expectAttempts(1, true)
}

// Requests that are read right after the process was stalled, within an event or between two, count
// from the earliest time at which they may have arrived.
func TestRequestsReadAfterAStallKeepTheirDeadline(t *testing.T) {
	p := &Proxy{cfg: Config{}, started: time.Now().Add(-time.Minute), upstreams: upstream.New(pool.Config{}, nil)}
	p.stalls.MaxGap = maxEventGap
	p.timers = newTimerWheel(time.Millisecond, p.Clock())
	p.timer = time.AfterFunc(time.Hour, func() {})
	p.now = p.Clock()
	p.wakeAt = p.now
	p.beginEvent()
	began := p.eventBegan
	for p.Clock()-began < 20*time.Millisecond { // simulates a long event
		time.Sleep(time.Millisecond)
	}
	p.endEvent()
	p.beginEvent()
	if got := p.earliestArrival(p.now); got != began {
		t.Errorf("read right after an event that took long, dated %v after it began", got-began)
	}
	last := p.now - time.Second
	p.now, p.stalls = last, arrival.Stalls{MaxGap: maxEventGap} // no event for a second
	p.mu.Unlock()
	p.beginEvent()
	if got := p.earliestArrival(p.now); got != last {
		t.Errorf("read right after a long pause, dated %v after it began", got-last)
	}
	if got := p.earliestArrival(p.now + time.Hour); got != last {
		t.Errorf("what is dated ahead counts as %v after the pause began", got-last)
	}
	if got := p.earliestArrival(0); got != p.now {
		t.Errorf("what has no date counts as %v ago", p.now-got)
	}
	p.mu.Unlock()
}

// Many proxies share members, and each is delayed at random (by a fixed seed) between choosing a member
// and writing to it. Reads miss, fail, are refused and time out. No member is sent more time than is left.
func TestManyDelayedProxiesSendRemainingDeadline(t *testing.T) {
	const proxies, rounds, pauseMost = 24, 12, 150 * time.Millisecond
	var now atomic.Int64
	clock := func() time.Duration { return time.Duration(now.Load()) }
	checker := &deadlineChecker{t: t, DeadlineChecker: standin.DeadlineChecker{Now: clock}}
	var seed atomic.Uint64
	answers := []string{missReply, "-ERR failed\r\n", "-BUSY\r\n", hitReply("value"), missReply}
	answer := func(memberCommand) string {
		return answers[rand.New(rand.NewPCG(54, seed.Add(1))).IntN(len(answers))]
	}
	members := []discovery.Member{listEntry("s-1", checker.cache("s-1", answer), "large"), listEntry("s-2", checker.cache("s-2", answer), "large"),
		listEntry("o-1", checker.origin(func(*http.Request) string { return httpOK("value") }), "origin")}
	var all []*testProxy
	checker.advance = func(_ *testProxy, d time.Duration) {
		now.Add(int64(d))
		for _, p := range all {
			p.Tick()
		}
	}
	var pauses atomic.Bool
	for i := range proxies {
		cfg := testConfig()
		cfg.Seed, cfg.Clock = uint64(i), clock
		rng := rand.New(rand.NewPCG(54, uint64(i)<<32))
		cfg.OnSend = func(logic.RequestID, logic.MemberID) {
			if pauses.Load() { // only this proxy has requests in progress
				now.Add(1 + rng.Int64N(int64(pauseMost)))
			}
		}
		all = append(all, startProxy(t, cfg, members...))
	}
	pauses.Store(true)
	asked := 0
	for round := range rounds {
		for i, p := range all {
			client := p.dial()
			id := fmt.Sprintf("id-%d-%d", round, i)
			client.send(checker.get(fmt.Sprint("k", round*proxies+i), id, 8000))
			asked++
			done := make(chan struct{})
			go func() { defer close(done); client.answer() }()
			checker.advanceUntil(p, 8*time.Second, "the answer", done)
			client.conn.Close()
		}
	}
	first, further := checker.Attempts()
	if first > asked || first < asked/2 || further == 0 {
		t.Errorf("%d first attempts and %d further ones of %d reads", first, further, asked)
	}
	for _, v := range checker.Violations() {
		t.Error(v)
	}
}

// Which deadlines clients may give, and what their servers are sent.
func TestDeadlineOfClients(t *testing.T) {
	for text, want := range map[string]struct {
		sent   int
		answer string
	}{
		"d=4000":               {sent: 4000},
		"d=4000.75":            {sent: 4000},
		"d=0.25":               {answer: "-BUSY"}, // less than the shortest time to answer: nothing is sent
		"d=1":                  {answer: "-BUSY"},
		"d=60000":              {sent: 8000}, // the class allows no more
		"d=86400001":           {answer: "-ERR"},
		"d=1" + manyZeros:      {answer: "-ERR"},
		"d=0":                  {answer: "-ERR"},
		"d=-5":                 {answer: "-ERR"},
		"d=":                   {answer: "-ERR"},
		"d=soon":               {answer: "-ERR"},
		"d=NaN":                {answer: "-ERR"},
		"d=1e3":                {answer: "-ERR"},
		"d=0x10":               {answer: "-ERR"},
		"d=1.2.3":              {answer: "-ERR"},
		"d=4000,d=5000":        {answer: "-ERR"},
		"t=acme":               {answer: "-ERR"},
		"d=4000,size=7,t=acme": {sent: 4000},
		"d=4000,r=1":           {sent: 4000}, // a client's own retry has its own deadline
	} {
		for _, c := range []struct{ name, class string }{{"OBJ.GET", "tile-read"}, {"OBJ.SET", "pass-order"}} {
			t.Run(c.name+" "+text[:min(len(text), 20)], func(t *testing.T) {
				t.Parallel()
				cfg := testConfig()
				cfg.Settings.MaxAttempts = 1
				checker := checkDeadlines(t, &cfg)
				attributes := make(chan string, 10)
				node := checker.cache("s-1", func(a memberCommand) string { attributes <- a.attrs; return hitReply("value") })
				o := checker.origin(func(r *http.Request) string { attributes <- r.Header.Get("X-Attrs"); return httpOK("value") })
				p := startProxy(t, cfg, listEntry("s-1", node, "large"), listEntry("o-1", o, "origin"))
				attrs := "c=" + c.class + "," + text
				checker.RequestSent("id", attrs)
				client := p.dial()
				command := []string{c.name, "a1", "id", attrs}
				if c.name == "OBJ.SET" {
					command = append(command, "order")
				}
				client.send(respCommand(command...))
				wantAnswer := want.answer
				if wantAnswer == "" {
					wantAnswer = "value"
				}
				answer := make(chan struct{})
				go func() {
					if got := client.answer(); !strings.HasPrefix(got, wantAnswer) {
						t.Errorf("answered %q, want %s", got, wantAnswer)
					}
					close(answer)
				}()
				checker.advanceUntil(p, time.Second, "the answer", answer)
				if n := len(attributes); n > 1 || (n == 1) != (want.sent > 0) {
					t.Fatalf("its server was asked %d times", n)
				}
				if want.sent == 0 {
					return
				}
				list := <-attributes
				_, after, _ := strings.Cut(list, ",d=")
				after, rest, _ := strings.Cut(after, ",")
				got, err := strconv.Atoi(after)
				if err != nil || got > want.sent || got < want.sent-200 { // the test's clock advances a little
					t.Errorf("its server was told %q, want a deadline of %d", list, want.sent)
				}
				if _, others, _ := strings.Cut(text, ","); rest != others {
					t.Errorf("its server was told %q behind the deadline, want %q", rest, others)
				}
			})
		}
	}
}

// manyZeros makes a number that overflows the clock.
var manyZeros = strings.Repeat("0", 400)
