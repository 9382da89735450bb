package pool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// testRequest is the tests' Exchange.
type testRequest struct {
	Request
	key      string
	id       int
	member   *Member[*testRequest] // the member it was submitted to, where a test needs it
	verdicts []Verdict
}

func (x *testRequest) Key() []byte { return []byte(x.key) }

// testLink is the tests' Link.
type testLink struct {
	conn                   *Conn[*testRequest]
	host                   *testHost
	epoch                  int            // the member's epoch when it was dialed
	sent                   []*testRequest // in order, without those answered
	pings                  int
	blocked, noisy, closed bool
	overLimit              bool // over the cache's connection limit: its first request is refused
}

func (l *testLink) Send(x *testRequest) {
	if l.closed || l.blocked {
		l.host.t.Errorf("request %d is written to a connection that is closed or blocked", x.id)
	}
	if l.conn.Retired || !l.conn.Member.Ready {
		l.host.t.Errorf("request %d is written to a connection out of use, or to a member that drains", x.id)
	}
	if l.epoch != l.conn.Member.Epoch {
		l.host.t.Errorf("request %d is written to where the member was before", x.id)
	}
	if x.Ended {
		l.host.t.Errorf("request %d, which is over, is written", x.id)
	}
	if l.pings > 0 {
		l.host.t.Error("something is written behind a ping")
	}
	for _, y := range l.sent {
		if x.Write || y.Write || x.Once || l.conn.Member.Origin || x.key == y.key && y == l.sent[len(l.sent)-1] {
			l.host.t.Errorf("%+v is written behind %+v", x.Request, y.Request)
		}
	}
	l.sent = append(l.sent, x)
}

func (l *testLink) Ping()          { l.pings++ }
func (l *testLink) Writable() bool { return !l.blocked }
func (l *testLink) Silent() bool   { return !l.noisy }
func (l *testLink) Close()         { l.closed = true }

// pendingDial is a dial that has not ended.
type pendingDial struct {
	member  *Member[*testRequest]
	epoch   int
	prewarm bool
}

// testHost is a host with a simulated clock.
type testHost struct {
	t               *testing.T
	pool            *Pool[*testRequest]
	now             time.Duration
	dials           []pendingDial
	connectTimeouts map[*testRequest]time.Duration
	redials         map[*Member[*testRequest]]time.Duration
	wake            time.Duration
	noDescriptors   bool
	links           []*testLink
}

func newTestHost(t *testing.T, cfg Config) *testHost {
	h := &testHost{t: t, now: time.Hour, connectTimeouts: map[*testRequest]time.Duration{}, redials: map[*Member[*testRequest]]time.Duration{}}
	h.pool = New(cfg, Actions[*testRequest](h))
	h.pool.Advance(h.now)
	return h
}

var defaultConfig = Config{ConnIdle: 5 * time.Second, ConnectTimeout: 250 * time.Millisecond, Multiplex: 4, Instances: 1, Descriptors: 512,
	CanProbe: true}

func (h *testHost) Dial(m *Member[*testRequest], prewarm bool) {
	h.dials = append(h.dials, pendingDial{m, m.Epoch, prewarm})
}

func (h *testHost) Reject(x *testRequest, v Verdict) {
	if x.Ended {
		h.t.Errorf("request %d ends twice", x.id)
	}
	x.Ended = true
	x.verdicts = append(x.verdicts, v)
}

func (h *testHost) Expired(x *testRequest) bool {
	return x.ExpiresAt > 0 && h.now >= x.ExpiresAt || x.StartBefore > 0 && h.now >= x.StartBefore
}
func (h *testHost) HasDescriptor(bool) bool { return !h.noDescriptors }
func (h *testHost) ScheduleConnectTimeout(x *testRequest, at time.Duration) {
	h.connectTimeouts[x] = at
}
func (h *testHost) ScheduleRedial(m *Member[*testRequest], at time.Duration) { h.redials[m] = at }
func (w *testHost) SchedulePingTimeout(*Conn[*testRequest], time.Duration, time.Duration) {
}
func (h *testHost) ScheduleWake(at time.Duration) { h.wake = at }

