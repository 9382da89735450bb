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

// start makes a request in the background; the result comes on the channel.
func (r *rig) start(ctx context.Context, q caller.Request) <-chan caller.Result {
	out := make(chan caller.Result, 1)
	go func() { out <- r.c.Do(ctx, q) }()
	return out
}

func await[T any](t *testing.T, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(patience):
		t.Fatalf("never came about: %s", what)
	}
	return v
}

// An order that the caller repeats by itself, after it has left a call whose attempt may have run, fails.
func TestOrderRepeatedByTheCaller(t *testing.T) {
	for _, mode := range []string{"answer", "route"} {
		t.Run(mode, func(t *testing.T) {
			fleet := newFleet(t, 1)
			r := newRig(t, fleet, file(mode, ""), nil)
			fleet.Origin.SetFault(standin.Stall)
			ctx, leave := context.WithCancel(context.Background())
			first := r.start(ctx, order("o1", "w1"))
			r.eventually("the order is at the origin", func() bool { return fleet.Origin.Received() == 1 })
			// While the first is in hand: the same id from elsewhere, and the caller's own repeat.
			r.want(r.do(order("o1", "w1")), 409, "in hand")
			q := order("o1", "w1")
			q.Headers["x-envoy-attempt-count"] = "2"
			r.want(r.do(q), 502, "may have run")
			leave()
			await(t, first, "the first call ends")
			r.eventually("its stream has ended", func() bool { return r.f.Counts().Streams == 0 })
			r.want(r.do(q), 502, "may have run")
			r.want(r.do(order("o1", "w1")), 502, "may have run")
			// A processor that does not know the id can't tell what the attempts before did.
			q = order("o2", "w2")
			q.Headers["x-envoy-attempt-count"] = "3"
			r.want(r.do(q), 502, "may have run")
			// Nor can one be called refused whose time is over.
			q.Headers["grpc-timeout"] = "0m"
			r.want(r.do(q), 502, "may have run")
			q = order("o3", "w3")
			q.Headers["grpc-timeout"] = "0m"
			r.want(r.do(q), 503, "never ran")
			if n := fleet.Origin.Received(); n != 1 {
				t.Errorf("the origin saw %d orders, want 1", n)
			}
			fleet.Origin.Close() // so that the attempt ends
			r.quiet()
		})
	}
}

// An order that was refused has never run: its repeat is served.
func TestRefusedOrderMayBeRepeated(t *testing.T) {
	fleet := newFleet(t, 1)
	r := newRig(t, fleet, file("answer", ""), nil)
	fleet.Origin.SetFault(standin.Busy)
	r.want(r.do(order("o1", "w1")), 503, "never ran")
	fleet.Origin.SetFault(standin.Healthy)
	q := order("o1", "w1")
	q.Headers["x-envoy-attempt-count"] = "2"
	r.eventually("the origin is used again", func() bool {
		q.Headers["x-request-id"] = "w1"
		return r.do(q).Status == 200
	})
	if n := fleet.Origin.Executions()["o1"]; n != 1 {
		t.Errorf("%d executions", n)
	}
	r.quiet()
}

// A read that the caller has given up and asks for again is served; the call before is let go of.
func TestReadRepeatedByTheCaller(t *testing.T) {
	fleet := newFleet(t, 1)
	r := newRig(t, fleet, file("answer", ""), nil)
	fleet.Fill("k")
	fleet.Caches[0].SetFault(standin.Stall)
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	first := r.start(ctx, read("k", "r1"))
	r.eventually("the read is at the box", func() bool { return fleet.Caches[0].Received() == 1 })
	r.want(r.do(read("k", "r1")), 409, "in hand") // another caller's
	fleet.Caches[0].SetFault(standin.Healthy)
	q := read("k", "r1")
	q.Headers["x-envoy-attempt-count"] = "2"
	r.want(r.do(q), 200, "value of k")
	leave()
	await(t, first, "the first call ends")
	fleet.Caches[0].Close()
	r.quiet()
}

