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
	proxy         *Proxy
	address       string
	listener      *net.TCPListener // nil until the process that is followed can do without the address
	queuedSince   time.Duration    // connections may have stood in the listener's line since then; 0: they are taken as they come
	clients       map[*client]struct{}
	acceptDone    chan error // the end of accept
	activeClients int        // clients that have asked
	reuseShare    float64    // the share of connections that are asked on again, lately
	accepted      int        // of clients
	shedder       *shed.Controller
	cpuShare      func(now time.Duration) float64 // the share of the core; tests set it
	draining      bool                            // a planned stop has begun
	// endingSince is since when no connection is taken any more, and those that stand end; 0: they don't yet.
	endingSince time.Duration
	answered    int // answers, since it was last looked at
	// pipelineLimit is how many commands of a connection are read ahead of their answers.
	pipelineLimit  int
	tlsConfig      *tls.Config   // nil: clients speak plainly
	nextProofCheck time.Duration // when certificates are looked at again
}

var _ Front = (*redisFront)(nil)

func newRedisFront(p *Proxy, addr string) (*redisFront, error) {
	f := &redisFront{proxy: p, reuseShare: 1, address: addr, clients: map[*client]struct{}{}, acceptDone: make(chan error, 1),
		pipelineLimit: maxPipeline, shedder: shed.New(p.cfg.Settings.Classes, p.cfg.Settings.Tenants), cpuShare: new(cpuMeter).share}
	if p.cfg.Callers != nil {
		f.tlsConfig = p.cfg.Callers.TLS("resp2")
	}
	if addrInUse(addr) {
		p.log.Info("another process listens here, to be followed", "listen", addr)
		return f, nil
	}
	return f, f.startListening()
}

// startListening listens, if the front does not yet.
func (f *redisFront) startListening() error {
	if f.listener != nil {
		return nil
	}
	l, err := listenShared(f.address, f.proxy.log)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	f.listener, f.queuedSince = l, f.proxy.Clock()
	return nil
}

// earliestQueueTime is since when a connection that is taken now may have stood in line, under the lock.
func (f *redisFront) earliestQueueTime() time.Duration {
	if f.queuedSince > 0 {
		return f.queuedSince
	}
	return f.proxy.now
}

// checkAcceptQueue notes, under the lock, that nothing stands in line any more, if that is so.
func (f *redisFront) checkAcceptQueue() {
	if f.queuedSince > 0 && !hasQueuedConns(f.listener) {
		f.queuedSince = 0
	}
}

// listenAddr is the address that clients connect to; nil, as long as another process has it.
func (f *redisFront) listenAddr() net.Addr {
	if f.listener == nil {
		return nil
	}
	return f.listener.Addr()
}

// Serve takes connections until StopAccepting or Close.
func (f *redisFront) Serve() error {
	err := f.acceptLoop()
	f.acceptDone <- err
	return err
}

// Drain has nothing to say to clients yet: connections go on coming for a while. Those that stand are no longer closed for their
// places: who is sent nowhere else yet, as another proxy is down too, goes on using what is open.
func (f *redisFront) Drain() { f.proxy.Do(func() { f.draining = true }) }

// StopAccepting takes what the kernel still holds and closes the listener.
func (f *redisFront) StopAccepting() {
	f.listener.SetDeadline(time.Now().Add(acceptDrainTime))
	if err := <-f.acceptDone; err != nil {
		f.proxy.log.Error("accept while draining", "err", err)
	}
	f.listener.Close()
	f.proxy.Do(func() { f.endingSince = f.proxy.now })
}

// EndIdle ends the connections that are idle and tells whether others are left.
func (f *redisFront) EndIdle() (owed bool) {
	for c := range f.clients {
		// One on which something has come that was not read is free, and not hung up.
		if f.proxy.now-c.lastActive >= drainQuietTime || f.proxy.now-f.endingSince >= lastRequestsTime {
			c.finishSending(false)
		}
		if !c.isIdle() || !c.writeClosed && !c.sender.Failed() {
			owed = true
		}
	}
	return owed
}

// EndAll ends every connection behind its last answer, whatever else has come on it: its client sees an end, and no answer behind it.
func (f *redisFront) EndAll() {
	for c := range f.clients {
		c.finishSending(true)
	}
}

// Sweep closes clients that have stood idle for too long or have left, and looks at how much of the core is used.
func (f *redisFront) Sweep() {
	f.closeIdleClients()
	f.closeDisconnected()
	f.checkProofs()
	f.shedder.UpdateUsage(f.proxy.now, f.cpuShare(f.proxy.now), f.answered)
	f.answered, f.pipelineLimit = 0, f.shedder.MaxPipeline(f.activeClients, maxPipeline)
}

// FreeDescriptor closes the idle client that is missed least.
func (f *redisFront) FreeDescriptor() bool { return f.evictClient() }

// Close ends what is still open.
func (f *redisFront) Close() {
	if f.listener != nil {
		f.listener.Close()
	}
	for c := range f.clients {
		c.close()
	}
}

