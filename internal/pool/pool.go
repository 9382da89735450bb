// Package pool decides on the connections to members: which of them carries a request, when another is opened, who waits
// for one and for how long, what travels together, and when one is closed.
//
// It is free of I/O, clock and goroutines. A host tells it what has happened, under its lock and with the time set by
// Advance, and carries out what it asks for (Actions, Link). It never reads or writes a connection, knows no protocol,
// and never chooses a member: that is decided before a request comes here.
package pool

import (
	"bytes"
	"slices"
	"time"
)

const (
	// NodeSockets is how many connections a cache surely takes from all proxies together; each has its
	// part of them. A fuller table also takes of what the cache can do, so few are opened.
	NodeSockets  = 28
	CacheSockets = 6
	// WaitingRoom is how many requests may wait at a cache for one of its connections, beside the dials, whatever the
	// wait. Of more it is told how long that is (Wait), from how long a connection is taken for a request lately.
	WaitingRoom = 2
	// stuckTurns is after how many times that long without a request on any connection begun a cache counts as stuck,
	// and nothing more waits for it. It should exceed what answers vary by.
	turnOf        = 16 // the latest request counts for one in so many
	stuckTurns    = 4
	stuckLeast    = 50 * time.Millisecond
	originSockets = 48
	originShare   = 12 // percent of the descriptors for the origin, at most
	maxDials      = 64 // at once: a zone that vanished takes its time to fail, and must not take the descriptors
	// IdleShare is the percentage of the idle time after which a connection is closed.
	IdleShare  = 80
	freshShare = 20 // the same for a request that must not be repeated: a close that crosses it can't be mended
	// dialBackoff is how long no further connection is tried after a dial failed while others stand; it doubles
	// with each failure in a row, up to dialBackoffMax. One dial may fail by chance, and the pool must not stay
	// short for it; a member that holds all the connections it will, or is gone, is soon asked only seldom. It
	// could do harm at a member to which each try is dear.
	dialBackoff    = 10 * time.Millisecond
	dialBackoffMax = time.Second
	// RestTime is how long a connection rests after an answer. What comes in that time belongs to no request
	// (a second copy of the answer, noise behind it) and ends the connection before it could be taken for the
	// next one's answer. It should catch whatever a member sends unasked, and costs a connection its use for
	// so long; unasked bytes that come later than this, with the next request already sent, get through.
	RestTime = time.Millisecond
	// WaryTime is the same for a member that has lately sent what nobody asked for, or what can't be read: second copies of its answers may
	// come some milliseconds late. It costs such a member's connections their use for so long, until it has been clean for a while.
	WaryTime = 20 * time.Millisecond
	// WarmShare is the part of a connection's idle time after which the last one to a cache is used for a
	// ping, so that the cache does not close it; warmTime is how long one may take to answer it.
	WarmShare = 60
	warmTime  = time.Second
	// CleanFirst is how many clean answers a cache gives before anything is written behind a request to it; each answer
	// that it spoils doubles that, up to cleanMost.
	CleanFirst = 32
	cleanMost  = 8192
	// slowHead is how long the request in front may be out at the most before nothing more is written behind it. It
	// should exceed a quick answer, and harms where all answers take longer: there, one request travels at a time.
	slowHead = 5 * time.Millisecond
)

// Config is what the choices depend on.
type Config struct {
	ConnIdle       time.Duration // members close a connection that stood idle for this long
	ConnectTimeout time.Duration
	Multiplex      int // requests that a connection to a cache carries at once
	Instances      int // proxies that share the members
	Sockets        int // descriptors of this proxy
	CanProbe       bool
	SecondCopies   bool // two attempts of a request may be out at once
}

// Request is what the choices need to know of a request. Timers keep many that are long over: it is small on purpose.
type Request struct {
	Until time.Duration // it is given up then
	Began time.Duration // when it was written, or its turn came on its connection; 0: not yet
	// Written is when its last byte went out, as the host sets it; 0: not yet, or it went out together with others.
	Written time.Duration
	Write   bool
	Once    bool   // it must never run twice
	Ended   bool   // set by the host: it needs no connection any more
	Group   uint32 // it is one of several that come at once, and may share a connection from the start; 0: of none
	again   bool   // a dial for it was refused at once, and one more is made
}

