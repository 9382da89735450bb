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
	"linenloom/internal/resp"
	"linenloom/internal/standin"
	"linenloom/internal/upstream"
	"linenloom/logic"
)

// deadlineWatch checks the deadlines that the members of a proxy are told, on a clock that the test moves.
type deadlineWatch struct {
	standin.DeadlineChecker
	t       *testing.T
	advance func(*testProxy, time.Duration)
}

// watchDeadlines has a proxy's clock be the test's, and looks at the end whether every member was told of no more than its client had left.
func watchDeadlines(t *testing.T, cfg *Config) *deadlineWatch {
	w := &deadlineWatch{t: t, advance: handClock(cfg)}
	w.Now = cfg.Clock
	t.Cleanup(func() {
		for _, v := range w.Violations() {
			t.Error(v)
		}
	})
	return w
}

// cache is a cache whose deadlines are checked.
func (w *deadlineWatch) cache(name string, answer func(asked) string) string {
	return cache(w.t, func(a asked) string {
		w.AttemptReceived(name, a.id, a.attrs)
		return answer(a)
	})
}

// serve is a cache's side of one connection, whose deadlines are checked: it has everything. Their texts are told, if somebody wants them.
func (w *deadlineWatch) serve(name string, conn net.Conn, told chan<- string) {
	in := resp.NewReader(conn, 4096)
	for {
		command, err := readCommand(in)
		if err != nil {
			return
		}
		w.AttemptReceived(name, command[2], command[3])
		if told != nil {
			_, deadline, _ := strings.Cut(command[3], ",d=")
			told <- deadline
		}
		if _, err := io.WriteString(conn, hit("value of "+command[1])); err != nil {
			return
		}
	}
}

// origin is an origin whose deadlines are checked.
func (w *deadlineWatch) origin(answer func(*http.Request) string) string {
	return origin(w.t, func(r *http.Request) string {
		w.AttemptReceived("origin", r.Header.Get("X-Request-ID"), r.Header.Get("X-Attrs"))
		return answer(r)
	})
}

// get and put are commands of a client that waits for so many milliseconds. Their last byte counts as written now.
func (w *deadlineWatch) get(key, id string, wait int) string {
	attrs := fmt.Sprintf("c=tile-read,d=%d", wait)
	w.RequestSent(id, attrs)
	return words("OBJ.GET", key, id, attrs)
}

func (w *deadlineWatch) put(key, id string, wait int) string {
	attrs := fmt.Sprintf("c=pass-order,d=%d", wait)
	w.RequestSent(id, attrs)
	return words("OBJ.SET", key, id, attrs, "value")
}

// wantAttempts wants the members to have had so many first attempts, and some further ones.
func (w *deadlineWatch) wantAttempts(first int, further bool) {
	w.t.Helper()
	if f, more := w.Attempts(); f != first || more > 0 != further {
		w.t.Errorf("%d first attempts and %d further ones; want %d, and further ones: %v", f, more, first, further)
	}
}

// passing moves the clock until something has come: attempts time out meanwhile, and others follow. It stands still while bytes are under way.
func (w *deadlineWatch) passing(p *testProxy, most time.Duration, what string, came <-chan struct{}) {
	w.t.Helper()
	for range most / time.Millisecond {
		p.eventually("what was sent has come", func() bool { return w.allCame(p) })
		select {
		case <-came:
			return
		case <-time.After(200 * time.Microsecond):
			w.advance(p, time.Millisecond)
		}
	}
	w.t.Fatalf("never came about: %s", what)
}

