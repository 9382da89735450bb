package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"linenloom/internal/pool"
	"linenloom/internal/upstream"
	"linenloom/logic"
)

// Bytes that follow an answer must never be taken for the answer to the next request.
func TestUpstreamUnrequestedBytesAreNoAnswer(t *testing.T) {
	for name, trailing := range map[string]string{
		"a second copy":    hitReply("value of another"),
		"noise":            "\x8fb2\xf4\r\n",
		"half a line":      "*3\r\n$5\r\nsto",
		"an error":         "-ERR failed\r\n",
		"an HTTP response": httpOK("value of another"),
	} {
		t.Run(name, func(t *testing.T) {
			node := startCache(t, func(a memberCommand) string { return hitReply("value of "+a.key) + trailing })
			o := startOrigin(t, func(r *http.Request) string { return httpOK("receipt of "+r.URL.Path[1:]) + trailing })
			p := startProxy(t, testConfig(), listEntry("s-1", node, "large"), listEntry("o-1", o, "origin"))
			c := p.dial()
			for i := range 10 {
				key := fmt.Sprintf("a%d", i)
				c.send(getCommand(key, "r"+key) + setCommand(key, "w"+key, "order"))
				if got := c.answer(); got != "value of "+key {
					t.Fatalf("read %d was answered %q", i, got)
				}
				if got := c.answer(); got != "receipt of "+key {
					t.Fatalf("write %d was answered %q", i, got)
				}
			}
		})
	}
}

// An answer that cannot be parsed fails the attempt: the read is retried at another member, and no part of the
// malformed answer reaches the client.
func TestUpstreamMalformedAnswerIsAFailedAttempt(t *testing.T) {
	for name, malformed := range map[string]string{
		"noise":          "\x8fb2\xf4\r\n",
		"endless line":   strings.Repeat("x", 64<<10),
		"short length":   "*3\r\n$3\r\nspoilt value\r\n$3\r\nhit\r\n$-1\r\n",
		"long length":    "*3\r\n$30\r\nspoilt value\r\n$3\r\nhit\r\n$-1\r\n",
		"huge length":    "*3\r\n$3000000000\r\n" + strings.Repeat("x", 64<<10),
		"many elements":  "*60\r\n$6\r\nspoilt\r\n$3\r\nhit\r\n$-1\r\n",
		"one element":    "*1\r\n$6\r\nspoilt\r\n",
		"stops half-way": "*3\r\n$6\r\nspo",
		"not an array":   "$6\r\nspoilt\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var commands atomic.Int32
			answer := func(a memberCommand) string { // the first member that gets the read returns the malformed answer
				if commands.Add(1) == 1 {
					return malformed
				}
				return hitReply("value of " + a.key)
			}
			p := startProxy(t, testConfig(), listEntry("s-1", startCache(t, answer), "large"),
				listEntry("s-2", startCache(t, answer), "large"))
			c := p.dial()
			c.send(getCommand("a1", "id1"))
			if got := c.answer(); got != "value of a1" {
				t.Errorf("answered %q", got)
			}
		})
	}
}

// An unusable load report, or an interim HTTP response before the answer, must not invalidate a valid answer.
func TestUpstreamAnswerWithMalformedReport(t *testing.T) {
	value := "*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n"
	for name, answer := range map[string]string{
		"report is noise":       value + "\x8fb2\xf4\r\n",
		"report too long":       value + "$70000\r\n" + strings.Repeat("x", 70000) + "\r\n",
		"report of wrong kind":  value + "*2\r\n:1\r\n:2\r\n",
		"report stops half-way": value + "$40\r\ninfl",
		"report unreadable":     value + "$8\r\n\x00\x01=,,=\xff!\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			node := startCache(t, func(memberCommand) string { return answer })
			p := startProxy(t, testConfig(), listEntry("s-1", node, "large"))
			c := p.dial()
			for i := range 3 {
				c.send(getCommand("a1", fmt.Sprintf("id%d", i)))
				if got := c.answer(); got != "value" {
					t.Fatalf("answered %q", got)
				}
			}
		})
	}
	for name, interim := range map[string]string{
		"100":         "HTTP/1.1 100 Continue\r\n\r\n",
		"103 and 102": "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			o := startOrigin(t, func(r *http.Request) string { return interim + httpOK("receipt") })
			p := startProxy(t, testConfig(), listEntry("o-1", o, "origin"))
			c := p.dial()
			for i := range 3 {
				c.send(setCommand("a1", fmt.Sprintf("id%d", i), "order"))
				if got := c.answer(); got != "receipt" {
					t.Fatalf("answered %q", got)
				}
			}
		})
	}
}