// Exchange is the host's own record of a request; it embeds a Request.
type Exchange interface {
	comparable
	Pooled() *Request
	Key() []byte // stays as it is until the request has ended
}

// Pooled is r: what embeds it is an Exchange.
func (r *Request) Pooled() *Request { return r }

// Verdict is why a request gets no connection.
type Verdict uint8

// The verdicts.
const (
	Short       Verdict = iota // the proxy's own shortage: the member is neither full nor out of reach
	Unreachable                // the member takes no connection, or nothing new
)

// Link is the host's side of a connection. None of it may wait.
type Link[X Exchange] interface {
	Send(x X)     // write it
	Ping()        // write what the member answers at once
	Clear() bool  // nothing waits to be written, and writing hasn't failed
	Silent() bool // nothing has come on it, neither bytes nor its end
	Shut()        // close it: it is out of the pool
}

// Actions is what a Pool has its host do. None of it may wait or call back.
type Actions[X Exchange] interface {
	Dial(m *Member[X], warm bool)              // connect, then tell Dialled
	End(x X, v Verdict)                        // x gets no connection
	Expired(x X) bool                          // x's time is over by now: the event may have begun a while ago
	Room(make bool) bool                       // there is a descriptor to spare; make: one may be made free for it
	ConnectBy(x X, at time.Duration)           // call Late then, unless it has been sent
	DialAt(m *Member[X], at time.Duration)     // call Redial then
	PingBy(c *Conn[X], at, sent time.Duration) // call PingLate with sent then
	WakeAt(at time.Duration)                   // call Wake then; the latest call counts
}

// Member is a member's connections and those who wait for one.
type Member[X Exchange] struct {
	Addr   string
	Origin bool // it is spoken to as an origin: one request at a time
	Ready  bool // new requests may go there
	Epoch  int  // counts its addresses and starts: a connection is of one of them

	Conns   []*Conn[X] // used last stands last
	Waiting []X        // those whose time ends first in front
	dials   int
	warming bool          // a dial is out that nobody asked for
	turn    time.Duration // how long a connection is taken for a request lately; 0: not known
	// roundTrip is about the least time that an answer has taken lately; 0: there was none.
	roundTrip time.Duration
	// smoothed and deviation are how long answers take as a rule, and by how much that varies.
	smoothed, deviation time.Duration
	queued              bool // in dialQueue
	rests               bool // it is in rested
	// clean answers since the last that was spoilt, and how many are asked for before requests travel together
	clean, cleanNeed int
	backoff          time.Duration // the last one, doubled with each dial in a row that failed
	full             time.Duration // no dials until then, while there are connections
}

// Backoff is how long the latest dial that failed keeps others back; 0: none has, since one came up.
func (m *Member[X]) Backoff() time.Duration { return m.backoff }

// Wary is how many clean answers are asked for before requests travel together again; 0: none was spoilt.
func (m *Member[X]) Wary() int { return m.cleanNeed }

// Idle tells whether nothing is left of a member here.
func (m *Member[X]) Idle() bool { return len(m.Conns) == 0 && m.dials == 0 && len(m.Waiting) == 0 }

// Conn is a connection. It carries one request at a time as long as there are connections enough: a cache that answers in
// order lets a quick answer wait for a slow one, closes on what it can't read whatever else waits, and bytes that nobody
// asked for can't be told from the answer to a request that crossed them. Where there are not, reads are written behind
// others at a cache that is quick and has kept its answers clean (join, docs/connections.md).
type Conn[X Exchange] struct {
	M       *Member[X]
	Link    Link[X]
	Current X    // sent and not yet answered
	Behind  []X  // sent after it, and answered after it
	Pinged  bool // a ping is out, and nothing else may be sent
	Retired bool // nothing new is sent
	Closed  bool // it is out of the pool
	Kept    bool // it has carried an answer
	// TurnedAway: all that has come on it is that there is no room. That may be said of requests, or of the connection itself.
	TurnedAway bool
	headAt     time.Duration // when Current's turn came
	alone      bool          // it carries a write
	group      uint32        // of the request that it was taken for
	tail       []byte        // the key asked for last: the next must be another, or a second copy could not be told from its answer
	used       time.Duration
	idle       int           // the span of idle time that the request on it found it in; below 0: the connection was new
	restEnd    time.Duration // when it may carry the next request
}