// allCame tells whether all reads that were written to members have come there. The last byte of a write may be held back until time passes.
func (w *deadlineWatch) allCame(p *testProxy) bool {
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

// A further attempt tells its server what the client has left by then, however the attempt before it has ended and whichever server is next.
func TestFurtherAttemptTellsWhatIsLeft(t *testing.T) {
	const busyOrigin = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
	for name, first := range map[string]string{
		"missed":      miss,
		"failed":      "-ERR failed\r\n",
		"turned away": "-BUSY\r\n",
		"spoilt":      "\x8fb2\xf4\r\n",
		"silent":      "",
	} {
		t.Run("a read, "+name, func(t *testing.T) {
			t.Parallel()
			cfg := testConfig()
			w := watchDeadlines(t, &cfg)
			came, next, release := make(chan struct{}, 10), make(chan struct{}, 10), make(chan struct{})
			var asks atomic.Int32
			answer := func(a asked) string {
				if asks.Add(1) > 1 {
					next <- struct{}{}
					return miss
				}
				came <- struct{}{}
				<-release
				return first
			}
			o := w.origin(func(r *http.Request) string {
				select {
				case next <- struct{}{}:
				default:
				}
				return page("value")
			})
			p := start(t, cfg, entry("s-1", w.cache("s-1", answer), "large"), entry("s-2", w.cache("s-2", answer), "large"), entry("o-1", o, "origin"))
			client := p.dial()
			client.send(w.get("a1", "id", 8000))
			<-came
			w.advance(p, 2500*time.Millisecond) // before the attempt's own time is up
			if first != "" {
				close(release)
			} else {
				defer close(release)
			}
			w.passing(p, 5*time.Second, "another attempt", next)
			w.passing(p, 5*time.Second, "the answer", answered(client, "value"))
			w.wantAttempts(1, true)
		})
	}
	t.Run("an order, turned away", func(t *testing.T) {
		t.Parallel()
		cfg := testConfig()
		w := watchDeadlines(t, &cfg)
		came, release := make(chan struct{}, 10), make(chan struct{})
		var asks atomic.Int32
		o := w.origin(func(*http.Request) string {
			if asks.Add(1) == 1 {
				came <- struct{}{}
				<-release
				return busyOrigin
			}
			return page("receipt")
		})
		p := start(t, cfg, entry("o-1", o, "origin"))
		client := p.dial()
		client.send(w.put("a1", "id", 8000))
		w.passing(p, time.Second, "the first attempt", came)
		w.advance(p, 2500*time.Millisecond)
		close(release)
		w.passing(p, 5*time.Second, "the receipt", answered(client, "receipt"))
		w.wantAttempts(1, true)
	})
}

// A request in hand keeps the deadline that it came with when the classes change between two of its attempts.
func TestDeadlineOutlivesItsClass(t *testing.T) {
	for _, deadline := range []time.Duration{5 * time.Second, 60 * time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			cfg := testConfig()
			w := watchDeadlines(t, &cfg)
			came, release := make(chan struct{}, 10), make(chan struct{})
			node := w.cache("s-1", func(asked) string {
				came <- struct{}{}
				<-release
				return miss
			})
			told := make(chan string, 1)
			o := w.origin(func(r *http.Request) string {
				told <- r.Header.Get("X-Attrs")
				return page("value")
			})
			p := start(t, cfg, entry("s-1", node, "large"), entry("o-1", o, "origin"))
			client := p.dial()
			client.send(w.get("a1", "id", 8000))
			<-came
			w.advance(p, 2*time.Second)
			classes := slices.Clone(cfg.Settings.Classes)
			for i := range classes {
				classes[i].Deadline = deadline
			}
			if err := p.Retune(classes, cfg.Settings.MaxAttempts); err != nil {
				t.Fatal(err)
			}
			close(release)
			w.passing(p, 5*time.Second, "the answer", answered(client, "value"))
			_, text, _ := strings.Cut(<-told, ",d=")
			if ms, err := strconv.Atoi(text); err != nil || ms < 5500 || ms > 6000 {
				t.Errorf("the origin was told %q, want what is left of 8000 after 2 s", text)
			}
		})
	}
}

// answered tells once a client has had the answer that it is to have.
func answered(c *testClient, want string) <-chan struct{} {
	has := make(chan struct{})
	go func() {
		if got := c.answer(); got != want {
			c.t.Errorf("answered %q, want %q", got, want)
		}
		close(has)
	}()
	return has
}

// A client's time runs from its last byte, also for commands that stood unread while others before them were waited for.
func TestUnreadCommandsKeepTheirTime(t *testing.T) {
	const commands = 3 * maxPipeline
	cfg := leaving(false)
	cfg.Settings.MaxAttempts = 1 // so that an attempt may take all that its client has left
	w := watchDeadlines(t, &cfg)
	d, err := standin.NewFullListener()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.Close() })
	p := start(t, cfg, entry("s-1", d.Addr().String(), "large"))
	var text strings.Builder
	for i := range commands {
		text.WriteString(w.get(fmt.Sprint("k", i), fmt.Sprint("id", i), 15_000))
	}
	client := p.dial()
	client.send(text.String())
	p.eventually("its reader waits", func() bool {
		for c := range p.redis.clients {
			return c.resume != nil
		}
		return false
	})
	w.advance(p, 5*time.Second)
	d.Serve(func(conn net.Conn) { w.serve("s-1", conn, nil) })
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
	w.passing(p, 9*time.Second, "the answers", all)
	if first, _ := w.Attempts(); first <= maxPipeline {
		t.Errorf("only %d commands were sent on: none that stood unread", first)
	}
}

