// Package server is the front by which other proxies call this program for every request, as an external processor:
// envoy.service.ext_proc.v3.ExternalProcessor over gRPC (docs/extproc.md).
//
// It speaks the protocol, counts what it holds and carries out what the host decides; it never picks a member, never
// tries anything again by itself and keeps no values. Every stream is one HTTP exchange of a caller's. All state
// beside a stream's own is guarded by the host's one lock, under which nothing blocks.
package server

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/health"
	healthv1 "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"linenloom/internal/extproc"
	"linenloom/internal/identity"
	"linenloom/internal/operator"
	"linenloom/internal/proxy"
	"linenloom/internal/resp"
	"linenloom/internal/upstream"
	"linenloom/logic"
)

const (
	// maxMessageBytes bounds one message. A body that is over resp.MaxValue but under this is told 413; what is longer ends
	// its stream before it is read into memory.
	maxMessageBytes = 256 << 10
	maxHeaderBytes  = 16 << 10 // of the gRPC call itself
	// streamMemory is what a stream holds beside bodies: its goroutines, buffers and tables.
	streamMemory = 12 << 10
	// streamWindow is what a caller may send on a stream before we read it, by HTTP/2's flow control.
	streamWindow = 64 << 10
	// maxConns is how many connections callers may hold. A caller needs one or two, each for many streams.
	maxConns = 64
	// firstMessageTimeout is how long a stream may stand without its first message; it is one exchange's, so a caller opens
	// it when it has something to say.
	firstMessageTimeout = 2500 * time.Millisecond
	// passThroughTimeout is how long a stream may stand whose request is none of ours.
	passThroughTimeout = 5 * time.Minute
	// overdueGrace is how long past its request's time a stream may stand.
	overdueGrace = time.Second
	// idleGoroutines are kept for further streams, and as many again that read.
	idleGoroutines = 32
	// maxCalls is how many request ids are remembered, in hand or over.
	maxCalls = 16384
)

// config is what a reload replaces.
type config struct {
	*operator.ExtProc
	mapping         *extproc.Mapping
	classes         map[string]*logic.Class
	memberMessages  messageCache
	authenticates   bool                          // callers are, by a token in a header
	continueMessage *extprocv3.ProcessingResponse // the response goes on as it is
	retryMessage    *extprocv3.ProcessingResponse // marked for another attempt
}

// Front is the external processor's front.
type Front struct {
	extprocv3.UnimplementedExternalProcessorServer
	host   *proxy.Proxy
	log    *slog.Logger
	config atomic.Pointer[config]
	listen net.Listener
	grpc   *grpc.Server
	health *health.Server

	// Under the host's lock.
	calls          *extproc.CallTable
	streams        map[*stream]struct{}
	conns          int
	generatedIDs   uint32 // ids made here
	counts         Counts
	stuckStreams   []stuckStream
	certConns      map[*countedConn]struct{} // connections with a certificate that proves something
	nextProofCheck time.Duration             // when these are looked at again

	idleReaders     chan *stream  // to readers that have nothing to read
	idleReaderCount atomic.Int32  // of them
	quit            chan struct{} // closed at the end
}

// Counts tells what the front has done and holds.
type Counts struct {
	Streams, Calls, Conns          int // in hand
	Accepted, Unavailable, Invalid int // streams, since the start
	Served, Refused, Failed        int // final answers, since the start
	Routed, Continued, Abandoned   int // attempts given, calls that came back, calls that were given up
	FellBack, ServedElsewhere      int // steps to spare members, responses of members that were not named
}

var _ proxy.Front = (*Front)(nil)

