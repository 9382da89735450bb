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
	// CacheConnCapacity is how many connections a cache surely takes from all proxies together; each has its
	// part of them. A fuller table also takes of what the cache can do, so few are opened.
	CacheConnCapacity = 28
	MaxCacheConns     = 6
	// MaxWaiting is how many requests may wait at a cache for one of its connections, beside the dials, whatever the
	// wait. Of more it is told how long that is (Wait), from how long a connection is taken for a request lately.
	MaxWaiting = 2
	// stuckFactor is after how many times that long without a request on any connection begun a cache counts as stuck,
	// and nothing more waits for it. It should exceed what answers vary by.
	occupancyDivisor   = 16 // the latest request counts for one in so many
	stuckFactor        = 4
	minStuckTime       = 50 * time.Millisecond
	maxOriginConns     = 48
	originConnPercent  = 12 // percent of the descriptors for the origin, at most
	maxConcurrentDials = 64 // at once: a zone that vanished takes its time to fail, and must not take the descriptors
	// IdlePercent is the percentage of the idle time after which a connection is closed.
	IdlePercent     = 80
	onceIdlePercent = 20 // the same for a request that must not be repeated: a close that crosses it can't be mended
	// dialBackoff is how long no further connection is tried after a dial failed while others stand; it doubles
	// with each failure in a row, up to dialBackoffMax. One dial may fail by chance, and the pool must not stay
	// short for it; a member that holds all the connections it will, or is gone, is soon asked only seldom. It
	// could do harm at a member to which each try is dear.
	dialBackoff    = 10 * time.Millisecond
	dialBackoffMax = time.Second
	// CooldownTime is how long a connection rests after an answer. What comes in that time belongs to no request
	// (a second copy of the answer, noise behind it) and ends the connection before it could be taken for the
	// next one's answer. It should catch whatever a member sends unasked, and costs a connection its use for
	// so long; unasked bytes that come later than this, with the next request already sent, get through.
	CooldownTime = time.Millisecond
	// SuspectCooldownTime is the same for a member that has lately sent what nobody asked for, or what can't be read: second copies of its answers may
	// come some milliseconds late. It costs such a member's connections their use for so long, until it has been clean for a while.
	SuspectCooldownTime = 20 * time.Millisecond
	// KeepalivePercent is the part of a connection's idle time after which the last one to a cache is used for a
	// ping, so that the cache does not close it; pingTimeout is how long one may take to answer it.
	KeepalivePercent = 60
	pingTimeout      = time.Second
	// MinCleanAnswers is how many clean answers a cache gives before anything is written behind a request to it; each answer
	// that it spoils doubles that, up to maxCleanAnswers.
	MinCleanAnswers = 32
	maxCleanAnswers = 8192
	// maxPipelineAge is how long the request in front may be out at the most before nothing more is written behind it. It
	// should exceed a quick answer, and harms where all answers take longer: there, one request travels at a time.
	maxPipelineAge = 5 * time.Millisecond
)

// Config is what the choices depend on.
type Config struct {
	ConnIdle           time.Duration // members close a connection that stood idle for this long
	ConnectTimeout     time.Duration
	Multiplex          int // requests that a connection to a cache carries at once
	Instances          int // proxies that share the members
	Descriptors        int // descriptors of this proxy
	CanProbe           bool
	ConcurrentAttempts bool // two attempts of a request may be out at once
}

// Request is what the choices need to know of a request. Timers keep many that are long over: it is small on purpose.
type Request struct {
	ExpiresAt time.Duration // it is given up then
	BeganAt   time.Duration // when it was written, or its turn came on its connection; 0: not yet
	// WrittenAt is when its last byte went out, as the host sets it; 0: not yet, or it went out together with others.
	WrittenAt time.Duration
	Write     bool
	Once      bool   // it must never run twice
	Ended     bool   // set by the host: it needs no connection any more
	Group     uint32 // it is one of several that come at once, and may share a connection from the start; 0: of none
	redialed  bool   // a dial for it was refused at once, and one more is made
}

// Exchange is the host's own record of a request; it embeds a Request.
type Exchange interface {
	comparable
	PoolRequest() *Request
	Key() []byte // stays as it is until the request has ended
}

// PoolRequest is r: what embeds it is an Exchange.
func (r *Request) PoolRequest() *Request { return r }

// Verdict is why a request gets no connection.
type Verdict uint8

