// Package pool manages the connections to members: which connection carries a request, when another one
// is opened, which requests wait for a connection and for how long, which reads are pipelined, and when a
// connection is closed.
//
// The package does no I/O, reads no clock and starts no goroutines. The host reports events under its
// lock, with the time set by Advance, and carries out the decisions (Actions, Link). The pool never reads
// or writes a connection, knows no protocol and never chooses a member: a request arrives here with its
// member already chosen.
package pool

import (
	"bytes"
	"slices"
	"time"
)

const (
	// CacheConnCapacity is the number of connections that a cache is certain to accept from all proxies
	// together; each proxy uses its share. A larger connection table also costs the cache some of its
	// throughput, so few connections are opened.
	CacheConnCapacity = 28
	MaxCacheConns     = 6
	// MaxWaiting is how many requests may wait at a cache for a connection, beside one for each pending
	// dial, whatever the expected wait. Beyond that, requests are admitted by the wait that ExpectedWait
	// estimates from the recent occupancy of connections.
	MaxWaiting = 2
	// occupancyDivisor is the inverse of the weight of the latest request in the average occupancy.
	occupancyDivisor = 16
	// stuckFactor is the number of occupancy times without a request begun on any connection after which
	// a cache counts as stuck and no further request waits for it. It should exceed the variation of
	// response times.
	stuckFactor        = 4
	minStuckTime       = 50 * time.Millisecond
	maxOriginConns     = 48
	originConnPercent  = 12 // maximum percentage of the descriptors that connections to an origin may use
	maxConcurrentDials = 64 // dials to a zone that vanished fail slowly and must not use up the descriptors
	// IdlePercent is the percentage of the members' idle timeout after which a connection is closed.
	IdlePercent = 80
	// onceIdlePercent replaces IdlePercent for a request that must not be repeated, which can't recover
	// if it crosses the member's close.
	onceIdlePercent = 20
	// dialBackoff is how long further dials wait after a dial failed while other connections are open; it
	// doubles with each consecutive failure, up to dialBackoffMax. A single dial may fail by chance, and
	// the pool must not stay short because of it; a member that is at its connection limit, or is gone,
	// is soon dialed only rarely. Dialing again so soon can do harm at a member for which each connection
	// attempt is expensive.
	dialBackoff    = 10 * time.Millisecond
	dialBackoffMax = time.Second
	// CooldownTime is how long a connection to a cache stays unused after an answer. Bytes that arrive in that
	// time belong to no request and end the connection before they could spoil the next answer. Those that
	// arrive later are found by the fence behind the next request, which then fails (see reuse.go).
	CooldownTime = time.Millisecond
	// SuspectCooldownTime replaces CooldownTime for a member that has recently sent unsolicited or
	// unreadable bytes: second copies of its answers may arrive some milliseconds late. Its connections
	// stay unused for that long after each answer until it has given enough clean answers.
	SuspectCooldownTime = 20 * time.Millisecond
	// KeepalivePercent is the percentage of the idle timeout after which the last connection to a cache
	// is pinged, so that the cache does not close it; pingTimeout is the time limit for the answer.
	KeepalivePercent = 60
	pingTimeout      = time.Second
	// MinCleanAnswers is the number of clean answers that a cache must give before requests are pipelined
	// to it; each bad answer doubles the number, up to maxCleanAnswers.
	MinCleanAnswers = 32
	maxCleanAnswers = 8192
	// maxPipelineAge is the maximum age of the current request for which another may be pipelined behind
	// it. It should exceed a fast response time. Where all answers are slower than this, nothing is
	// pipelined.
	maxPipelineAge = 5 * time.Millisecond
)

// Config holds the parameters of a Pool.
type Config struct {
	ConnIdle           time.Duration // idle timeout after which members close a connection
	ConnectTimeout     time.Duration
	Multiplex          int // maximum requests in flight on a connection to a cache
	Instances          int // number of proxies that share the members
	Descriptors        int // file descriptors of this proxy
	CanProbe           bool
	ConcurrentAttempts bool // two attempts of a request may be in flight at once
}

// Request is the part of a request that the pool needs. Timers keep many completed requests alive, so it
// is kept small.
type Request struct {
	ExpiresAt time.Duration // the request is given up at this time
	// StartBefore is the time from which nothing of the request may be sent any more, because it is a repeat
	// that its member would no longer recognize; 0: there is none.
	StartBefore time.Duration
	BeganAt     time.Duration // when it was written, or became the current request of its connection; 0: not yet
	// WrittenAt is when its last byte was written, set by the host; 0: not yet, or written together with
	// others.
	WrittenAt time.Duration
	Write     bool
	Once      bool // it must never run twice
	Ended     bool // set by the host: it no longer needs a connection
	// Fenced: bytes of an earlier exchange may arrive on its connection before its answer, so the host sends a
	// fence behind it (see reuse.go). Set before it is sent.
	Fenced bool
	// Group is shared by requests that arrive together, which may use one connection from the start; 0: no
	// group.
	Group    uint32
	redialed bool // a dial for it was refused immediately, and one more is made
}

