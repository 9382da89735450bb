package server

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"strings"
	"sync"
	"testing"
	"time"

	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"linenloom/internal/app"
	"linenloom/internal/extproc/caller"
	"linenloom/internal/operator"
	"linenloom/internal/proxy"
	"linenloom/internal/standin"
	"linenloom/logic"
)

// patience bounds every wait; only a test that fails waits as long.
const patience = 20 * time.Second

// file is the operator's file of the tests, but for the mode and what a test adds to [extproc].
func file(mode, more string) string {
	return fmt.Sprintf(`
[extproc]
listen = "127.0.0.1:0"
mode = %q
message_timeout = "5s"
%s
[[extproc.map]]
methods = ["GET"]
path = "/tiles/{key}"
class = "tile-read"
[[extproc.map]]
methods = ["PUT", "POST"]
path = "/orders/{key}"
class = "pass-order"
write = true
`, mode, more)
}

// rig is a host with both fronts before a fleet of stand-ins.
type rig struct {
	t     *testing.T
	p     *proxy.Proxy
	f     *Front
	fleet *standin.Fleet
	c     *caller.Caller
	stop  context.CancelFunc
	done  chan error
	mu    sync.Mutex
	sends []logic.MemberID
}

// hostConfig is a host's configuration before a fleet.
func hostConfig(t testing.TB, fleet *standin.Fleet) proxy.Config {
	t.Helper()
	text, err := fleet.Config("test", "127.0.0.1:0", "7", 128, 512)
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := app.ProxyConfig(text)
	if err != nil {
		t.Fatal(err)
	}
	cfg.AcceptMore = 0
	return cfg
}

func newFleet(t *testing.T, boxes int) *standin.Fleet {
	t.Helper()
	fleet, err := standin.NewFleet(boxes, 64)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	return fleet
}

func newRig(t *testing.T, fleet *standin.Fleet, text string, edit func(*proxy.Config)) *rig {
	t.Helper()
	r := &rig{t: t, fleet: fleet, done: make(chan error, 1)}
	cfg := hostConfig(t, fleet)
	cfg.OnSend = func(_ logic.RequestID, m logic.MemberID) {
		r.mu.Lock()
		r.sends = append(r.sends, m)
		r.mu.Unlock()
	}
	if edit != nil {
		edit(&cfg)
	}
	log := slog.New(slog.DiscardHandler)
	var err error
	if r.p, err = proxy.New(cfg, log); err != nil {
		t.Fatal(err)
	}
	op, err := operator.Parse("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if r.f, err = New(r.p, op, log); err != nil {
		t.Fatal(err)
	}
	r.p.AddFront(r.f)
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	go func() { r.done <- r.p.Run(ctx) }()
	t.Cleanup(r.end)
	r.c = dial(t, r)
	return r
}

// dial makes a caller of the rigs' fronts.
func dial(t *testing.T, rigs ...*rig) *caller.Caller {
	t.Helper()
	var targets []string
	for _, r := range rigs {
		targets = append(targets, r.f.Addr().String())
	}
	c, err := caller.Dial(targets...)
	if err != nil {
		t.Fatal(err)
	}
	c.MessageTimeout = patience
	t.Cleanup(c.Close)
	return c
}

func (r *rig) end() {
	r.t.Helper()
	r.stop()
	select {
	case err := <-r.done:
		if err != nil {
			r.t.Errorf("Run: %v", err)
		}
		r.done <- nil
	case <-time.After(patience):
		r.t.Error("the proxy did not end")
	}
}

func (r *rig) eventually(what string, ok func() bool) {
	r.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	r.t.Fatalf("never came about: %s (%+v, %+v)", what, r.p.Load(), r.f.Counts())
}

// quiet waits until nothing is in hand any more, on either side of the seam.
func (r *rig) quiet() {
	r.t.Helper()
	r.eventually("nothing is in hand", func() bool {
		l, c := r.p.Load(), r.f.Counts()
		return l.Requests == 0 && l.Attempts == 0 && c.Streams == 0 && l.Held == 0
	})
}

func (r *rig) sent() []logic.MemberID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]logic.MemberID(nil), r.sends...)
}

