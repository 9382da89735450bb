package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"net"
	"slices"
	"syscall"
	"time"

	"linenloom/internal/discovery"
	"linenloom/internal/resp"
	"linenloom/logic"
)

const (
	// nodeSockets is how many connections a cache surely takes from all proxies together; each has its
	// part of them. A fuller table also takes of what the cache can do, so few are opened.
	nodeSockets  = 28
	cacheSockets = 6
	// waitingRoom is how many attempts may wait at a cache for one of its connections, beside the dials, whatever the
	// wait. More may where it is short: a place at the right cache, soon, beats a miss elsewhere, and a refusal. The wait
	// is told from how long a connection is taken for a request lately and may be this part of the attempt's time.
	waitingRoom = 2
	waitShare   = 8
	// stuckTurns is after how many times that long without a request on any connection begun a cache counts as stuck,
	// and nothing more waits for it. It should exceed what answers vary by.
	turnOf         = 16 // the latest request counts for one in so many
	stuckTurns     = 4
	stuckLeast     = 50 * time.Millisecond
	originSockets  = 48
	originShare    = 12 // percent of the descriptors for the origin, at most
	maxDials       = 64 // at once: a zone that vanished takes its time to fail, and must not take the descriptors
	idleShare      = 80 // percent of the idle time, after which a connection is closed
	freshShare     = 20 // the same for a request that must not be repeated: a close that crosses it can't be mended
	upstreamBuffer = 4 << 10
	// dialBackoff is how long no further connection is tried after a dial failed while others stand; it doubles
	// with each failure in a row, up to dialBackoffMax. One dial may fail by chance, and the pool must not stay
	// short for it; a member that holds all the connections it will, or is gone, is soon asked only seldom. It
	// could do harm at a member to which each try is dear.
	dialBackoff    = 10 * time.Millisecond
	dialBackoffMax = time.Second
	// restTime is how long a connection rests after an answer. What comes in that time belongs to no request
	// (a second copy of the answer, noise behind it) and ends the connection before it could be taken for the
	// next one's answer. It should catch whatever a member sends unasked, and costs a connection its use for
	// so long; unasked bytes that come later than this, with the next request already sent, get through.
	restTime = time.Millisecond
	// stallTime is how long an answer may pause once it has begun. It ends answers that stop in the middle
	// long before the attempt's own time is up, and would harm a member that pauses so long inside one.
	stallTime = 250 * time.Millisecond
	// holdTime is how long the last byte of a write to an origin is held back if it must not run twice. A
	// connection that the member, or anything in between, has dropped or drops over what is sent says so once
	// something is written to it; until its last byte is out a request has surely not run, and can be sent again.
	// It should exceed a round trip; beyond that it only makes such writes late, and would do harm at a member
	// that has few places and gives one away with the head.
	holdTime = 2 * time.Millisecond
	// maxInterim is how many 1xx answers may come ahead of one that counts.
	maxInterim = 16
	// warmShare is the part of a connection's idle time after which the last one to a cache is used for a
	// PING, so that the cache does not close it; warmTime is how long one may take to answer it.
	warmShare  = 60
	warmTime   = time.Second
	originHead = 64 << 10 // bytes that an origin may send beside its value
)

var (
	errStray = errors.New("bytes that no request asked for")
	errCut   = errors.New("answer cut short")
)

// member is what this package knows of a member: its address and the connections to it.
type member struct {
	id         logic.MemberID
	listed     discovery.Member // as the list has it
	addr       string
	origin     bool
	state      logic.State
	started    time.Duration
	conns      []*upstream // used last stands last
	dials      int
	warming    bool          // a dial is out that no attempt asked for
	turn       time.Duration // how long a connection is taken for a request lately; 0: not known
	queued     bool          // in dialQueue
	waiting    []*attempt
	awaitsRest bool // it is in rested
	// clean answers since the last that was spoilt, and how many are asked for before requests travel together
	clean, cleanNeed int
	backoff          time.Duration // the last one, doubled with each dial in a row that failed
	full             time.Duration // no dials until then, while there are connections
}