// Whatever becomes of a caller, nothing stays in hand.
func TestCallersThatVanish(t *testing.T) {
	const vanish = 10 // what the module lets out to two boxes that it knows nothing of
	for _, mode := range []string{"answer", "route"} {
		t.Run(mode, func(t *testing.T) {
			fleet := newFleet(t, 2)
			r := newRig(t, fleet, file(mode, ""), nil)
			for _, b := range fleet.Caches {
				b.SetFault(standin.Stall)
			}
			ctx, leave := context.WithCancel(context.Background())
			var calls []<-chan caller.Result
			for i := range vanish {
				calls = append(calls, r.start(ctx, read(fmt.Sprint("k", i), fmt.Sprint("r", i))))
			}
			r.eventually("all are in hand", func() bool { return r.f.Counts().Taken == vanish && r.f.Counts().Calls == vanish })
			leave()
			for _, c := range calls {
				await(t, c, "a call ends")
			}
			// At once, and not only when their time is up: the boxes still hold what they were sent.
			r.eventually("all are given up", func() bool { return r.f.Counts().Abandoned == vanish })
			for _, b := range fleet.Caches {
				b.Close()
			}
			r.quiet()
			for _, row := range r.p.Reasons().Rows() {
				if row.Outcome != reasons.Waited {
					t.Errorf("%d requests that nobody waited for were %v: %s", row.Count, row.Outcome, reasons.Name(row.Reason))
				}
			}
		})
	}
	// In mode route, a caller that is asked to come again and does not.
	fleet := newFleet(t, 2)
	r := newRig(t, fleet, file("route", ""), nil)
	r.c.Retries = 0
	if res := r.do(read("cold", "r1")); res.Status != 404 {
		t.Errorf("%+v, want the box's miss", res)
	}
	r.quiet()
	if c := r.f.Counts(); c.Abandoned != 1 || c.Calls != 0 {
		t.Errorf("%+v, want one call given up and none known", c)
	}
}

