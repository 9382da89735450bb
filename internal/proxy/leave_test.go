package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"linenloom/internal/discovery"
	"linenloom/internal/pool"
	"linenloom/internal/standin"
	"linenloom/internal/upstream"
)

// requestLog records the ids of the requests that members have received, in order.
type requestLog struct {
	mu    sync.Mutex
	ids   []string
	added chan struct{} // receives a value for each id
}

func newRequestLog() *requestLog { return &requestLog{added: make(chan struct{}, 10000)} }

func (l *requestLog) add(id string) {
	l.mu.Lock()
	l.ids = append(l.ids, id)
	l.mu.Unlock()
	l.added <- struct{}{}
}

// awaitRequests waits for n requests and returns all ids so far.
func (l *requestLog) awaitRequests(t *testing.T, n int) []string {
	t.Helper()
	for range n {
		select {
		case <-l.added:
		case <-time.After(testTimeout):
			t.Fatalf("asked under %v only", l.all())
		}
	}
	return l.all()
}

func (l *requestLog) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.ids...)
}

func (l *requestLog) has(id string) bool {
	for _, have := range l.all() {
		if have == id || strings.HasPrefix(have, id+"/") {
			return true
		}
	}
	return false
}

// blockedMember is a member that does not accept connections until open is called; it then logs its
// requests and answers as its kind does.
func blockedMember(t *testing.T, requests *requestLog, kind string) (addr string, open func()) {
	t.Helper()
	d, err := standin.NewFullListener()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.Close() })
	return d.Addr().String(), func() {
		d.Serve(func(conn net.Conn) {
			if kind == "origin" {
				serveLoggingOrigin(bufio.NewReader(conn), conn, requests)
			} else {
				serveLoggingCache(conn, requests, nil)
			}
		})
	}
}

// serveLoggingOrigin logs requests and answers at once.
func serveLoggingOrigin(in *bufio.Reader, out io.Writer, requests *requestLog) {
	standin.ServeOrigin(in, out, func(key, id string) string {
		requests.add(id)
		return "value of " + key
	})
}

// serveLoggingCache logs requests, waits for hold, unless it is nil, and answers.
func serveLoggingCache(conn net.Conn, requests *requestLog, hold <-chan struct{}) {
	in := newMemberInput(conn)
	for {
		words, err := readCommand(in)
		if err != nil {
			return
		}
		requests.add(words[2])
		if hold != nil {
			<-hold
		}
		io.WriteString(conn, hitReply("value of "+words[1]))
	}
}

// getLongDeadline and putLongDeadline return commands with a deadline of an hour, so that no timeout ends
// them.
func getLongDeadline(key, id string) string {
	return respCommand("OBJ.GET", key, id, "c=tile-read,d=3600000")
}

func putLongDeadline(key, id, value string) string {
	return respCommand("OBJ.SET", key, id, "c=pass-order,d=3600000", value)
}

// noTimeoutConfig is a configuration in which nothing times out: neither a request, nor a dial.
func noTimeoutConfig(cancel bool) Config {
	cfg := testConfig()
	cfg.Settings.CanCancel, cfg.Settings.ConnectTimeout = cancel, testTimeout
	for i := range cfg.Settings.Classes {
		c := &cfg.Settings.Classes[i]
		c.SoftDeadline, c.Deadline = time.Hour, time.Hour
	}
	return cfg
}

// memberAt returns the member at an address.
func (p *testProxy) memberAt(addr string) *upstream.Member {
	for _, m := range p.members {
		if m.Addr == addr {
			return &m.Member
		}
	}
	return &upstream.Member{}
}

// awaitNoClients waits until no request is pending and no client is connected.
func (p *testProxy) awaitNoClients() {
	p.t.Helper()
	p.eventually("nothing is in hand", func() bool {
		return len(p.requests) == 0 && len(p.redis.clients) == 0 && p.bufferedBytes == 0 && p.longValues.usedBytes == 0
	})
}