// Commands that came while their connection's reader waited are dated by the wait, and those that came after it by themselves.
func TestCommandsSentDuringAWaitKeepTheirTime(t *testing.T) {
	cfg := leaving(false)
	cfg.Settings.MaxAttempts = 1
	w := watchDeadlines(t, &cfg)
	d, err := standin.NewFullListener()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.Close() })
	told := make(chan string, 10*maxPipeline)
	p := start(t, cfg, entry("s-1", d.Addr().String(), "large"))
	client := p.dial()
	send := func(from, to int) {
		var text strings.Builder
		for i := from; i < to; i++ {
			text.WriteString(w.get(fmt.Sprint("k", i), fmt.Sprint("id", i), 15_000))
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
			return !c.quiet()
		}
		return false
	})
	w.advance(p, 5*time.Second)
	d.Serve(func(conn net.Conn) { w.serve("s-1", conn, told) })
	all := make(chan struct{})
	go func() {
		defer close(all)
		for range maxPipeline + during {
			client.answer()
		}
	}()
	w.passing(p, 9*time.Second, "the answers", all)
	for len(told) > 0 {
		<-told
	}
	p.eventually("its reader reads", func() bool {
		for c := range p.redis.clients {
			return c.resume == nil && len(c.pending) == 0
		}
		return false
	})
	w.advance(p, 3*time.Second)
	send(maxPipeline+during, maxPipeline+during+1)
	last := make(chan struct{})
	go func() { defer close(last); client.answer() }()
	w.passing(p, 9*time.Second, "the last answer", last)
	if n, err := strconv.Atoi(<-told); err != nil || n < 14_000 {
		t.Errorf("a command that came by itself was told %d ms of 15,000, %v", n, err)
	}
}

// A connection may have stood in the listener's line, with a command on it, before the proxy took its first client.
func TestConnectionsInLineAtTheStartKeepTheirTime(t *testing.T) {
	cfg := leaving(false)
	cfg.Settings.MaxAttempts = 1
	w := watchDeadlines(t, &cfg)
	var p *testProxy
	ready, begin := make(chan struct{}), make(chan struct{})
	cfg.Before = func() {
		close(ready)
		<-begin
	}
	p = start(t, cfg, entry("s-1", w.cache("s-1", func(a asked) string { return hit("value of " + a.key) }), "large"))
	<-ready
	client := p.dial()
	client.send(w.get("k", "id", 15_000))
	w.advance(p, 2*time.Second)
	close(begin)
	if got := client.answer(); got != "value of k" {
		t.Errorf("answered %q", got)
	}
	w.wantAttempts(1, false)
}

// What stood in line while the proxy had no descriptor for it is dated by that, and what comes later by itself.
func TestConnectionsInLineForADescriptorKeepTheirTime(t *testing.T) {
	cfg := leaving(false)
	cfg.Settings.MaxAttempts = 1
	w := watchDeadlines(t, &cfg)
	told := make(chan string, 10)
	p := start(t, cfg, entry("s-1", w.cache("s-1", func(a asked) string {
		_, deadline, _ := strings.Cut(a.attrs, ",d=")
		told <- deadline
		return hit("value of " + a.key)
	}), "large"))
	ask := func(id string) int {
		p.enter() // so that nobody is taken before the command has come
		client := p.dial()
		client.send(w.get("k", id, 15_000))
		p.leave()
		if got := client.answer(); got != "value of k" {
			t.Fatalf("answered %q", got)
		}
		ms, err := strconv.Atoi(<-told)
		if err != nil {
			t.Error(err)
		}
		return ms
	}
	ask("first") // from here on connections are taken as they come
	p.redis.awaitAccept(acceptShort, 1)
	w.advance(p, 2*time.Second)
	if ms := ask("in-line"); ms > 13_000 {
		t.Errorf("what may have stood in line for 2 s was told %d ms of 15,000", ms)
	}
	p.eventually("the line is empty", func() bool { return p.redis.waited == 0 })
	w.advance(p, 2*time.Second)
	if ms := ask("later"); ms < 14_500 {
		t.Errorf("what came by itself was told %d ms of 15,000", ms)
	}
}