// The verdicts.
const (
	LocalShortage Verdict = iota // the proxy's own shortage: the member is neither full nor out of reach
	Unreachable                  // the member takes no connection, or nothing new
)

// Link is the host's side of a connection. None of it may wait.
type Link[X Exchange] interface {
	Send(x X)       // write it
	Ping()          // write what the member answers at once
	Writable() bool // nothing waits to be written, and writing hasn't failed
	Silent() bool   // nothing has come on it, neither bytes nor its end
	Close()         // close it: it is out of the pool
}

// Actions is what a Pool has its host do. None of it may wait or call back.
type Actions[X Exchange] interface {
	Dial(m *Member[X], warm bool)                           // connect, then tell Dialled
	Reject(x X, v Verdict)                                  // x gets no connection
	Expired(x X) bool                                       // x's time is over by now: the event may have begun a while ago
	HasDescriptor(make bool) bool                           // there is a descriptor to spare; make: one may be made free for it
	ScheduleConnectTimeout(x X, at time.Duration)           // call Late then, unless it has been sent
	ScheduleRedial(m *Member[X], at time.Duration)          // call Redial then
	SchedulePingTimeout(c *Conn[X], at, sent time.Duration) // call PingTimedOut with sent then
	ScheduleWake(at time.Duration)                          // call Wake then; the latest call counts
}

// Member is a member's connections and those who wait for one.
type Member[X Exchange] struct {
	Addr   string
	Origin bool // it is spoken to as an origin: one request at a time
	Ready  bool // new requests may go there
	Epoch  int  // counts its addresses and starts: a connection is of one of them

	Conns        []*Conn[X] // used last stands last
	Waiting      []X        // those whose time ends first in front
	pendingDials int
	prewarming   bool          // a dial is out that nobody asked for
	occupancy    time.Duration // how long a connection is taken for a request lately; 0: not known
	// roundTrip is about the least time that an answer has taken lately; 0: there was none.
	roundTrip time.Duration
	// smoothed and deviation are how long answers take as a rule, and by how much that varies.
	smoothed, deviation time.Duration
	inDialQueue         bool // in dialQueue
	inCooldownQueue     bool // it is in rested
	// cleanAnswers answers since the last that was spoilt, and how many are asked for before requests travel together
	cleanAnswers, cleanRequired int
	backoff                     time.Duration // the last one, doubled with each dial in a row that failed
	noDialUntil                 time.Duration // no dials until then, while there are connections
}

// Backoff is how long the latest dial that failed keeps others back; 0: none has, since one came up.
func (m *Member[X]) Backoff() time.Duration { return m.backoff }

// RequiredCleanAnswers is how many clean answers are asked for before requests travel together again; 0: none was spoilt.
func (m *Member[X]) RequiredCleanAnswers() int { return m.cleanRequired }

// Idle tells whether nothing is left of a member here.
func (m *Member[X]) Idle() bool {
	return len(m.Conns) == 0 && m.pendingDials == 0 && len(m.Waiting) == 0
}

// Conn is a connection. It carries one request at a time as long as there are connections enough: a cache that answers in
// order lets a quick answer wait for a slow one, closes on what it can't read whatever else waits, and bytes that nobody
// asked for can't be told from the answer to a request that crossed them. Where there are not, reads are written behind
// others at a cache that is quick and has kept its answers clean (join, docs/connections.md).
type Conn[X Exchange] struct {
	Member      *Member[X]
	Link        Link[X]
	Current     X    // sent and not yet answered
	Pipelined   []X  // sent after it, and answered after it
	PingPending bool // a ping is out, and nothing else may be sent
	Retired     bool // nothing new is sent
	Closed      bool // it is out of the pool
	HasAnswered bool // it has carried an answer
	// Refused: all that has come on it is that there is no room. That may be said of requests, or of the connection itself.
	Refused      bool
	currentSince time.Duration // when Current's turn came
	carriesWrite bool          // it carries a write
	group        uint32        // of the request that it was taken for
	lastKey      []byte        // the key asked for last: the next must be another, or a second copy could not be told from its answer
	lastUsed     time.Duration
	idleClass    int           // the span of idle time that the request on it found it in; below 0: the connection was new
	reusableAt   time.Duration // when it may carry the next request
}

// Busy tells whether something is out on it.
func (c *Conn[X]) Busy() bool {
	var none X
	return c.Current != none || c.PingPending
}