// A crowd of silent streams takes no more than its bound, is told so, and ends by itself.
func TestSilentStreams(t *testing.T) {
	const most = 8
	fleet := newFleet(t, 1)
	fleet.Fill("k")
	r := newRig(t, fleet, file("answer", fmt.Sprintf("max_streams = %d", most)), nil)
	client := extprocv3.NewExternalProcessorClient(r.c.Conn(0))
	ended := make(chan codes.Code, 2000)
	for range 2000 {
		go func() {
			s, err := client.Process(context.Background()) // waits where the connection holds no more
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
	if c := r.f.Counts(); c.Streams > most {
		t.Errorf("%d streams, %d at most", c.Streams, most)
	}
	r.eventually("all have ended", func() bool {
		c := r.f.Counts()
		return c.Streams == 0 && c.Taken+c.Unavailable == 2000
	})
	r.want(r.do(read("k", "r1")), 200, "value of k")
	r.quiet()
}

// A body without end is cut off at the longest value.
func TestEndlessBody(t *testing.T) {
	fleet := newFleet(t, 1)
	r := newRig(t, fleet, file("answer", ""), nil)
	s, err := extprocv3.NewExternalProcessorClient(r.c.Conn(0)).Process(context.Background())
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
	r.quiet()
	if fleet.Origin.Received() != 0 {
		t.Error("an order without end reached the origin")
	}
}

// A member that drains between the pick and the caller's send gets nothing more, where the caller still asks.
func TestDrainBetweenPickAndSend(t *testing.T) {
	fleet := newFleet(t, 2)
	fleet.Fill("k")
	r := newRig(t, fleet, file("route", `
[[extproc.map]]
methods = ["POST"]
path = "/tiles/{key}"
class = "tile-read"
`), nil)
	r.eventually("the list is known", func() bool { return r.p.Load().Ready == 3 })
	s, err := extprocv3.NewExternalProcessorClient(r.c.Conn(0)).Process(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	s.Send(&extprocv3.ProcessingRequest{
		ProtocolConfig: &extprocv3.ProtocolConfiguration{RequestBodyMode: filterv3.ProcessingMode_BUFFERED},
		Request: &extprocv3.ProcessingRequest_RequestHeaders{RequestHeaders: &extprocv3.HttpHeaders{
			Headers: headerMap(":method", "POST", ":path", "/tiles/k", "x-request-id", "r1")}}})
	named := func(m *extprocv3.CommonResponse) string {
		for _, h := range m.GetHeaderMutation().GetSetHeaders() {
			if h.GetHeader().GetKey() == "x-gateway-destination-endpoint" {
				return string(h.GetHeader().GetRawValue())
			}
		}
		return ""
	}
	m, err := s.Recv()
	if err != nil {
		t.Fatal(err)
	}
	first := named(m.GetRequestHeaders().GetResponse())
	i := slices.IndexFunc(fleet.Caches, func(b *standin.Cache) bool { return b.Addr() == first })
	if i < 0 {
		t.Fatalf("%q is no box", first)
	}
	if meta := m.GetDynamicMetadata().GetFields()["envoy.lb"].GetStructValue().GetFields(); meta["x-gateway-destination-endpoint"].GetStringValue() != first {
		t.Errorf("metadata %v, want %s", meta, first)
	}
	fleet.Drain(fleet.Caches[i])
	r.eventually("the drain is known", func() bool { return r.p.Load().Ready == 2 })
	s.Send(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestBody{
		RequestBody: &extprocv3.HttpBody{Body: []byte("q"), EndOfStream: true}}})
	if m, err = s.Recv(); err != nil {
		t.Fatal(err)
	}
	if second := named(m.GetRequestBody().GetResponse()); second != fleet.Caches[1-i].Addr() {
		t.Errorf("sent to %q after the drain of %s", second, first)
	}
	s.Send(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_ResponseHeaders{
		ResponseHeaders: &extprocv3.HttpHeaders{Headers: headerMap(":status", "200"), EndOfStream: true}}})
	if _, err = s.Recv(); err != nil {
		t.Fatal(err)
	}
	s.CloseSend()
	r.quiet()
}

// The same between two calls: what the module has named and the caller has not fetched yet is named anew.
func TestDrainBeforeTheCallerComesBack(t *testing.T) {
	fleet := newFleet(t, 3)
	fleet.Fill("k")
	r := newRig(t, fleet, file("route", `return_within = "10s"`), nil)
	r.eventually("the list is known", func() bool { return r.p.Load().Ready == 4 })
	for _, b := range fleet.Caches {
		b.SetFault(standin.Busy)
	}
	res := r.do(read("k", "r1"))
	if res.Status != 503 || len(r.sent()) != 2 {
		t.Fatalf("%+v after %d choices, want a box's 503 and the next choice made", res, len(r.sent()))
	}
	next := r.sent()[1]
	for _, b := range fleet.Caches {
		b.SetFault(standin.Healthy)
		if proxy.MemberID(b.ID) == next {
			fleet.Drain(b)
		}
	}
	r.eventually("the drain is known", func() bool { return r.p.Load().Ready == 3 })
	q := read("k", "r1")
	q.Headers["x-envoy-attempt-count"] = "2"
	res = r.do(q)
	r.want(res, 200, "value of k")
	if last := r.sent()[len(r.sent())-1]; last == next {
		t.Error("sent to the member that drains")
	}
	r.quiet()
}

// SIGTERM under load, as the host sees it: streams in hand are answered, later ones go to a second processor.
func TestSecondProcessorTakesOver(t *testing.T) {
	for _, mode := range []string{"answer", "route"} {
		t.Run(mode, func(t *testing.T) {
			fleet := newFleet(t, 4)
			fleet.Fill("k0", "k1", "k2", "k3", "k4", "k5", "k6", "k7")
			a := newRig(t, fleet, file(mode, ""), nil)
			b := newRig(t, fleet, file(mode, ""), nil)
			c := dial(t, a, b)
			c.Retries = 4
			var g sync.WaitGroup
			var n, bad atomic.Int64
			stop := make(chan struct{})
			for w := range 8 {
				g.Go(func() {
					for i := 0; ; i++ {
						select {
						case <-stop:
							return
						default:
						}
						q := read(fmt.Sprint("k", i%8), fmt.Sprintf("r%d-%d", w, i))
						if i%10 == 9 {
							q = order(fmt.Sprintf("o%d-%d", w, i), fmt.Sprintf("w%d-%d", w, i))
						}
						ctx, cancel := context.WithTimeout(context.Background(), patience)
						if res := c.Do(ctx, q); res.Status == 200 || res.Status == 503 || res.Status == 429 {
							n.Add(1)
						} else if bad.Add(1) < 5 {
							t.Errorf("%s: %d %q %v", q.Path, res.Status, res.Body, res.Err)
						}
						cancel()
					}
				})
			}
			a.eventually("the first serves", func() bool { return a.f.Counts().Taken > 100 })
			a.end()
			before := b.f.Counts().Taken
			b.eventually("the second serves", func() bool { return b.f.Counts().Taken > before+100 })
			close(stop)
			g.Wait()
			for key, ran := range fleet.Origin.Executions() {
				if ran > 1 {
					t.Errorf("order %s ran %d times", key, ran)
				}
			}
			b.quiet()
		})
	}
}