// upstream is a connection to a member. It carries one request at a time as long as there are connections enough: a
// cache that answers in order lets a quick answer wait for a slow one, closes on what it can't read whatever else waits,
// and bytes that nobody asked for can't be told from the answer to a request that crossed them. Where there are not,
// reads are written behind others at a cache that is quick and has kept its answers clean (join, docs/connections.md).
type upstream struct {
	p       *Proxy
	m       *member
	conn    *net.TCPConn
	w       *writer
	origin  bool          // as the member was when it connected: the reader must not look at the member unlocked
	current *attempt      // sent and not yet answered
	behind  []*attempt    // sent after it, and answered after it
	headAt  time.Duration // when current's turn came
	last    uint64        // a hash of the value answered last, while others were behind; 0: none
	alone   bool          // it carries a write
	tail    []byte        // the key asked for last: the next must be another, or a second copy could not be told from its answer
	used    time.Duration
	idle    int           // the span of idle time that the request on it found it in; below 0: the connection was new
	kept    bool          // it has carried an answer
	pinged  bool          // a PING is out, and nothing else may be sent
	restEnd time.Duration // when it may carry the next request
	limited bool          // a deadline is set for the rest of an answer; the reader's own
	slow    bool          // a long value is read, at its client's pace; the reader's own
	first   bool          // the first read of an answer, which finds something at once; the reader's own
	retired bool          // nothing new is sent
	closed  bool

	// peek is the reader's, and saw what it found; glance is under the lock. Closures made anew for each look would be
	// garbage.
	peek    func(fd uintptr) bool
	saw     int
	glance  func(fd uintptr)
	glanced int
}

// update takes a list entry.
func (p *Proxy) update(e logic.Member, listed discovery.Member) {
	addr := listed.HostPort
	m := p.members[e.ID]
	if m == nil {
		if e.State == logic.Gone {
			return
		}
		m = &member{id: e.ID, addr: addr, started: e.StartedAt}
		p.members[e.ID] = m
	}
	m.origin = e.Kind == p.cfg.Settings.OriginKind && p.cfg.Settings.Mode == logic.Aside
	m.listed = listed
	moved := m.addr != addr || m.started != e.StartedAt
	m.addr, m.started, m.state = addr, e.StartedAt, e.State
	if moved || e.State != logic.Ready {
		p.retire(m)
	}
}

// retire lets the connections to a member end with what is out on them. Attempts that still wait for one
// have not been sent, and must not be once the member drains.
func (p *Proxy) retire(m *member) {
	for _, u := range slices.Clone(m.conns) {
		u.retire()
	}
	if m.state != logic.Ready {
		for _, a := range m.waiting {
			p.end(a, logic.StatusConnectFailed, 0)
		}
		m.waiting = nil
	}
	p.dial(m) // for those that wait for a dial to the old address
}

// retire takes a connection out of use and closes it once nothing is awaited on it.
func (u *upstream) retire() {
	u.retired = true
	if (u.current == nil || u.current.ended) && len(u.behind) == 0 {
		u.close()
	}
}

// close ends a connection and gives up its place; its reader finds out.
func (u *upstream) close() {
	if u.closed {
		return
	}
	u.closed, u.retired = true, true
	if i := slices.Index(u.m.conns, u); i >= 0 {
		u.m.conns = slices.Delete(u.m.conns, i, i+1)
	}
	u.p.upstreams--
	u.w.drop()
	u.conn.Close()
}

// maxConns is the most connections to a member.
func (p *Proxy) maxConns(m *member) int {
	if m.origin {
		return min(originSockets, max(4, p.cfg.Sockets*originShare/100))
	}
	return min(cacheSockets, max(1, nodeSockets/max(1, p.cfg.Settings.Instances)))
}

// dispatch sends an attempt on a connection that is free, or has it wait for one.
func (p *Proxy) dispatch(m *member, a *attempt) {
	if u := p.pick(m, a); u != nil {
		u.start(a)
		return
	}
	// A long line here would be load that the Balancer takes for the member's own. It is told at once that
	// there is no more room, and can send elsewhere.
	more := len(m.conns)+m.dials < p.maxConns(m) && (len(m.conns) == 0 || p.now >= m.full)
	if u := p.join(m, a); u != nil && !more {
		u.start(a)
		return
	}
	if !m.origin && !more && len(m.waiting) >= m.dials+waitingRoom && !p.mayWait(m, a) {
		p.end(a, logic.StatusNoConn, 0)
		return
	}
	m.wait(a)
	p.awaitRest(m)
	p.schedule(due{at: p.now + p.cfg.Settings.ConnectTimeout, attempt: a, connect: true})
	p.dial(m)
}

