package upstream

import (
	"errors"
	"fmt"
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
	// only makes such writes late, and would do harm with a member that has few workers and assigns one on
	// receipt of the header. The end of a repeat is held back for at least as long, see sendHeldEnd.
	lastByteDelay = 2 * time.Millisecond
	// longValueRecheck is the interval at which a timed-out read that is pipelined behind a long value is
	// checked again.
	longValueRecheck = 100 * time.Millisecond
)

var (
	errUnsolicited = errors.New("unsolicited bytes on the connection")
	errTruncated   = errors.New("answer is truncated")
	// errUnwritten ends a connection on which a request was answered before it was written: whatever is
	// written next would be read as the rest of that request (RFC 9112, sections 9.3 and 9.6).
	errUnwritten = errors.New("answer to a request that is not fully written")
)

// Conn is a connection to a member.
type Conn struct {
	pool.Conn[*Exchange]
	set              *Set
	conn             *net.TCPConn
	sender           *sender.Sender
	codec            Codec
	number           uint64        // counts the connections of the Set, for logs
	firstByteAt      time.Duration // when the first byte of the latest answer arrived; 0: there was none
	lastWriteAt      time.Duration // when the latest bytes were written
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
	s.lastConn++
	c := &Conn{set: s, conn: conn, sender: connSender, codec: resp2{}, number: s.lastConn}
	if m.Origin {
		c.codec = http1{}
	}
	c.Member, c.Link = m, c
	connSender.OnBacklogWritten = func() {
		c.lastWriteAt = s.host.Clock()
		s.BacklogWritten(&c.Conn)
	}
	c.peek = func(fd uintptr) bool {
		c.peekResult = sender.Peek(fd)
		return c.peekResult != sender.NoData
	}
	return c, nil
}

// Writable reports whether no write is pending and none has failed.
func (c *Conn) Writable() bool { return !c.sender.Busy() && !c.sender.Failed() }

// Silent reports whether nothing has been received on the connection, neither bytes nor the end of the
// stream.
func (c *Conn) Silent() bool { return c.sender.Peek() == sender.NoData }

// Close closes a connection that has left the pool; its reader notices.
func (c *Conn) Close() {
	c.sender.Discard()
	c.conn.Close()
}

// Ping sends a command that the member answers immediately.
func (c *Conn) Ping() { c.sender.Send(c.codec.Ping(), false) }

// Send writes an exchange. The pool has checked, under the same lock, that the member is ready.
func (c *Conn) Send(x *Exchange) {
	s := c.set
	x.conn = c
	now := s.host.Clock()
	c.allowTransit(x, now)
	corked := s.corking && !x.Write && !c.Member.Origin
	if corked {
		s.cork(c, now)
	}
	b := c.codec.Append(s.scratch[:0], x, c.Member.Addr, c.announcedDeadline(x)-now)
	x.endOffset = c.sender.Accepted() + int64(len(b))
	if x.Fenced && !x.Write {
		b = append(b, c.codec.Fence()...)
	}
	s.scratch = b[:0]
	c.sender.Send(b, false)
	if x.Write {
		c.sendValue(x)
	}
	if !corked && !c.sender.Busy() && x.held == nil {
		x.WrittenAt = s.host.Clock()
	}
}

// allowTransit extends an exchange's time until it has certainly arrived at its member, however little
// time is left. If it were abandoned sooner, it could arrive after the next attempt of its request and be
// a second copy. After AnswerBy there is no next attempt.
func (c *Conn) allowTransit(x *Exchange, now time.Duration) {
	transit := c.set.Transit(c.Member)
	if c.Current == x && c.Fresh() {
		transit = c.set.FirstTransit()
	}
	x.ExpiresAt = max(x.ExpiresAt, min(now+transit, x.Client.AnswerBy()))
}

// sendValue writes the value of an exchange and what follows it, except for last bytes that are held back.
func (c *Conn) sendValue(x *Exchange) {
	value, end := x.Message.Value, c.codec.Trailer()
	if len(end) == 0 && len(value) > 0 { // the value's last byte ends the exchange
		value, end = value[:len(value)-1], value[len(value)-1:]
	}
	c.sender.SendCounted(value)
	x.endOffset = c.sender.Accepted() + int64(len(end))
	if len(end) > 0 && c.holdsEnd(x) {
		x.held = end
		c.set.scheduleHeldEnd(x)
		return
	}
	c.sendEnd(x, end)
}

// holdsEnd reports whether the last bytes of a write are held back: those of a write that must not run twice,
// where that shows whether the connection is alive, and those of a repeat that has to arrive before its
// member forgets the first attempt. A long value may be under way for much longer than that.
func (c *Conn) holdsEnd(x *Exchange) bool {
	return x.Once && c.codec.RunsOnLastByte() || x.StartBefore > 0
}