func read(key, id string) caller.Request {
	return caller.Request{Method: "GET", Path: "/tiles/" + key, Headers: map[string]string{"x-request-id": id}}
}

func order(key, id string) caller.Request {
	return caller.Request{Method: "PUT", Path: "/orders/" + key, Headers: map[string]string{"x-request-id": id}, Body: []byte("one pass, adult")}
}

func (r *rig) do(q caller.Request) caller.Result {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return r.c.Do(ctx, q)
}

func (r *rig) want(res caller.Result, code int, body string) {
	r.t.Helper()
	if res.Status != code || !strings.Contains(string(res.Body), body) || res.Err != nil {
		r.t.Errorf("answered %d %q (%v), want %d %q", res.Status, res.Body, res.Err, code, body)
	}
}

func TestAnswerServesReadsAndOrders(t *testing.T) {
	for name, mode := range map[string]filterv3.ProcessingMode_BodySendMode{
		"none": filterv3.ProcessingMode_NONE, "buffered": filterv3.ProcessingMode_BUFFERED, "streamed": filterv3.ProcessingMode_STREAMED,
	} {
		for _, override := range []bool{true, false} {
			if !override && name == "none" {
				continue // the caller would never show the body
			}
			t.Run(fmt.Sprintf("%s override %v", name, override), func(t *testing.T) {
				fleet := newFleet(t, 2)
				r := newRig(t, fleet, file("answer", ""), nil)
				r.c.BodyMode, r.c.AllowModeOverride = mode, override
				fleet.Fill("warm")
				r.want(r.do(read("warm", "r1")), 200, "value of warm ")
				r.want(r.do(read("cold", "r2")), 200, "value of cold ")
				if n := fleet.Origin.Fetches(); n != 1 {
					t.Errorf("%d fetches, want one for the miss", n)
				}
				r.want(r.do(order("o1", "w1")), 200, "receipt of o1")
				if ran := fleet.Origin.Executions(); !maps.Equal(ran, map[string]int{"o1": 1}) {
					t.Errorf("executions %v", ran)
				}
				r.quiet()
			})
		}
	}
}

func TestRouteNamesMembersUntilItIsServed(t *testing.T) {
	fleet := newFleet(t, 2)
	r := newRig(t, fleet, file("route", ""), nil)
	r.c.Retries = 4
	fleet.Fill("warm")
	res := r.do(read("warm", "r1"))
	r.want(res, 200, "value of warm ")
	if res.Attempts != 1 {
		t.Errorf("%d calls for a hit", res.Attempts)
	}
	res = r.do(read("cold", "r2"))
	r.want(res, 200, "value of cold ")
	if len(res.Members) < 2 || res.Members[len(res.Members)-1] != fleet.Origin.Addr() {
		t.Errorf("a miss went to %v, want the origin (%s) last", res.Members, fleet.Origin.Addr())
	}
	res = r.do(order("o1", "w1"))
	r.want(res, 200, "receipt of o1")
	if ran := fleet.Origin.Executions(); ran["o1"] != 1 {
		t.Errorf("executions %v", ran)
	}
	r.quiet()
}

// What the client hears is the module's answer, in HTTP's words.
func TestFinalAnswers(t *testing.T) {
	for _, mode := range []string{"answer", "route"} {
		t.Run(mode, func(t *testing.T) {
			fleet := newFleet(t, 1)
			r := newRig(t, fleet, file(mode, ""), nil)
			r.c.Retries = 4
			fleet.Origin.SetResetAfterRun(true)
			res := r.do(order("o1", "w1"))
			r.want(res, 502, "failed")
			if ran := fleet.Origin.Executions(); ran["o1"] != 1 {
				t.Errorf("executions %v", ran)
			}
			fleet.Origin.SetResetAfterRun(false)
			fleet.Origin.SetFault(standin.Busy)
			fleet.Caches[0].SetFault(standin.Busy)
			res = r.do(read("k", "r1"))
			r.want(res, 503, "refused")
			if res.Headers["retry-after"] == "" {
				t.Errorf("refused without a time: %v", res.Headers)
			}
			r.quiet()
		})
	}
}

