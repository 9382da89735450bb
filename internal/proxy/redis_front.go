package proxy

import (
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"linenloom/internal/arrival"
	"linenloom/internal/resp"
	"linenloom/internal/sender"
	"linenloom/internal/shed"
)

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
	gate     *shed.Controller
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
	f.gate.UpdateUsage(f.p.now, f.used(f.p.now), f.told)
	f.told, f.pipeline = 0, f.gate.MaxPipeline(f.asked, maxPipeline)
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
		p.beginEvent()
		c, err := f.newClient(conn)
		f.lookAtLine()
		p.endEvent()
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
	p.beginEvent()
	if f.waited == 0 {
		f.waited = p.now
	}
	if fault == acceptShort {
		p.makeRoom() // what the kernel has taken must be answered
	}
	p.endEvent()
	time.Sleep(acceptBackoff(failures))
}

// newClient takes a connection in; nil, if there is no room for it.
func (f *redisFront) newClient(conn *net.TCPConn) (*client, error) {
	p := f.p
	w, err := sender.New(host{p}, conn)
	if err != nil {
		return nil, err
	}
	in, err := newIntake(conn)
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
	c := &client{p: p, f: f, conn: conn, intake: in, stream: in, w: w, active: p.now, limited: true, stale: true,
		arrived: arrival.NewConnection(f.inLineSince(), p.now)}
	size := clientBuffer
	if p.cfg.Callers != nil {
		c.from = AddrOf(conn)
	}
	if f.tls != nil {
		size = tlsBuffer
	}
	c.in = resp.NewReader(c, size)
	if p.cfg.ManyKeys != nil {
		c.in.SetMaxElements(manyElements)
	}
	w.OnDrained, w.OnLost = c.flush, c.lost
	conn.SetReadDeadline(time.Now().Add(commandTime)) // for the first command, whether it begins or not
	f.clients[c] = struct{}{}
	f.count++
	c.kept = f.count%keepEvery == 0
	p.Descriptors(1)
	return c, nil
}

// maxClients keeps descriptors for the members: without connections to them, no client can be served.
func (f *redisFront) maxClients() int {
	return (f.p.cfg.Descriptors - reservedDescriptors) * clientDescriptorPercent / 100
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
		if (victim == nil || rank < least || rank == least && c.active < victim.active) && c.quiet() {
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
		if c.asked && f.p.now-c.active >= age && c.free() && c.quiet() {
			c.close()
		}
	}
}

// closeLeft closes the connections whose clients have left where no reader would notice: it waits until answers are out, or for room,
// and the end stands behind what it has not read. What was asked on them is withdrawn then, and the rest is not looked at.
func (f *redisFront) closeLeft() {
	for c := range f.clients {
		if (c.waits != nil || len(c.pending) > 0 && c.resume != nil) && c.w.PeerClosed() {
			c.close()
		}
	}
}

// idleAge is how long a connection may stand idle while so many have asked.
func (f *redisFront) idleAge(asked int) time.Duration {
	half := max(1, f.p.cfg.Descriptors*askedShare/200)
	switch {
	case asked <= half && len(f.clients) <= f.maxClients()/2:
		return clientIdle
	case asked <= half:
		return crowdedIdle
	}
	left := max(0, 2*half-asked)
	return leastIdle + (crowdedIdle-leastIdle)*time.Duration(left)/time.Duration(half)
}
