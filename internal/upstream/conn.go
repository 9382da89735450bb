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
	// answerStallTimeout is how long an answer may pause once it has begun. It ends answers that stop in the middle
	// long before the attempt's own time is up, and would harm a member that pauses so long inside one.
	answerStallTimeout = 250 * time.Millisecond
	// lastByteDelay is how long the last byte of a write to an origin is held back if it must not run twice. A
	// connection that the member, or anything in between, has dropped or drops over what is sent says so once
	// something is written to it; until its last byte is out a request has surely not run, and can be sent again.
	// It should exceed a round trip; beyond that it only makes such writes late, and would do harm at a member
	// that has few places and gives one away with the head.
	lastByteDelay = 2 * time.Millisecond
	// longValueRecheck is how often a read that stands behind a long value is looked at, past its time-out.
	longValueRecheck = 100 * time.Millisecond
)

var (
	errUnsolicited = errors.New("bytes that no request asked for")
	errTruncated   = errors.New("answer cut short")
)

// Conn is a connection to a member.
type Conn struct {
	pool.Conn[*Exchange]
	set              *Set
	conn             *net.TCPConn
	sender           *sender.Sender
	codec            Codec
	lastWriteAt      time.Duration // when what was sent went out last
	lastValueHash    uint64        // a hash of the value answered last, while others were behind; 0: none
	readDeadlineSet  bool          // a deadline is set for the rest of an answer; the reader's own
	readingLongValue bool          // a long value is read, at its client's pace; the reader's own
	firstRead        bool          // the first read of an answer, which finds something at once; the reader's own
	untilClose       bool          // the answer goes on to the end of the connection; the reader's own
	respReader       *resp.Reader  // the reader's own, from the Set's; nil: none is

	// peek is the reader's, and saw what it found. A closure made anew for each look would be garbage.
	peek       func(fd uintptr) bool
	peekResult int
}

var _ pool.Link[*Exchange] = (*Conn)(nil)

func (s *Set) newConn(m *Member, conn *net.TCPConn) (*Conn, error) {
	connSender, err := sender.New(s.host, conn)
	if err != nil {
		return nil, err
	}
	u := &Conn{set: s, conn: conn, sender: connSender, codec: resp2{}}
	if m.Origin {
		u.codec = http1{}
	}
	u.Member, u.Link = m, u
	connSender.OnDrained = func() {
		u.lastWriteAt = s.host.Clock()
		s.WriteDrained(&u.Conn)
	}
	u.peek = func(fd uintptr) bool {
		u.peekResult = sender.Peek(fd)
		return u.peekResult != sender.NoData
	}
	return u, nil
}

// Writable tells whether nothing waits to be written, and writing hasn't failed.
func (u *Conn) Writable() bool { return !u.sender.Busy() && !u.sender.Failed() }

// Silent tells whether nothing has come on the connection, neither bytes nor its end.
func (u *Conn) Silent() bool { return u.sender.Peek() == sender.NoData }

// Close ends a connection that is out of the pool; its reader finds out.
func (u *Conn) Close() {
	u.sender.Discard()
	u.conn.Close()
}

// Ping writes what the member answers at once.
func (u *Conn) Ping() { u.sender.Send(u.codec.Ping(), false) }

// Send writes an exchange. The pool has made sure, under the same lock, that the member is ready.
func (u *Conn) Send(x *Exchange) {
	s := u.set
	x.conn = u
	now := s.host.Clock()
	u.allowTransit(x, now)
	corked := s.corking && !x.Write && !u.Member.Origin
	if corked {
		s.cork(u, now)
	}
	b := u.codec.Append(s.scratch[:0], x, u.Member.Addr, u.announcedDeadline(x)-now)
	s.scratch = b[:0]
	u.sender.Send(b, false)
	if x.Write {
		u.sendValue(x)
	}
	x.endOffset = u.sender.Accepted() + x.heldBytes
	if !corked && !u.sender.Busy() && x.heldBytes == 0 {
		x.WrittenAt = s.host.Clock()
	}
}

// allowTransit has an exchange waited for until it has surely come at its member, however little of its time is left. Given up sooner, it could
// come after the next attempt of its request, and be a second copy. After AnswerBy there is none.
func (u *Conn) allowTransit(x *Exchange, now time.Duration) {
	transit := u.set.Transit(u.Member)
	if u.Current == x && u.Fresh() {
		transit = u.set.FirstTransit()
	}
	x.ExpiresAt = max(x.ExpiresAt, min(now+transit, x.Client.AnswerBy()))
}

