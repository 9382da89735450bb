package server

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc/codes"

	"linenloom/internal/extproc/caller"
	"linenloom/internal/proxy"
	"linenloom/internal/standin"
)

// useFullDuplex makes the harness's caller send bodies in full duplex in both directions.
func (h *harness) useFullDuplex(trailers bool) *harness {
	h.caller.SetFullDuplex()
	h.caller.Trailers = trailers
	return h
}

func TestFullDuplex(t *testing.T) {
	for _, mode := range []string{"answer", "route"} {
		for _, trailers := range []bool{false, true} {
			t.Run(fmt.Sprint(mode, "/trailers=", trailers), func(t *testing.T) {
				fleet, err := standin.NewFleet(3, 40_000)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(fleet.Close)
				fleet.Fill("k")
				env := newHarness(t, fleet, operatorFile(mode, ""), nil).useFullDuplex(trailers)
				env.caller.Retries = 4
				res := env.do(readRequest("k", "r1"))
				env.expect(res, 200, "value of k")
				if want := standin.Value("k", 40_000); !bytes.Equal(res.Body, want) {
					t.Errorf("%d bytes of the value came back, want %d", len(res.Body), len(want))
				}
				env.expect(env.do(readRequest("missed", "r2")), 200, "value of missed")
				q := orderRequest("o1", "w1")
				q.Body = bytes.Repeat([]byte("x"), maxBodyBytes)
				env.expect(env.do(q), 200, "receipt of o1")
				q = orderRequest("o2", "w2")
				q.Body = bytes.Repeat([]byte("x"), maxBodyBytes+1)
				if mode == "answer" {
					env.expect(env.do(q), 200, "receipt of o2")
				}
				q = orderRequest("o4", "w4")
				q.Body = bytes.Repeat([]byte("x"), maxLongBodyBytes+1)
				env.expect(env.do(q), 413, "over")
				fleet.Origin.SetFault(standin.Failing)
				env.expect(env.do(orderRequest("o3", "w3")), 502, "may have run")
				for key, n := range fleet.Origin.Executions() {
					if n != 1 || key == "o4" {
						t.Errorf("%s ran %d times", key, n)
					}
				}
				env.waitIdle()
			})
		}
	}
}

// A request that matches no map entry passes through unchanged, with a body of any length.
func TestFullDuplexPassThrough(t *testing.T) {
	env := newHarness(t, newFleet(t, 1), operatorFile("route", `unmapped = "pass"`), nil).useFullDuplex(true)
	body := bytes.Repeat([]byte("0123456789a"), 100_000)
	for _, chunk := range []int{0, 200_001, maxChunkBytes, maxChunkBytes + 1} { // longer ones come back in parts
		env.caller.ChunkBytes = chunk
		res := env.do(caller.Request{Method: "POST", Path: "/else", Body: body})
		if !res.PassedThrough || res.Err != nil || !bytes.Equal(res.Body, body) {
			t.Errorf("parts of %d: passed %v, %d bytes, %v; want %d", chunk, res.PassedThrough, len(res.Body), res.Err, len(body))
		}
	}
	env.waitIdle()
}

// openDuplex opens a stream in full duplex with a pass-through request whose body follows.
func (h *harness) openDuplex(ctx context.Context) extprocv3.ExternalProcessor_ProcessClient {
	h.t.Helper()
	s, err := extprocv3.NewExternalProcessorClient(h.caller.Conn(0)).Process(ctx)
	if err != nil {
		h.t.Fatal(err)
	}
	err = s.Send(&extprocv3.ProcessingRequest{
		ProtocolConfig: &extprocv3.ProtocolConfiguration{RequestBodyMode: fullDuplex},
		Request: &extprocv3.ProcessingRequest_RequestHeaders{RequestHeaders: &extprocv3.HttpHeaders{
			Headers: headerMap(":method", "POST", ":path", "/else")}}})
	if err != nil {
		h.t.Fatal(err)
	}
	return s
}

