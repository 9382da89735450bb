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

// duplexed has a rig's caller send bodies in full duplex, both ways.
func (r *rig) duplexed(trailers bool) *rig {
	r.c.SetFullDuplex()
	r.c.Trailers = trailers
	return r
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
				r := newRig(t, fleet, file(mode, ""), nil).duplexed(trailers)
				r.c.Retries = 4
				res := r.do(read("k", "r1"))
				r.want(res, 200, "value of k")
				if want := standin.Value("k", 40_000); !bytes.Equal(res.Body, want) {
					t.Errorf("%d bytes of the value came back, want %d", len(res.Body), len(want))
				}
				r.want(r.do(read("missed", "r2")), 200, "value of missed")
				q := order("o1", "w1")
				q.Body = bytes.Repeat([]byte("x"), maxBody)
				r.want(r.do(q), 200, "receipt of o1")
				q = order("o2", "w2")
				q.Body = bytes.Repeat([]byte("x"), maxBody+1)
				if mode == "answer" {
					r.want(r.do(q), 200, "receipt of o2")
				}
				q = order("o4", "w4")
				q.Body = bytes.Repeat([]byte("x"), maxLong+1)
				r.want(r.do(q), 413, "over")
				fleet.Origin.SetFault(standin.Failing)
				r.want(r.do(order("o3", "w3")), 502, "may have run")
				for key, n := range fleet.Origin.Executions() {
					if n != 1 || key == "o4" {
						t.Errorf("%s ran %d times", key, n)
					}
				}
				r.quiet()
			})
		}
	}
}

// What is none of ours goes through whole, at any length.
func TestFullDuplexOfOthersBodies(t *testing.T) {
	r := newRig(t, newFleet(t, 1), file("route", `unmapped = "pass"`), nil).duplexed(true)
	body := bytes.Repeat([]byte("0123456789a"), 100_000)
	for _, chunk := range []int{0, 200_001, mostChunk, mostChunk + 1} { // longer parts come back cut
		r.c.Chunk = chunk
		res := r.do(caller.Request{Method: "POST", Path: "/else", Body: body})
		if !res.Passed || res.Err != nil || !bytes.Equal(res.Body, body) {
			t.Errorf("parts of %d: passed %v, %d bytes, %v; want %d", chunk, res.Passed, len(res.Body), res.Err, len(body))
		}
	}
	r.quiet()
}

// open opens a stream in full duplex with a request that is passed on, and body to come.
func (r *rig) open(ctx context.Context) extprocv3.ExternalProcessor_ProcessClient {
	r.t.Helper()
	s, err := extprocv3.NewExternalProcessorClient(r.c.Conn(0)).Process(ctx)
	if err != nil {
		r.t.Fatal(err)
	}
	err = s.Send(&extprocv3.ProcessingRequest{
		ProtocolConfig: &extprocv3.ProtocolConfiguration{RequestBodyMode: fullDuplex},
		Request: &extprocv3.ProcessingRequest_RequestHeaders{RequestHeaders: &extprocv3.HttpHeaders{
			Headers: headerMap(":method", "POST", ":path", "/else")}}})
	if err != nil {
		r.t.Fatal(err)
	}
	return s
}

func part(n int) *extprocv3.ProcessingRequest {
	return &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestBody{
		RequestBody: &extprocv3.HttpBody{Body: make([]byte, n)}}}
}

// A caller that sends and does not take what comes back is stood still, not stored: what is held stays within a few
// parts, and the stream ends by its time though a message to the caller can't be written.
func TestCallerThatTakesNothing(t *testing.T) {
	r := newRig(t, newFleet(t, 1), file("route", `unmapped = "pass"`), nil)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	s := r.open(ctx)
	sent, parts := make(chan int, 1), atomic.Int32{}
	go func() {
		for s.Send(part(32<<10)) == nil {
			parts.Add(1)
		}
		sent <- int(parts.Load())
	}()
	// The caller's library takes in a window of its own, and the transports some more; then everything stands still, with thirteen parts on their
	// way. A part that only waits for its turn is not stuck yet.
	stuck := func() bool {
		l := r.p.Load()
		return parts.Load() >= 10 && l.Held > streamCost+streamWindow+2*32<<10
	}
	r.eventually("parts wait to be taken", stuck)
	if l := r.p.Load(); l.Held > streamCost+streamWindow+4*mostChunk {
		t.Errorf("%d bytes held for one stream", l.Held)
	}
	r.f.p.Do(func() {
		for s := range r.f.streams {
			s.due = 0 // its time is over
		}
	})
	r.eventually("the stream has ended here", func() bool { return r.f.Counts().Streams == 0 })
	r.eventually("only what the transport may have counts as held", func() bool { return r.p.Load().Held == streamWindow })
	cancel() // the caller resets it
	if n := await(t, sent, "the caller's sending ends"); n > 64 {
		t.Errorf("%d parts of 32 KiB were taken in", n)
	}
	r.c.Close()
	r.quiet()
}