// New makes the front and binds its address. The file has been checked; what it says of classes is checked here,
// against the settings.
func New(p *proxy.Proxy, file *operator.File, log *slog.Logger) (*Front, error) {
	f := &Front{host: p, log: log.With("front", "extproc"), streams: map[*stream]struct{}{}, certConns: map[*countedConn]struct{}{},
		idleReaders: make(chan *stream), quit: make(chan struct{})}
	c, err := f.compile(file)
	if err != nil {
		return nil, err
	}
	f.config.Store(c)
	f.calls = extproc.NewCallTable(maxCalls, c.Remember.D())
	if f.listen, err = bind(c.Listen); err != nil {
		return nil, fmt.Errorf("extproc.listen: %w", err)
	}
	more := []grpc.ServerOption{}
	if by := p.Callers(); by != nil {
		if cfg := by.TLS("extproc"); cfg != nil {
			more = append(more, grpc.Creds(certificateCreds{credentials.NewTLS(cfg), f}))
		}
	}
	f.grpc = grpc.NewServer(append(more,
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxHeaderListSize(maxHeaderBytes),
		// Twice the bound, so that a stream over it is told so, and doesn't wait at the caller.
		grpc.MaxConcurrentStreams(uint32(2*c.MaxStreams)),
		grpc.ConnectionTimeout(firstMessageTimeout),
		// Fixed, so that what callers may send ahead of us is bounded, and can be counted.
		grpc.InitialWindowSize(streamWindow), grpc.InitialConnWindowSize(4*streamWindow),
		// Reading and writing protobuf takes deep stacks. A goroutine that has grown one serves the next stream too; when
		// all are taken, a stream gets a new one.
		grpc.NumStreamWorkers(idleGoroutines),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 30 * time.Second, Timeout: 10 * time.Second}),
	)...)
	extprocv3.RegisterExternalProcessorServer(f.grpc, f)
	f.health = health.NewServer()
	healthv1.RegisterHealthServer(f.grpc, f.health)
	return f, nil
}

func (f *Front) compile(file *operator.File) (*config, error) {
	c := &config{ExtProc: file.ExtProc, classes: map[string]*logic.Class{}, authenticates: f.host.Callers() != nil}
	classes := f.host.Classes()
	for i, class := range classes {
		c.classes[class.Name] = &classes[i]
	}
	if err := file.CheckClasses(logic.ClassNames(classes)); err != nil {
		return nil, err
	}
	var err error
	if c.mapping, err = extproc.NewMapping(c.Map); err != nil {
		return nil, err
	}
	if c.continueMessage, err = preEncode(responseMessage(c.ExtProc, false)); err == nil {
		c.retryMessage, err = preEncode(responseMessage(c.ExtProc, true))
	}
	return c, err
}

// bind listens. A unix socket that a dead process has left is removed; one that is in use is an error.
func bind(a operator.Address) (net.Listener, error) {
	network, addr := a.Network()
	if network == "unix" {
		if info, err := os.Lstat(addr); err == nil && info.Mode()&os.ModeSocket != 0 {
			conn, err := net.DialTimeout(network, addr, time.Second)
			if err == nil {
				conn.Close()
				return nil, fmt.Errorf("%s is in use", addr)
			}
			os.Remove(addr)
		}
	}
	return net.Listen(network, addr)
}

// Addr is where the front listens.
func (f *Front) Addr() net.Addr { return f.listen.Addr() }

// Reload takes over what a checked file says now, as far as a running front can.
func (f *Front) Reload(file *operator.File) error {
	c, err := f.compile(file)
	if err != nil {
		return err
	}
	f.config.Store(c)
	f.host.Do(func() { f.calls.SetRetention(c.Remember.D()) })
	return nil
}

// Counts tells what the front has done and holds.
func (f *Front) Counts() (c Counts) {
	f.host.Do(func() {
		c = f.counts
		c.Streams, c.Calls, c.Conns = len(f.streams), f.calls.Len(), f.conns
	})
	return c
}

// Serve takes calls until StopTaking or Close.
func (f *Front) Serve() error {
	f.log.Info("extproc listens", "addr", f.Addr().String(), "mode", f.config.Load().Mode)
	defer close(f.quit)
	err := f.grpc.Serve(&boundedListener{Listener: f.listen, front: f})
	if errors.Is(err, grpc.ErrServerStopped) {
		return nil
	}
	return err
}

// Drain says in the health service that callers should look elsewhere; streams are still taken.
func (f *Front) Drain() { f.health.Shutdown() }

// StopTaking sends callers away: what they open from now on goes elsewhere, by HTTP/2's GOAWAY, and never ran here.
func (f *Front) StopTaking() { go f.grpc.GracefulStop() }

// Owes tells whether a stream still waits for something. One whose exchange is over is ended; one that has said nothing
// yet may have its first message on the way, and is waited for as long as any.
func (f *Front) Owes() bool {
	owed := false
	for s := range f.streams {
		if s.idle && (s.outbox == nil || s.outbox.pending.Load() == 0) {
			s.endByForce()
		} else {
			owed = true
		}
	}
	return owed
}

