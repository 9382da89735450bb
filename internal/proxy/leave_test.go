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
	"linenloom/internal/resp"
	"linenloom/internal/standin"
	"linenloom/internal/upstream"
)

// roll is the ids that members have been asked under, in their order.
type roll struct {
	mu  sync.Mutex
	ids []string
	any chan struct{} // a token for each
}

func newRoll() *roll { return &roll{any: make(chan struct{}, 10000)} }

func (l *roll) note(id string) {
	l.mu.Lock()
	l.ids = append(l.ids, id)
	l.mu.Unlock()
	l.any <- struct{}{}
}

// asked waits until so many have come, and tells them.
func (l *roll) asked(t *testing.T, n int) []string {
	t.Helper()
	for range n {
		select {
		case <-l.any:
		case <-time.After(patience):
			t.Fatalf("asked under %v only", l.all())
		}
	}
	return l.all()
}

func (l *roll) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.ids...)
}

func (l *roll) has(id string) bool {
	for _, have := range l.all() {
		if have == id || strings.HasPrefix(have, id+"/") {
			return true
		}
	}
	return false
}

// shut is a member at a door: what it is asked once it is open is noted, and answered by kind.
func shut(t *testing.T, l *roll, kind string) (addr string, open func()) {
	t.Helper()
	d, err := standin.NewFullListener()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.Close() })
	return d.Addr().String(), func() {
		d.Serve(func(conn net.Conn) {
			if kind == "origin" {
				noteOrigin(bufio.NewReader(conn), conn, l)
			} else {
				noteCache(conn, l, nil)
			}
		})
	}
}

// noteOrigin is an origin that notes what it is asked and answers at once.
func noteOrigin(in *bufio.Reader, out io.Writer, l *roll) {
	standin.ServeOrigin(in, out, func(key, id string) string {
		l.note(id)
		return "value of " + key
	})
}

// noteCache is a cache that notes what it is asked, waits for hold, if there is one, and answers.
func noteCache(conn net.Conn, l *roll, hold <-chan struct{}) {
	in := resp.NewReader(conn, 4096)
	for {
		words, err := readCommand(in)
		if err != nil {
			return
		}
		l.note(words[2])
		if hold != nil {
			<-hold
		}
		io.WriteString(conn, hit("value of "+words[1]))
	}
}

// getLong and putLong ask for what may take an hour, so that no time of its own ends it.
func getLong(key, id string) string { return words("OBJ.GET", key, id, "c=tile-read,d=3600000") }

func putLong(key, id, value string) string {
	return words("OBJ.SET", key, id, "c=pass-order,d=3600000", value)
}

// leaving is the configuration of a proxy at which nothing ends by itself: neither a request, nor a dial.
func leaving(cancel bool) Config {
	cfg := testConfig()
	cfg.Settings.CanCancel, cfg.Settings.ConnectTimeout = cancel, patience
	for i := range cfg.Settings.Classes {
		c := &cfg.Settings.Classes[i]
		c.SoftDeadline, c.Deadline = time.Hour, time.Hour
	}
	return cfg
}

// at is the member at an address.
func (p *testProxy) at(addr string) *upstream.Member {
	for _, m := range p.members {
		if m.Addr == addr {
			return &m.Member
		}
	}
	return &upstream.Member{}
}

// gone waits until nothing is in hand and no client is left.
func (p *testProxy) gone() {
	p.t.Helper()
	p.eventually("nothing is in hand", func() bool {
		return len(p.requests) == 0 && len(p.redis.clients) == 0 && p.held == 0 && p.long.used == 0
	})
}

// onlyNext asks for one read more, and wants the members to have had nothing but that: what waited would have come in front of it.
func (p *testProxy) onlyNext(l *roll) {
	p.t.Helper()
	c := p.dial()
	c.send(get("a9", "next"))
	if got := c.answer(); got != "value of a9" {
		p.t.Errorf("the next read was answered %q", got)
	}
	for _, id := range l.asked(p.t, 1) {
		if id != "next" {
			p.t.Errorf("a member was asked under %q", id)
		}
	}
}

// A request whose client has left while a connection for it was coming up is not sent on, to a cache or to the origin, whatever may be
// done to an attempt that is out, and whatever its class's effect.
func TestClientLeavesBeforeTheConnectionIsUp(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		for name, c := range map[string]struct {
			ask  string
			kind string // of the member whose connection does not come up
			many bool
		}{
			"a read, at a cache":          {getLong("a1", "left"), "large", false},
			"a read that missed":          {getLong("a1", "left"), "origin", false},
			"an order":                    {putLong("a1", "left", "order"), "origin", false},
			"a long order":                {putLong("a1", "left", strings.Repeat("x", 100<<10)), "origin", false},
			"a read that must run once":   {words("OBJ.GET", "a1", "left", "c=pass-order,d=3600000"), "large", false},
			"many keys, at a cache":       {words("OBJ.MGET", "left", "c=tile-read,d=3600000", "a1", "a2"), "large", true},
			"many keys, one that missed":  {words("OBJ.MGET", "left", "c=tile-read,d=3600000", "a1"), "origin", true},
			"a read that others may join": {getLong("a1", "left"), "origin", false},
		} {
			t.Run(fmt.Sprintf("%s, cancel %v", name, cancel), func(t *testing.T) {
				t.Parallel()
				l := newRoll()
				door, open := shut(t, l, c.kind)
				members := []discovery.Member{entry("s-1", door, c.kind)}
				if c.kind == "origin" {
					members = append(members, entry("s-2", cache(t, func(asked) string { return miss }), "large"))
				}
				cfg := leaving(cancel)
				if c.many {
					cfg.ManyKeys = &manyUsual
				}
				if strings.Contains(name, "join") {
					cfg.Joining = &joinAll
				}
				p := start(t, cfg, members...)
				client := p.dial()
				client.send(c.ask)
				p.eventually("it waits for the connection", func() bool { return len(p.at(door).Waiting) > 0 })
				client.conn.Close()
				p.gone()
				open()
				p.eventually("the connection is up", func() bool { return len(p.at(door).Conns) > 0 })
				next := p.dial() // what comes later is behind it in every line
				if next.send(get("a9", "next")); c.kind == "origin" {
					next.send(put("a8", "next2", "order"))
				}
				next.answer()
				l.asked(t, 1)
				if l.has("left") {
					t.Errorf("the member was asked under %v", l.all())
				}
			})
		}
	}
}