// Attempts that begin in one event, each held up before its bytes go out, tell their servers what is left when they do go out.
func TestHeldUpAttemptsTellWhatIsLeft(t *testing.T) {
	for name, wait := range map[string]time.Duration{
		"time enough":           8 * time.Second,
		"over before the event": 4100 * time.Millisecond, // what would be sent after that is not sent
	} {
		t.Run(name, func(t *testing.T) { heldUpAttempts(t, wait) })
	}
}

// heldUpAttempts has the second attempts of several reads begin in one event, 3.5 s after their clients wrote them.
func heldUpAttempts(t *testing.T, wait time.Duration) {
	const reads, pause = 6, 140 * time.Millisecond
	cfg := testConfig()
	cfg.Settings.MaxAttempts = 2 // so that the second attempt goes to the origin
	var holding atomic.Bool
	var sent atomic.Int32
	arrived := make(chan struct{}, 100)
	w := &deadlineWatch{t: t}
	var moved atomic.Int64 // by the pauses, beside what the test moves the clock by
	w.advance = handClock(&cfg)
	base := cfg.Clock
	cfg.Clock = func() time.Duration { return base() + time.Duration(moved.Load()) }
	w.Now = cfg.Clock
	cfg.OnSend = func(logic.RequestID, logic.MemberID) {
		if !holding.Load() {
			return
		}
		if sent.Add(1) > 1 { // what went out before has arrived: no time passes while bytes are under way
			<-arrived
		}
		moved.Add(int64(pause))
	}
	together := make(chan struct{})
	var warm atomic.Int32
	o := w.origin(func(r *http.Request) string {
		if r.Method != http.MethodPut {
			arrived <- struct{}{}
			return page("value")
		}
		if warm.Add(1) == reads {
			close(together)
		}
		<-together
		return page("receipt")
	})
	stuck, asks := make(chan struct{}), make(chan struct{}, 100)
	silent := w.cache("s-1", func(asked) string {
		asks <- struct{}{}
		<-stuck
		return miss
	})
	t.Cleanup(func() { close(stuck) })
	p := start(t, cfg, entry("s-1", silent, "large"), entry("o-1", o, "origin"))
	for i := range reads { // as many connections to the origin
		p.dial().send(w.put(fmt.Sprint("o", i), fmt.Sprint("order", i), 8000))
	}
	w.passing(p, time.Second, "the orders are at the origin", together)
	for range 20 {
		w.advance(p, time.Millisecond)
	}
	p.eventually("the connections are free", func() bool {
		free := 0
		for _, c := range p.at(o).Conns {
			if c.Reusable(p.now) {
				free++
			}
		}
		moved.Add(int64(time.Millisecond))
		return len(p.requests) == 0 && free == reads
	})
	for i := range reads {
		p.dial().send(w.get(fmt.Sprint("k", i), fmt.Sprint("id", i), int(wait.Milliseconds())))
		<-asks
	}
	p.Do(func() {}) // the last one's event is over: it has noted when it was written
	holding.Store(true)
	moved.Add(int64(3500 * time.Millisecond)) // the first attempts of all have timed out
	p.Tick()
	want := reads
	if left := int((wait - 3500*time.Millisecond) / pause); left < reads {
		want = left + 1
	}
	if n := int(sent.Load()); n != want && n != want+1 { // the last one may end as it begins
		t.Fatalf("%d attempts in one event, want %d", n, want)
	}
	p.eventually("all are answered", func() bool { return len(p.requests) == 0 })
	w.wantAttempts(2*reads, true)
	for _, v := range w.Violations() {
		t.Error(v)
	}
}

