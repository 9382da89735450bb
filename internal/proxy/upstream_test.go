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
	"linenloom/internal/resp"
	"linenloom/internal/upstream"
	"linenloom/logic"
)

// Bytes behind an answer must never be taken for the answer to the next request.
func TestBytesNobodyAskedForAreNoAnswer(t *testing.T) {
	for name, behind := range map[string]string{
		"a second copy":    hit("value of another"),
		"noise":            "\x8fb2\xf4\r\n",
		"half a line":      "*3\r\n$5\r\nsto",
		"an error":         "-ERR failed\r\n",
		"an HTTP response": page("value of another"),
	} {
		t.Run(name, func(t *testing.T) {
			node := cache(t, func(a asked) string { return hit("value of "+a.key) + behind })
			o := origin(t, func(r *http.Request) string { return page("receipt of "+r.URL.Path[1:]) + behind })
			p := start(t, testConfig(), entry("s-1", node, "large"), entry("o-1", o, "origin"))
			c := p.dial()
			for i := range 10 {
				key := fmt.Sprintf("a%d", i)
				c.send(get(key, "r"+key) + put(key, "w"+key, "order"))
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

// An answer that can't be read has failed; the read goes elsewhere, and its client gets nothing of it.
func TestSpoiltAnswerIsAFailedAttempt(t *testing.T) {
	for name, spoilt := range map[string]string{
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
			var turn atomic.Int32
			answer := func(a asked) string { // the first of the two that is asked spoils
				if turn.Add(1) == 1 {
					return spoilt
				}
				return hit("value of " + a.key)
			}
			p := start(t, testConfig(), entry("s-1", cache(t, answer), "large"),
				entry("s-2", cache(t, answer), "large"))
			c := p.dial()
			c.send(get("a1", "id1"))
			if got := c.answer(); got != "value of a1" {
				t.Errorf("answered %q", got)
			}
		})
	}
}

// What comes with a good answer and is of no use must not spoil it.
func TestGoodAnswerSurvivesItsTrimmings(t *testing.T) {
	value := "*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n"
	for name, answer := range map[string]string{
		"report is noise":       value + "\x8fb2\xf4\r\n",
		"report too long":       value + "$70000\r\n" + strings.Repeat("x", 70000) + "\r\n",
		"report of wrong kind":  value + "*2\r\n:1\r\n:2\r\n",
		"report stops half-way": value + "$40\r\ninfl",
		"report unreadable":     value + "$8\r\n\x00\x01=,,=\xff!\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			node := cache(t, func(asked) string { return answer })
			p := start(t, testConfig(), entry("s-1", node, "large"))
			c := p.dial()
			for i := range 3 {
				c.send(get("a1", fmt.Sprintf("id%d", i)))
				if got := c.answer(); got != "value" {
					t.Fatalf("answered %q", got)
				}
			}
		})
	}
	for name, ahead := range map[string]string{
		"100":         "HTTP/1.1 100 Continue\r\n\r\n",
		"103 and 102": "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			o := origin(t, func(r *http.Request) string { return ahead + page("receipt") })
			p := start(t, testConfig(), entry("o-1", o, "origin"))
			c := p.dial()
			for i := range 3 {
				c.send(put("a1", fmt.Sprintf("id%d", i), "order"))
				if got := c.answer(); got != "receipt" {
					t.Fatalf("answered %q", got)
				}
			}
		})
	}
}

// A cache that finds fault with the request is not at fault itself: others must still be sent to it.
func TestRejectedRequestIsNotTheCachesFault(t *testing.T) {
	node := cache(t, func(a asked) string {
		if strings.HasPrefix(a.key, "bad") {
			return "-ERR bad request\r\n"
		}
		return hit("value")
	})
	p := start(t, testConfig(), entry("s-1", node, "large"))
	c := p.dial()
	for i := range 20 {
		c.send(get("bad", fmt.Sprintf("bad%d", i)))
		if got := c.answer(); got != "-ERR failed" {
			t.Fatalf("a rejected request was answered %q", got)
		}
		c.send(get("good", fmt.Sprintf("good%d", i)))
		if got := c.answer(); got != "value" {
			t.Fatalf("a good request was answered %q", got)
		}
	}
}

// A connection that the member has closed while it stood idle costs the next request nothing.
func TestClosedConnectionIsNotUsedAgain(t *testing.T) {
	closed := make(chan struct{}, 10)
	node := listen(t, func(conn net.Conn) {
		if _, err := readCommand(resp.NewReader(conn, 4096)); err == nil {
			io.WriteString(conn, hit("value"))
		}
		conn.Close()
		closed <- struct{}{}
	})
	p := start(t, testConfig(), entry("s-1", node, "large"))
	c := p.dial()
	for i := range 5 {
		c.send(get("a1", fmt.Sprintf("id%d", i)))
		if got := c.answer(); got != "value" {
			t.Fatalf("read %d was answered %q", i, got)
		}
		<-closed
	}
	p.eventually("no connection is left", func() bool { return p.ups.OpenConns() == 0 })
}