const (
	// cleanFirst is how many clean answers a cache gives before anything is written behind a request to it; each answer
	// that it spoils doubles that, up to cleanMost.
	cleanFirst = 32
	cleanMost  = 8192
	// slowHead is how long the request in front may be out at the most before nothing more is written behind it. It
	// should exceed a quick answer, and harms where all answers take longer: there, one request travels at a time.
	slowHead = 5 * time.Millisecond
)

// join finds the connection to a cache behind whose requests a read waits least; nil, if it should not. What is written
// behind others shares their fate, so it has to be a read, which may be sent again, and the cache quick and clean.
func (p *Proxy) join(m *member, a *attempt) *upstream {
	if m.origin || a.req.Write || p.now < p.alone || p.once(a.req) || p.cfg.Multiplex < 2 || m.clean < max(cleanFirst, m.cleanNeed) {
		return nil
	}
	var best *upstream
	for _, u := range m.conns {
		if u.retired || u.w.failed || u.w.busy || u.pinged || !u.kept || u.current == nil || u.alone ||
			1+len(u.behind) >= p.cfg.Multiplex || p.now-u.headAt > p.slowHead || bytes.Equal(u.tail, a.req.Key) {
			continue
		}
		if best == nil || len(u.behind) < len(best.behind) {
			best = u
		}
	}
	return best
}

// spoilt notes that a member's answer could not be read, or more came than was asked for.
func (m *member) spoilt() {
	m.clean, m.cleanNeed = 0, min(max(cleanFirst, 2*m.cleanNeed), cleanMost)
}

// mayWait tells whether an attempt has a short wait for a connection to a cache ahead of it.
func (p *Proxy) mayWait(m *member, a *attempt) bool {
	soon := len(m.conns) + m.dials
	if m.turn == 0 || soon == 0 {
		return false
	}
	if m.dials == 0 {
		latest := m.conns[0].used
		for _, u := range m.conns {
			latest = max(latest, u.used)
		}
		if p.now-latest > max(stuckLeast, stuckTurns*m.turn) {
			return false
		}
	}
	wait := m.turn * time.Duration(len(m.waiting)+1) / time.Duration(soon)
	return wait <= min((a.until-p.now)/waitShare, p.cfg.Settings.ConnectTimeout/2)
}

// wait puts an attempt in line, those whose time ends first in front.
func (m *member) wait(a *attempt) {
	i := len(m.waiting)
	for i > 0 && m.waiting[i-1].until > a.until {
		i--
	}
	m.waiting = slices.Insert(m.waiting, i, a)
}

// pick chooses the free connection used last, so that the others fall idle and close; nil, if there is none.
// One that has stood so long that the member may be closing it, or that is not silent, is not used again.
func (p *Proxy) pick(m *member, a *attempt) *upstream {
	share := time.Duration(idleShare)
	if p.once(a.req) {
		share = freshShare
	}
	for i := len(m.conns) - 1; i >= 0; i-- {
		u := m.conns[i]
		switch {
		case u.retired || u.w.failed || u.w.busy || u.current != nil || u.pinged || p.now < u.restEnd:
		case p.now-u.used >= p.idle.limit && u.kept || p.now-u.used >= p.cfg.ConnIdle*idleShare/100 || !u.silent():
			u.retire()
		case p.now-u.used < p.cfg.ConnIdle*share/100:
			return u
		case len(m.conns)+m.dials >= p.maxConns(m):
			u.close() // a fresh one takes its place
		}
	}
	return nil
}

// once tells whether a request must never run twice.
func (p *Proxy) once(r *Request) bool { return r.effect == logic.Once }

// dial opens connections for those that wait, within the bounds.
func (p *Proxy) dial(m *member) {
	most := p.maxConns(m)
	if len(m.conns) > 0 && p.now < m.full {
		return
	}
	for m.state == logic.Ready && m.dials < len(m.waiting) && len(m.conns)+m.dials < most {
		if p.dialling >= maxDials || p.sockets() >= p.cfg.Sockets-spareSockets/2 && !p.makeRoom() {
			if !m.queued {
				m.queued = true
				p.dialQueue = append(p.dialQueue, m)
			}
			return
		}
		m.dials++
		p.dialling++
		p.upstreams++
		go p.connect(m, m.addr, m.started, false)
	}
}