// Busy tells whether something is out on it.
func (c *Conn[X]) Busy() bool {
	var none X
	return c.Current != none || c.Pinged
}

// Fresh tells whether the request on it is its first.
func (c *Conn[X]) Fresh() bool { return c.idle < 0 }

// Backdate makes a connection look idle for so much longer, for tests.
func (c *Conn[X]) Backdate(d time.Duration) { c.used -= d }

// Rested tells whether it is free, and has been silent for long enough after its last answer.
func (c *Conn[X]) Rested(now time.Duration) bool { return !c.Busy() && now >= c.restEnd }

// Pool is the connections of a proxy to all of its members.
type Pool[X Exchange] struct {
	cfg         Config
	do          Actions[X]
	now         time.Duration
	open        int // connections, those being dialled included
	dialling    int
	dialQueue   []*Member[X] // they wait for others' dials to end
	rested      []*Member[X] // where requests wait for connections to rest
	restedSpare []*Member[X]
	wakeAt      time.Duration
	idle        idleTimes
	hold        holdTime
	slowHead    time.Duration // see the constant
	alone       time.Duration // until then nothing is written behind another
}

// New makes a Pool.
func New[X Exchange](cfg Config, do Actions[X]) *Pool[X] {
	return &Pool[X]{cfg: cfg, do: do, idle: newIdleTimes(cfg.ConnIdle * IdleShare / 100),
		hold: newHoldTime(cfg.ConnIdle * IdleShare / 100), slowHead: slowHead}
}

// Advance sets the time.
func (p *Pool[X]) Advance(now time.Duration) { p.now = now }

// SetSockets changes how many descriptors this proxy has.
func (p *Pool[X]) SetSockets(n int) { p.cfg.Sockets = n }

// SetSlowHead changes how long a request may be out before nothing more is written behind it, for tests.
func (p *Pool[X]) SetSlowHead(d time.Duration) { p.slowHead = d }

// Open counts the connections, those that are being dialled included.
func (p *Pool[X]) Open() int { return p.open }

// Apart has nothing written behind anything for a while.
func (p *Pool[X]) Apart(d time.Duration) { p.alone = p.now + d }

// Change takes over what the list says of a member.
func (p *Pool[X]) Change(m *Member[X], ready, moved bool) {
	m.Ready = ready
	if moved {
		m.Epoch++
		m.backoff, m.full, m.roundTrip, m.smoothed, m.deviation = 0, 0, 0, 0, 0 // it is another process
	}
	if moved || !ready {
		p.retireAll(m)
	}
}

// retireAll lets the connections to a member end with what is out on them. Requests that still wait for one
// have not been sent, and must not be once the member drains.
func (p *Pool[X]) retireAll(m *Member[X]) {
	for _, c := range slices.Clone(m.Conns) {
		p.Retire(c)
	}
	if !m.Ready {
		for _, x := range m.Waiting {
			p.do.End(x, Unreachable)
		}
		m.Waiting = nil
	}
	p.Redial(m) // for those that wait for a dial to the old address
}

// Retire takes a connection out of use and closes it once nothing is awaited on it.
func (p *Pool[X]) Retire(c *Conn[X]) {
	c.Retired = true
	var none X
	if (c.Current == none || c.Current.Pooled().Ended) && len(c.Behind) == 0 {
		p.Close(c)
	}
}

// Close takes a connection out of the pool and has it closed.
func (p *Pool[X]) Close(c *Conn[X]) {
	if c.Closed {
		return
	}
	c.Closed, c.Retired = true, true
	if i := slices.Index(c.M.Conns, c); i >= 0 {
		c.M.Conns = slices.Delete(c.M.Conns, i, i+1)
	}
	p.open--
	c.Link.Shut()
}