// A rejected request is not a failure of the cache: it must still get other requests.
func TestUpstreamRejectionIsNotACacheFailure(t *testing.T) {
	node := startCache(t, func(a memberCommand) string {
		if strings.HasPrefix(a.key, "bad") {
			return "-ERR bad request\r\n"
		}
		return hitReply("value")
	})
	p := startProxy(t, testConfig(), listEntry("s-1", node, "large"))
	c := p.dial()
	for i := range 20 {
		c.send(getCommand("bad", fmt.Sprintf("bad%d", i)))
		if got := c.answer(); got != "-ERR failed" {
			t.Fatalf("a rejected request was answered %q", got)
		}
		c.send(getCommand("good", fmt.Sprintf("good%d", i)))
		if got := c.answer(); got != "value" {
			t.Fatalf("a good request was answered %q", got)
		}
	}
}

// A connection that the member has closed while it was idle does not fail the next request.
func TestUpstreamClosedConnectionIsNotReused(t *testing.T) {
	closed := make(chan struct{}, 10)
	node := serveConns(t, func(conn net.Conn) {
		if _, err := readCommand(newMemberInput(conn)); err == nil {
			io.WriteString(conn, hitReply("value"))
		}
		conn.Close()
		closed <- struct{}{}
	})
	p := startProxy(t, testConfig(), listEntry("s-1", node, "large"))
	c := p.dial()
	for i := range 5 {
		c.send(getCommand("a1", fmt.Sprintf("id%d", i)))
		if got := c.answer(); got != "value" {
			t.Fatalf("read %d was answered %q", i, got)
		}
		<-closed
	}
	p.eventually("no connection is left", func() bool { return p.upstreams.OpenConns() == 0 })
}

// Members that are added and removed leave nothing behind, even under new ids at the same address.
func TestRemovedMembersAreReleased(t *testing.T) {
	node := startCache(t, func(a memberCommand) string { return hitReply("value") })
	r := newFakeDiscovery(t, discoveryList(1, true, listEntry("s-0", node, "large")))
	p := startProxyAt(t, testConfig(), r)
	<-r.watchBegan
	c := p.dial()
	for i := range 20 {
		gone := listEntry(fmt.Sprintf("s-%d", i), node, "large")
		gone.Phase = "terminated"
		id := fmt.Sprintf("s-%d", i+1)
		r.publish(discoveryList(int64(i+2), false, gone, listEntry(id, node, "large")))
		p.eventually("the new member is known", func() bool { return p.revision == int64(i+2) })
		c.send(getCommand("a1", "id-"+id))
		if got := c.answer(); got != "value" {
			t.Fatalf("from %s: %q", id, got)
		}
	}
	p.eventually("one member and its connection are left", func() bool {
		return len(p.members) == 1 && p.upstreams.OpenConns() == 1
	})
}

// Connections to caches are opened before the first request, so that no request waits for the handshake, and idle
// connections are kept open by PING.
func TestUpstreamConnectionsArePrewarmed(t *testing.T) {
	pings, conns := make(chan net.Conn, 10), make(chan net.Conn, 10)
	node := serveConns(t, func(conn net.Conn) {
		conns <- conn
		in := newMemberInput(conn)
		for {
			words, err := readCommand(in)
			switch {
			case err != nil:
				return
			case words[0] == "PING":
				pings <- conn
				io.WriteString(conn, "+PONG\r\n")
			default:
				io.WriteString(conn, hitReply("value"))
			}
		}
	})
	cfg := testConfig()
	cfg.Settings.CanProbe = true
	p := startProxy(t, cfg, listEntry("s-1", node, "large"))
	first := <-conns
	if got := <-pings; got != first {
		t.Fatal("the PING came on another connection")
	}
	free := func() *pool.Conn[*upstream.Exchange] {
		for _, m := range p.members {
			if len(m.Conns) == 1 && m.Conns[0].Reusable(p.now) {
				return m.Conns[0]
			}
		}
		return nil
	}
	p.eventually("the connection is free", func() bool {
		conn := free()
		if conn != nil {
			conn.Backdate(cfg.ConnIdle * pool.KeepalivePercent / 100) // as if it had been idle for that long
		}
		return conn != nil
	})
	if got := <-pings; got != first {
		t.Error("the idle connection was not kept in use")
	}
	p.eventually("the connection is free again", func() bool { return free() != nil })
	c := p.dial()
	c.send(getCommand("a1", "id1"))
	if got := c.answer(); got != "value" {
		t.Errorf("answered %q", got)
	}
	select {
	case <-conns:
		t.Error("the request opened a connection of its own")
	default:
	}
}

