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
	input            *inputConn // reads from conn
	stream           net.Conn   // input, or the TLS layer on top of it
	tls              *tlsConn   // nil: the client does not use TLS
	remoteAddr       netip.Addr
	reader           *resp.Reader
	sender           *sender.Sender
	pending          []*pendingAnswer   // in the order of their commands
	expectedAnswers  int                // pending answers that would have to be held if they arrived now
	midCommand       bool               // a command has been read in part
	mayBeStale       bool               // the next input may be old; used by the reader goroutine only
	arrival          arrival.Connection // estimates when input arrived; used by the reader goroutine only
	lastByteAt       atomic.Int64       // when input of a partial command last arrived, since the start of the proxy
	commandStartedAt time.Duration      // when the partial command began
	resume           chan struct{}      // closed when the suspended reader may go on; nil: it is not suspended
	lastActive       time.Duration      // when the client connected, or last had an answer pending
	hasRequested     bool               // at least one command has been read in full
	reused           bool               // more than one command has been read in full
	keepOpen         bool               // stays open after its first answer
	faultyCommands   int                // commands that could not be executed
	ended            bool               // no further command is accepted; answers to earlier ones may be pending
	writeClosed      bool               // the sending side is closed, after the last answer
	valueWait        chan struct{}      // set while a long value waits for memory; closed when the client disconnects
	closed           bool               // the connection's descriptor is closed
	deadlineSet      bool               // a read deadline is set for the rest of a command

	// suspendedForMemory means that the reader is, or was last, suspended because memory for answers was short;
	// used by the reader goroutine only.
	suspendedForMemory bool

	sendingBodies []*Body // shared values that are being written

	readQueue        shed.ReadQueue // input that has arrived and was not read yet; used by the reader goroutine only
	corked           bool           // refusals have yet to be written; used by the reader goroutine only
	commandsThisTurn int            // commands since the last wait or yield; used by the reader goroutine only

	certProof      *identity.Proof // from its certificate; nil: it has none
	proof          *identity.Proof // from AUTH or its certificate; used by the reader goroutine only
	suspect        bool            // the client has sent an invalid token; used by the reader goroutine only
	lastToken      []byte          // latest token in an attribute list; used by the reader goroutine only
	lastTokenProof *identity.Proof
}

// Read reads input for the parser. In the middle of a command it limits how long the rest may take.
func (c *client) Read(b []byte) (int, error) {
	if c.midCommand && !c.deadlineSet {
		c.limitCommandTime()
	}
	if c.corked {
		c.uncork()
	}
	c.commandsThisTurn = 0
	if c.arrival.MayHaveUnread() && !c.hasUnreadUnlocked() {
		c.arrival.NoteDrained()
	}
	n, err := c.stream.Read(b)
	c.arrival.NoteRead(c.proxy.Clock(), n == len(b) || c.input.fromAhead)
	if freed := c.input.takeFreed(); freed > 0 {
		c.proxy.mu.Lock()
		c.proxy.addReadAhead(-freed)
		c.proxy.mu.Unlock()
	}
	if n >= shed.MinBatchBytes || c.readQueue.Active() {
		c.measureUnread(n, n == len(b))
	}
	// Input that has been waiting for long, in the kernel until the connection was accepted or because the
	// core is overloaded, may come from a client that has disconnected since. Otherwise input is read as it
	// arrives, and so is the end of the stream.
	if stale := c.mayBeStale || c.readQueue.Active() || c.input.fromAhead; stale && n > 0 {
		if c.mayBeStale = false; c.sender.PeerClosed() {
			return 0, io.EOF
		}
	}
	if c.midCommand { // most commands arrive in one piece and skip this cost
		c.lastByteAt.Store(int64(time.Since(c.proxy.started)))
	}
	return n, err
}

// limitCommandTime sets the read deadline for the rest of a command.
func (c *client) limitCommandTime() {
	c.deadlineSet = true
	c.conn.SetReadDeadline(time.Now().Add(commandTimeout))
}

// noteCommand records that a command has been read in full.
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

// endAfterAnswer ends an answered connection if the proxy is stopping, and closes it if it is unlikely to
// be reused and descriptors are in demand.
func (c *client) endAfterAnswer() {
	f := c.front
	if f.endingSince > 0 {
		c.finishSending(false)
		return
	}
	// The percentage is divided by 300 for a third of the capacity, see minReuseShare.
	if !f.draining && f.reuseShare < minReuseShare && f.activeClients >= f.proxy.cfg.Descriptors*activeClientPercent/300 && !c.keepOpen && !c.reused && c.isIdle() && c.hasNoInput() {
		c.close()
	}
}