// Fresh tells whether the request on it is its first.
func (c *Conn[X]) Fresh() bool { return c.idleClass < 0 }

// Backdate makes a connection look idle for so much longer, for tests.
func (c *Conn[X]) Backdate(d time.Duration) { c.lastUsed -= d }

// Reusable tells whether it is free, and has been silent for long enough after its last answer.
func (c *Conn[X]) Reusable(now time.Duration) bool { return !c.Busy() && now >= c.reusableAt }

// Pool is the connections of a proxy to all of its members.
type Pool[X Exchange] struct {
	cfg                Config
	actions            Actions[X]
	now                time.Duration
	openConns          int // connections, those being dialled included
	pendingDials       int
	dialQueue          []*Member[X] // they wait for others' dials to end
	cooldownQueue      []*Member[X] // where requests wait for connections to rest
	spareCooldownQueue []*Member[X]
	wakeAt             time.Duration
	idle               idleTimes
	hold               holdTime
	maxPipelineAge     time.Duration // see the constant
	noPipeliningUntil  time.Duration // until then nothing is written behind another
}

// New makes a Pool.
func New[X Exchange](cfg Config, do Actions[X]) *Pool[X] {
	return &Pool[X]{cfg: cfg, actions: do, idle: newIdleTimes(cfg.ConnIdle * IdlePercent / 100),
		hold: newHoldTime(cfg.ConnIdle * IdlePercent / 100), maxPipelineAge: maxPipelineAge}
}

// Advance sets the time.
func (p *Pool[X]) Advance(now time.Duration) { p.now = now }

// SetDescriptors changes how many descriptors this proxy has.
func (p *Pool[X]) SetDescriptors(n int) { p.cfg.Descriptors = n }

// SetMaxPipelineAge changes how long a request may be out before nothing more is written behind it, for tests.
func (p *Pool[X]) SetMaxPipelineAge(d time.Duration) { p.maxPipelineAge = d }

// OpenConns counts the connections, those that are being dialled included.
func (p *Pool[X]) OpenConns() int { return p.openConns }

// SuspendPipelining has nothing written behind anything for a while.
func (p *Pool[X]) SuspendPipelining(d time.Duration) { p.noPipeliningUntil = p.now + d }

// UpdateMember takes over what the list says of a member.
func (p *Pool[X]) UpdateMember(m *Member[X], ready, moved bool) {
	m.Ready = ready
	if moved {
		m.Epoch++
		m.backoff, m.noDialUntil, m.roundTrip, m.smoothed, m.deviation = 0, 0, 0, 0, 0 // it is another process
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
			p.actions.Reject(x, Unreachable)
		}
		m.Waiting = nil
	}
	p.Redial(m) // for those that wait for a dial to the old address
}

// Retire takes a connection out of use and closes it once nothing is awaited on it.
func (p *Pool[X]) Retire(c *Conn[X]) {
	c.Retired = true
	var none X
	if (c.Current == none || c.Current.PoolRequest().Ended) && len(c.Pipelined) == 0 {
		p.Close(c)
	}
}

// Close takes a connection out of the pool and has it closed.
func (p *Pool[X]) Close(c *Conn[X]) {
	if c.Closed {
		return
	}
	c.Closed, c.Retired = true, true
	if i := slices.Index(c.Member.Conns, c); i >= 0 {
		c.Member.Conns = slices.Delete(c.Member.Conns, i, i+1)
	}
	p.openConns--
	c.Link.Close()
}

// HandleBroken takes in that a connection has ended.
func (p *Pool[X]) HandleBroken(c *Conn[X]) {
	if !c.Closed && !c.HasAnswered && (c.Refused || c.PingPending) {
		if c.Refused && !c.Member.Origin {
			p.hold.recordRefusal()
		}
		p.extendBackoff(c.Member)
	}
	p.Close(c)
	p.Redial(c.Member)
	p.dialNext()
}

// RecordBreak notes that a connection ended with a request out on it.
func (p *Pool[X]) RecordBreak(c *Conn[X]) {
	if c.idleClass >= 0 {
		p.idle.broken[c.idleClass]++
	}
}

// MaxConns is the most connections to a member.
func (p *Pool[X]) MaxConns(m *Member[X]) int {
	if m.Origin {
		return min(maxOriginConns, max(4, p.cfg.Descriptors*originConnPercent/100))
	}
	return min(MaxCacheConns, max(1, CacheConnCapacity/max(1, p.cfg.Instances)))
}

