// Package upstream exchanges messages with members: the host gives it a request for a member with a time
// limit, and receives exactly one outcome. It handles the connections, their protocols (Codec) and their
// faults; package pool decides which connection carries which request.
//
// It never chooses a member and never repeats a request by itself, and it reports for each exchange
// whether it can have run. Its state is guarded by the host's lock, under which it never blocks.
//
// It manages connections itself instead of using a pooled Redis client or http.Transport. Those repeat
// requests by themselves, probe with commands of their own, and don't report whether a request's last
// byte was written, which separates an attempt that never ran from one that may have.
package upstream

import (
	"net"
	"sync"
	"time"

	"linenloom/internal/pool"
	"linenloom/internal/resp"
	"linenloom/internal/sender"
	"linenloom/logic"
)

// Exchange is one sending of a message to a member. The host fills in the exported fields, and keeps it
// until it has ended.
type Exchange struct {
	pool.Request
	Message *Message // nil once the host no longer needs it
	Client  Client

	member         *Member
	conn           *Conn         // nil while it waits for a connection
	endOffset      int64         // offset of its end in the bytes that the connection sends
	held           []byte        // its last bytes, while they are held back; see holdsEnd
	transitUntil   time.Duration // it may be in transit until then although it was abandoned; 0: it is not
	streamingSince time.Duration // when streaming of its value began; 0: it has not
}

// Message is a request to a member. It must not change while an exchange uses it.
type Message struct {
	Write bool
	// Key, the request id and the list of attributes, as members receive them.
	Key, ReqID, Attrs []byte
	Value             []byte // value of a write
}

// Client receives the outcome of an exchange, under the host's lock.
type Client interface {
	// Served delivers the value of a successful answer, which is valid during the call only; Done
	// follows.
	Served(value []byte)
	// StreamValue announces a long value of n bytes and returns the stream that receives it; nil: there
	// is no receiver, and the exchange has ended.
	StreamValue(n int) ValueStream
	// Deadline is the client's deadline, until which streaming a value may take.
	Deadline() time.Duration
	// AnswerBy is the latest time at which the client is answered: what a member sends later is of no use
	// to it.
	AnswerBy() time.Duration
	// Done reports the single outcome of the exchange. It has to set Ended.
	Done(s logic.Status, note int)
}

// ValueStream receives a long value piece by piece, as it arrives from a member. The calls come in this
// order, from a goroutine of their own without the host's lock, and may block until the client has
// received the previous pieces. After a call has returned an error no further call is made.
type ValueStream interface {
	// Begin begins a value of n bytes.
	Begin(n int) error
	// WritePiece sends the next piece, which may be reused once the call returns.
	WritePiece(piece []byte) error
	// Finish ends the value, which then is the request's answer.
	Finish() error
	// Abort ends a value that can't be completed, in such a way that the client can tell.
	Abort()
}

// Host is the environment of the exchanges. Enter begins an event; Lock only gives access to the state.
type Host interface {
	sender.Host
	sync.Locker
	Now() time.Duration            // time of the event
	Clock() time.Duration          // current time: the event may have begun some time ago
	Do(f func())                   // calls f under the lock, as one event
	ScheduleTimer(d Timer)         // calls HandleTimer with the timer when it is due
	ScheduleWake(at time.Duration) // calls Wake at that time; the latest call replaces earlier ones
	ReportStray(m *Member, s Stray)
	HasDescriptor(evict bool) bool // reports whether a descriptor is available; evict: one may be freed for it
	// ReserveLongValue requests n bytes of the memory for long values, waiting until a time at most.
	ReserveLongValue(n int, until time.Duration) Reservation
}

// Reservation is a reservation of memory for a long value. Only ReleaseLocked may be called under the
// lock.
type Reservation interface {
	Wait() bool     // waits for the memory; false: the time has passed, and the reservation is void
	Shrink(n int)   // reduces the reservation to n bytes
	Release()       // returns the memory
	ReleaseLocked() // Release, under the lock
}

// Timer is an action at a given time. Timers are not cancelled; one that is no longer needed does
// nothing.
type Timer struct {
	At         time.Duration
	kind       uint8
	exchange   *Exchange
	conn       *Conn
	member     *Member
	pingSentAt time.Duration
}