// isIdle reports whether no answer is pending or being written on the connection and no command has been read in part.
// Unread input does not count.
func (c *client) isIdle() bool {
	return len(c.pending) == 0 && !c.sender.Busy() && !c.midCommand
}

// errTooManyFaults ends a connection on which too many commands could not be executed.
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
	c.proxy.beginEvent()
	// A client that sent nothing is closed without an error line.
	late := c.midCommand && errors.Is(err, os.ErrDeadlineExceeded)
	if err != nil && !c.ended && (errors.Is(err, resp.ErrProtocol) || late || errors.Is(err, errTooManyFaults)) {
		text := "ERR Protocol error: " + err.Error()
		if late {
			text = "ERR the command was not finished in time"
		}
		c.replyError(text)
		c.midCommand = false
		c.finishSending(true)
		c.proxy.endEvent()
		if !c.linger() {
			c.awaitAnswers()
		}
		c.proxy.beginEvent()
	}
	c.cleanUp()
	c.proxy.endEvent()
}

// linger reads and discards further input, so that the client can read what it has been sent. It reports
// whether the client has closed the connection.
func (c *client) linger() (left bool) {
	c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, err := io.CopyN(io.Discard, c.stream, lingerBytes)
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// finishSending closes the sending side if no answer is pending and either no input is unread or no further command is
// accepted; the client then sees the end of the stream and closes the connection. Otherwise it is called again after
// later answers. If final is set, no further command is accepted, whatever input has arrived.
func (c *client) finishSending(final bool) {
	c.ended = c.ended || final
	if c.isIdle() && !c.sender.Failed() && !c.writeClosed && (c.ended || c.hasNoInput()) {
		c.ended, c.writeClosed = true, true
		c.closeWrite()
		c.wakeReader()
	}
}

// hasNoInput reports whether no input waits to be accepted: a command that has arrived is answered before
// its connection ends.
func (c *client) hasNoInput() bool { return !c.hasUnread() && !c.input.mayHoldData.Load() }

// hasUnread reports whether input has arrived that was not read yet.
func (c *client) hasUnread() bool {
	return c.input.aheadBytes.Load() > 0 || c.sender.Peek() == sender.HasData || c.tls != nil && c.tls.mayHaveBuffered.Load()
}

// hasUnreadUnlocked is hasUnread for the reader goroutine, which does not hold the lock.
func (c *client) hasUnreadUnlocked() bool {
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	return c.hasUnread()
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
		p.beginEvent()
		c.midCommand = false
		c.input.noteConsumed(c.reader.Buffered() > 0)
		if c.ended { // no command is accepted any more; its client sends the request again on another connection
			p.releaseValue(&Request{Command: cmd.Command, longBytes: cmd.longBytes})
			c.input.noteConsumed(false) // the input read after this command is dropped too
			writeClosed := c.writeClosed
			p.endEvent()
			if !writeClosed { // answers to earlier commands are still outstanding
				c.awaitAnswers()
			}
			// Closing at once with unread input would reset the connection, and the client might not see its end.
			c.linger()
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
		var wait <-chan struct{}
		if !faulty {
			wait = c.suspendIfBacklogged()
		}
		p.endEvent()
		if faulty {
			return errTooManyFaults
		}
		if c.deadlineSet {
			c.deadlineSet = false
			c.conn.SetReadDeadline(time.Time{})
		}
		for wait != nil {
			c.awaitResumption(wait)
			p.Do(func() { wait = c.suspendIfBacklogged() })
		}
	}
}

// backlog is why a client has to get answers before further commands are read from it.
type backlog uint8

const (
	noBacklog backlog = iota
	tooManyPending
	outOfMemory // for the answer to a further command
)

// currentBacklog returns why no further command is read from the client. A client with a backlog always gets an
// answer, or the end of its connection: one without pending answers is read from.
func (c *client) currentBacklog() backlog {
	switch {
	case c.closed || c.ended || c.sender.Failed():
		return noBacklog
	case c.lacksMemory():
		return outOfMemory
	case len(c.pending) >= c.front.pipelineLimit || c.sender.Backlog() > maxUnsentBytes:
		return tooManyPending
	}
	return noBacklog
}

// lacksMemory reports whether there is no memory to hold the answer to a further command of the client.
func (c *client) lacksMemory() bool {
	p := c.proxy
	if c.sender.Busy() && p.bufferedBytes > p.maxBufferedBytes {
		return true
	}
	return len(c.pending) > 0 && !p.stopping && !p.answerBudget.MayAccept(p.bufferedBytes, p.maxBufferedBytes)
}

// suspendIfBacklogged returns a channel that is closed when the backlog of the client may be gone, or nil if there
// is none.
func (c *client) suspendIfBacklogged() <-chan struct{} {
	why := c.currentBacklog()
	if why != noBacklog && c.corked {
		c.writeRefusals() // the answers behind them wait for it, and the reader for those
		why = c.currentBacklog()
	}
	if why == noBacklog {
		return nil
	}
	c.resume, c.suspendedForMemory = make(chan struct{}), why == outOfMemory
	return c.resume
}

// awaitResumption waits until the suspended reader is woken. Input that waits for memory does not wait for the
// core, which is why it counts as not waiting at all there.
func (c *client) awaitResumption(resume <-chan struct{}) {
	forMemory, since := c.suspendedForMemory, c.proxy.elapsed()
	<-resume
	c.mayBeStale = true
	c.arrival.NoteUnreadPossible()
	if forMemory {
		c.readQueue.Exclude(c.proxy.elapsed() - since)
	}
}

// awaitAnswers waits until everything pending is answered, which the deadlines of the requests bound, or
// the client has disconnected. It reads and discards further input, no faster than discardChunk every
// discardInterval: the client's end of stream comes after that input.
func (c *client) awaitAnswers() {
	for {
		c.proxy.beginEvent()
		over := c.closed || c.sender.Failed() || c.isIdle()
		c.proxy.endEvent()
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

// noteCommandStart records whether a command has begun to arrive.
func (c *client) noteCommandStart(mid bool) {
	c.proxy.mu.Lock()
	c.midCommand, c.commandStartedAt = mid, c.proxy.now // the time of the latest event, at most slightly late
	c.proxy.mu.Unlock()
}

// replyText answers a command that is not a request.
func (c *client) replyText(text string) {
	o := &pendingAnswer{client: c}
	c.pending = append(c.pending, o)
	c.sendAnswer(o, []byte(text))
}

func (c *client) replyError(text string) {
	c.replyText(string(resp.AppendError(nil, string(resp.AppendLine(nil, text)))))
}

// submit submits a request that has been read in full.
func (c *client) submit(cmd parsedCommand) {
	o := &pendingAnswer{Request: Request{Command: cmd.Command, longBytes: cmd.longBytes, Proof: cmd.proof, Front: "resp2"}, client: c}
	o.Responder = o
	c.pending = append(c.pending, o)
	err := cmd.denied
	if err == nil {
		err = c.proxy.Submit(&o.Request)
	}
	c.countExpected()
	if err == nil {
		c.front.shedder.CountRequest(o.tenant)
		return
	}
	c.proxy.releaseValue(&o.Request)
	if errors.Is(err, ErrBusy) {
		c.sendAnswer(o, resp.AppendError(nil, "BUSY"))
		return
	}
	c.countFault(err)
	c.sendAnswer(o, appendDenied(nil, err))
	if o.Proof != nil && o.Proof == c.certProof && c.proxy.cfg.Callers.CheckProof(c.certProof) != nil {
		c.finishSending(true) // no further command on this connection can succeed
	}
}

// countFault counts a command that could not be executed, except where only a rate or an overload was the
// cause.
func (c *client) countFault(err error) {
	if why := identity.ReasonOf(err); why != identity.RateLimited && why != identity.Overloaded {
		c.faultyCommands++
	}
}

// replyAuth answers AUTH, whose token has already been checked.
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

// close closes the connection and frees its descriptor; its reader cleans up.
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

// wakeWaiters wakes goroutines that wait for the client to read answers, as it no longer does.
func (c *client) wakeWaiters() {
	c.wakeReader()
	for _, o := range c.pending {
		o.signalTurn()
	}
}

// cleanUp releases the resources of a connection that has ended and cancels its pending requests.
func (c *client) cleanUp() {
	c.close()
	c.sender.Fail()
	pending := c.pending
	c.pending = nil
	c.countExpected()
	for _, o := range pending {
		c.proxy.bufferedBytes -= cap(o.reply)
		o.reply = nil
		if o.body != nil {
			o.body.Release()
			o.body = nil
		}
		if o.many != nil {
			o.many.abandon()
		}
		c.proxy.Cancel(&o.Request)
	}
	c.proxy.addReadAhead(-c.input.takeFreed() - len(c.input.ahead))
	c.input.ahead = nil
	c.releaseBodies()
	c.proxy.upstreams.ResumeDials()
}