func bodyPart(n int) *extprocv3.ProcessingRequest {
	return &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestBody{
		RequestBody: &extprocv3.HttpBody{Body: make([]byte, n)}}}
}

// A caller that sends and does not read responses is blocked, not buffered: only a few parts are held, and
// the stream ends when it is overdue although a message to the caller cannot be written.
func TestCallerThatDoesNotRead(t *testing.T) {
	env := newHarness(t, newFleet(t, 1), operatorFile("route", `unmapped = "pass"`), nil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	s := env.openDuplex(ctx)
	sent, parts := make(chan int, 1), atomic.Int32{}
	go func() {
		for s.Send(bodyPart(32<<10)) == nil {
			parts.Add(1)
		}
		sent <- int(parts.Load())
	}()
	// The caller's library buffers a window of its own, and the transports some more; then everything
	// blocks, with thirteen parts in transit. A part that only waits for its turn is not stuck yet.
	stuck := func() bool {
		l := env.host.Load()
		return parts.Load() >= 10 && l.Held > streamMemory+streamWindow+2*32<<10
	}
	env.eventually("parts wait to be taken", stuck)
	if l := env.host.Load(); l.Held > streamMemory+streamWindow+4*maxChunkBytes {
		t.Errorf("%d bytes held for one stream", l.Held)
	}
	env.front.host.Do(func() {
		for s := range env.front.streams {
			s.expiresAt = 0 // the stream is overdue
		}
	})
	env.eventually("the stream has ended here", func() bool { return env.front.Counts().Streams == 0 })
	env.eventually("only what the transport may have counts as held", func() bool { return env.host.Load().Held == streamWindow })
	cancel() // the caller resets the stream
	if n := await(t, sent, "the caller's sending ends"); n > 64 {
		t.Errorf("%d parts of 32 KiB were taken in", n)
	}
	env.caller.Close()
	env.waitIdle()
}

// A stream whose body never ends is ended with its request's deadline, and its held memory is released.
func TestDuplexBodyThatNeverEnds(t *testing.T) {
	for _, mode := range []string{"answer", "route"} {
		t.Run(mode, func(t *testing.T) {
			fleet := newFleet(t, 1)
			env := newHarness(t, fleet, operatorFile(mode, ""), nil)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			s, err := extprocv3.NewExternalProcessorClient(env.caller.Conn(0)).Process(ctx)
			if err != nil {
				t.Fatal(err)
			}
			s.Send(&extprocv3.ProcessingRequest{
				ProtocolConfig: &extprocv3.ProtocolConfiguration{RequestBodyMode: fullDuplex},
				Request: &extprocv3.ProcessingRequest_RequestHeaders{RequestHeaders: &extprocv3.HttpHeaders{
					Headers: headerMap(":method", "PUT", ":path", "/orders/o", "x-request-id", "e1")}}})
			s.Send(bodyPart(1000))
			env.eventually("the part has come", func() bool { return env.host.Load().Held >= streamMemory+streamWindow })
			for {
				if _, err := s.Recv(); err != nil {
					break
				}
			}
			env.waitIdle()
			if n := fleet.Origin.Executions()["o"]; n != 0 {
				t.Errorf("half an order ran %d times", n)
			}
		})
	}
}

// The flow-control windows of duplex streams count as held memory, so that excess streams are refused
// instead of buffered.
func TestDuplexStreamsAreBoundedByMemory(t *testing.T) {
	env := newHarness(t, newFleet(t, 1), operatorFile("route", `unmapped = "pass"
max_streams = 1024`), func(c *proxy.Config) { c.MemoryMB = 32 }) // 8 MB for bodies
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	refused := 0
	for range 200 {
		s := env.openDuplex(ctx)
		if _, err := s.Recv(); err != nil {
			refused++
		}
		if l := env.host.Load(); l.Held > 8<<20+streamMemory+streamWindow {
			t.Fatalf("%d bytes held", l.Held)
		}
	}
	if refused == 0 || refused > 150 {
		t.Errorf("%d of 200 streams refused", refused)
	}
	cancel()
	env.waitIdle()
}

func TestSubsetHint(t *testing.T) {
	for _, mode := range []string{"answer", "route"} {
		t.Run(mode, func(t *testing.T) {
			fleet := newFleet(t, 4)
			fleet.Fill("a", "b", "c", "d", "e", "f", "g", "h")
			env := newHarness(t, fleet, operatorFile(mode, ""), nil)
			env.eventually("the list is known", func() bool { return env.host.Load().Ready == 5 })
			only := fleet.Caches[2]
			env.caller.Subset = []string{only.Addr()}
			for i, key := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
				env.expect(env.do(readRequest(key, fmt.Sprint("s", i))), 200, "value of "+key)
			}
			for _, to := range env.sent() {
				if to != proxy.MemberID(only.ID) {
					t.Errorf("sent to %v, which the hint does not name", to)
				}
			}
			sent := len(env.sent())
			for i, none := range [][]string{{}, {"10.0.0.1:80"}, {"127.0.0.1:1", ""}} {
				env.caller.Subset = none
				env.expect(env.do(readRequest("a", fmt.Sprint("n", i))), 503, "refused")
			}
			env.caller.Subset = []string{only.Addr()} // the origin, where orders go, is not included
			env.expect(env.do(orderRequest("o", "w1")), 503, "refused")
			if len(env.sent()) != sent {
				t.Error("something was sent though nobody may take it")
			}
			env.caller.Subset = []string{"127.0.0.1"} // all ports of a host
			env.expect(env.do(orderRequest("o", "w2")), 200, "receipt of o")
			env.waitIdle()
		})
	}
}