// sendEnd writes the last bytes of a write, and the fence behind it.
func (c *Conn) sendEnd(x *Exchange, end []byte) {
	if len(end) > 0 {
		c.sender.Send(end, true)
	}
	if x.Fenced {
		c.sender.Send(c.codec.Fence(), true)
	}
}

// announcedDeadline returns the deadline that is announced to a member for an exchange. For a cache it is
// the time at which the attempt will be abandoned. An origin's value is stored even if the attempt is no
// longer waited for, so for an origin it is the latest time at which the client can be answered.
func (c *Conn) announcedDeadline(x *Exchange) time.Duration {
	if c.Member.Origin {
		return x.Client.AnswerBy()
	}
	return min(x.ExpiresAt, x.Client.AnswerBy())
}

// scheduleHeldEnd schedules sendHeldEnd.
func (s *Set) scheduleHeldEnd(x *Exchange) {
	at := s.host.Now() + s.lastByteDelay
	if x.StartBefore > 0 {
		at = min(at, x.StartBefore)
	}
	s.host.ScheduleTimer(Timer{At: at, kind: timerHeldEnd, exchange: x})
}

// sendHeldEnd writes the bytes that Send has held back, if the connection is still alive; otherwise its
// reader reports that the attempt never ran. The end of a repeat waits until all before it has left this
// machine, and is never sent if that takes too long.
func (s *Set) sendHeldEnd(x *Exchange) {
	c := x.conn
	if x.Ended || c.Closed || c.sender.Failed() || !c.Silent() {
		return
	}
	if x.StartBefore > 0 {
		if x.TooLateToStart(s.host.Clock()) {
			s.withdraw(x)
			return
		}
		if c.sender.HasUntransmitted() {
			s.scheduleHeldEnd(x)
			return
		}
	}
	end := x.held
	x.held = nil
	c.sendEnd(x, end)
	c.lastWriteAt = s.host.Clock()
}

// unsent reports whether an exchange's last byte has not been handed to the kernel and won't be once the
// connection has failed.
func (c *Conn) unsent(x *Exchange) bool { return c.sender.Unsent(x.endOffset) }

// written reports whether all of an exchange has been written.
func (c *Conn) written(x *Exchange) bool {
	return !c.unsent(x) && (!c.sender.Busy() || len(c.Pipelined) > 0)
}

// Abandon stops waiting for an exchange by closing its connection: until then it is in flight, and a
// further attempt would be a second copy.
func (s *Set) Abandon(x *Exchange, status logic.Status) {
	c := x.conn
	if c != nil && c.Current != x && c.Current != nil && c.Current.streamingSince > 0 &&
		status == logic.StatusTimeout && s.host.Now() < x.Client.Deadline() {
		// Its answer follows a long value, which must not be cut off. The exchange is in flight until the
		// connection ends, so it is kept waiting.
		x.ExpiresAt = min(x.Client.Deadline(), s.host.Now()+longValueRecheck)
		s.host.ScheduleTimer(Timer{At: x.ExpiresAt, kind: timerExpiry, exchange: x})
		return
	}
	if c == nil {
		x.member.RemoveWaiting(x)
		if status == logic.StatusTimeout { // it was never sent
			status = verdictStatus(pool.NoConnVerdict(x.member))
		}
		x.complete(status, 0)
		return
	}
	switch {
	case c.unsent(x):
		status = logic.StatusConnectFailed
	case x != c.Current: // its answer was not due yet: the timeout concerns the requests before it
		status = logic.StatusCancelled
	}
	x.abandon(status)
	if c.Current != x && c.Current != nil && c.Current.streamingSince > 0 {
		return // its answer is skipped when it arrives
	}
	s.closeAndCancel(c)
}

// closeAndCancel closes a connection because of one of its exchanges, and cancels the others on it.
func (s *Set) closeAndCancel(c *Conn) {
	c.SetCloseReason(pool.CloseAbandoned)
	if c.Current != nil {
		c.cancel(c.Current)
	}
	c.cancelPipelined()
	s.HandleBroken(&c.Conn)
}

// cancel ends an exchange whose connection is closed for a reason that is neither the exchange's nor the
// member's. An exchange that shares its connection is a read, which may be sent again.
func (c *Conn) cancel(x *Exchange) {
	if c.unsent(x) {
		x.complete(logic.StatusNoConn, 0)
	} else {
		x.abandon(logic.StatusCancelled)
	}
}

func (c *Conn) cancelPipelined() {
	for _, x := range c.Pipelined {
		c.cancel(x)
	}
	c.Pipelined = nil
}

// deliverResult completes the current exchange, with the value for its client if it was served. The
// connection is not free yet: see finishAnswer.
func (c *Conn) deliverResult(status logic.Status, note int, value []byte) error {
	c.set.host.Enter()
	defer c.set.host.Leave()
	x := c.Current
	if x == nil || x.Ended { // abandoned; the connection is closed
		return nil
	}
	if x.Fenced {
		c.set.RecordFence(c.Member, true)
	}
	c.Refused = status == logic.StatusFull
	if status == logic.StatusOK {
		x.Client.Served(value)
	}
	x.complete(status, note)
	return nil
}

