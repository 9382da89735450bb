package proxy

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"runtime"
	"sync/atomic"
	"time"

	"linenloom/internal/arrival"
	"linenloom/internal/identity"
	"linenloom/internal/resp"
	"linenloom/internal/sender"
	"linenloom/internal/shed"
)

// client is a client's connection.
type client struct {
	p       *Proxy
	f       *redisFront
	conn    *net.TCPConn
	intake  *intake  // what is read of conn
	stream  net.Conn // the intake, or what is encrypted on it
	tls     *secured // nil: it speaks plainly
	from    netip.Addr
	in      *resp.Reader
	w       *sender.Sender
	pending []*owed            // in the order of their commands
	mid     bool               // a command has been read in part
	stale   bool               // what comes next may have stood unread for long; the reader's own
	arrived arrival.Connection // when what was read came; the reader's own
	heard   atomic.Int64       // when bytes of it came last, since the start of the proxy
	midAt   time.Duration      // when it began
	resume  chan struct{}
	active  time.Duration // when it connected, or last had something pending
	asked   bool          // a command has been read whole
	again   bool          // more than one has
	kept    bool          // it is kept open after its first answer
	faults  int           // commands that could not be carried out
	ended   bool          // nothing further is read or answered
	hung    bool          // the sending side is ended
	waits   chan struct{} // while it waits for room for a long value; closed when it leaves
	closed  bool
	limited bool // a deadline is set for the rest of a command

	bodies []*Body // shared values that are being written

	line   shed.ReadQueue // what has come and was not read yet; the reader's own
	corked bool           // refusals have yet to be written; the reader's own
	turn   int            // commands worked on since it last waited or gave way; the reader's own

	cert    *identity.Proof // by its certificate; nil: it has none
	proof   *identity.Proof // by AUTH, or by its certificate; the reader's own
	suspect bool            // it has shown a bad token; the reader's own
	held    []byte          // the token that came last in a list, and what it proves; the reader's own
	heldBy  *identity.Proof
}

// Read reads for the parser. In the middle of a command it limits how long the rest may take.
func (c *client) Read(b []byte) (int, error) {
	if c.mid && !c.limited {
		c.limit()
	}
	if c.corked {
		c.uncork()
	}
	c.turn = 0
	if c.arrived.MayHaveUnread() && !c.unread() {
		c.arrived.NoteDrained()
	}
	n, err := c.stream.Read(b)
	c.arrived.NoteRead(c.p.Clock(), n == len(b))
	if n >= shed.MinBatchBytes || c.line.Active() {
		c.measure(n, n == len(b))
	}
	// What has stood unread for long, with the kernel until the connection was accepted or because the core is short, may be of a client
	// that has left since. Elsewhere it is read as it comes, and so is the end.
	if stale := c.stale || c.line.Active(); stale && n > 0 {
		if c.stale = false; c.w.PeerClosed() {
			return 0, io.EOF
		}
	}
	if c.mid { // most commands come in one piece, and should not pay for this
		c.heard.Store(int64(time.Since(c.p.started)))
	}
	return n, err
}

// limit gives what comes next of a command its time.
func (c *client) limit() {
	c.limited = true
	c.conn.SetReadDeadline(time.Now().Add(commandTime))
}

// ask notes that a command has been read whole.
func (c *client) ask() {
	f := c.f
	switch {
	case !c.asked:
		f.asked++
	case !c.again:
		c.again = true
		f.reuse += (1 - f.reuse) / reuseOf
	}
	c.asked, c.active = true, f.p.now
}

// answered ends a connection that has had its answer, where the proxy stops, and closes one that is not likely to be used again and
// whose place is wanted.
func (c *client) answered() {
	f := c.f
	if f.ending > 0 {
		c.hangUp(false)
		return
	}
	if !f.draining && f.reuse < reuseLeast && f.asked >= f.p.cfg.Descriptors*askedShare/300 && !c.kept && !c.again && c.free() && c.quiet() {
		c.close()
	}
}

// free tells whether nothing is owed on the connection, as far as its commands have been taken up.
func (c *client) free() bool {
	return len(c.pending) == 0 && !c.w.Busy() && !c.mid
}

