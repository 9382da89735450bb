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

var joinLimits = joining.Limits{Followers: 5000, PerTenant: 5000, Groups: 100}

// gatedCache is a cache that sends each answer only when the test supplies it.
type gatedCache struct {
	requests chan memberCommand
	answers  chan string
	attempts atomic.Int32
}

func newGatedCache() *gatedCache {
	return &gatedCache{requests: make(chan memberCommand, 5000), answers: make(chan string, 5000)}
}

func (g *gatedCache) answer(a memberCommand) string {
	g.attempts.Add(1)
	g.requests <- a
	return <-g.answers
}

func startJoining(t *testing.T, limits joining.Limits, answer func(memberCommand) string, set ...func(*Config)) *testProxy {
	t.Helper()
	cfg := testConfig()
	for _, f := range set {
		f(&cfg)
	}
	cfg.Joining = &limits
	cfg.MaxRequests, cfg.Descriptors = 5000, 2048
	cfg.Settings.Tenants = []logic.Tenant{{Name: "acme", Share: 0.5}, {Name: "best", Share: 0.5}}
	return startProxy(t, cfg, listEntry("s-a", startCache(t, answer), "large"),
		listEntry("s-o", startOrigin(t, func(r *http.Request) string { return httpOK("receipt of " + r.URL.Path[1:]) }), "origin"))
}

// awaitFollowers waits until n reads follow others.
func (p *testProxy) awaitFollowers(n int) {
	p.t.Helper()
	p.eventually(fmt.Sprint(n, " reads follow"), func() bool { _, f := p.joinTable.Len(); return f == n })
}

func getWithin(key, id, d string) string { return respCommand("OBJ.GET", key, id, "c=tile-read,d="+d) }

// Identical reads on one or many connections share one attempt, and each gets one answer. Reads of
// other keys, tenants and classes do not share it.
func TestIdenticalReadsAreJoined(t *testing.T) {
	gated := newGatedCache()
	p := startJoining(t, joinLimits, gated.answer)
	lead := p.dial()
	lead.send(getCommand("a", "lead"))
	<-gated.requests
	const clients, each = 20, 10
	var all []*testClient
	for i := range clients {
		c := p.dial()
		all = append(all, c)
		for j := range each {
			c.send(getCommand("a", fmt.Sprintf("f%d-%d", i, j)))
		}
	}
	p.awaitFollowers(clients * each)
	other := p.dial()
	other.send(respCommand("OBJ.GET", "a", "other", "c=tile-read,d=4000,t=best"))
	<-gated.requests
	value := strings.Repeat("v", 40_000)
	gated.answers <- hitReply(value)
	gated.answers <- hitReply("its own")
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
	if n := gated.attempts.Load(); n != 2 {
		t.Errorf("%d attempts", n)
	}
	p.eventually("nothing is held", func() bool { return p.bufferedBytes == 0 && len(p.requests) == 0 })
}

// Followers are served even if the lead's client leaves, or its deadline passes, or its attempts fail
// or get a malformed answer.
func TestFollowersOutliveTheLead(t *testing.T) {
	for name, end := range map[string]func(gated *gatedCache, lead *testClient){
		"its client leaves": func(gated *gatedCache, lead *testClient) {
			lead.conn.Close()
			time.Sleep(10 * time.Millisecond) // mostly, the proxy sees it before the answer; either order has to work
			gated.answers <- hitReply("v")
		},
		"its time ends": func(gated *gatedCache, lead *testClient) {
			if got := lead.answer(); !strings.HasPrefix(got, "-BUSY") {
				lead.t.Errorf("the lead is told %q", got)
			}
			for range 200 { // some of them go to attempts that have ended
				gated.answers <- hitReply("v")
			}
		},
		"its attempts fail": func(gated *gatedCache, lead *testClient) {
			for range 4 {
				gated.answers <- "-ERR failed\r\n"
			}
			for range 200 {
				gated.answers <- hitReply("v")
			}
		},
		"its answer is malformed": func(gated *gatedCache, lead *testClient) {
			gated.answers <- "*3\r\n$6\r\nspo"
			for range 200 {
				gated.answers <- hitReply("v")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			gated := newGatedCache()
			p := startJoining(t, joinLimits, gated.answer)
			lead := p.dial()
			lead.send(getWithin("a", "lead", "150"))
			<-gated.requests
			const followers = 50
			var all []*testClient
			for i := range followers {
				c := p.dial()
				c.send(getWithin("a", fmt.Sprint("f", i), fmt.Sprint(3000+i*20)))
				all = append(all, c)
			}
			p.awaitFollowers(followers)
			end(gated, lead)
			for i, c := range all {
				if got := c.answer(); got != "v" && got != "receipt of a" { // the last attempt goes to the origin
					t.Fatalf("follower %d: %q", i, got)
				}
			}
			if n := gated.attempts.Load(); n > 8 {
				t.Errorf("%d attempts for %d followers", n, followers)
			}
			p.eventually("nothing is left", func() bool { n, f := p.joinTable.Len(); return n+f+len(p.requests)+p.bufferedBytes == 0 })
		})
	}
}