// sendValue writes the value of an exchange, but for a last byte that is held back.
func (u *Conn) sendValue(x *Exchange) {
	s := u.set
	if u.codec.RunsOnLastByte() && x.Once && len(x.Message.Value) > 0 {
		x.heldBytes = 1
		s.host.ScheduleTimer(Timer{At: s.host.Now() + s.lastByteDelay, kind: timerHeldByte, exchange: x})
	}
	u.sender.SendCounted(x.Message.Value[:len(x.Message.Value)-int(x.heldBytes)])
	if end := u.codec.Trailer(); len(end) > 0 {
		u.sender.Send(end, true)
	}
}

// announcedDeadline is until when a member is told that it has for an exchange. A cache is told how long it is waited for. What an origin finds is
// stored whether anybody still waits for the attempt or not: it is told how long the client can be answered.
func (u *Conn) announcedDeadline(x *Exchange) time.Duration {
	if u.Member.Origin {
		return x.Client.AnswerBy()
	}
	return min(x.ExpiresAt, x.Client.AnswerBy())
}

// sendHeldByte writes the byte that Send has held back, if the connection still stands; else its reader tells that
// the attempt never ran.
func (s *Set) sendHeldByte(x *Exchange) {
	if u := x.conn; !x.Ended && !u.Closed && !u.sender.Failed() && u.Silent() {
		u.sender.Send(x.Message.Value[len(x.Message.Value)-1:], true)
		u.lastWriteAt = s.host.Clock()
	}
}

// unsent tells whether an exchange's last byte is still here and surely won't go out.
func (u *Conn) unsent(x *Exchange) bool { return u.sender.Unsent(x.endOffset) }

// Abandon stops waiting for an exchange, by closing its connection: until then it is out, and a
// further one would be a second copy.
func (s *Set) Abandon(x *Exchange, status logic.Status) {
	u := x.conn
	if u != nil && u.Current != x && u.Current != nil && u.Current.streamingSince > 0 && status == logic.StatusTimeout && s.host.Now() < x.Client.Deadline() {
		// Its answer stands behind a long one, which must not be cut off. Until the connection ends it is out, so it waits.
		x.ExpiresAt = min(x.Client.Deadline(), s.host.Now()+longValueRecheck)
		s.host.ScheduleTimer(Timer{At: x.ExpiresAt, kind: timerExpiry, exchange: x})
		return
	}
	if u == nil {
		x.member.RemoveWaiting(x)
		if status == logic.StatusTimeout { // it was never sent
			status = verdictStatus(pool.NoConnVerdict(x.member))
		}
		x.complete(status, 0)
		return
	}
	switch {
	case u.unsent(x):
		status = logic.StatusConnectFailed
	case x != u.Current: // its turn had not come: that tells of those in front
		status = logic.StatusCancelled
	}
	x.abandon(status)
	if u.Current != x && u.Current != nil && u.Current.streamingSince > 0 {
		return // it is skipped when its answer comes
	}
	s.closeAndCancel(u)
}

// closeAndCancel ends a connection for what is on it or waits to be written to it, and with it the exchanges beside that.
func (s *Set) closeAndCancel(u *Conn) {
	if u.Current != nil {
		u.cancel(u.Current)
	}
	u.cancelPipelined()
	s.HandleBroken(&u.Conn)
}

// cancel ends an exchange whose connection ends for something that it has no part in, and that tells nothing of its
// member. It is a read, unless it stands alone, and may be sent again.
func (u *Conn) cancel(x *Exchange) {
	if u.unsent(x) {
		x.complete(logic.StatusNoConn, 0)
	} else {
		x.abandon(logic.StatusCancelled)
	}
}

func (u *Conn) cancelPipelined() {
	for _, x := range u.Pipelined {
		u.cancel(x)
	}
	u.Pipelined = nil
}

// repeatsLastValue tells whether a value is the one that the connection has just answered another key with, while requests were
// behind that one (requests for the same key never follow one another on a connection). Then it may be a second copy of that answer, which would be taken for the answer to the next request;
// nothing else tells them apart.
func (u *Conn) repeatsLastValue(value []byte) bool {
	if u.lastValueHash == 0 && len(u.Pipelined) == 0 {
		return false
	}
	h := maphash.Bytes(u.set.seed, value) | 1
	same := h == u.lastValueHash
	if u.lastValueHash = h; len(u.Pipelined) == 0 {
		u.lastValueHash = 0
	}
	return same
}

