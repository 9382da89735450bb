package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"linenloom/internal/discovery"
	"linenloom/internal/pool"
	"linenloom/internal/resp"
	"linenloom/internal/upstream"
	"linenloom/logic"
)

// numberedText returns a value in which any two parts differ.
func numberedText(n int) string {
	var b strings.Builder
	for b.Len() < n {
		fmt.Fprintf(&b, "%d,", b.Len())
	}
	return b.String()[:n]
}

// A long value is streamed to the client before all of it has arrived, complete and in order, from a
// cache and from an origin.
func TestLongValuesAreStreamed(t *testing.T) {
	value := numberedText(3 << 20)
	half := make(chan struct{})
	for name, member := range map[string]func(t *testing.T) (flavor, addr string){
		"cache": func(t *testing.T) (string, string) {
			return "large", serveConns(t, func(conn net.Conn) {
				if _, err := readCommand(newMemberInput(conn)); err != nil {
					return
				}
				fmt.Fprintf(conn, "*3\r\n$%d\r\n%s", len(value), value[:1<<20])
				<-half
				fmt.Fprintf(conn, "%s\r\n$3\r\nhit\r\n$-1\r\n", value[1<<20:])
				conn.Read(make([]byte, 1))
			})
		},
		"origin": func(t *testing.T) (string, string) {
			return "origin", startOrigin(t, func(*http.Request) string { return httpOK(value) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			flavor, addr := member(t)
			members := []discovery.Member{listEntry("m", addr, flavor)}
			if flavor == "origin" {
				members = append(members, listEntry("c", startCache(t, func(memberCommand) string { return missReply }), "large"))
			}
			p := startProxy(t, testConfig(), members...)
			c := p.dial()
			c.send(getCommand("k1", "r1") + getCommand("k2", "r2"))
			line, err := c.in.ReadString('\n')
			if err != nil || line != fmt.Sprintf("$%d\r\n", len(value)) {
				t.Fatalf("%q %v", line, err)
			}
			got := make([]byte, len(value)+2)
			if _, err := io.ReadFull(c.in, got[:1<<19]); err != nil { // the cache has sent no more than a third yet
				t.Fatal(err)
			}
			if flavor == "large" {
				close(half)
			}
			if _, err := io.ReadFull(c.in, got[1<<19:]); err != nil || string(got) != value+"\r\n" {
				t.Fatalf("not the value: %v", err)
			}
			if held := p.Load().Held; held > 1<<20 {
				t.Errorf("%d bytes are held", held)
			}
		})
	}
}

// An origin sends a value of unknown length, in chunks or up to the end of the connection. It is served
// once it is complete, and a truncated one is not served.
func TestLongValuesOfUnknownLength(t *testing.T) {
	chunked := func(value string) string {
		var b strings.Builder
		b.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for ; len(value) > 0; value = value[min(len(value), 50_000):] {
			piece := value[:min(len(value), 50_000)]
			fmt.Fprintf(&b, "%x\r\n%s\r\n", len(piece), piece)
		}
		return b.String() + "0\r\n\r\n"
	}
	short, longer, tooLong := numberedText(1000), numberedText(300<<10), numberedText(resp.MaxLongValue+1)
	toEnd := "HTTP/1.1 200 OK\r\n\r\n"
	for name, c := range map[string]struct {
		answer, want string // want "": not served, as it is truncated or too long
		reset        bool   // the connection ends with a reset
	}{
		"short, in chunks":      {chunked(short), short, false},
		"long, in chunks":       {chunked(longer), longer, false},
		"short, to the end":     {toEnd + short, short, false},
		"long, to the end":      {toEnd + longer, longer, false},
		"short, to a reset":     {toEnd + short, "", true},
		"long, to a reset":      {toEnd + longer, "", true},
		"chunks that break off": {chunked(longer)[:200<<10], "", false},
		"too long, in chunks":   {chunked(tooLong), "", false},
		"too long, to the end":  {toEnd + tooLong, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig()
			cfg.MemoryMB = 32 // memory for two of them
			o := serveConns(t, func(conn net.Conn) {
				in := bufio.NewReader(conn)
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				io.WriteString(conn, c.answer)
				if c.reset { // after all has been read, as a reset discards unread data
					time.Sleep(50 * time.Millisecond)
					conn.(*net.TCPConn).SetLinger(0)
				}
			})
			p := startProxy(t, cfg, listEntry("o", o, "origin"), listEntry("c", startCache(t, func(memberCommand) string { return missReply }), "large"))
			var clients []*testClient
			for i := range 4 {
				clients = append(clients, p.dial())
				clients[i].send(getCommand(fmt.Sprint("k", i), fmt.Sprint("r", i)))
			}
			for i, cl := range clients {
				if got := cl.answer(); got != c.want && (c.want != "" || !strings.HasPrefix(got, "-")) {
					t.Errorf("client %d: %d bytes, %.60q", i, len(got), got)
				}
			}
			p.eventually("nothing is held", func() bool {
				return p.longValues.usedBytes == 0 && len(p.longValues.waiting) == 0 && p.bufferedBytes == 0
			})
		})
	}
}

