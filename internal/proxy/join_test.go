package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"linenloom/internal/joining"
	"linenloom/internal/resp"
	"linenloom/logic"
)

var joinAll = joining.Limits{Followers: 5000, PerTenant: 5000, Groups: 100}

// gate is a cache whose answers wait until they are let out.
type gate struct {
	asks chan asked
	out  chan string
	n    atomic.Int32
}

func newGate() *gate { return &gate{asks: make(chan asked, 5000), out: make(chan string, 5000)} }

func (g *gate) answer(a asked) string {
	g.n.Add(1)
	g.asks <- a
	return <-g.out
}

func joiningProxy(t *testing.T, l joining.Limits, answer func(asked) string, set ...func(*Config)) *testProxy {
	t.Helper()
	cfg := testConfig()
	for _, f := range set {
		f(&cfg)
	}
	cfg.Joining = &l
	cfg.MostHeld, cfg.Sockets = 5000, 2048
	cfg.Settings.Tenants = []logic.Tenant{{Name: "acme", Share: 0.5}, {Name: "best", Share: 0.5}}
	return start(t, cfg, entry("s-a", cache(t, answer), "large"),
		entry("s-o", origin(t, func(r *http.Request) string { return page("receipt of " + r.URL.Path[1:]) }), "origin"))
}

// followed waits until so many reads follow others.
func (p *testProxy) followed(n int) {
	p.t.Helper()
	p.eventually(fmt.Sprint(n, " reads follow"), func() bool { _, f := p.joins.Len(); return f == n })
}

func ahead(key, id, d string) string { return words("OBJ.GET", key, id, "c=tile-read,d="+d) }

// Identical reads share one attempt, from one connection or many, and each has its one answer; other keys, tenants and classes do not.
func TestIdenticalReadsShareAnAttempt(t *testing.T) {
	g := newGate()
	p := joiningProxy(t, joinAll, g.answer)
	lead := p.dial()
	lead.send(get("a", "lead"))
	<-g.asks
	const clients, each = 20, 10
	var all []*testClient
	for i := range clients {
		c := p.dial()
		all = append(all, c)
		for j := range each {
			c.send(get("a", fmt.Sprintf("f%d-%d", i, j)))
		}
	}
	p.followed(clients * each)
	other := p.dial()
	other.send(words("OBJ.GET", "a", "other", "c=tile-read,d=4000,t=best"))
	<-g.asks
	value := strings.Repeat("v", 40_000)
	g.out <- hit(value)
	g.out <- hit("its own")
	for _, c := range append(all, lead) {
		n := each
		if c == lead {
			n = 1
		}
		for range n {
			if got := c.answer(); got != value {
				t.Fatalf("%d bytes", len(got))
			}
		}
	}
	if got := other.answer(); got != "its own" {
		t.Errorf("another tenant's: %.20q", got)
	}
	if n := g.n.Load(); n != 2 {
		t.Errorf("%d attempts", n)
	}
	p.eventually("nothing is held", func() bool { return p.held == 0 && len(p.requests) == 0 })
}

// What becomes of the lead condemns nobody: its client leaves, its time ends, its attempt fails or is spoilt; those who follow are served.
func TestLeadCondemnsNobody(t *testing.T) {
	for name, end := range map[string]func(g *gate, lead *testClient){
		"its client leaves": func(g *gate, lead *testClient) {
			lead.conn.Close()
			time.Sleep(10 * time.Millisecond) // so that the proxy may see it before the answer; either order has to do
			g.out <- hit("v")
		},
		"its time ends": func(g *gate, lead *testClient) {
			if got := lead.answer(); !strings.HasPrefix(got, "-BUSY") {
				lead.t.Errorf("the lead is told %q", got)
			}
			for range 200 { // some go to attempts that are over
				g.out <- hit("v")
			}
		},
		"its attempts fail": func(g *gate, lead *testClient) {
			for range 4 {
				g.out <- "-ERR failed\r\n"
			}
			for range 200 {
				g.out <- hit("v")
			}
		},
		"its answer is spoilt": func(g *gate, lead *testClient) {
			g.out <- "*3\r\n$6\r\nspo"
			for range 200 {
				g.out <- hit("v")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGate()
			p := joiningProxy(t, joinAll, g.answer)
			lead := p.dial()
			lead.send(ahead("a", "lead", "150"))
			<-g.asks
			const followers = 50
			var all []*testClient
			for i := range followers {
				c := p.dial()
				c.send(ahead("a", fmt.Sprint("f", i), fmt.Sprint(3000+i*20)))
				all = append(all, c)
			}
			p.followed(followers)
			end(g, lead)
			for i, c := range all {
				if got := c.answer(); got != "v" && got != "receipt of a" { // the last try is the origin's
					t.Fatalf("follower %d: %q", i, got)
				}
			}
			if n := g.n.Load(); n > 8 {
				t.Errorf("%d attempts for %d followers", n, followers)
			}
			p.eventually("nothing is left", func() bool { n, f := p.joins.Len(); return n+f+len(p.requests)+p.held == 0 })
		})
	}
}

