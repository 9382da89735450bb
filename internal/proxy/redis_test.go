package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// A command that no client should send gets an error line or a close, never a value, and is sent to no
// member.
func TestFaultyCommandIsRejected(t *testing.T) {
	var sent atomic.Int32
	node := startCache(t, func(memberCommand) string { sent.Add(1); return hitReply("value") })
	p := startProxy(t, testConfig(), listEntry("s-1", node, "large"))
	for name, text := range map[string]string{
		"noise":              "\xb8mh\xf4\x05\x89Ti\r\n\r\n",
		"inline":             "GET key\r\n",
		"endless line":       strings.Repeat("k", 64<<10),
		"nested arrays":      strings.Repeat("*1\r\n", 100),
		"negative length":    "*4\r\n$-7\r\n",
		"huge count":         "*99999999999999999999\r\n",
		"wrong length":       "*5\r\n$7\r\nOBJ.SET\r\n$1\r\na\r\n$1\r\nb\r\n$18\r\nc=pass-order,d=100\r\n$4\r\nabcdefgh\r\n",
		"huge value":         "*5\r\n$7\r\nOBJ.SET\r\n$1\r\na\r\n$1\r\nc\r\n$18\r\nc=pass-order,d=100\r\n$60000000\r\n" + strings.Repeat("v", 1<<20),
		"unknown command":    respCommand("FLUSHALL"),
		"too few words":      respCommand("OBJ.GET", "a", "d"),
		"unknown class":      respCommand("OBJ.GET", "a", "e", "c=tile-reads,d=100"),
		"no class":           respCommand("OBJ.GET", "a", "f", "d=100"),
		"two classes":        respCommand("OBJ.GET", "a", "f2", "c=tile-read,c=pass-order,d=100"),
		"deadline no number": respCommand("OBJ.GET", "a", "g", "c=tile-read,d=soon"),
		"deadline empty":     respCommand("OBJ.GET", "a", "h", "c=tile-read,d="),
		"no deadline":        respCommand("OBJ.GET", "a", "i", "c=tile-read"),
		"deadline negative":  respCommand("OBJ.GET", "a", "j", "c=tile-read,d=-5"),
		"deadline not finite": respCommand("OBJ.GET", "a", "k", "c=tile-read,d=inf") +
			respCommand("OBJ.GET", "a", "l", "c=tile-read,d=nan"),
		"deadline absurd": respCommand("OBJ.GET", "a", "m", "c=tile-read,d=99999999999999999999999"),
		"no id":           respCommand("OBJ.GET", "a", "", "c=tile-read,d=100"),
		"no key":          respCommand("OBJ.GET", "", "n", "c=tile-read,d=100"),
		"line end in id":  respCommand("OBJ.GET", "a", "o\r\nX-A: b", "c=tile-read,d=100"),
	} {
		t.Run(name, func(t *testing.T) {
			c := p.dial()
			c.send(text)
			if got := c.answer(); got != "" && !strings.HasPrefix(got, "-ERR ") {
				t.Errorf("answered %q, want an error line or a close", got)
			}
		})
	}
	if n := sent.Load(); n > 0 {
		t.Errorf("%d commands were passed on", n)
	}
	p.eventually("no memory held for values", func() bool { return p.bufferedBytes == 0 })
}

// After several faulty commands the connection ends, however many more would follow.
func TestFaultyClientIsDisconnected(t *testing.T) {
	p := startProxy(t, testConfig())
	c := p.dial()
	c.send(strings.Repeat(respCommand("FLUSHALL"), 10*maxFaultyCommands))
	errors := 0
	for c.answer() != "" {
		errors++
	}
	if errors < maxFaultyCommands || errors > maxFaultyCommands+1 {
		t.Errorf("%d answers, want %d and the end", errors, maxFaultyCommands)
	}
}

