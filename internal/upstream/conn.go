package upstream

import (
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"net"
	"time"

	"linenloom/internal/pool"
	"linenloom/internal/resp"
	"linenloom/internal/sender"
	"linenloom/logic"
)

const (
	readBuffer = 4 << 10
	// stallTime is how long an answer may pause once it has begun. It ends answers that stop in the middle
	// long before the attempt's own time is up, and would harm a member that pauses so long inside one.
	stallTime = 250 * time.Millisecond
	// holdTime is how long the last byte of a write to an origin is held back if it must not run twice. A
	// connection that the member, or anything in between, has dropped or drops over what is sent says so once
	// something is written to it; until its last byte is out a request has surely not run, and can be sent again.
	// It should exceed a round trip; beyond that it only makes such writes late, and would do harm at a member
	// that has few places and gives one away with the head.
	holdTime = 2 * time.Millisecond
	// passLook is how often a read that stands behind a long value is looked at, past its time-out.
	passLook = 100 * time.Millisecond
)

var (
	errStray = errors.New("bytes that no request asked for")
	errCut   = errors.New("answer cut short")
)

// Conn is a connection to a member.
type Conn struct {
	pool.Conn[*Exchange]
	s       *Set
	conn    *net.TCPConn
	w       *sender.Sender
	codec   Codec
	wroteAt time.Duration // when what was sent went out last
	last    uint64        // a hash of the value answered last, while others were behind; 0: none
	limited bool          // a deadline is set for the rest of an answer; the reader's own
	slow    bool          // a long value is read, at its client's pace; the reader's own
	first   bool          // the first read of an answer, which finds something at once; the reader's own
	toEnd   bool          // the answer goes on to the end of the connection; the reader's own
	in      *resp.Reader  // the reader's own, from the Set's; nil: none is

	// peek is the reader's, and saw what it found. A closure made anew for each look would be garbage.
	peek func(fd uintptr) bool
	saw  int
}

var _ pool.Link[*Exchange] = (*Conn)(nil)

func (s *Set) newConn(m *Member, conn *net.TCPConn) (*Conn, error) {
	w, err := sender.New(s.host, conn)
	if err != nil {
		return nil, err
	}
	u := &Conn{s: s, conn: conn, w: w, codec: resp2{}}
	if m.Origin {
		u.codec = http1{}
	}
	u.Member, u.Link = m, u
	w.Idle = func() {
		u.wroteAt = s.host.Clock()
		s.WriteDrained(&u.Conn)
	}
	u.peek = func(fd uintptr) bool {
		u.saw = sender.Peek(fd)
		return u.saw != sender.Nothing
	}
	return u, nil
}

// Writable tells whether nothing waits to be written, and writing hasn't failed.
func (u *Conn) Writable() bool { return !u.w.Busy() && !u.w.Failed() }

// Silent tells whether nothing has come on the connection, neither bytes nor its end.
func (u *Conn) Silent() bool { return u.w.Look() == sender.Nothing }

// Close ends a connection that is out of the pool; its reader finds out.
func (u *Conn) Close() {
	u.w.Drop()
	u.conn.Close()
}

// Ping writes what the member answers at once.
func (u *Conn) Ping() { u.w.Send(u.codec.Ping(), false) }

// Send writes an exchange. The pool has made sure, under the same lock, that the member is ready.
func (u *Conn) Send(x *Exchange) {
	s := u.s
	x.conn = u
	now := s.host.Clock()
	u.allowTransit(x, now)
	corked := s.corking && !x.Write && !u.Member.Origin
	if corked {
		s.cork(u, now)
	}
	b := u.codec.Append(s.scratch[:0], x, u.Member.Addr, u.deadlineFor(x)-now)
	s.scratch = b[:0]
	u.w.Send(b, false)
	if x.Write {
		u.sendValue(x)
	}
	x.end = u.w.Taken() + x.held
	if !corked && !u.w.Busy() && x.held == 0 {
		x.WrittenAt = s.host.Clock()
	}
}