// A body whose end never comes ends with its request's time, and what it held is given back.
func TestDuplexEndThatNeverComes(t *testing.T) {
	for _, mode := range []string{"answer", "route"} {
		t.Run(mode, func(t *testing.T) {
			fleet := newFleet(t, 1)
			r := newRig(t, fleet, file(mode, ""), nil)
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			s, err := extprocv3.NewExternalProcessorClient(r.c.Conn(0)).Process(ctx)
			if err != nil {
				t.Fatal(err)
			}
			s.Send(&extprocv3.ProcessingRequest{
				ProtocolConfig: &extprocv3.ProtocolConfiguration{RequestBodyMode: fullDuplex},
				Request: &extprocv3.ProcessingRequest_RequestHeaders{RequestHeaders: &extprocv3.HttpHeaders{
					Headers: headerMap(":method", "PUT", ":path", "/orders/o", "x-request-id", "e1")}}})
			s.Send(part(1000))
			r.eventually("the part has come", func() bool { return r.p.Load().Held >= streamCost+streamWindow })
			for {
				if _, err := s.Recv(); err != nil {
					break
				}
			}
			r.quiet()
			if n := fleet.Origin.Executions()["o"]; n != 0 {
				t.Errorf("half an order ran %d times", n)
			}
		})
	}
}

// Streams whose bodies may be sent ahead count for their windows, so that a crowd of them is turned away, not stored.
func TestCrowdOfDuplexStreams(t *testing.T) {
	r := newRig(t, newFleet(t, 1), file("route", `unmapped = "pass"
max_streams = 1024`), func(c *proxy.Config) { c.MemoryMB = 32 }) // 8 MB for bodies
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	refused := 0
	for range 200 {
		s := r.open(ctx)
		if _, err := s.Recv(); err != nil {
			refused++
		}
		if l := r.p.Load(); l.Held > 8<<20+streamCost+streamWindow {
			t.Fatalf("%d bytes held", l.Held)
		}
	}
	if refused == 0 || refused > 150 {
		t.Errorf("%d of 200 streams refused", refused)
	}
	cancel()
	r.quiet()
}

func TestSubsetHint(t *testing.T) {
	for _, mode := range []string{"answer", "route"} {
		t.Run(mode, func(t *testing.T) {
			fleet := newFleet(t, 4)
			fleet.Fill("a", "b", "c", "d", "e", "f", "g", "h")
			r := newRig(t, fleet, file(mode, ""), nil)
			r.eventually("the list is known", func() bool { return r.p.Load().Ready == 5 })
			only := fleet.Caches[2]
			r.c.Subset = []string{only.Addr()}
			for i, key := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
				r.want(r.do(read(key, fmt.Sprint("s", i))), 200, "value of "+key)
			}
			for _, to := range r.sent() {
				if to != proxy.MemberID(only.ID) {
					t.Errorf("sent to %v, which the hint does not name", to)
				}
			}
			sent := len(r.sent())
			for i, none := range [][]string{{}, {"10.0.0.1:80"}, {"127.0.0.1:1", ""}} {
				r.c.Subset = none
				r.want(r.do(read("a", fmt.Sprint("n", i))), 503, "refused")
			}
			r.c.Subset = []string{only.Addr()} // and not the origin, where orders go
			r.want(r.do(order("o", "w1")), 503, "refused")
			if len(r.sent()) != sent {
				t.Error("something was sent though nobody may take it")
			}
			r.c.Subset = []string{"127.0.0.1"} // every port of a host
			r.want(r.do(order("o", "w2")), 200, "receipt of o")
			r.quiet()
		})
	}
}