// Broken takes in that a connection has ended.
func (p *Pool[X]) Broken(c *Conn[X]) {
	if !c.Closed && !c.Kept && (c.TurnedAway || c.Pinged) {
		if c.TurnedAway && !c.M.Origin {
			p.hold.refused()
		}
		p.holdBack(c.M)
	}
	p.Close(c)
	p.Redial(c.M)
	p.dialNext()
}

// Broke notes that a connection ended with a request out on it.
func (p *Pool[X]) Broke(c *Conn[X]) {
	if c.idle >= 0 {
		p.idle.broke[c.idle]++
	}
}

// Most is the most connections to a member.
func (p *Pool[X]) Most(m *Member[X]) int {
	if m.Origin {
		return min(originSockets, max(4, p.cfg.Sockets*originShare/100))
	}
	return min(CacheSockets, max(1, NodeSockets/max(1, p.cfg.Instances)))
}

// Place sends a request on a connection that is free, or has it wait for one.
func (p *Pool[X]) Place(m *Member[X], x X) {
	if c := p.mates(m, x); c != nil {
		p.start(c, x)
		return
	}
	told := p.wait(m)
	if c := p.pick(m, x); c != nil {
		p.start(c, x)
		return
	}
	more := p.more(m)
	if c := p.join(m, x); c != nil && !more {
		p.start(c, x)
		return
	}
	// A long line here would be load that the host takes for the member's own. It is told at once that
	// there is no more room, and can send elsewhere.
	if told < 0 {
		p.do.End(x, Short)
		return
	}
	m.wait(x)
	p.awaitRest(m)
	p.do.ConnectBy(x, p.now+p.cfg.ConnectTimeout)
	p.Redial(m)
}

// more tells whether another connection may be opened.
func (p *Pool[X]) more(m *Member[X]) bool {
	return len(m.Conns)+m.dials < p.Most(m) && (len(m.Conns) == 0 || p.now >= m.full)
}

// Wait tells how long a request would wait for a connection to a member, beside a handshake; below 0: it had better go
// elsewhere, as its wait would be in vain. A member that is out of reach is such a one until a connection stands that can carry
// a request; being asked for is what has one opened, and no request waits for it. What comes all the same is dialled for.
func (p *Pool[X]) Wait(m *Member[X]) time.Duration {
	if p.outOfReach(m) {
		p.tryOut(m)
		return -1
	}
	return p.wait(m)
}

// outOfReach tells whether connections to a cache have failed, or were turned away, more than once in a row, and none stands that
// has carried an answer, or could be the first to. One in a row may be chance. Where proxies are more than the connections that a
// cache takes, or a zone has vanished, each request else spends a try or a connect time-out on it, at each proxy. It could do harm
// where all caches are out of reach: requests are told so at once that would have waited for a dial.
func (p *Pool[X]) outOfReach(m *Member[X]) bool {
	return !m.Origin && m.backoff > dialBackoff &&
		!slices.ContainsFunc(m.Conns, func(c *Conn[X]) bool { return c.Kept || !c.TurnedAway && !c.Busy() })
}

// tryOut opens a connection that no request waits for. That it stands is not all: a cache that holds all the connections it will
// takes one more only to turn its first request away. A ping would find that out, and is priced as a probe.
func (p *Pool[X]) tryOut(m *Member[X]) {
	switch {
	case !m.Ready || p.now < m.full || m.dials > 0:
	case len(m.Conns) > 0: // its request was turned away, and it was not closed for that: another may do better
		if c := m.Conns[0]; !c.Busy() {
			p.holdBack(m)
			c.TurnedAway = false
		}
	case p.dialling < maxDials/2 && p.do.Room(false):
		p.begin(m, false)
	}
}

// wait is Wait for what goes there whatever has become of the latest dial; Place turns away what it is below 0 for, and
// nothing else.
func (p *Pool[X]) wait(m *Member[X]) time.Duration {
	if m.Origin || len(m.Waiting) < m.dials+WaitingRoom || p.more(m) {
		return 0
	}
	var none X
	together := p.now >= p.alone && p.cfg.Multiplex > 1 && m.clean >= max(CleanFirst, m.cleanNeed)
	for _, c := range m.Conns {
		switch {
		case c.Retired || c.Pinged || !c.Link.Clear():
		case c.Current == none && p.now >= c.restEnd,
			together && c.Kept && c.Current != none && !c.alone && 1+len(c.Behind) < p.cfg.Multiplex && p.now-c.headAt <= p.slowHead:
			return 0
		}
	}
	return p.line(m)
}