// errFaulty ends a connection on which too many commands could not be carried out.
var errFaulty = errors.New("too many faulty commands")

// serve reads commands until the connection ends.
func (c *client) serve() {
	var err error
	if c.f.tls != nil {
		err = c.secure(c.f.tls)
	}
	if err == nil {
		err = c.read()
	}
	c.p.beginEvent()
	late := c.mid && errors.Is(err, os.ErrDeadlineExceeded) // one that said nothing is closed without a word
	if err != nil && !c.ended && (errors.Is(err, resp.ErrProtocol) || late || errors.Is(err, errFaulty)) {
		text := "ERR Protocol error: " + err.Error()
		if late {
			text = "ERR the command was not finished in time"
		}
		c.error(text)
		c.mid = false
		c.hangUp(true)
		c.p.endEvent()
		if !c.linger() {
			c.awaitAnswers()
		}
		c.p.beginEvent()
	}
	c.gone()
	c.p.endEvent()
}

// linger reads and drops what still comes, so that the client can take in what it has been sent. It tells whether the client has left.
func (c *client) linger() (left bool) {
	c.conn.SetReadDeadline(time.Now().Add(lingerFor))
	_, err := io.CopyN(io.Discard, c.stream, lingerBytes)
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// hangUp ends the sending side once everything pending is answered. The client sees the end and closes.
func (c *client) hangUp(final bool) {
	c.ended = c.ended || final
	if c.free() && !c.w.Failed() && !c.hung && (c.ended || c.quiet()) {
		c.ended, c.hung = true, true
		c.endSending()
		c.wake()
	}
}

// quiet tells whether nothing has come that was not taken up yet: a command that has is answered before its connection ends.
func (c *client) quiet() bool { return !c.unread() && !c.intake.holds.Load() }

// unread tells whether something has come that was not read yet.
func (c *client) unread() bool {
	return c.w.Peek() == sender.HasData || c.tls != nil && c.tls.undecoded.Load()
}

// read reads commands and submits them.
func (c *client) read() error {
	p := c.p
	for {
		if c.turn++; c.turn > turnMost {
			c.turn = 0
			runtime.Gosched()
		}
		if err := c.in.Wait(); err != nil {
			return err
		}
		c.begin(true)
		cmd, err := c.command()
		if err != nil {
			return err
		}
		cmd.Arrived = c.arrived.EarliestArrival()
		if c.line.Active() && c.shed(&cmd) {
			continue
		}
		if p.cfg.Callers != nil {
			c.identify(&cmd)
		}
		p.beginEvent()
		c.mid = false
		c.intake.takenUp(c.in.Buffered() > 0)
		if c.ended { // it has been told of the end; a request that crosses it is sent again elsewhere
			p.releaseValue(&Request{Command: cmd.Command, long: cmd.long})
			c.intake.takenUp(false) // what was read behind it is dropped too
			hung := c.hung
			p.endEvent()
			if !hung { // answers are still out, to what came before
				c.awaitAnswers()
			}
			c.linger() // closed at once, with more unread, the connection would be reset, and the client may not see its end
			return io.EOF
		}
		c.ask()
		switch {
		case cmd.refused:
			c.error("BUSY")
		case cmd.many:
			c.submitMany(cmd)
		case cmd.name == "":
			c.submit(cmd)
		case cmd.name == "PING":
			c.say("+PONG\r\n")
		case cmd.name == "AUTH" && p.cfg.Callers != nil:
			c.auth(cmd)
		default:
			c.faults++
			c.error("ERR unknown command")
		}
		faulty := c.faults >= maxFaults
		var wait chan struct{}
		if !faulty && c.crowded() {
			wait = make(chan struct{})
			c.resume = wait
		}
		p.endEvent()
		if faulty {
			return errFaulty
		}
		if c.limited {
			c.limited = false
			c.conn.SetReadDeadline(time.Time{})
		}
		if wait != nil {
			<-wait
			c.stale = true
			c.arrived.NoteUnreadPossible()
		}
	}
}

// crowded tells whether the client has to take in answers before more is read from it.
func (c *client) crowded() bool {
	return len(c.pending) >= c.f.pipeline || c.w.Backlog() > maxUnsent || c.w.Busy() && c.p.bufferedBytes > c.p.maxBufferedBytes
}

// awaitAnswers waits until everything pending is answered, which the deadline of the requests bounds, or the client has left. What it still
// sends is read and dropped, no faster than lingerPace: its end stands behind that.
func (c *client) awaitAnswers() {
	for {
		c.p.beginEvent()
		over := c.closed || c.w.Failed() || c.free()
		c.p.endEvent()
		if over {
			return
		}
		c.conn.SetReadDeadline(time.Now().Add(lingerLook))
		n, err := io.CopyN(io.Discard, c.stream, lingerPiece)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if n == lingerPiece {
			time.Sleep(lingerPace)
		}
	}
}

// begin notes that a command has begun to arrive.
func (c *client) begin(mid bool) {
	c.p.mu.Lock()
	c.mid, c.midAt = mid, c.p.now // the time of the latest event, a little late at the most
	c.p.mu.Unlock()
}

// say answers a command that is no request.
func (c *client) say(text string) {
	o := &owed{client: c}
	c.pending = append(c.pending, o)
	c.answer(o, []byte(text))
}

func (c *client) error(text string) {
	c.say(string(resp.AppendError(nil, string(resp.AppendLine(nil, text)))))
}

// submit hands over a request that has been read whole.
func (c *client) submit(cmd input) {
	o := &owed{Request: Request{Command: cmd.Command, long: cmd.long, By: cmd.proof, Front: "resp2"}, client: c}
	o.Taker = o
	c.pending = append(c.pending, o)
	err := cmd.denied
	if err == nil {
		err = c.p.Submit(&o.Request)
	}
	if err == nil {
		c.f.gate.CountRequest(o.tenant)
		return
	}
	c.p.releaseValue(&o.Request)
	if errors.Is(err, ErrBusy) {
		c.answer(o, resp.AppendError(nil, "BUSY"))
		return
	}
	c.fault(err)
	c.answer(o, appendDenied(nil, err))
	if o.By != nil && o.By == c.cert && c.p.cfg.Callers.Holds(c.cert) != nil {
		c.hangUp(true) // nothing will be had on it any more
	}
}

// fault counts a command that could not be carried out, but for those that only came too often.
func (c *client) fault(err error) {
	if why := identity.ReasonOf(err); why != identity.RateLimited && why != identity.Overloaded {
		c.faults++
	}
}

// auth answers AUTH, whose token has been looked at.
func (c *client) auth(cmd input) {
	if cmd.denied == nil {
		c.say("+OK\r\n")
		return
	}
	c.fault(cmd.denied)
	c.say(string(appendDenied(nil, cmd.denied)))
}

func (c *client) wake() {
	if c.resume != nil {
		close(c.resume)
		c.resume = nil
	}
}

// close ends the connection and gives up its place; its reader cleans up.
func (c *client) close() {
	if !c.closed {
		c.ended, c.closed = true, true
		c.shut()
		if c.waits != nil {
			close(c.waits)
			c.waits = nil
		}
		delete(c.f.clients, c)
		if c.asked {
			c.f.asked--
			if !c.again && (c.kept || c.f.reuse >= reuseLeast) {
				c.f.reuse -= c.f.reuse / reuseOf
			}
		}
		c.p.Descriptors(-1)
	}
	c.lost()
}

// lost wakes whoever waits for the client to take something: it does not any more.
func (c *client) lost() {
	c.wake()
	for _, o := range c.pending {
		o.signalTurn()
	}
}

// gone cleans up after a connection that has ended: nobody waits for what is pending.
func (c *client) gone() {
	c.close()
	c.w.Fail()
	pending := c.pending
	c.pending = nil
	for _, o := range pending {
		c.p.bufferedBytes -= len(o.reply)
		o.reply = nil
		if o.body != nil {
			o.body.Release()
			o.body = nil
		}
		if o.many != nil {
			o.many.abandon()
		}
		c.p.Withdraw(&o.Request)
	}
	c.letBodies()
}
