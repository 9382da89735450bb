package proxy

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"runtime"
	"sync/atomic"
	"time"

	"linenloom/internal/arrival"
	"linenloom/internal/identity"
	"linenloom/internal/reasons"
	"linenloom/internal/resp"
	"linenloom/internal/sender"
	"linenloom/internal/shed"
)

const (
	clientBuffer = 4 << 10
	maxText      = 2 << 10  // key, id and list together
	mostKeyText  = 64 << 10 // of the keys of OBJ.MGET together
	// manyElements is the most elements of a command where there is OBJ.MGET: one with too many keys is read over, and told so.
	manyElements = 1 << 16
	// maxPipeline is how many commands of a connection are read ahead of their answers at the most.
	maxPipeline = 32
	// maxUnsent is how much a client may leave unread before nothing more is read from it.
	maxUnsent = 2 * resp.MaxValue
	// commandTime is how long a command may take to arrive, and a new connection's first from when it was
	// accepted. Whatever the reason for which a client stops short (half a command, silence, a peer that
	// vanished), it would hold a descriptor and memory for good. It harms a client that pauses for longer
	// inside a command, and one that connects long before it asks: that one has to connect again.
	commandTime = 2500 * time.Millisecond
	// clientIdle is how long a connection may stand idle; crowdedIdle, once connections that have asked take half
	// of the room that clients have for requests, and from there on less, down to leastIdle when they take it
	// all. Clients that come once and stay would else hold all of it, idle, while others find none. It guards
	// against any crowd, and pools far larger than their use. A client whose next command crosses the close sends
	// it again on a new connection, and one that asks seldom has to connect anew: at worst for each request.
	clientIdle  = 10 * time.Second
	crowdedIdle = 2200 * time.Millisecond
	leastIdle   = 100 * time.Millisecond
	askedShare  = 30 // percent of the descriptors: a little less than clients hold for requests at most
	// Where hardly any connection is used a second time, one that has been answered is closed at once, from when
	// connections that have asked take a third of the room on. Else each would hold a place until it counts as idle, and
	// clients that come anew for every request find none. reuseLeast is the share of connections asked on again, of the
	// last reuseOf or so, under which that is done, and every keepEvery-th connection is kept all the same: from those it
	// is told. It could do harm where clients use their connections again only after long: they have to connect anew.
	reuseLeast = 0.2
	reuseOf    = 32
	keepEvery  = 8
	// turnMost is how many commands of a connection are worked on before others that have something have their turn: one
	// that pipelines would else hold the core for as long as its buffer lasts.
	turnMost = 8
	// endGap is for how long a connection has been quiet that is ended by itself when the proxy stops. One that was asked on later ends
	// right behind its next answer: its client hears of the end with the answer, and not when it has asked again. It should exceed
	// the time in which clients that ask one request after another come again.
	endGap = 30 * time.Millisecond
	// youngFor is how long a connection that has not asked yet is spared when room is needed: a client's
	// first command may be on its way.
	youngFor = 100 * time.Millisecond
	// stalledFor is how long a client may pause inside a command before its place may go to another, when all are taken.
	// What it asks was not taken yet, so nothing is lost. A crowd that sends half a command each would else hold all
	// places for as long as a command may take; a client that is slow but goes on keeps its place.
	stalledFor = 700 * time.Millisecond
	// maxFaults is how many commands that can't be carried out a client may send before its connection is
	// ended. Each has its error line; without an end, a faulty client could keep the proxy busy for ever.
	maxFaults = 16
	// lingerBytes and lingerFor bound what is read after the last answer of a faulty client, so that closing
	// does not reset the connection before that answer is read. It may have megabytes more to send.
	lingerBytes = 256 << 10
	lingerFor   = 500 * time.Millisecond
	// lingerPiece is how much of what comes is dropped every lingerPace while answers from before are still out. It bounds what a client
	// that sends garbage for ever costs, and how late the end of one that has sent megabytes is seen.
	lingerPiece = 64 << 10
	lingerPace  = 20 * time.Millisecond
	lingerLook  = 100 * time.Millisecond // where nothing comes, whether the answers are out is looked at this often
)