// connect completes the i-th pending dial, with or without success.
func (h *testHost) connect(i int, succeeds bool) *testLink {
	dial := h.dials[i]
	h.dials = slices.Delete(h.dials, i, i+1)
	if !succeeds {
		h.pool.DialCompleted(dial.member, nil, dial.epoch, dial.prewarm, h.now%2 == 0)
		return nil
	}
	link := &testLink{host: h, epoch: dial.epoch, conn: &Conn[*testRequest]{Member: dial.member}}
	link.conn.Link = link
	h.links = append(h.links, link)
	h.pool.DialCompleted(dial.member, link.conn, dial.epoch, dial.prewarm, false)
	return link
}

// answer delivers the answer to the current request or ping of a connection, as a host does.
func (h *testHost) answer(link *testLink) {
	if link.pings > 0 {
		link.pings = 0
	} else if len(link.sent) > 0 {
		link.sent[0].Ended = true
		link.sent = link.sent[1:]
	} else {
		return
	}
	if link.conn.Closed || h.pool.Answered(link.conn, true) {
		return
	}
	if link.conn.Retired {
		h.pool.HandleBroken(link.conn)
		return
	}
	h.pool.Release(link.conn)
}

// broken ends a connection and all requests on it.
func (h *testHost) broken(link *testLink) {
	for _, x := range link.sent {
		x.Ended = true
	}
	link.sent, link.conn.Pipelined = nil, nil
	h.pool.HandleBroken(link.conn)
}

// The backoff grows with failing dials, counts dials that fail together once, and ends with the first
// answer on a new connection.
func TestDialBackoffDoublesAndEnds(t *testing.T) {
	host := newTestHost(t, defaultConfig)
	member := &Member[*testRequest]{Ready: true}
	for i, want := 0, dialBackoff; i < 9; i, want = i+1, min(2*want, dialBackoffMax) {
		member.pendingDials, host.pool.pendingDials, host.pool.openConns = 2, 2, 2
		host.pool.DialCompleted(member, nil, 0, false, true)
		host.pool.DialCompleted(member, nil, 0, false, true)
		if member.backoff != want {
			t.Errorf("backoff %d is %v, not %v", i, member.backoff, want)
		}
		host.now = member.noDialUntil
		host.pool.Advance(host.now)
	}
	member.pendingDials, host.pool.pendingDials, host.pool.openConns = 1, 1, 1
	host.dials = []pendingDial{{member, 0, false}}
	member.Waiting = []*testRequest{{Request: Request{ExpiresAt: host.now + time.Second}}}
	link := host.connect(0, true)
	if member.Backoff() == 0 {
		t.Error("a connection ends the backoff before it has carried anything")
	}
	host.answer(link)
	if member.Backoff() != 0 {
		t.Errorf("the backoff outlives an answer: %v", member.backoff)
	}
}

// The queue delay is proportional to the queue, and negative at a cache that is stuck or unknown.
func TestQueueDelay(t *testing.T) {
	host := newTestHost(t, defaultConfig)
	connsUsed := func(used time.Duration) []*Conn[*testRequest] {
		return []*Conn[*testRequest]{{lastUsed: host.now - used}, {lastUsed: host.now - time.Second}}
	}
	queue := func(n int) []*testRequest { return make([]*testRequest, n) }
	for name, tc := range map[string]struct {
		member Member[*testRequest]
		want   time.Duration
	}{
		"a short line":          {Member[*testRequest]{occupancy: time.Millisecond, Conns: connsUsed(0), Waiting: queue(9)}, 5 * time.Millisecond},
		"a long line":           {Member[*testRequest]{occupancy: time.Millisecond, Conns: connsUsed(0), Waiting: queue(99)}, 50 * time.Millisecond},
		"slow answers":          {Member[*testRequest]{occupancy: 80 * time.Millisecond, Conns: connsUsed(0), Waiting: queue(2)}, 120 * time.Millisecond},
		"stuck":                 {Member[*testRequest]{occupancy: time.Millisecond, Conns: connsUsed(60 * time.Millisecond), Waiting: queue(2)}, -1},
		"no connection":         {Member[*testRequest]{occupancy: time.Millisecond, Waiting: queue(2)}, -1},
		"nothing known":         {Member[*testRequest]{Conns: connsUsed(0), Waiting: queue(2)}, -1},
		"as long as a dial may": {Member[*testRequest]{occupancy: 2 * time.Millisecond, Conns: connsUsed(0), Waiting: queue(130)}, -1},
	} {
		if got := host.pool.queueDelay(&tc.member); got != tc.want {
			t.Errorf("%s: %v, want %v", name, got, tc.want)
		}
	}
}