const (
	timerExpiry  = iota // the exchange's time is over
	timerConnect        // its wait for a connection is over
	timerHeldEnd        // its last bytes, which are held back, may be due
	timerPing           // the answer to a ping is overdue
	timerRedial         // the backoff after a failed dial is over
)

// Member holds the connections to a member; the host embeds it in its own record of the member.
type Member = pool.Member[*Exchange]

// Set holds the exchanges and connections of a proxy.
type Set struct {
	*pool.Pool[*Exchange]
	host           Host
	connectTimeout time.Duration
	lastByteDelay  time.Duration // see the constant
	scratch        []byte
	buffers        sync.Pool
	readers        sync.Pool // readers of connections to caches
	dialer         func(addr string, within time.Duration) (net.Conn, error)
	lastConn       uint64        // number of the latest connection
	strays         uint64        // times that bytes arrived that no request asked for
	corking        bool          // reads wait for Uncork
	corkedConns    []*Conn       // connections with reads that wait
	corkedSince    time.Duration // when the first of them was corked
}

// New returns a Set without connections.
func New(cfg pool.Config, host Host) *Set {
	s := &Set{host: host, connectTimeout: cfg.ConnectTimeout, lastByteDelay: lastByteDelay,
		dialer: dialTCP}
	s.buffers.New = func() any { return new([]byte) }
	s.readers.New = func() any { return resp.NewReader(nil, readBuffer) }
	s.Pool = pool.New(cfg, actions{s})
	return s
}

// SetLastByteDelay changes how long the last byte of a write is held back, for tests.
func (s *Set) SetLastByteDelay(d time.Duration) { s.lastByteDelay = d }

// MinDeadline is the shortest deadline that is announced to a member. An exchange with less time left is
// not sent.
const MinDeadline = time.Millisecond

// Exchange sends a message to a member that is ready. The outcome, including a timeout, is reported to
// its Client.
func (s *Set) Exchange(m *Member, x *Exchange) {
	x.member, x.endOffset = m, -1
	s.host.ScheduleTimer(Timer{At: x.ExpiresAt, kind: timerExpiry, exchange: x})
	s.Submit(m, x)
}

// Key returns the requested key.
func (x *Exchange) Key() []byte { return x.Message.Key }

// Fresh reports whether the exchange was the first on its connection, and so waited for a handshake.
func (x *Exchange) Fresh() bool { return x.conn != nil && x.conn.Fresh() }

// Sent reports whether the exchange has been given a connection.
func (x *Exchange) Sent() bool { return x.conn != nil }

// StreamingSince returns when streaming of its value began; 0: it has not.
func (x *Exchange) StreamingSince() (since time.Duration) { return x.streamingSince }

// InTransitUntil returns until when an exchange that has ended may still be in transit to its member, and
// arrive there as a new request; 0: it is not in transit.
func (x *Exchange) InTransitUntil() time.Duration { return x.transitUntil }

// Recall withdraws an exchange whose result is no longer needed, if its last byte has not been sent: it
// then never runs, and ends as if it had not found a connection. An exchange that may have been sent
// completes by itself.
func (s *Set) Recall(x *Exchange) {
	switch c := x.conn; {
	case x.Ended:
	case c == nil:
		x.member.RemoveWaiting(x)
		x.complete(logic.StatusNoConn, 0)
	// A long value of another exchange on the connection is not cut off.
	case c.unsent(x) && (c.Current == x || c.Current.streamingSince == 0):
		s.withdraw(x)
	}
}

// withdraw ends an exchange whose last byte has not been sent by closing its connection: it never runs.
func (s *Set) withdraw(x *Exchange) {
	x.complete(logic.StatusNoConn, 0)
	s.closeAndCancel(x.conn)
}

// CloseMember closes all connections to a member, in whatever state.
func (s *Set) CloseMember(m *Member) {
	for len(m.Conns) > 0 {
		s.Close(m.Conns[len(m.Conns)-1])
	}
}