// Exchange is the host's own record of a request; it embeds a Request.
type Exchange interface {
	comparable
	PoolRequest() *Request
	Key() []byte // must not change until the request has ended
}

// PoolRequest returns r. A type that embeds Request thereby implements this method of Exchange.
func (r *Request) PoolRequest() *Request { return r }

// Verdict is the reason for which a request gets no connection.
type Verdict uint8

// The verdicts.
const (
	// LocalShortage: the proxy itself is short of connections; the member is neither full nor unavailable.
	LocalShortage Verdict = iota
	Unavailable           // the member accepts no connection, or no new requests
)

// Link is the host's side of a connection. None of its methods may block.
type Link[X Exchange] interface {
	Send(x X)       // writes the request
	Ping()          // writes a command that the member answers immediately
	Writable() bool // reports whether no write is pending and none has failed
	Silent() bool   // reports whether nothing has been received, neither bytes nor the end of the stream
	Close()         // closes the connection, which has left the pool
}

// Actions carries out a Pool's decisions. None of its methods may block or call back into the pool.
type Actions[X Exchange] interface {
	// Dial connects, then calls DialCompleted; prewarm, which is passed on to it, marks a dial that no
	// request asked for.
	Dial(m *Member[X], prewarm bool)
	Reject(x X, v Verdict) // x gets no connection
	// Expired reports whether x must not be sent any more by now: the event may have begun some time ago.
	Expired(x X) bool
	// HasDescriptor reports whether a descriptor is available; evict: one may be freed for it.
	HasDescriptor(evict bool) bool
	// ScheduleConnectTimeout calls ConnectTimedOut at that time unless x has been sent.
	ScheduleConnectTimeout(x X, at time.Duration)
	ScheduleRedial(m *Member[X], at time.Duration)          // calls Redial at that time
	SchedulePingTimeout(c *Conn[X], at, sent time.Duration) // calls PingTimedOut with sent at that time
	// ScheduleWake calls Wake at that time; the latest call replaces earlier ones.
	ScheduleWake(at time.Duration)
}

// Member holds the connections to a member and the requests that wait for one.
type Member[X Exchange] struct {
	Addr   string
	Origin bool // it is used as an origin: one request at a time on a connection
	Ready  bool // it accepts new requests
	Epoch  int  // incremented when its address or process changes; a connection belongs to one epoch

	Conns        []*Conn[X] // in order of last use, most recent last
	Waiting      []X        // in order of expiry, earliest first
	pendingDials int
	prewarming   bool          // a dial that no request asked for is pending
	occupancy    time.Duration // recent average time for which a request occupies a connection; 0: unknown
	// roundTrip estimates the shortest recent response time; 0: no answer yet.
	roundTrip time.Duration
	// smoothedTime and timeDeviation are the smoothed response time and its mean deviation.
	smoothedTime, timeDeviation time.Duration
	inDialQueue                 bool // it is in Pool.dialQueue
	inCooldownQueue             bool // it is in Pool.cooldownQueue
	// cleanAnswers counts the clean answers since the last bad one; cleanRequired is the number required
	// before requests are pipelined.
	cleanAnswers, cleanRequired int
	suspectUntil                time.Duration // see Suspect
	// answersFences: it has answered a fence; refusesFences: it has refused one and answered none.
	answersFences, refusesFences bool
	// backoff is the latest backoff; it doubles with each consecutive failed dial.
	backoff     time.Duration
	noDialUntil time.Duration // no dials before this time while connections are open
}

// Backoff returns the backoff after the latest failed dial; 0: none has failed since a connection carried
// an answer.
func (m *Member[X]) Backoff() time.Duration { return m.backoff }

// RequiredCleanAnswers returns the number of clean answers required before requests are pipelined again;
// 0: there was no bad answer.
func (m *Member[X]) RequiredCleanAnswers() int { return m.cleanRequired }

// Idle reports whether the member has no connections, pending dials or waiting requests.
func (m *Member[X]) Idle() bool {
	return len(m.Conns) == 0 && m.pendingDials == 0 && len(m.Waiting) == 0
}

