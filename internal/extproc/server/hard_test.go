package server

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"linenloom/internal/extproc/caller"
	"linenloom/internal/proxy"
	"linenloom/internal/reasons"
	"linenloom/internal/standin"
)

// start makes a request in the background and sends the result on the channel.
func (h *harness) start(ctx context.Context, q caller.Request) <-chan caller.Result {
	out := make(chan caller.Result, 1)
	go func() { out <- h.caller.Do(ctx, q) }()
	return out
}

func await[T any](t *testing.T, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		t.Fatalf("never came about: %s", what)
	}
	return v
}

// An order fails if the caller repeats it by itself after leaving a call whose attempt may have run.
func TestOrderRepeatedByCaller(t *testing.T) {
	for _, mode := range []string{"answer", "route"} {
		t.Run(mode, func(t *testing.T) {
			fleet := newFleet(t, 1)
			env := newHarness(t, fleet, operatorFile(mode, ""), nil)
			fleet.Origin.SetFault(standin.Stall)
			ctx, disconnect := context.WithCancel(context.Background())
			first := env.start(ctx, orderRequest("o1", "w1"))
			env.eventually("the order is at the origin", func() bool { return fleet.Origin.Received() == 1 })
			// While the first is in progress: the same id from another caller, and the caller's own repeat.
			env.expect(env.do(orderRequest("o1", "w1")), 409, "in hand")
			q := orderRequest("o1", "w1")
			q.Headers["x-envoy-attempt-count"] = "2"
			env.expect(env.do(q), 502, "may have run")
			disconnect()
			await(t, first, "the first call ends")
			env.eventually("its stream has ended", func() bool { return env.front.Counts().Streams == 0 })
			env.expect(env.do(q), 502, "may have run")
			env.expect(env.do(orderRequest("o1", "w1")), 502, "may have run")
			// A processor that does not know the id cannot know what the earlier attempts did.
			q = orderRequest("o2", "w2")
			q.Headers["x-envoy-attempt-count"] = "3"
			env.expect(env.do(q), 502, "may have run")
			// An expired request cannot be called refused either.
			q.Headers["grpc-timeout"] = "0m"
			env.expect(env.do(q), 502, "may have run")
			q = orderRequest("o3", "w3")
			q.Headers["grpc-timeout"] = "0m"
			env.expect(env.do(q), 503, "never ran")
			if n := fleet.Origin.Received(); n != 1 {
				t.Errorf("the origin saw %d orders, want 1", n)
			}
			fleet.Origin.Close() // ends the attempt
			env.waitIdle()
		})
	}
}

// An order that was refused never ran, so its repeat is served.
func TestRefusedOrderMayBeRepeated(t *testing.T) {
	fleet := newFleet(t, 1)
	env := newHarness(t, fleet, operatorFile("answer", ""), nil)
	fleet.Origin.SetFault(standin.Busy)
	env.expect(env.do(orderRequest("o1", "w1")), 503, "never ran")
	fleet.Origin.SetFault(standin.Healthy)
	q := orderRequest("o1", "w1")
	q.Headers["x-envoy-attempt-count"] = "2"
	env.eventually("the origin is used again", func() bool {
		q.Headers["x-request-id"] = "w1"
		return env.do(q).Status == 200
	})
	if n := fleet.Origin.Executions()["o1"]; n != 1 {
		t.Errorf("%d executions", n)
	}
	env.waitIdle()
}

// A read that the caller abandons and repeats is served, and the earlier call is dropped.
func TestReadRepeatedByCaller(t *testing.T) {
	fleet := newFleet(t, 1)
	env := newHarness(t, fleet, operatorFile("answer", ""), nil)
	fleet.Fill("k")
	fleet.Caches[0].SetFault(standin.Stall)
	ctx, disconnect := context.WithCancel(context.Background())
	defer disconnect()
	first := env.start(ctx, readRequest("k", "r1"))
	env.eventually("the read is at the box", func() bool { return fleet.Caches[0].Received() == 1 })
	env.expect(env.do(readRequest("k", "r1")), 409, "in hand") // another caller's
	fleet.Caches[0].SetFault(standin.Healthy)
	q := readRequest("k", "r1")
	q.Headers["x-envoy-attempt-count"] = "2"
	env.expect(env.do(q), 200, "value of k")
	disconnect()
	await(t, first, "the first call ends")
	fleet.Caches[0].Close()
	env.waitIdle()
}

