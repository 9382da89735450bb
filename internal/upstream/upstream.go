// Package upstream makes exchanges with members: a host hands it a request for a member under a time, and hears its one
// outcome. Connections, their protocols (Codec) and what can go wrong on them are its own; which connection carries what
// is package pool's to decide.
//
// It never chooses a member, never sends anything again by itself, and tells of each exchange whether it can have run.
// Its state is guarded by the host's one lock, under which it never waits.
//
// Connections are made here rather than through a pooled Redis client or http.Transport. Those send a request again by
// themselves, probe with commands of their own, and don't tell whether a request's last byte was written, which is what
// separates an attempt that never ran from one that may have.
package upstream

import (
	"hash/maphash"
	"net"
	"sync"
	"time"

	"linenloom/internal/pool"
	"linenloom/internal/resp"
	"linenloom/internal/sender"
	"linenloom/logic"
)

// Exchange is one sending of a message to a member. The host makes it with what is exported, and keeps it until its end.
type Exchange struct {
	pool.Request
	Message *Message // nil once the host is through with it
	Client  Client

	member         *Member
	conn           *Conn         // nil while it waits for one
	endOffset      int64         // place of its last byte in what the connection sends
	heldBytes      int64         // bytes of it that are held back at first
	transitUntil   time.Duration // until then it may be under way though it was given up; 0: it is not
	streamingSince time.Duration // when its value began to be passed on; 0: it is not
}

// Message is what a member is asked. It stays as it is as long as an exchange has it.
type Message struct {
	Write bool
	// Key, the request's id and the list of names and values, as members are told them.
	Key, ReqID, Attrs []byte
	Value             []byte // of a write
}

// Client is who hears of an exchange, under the host's lock.
type Client interface {
	// Served brings the value of a good answer, which is valid during the call only; Done follows.
	Served(value []byte)
	// StreamValue says that a long value of n bytes has begun, and asks who takes it; nil: nobody, and the exchange has ended.
	StreamValue(n int) ValueStream
	// Deadline is its client's, which a value that is passed on may take until.
	Deadline() time.Duration
	// AnswerBy is when its client is answered at the latest: what a member has to say later is of no use to it.
	AnswerBy() time.Duration
	// Done is the exchange's one outcome. It has to set Ended.
	Done(s logic.Status, note int)
}

// ValueStream takes a long value piece by piece, as it comes from a member. The calls come in this order, from
// a goroutine of their own and not under the host's lock, and may block until the client has taken what came before. Once
// one has returned an error, nobody takes anything any more and no further call is made.
type ValueStream interface {
	// Begin begins a value of n bytes.
	Begin(n int) error
	// WritePiece passes on the next piece, which may be used again once it returns.
	WritePiece(piece []byte) error
	// Finish ends the value, which then is the request's answer.
	Finish() error
	// Abort ends a value that can't be finished, so that the client can tell that it is not whole.
	Abort()
}

// Host is what exchanges need of their host. Enter begins an event; Lock only looks.
type Host interface {
	sender.Host
	sync.Locker
	Now() time.Duration            // of the event
	Clock() time.Duration          // right now: the event may have begun a while ago
	Do(f func())                   // under the lock, as one event
	ScheduleTimer(d Timer)         // call Ring with it then
	ScheduleWake(at time.Duration) // call Wake then; the latest call counts
	HasDescriptor(make bool) bool  // there is a descriptor to spare; make: one may be made free for it
	// ReserveLongValue asks for so many bytes of the room for long values, until a time at the most.
	ReserveLongValue(n int, until time.Duration) Reservation
}

// Reservation is a place in the room for long values. None of its methods but Drop may be called under the lock.
type Reservation interface {
	Wait() bool     // until there is room, or the time has passed: then the place is gone
	Shrink(n int)   // what is held is only so much
	Release()       // give it back
	ReleaseLocked() // the same, under the lock
}

// Timer is something to do at a time. None is withdrawn; one that is no longer wanted does nothing.
type Timer struct {
	At         time.Duration
	kind       uint8
	exchange   *Exchange
	conn       *Conn
	member     *Member
	pingSentAt time.Duration
}

const (
	timerExpiry   = iota // of the exchange's time
	timerConnect         // of its wait for a connection
	timerHeldByte        // the rest of it is written
	timerPing            // the answer to a ping
	timerRedial          // the end of the backoff after a dial that failed
)

// Member is a member's connections; the host embeds it in what it knows of the member.
type Member = pool.Member[*Exchange]

// Set is the exchanges and connections of a proxy.
type Set struct {
	*pool.Pool[*Exchange]
	host           Host
	connectTimeout time.Duration // time-out
	lastByteDelay  time.Duration // see lastByteDelay
	scratch        []byte
	buffers        sync.Pool
	readers        sync.Pool // of connections to caches
	seed           maphash.Seed
	dialer         func(addr string, within time.Duration) (net.Conn, error)
	corking        bool          // reads that are sent wait for Uncork
	corkedConns    []*Conn       // on these
	corkedSince    time.Duration // when the first of them was
}

// New makes a Set.
func New(cfg pool.Config, host Host) *Set {
	s := &Set{host: host, connectTimeout: cfg.ConnectTimeout, lastByteDelay: lastByteDelay, seed: maphash.MakeSeed(), dialer: dialTCP}
	s.buffers.New = func() any { return new([]byte) }
	s.readers.New = func() any { return resp.NewReader(nil, readBuffer) }
	s.Pool = pool.New(cfg, actions{s})
	return s
}

// SetLastByteDelay changes how long the last byte of a write is held back, for tests.
func (s *Set) SetLastByteDelay(d time.Duration) { s.lastByteDelay = d }

