package pool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fake is a request of the tests.
type fake struct {
	Request
	key     string
	n       int
	m       *Member[*fake] // where it was placed, if that is asked for
	verdict []Verdict
}

func (x *fake) Key() []byte { return []byte(x.key) }

// wire is the host's side of a connection in the tests.
type wire struct {
	c                      *Conn[*fake]
	w                      *world
	epoch                  int     // of the member, when it was dialled
	sent                   []*fake // in order, those answered left out
	pings                  int
	blocked, noisy, closed bool
	away                   bool // one too many: its first request is turned away
}

func (l *wire) Send(x *fake) {
	if l.closed || l.blocked {
		l.w.t.Errorf("request %d is written to a connection that is closed or blocked", x.n)
	}
	if l.c.Retired || !l.c.M.Ready {
		l.w.t.Errorf("request %d is written to a connection out of use, or to a member that drains", x.n)
	}
	if l.epoch != l.c.M.Epoch {
		l.w.t.Errorf("request %d is written to where the member was before", x.n)
	}
	if x.Ended {
		l.w.t.Errorf("request %d, which is over, is written", x.n)
	}
	if l.pings > 0 {
		l.w.t.Error("something is written behind a ping")
	}
	for _, y := range l.sent {
		if x.Write || y.Write || x.Once || l.c.M.Origin || x.key == y.key && y == l.sent[len(l.sent)-1] {
			l.w.t.Errorf("%+v is written behind %+v", x.Request, y.Request)
		}
	}
	l.sent = append(l.sent, x)
}

func (l *wire) Ping()        { l.pings++ }
func (l *wire) Clear() bool  { return !l.blocked }
func (l *wire) Silent() bool { return !l.noisy }
func (l *wire) Shut()        { l.closed = true }

// dial is one that is out.
type dial struct {
	m     *Member[*fake]
	epoch int
	warm  bool
}

// world is a host with a clock of its own.
type world struct {
	t       *testing.T
	p       *Pool[*fake]
	now     time.Duration
	dials   []dial
	late    map[*fake]time.Duration
	redials map[*Member[*fake]]time.Duration
	wake    time.Duration
	full    bool
	wires   []*wire
}

func newWorld(t *testing.T, cfg Config) *world {
	w := &world{t: t, now: time.Hour, late: map[*fake]time.Duration{}, redials: map[*Member[*fake]]time.Duration{}}
	w.p = New(cfg, Actions[*fake](w))
	w.p.Advance(w.now)
	return w
}

var usual = Config{ConnIdle: 5 * time.Second, ConnectTimeout: 250 * time.Millisecond, Multiplex: 4, Instances: 1, Sockets: 512,
	CanProbe: true}

func (w *world) Dial(m *Member[*fake], warm bool) { w.dials = append(w.dials, dial{m, m.Epoch, warm}) }

func (w *world) End(x *fake, v Verdict) {
	if x.Ended {
		w.t.Errorf("request %d ends twice", x.n)
	}
	x.Ended = true
	x.verdict = append(x.verdict, v)
}

func (w *world) Expired(x *fake) bool                      { return x.Until > 0 && w.now >= x.Until }
func (w *world) Room(bool) bool                            { return !w.full }
func (w *world) ConnectBy(x *fake, at time.Duration)       { w.late[x] = at }
func (w *world) DialAt(m *Member[*fake], at time.Duration) { w.redials[m] = at }
func (w *world) PingBy(*Conn[*fake], time.Duration, time.Duration) {
}
func (w *world) WakeAt(at time.Duration) { w.wake = at }

// connect ends the i-th dial that is out, well or not.
func (w *world) connect(i int, well bool) *wire {
	d := w.dials[i]
	w.dials = slices.Delete(w.dials, i, i+1)
	if !well {
		w.p.Dialled(d.m, nil, d.epoch, d.warm, w.now%2 == 0)
		return nil
	}
	l := &wire{w: w, epoch: d.epoch, c: &Conn[*fake]{M: d.m}}
	l.c.Link = l
	w.wires = append(w.wires, l)
	w.p.Dialled(d.m, l.c, d.epoch, d.warm, false)
	return l
}