// Reads are given spare members, to which a caller goes on by itself; who served is learnt from what it says. Orders are
// given none.
func TestFallbacks(t *testing.T) {
	fleet := newFleet(t, 4)
	fleet.Fill("a", "b", "c", "d")
	r := newRig(t, fleet, file("route", "fallbacks = 2"), nil)
	r.eventually("the list is known", func() bool { return r.p.Load().Ready == 5 })
	r.c.FallBack = true
	var named string
	r.c.SendAfter = func(n string) { named = n }
	r.want(r.do(order("o", "w1")), 200, "receipt of o")
	if bytes.Count([]byte(named), []byte(",")) != 0 {
		t.Errorf("an order was given spares: %q", named)
	}
	r.want(r.do(read("a", "r1")), 200, "value of a")
	if bytes.Count([]byte(named), []byte(",")) != 2 {
		t.Fatalf("a read was given %q, want three members", named)
	}
	// The first of them dies.
	first := bytes.Split([]byte(named), []byte(","))[0]
	for _, b := range fleet.Caches {
		if b.Addr() == string(first) {
			b.Close()
		}
	}
	res := r.do(read("a", "r2"))
	r.want(res, 200, "value of a")
	if res.Attempts != 1 || len(res.Members) != 1 || res.Members[0] == string(first) {
		t.Errorf("%d calls, served by %v", res.Attempts, res.Members)
	}
	if c := r.f.Counts(); c.FellBack != 1 || c.Elsewhere != 0 {
		t.Errorf("%+v", c)
	}
	r.quiet()
}

// Two headers that name the request differently would let whoever adds one choose.
func TestDoubleHeaders(t *testing.T) {
	fleet := newFleet(t, 1)
	fleet.Fill("k")
	r := newRig(t, fleet, file("answer", ""), nil)
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
		answers, code := r.talk(m)
		if code != codes.OK || len(answers) != 1 || int32(answers[0].GetImmediateResponse().GetStatus().GetCode()) != c.want {
			t.Errorf("%s: %v, %v", name, answers, code)
		}
	}
	r.quiet()
}

// What comes when the processor takes nothing any more, or when no time is left, is not shed for want of capacity, and the
// details say which it is.
func TestRefusalsSayWhy(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		stop bool
		want string
	}{
		"stopping":     {file("answer", ""), true, "linenloom_refused{stopping}"},
		"no time left": {strings.Replace(file("answer", ""), `"5s"`, `"20ms"`, 1), false, "linenloom_refused{out_of_time}"},
	} {
		t.Run(name, func(t *testing.T) {
			fleet := newFleet(t, 1)
			fleet.Caches[0].SetFault(standin.Stall)
			r := newRig(t, fleet, c.text, nil)
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			s, err := extprocv3.NewExternalProcessorClient(r.c.Conn(0)).Process(ctx)
			if err != nil {
				t.Fatal(err)
			}
			r.eventually("the stream is open", func() bool { return r.f.Counts().Streams == 1 })
			if c.stop {
				r.stop()
				r.eventually("the stop has begun", func() (is bool) { r.p.Do(func() { is = r.p.Stopping() }); return is })
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
			r.end()
		})
	}
}

// What is shed has a status of its own; what has nobody to go to has not.
func TestShedStatus(t *testing.T) {
	for status, more := range map[int]string{429: "", 503: "shed_status = 503"} {
		fleet := newFleet(t, 1)
		r := newRig(t, fleet, file("answer", more), func(c *proxy.Config) { c.MostHeld = 1 })
		fleet.Caches[0].SetFault(standin.Stall)
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		held := r.start(ctx, read("a", "h1"))
		r.eventually("one is in hand", func() bool { return r.p.Load().Requests == 1 })
		r.want(r.do(read("b", "h2")), status, "refused")
		cancel()
		await(t, held, "the first")
	}
}

// A planned stop waits for bodies that go through here, and ends the streams once all has been passed on.
func TestDrainLeavesBodiesWhole(t *testing.T) {
	r := newRig(t, newFleet(t, 1), file("route", `unmapped = "pass"`), nil)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	s := r.open(ctx)
	s.Send(part(1000))
	r.stop()
	r.eventually("the stop has begun", func() (is bool) { r.p.Do(func() { is = r.p.Stopping() }); return is })
	last := part(1000)
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
	r.end()
}
