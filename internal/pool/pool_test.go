package pool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// testRequest is a request of the tests.
type testRequest struct {
	Request
	key      string
	id       int
	member   *Member[*testRequest] // where it was placed, if that is asked for
	verdicts []Verdict
}

func (x *testRequest) Key() []byte { return []byte(x.key) }

// testLink is the host's side of a connection in the tests.
type testLink struct {
	conn                   *Conn[*testRequest]
	host                   *testHost
	epoch                  int            // of the member, when it was dialled
	sent                   []*testRequest // in order, those answered left out
	pings                  int
	blocked, noisy, closed bool
	overLimit              bool // one too many: its first request is turned away
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

// pendingDial is one that is out.
type pendingDial struct {
	member *Member[*testRequest]
	epoch  int
	warm   bool
}

// testHost is a host with a clock of its own.
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
	w := &testHost{t: t, now: time.Hour, connectTimeouts: map[*testRequest]time.Duration{}, redials: map[*Member[*testRequest]]time.Duration{}}
	w.pool = New(cfg, Actions[*testRequest](w))
	w.pool.Advance(w.now)
	return w
}

var defaultConfig = Config{ConnIdle: 5 * time.Second, ConnectTimeout: 250 * time.Millisecond, Multiplex: 4, Instances: 1, Descriptors: 512,
	CanProbe: true}

func (w *testHost) Dial(m *Member[*testRequest], warm bool) {
	w.dials = append(w.dials, pendingDial{m, m.Epoch, warm})
}

func (w *testHost) Reject(x *testRequest, v Verdict) {
	if x.Ended {
		w.t.Errorf("request %d ends twice", x.id)
	}
	x.Ended = true
	x.verdicts = append(x.verdicts, v)
}

func (w *testHost) Expired(x *testRequest) bool { return x.ExpiresAt > 0 && w.now >= x.ExpiresAt }
func (w *testHost) HasDescriptor(bool) bool     { return !w.noDescriptors }
func (w *testHost) ScheduleConnectTimeout(x *testRequest, at time.Duration) {
	w.connectTimeouts[x] = at
}
func (w *testHost) ScheduleRedial(m *Member[*testRequest], at time.Duration) { w.redials[m] = at }
func (w *testHost) SchedulePingTimeout(*Conn[*testRequest], time.Duration, time.Duration) {
}
func (w *testHost) ScheduleWake(at time.Duration) { w.wake = at }

// connect ends the i-th dial that is out, well or not.
func (w *testHost) connect(i int, well bool) *testLink {
	d := w.dials[i]
	w.dials = slices.Delete(w.dials, i, i+1)
	if !well {
		w.pool.DialCompleted(d.member, nil, d.epoch, d.warm, w.now%2 == 0)
		return nil
	}
	l := &testLink{host: w, epoch: d.epoch, conn: &Conn[*testRequest]{Member: d.member}}
	l.conn.Link = l
	w.links = append(w.links, l)
	w.pool.DialCompleted(d.member, l.conn, d.epoch, d.warm, false)
	return l
}

// answer answers what is in front on a connection, as a host does.
func (w *testHost) answer(l *testLink) {
	if l.pings > 0 {
		l.pings = 0
	} else if len(l.sent) > 0 {
		l.sent[0].Ended = true
		l.sent = l.sent[1:]
	} else {
		return
	}
	if l.conn.Closed || w.pool.Answered(l.conn, true) {
		return
	}
	if l.conn.Retired {
		w.pool.HandleBroken(l.conn)
		return
	}
	w.pool.Release(l.conn)
}

// broken ends a connection and all that is on it.
func (w *testHost) broken(l *testLink) {
	for _, x := range l.sent {
		x.Ended = true
	}
	l.sent, l.conn.Pipelined = nil, nil
	w.pool.HandleBroken(l.conn)
}