// Conn is a connection. It carries one request at a time as long as there are enough connections: a cache
// answers in order, so that a fast answer waits for a slow one; it closes the connection on input that it
// can't read, whatever else is pending; and unsolicited bytes can't be told from the answer to a request
// that crossed them. When there are too few connections, reads are pipelined to a cache that is fast and
// has given clean answers (pickPipelineConn, docs/connections.md).
type Conn[X Exchange] struct {
	Member      *Member[X]
	Link        Link[X]
	Current     X    // sent and not yet answered
	Pipelined   []X  // sent after Current, and answered after it
	PingPending bool // a ping is pending, and nothing else may be sent
	Retired     bool // no further request is sent
	Closed      bool // it has left the pool
	HasAnswered bool // it has carried an answer
	// Refused: every answer so far was that the member has no capacity, which may concern the requests or
	// the connection itself.
	Refused      bool
	currentSince time.Duration // when Current became the current request
	carriesWrite bool          // its current request is a write
	group        uint32        // group of the request for which it was picked
	// lastKey is the latest key sent: the next key must differ, or a second copy of its answer could pass
	// for the next answer.
	lastKey  []byte
	lastUsed time.Duration
	// idleBucket is the bucket of the idle time before its current request; below 0: the connection was
	// new.
	idleBucket int
	reusableAt time.Duration // when it may carry the next request
	// attributableAt is when no bytes of its earlier exchanges can arrive any more.
	attributableAt time.Duration
	lastFenced     bool // a fence was sent behind its latest request
	// restedFor is how long it was unused before its current request, requestCount how many requests it has
	// been given.
	restedFor    time.Duration
	requestCount int
	closeReason  CloseReason
}

// RestedFor returns how long the connection was unused before its current request.
func (c *Conn[X]) RestedFor() time.Duration { return c.restedFor }

// RequestCount returns how many requests the connection has been given.
func (c *Conn[X]) RequestCount() int { return c.requestCount }

// SetCloseReason sets why the connection is about to be closed.
func (c *Conn[X]) SetCloseReason(reason CloseReason) {
	if !c.Closed {
		c.closeReason = reason
	}
}

// UnusedSince returns since when the connection is unused, if it is not busy.
func (c *Conn[X]) UnusedSince() time.Duration { return c.lastUsed }

// Busy reports whether a request or a ping is in flight.
func (c *Conn[X]) Busy() bool {
	var none X
	return c.Current != none || c.PingPending
}

// Fresh reports whether the current request is the first on the connection.
func (c *Conn[X]) Fresh() bool { return c.idleBucket < 0 }

// Backdate makes the connection appear idle for longer by d, for tests.
func (c *Conn[X]) Backdate(d time.Duration) { c.lastUsed -= d }

// Reusable reports whether the connection is free and its cooldown after the last answer is over.
func (c *Conn[X]) Reusable(now time.Duration) bool { return !c.Busy() && now >= c.reusableAt }

// Pool manages the connections of a proxy to all of its members.
type Pool[X Exchange] struct {
	cfg                Config
	actions            Actions[X]
	now                time.Duration
	openConns          int // open connections and pending dials
	pendingDials       int
	dialQueue          []*Member[X] // members whose dials wait for a dial slot or a descriptor
	cooldownQueue      []*Member[X] // members at which requests wait for a connection's cooldown to end
	spareCooldownQueue []*Member[X]
	wakeAt             time.Duration
	idle               idleTimes
	hold               holdTime
	maxPipelineAge     time.Duration // see the constant
	noPipeliningUntil  time.Duration // nothing is pipelined before this time
	counters           Counters
	fences             fenceRecord
	cachesSuspectUntil time.Duration // the caches are suspected, as one of them was seen to send stray bytes
}

// New returns a Pool without connections.
func New[X Exchange](cfg Config, actions Actions[X]) *Pool[X] {
	return &Pool[X]{cfg: cfg, actions: actions, idle: newIdleTimes(cfg.ConnIdle * IdlePercent / 100),
		hold: newHoldTime(cfg.ConnIdle * IdlePercent / 100), maxPipelineAge: maxPipelineAge}
}

// Advance sets the time.
func (p *Pool[X]) Advance(now time.Duration) { p.now = now }

// SetDescriptors changes the number of file descriptors of this proxy.
func (p *Pool[X]) SetDescriptors(n int) { p.cfg.Descriptors = n }

// SetMaxPipelineAge changes the maximum age of a current request for pipelining, for tests.
func (p *Pool[X]) SetMaxPipelineAge(d time.Duration) { p.maxPipelineAge = d }

// OpenConns returns the number of connections, pending dials included.
func (p *Pool[X]) OpenConns() int { return p.openConns }

// SuspendPipelining stops pipelining for a duration.
func (p *Pool[X]) SuspendPipelining(d time.Duration) { p.noPipeliningUntil = p.now + d }