// fail closes a connection and ends the exchanges on it. An exchange whose last byte was not written never
// ran; any other may have run.
func (c *Conn) fail(err error) {
	c.set.host.Enter()
	defer c.set.host.Leave()
	badAnswer := errors.Is(err, resp.ErrProtocol) || errors.Is(err, errTruncated) || errors.Is(err, errUnsolicited)
	if x := c.Current; x != nil && !x.Ended {
		c.set.RecordBreak(&c.Conn)
		status := logic.StatusReset
		switch {
		case c.unsent(x):
			status = logic.StatusConnectFailed
		case badAnswer: // what was received may have been meant for another exchange
			status = logic.StatusError
			x.recordTransit()
		}
		x.complete(status, 0)
	}
	if badAnswer {
		c.Member.RecordBadAnswer()
	}
	if errors.Is(err, errUnsolicited) {
		c.set.RecordStray(c.Member)
	}
	c.SetCloseReason(closeReason(err, badAnswer))
	c.cancelPipelined()
	c.set.HandleBroken(&c.Conn)
}

// closeReason returns why a connection whose reader has ended with an error is closed.
func closeReason(err error, badAnswer bool) pool.CloseReason {
	switch {
	case errors.Is(err, errUnsolicited):
		return pool.CloseUnsolicited
	case errors.Is(err, errUnwritten):
		return pool.CloseUnwritten
	case badAnswer:
		return pool.CloseBadAnswer
	case errors.Is(err, net.ErrClosed): // the reader gave up
		return pool.CloseAbandoned
	}
	return pool.CloseByPeer
}

// readAnswers reads answers until the connection ends.
func (c *Conn) readAnswers() error {
	next := c.codec.Reader(c)
	defer c.returnReader()
	buffered := 0
	for {
		if buffered == 0 {
			if err := c.awaitData(); err != nil {
				return err
			}
		}
		var err error
		if buffered, err = next(); err != nil {
			return err
		}
		if err := c.finishAnswer(buffered); err != nil {
			return err
		}
	}
}

// returnReader makes the reader's buffer available to other connections. With many caches and short-lived
// connections, newly allocated buffers were most of the garbage that a connection leaves behind, and the
// heap grew by them between collections.
func (c *Conn) returnReader() {
	if c.respReader != nil {
		c.respReader.Reset(nil)
		c.set.readers.Put(c.respReader)
		c.respReader = nil
	}
}

// Read reads within an answer, which must not pause for long.
func (c *Conn) Read(b []byte) (int, error) {
	if c.firstRead {
		c.firstRead = false
	} else {
		c.readDeadlineSet = true
		limit := answerStallTimeout
		if c.readingLongValue {
			limit = sender.StallTimeout
		}
		c.conn.SetReadDeadline(time.Now().Add(limit))
	}
	n, err := c.conn.Read(b)
	if n == 0 && err != nil && !(c.untilClose && err == io.EOF) {
		err = fmt.Errorf("%w: %w", errTruncated, err)
	}
	return n, err
}

// awaitData waits for received data without reading it: as long as it is in the kernel, the pool can see
// it. Data that arrives while no request is in flight is not an answer.
func (c *Conn) awaitData() error {
	if c.readDeadlineSet {
		c.readDeadlineSet = false
		c.conn.SetReadDeadline(time.Time{})
	}
	if err := c.sender.Raw().Read(c.peek); err != nil {
		return err
	}
	c.firstRead = true
	c.set.host.Lock()
	defer c.set.host.Unlock()
	switch {
	case c.peekResult == sender.EndOfStream:
		return io.EOF
	case !c.Busy():
		c.reportStray()
		return errUnsolicited
	}
	c.firstByteAt = c.set.host.Clock()
	return nil
}

// finishAnswer makes a connection available again after an answer, following a cooldown: data that
// arrives from now on belongs to no request, and ends the connection. If requests are pipelined, the next
// one becomes current instead.
func (c *Conn) finishAnswer(buffered int) error {
	c.set.host.Enter()
	defer c.set.host.Leave()
	switch {
	case c.Closed:
		return net.ErrClosed
	case c.Current != nil && !c.written(c.Current):
		return errUnwritten
	case c.set.Answered(&c.Conn, c.Current != nil && c.Current.streamingSince == 0):
		return nil
	case buffered > 0:
		c.set.reportStray(c.Member, Stray{Connection: c.number, Requests: c.RequestCount(), StartsWith: "(read with the answer)"})
		return errUnsolicited
	case c.Retired:
		return io.EOF
	}
	c.set.Release(&c.Conn)
	return nil
}