// End has nothing to add: a stream ends with its answer, and callers know by GOAWAY that the others never ran.
func (f *Front) End() {}

// Sweep ends streams that stand for too long, and calls whose caller has not come back.
func (f *Front) Sweep() {
	now := f.host.Now()
	f.releaseStuckStreams(now)
	f.checkProofs(now)
	for s := range f.streams {
		if now >= s.expiresAt {
			s.endByForce()
		}
	}
	for _, e := range f.calls.Overdue(now) {
		e.Owner.(*call).abandon()
	}
}

// MakeRoom has nothing to give up: a caller's connection carries many streams.
func (f *Front) MakeRoom() bool { return false }

// Close ends what is still open. gRPC gives descriptors back under the host's lock, which the caller holds.
func (f *Front) Close() { go f.grpc.Stop() }

// boundedListener counts connections, and closes those that there is no room for.
type boundedListener struct {
	net.Listener
	front *Front
}

func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		room := false
		l.front.host.Do(func() {
			if room = l.front.conns < maxConns && l.front.host.Room(); room {
				l.front.conns++
				l.front.host.Descriptors(1)
			}
		})
		if room {
			return &countedConn{Conn: conn, front: l.front}, nil
		}
		conn.Close()
	}
}

type countedConn struct {
	net.Conn
	front        *Front
	once         sync.Once
	stuckStreams int // streams that have ended with something not taken, lately; under the host's lock
	closed       bool

	// Under the host's lock.
	proof   *identity.Proof // what its certificate proves; nil: nothing
	streams int             // on it now, where that is counted
	closing bool            // nothing new is taken on it
}

// remoteAddr lets a stream find its connection, which gRPC does not tell; unix sockets have no addresses to go by.
type remoteAddr struct {
	net.Addr
	conn *countedConn
}

func (c *countedConn) RemoteAddr() net.Addr { return remoteAddr{c.Conn.RemoteAddr(), c} }

func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.front.host.Do(func() {
			c.closed = true
			delete(c.front.certConns, c)
			c.front.conns--
			c.front.host.Descriptors(-1)
		})
	})
	return err
}

// Process is one exchange of a caller's.
func (f *Front) Process(rpc extprocv3.ExternalProcessor_ProcessServer) error {
	s := &stream{front: f, rpc: rpc, config: f.config.Load(), forceEnd: make(chan struct{}), messages: make(chan received), readNext: make(chan struct{}, 1), done: make(chan struct{})}
	if s.config.authenticates {
		s.conn = connOf(rpc.Context())
	}
	if !f.admitStream(s) {
		// gRPC's UNAVAILABLE: the call never ran, and can be made elsewhere.
		return status.Error(codes.Unavailable, "no room for the stream; nothing ran")
	}
	defer f.releaseStream(s)
	defer close(s.done)
	select {
	case f.idleReaders <- s:
	default:
		go f.readStreams(s)
	}
	err := s.run(rpc.Context())
	if s.outbox != nil {
		err = s.outbox.closeAndWait(s, err)
	}
	if status.Code(err) == codes.InvalidArgument {
		f.host.Do(func() { f.counts.Invalid++ })
		f.log.Warn("stream ended", "err", err)
	}
	return err
}

// readStreams reads for a stream, and then for others. Streams end while a Recv is out, and a stream's end ends that.
func (f *Front) readStreams(s *stream) {
	for {
		s.read()
		if f.idleReaderCount.Add(1) > idleGoroutines {
			f.idleReaderCount.Add(-1)
			return
		}
		select {
		case s = <-f.idleReaders:
			f.idleReaderCount.Add(-1)
		case <-f.quit:
			return
		}
	}
}

func (f *Front) admitStream(s *stream) (ok bool) {
	f.host.Do(func() {
		if len(f.streams) >= s.config.MaxStreams || f.host.Stopping() || s.conn != nil && s.conn.closing {
			f.counts.Unavailable++
			return
		}
		if f.host.Hold(streamMemory) {
			f.host.Hold(-streamMemory)
			f.counts.Unavailable++
			return
		}
		ok = true
		f.counts.Accepted++
		f.streams[s] = struct{}{}
		if s.conn != nil {
			s.conn.streams++
		}
		s.expiresAt = f.host.Now() + firstMessageTimeout
	})
	return ok
}