// The backoff grows while dials fail, counts dials that fail together once, and ends with one that comes up.
func TestDialBackoffDoublesAndEnds(t *testing.T) {
	w := newTestHost(t, defaultConfig)
	m := &Member[*testRequest]{Ready: true}
	for i, want := 0, dialBackoff; i < 9; i, want = i+1, min(2*want, dialBackoffMax) {
		m.pendingDials, w.pool.pendingDials, w.pool.openConns = 2, 2, 2
		w.pool.DialCompleted(m, nil, 0, false, true)
		w.pool.DialCompleted(m, nil, 0, false, true)
		if m.backoff != want {
			t.Errorf("backoff %d is %v, not %v", i, m.backoff, want)
		}
		w.now = m.noDialUntil
		w.pool.Advance(w.now)
	}
	m.pendingDials, w.pool.pendingDials, w.pool.openConns = 1, 1, 1
	w.dials = []pendingDial{{m, 0, false}}
	m.Waiting = []*testRequest{{Request: Request{ExpiresAt: w.now + time.Second}}}
	l := w.connect(0, true)
	if m.Backoff() == 0 {
		t.Error("a connection ends the backoff before it has carried anything")
	}
	w.answer(l)
	if m.Backoff() != 0 {
		t.Errorf("the backoff outlives an answer: %v", m.backoff)
	}
}

