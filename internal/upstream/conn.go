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
	// answerStallTimeout is how long an answer may pause once it has begun. It ends answers that stop in
	// the middle long before the attempt's own timeout, and would do harm with a member that pauses for
	// so long within an answer.
	answerStallTimeout = 250 * time.Millisecond
	// lastByteDelay is how long the last byte of a write to an origin is held back if the write must not
	// run twice. If the member, or anything on the path, has dropped the connection or drops it because
	// of what is sent, that shows once something is written to it; until its last byte has been sent a
	// request has certainly not run, and can be sent again. It should exceed a round trip; a longer delay
	// only makes such writes late, and would do harm with a member that has few slots and assigns one on
	// receipt of the header.
	lastByteDelay = 2 * time.Millisecond
	// longValueRecheck is the interval at which a timed-out read that is pipelined behind a long value is
	// checked again.
	longValueRecheck = 100 * time.Millisecond
)

var (
	errUnsolicited = errors.New("unsolicited bytes on the connection")
	errTruncated   = errors.New("answer is truncated")
)

// Conn is a connection to a member.
type Conn struct {
	pool.Conn[*Exchange]
	set              *Set
	conn             *net.TCPConn
	sender           *sender.Sender
	codec            Codec
	lastWriteAt      time.Duration // when the latest bytes were written
	lastValueHash    uint64        // hash of the latest value, while others were pipelined behind it; 0: none
	readDeadlineSet  bool          // a read deadline is set for the rest of an answer; only the reader uses it
	readingLongValue bool          // a long value is being read, at its client's pace; only the reader uses it
	// firstRead marks the first read of an answer, which finds data immediately; only the reader uses it.
	firstRead  bool
	untilClose bool         // the answer extends to the end of the connection; only the reader uses it
	respReader *resp.Reader // from the Set's readers; nil: none in use; only the reader uses it

	// peek checks for received data for the reader and stores the outcome in peekResult. It is stored
	// because a new closure for each check would allocate.
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

// Writable reports whether no write is pending and none has failed.
func (u *Conn) Writable() bool { return !u.sender.Busy() && !u.sender.Failed() }

// Silent reports whether nothing has been received on the connection, neither bytes nor the end of the
// stream.
func (u *Conn) Silent() bool { return u.sender.Peek() == sender.NoData }

// Close closes a connection that has left the pool; its reader notices.
func (u *Conn) Close() {
	u.sender.Discard()
	u.conn.Close()
}

// Ping sends a command that the member answers immediately.
func (u *Conn) Ping() { u.sender.Send(u.codec.Ping(), false) }

// Send writes an exchange. The pool has checked, under the same lock, that the member is ready.
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

// allowTransit extends an exchange's time until it has certainly arrived at its member, however little
// time is left. If it were abandoned sooner, it could arrive after the next attempt of its request and be
// a second copy. After AnswerBy there is no next attempt.
func (u *Conn) allowTransit(x *Exchange, now time.Duration) {
	transit := u.set.Transit(u.Member)
	if u.Current == x && u.Fresh() {
		transit = u.set.FirstTransit()
	}
	x.ExpiresAt = max(x.ExpiresAt, min(now+transit, x.Client.AnswerBy()))
}

// sendValue writes the value of an exchange, except for a last byte that is held back.
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

// announcedDeadline returns the deadline that a member is told for an exchange. A cache is told when the
// attempt is abandoned. What an origin returns is stored even if the attempt is no longer waited for: it
// is told until when the client can be answered.
func (u *Conn) announcedDeadline(x *Exchange) time.Duration {
	if u.Member.Origin {
		return x.Client.AnswerBy()
	}
	return min(x.ExpiresAt, x.Client.AnswerBy())
}

// sendHeldByte writes the byte that Send has held back, if the connection is still alive; otherwise its
// reader reports that the attempt never ran.
func (s *Set) sendHeldByte(x *Exchange) {
	if u := x.conn; !x.Ended && !u.Closed && !u.sender.Failed() && u.Silent() {
		u.sender.Send(x.Message.Value[len(x.Message.Value)-1:], true)
		u.lastWriteAt = s.host.Clock()
	}
}

// unsent reports whether an exchange's last byte has not been handed to the kernel and won't be once the
// connection has failed.
func (u *Conn) unsent(x *Exchange) bool { return u.sender.Unsent(x.endOffset) }

// Abandon stops waiting for an exchange by closing its connection: until then it is in flight, and a
// further attempt would be a second copy.
func (s *Set) Abandon(x *Exchange, status logic.Status) {
	u := x.conn
	if u != nil && u.Current != x && u.Current != nil && u.Current.streamingSince > 0 &&
		status == logic.StatusTimeout && s.host.Now() < x.Client.Deadline() {
		// Its answer follows a long value, which must not be cut off. The exchange is in flight until the
		// connection ends, so it is kept waiting.
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
	case x != u.Current: // its answer was not due yet: the timeout concerns the requests before it
		status = logic.StatusCancelled
	}
	x.abandon(status)
	if u.Current != x && u.Current != nil && u.Current.streamingSince > 0 {
		return // its answer is skipped when it arrives
	}
	s.closeAndCancel(u)
}

// closeAndCancel closes a connection because of one of its exchanges, and cancels the others on it.
func (s *Set) closeAndCancel(u *Conn) {
	if u.Current != nil {
		u.cancel(u.Current)
	}
	u.cancelPipelined()
	s.HandleBroken(&u.Conn)
}

// cancel ends an exchange whose connection is closed for a reason that is neither the exchange's nor the
// member's. Unless it is alone on the connection it is a read, and may be sent again.
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

// repeatsLastValue reports whether a value equals the one with which the connection answered another key,
// while requests were pipelined behind it (consecutive requests on a connection never have the same key).
// It may then be a second copy of that answer, which would be taken for the answer to the next request;
// nothing else distinguishes them.
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

// deliverResult completes the current exchange, with the value for its client if it was served. The
// connection is not free yet: see finishAnswer.
func (u *Conn) deliverResult(status logic.Status, note int, value []byte) error {
	u.set.host.Enter()
	defer u.set.host.Leave()
	x := u.Current
	if x == nil || x.Ended { // abandoned; the connection is closed
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

// fail closes a connection and ends the exchanges on it. If its last byte was not written, an exchange
// never ran; otherwise it may have.
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
		case badAnswer: // what was received may have been meant for another exchange
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

// returnReader makes the reader's buffer available to other connections. With many caches and short-lived
// connections, newly allocated buffers were most of the garbage that a connection leaves behind, and the
// heap grew by them between collections.
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

// awaitData waits for received data without reading it: as long as it is in the kernel, the pool can see
// it. Data that arrives while no request is in flight is not an answer.
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

// finishAnswer makes a connection available again after an answer, following a cooldown: data that
// arrives from now on belongs to no request, and ends the connection. If requests are pipelined, the next
// one becomes current instead.
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