// Whatever callers do, no request stays in progress.
func TestCallersThatDisconnect(t *testing.T) {
	const callCount = 10 // what the routing module sends to two unknown caches
	for _, mode := range []string{"answer", "route"} {
		t.Run(mode, func(t *testing.T) {
			fleet := newFleet(t, 2)
			env := newHarness(t, fleet, operatorFile(mode, ""), nil)
			for _, b := range fleet.Caches {
				b.SetFault(standin.Stall)
			}
			ctx, disconnect := context.WithCancel(context.Background())
			var calls []<-chan caller.Result
			for i := range callCount {
				calls = append(calls, env.start(ctx, readRequest(fmt.Sprint("k", i), fmt.Sprint("r", i))))
			}
			env.eventually("all are in hand", func() bool { return env.front.Counts().Accepted == callCount && env.front.Counts().Calls == callCount })
			disconnect()
			for _, c := range calls {
				await(t, c, "a call ends")
			}
			// At once, and not only at their deadlines: the caches still hold the requests.
			env.eventually("all are given up", func() bool { return env.front.Counts().Abandoned == callCount })
			for _, b := range fleet.Caches {
				b.Close()
			}
			env.waitIdle()
			for _, row := range env.host.Reasons().Rows() {
				if row.Outcome != reasons.Waited {
					t.Errorf("%d requests that nobody waited for were %v: %s", row.Count, row.Outcome, reasons.Name(row.Reason))
				}
			}
		})
	}
	// In route mode, a caller that is expected to return and does not.
	fleet := newFleet(t, 2)
	env := newHarness(t, fleet, operatorFile("route", ""), nil)
	env.caller.Retries = 0
	if res := env.do(readRequest("cold", "r1")); res.Status != 404 {
		t.Errorf("%+v, want the box's miss", res)
	}
	env.waitIdle()
	if c := env.front.Counts(); c.Abandoned != 1 || c.Calls != 0 {
		t.Errorf("%+v, want one call given up and none known", c)
	}
}

// Silent streams are limited to max_streams, are refused with a status beyond that, and end by themselves.
func TestSilentStreams(t *testing.T) {
	const maxStreams = 8
	fleet := newFleet(t, 1)
	fleet.Fill("k")
	env := newHarness(t, fleet, operatorFile("answer", fmt.Sprintf("max_streams = %d", maxStreams)), nil)
	client := extprocv3.NewExternalProcessorClient(env.caller.Conn(0))
	ended := make(chan codes.Code, 2000)
	for range 2000 {
		go func() {
			s, err := client.Process(context.Background()) // blocks when the connection has no stream left
			if err != nil {
				ended <- status.Code(err)
				return
			}
			_, err = s.Recv()
			ended <- status.Code(err)
		}()
	}
	if code := await(t, ended, "one is turned away"); code != codes.Unavailable {
		t.Errorf("the first to end ended with %v", code)
	}
	if c := env.front.Counts(); c.Streams > maxStreams {
		t.Errorf("%d streams, %d at most", c.Streams, maxStreams)
	}
	env.eventually("all have ended", func() bool {
		c := env.front.Counts()
		return c.Streams == 0 && c.Accepted+c.Unavailable == 2000
	})
	env.expect(env.do(readRequest("k", "r1")), 200, "value of k")
	env.waitIdle()
}

// A body without an end is refused at the limit of long values.
func TestEndlessBody(t *testing.T) {
	fleet := newFleet(t, 1)
	env := newHarness(t, fleet, operatorFile("answer", ""), nil)
	s, err := extprocv3.NewExternalProcessorClient(env.caller.Conn(0)).Process(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	s.Send(&extprocv3.ProcessingRequest{
		ProtocolConfig: &extprocv3.ProtocolConfiguration{RequestBodyMode: filterv3.ProcessingMode_STREAMED},
		Request: &extprocv3.ProcessingRequest_RequestHeaders{RequestHeaders: &extprocv3.HttpHeaders{
			Headers: headerMap(":method", "PUT", ":path", "/orders/o1", "x-request-id", "w1")}}})
	go func() {
		for s.Send(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestBody{
			RequestBody: &extprocv3.HttpBody{Body: make([]byte, 4096)}}}) == nil {
		}
	}()
	for {
		m, err := s.Recv()
		if err != nil {
			t.Fatalf("ended with %v before an answer", err)
		}
		if now := m.GetImmediateResponse(); now != nil {
			if now.GetStatus().GetCode() != 413 {
				t.Errorf("answered %v", now)
			}
			break
		}
	}
	env.waitIdle()
	if fleet.Origin.Received() != 0 {
		t.Error("an order without end reached the origin")
	}
}