// Reads get fallback members, which a caller tries by itself; the member that served is taken from what the
// caller reports. Orders get no fallbacks.
func TestFallbacks(t *testing.T) {
	fleet := newFleet(t, 4)
	fleet.Fill("a", "b", "c", "d")
	env := newHarness(t, fleet, operatorFile("route", "fallbacks = 2"), nil)
	env.eventually("the list is known", func() bool { return env.host.Load().Ready == 5 })
	env.caller.UseFallbacks = true
	var named string
	env.caller.BeforeSend = func(n string) { named = n }
	env.expect(env.do(orderRequest("o", "w1")), 200, "receipt of o")
	if bytes.Count([]byte(named), []byte(",")) != 0 {
		t.Errorf("an order was given spares: %q", named)
	}
	env.expect(env.do(readRequest("a", "r1")), 200, "value of a")
	if bytes.Count([]byte(named), []byte(",")) != 2 {
		t.Fatalf("a read was given %q, want three members", named)
	}
	// The first member named fails.
	first := bytes.Split([]byte(named), []byte(","))[0]
	for _, b := range fleet.Caches {
		if b.Addr() == string(first) {
			b.Close()
		}
	}
	res := env.do(readRequest("a", "r2"))
	env.expect(res, 200, "value of a")
	if res.Attempts != 1 || len(res.Members) != 1 || res.Members[0] == string(first) {
		t.Errorf("%d calls, served by %v", res.Attempts, res.Members)
	}
	if c := env.front.Counts(); c.FellBack != 1 || c.ServedElsewhere != 0 {
		t.Errorf("%+v", c)
	}
	env.waitIdle()
}

// Two headers that identify the request differently would let a client or proxy that adds one
// choose which of them counts.
func TestDoubleHeaders(t *testing.T) {
	fleet := newFleet(t, 1)
	fleet.Fill("k")
	env := newHarness(t, fleet, operatorFile("answer", ""), nil)
	for name, c := range map[string]struct {
		more []string
		want int32
	}{
		"another id":     {[]string{"x-request-id", "other"}, 400},
		"the same id":    {[]string{"x-request-id", "d1"}, 200},
		"another tenant": {[]string{"x-tenant", "a", "x-tenant", "b"}, 400},
	} {
		m := &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestHeaders{
			RequestHeaders: &extprocv3.HttpHeaders{EndOfStream: true, Headers: headerMap(append([]string{":method", "GET",
				":path", "/tiles/k", "x-request-id", "d1"}, c.more...)...)}}}
		answers, code := env.exchange(m)
		if code != codes.OK || len(answers) != 1 || int32(answers[0].GetImmediateResponse().GetStatus().GetCode()) != c.want {
			t.Errorf("%s: %v, %v", name, answers, code)
		}
	}
	env.waitIdle()
}