// UpdateMember applies a change of a member in discovery's list.
func (p *Pool[X]) UpdateMember(m *Member[X], ready, moved bool) {
	m.Ready = ready
	if moved {
		m.Epoch++
		// it is another process
		m.backoff, m.noDialUntil, m.roundTrip, m.smoothedTime, m.timeDeviation, m.suspectUntil = 0, 0, 0, 0, 0, 0
		m.answersFences, m.refusesFences = false, false
		p.rejectRepeats(m)
	}
	if moved || !ready {
		p.retireAll(m)
	}
}

// rejectRepeats rejects the repeats that wait for a connection to a member, which is now another process and
// would not recognize them.
func (p *Pool[X]) rejectRepeats(m *Member[X]) {
	waiting := m.Waiting
	m.Waiting = nil
	for _, x := range waiting {
		if r := x.PoolRequest(); r.StartBefore > 0 && !r.Ended {
			p.actions.Reject(x, LocalShortage)
			continue
		}
		m.Waiting = append(m.Waiting, x)
	}
}

// retireAll lets the requests in flight on a member's connections finish. Requests that still wait for a
// connection have not been sent, and must not be sent once the member drains.
func (p *Pool[X]) retireAll(m *Member[X]) {
	for _, c := range slices.Clone(m.Conns) {
		p.Retire(c)
	}
	if !m.Ready {
		for _, x := range m.Waiting {
			p.actions.Reject(x, Unavailable)
		}
		m.Waiting = nil
	}
	p.Redial(m) // for requests that wait for a dial to the old address
}

// Retire takes a connection out of use and closes it once no answer is pending.
func (p *Pool[X]) Retire(c *Conn[X]) {
	c.Retired = true
	var none X
	if (c.Current == none || c.Current.PoolRequest().Ended) && len(c.Pipelined) == 0 {
		p.CloseFor(c, CloseRetired)
	}
}

// Close removes a connection from the pool and closes it.
func (p *Pool[X]) Close(c *Conn[X]) {
	if c.Closed {
		return
	}
	c.Closed, c.Retired = true, true
	if i := slices.Index(c.Member.Conns, c); i >= 0 {
		c.Member.Conns = slices.Delete(c.Member.Conns, i, i+1)
	}
	p.openConns--
	p.counters.Closed[c.closeReason]++
	c.Link.Close()
}

// HandleBroken handles the end of a connection.
func (p *Pool[X]) HandleBroken(c *Conn[X]) {
	if !c.Closed && c.closeReason == CloseByPeer {
		p.recordClosure(c)
	}
	if !c.Closed && !c.HasAnswered && (c.Refused || c.PingPending) {
		if c.Refused && !c.Member.Origin {
			p.hold.recordRefusal()
		}
		p.extendBackoff(c.Member)
	}
	p.Close(c)
	p.Redial(c.Member)
	p.ResumeDials()
}

// RecordBreak records that a connection ended with a request in flight.
func (p *Pool[X]) RecordBreak(c *Conn[X]) {
	if c.idleBucket >= 0 {
		p.idle.broken[c.idleBucket]++
	}
}

// MaxConns returns the maximum number of connections to a member.
func (p *Pool[X]) MaxConns(m *Member[X]) int {
	if m.Origin {
		return min(maxOriginConns, max(4, p.cfg.Descriptors*originConnPercent/100))
	}
	return min(MaxCacheConns, max(1, CacheConnCapacity/max(1, p.cfg.Instances)))
}

// Submit sends a request on a connection, or queues it until one is available.
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
	canDial := p.mayDial(m)
	if c := p.pickPipelineConn(m, x); c != nil && !canDial {
		p.start(c, x)
		return
	}
	// A long queue here would look to the host like load at the member. The request is rejected
	// immediately, so that the host can send it to another member.
	if expected < 0 {
		p.actions.Reject(x, LocalShortage)
		return
	}
	p.replaceResting(m, x.PoolRequest())
	m.enqueue(x)
	p.scheduleCooldownWake(m)
	p.actions.ScheduleConnectTimeout(x, p.connectDeadline(x.PoolRequest()))
	p.Redial(m)
}

// TooLateToStart reports whether the request is a repeat that its member would no longer recognize.
func (r *Request) TooLateToStart(now time.Duration) bool {
	return r.StartBefore > 0 && now >= r.StartBefore
}

// connectDeadline returns the time until which a request waits for a connection.
func (p *Pool[X]) connectDeadline(r *Request) time.Duration {
	deadline := p.now + p.cfg.ConnectTimeout
	if r.StartBefore > 0 {
		return min(deadline, r.StartBefore)
	}
	return deadline
}

// mayDial reports whether another connection to a member may be opened.
func (p *Pool[X]) mayDial(m *Member[X]) bool {
	return len(m.Conns)+m.pendingDials < p.MaxConns(m) && (len(m.Conns) == 0 || p.now >= m.noDialUntil)
}