func (f *Front) releaseStream(s *stream) {
	f.host.Do(func() {
		delete(f.streams, s)
		if s.conn != nil {
			s.conn.streams--
			s.conn.closeIfUnused()
		}
		if s.reservation == nil {
			f.host.Hold(-cap(s.body))
		} else {
			s.reservation.ReleaseLocked()
			s.reservation = nil
		}
		f.host.Hold(-streamMemory - s.heldWindow)
		s.body = nil
		if s.call != nil {
			s.call.streamEnded(s)
			if s.call.stream == s || s.call.stream == nil {
				s.call.releaseAnswer()
			}
		}
	})
}

// call is a request in the host's hands. It outlives a stream in mode route, where the caller comes back on another.
type call struct {
	front        *Front
	request      proxy.Request
	entry        *extproc.Entry
	many         *manyCall // it is for many keys
	stream       *stream
	attempt      *proxy.Attempt       // the latest that the host has named; mode route
	namedAddrs   string               // the addresses that the caller was given for it
	finalAnswer  *proxy.Answer        // the final answer, its value copied
	reservation  upstream.Reservation // of a long value, which is not counted as held
	partialValue []byte               // that is not whole yet
	settled      bool                 // the caller has the answer, or nobody waits for one
	decided      chan struct{}        // of one token: something has been decided
}

// routedCall is a call whose attempts the caller makes.
type routedCall struct{ *call }

var _ proxy.Carrier = routedCall{}

// Carry takes the member of the next attempt.
func (c routedCall) Carry(a *proxy.Attempt) {
	c.attempt = a
	c.notify()
}

// Answer takes the final answer.
func (c *call) Answer(a proxy.Answer) {
	switch {
	case a.Body != nil:
		a.Body.Keep()
	case a.Value != nil:
		a.Value = append([]byte(nil), a.Value...)
		c.front.host.Hold(len(a.Value))
	}
	c.finalAnswer = &a
	c.notify()
}

func (c *call) notify() {
	select {
	case c.decided <- struct{}{}:
	default:
	}
}

// settle notes that the call is over for its caller.
func (c *call) settle() {
	if c.settled {
		return
	}
	c.settled = true
	c.front.host.Withdraw(&c.request)
	ran := c.request.MayHaveRun() // what had yet to be sent has been taken back
	if c.many != nil {
		c.many.withdraw()
	}
	if c.attempt != nil && !c.attempt.Ended() {
		s := logic.StatusConnectFailed
		if c.attempt.Given() {
			s = logic.StatusCancelled
		}
		c.attempt.End(s, 0)
	}
	c.front.calls.End(c.entry, ran, c.front.host.Now())
}

// abandon ends a call for which nobody waits any more.
func (c *call) abandon() {
	if !c.settled {
		c.front.counts.Abandoned++
		c.settle()
		c.releaseAnswer()
	}
}

// releaseAnswer lets go of the final answer's value, once it is written or nobody wants it.
func (c *call) releaseAnswer() {
	switch {
	case c.finalAnswer == nil:
	case c.finalAnswer.Body != nil:
		c.finalAnswer.Body.Release()
		c.finalAnswer.Body, c.finalAnswer.Value = nil, nil
	case c.reservation != nil:
		c.reservation.ReleaseLocked()
		c.finalAnswer.Value, c.reservation = nil, nil
	default:
		c.front.host.Hold(-len(c.finalAnswer.Value))
		c.finalAnswer.Value = nil
	}
}

// restrictMembers takes the members that the caller allows from now on.
func (c *call) restrictMembers(only []string) {
	if !slices.Equal(only, c.request.Only) || (only == nil) != (c.request.Only == nil) {
		c.front.host.Narrow(&c.request, only)
	}
}

// streamEnded is told that a stream has ended.
func (c *call) streamEnded(s *stream) {
	if c.stream == s && !c.entry.AwaitingCaller {
		c.stream = nil
		c.abandon()
	}
}

const (
	// maxBodyBytes is the longest body of a request that comes in one message, and maxLongBodyBytes of one that comes in pieces, which are not read
	// before there is room for them.
	maxBodyBytes     = resp.MaxValue
	maxLongBodyBytes = resp.MaxLongValue
	// maxTextBytes bounds what a request tells beside it, as on the RESP2 front.
	maxTextBytes = 2 << 10
)
