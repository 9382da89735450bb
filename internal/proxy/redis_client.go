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
	proxy            *Proxy
	front            *redisFront
	conn             *net.TCPConn
	input            *inputConn // what is read of conn
	stream           net.Conn   // the intake, or what is encrypted on it
	tls              *tlsConn   // nil: it speaks plainly
	remoteAddr       netip.Addr
	reader           *resp.Reader
	sender           *sender.Sender
	pending          []*pendingAnswer   // in the order of their commands
	midCommand       bool               // a command has been read in part
	mayBeStale       bool               // what comes next may have stood unread for long; the reader's own
	arrival          arrival.Connection // when what was read came; the reader's own
	lastByteAt       atomic.Int64       // when bytes of it came last, since the start of the proxy
	commandStartedAt time.Duration      // when it began
	resume           chan struct{}
	lastActive       time.Duration // when it connected, or last had something pending
	hasRequested     bool          // a command has been read whole
	reused           bool          // more than one has
	keepOpen         bool          // it is kept open after its first answer
	faultyCommands   int           // commands that could not be carried out
	ended            bool          // nothing further is read or answered
	writeClosed      bool          // the sending side is ended
	valueWait        chan struct{} // while it waits for room for a long value; closed when it leaves
	closed           bool
	deadlineSet      bool // a deadline is set for the rest of a command

	sendingBodies []*Body // shared values that are being written

	readQueue        shed.ReadQueue // what has come and was not read yet; the reader's own
	corked           bool           // refusals have yet to be written; the reader's own
	commandsThisTurn int            // commands worked on since it last waited or gave way; the reader's own

	certProof      *identity.Proof // by its certificate; nil: it has none
	proof          *identity.Proof // by AUTH, or by its certificate; the reader's own
	suspect        bool            // it has shown a bad token; the reader's own
	lastToken      []byte          // the token that came last in a list, and what it proves; the reader's own
	lastTokenProof *identity.Proof
}

// Read reads for the parser. In the middle of a command it limits how long the rest may take.
func (c *client) Read(b []byte) (int, error) {
	if c.midCommand && !c.deadlineSet {
		c.limitCommandTime()
	}
	if c.corked {
		c.uncork()
	}
	c.commandsThisTurn = 0
	if c.arrival.MayHaveUnread() && !c.hasUnread() {
		c.arrival.NoteDrained()
	}
	n, err := c.stream.Read(b)
	c.arrival.NoteRead(c.proxy.Clock(), n == len(b))
	if n >= shed.MinBatchBytes || c.readQueue.Active() {
		c.measureUnread(n, n == len(b))
	}
	// What has stood unread for long, with the kernel until the connection was accepted or because the core is short, may be of a client
	// that has left since. Elsewhere it is read as it comes, and so is the end.
	if stale := c.mayBeStale || c.readQueue.Active(); stale && n > 0 {
		if c.mayBeStale = false; c.sender.PeerClosed() {
			return 0, io.EOF
		}
	}
	if c.midCommand { // most commands come in one piece, and should not pay for this
		c.lastByteAt.Store(int64(time.Since(c.proxy.started)))
	}
	return n, err
}

// limitCommandTime gives what comes next of a command its time.
func (c *client) limitCommandTime() {
	c.deadlineSet = true
	c.conn.SetReadDeadline(time.Now().Add(commandTimeout))
}

// noteCommand notes that a command has been read whole.
func (c *client) noteCommand() {
	f := c.front
	switch {
	case !c.hasRequested:
		f.activeClients++
	case !c.reused:
		c.reused = true
		f.reuseShare += (1 - f.reuseShare) / reuseWindow
	}
	c.hasRequested, c.lastActive = true, f.proxy.now
}

// endAfterAnswer ends a connection that has had its answer, where the proxy stops, and closes one that is not likely to be used again and
// whose place is wanted.
func (c *client) endAfterAnswer() {
	f := c.front
	if f.endingSince > 0 {
		c.finishSending(false)
		return
	}
	if !f.draining && f.reuseShare < minReuseShare && f.activeClients >= f.proxy.cfg.Sockets*activeClientPercent/300 && !c.keepOpen && !c.reused && c.isIdle() && c.hasNoInput() {
		c.close()
	}
}

// isIdle tells whether nothing is owed on the connection, as far as its commands have been taken up.
func (c *client) isIdle() bool {
	return len(c.pending) == 0 && !c.sender.Busy() && !c.midCommand
}