// Reads of one request for many keys have its time, also those that are asked for once others have been answered.
func TestManyKeysShareOneDeadline(t *testing.T) {
	cfg := testConfig()
	cfg.Settings.MaxAttempts = 1
	cfg.ManyKeys = &manykeys.Limits{Keys: 10, Bytes: 100_000, Outstanding: 1, PartSize: 1}
	w := watchDeadlines(t, &cfg)
	came, release := make(chan struct{}, 10), make(chan struct{}, 10)
	p := start(t, cfg, entry("s-1", w.cache("s-1", func(a asked) string {
		came <- struct{}{}
		<-release
		return hit("value of " + a.key)
	}), "large"))
	client := p.dial()
	w.RequestSent("many", "c=tile-read,d=8000")
	client.send(mget("many", "c=tile-read,d=8000", "a", "b", "c"))
	for range 3 {
		<-came
		w.advance(p, 2*time.Second)
		release <- struct{}{}
	}
	if got, line := client.reply(); !slices.Equal(got, []string{"value of a", "value of b", "value of c"}) {
		t.Errorf("%s %q", line, got)
	}
}

// A read that goes on for those who share its answer, after its own client has left, tells what the last of them has left.
func TestJoinedReadTellsWhatItsFollowersHaveLeft(t *testing.T) {
	cfg := testConfig()
	cfg.Settings.MaxAttempts = 2 // so that the second attempt may take all that is left
	cfg.Joining = &joining.Limits{Followers: 10, PerTenant: 10, Groups: 10}
	w := watchDeadlines(t, &cfg)
	came, release := make(chan struct{}, 10), make(chan struct{})
	var asks atomic.Int32
	told := make(chan string, 10)
	answer := func(a asked) string {
		told <- a.attrs
		if asks.Add(1) == 1 {
			came <- struct{}{}
			<-release
			return "-ERR failed\r\n"
		}
		return hit("value")
	}
	o := w.origin(func(r *http.Request) string { told <- r.Header.Get("X-Attrs"); return page("value") })
	p := start(t, cfg, entry("s-1", w.cache("s-1", answer), "large"), entry("o-1", o, "origin"))
	lead, follower := p.dial(), p.dial()
	lead.send(w.get("a", "lead", 8000))
	<-came
	<-told
	follower.send(w.get("a", "follower", 4000))
	p.followed(1)
	lead.conn.Close()
	p.eventually("the lead's client has left", func() bool { return len(p.redis.clients) == 1 })
	w.RequestSent("lead", "d=4000") // nobody waits for it any longer than the follower does
	w.advance(p, 2500*time.Millisecond)
	close(release)
	w.passing(p, 2*time.Second, "the answer", answered(follower, "value"))
	w.wantAttempts(1, true)
}

// A process that was held up dates what it reads right afterwards by when it may have come: in the midst of an event, and between two.
func TestStallsDateRequests(t *testing.T) {
	p := &Proxy{cfg: Config{}, started: time.Now().Add(-time.Minute), ups: upstream.New(pool.Config{}, nil)}
	p.stalls.MaxGap = stallGap
	p.timers = newTimers(time.Millisecond, p.Clock())
	p.timer = time.AfterFunc(time.Hour, func() {})
	p.now = p.Clock()
	p.wakeAt = p.now
	p.enter()
	began := p.began
	for p.Clock()-began < 20*time.Millisecond { // the event takes its time
		time.Sleep(time.Millisecond)
	}
	p.leave()
	p.enter()
	if got := p.arrivedAt(p.now); got != began {
		t.Errorf("read right after an event that took long, dated %v after it began", got-began)
	}
	last := p.now - time.Second
	p.now, p.stalls = last, arrival.Stalls{MaxGap: stallGap} // nothing has happened for a second
	p.mu.Unlock()
	p.enter()
	if got := p.arrivedAt(p.now); got != last {
		t.Errorf("read right after a long pause, dated %v after it began", got-last)
	}
	if got := p.arrivedAt(p.now + time.Hour); got != last {
		t.Errorf("what is dated ahead counts as %v after the pause began", got-last)
	}
	if got := p.arrivedAt(0); got != p.now {
		t.Errorf("what has no date counts as %v ago", p.now-got)
	}
	p.mu.Unlock()
}