// If no answer comes, each follower is refused at its own deadline, and the cache gets few attempts.
func TestFollowersOfASilentCache(t *testing.T) {
	gated := newGatedCache()
	p := startJoining(t, joinLimits, gated.answer)
	var all []*testClient
	for i := range 40 {
		c := p.dial()
		c.send(getWithin("a", fmt.Sprint("f", i), fmt.Sprint(100+i*5)))
		all = append(all, c)
		if i == 0 {
			<-gated.requests
		}
	}
	for i, c := range all {
		if got := c.answer(); !strings.HasPrefix(got, "-BUSY") {
			t.Errorf("follower %d: %q", i, got)
		}
	}
	if n := gated.attempts.Load(); n > 20 {
		t.Errorf("%d attempts", n)
	}
	close(gated.answers)
	p.eventually("nothing is left", func() bool { n, f := p.joinTable.Len(); return n+f+len(p.requests) == 0 })
}

// A read that arrives after a write was answered never shares an attempt from before the write.
func TestReadAfterAWriteJoinsNothingOlder(t *testing.T) {
	gated := newGatedCache()
	p := startJoining(t, joinLimits, gated.answer)
	before := p.dial()
	before.send(getCommand("a", "before"))
	<-gated.requests
	c := p.dial()
	c.send(setCommand("a", "w", "new"))
	if got := c.answer(); got != "receipt of a" {
		t.Fatal(got)
	}
	c.send(getCommand("a", "after"))
	<-gated.requests // an attempt of its own
	gated.answers <- hitReply("old")
	gated.answers <- hitReply("new")
	if got, first := c.answer(), before.answer(); got == first {
		t.Errorf("both reads got %q", got)
	}
}