// Where nothing can be had, each follower is told in its own time, and none waits for ever; the cache is not stormed.
func TestFollowersOfWhatNeverComes(t *testing.T) {
	g := newGate()
	p := joiningProxy(t, joinAll, g.answer)
	var all []*testClient
	for i := range 40 {
		c := p.dial()
		c.send(ahead("a", fmt.Sprint("f", i), fmt.Sprint(100+i*5)))
		all = append(all, c)
		if i == 0 {
			<-g.asks
		}
	}
	for i, c := range all {
		if got := c.answer(); !strings.HasPrefix(got, "-BUSY") {
			t.Errorf("follower %d: %q", i, got)
		}
	}
	if n := g.n.Load(); n > 20 {
		t.Errorf("%d attempts", n)
	}
	close(g.out)
	p.eventually("nothing is left", func() bool { n, f := p.joins.Len(); return n+f+len(p.requests) == 0 })
}

// A read that comes after a write's answer never gets what was asked for before it.
func TestReadAfterAWriteSharesNothingOlder(t *testing.T) {
	g := newGate()
	p := joiningProxy(t, joinAll, g.answer)
	before := p.dial()
	before.send(get("a", "before"))
	<-g.asks
	c := p.dial()
	c.send(put("a", "w", "new"))
	if got := c.answer(); got != "receipt of a" {
		t.Fatal(got)
	}
	c.send(get("a", "after"))
	<-g.asks // an attempt of its own
	g.out <- hit("old")
	g.out <- hit("new")
	if got, first := c.answer(), before.answer(); got == first {
		t.Errorf("both reads got %q", got)
	}
}

// One tenant's storm holds back nobody else's reads: past its part its reads are ordinary ones.
func TestStormOfOneTenant(t *testing.T) {
	g := newGate()
	l := joinAll
	l.PerTenant = 10
	p := joiningProxy(t, l, g.answer)
	storm := p.dial()
	for i := range 13 { // one leads, ten follow, two make their own way
		storm.send(words("OBJ.GET", "a", fmt.Sprint("s", i), "c=tile-read,d=4000,t=acme"))
	}
	for range 3 {
		<-g.asks
	}
	p.followed(10)
	c := p.dial()
	for i := range 5 {
		c.send(words("OBJ.GET", "b", fmt.Sprint("b", i), "c=tile-read,d=4000,t=best"))
	}
	<-g.asks
	p.followed(14)
	for range 4 {
		g.out <- hit("v")
	}
	for range 13 {
		if got := storm.answer(); got != "v" {
			t.Error(got)
		}
	}
	for range 5 {
		if got := c.answer(); got != "v" {
			t.Error(got)
		}
	}
}