// ExpectedWait estimates how long a request would wait for a connection to a member, handshake excluded.
// A negative result means that the request should go to another member, as waiting would be futile. For an
// unreachable member the result is negative until a connection is open that can carry a request, and the
// call itself dials such a connection (dialTrial), for which no request waits. A request that is submitted
// to such a member anyway is dialed for.
func (p *Pool[X]) ExpectedWait(m *Member[X]) time.Duration {
	if p.unreachable(m) {
		p.dialTrial(m)
		return -1
	}
	return p.expectedWait(m)
}

// unreachable reports whether connections to a cache have failed, or were refused, more than once in a
// row, and no open connection has carried an answer or could carry a first one. A single failure may be
// chance. Where there are more proxies than the cache accepts connections, or a zone has vanished, each
// request would otherwise use up an attempt or a connect timeout on the cache, at each proxy. The rule can
// do harm when all caches are unreachable: requests that would have waited for a dial are rejected
// immediately.
func (p *Pool[X]) unreachable(m *Member[X]) bool {
	return !m.Origin && m.backoff > dialBackoff &&
		!slices.ContainsFunc(m.Conns, func(c *Conn[X]) bool { return c.HasAnswered || !c.Refused && !c.Busy() })
}

// dialTrial opens a connection that no request waits for. An open connection alone proves nothing: a
// cache at its connection limit accepts one more only to refuse its first request. A ping would find that
// out, but counts as a probe, which has a price.
func (p *Pool[X]) dialTrial(m *Member[X]) {
	switch {
	case !m.Ready || p.now < m.noDialUntil || m.pendingDials > 0:
	case len(m.Conns) > 0:
		// The connection's request was refused, but the connection was left open: another request may
		// succeed on it.
		if c := m.Conns[0]; !c.Busy() {
			p.extendBackoff(m)
			c.Refused = false
		}
	case p.pendingDials < maxConcurrentDials/2 && p.actions.HasDescriptor(false):
		p.startDial(m, false)
	}
}

// expectedWait is ExpectedWait without the check for an unreachable member. Submit rejects exactly the
// requests for which the result is negative.
func (p *Pool[X]) expectedWait(m *Member[X]) time.Duration {
	if m.Origin || len(m.Waiting) < m.pendingDials+MaxWaiting || p.mayDial(m) {
		return 0
	}
	var none X
	pipelining := p.now >= p.noPipeliningUntil && p.CanFence(m) &&
		m.cleanAnswers >= max(MinCleanAnswers, m.cleanRequired)
	for _, c := range m.Conns {
		switch {
		case c.Retired || c.PingPending || !c.Link.Writable():
		case c.Current == none && (p.now >= c.reusableAt || p.mustRest(m)), // a resting one is replaced
			pipelining && c.HasAnswered && c.Current != none && !c.carriesWrite &&
				1+len(c.Pipelined) < p.cfg.Multiplex && p.now-c.currentSince <= p.maxPipelineAge:
			return 0
		}
	}
	return p.queueDelay(m)
}

// mayPipeline reports whether the request may be pipelined behind others at a member. One that has to start
// before some time may not: the member would start it only after those before it.
func (p *Pool[X]) mayPipeline(m *Member[X], r *Request) bool {
	return p.CanFence(m) && !r.Write && r.StartBefore == 0 && p.now >= p.noPipeliningUntil && !r.Once && m.cleanAnswers >= max(MinCleanAnswers, m.cleanRequired)
}

// acceptsPipelined reports whether a read may be pipelined on a connection.
func (p *Pool[X]) acceptsPipelined(c *Conn[X], x X) bool {
	var none X
	return !c.Retired && c.Link.Writable() && !c.PingPending && c.HasAnswered && c.Current != none && !c.carriesWrite &&
		1+len(c.Pipelined) < p.cfg.Multiplex && p.now-c.currentSince <= p.maxPipelineAge &&
		!bytes.Equal(c.lastKey, x.Key())
}

// pickGroupConn returns the connection that took other requests of the same group at the same moment, or
// nil if it may not be pipelined on. The requests are sent together, their answers mostly arrive
// together, and the member works on them as if they came on as many connections.
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

// pickPipelineConn returns the connection to a cache with the fewest pipelined requests for a read, or
// nil if the read should not be pipelined. A pipelined request fails with the requests before it, so it
// has to be a read, which may be repeated, and the cache has to be fast and clean.
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

// RecordBadAnswer records that an answer of the member could not be read, or that unsolicited bytes
// arrived.
func (m *Member[X]) RecordBadAnswer() {
	m.cleanAnswers, m.cleanRequired = 0, min(max(MinCleanAnswers, 2*m.cleanRequired), maxCleanAnswers)
}

