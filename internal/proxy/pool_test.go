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

	"linenloom/logic"
)

// A failed dial must not leave the pool without connections: waiting attempts get a connection as soon as the member
// accepts one, although the only open connection stays busy.
func TestFailedDialDoesNotStarveThePool(t *testing.T) {
	keys, release := make(chan string, 10), make(chan struct{})
	serve := func(conn net.Conn) {
		defer conn.Close()
		for words := range commandsOf(conn) {
			keys <- words[1]
			if words[1] == "a1" {
				<-release
			}
			io.WriteString(conn, hitReply("value of "+words[1]))
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
	// The read must wait until it gets a connection.
	cfg.Settings.ConnectTimeout, cfg.Settings.MaxAttempts = testTimeout, 1
	p := startProxy(t, cfg, listEntry("s-1", l.Addr().String(), "large"))
	busy, waiting := p.dial(), p.dial()
	busy.send(getCommand("a1", "id1"))
	<-keys
	l.Close()
	waiting.send(getCommand("a2", "id2"))
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

// The member's latency is measured from when the request was written, without the wait for a connection.
func TestPoolWaitIsNotMemberLatency(t *testing.T) {
	p := startProxy(t, testConfig())
	p.beginEvent()
	defer p.endEvent()
	r := &Request{done: true}
	waited := &attempt{request: r, startedAt: p.now - time.Second}
	waited.BeganAt = p.now - 10*time.Millisecond
	neverWritten := &attempt{request: r, startedAt: p.now - time.Second}
	r.outstanding = 2
	p.endAttempt(waited, logic.StatusOK, 0)
	p.endAttempt(neverWritten, logic.StatusNoConn, 0)
	if got := p.outcomes[0].Elapsed; got != 10*time.Millisecond {
		t.Errorf("an attempt that waited took %v", got)
	}
	if got := p.outcomes[1].Elapsed; got != time.Second {
		t.Errorf("an attempt that was never written took %v", got)
	}
	p.outcomes = nil
}

// Connections that keep breaking must not use up the retry budget.
func TestPoolBreaksDoNotExhaustRetries(t *testing.T) {
	seenIDs := map[string]bool{}
	ids := make(chan string, 1)
	seen := make(chan bool)
	go func() {
		for id := range ids {
			seen <- seenIDs[id]
			seenIDs[id] = true
		}
	}()
	t.Cleanup(func() { close(ids) })
	node := serveConns(t, func(conn net.Conn) {
		for words := range commandsOf(conn) {
			if ids <- words[2]; !<-seen { // the first attempt of every read
				return
			}
			io.WriteString(conn, hitReply("value of "+words[1]))
		}
	})
	p := startProxy(t, testConfig(), listEntry("s-1", node, "large"))
	c := p.dial()
	for i := range 40 {
		c.send(getCommand("a1", fmt.Sprintf("id%d", i)))
		if got := c.answer(); got != "value of a1" {
			t.Fatalf("read %d was answered %q", i, got)
		}
	}
}

// An origin that has closed a kept-alive connection resets it when it gets the next write, which must not run twice.
// The write's last byte was not sent, so it cannot have run and is retried on another connection.
func TestPoolResetBeforeLastByteAllowsRetry(t *testing.T) {
	received := make(chan string, 10)
	o := serveConns(t, func(conn net.Conn) {
		in := bufio.NewReader(conn)
		for n := 0; ; n++ {
			if n > 0 { // a kept-alive connection is closed on the first byte of the next request
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
			received <- r.Header.Get("X-Request-ID")
			io.WriteString(conn, httpOK("receipt"))
		}
	})
	p := startProxy(t, testConfig(), listEntry("o-1", o, "origin"))
	p.beginEvent()
	p.upstreams.SetLastByteDelay(500 * time.Millisecond) // long enough to see the reset even on a slow machine
	p.endEvent()
	c := p.dial()
	for i := range 3 {
		id := fmt.Sprintf("id%d", i)
		c.send(setCommand("a1", id, "order"))
		if got := c.answer(); got != "receipt" {
			t.Fatalf("order %d was answered %q", i, got)
		}
		if got := <-received; got != id {
			t.Fatalf("the origin carried out %q, not %q", got, id)
		}
		p.eventually("the connection is free", func() bool {
			for _, m := range p.members {
				return len(m.Conns) == 1 && m.Conns[0].Reusable(p.now)
			}
			return false
		})
	}
	if n := len(received); n != 0 {
		t.Errorf("%d orders too many were carried out", n)
	}
}

// A fetch whose connection becomes silent is abandoned once its result can no longer be useful, long before the
// client's deadline: until then it would occupy capacity at the origin.
func TestPoolSilentFetchTimesOut(t *testing.T) {
	node := startCache(t, func(memberCommand) string { return missReply })
	silent := make(chan struct{}, 10)
	o := serveConns(t, func(conn net.Conn) {
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
			io.WriteString(conn, httpOK("value"))
		}
	})
	cfg := testConfig()
	cfg.Settings.Classes[0].SoftDeadline, cfg.Settings.Classes[0].Deadline = 2*time.Second, time.Hour
	cfg.Settings.MaxRetryAfter = time.Second
	p := startProxy(t, cfg, listEntry("s-1", node, "large"), listEntry("o-1", o, "origin"))
	c := p.dial()
	c.send(respCommand("OBJ.GET", "51", "id1", "c=tile-read,d=3600000"))
	select {
	case <-silent:
	case <-time.After(testTimeout):
		t.Fatal("the fetch never came")
	}
	got := c.answer()
	var after int
	if n, _ := fmt.Sscanf(got, "-BUSY %d", &after); n != 1 || after < 1 || after > 1000 {
		t.Errorf("answered %q, want a refusal that tells when to come back", got)
	}
	p.eventually("nothing is out", func() bool { return len(p.requests) == 0 })
}

// The Balancer is informed which attempts had to wait for a handshake.
func TestPoolReportsFirstOnConnection(t *testing.T) {
	node := startCache(t, func(a memberCommand) string { return hitReply("value") })
	p := startProxy(t, testConfig(), listEntry("s-1", node, "large"))
	c := p.dial()
	for i, want := range []bool{true, false, false} {
		c.send(getCommand("a1", fmt.Sprintf("id%d", i)))
		if got := c.answer(); got != "value" {
			t.Fatalf("answered %q", got)
		}
		p.eventually("the connection is free", func() bool {
			for _, m := range p.members {
				return len(m.Conns) == 1 && m.Conns[0].Reusable(p.now)
			}
			return false
		})
		p.beginEvent()
		for _, m := range p.members {
			if fresh := m.Conns[0].Fresh(); fresh != want {
				t.Errorf("read %d counts as first on its connection: %v", i, fresh)
			}
		}
		p.endEvent()
	}
}

// A cache at its connection limit answers the first request on a new connection with -BUSY and closes it. Its reads
// go to other members, and only a few of them are tried at the full cache first, each by one attempt that did not run.
func TestPoolCacheThatRefusesConnections(t *testing.T) {
	var refused atomic.Int32
	full := serveConns(t, func(conn net.Conn) {
		if _, err := readCommand(newMemberInput(conn)); err == nil {
			refused.Add(1)
			io.WriteString(conn, "-BUSY too many connections\r\n")
		}
	})
	node := startCache(t, func(a memberCommand) string { return hitReply("value of " + a.key) })
	o := startOrigin(t, func(r *http.Request) string { return httpOK("value of " + r.URL.Path[1:]) })
	p := startProxy(t, testConfig(), listEntry("s-1", full, "large"), listEntry("s-2", node, "large"), listEntry("o-1", o, "origin"))
	c := p.dial()
	const reads = 400
	for i := range reads {
		key := fmt.Sprintf("a%d", i)
		c.send(getCommand(key, "r"+key))
		if got := c.answer(); got != "value of "+key {
			t.Fatalf("read %d was answered %q", i, got)
		}
	}
	// Half of the keys belong to the full cache. The dial backoff doubles from 10 ms to 1 s.
	if n := refused.Load(); n == 0 || n > reads/8 {
		t.Errorf("%d of %d reads were sent to a cache that takes no connection", n, reads)
	}
}