// One value is held once, however many take it, until the slowest has it; a client that takes nothing bounds itself.
func TestSharedValueIsHeldOnce(t *testing.T) {
	g := newGate()
	p := joiningProxy(t, joinAll, g.answer)
	lead := p.dial()
	lead.send(get("a", "lead"))
	<-g.asks
	slow, err := net.Dial("tcp", p.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	slow.(*net.TCPConn).SetReadBuffer(4 << 10)
	const wanted = 16
	for i := range wanted {
		fmt.Fprint(slow, get("a", fmt.Sprint("slow", i)))
	}
	p.followed(wanted)
	value := strings.Repeat("v", resp.MaxValue)
	g.out <- hit(value)
	if got := lead.answer(); got != value {
		t.Fatalf("%d bytes", len(got))
	}
	p.eventually("the slow client's answers are on their way", func() bool { return len(p.requests) == 0 })
	p.enter()
	held := p.held
	p.leave()
	if held > 2*resp.MaxValue {
		t.Errorf("%d bytes are held for %d answers of %d", held, wanted, resp.MaxValue)
	}
	slow.Close()
	p.eventually("nothing is held", func() bool { return p.held == 0 })
}

// A stop and a storm: all that was taken is answered.
func TestStopInAStorm(t *testing.T) {
	g := newGate()
	p := joiningProxy(t, joinAll, g.answer)
	var all []*testClient
	for i := range 100 {
		c := p.dial()
		c.send(get("a", fmt.Sprint("r", i)))
		all = append(all, c)
	}
	<-g.asks
	p.followed(99)
	var wg sync.WaitGroup
	p.stop()
	g.out <- hit("v")
	for i, c := range all {
		wg.Go(func() {
			if got := c.answer(); got != "v" {
				t.Errorf("read %d: %q", i, got)
			}
		})
	}
	wg.Wait()
}

// A thousand followers of different times, and a lead whose attempts stall: when the cache answers at last, all whose time is not over are
// served, and those whose time was over have been told so.
func TestThousandFollowersOfAStall(t *testing.T) {
	g := newGate()
	var clock func(*testProxy, time.Duration) // it stands while all come, however long the machine takes for that
	p := joiningProxy(t, joinAll, g.answer, func(cfg *Config) { clock = handClock(cfg) })
	lead := p.dial()
	lead.send(ahead("a", "lead", "300"))
	<-g.asks
	const clients, each = 40, 25
	type one struct {
		c    *testClient
		wait int
	}
	var all []one
	for i := range clients {
		c := p.dial()
		wait := 400 // half of them have too little: nothing answers before that is over
		if i%2 == 0 {
			wait = 7000
		}
		for j := range each {
			c.send(ahead("a", fmt.Sprintf("f%d-%d", i, j), fmt.Sprint(wait+j)))
		}
		all = append(all, one{c, wait})
	}
	p.followed(clients * each)
	clock(p, 500*time.Millisecond)
	for i := 1; i < clients; i += 2 {
		for j := range each {
			if got := all[i].c.answer(); !strings.HasPrefix(got, "-BUSY") {
				t.Fatalf("client %d, read %d, whose time is over: %q", i, j, got)
			}
		}
	}
	for range 100 {
		g.out <- hit("v")
	}
	for i := 0; i < clients; i += 2 {
		for j := range each {
			if got := all[i].c.answer(); got != "v" {
				t.Fatalf("client %d, read %d: %q", i, j, got)
			}
		}
	}
	if n := g.n.Load(); n > 12 {
		t.Errorf("%d attempts for %d reads", n, clients*each)
	}
	p.eventually("nothing is left", func() bool { n, f := p.joins.Len(); return n+f+len(p.requests)+p.held == 0 })
}

// The cache that a storm's lead is at drains, and other classes come into force, in the midst of it: the attempt that is out is answered, all
// that follow it are served, and nothing new goes to that cache.
func TestDrainAndRetuneInAStorm(t *testing.T) {
	g := newGate()
	other := cache(t, func(a asked) string { return hit("other " + a.key) })
	cfg := testConfig()
	cfg.Joining, cfg.MostHeld, cfg.Sockets = &joinAll, 5000, 2048
	first := entry("s-a", cache(t, g.answer), "large")
	r := newRegistry(t, discoveryList(1, true, first, entry("o-1", origin(t, func(*http.Request) string { return page("o") }), "origin")))
	p := startAt(t, cfg, r)
	<-r.watched
	var all []*testClient
	for i := range 60 {
		c := p.dial()
		c.send(get("a", fmt.Sprint("r", i)))
		if all = append(all, c); i == 0 {
			<-g.asks
		}
	}
	p.followed(59)
	first.Phase = "terminating"
	r.tell(discoveryList(2, false, first, entry("s-b", other, "large")))
	p.eventually("the drain is known", func() bool { return p.revision == 2 })
	classes := append([]logic.Class(nil), cfg.Settings.Classes...)
	classes[0].SoftDeadline = 4 * time.Second
	if err := p.UpdateClasses(classes, 3); err != nil {
		t.Fatal(err)
	}
	after := p.dial()
	after.send(get("b", "rb"))
	if got := after.answer(); got != "other b" {
		t.Errorf("another key: %q", got)
	}
	g.out <- hit("v")
	for i, c := range all {
		if got := c.answer(); got != "v" {
			t.Fatalf("read %d: %q", i, got)
		}
	}
	if n := g.n.Load(); n != 1 {
		t.Errorf("the draining cache was asked %d times", n)
	}
}

// A thousand reads follow a lead that is turned away by all that it asks, whose connection is reset in the middle of the value, or that
// stands in the line of an origin at its limit: each has its one answer, the key is asked for a few times, and nothing is left.
func TestThousandFollowers(t *testing.T) {
	for name, c := range map[string]struct {
		lead string // how its answer begins
		most int32  // attempts for the key, over caches and origin
		box  func(n int32, asked func(), conn net.Conn, k string) (answer string)
		of   func(n int32, asked func(), free chan struct{}, k string) string
		fill int // other keys at the origin before
	}{
		"turned away": {lead: "-BUSY", most: 8,
			box: func(n int32, asked func(), _ net.Conn, _ string) string {
				if asked(); n <= 4 {
					return "-BUSY\r\n"
				}
				return hit("v")
			},
			of: func(n int32, _ func(), _ chan struct{}, _ string) string {
				if n <= 4 {
					return "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
				}
				return page("v")
			}},
		"reset half way": {lead: "v", most: 4,
			box: func(n int32, asked func(), conn net.Conn, _ string) string {
				if asked(); n > 1 {
					return hit("v")
				}
				io.WriteString(conn, "*3\r\n$1000\r\nhalf of it")
				conn.(*net.TCPConn).SetLinger(0)
				return ""
			},
			of: func(int32, func(), chan struct{}, string) string { return page("v") }},
		"an origin at its limit": {lead: "v", most: 4, fill: 30,
			box: func(_ int32, _ func(), _ net.Conn, k string) string { return miss },
			of: func(_ int32, asked func(), free chan struct{}, k string) string {
				<-free
				return page("v")
			}},
	} {
		t.Run(name, func(t *testing.T) {
			var n atomic.Int32
			begun, free, done := make(chan struct{}), make(chan struct{}), make(chan struct{})
			// The lead's attempts wait until all that follow it are there.
			asked := func() { begun <- struct{}{}; <-done }
			once := sync.OnceFunc(asked)
			count := func(k string) int32 {
				if k == "a" {
					return n.Add(1)
				}
				return 0
			}
			cfg := testConfig()
			cfg.Joining, cfg.MostHeld, cfg.Sockets = &joinAll, 5000, 2048
			run := slowClock(t, &cfg, 4*time.Second) // it stands while all come, and then stays before their time
			box := listen(t, func(conn net.Conn) {
				for in := resp.NewReader(conn, 4096); ; {
					w, err := readCommand(in)
					if err != nil {
						return
					}
					text := c.box(count(w[1]), once, conn, w[1])
					if text == "" {
						return
					}
					io.WriteString(conn, text)
				}
			})
			p := start(t, cfg, entry("s-a", box, "large"), entry("s-o", origin(t, func(r *http.Request) string {
				return c.of(count(r.URL.Path[1:]), once, free, r.URL.Path[1:])
			}), "origin"))
			filler := p.dial()
			for i := range c.fill {
				filler.send(get(fmt.Sprint("f", i), fmt.Sprint("f", i)))
			}
			p.eventually("the origin has what it takes", func() bool { return len(p.requests) == c.fill })
			lead := p.dial()
			lead.send(get("a", "lead"))
			if c.fill == 0 {
				<-begun
			} else {
				// It asks the cache first, or goes straight to the line at the origin where all before it were misses: which of the two
				// depends on whose answers come first.
				p.eventually("the lead is in hand", func() bool { return len(p.requests) == c.fill+1 })
			}
			const clients, each = 40, 25
			var all []*testClient
			for i := range clients {
				all = append(all, p.dial())
				for j := range each {
					all[i].send(get("a", fmt.Sprintf("r%d-%d", i, j)))
				}
			}
			p.followed(clients * each)
			close(done)
			close(free)
			run(p)
			if got := lead.answer(); !strings.HasPrefix(got, c.lead) {
				t.Errorf("the lead: %q", got)
			}
			for i, cl := range all {
				for j := range each {
					if got := cl.answer(); got != "v" {
						t.Fatalf("client %d, read %d: %q", i, j, got)
					}
				}
			}
			if got := n.Load(); got > c.most {
				t.Errorf("%d attempts for %d reads of one key", got, clients*each)
			}
			p.eventually("nothing is left", func() bool { n, f := p.joins.Len(); return n+f+len(p.requests)+p.held == 0 })
		})
	}
}

// A tenant without the right to a key gets nothing of another's attempt for it, also where tenants share attempts.
func TestJoiningAsksForTheRightFirst(t *testing.T) {
	g := newGate()
	o := newTokenIssuer(t, "k1")
	shared := joinAll
	shared.AcrossTenants = true
	p, _, _ := startWithCallers(t, o, func(cfg *Config) { cfg.Joining = &shared }, g.answer)
	proven := func(tenant string) *testClient {
		c := p.dial()
		c.send(words("AUTH", o.token("k1", tenant, "")))
		if got := c.answer(); got != "+OK" {
			t.Fatal(got)
		}
		return c
	}
	shop, kiosk, other := proven("shop"), proven("kiosk"), proven("shop")
	shop.send(get("orders/1", "r1"))
	<-g.asks
	kiosk.send(get("orders/1", "r2"))
	if got := kiosk.answer(); !strings.HasPrefix(got, "-NOPERM") {
		t.Errorf("without the right: %q", got)
	}
	other.send(get("orders/1", "r3"))
	p.followed(1)
	g.out <- hit("secret")
	for _, c := range []*testClient{shop, other} {
		if got := c.answer(); got != "secret" {
			t.Errorf("%q", got)
		}
	}
	kiosk.send(get("map/1", "r4"))
	<-g.asks
	g.out <- hit("map")
	if got := kiosk.answer(); got != "map" {
		t.Errorf("what it may read: %q", got)
	}
}

// A read that leads others goes on for them when its client leaves, and ends with the last of them.
func TestAllOfAJoinedReadLeave(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		l := newRequestLog()
		door, open := blockedMember(t, l, "large")
		cfg := noTimeoutConfig(cancel)
		cfg.Joining = &joinAll
		p := start(t, cfg, entry("s-1", door, "large"))
		var clients []*testClient
		for i := range 3 {
			c := p.dial()
			c.send(getLongDeadline("a1", fmt.Sprintf("left%d", i)))
			p.eventually("it is in hand", func() bool { return len(p.requests) == i+1 })
			clients = append(clients, c)
		}
		clients[0].conn.Close()
		p.eventually("the lead's client is gone", func() bool { return len(p.redis.clients) == 2 })
		if n := p.Load().Requests; n != 3 {
			t.Fatalf("%d requests are in hand, want the lead and two that follow", n)
		}
		clients[1].conn.Close()
		clients[2].conn.Close()
		p.awaitNoClients()
		open()
		next := p.dial()
		next.send(get("a1", "next"))
		if got := next.answer(); got != "value of a1" {
			t.Errorf("answered %q", got)
		}
		if got := l.awaitRequests(t, 1); got[0] != "next" {
			t.Errorf("the member was asked under %v", got)
		}
	}
}