// queueDelay estimates how long a request would wait in the queue for a connection to a cache. It is
// negative if there is no data, the cache is stuck, or the wait would exceed half the connect timeout.
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

// enqueue adds a request to the queue, which is ordered by expiry.
func (m *Member[X]) enqueue(x X) {
	i := len(m.Waiting)
	for i > 0 && m.Waiting[i-1].PoolRequest().ExpiresAt > x.PoolRequest().ExpiresAt {
		i--
	}
	m.Waiting = slices.Insert(m.Waiting, i, x)
}

// pickFreeConn returns the most recently used free connection, so that the others become idle and are
// closed; nil if there is none. A connection that has been idle for so long that the member may be
// closing it, or that has received something, is not used again.
func (p *Pool[X]) pickFreeConn(m *Member[X], x X) *Conn[X] {
	idlePercent := time.Duration(IdlePercent)
	if x.PoolRequest().Once {
		idlePercent = onceIdlePercent
	}
	var unattributable *Conn[X]
	for i := len(m.Conns) - 1; i >= 0; i-- {
		c := m.Conns[i]
		switch {
		case c.Retired || !c.Link.Writable() || c.Busy() || p.now < c.reusableAt:
		case p.now-c.lastUsed >= p.idle.limit && c.HasAnswered ||
			p.now-c.lastUsed >= p.cfg.ConnIdle*IdlePercent/100 || !c.Link.Silent():
			p.Retire(c)
		case p.now-c.lastUsed >= p.cfg.ConnIdle*idlePercent/100:
			if len(m.Conns)+m.pendingDials >= p.MaxConns(m) {
				p.CloseFor(c, CloseSurplus) // a new one replaces it
			}
		case p.now < c.attributableAt:
			if unattributable == nil {
				unattributable = c
			}
		default:
			return c
		}
	}
	if p.needsRested(m, x.PoolRequest()) {
		return nil
	}
	return unattributable
}