// An id belongs to the request that used it first, while that request is open and for a time after.
func TestIDInUseIsRejected(t *testing.T) {
	asks, release := make(chan memberCommand, 10), make(chan struct{})
	node := startCache(t, func(a memberCommand) string { asks <- a; <-release; return hitReply("value of " + a.key) })
	p := startProxy(t, testConfig(), listEntry("s-1", node, "large"))
	good, bad := p.dial(), p.dial()
	good.send(getCommand("a1", "id1"))
	<-asks
	bad.send(getCommand("a2", "id1"))
	if got := bad.answer(); !strings.HasPrefix(got, "-ERR") {
		t.Errorf("an id in use was answered %q", got)
	}
	close(release)
	if got := good.answer(); got != "value of a1" {
		t.Errorf("the id's owner was answered %q", got)
	}
	bad.send(getCommand("a1", "id1"))
	if got := bad.answer(); !strings.HasPrefix(got, "-ERR") {
		t.Errorf("an id used before was answered %q", got)
	}
}

// Many clients that only connect must not exhaust the descriptors, nor displace clients that send commands.
// An earlier fault closed the same connection over and over while making room, under the lock, without end.
func TestSilentClientsDoNotExhaustDescriptors(t *testing.T) {
	cfg := testConfig()
	cfg.Descriptors = 64
	node := startCache(t, func(a memberCommand) string { return hitReply("value of " + a.key) })
	p := startProxy(t, cfg, listEntry("s-1", node, "large"))
	good := p.dial()
	ask := func(i int) {
		t.Helper()
		key := fmt.Sprintf("a%d", i)
		good.send(getCommand(key, "id"+key))
		if got := good.answer(); got != "value of "+key {
			t.Fatalf("answered %q among a silent crowd", got)
		}
	}
	ask(0)
	silent := make([]*testClient, 3*cfg.Descriptors)
	for i := range silent {
		silent[i] = p.dial()
		ask(i + 1)
	}
	p.eventually("descriptors within the limit", func() bool { return p.openDescriptors() <= cfg.Descriptors-reservedDescriptors })
	for _, c := range silent { // each connection is closed, though its client sent nothing
		if got := c.answer(); got != "" {
			t.Fatalf("a silent client was told %q", got)
		}
	}
	good = p.dial() // the first connection was itself idle meanwhile
	ask(1000)
}

func TestIncompleteCommandTimesOut(t *testing.T) {
	p := startProxy(t, testConfig())
	c := p.dial()
	c.send("*4\r\n$7\r\nOBJ.GET\r\n$16\r\n26ba")
	if got := c.answer(); !strings.HasPrefix(got, "-ERR") {
		t.Errorf("half a command was answered %q, want an error line", got)
	}
	if got := c.answer(); got != "" {
		t.Errorf("then %q, want the end", got)
	}
}

// Commands accepted before the stop are answered; afterwards none is accepted and Run returns.
func TestDrainAnswersAcceptedRequests(t *testing.T) {
	asks, release := make(chan memberCommand, 10), make(chan struct{})
	node := startCache(t, func(a memberCommand) string { asks <- a; <-release; return hitReply("value of " + a.key) })
	p := startProxy(t, testConfig(), listEntry("s-1", node, "large"))
	busy, idle := p.dial(), p.dial()
	idle.send(respCommand("PING"))
	if got := idle.answer(); got != "+PONG" {
		t.Fatalf("PING was answered %q", got)
	}
	busy.send(getCommand("a1", "id1"))
	<-asks
	p.stop()
	if got := idle.answer(); got != "" {
		t.Errorf("an idle client was told %q, want the end", got)
	}
	p.eventually("no request is taken any more", func() bool { return p.stopping })
	busy.send(getCommand("a2", "id2"))
	p.eventually("the second request is read", func() bool { // its answer waits for the first one
		for c := range p.redis.clients {
			if len(c.pending) == 2 {
				return true
			}
		}
		return false
	})
	close(release)
	if got := busy.answer(); got != "value of a1" {
		t.Errorf("what was taken before the stop was answered %q", got)
	}
	if got := busy.answer(); got != "-BUSY" {
		t.Errorf("what came after it was answered %q, want a refusal", got)
	}
	p.stopAndWait()
}