// The line is told as long as it is, and as hopeless at a cache that is stuck, or that nothing is known of.
func TestQueueDelay(t *testing.T) {
	w := newTestHost(t, defaultConfig)
	at := func(used time.Duration) []*Conn[*testRequest] {
		return []*Conn[*testRequest]{{lastUsed: w.now - used}, {lastUsed: w.now - time.Second}}
	}
	line := func(n int) []*testRequest { return make([]*testRequest, n) }
	for name, c := range map[string]struct {
		m    Member[*testRequest]
		want time.Duration
	}{
		"a short line":          {Member[*testRequest]{occupancy: time.Millisecond, Conns: at(0), Waiting: line(9)}, 5 * time.Millisecond},
		"a long line":           {Member[*testRequest]{occupancy: time.Millisecond, Conns: at(0), Waiting: line(99)}, 50 * time.Millisecond},
		"slow answers":          {Member[*testRequest]{occupancy: 80 * time.Millisecond, Conns: at(0), Waiting: line(2)}, 120 * time.Millisecond},
		"stuck":                 {Member[*testRequest]{occupancy: time.Millisecond, Conns: at(60 * time.Millisecond), Waiting: line(2)}, -1},
		"no connection":         {Member[*testRequest]{occupancy: time.Millisecond, Waiting: line(2)}, -1},
		"nothing known":         {Member[*testRequest]{Conns: at(0), Waiting: line(2)}, -1},
		"as long as a dial may": {Member[*testRequest]{occupancy: 2 * time.Millisecond, Conns: at(0), Waiting: line(130)}, -1},
	} {
		if got := w.pool.queueDelay(&c.m); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// In line are first those whose time ends first; of the same time, those that came first.
func TestQueueIsOrderedByExpiry(t *testing.T) {
	m := &Member[*testRequest]{}
	for i, until := range []time.Duration{5, 3, 9, 3, 1, 5} {
		m.enqueue(&testRequest{Request: Request{ExpiresAt: until}, id: i})
	}
	var got []int
	for _, x := range m.Waiting {
		got = append(got, x.id)
	}
	if !slices.Equal(got, []int{4, 1, 3, 0, 5, 2}) {
		t.Errorf("%v", got)
	}
}

// A request whose time is over by the time a connection is there for it is not sent, however late the event that brings the connection began:
// the next one has it.
func TestExpiredInQueueIsNotSent(t *testing.T) {
	w := newTestHost(t, defaultConfig)
	m := &Member[*testRequest]{Ready: true}
	late := &testRequest{Request: Request{ExpiresAt: w.now + time.Millisecond}, id: 1}
	next := &testRequest{Request: Request{ExpiresAt: w.now + time.Hour}, id: 2}
	w.pool.Submit(m, late)
	w.pool.Submit(m, next)
	w.now += time.Second // the pool has not been told
	l := w.connect(0, true)
	if len(late.verdicts) != 1 || len(l.sent) != 1 || l.sent[0] != next || len(m.Waiting) != 0 {
		t.Errorf("verdict %v, sent %v, %d in line", late.verdicts, l.sent, len(m.Waiting))
	}
}

// A request that gets its connection a few milliseconds before its own time is up is not sent: it would be given up at once and sent elsewhere,
// and the members may hear of the second attempt first, which is two at a time.
func TestShortTimeLeftInQueueIsNotSent(t *testing.T) {
	w := newTestHost(t, defaultConfig)
	m := &Member[*testRequest]{Ready: true}
	x := &testRequest{Request: Request{ExpiresAt: w.now + 120*time.Millisecond}, id: 1}
	w.pool.Submit(m, x)
	w.now += 115 * time.Millisecond
	w.pool.Advance(w.now)
	if l := w.connect(0, true); len(l.sent) != 0 || len(x.verdicts) != 1 {
		t.Errorf("sent %v with 5 ms left, verdict %v", l.sent, x.verdicts)
	}
}

// A member that drains with a line before it gets nothing of the line.
func TestDrainRejectsTheQueue(t *testing.T) {
	w := newTestHost(t, defaultConfig)
	m := &Member[*testRequest]{Ready: true}
	var line []*testRequest
	for i := range 5 {
		line = append(line, &testRequest{id: i})
		m.enqueue(line[i])
	}
	w.pool.UpdateMember(m, false, false)
	for _, x := range line {
		if len(m.Waiting) != 0 || !slices.Equal(x.verdicts, []Verdict{Unreachable}) {
			t.Errorf("%d wait; request %d: %v", len(m.Waiting), x.id, x.verdicts)
		}
	}
	if len(w.dials) != 0 {
		t.Error("a member that drains is dialled")
	}
}

// The same key twice in a row does not travel together: a second copy of the first answer could not be told from the
// second's. Nor does anything travel behind a write, or to a cache that has yet to show that its answers are clean.
func TestWhatIsNotPipelined(t *testing.T) {
	type edit = func(m *Member[*testRequest], c *Conn[*testRequest], x *testRequest)
	for name, k := range map[string]struct {
		edit edit
		want bool
	}{
		"another key":    {func(*Member[*testRequest], *Conn[*testRequest], *testRequest) {}, true},
		"the same key":   {func(_ *Member[*testRequest], c *Conn[*testRequest], _ *testRequest) { c.lastKey = []byte("k2") }, false},
		"a write":        {func(_ *Member[*testRequest], _ *Conn[*testRequest], x *testRequest) { x.Write = true }, false},
		"behind a write": {func(_ *Member[*testRequest], c *Conn[*testRequest], _ *testRequest) { c.carriesWrite = true }, false},
		"an order":       {func(_ *Member[*testRequest], _ *Conn[*testRequest], x *testRequest) { x.Once = true }, false},
		"an origin":      {func(m *Member[*testRequest], _ *Conn[*testRequest], _ *testRequest) { m.Origin = true }, false},
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
		w := newTestHost(t, defaultConfig)
		w.pool.SetMaxPipelineAge(time.Second)
		m := &Member[*testRequest]{cleanAnswers: MinCleanAnswers}
		c := &Conn[*testRequest]{Member: m, HasAnswered: true, Current: &testRequest{}, currentSince: w.now, lastKey: []byte("k1")}
		c.Link = &testLink{host: w, conn: c}
		m.Conns = []*Conn[*testRequest]{c}
		x := &testRequest{key: "k2"}
		k.edit(m, c, x)
		if got := w.pool.pickPipelineConn(m, x) != nil; got != k.want {
			t.Errorf("%s: %v", name, got)
		}
	}
	m := &Member[*testRequest]{}
	for range 20 {
		m.RecordBadAnswer()
	}
	if m.cleanRequired != maxCleanAnswers {
		t.Errorf("after many spoilt answers %d clean ones are asked for", m.cleanRequired)
	}
}

// Where as many dials are out as may be, the next member dials once one has ended.
func TestDialsTakeTurns(t *testing.T) {
	w := newTestHost(t, defaultConfig)
	var last *Member[*testRequest]
	for i := range maxConcurrentDials + 1 {
		last = &Member[*testRequest]{Ready: true}
		w.pool.Submit(last, &testRequest{id: i, Request: Request{ExpiresAt: w.now + time.Second}})
	}
	if len(w.dials) != maxConcurrentDials {
		t.Fatalf("%d dials are out", len(w.dials))
	}
	w.now++ // at an odd time a dial fails slowly, and is not made again at once
	w.connect(0, false)
	if at := w.dials[len(w.dials)-1]; len(w.dials) != maxConcurrentDials || at.member != last {
		t.Errorf("%d dials are out, the latest to another member: %v", len(w.dials), at.member != last)
	}
}

// Whatever happens, in whatever order: each request is written once at the most or has one verdict, nothing is written to a
// member that drains or a connection out of use (see wire.Send), counts and bounds are kept, and once members answer
// again nobody is left waiting.
func TestAnyOrderOfEvents(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			cfg := defaultConfig
			cfg.Instances = 1 + int(seed%4)*8
			cfg.Multiplex = 1 + int(seed%3)*3
			w := newTestHost(t, cfg)
			members := []*Member[*testRequest]{{Ready: true}, {Ready: true}, {Ready: true, Origin: true}}
			for _, m := range members[:2] {
				m.cleanAnswers = int(seed%2) * MinCleanAnswers
			}
			var all []*testRequest
			lates := func() {
				for x, at := range w.connectTimeouts {
					if w.now < at {
						continue
					}
					delete(w.connectTimeouts, x)
					if x.BeganAt > 0 || x.Ended {
						continue
					}
					i := slices.IndexFunc(members, func(m *Member[*testRequest]) bool { return slices.Contains(m.Waiting, x) })
					if i < 0 {
						t.Fatalf("request %d has no verdict and is not in line", x.id)
					}
					w.pool.ConnectTimedOut(members[i], x)
				}
			}
			settle := func() {
				for len(w.dials) > 0 {
					w.connect(0, true)
				}
				for _, l := range w.links {
					for l.blocked = false; (len(l.sent) > 0 || l.pings > 0) && !l.closed; {
						w.answer(l)
					}
				}
			}
			step := func() {
				w.now += time.Duration(rng.IntN(3000)) * time.Microsecond
				w.pool.Advance(w.now)
				m := members[rng.IntN(len(members))]
				var l *testLink
				if len(w.links) > 0 {
					l = w.links[rng.IntN(len(w.links))]
				}
				switch k := rng.IntN(16); {
				case k < 6 && m.Ready:
					x := &testRequest{id: len(all)}
					x.key, x.ExpiresAt = fmt.Sprint("k", rng.IntN(3)), w.now+time.Duration(rng.IntN(900))*time.Millisecond
					if x.Write = rng.IntN(5) == 0; x.Write {
						x.Once = rng.IntN(2) == 0
					}
					all = append(all, x)
					wait := w.pool.ExpectedWait(m)
					w.pool.Submit(m, x)
					if taken := len(x.verdicts) == 0; wait >= 0 && !taken {
						t.Fatalf("a wait of %v was told, and the request turned away", wait)
					}
				case k < 9 && l != nil && !l.closed:
					w.answer(l)
				case k == 9 && l != nil && !l.closed:
					w.broken(l)
				case k == 10 && l != nil:
					if l.blocked = !l.blocked; !l.blocked {
						w.pool.WriteDrained(l.conn)
					}
				case k < 13 && len(w.dials) > 0:
					w.connect(rng.IntN(len(w.dials)), rng.IntN(3) > 0)
				case k == 13:
					if rng.IntN(4) == 0 {
						w.pool.UpdateMember(m, !m.Ready, rng.IntN(2) == 0)
					}
					w.noDescriptors = rng.IntN(3) == 0
				case k == 14:
					w.pool.UpdateIdleLimit()
					w.pool.Sweep(m, len(members))
				case k == 15 && l != nil && !l.conn.Busy():
					l.noisy = true
				}
				if w.wake > 0 && w.now >= w.wake {
					w.wake = 0
					w.pool.Wake()
				}
				lates()
			}
			check := func() {
				open := len(w.dials)
				for i, m := range members {
					for _, c := range m.Conns {
						if len(m.Waiting) > 0 && !m.inCooldownQueue && c.Reusable(w.now) && !c.Retired && c.Link.Writable() &&
							w.now-c.lastUsed < cfg.ConnIdle*onceIdlePercent/100 && w.now-c.lastUsed < w.pool.idle.limit && c.Link.Silent() {
							t.Fatal("requests wait though a connection is free, and nothing will wake them")
						}
					}
					if n := len(m.Conns) + m.pendingDials; n > w.pool.MaxConns(m) && m.Epoch == 0 {
						t.Fatalf("%d connections to member %d, %d at most", n, i, w.pool.MaxConns(m))
					}
				}
				for _, l := range w.links {
					if !l.closed {
						open++
					}
					if l.closed != l.conn.Closed {
						t.Fatal("a connection is closed on one side only")
					}
				}
				if open != w.pool.OpenConns() {
					t.Fatalf("%d connections count, %d stand", w.pool.OpenConns(), open)
				}
			}
			for range 2000 {
				step()
				check()
			}
			w.noDescriptors = false
			for _, m := range members {
				w.pool.UpdateMember(m, true, false)
			}
			for range 200 {
				w.now += time.Second
				w.pool.Advance(w.now)
				for _, m := range members {
					w.pool.Redial(m)
				}
				settle()
				w.pool.Wake()
				lates()
			}
			check()
			for _, x := range all {
				if written := x.BeganAt > 0; !x.Ended || written == (len(x.verdicts) > 0) {
					t.Errorf("request %d: ended %v, written %v, verdicts %v", x.id, x.Ended, written, x.verdicts)
				}
			}
		})
	}
}