// Redial opens connections for the waiting requests, within the limits.
func (p *Pool[X]) Redial(m *Member[X]) {
	maxConns := p.MaxConns(m)
	if len(m.Conns) > 0 && p.now < m.noDialUntil {
		return
	}
	for m.Ready && m.pendingDials < len(m.Waiting) && len(m.Conns)+m.pendingDials < maxConns {
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

func (p *Pool[X]) startDial(m *Member[X], prewarm bool) {
	m.pendingDials++
	p.pendingDials++
	p.openConns++
	p.actions.Dial(m, prewarm)
}

// DialCompleted handles the end of a dial. c is the new connection, of the epoch in which the dial began,
// or nil; atOnce reports that the dial was refused without a wait.
func (p *Pool[X]) DialCompleted(m *Member[X], c *Conn[X], epoch int, prewarm, atOnce bool) {
	p.releaseDialSlot(m, prewarm)
	switch {
	case c == nil:
		p.openConns--
		p.dialFailed(m, atOnce)
	case !m.Ready || epoch != m.Epoch:
		p.Retire(c) // the member has changed meanwhile
	default:
		c.lastUsed, m.noDialUntil = p.now, 0
		p.counters.Opened++
		m.Conns = append(m.Conns, c)
		if p.serveWaiting(m); prewarm && !c.Busy() {
			p.ping(c)
		}
	}
	p.Redial(m)
	p.ResumeDials()
}

// releaseDialSlot removes a dial from the pending ones.
func (p *Pool[X]) releaseDialSlot(m *Member[X], prewarm bool) {
	m.pendingDials--
	p.pendingDials--
	if prewarm {
		m.prewarming = false
	}
}

// DialFailedLocally handles a dial that failed for lack of a resource of this machine. That says nothing
// about the member, which is neither backed off from nor unreachable. If no connection is open to take
// the waiting requests, the first of them is rejected, to be sent to another member that may have open
// connections.
func (p *Pool[X]) DialFailedLocally(m *Member[X], prewarm bool) {
	p.releaseDialSlot(m, prewarm)
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
	p.ResumeDials()
}

// dialFailed rejects the first waiting request, unless open connections will take it: a cache that is up
// but at its connection limit still answers on the open ones. A request whose dial was refused
// immediately gets one more dial, since the refusal has cost no time.
func (p *Pool[X]) dialFailed(m *Member[X], atOnce bool) {
	// A dead cache refuses each dial like a full one, so only the first refusal counts.
	if atOnce && !m.Origin && m.backoff == 0 {
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
		p.actions.Reject(x, Unavailable)
	}
}

// extendBackoff starts the backoff of dials to a member, twice as long as the previous one.
func (p *Pool[X]) extendBackoff(m *Member[X]) {
	if p.now >= m.noDialUntil { // dials that fail together count once
		m.backoff = min(max(dialBackoff, 2*m.backoff), dialBackoffMax)
		m.noDialUntil = p.now + m.backoff
		p.actions.ScheduleRedial(m, m.noDialUntil)
	}
}

// ResumeDials lets members dial that had to wait for a dial slot or a descriptor, in turn.
func (p *Pool[X]) ResumeDials() {
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

// serveWaiting sends waiting requests as far as connections are available.
func (p *Pool[X]) serveWaiting(m *Member[X]) {
	for len(m.Waiting) > 0 && m.Ready {
		x := m.Waiting[0]
		if !x.PoolRequest().Ended && (p.actions.Expired(x) || p.tooLateToAnswer(m, x)) {
			m.Waiting = m.Waiting[1:]
			p.actions.Reject(x, p.timeoutVerdict(m, x))
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

// BacklogWritten handles the end of a connection's pending writes.
func (p *Pool[X]) BacklogWritten(c *Conn[X]) {
	if !c.Closed {
		p.serveWaiting(c.Member)
	}
}

// ConnectTimedOut rejects a request that has not got a connection in time.
func (p *Pool[X]) ConnectTimedOut(m *Member[X], x X) {
	if m != nil {
		m.RemoveWaiting(x)
	}
	p.actions.Reject(x, p.timeoutVerdict(m, x))
}

// timeoutVerdict returns the verdict for a request that is no longer sent. Where only its own time to start
// is over, that says nothing about the member.
func (p *Pool[X]) timeoutVerdict(m *Member[X], x X) Verdict {
	if x.PoolRequest().TooLateToStart(p.now) {
		return LocalShortage
	}
	return NoConnVerdict(m)
}

// NoConnVerdict returns the verdict for a request that has waited for a connection in vain. If
// connections are open, all of them are busy: the pool is short of them, and the member is neither full
// nor unavailable.
func NoConnVerdict[X Exchange](m *Member[X]) Verdict {
	if m != nil && len(m.Conns) > 0 {
		return LocalShortage
	}
	return Unavailable
}

// RemoveWaiting removes a request from the queue.
func (m *Member[X]) RemoveWaiting(x X) {
	if i := slices.Index(m.Waiting, x); i >= 0 {
		m.Waiting = slices.Delete(m.Waiting, i, i+1)
	}
}

// start sends a request on a connection.
func (p *Pool[X]) start(c *Conn[X], x X) {
	r := x.PoolRequest()
	r.BeganAt = p.now
	c.requestCount++
	var none X
	r.Fenced = p.needsFence(c, r)
	c.lastFenced = r.Fenced
	if c.Current != none {
		c.Pipelined = append(c.Pipelined, x)
	} else {
		c.Current, c.currentSince, c.carriesWrite, c.group = x, p.now, r.Write, r.Group
		c.restedFor = p.now - c.lastUsed
		if c.idleBucket = -1; c.HasAnswered {
			c.idleBucket = p.idle.bucket(p.now - c.lastUsed)
			p.idle.reused[c.idleBucket]++
		}
		p.touch(c)
	}
	c.lastKey = append(c.lastKey[:0], x.Key()...)
	c.Link.Send(x)
}

// touch marks the connection as the most recently used one.
func (p *Pool[X]) touch(c *Conn[X]) {
	c.lastUsed = p.now
	if s := c.Member.Conns; len(s) > 0 && s[len(s)-1] != c {
		if i := slices.Index(s, c); i >= 0 {
			copy(s[i:], s[i+1:])
			s[len(s)-1] = c
		}
	}
}

// Answered handles a complete answer to the current request; timed reports whether its duration says
// anything about the member. If requests are pipelined, the next one becomes current, more is true, and
// the next answer belongs to it.
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

// Release makes a connection without requests in flight available again after its cooldown, so that bytes
// that arrive meanwhile are found to belong to no request.
func (p *Pool[X]) Release(c *Conn[X]) {
	var none X
	c.Current, c.PingPending, c.lastUsed = none, false, p.now
	c.attributableAt = p.now + p.quarantineTime(c.Member)
	if !c.Member.Origin && !c.HasAnswered && !c.Refused {
		p.hold.recordAnswer()
	}
	if c.HasAnswered = c.HasAnswered || !c.Refused; c.HasAnswered {
		c.Member.backoff, c.Member.noDialUntil = 0, 0
		if !c.Member.Origin && p.hold.current < minHoldTime && len(c.Member.Waiting) == 0 {
			p.CloseFor(c, CloseSurplus)
			return
		}
	}
	if p.endsWithFence(c) || p.mustRest(c.Member) && !p.keepsResting(c.Member) {
		p.CloseFor(c, CloseSurplus)
		p.Redial(c.Member)
		return
	}
	// A connection that has carried only refusals is left open as well: its end will follow, and shows that
	// the member has no capacity.
	c.reusableAt = p.now + p.restTime(c.Member)
	p.scheduleCooldownWake(c.Member)
	if len(c.Member.Waiting) == 0 {
		p.ResumeDials() // for another member the connection may be closed
	}
}

// scheduleCooldownWake schedules a wake-up that serves the requests waiting at a member when a
// connection's cooldown ends. Cooldowns that end close together share a wake-up.
func (p *Pool[X]) scheduleCooldownWake(m *Member[X]) {
	if len(m.Waiting) == 0 || m.inCooldownQueue {
		return
	}
	wake, resting := p.usableAt(m, m.Waiting[0])
	if !resting {
		wake = p.now + p.restTime(m)
	}
	wake = max(wake, p.now+CooldownTime/4)
	m.inCooldownQueue = true
	if p.cooldownQueue = append(p.cooldownQueue, m); len(p.cooldownQueue) == 1 || wake < p.wakeAt {
		p.wakeAt = wake
		p.actions.ScheduleWake(wake)
	}
}

// Wake serves the requests that have waited for a cooldown to end.
func (p *Pool[X]) Wake() {
	members := p.cooldownQueue
	p.cooldownQueue = p.spareCooldownQueue[:0]
	for i, m := range members {
		members[i], m.inCooldownQueue = nil, false
		p.serveWaiting(m)
		if len(m.Waiting) == 0 {
			continue
		}
		if _, resting := p.usableAt(m, m.Waiting[0]); resting {
			p.scheduleCooldownWake(m)
		}
	}
	p.spareCooldownQueue = members[:0]
}

// Sweep closes connections that have been idle for too long, and keeps one connection to each cache open
// and in use. The first request on a connection also waits for the handshake, several round trips. To
// another zone that alone can exceed its timeout, which closes the connection and makes the next request
// wait as long, so that a healthy cache looks slow permanently. With a ping, the ping waits for the
// handshake and no request does. Pings cost each cache a little work every few seconds, so they are omitted
// where there are many proxies, or more members than descriptors allow.
func (p *Pool[X]) Sweep(m *Member[X], members int) {
	age := p.idle.limit
	if !m.Origin {
		age = min(age, p.hold.current)
	}
	p.CloseIdle(m, age)
	if age < p.cfg.ConnIdle*KeepalivePercent/100 { // the connection would be closed before its ping
		return
	}
	if !p.cfg.CanProbe || m.Origin || !m.Ready || m.prewarming ||
		2*max(1, p.cfg.Instances) > CacheConnCapacity || members > p.cfg.Descriptors/8 {
		return
	}
	if len(m.Conns) == 1 {
		if c := m.Conns[0]; !c.Busy() && !c.Retired && c.Link.Writable() &&
			p.now-c.lastUsed >= p.cfg.ConnIdle*KeepalivePercent/100 {
			p.ping(c)
		}
	}
	if len(m.Conns)+m.pendingDials == 0 && p.now >= m.noDialUntil &&
		p.pendingDials < maxConcurrentDials/2 && p.actions.HasDescriptor(false) {
		m.prewarming = true
		p.startDial(m, true)
	}
}

// UpdateIdleLimit recomputes the idle limit from the recent record of reused and broken connections.
func (p *Pool[X]) UpdateIdleLimit() { p.idle.updateLimit(p.cfg.ConnIdle * IdlePercent / 100) }

func (p *Pool[X]) ping(c *Conn[X]) {
	c.PingPending, c.lastFenced = true, false
	p.touch(c)
	c.Link.Ping()
	p.actions.SchedulePingTimeout(c, p.now+pingTimeout, c.lastUsed)
}

// PingTimedOut drops a connection whose ping, sent at the given time, has not been answered.
func (p *Pool[X]) PingTimedOut(c *Conn[X], sent time.Duration) {
	if c.PingPending && c.lastUsed == sent {
		c.SetCloseReason(ClosePingTimeout)
		p.HandleBroken(c)
	}
}

// LongestAtRest returns the member's connection that has carried nothing for longest; nil if all are busy.
func (m *Member[X]) LongestAtRest() *Conn[X] {
	for _, c := range m.Conns { // in order of last use
		if !c.Busy() {
			return c
		}
	}
	return nil
}

// CloseIdle closes the connections to a member that have been idle for at least age, before the member
// closes them: a command that crosses the member's close would count as one that may have run.
func (p *Pool[X]) CloseIdle(m *Member[X], age time.Duration) (closed int) {
	for _, c := range slices.Clone(m.Conns) {
		if !c.Busy() && p.now-c.lastUsed >= age {
			p.CloseFor(c, CloseIdle)
			closed++
		}
	}
	return closed
}