// A request that arrives while the processor is stopping, or with no time left, does not get the status of
// requests shed for lack of capacity, and the details contain the reason.
func TestRefusalReasonsInDetails(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		stop bool
		want string
	}{
		"stopping":     {operatorFile("answer", ""), true, "linenloom_refused{stopping}"},
		"no time left": {strings.Replace(operatorFile("answer", ""), `"5s"`, `"20ms"`, 1), false, "linenloom_refused{out_of_time}"},
	} {
		t.Run(name, func(t *testing.T) {
			fleet := newFleet(t, 1)
			fleet.Caches[0].SetFault(standin.Stall)
			env := newHarness(t, fleet, c.text, nil)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			s, err := extprocv3.NewExternalProcessorClient(env.caller.Conn(0)).Process(ctx)
			if err != nil {
				t.Fatal(err)
			}
			env.eventually("the stream is open", func() bool { return env.front.Counts().Streams == 1 })
			if c.stop {
				env.stop()
				env.eventually("the stop has begun", func() (is bool) { env.host.Do(func() { is = env.host.Stopping() }); return is })
			}
			s.Send(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestHeaders{
				RequestHeaders: &extprocv3.HttpHeaders{EndOfStream: true, Headers: headerMap(":method", "GET", ":path", "/tiles/k", "x-request-id", "r1")}}})
			m, err := s.Recv()
			if err != nil {
				t.Fatal(err)
			}
			if now := m.GetImmediateResponse(); now.GetStatus().GetCode() != 503 || now.GetDetails() != c.want {
				t.Errorf("%v, want 503 and %s", now, c.want)
			}
			fleet.Caches[0].Close()
			env.stopAndWait()
		})
	}
}

// A request shed for lack of capacity has the configured status; a request without a usable member has 503.
func TestShedStatus(t *testing.T) {
	for status, more := range map[int]string{429: "", 503: "shed_status = 503"} {
		fleet := newFleet(t, 1)
		env := newHarness(t, fleet, operatorFile("answer", more), func(c *proxy.Config) { c.MaxRequests = 1 })
		fleet.Caches[0].SetFault(standin.Stall)
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		held := env.start(ctx, readRequest("a", "h1"))
		env.eventually("one is in hand", func() bool { return env.host.Load().Requests == 1 })
		env.expect(env.do(readRequest("b", "h2")), status, "refused")
		cancel()
		await(t, held, "the first")
	}
}

// A planned stop waits for relayed bodies and ends their streams once everything has been relayed.
func TestDrainCompletesBodies(t *testing.T) {
	env := newHarness(t, newFleet(t, 1), operatorFile("route", `unmapped = "pass"`), nil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	s := env.openDuplex(ctx)
	s.Send(bodyPart(1000))
	env.stop()
	env.eventually("the stop has begun", func() (is bool) { env.host.Do(func() { is = env.host.Stopping() }); return is })
	last := bodyPart(1000)
	last.GetRequestBody().EndOfStream = true
	if err := s.Send(last); err != nil {
		t.Fatal(err)
	}
	got := 0
	for {
		m, err := s.Recv()
		if err != nil {
			t.Fatalf("%v after %d bytes", err, got)
		}
		got += len(m.GetRequestBody().GetResponse().GetBodyMutation().GetStreamedResponse().GetBody())
		if m.GetRequestBody().GetResponse().GetBodyMutation().GetStreamedResponse().GetEndOfStream() {
			break
		}
	}
	if got != 2000 {
		t.Errorf("%d bytes came back, want 2000", got)
	}
	env.stopAndWait()
}