// Reads that were pipelined behind the first long value of a cache, when its size was not known, do not
// wait for the client of that value.
func TestReadsPipelinedBehindALongValue(t *testing.T) {
	cfg := testConfig()
	cfg.Multiplex, cfg.Settings.Instances = 64, pool.CacheConnCapacity // one connection to the cache
	value := numberedText(3 << 20)
	asked, behind := make(chan struct{}), make(chan struct{})
	p := startProxy(t, cfg, listEntry("c", serveConns(t, func(conn net.Conn) {
		for in := newMemberInput(conn); ; {
			w, err := readCommand(in)
			if err != nil {
				return
			}
			if w[1] != "long" {
				io.WriteString(conn, hitReply("v"))
				continue
			}
			close(asked)
			// A fence behind the long value is answered with it.
			_, fences, err := in.readBatchBehind(2)
			if err != nil {
				return
			}
			fmt.Fprintf(conn, "*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n%s%s%s%s", len(value), value, fences[0], hitReply("first"), fences[1], hitReply("second"))
		}
	}), "large"))
	p.Do(func() { p.upstreams.SetMaxPipelineAge(testTimeout) })
	c := p.dial()
	for i := range 2 * pool.MinCleanAnswers {
		c.send(getCommand(fmt.Sprint("k", i), fmt.Sprint("w", i)))
		if got := c.answer(); got != "v" {
			t.Fatal(got)
		}
	}
	slow := p.dial()
	slow.conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	p.eventually("it is taken in", func() bool { return len(p.redis.clients) == 2 })
	p.Do(func() { // the value must not fit into the kernel's buffers
		for c := range p.redis.clients {
			c.conn.SetWriteBuffer(64 << 10)
		}
	})
	slow.send(getCommand("long", "l")) // the client reads nothing yet
	<-asked
	go func() {
		d := p.dial()
		d.send(getCommand("a", "ra"))
		if got := d.answer(); got != "first" && got != "second" {
			t.Errorf("%.60q", got)
		}
		close(behind)
	}()
	p.eventually("one is written behind the long one", func() bool {
		for _, m := range p.members {
			for _, u := range m.Conns {
				return len(u.Pipelined) > 0
			}
		}
		return false
	})
	e := p.dial()
	e.send(getCommand("e", "re"))
	if got := e.answer(); got != "first" && got != "second" {
		t.Errorf("%.60q", got)
	}
	<-behind
	if got := slow.answer(); got != value {
		t.Errorf("the long value: %d bytes", len(got))
	}
	p.eventually("nothing is held", func() bool { return p.longValues.usedBytes == 0 && p.bufferedBytes == 0 && len(p.requests) == 0 })
}

// A member closes the connection in the middle of a long value, or the client does. The client sees
// that the value is truncated, nothing is retried, and nothing is left over.
func TestLongValueCutOff(t *testing.T) {
	value := numberedText(1 << 20)
	requests := make(chan string, 10)
	p := startProxy(t, testConfig(), listEntry("m", serveConns(t, func(conn net.Conn) {
		for in := newMemberInput(conn); ; {
			w, err := readCommand(in)
			if err != nil {
				return
			}
			requests <- w[1]
			if w[1] == "cut" {
				fmt.Fprintf(conn, "*3\r\n$%d\r\n%s", len(value), value[:200<<10])
				return
			}
			fmt.Fprintf(conn, "*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", len(value), value)
		}
	}), "large"))
	c := p.dial()
	c.send(getCommand("cut", "r1"))
	got, err := io.ReadAll(c.in)
	if err != nil || !bytes.HasPrefix(got, []byte("$1048576\r\n0,2,")) || len(got) > 200<<10+12 {
		t.Errorf("%d bytes, %v", len(got), err)
	}
	d := p.dial()
	d.send(getCommand("whole", "r2"))
	if _, err := d.in.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	d.conn.Close()
	p.eventually("nothing is in hand", func() bool { return len(p.requests) == 0 && p.bufferedBytes == 0 })
	if n := len(requests); n != 2 {
		t.Errorf("%d requests to the cache, want 2", n)
	}
}