// Submit sends a request on a connection that is free, or has it wait for one.
func (p *Pool[X]) Submit(m *Member[X], x X) {
	if c := p.pickGroupConn(m, x); c != nil {
		p.start(c, x)
		return
	}
	expected := p.expectedWait(m)
	if c := p.pickFreeConn(m, x); c != nil {
		p.start(c, x)
		return
	}
	more := p.mayDial(m)
	if c := p.pickPipelineConn(m, x); c != nil && !more {
		p.start(c, x)
		return
	}
	// A long line here would be load that the host takes for the member's own. It is told at once that
	// there is no more room, and can send elsewhere.
	if expected < 0 {
		p.actions.Reject(x, LocalShortage)
		return
	}
	m.enqueue(x)
	p.scheduleCooldownWake(m)
	p.actions.ScheduleConnectTimeout(x, p.now+p.cfg.ConnectTimeout)
	p.Redial(m)
}

// mayDial tells whether another connection may be opened.
func (p *Pool[X]) mayDial(m *Member[X]) bool {
	return len(m.Conns)+m.pendingDials < p.MaxConns(m) && (len(m.Conns) == 0 || p.now >= m.noDialUntil)
}

// ExpectedWait tells how long a request would wait for a connection to a member, beside a handshake; below 0: it had better go
// elsewhere, as its wait would be in vain. A member that is out of reach is such a one until a connection stands that can carry
// a request; being asked for is what has one opened, and no request waits for it. What comes all the same is dialled for.
func (p *Pool[X]) ExpectedWait(m *Member[X]) time.Duration {
	if p.unreachable(m) {
		p.dialTrial(m)
		return -1
	}
	return p.expectedWait(m)
}

// unreachable tells whether connections to a cache have failed, or were turned away, more than once in a row, and none stands that
// has carried an answer, or could be the first to. One in a row may be chance. Where proxies are more than the connections that a
// cache takes, or a zone has vanished, each request else spends a try or a connect time-out on it, at each proxy. It could do harm
// where all caches are out of reach: requests are told so at once that would have waited for a dial.
func (p *Pool[X]) unreachable(m *Member[X]) bool {
	return !m.Origin && m.backoff > dialBackoff &&
		!slices.ContainsFunc(m.Conns, func(c *Conn[X]) bool { return c.HasAnswered || !c.Refused && !c.Busy() })
}

// dialTrial opens a connection that no request waits for. That it stands is not all: a cache that holds all the connections it will
// takes one more only to turn its first request away. A ping would find that out, and is priced as a probe.
func (p *Pool[X]) dialTrial(m *Member[X]) {
	switch {
	case !m.Ready || p.now < m.noDialUntil || m.pendingDials > 0:
	case len(m.Conns) > 0: // its request was turned away, and it was not closed for that: another may do better
		if c := m.Conns[0]; !c.Busy() {
			p.extendBackoff(m)
			c.Refused = false
		}
	case p.pendingDials < maxConcurrentDials/2 && p.actions.HasDescriptor(false):
		p.startDial(m, false)
	}
}

// expectedWait is Wait for what goes there whatever has become of the latest dial; Place turns away what it is below 0 for, and
// nothing else.
func (p *Pool[X]) expectedWait(m *Member[X]) time.Duration {
	if m.Origin || len(m.Waiting) < m.pendingDials+MaxWaiting || p.mayDial(m) {
		return 0
	}
	var none X
	together := p.now >= p.noPipeliningUntil && p.cfg.Multiplex > 1 && m.cleanAnswers >= max(MinCleanAnswers, m.cleanRequired)
	for _, c := range m.Conns {
		switch {
		case c.Retired || c.PingPending || !c.Link.Writable():
		case c.Current == none && p.now >= c.reusableAt,
			together && c.HasAnswered && c.Current != none && !c.carriesWrite && 1+len(c.Pipelined) < p.cfg.Multiplex && p.now-c.currentSince <= p.maxPipelineAge:
			return 0
		}
	}
	return p.queueDelay(m)
}