// The queue is ordered by expiry, and requests with equal expiry by arrival.
func TestQueueIsOrderedByExpiry(t *testing.T) {
	member := &Member[*testRequest]{}
	for i, expiresAt := range []time.Duration{5, 3, 9, 3, 1, 5} {
		member.enqueue(&testRequest{Request: Request{ExpiresAt: expiresAt}, id: i})
	}
	var got []int
	for _, x := range member.Waiting {
		got = append(got, x.id)
	}
	if !slices.Equal(got, []int{4, 1, 3, 0, 5, 2}) {
		t.Errorf("%v", got)
	}
}

// A request that has expired when a connection becomes available is not sent, even if the event that
// brings the connection began before its expiry: the next request gets the connection.
func TestExpiredInQueueIsNotSent(t *testing.T) {
	host := newTestHost(t, defaultConfig)
	member := &Member[*testRequest]{Ready: true}
	expired := &testRequest{Request: Request{ExpiresAt: host.now + time.Millisecond}, id: 1}
	next := &testRequest{Request: Request{ExpiresAt: host.now + time.Hour}, id: 2}
	host.pool.Submit(member, expired)
	host.pool.Submit(member, next)
	host.now += time.Second // the pool has not been advanced
	link := host.connect(0, true)
	if len(expired.verdicts) != 1 || len(link.sent) != 1 || link.sent[0] != next || len(member.Waiting) != 0 {
		t.Errorf("verdict %v, sent %v, %d in line", expired.verdicts, link.sent, len(member.Waiting))
	}
}

// A request that gets its connection a few milliseconds before it expires is not sent: it would be
// abandoned and sent to another member, and that second attempt may arrive before the first, so that two
// are being processed at once.
func TestShortTimeLeftInQueueIsNotSent(t *testing.T) {
	host := newTestHost(t, defaultConfig)
	member := &Member[*testRequest]{Ready: true}
	request := &testRequest{Request: Request{ExpiresAt: host.now + 120*time.Millisecond}, id: 1}
	host.pool.Submit(member, request)
	host.now += 115 * time.Millisecond
	host.pool.Advance(host.now)
	if l := host.connect(0, true); len(l.sent) != 0 || len(request.verdicts) != 1 {
		t.Errorf("sent %v with 5 ms left, verdict %v", l.sent, request.verdicts)
	}
}

// A member that starts to drain receives none of its queued requests.
func TestDrainRejectsTheQueue(t *testing.T) {
	host := newTestHost(t, defaultConfig)
	member := &Member[*testRequest]{Ready: true}
	var queue []*testRequest
	for i := range 5 {
		queue = append(queue, &testRequest{id: i})
		member.enqueue(queue[i])
	}
	host.pool.UpdateMember(member, false, false)
	for _, request := range queue {
		if len(member.Waiting) != 0 || !slices.Equal(request.verdicts, []Verdict{Unavailable}) {
			t.Errorf("%d wait; request %d: %v", len(member.Waiting), request.id, request.verdicts)
		}
	}
	if len(host.dials) != 0 {
		t.Error("a member that drains is dialled")
	}
}