// Long values that are written are accepted as far as there is memory for them, in the order of
// arrival. Those that wait are not refused, and do not block other requests.
func TestLongWritesWaitForMemory(t *testing.T) {
	cfg := testConfig()
	cfg.MemoryMB = 32 // memory for two of them
	cfg.Settings.Classes[1].Deadline = testTimeout
	o := startOrigin(t, func(r *http.Request) string { return httpOK("receipt " + r.Header.Get("X-Request-ID")) })
	p := startProxy(t, cfg, listEntry("o", o, "origin"), listEntry("c", startCache(t, func(memberCommand) string { return hitReply("v") }), "large"))
	value := numberedText(resp.MaxLongValue)
	const writers = 6
	var clients [writers]*testClient
	for i := range clients { // all begin to send, none finishes
		clients[i] = p.dial()
		text := setCommand(fmt.Sprint("k", i), fmt.Sprint("w", i), value)
		clients[i].send(text[:len(text)-resp.MaxLongValue/2])
	}
	p.eventually("some are let in, the others wait", func() bool {
		return p.longValues.usedBytes == 2*resp.MaxLongValue && len(p.longValues.waiting) == writers-2
	})
	reader := p.dial()
	reader.send(getCommand("k", "r1"))
	if got := reader.answer(); got != "v" {
		t.Errorf("a read meanwhile: %q", got)
	}
	for i, c := range clients {
		text := setCommand(fmt.Sprint("k", i), fmt.Sprint("w", i), value)
		go c.send(text[len(text)-resp.MaxLongValue/2:])
	}
	for i, c := range clients {
		if got := c.answer(); got != fmt.Sprint("receipt w", i) {
			t.Errorf("writer %d: %.60q", i, got)
		}
	}
	p.eventually("all room is given back", func() bool {
		return p.longValues.usedBytes == 0 && len(p.longValues.waiting) == 0 && p.bufferedBytes == 0
	})
}

// Clients that each sent half a command lose their connections to clients that send whole ones, but
// slow clients that make progress keep theirs.
func TestStalledCommandsAreEvicted(t *testing.T) {
	cfg := testConfig()
	cfg.Descriptors = 64
	p := startProxy(t, cfg, listEntry("c", startCache(t, func(memberCommand) string { return hitReply("v") }), "large"))
	slow := p.dial()
	whole := getCommand("k", "slow")
	slow.send(whole[:1])
	maxClients := p.redis.maxClients()
	var halves []*testClient
	for i := range maxClients - 1 {
		halves = append(halves, p.dial())
		halves[i].send(getCommand("k", fmt.Sprint("half", i))[:20])
	}
	p.eventually("all are in the middle of a command", func() bool {
		n := 0
		for c := range p.redis.clients {
			if c.midCommand {
				n++
			}
		}
		return n == maxClients
	})
	served, sent := 0, 1
	for ; served < maxClients-1; time.Sleep(20 * time.Millisecond) { // the interval at which the slow client sends
		if sent < len(whole)-1 {
			slow.send(whole[sent : sent+1])
			sent++
		}
		c := p.dial() // closed if no other client has stalled for long enough yet; the loop tries again
		c.send(getCommand("k", fmt.Sprint("new", time.Now().UnixNano())))
		if c.answer() == "v" {
			served++ // and it keeps its connection
		} else {
			c.conn.Close()
		}
	}
	slow.send(whole[sent:])
	if got := slow.answer(); got != "v" {
		t.Errorf("the slow client: %q", got)
	}
	gaveWay := 0
	for _, c := range halves { // those that ran into the command timeout get an error line
		if c.answer() == "" {
			gaveWay++
		}
	}
	if gaveWay == 0 {
		t.Error("nobody gave way before the time of a command was up")
	}
}

