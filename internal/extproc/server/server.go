// Package server implements the ext_proc front end: other proxies call this process for every request as an
// external processor, envoy.service.ext_proc.v3.ExternalProcessor over gRPC (docs/extproc.md).
//
// The package implements the protocol, counts the memory that it holds and carries out what the host
// (proxy.Proxy) decides. It never picks a member, never retries by itself and stores no values. Each stream
// is one HTTP exchange of a caller. All state other than a stream's own is guarded by the host's single
// lock, under which nothing blocks.
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
	// maxMessageBytes limits one message. A body over resp.MaxValue and under this limit is answered with
	// 413; a longer message ends its stream before it is read into memory.
	maxMessageBytes = 256 << 10
	maxHeaderBytes  = 16 << 10 // headers of the gRPC call itself
	// streamMemory is the memory of a stream without bodies: its goroutines, buffers and tables.
	streamMemory = 12 << 10
	// streamWindow is HTTP/2's flow-control window: what a caller may send on a stream before it is read.
	streamWindow = 64 << 10
	// maxConns limits the callers' connections. A caller needs one or two, each for many streams.
	maxConns = 64
	// firstMessageTimeout limits how long a stream may stay open without its first message. A stream is one
	// exchange, so a caller opens it when it has a message to send.
	firstMessageTimeout = 2500 * time.Millisecond
	// passThroughTimeout limits a stream whose request matches no map entry.
	passThroughTimeout = 5 * time.Minute
	// overdueGrace is how long a stream may stay open after its request's deadline.
	overdueGrace = time.Second
	// idleGoroutines is the number of goroutines kept for further streams, and also of those kept for
	// reading.
	idleGoroutines = 32
	// maxCalls limits the request ids that are remembered, of requests in progress and ended ones.
	maxCalls = 16384
)

// config is the part of the state that a reload replaces.
type config struct {
	*operator.ExtProc
	mapping         *extproc.Mapping
	classes         map[string]*logic.Class
	memberMessages  messageCache
	authenticates   bool                          // callers are authenticated by a token in a header
	continueMessage *extprocv3.ProcessingResponse // lets a response through unchanged
	retryMessage    *extprocv3.ProcessingResponse // lets a response through, marked for another attempt
}

// Front is the ext_proc front end.
type Front struct {
	extprocv3.UnimplementedExternalProcessorServer
	host   *proxy.Proxy
	log    *slog.Logger
	config atomic.Pointer[config]
	listen net.Listener
	grpc   *grpc.Server
	health *health.Server

	// Guarded by the host's lock.
	calls          *extproc.CallTable
	streams        map[*stream]struct{}
	conns          int
	generatedIDs   uint32 // number of request ids that this process has generated
	counts         Counts
	stuckStreams   []stuckStream
	certConns      map[*countedConn]struct{} // connections authenticated by a certificate
	nextProofCheck time.Duration             // when checkProofs checks them again

	idleReaders     chan *stream  // hands streams to idle reader goroutines
	idleReaderCount atomic.Int32  // number of idle reader goroutines
	quit            chan struct{} // closed when Serve returns
}

// Counts holds the front end's counters and gauges.
type Counts struct {
	Streams, Calls, Conns          int // current
	Accepted, Unavailable, Invalid int // streams since the start
	Served, Refused, Failed        int // final answers since the start
	Routed, Continued, Abandoned   int // attempts given to callers, calls continued, calls abandoned
	FellBack, ServedElsewhere      int // fallback steps, responses of members that were not named
}

var _ proxy.Front = (*Front)(nil)

// New creates the front end and binds its address. The file has already been validated, except for its
// class names, which are checked here against the settings.
func New(host *proxy.Proxy, file *operator.File, log *slog.Logger) (*Front, error) {
	front := &Front{host: host, log: log.With("front", "extproc"), streams: map[*stream]struct{}{}, certConns: map[*countedConn]struct{}{},
		idleReaders: make(chan *stream), quit: make(chan struct{})}
	cfg, err := front.compile(file)
	if err != nil {
		return nil, err
	}
	front.config.Store(cfg)
	front.calls = extproc.NewCallTable(maxCalls, cfg.OrderRetention.D())
	if front.listen, err = bind(cfg.Listen); err != nil {
		return nil, fmt.Errorf("extproc.listen: %w", err)
	}
	options := []grpc.ServerOption{}
	if callers := host.Callers(); callers != nil {
		if cfg := callers.TLS("extproc"); cfg != nil {
			options = append(options, grpc.Creds(certificateCreds{credentials.NewTLS(cfg), front}))
		}
	}
	front.grpc = grpc.NewServer(append(options,
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxHeaderListSize(maxHeaderBytes),
		// Twice max_streams, so that an excess stream is refused with a status and does not wait at the
		// caller.
		grpc.MaxConcurrentStreams(uint32(2*cfg.MaxStreams)),
		grpc.ConnectionTimeout(firstMessageTimeout),
		// Fixed windows, so that the data that callers may send ahead is bounded and can be counted.
		grpc.InitialWindowSize(streamWindow), grpc.InitialConnWindowSize(4*streamWindow),
		// Encoding and decoding protobuf needs deep stacks. A worker goroutine whose stack has grown serves
		// further streams; if all workers are busy, a stream gets a new goroutine.
		grpc.NumStreamWorkers(idleGoroutines),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 30 * time.Second, Timeout: 10 * time.Second}),
	)...)
	extprocv3.RegisterExternalProcessorServer(front.grpc, front)
	front.health = health.NewServer()
	healthv1.RegisterHealthServer(front.grpc, front.health)
	return front, nil
}