// Two consecutive requests for the same key are not pipelined: a second copy of the first answer could
// not be told from the second answer. Nor is anything pipelined behind a write, or to a cache that has
// not yet given enough clean answers.
func TestWhatIsNotPipelined(t *testing.T) {
	type edit = func(m *Member[*testRequest], c *Conn[*testRequest], x *testRequest)
	for name, tc := range map[string]struct {
		edit edit
		want bool
	}{
		"another key":    {func(*Member[*testRequest], *Conn[*testRequest], *testRequest) {}, true},
		"the same key":   {func(_ *Member[*testRequest], c *Conn[*testRequest], _ *testRequest) { c.lastKey = []byte("k2") }, false},
		"a write":        {func(_ *Member[*testRequest], _ *Conn[*testRequest], x *testRequest) { x.Write = true }, false},
		"behind a write": {func(_ *Member[*testRequest], c *Conn[*testRequest], _ *testRequest) { c.carriesWrite = true }, false},
		"an order":       {func(_ *Member[*testRequest], _ *Conn[*testRequest], x *testRequest) { x.Once = true }, false},
		"a repeat with a window": {func(_ *Member[*testRequest], _ *Conn[*testRequest], x *testRequest) {
			x.StartBefore = time.Hour
		}, false},
		"an origin": {func(m *Member[*testRequest], _ *Conn[*testRequest], _ *testRequest) { m.Origin = true }, false},
		"an unknown cache": {func(m *Member[*testRequest], _ *Conn[*testRequest], _ *testRequest) {
			m.cleanAnswers = MinCleanAnswers - 1
		}, false},
		"a spoilt one": {func(m *Member[*testRequest], _ *Conn[*testRequest], _ *testRequest) { m.RecordBadAnswer() }, false},
		"a full connection": {func(_ *Member[*testRequest], c *Conn[*testRequest], _ *testRequest) {
			c.Pipelined = make([]*testRequest, 3)
		}, false},
		"a slow head": {func(_ *Member[*testRequest], c *Conn[*testRequest], _ *testRequest) {
			c.currentSince -= 2 * time.Second
		}, false},
		"a new connection": {func(_ *Member[*testRequest], c *Conn[*testRequest], _ *testRequest) { c.HasAnswered = false }, false},
		"one that is busy": {func(_ *Member[*testRequest], c *Conn[*testRequest], _ *testRequest) {
			c.Link.(*testLink).blocked = true
		}, false},
		"one that is free": {func(_ *Member[*testRequest], c *Conn[*testRequest], _ *testRequest) { c.Current = nil }, false},
		"after a long value": {func(m *Member[*testRequest], c *Conn[*testRequest], _ *testRequest) {
			c.Link.(*testLink).host.pool.SuspendPipelining(time.Second)
		}, false},
	} {
		host := newTestHost(t, defaultConfig)
		host.pool.SetMaxPipelineAge(time.Second)
		member := &Member[*testRequest]{cleanAnswers: MinCleanAnswers}
		conn := &Conn[*testRequest]{Member: member, HasAnswered: true, Current: &testRequest{}, currentSince: host.now, lastKey: []byte("k1")}
		conn.Link = &testLink{host: host, conn: conn}
		member.Conns = []*Conn[*testRequest]{conn}
		request := &testRequest{key: "k2"}
		tc.edit(member, conn, request)
		if got := host.pool.pickPipelineConn(member, request) != nil; got != tc.want {
			t.Errorf("%s: %v", name, got)
		}
	}
	member := &Member[*testRequest]{}
	for range 20 {
		member.RecordBadAnswer()
	}
	if member.cleanRequired != maxCleanAnswers {
		t.Errorf("after many spoilt answers %d clean ones are asked for", member.cleanRequired)
	}
}

// At the limit of concurrent dials, the next member dials once another dial has ended.
func TestDialsTakeTurns(t *testing.T) {
	host := newTestHost(t, defaultConfig)
	var last *Member[*testRequest]
	for i := range maxConcurrentDials + 1 {
		last = &Member[*testRequest]{Ready: true}
		host.pool.Submit(last, &testRequest{id: i, Request: Request{ExpiresAt: host.now + time.Second}})
	}
	if len(host.dials) != maxConcurrentDials {
		t.Fatalf("%d dials are out", len(host.dials))
	}
	host.now++ // at an odd time a dial fails slowly, and is not repeated immediately
	host.connect(0, false)
	if latest := host.dials[len(host.dials)-1]; len(host.dials) != maxConcurrentDials || latest.member != last {
		t.Errorf("%d dials are out, the latest to another member: %v", len(host.dials), latest.member != last)
	}
}

