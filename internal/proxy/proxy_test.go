package proxy

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"iter"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"linenloom/internal/discovery"
	"linenloom/internal/resp"
	"linenloom/logic"
)

// testTimeout limits every wait of a test. It does not measure speed: only a failing test waits that long.
const testTimeout = 20 * time.Second

// memberCommand is a command that a simulated member has received.
type memberCommand struct{ name, key, id, attrs, value string }

// serveConns calls serve for each connection to a loopback address until the test ends. It returns the address.
func serveConns(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return l.Addr().String()
}

// startCache starts a simulated cache, which replies to each command with the text that answer returns.
func startCache(t *testing.T, answer func(memberCommand) string) string {
	return serveConns(t, func(conn net.Conn) {
		for words := range commandsOf(conn) {
			a := memberCommand{name: words[0], key: words[1], id: words[2], attrs: words[3]}
			if _, err := io.WriteString(conn, answer(a)); err != nil {
				return
			}
		}
	})
}

// memberInput reads the commands that a simulated cache receives on a connection.
type memberInput struct {
	*resp.Reader
	conn net.Conn
}

func newMemberInput(conn net.Conn) *memberInput {
	return &memberInput{resp.NewReader(conn, 4096), conn}
}

// readCommand returns the next request, and answers fences before it.
func readCommand(in *memberInput) ([]string, error) {
	for {
		words, err := readWords(in.Reader)
		if err != nil || words[0] != "SELECT" {
			return words, err
		}
		if _, err := io.WriteString(in.conn, "+OK\r\n"); err != nil {
			return nil, err
		}
	}
}

// commandsOf yields the requests on a connection until it ends, and answers fences before them.
func commandsOf(conn net.Conn) iter.Seq[[]string] {
	return func(yield func([]string) bool) {
		for in := newMemberInput(conn); ; {
			words, err := readCommand(in)
			if err != nil || !yield(words) {
				return
			}
		}
	}
}

// readBatch reads n requests before any of them is answered. It returns their keys and the answers to the
// fences behind them, as far as those were sent before the last request.
func (in *memberInput) readBatch(n int) (keys, fences []string, err error) {
	words, err := readCommand(in)
	if err != nil {
		return nil, nil, err
	}
	keys, fences, err = in.readBatchBehind(n - 1)
	return append([]string{words[1]}, keys...), fences, err
}

// readBatchBehind reads the rest of a batch, n requests behind one that was read. The first fence is the one
// behind that request.
func (in *memberInput) readBatchBehind(n int) (keys, fences []string, err error) {
	fences = []string{""}
	for len(keys) < n {
		words, err := readWords(in.Reader)
		switch {
		case err != nil:
			return nil, nil, err
		case words[0] == "SELECT":
			fences[len(fences)-1] = "+OK\r\n"
		default:
			keys, fences = append(keys, words[1]), append(fences, "")
		}
	}
	return keys, fences, nil
}

func readWords(in *resp.Reader) ([]string, error) {
	h, err := in.Head()
	if err != nil {
		return nil, err
	}
	words := make([]string, h.N)
	for i := range words {
		if h, err = in.Head(); err != nil {
			return nil, err
		}
		b, err := in.Bulk(nil, h.N)
		if err != nil {
			return nil, err
		}
		words[i] = string(b)
	}
	return words, nil
}

// startOrigin starts a simulated origin, which replies to each request with the text that answer returns.
func startOrigin(t *testing.T, answer func(r *http.Request) string) string {
	return serveConns(t, func(conn net.Conn) {
		in := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body)
			if _, err := io.WriteString(conn, answer(r)); err != nil {
				return
			}
		}
	})
}

func hitReply(value string) string {
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", len(value), value)
}

const missReply = "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"

func httpOK(value string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(value), value)
}

// fakeDiscovery is a simulated discovery: lists given to publish are sent to every watch.
type fakeDiscovery struct {
	addr         string
	list         discovery.List
	quietAtStart bool // a new watch gets no list at first
	mu           sync.Mutex
	watches      []chan discovery.List
	watchBegan   chan struct{} // gets a token for each watch that begins
	watchEnded   chan struct{} // and for each that ends
}

func newFakeDiscovery(t *testing.T, list discovery.List) *fakeDiscovery {
	r := &fakeDiscovery{list: list, watchBegan: make(chan struct{}, 100), watchEnded: make(chan struct{}, 100)}
	stop := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		out := json.NewEncoder(w)
		if !r.quietAtStart {
			out.Encode(r.list)
		}
		w.(http.Flusher).Flush()
		if q.URL.Query().Get("watch") == "" {
			return
		}
		c := make(chan discovery.List, 10)
		r.mu.Lock()
		r.watches = append(r.watches, c)
		r.mu.Unlock()
		r.watchBegan <- struct{}{}
		defer func() { r.watchEnded <- struct{}{} }()
		for {
			select {
			case l := <-c:
				out.Encode(l)
			case <-time.After(time.Second):
				io.WriteString(w, "\n")
			case <-stop:
				return
			case <-q.Context().Done():
				return
			}
			w.(http.Flusher).Flush()
		}
	}))
	t.Cleanup(func() { close(stop); s.Close() })
	r.addr = s.Listener.Addr().String()
	return r
}

