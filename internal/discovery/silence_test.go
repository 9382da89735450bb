package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// scriptedServer is a discovery server whose connections run scripts: the first connection the first
// script, and so on, and all later ones the last. A watcher with short timeouts on a busy machine may
// leave a connection before it has received anything and open another one. The last script therefore runs
// on each later connection, so that its data is not lost with the first of them.
type scriptedServer struct {
	t       *testing.T
	addr    string
	queries chan string // the query of each call, in order of arrival
}

// connScript runs on one connection after its request has been read. The connection is closed when it
// returns.
type connScript func(conn net.Conn)

func startScriptedServer(t *testing.T, parts ...connScript) *scriptedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &scriptedServer{t: t, addr: l.Addr().String(), queries: make(chan string, 100)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 0; ; n++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				p.queries <- r.URL.RawQuery
				parts[min(n, len(parts)-1)](conn)
			}()
		}
	}()
	return p
}

// call waits for the next call and returns its query.
func (p *scriptedServer) call() string {
	p.t.Helper()
	select {
	case q := <-p.queries:
		return q
	case <-time.After(testTimeout):
		p.t.Fatal("not asked again")
		return ""
	}
}

// writesChunks writes a response header and some chunks, and then keeps silent until the connection ends.
func writesChunks(chunks ...string) connScript {
	return func(conn net.Conn) {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for _, c := range chunks {
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(c), c)
		}
		io.Copy(io.Discard, conn)
	}
}

// resets aborts the connection.
func resets(conn net.Conn) { conn.(*net.TCPConn).SetLinger(0) }

func hangs(conn net.Conn) { io.Copy(io.Discard, conn) }

func refuses(conn net.Conn) {
	io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
}

const (
	wholeList   = `{"revision":5,"complete":true,"members":[{"id":"s-a","phase":"in_service"},{"id":"s-b","phase":"in_service"}]}` + "\n"
	drainUpdate = `{"revision":6,"complete":false,"members":[{"id":"s-a","phase":"terminating"}]}` + "\n"
	heartbeat   = "\n"
)

// A watch that falls silent at any point is replaced, and the change that it missed is fetched, whatever
// happens to the first calls after it.
func TestSilentWatchIsReplaced(t *testing.T) {
	silent := map[string]connScript{
		"from its first line on":  writesChunks(),
		"behind a whole list":     writesChunks(wholeList),
		"behind heartbeats":       writesChunks(heartbeat, heartbeat),
		"within a line":           writesChunks(wholeList, drainUpdate[:40]),
		"within an indented list": writesChunks(wholeList, indented(drainUpdate)[:40]),
		"behind half a chunk's head": func(c net.Conn) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2")
			hangs(c)
		},
		"before its head": hangs,
	}
	nextScripts := map[string][]connScript{
		"opened at once":           nil,
		"refused":                  {refuses, refuses},
		"reset":                    {resets, resets},
		"hangs":                    {hangs},
		"is silent too":            {writesChunks()},
		"is silent behind a beat":  {writesChunks(heartbeat)},
		"ends":                     {func(net.Conn) {}},
		"is cut in its first line": {writesChunks(drainUpdate[:20])},
	}
	for name, first := range silent {
		for then, parts := range nextScripts {
			t.Run(name+", then "+then, func(t *testing.T) {
				t.Parallel()
				p := startScriptedServer(t, append(append([]connScript{first}, parts...), writesChunks(drainUpdate))...)
				taken := make(chan List, 10)
				ctx, stop := context.WithCancel(context.Background())
				w := Watcher{Addr: p.addr, Backoff: NewBackoff(false, 0, 1, 0, 1), Log: slog.New(slog.DiscardHandler), OnBreak: func() {},
					OnList:         func(l List) (int64, bool) { taken <- l; return l.Revision, true },
					silenceTimeout: 30 * time.Millisecond, callTimeout: 30 * time.Millisecond}
				done := make(chan struct{})
				go func() { w.Run(ctx); close(done) }()
				t.Cleanup(func() { stop(); <-done })
				for {
					select {
					case l := <-taken:
						if !l.Complete && l.Members[0].ID == "s-a" && l.Members[0].Phase == PhaseTerminating {
							return
						}
					case <-time.After(testTimeout):
						t.Fatal("the drain was never taken in")
					}
				}
			})
		}
	}
}