// errTooManyFaults ends a connection on which too many commands could not be carried out.
var errTooManyFaults = errors.New("too many faulty commands")

// serve reads commands until the connection ends.
func (c *client) serve() {
	var err error
	if c.front.tlsConfig != nil {
		err = c.handshake(c.front.tlsConfig)
	}
	if err == nil {
		err = c.readCommands()
	}
	c.proxy.enter()
	late := c.midCommand && errors.Is(err, os.ErrDeadlineExceeded) // one that said nothing is closed without a word
	if err != nil && !c.ended && (errors.Is(err, resp.ErrProtocol) || late || errors.Is(err, errTooManyFaults)) {
		text := "ERR Protocol error: " + err.Error()
		if late {
			text = "ERR the command was not finished in time"
		}
		c.replyError(text)
		c.midCommand = false
		c.finishSending(true)
		c.proxy.leave()
		if !c.linger() {
			c.awaitAnswers()
		}
		c.proxy.enter()
	}
	c.cleanUp()
	c.proxy.leave()
}

// linger reads and drops what still comes, so that the client can take in what it has been sent. It tells whether the client has left.
func (c *client) linger() (left bool) {
	c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, err := io.CopyN(io.Discard, c.stream, lingerBytes)
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// finishSending ends the sending side once everything pending is answered. The client sees the end and closes.
func (c *client) finishSending(final bool) {
	c.ended = c.ended || final
	if c.isIdle() && !c.sender.Failed() && !c.writeClosed && (c.ended || c.hasNoInput()) {
		c.ended, c.writeClosed = true, true
		c.closeWrite()
		c.wakeReader()
	}
}

// hasNoInput tells whether nothing has come that was not taken up yet: a command that has is answered before its connection ends.
func (c *client) hasNoInput() bool { return !c.hasUnread() && !c.input.mayHoldData.Load() }

// hasUnread tells whether something has come that was not read yet.
func (c *client) hasUnread() bool {
	return c.sender.Peek() == sender.HasData || c.tls != nil && c.tls.mayHaveBuffered.Load()
}

// readCommands reads commands and submits them.
func (c *client) readCommands() error {
	p := c.proxy
	for {
		if c.commandsThisTurn++; c.commandsThisTurn > maxCommandsPerTurn {
			c.commandsThisTurn = 0
			runtime.Gosched()
		}
		if err := c.reader.Wait(); err != nil {
			return err
		}
		c.noteCommandStart(true)
		cmd, err := c.readCommand()
		if err != nil {
			return err
		}
		cmd.ArrivedAt = c.arrival.EarliestArrival()
		if c.readQueue.Active() && c.shed(&cmd) {
			continue
		}
		if p.cfg.Callers != nil {
			c.identify(&cmd)
		}
		p.enter()
		c.midCommand = false
		c.input.noteConsumed(c.reader.Buffered() > 0)
		if c.ended { // it has been told of the end; a request that crosses it is sent again elsewhere
			p.letGo(&Request{Command: cmd.Command, longBytes: cmd.longBytes})
			c.input.noteConsumed(false) // what was read behind it is dropped too
			hung := c.writeClosed
			p.leave()
			if !hung { // answers are still out, to what came before
				c.awaitAnswers()
			}
			c.linger() // closed at once, with more unread, the connection would be reset, and the client may not see its end
			return io.EOF
		}
		c.noteCommand()
		switch {
		case cmd.refused:
			c.replyError("BUSY")
		case cmd.multiKey:
			c.submitMany(cmd)
		case cmd.name == "":
			c.submit(cmd)
		case cmd.name == "PING":
			c.replyText("+PONG\r\n")
		case cmd.name == "AUTH" && p.cfg.Callers != nil:
			c.replyAuth(cmd)
		default:
			c.faultyCommands++
			c.replyError("ERR unknown command")
		}
		faulty := c.faultyCommands >= maxFaultyCommands
		var wait chan struct{}
		if !faulty && c.backlogged() {
			wait = make(chan struct{})
			c.resume = wait
		}
		p.leave()
		if faulty {
			return errTooManyFaults
		}
		if c.deadlineSet {
			c.deadlineSet = false
			c.conn.SetReadDeadline(time.Time{})
		}
		if wait != nil {
			<-wait
			c.mayBeStale = true
			c.arrival.NoteUnreadPossible()
		}
	}
}

// backlogged tells whether the client has to take in answers before more is read from it.
func (c *client) backlogged() bool {
	return len(c.pending) >= c.front.pipelineLimit || c.sender.Backlog() > maxUnsentBytes || c.sender.Busy() && c.proxy.held > c.proxy.heldMax
}

// awaitAnswers waits until everything pending is answered, which the deadline of the requests bounds, or the client has left. What it still
// sends is read and dropped, no faster than discardInterval: its end stands behind that.
func (c *client) awaitAnswers() {
	for {
		c.proxy.enter()
		over := c.closed || c.sender.Failed() || c.isIdle()
		c.proxy.leave()
		if over {
			return
		}
		c.conn.SetReadDeadline(time.Now().Add(discardPollInterval))
		n, err := io.CopyN(io.Discard, c.stream, discardChunk)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if n == discardChunk {
			time.Sleep(discardInterval)
		}
	}
}

// noteCommandStart notes that a command has begun to arrive.
func (c *client) noteCommandStart(mid bool) {
	c.proxy.mu.Lock()
	c.midCommand, c.commandStartedAt = mid, c.proxy.now // the time of the latest event, a little late at the most
	c.proxy.mu.Unlock()
}

// replyText answers a command that is no request.
func (c *client) replyText(text string) {
	o := &pendingAnswer{client: c}
	c.pending = append(c.pending, o)
	c.sendAnswer(o, []byte(text))
}

func (c *client) replyError(text string) {
	c.replyText(string(resp.AppendError(nil, string(resp.AppendLine(nil, text)))))
}

// submit hands over a request that has been read whole.
func (c *client) submit(cmd parsedCommand) {
	o := &pendingAnswer{Request: Request{Command: cmd.Command, longBytes: cmd.longBytes, Proof: cmd.proof, Front: "resp2"}, client: c}
	o.Responder = o
	c.pending = append(c.pending, o)
	err := cmd.denied
	if err == nil {
		err = c.proxy.Submit(&o.Request)
	}
	if err == nil {
		c.front.shedder.CountRequest(o.tenant)
		return
	}
	c.proxy.letGo(&o.Request)
	if errors.Is(err, ErrBusy) {
		c.sendAnswer(o, resp.AppendError(nil, "BUSY"))
		return
	}
	c.countFault(err)
	c.sendAnswer(o, appendDenied(nil, err))
	if o.Proof != nil && o.Proof == c.certProof && c.proxy.cfg.Callers.Holds(c.certProof) != nil {
		c.finishSending(true) // nothing will be had on it any more
	}
}

// countFault counts a command that could not be carried out, but for those that only came too often.
func (c *client) countFault(err error) {
	if why := identity.WhyOf(err); why != identity.Rate && why != identity.Overload {
		c.faultyCommands++
	}
}

// replyAuth answers AUTH, whose token has been looked at.
func (c *client) replyAuth(cmd parsedCommand) {
	if cmd.denied == nil {
		c.replyText("+OK\r\n")
		return
	}
	c.countFault(cmd.denied)
	c.replyText(string(appendDenied(nil, cmd.denied)))
}

func (c *client) wakeReader() {
	if c.resume != nil {
		close(c.resume)
		c.resume = nil
	}
}

// close ends the connection and gives up its place; its reader cleans up.
func (c *client) close() {
	if !c.closed {
		c.ended, c.closed = true, true
		c.closeConn()
		if c.valueWait != nil {
			close(c.valueWait)
			c.valueWait = nil
		}
		delete(c.front.clients, c)
		if c.hasRequested {
			c.front.activeClients--
			if !c.reused && (c.keepOpen || c.front.reuseShare >= minReuseShare) {
				c.front.reuseShare -= c.front.reuseShare / reuseWindow
			}
		}
		c.proxy.AddDescriptors(-1)
	}
	c.wakeWaiters()
}

// wakeWaiters wakes whoever waits for the client to take something: it does not any more.
func (c *client) wakeWaiters() {
	c.wakeReader()
	for _, o := range c.pending {
		o.wakeTurn()
	}
}

// cleanUp cleans up after a connection that has ended: nobody waits for what is pending.
func (c *client) cleanUp() {
	c.close()
	c.sender.Fail()
	pending := c.pending
	c.pending = nil
	for _, o := range pending {
		c.proxy.held -= len(o.reply)
		o.reply = nil
		if o.body != nil {
			o.body.Release()
			o.body = nil
		}
		if o.many != nil {
			o.many.leave()
		}
		c.proxy.Cancel(&o.Request)
	}
	c.releaseBodies()
}