// One tenant's identical reads do not delay other tenants' reads: above the tenant's limit, they are
// handled as ordinary reads.
func TestJoinLimitPerTenant(t *testing.T) {
	gated := newGatedCache()
	limits := joinLimits
	limits.PerTenant = 10
	p := startJoining(t, limits, gated.answer)
	storm := p.dial()
	for i := range 13 { // one leads, ten follow, two are not joined
		storm.send(respCommand("OBJ.GET", "a", fmt.Sprint("s", i), "c=tile-read,d=4000,t=acme"))
	}
	for range 3 {
		<-gated.requests
	}
	p.awaitFollowers(10)
	c := p.dial()
	for i := range 5 {
		c.send(respCommand("OBJ.GET", "b", fmt.Sprint("b", i), "c=tile-read,d=4000,t=best"))
	}
	<-gated.requests
	p.awaitFollowers(14)
	for range 4 {
		gated.answers <- hitReply("v")
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

// A shared value is held in memory once until the slowest client has received it. A client that reads
// nothing does not add to that.
func TestJoinedValueIsHeldOnce(t *testing.T) {
	gated := newGatedCache()
	p := startJoining(t, joinLimits, gated.answer)
	lead := p.dial()
	lead.send(getCommand("a", "lead"))
	<-gated.requests
	slow, err := net.Dial("tcp", p.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	slow.(*net.TCPConn).SetReadBuffer(4 << 10)
	const wanted = 16
	for i := range wanted {
		fmt.Fprint(slow, getCommand("a", fmt.Sprint("slow", i)))
	}
	p.awaitFollowers(wanted)
	value := strings.Repeat("v", resp.MaxValue)
	gated.answers <- hitReply(value)
	if got := lead.answer(); got != value {
		t.Fatalf("%d bytes", len(got))
	}
	p.eventually("the slow client's answers are on their way", func() bool { return len(p.requests) == 0 })
	p.beginEvent()
	held := p.bufferedBytes
	p.endEvent()
	if held > 2*resp.MaxValue {
		t.Errorf("%d bytes are held for %d answers of %d", held, wanted, resp.MaxValue)
	}
	slow.Close()
	p.eventually("nothing is held", func() bool { return p.bufferedBytes == 0 })
}

// All joined reads that were accepted before a stop are answered.
func TestStopWhileReadsAreJoined(t *testing.T) {
	gated := newGatedCache()
	p := startJoining(t, joinLimits, gated.answer)
	var all []*testClient
	for i := range 100 {
		c := p.dial()
		c.send(getCommand("a", fmt.Sprint("r", i)))
		all = append(all, c)
	}
	<-gated.requests
	p.awaitFollowers(99)
	var wg sync.WaitGroup
	p.stop()
	gated.answers <- hitReply("v")
	for i, c := range all {
		wg.Go(func() {
			if got := c.answer(); got != "v" {
				t.Errorf("read %d: %q", i, got)
			}
		})
	}
	wg.Wait()
}

// A thousand followers with different deadlines wait for a lead whose attempts stall. Once the cache
// answers, all whose deadline has not passed are served; the others were refused before.
func TestThousandFollowersOfAStalledLead(t *testing.T) {
	gated := newGatedCache()
	// advance moves the clock. The test calls it only once all reads have arrived, however long the machine takes.
	var advance func(*testProxy, time.Duration)
	p := startJoining(t, joinLimits, gated.answer, func(cfg *Config) { advance = manualClock(cfg) })
	lead := p.dial()
	lead.send(getWithin("a", "lead", "300"))
	<-gated.requests
	const clients, each = 40, 25
	type one struct {
		c    *testClient
		wait int
	}
	var all []one
	for i := range clients {
		c := p.dial()
		wait := 400 // half of the clients have deadlines that pass before any answer
		if i%2 == 0 {
			wait = 7000
		}
		for j := range each {
			c.send(getWithin("a", fmt.Sprintf("f%d-%d", i, j), fmt.Sprint(wait+j)))
		}
		all = append(all, one{c, wait})
	}
	p.awaitFollowers(clients * each)
	advance(p, 500*time.Millisecond)
	for i := 1; i < clients; i += 2 {
		for j := range each {
			if got := all[i].c.answer(); !strings.HasPrefix(got, "-BUSY") {
				t.Fatalf("client %d, read %d, whose time is over: %q", i, j, got)
			}
		}
	}
	for range 100 {
		gated.answers <- hitReply("v")
	}
	for i := 0; i < clients; i += 2 {
		for j := range each {
			if got := all[i].c.answer(); got != "v" {
				t.Fatalf("client %d, read %d: %q", i, j, got)
			}
		}
	}
	if n := gated.attempts.Load(); n > 12 {
		t.Errorf("%d attempts for %d reads", n, clients*each)
	}
	p.eventually("nothing is left", func() bool { n, f := p.joinTable.Len(); return n+f+len(p.requests)+p.bufferedBytes == 0 })
}

// While a lead's attempt is outstanding, its cache starts to drain and other classes are set. The
// attempt is answered, all followers are served, and the cache gets nothing new.
func TestDrainAndRetuneWhileReadsAreJoined(t *testing.T) {
	gated := newGatedCache()
	other := startCache(t, func(a memberCommand) string { return hitReply("other " + a.key) })
	cfg := testConfig()
	cfg.Joining, cfg.MaxRequests, cfg.Descriptors = &joinLimits, 5000, 2048
	first := listEntry("s-a", startCache(t, gated.answer), "large")
	r := newFakeDiscovery(t, discoveryList(1, true, first, listEntry("o-1", startOrigin(t, func(*http.Request) string { return httpOK("o") }), "origin")))
	p := startProxyAt(t, cfg, r)
	<-r.watchBegan
	var all []*testClient
	for i := range 60 {
		c := p.dial()
		c.send(getCommand("a", fmt.Sprint("r", i)))
		if all = append(all, c); i == 0 {
			<-gated.requests
		}
	}
	p.awaitFollowers(59)
	first.Phase = "terminating"
	r.publish(discoveryList(2, false, first, listEntry("s-b", other, "large")))
	p.eventually("the drain is known", func() bool { return p.revision == 2 })
	classes := append([]logic.Class(nil), cfg.Settings.Classes...)
	classes[0].SoftDeadline = 4 * time.Second
	if err := p.UpdateClasses(classes, 3); err != nil {
		t.Fatal(err)
	}
	after := p.dial()
	after.send(getCommand("b", "rb"))
	if got := after.answer(); got != "other b" {
		t.Errorf("another key: %q", got)
	}
	gated.answers <- hitReply("v")
	for i, c := range all {
		if got := c.answer(); got != "v" {
			t.Fatalf("read %d: %q", i, got)
		}
	}
	if n := gated.attempts.Load(); n != 1 {
		t.Errorf("the draining cache was asked %d times", n)
	}
}

// A thousand reads follow a lead that all members refuse, or whose connection is reset in the middle of
// the value, or that waits in the queue of an origin at its limit. Each read gets one answer, the key
// is requested a few times only, and nothing is left over.
func TestThousandFollowersOfAFailingLead(t *testing.T) {
	for name, c := range map[string]struct {
		lead         string // prefix of its answer
		maxAttempts  int32  // limit of attempts for the key, at caches and origin
		answerCache  func(n int32, asked func(), conn net.Conn, k string) (answer string)
		answerOrigin func(n int32, asked func(), free chan struct{}, k string) string
		otherKeys    int // number of other keys requested from the origin before
	}{
		"refused": {lead: "-BUSY", maxAttempts: 8,
			answerCache: func(n int32, asked func(), _ net.Conn, _ string) string {
				if asked(); n <= 4 {
					return "-BUSY\r\n"
				}
				return hitReply("v")
			},
			answerOrigin: func(n int32, _ func(), _ chan struct{}, _ string) string {
				if n <= 4 {
					return "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
				}
				return httpOK("v")
			}},
		"reset half way": {lead: "v", maxAttempts: 4,
			answerCache: func(n int32, asked func(), conn net.Conn, _ string) string {
				if asked(); n > 1 {
					return hitReply("v")
				}
				io.WriteString(conn, "*3\r\n$1000\r\nhalf of it")
				conn.(*net.TCPConn).SetLinger(0)
				return ""
			},
			answerOrigin: func(int32, func(), chan struct{}, string) string { return httpOK("v") }},
		"an origin at its limit": {lead: "v", maxAttempts: 4, otherKeys: 30,
			answerCache: func(_ int32, _ func(), _ net.Conn, k string) string { return missReply },
			answerOrigin: func(_ int32, asked func(), free chan struct{}, k string) string {
				<-free
				return httpOK("v")
			}},
	} {
		t.Run(name, func(t *testing.T) {
			var n atomic.Int32
			started, free, done := make(chan struct{}), make(chan struct{}), make(chan struct{})
			// The lead's attempts wait until all followers are there.
			asked := func() { started <- struct{}{}; <-done }
			once := sync.OnceFunc(asked)
			count := func(k string) int32 {
				if k == "a" {
					return n.Add(1)
				}
				return 0
			}
			cfg := testConfig()
			cfg.Joining, cfg.MaxRequests, cfg.Descriptors = &joinLimits, 5000, 2048
			run := boundedClock(t, &cfg, 4*time.Second) // starts once all have arrived; stays below their deadlines
			cacheAddress := serveConns(t, func(conn net.Conn) {
				for in := newMemberInput(conn); ; {
					w, err := readCommand(in)
					if err != nil {
						return
					}
					text := c.answerCache(count(w[1]), once, conn, w[1])
					if text == "" {
						return
					}
					io.WriteString(conn, text)
				}
			})
			p := startProxy(t, cfg, listEntry("s-a", cacheAddress, "large"), listEntry("s-o", startOrigin(t, func(r *http.Request) string {
				return c.answerOrigin(count(r.URL.Path[1:]), once, free, r.URL.Path[1:])
			}), "origin"))
			filler := p.dial()
			for i := range c.otherKeys {
				filler.send(getCommand(fmt.Sprint("f", i), fmt.Sprint("f", i)))
			}
			p.eventually("the origin has what it takes", func() bool { return len(p.requests) == c.otherKeys })
			lead := p.dial()
			lead.send(getCommand("a", "lead"))
			if c.otherKeys == 0 {
				<-started
			} else {
				// It asks the cache first, or goes straight to the queue of the origin if all reads
				// before it were misses. Which one happens depends on the order of the answers.
				p.eventually("the lead is in hand", func() bool { return len(p.requests) == c.otherKeys+1 })
			}
			const clients, each = 40, 25
			var all []*testClient
			for i := range clients {
				all = append(all, p.dial())
				for j := range each {
					all[i].send(getCommand("a", fmt.Sprintf("r%d-%d", i, j)))
				}
			}
			p.awaitFollowers(clients * each)
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
			if got := n.Load(); got > c.maxAttempts {
				t.Errorf("%d attempts for %d reads of one key", got, clients*each)
			}
			p.eventually("nothing is left", func() bool { n, f := p.joinTable.Len(); return n+f+len(p.requests)+p.bufferedBytes == 0 })
		})
	}
}

// A tenant without access to a key gets nothing from another tenant's attempt for it, even where
// tenants share attempts.
func TestJoiningChecksAccessFirst(t *testing.T) {
	gated := newGatedCache()
	o := newTokenIssuer(t, "k1")
	shared := joinLimits
	shared.AcrossTenants = true
	p, _, _ := startWithCallers(t, o, func(cfg *Config) { cfg.Joining = &shared }, gated.answer)
	proven := func(tenant string) *testClient {
		c := p.dial()
		c.send(respCommand("AUTH", o.token("k1", tenant, "")))
		if got := c.answer(); got != "+OK" {
			t.Fatal(got)
		}
		return c
	}
	shop, kiosk, other := proven("shop"), proven("kiosk"), proven("shop")
	shop.send(getCommand("orders/1", "r1"))
	<-gated.requests
	kiosk.send(getCommand("orders/1", "r2"))
	if got := kiosk.answer(); !strings.HasPrefix(got, "-NOPERM") {
		t.Errorf("without the right: %q", got)
	}
	other.send(getCommand("orders/1", "r3"))
	p.awaitFollowers(1)
	gated.answers <- hitReply("secret")
	for _, c := range []*testClient{shop, other} {
		if got := c.answer(); got != "secret" {
			t.Errorf("%q", got)
		}
	}
	kiosk.send(getCommand("map/1", "r4"))
	<-gated.requests
	gated.answers <- hitReply("map")
	if got := kiosk.answer(); got != "map" {
		t.Errorf("what it may read: %q", got)
	}
}

// A leading read continues for its followers when its client leaves, and ends with the last of them.
func TestJoinedReadEndsWithItsLastClient(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		roll := newRequestLog()
		door, open := blockedMember(t, roll, "large")
		cfg := noTimeoutConfig(cancel)
		cfg.Joining = &joinLimits
		p := startProxy(t, cfg, listEntry("s-1", door, "large"))
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
		next.send(getCommand("a1", "next"))
		if got := next.answer(); got != "value of a1" {
			t.Errorf("answered %q", got)
		}
		if got := roll.awaitRequests(t, 1); got[0] != "next" {
			t.Errorf("the member was asked under %v", got)
		}
	}
}