// together tells whether reads may be written behind others at a member.
func (p *Pool[X]) together(m *Member[X], r *Request) bool {
	return !m.Origin && !r.Write && p.now >= p.alone && !r.Once && p.cfg.Multiplex >= 2 && m.clean >= max(CleanFirst, m.cleanNeed)
}

// joinable tells whether a read may be written behind those on a connection.
func (p *Pool[X]) joinable(c *Conn[X], x X) bool {
	var none X
	return !c.Retired && c.Link.Clear() && !c.Pinged && c.Kept && c.Current != none && !c.alone &&
		1+len(c.Behind) < p.cfg.Multiplex && p.now-c.headAt <= p.slowHead && !bytes.Equal(c.tail, x.Key())
}

// mates finds the connection that others of a request's group were put on in the same moment: they go out, and most often come back,
// together, and their member works on them as on as many connections. nil, if there is none that may be joined.
func (p *Pool[X]) mates(m *Member[X], x X) *Conn[X] {
	r := x.Pooled()
	if r.Group == 0 || !p.together(m, r) {
		return nil
	}
	for _, c := range m.Conns {
		if c.group == r.Group && c.headAt == p.now && p.joinable(c, x) {
			return c
		}
	}
	return nil
}

// join finds the connection to a cache behind whose requests a read waits least; nil, if it should not. What is written
// behind others shares their fate, so it has to be a read, which may be sent again, and the cache quick and clean.
func (p *Pool[X]) join(m *Member[X], x X) *Conn[X] {
	r := x.Pooled()
	if !p.together(m, r) {
		return nil
	}
	var best *Conn[X]
	for _, c := range m.Conns {
		if !p.joinable(c, x) {
			continue
		}
		if best == nil || len(c.Behind) < len(best.Behind) {
			best = c
		}
	}
	return best
}

// restTime is how long a connection rests after an answer.
func (m *Member[X]) restTime() time.Duration {
	if m.clean < m.cleanNeed {
		return WaryTime
	}
	return RestTime
}

// Spoilt notes that a member's answer could not be read, or more came than was asked for.
func (m *Member[X]) Spoilt() {
	m.clean, m.cleanNeed = 0, min(max(CleanFirst, 2*m.cleanNeed), cleanMost)
}

// line is how long a request would stand in line for a connection to a cache; below 0: nothing tells, the cache is stuck, or
// its wait would be as long as that for a connection may be.
func (p *Pool[X]) line(m *Member[X]) time.Duration {
	soon := len(m.Conns) + m.dials
	if m.turn == 0 || soon == 0 {
		return -1
	}
	if m.dials == 0 {
		latest := m.Conns[0].used
		for _, c := range m.Conns {
			latest = max(latest, c.used)
		}
		if p.now-latest > max(stuckLeast, stuckTurns*m.turn) {
			return -1
		}
	}
	wait := m.turn * time.Duration(len(m.Waiting)+1) / time.Duration(soon)
	if wait > p.cfg.ConnectTimeout/2 {
		return -1
	}
	return wait
}

// wait puts a request in line, those whose time ends first in front.
func (m *Member[X]) wait(x X) {
	i := len(m.Waiting)
	for i > 0 && m.Waiting[i-1].Pooled().Until > x.Pooled().Until {
		i--
	}
	m.Waiting = slices.Insert(m.Waiting, i, x)
}