// When all connections of a cache are busy and its queue is full, the attempt ends at once, so that the Balancer can
// select another member. Otherwise a queue would form that the Balancer cannot see.
func TestUpstreamQueueIsBounded(t *testing.T) {
	commands, release := make(chan memberCommand, 100), make(chan struct{})
	node := startCache(t, func(a memberCommand) string { commands <- a; <-release; return hitReply("value") })
	p := startProxy(t, testConfig(), listEntry("s-1", node, "large"))
	p.eventually("the member is known", func() bool { return len(p.members) == 1 })
	p.beginEvent()
	var m *member
	for _, m = range p.members { // there is only one
	}
	var last *attempt
	var requests []*Request // one for each attempt: nothing is sent for a finished request
	for range pool.MaxCacheConns + pool.MaxWaiting + 1 {
		r := &Request{proxy: p.Proxy, Responder: discardingResponder{}, Command: Command{Message: upstream.Message{Key: []byte("k"), ReqID: []byte("i"), Attrs: []byte("c=tile-read")}}}
		last = &attempt{request: r, memberID: m.id}
		last.ExpiresAt = p.now + testTimeout
		r.attempts, r.outstanding = append(r.attempts, last), r.outstanding+1
		p.startExchange(m, last)
		requests = append(requests, r)
	}
	if !last.Ended || len(p.outcomes) != 1 {
		t.Error("an attempt too many waits")
	} else if s := p.outcomes[0].Status; s != logic.StatusNoConn {
		t.Errorf("the pool's own shortage is told as status %d of the cache", s)
	}
	p.endEvent()
	for range pool.MaxCacheConns {
		<-commands
	}
	close(release)
	for range pool.MaxWaiting {
		<-commands
	}
	p.eventually("those that waited have their answers", func() bool {
		return !slices.ContainsFunc(requests, func(r *Request) bool { return r.outstanding > 0 })
	})
}

// An attempt whose client has disconnected completes on its connection, which is then reused.
func TestUpstreamConnectionSurvivesClientDisconnect(t *testing.T) {
	conns, commands, release := make(chan struct{}, 10), make(chan memberCommand, 10), make(chan struct{})
	node := serveConns(t, func(conn net.Conn) {
		conns <- struct{}{}
		in := newMemberInput(conn)
		for {
			words, err := readCommand(in)
			if err != nil {
				return
			}
			commands <- memberCommand{key: words[1]}
			<-release
			io.WriteString(conn, hitReply("value of "+words[1]))
		}
	})
	p := startProxy(t, testConfig(), listEntry("s-1", node, "large"))
	leaving := p.dial()
	leaving.send(getCommand("a1", "id1"))
	<-commands
	leaving.conn.Close()
	p.eventually("the client is gone", func() bool { return len(p.redis.clients) == 0 })
	close(release)
	p.eventually("its request is over, and its connection free", func() bool {
		for _, m := range p.members {
			return len(p.requests) == 0 && len(m.Conns) == 1 && m.Conns[0].Reusable(p.now)
		}
		return false
	})
	c := p.dial()
	c.send(getCommand("a2", "id2"))
	if got := c.answer(); got != "value of a2" {
		t.Errorf("answered %q", got)
	}
	if n := len(conns); n != 1 {
		t.Errorf("%d connections were opened", n)
	}
}
