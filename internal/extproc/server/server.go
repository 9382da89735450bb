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
	// maxMessage bounds one message. A body that is over resp.MaxValue but under this is told 413; what is longer ends
	// its stream before it is read into memory.
	maxMessage = 256 << 10
	maxHeaders = 16 << 10 // of the gRPC call itself
	// streamCost is what a stream holds beside bodies: its goroutines, buffers and tables.
	streamCost = 12 << 10
	// streamWindow is what a caller may send on a stream before we read it, by HTTP/2's flow control.
	streamWindow = 64 << 10
	// mostConns is how many connections callers may hold. A caller needs one or two, each for many streams.
	mostConns = 64
	// firstMessage is how long a stream may stand without its first message; it is one exchange's, so a caller opens
	// it when it has something to say.
	firstMessage = 2500 * time.Millisecond
	// passedFor is how long a stream may stand whose request is none of ours.
	passedFor = 5 * time.Minute
	// overdue is how long past its request's time a stream may stand.
	overdue = time.Second
	// keptGoroutines are kept for further streams, and as many again that read.
	keptGoroutines = 32
	// mostCalls is how many request ids are remembered, in hand or over.
	mostCalls = 16384
)

// config is what a reload replaces.
type config struct {
	*operator.ExtProc
	mapping *extproc.Mapping
	classes map[string]*logic.Class
	names   names
	proven  bool                          // callers are, by a token in a header
	going   *extprocv3.ProcessingResponse // the response goes on as it is
	again   *extprocv3.ProcessingResponse // marked for another attempt
}

// Front is the external processor's front.
type Front struct {
	extprocv3.UnimplementedExternalProcessorServer
	p      *proxy.Proxy
	log    *slog.Logger
	cfg    atomic.Pointer[config]
	listen net.Listener
	grpc   *grpc.Server
	health *health.Server

	// Under the host's lock.
	calls        *extproc.Calls
	streams      map[*stream]struct{}
	conns        int
	made         uint32 // ids made here
	counts       Counts
	stuckStreams []stuckStream
	proven       map[*counted]struct{} // connections with a certificate that proves something
	proofsAt     time.Duration         // when these are looked at again

	readers chan *stream  // to readers that have nothing to read
	resting atomic.Int32  // of them
	quit    chan struct{} // closed at the end
}

// Counts tells what the front has done and holds.
type Counts struct {
	Streams, Calls, Conns       int // in hand
	Taken, Unavailable, Faulty  int // streams, since the start
	Served, Refused, Failed     int // final answers, since the start
	Routed, Returned, Abandoned int // attempts given, calls that came back, calls that were given up
	FellBack, Elsewhere         int // steps to spare members, responses of members that were not named
}

var _ proxy.Front = (*Front)(nil)

// New makes the front and binds its address. The file has been checked; what it says of classes is checked here,
// against the settings.
func New(p *proxy.Proxy, file *operator.File, log *slog.Logger) (*Front, error) {
	f := &Front{p: p, log: log.With("front", "extproc"), streams: map[*stream]struct{}{}, proven: map[*counted]struct{}{},
		readers: make(chan *stream), quit: make(chan struct{})}
	c, err := f.compile(file)
	if err != nil {
		return nil, err
	}
	f.cfg.Store(c)
	f.calls = extproc.NewCalls(mostCalls, c.Remember.D())
	if f.listen, err = bind(c.Listen); err != nil {
		return nil, fmt.Errorf("extproc.listen: %w", err)
	}
	more := []grpc.ServerOption{}
	if by := p.Callers(); by != nil {
		if cfg := by.TLS("extproc"); cfg != nil {
			more = append(more, grpc.Creds(doorCreds{credentials.NewTLS(cfg), f}))
		}
	}
	f.grpc = grpc.NewServer(append(more,
		grpc.MaxRecvMsgSize(maxMessage), grpc.MaxHeaderListSize(maxHeaders),
		// Twice the bound, so that a stream over it is told so, and doesn't wait at the caller.
		grpc.MaxConcurrentStreams(uint32(2*c.MaxStreams)),
		grpc.ConnectionTimeout(firstMessage),
		// Fixed, so that what callers may send ahead of us is bounded, and can be counted.
		grpc.InitialWindowSize(streamWindow), grpc.InitialConnWindowSize(4*streamWindow),
		// Reading and writing protobuf takes deep stacks. A goroutine that has grown one serves the next stream too; when
		// all are taken, a stream gets a new one.
		grpc.NumStreamWorkers(keptGoroutines),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 30 * time.Second, Timeout: 10 * time.Second}),
	)...)
	extprocv3.RegisterExternalProcessorServer(f.grpc, f)
	f.health = health.NewServer()
	healthv1.RegisterHealthServer(f.grpc, f.health)
	return f, nil
}