// Reads of one group that come in the same moment share a connection from the start, as far as reads may be written behind others; what
// comes later, is of another group, a write, or at a cache that has yet to show that its answers are clean, goes as ever.
func TestReadsOfAGroupArePipelined(t *testing.T) {
	for _, c := range []struct {
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
		w := newTestHost(t, defaultConfig)
		m := &Member[*testRequest]{Ready: true}
		for i := range 2 { // two connections that have answered
			w.pool.Submit(m, &testRequest{id: i, key: fmt.Sprint(i), Request: Request{ExpiresAt: w.now + time.Minute}})
		}
		for len(w.dials) > 0 {
			w.connect(0, true)
		}
		for _, l := range w.links {
			w.answer(l)
		}
		m.cleanAnswers = c.clean
		w.now += time.Second
		w.pool.Advance(w.now)
		first, second := &testRequest{id: 8, key: "x", Request: Request{ExpiresAt: w.now + time.Minute, Group: 7}}, &testRequest{id: 9, key: "y", Request: c.second}
		second.ExpiresAt = w.now + time.Minute
		w.pool.Submit(m, first)
		w.now += c.wait
		w.pool.Advance(w.now)
		w.pool.Submit(m, second)
		shared := false
		for _, l := range w.links {
			shared = shared || slices.Equal(l.sent, []*testRequest{first, second})
		}
		if shared != c.shared {
			t.Errorf("%s: shared %v", c.name, shared)
		}
	}
}