func (r *fakeDiscovery) publish(l discovery.List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.watches {
		c <- l
	}
}

func listEntry(id, addr, flavor string) discovery.Member {
	return discovery.Member{ID: id, HostPort: addr, Locality: "kochi-dc", Flavor: flavor,
		Phase: discovery.PhaseInService, Size: 1}
}

func testConfig() Config {
	return Config{
		Listen: "127.0.0.1:0", Seed: 1, Zones: []string{"kochi-dc"}, Kinds: []string{"large", "origin"},
		ConnIdle: 5 * time.Second, MaxRequests: 1000, MemoryMB: 64, Descriptors: 256,
		Settings: logic.Settings{
			Classes: []logic.Class{
				{Name: "tile-read", SoftDeadline: 5 * time.Second, Deadline: 8 * time.Second, Value: 5},
				{Name: "pass-order", SoftDeadline: 5 * time.Second, Deadline: 8 * time.Second, Value: 15, Effect: logic.AtMostOnce},
			},
			Instances: 2, Zones: 1, Mode: logic.CacheAside, OriginKind: 1, Weights: logic.WeightsNominal,
			MaxEventDelay: time.Millisecond, MaxAttempts: 4, CanCancel: true, ConnectTimeout: 2 * time.Second,
			SlowStartCapacity: 0.3, SlowStartDuration: time.Second, OverloadMultiple: 4, OverloadDuration: time.Second,
		},
	}
}

type testProxy struct {
	*Proxy
	t    *testing.T
	stop context.CancelFunc
	done chan error
}

// startProxy runs a proxy with the members until the test ends.
func startProxy(t *testing.T, cfg Config, members ...discovery.Member) *testProxy {
	t.Helper()
	r := newFakeDiscovery(t, discovery.List{Revision: 1, Complete: true, Members: members})
	return startProxyAt(t, cfg, r)
}

func startProxyAt(t *testing.T, cfg Config, r *fakeDiscovery) *testProxy {
	t.Helper()
	cfg.Discovery, cfg.InitialList = r.addr, r.list
	inner, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &testProxy{Proxy: inner, t: t, stop: stop, done: make(chan error, 1)}
	go func() { p.done <- p.Run(ctx) }()
	t.Cleanup(func() { p.stopAndWait() })
	return p
}

// stopAndWait stops the proxy and waits until Run returns.
func (p *testProxy) stopAndWait() {
	p.t.Helper()
	p.stop()
	select {
	case err := <-p.done:
		if err != nil {
			p.t.Errorf("Run: %v", err)
		}
		p.done <- nil
	case <-time.After(testTimeout):
		p.t.Error("the proxy did not end")
	}
}

// testClient is a client connection to the proxy.
type testClient struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func (p *testProxy) dial() *testClient {
	p.t.Helper()
	conn, err := net.Dial("tcp", p.Addr().String())
	if err != nil {
		p.t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(testTimeout))
	p.t.Cleanup(func() { conn.Close() })
	return &testClient{t: p.t, conn: conn, in: bufio.NewReader(conn)}
}

func (c *testClient) send(text string) {
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Logf("send: %v", err) // the proxy may already have closed the connection
	}
}

// answer reads one answer and returns the value of a bulk string, an error line, or "" at the end of the connection.
func (c *testClient) answer() string {
	c.t.Helper()
	line, err := c.in.ReadString('\n')
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		c.t.Fatal("no answer and no close")
	}
	if err != nil {
		return ""
	}
	line = strings.TrimSpace(line)
	var n int
	if k, _ := fmt.Sscanf(line, "$%d", &n); k != 1 {
		return line
	}
	b := make([]byte, n+2)
	if _, err := io.ReadFull(c.in, b); err != nil {
		return ""
	}
	return string(b[:n])
}

func respCommand(w ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(w))
	for _, s := range w {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(s), s)
	}
	return b.String()
}

func getCommand(key, id string) string { return respCommand("OBJ.GET", key, id, "c=tile-read,d=8000") }

func setCommand(key, id, value string) string {
	return respCommand("OBJ.SET", key, id, "c=pass-order,d=8000", value)
}

// eventually waits until ok, called under the proxy's lock, returns true.
func (p *testProxy) eventually(what string, ok func() bool) {
	p.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		p.beginEvent()
		is := ok()
		p.endEvent()
		if is {
			return
		}
	}
	p.t.Fatalf("never came about: %s", what)
}