// warm keeps a connection to each cache open and used. The first request on a connection waits for what a
// handshake takes, several round trips; sent to another zone it can time out by that alone, which closes the
// connection and makes the next one wait as long, so that a healthy cache looks slow for good. A PING takes
// that wait in a request's place. It costs each cache a little work every few seconds, so where proxies are
// many, or members more than there are descriptors for, it is left out.
func (p *Proxy) warm(m *member) {
	s := &p.cfg.Settings
	if p.idle.limit < p.cfg.ConnIdle*warmShare/100 { // it would not last
		return
	}
	if !s.CanProbe || m.origin || m.state != logic.Ready || m.warming ||
		2*max(1, s.Instances) > nodeSockets || len(p.members) > p.cfg.Sockets/8 {
		return
	}
	if len(m.conns) == 1 {
		if u := m.conns[0]; u.current == nil && !u.pinged && !u.retired && !u.w.busy &&
			p.now-u.used >= p.cfg.ConnIdle*warmShare/100 {
			u.ping()
		}
	}
	if len(m.conns)+m.dials == 0 && p.now >= m.full && p.dialling < maxDials/2 &&
		p.sockets() < p.cfg.Sockets-spareSockets {
		m.warming = true
		m.dials++
		p.dialling++
		p.upstreams++
		go p.connect(m, m.addr, m.started, true)
	}
}

// ping sends a PING on a connection that is free.
func (u *upstream) ping() {
	u.pinged = true
	u.touch()
	u.w.send([]byte("*1\r\n$4\r\nPING\r\n"), false)
	u.p.schedule(due{at: u.p.now + warmTime, pinged: u, token: uint64(u.used)})
}

// pingLate gives up a connection whose PING has not been answered.
func (p *Proxy) pingLate(u *upstream, sentAt time.Duration) {
	if u.pinged && u.used == sentAt {
		u.close()
		p.dial(u.m)
		p.dialNext()
	}
}

// connect opens a connection and reads its answers until it ends.
func (p *Proxy) connect(m *member, addr string, started time.Duration, warm bool) {
	d := net.Dialer{Timeout: p.cfg.Settings.ConnectTimeout, KeepAlive: -1}
	conn, err := d.DialContext(context.Background(), "tcp", addr)
	var u *upstream
	p.enter()
	m.dials--
	p.dialling--
	if warm {
		m.warming = false
	}
	if err == nil {
		u, err = p.newUpstream(m, conn.(*net.TCPConn))
	}
	switch {
	case err != nil:
		p.upstreams--
		p.dialFailed(m, err)
	case m.state != logic.Ready || addr != m.addr || started != m.started:
		u.retire() // the list has changed meanwhile
	default:
		m.backoff, m.full = 0, 0
		m.conns = append(m.conns, u)
		if p.serveWaiting(m); warm && u.current == nil {
			u.ping()
		}
	}
	p.dial(m)
	p.dialNext()
	p.leave()
	if u == nil {
		if conn != nil {
			conn.Close()
		}
		return
	}
	u.fail(u.serve())
}

func (p *Proxy) newUpstream(m *member, conn *net.TCPConn) (*upstream, error) {
	w, err := newWriter(p, conn)
	if err != nil {
		return nil, err
	}
	u := &upstream{p: p, m: m, origin: m.origin, conn: conn, w: w, used: p.now}
	u.peek = func(fd uintptr) bool {
		u.saw = peek(fd)
		return u.saw != peekNothing
	}
	u.glance = func(fd uintptr) { u.glanced = peek(fd) }
	return u, nil
}

// dialFailed ends the attempt that has waited longest, unless the connections that stand will take it: a cache
// that is up but holds all the connections it will goes on answering on the open ones. Refused at once, it is
// tried once more, since that has taken no time.
func (p *Proxy) dialFailed(m *member, err error) {
	if p.now >= m.full { // dials that fail together count once
		m.backoff = min(max(dialBackoff, 2*m.backoff), dialBackoffMax)
		m.full = p.now + m.backoff
		p.schedule(due{at: m.full, dial: m})
	}
	p.serveWaiting(m)
	if len(m.waiting) > 0 && len(m.conns) == 0 {
		a := m.waiting[0]
		if slow := net.Error(nil); !a.again && !(errors.As(err, &slow) && slow.Timeout()) {
			a.again = true
			return
		}
		m.waiting = m.waiting[1:]
		p.end(a, logic.StatusConnectFailed, 0)
	}
}