func (f *Front) compile(file *operator.File) (*config, error) {
	c := &config{ExtProc: file.ExtProc, classes: map[string]*logic.Class{}, proven: f.p.Callers() != nil}
	classes := f.p.Classes()
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
	if c.going, err = encoded(responseGoesOn(c.ExtProc, false)); err == nil {
		c.again, err = encoded(responseGoesOn(c.ExtProc, true))
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
	f.cfg.Store(c)
	f.p.Do(func() { f.calls.SetRemember(c.Remember.D()) })
	return nil
}

// Counts tells what the front has done and holds.
func (f *Front) Counts() (c Counts) {
	f.p.Do(func() {
		c = f.counts
		c.Streams, c.Calls, c.Conns = len(f.streams), f.calls.Len(), f.conns
	})
	return c
}

// Serve takes calls until StopTaking or Close.
func (f *Front) Serve() error {
	f.log.Info("extproc listens", "addr", f.Addr().String(), "mode", f.cfg.Load().Mode)
	defer close(f.quit)
	err := f.grpc.Serve(&bounded{Listener: f.listen, f: f})
	if errors.Is(err, grpc.ErrServerStopped) {
		return nil
	}
	return err
}

// Drain says in the health service that callers should look elsewhere; streams are still taken.
func (f *Front) Drain() { f.health.Shutdown() }

// StopAccepting sends callers away: what they open from now on goes elsewhere, by HTTP/2's GOAWAY, and never ran here.
func (f *Front) StopAccepting() { go f.grpc.GracefulStop() }

// EndIdle tells whether a stream still waits for something. One whose exchange is over is ended; one that has said nothing
// yet may have its first message on the way, and is waited for as long as any.
func (f *Front) EndIdle() bool {
	owed := false
	for s := range f.streams {
		if s.idle && (s.out == nil || s.out.in.Load() == 0) {
			s.kick()
		} else {
			owed = true
		}
	}
	return owed
}

// EndAll has nothing to add: a stream ends with its answer, and callers know by GOAWAY that the others never ran.
func (f *Front) EndAll() {}

// Sweep ends streams that stand for too long, and calls whose caller has not come back.
func (f *Front) Sweep() {
	now := f.p.Now()
	f.sweepStuck(now)
	f.sweepProofs(now)
	for s := range f.streams {
		if now >= s.due {
			s.kick()
		}
	}
	for _, e := range f.calls.Late(now) {
		e.Owner.(*call).abandon()
	}
}

// FreeDescriptor has nothing to give up: a caller's connection carries many streams.
func (f *Front) FreeDescriptor() bool { return false }

// Close ends what is still open. gRPC gives descriptors back under the host's lock, which the caller holds.
func (f *Front) Close() { go f.grpc.Stop() }

// bounded counts connections, and closes those that there is no room for.
type bounded struct {
	net.Listener
	f *Front
}

func (l *bounded) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		room := false
		l.f.p.Do(func() {
			if room = l.f.conns < mostConns && l.f.p.EnsureDescriptor(); room {
				l.f.conns++
				l.f.p.AddDescriptors(1)
			}
		})
		if room {
			return &counted{Conn: conn, f: l.f}, nil
		}
		conn.Close()
	}
}

type counted struct {
	net.Conn
	f      *Front
	once   sync.Once
	stuck  int // streams that have ended with something not taken, lately; under the host's lock
	closed bool

	// Under the host's lock.
	cert    *identity.Proof // what its certificate proves; nil: nothing
	streams int             // on it now, where that is counted
	ending  bool            // nothing new is taken on it
}

// remoteAddr lets a stream find its connection, which gRPC does not tell; unix sockets have no addresses to go by.
type remoteAddr struct {
	net.Addr
	conn *counted
}

func (c *counted) RemoteAddr() net.Addr { return remoteAddr{c.Conn.RemoteAddr(), c} }

func (c *counted) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.f.p.Do(func() {
			c.closed = true
			delete(c.f.proven, c)
			c.f.conns--
			c.f.p.AddDescriptors(-1)
		})
	})
	return err
}

// Process is one exchange of a caller's.
func (f *Front) Process(rpc extprocv3.ExternalProcessor_ProcessServer) error {
	s := &stream{f: f, rpc: rpc, cfg: f.cfg.Load(), kicked: make(chan struct{}), in: make(chan received), want: make(chan struct{}, 1), over: make(chan struct{})}
	if s.cfg.proven {
		s.conn = connOf(rpc.Context())
	}
	if !f.open(s) {
		// gRPC's UNAVAILABLE: the call never ran, and can be made elsewhere.
		return status.Error(codes.Unavailable, "no room for the stream; nothing ran")
	}
	defer f.closed(s)
	defer close(s.over)
	select {
	case f.readers <- s:
	default:
		go f.read(s)
	}
	err := s.run(rpc.Context())
	if s.out != nil {
		err = s.out.end(s, err)
	}
	if status.Code(err) == codes.InvalidArgument {
		f.p.Do(func() { f.counts.Faulty++ })
		f.log.Warn("stream ended", "err", err)
	}
	return err
}