// A client that leaves while the last byte of its order is held back has had no order.
func TestClientLeavesBeforeTheLastByte(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		l, begun := newRoll(), make(chan struct{}, 10)
		o := listen(t, func(conn net.Conn) {
			in := bufio.NewReader(conn)
			if _, err := in.Peek(1); err == nil {
				begun <- struct{}{}
			}
			noteOrigin(in, conn, l)
		})
		p := start(t, leaving(cancel), entry("o-1", o, "origin"))
		p.Do(func() { p.ups.SetLastByteDelay(time.Hour) })
		client := p.dial()
		client.send(putLong("a1", "left", "order"))
		<-begun
		client.conn.Close()
		p.gone()
		p.Do(func() { p.ups.SetLastByteDelay(time.Millisecond) })
		next := p.dial()
		next.send(put("a2", "next", "order"))
		if got := next.answer(); got != "value of a2" {
			t.Errorf("the next order was answered %q", got)
		}
		if got := l.asked(t, 1); l.has("left") {
			t.Errorf("the origin carried out %v", got)
		}
	}
}

// A write that a member takes slowly is not finished for a client that has left: it never ran.
func TestClientLeavesWhileItsValueIsWritten(t *testing.T) {
	release, ended := make(chan struct{}), make(chan error, 1)
	var first atomic.Bool
	o := listen(t, func(conn net.Conn) {
		if !first.CompareAndSwap(false, true) {
			noteOrigin(bufio.NewReader(conn), conn, newRoll())
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
	p := start(t, leaving(false), entry("o-1", o, "origin"))
	client := p.dial()
	client.send(putLong("a1", "left", strings.Repeat("x", 4<<20)))
	p.eventually("a part of it is out", func() bool {
		for _, m := range p.members {
			if len(m.Conns) > 0 && m.Conns[0].Busy() && !m.Conns[0].Link.Writable() {
				return true
			}
		}
		return false
	})
	client.conn.Close()
	p.gone()
	close(release)
	if err := <-ended; err == nil {
		t.Error("the member got all of a write that nobody waits for")
	}
}

// Between two attempts: the member of the first has refused it unseen, and the connection to the next is coming up.
func TestClientLeavesBetweenTwoAttempts(t *testing.T) {
	l, turned := newRoll(), make(chan struct{}, 10)
	door, open := shut(t, l, "large")
	full := cache(t, func(asked) string {
		turned <- struct{}{}
		return "-BUSY\r\n"
	})
	p := start(t, leaving(false), entry("s-1", full, "large"), entry("s-2", door, "large"))
	client := p.dial()
	for i := 0; ; i++ { // until the first attempt of one goes to the one that is full
		client.send(getLong(fmt.Sprintf("b%d", i), fmt.Sprintf("left%d", i)))
		p.eventually("it waits for the connection", func() bool { return len(p.at(door).Waiting) == i+1 })
		if len(turned) > 0 {
			break
		}
	}
	client.conn.Close()
	p.gone()
	open()
	p.onlyNext(l)
}

// A place at a full member that is let go of by those who leave is there for the next, and what they asked never comes.
func TestClientLeavesTheLineOfAFullMember(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		l, hold := newRoll(), make(chan struct{})
		node := listen(t, func(conn net.Conn) { noteCache(conn, l, hold) })
		cfg := leaving(cancel)
		cfg.Multiplex, cfg.Settings.Instances = 1, pool.CacheConnCapacity
		p := start(t, cfg, entry("s-1", node, "large"))
		front := p.dial()
		front.send(get("a1", "front"))
		l.asked(t, 1)
		client := p.dial()
		client.send(getLong("a2", "left"))
		p.eventually("it waits in line", func() bool { return p.inLine() == 1 })
		client.conn.Close()
		p.eventually("its place is free", func() bool { return p.inLine() == 0 && len(p.requests) == 1 })
		next := p.dial()
		next.send(get("a3", "next"))
		p.eventually("the next waits in line", func() bool { return p.inLine() == 1 })
		close(hold)
		for _, c := range []*testClient{front, next} {
			if got := c.answer(); !strings.HasPrefix(got, "value of") {
				t.Errorf("answered %q", got)
			}
		}
		if got := fmt.Sprint(l.all()); got != "[front next]" {
			t.Errorf("cancel %v: the member was asked under %v", cancel, got)
		}
	}
}