// pick chooses the free connection used last, so that the others fall idle and close; nil, if there is none.
// One that has stood so long that the member may be closing it, or that is not silent, is not used again.
func (p *Pool[X]) pick(m *Member[X], x X) *Conn[X] {
	share := time.Duration(IdleShare)
	if x.Pooled().Once {
		share = freshShare
	}
	for i := len(m.Conns) - 1; i >= 0; i-- {
		c := m.Conns[i]
		switch {
		case c.Retired || !c.Link.Clear() || c.Busy() || p.now < c.restEnd:
		case p.now-c.used >= p.idle.limit && c.Kept || p.now-c.used >= p.cfg.ConnIdle*IdleShare/100 || !c.Link.Silent():
			p.Retire(c)
		case p.now-c.used < p.cfg.ConnIdle*share/100:
			return c
		case len(m.Conns)+m.dials >= p.Most(m):
			p.Close(c) // a fresh one takes its place
		}
	}
	return nil
}

// Redial opens connections for those that wait, within the bounds.
func (p *Pool[X]) Redial(m *Member[X]) {
	most := p.Most(m)
	if len(m.Conns) > 0 && p.now < m.full {
		return
	}
	for m.Ready && m.dials < len(m.Waiting) && len(m.Conns)+m.dials < most {
		if p.dialling >= maxDials || !p.do.Room(true) {
			if !m.queued {
				m.queued = true
				p.dialQueue = append(p.dialQueue, m)
			}
			return
		}
		p.begin(m, false)
	}
}

func (p *Pool[X]) begin(m *Member[X], warm bool) {
	m.dials++
	p.dialling++
	p.open++
	p.do.Dial(m, warm)
}

// Dialled takes in how a dial has ended: with a connection that is new, of the epoch that it was begun in, or nil; atOnce
// tells that it was turned away without a wait.
func (p *Pool[X]) Dialled(m *Member[X], c *Conn[X], epoch int, warm, atOnce bool) {
	p.dialEnded(m, warm)
	switch {
	case c == nil:
		p.open--
		p.dialFailed(m, atOnce)
	case !m.Ready || epoch != m.Epoch:
		p.Retire(c) // the list has changed meanwhile
	default:
		c.used, m.full = p.now, 0
		m.Conns = append(m.Conns, c)
		if p.serveWaiting(m); warm && !c.Busy() {
			p.ping(c)
		}
	}
	p.Redial(m)
	p.dialNext()
}

// dialEnded gives back the place of a dial.
func (p *Pool[X]) dialEnded(m *Member[X], warm bool) {
	m.dials--
	p.dialling--
	if warm {
		m.warming = false
	}
}

// NotDialled takes in that a dial has failed for want of something that this machine is short of. That tells nothing of the member, which is neither
// held back nor out of reach; whoever has waited longest goes elsewhere, where connections may stand, unless those that stand here will take it.
func (p *Pool[X]) NotDialled(m *Member[X], warm bool) {
	p.dialEnded(m, warm)
	p.open--
	p.serveWaiting(m)
	if len(m.Conns) > 0 {
		m.full = max(m.full, p.now+dialBackoff)
		p.do.DialAt(m, m.full)
	} else if len(m.Waiting) > 0 {
		x := m.Waiting[0]
		m.Waiting = m.Waiting[1:]
		p.do.End(x, Short)
	}
	p.Redial(m)
	p.dialNext()
}

// dialFailed ends the request that has waited longest, unless the connections that stand will take it: a cache
// that is up but holds all the connections it will goes on answering on the open ones. Refused at once, it is
// tried once more, since that has taken no time.
func (p *Pool[X]) dialFailed(m *Member[X], atOnce bool) {
	if atOnce && !m.Origin && m.backoff == 0 { // one that has died, and could as well be full, says so each time
		p.hold.refused()
	}
	p.holdBack(m)
	p.serveWaiting(m)
	if len(m.Waiting) > 0 && len(m.Conns) == 0 {
		x := m.Waiting[0]
		if r := x.Pooled(); !r.again && atOnce {
			r.again = true
			return
		}
		m.Waiting = m.Waiting[1:]
		p.do.End(x, Unreachable)
	}
}

// holdBack keeps dials to a member back for a while, twice as long as the last time.
func (p *Pool[X]) holdBack(m *Member[X]) {
	if p.now >= m.full { // those that fail together count once
		m.backoff = min(max(dialBackoff, 2*m.backoff), dialBackoffMax)
		m.full = p.now + m.backoff
		p.do.DialAt(m, m.full)
	}
}