// read reads for a stream, and then for others. Streams end while a Recv is out, and a stream's end ends that.
func (f *Front) read(s *stream) {
	for {
		s.read()
		if f.resting.Add(1) > keptGoroutines {
			f.resting.Add(-1)
			return
		}
		select {
		case s = <-f.readers:
			f.resting.Add(-1)
		case <-f.quit:
			return
		}
	}
}

func (f *Front) open(s *stream) (ok bool) {
	f.p.Do(func() {
		if len(f.streams) >= s.cfg.MaxStreams || f.p.Stopping() || s.conn != nil && s.conn.ending {
			f.counts.Unavailable++
			return
		}
		if f.p.Hold(streamCost) {
			f.p.Hold(-streamCost)
			f.counts.Unavailable++
			return
		}
		ok = true
		f.counts.Taken++
		f.streams[s] = struct{}{}
		if s.conn != nil {
			s.conn.streams++
		}
		s.due = f.p.Now() + firstMessage
	})
	return ok
}

func (f *Front) closed(s *stream) {
	f.p.Do(func() {
		delete(f.streams, s)
		if s.conn != nil {
			s.conn.streams--
			s.conn.left()
		}
		if s.place == nil {
			f.p.Hold(-cap(s.body))
		} else {
			s.place.ReleaseLocked()
			s.place = nil
		}
		f.p.Hold(-streamCost - s.window)
		s.body = nil
		if s.call != nil {
			s.call.left(s)
			if s.call.stream == s || s.call.stream == nil {
				s.call.forget()
			}
		}
	})
}

// call is a request in the host's hands. It outlives a stream in mode route, where the caller comes back on another.
type call struct {
	f       *Front
	req     proxy.Request
	entry   *extproc.Entry
	many    *manyCall // it is for many keys
	stream  *stream
	attempt *proxy.Attempt       // the latest that the host has named; mode route
	named   string               // the addresses that the caller was given for it
	final   *proxy.Answer        // the final answer, its value copied
	place   upstream.Reservation // of a long value, which is not counted as held
	value   []byte               // that is not whole yet
	settled bool                 // the caller has the answer, or nobody waits for one
	ended   chan struct{}        // of one token: something has been decided
}

// routed is a call whose attempts the caller makes.
type routed struct{ *call }

var _ proxy.ExternalSender = routed{}

// Assign takes the member of the next attempt.
func (c routed) Assign(a *proxy.Attempt) {
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
		c.f.p.Hold(len(a.Value))
	}
	c.final = &a
	c.notify()
}

func (c *call) notify() {
	select {
	case c.ended <- struct{}{}:
	default:
	}
}

// settle notes that the call is over for its caller.
func (c *call) settle() {
	if c.settled {
		return
	}
	c.settled = true
	c.f.p.Cancel(&c.req)
	ran := c.req.MayHaveRun() // what had yet to be sent has been taken back
	if c.many != nil {
		c.many.leave()
	}
	if c.attempt != nil && !c.attempt.Ended() {
		s := logic.StatusConnectFailed
		if c.attempt.Announced() {
			s = logic.StatusCancelled
		}
		c.attempt.End(s, 0)
	}
	c.f.calls.End(c.entry, ran, c.f.p.Now())
}

// abandon ends a call for which nobody waits any more.
func (c *call) abandon() {
	if !c.settled {
		c.f.counts.Abandoned++
		c.settle()
		c.forget()
	}
}

// forget lets go of the final answer's value, once it is written or nobody wants it.
func (c *call) forget() {
	switch {
	case c.final == nil:
	case c.final.Body != nil:
		c.final.Body.Release()
		c.final.Body, c.final.Value = nil, nil
	case c.place != nil:
		c.place.ReleaseLocked()
		c.final.Value, c.place = nil, nil
	default:
		c.f.p.Hold(-len(c.final.Value))
		c.final.Value = nil
	}
}

// narrow takes the members that the caller allows from now on.
func (c *call) narrow(only []string) {
	if !slices.Equal(only, c.req.AllowedAddrs) || (only == nil) != (c.req.AllowedAddrs == nil) {
		c.f.p.RestrictMembers(&c.req, only)
	}
}

// left is told that a stream has ended.
func (c *call) left(s *stream) {
	if c.stream == s && !c.entry.Returning {
		c.stream = nil
		c.abandon()
	}
}

const (
	// maxBody is the longest body of a request that comes in one message, and maxLong of one that comes in pieces, which are not read
	// before there is room for them.
	maxBody = resp.MaxValue
	maxLong = resp.MaxLongValue
	// maxText bounds what a request tells beside it, as on the RESP2 front.
	maxText = 2 << 10
)