// After random events in random order each request is written at most once or has one verdict, nothing is
// written to a member that drains or on a connection out of use (see testLink.Send), counts and limits
// hold, and once members answer again no request is left waiting.
func TestAnyOrderOfEvents(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			cfg := defaultConfig
			cfg.Instances = 1 + int(seed%4)*8
			cfg.Multiplex = 1 + int(seed%3)*3
			host := newTestHost(t, cfg)
			members := []*Member[*testRequest]{{Ready: true}, {Ready: true}, {Ready: true, Origin: true}}
			for _, member := range members[:2] {
				member.cleanAnswers = int(seed%2) * MinCleanAnswers
			}
			var requests []*testRequest
			fireConnectTimeouts := func() {
				for request, at := range host.connectTimeouts {
					if host.now < at {
						continue
					}
					delete(host.connectTimeouts, request)
					if request.BeganAt > 0 || request.Ended {
						continue
					}
					i := slices.IndexFunc(members, func(m *Member[*testRequest]) bool { return slices.Contains(m.Waiting, request) })
					if i < 0 {
						t.Fatalf("request %d has no verdict and is not in line", request.id)
					}
					host.pool.ConnectTimedOut(members[i], request)
				}
			}
			answerAll := func() {
				for len(host.dials) > 0 {
					host.connect(0, true)
				}
				for _, link := range host.links {
					for link.blocked = false; (len(link.sent) > 0 || link.pings > 0) && !link.closed; {
						host.answer(link)
					}
				}
			}
			step := func() {
				host.now += time.Duration(rng.IntN(3000)) * time.Microsecond
				host.pool.Advance(host.now)
				member := members[rng.IntN(len(members))]
				var link *testLink
				if len(host.links) > 0 {
					link = host.links[rng.IntN(len(host.links))]
				}
				switch event := rng.IntN(16); {
				case event < 6 && member.Ready:
					request := &testRequest{id: len(requests)}
					request.key, request.ExpiresAt = fmt.Sprint("k", rng.IntN(3)), host.now+time.Duration(rng.IntN(900))*time.Millisecond
					if request.Write = rng.IntN(5) == 0; request.Write {
						request.Once = rng.IntN(2) == 0
					}
					requests = append(requests, request)
					wait := host.pool.ExpectedWait(member)
					host.pool.Submit(member, request)
					if accepted := len(request.verdicts) == 0; wait >= 0 && !accepted {
						t.Fatalf("a wait of %v was told, and the request turned away", wait)
					}
				case event < 9 && link != nil && !link.closed:
					host.answer(link)
				case event == 9 && link != nil && !link.closed:
					host.broken(link)
				case event == 10 && link != nil:
					if link.blocked = !link.blocked; !link.blocked {
						host.pool.BacklogWritten(link.conn)
					}
				case event < 13 && len(host.dials) > 0:
					host.connect(rng.IntN(len(host.dials)), rng.IntN(3) > 0)
				case event == 13:
					if rng.IntN(4) == 0 {
						host.pool.UpdateMember(member, !member.Ready, rng.IntN(2) == 0)
					}
					host.noDescriptors = rng.IntN(3) == 0
				case event == 14:
					host.pool.UpdateIdleLimit()
					host.pool.Sweep(member, len(members))
				case event == 15 && link != nil && !link.conn.Busy():
					link.noisy = true
				}
				if host.wake > 0 && host.now >= host.wake {
					host.wake = 0
					host.pool.Wake()
				}
				fireConnectTimeouts()
			}
			checkInvariants := func() {
				open := len(host.dials)
				for i, member := range members {
					for _, conn := range member.Conns {
						if len(member.Waiting) > 0 && !member.inCooldownQueue && conn.Reusable(host.now) && !conn.Retired && conn.Link.Writable() &&
							host.now-conn.lastUsed < cfg.ConnIdle*onceIdlePercent/100 && host.now-conn.lastUsed < host.pool.idle.limit && conn.Link.Silent() {
							t.Fatal("requests wait though a connection is free, and nothing will wake them")
						}
					}
					if n := len(member.Conns) + member.pendingDials; n > host.pool.MaxConns(member) && member.Epoch == 0 {
						t.Fatalf("%d connections to member %d, %d at most", n, i, host.pool.MaxConns(member))
					}
				}
				for _, link := range host.links {
					if !link.closed {
						open++
					}
					if link.closed != link.conn.Closed {
						t.Fatal("a connection is closed on one side only")
					}
				}
				if open != host.pool.OpenConns() {
					t.Fatalf("%d connections count, %d stand", host.pool.OpenConns(), open)
				}
			}
			for range 2000 {
				step()
				checkInvariants()
			}
			host.noDescriptors = false
			for _, member := range members {
				host.pool.UpdateMember(member, true, false)
			}
			for range 200 {
				host.now += time.Second
				host.pool.Advance(host.now)
				for _, member := range members {
					host.pool.Redial(member)
				}
				answerAll()
				host.pool.Wake()
				fireConnectTimeouts()
			}
			checkInvariants()
			for _, request := range requests {
				if written := request.BeganAt > 0; !request.Ended || written == (len(request.verdicts) > 0) {
					t.Errorf("request %d: ended %v, written %v, verdicts %v", request.id, request.Ended, written, request.verdicts)
				}
			}
		})
	}
}