// HandleTimer performs the action of a timer that is due.
func (s *Set) HandleTimer(timer Timer) {
	switch timer.kind {
	case timerPing:
		s.PingTimedOut(&timer.conn.Conn, timer.pingSentAt)
	case timerRedial:
		s.Redial(timer.member)
	case timerHeldEnd:
		s.sendHeldEnd(timer.exchange)
	case timerConnect:
		if timer.exchange.conn == nil && !timer.exchange.Ended {
			s.ConnectTimedOut(timer.exchange.member, timer.exchange)
		}
	case timerExpiry:
		switch {
		case timer.exchange.Ended || timer.exchange.streamingSince != 0:
		case s.host.Now() < timer.exchange.ExpiresAt: // its time was extended
			s.host.ScheduleTimer(Timer{At: timer.exchange.ExpiresAt, kind: timerExpiry, exchange: timer.exchange})
		default:
			s.Abandon(timer.exchange, logic.StatusTimeout)
		}
	}
}

// maxCorkTime is how long corked reads may be held back. Their deadline was fixed when they were encoded.
const maxCorkTime = 5 * time.Millisecond

// Cork holds back reads that are sent to caches until Uncork, within one event under the lock, so that
// those on the same connection are written together.
func (s *Set) Cork() { s.corking = true }

// Uncork writes the reads that were held back.
func (s *Set) Uncork() {
	s.corking = false
	s.flushCorked()
}

// cork holds back the writes of a connection, and first flushes those that have been held back for too
// long.
func (s *Set) cork(c *Conn, now time.Duration) {
	if len(s.corkedConns) > 0 && now-s.corkedSince > maxCorkTime {
		s.flushCorked()
	}
	if len(s.corkedConns) == 0 {
		s.corkedSince = now
	}
	c.sender.Cork()
	s.corkedConns = append(s.corkedConns, c)
}

func (s *Set) flushCorked() {
	for i, c := range s.corkedConns {
		c.sender.Uncork()
		c.lastWriteAt = s.host.Clock()
		s.corkedConns[i] = nil
	}
	s.corkedConns = s.corkedConns[:0]
}

// verdictStatus returns the status of a request that got no connection.
func verdictStatus(v pool.Verdict) logic.Status {
	if v == pool.LocalShortage {
		return logic.StatusNoConn
	}
	return logic.StatusConnectFailed
}

// actions carries out the pool's decisions.
type actions struct{ set *Set }

var _ pool.Actions[*Exchange] = actions{}

func (a actions) Dial(m *Member, prewarm bool) { go a.set.dial(m, m.Addr, m.Epoch, prewarm) }

func (a actions) Reject(x *Exchange, v pool.Verdict) { x.complete(verdictStatus(v), 0) }

func (a actions) Expired(x *Exchange) bool {
	now := a.set.host.Clock()
	return x.ExpiresAt-now < MinDeadline || x.TooLateToStart(now)
}

func (a actions) HasDescriptor(evict bool) bool { return a.set.host.HasDescriptor(evict) }

func (a actions) ScheduleConnectTimeout(x *Exchange, at time.Duration) {
	a.set.host.ScheduleTimer(Timer{At: at, kind: timerConnect, exchange: x})
}

func (a actions) ScheduleRedial(m *Member, at time.Duration) {
	a.set.host.ScheduleTimer(Timer{At: at, kind: timerRedial, member: m})
}

func (a actions) SchedulePingTimeout(c *pool.Conn[*Exchange], at, sent time.Duration) {
	a.set.host.ScheduleTimer(Timer{At: at, kind: timerPing, conn: c.Link.(*Conn), pingSentAt: sent})
}

func (a actions) ScheduleWake(at time.Duration) { a.set.host.ScheduleWake(at) }

// complete reports an exchange's outcome; later outcomes are ignored.
func (x *Exchange) complete(status logic.Status, note int) {
	if !x.Ended {
		x.Client.Done(status, note)
	}
}

// abandon completes an exchange whose connection is closed because of it.
func (x *Exchange) abandon(status logic.Status) {
	if !x.Ended && !x.conn.unsent(x) {
		x.recordTransit()
	}
	x.complete(status, 0)
}

// recordTransit determines until when an abandoned exchange may be in transit. Closing its connection
// doesn't recall what has been sent.
func (x *Exchange) recordTransit() {
	c := x.conn
	written := x.WrittenAt
	switch {
	case written > 0:
	case c.sender.Busy(): // it may be being sent right now
		written = c.set.host.Clock()
	default: // it was sent together with others, or in parts
		written = c.lastWriteAt
	}
	x.transitUntil = written + c.set.Transit(c.Member)
}