// dialNext lets the next member dial that had to wait for others' dials.
func (p *Proxy) dialNext() {
	for len(p.dialQueue) > 0 && p.dialling < maxDials {
		m := p.dialQueue[0]
		p.dialQueue = p.dialQueue[1:]
		m.queued = false
		p.dial(m)
		if m.queued {
			return
		}
	}
}

// serveWaiting sends those that wait, as far as there are connections.
func (p *Proxy) serveWaiting(m *member) {
	for len(m.waiting) > 0 && m.state == logic.Ready {
		a := m.waiting[0]
		if !a.ended {
			u := p.pick(m, a)
			if u == nil {
				u = p.join(m, a)
			}
			if u == nil {
				return
			}
			u.start(a)
		}
		m.waiting = m.waiting[1:]
	}
}

// connectTimeout ends an attempt that has found no connection in time. Where connections stand, they are all
// busy: it is the pool that is short, and the member is neither full nor out of reach.
func (p *Proxy) connectTimeout(a *attempt) {
	if a.conn != nil || a.ended {
		return
	}
	p.unqueue(a)
	p.end(a, p.unconnected(a), 0)
}

// unconnected is the outcome of an attempt that has waited for a connection in vain.
func (p *Proxy) unconnected(a *attempt) logic.Status {
	if m := p.members[a.to]; m != nil && len(m.conns) > 0 {
		return logic.StatusNoConn
	}
	return logic.StatusConnectFailed
}

func (p *Proxy) unqueue(a *attempt) {
	if m := p.members[a.to]; m != nil {
		if i := slices.Index(m.waiting, a); i >= 0 {
			m.waiting = slices.Delete(m.waiting, i, i+1)
		}
	}
}

// start writes an attempt. The caller has made sure, under the same lock, that the member is ready.
func (u *upstream) start(a *attempt) {
	p := u.p
	a.conn, a.began = u, p.now
	if u.current != nil {
		u.behind = append(u.behind, a)
		u.tail = append(u.tail[:0], a.req.Key...)
	} else {
		u.current, u.headAt, u.alone = a, p.now, a.req.Write
		u.tail = append(u.tail[:0], a.req.Key...)
		if u.idle = -1; u.kept {
			u.idle = p.idle.class(p.now - u.used)
			p.idle.used[u.idle]++
		}
		u.touch()
	}
	b := p.scratch[:0]
	if u.m.origin {
		b = appendHTTP(b, a.req, u.m.addr)
	} else {
		b = a.req.appendCommand(b, a.until-p.now)
	}
	p.scratch = b[:0]
	u.w.send(b, false)
	if a.req.Write {
		hold := 0
		if u.m.origin && p.once(a.req) && len(a.req.Value) > 0 {
			hold = 1
			p.schedule(due{at: p.now + p.hold, attempt: a, held: true})
		}
		u.w.sendCounted(a.req.Value[:len(a.req.Value)-hold])
		a.end = u.w.taken + int64(hold)
		if u.m.origin {
			return
		}
		u.w.send([]byte("\r\n"), true)
	}
	a.end = u.w.taken
}

// release writes the byte that start has held back, if the connection still stands; else its reader tells that
// the attempt never ran.
func (p *Proxy) release(a *attempt) {
	if u := a.conn; !a.ended && !u.closed && !u.w.failed && u.silent() {
		u.w.send(a.req.Value[len(a.req.Value)-1:], true)
	}
}

// touch makes the connection the one used last.
func (u *upstream) touch() {
	u.used = u.p.now
	if c := u.m.conns; len(c) > 0 && c[len(c)-1] != u {
		if i := slices.Index(c, u); i >= 0 {
			copy(c[i:], c[i+1:])
			c[len(c)-1] = u
		}
	}
}

// unsent tells whether an attempt's last byte is still here and surely won't go out.
func (u *upstream) unsent(a *attempt) bool { return a.end > u.w.begun }