// answer answers what is in front on a connection, as a host does.
func (w *world) answer(l *wire) {
	if l.pings > 0 {
		l.pings = 0
	} else if len(l.sent) > 0 {
		l.sent[0].Ended = true
		l.sent = l.sent[1:]
	} else {
		return
	}
	if l.c.Closed || w.p.Answered(l.c, true) {
		return
	}
	if l.c.Retired {
		w.p.Broken(l.c)
		return
	}
	w.p.Rest(l.c)
}

// broken ends a connection and all that is on it.
func (w *world) broken(l *wire) {
	for _, x := range l.sent {
		x.Ended = true
	}
	l.sent, l.c.Behind = nil, nil
	w.p.Broken(l.c)
}

// The backoff grows while dials fail, counts dials that fail together once, and ends with one that comes up.
func TestDialBackoffDoublesAndEnds(t *testing.T) {
	w := newWorld(t, usual)
	m := &Member[*fake]{Ready: true}
	for i, want := 0, dialBackoff; i < 9; i, want = i+1, min(2*want, dialBackoffMax) {
		m.dials, w.p.dialling, w.p.open = 2, 2, 2
		w.p.Dialled(m, nil, 0, false, true)
		w.p.Dialled(m, nil, 0, false, true)
		if m.backoff != want {
			t.Errorf("backoff %d is %v, not %v", i, m.backoff, want)
		}
		w.now = m.full
		w.p.Advance(w.now)
	}
	m.dials, w.p.dialling, w.p.open = 1, 1, 1
	w.dials = []dial{{m, 0, false}}
	m.Waiting = []*fake{{Request: Request{Until: w.now + time.Second}}}
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
func TestHowLongTheLineIs(t *testing.T) {
	w := newWorld(t, usual)
	at := func(used time.Duration) []*Conn[*fake] {
		return []*Conn[*fake]{{used: w.now - used}, {used: w.now - time.Second}}
	}
	line := func(n int) []*fake { return make([]*fake, n) }
	for name, c := range map[string]struct {
		m    Member[*fake]
		want time.Duration
	}{
		"a short line":          {Member[*fake]{turn: time.Millisecond, Conns: at(0), Waiting: line(9)}, 5 * time.Millisecond},
		"a long line":           {Member[*fake]{turn: time.Millisecond, Conns: at(0), Waiting: line(99)}, 50 * time.Millisecond},
		"slow answers":          {Member[*fake]{turn: 80 * time.Millisecond, Conns: at(0), Waiting: line(2)}, 120 * time.Millisecond},
		"stuck":                 {Member[*fake]{turn: time.Millisecond, Conns: at(60 * time.Millisecond), Waiting: line(2)}, -1},
		"no connection":         {Member[*fake]{turn: time.Millisecond, Waiting: line(2)}, -1},
		"nothing known":         {Member[*fake]{Conns: at(0), Waiting: line(2)}, -1},
		"as long as a dial may": {Member[*fake]{turn: 2 * time.Millisecond, Conns: at(0), Waiting: line(130)}, -1},
	} {
		if got := w.p.line(&c.m); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// In line are first those whose time ends first; of the same time, those that came first.
func TestLineIsOrderedByTime(t *testing.T) {
	m := &Member[*fake]{}
	for i, until := range []time.Duration{5, 3, 9, 3, 1, 5} {
		m.wait(&fake{Request: Request{Until: until}, n: i})
	}
	var got []int
	for _, x := range m.Waiting {
		got = append(got, x.n)
	}
	if !slices.Equal(got, []int{4, 1, 3, 0, 5, 2}) {
		t.Errorf("%v", got)
	}
}

// A request whose time is over by the time a connection is there for it is not sent, however late the event that brings the connection began:
// the next one has it.
func TestExpiredInLineIsNotSent(t *testing.T) {
	w := newWorld(t, usual)
	m := &Member[*fake]{Ready: true}
	late := &fake{Request: Request{Until: w.now + time.Millisecond}, n: 1}
	next := &fake{Request: Request{Until: w.now + time.Hour}, n: 2}
	w.p.Place(m, late)
	w.p.Place(m, next)
	w.now += time.Second // the pool has not been told
	l := w.connect(0, true)
	if len(late.verdict) != 1 || len(l.sent) != 1 || l.sent[0] != next || len(m.Waiting) != 0 {
		t.Errorf("verdict %v, sent %v, %d in line", late.verdict, l.sent, len(m.Waiting))
	}
}

// A request that gets its connection a few milliseconds before its own time is up is not sent: it would be given up at once and sent elsewhere,
// and the members may hear of the second attempt first, which is two at a time.
func TestLittleTimeInLineIsNotSent(t *testing.T) {
	w := newWorld(t, usual)
	m := &Member[*fake]{Ready: true}
	x := &fake{Request: Request{Until: w.now + 120*time.Millisecond}, n: 1}
	w.p.Place(m, x)
	w.now += 115 * time.Millisecond
	w.p.Advance(w.now)
	if l := w.connect(0, true); len(l.sent) != 0 || len(x.verdict) != 1 {
		t.Errorf("sent %v with 5 ms left, verdict %v", l.sent, x.verdict)
	}
}

// A member that drains with a line before it gets nothing of the line.
func TestDrainEndsTheLine(t *testing.T) {
	w := newWorld(t, usual)
	m := &Member[*fake]{Ready: true}
	var line []*fake
	for i := range 5 {
		line = append(line, &fake{n: i})
		m.wait(line[i])
	}
	w.p.Change(m, false, false)
	for _, x := range line {
		if len(m.Waiting) != 0 || !slices.Equal(x.verdict, []Verdict{Unreachable}) {
			t.Errorf("%d wait; request %d: %v", len(m.Waiting), x.n, x.verdict)
		}
	}
	if len(w.dials) != 0 {
		t.Error("a member that drains is dialled")
	}
}

// The same key twice in a row does not travel together: a second copy of the first answer could not be told from the
// second's. Nor does anything travel behind a write, or to a cache that has yet to show that its answers are clean.
func TestWhatTravelsAlone(t *testing.T) {
	type edit = func(m *Member[*fake], c *Conn[*fake], x *fake)
	for name, k := range map[string]struct {
		edit edit
		want bool
	}{
		"another key":       {func(*Member[*fake], *Conn[*fake], *fake) {}, true},
		"the same key":      {func(_ *Member[*fake], c *Conn[*fake], _ *fake) { c.tail = []byte("k2") }, false},
		"a write":           {func(_ *Member[*fake], _ *Conn[*fake], x *fake) { x.Write = true }, false},
		"behind a write":    {func(_ *Member[*fake], c *Conn[*fake], _ *fake) { c.alone = true }, false},
		"an order":          {func(_ *Member[*fake], _ *Conn[*fake], x *fake) { x.Once = true }, false},
		"an origin":         {func(m *Member[*fake], _ *Conn[*fake], _ *fake) { m.Origin = true }, false},
		"an unknown cache":  {func(m *Member[*fake], _ *Conn[*fake], _ *fake) { m.clean = CleanFirst - 1 }, false},
		"a spoilt one":      {func(m *Member[*fake], _ *Conn[*fake], _ *fake) { m.Spoilt() }, false},
		"a full connection": {func(_ *Member[*fake], c *Conn[*fake], _ *fake) { c.Behind = make([]*fake, 3) }, false},
		"a slow head":       {func(_ *Member[*fake], c *Conn[*fake], _ *fake) { c.headAt -= 2 * time.Second }, false},
		"a new connection":  {func(_ *Member[*fake], c *Conn[*fake], _ *fake) { c.Kept = false }, false},
		"one that is busy":  {func(_ *Member[*fake], c *Conn[*fake], _ *fake) { c.Link.(*wire).blocked = true }, false},
		"one that is free":  {func(_ *Member[*fake], c *Conn[*fake], _ *fake) { c.Current = nil }, false},
		"after a long value": {func(m *Member[*fake], c *Conn[*fake], _ *fake) {
			c.Link.(*wire).w.p.Apart(time.Second)
		}, false},
	} {
		w := newWorld(t, usual)
		w.p.SetSlowHead(time.Second)
		m := &Member[*fake]{clean: CleanFirst}
		c := &Conn[*fake]{M: m, Kept: true, Current: &fake{}, headAt: w.now, tail: []byte("k1")}
		c.Link = &wire{w: w, c: c}
		m.Conns = []*Conn[*fake]{c}
		x := &fake{key: "k2"}
		k.edit(m, c, x)
		if got := w.p.join(m, x) != nil; got != k.want {
			t.Errorf("%s: %v", name, got)
		}
	}
	m := &Member[*fake]{}
	for range 20 {
		m.Spoilt()
	}
	if m.cleanNeed != cleanMost {
		t.Errorf("after many spoilt answers %d clean ones are asked for", m.cleanNeed)
	}
}

// Where as many dials are out as may be, the next member dials once one has ended.
func TestDialsTakeTurns(t *testing.T) {
	w := newWorld(t, usual)
	var last *Member[*fake]
	for i := range maxDials + 1 {
		last = &Member[*fake]{Ready: true}
		w.p.Place(last, &fake{n: i, Request: Request{Until: w.now + time.Second}})
	}
	if len(w.dials) != maxDials {
		t.Fatalf("%d dials are out", len(w.dials))
	}
	w.now++ // at an odd time a dial fails slowly, and is not made again at once
	w.connect(0, false)
	if at := w.dials[len(w.dials)-1]; len(w.dials) != maxDials || at.m != last {
		t.Errorf("%d dials are out, the latest to another member: %v", len(w.dials), at.m != last)
	}
}

// Whatever happens, in whatever order: each request is written once at the most or has one verdict, nothing is written to a
// member that drains or a connection out of use (see wire.Send), counts and bounds are kept, and once members answer
// again nobody is left waiting.
func TestAnyOrderOfEvents(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			cfg := usual
			cfg.Instances = 1 + int(seed%4)*8
			cfg.Multiplex = 1 + int(seed%3)*3
			w := newWorld(t, cfg)
			members := []*Member[*fake]{{Ready: true}, {Ready: true}, {Ready: true, Origin: true}}
			for _, m := range members[:2] {
				m.clean = int(seed%2) * CleanFirst
			}
			var all []*fake
			lates := func() {
				for x, at := range w.late {
					if w.now < at {
						continue
					}
					delete(w.late, x)
					if x.Began > 0 || x.Ended {
						continue
					}
					i := slices.IndexFunc(members, func(m *Member[*fake]) bool { return slices.Contains(m.Waiting, x) })
					if i < 0 {
						t.Fatalf("request %d has no verdict and is not in line", x.n)
					}
					w.p.Late(members[i], x)
				}
			}
			settle := func() {
				for len(w.dials) > 0 {
					w.connect(0, true)
				}
				for _, l := range w.wires {
					for l.blocked = false; (len(l.sent) > 0 || l.pings > 0) && !l.closed; {
						w.answer(l)
					}
				}
			}
			step := func() {
				w.now += time.Duration(rng.IntN(3000)) * time.Microsecond
				w.p.Advance(w.now)
				m := members[rng.IntN(len(members))]
				var l *wire
				if len(w.wires) > 0 {
					l = w.wires[rng.IntN(len(w.wires))]
				}
				switch k := rng.IntN(16); {
				case k < 6 && m.Ready:
					x := &fake{n: len(all)}
					x.key, x.Until = fmt.Sprint("k", rng.IntN(3)), w.now+time.Duration(rng.IntN(900))*time.Millisecond
					if x.Write = rng.IntN(5) == 0; x.Write {
						x.Once = rng.IntN(2) == 0
					}
					all = append(all, x)
					wait := w.p.Wait(m)
					w.p.Place(m, x)
					if taken := len(x.verdict) == 0; wait >= 0 && !taken {
						t.Fatalf("a wait of %v was told, and the request turned away", wait)
					}
				case k < 9 && l != nil && !l.closed:
					w.answer(l)
				case k == 9 && l != nil && !l.closed:
					w.broken(l)
				case k == 10 && l != nil:
					if l.blocked = !l.blocked; !l.blocked {
						w.p.Freed(l.c)
					}
				case k < 13 && len(w.dials) > 0:
					w.connect(rng.IntN(len(w.dials)), rng.IntN(3) > 0)
				case k == 13:
					if rng.IntN(4) == 0 {
						w.p.Change(m, !m.Ready, rng.IntN(2) == 0)
					}
					w.full = rng.IntN(3) == 0
				case k == 14:
					w.p.Learn()
					w.p.Sweep(m, len(members))
				case k == 15 && l != nil && !l.c.Busy():
					l.noisy = true
				}
				if w.wake > 0 && w.now >= w.wake {
					w.wake = 0
					w.p.Wake()
				}
				lates()
			}
			check := func() {
				open := len(w.dials)
				for i, m := range members {
					for _, c := range m.Conns {
						if len(m.Waiting) > 0 && !m.rests && c.Rested(w.now) && !c.Retired && c.Link.Clear() &&
							w.now-c.used < cfg.ConnIdle*freshShare/100 && w.now-c.used < w.p.idle.limit && c.Link.Silent() {
							t.Fatal("requests wait though a connection is free, and nothing will wake them")
						}
					}
					if n := len(m.Conns) + m.dials; n > w.p.Most(m) && m.Epoch == 0 {
						t.Fatalf("%d connections to member %d, %d at most", n, i, w.p.Most(m))
					}
				}
				for _, l := range w.wires {
					if !l.closed {
						open++
					}
					if l.closed != l.c.Closed {
						t.Fatal("a connection is closed on one side only")
					}
				}
				if open != w.p.Open() {
					t.Fatalf("%d connections count, %d stand", w.p.Open(), open)
				}
			}
			for range 2000 {
				step()
				check()
			}
			w.full = false
			for _, m := range members {
				w.p.Change(m, true, false)
			}
			for range 200 {
				w.now += time.Second
				w.p.Advance(w.now)
				for _, m := range members {
					w.p.Redial(m)
				}
				settle()
				w.p.Wake()
				lates()
			}
			check()
			for _, x := range all {
				if written := x.Began > 0; !x.Ended || written == (len(x.verdict) > 0) {
					t.Errorf("request %d: ended %v, written %v, verdicts %v", x.n, x.Ended, written, x.verdict)
				}
			}
		})
	}
}

