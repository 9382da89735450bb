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

// testTimeout bounds every wait; only a failing test waits this long.
const testTimeout = 20 * time.Second

// operatorFile returns an operator's file with the given mode and further settings for [extproc].
func operatorFile(mode, more string) string {
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

// harness is a host with both front ends and a simulated fleet.
type harness struct {
	t      *testing.T
	host   *proxy.Proxy
	front  *Front
	fleet  *standin.Fleet
	caller *caller.Caller
	stop   context.CancelFunc
	done   chan error
	mu     sync.Mutex
	sentTo []logic.MemberID
}

// hostConfig returns a host's configuration for a fleet.
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
	cfg.AcceptAfterStop = 0
	return cfg
}

func newFleet(t *testing.T, caches int) *standin.Fleet {
	t.Helper()
	fleet, err := standin.NewFleet(caches, 64)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	return fleet
}

func newHarness(t *testing.T, fleet *standin.Fleet, text string, edit func(*proxy.Config)) *harness {
	t.Helper()
	env := &harness{t: t, fleet: fleet, done: make(chan error, 1)}
	cfg := hostConfig(t, fleet)
	cfg.OnSend = func(_ logic.RequestID, m logic.MemberID) {
		env.mu.Lock()
		env.sentTo = append(env.sentTo, m)
		env.mu.Unlock()
	}
	if edit != nil {
		edit(&cfg)
	}
	log := slog.New(slog.DiscardHandler)
	var err error
	if env.host, err = proxy.New(cfg, log); err != nil {
		t.Fatal(err)
	}
	file, err := operator.Parse("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if env.front, err = New(env.host, file, log); err != nil {
		t.Fatal(err)
	}
	env.host.AddFront(env.front)
	ctx, stop := context.WithCancel(context.Background())
	env.stop = stop
	go func() { env.done <- env.host.Run(ctx) }()
	t.Cleanup(env.stopAndWait)
	env.caller = dial(t, env)
	return env
}

// dial creates a caller of the harnesses' front ends.
func dial(t *testing.T, rigs ...*harness) *caller.Caller {
	t.Helper()
	var targets []string
	for _, r := range rigs {
		targets = append(targets, r.front.Addr().String())
	}
	c, err := caller.Dial(targets...)
	if err != nil {
		t.Fatal(err)
	}
	c.MessageTimeout = testTimeout
	t.Cleanup(c.Close)
	return c
}

func (h *harness) stopAndWait() {
	h.t.Helper()
	h.stop()
	select {
	case err := <-h.done:
		if err != nil {
			h.t.Errorf("Run: %v", err)
		}
		h.done <- nil
	case <-time.After(testTimeout):
		h.t.Error("the proxy did not end")
	}
}

func (h *harness) eventually(what string, ok func() bool) {
	h.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	h.t.Fatalf("never came about: %s (%+v, %+v)", what, h.host.Load(), h.front.Counts())
}

// waitIdle waits until neither the host nor the front end has anything in progress.
func (h *harness) waitIdle() {
	h.t.Helper()
	h.eventually("nothing is in hand", func() bool {
		l, c := h.host.Load(), h.front.Counts()
		return l.Requests == 0 && l.Attempts == 0 && c.Streams == 0 && l.Held == 0
	})
}

func (h *harness) sent() []logic.MemberID {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]logic.MemberID(nil), h.sentTo...)
}

func readRequest(key, id string) caller.Request {
	return caller.Request{Method: "GET", Path: "/tiles/" + key, Headers: map[string]string{"x-request-id": id}}
}

func orderRequest(key, id string) caller.Request {
	return caller.Request{Method: "PUT", Path: "/orders/" + key, Headers: map[string]string{"x-request-id": id}, Body: []byte("one pass, adult")}
}

func (h *harness) do(q caller.Request) caller.Result {
	h.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return h.caller.Do(ctx, q)
}

func (h *harness) expect(res caller.Result, code int, body string) {
	h.t.Helper()
	if res.Status != code || !strings.Contains(string(res.Body), body) || res.Err != nil {
		h.t.Errorf("answered %d %q (%v), want %d %q", res.Status, res.Body, res.Err, code, body)
	}
}

func TestAnswerServesReadsAndOrders(t *testing.T) {
	for name, mode := range map[string]filterv3.ProcessingMode_BodySendMode{
		"none": filterv3.ProcessingMode_NONE, "buffered": filterv3.ProcessingMode_BUFFERED, "streamed": filterv3.ProcessingMode_STREAMED,
	} {
		for _, override := range []bool{true, false} {
			if !override && name == "none" {
				continue // the caller would never send the body
			}
			t.Run(fmt.Sprintf("%s override %v", name, override), func(t *testing.T) {
				fleet := newFleet(t, 2)
				env := newHarness(t, fleet, operatorFile("answer", ""), nil)
				env.caller.BodyMode, env.caller.AllowModeOverride = mode, override
				fleet.Fill("warm")
				env.expect(env.do(readRequest("warm", "r1")), 200, "value of warm ")
				env.expect(env.do(readRequest("cold", "r2")), 200, "value of cold ")
				if n := fleet.Origin.Fetches(); n != 1 {
					t.Errorf("%d fetches, want one for the miss", n)
				}
				env.expect(env.do(orderRequest("o1", "w1")), 200, "receipt of o1")
				if ran := fleet.Origin.Executions(); !maps.Equal(ran, map[string]int{"o1": 1}) {
					t.Errorf("executions %v", ran)
				}
				env.waitIdle()
			})
		}
	}
}