// If few connections are used again, a connection is closed after its answer, so that another client
// gets its place. If they are used again, they are kept.
func TestConnectionsUsedOnceAreClosed(t *testing.T) {
	cfg := testConfig()
	cfg.Descriptors = 128
	run := boundedClock(t, &cfg, time.Second) // no connection counts as idle meanwhile
	p := startProxy(t, cfg, listEntry("c", startCache(t, func(memberCommand) string { return hitReply("v") }), "large"))
	run(p)
	ask := func(name string) *testClient {
		c := p.dial()
		c.send(getCommand("k", name))
		if got := c.answer(); got != "v" {
			t.Fatalf("%s: %q", name, got)
		}
		return c
	}
	clients := make([]*testClient, 0, 24)
	for i := range cap(clients) { // more than a third of the limit, each of which sends two commands
		clients = append(clients, ask(fmt.Sprint("a", i)))
		clients[i].send(getCommand("k", fmt.Sprint("b", i)))
		if got := clients[i].answer(); got != "v" {
			t.Fatalf("the second time: %q", got)
		}
	}
	p.eventually("all are kept", func() bool { return len(p.redis.clients) == cap(clients) && p.redis.reuseShare > minReuseShare })

	p.Do(func() { p.redis.reuseShare = 0 }) // as after many clients that send one command and stay
	closed := 0
	const once = 4 * keepOpenEvery
	for i := range once {
		c := ask(fmt.Sprint("c", i))
		p.eventually("it is settled", func() bool { return len(p.requests) == 0 })
		c.conn.SetReadDeadline(time.Now().Add(testTimeout))
		p.beginEvent()
		kept := len(p.redis.clients) > cap(clients)+(i+1)-closed-1
		p.endEvent()
		if !kept {
			if got := c.answer(); got != "" {
				t.Errorf("closed with %q", got)
			}
			closed++
		}
	}
	if closed != once-once/keepOpenEvery {
		t.Errorf("%d of %d are closed, want all but one in %d", closed, once, keepOpenEvery)
	}
	clients[0].send(getCommand("k", "d")) // a connection that was used again is kept
	if got := clients[0].answer(); got != "v" {
		t.Errorf("%q", got)
	}

	p.redis.Drain() // from now on no connection is closed to make room
	open := 0
	p.Do(func() { open = len(p.redis.clients) })
	for i := range 2 * keepOpenEvery {
		ask(fmt.Sprint("e", i))
	}
	p.eventually("all are kept while it drains", func() bool { return len(p.requests) == 0 && len(p.redis.clients) == open+2*keepOpenEvery })
}

// answerResponder is a client of a front end that accepts no long values.
type answerResponder chan Answer

func (t answerResponder) Answer(a Answer) { t <- a }

// A value that is too long for its client fails at once, and the members that hold it are not blamed.
func TestValueTooLongForItsFront(t *testing.T) {
	var requests atomic.Int64
	value := numberedText(resp.MaxValue + 1)
	member := startCache(t, func(memberCommand) string { requests.Add(1); return hitReply(value) })
	p := startProxy(t, testConfig(), listEntry("m", member, "large"), listEntry("n", member, "large"))
	c := p.dial()
	c.send(getCommand("k", "first")) // the proxy knows its members once this is answered
	if got := c.answer(); got != value {
		t.Fatalf("a client that takes it: %d bytes", len(got))
	}
	requests.Store(0)
	const reads = 12
	for i := range reads {
		responder := make(answerResponder, 1)
		p.Do(func() {
			r := &Request{Responder: responder, Command: Command{Message: upstream.Message{Key: fmt.Appendf(nil, "k%d", i),
				ReqID: fmt.Appendf(nil, "r%d", i), Attrs: []byte("c=tile-read,d=8000")}}}
			if err := p.Submit(r); err != nil {
				t.Error(err)
			}
		})
		if a := <-responder; a.Kind != Failed || a.Reason != logic.Rejected {
			t.Fatalf("read %d: %v, %v", i, a.Kind, a.Reason)
		}
	}
	if n := requests.Load(); n != reads {
		t.Errorf("%d attempts at %d reads", n, reads)
	}
	c.send(getCommand("k", "last"))
	if got := c.answer(); got != value {
		t.Errorf("another client: %d bytes", len(got))
	}
}