// Reads of one group that come in the same moment share a connection from the start, as far as reads may be written behind others; what
// comes later, is of another group, a write, or at a cache that has yet to show that its answers are clean, goes as ever.
func TestReadsOfAGroupTravelTogether(t *testing.T) {
	for _, c := range []struct {
		name   string
		clean  int
		second Request
		wait   time.Duration
		shared bool
	}{
		{"the same group", CleanFirst, Request{Group: 7}, 0, true},
		{"another group", CleanFirst, Request{Group: 8}, 0, false},
		{"no group", CleanFirst, Request{}, 0, false},
		{"a write", CleanFirst, Request{Group: 7, Write: true}, 0, false},
		{"later", CleanFirst, Request{Group: 7}, time.Microsecond, false},
		{"an unknown cache", 0, Request{Group: 7}, 0, false},
	} {
		w := newWorld(t, usual)
		m := &Member[*fake]{Ready: true}
		for i := range 2 { // two connections that have answered
			w.p.Place(m, &fake{n: i, key: fmt.Sprint(i), Request: Request{Until: w.now + time.Minute}})
		}
		for len(w.dials) > 0 {
			w.connect(0, true)
		}
		for _, l := range w.wires {
			w.answer(l)
		}
		m.clean = c.clean
		w.now += time.Second
		w.p.Advance(w.now)
		first, second := &fake{n: 8, key: "x", Request: Request{Until: w.now + time.Minute, Group: 7}}, &fake{n: 9, key: "y", Request: c.second}
		second.Until = w.now + time.Minute
		w.p.Place(m, first)
		w.now += c.wait
		w.p.Advance(w.now)
		w.p.Place(m, second)
		shared := false
		for _, l := range w.wires {
			shared = shared || slices.Equal(l.sent, []*fake{first, second})
		}
		if shared != c.shared {
			t.Errorf("%s: shared %v", c.name, shared)
		}
	}
}