// dialNext lets the next member dial that had to wait for others' dials.
func (p *Pool[X]) dialNext() {
	for len(p.dialQueue) > 0 && p.dialling < maxDials {
		m := p.dialQueue[0]
		p.dialQueue = p.dialQueue[1:]
		m.queued = false
		p.Redial(m)
		if m.queued {
			return
		}
	}
}

// serveWaiting sends those that wait, as far as there are connections.
func (p *Pool[X]) serveWaiting(m *Member[X]) {
	for len(m.Waiting) > 0 && m.Ready {
		x := m.Waiting[0]
		if !x.Pooled().Ended && (p.do.Expired(x) || p.tooLate(m, x)) {
			m.Waiting = m.Waiting[1:]
			p.do.End(x, Unconnected(m))
			continue
		}
		if !x.Pooled().Ended {
			c := p.pick(m, x)
			if c == nil {
				c = p.join(m, x)
			}
			if c == nil {
				return
			}
			p.start(c, x)
		}
		m.Waiting = m.Waiting[1:]
	}
}

// Freed takes in that what waited to be written on a connection has gone out.
func (p *Pool[X]) Freed(c *Conn[X]) {
	if !c.Closed {
		p.serveWaiting(c.M)
	}
}

// Late ends a request that has found no connection in time.
func (p *Pool[X]) Late(m *Member[X], x X) {
	if m != nil {
		m.Leave(x)
	}
	p.do.End(x, Unconnected(m))
}

// Unconnected is the verdict on a request that has waited for a connection in vain. Where connections stand, they are all
// busy: it is the pool that is short, and the member is neither full nor out of reach.
func Unconnected[X Exchange](m *Member[X]) Verdict {
	if m != nil && len(m.Conns) > 0 {
		return Short
	}
	return Unreachable
}

// Leave takes a request out of the line.
func (m *Member[X]) Leave(x X) {
	if i := slices.Index(m.Waiting, x); i >= 0 {
		m.Waiting = slices.Delete(m.Waiting, i, i+1)
	}
}

// start puts a request on a connection.
func (p *Pool[X]) start(c *Conn[X], x X) {
	r := x.Pooled()
	r.Began = p.now
	var none X
	if c.Current != none {
		c.Behind = append(c.Behind, x)
	} else {
		c.Current, c.headAt, c.alone, c.group = x, p.now, r.Write, r.Group
		if c.idle = -1; c.Kept {
			c.idle = p.idle.class(p.now - c.used)
			p.idle.used[c.idle]++
		}
		p.touch(c)
	}
	c.tail = append(c.tail[:0], x.Key()...)
	c.Link.Send(x)
}

// touch makes the connection the one used last.
func (p *Pool[X]) touch(c *Conn[X]) {
	c.used = p.now
	if s := c.M.Conns; len(s) > 0 && s[len(s)-1] != c {
		if i := slices.Index(s, c); i >= 0 {
			copy(s[i:], s[i+1:])
			s[len(s)-1] = c
		}
	}
}

// Answered takes in that the answer to the request in front has come whole; timed tells whether how long it took says
// something of the member. Where requests are behind it, the next one's turn has come, and what comes is its answer.
func (p *Pool[X]) Answered(c *Conn[X], timed bool) (more bool) {
	var none X
	if timed {
		c.M.turn += (p.now - c.headAt - c.M.turn) / turnOf
		c.M.clean = min(c.M.clean+1, cleanMost)
		if x := c.Current; x != none && x.Pooled().Written > 0 {
			c.M.heard(p.now - x.Pooled().Written)
		}
	}
	if len(c.Behind) == 0 {
		return false
	}
	c.Current = c.Behind[0]
	c.Behind = slices.Delete(c.Behind, 0, 1)
	c.Current.Pooled().Began, c.headAt, c.used, c.Kept = p.now, p.now, p.now, true
	p.serveWaiting(c.M)
	return true
}