// input is a command as it was read.
type input struct {
	Command
	name    string // of commands other than the two that are passed on
	refused bool   // there was no room for its value
	long    int    // bytes of the room for long values that it has

	many    bool     // it asks for many keys
	keys    []string // these
	tooMany int      // or so many, which were not read

	token  []byte          // of AUTH
	proof  *identity.Proof // of who sent it
	denied error           // why that could not be proven
}

// owed is an answer that a connection owes, in the order of its commands. A reply that no member has a part in
// (to PING, or an error) is one too, so that answers keep their order.
type owed struct {
	Request
	client *client
	reply  []byte        // the final answer, until it is written
	body   *Body         // the same, shared with others
	many   *manyReply    // it is for many keys, and not over
	turn   chan struct{} // closed when a value that is passed on may go on
	run    bool          // refusals of several commands in a row
}

// client is a client's connection.
type client struct {
	p       *Proxy
	f       *redisFront
	conn    *net.TCPConn
	stream  net.Conn // conn, or what is encrypted on it
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

	line   shed.Line // what has come and was not read yet; the reader's own
	corked bool      // refusals have yet to be written; the reader's own
	turn   int       // commands worked on since it last waited or gave way; the reader's own

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
	if c.arrived.Behind() && c.quiet() {
		c.arrived.CaughtUp()
	}
	n, err := c.stream.Read(b)
	c.arrived.Read(c.p.Clock(), n == len(b))
	if n >= shed.LineLeast || c.line.Active() {
		c.measure(n, n == len(b))
	}
	// What has stood unread for long, with the kernel until the connection was accepted or because the core is short, may be of a client
	// that has left since. Elsewhere it is read as it comes, and so is the end.
	if stale := c.stale || c.line.Active(); stale && n > 0 {
		if c.stale = false; c.w.Left() {
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

// redisFront takes RESP2 clients. It is always there: the platform's clients speak nothing else.
type redisFront struct {
	p        *Proxy
	address  string
	listen   *net.TCPListener // nil until the process that is followed can do without the address
	waited   time.Duration    // connections may have stood in the listener's line since then; 0: they are taken as they come
	clients  map[*client]struct{}
	taken    chan error // the end of accept
	asked    int        // clients that have asked
	reuse    float64    // the share of connections that are asked on again, lately
	count    int        // of clients
	gate     *shed.Gate
	used     func(now time.Duration) float64 // the share of the core; tests set it
	draining bool                            // a planned stop has begun
	// ending is since when no connection is taken any more, and those that stand end; 0: they don't yet.
	ending time.Duration
	told   int // answers, since it was last looked at
	// pipeline is how many commands of a connection are read ahead of their answers.
	pipeline int
	tls      *tls.Config   // nil: clients speak plainly
	proofsAt time.Duration // when certificates are looked at again
}

var _ Front = (*redisFront)(nil)

func newRedisFront(p *Proxy, addr string) (*redisFront, error) {
	f := &redisFront{p: p, reuse: 1, address: addr, clients: map[*client]struct{}{}, taken: make(chan error, 1),
		pipeline: maxPipeline, gate: shed.New(p.cfg.Settings.Classes, p.cfg.Settings.Tenants), used: new(core).share}
	if p.cfg.Callers != nil {
		f.tls = p.cfg.Callers.TLS("resp2")
	}
	if listenedAt(addr) {
		p.log.Info("another process listens here, to be followed", "listen", addr)
		return f, nil
	}
	return f, f.open()
}

// open listens, if the front does not yet.
func (f *redisFront) open() error {
	if f.listen != nil {
		return nil
	}
	l, err := listenShared(f.address, f.p.log)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	f.listen, f.waited = l, f.p.Clock()
	return nil
}

// inLineSince is since when a connection that is taken now may have stood in line, under the lock.
func (f *redisFront) inLineSince() time.Duration {
	if f.waited > 0 {
		return f.waited
	}
	return f.p.now
}

// lookAtLine notes, under the lock, that nothing stands in line any more, if that is so.
func (f *redisFront) lookAtLine() {
	if f.waited > 0 && !waitingIn(f.listen) {
		f.waited = 0
	}
}

// addr is the address that clients connect to; nil, as long as another process has it.
func (f *redisFront) addr() net.Addr {
	if f.listen == nil {
		return nil
	}
	return f.listen.Addr()
}

// Serve takes connections until StopTaking or Close.
func (f *redisFront) Serve() error {
	err := f.accept()
	f.taken <- err
	return err
}

// Drain has nothing to say to clients yet: connections go on coming for a while. Those that stand are no longer closed for their
// places: who is sent nowhere else yet, as another proxy is down too, goes on using what is open.
func (f *redisFront) Drain() { f.p.Do(func() { f.draining = true }) }

// StopTaking takes what the kernel still holds and closes the listener.
func (f *redisFront) StopTaking() {
	f.listen.SetDeadline(time.Now().Add(backlogTime))
	if err := <-f.taken; err != nil {
		f.p.log.Error("accept while draining", "err", err)
	}
	f.listen.Close()
	f.p.Do(func() { f.ending = f.p.now })
}

// Owes ends the connections that are idle and tells whether others are left.
func (f *redisFront) Owes() (owed bool) {
	for c := range f.clients {
		// One on which something has come that was not read is free, and not hung up.
		if f.p.now-c.active >= endGap || f.p.now-f.ending >= lastTakes {
			c.hangUp(false)
		}
		if !c.free() || !c.hung && !c.w.Failed() {
			owed = true
		}
	}
	return owed
}

// End ends every connection behind its last answer, whatever else has come on it: its client sees an end, and no answer behind it.
func (f *redisFront) End() {
	for c := range f.clients {
		c.hangUp(true)
	}
}

// Sweep closes clients that have stood idle for too long or have left, and looks at how much of the core is used.
func (f *redisFront) Sweep() {
	f.closeIdleClients()
	f.closeLeft()
	f.sweepProofs()
	f.gate.Used(f.p.now, f.used(f.p.now), f.told)
	f.told, f.pipeline = 0, f.gate.Pipeline(f.asked, maxPipeline)
}

// MakeRoom closes the idle client that is missed least.
func (f *redisFront) MakeRoom() bool { return f.dropClient() }

// Close ends what is still open.
func (f *redisFront) Close() {
	if f.listen != nil {
		f.listen.Close()
	}
	for c := range f.clients {
		c.close()
	}
}

// accept takes connections until the listener is closed.
func (f *redisFront) accept() error {
	p := f.p
	p.Do(f.lookAtLine)
	failures := 0
	for {
		conn, err := f.listen.AcceptTCP()
		if err != nil {
			failures++
			switch fault := acceptFaultOf(err); fault {
			case acceptOver:
				return nil
			case acceptBroken:
				return fmt.Errorf("accept: %w", err)
			default:
				f.awaitAccept(fault, failures)
			}
			continue
		}
		failures = 0
		p.enter()
		c, err := f.newClient(conn)
		f.lookAtLine()
		p.leave()
		if err != nil || c == nil {
			conn.Close()
			continue
		}
		go c.serve()
	}
}

// awaitAccept waits until accept may do better, after so many failures in a row. What stands in line meanwhile is dated by when it may have come.
func (f *redisFront) awaitAccept(fault acceptFault, failures int) {
	if fault == acceptAgain && failures < acceptTries {
		return
	}
	p := f.p
	p.enter()
	if f.waited == 0 {
		f.waited = p.now
	}
	if fault == acceptShort {
		p.makeRoom() // what the kernel has taken must be answered
	}
	p.leave()
	time.Sleep(acceptBackoff(failures))
}

// newClient takes a connection in; nil, if there is no room for it.
func (f *redisFront) newClient(conn *net.TCPConn) (*client, error) {
	p := f.p
	w, err := sender.New(host{p}, conn)
	if err != nil {
		return nil, err
	}
	for len(f.clients) >= f.maxClients() {
		if !f.dropClient() {
			return nil, nil
		}
	}
	if !p.Room() {
		return nil, nil
	}
	c := &client{p: p, f: f, conn: conn, stream: conn, w: w, active: p.now, limited: true, stale: true,
		arrived: arrival.Accepted(f.inLineSince(), p.now)}
	size := clientBuffer
	if p.cfg.Callers != nil {
		c.from = AddrOf(conn)
	}
	if f.tls != nil {
		size = tlsBuffer
	}
	c.in = resp.NewReader(c, size)
	if p.cfg.ManyKeys != nil {
		c.in.AllowElements(manyElements)
	}
	w.Idle, w.Lost = c.flush, c.lost
	conn.SetReadDeadline(time.Now().Add(commandTime)) // for the first command, whether it begins or not
	f.clients[c] = struct{}{}
	f.count++
	c.kept = f.count%keepEvery == 0
	p.Descriptors(1)
	return c, nil
}

// maxClients keeps descriptors for the members: without connections to them, no client can be served.
func (f *redisFront) maxClients() int {
	return (f.p.cfg.Sockets - spareSockets) * clientShare / 100
}

// dropClient closes the idle client that is missed least: first those that have connected and asked nothing,
// then those idle for long or stuck in the middle of a command, and of each the oldest. A crowd that only
// connects pushes out its own like, not the clients that are being served; clients that come with a first
// question of theirs in such a crowd may have to connect again.
func (f *redisFront) dropClient() bool {
	var victim *client
	least := 0
	since := time.Since(f.p.started)
	for c := range f.clients {
		age := f.p.now - c.active
		stalled := c.mid && c.waits == nil && len(c.pending) == 0 &&
			f.p.now-c.midAt >= stalledFor && since-time.Duration(c.heard.Load()) >= stalledFor
		if !c.free() && !stalled {
			continue
		}
		rank := 3
		switch {
		case stalled:
			rank = 1
		case !c.asked && age >= youngFor:
			rank = 0
		case c.asked && age >= crowdedIdle:
			rank = 1
		case !c.asked:
			rank = 2
		}
		if victim == nil || rank < least || rank == least && c.active < victim.active {
			victim, least = c, rank
		}
	}
	if victim == nil {
		return false
	}
	victim.close()
	return true
}

// closeIdleClients closes the connections that have stood idle for too long.
func (f *redisFront) closeIdleClients() {
	age := f.idleAge(f.asked)
	for c := range f.clients {
		if c.asked && f.p.now-c.active >= age && c.free() {
			c.close()
		}
	}
}

// closeLeft closes the connections whose clients have left where no reader would notice: it waits until answers are out, or for room,
// and the end stands behind what it has not read. What was asked on them is withdrawn then, and the rest is not looked at.
func (f *redisFront) closeLeft() {
	for c := range f.clients {
		if (c.waits != nil || len(c.pending) > 0 && c.resume != nil) && c.w.Left() {
			c.close()
		}
	}
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
	if !f.draining && f.reuse < reuseLeast && f.asked >= f.p.cfg.Sockets*askedShare/300 && !c.kept && !c.again && c.free() && c.quiet() {
		c.close()
	}
}

// idleAge is how long a connection may stand idle while so many have asked.
func (f *redisFront) idleAge(asked int) time.Duration {
	half := max(1, f.p.cfg.Sockets*askedShare/200)
	switch {
	case asked <= half && len(f.clients) <= f.maxClients()/2:
		return clientIdle
	case asked <= half:
		return crowdedIdle
	}
	left := max(0, 2*half-asked)
	return leastIdle + (crowdedIdle-leastIdle)*time.Duration(left)/time.Duration(half)
}

// free tells whether the connection can be closed without losing anything.
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
	c.p.enter()
	late := c.mid && errors.Is(err, os.ErrDeadlineExceeded) // one that said nothing is closed without a word
	if err != nil && !c.ended && (errors.Is(err, resp.ErrProtocol) || late || errors.Is(err, errFaulty)) {
		text := "ERR Protocol error: " + err.Error()
		if late {
			text = "ERR the command was not finished in time"
		}
		c.error(text)
		c.mid = false
		c.hangUp(true)
		c.p.leave()
		if !c.linger() {
			c.awaitAnswers()
		}
		c.p.enter()
	}
	c.gone()
	c.p.leave()
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

// quiet tells whether nothing has come that was not read yet: a command that has is answered before its connection ends.
func (c *client) quiet() bool {
	return c.w.Look() != sender.Bytes && (c.tls == nil || !c.tls.undecoded.Load())
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
		cmd.Arrived = c.arrived.Latest()
		if c.line.Active() && c.shed(&cmd) {
			continue
		}
		if p.cfg.Callers != nil {
			c.identify(&cmd)
		}
		p.enter()
		c.mid = false
		if c.ended { // it has been told of the end; a request that crosses it is sent again elsewhere
			p.letGo(&Request{Command: cmd.Command, long: cmd.long})
			hung := c.hung
			p.leave()
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
		p.leave()
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
			c.arrived.Missed()
		}
	}
}

// crowded tells whether the client has to take in answers before more is read from it.
func (c *client) crowded() bool {
	return len(c.pending) >= c.f.pipeline || c.w.Backlog() > maxUnsent || c.w.Busy() && c.p.held > c.p.heldMax
}

// awaitAnswers waits until everything pending is answered, which the deadline of the requests bounds, or the client has left. What it still
// sends is read and dropped, no faster than lingerPace: its end stands behind that.
func (c *client) awaitAnswers() {
	for {
		c.p.enter()
		over := c.closed || c.w.Failed() || c.free()
		c.p.leave()
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
		c.f.gate.Came(o.tenant)
		return
	}
	c.p.letGo(&o.Request)
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

// Answer puts the final answer into RESP2.
func (o *owed) Answer(a Answer) {
	p := o.client.p
	b := p.scratch[:0]
	switch a.Kind {
	case Served:
		if a.Body != nil {
			o.client.answerShared(o, a.Body)
			return
		}
		b = resp.AppendBulk(b, a.Value)
	case Refused:
		b = appendBusy(b, a.RetryAfter)
	default:
		switch {
		case o.denied != nil: // it was never sent for that; else it may have run, whatever has become of its proof
			b = appendDenied(b, o.denied)
		case a.Why == reasons.OtherOrder:
			b = resp.AppendError(b, "ERR the idempotency key stands for another order")
		default:
			b = resp.AppendError(b, "ERR failed")
		}
	}
	o.client.answer(o, b)
	p.scratch = b[:0]
}

// fault counts a command that could not be carried out, but for those that only came too often.
func (c *client) fault(err error) {
	if why := identity.WhyOf(err); why != identity.Rate && why != identity.Overload {
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
		o.wakeTurn()
	}
}

// gone cleans up after a connection that has ended: nobody waits for what is pending.
func (c *client) gone() {
	c.close()
	c.w.Fail()
	pending := c.pending
	c.pending = nil
	for _, o := range pending {
		c.p.held -= len(o.reply)
		o.reply = nil
		if o.body != nil {
			o.body.Release()
			o.body = nil
		}
		if o.many != nil {
			o.many.leave()
		}
		c.p.Withdraw(&o.Request)
	}
	c.letBodies()
}