// expectOnlyNext sends one further read and requires that the members received nothing else: a request
// still in the queue would have been sent before it.
func (p *testProxy) expectOnlyNext(requests *requestLog) {
	p.t.Helper()
	c := p.dial()
	c.send(getCommand("a9", "next"))
	if got := c.answer(); got != "value of a9" {
		p.t.Errorf("the next read was answered %q", got)
	}
	for _, id := range requests.awaitRequests(p.t, 1) {
		if id != "next" {
			p.t.Errorf("a member was asked under %q", id)
		}
	}
}

// A request whose client has disconnected while its connection to a member was being established is not
// sent, to a cache or to the origin, whether or not attempts in flight may be cancelled, and whatever its
// class's effect.
func TestDisconnectBeforeConnectionIsUp(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		for name, c := range map[string]struct {
			ask  string
			kind string // of the member whose connection is not established
			many bool
		}{
			"a read, at a cache":          {getLongDeadline("a1", "left"), "large", false},
			"a read that missed":          {getLongDeadline("a1", "left"), "origin", false},
			"an order":                    {putLongDeadline("a1", "left", "order"), "origin", false},
			"a long order":                {putLongDeadline("a1", "left", strings.Repeat("x", 100<<10)), "origin", false},
			"a read that must run once":   {respCommand("OBJ.GET", "a1", "left", "c=pass-order,d=3600000"), "large", false},
			"many keys, at a cache":       {respCommand("OBJ.MGET", "left", "c=tile-read,d=3600000", "a1", "a2"), "large", true},
			"many keys, one that missed":  {respCommand("OBJ.MGET", "left", "c=tile-read,d=3600000", "a1"), "origin", true},
			"a read that others may join": {getLongDeadline("a1", "left"), "origin", false},
		} {
			t.Run(fmt.Sprintf("%s, cancel %v", name, cancel), func(t *testing.T) {
				t.Parallel()
				requests := newRequestLog()
				blockedAddr, open := blockedMember(t, requests, c.kind)
				members := []discovery.Member{listEntry("s-1", blockedAddr, c.kind)}
				if c.kind == "origin" {
					members = append(members, listEntry("s-2", startCache(t, func(memberCommand) string { return missReply }), "large"))
				}
				cfg := noTimeoutConfig(cancel)
				if c.many {
					cfg.ManyKeys = &manyKeysLimits
				}
				if strings.Contains(name, "join") {
					cfg.Joining = &joinLimits
				}
				p := startProxy(t, cfg, members...)
				client := p.dial()
				client.send(c.ask)
				p.eventually("it waits for the connection", func() bool { return len(p.memberAt(blockedAddr).Waiting) > 0 })
				client.conn.Close()
				p.awaitNoClients()
				open()
				p.eventually("the connection is up", func() bool { return len(p.memberAt(blockedAddr).Conns) > 0 })
				next := p.dial() // a later request is behind it in every queue
				if next.send(getCommand("a9", "next")); c.kind == "origin" {
					next.send(setCommand("a8", "next2", "order"))
				}
				next.answer()
				requests.awaitRequests(t, 1)
				if requests.has("left") {
					t.Errorf("the member was asked under %v", requests.all())
				}
			})
		}
	}
}

// A client that disconnects while the last byte of its order is held back has not placed the order.
func TestDisconnectBeforeLastByte(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		requests, begun := newRequestLog(), make(chan struct{}, 10)
		o := serveConns(t, func(conn net.Conn) {
			in := bufio.NewReader(conn)
			if _, err := in.Peek(1); err == nil {
				begun <- struct{}{}
			}
			serveLoggingOrigin(in, conn, requests)
		})
		p := startProxy(t, noTimeoutConfig(cancel), listEntry("o-1", o, "origin"))
		p.Do(func() { p.upstreams.SetLastByteDelay(time.Hour) })
		client := p.dial()
		client.send(putLongDeadline("a1", "left", "order"))
		<-begun
		client.conn.Close()
		p.awaitNoClients()
		p.Do(func() { p.upstreams.SetLastByteDelay(time.Millisecond) })
		next := p.dial()
		next.send(setCommand("a2", "next", "order"))
		if got := next.answer(); got != "value of a2" {
			t.Errorf("the next order was answered %q", got)
		}
		if got := requests.awaitRequests(t, 1); requests.has("left") {
			t.Errorf("the origin carried out %v", got)
		}
	}
}