func TestRouteModeNamesMembersUntilServed(t *testing.T) {
	fleet := newFleet(t, 2)
	env := newHarness(t, fleet, operatorFile("route", ""), nil)
	env.caller.Retries = 4
	fleet.Fill("warm")
	res := env.do(readRequest("warm", "r1"))
	env.expect(res, 200, "value of warm ")
	if res.Attempts != 1 {
		t.Errorf("%d calls for a hit", res.Attempts)
	}
	res = env.do(readRequest("cold", "r2"))
	env.expect(res, 200, "value of cold ")
	if len(res.Members) < 2 || res.Members[len(res.Members)-1] != fleet.Origin.Addr() {
		t.Errorf("a miss went to %v, want the origin (%s) last", res.Members, fleet.Origin.Addr())
	}
	res = env.do(orderRequest("o1", "w1"))
	env.expect(res, 200, "receipt of o1")
	if ran := fleet.Origin.Executions(); ran["o1"] != 1 {
		t.Errorf("executions %v", ran)
	}
	env.waitIdle()
}

// The client gets the routing module's answer as an HTTP status.
func TestFinalAnswers(t *testing.T) {
	for _, mode := range []string{"answer", "route"} {
		t.Run(mode, func(t *testing.T) {
			fleet := newFleet(t, 1)
			env := newHarness(t, fleet, operatorFile(mode, ""), nil)
			env.caller.Retries = 4
			fleet.Origin.SetResetAfterRun(true)
			res := env.do(orderRequest("o1", "w1"))
			env.expect(res, 502, "failed")
			if ran := fleet.Origin.Executions(); ran["o1"] != 1 {
				t.Errorf("executions %v", ran)
			}
			fleet.Origin.SetResetAfterRun(false)
			fleet.Origin.SetFault(standin.Busy)
			fleet.Caches[0].SetFault(standin.Busy)
			res = env.do(readRequest("k", "r1"))
			env.expect(res, 503, "refused")
			if res.Headers["retry-after"] == "" {
				t.Errorf("refused without a time: %v", res.Headers)
			}
			env.waitIdle()
		})
	}
}

func TestTimeLeft(t *testing.T) {
	fleet := newFleet(t, 1)
	fleet.Fill("k")
	env := newHarness(t, fleet, operatorFile("answer", ""), nil)
	for i, c := range []struct {
		headers map[string]string
		code    int
		body    string
	}{
		{nil, 200, "value of k"}, // absent: the class's deadline
		{map[string]string{"x-envoy-expected-rq-timeout-ms": "2500"}, 200, "value of k"},
		{map[string]string{"grpc-timeout": "2S"}, 200, "value of k"},
		{map[string]string{"x-envoy-expected-rq-timeout-ms": "9"}, 503, "never ran"},  // less than the margin
		{map[string]string{"x-envoy-expected-rq-timeout-ms": "0"}, 200, "value of k"}, // Envoy: no timeout
		{map[string]string{"x-envoy-expected-rq-timeout-ms": "-5"}, 503, "never ran"},
		{map[string]string{"x-envoy-expected-rq-timeout-ms": "soon"}, 400, "no number"},
		{map[string]string{"x-envoy-expected-rq-timeout-ms": "NaN"}, 400, "no number"},
		{map[string]string{"grpc-timeout": "5"}, 400, "grpc-timeout"},
		{map[string]string{"grpc-timeout": "123456789S"}, 400, "grpc-timeout"},
		// The minimum of both headers counts.
		{map[string]string{"grpc-timeout": "0S", "x-envoy-expected-rq-timeout-ms": "0"}, 503, "never ran"},
		{map[string]string{"content-length": "lots"}, 400, "content-length"},
		{map[string]string{"x-tenant": "a,d=9"}, 400, "x-tenant"},
	} {
		q := readRequest("k", fmt.Sprintf("r%d", i))
		maps.Copy(q.Headers, c.headers)
		env.expect(env.do(q), c.code, c.body)
	}
	env.expect(env.do(readRequest("a%20b", "sp")), 400, "spaces")
	env.waitIdle()
}

func TestUnmapped(t *testing.T) {
	fleet := newFleet(t, 1)
	q := caller.Request{Method: "GET", Path: "/else", Headers: map[string]string{"x-gateway-destination-endpoint": "127.0.0.1:1"}}
	env := newHarness(t, fleet, operatorFile("route", `unmapped = "pass"`), nil)
	if res := env.do(q); !res.PassedThrough || res.Err != nil || len(res.Members) > 0 {
		t.Errorf("%+v, want it passed on", res)
	}
	env.waitIdle()
	env = newHarness(t, fleet, operatorFile("route", `unmapped = "refuse"`), nil)
	env.expect(env.do(q), 404, "nothing is served")
	env.waitIdle()
}