// mayPipeline tells whether reads may be written behind others at a member.
func (p *Pool[X]) mayPipeline(m *Member[X], r *Request) bool {
	return !m.Origin && !r.Write && p.now >= p.noPipeliningUntil && !r.Once && p.cfg.Multiplex >= 2 && m.cleanAnswers >= max(MinCleanAnswers, m.cleanRequired)
}

// acceptsPipelined tells whether a read may be written behind those on a connection.
func (p *Pool[X]) acceptsPipelined(c *Conn[X], x X) bool {
	var none X
	return !c.Retired && c.Link.Writable() && !c.PingPending && c.HasAnswered && c.Current != none && !c.carriesWrite &&
		1+len(c.Pipelined) < p.cfg.Multiplex && p.now-c.currentSince <= p.maxPipelineAge && !bytes.Equal(c.lastKey, x.Key())
}

// pickGroupConn finds the connection that others of a request's group were put on in the same moment: they go out, and most often come back,
// together, and their member works on them as on as many connections. nil, if there is none that may be joined.
func (p *Pool[X]) pickGroupConn(m *Member[X], x X) *Conn[X] {
	r := x.PoolRequest()
	if r.Group == 0 || !p.mayPipeline(m, r) {
		return nil
	}
	for _, c := range m.Conns {
		if c.group == r.Group && c.currentSince == p.now && p.acceptsPipelined(c, x) {
			return c
		}
	}
	return nil
}

// pickPipelineConn finds the connection to a cache behind whose requests a read waits least; nil, if it should not. What is written
// behind others shares their fate, so it has to be a read, which may be sent again, and the cache quick and clean.
func (p *Pool[X]) pickPipelineConn(m *Member[X], x X) *Conn[X] {
	r := x.PoolRequest()
	if !p.mayPipeline(m, r) {
		return nil
	}
	var best *Conn[X]
	for _, c := range m.Conns {
		if !p.acceptsPipelined(c, x) {
			continue
		}
		if best == nil || len(c.Pipelined) < len(best.Pipelined) {
			best = c
		}
	}
	return best
}

// cooldown is how long a connection rests after an answer.
func (m *Member[X]) cooldown() time.Duration {
	if m.cleanAnswers < m.cleanRequired {
		return SuspectCooldownTime
	}
	return CooldownTime
}

// RecordBadAnswer notes that a member's answer could not be read, or more came than was asked for.
func (m *Member[X]) RecordBadAnswer() {
	m.cleanAnswers, m.cleanRequired = 0, min(max(MinCleanAnswers, 2*m.cleanRequired), maxCleanAnswers)
}

// queueDelay is how long a request would stand in line for a connection to a cache; below 0: nothing tells, the cache is stuck, or
// its wait would be as long as that for a connection may be.
func (p *Pool[X]) queueDelay(m *Member[X]) time.Duration {
	conns := len(m.Conns) + m.pendingDials
	if m.occupancy == 0 || conns == 0 {
		return -1
	}
	if m.pendingDials == 0 {
		latest := m.Conns[0].lastUsed
		for _, c := range m.Conns {
			latest = max(latest, c.lastUsed)
		}
		if p.now-latest > max(minStuckTime, stuckFactor*m.occupancy) {
			return -1
		}
	}
	wait := m.occupancy * time.Duration(len(m.Waiting)+1) / time.Duration(conns)
	if wait > p.cfg.ConnectTimeout/2 {
		return -1
	}
	return wait
}

// enqueue puts a request in line, those whose time ends first in front.
func (m *Member[X]) enqueue(x X) {
	i := len(m.Waiting)
	for i > 0 && m.Waiting[i-1].PoolRequest().ExpiresAt > x.PoolRequest().ExpiresAt {
		i--
	}
	m.Waiting = slices.Insert(m.Waiting, i, x)
}

// pickFreeConn chooses the free connection used last, so that the others fall idle and close; nil, if there is none.
// One that has stood so long that the member may be closing it, or that is not silent, is not used again.
func (p *Pool[X]) pickFreeConn(m *Member[X], x X) *Conn[X] {
	share := time.Duration(IdlePercent)
	if x.PoolRequest().Once {
		share = onceIdlePercent
	}
	for i := len(m.Conns) - 1; i >= 0; i-- {
		c := m.Conns[i]
		switch {
		case c.Retired || !c.Link.Writable() || c.Busy() || p.now < c.reusableAt:
		case p.now-c.lastUsed >= p.idle.limit && c.HasAnswered || p.now-c.lastUsed >= p.cfg.ConnIdle*IdlePercent/100 || !c.Link.Silent():
			p.Retire(c)
		case p.now-c.lastUsed < p.cfg.ConnIdle*share/100:
			return c
		case len(m.Conns)+m.pendingDials >= p.MaxConns(m):
			p.Close(c) // a fresh one takes its place
		}
	}
	return nil
}