// A write that a member reads slowly is not completed for a client that has disconnected: it never ran.
func TestDisconnectWhileValueIsWritten(t *testing.T) {
	release, ended := make(chan struct{}), make(chan error, 1)
	var first atomic.Bool
	o := serveConns(t, func(conn net.Conn) {
		if !first.CompareAndSwap(false, true) {
			serveLoggingOrigin(bufio.NewReader(conn), conn, newRequestLog())
			return
		}
		conn.(*net.TCPConn).SetReadBuffer(64 << 10)
		<-release
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
		ended <- err
	})
	p := startProxy(t, noTimeoutConfig(false), listEntry("o-1", o, "origin"))
	client := p.dial()
	client.send(putLongDeadline("a1", "left", strings.Repeat("x", 4<<20)))
	p.eventually("a part of it is out", func() bool {
		for _, m := range p.members {
			if len(m.Conns) > 0 && m.Conns[0].Busy() && !m.Conns[0].Link.Writable() {
				return true
			}
		}
		return false
	})
	client.conn.Close()
	p.awaitNoClients()
	close(release)
	if err := <-ended; err == nil {
		t.Error("the member got all of a write that nobody waits for")
	}
}

// Between two attempts: the member of the first has refused the request unprocessed, and the connection to
// the next is being established.
func TestDisconnectBetweenAttempts(t *testing.T) {
	requests, refusals := newRequestLog(), make(chan struct{}, 10)
	blockedAddr, open := blockedMember(t, requests, "large")
	full := startCache(t, func(memberCommand) string {
		refusals <- struct{}{}
		return "-BUSY\r\n"
	})
	p := startProxy(t, noTimeoutConfig(false), listEntry("s-1", full, "large"), listEntry("s-2", blockedAddr, "large"))
	client := p.dial()
	for i := 0; ; i++ { // until the first attempt of one goes to the member that is full
		client.send(getLongDeadline(fmt.Sprintf("b%d", i), fmt.Sprintf("left%d", i)))
		p.eventually("it waits for the connection", func() bool { return len(p.memberAt(blockedAddr).Waiting) == i+1 })
		if len(refusals) > 0 {
			break
		}
	}
	client.conn.Close()
	p.awaitNoClients()
	open()
	p.expectOnlyNext(requests)
}

// A queue entry at a full member is freed when its client disconnects, for the next request, and the
// cancelled request is never sent.
func TestDisconnectInQueueOfFullMember(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		requests, hold := newRequestLog(), make(chan struct{})
		node := serveConns(t, func(conn net.Conn) { serveLoggingCache(conn, requests, hold) })
		cfg := noTimeoutConfig(cancel)
		cfg.Multiplex, cfg.Settings.Instances = 1, pool.CacheConnCapacity
		p := startProxy(t, cfg, listEntry("s-1", node, "large"))
		front := p.dial()
		front.send(getCommand("a1", "front"))
		requests.awaitRequests(t, 1)
		client := p.dial()
		client.send(getLongDeadline("a2", "left"))
		p.eventually("it waits in line", func() bool { return p.queuedAttempts() == 1 })
		client.conn.Close()
		p.eventually("its place is free", func() bool { return p.queuedAttempts() == 0 && len(p.requests) == 1 })
		next := p.dial()
		next.send(getCommand("a3", "next"))
		p.eventually("the next waits in line", func() bool { return p.queuedAttempts() == 1 })
		close(hold)
		for _, c := range []*testClient{front, next} {
			if got := c.answer(); !strings.HasPrefix(got, "value of") {
				t.Errorf("answered %q", got)
			}
		}
		if got := fmt.Sprint(requests.all()); got != "[front next]" {
			t.Errorf("cancel %v: the member was asked under %v", cancel, got)
		}
	}
}