// Members that come and go leave nothing behind, be it under new ids at an old address.
func TestMembersGoneAreForgotten(t *testing.T) {
	node := cache(t, func(a asked) string { return hit("value") })
	r := newRegistry(t, discoveryList(1, true, entry("s-0", node, "large")))
	p := startAt(t, testConfig(), r)
	<-r.watched
	c := p.dial()
	for i := range 20 {
		gone := entry(fmt.Sprintf("s-%d", i), node, "large")
		gone.Phase = "terminated"
		id := fmt.Sprintf("s-%d", i+1)
		r.tell(discoveryList(int64(i+2), false, gone, entry(id, node, "large")))
		p.eventually("the new member is known", func() bool { return p.revision == int64(i+2) })
		c.send(get("a1", "id-"+id))
		if got := c.answer(); got != "value" {
			t.Fatalf("from %s: %q", id, got)
		}
	}
	p.eventually("one member and its connection are left", func() bool {
		return len(p.members) == 1 && p.ups.OpenConns() == 1
	})
}

// The first request on a connection to a cache must not be the one that pays for its handshake, and a
// connection that stands idle is kept in use.
func TestCachesAreKeptWarm(t *testing.T) {
	pings, conns := make(chan net.Conn, 10), make(chan net.Conn, 10)
	node := listen(t, func(conn net.Conn) {
		conns <- conn
		in := resp.NewReader(conn, 4096)
		for {
			words, err := readCommand(in)
			switch {
			case err != nil:
				return
			case words[0] == "PING":
				pings <- conn
				io.WriteString(conn, "+PONG\r\n")
			default:
				io.WriteString(conn, hit("value"))
			}
		}
	})
	cfg := testConfig()
	cfg.Settings.CanProbe = true
	p := start(t, cfg, entry("s-1", node, "large"))
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
		u := free()
		if u != nil {
			u.Backdate(cfg.ConnIdle * pool.KeepalivePercent / 100) // as if it stood idle so long
		}
		return u != nil
	})
	if got := <-pings; got != first {
		t.Error("the idle connection was not kept in use")
	}
	p.eventually("the connection is free again", func() bool { return free() != nil })
	c := p.dial()
	c.send(get("a1", "id1"))
	if got := c.answer(); got != "value" {
		t.Errorf("answered %q", got)
	}
	select {
	case <-conns:
		t.Error("the request opened a connection of its own")
	default:
	}
}

// When a cache's connections are all busy, the Balancer hears of it at once and sends elsewhere, rather than
// have a line form that it can't see.
func TestFullCacheIsNotQueuedFor(t *testing.T) {
	asks, release := make(chan asked, 100), make(chan struct{})
	node := cache(t, func(a asked) string { asks <- a; <-release; return hit("value") })
	p := start(t, testConfig(), entry("s-1", node, "large"))
	p.eventually("the member is known", func() bool { return len(p.members) == 1 })
	p.enter()
	var m *member
	for _, m = range p.members {
	}
	var over *attempt
	var all []*Request // one each: nothing is sent for a request that is over
	for range pool.MaxCacheConns + pool.MaxWaiting + 1 {
		r := &Request{proxy: p.Proxy, Responder: nobody{}, Command: Command{Message: upstream.Message{Key: []byte("k"), ReqID: []byte("i"), Attrs: []byte("c=tile-read")}}}
		over = &attempt{req: r, to: m.id}
		over.ExpiresAt = p.now + patience
		r.attempts, r.outstanding = append(r.attempts, over), r.outstanding+1
		p.exchange(m, over)
		all = append(all, r)
	}
	if !over.Ended || len(p.outcomes) != 1 {
		t.Error("an attempt too many waits")
	} else if s := p.outcomes[0].Status; s != logic.StatusNoConn {
		t.Errorf("the pool's own shortage is told as status %d of the cache", s)
	}
	p.leave()
	for range pool.MaxCacheConns {
		<-asks
	}
	close(release)
	for range pool.MaxWaiting {
		<-asks
	}
	p.eventually("those that waited have their answers", func() bool {
		return !slices.ContainsFunc(all, func(r *Request) bool { return r.outstanding > 0 })
	})
}

// An attempt whose client has left runs out on its connection, which then serves others.
func TestClientThatLeavesCostsNoConnection(t *testing.T) {
	conns, asks, release := make(chan struct{}, 10), make(chan asked, 10), make(chan struct{})
	node := listen(t, func(conn net.Conn) {
		conns <- struct{}{}
		in := resp.NewReader(conn, 4096)
		for {
			words, err := readCommand(in)
			if err != nil {
				return
			}
			asks <- asked{key: words[1]}
			<-release
			io.WriteString(conn, hit("value of "+words[1]))
		}
	})
	p := start(t, testConfig(), entry("s-1", node, "large"))
	gone := p.dial()
	gone.send(get("a1", "id1"))
	<-asks
	gone.conn.Close()
	p.eventually("the client is gone", func() bool { return len(p.redis.clients) == 0 })
	close(release)
	p.eventually("its request is over, and its connection free", func() bool {
		for _, m := range p.members {
			return len(p.requests) == 0 && len(m.Conns) == 1 && m.Conns[0].Reusable(p.now)
		}
		return false
	})
	c := p.dial()
	c.send(get("a2", "id2"))
	if got := c.answer(); got != "value of a2" {
		t.Errorf("answered %q", got)
	}
	if n := len(conns); n != 1 {
		t.Errorf("%d connections were opened", n)
	}
}