func TestTimeLeft(t *testing.T) {
	fleet := newFleet(t, 1)
	fleet.Fill("k")
	r := newRig(t, fleet, file("answer", ""), nil)
	for i, c := range []struct {
		headers map[string]string
		code    int
		body    string
	}{
		{nil, 200, "value of k"}, // absent: the class's
		{map[string]string{"x-envoy-expected-rq-timeout-ms": "2500"}, 200, "value of k"},
		{map[string]string{"grpc-timeout": "2S"}, 200, "value of k"},
		{map[string]string{"x-envoy-expected-rq-timeout-ms": "9"}, 503, "never ran"},  // nearly spent: under the margin
		{map[string]string{"x-envoy-expected-rq-timeout-ms": "0"}, 200, "value of k"}, // Envoy: the route has no time-out
		{map[string]string{"x-envoy-expected-rq-timeout-ms": "-5"}, 503, "never ran"},
		{map[string]string{"x-envoy-expected-rq-timeout-ms": "soon"}, 400, "no number"},
		{map[string]string{"x-envoy-expected-rq-timeout-ms": "NaN"}, 400, "no number"},
		{map[string]string{"grpc-timeout": "5"}, 400, "grpc-timeout"},
		{map[string]string{"grpc-timeout": "123456789S"}, 400, "grpc-timeout"},
		{map[string]string{"grpc-timeout": "0S", "x-envoy-expected-rq-timeout-ms": "0"}, 503, "never ran"}, // the least
		{map[string]string{"content-length": "lots"}, 400, "content-length"},
		{map[string]string{"x-tenant": "a,d=9"}, 400, "x-tenant"},
	} {
		q := read("k", fmt.Sprintf("r%d", i))
		maps.Copy(q.Headers, c.headers)
		r.want(r.do(q), c.code, c.body)
	}
	r.want(r.do(read("a%20b", "sp")), 400, "spaces")
	r.quiet()
}

func TestUnmapped(t *testing.T) {
	fleet := newFleet(t, 1)
	q := caller.Request{Method: "GET", Path: "/else", Headers: map[string]string{"x-gateway-destination-endpoint": "127.0.0.1:1"}}
	r := newRig(t, fleet, file("route", `unmapped = "pass"`), nil)
	if res := r.do(q); !res.Passed || res.Err != nil || len(res.Members) > 0 {
		t.Errorf("%+v, want it passed on", res)
	}
	r.quiet()
	r = newRig(t, fleet, file("route", `unmapped = "refuse"`), nil)
	r.want(r.do(q), 404, "nothing is served")
	r.quiet()
}

func TestLongBodies(t *testing.T) {
	for name, mode := range map[string]filterv3.ProcessingMode_BodySendMode{
		"buffered": filterv3.ProcessingMode_BUFFERED, "streamed": filterv3.ProcessingMode_STREAMED,
	} {
		t.Run(name, func(t *testing.T) {
			fleet := newFleet(t, 1)
			r := newRig(t, fleet, file("answer", ""), nil)
			r.c.BodyMode, r.c.AllowModeOverride = mode, false
			q := order("o1", "w1")
			q.Body = bytes.Repeat([]byte("x"), maxBody)
			r.want(r.do(q), 200, "receipt of o1")
			want := map[string]int{"o1": 1}
			q = order("o2", "w2")
			q.Body = bytes.Repeat([]byte("x"), maxBody+1)
			if mode == filterv3.ProcessingMode_BUFFERED {
				r.want(r.do(q), 413, "over")
			} else { // in pieces, as long as a long value may be
				r.want(r.do(q), 200, "receipt of o2")
				q = order("o4", "w4")
				q.Body = bytes.Repeat([]byte("x"), maxLong)
				r.want(r.do(q), 200, "receipt of o4")
				q = order("o5", "w5")
				q.Body = bytes.Repeat([]byte("x"), maxLong+1)
				r.want(r.do(q), 413, "over")
				want["o2"], want["o4"] = 1, 1
			}
			q = order("o3", "w3")
			q.Headers["content-length"] = "9000000000"
			r.want(r.do(q), 413, "over")
			if ran := fleet.Origin.Executions(); !maps.Equal(ran, want) {
				t.Errorf("executions %v", ran)
			}
			r.quiet()
		})
	}
}