// Rest lets a connection with nothing out be used again, once it has been silent for a while: what comes from now on finds
// no request on it.
func (p *Pool[X]) Rest(c *Conn[X]) {
	var none X
	c.Current, c.Pinged, c.used = none, false, p.now
	if !c.M.Origin && !c.Kept && !c.TurnedAway {
		p.hold.carried()
	}
	if c.Kept = c.Kept || !c.TurnedAway; c.Kept {
		c.M.backoff, c.M.full = 0, 0
		// One that was turned away is left: its end is coming, and tells that there is no room.
		if !c.M.Origin && p.hold.now < holdLeast && len(c.M.Waiting) == 0 {
			p.Close(c)
			return
		}
	}
	c.restEnd = p.now + c.M.restTime()
	p.awaitRest(c.M)
}

// awaitRest has those that wait at a member served once a connection has rested. Rests that end close together share a
// wake-up.
func (p *Pool[X]) awaitRest(m *Member[X]) {
	if len(m.Waiting) == 0 || m.rests {
		return
	}
	wake := p.now + m.restTime()
	for _, c := range m.Conns {
		if p.now < c.restEnd {
			wake = min(wake, c.restEnd)
		}
	}
	wake = max(wake, p.now+RestTime/4)
	m.rests = true
	if p.rested = append(p.rested, m); len(p.rested) == 1 || wake < p.wakeAt {
		p.wakeAt = wake
		p.do.WakeAt(wake)
	}
}

// Wake serves those that have waited for a connection to rest.
func (p *Pool[X]) Wake() {
	rested := p.rested
	p.rested = p.restedSpare[:0]
	for i, m := range rested {
		rested[i], m.rests = nil, false
		p.serveWaiting(m)
		for _, c := range m.Conns {
			if p.now < c.restEnd {
				p.awaitRest(m)
				break
			}
		}
	}
	p.restedSpare = rested[:0]
}

// Sweep closes what has stood idle for too long, and keeps a connection to each cache open and used. The first request on a
// connection waits for what a handshake takes, several round trips; sent to another zone it can time out by that alone,
// which closes the connection and makes the next one wait as long, so that a healthy cache looks slow for good. A ping
// takes that wait in a request's place. It costs each cache a little work every few seconds, so where proxies are many, or
// members more than there are descriptors for, it is left out.
func (p *Pool[X]) Sweep(m *Member[X], members int) {
	age := p.idle.limit
	if !m.Origin {
		age = min(age, p.hold.now)
	}
	p.CloseIdle(m, age)
	if age < p.cfg.ConnIdle*WarmShare/100 { // it would not last
		return
	}
	if !p.cfg.CanProbe || m.Origin || !m.Ready || m.warming ||
		2*max(1, p.cfg.Instances) > NodeSockets || members > p.cfg.Sockets/8 {
		return
	}
	if len(m.Conns) == 1 {
		if c := m.Conns[0]; !c.Busy() && !c.Retired && c.Link.Clear() && p.now-c.used >= p.cfg.ConnIdle*WarmShare/100 {
			p.ping(c)
		}
	}
	if len(m.Conns)+m.dials == 0 && p.now >= m.full && p.dialling < maxDials/2 && p.do.Room(false) {
		m.warming = true
		p.begin(m, true)
	}
}

// Learn works out anew how long connections may stand idle, from what has become of them lately.
func (p *Pool[X]) Learn() { p.idle.sweep(p.cfg.ConnIdle * IdleShare / 100) }

func (p *Pool[X]) ping(c *Conn[X]) {
	c.Pinged = true
	p.touch(c)
	c.Link.Ping()
	p.do.PingBy(c, p.now+warmTime, c.used)
}

// PingLate gives up a connection whose ping, sent then, has not been answered.
func (p *Pool[X]) PingLate(c *Conn[X], sent time.Duration) {
	if c.Pinged && c.used == sent {
		p.Broken(c)
	}
}

// CloseIdle closes the connections to a member that have been idle for long enough, before the member does:
// a command that crosses its close would count as one that may have run.
func (p *Pool[X]) CloseIdle(m *Member[X], age time.Duration) (closed int) {
	for _, c := range slices.Clone(m.Conns) {
		if !c.Busy() && p.now-c.used >= age {
			p.Close(c)
			closed++
		}
	}
	return closed
}