// allowTransit has an exchange waited for until it has surely come at its member, however little of its time is left. Given up sooner, it could
// come after the next attempt of its request, and be a second copy. After AnswerBy there is none.
func (u *Conn) allowTransit(x *Exchange, now time.Duration) {
	transit := u.s.Transit(u.Member)
	if u.Current == x && u.Fresh() {
		transit = u.s.FirstTransit()
	}
	x.ExpiresAt = max(x.ExpiresAt, min(now+transit, x.By.AnswerBy()))
}

// sendValue writes the value of an exchange, but for a last byte that is held back.
func (u *Conn) sendValue(x *Exchange) {
	s := u.s
	if u.codec.Holds() && x.Once && len(x.Msg.Value) > 0 {
		x.held = 1
		s.host.At(Due{At: s.host.Now() + s.once, what: dueHeld, x: x})
	}
	u.w.SendCounted(x.Msg.Value[:len(x.Msg.Value)-int(x.held)])
	if end := u.codec.End(); len(end) > 0 {
		u.w.Send(end, true)
	}
}

// deadlineFor is until when a member is told that it has for an exchange. A cache is told how long it is waited for. What an origin finds is
// stored whether anybody still waits for the attempt or not: it is told how long the client can be answered.
func (u *Conn) deadlineFor(x *Exchange) time.Duration {
	if u.Member.Origin {
		return x.By.AnswerBy()
	}
	return min(x.ExpiresAt, x.By.AnswerBy())
}

// release writes the byte that Send has held back, if the connection still stands; else its reader tells that
// the attempt never ran.
func (s *Set) release(x *Exchange) {
	if u := x.conn; !x.Ended && !u.Closed && !u.w.Failed() && u.Silent() {
		u.w.Send(x.Msg.Value[len(x.Msg.Value)-1:], true)
		u.wroteAt = s.host.Clock()
	}
}

// unsent tells whether an exchange's last byte is still here and surely won't go out.
func (u *Conn) unsent(x *Exchange) bool { return u.w.Unsent(x.end) }

// GiveUp stops waiting for an exchange, by closing its connection: until then it is out, and a
// further one would be a second copy.
func (s *Set) GiveUp(x *Exchange, st logic.Status) {
	u := x.conn
	if u != nil && u.Current != x && u.Current != nil && u.Current.firstAt > 0 && st == logic.StatusTimeout && s.host.Now() < x.By.Deadline() {
		// Its answer stands behind a long one, which must not be cut off. Until the connection ends it is out, so it waits.
		x.ExpiresAt = min(x.By.Deadline(), s.host.Now()+passLook)
		s.host.At(Due{At: x.ExpiresAt, what: dueEnd, x: x})
		return
	}
	if u == nil {
		x.m.RemoveWaiting(x)
		if st == logic.StatusTimeout { // it was never sent
			st = statusFor(pool.NoConnVerdict(x.m))
		}
		x.ended(st, 0)
		return
	}
	switch {
	case u.unsent(x):
		st = logic.StatusConnectFailed
	case x != u.Current: // its turn had not come: that tells of those in front
		st = logic.StatusCancelled
	}
	x.cutShort(st)
	if u.Current != x && u.Current != nil && u.Current.firstAt > 0 {
		return // it is skipped when its answer comes
	}
	s.cutOff(u)
}

// cutOff ends a connection for what is on it or waits to be written to it, and with it the exchanges beside that.
func (s *Set) cutOff(u *Conn) {
	if u.Current != nil {
		u.overturn(u.Current)
	}
	u.overturnBehind()
	s.HandleBroken(&u.Conn)
}

// overturn ends an exchange whose connection ends for something that it has no part in, and that tells nothing of its
// member. It is a read, unless it stands alone, and may be sent again.
func (u *Conn) overturn(x *Exchange) {
	if u.unsent(x) {
		x.ended(logic.StatusNoConn, 0)
	} else {
		x.cutShort(logic.StatusCancelled)
	}
}

func (u *Conn) overturnBehind() {
	for _, x := range u.Pipelined {
		u.overturn(x)
	}
	u.Pipelined = nil
}

