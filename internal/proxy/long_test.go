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

// long is a value whose every part can be told from the others.
func long(n int) string {
	var b strings.Builder
	for b.Len() < n {
		fmt.Fprintf(&b, "%d,", b.Len())
	}
	return b.String()[:n]
}

// A long value goes on before all of it has come, whole and in order, from a cache and from an origin.
func TestLongValuesArePassedOn(t *testing.T) {
	value := long(3 << 20)
	half := make(chan struct{})
	for name, member := range map[string]func(t *testing.T) (flavor, addr string){
		"cache": func(t *testing.T) (string, string) {
			return "large", listen(t, func(conn net.Conn) {
				if _, err := readCommand(resp.NewReader(conn, 4096)); err != nil {
					return
				}
				fmt.Fprintf(conn, "*3\r\n$%d\r\n%s", len(value), value[:1<<20])
				<-half
				fmt.Fprintf(conn, "%s\r\n$3\r\nhit\r\n$-1\r\n", value[1<<20:])
				conn.Read(make([]byte, 1))
			})
		},
		"origin": func(t *testing.T) (string, string) {
			return "origin", origin(t, func(*http.Request) string { return page(value) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			flavor, addr := member(t)
			members := []discovery.Member{entry("m", addr, flavor)}
			if flavor == "origin" {
				members = append(members, entry("c", cache(t, func(asked) string { return miss }), "large"))
			}
			p := start(t, testConfig(), members...)
			c := p.dial()
			c.send(get("k1", "r1") + get("k2", "r2"))
			line, err := c.in.ReadString('\n')
			if err != nil || line != fmt.Sprintf("$%d\r\n", len(value)) {
				t.Fatalf("%q %v", line, err)
			}
			got := make([]byte, len(value)+2)
			if _, err := io.ReadFull(c.in, got[:1<<19]); err != nil { // the cache gives no more than a third yet
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

// An origin that does not tell the length of a value first sends it in chunks, or up to the end of the connection: it is served once it
// is whole, and what breaks off is not served.
func TestValuesOfUntoldLength(t *testing.T) {
	chunked := func(value string) string {
		var b strings.Builder
		b.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for ; len(value) > 0; value = value[min(len(value), 50_000):] {
			piece := value[:min(len(value), 50_000)]
			fmt.Fprintf(&b, "%x\r\n%s\r\n", len(piece), piece)
		}
		return b.String() + "0\r\n\r\n"
	}
	short, longer, most := long(1000), long(300<<10), long(resp.MaxLongValue+1)
	toEnd := "HTTP/1.1 200 OK\r\n\r\n"
	for name, c := range map[string]struct {
		answer, want string // want: none, as it is not whole, or too long
		reset        bool   // the connection ends by a reset
	}{
		"short, in chunks":      {chunked(short), short, false},
		"long, in chunks":       {chunked(longer), longer, false},
		"short, to the end":     {toEnd + short, short, false},
		"long, to the end":      {toEnd + longer, longer, false},
		"short, to a reset":     {toEnd + short, "", true},
		"long, to a reset":      {toEnd + longer, "", true},
		"chunks that break off": {chunked(longer)[:200<<10], "", false},
		"too long, in chunks":   {chunked(most), "", false},
		"too long, to the end":  {toEnd + most, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig()
			cfg.MemoryMB = 32 // room for two of them
			o := listen(t, func(conn net.Conn) {
				in := bufio.NewReader(conn)
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				io.WriteString(conn, c.answer)
				if c.reset { // once all has been read: a reset drops what was not
					time.Sleep(50 * time.Millisecond)
					conn.(*net.TCPConn).SetLinger(0)
				}
			})
			p := start(t, cfg, entry("o", o, "origin"), entry("c", cache(t, func(asked) string { return miss }), "large"))
			var clients []*testClient
			for i := range 4 {
				clients = append(clients, p.dial())
				clients[i].send(get(fmt.Sprint("k", i), fmt.Sprint("r", i)))
			}
			for i, cl := range clients {
				if got := cl.answer(); got != c.want && (c.want != "" || !strings.HasPrefix(got, "-")) {
					t.Errorf("client %d: %d bytes, %.60q", i, len(got), got)
				}
			}
			p.eventually("nothing is held", func() bool { return p.long.used == 0 && len(p.long.waiting) == 0 && p.held == 0 })
		})
	}
}

// Reads that were written behind the first long value of a cache, before anybody could know of it, don't wait for its client.
func TestReadsBehindALongValue(t *testing.T) {
	cfg := testConfig()
	cfg.Multiplex, cfg.Settings.Instances = 64, pool.CacheConnCapacity // so that it has one connection to the cache
	value := long(3 << 20)
	asked, behind := make(chan struct{}), make(chan struct{})
	p := start(t, cfg, entry("c", listen(t, func(conn net.Conn) {
		for in := resp.NewReader(conn, 4096); ; {
			w, err := readCommand(in)
			if err != nil {
				return
			}
			if w[1] != "long" {
				io.WriteString(conn, hit("v"))
				continue
			}
			close(asked)
			for range 2 {
				if _, err := readCommand(in); err != nil {
					return
				}
			}
			fmt.Fprintf(conn, "*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n%s%s", len(value), value, hit("first"), hit("second"))
		}
	}), "large"))
	p.Do(func() { p.ups.SetMaxPipelineAge(patience) })
	c := p.dial()
	for i := range 2 * pool.MinCleanAnswers {
		c.send(get(fmt.Sprint("k", i), fmt.Sprint("w", i)))
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
	slow.send(get("long", "l")) // and takes nothing yet
	<-asked
	go func() {
		d := p.dial()
		d.send(get("a", "ra"))
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
	e.send(get("e", "re"))
	if got := e.answer(); got != "first" && got != "second" {
		t.Errorf("%.60q", got)
	}
	<-behind
	if got := slow.answer(); got != value {
		t.Errorf("the long value: %d bytes", len(got))
	}
	p.eventually("nothing is held", func() bool { return p.long.used == 0 && p.held == 0 && len(p.requests) == 0 })
}

// A member that breaks off in the middle, and a client that leaves there: the client sees that the value is not whole,
// nothing is tried again, and nothing stays behind.
func TestLongValueCutOff(t *testing.T) {
	value := long(1 << 20)
	asks := make(chan string, 10)
	p := start(t, testConfig(), entry("m", listen(t, func(conn net.Conn) {
		for in := resp.NewReader(conn, 4096); ; {
			w, err := readCommand(in)
			if err != nil {
				return
			}
			asks <- w[1]
			if w[1] == "cut" {
				fmt.Fprintf(conn, "*3\r\n$%d\r\n%s", len(value), value[:200<<10])
				return
			}
			fmt.Fprintf(conn, "*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", len(value), value)
		}
	}), "large"))
	c := p.dial()
	c.send(get("cut", "r1"))
	got, err := io.ReadAll(c.in)
	if err != nil || !bytes.HasPrefix(got, []byte("$1048576\r\n0,2,")) || len(got) > 200<<10+12 {
		t.Errorf("%d bytes, %v", len(got), err)
	}
	d := p.dial()
	d.send(get("whole", "r2"))
	if _, err := d.in.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	d.conn.Close()
	p.eventually("nothing is in hand", func() bool { return len(p.requests) == 0 && p.held == 0 })
	if n := len(asks); n != 2 {
		t.Errorf("%d requests to the cache, want 2", n)
	}
}

// Long values that are written are let in as far as there is room, the first first; those that wait are not refused, and
// leave others their way.
func TestLongWritesWaitForRoom(t *testing.T) {
	cfg := testConfig()
	cfg.MemoryMB = 32 // room for two of them
	cfg.Settings.Classes[1].Deadline = patience
	o := origin(t, func(r *http.Request) string { return page("receipt " + r.Header.Get("X-Request-ID")) })
	p := start(t, cfg, entry("o", o, "origin"), entry("c", cache(t, func(asked) string { return hit("v") }), "large"))
	value := long(resp.MaxLongValue)
	const writers = 6
	var clients [writers]*testClient
	for i := range clients { // all begin, none ends
		clients[i] = p.dial()
		text := put(fmt.Sprint("k", i), fmt.Sprint("w", i), value)
		clients[i].send(text[:len(text)-resp.MaxLongValue/2])
	}
	p.eventually("some are let in, the others wait", func() bool {
		return p.long.used == 2*resp.MaxLongValue && len(p.long.waiting) == writers-2
	})
	reader := p.dial()
	reader.send(get("k", "r1"))
	if got := reader.answer(); got != "v" {
		t.Errorf("a read meanwhile: %q", got)
	}
	for i, c := range clients {
		text := put(fmt.Sprint("k", i), fmt.Sprint("w", i), value)
		go c.send(text[len(text)-resp.MaxLongValue/2:])
	}
	for i, c := range clients {
		if got := c.answer(); got != fmt.Sprint("receipt w", i) {
			t.Errorf("writer %d: %.60q", i, got)
		}
	}
	p.eventually("all room is given back", func() bool { return p.long.used == 0 && len(p.long.waiting) == 0 && p.held == 0 })
}

// A crowd that sends half a command each gives its places to clients that ask, and to slow ones that go on.
func TestStalledCommandsGiveWay(t *testing.T) {
	cfg := testConfig()
	cfg.Sockets = 64
	p := start(t, cfg, entry("c", cache(t, func(asked) string { return hit("v") }), "large"))
	slow := p.dial()
	whole := get("k", "slow")
	slow.send(whole[:1])
	most := p.redis.maxClients()
	var halves []*testClient
	for i := range most - 1 {
		halves = append(halves, p.dial())
		halves[i].send(get("k", fmt.Sprint("half", i))[:20])
	}
	p.eventually("all are in the middle of a command", func() bool {
		n := 0
		for c := range p.redis.clients {
			if c.midCommand {
				n++
			}
		}
		return n == most
	})
	served, sent := 0, 1
	for ; served < most-1; time.Sleep(20 * time.Millisecond) { // the pace at which the slow client goes on
		if sent < len(whole)-1 {
			slow.send(whole[sent : sent+1])
			sent++
		}
		c := p.dial() // one that comes before anybody has stalled for long is closed, and comes again
		c.send(get("k", fmt.Sprint("new", time.Now().UnixNano())))
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
	for _, c := range halves { // those whose time is up have an error line
		if c.answer() == "" {
			gaveWay++
		}
	}
	if gaveWay == 0 {
		t.Error("nobody gave way before the time of a command was up")
	}
}

// Where hardly any connection is asked on again, one is closed once it is answered, and its place is free for the next;
// where they are used again, they are kept.
func TestConnectionsAskedOnOnce(t *testing.T) {
	cfg := testConfig()
	cfg.Sockets = 128
	run := slowClock(t, &cfg, time.Second) // nobody counts as idle meanwhile
	p := start(t, cfg, entry("c", cache(t, func(asked) string { return hit("v") }), "large"))
	run(p)
	ask := func(name string) *testClient {
		c := p.dial()
		c.send(get("k", name))
		if got := c.answer(); got != "v" {
			t.Fatalf("%s: %q", name, got)
		}
		return c
	}
	clients := make([]*testClient, 0, 24)
	for i := range cap(clients) { // over a third of the room, each of which asks twice
		clients = append(clients, ask(fmt.Sprint("a", i)))
		clients[i].send(get("k", fmt.Sprint("b", i)))
		if got := clients[i].answer(); got != "v" {
			t.Fatalf("the second time: %q", got)
		}
	}
	p.eventually("all are kept", func() bool { return len(p.redis.clients) == cap(clients) && p.redis.reuseShare > minReuseShare })

	p.Do(func() { p.redis.reuseShare = 0 }) // as after many that ask once and stay
	closed := 0
	const once = 4 * keepOpenEvery
	for i := range once {
		c := ask(fmt.Sprint("c", i))
		p.eventually("it is settled", func() bool { return len(p.requests) == 0 })
		c.conn.SetReadDeadline(time.Now().Add(patience))
		p.enter()
		kept := len(p.redis.clients) > cap(clients)+(i+1)-closed-1
		p.leave()
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
	clients[0].send(get("k", "d")) // one that has asked again is not
	if got := clients[0].answer(); got != "v" {
		t.Errorf("%q", got)
	}

	p.redis.Drain() // from now on nobody makes room for others
	open := 0
	p.Do(func() { open = len(p.redis.clients) })
	for i := range 2 * keepOpenEvery {
		ask(fmt.Sprint("e", i))
	}
	p.eventually("all are kept while it drains", func() bool { return len(p.requests) == 0 && len(p.redis.clients) == open+2*keepOpenEvery })
}

// plainTaker is a client of a front that takes no long values.
type plainTaker chan Answer

func (t plainTaker) Answer(a Answer) { t <- a }

// A value that is too long for its client fails at once, and the members that hold it are not held to blame.
func TestValueTooLongForItsFront(t *testing.T) {
	var asks atomic.Int64
	value := long(resp.MaxValue + 1)
	member := cache(t, func(asked) string { asks.Add(1); return hit(value) })
	p := start(t, testConfig(), entry("m", member, "large"), entry("n", member, "large"))
	c := p.dial()
	c.send(get("k", "first")) // once it is answered, the proxy knows its members
	if got := c.answer(); got != value {
		t.Fatalf("a client that takes it: %d bytes", len(got))
	}
	asks.Store(0)
	const reads = 12
	for i := range reads {
		taker := make(plainTaker, 1)
		p.Do(func() {
			r := &Request{Responder: taker, Command: Command{Message: upstream.Message{Key: fmt.Appendf(nil, "k%d", i),
				ReqID: fmt.Appendf(nil, "r%d", i), Attrs: []byte("c=tile-read,d=8000")}}}
			if err := p.Submit(r); err != nil {
				t.Error(err)
			}
		})
		if a := <-taker; a.Kind != Failed || a.Reason != logic.Rejected {
			t.Fatalf("read %d: %v, %v", i, a.Kind, a.Reason)
		}
	}
	if n := asks.Load(); n != reads {
		t.Errorf("%d attempts at %d reads", n, reads)
	}
	c.send(get("k", "last"))
	if got := c.answer(); got != value {
		t.Errorf("another client: %d bytes", len(got))
	}
}