// talk opens a stream and sends messages as they are; it returns the status that the stream ends with.
func (r *rig) talk(messages ...*extprocv3.ProcessingRequest) (answers []*extprocv3.ProcessingResponse, code codes.Code) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	s, err := extprocv3.NewExternalProcessorClient(r.c.Conn(0)).Process(ctx)
	if err != nil {
		r.t.Fatal(err)
	}
	for _, m := range messages {
		if s.Send(m) != nil {
			break
		}
	}
	s.CloseSend()
	for {
		m, err := s.Recv()
		if errors.Is(err, io.EOF) {
			return answers, codes.OK
		}
		if err != nil {
			return answers, status.Code(err)
		}
		answers = append(answers, m)
	}
}

func TestFaultyStreamsEndAlone(t *testing.T) {
	headers := func(end bool, pairs ...string) *extprocv3.ProcessingRequest {
		return &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestHeaders{
			RequestHeaders: &extprocv3.HttpHeaders{Headers: headerMap(pairs...), EndOfStream: end}}}
	}
	get := func(id string) *extprocv3.ProcessingRequest {
		return headers(true, ":method", "GET", ":path", "/tiles/k", "x-request-id", id)
	}
	response := func(pairs ...string) *extprocv3.ProcessingRequest {
		return &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_ResponseHeaders{
			ResponseHeaders: &extprocv3.HttpHeaders{Headers: headerMap(pairs...)}}}
	}
	body := &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestBody{RequestBody: &extprocv3.HttpBody{Body: []byte("x")}}}
	fleet := newFleet(t, 1)
	fleet.Fill("k")
	r := newRig(t, fleet, file("route", ""), nil)
	for name, messages := range map[string][]*extprocv3.ProcessingRequest{
		"a response first":        {response(":status", "200")},
		"a body first":            {body},
		"nothing in it":           {{}},
		"request headers twice":   {get("a1"), get("a2")},
		"a body after its end":    {get("b1"), body},
		"no path":                 {headers(true, ":method", "GET")},
		"a response without code": {get("c1"), response("x", "y")},
		"a status that is none":   {get("d1"), response(":status", "ok")},
	} {
		if _, code := r.talk(messages...); code != codes.InvalidArgument {
			t.Errorf("%s: %v, want InvalidArgument", name, code)
		}
	}
	config := &extprocv3.ProtocolConfiguration{RequestBodyMode: filterv3.ProcessingMode_GRPC}
	m := get("e1")
	m.ProtocolConfig = config
	if _, code := r.talk(m); code != codes.Unimplemented {
		t.Errorf("a mode that is not spoken: %v", code)
	}
	m = get("f1")
	m.ObservabilityMode = true
	before := len(r.sent())
	if answers, code := r.talk(m, response(":status", "200")); len(answers) > 0 || code != codes.OK {
		t.Errorf("an observed stream got %v, %v", answers, code)
	}
	if len(r.sent()) != before {
		t.Error("an observed request reached the module")
	}
	r.want(r.do(read("k", "g1")), 200, "value of k")
	r.quiet()
}

// Long values are answered whole, up to the longest, however many are asked for at once.
func TestLongAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		size, code int
	}{"long": {300 << 10, 200}, "the longest": {maxLong, 200}, "too long": {maxLong + 1, 429}} {
		t.Run(name, func(t *testing.T) {
			fleet, err := standin.NewFleet(2, c.size)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(fleet.Close)
			fleet.Fill("k")
			r := newRig(t, fleet, strings.Replace(file("answer", ""), `"5s"`, `"20s"`, 1), func(cfg *proxy.Config) { // as long as the machine may take for all of them
				for i := range cfg.Settings.Classes {
					cfg.Settings.Classes[i].SoftDeadline, cfg.Settings.Classes[i].Deadline = patience, patience
				}
			})
			var clients sync.WaitGroup
			for i := range 12 { // more than there is room for at once
				clients.Go(func() {
					res := r.do(read("k", fmt.Sprint("r", i)))
					if res.Status != c.code || c.code == 200 && !bytes.Equal(res.Body, standin.Value("k", c.size)) {
						t.Errorf("status %d, %d bytes, %v", res.Status, len(res.Body), res.Err)
					}
				})
			}
			clients.Wait()
			r.quiet()
		})
	}
}