// acceptLoop takes connections until the listener is closed.
func (f *redisFront) acceptLoop() error {
	p := f.proxy
	p.Do(f.checkAcceptQueue)
	failures := 0
	for {
		conn, err := f.listener.AcceptTCP()
		if err != nil {
			failures++
			switch fault := classifyAcceptError(err); fault {
			case acceptStopped:
				return nil
			case acceptFailed:
				return fmt.Errorf("accept: %w", err)
			default:
				f.backOffAccept(fault, failures)
			}
			continue
		}
		failures = 0
		p.enter()
		c, err := f.newClient(conn)
		f.checkAcceptQueue()
		p.leave()
		if err != nil || c == nil {
			conn.Close()
			continue
		}
		go c.serve()
	}
}

// backOffAccept waits until accept may do better, after so many failures in a row. What stands in line meanwhile is dated by when it may have come.
func (f *redisFront) backOffAccept(fault acceptAction, failures int) {
	if fault == acceptRetry && failures < acceptImmediateRetries {
		return
	}
	p := f.proxy
	p.enter()
	if f.queuedSince == 0 {
		f.queuedSince = p.now
	}
	if fault == acceptNoDescriptors {
		p.freeDescriptor() // what the kernel has taken must be answered
	}
	p.leave()
	time.Sleep(acceptBackoff(failures))
}

// newClient takes a connection in; nil, if there is no room for it.
func (f *redisFront) newClient(conn *net.TCPConn) (*client, error) {
	p := f.proxy
	w, err := sender.New(host{p}, conn)
	if err != nil {
		return nil, err
	}
	in, err := newInputConn(conn)
	if err != nil {
		return nil, err
	}
	for len(f.clients) >= f.maxClients() {
		if !f.evictClient() {
			return nil, nil
		}
	}
	if !p.EnsureDescriptor() {
		return nil, nil
	}
	c := &client{proxy: p, front: f, conn: conn, input: in, stream: in, sender: w, lastActive: p.now, deadlineSet: true, mayBeStale: true,
		arrival: arrival.NewConnection(f.earliestQueueTime(), p.now)}
	size := clientBufferBytes
	if p.cfg.Callers != nil {
		c.remoteAddr = RemoteAddrOf(conn)
	}
	if f.tlsConfig != nil {
		size = tlsBufferBytes
	}
	c.reader = resp.NewReader(c, size)
	if p.cfg.ManyKeys != nil {
		c.reader.SetMaxElements(maxManyElements)
	}
	w.OnDrained, w.OnLost = c.flush, c.wakeWaiters
	conn.SetReadDeadline(time.Now().Add(commandTimeout)) // for the first command, whether it begins or not
	f.clients[c] = struct{}{}
	f.accepted++
	c.keepOpen = f.accepted%keepOpenEvery == 0
	p.AddDescriptors(1)
	return c, nil
}

// maxClients keeps descriptors for the members: without connections to them, no client can be served.
func (f *redisFront) maxClients() int {
	return (f.proxy.cfg.Sockets - spareSockets) * clientShare / 100
}

// evictClient closes the idle client that is missed least: first those that have connected and asked nothing,
// then those idle for long or stuck in the middle of a command, and of each the oldest. A crowd that only
// connects pushes out its own like, not the clients that are being served; clients that come with a first
// question of theirs in such a crowd may have to connect again.
func (f *redisFront) evictClient() bool {
	var victim *client
	least := 0
	since := time.Since(f.proxy.started)
	for c := range f.clients {
		age := f.proxy.now - c.lastActive
		stalled := c.midCommand && c.valueWait == nil && len(c.pending) == 0 &&
			f.proxy.now-c.commandStartedAt >= stalledCommandTime && since-time.Duration(c.lastByteAt.Load()) >= stalledCommandTime
		if !c.isIdle() && !stalled {
			continue
		}
		rank := 3
		switch {
		case stalled:
			rank = 1
		case !c.hasRequested && age >= newConnGrace:
			rank = 0
		case c.hasRequested && age >= crowdedIdleTimeout:
			rank = 1
		case !c.hasRequested:
			rank = 2
		}
		if (victim == nil || rank < least || rank == least && c.lastActive < victim.lastActive) && c.hasNoInput() {
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
	age := f.idleTimeout(f.activeClients)
	for c := range f.clients {
		if c.hasRequested && f.proxy.now-c.lastActive >= age && c.isIdle() && c.hasNoInput() {
			c.close()
		}
	}
}

// closeDisconnected closes the connections whose clients have left where no reader would notice: it waits until answers are out, or for room,
// and the end stands behind what it has not read. What was asked on them is withdrawn then, and the rest is not looked at.
func (f *redisFront) closeDisconnected() {
	for c := range f.clients {
		if (c.valueWait != nil || len(c.pending) > 0 && c.resume != nil) && c.sender.PeerClosed() {
			c.close()
		}
	}
}

// idleTimeout is how long a connection may stand idle while so many have asked.
func (f *redisFront) idleTimeout(asked int) time.Duration {
	half := max(1, f.proxy.cfg.Sockets*activeClientPercent/200)
	switch {
	case asked <= half && len(f.clients) <= f.maxClients()/2:
		return clientIdleTimeout
	case asked <= half:
		return crowdedIdleTimeout
	}
	left := max(0, 2*half-asked)
	return minIdleTimeout + (crowdedIdleTimeout-minIdleTimeout)*time.Duration(left)/time.Duration(half)
}