// The sum of all timeouts on the longest path from the silence of a watch to the missed change stays
// below the 6 s after which the change counts as announced. An agent responds at once; a discovery
// service that is polled has 2 s for a call.
func TestLongestDelayFromSilenceToUpdate(t *testing.T) {
	const announcedAfter = 6 * time.Second
	agent := NewBackoff(false, 3, 4, 0, 1)
	// Two watches replace the first one: one hangs, or is silent from its first line on, and the next delivers the
	// change.
	for name, second := range map[string]time.Duration{"hangs": agentCallTimeout + agent.reconnectSpread, "is silent too": agentCallTimeout + silenceTimeout + agent.reconnectSpread,
		"is refused": agent.retrySpread} {
		delay := silenceTimeout + agent.reconnectSpread + second
		t.Logf("pushed, and the second one %s: at most %v", name, delay)
		if delay >= announcedAfter {
			t.Errorf("pushed, and the second one %s: at most %v", name, delay)
		}
	}
	const call = 2 * time.Second // a call that has waited for this long is rejected
	for _, instances := range []int{1, 4, 80, 300, 2000} {
		for _, maxInterval := range []time.Duration{0, 5 * time.Second, 10 * time.Second, 30 * time.Second, time.Minute} {
			for self := 0; self < instances; self += max(1, instances/7) {
				p := NewBackoff(true, self, instances, maxInterval, 1)
				for range 100 {
					if delay := silenceTimeout + p.ReconnectDelay() + call; delay >= announcedAfter {
						t.Fatalf("asked, %d proxies that must ask every %v: at most %v", instances, maxInterval, delay)
					}
				}
			}
		}
	}
}

// indented writes a list on several lines.
func indented(line string) string {
	var b bytes.Buffer
	if json.Indent(&b, []byte(line), "", "  ") != nil {
		return ""
	}
	return b.String() + "\n"
}

// Each list may be on several lines, with empty lines between them and strings that look like the end of
// an object.
func TestIndentedLists(t *testing.T) {
	escaped := `{"revision":5,"complete":true,"members":[{"id":"s-{\"}]","phase":"in_service"},{"id":"s-a","phase":"in_service"}]}`
	p := startScriptedServer(t, writesChunks(indented(escaped), heartbeat, indented(drainUpdate)[:30], indented(drainUpdate)[30:], heartbeat))
	taken := make(chan List, 10)
	ctx, stop := context.WithCancel(context.Background())
	w := Watcher{Addr: p.addr, Backoff: NewBackoff(false, 0, 1, 0, 1), Log: slog.New(slog.DiscardHandler), OnBreak: func() {},
		OnList: func(l List) (int64, bool) { taken <- l; return l.Revision, true }}
	done := make(chan struct{})
	go func() { w.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })
	for _, want := range []int64{5, 6} {
		select {
		case l := <-taken:
			if l.Revision != want || want == 5 && l.Members[0].ID != `s-{"}]` {
				t.Errorf("taken %+v, want revision %d", l, want)
			}
		case <-time.After(testTimeout):
			t.Fatalf("revision %d was never taken in", want)
		}
	}
	if len(p.queries) != 1 {
		t.Errorf("asked %d times, want one watch", len(p.queries))
	}
}

// The same objects are read from a stream, however it is formatted and split into pieces.
func FuzzObjectReader(f *testing.F) {
	for _, s := range []string{"", "\n", wholeList + heartbeat + drainUpdate, indented(wholeList), "{}{}\n", "x\n{}", `{"a":"}\""}`, "]", "[[", `"{`} {
		f.Add(s, 3)
	}
	all := func(r io.Reader) (out []string, err error) {
		for in := newObjectReader(r); ; {
			var b []byte
			if b, err = in.next(); err != nil {
				return append(out, "cut:"+string(b)), err
			}
			if len(b) > 0 {
				out = append(out, string(b))
			}
		}
	}
	f.Fuzz(func(t *testing.T, text string, piece int) {
		want, err := all(strings.NewReader(text))
		if !errors.Is(err, io.EOF) && !errors.Is(err, errObjectTooLong) {
			t.Fatalf("ended with %v", err)
		}
		got, _ := all(&pieceReader{text, max(1, piece%9)})
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%q in pieces of %d: %q, want %q", text, piece, got, want)
		}
		var one any
		if line := strings.TrimSpace(text); strings.HasPrefix(line, "{") && json.Unmarshal([]byte(line), &one) == nil {
			if len(want) != 2 || want[0] != line {
				t.Errorf("an object %q came out as %q", line, want)
			}
		}
	})
}

type pieceReader struct {
	text string
	size int
}

func (p *pieceReader) Read(b []byte) (int, error) {
	if p.text == "" {
		return 0, io.EOF
	}
	n := copy(b[:min(len(b), p.size)], p.text)
	p.text = p.text[n:]
	return n, nil
}