// Redial opens connections for those that wait, within the bounds.
func (p *Pool[X]) Redial(m *Member[X]) {
	most := p.MaxConns(m)
	if len(m.Conns) > 0 && p.now < m.noDialUntil {
		return
	}
	for m.Ready && m.pendingDials < len(m.Waiting) && len(m.Conns)+m.pendingDials < most {
		if p.pendingDials >= maxConcurrentDials || !p.actions.HasDescriptor(true) {
			if !m.inDialQueue {
				m.inDialQueue = true
				p.dialQueue = append(p.dialQueue, m)
			}
			return
		}
		p.startDial(m, false)
	}
}

func (p *Pool[X]) startDial(m *Member[X], warm bool) {
	m.pendingDials++
	p.pendingDials++
	p.openConns++
	p.actions.Dial(m, warm)
}

// DialCompleted takes in how a dial has ended: with a connection that is new, of the epoch that it was begun in, or nil; atOnce
// tells that it was turned away without a wait.
func (p *Pool[X]) DialCompleted(m *Member[X], c *Conn[X], epoch int, warm, atOnce bool) {
	p.releaseDialSlot(m, warm)
	switch {
	case c == nil:
		p.openConns--
		p.dialFailed(m, atOnce)
	case !m.Ready || epoch != m.Epoch:
		p.Retire(c) // the list has changed meanwhile
	default:
		c.lastUsed, m.noDialUntil = p.now, 0
		m.Conns = append(m.Conns, c)
		if p.serveWaiting(m); warm && !c.Busy() {
			p.ping(c)
		}
	}
	p.Redial(m)
	p.dialNext()
}

// releaseDialSlot gives back the place of a dial.
func (p *Pool[X]) releaseDialSlot(m *Member[X], warm bool) {
	m.pendingDials--
	p.pendingDials--
	if warm {
		m.prewarming = false
	}
}

// DialFailedLocally takes in that a dial has failed for want of something that this machine is short of. That tells nothing of the member, which is neither
// held back nor out of reach; whoever has waited longest goes elsewhere, where connections may stand, unless those that stand here will take it.
func (p *Pool[X]) DialFailedLocally(m *Member[X], warm bool) {
	p.releaseDialSlot(m, warm)
	p.openConns--
	p.serveWaiting(m)
	if len(m.Conns) > 0 {
		m.noDialUntil = max(m.noDialUntil, p.now+dialBackoff)
		p.actions.ScheduleRedial(m, m.noDialUntil)
	} else if len(m.Waiting) > 0 {
		x := m.Waiting[0]
		m.Waiting = m.Waiting[1:]
		p.actions.Reject(x, LocalShortage)
	}
	p.Redial(m)
	p.dialNext()
}

// dialFailed ends the request that has waited longest, unless the connections that stand will take it: a cache
// that is up but holds all the connections it will goes on answering on the open ones. Refused at once, it is
// tried once more, since that has taken no time.
func (p *Pool[X]) dialFailed(m *Member[X], atOnce bool) {
	if atOnce && !m.Origin && m.backoff == 0 { // one that has died, and could as well be full, says so each time
		p.hold.recordRefusal()
	}
	p.extendBackoff(m)
	p.serveWaiting(m)
	if len(m.Waiting) > 0 && len(m.Conns) == 0 {
		x := m.Waiting[0]
		if r := x.PoolRequest(); !r.redialed && atOnce {
			r.redialed = true
			return
		}
		m.Waiting = m.Waiting[1:]
		p.actions.Reject(x, Unreachable)
	}
}

// extendBackoff keeps dials to a member back for a while, twice as long as the last time.
func (p *Pool[X]) extendBackoff(m *Member[X]) {
	if p.now >= m.noDialUntil { // those that fail together count once
		m.backoff = min(max(dialBackoff, 2*m.backoff), dialBackoffMax)
		m.noDialUntil = p.now + m.backoff
		p.actions.ScheduleRedial(m, m.noDialUntil)
	}
}

