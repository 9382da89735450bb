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

// redisFront serves RESP2 clients. It always exists: the platform's clients speak no other protocol.
type redisFront struct {
	proxy         *Proxy
	address       string
	listener      *net.TCPListener // nil until the predecessor process no longer needs the address
	queuedSince   time.Duration    // earliest arrival of connections in the accept queue; 0: the queue is empty
	clients       map[*client]struct{}
	acceptDone    chan error // result of acceptLoop
	activeClients int        // clients that have sent at least one command
	reuseShare    float64    // moving average of the share of connections that are used again
	accepted      int        // clients accepted so far
	shedder       *shed.Controller
	cpuShare      func(now time.Duration) float64 // share of the core in use; tests replace it
	draining      bool                            // a planned stop has begun
	// endingSince is when the front stopped accepting connections and began to end the open ones; 0: it
	// hasn't yet.
	endingSince time.Duration
	answered    int // answers since the latest sweep
	// pipelineLimit is how many commands of a connection are read ahead of their answers.
	pipelineLimit  int
	tlsConfig      *tls.Config   // nil: clients don't use TLS
	nextProofCheck time.Duration // when client certificates are checked again
}

var _ Front = (*redisFront)(nil)

func newRedisFront(p *Proxy, addr string) (*redisFront, error) {
	f := &redisFront{proxy: p, reuseShare: 1, address: addr, clients: map[*client]struct{}{}, acceptDone: make(chan error, 1),
		pipelineLimit: maxPipeline, shedder: shed.New(p.cfg.Settings.Classes, p.cfg.Settings.Tenants), cpuShare: new(cpuMeter).share}
	if p.cfg.Callers != nil {
		f.tlsConfig = p.cfg.Callers.TLS("resp2")
	}
	if addrInUse(addr) {
		p.log.Info("another process listens at the address; waiting to take it over", "listen", addr)
		return f, nil
	}
	return f, f.startListening()
}

// startListening opens the listener unless it is open already.
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

// earliestQueueTime returns the earliest time at which a connection that is accepted now may have entered
// the accept queue. It requires the lock.
func (f *redisFront) earliestQueueTime() time.Duration {
	if f.queuedSince > 0 {
		return f.queuedSince
	}
	return f.proxy.now
}

// checkAcceptQueue clears queuedSince if the accept queue is empty. It requires the lock.
func (f *redisFront) checkAcceptQueue() {
	if f.queuedSince > 0 && !hasQueuedConns(f.listener) {
		f.queuedSince = 0
	}
}

// listenAddr returns the address that clients connect to; nil, while another process has it.
func (f *redisFront) listenAddr() net.Addr {
	if f.listener == nil {
		return nil
	}
	return f.listener.Addr()
}

// Serve accepts connections until StopAccepting or Close is called.
func (f *redisFront) Serve() error {
	err := f.acceptLoop()
	f.acceptDone <- err
	return err
}

// Drain does not notify clients yet: connections may still arrive for a while. From now on connections are no
// longer closed after an answer to free their descriptors: clients that have no other proxy to go to yet,
// as another is down too, go on using their open connections.
func (f *redisFront) Drain() { f.proxy.Do(func() { f.draining = true }) }

// StopAccepting accepts what the kernel still holds and closes the listener.
func (f *redisFront) StopAccepting() {
	f.listener.SetDeadline(time.Now().Add(acceptDrainTime))
	if err := <-f.acceptDone; err != nil {
		f.proxy.log.Error("accept failed while draining", "err", err)
	}
	f.listener.Close()
	f.proxy.Do(func() { f.endingSince = f.proxy.now })
}

// EndIdle ends the connections that are idle and reports whether others remain.
func (f *redisFront) EndIdle() (answersPending bool) {
	for c := range f.clients {
		// A connection with unread input is idle, but its sending side is not closed.
		if f.proxy.now-c.lastActive >= drainQuietTime || f.proxy.now-f.endingSince >= lastRequestsTime {
			c.finishSending(false)
		}
		if !c.isIdle() || !c.writeClosed && !c.sender.Failed() {
			answersPending = true
		}
	}
	return answersPending
}

// EndAll ends every connection after its last answer, whatever further input it has: its client sees the
// end of the stream and no later answer.
func (f *redisFront) EndAll() {
	for c := range f.clients {
		c.finishSending(true)
	}
}

// Sweep closes clients that have been idle for too long or have disconnected, and measures the use of the
// core.
func (f *redisFront) Sweep() {
	f.closeIdleClients()
	f.closeDisconnected()
	f.checkProofs()
	f.shedder.UpdateUsage(f.proxy.now, f.cpuShare(f.proxy.now), f.answered)
	f.answered, f.pipelineLimit = 0, f.shedder.MaxPipeline(f.activeClients, maxPipeline)
}

// FreeDescriptor closes the idle client whose loss costs least.
func (f *redisFront) FreeDescriptor() bool { return f.evictClient() }