// abandon stops waiting for an attempt, by closing its connection: until then the attempt is out, and a
// further one would be a second copy.
func (p *Proxy) abandon(a *attempt, s logic.Status) {
	if a.carried {
		if s == logic.StatusTimeout && !a.given {
			s = logic.StatusConnectFailed
		}
		p.end(a, s, 0)
		return
	}
	u := a.conn
	if u != nil && u.current != a && u.current != nil && u.current.passing && s == logic.StatusTimeout && p.now < a.req.deadline {
		// Its answer stands behind a long one, which must not be cut off. Until the connection ends it is out, so it waits.
		a.until = min(a.req.deadline, p.now+passLook)
		p.schedule(due{at: a.until, attempt: a})
		return
	}
	if u == nil {
		p.unqueue(a)
		if s == logic.StatusTimeout { // it was never sent
			s = p.unconnected(a)
		}
		p.end(a, s, 0)
		return
	}
	switch {
	case u.unsent(a):
		s = logic.StatusConnectFailed
	case a != u.current: // its turn had not come: that tells of those in front
		s = logic.StatusCancelled
	}
	p.end(a, s, 0)
	if u.current != a && u.current != nil && u.current.passing {
		return // it is skipped when its answer comes
	}
	if u.current != nil {
		u.overturn(u.current)
	}
	u.overturnBehind()
	u.close()
	p.dial(u.m)
	p.dialNext()
}

// overturn ends an attempt whose connection ends for something that it has no part in, and that tells nothing of its
// member. It is a read, unless it stands alone, and may be sent again.
func (u *upstream) overturn(a *attempt) {
	if u.unsent(a) {
		u.p.end(a, logic.StatusNoConn, 0)
	} else {
		u.p.end(a, logic.StatusCancelled, 0)
	}
}

func (u *upstream) overturnBehind() {
	for _, a := range u.behind {
		u.overturn(a)
	}
	u.behind = nil
}

// again tells whether a value is the one that the connection has just answered another key with, while requests were
// behind that one (requests for the same key never follow one another on a connection). Then it may be a second copy of that answer, which would be taken for the answer to the next request;
// nothing else tells them apart.
func (u *upstream) again(value []byte) bool {
	if u.last == 0 && len(u.behind) == 0 {
		return false
	}
	h := maphash.Bytes(u.p.ids.seed, value) | 1
	same := h == u.last
	if u.last = h; len(u.behind) == 0 {
		u.last = 0
	}
	return same
}

// result gives the attempt its outcome, with the value that the client gets if it was served. The connection
// is not free yet: see rest.
func (u *upstream) result(s logic.Status, note int, value []byte) error {
	p := u.p
	p.enter()
	defer p.leave()
	a := u.current
	if a == nil || a.ended { // given up; the connection is closed
		return nil
	}
	if s == logic.StatusOK && u.again(value) {
		return errStray
	}
	if r := a.req; s == logic.StatusOK && !r.done {
		r.done = true
		r.Taker.Answer(Answer{Kind: Served, Value: value})
	}
	p.end(a, s, note)
	return nil
}

// fail ends a connection and the attempt on it. One whose last byte was not written never ran; else it may have.
func (u *upstream) fail(err error) {
	p := u.p
	p.enter()
	defer p.leave()
	if a := u.current; a != nil && !a.ended {
		if u.idle >= 0 {
			p.idle.broke[u.idle]++
		}
		s := logic.StatusReset
		switch {
		case u.unsent(a):
			s = logic.StatusConnectFailed
		case errors.Is(err, resp.ErrProtocol) || errors.Is(err, errCut) || errors.Is(err, errStray):
			s = logic.StatusError
		}
		p.end(a, s, 0)
	}
	if errors.Is(err, resp.ErrProtocol) || errors.Is(err, errCut) || errors.Is(err, errStray) {
		u.m.spoilt()
	}
	u.overturnBehind()
	u.close()
	p.dial(u.m)
	p.dialNext()
}

// serve reads answers until the connection ends.
func (u *upstream) serve() error {
	next := u.reader()
	buffered := 0
	for {
		if buffered == 0 {
			if err := u.await(); err != nil {
				return err
			}
		}
		var err error
		if buffered, err = next(); err != nil {
			return err
		}
		if err := u.rest(buffered); err != nil {
			return err
		}
	}
}

// reader gives the function that reads one answer and tells how many bytes beyond it have come.
func (u *upstream) reader() func() (int, error) {
	if u.origin {
		limit := &capped{r: u}
		in := bufio.NewReaderSize(limit, upstreamBuffer)
		return func() (int, error) {
			limit.left = originHead + resp.MaxValue
			err := u.readHTTP(in, limit)
			return in.Buffered(), err
		}
	}
	in := resp.NewReader(u, upstreamBuffer)
	return func() (int, error) {
		err := u.readRESP(in)
		return in.Buffered(), err
	}
}