// Reads of one group that arrive at the same moment share a connection from the start, where pipelining
// is allowed. A request that arrives later, belongs to another group, is a write, or goes to a cache
// without enough clean answers is sent as usual.
func TestReadsOfAGroupArePipelined(t *testing.T) {
	for _, tc := range []struct {
		name   string
		clean  int
		second Request
		wait   time.Duration
		shared bool
	}{
		{"the same group", MinCleanAnswers, Request{Group: 7}, 0, true},
		{"another group", MinCleanAnswers, Request{Group: 8}, 0, false},
		{"no group", MinCleanAnswers, Request{}, 0, false},
		{"a write", MinCleanAnswers, Request{Group: 7, Write: true}, 0, false},
		{"later", MinCleanAnswers, Request{Group: 7}, time.Microsecond, false},
		{"an unknown cache", 0, Request{Group: 7}, 0, false},
	} {
		host := newTestHost(t, defaultConfig)
		member := &Member[*testRequest]{Ready: true}
		for i := range 2 { // two connections that have answered
			host.pool.Submit(member, &testRequest{id: i, key: fmt.Sprint(i), Request: Request{ExpiresAt: host.now + time.Minute}})
		}
		for len(host.dials) > 0 {
			host.connect(0, true)
		}
		for _, link := range host.links {
			host.answer(link)
		}
		member.cleanAnswers = tc.clean
		host.now += time.Second
		host.pool.Advance(host.now)
		first, second := &testRequest{id: 8, key: "x", Request: Request{ExpiresAt: host.now + time.Minute, Group: 7}}, &testRequest{id: 9, key: "y", Request: tc.second}
		second.ExpiresAt = host.now + time.Minute
		host.pool.Submit(member, first)
		host.now += tc.wait
		host.pool.Advance(host.now)
		host.pool.Submit(member, second)
		shared := false
		for _, link := range host.links {
			shared = shared || slices.Equal(link.sent, []*testRequest{first, second})
		}
		if shared != tc.shared {
			t.Errorf("%s: shared %v", tc.name, shared)
		}
	}
}