// Close closes the listener and all connections that are still open.
func (f *redisFront) Close() {
	if f.listener != nil {
		f.listener.Close()
	}
	for c := range f.clients {
		c.close()
	}
}

// acceptLoop accepts connections until the listener is closed.
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
		c := f.admit(conn)
		if c == nil {
			conn.Close()
			continue
		}
		go c.serve()
	}
}

// admit sets up an accepted connection; it returns nil if there is no capacity for it. A client within the
// clients' share of the descriptors waits while connections to members, all of them busy, have more than
// theirs; the clients behind it wait in the accept queue.
func (f *redisFront) admit(conn *net.TCPConn) *client {
	p := f.proxy
	giveUpAt := p.Clock() + descriptorWait
	for {
		p.beginEvent()
		c, err := f.newClient(conn)
		waits := c == nil && err == nil && !f.draining && p.now < giveUpAt && p.descriptorBudget().WithinClientShare(p.descriptorUse())
		if waits {
			f.queuedSince = f.earliestQueueTime() // nobody reads what arrives meanwhile
		} else {
			f.checkAcceptQueue()
		}
		p.endEvent()
		if !waits {
			return c
		}
		time.Sleep(descriptorPollInterval)
	}
}

// backOffAccept waits before the next accept, after the given number of consecutive failures. Connections
// that queue up meanwhile get the earliest possible arrival time.
func (f *redisFront) backOffAccept(fault acceptAction, failures int) {
	if fault == acceptRetry && failures < acceptImmediateRetries {
		return
	}
	p := f.proxy
	p.beginEvent()
	if f.queuedSince == 0 {
		f.queuedSince = p.now
	}
	if fault == acceptNoDescriptors {
		// A connection that the kernel has accepted must be answered.
		p.freeDescriptor(p.descriptorBudget().FreeForClient(p.descriptorUse()))
	}
	p.endEvent()
	time.Sleep(acceptBackoff(failures))
}

// newClient sets up an accepted connection; it returns nil if there is no capacity for it.
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
	w.OnBacklogWritten, w.OnLost = c.flush, c.wakeWaiters
	// Limits the wait for the first command, whether it begins or not.
	conn.SetReadDeadline(time.Now().Add(commandTimeout))
	f.clients[c] = struct{}{}
	f.accepted++
	c.keepOpen = f.accepted%keepOpenEvery == 0
	p.AddDescriptors(1)
	return c, nil
}

// maxClients reserves descriptors for connections to members, without which no client can be served.
func (f *redisFront) maxClients() int {
	return (f.proxy.cfg.Descriptors - reservedDescriptors) * clientDescriptorPercent / 100
}

// evictClient closes the idle client whose loss costs least: first those that have connected and sent no
// command, then those that have been idle for long or are stuck in the middle of a command, and of each
// group the oldest. Clients in large numbers that only connect displace each other, and not the clients
// that are being served; a client whose first command arrives among them may have to reconnect.
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

// closeIdleClients closes the connections that have been idle for too long.
func (f *redisFront) closeIdleClients() {
	age := f.idleTimeout(f.activeClients)
	for c := range f.clients {
		if c.hasRequested && f.proxy.now-c.lastActive >= age && c.isIdle() && c.hasNoInput() {
			c.close()
		}
	}
}

// closeDisconnected closes connections whose clients have disconnected without their reader noticing: the
// reader waits for outstanding answers or for memory, and the end of the stream comes after input that it
// has not read. Their pending requests are cancelled, and the unread input is dropped.
func (f *redisFront) closeDisconnected() {
	for c := range f.clients {
		suspended := len(c.pending) > 0 && c.resume != nil
		if suspended {
			f.readAhead(c)
		}
		if (c.valueWait != nil || suspended) && c.sender.PeerClosed() {
			c.close()
		}
	}
}

// readAhead reads input of a client whose reader is suspended, if there is so much of it that the end of the
// client's input may be behind what the kernel has room for.
func (f *redisFront) readAhead(c *client) {
	p := f.proxy
	room := min(maxReadAhead-int(c.input.aheadBytes.Load()), p.maxBufferedBytes*readAheadPercent/100-p.readAheadBytes)
	if room > 0 && c.sender.Unread() >= readAheadFrom {
		p.addReadAhead(c.input.readAhead(room))
	}
}

// addReadAhead changes the count of bytes that were read ahead. It requires the lock.
func (p *Proxy) addReadAhead(bytes int) {
	p.readAheadBytes += bytes
	p.bufferedBytes += bytes
}

// idleTimeout returns how long a connection may stay idle while the given number of clients have sent a
// command.
func (f *redisFront) idleTimeout(asked int) time.Duration {
	half := max(1, f.proxy.cfg.Descriptors*activeClientPercent/200)
	switch {
	case asked <= half && len(f.clients) <= f.maxClients()/2:
		return clientIdleTimeout
	case asked <= half:
		return crowdedIdleTimeout
	}
	left := max(0, 2*half-asked)
	return minIdleTimeout + (crowdedIdleTimeout-minIdleTimeout)*time.Duration(left)/time.Duration(half)
}