func (f *Front) compile(file *operator.File) (*config, error) {
	cfg := &config{ExtProc: file.ExtProc, classes: map[string]*logic.Class{}, authenticates: f.host.Callers() != nil}
	classes := f.host.Classes()
	for i, class := range classes {
		cfg.classes[class.Name] = &classes[i]
	}
	if err := file.CheckClasses(logic.ClassNames(classes)); err != nil {
		return nil, err
	}
	var err error
	if cfg.mapping, err = extproc.NewMapping(cfg.Map); err != nil {
		return nil, err
	}
	if cfg.continueMessage, err = preEncode(responseMessage(cfg.ExtProc, false)); err == nil {
		cfg.retryMessage, err = preEncode(responseMessage(cfg.ExtProc, true))
	}
	return cfg, err
}

// bind listens on an address. It removes a unix socket left behind by a dead process and fails for one that
// is in use.
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

// Addr returns the listener's address.
func (f *Front) Addr() net.Addr { return f.listen.Addr() }

// Reload applies a validated file, as far as a running front end can.
func (f *Front) Reload(file *operator.File) error {
	c, err := f.compile(file)
	if err != nil {
		return err
	}
	f.config.Store(c)
	f.host.Do(func() { f.calls.SetRetention(c.OrderRetention.D()) })
	return nil
}

// Counts returns the current counters and gauges.
func (f *Front) Counts() (c Counts) {
	f.host.Do(func() {
		c = f.counts
		c.Streams, c.Calls, c.Conns = len(f.streams), f.calls.Len(), f.conns
	})
	return c
}

// Serve accepts calls until StopAccepting or Close.
func (f *Front) Serve() error {
	f.log.Info("extproc listens", "addr", f.Addr().String(), "mode", f.config.Load().Mode)
	defer close(f.quit)
	err := f.grpc.Serve(&boundedListener{Listener: f.listen, front: f})
	if errors.Is(err, grpc.ErrServerStopped) {
		return nil
	}
	return err
}

// Drain sets the health service to not serving, so that callers prefer another processor; streams are still
// accepted.
func (f *Front) Drain() { f.health.Shutdown() }

// StopAccepting refuses new streams with HTTP/2's GOAWAY, so callers know that these never ran and use another
// processor.
func (f *Front) StopAccepting() { go f.grpc.GracefulStop() }

// EndIdle reports whether a stream still waits for an answer. It ends streams whose exchange is over. A stream
// without messages may have its first one in transit and is waited for like any other.
func (f *Front) EndIdle() bool {
	waiting := false
	for s := range f.streams {
		if s.drainable && (s.outbox == nil || s.outbox.pending.Load() == 0) {
			s.endByForce()
		} else {
			waiting = true
		}
	}
	return waiting
}

// EndAll does nothing: a stream ends with its answer, and GOAWAY tells callers that all others never ran.
func (f *Front) EndAll() {}

// Sweep ends overdue streams and calls whose caller has not returned in time.
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
		e.ServerCall.(*call).abandon()
	}
}

// FreeDescriptor returns false: closing a connection would end its many streams.
func (f *Front) FreeDescriptor() bool { return false }

// Close closes the listener and all connections. It runs in a goroutine of its own, as closing connections
// takes the host's lock, which the caller of Close holds.
func (f *Front) Close() { go f.grpc.Stop() }

// boundedListener counts connections and closes those over the limit.
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
		admitted := false
		l.front.host.Do(func() {
			if admitted = l.front.conns < maxConns && l.front.host.EnsureDescriptor(); admitted {
				l.front.conns++
				l.front.host.AddDescriptors(1)
			}
		})
		if admitted {
			return &countedConn{Conn: conn, front: l.front}, nil
		}
		conn.Close()
	}
}

type countedConn struct {
	net.Conn
	front        *Front
	once         sync.Once
	stuckStreams int // streams that recently ended with unread responses; guarded by the host's lock
	closed       bool

	// Guarded by the host's lock.
	proof   *identity.Proof // what the client certificate proves; nil: nothing
	streams int             // open streams, counted where callers are authenticated
	closing bool            // no new streams are accepted
}

// remoteAddr lets a stream find its connection, which gRPC does not expose; unix sockets have no distinct
// addresses to look it up by.
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
			c.front.host.AddDescriptors(-1)
		})
	})
	return err
}