// Read reads within an answer, which must not pause for long.
func (u *upstream) Read(b []byte) (int, error) {
	if u.first {
		u.first = false
	} else {
		u.limited = true
		limit := stallTime
		if u.slow {
			limit = stallLimit
		}
		u.conn.SetReadDeadline(time.Now().Add(limit))
	}
	n, err := u.conn.Read(b)
	if n == 0 && err != nil {
		err = fmt.Errorf("%w: %w", errCut, err)
	}
	return n, err
}

// await waits until something can be read, without reading it: as long as it is in the kernel, pick sees it.
// What comes while no request is out is not an answer.
func (u *upstream) await() error {
	if u.limited {
		u.limited = false
		u.conn.SetReadDeadline(time.Time{})
	}
	if err := u.w.raw.Read(u.peek); err != nil {
		return err
	}
	u.first = true
	u.p.mu.Lock()
	defer u.p.mu.Unlock()
	switch {
	case u.saw == peekEnd:
		return io.EOF
	case u.current == nil && !u.pinged:
		return errStray
	}
	return nil
}

// rest lets a connection be used again after an answer, once it has been silent for a while: what comes from now on
// finds no request on it, and ends it.
// Where requests are behind the one answered, the next one's turn has come, and what comes is its answer.
func (u *upstream) rest(buffered int) error {
	p := u.p
	p.enter()
	defer p.leave()
	if u.closed {
		return net.ErrClosed
	}
	if u.current != nil && !u.current.passing {
		u.m.turn += (p.now - u.headAt - u.m.turn) / turnOf
		u.m.clean = min(u.m.clean+1, cleanMost)
	}
	if len(u.behind) > 0 {
		u.current = u.behind[0]
		u.behind = slices.Delete(u.behind, 0, 1)
		u.current.began, u.headAt, u.used, u.kept = p.now, p.now, p.now, true
		p.serveWaiting(u.m)
		return nil
	}
	switch {
	case buffered > 0:
		return errStray
	case u.retired:
		return io.EOF
	}
	u.current, u.pinged, u.used = nil, false, p.now
	u.kept = true
	u.restEnd = p.now + restTime
	p.awaitRest(u.m)
	return nil
}

// awaitRest has those that wait at a member served once a connection has rested. Rests that end close together share a
// wake-up.
func (p *Proxy) awaitRest(m *member) {
	if len(m.waiting) == 0 || m.awaitsRest {
		return
	}
	wake := p.now + restTime
	for _, u := range m.conns {
		if p.now < u.restEnd {
			wake = min(wake, u.restEnd)
		}
	}
	wake = max(wake, p.now+restTime/4)
	m.awaitsRest = true
	if p.rested = append(p.rested, m); len(p.rested) == 1 || wake < p.restAt {
		p.restAt = wake
		p.restTimer.Reset(wake - p.now)
	}
}

// restOver serves those that have waited for a connection to rest.
func (p *Proxy) restOver() {
	p.enter()
	defer p.leave()
	rested := p.rested
	p.rested = p.restedSpare[:0]
	for i, m := range rested {
		rested[i], m.awaitsRest = nil, false
		p.serveWaiting(m)
		for _, u := range m.conns {
			if p.now < u.restEnd {
				p.awaitRest(m)
				break
			}
		}
	}
	p.restedSpare = rested[:0]
}

// silent tells whether nothing has come on the connection, neither bytes nor its end.
func (u *upstream) silent() bool {
	if err := u.w.raw.Control(u.glance); err != nil {
		return false
	}
	return u.glanced == peekNothing
}

// What peek can see.
const (
	peekNothing = iota
	peekBytes
	peekEnd
)

// peek looks at what has come on a socket and leaves it there.
func peek(fd uintptr) int {
	var b [1]byte
	for {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EINTR:
		case err == syscall.EAGAIN:
			return peekNothing
		case err != nil || n == 0:
			return peekEnd
		default:
			return peekBytes
		}
	}
}

// closeIdle closes the connections to a member that have been idle for long enough, before the member does:
// a command that crosses its close would count as one that may have run.
func (p *Proxy) closeIdle(m *member, age time.Duration) (closed int) {
	for _, u := range slices.Clone(m.conns) {
		if u.current == nil && !u.pinged && p.now-u.used >= age {
			u.close()
			closed++
		}
	}
	return closed
}