// dialNext lets the next member dial that had to wait for others' dials.
func (p *Pool[X]) dialNext() {
	for len(p.dialQueue) > 0 && p.pendingDials < maxConcurrentDials {
		m := p.dialQueue[0]
		p.dialQueue = p.dialQueue[1:]
		m.inDialQueue = false
		p.Redial(m)
		if m.inDialQueue {
			return
		}
	}
}

// serveWaiting sends those that wait, as far as there are connections.
func (p *Pool[X]) serveWaiting(m *Member[X]) {
	for len(m.Waiting) > 0 && m.Ready {
		x := m.Waiting[0]
		if !x.PoolRequest().Ended && (p.actions.Expired(x) || p.tooLateToAnswer(m, x)) {
			m.Waiting = m.Waiting[1:]
			p.actions.Reject(x, NoConnVerdict(m))
			continue
		}
		if !x.PoolRequest().Ended {
			c := p.pickFreeConn(m, x)
			if c == nil {
				c = p.pickPipelineConn(m, x)
			}
			if c == nil {
				return
			}
			p.start(c, x)
		}
		m.Waiting = m.Waiting[1:]
	}
}

// WriteDrained takes in that what waited to be written on a connection has gone out.
func (p *Pool[X]) WriteDrained(c *Conn[X]) {
	if !c.Closed {
		p.serveWaiting(c.Member)
	}
}

// ConnectTimedOut ends a request that has found no connection in time.
func (p *Pool[X]) ConnectTimedOut(m *Member[X], x X) {
	if m != nil {
		m.RemoveWaiting(x)
	}
	p.actions.Reject(x, NoConnVerdict(m))
}

// NoConnVerdict is the verdict on a request that has waited for a connection in vain. Where connections stand, they are all
// busy: it is the pool that is short, and the member is neither full nor out of reach.
func NoConnVerdict[X Exchange](m *Member[X]) Verdict {
	if m != nil && len(m.Conns) > 0 {
		return LocalShortage
	}
	return Unreachable
}

// RemoveWaiting takes a request out of the line.
func (m *Member[X]) RemoveWaiting(x X) {
	if i := slices.Index(m.Waiting, x); i >= 0 {
		m.Waiting = slices.Delete(m.Waiting, i, i+1)
	}
}

// start puts a request on a connection.
func (p *Pool[X]) start(c *Conn[X], x X) {
	r := x.PoolRequest()
	r.BeganAt = p.now
	var none X
	if c.Current != none {
		c.Pipelined = append(c.Pipelined, x)
	} else {
		c.Current, c.currentSince, c.carriesWrite, c.group = x, p.now, r.Write, r.Group
		if c.idleClass = -1; c.HasAnswered {
			c.idleClass = p.idle.class(p.now - c.lastUsed)
			p.idle.reused[c.idleClass]++
		}
		p.touch(c)
	}
	c.lastKey = append(c.lastKey[:0], x.Key()...)
	c.Link.Send(x)
}

// touch makes the connection the one used last.
func (p *Pool[X]) touch(c *Conn[X]) {
	c.lastUsed = p.now
	if s := c.Member.Conns; len(s) > 0 && s[len(s)-1] != c {
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
		c.Member.occupancy += (p.now - c.currentSince - c.Member.occupancy) / occupancyDivisor
		c.Member.cleanAnswers = min(c.Member.cleanAnswers+1, maxCleanAnswers)
		if x := c.Current; x != none && x.PoolRequest().WrittenAt > 0 {
			c.Member.recordAnswerTime(p.now - x.PoolRequest().WrittenAt)
		}
	}
	if len(c.Pipelined) == 0 {
		return false
	}
	c.Current = c.Pipelined[0]
	c.Pipelined = slices.Delete(c.Pipelined, 0, 1)
	c.Current.PoolRequest().BeganAt, c.currentSince, c.lastUsed, c.HasAnswered = p.now, p.now, p.now, true
	p.serveWaiting(c.Member)
	return true
}

