package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"linenloom/internal/resp"
	"linenloom/logic"
)

// One dial that fails must not leave the pool short: those that wait get a connection as soon as there is one
// to be had, though the only one that stands stays busy.
func TestFailedDialDoesNotStarveThePool(t *testing.T) {
	asks, release := make(chan string, 10), make(chan struct{})
	serve := func(conn net.Conn) {
		defer conn.Close()
		in := resp.NewReader(conn, 4096)
		for {
			words, err := readCommand(in)
			if err != nil {
				return
			}
			asks <- words[1]
			if words[1] == "a1" {
				<-release
			}
			io.WriteString(conn, hit("value of "+words[1]))
		}
	}
	accept := func(l net.Listener) {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go accept(l)
	cfg := testConfig()
	cfg.Settings.ConnectTimeout, cfg.Settings.MaxAttempts = patience, 1 // the read must wait, and get its connection
	p := start(t, cfg, entry("s-1", l.Addr().String(), "large"))
	busy, waiting := p.dial(), p.dial()
	busy.send(get("a1", "id1"))
	<-asks
	l.Close()
	waiting.send(get("a2", "id2"))
	p.eventually("a dial has failed", func() bool {
		for _, m := range p.members {
			return m.Backoff() > 0
		}
		return false
	})
	if l, err = net.Listen("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go accept(l)
	if got := waiting.answer(); got != "value of a2" {
		t.Errorf("the read that waited was answered %q", got)
	}
	close(release)
	if got := busy.answer(); got != "value of a1" {
		t.Errorf("the busy read was answered %q", got)
	}
}

// The member's latency is counted from when it was written to: the wait for a connection is the proxy's own.
func TestWaitForAConnectionIsNoLatency(t *testing.T) {
	p := start(t, testConfig())
	p.enter()
	defer p.leave()
	r := &Request{done: true}
	waited := &attempt{req: r, sentAt: p.now - time.Second}
	waited.BeganAt = p.now - 10*time.Millisecond
	never := &attempt{req: r, sentAt: p.now - time.Second}
	r.outstanding = 2
	p.end(waited, logic.StatusOK, 0)
	p.end(never, logic.StatusNoConn, 0)
	if got := p.outcomes[0].Elapsed; got != 10*time.Millisecond {
		t.Errorf("an attempt that waited took %v", got)
	}
	if got := p.outcomes[1].Elapsed; got != time.Second {
		t.Errorf("an attempt that was never written took %v", got)
	}
	p.outcomes = nil
}

// Connections that break all day must not use up what further attempts are allowed.
func TestBrokenConnectionsAreTriedAgain(t *testing.T) {
	first := map[string]bool{}
	ids := make(chan string, 1)
	seen := make(chan bool)
	go func() {
		for id := range ids {
			seen <- first[id]
			first[id] = true
		}
	}()
	t.Cleanup(func() { close(ids) })
	node := listen(t, func(conn net.Conn) {
		in := resp.NewReader(conn, 4096)
		for {
			words, err := readCommand(in)
			if err != nil {
				return
			}
			if ids <- words[2]; !<-seen { // every read's first attempt
				return
			}
			io.WriteString(conn, hit("value of "+words[1]))
		}
	})
	p := start(t, testConfig(), entry("s-1", node, "large"))
	c := p.dial()
	for i := range 40 {
		c.send(get("a1", fmt.Sprintf("id%d", i)))
		if got := c.answer(); got != "value of a1" {
			t.Fatalf("read %d was answered %q", i, got)
		}
	}
}

// An origin that has dropped a kept connection resets it over the next write, which must not run twice. Its last
// byte was never sent, so it is known not to have run, and is made again elsewhere.
func TestResetBeforeTheLastByteProvesThatAWriteNeverRan(t *testing.T) {
	whole := make(chan string, 10)
	o := listen(t, func(conn net.Conn) {
		in := bufio.NewReader(conn)
		for n := 0; ; n++ {
			if n > 0 { // a kept connection ends over the first byte
				in.Peek(1)
				return
			}
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			whole <- r.Header.Get("X-Request-ID")
			io.WriteString(conn, page("receipt"))
		}
	})
	p := start(t, testConfig(), entry("o-1", o, "origin"))
	p.enter()
	p.ups.SetLastByteDelay(500 * time.Millisecond) // the reset is seen by then, however slow the machine
	p.leave()
	c := p.dial()
	for i := range 3 {
		id := fmt.Sprintf("id%d", i)
		c.send(put("a1", id, "order"))
		if got := c.answer(); got != "receipt" {
			t.Fatalf("order %d was answered %q", i, got)
		}
		if got := <-whole; got != id {
			t.Fatalf("the origin carried out %q, not %q", got, id)
		}
		p.eventually("the connection is free", func() bool {
			for _, m := range p.members {
				return len(m.Conns) == 1 && m.Conns[0].Reusable(p.now)
			}
			return false
		})
	}
	if n := len(whole); n != 0 {
		t.Errorf("%d orders too many were carried out", n)
	}
}

// A fetch whose connection falls silent is given up once it can be of no use, long before its client gives up: it
// would hold a place at the origin until then.
func TestSilentFetchIsGivenUp(t *testing.T) {
	node := cache(t, func(asked) string { return miss })
	silent := make(chan struct{}, 10)
	o := listen(t, func(conn net.Conn) {
		in := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if r.URL.Path == "/51" {
				silent <- struct{}{}
				continue
			}
			io.WriteString(conn, page("value"))
		}
	})
	cfg := testConfig()
	cfg.Settings.Classes[0].SoftDeadline, cfg.Settings.Classes[0].Deadline = 2*time.Second, time.Hour
	cfg.Settings.MaxRetryAfter = time.Second
	p := start(t, cfg, entry("s-1", node, "large"), entry("o-1", o, "origin"))
	c := p.dial()
	c.send(words("OBJ.GET", "51", "id1", "c=tile-read,d=3600000"))
	select {
	case <-silent:
	case <-time.After(patience):
		t.Fatal("the fetch never came")
	}
	got := c.answer()
	var after int
	if n, _ := fmt.Sscanf(got, "-BUSY %d", &after); n != 1 || after < 1 || after > 1000 {
		t.Errorf("answered %q, want a refusal that tells when to come back", got)
	}
	p.eventually("nothing is out", func() bool { return len(p.requests) == 0 })
}

// The Balancer is told which attempts had to wait for a handshake.
func TestFirstOnAConnectionIsTold(t *testing.T) {
	node := cache(t, func(a asked) string { return hit("value") })
	p := start(t, testConfig(), entry("s-1", node, "large"))
	c := p.dial()
	for i, want := range []bool{true, false, false} {
		c.send(get("a1", fmt.Sprintf("id%d", i)))
		if got := c.answer(); got != "value" {
			t.Fatalf("answered %q", got)
		}
		p.eventually("the connection is free", func() bool {
			for _, m := range p.members {
				return len(m.Conns) == 1 && m.Conns[0].Reusable(p.now)
			}
			return false
		})
		p.enter()
		for _, m := range p.members {
			if fresh := m.Conns[0].Fresh(); fresh != want {
				t.Errorf("read %d counts as first on its connection: %v", i, fresh)
			}
		}
		p.leave()
	}
}

// A cache that holds all the connections it will answers the first request on a new one with -BUSY, and closes it. Reads that it
// should get go elsewhere, and only a few of them find that out: each by one attempt that never ran.
func TestCacheThatTurnsConnectionsAway(t *testing.T) {
	var turned atomic.Int32
	full := listen(t, func(conn net.Conn) {
		if _, err := readCommand(resp.NewReader(conn, 1<<10)); err == nil {
			turned.Add(1)
			io.WriteString(conn, "-BUSY too many connections\r\n")
		}
	})
	node := cache(t, func(a asked) string { return hit("value of " + a.key) })
	o := origin(t, func(r *http.Request) string { return page("value of " + r.URL.Path[1:]) })
	p := start(t, testConfig(), entry("s-1", full, "large"), entry("s-2", node, "large"), entry("o-1", o, "origin"))
	c := p.dial()
	const reads = 400
	for i := range reads {
		key := fmt.Sprintf("a%d", i)
		c.send(get(key, "r"+key))
		if got := c.answer(); got != "value of "+key {
			t.Fatalf("read %d was answered %q", i, got)
		}
	}
	// Half of the keys are its own. The backoff doubles from 10 ms to 1 s.
	if n := turned.Load(); n == 0 || n > reads/8 {
		t.Errorf("%d of %d reads were sent to a cache that takes no connection", n, reads)
	}
}