// again tells whether a value is the one that the connection has just answered another key with, while requests were
// behind that one (requests for the same key never follow one another on a connection). Then it may be a second copy of that answer, which would be taken for the answer to the next request;
// nothing else tells them apart.
func (u *Conn) again(value []byte) bool {
	if u.last == 0 && len(u.Pipelined) == 0 {
		return false
	}
	h := maphash.Bytes(u.s.seed, value) | 1
	same := h == u.last
	if u.last = h; len(u.Pipelined) == 0 {
		u.last = 0
	}
	return same
}

// result gives the exchange in front its outcome, with the value that the client gets if it was served. The connection
// is not free yet: see rest.
func (u *Conn) result(st logic.Status, note int, value []byte) error {
	u.s.host.Enter()
	defer u.s.host.Leave()
	x := u.Current
	if x == nil || x.Ended { // given up; the connection is closed
		return nil
	}
	u.Refused = st == logic.StatusFull
	if st == logic.StatusOK {
		if u.again(value) {
			return errStray
		}
		x.By.Served(value)
	}
	x.ended(st, note)
	return nil
}

// fail ends a connection and the exchange on it. One whose last byte was not written never ran; else it may have.
func (u *Conn) fail(err error) {
	u.s.host.Enter()
	defer u.s.host.Leave()
	spoilt := errors.Is(err, resp.ErrProtocol) || errors.Is(err, errCut) || errors.Is(err, errStray)
	if x := u.Current; x != nil && !x.Ended {
		u.s.RecordBreak(&u.Conn)
		st := logic.StatusReset
		switch {
		case u.unsent(x):
			st = logic.StatusConnectFailed
		case spoilt: // what has come may have been meant for another
			st = logic.StatusError
			x.leaveTransit()
		}
		x.ended(st, 0)
	}
	if spoilt {
		u.Member.RecordBadAnswer()
	}
	u.overturnBehind()
	u.s.HandleBroken(&u.Conn)
}

// serve reads answers until the connection ends.
func (u *Conn) serve() error {
	next := u.codec.Reader(u)
	defer u.giveBack()
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

// giveBack lets another connection have the buffer that this one was read through. Where caches are many and connections short, buffers
// made anew were most of what a connection leaves behind, and the heap grew by them between collections.
func (u *Conn) giveBack() {
	if u.in != nil {
		u.in.Reset(nil)
		u.s.readers.Put(u.in)
		u.in = nil
	}
}

// Read reads within an answer, which must not pause for long.
func (u *Conn) Read(b []byte) (int, error) {
	if u.first {
		u.first = false
	} else {
		u.limited = true
		limit := stallTime
		if u.slow {
			limit = sender.StallLimit
		}
		u.conn.SetReadDeadline(time.Now().Add(limit))
	}
	n, err := u.conn.Read(b)
	if n == 0 && err != nil && !(u.toEnd && err == io.EOF) {
		err = fmt.Errorf("%w: %w", errCut, err)
	}
	return n, err
}

// await waits until something can be read, without reading it: as long as it is in the kernel, the pool sees it.
// What comes while no request is out is not an answer.
func (u *Conn) await() error {
	if u.limited {
		u.limited = false
		u.conn.SetReadDeadline(time.Time{})
	}
	if err := u.w.Raw().Read(u.peek); err != nil {
		return err
	}
	u.first = true
	u.s.host.Lock()
	defer u.s.host.Unlock()
	switch {
	case u.saw == sender.End:
		return io.EOF
	case !u.Busy():
		return errStray
	}
	return nil
}

// rest lets a connection be used again after an answer, once it has been silent for a while: what comes from now on
// finds no request on it, and ends it. Where others are behind the one answered, the next one's turn has come.
func (u *Conn) rest(buffered int) error {
	u.s.host.Enter()
	defer u.s.host.Leave()
	switch {
	case u.Closed:
		return net.ErrClosed
	case u.s.Answered(&u.Conn, u.Current != nil && u.Current.firstAt == 0):
		return nil
	case buffered > 0:
		return errStray
	case u.Retired:
		return io.EOF
	}
	u.s.Release(&u.Conn)
	return nil
}