// deliverResult gives the exchange in front its outcome, with the value that the client gets if it was served. The connection
// is not free yet: see rest.
func (u *Conn) deliverResult(status logic.Status, note int, value []byte) error {
	u.set.host.Enter()
	defer u.set.host.Leave()
	x := u.Current
	if x == nil || x.Ended { // given up; the connection is closed
		return nil
	}
	u.Refused = status == logic.StatusFull
	if status == logic.StatusOK {
		if u.repeatsLastValue(value) {
			return errUnsolicited
		}
		x.Client.Served(value)
	}
	x.complete(status, note)
	return nil
}

// fail ends a connection and the exchange on it. One whose last byte was not written never ran; else it may have.
func (u *Conn) fail(err error) {
	u.set.host.Enter()
	defer u.set.host.Leave()
	badAnswer := errors.Is(err, resp.ErrProtocol) || errors.Is(err, errTruncated) || errors.Is(err, errUnsolicited)
	if x := u.Current; x != nil && !x.Ended {
		u.set.RecordBreak(&u.Conn)
		status := logic.StatusReset
		switch {
		case u.unsent(x):
			status = logic.StatusConnectFailed
		case badAnswer: // what has come may have been meant for another
			status = logic.StatusError
			x.recordTransit()
		}
		x.complete(status, 0)
	}
	if badAnswer {
		u.Member.RecordBadAnswer()
	}
	u.cancelPipelined()
	u.set.HandleBroken(&u.Conn)
}

// readAnswers reads answers until the connection ends.
func (u *Conn) readAnswers() error {
	next := u.codec.Reader(u)
	defer u.returnReader()
	buffered := 0
	for {
		if buffered == 0 {
			if err := u.awaitData(); err != nil {
				return err
			}
		}
		var err error
		if buffered, err = next(); err != nil {
			return err
		}
		if err := u.finishAnswer(buffered); err != nil {
			return err
		}
	}
}

// returnReader lets another connection have the buffer that this one was read through. Where caches are many and connections short, buffers
// made anew were most of what a connection leaves behind, and the heap grew by them between collections.
func (u *Conn) returnReader() {
	if u.respReader != nil {
		u.respReader.Reset(nil)
		u.set.readers.Put(u.respReader)
		u.respReader = nil
	}
}

// Read reads within an answer, which must not pause for long.
func (u *Conn) Read(b []byte) (int, error) {
	if u.firstRead {
		u.firstRead = false
	} else {
		u.readDeadlineSet = true
		limit := answerStallTimeout
		if u.readingLongValue {
			limit = sender.StallTimeout
		}
		u.conn.SetReadDeadline(time.Now().Add(limit))
	}
	n, err := u.conn.Read(b)
	if n == 0 && err != nil && !(u.untilClose && err == io.EOF) {
		err = fmt.Errorf("%w: %w", errTruncated, err)
	}
	return n, err
}

// awaitData waits until something can be read, without reading it: as long as it is in the kernel, the pool sees it.
// What comes while no request is out is not an answer.
func (u *Conn) awaitData() error {
	if u.readDeadlineSet {
		u.readDeadlineSet = false
		u.conn.SetReadDeadline(time.Time{})
	}
	if err := u.sender.Raw().Read(u.peek); err != nil {
		return err
	}
	u.firstRead = true
	u.set.host.Lock()
	defer u.set.host.Unlock()
	switch {
	case u.peekResult == sender.EndOfStream:
		return io.EOF
	case !u.Busy():
		return errUnsolicited
	}
	return nil
}

// finishAnswer lets a connection be used again after an answer, once it has been silent for a while: what comes from now on
// finds no request on it, and ends it. Where others are behind the one answered, the next one's turn has come.
func (u *Conn) finishAnswer(buffered int) error {
	u.set.host.Enter()
	defer u.set.host.Leave()
	switch {
	case u.Closed:
		return net.ErrClosed
	case u.set.Answered(&u.Conn, u.Current != nil && u.Current.streamingSince == 0):
		return nil
	case buffered > 0:
		return errUnsolicited
	case u.Retired:
		return io.EOF
	}
	u.set.Release(&u.Conn)
	return nil
}