// Many proxies before members they share, each held up by a seed between choosing a member and writing to it, with reads that miss, fail, are
// turned away and time out: no member is told of more than is left.
func TestManyHeldUpProxiesTellWhatIsLeft(t *testing.T) {
	const proxies, rounds, pauseMost = 24, 12, 150 * time.Millisecond
	var now atomic.Int64
	clock := func() time.Duration { return time.Duration(now.Load()) }
	w := &deadlineWatch{t: t, DeadlineChecker: standin.DeadlineChecker{Now: clock}}
	var seed atomic.Uint64
	answers := []string{miss, "-ERR failed\r\n", "-BUSY\r\n", hit("value"), miss}
	answer := func(asked) string {
		return answers[rand.New(rand.NewPCG(54, seed.Add(1))).IntN(len(answers))]
	}
	members := []discovery.Member{entry("s-1", w.cache("s-1", answer), "large"), entry("s-2", w.cache("s-2", answer), "large"),
		entry("o-1", w.origin(func(*http.Request) string { return page("value") }), "origin")}
	var all []*testProxy
	w.advance = func(_ *testProxy, d time.Duration) {
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
			if pauses.Load() { // only this proxy has anything under way
				now.Add(1 + rng.Int64N(int64(pauseMost)))
			}
		}
		all = append(all, start(t, cfg, members...))
	}
	pauses.Store(true)
	asked := 0
	for round := range rounds {
		for i, p := range all {
			client := p.dial()
			id := fmt.Sprintf("id-%d-%d", round, i)
			client.send(w.get(fmt.Sprint("k", round*proxies+i), id, 8000))
			asked++
			has := make(chan struct{})
			go func() { defer close(has); client.answer() }()
			w.passing(p, 8*time.Second, "the answer", has)
			client.conn.Close()
		}
	}
	first, further := w.Attempts()
	if first > asked || first < asked/2 || further == 0 {
		t.Errorf("%d first attempts and %d further ones of %d reads", first, further, asked)
	}
	for _, v := range w.Violations() {
		t.Error(v)
	}
}

// What a client says of its deadline, and what its server is told.
func TestDeadlineThatClientsGive(t *testing.T) {
	for text, want := range map[string]struct {
		told   int
		answer string
	}{
		"d=4000":               {told: 4000},
		"d=4000.75":            {told: 4000},
		"d=0.25":               {answer: "-BUSY"}, // less than an answer takes: nothing is sent
		"d=1":                  {answer: "-BUSY"},
		"d=60000":              {told: 8000}, // the class allows no more
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
		"d=4000,size=7,t=acme": {told: 4000},
		"d=4000,r=1":           {told: 4000}, // a client's own retry has a deadline of its own
	} {
		for _, c := range []struct{ name, class string }{{"OBJ.GET", "tile-read"}, {"OBJ.SET", "pass-order"}} {
			t.Run(c.name+" "+text[:min(len(text), 20)], func(t *testing.T) {
				t.Parallel()
				cfg := testConfig()
				cfg.Settings.MaxAttempts = 1
				w := watchDeadlines(t, &cfg)
				told := make(chan string, 10)
				node := w.cache("s-1", func(a asked) string { told <- a.attrs; return hit("value") })
				o := w.origin(func(r *http.Request) string { told <- r.Header.Get("X-Attrs"); return page("value") })
				p := start(t, cfg, entry("s-1", node, "large"), entry("o-1", o, "origin"))
				attrs := "c=" + c.class + "," + text
				w.RequestSent("id", attrs)
				client := p.dial()
				command := []string{c.name, "a1", "id", attrs}
				if c.name == "OBJ.SET" {
					command = append(command, "order")
				}
				client.send(words(command...))
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
				w.passing(p, time.Second, "the answer", answer)
				if n := len(told); n > 1 || (n == 1) != (want.told > 0) {
					t.Fatalf("its server was asked %d times", n)
				}
				if want.told == 0 {
					return
				}
				list := <-told
				_, after, _ := strings.Cut(list, ",d=")
				after, rest, _ := strings.Cut(after, ",")
				got, err := strconv.Atoi(after)
				if err != nil || got > want.told || got < want.told-200 { // the test lets some time pass
					t.Errorf("its server was told %q, want a deadline of %d", list, want.told)
				}
				if _, others, _ := strings.Cut(text, ","); rest != others {
					t.Errorf("its server was told %q behind the deadline, want %q", rest, others)
				}
			})
		}
	}
}

// manyZeros make a number that no clock holds.
var manyZeros = strings.Repeat("0", 400)