// Release lets a connection with nothing out be used again, once it has been silent for a while: what comes from now on finds
// no request on it.
func (p *Pool[X]) Release(c *Conn[X]) {
	var none X
	c.Current, c.PingPending, c.lastUsed = none, false, p.now
	if !c.Member.Origin && !c.HasAnswered && !c.Refused {
		p.hold.recordAnswer()
	}
	if c.HasAnswered = c.HasAnswered || !c.Refused; c.HasAnswered {
		c.Member.backoff, c.Member.noDialUntil = 0, 0
		// One that was turned away is left: its end is coming, and tells that there is no room.
		if !c.Member.Origin && p.hold.current < minHoldTime && len(c.Member.Waiting) == 0 {
			p.Close(c)
			return
		}
	}
	c.reusableAt = p.now + c.Member.cooldown()
	p.scheduleCooldownWake(c.Member)
}

// scheduleCooldownWake has those that wait at a member served once a connection has rested. Rests that end close together share a
// wake-up.
func (p *Pool[X]) scheduleCooldownWake(m *Member[X]) {
	if len(m.Waiting) == 0 || m.inCooldownQueue {
		return
	}
	wake := p.now + m.cooldown()
	for _, c := range m.Conns {
		if p.now < c.reusableAt {
			wake = min(wake, c.reusableAt)
		}
	}
	wake = max(wake, p.now+CooldownTime/4)
	m.inCooldownQueue = true
	if p.cooldownQueue = append(p.cooldownQueue, m); len(p.cooldownQueue) == 1 || wake < p.wakeAt {
		p.wakeAt = wake
		p.actions.ScheduleWake(wake)
	}
}

// Wake serves those that have waited for a connection to rest.
func (p *Pool[X]) Wake() {
	members := p.cooldownQueue
	p.cooldownQueue = p.spareCooldownQueue[:0]
	for i, m := range members {
		members[i], m.inCooldownQueue = nil, false
		p.serveWaiting(m)
		for _, c := range m.Conns {
			if p.now < c.reusableAt {
				p.scheduleCooldownWake(m)
				break
			}
		}
	}
	p.spareCooldownQueue = members[:0]
}

// Sweep closes what has stood idle for too long, and keeps a connection to each cache open and used. The first request on a
// connection waits for what a handshake takes, several round trips; sent to another zone it can time out by that alone,
// which closes the connection and makes the next one wait as long, so that a healthy cache looks slow for good. A ping
// takes that wait in a request's place. It costs each cache a little work every few seconds, so where proxies are many, or
// members more than there are descriptors for, it is left out.
func (p *Pool[X]) Sweep(m *Member[X], members int) {
	age := p.idle.limit
	if !m.Origin {
		age = min(age, p.hold.current)
	}
	p.CloseIdle(m, age)
	if age < p.cfg.ConnIdle*KeepalivePercent/100 { // it would not last
		return
	}
	if !p.cfg.CanProbe || m.Origin || !m.Ready || m.prewarming ||
		2*max(1, p.cfg.Instances) > CacheConnCapacity || members > p.cfg.Descriptors/8 {
		return
	}
	if len(m.Conns) == 1 {
		if c := m.Conns[0]; !c.Busy() && !c.Retired && c.Link.Writable() && p.now-c.lastUsed >= p.cfg.ConnIdle*KeepalivePercent/100 {
			p.ping(c)
		}
	}
	if len(m.Conns)+m.pendingDials == 0 && p.now >= m.noDialUntil && p.pendingDials < maxConcurrentDials/2 && p.actions.HasDescriptor(false) {
		m.prewarming = true
		p.startDial(m, true)
	}
}

// UpdateIdleLimit works out anew how long connections may stand idle, from what has become of them lately.
func (p *Pool[X]) UpdateIdleLimit() { p.idle.updateLimit(p.cfg.ConnIdle * IdlePercent / 100) }

func (p *Pool[X]) ping(c *Conn[X]) {
	c.PingPending = true
	p.touch(c)
	c.Link.Ping()
	p.actions.SchedulePingTimeout(c, p.now+pingTimeout, c.lastUsed)
}

// PingTimedOut gives up a connection whose ping, sent then, has not been answered.
func (p *Pool[X]) PingTimedOut(c *Conn[X], sent time.Duration) {
	if c.PingPending && c.lastUsed == sent {
		p.HandleBroken(c)
	}
}

// CloseIdle closes the connections to a member that have been idle for long enough, before the member does:
// a command that crosses its close would count as one that may have run.
func (p *Pool[X]) CloseIdle(m *Member[X], age time.Duration) (closed int) {
	for _, c := range slices.Clone(m.Conns) {
		if !c.Busy() && p.now-c.lastUsed >= age {
			p.Close(c)
			closed++
		}
	}
	return closed
}