// Process serves one exchange of a caller.
func (f *Front) Process(rpc extprocv3.ExternalProcessor_ProcessServer) error {
	s := &stream{front: f, rpc: rpc, config: f.config.Load(), forceEnd: make(chan struct{}), messages: make(chan received), readNext: make(chan struct{}, 1), done: make(chan struct{})}
	if s.config.authenticates {
		s.conn = connOf(rpc.Context())
	}
	if !f.admitStream(s) {
		// With gRPC's UNAVAILABLE the call has not run and can be made elsewhere.
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
		f.log.Warn("stream ended with an invalid message", "err", err)
	}
	return err
}

// readStreams reads messages for a stream and then for further ones. A stream may end during its Recv call,
// which then returns.
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
		if f.host.AddBuffered(streamMemory) {
			f.host.AddBuffered(-streamMemory)
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
			f.host.AddBuffered(-cap(s.body))
		} else {
			s.reservation.ReleaseLocked()
			s.reservation = nil
		}
		f.host.AddBuffered(-streamMemory - s.heldWindow)
		s.body = nil
		if s.call != nil {
			s.call.streamEnded(s)
			if s.call.stream == s || s.call.stream == nil {
				s.call.releaseAnswer()
			}
		}
	})
}

// call is a request submitted to the host. In route mode it outlives its stream, as the caller returns on
// another one.
type call struct {
	front        *Front
	request      proxy.Request
	entry        *extproc.Entry
	many         *manyCall // set if the call is for many keys
	stream       *stream
	attempt      *proxy.Attempt       // route mode: the latest attempt named by the host
	namedAddrs   string               // addresses given to the caller for the attempt
	finalAnswer  *proxy.Answer        // its value is a copy
	reservation  upstream.Reservation // for a long value, which does not count as held
	partialValue []byte               // a value that is still incomplete
	settled      bool                 // the caller has its answer or no longer waits for one
	resultReady  chan struct{}        // capacity 1: signals a named member or the final answer
}

// routedCall is a call whose attempts the caller makes.
type routedCall struct{ *call }

var _ proxy.ExternalSender = routedCall{}

// Assign receives the member for the next attempt.
func (c routedCall) Assign(a *proxy.Attempt) {
	c.attempt = a
	c.notify()
}

// Answer receives the final answer.
func (c *call) Answer(a proxy.Answer) {
	switch {
	case a.Body != nil:
		a.Body.Retain()
	case a.Value != nil && !c.front.host.MayHold(&c.request, len(a.Value)):
		a = c.front.host.RefuseForMemory(&c.request)
	case a.Value != nil:
		a.Value = append([]byte(nil), a.Value...)
		c.front.host.AddBuffered(len(a.Value))
	}
	c.finalAnswer = &a
	c.notify()
}

func (c *call) notify() {
	select {
	case c.resultReady <- struct{}{}:
	default:
	}
}

// settle marks the call as ended for its caller.
func (c *call) settle() {
	if c.settled {
		return
	}
	c.settled = true
	c.front.host.Cancel(&c.request)
	mayHaveRun := c.request.MayHaveRun() // after Cancel, which takes back what has not been sent
	if c.many != nil {
		c.many.withdraw()
	}
	if c.attempt != nil && !c.attempt.Ended() {
		outcome := logic.StatusConnectFailed
		if c.attempt.Announced() {
			outcome = logic.StatusCancelled
		}
		c.attempt.End(outcome, 0)
	}
	c.front.calls.End(c.entry, mayHaveRun, c.front.host.Now())
}

// abandon ends a call whose caller no longer waits.
func (c *call) abandon() {
	if !c.settled {
		c.front.counts.Abandoned++
		c.settle()
		c.releaseAnswer()
	}
}

// releaseAnswer releases the final answer's value once it has been sent or is no longer needed.
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
		c.front.host.AddBuffered(-len(c.finalAnswer.Value))
		c.finalAnswer.Value = nil
	}
}

// restrictMembers applies the set of members that the caller allows from now on.
func (c *call) restrictMembers(only []string) {
	if !slices.Equal(only, c.request.AllowedAddrs) || (only == nil) != (c.request.AllowedAddrs == nil) {
		c.front.host.RestrictMembers(&c.request, only)
	}
}

// streamEnded abandons the call if its stream has ended and the caller is not expected to return.
func (c *call) streamEnded(s *stream) {
	if c.stream == s && !c.entry.AwaitingCaller {
		c.stream = nil
		c.abandon()
	}
}

const (
	// maxBodyBytes limits a request body in one message, maxLongBodyBytes one in several messages, which
	// are read only after memory has been reserved.
	maxBodyBytes     = resp.MaxValue
	maxLongBodyBytes = resp.MaxLongValue
	// maxTextBytes limits the other texts of a request, as on the RESP2 front end.
	maxTextBytes = 2 << 10
)