// A connection that is idle for too long is closed.
func TestIdleClientIsClosed(t *testing.T) {
	p := startProxy(t, testConfig())
	c := p.dial()
	c.send(respCommand("PING"))
	c.answer()
	p.eventually("the client is known as idle", func() bool {
		for c := range p.redis.clients {
			if c.hasRequested && c.isIdle() {
				c.lastActive -= clientIdleTimeout
				return true
			}
		}
		return false
	})
	if got := c.answer(); got != "" {
		t.Errorf("told %q, want the end", got)
	}
	p.eventually("its place is free", func() bool { return len(p.redis.clients) == 0 })
}

// A write whose bytes may have been sent is neither sent again nor refused.
func TestAtMostOnceIsNotSentTwice(t *testing.T) {
	var sent atomic.Int32
	o := truncatingOrigin(t, &sent)
	p := startProxy(t, testConfig(), listEntry("o-1", o, "origin"))
	c := p.dial()
	c.send(setCommand("a1", "id1", "order"))
	if got := c.answer(); got != "-ERR failed" {
		t.Errorf("answered %q, want a failure", got)
	}
	if n := sent.Load(); n != 1 {
		t.Errorf("sent %d times", n)
	}
}

func truncatingOrigin(t *testing.T, sent *atomic.Int32) string {
	return startOrigin(t, func(*http.Request) string { sent.Add(1); return "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\nshort" })
}

func TestIDsAreBounded(t *testing.T) {
	s := newIDHistory()
	for i := range 5 * maxIDsPerGeneration {
		s.add(fmt.Append(nil, i), time.Duration(i))
	}
	if n := len(s.current) + len(s.previous); n > 2*maxIDsPerGeneration {
		t.Errorf("%d ids kept", n)
	}
	if !s.contains(fmt.Append(nil, 5*maxIDsPerGeneration-1), 5*maxIDsPerGeneration) {
		t.Error("the last id is not known")
	}
	s = newIDHistory()
	s.add([]byte("a"), time.Second)
	s.add([]byte("b"), time.Second+idRetention)
	s.add([]byte("c"), time.Second+2*idRetention)
	if s.contains([]byte("a"), time.Second+2*idRetention) {
		t.Error("an old id was not let go of")
	}
}

// Many clients that send one command and stay connected must not hold the client capacity for requests.
func TestManyIdleClientsAreClosedSooner(t *testing.T) {
	cfg := testConfig()
	cfg.Descriptors = 64
	node := startCache(t, func(a memberCommand) string { return hitReply("value of " + a.key) })
	p := startProxy(t, cfg, listEntry("s-1", node, "large"))
	clients := make([]*testClient, cfg.Descriptors*activeClientPercent/100)
	for i := range clients {
		clients[i] = p.dial()
		clients[i].send(getCommand("a1", fmt.Sprintf("id%d", i)))
		if got := clients[i].answer(); got != "value of a1" {
			t.Fatalf("client %d was answered %q", i, got)
		}
	}
	p.eventually("all are idle", func() bool {
		if len(p.redis.clients) < len(clients) {
			return true // the sweep has begun to close them
		}
		for c := range p.redis.clients {
			if !c.isIdle() {
				return false
			}
			c.lastActive = p.now - 2*minIdleTimeout // as if they had been idle that long
		}
		p.redis.closeIdleClients()
		if n := len(p.redis.clients); n > 0 {
			t.Errorf("%d of %d idle clients hold their places", n, len(clients))
		}
		return true
	})
}

func TestIdleTimeoutFallsWithCapacityLeft(t *testing.T) {
	p := &redisFront{proxy: &Proxy{cfg: Config{Descriptors: 400}}}
	last := p.idleTimeout(0)
	if last != clientIdleTimeout {
		t.Errorf("%v with nobody there", last)
	}
	for asked := 1; asked <= 200; asked++ {
		age := p.idleTimeout(asked)
		if age > last || age < minIdleTimeout {
			t.Errorf("%v with %d, %v with one less", age, asked, last)
		}
		last = age
	}
	if last != minIdleTimeout {
		t.Errorf("%v with all the room taken", last)
	}
}