// Guards against a keyed request that runs twice: neither a connection that becomes free nor one that opens
// late carries a repeat whose member no longer drops repeats, even if the event began in time.
func TestRepeatIsNotSentAfterItsWindow(t *testing.T) {
	for name, opensLate := range map[string]bool{"a busy connection": false, "a late handshake": true} {
		host := newTestHost(t, defaultConfig)
		member := &Member[*testRequest]{Ready: true, Origin: true}
		windowEnd := host.now + 100*time.Millisecond
		repeat := &testRequest{Request: Request{ExpiresAt: host.now + time.Second, StartBefore: windowEnd, Write: true}, id: 1}
		var link *testLink
		if !opensLate {
			for range host.pool.MaxConns(member) {
				host.pool.Submit(member, &testRequest{Request: Request{ExpiresAt: host.now + time.Second, Write: true}, id: 2})
				link = host.connect(0, true)
			}
		}
		host.pool.Submit(member, repeat)
		if got := host.connectTimeouts[repeat]; got != windowEnd {
			t.Errorf("%s: the repeat waits until %v, and its window ends at %v", name, got, windowEnd)
		}
		host.now = windowEnd // the pool has not been advanced
		if opensLate {
			link = host.connect(0, true)
		} else {
			host.answer(link)
			host.now = max(host.now, host.wake) // the connection has rested
			host.pool.Wake()
		}
		if len(link.sent) > 0 || len(repeat.verdicts) != 1 {
			t.Errorf("%s: sent %v, verdict %v", name, link.sent, repeat.verdicts)
		}
	}
}

// Guards against a member that counts as unreachable because a repeat was given up at the end of its window.
func TestRepeatGivenUpAtItsWindowSaysNothingOfTheMember(t *testing.T) {
	host := newTestHost(t, defaultConfig)
	member := &Member[*testRequest]{Ready: true}
	repeat := &testRequest{Request: Request{ExpiresAt: host.now + time.Second, StartBefore: host.now + 10*time.Millisecond}, id: 1}
	host.pool.Submit(member, repeat)
	host.now = repeat.StartBefore
	host.pool.Advance(host.now)
	host.pool.ConnectTimedOut(member, repeat)
	if !slices.Equal(repeat.verdicts, []Verdict{LocalShortage}) || len(member.Waiting) != 0 {
		t.Errorf("verdicts %v, %d wait", repeat.verdicts, len(member.Waiting))
	}
}

// Guards against a member that waits for a descriptor until its requests time out although a connection to
// another member is at rest again.
func TestConnectionAtRestGivesWayToWaitingMember(t *testing.T) {
	host := newTestHost(t, defaultConfig)
	busy, short := &Member[*testRequest]{Ready: true}, &Member[*testRequest]{Ready: true}
	host.pool.Submit(busy, &testRequest{Request: Request{ExpiresAt: host.now + time.Second}})
	link := host.connect(0, true)
	host.noDescriptors = true
	host.pool.Submit(short, &testRequest{Request: Request{ExpiresAt: host.now + time.Second}})
	if len(host.dials) != 0 {
		t.Fatal("dialed without a descriptor")
	}
	host.noDescriptors = false // the connection that is at rest now may be closed
	host.answer(link)
	if len(host.dials) != 1 {
		t.Errorf("%d dials once a connection is at rest, want 1", len(host.dials))
	}
}

// Guards against a keyed request that runs twice: its repeat waits for a connection while its member is started
// anew, and is sent to the new process. Other requests go on waiting.
func TestRepeatIsNotSentToANewProcess(t *testing.T) {
	host := newTestHost(t, defaultConfig)
	member := &Member[*testRequest]{Ready: true}
	repeat := &testRequest{Request: Request{ExpiresAt: host.now + time.Second, StartBefore: host.now + time.Second}}
	first := &testRequest{Request: Request{ExpiresAt: host.now + 2*time.Second}}
	host.pool.Submit(member, repeat)
	host.pool.Submit(member, first)
	host.pool.UpdateMember(member, true, true)
	if !slices.Equal(repeat.verdicts, []Verdict{LocalShortage}) {
		t.Errorf("the repeat's verdicts: %v", repeat.verdicts)
	}
	if !slices.Equal(member.Waiting, []*testRequest{first}) {
		t.Errorf("%d requests wait, want the other one", len(member.Waiting))
	}
}