func TestLongBodies(t *testing.T) {
	for name, mode := range map[string]filterv3.ProcessingMode_BodySendMode{
		"buffered": filterv3.ProcessingMode_BUFFERED, "streamed": filterv3.ProcessingMode_STREAMED,
	} {
		t.Run(name, func(t *testing.T) {
			fleet := newFleet(t, 1)
			env := newHarness(t, fleet, operatorFile("answer", ""), nil)
			env.caller.BodyMode, env.caller.AllowModeOverride = mode, false
			q := orderRequest("o1", "w1")
			q.Body = bytes.Repeat([]byte("x"), maxBodyBytes)
			env.expect(env.do(q), 200, "receipt of o1")
			want := map[string]int{"o1": 1}
			q = orderRequest("o2", "w2")
			q.Body = bytes.Repeat([]byte("x"), maxBodyBytes+1)
			if mode == filterv3.ProcessingMode_BUFFERED {
				env.expect(env.do(q), 413, "over")
			} else { // in several messages, up to the limit of long values
				env.expect(env.do(q), 200, "receipt of o2")
				q = orderRequest("o4", "w4")
				q.Body = bytes.Repeat([]byte("x"), maxLongBodyBytes)
				env.expect(env.do(q), 200, "receipt of o4")
				q = orderRequest("o5", "w5")
				q.Body = bytes.Repeat([]byte("x"), maxLongBodyBytes+1)
				env.expect(env.do(q), 413, "over")
				want["o2"], want["o4"] = 1, 1
			}
			q = orderRequest("o3", "w3")
			q.Headers["content-length"] = "9000000000"
			env.expect(env.do(q), 413, "over")
			if ran := fleet.Origin.Executions(); !maps.Equal(ran, want) {
				t.Errorf("executions %v", ran)
			}
			env.waitIdle()
		})
	}
}

// exchange opens a stream, sends the messages unchanged and returns the responses and the final status.
func (h *harness) exchange(messages ...*extprocv3.ProcessingRequest) (answers []*extprocv3.ProcessingResponse, code codes.Code) {
	h.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	s, err := extprocv3.NewExternalProcessorClient(h.caller.Conn(0)).Process(ctx)
	if err != nil {
		h.t.Fatal(err)
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

func TestInvalidStreamsEndAlone(t *testing.T) {
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
	env := newHarness(t, fleet, operatorFile("route", ""), nil)
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
		if _, code := env.exchange(messages...); code != codes.InvalidArgument {
			t.Errorf("%s: %v, want InvalidArgument", name, code)
		}
	}
	config := &extprocv3.ProtocolConfiguration{RequestBodyMode: filterv3.ProcessingMode_GRPC}
	m := get("e1")
	m.ProtocolConfig = config
	if _, code := env.exchange(m); code != codes.Unimplemented {
		t.Errorf("a mode that is not spoken: %v", code)
	}
	m = get("f1")
	m.ObservabilityMode = true
	before := len(env.sent())
	if answers, code := env.exchange(m, response(":status", "200")); len(answers) > 0 || code != codes.OK {
		t.Errorf("an observed stream got %v, %v", answers, code)
	}
	if len(env.sent()) != before {
		t.Error("an observed request reached the module")
	}
	env.expect(env.do(readRequest("k", "g1")), 200, "value of k")
	env.waitIdle()
}

// Long values are answered completely, up to the limit, for any number of concurrent reads.
func TestLongAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		size, code int
	}{"long": {300 << 10, 200}, "the longest": {maxLongBodyBytes, 200}, "too long": {maxLongBodyBytes + 1, 429}} {
		t.Run(name, func(t *testing.T) {
			fleet, err := standin.NewFleet(2, c.size)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(fleet.Close)
			fleet.Fill("k")
			// 20 s are enough time for all of them on a slow machine.
			env := newHarness(t, fleet, strings.Replace(operatorFile("answer", ""), `"5s"`, `"20s"`, 1), func(cfg *proxy.Config) {
				for i := range cfg.Settings.Classes {
					cfg.Settings.Classes[i].SoftDeadline, cfg.Settings.Classes[i].Deadline = testTimeout, testTimeout
				}
			})
			var clients sync.WaitGroup
			for i := range 12 { // more than there is capacity for at once
				clients.Go(func() {
					res := env.do(readRequest("k", fmt.Sprint("r", i)))
					if res.Status != c.code || c.code == 200 && !bytes.Equal(res.Body, standin.Value("k", c.size)) {
						t.Errorf("status %d, %d bytes, %v", res.Status, len(res.Body), res.Err)
					}
				})
			}
			clients.Wait()
			env.waitIdle()
		})
	}
}