// A member that drains between the pick and the caller's send gets no request if the caller still asks.
func TestDrainBetweenPickAndSend(t *testing.T) {
	fleet := newFleet(t, 2)
	fleet.Fill("k")
	env := newHarness(t, fleet, operatorFile("route", `
[[extproc.map]]
methods = ["POST"]
path = "/tiles/{key}"
class = "tile-read"
`), nil)
	env.eventually("the list is known", func() bool { return env.host.Load().Ready == 3 })
	rpc, err := extprocv3.NewExternalProcessorClient(env.caller.Conn(0)).Process(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	rpc.Send(&extprocv3.ProcessingRequest{
		ProtocolConfig: &extprocv3.ProtocolConfiguration{RequestBodyMode: filterv3.ProcessingMode_BUFFERED},
		Request: &extprocv3.ProcessingRequest_RequestHeaders{RequestHeaders: &extprocv3.HttpHeaders{
			Headers: headerMap(":method", "POST", ":path", "/tiles/k", "x-request-id", "r1")}}})
	namedMember := func(response *extprocv3.CommonResponse) string {
		for _, h := range response.GetHeaderMutation().GetSetHeaders() {
			if h.GetHeader().GetKey() == "x-gateway-destination-endpoint" {
				return string(h.GetHeader().GetRawValue())
			}
		}
		return ""
	}
	m, err := rpc.Recv()
	if err != nil {
		t.Fatal(err)
	}
	first := namedMember(m.GetRequestHeaders().GetResponse())
	i := slices.IndexFunc(fleet.Caches, func(b *standin.Cache) bool { return b.Addr() == first })
	if i < 0 {
		t.Fatalf("%q is no box", first)
	}
	if meta := m.GetDynamicMetadata().GetFields()["envoy.lb"].GetStructValue().GetFields(); meta["x-gateway-destination-endpoint"].GetStringValue() != first {
		t.Errorf("metadata %v, want %s", meta, first)
	}
	fleet.Drain(fleet.Caches[i])
	env.eventually("the drain is known", func() bool { return env.host.Load().Ready == 2 })
	rpc.Send(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestBody{
		RequestBody: &extprocv3.HttpBody{Body: []byte("q"), EndOfStream: true}}})
	if m, err = rpc.Recv(); err != nil {
		t.Fatal(err)
	}
	if second := namedMember(m.GetRequestBody().GetResponse()); second != fleet.Caches[1-i].Addr() {
		t.Errorf("sent to %q after the drain of %s", second, first)
	}
	rpc.Send(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_ResponseHeaders{
		ResponseHeaders: &extprocv3.HttpHeaders{Headers: headerMap(":status", "200"), EndOfStream: true}}})
	if _, err = rpc.Recv(); err != nil {
		t.Fatal(err)
	}
	rpc.CloseSend()
	env.waitIdle()
}

// The same between two calls: a member that was named but not fetched by the caller is replaced.
func TestDrainBeforeCallerRetries(t *testing.T) {
	fleet := newFleet(t, 3)
	fleet.Fill("k")
	env := newHarness(t, fleet, operatorFile("route", `return_within = "10s"`), nil)
	env.eventually("the list is known", func() bool { return env.host.Load().Ready == 4 })
	for _, b := range fleet.Caches {
		b.SetFault(standin.Busy)
	}
	res := env.do(readRequest("k", "r1"))
	if res.Status != 503 || len(env.sent()) != 2 {
		t.Fatalf("%+v after %d choices, want a box's 503 and the next choice made", res, len(env.sent()))
	}
	next := env.sent()[1]
	for _, b := range fleet.Caches {
		b.SetFault(standin.Healthy)
		if proxy.MemberID(b.ID) == next {
			fleet.Drain(b)
		}
	}
	env.eventually("the drain is known", func() bool { return env.host.Load().Ready == 3 })
	q := readRequest("k", "r1")
	q.Headers["x-envoy-attempt-count"] = "2"
	res = env.do(q)
	env.expect(res, 200, "value of k")
	if last := env.sent()[len(env.sent())-1]; last == next {
		t.Error("sent to the member that drains")
	}
	env.waitIdle()
}

// SIGTERM under load, from the host's view: open streams are answered, later ones go to a second processor.
func TestSecondProcessorTakesOver(t *testing.T) {
	for _, mode := range []string{"answer", "route"} {
		t.Run(mode, func(t *testing.T) {
			fleet := newFleet(t, 4)
			fleet.Fill("k0", "k1", "k2", "k3", "k4", "k5", "k6", "k7")
			a := newHarness(t, fleet, operatorFile(mode, ""), nil)
			b := newHarness(t, fleet, operatorFile(mode, ""), nil)
			c := dial(t, a, b)
			c.Retries = 4
			var clients sync.WaitGroup
			var succeeded, failed atomic.Int64
			stop := make(chan struct{})
			for w := range 8 {
				clients.Go(func() {
					for i := 0; ; i++ {
						select {
						case <-stop:
							return
						default:
						}
						q := readRequest(fmt.Sprint("k", i%8), fmt.Sprintf("r%d-%d", w, i))
						if i%10 == 9 {
							q = orderRequest(fmt.Sprintf("o%d-%d", w, i), fmt.Sprintf("w%d-%d", w, i))
						}
						ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
						if res := c.Do(ctx, q); res.Status == 200 || res.Status == 503 || res.Status == 429 {
							succeeded.Add(1)
						} else if failed.Add(1) < 5 {
							t.Errorf("%s: %d %q %v", q.Path, res.Status, res.Body, res.Err)
						}
						cancel()
					}
				})
			}
			a.eventually("the first serves", func() bool { return a.front.Counts().Accepted > 100 })
			a.stopAndWait()
			before := b.front.Counts().Accepted
			b.eventually("the second serves", func() bool { return b.front.Counts().Accepted > before+100 })
			close(stop)
			clients.Wait()
			for key, ran := range fleet.Origin.Executions() {
				if ran > 1 {
					t.Errorf("order %s ran %d times", key, ran)
				}
			}
			b.waitIdle()
		})
	}
}