// MinDeadline is the least that a member is told to have. What has less left is not sent.
const MinDeadline = time.Millisecond

// Exchange sends a message to a member that is ready. Its outcome comes by its Client, for its time's end too.
func (s *Set) Exchange(m *Member, x *Exchange) {
	x.member, x.endOffset = m, -1
	s.host.ScheduleTimer(Timer{At: x.ExpiresAt, kind: timerExpiry, exchange: x})
	s.Submit(m, x)
}

// Key is the key that is asked for.
func (x *Exchange) Key() []byte { return x.Message.Key }

// Fresh tells whether it was the first on its connection, and waited for a handshake.
func (x *Exchange) Fresh() bool { return x.conn != nil && x.conn.Fresh() }

// Sent tells whether it is on a connection, or was.
func (x *Exchange) Sent() bool { return x.conn != nil }

// StreamingSince tells since when its value has been passed on; 0: it is not.
func (x *Exchange) StreamingSince() (since time.Duration) { return x.streamingSince }

// InTransitUntil is until when an exchange that has ended may still be under way to its member, and come there as one that is new; 0: it is not.
func (x *Exchange) InTransitUntil() time.Duration { return x.transitUntil }

// Recall takes back an exchange that nobody waits for any more, if its last byte is still here: it never runs then, and ends as one that
// nobody was asked for. What may be out is left to end by itself.
func (s *Set) Recall(x *Exchange) {
	switch u := x.conn; {
	case x.Ended:
	case u == nil:
		x.member.RemoveWaiting(x)
		x.complete(logic.StatusNoConn, 0)
	case u.unsent(x) && (u.Current == x || u.Current.streamingSince == 0): // another's long value is not cut off for it
		x.complete(logic.StatusNoConn, 0)
		s.closeAndCancel(u)
	}
}

// CloseMember closes the connections to a member, whatever is on them.
func (s *Set) CloseMember(m *Member) {
	for len(m.Conns) > 0 {
		s.Close(m.Conns[len(m.Conns)-1])
	}
}

// HandleTimer does what has fallen due.
func (s *Set) HandleTimer(timer Timer) {
	switch timer.kind {
	case timerPing:
		s.PingTimedOut(&timer.conn.Conn, timer.pingSentAt)
	case timerRedial:
		s.Redial(timer.member)
	case timerHeldByte:
		s.sendHeldByte(timer.exchange)
	case timerConnect:
		if timer.exchange.conn == nil && !timer.exchange.Ended {
			s.ConnectTimedOut(timer.exchange.member, timer.exchange)
		}
	case timerExpiry:
		switch {
		case timer.exchange.Ended || timer.exchange.streamingSince != 0:
		case s.host.Now() < timer.exchange.ExpiresAt: // it was given longer
			s.host.ScheduleTimer(Timer{At: timer.exchange.ExpiresAt, kind: timerExpiry, exchange: timer.exchange})
		default:
			s.Abandon(timer.exchange, logic.StatusTimeout)
		}
	}
}

// maxCorkTime is how long what is corked may be held back. Its deadline was told when it was written.
const maxCorkTime = 5 * time.Millisecond

// Cork holds back reads that are sent to caches until Uncork, in the same event under the lock, so that those on one connection go out
// together.
func (s *Set) Cork() { s.corking = true }

// Uncork sends what was held back.
func (s *Set) Uncork() {
	s.corking = false
	s.flushCorked()
}

// cork has a read on a connection held back, and sends what was held back too long before it.
func (s *Set) cork(u *Conn, now time.Duration) {
	if len(s.corkedConns) > 0 && now-s.corkedSince > maxCorkTime {
		s.flushCorked()
	}
	if len(s.corkedConns) == 0 {
		s.corkedSince = now
	}
	u.sender.Cork()
	s.corkedConns = append(s.corkedConns, u)
}

func (s *Set) flushCorked() {
	for i, u := range s.corkedConns {
		u.sender.Uncork()
		u.lastWriteAt = s.host.Clock()
		s.corkedConns[i] = nil
	}
	s.corkedConns = s.corkedConns[:0]
}

// verdictStatus names why a request got no connection.
func verdictStatus(v pool.Verdict) logic.Status {
	if v == pool.LocalShortage {
		return logic.StatusNoConn
	}
	return logic.StatusConnectFailed
}

// actions carries out what the pool decides.
type actions struct{ set *Set }

var _ pool.Actions[*Exchange] = actions{}

func (a actions) Dial(m *Member, warm bool) { go a.set.dial(m, m.Addr, m.Epoch, warm) }

func (a actions) Reject(x *Exchange, v pool.Verdict) { x.complete(verdictStatus(v), 0) }

func (a actions) Expired(x *Exchange) bool { return x.ExpiresAt-a.set.host.Clock() < MinDeadline }

func (a actions) HasDescriptor(make bool) bool { return a.set.host.HasDescriptor(make) }

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

// complete gives an exchange its outcome; later ones are dropped.
func (x *Exchange) complete(status logic.Status, note int) {
	if !x.Ended {
		x.Client.Done(status, note)
	}
}

// abandon ends an exchange whose connection is given up.
func (x *Exchange) abandon(status logic.Status) {
	if !x.Ended && !x.conn.unsent(x) {
		x.recordTransit()
	}
	x.complete(status, 0)
}

// recordTransit works out until when an exchange that is given up may be under way. The end of its connection doesn't call back what has gone out.
func (x *Exchange) recordTransit() {
	u := x.conn
	written := x.WrittenAt
	switch {
	case written > 0:
	case u.sender.Busy(): // it may be going out right now
		written = u.set.host.Clock()
	default: // it went out with others, or in parts
		written = u.lastWriteAt
	}
	x.transitUntil = written + u.set.Transit(u.Member)
}
