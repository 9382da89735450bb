package proxy

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"linenloom/internal/pool"
	"linenloom/internal/upstream"
	"linenloom/logic"
)

// keyedReads returns settings with one class, whose repeats the members of a group drop for the window, and
// one connection to each cache. Nothing but the window ends while a test lasts.
func keyedReads(scope logic.Scope, window time.Duration) Config {
	cfg := testConfig()
	cfg.Settings.Classes[0] = logic.Class{Name: "keyed", SoftDeadline: 18 * window, Deadline: 20 * window, Value: 1,
		Effect: logic.DeduplicatedByKey, Scope: scope, DedupWindow: window}
	cfg.Settings.ConnectTimeout = window // a repeat may wait for longer than its window
	cfg.Settings.Instances = pool.CacheConnCapacity
	return cfg
}

func keyedRead(id string, deadline time.Duration) string {
	return respCommand("OBJ.GET", "key-"+id, id, fmt.Sprintf("c=keyed,d=%d,k=%s", deadline.Milliseconds(), id))
}

// count returns how often an id was added.
func (l *requestLog) count(id string) (n int) {
	for _, added := range l.all() {
		if added == id {
			n++
		}
	}
	return n
}

// repeatScene is a cache with one connection, on which a keyed order breaks after half of its window. Its
// repeat waits there behind another request, which is held until release is closed.
type repeatScene struct {
	*testProxy
	advance      func(*testProxy, time.Duration)
	heldUp       atomic.Int64 // time that has passed without running any timer
	arrived      *requestLog
	release      chan struct{}
	order, other *testClient
}

func newRepeatScene(t *testing.T, scope logic.Scope, window time.Duration) *repeatScene {
	t.Helper()
	scene := &repeatScene{arrived: newRequestLog(), release: make(chan struct{})}
	breakFirst := make(chan struct{})
	cache := serveConns(t, func(conn net.Conn) {
		for words := range commandsOf(conn) {
			scene.arrived.add(words[2])
			switch {
			case words[2] == "order" && scene.arrived.count("order") == 1:
				<-breakFirst
				return // it may have run
			case words[2] == "other":
				<-scene.release
			}
			io.WriteString(conn, hitReply("value of "+words[2]))
		}
	})
	cfg := keyedReads(scope, window)
	scene.advance = manualClock(&cfg)
	clock := cfg.Clock
	cfg.Clock = func() time.Duration { return clock() + time.Duration(scene.heldUp.Load()) }
	p := startProxy(t, cfg, listEntry("s-1", cache, "large"))
	scene.testProxy, scene.order, scene.other = p, p.dial(), p.dial()
	scene.order.send(keyedRead("order", 18*window))
	p.eventually("the order has arrived", func() bool { return scene.arrived.count("order") == 1 })
	scene.other.send(keyedRead("other", 17*window)) // expires first, so it gets the next connection
	p.eventually("another request waits", func() bool { return p.queuedAttempts() == 1 })
	scene.advance(p, window/2)
	close(breakFirst)
	p.eventually("the repeat waits behind the other request", func() bool {
		return scene.arrived.count("other") == 1 && p.queuedAttempts() == 1
	})
	return scene
}

// requireNoRepeat lets the connection become free and requires that the repeat is not sent on it.
func (s *repeatScene) requireNoRepeat() {
	s.t.Helper()
	close(s.release)
	if got := s.other.answer(); got != "value of other" {
		s.t.Errorf("the other request was answered %q", got)
	}
	s.other.send(keyedRead("last", 10*time.Second)) // arrives behind everything that was sent before
	for end := time.Now().Add(testTimeout); s.arrived.count("last") == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatal("the connection was not used again")
		}
		s.heldUp.Add(int64(time.Millisecond))
	}
	if got := s.arrived.count("order"); got != 1 {
		s.t.Errorf("the order arrived %d times", got)
	}
}

// Guards against a keyed request that runs twice: its repeat is decided on within the window in which its
// member drops repeats, waits for a connection, and is sent after the window. It is answered as soon as the
// window ends, and with a promise that a retry is harmless only where all members drop repeats.
func TestRepeatThatWaitsForAConnectionIsNotSentAfterItsWindow(t *testing.T) {
	for _, c := range []struct {
		window time.Duration
		scope  logic.Scope
		want   string
	}{
		{300 * time.Millisecond, logic.ScopeCell, "-ERR failed"},
		{time.Second, logic.ScopeZone, "-ERR failed"},
		{time.Second, logic.ScopeAll, "-BUSY"},
		{5 * time.Second, logic.ScopeCell, "-ERR failed"},
	} {
		t.Run(fmt.Sprint(c.window, c.want), func(t *testing.T) {
			t.Parallel()
			scene := newRepeatScene(t, c.scope, c.window)
			scene.advance(scene.testProxy, c.window/2)
			if got := scene.order.answer(); !strings.HasPrefix(got, c.want) {
				t.Errorf("the order was answered %q, want %s", got, c.want)
			}
			scene.requireNoRepeat()
		})
	}
}

// callerWithConnections is a Responder whose client makes the attempts itself.
type callerWithConnections struct {
	assigned []*Attempt
	answers  []Answer
}

func (c *callerWithConnections) Assign(a *Attempt) { c.assigned = append(c.assigned, a) }
func (c *callerWithConnections) Answer(a Answer)   { c.answers = append(c.answers, a) }

// Guards against a keyed request that runs twice because its caller, which makes the attempts itself, is told
// of the repeat only after the window.
func TestRepeatIsNotAnnouncedAfterItsWindow(t *testing.T) {
	const window = time.Second
	for name, announcedBefore := range map[string]bool{"not yet announced": false, "announced, to be confirmed": true} {
		t.Run(name, func(t *testing.T) {
			cfg := keyedReads(logic.ScopeAll, window)
			advance := manualClock(&cfg)
			p := startProxy(t, cfg, listEntry("s-1", "127.0.0.1:1", "large"), listEntry("s-2", "127.0.0.1:2", "large"))
			p.eventually("it serves", func() bool { return p.serving })
			caller := &callerWithConnections{}
			request := &Request{Responder: caller, Command: Command{Message: upstream.Message{
				Key: []byte("k"), ReqID: []byte("order"), Attrs: []byte("c=keyed,d=7000,k=1")}}}
			p.Do(func() {
				if err := p.Submit(request); err != nil {
					t.Fatal(err)
				}
			})
			advance(p, window/2)
			p.Do(func() { // the first attempt breaks
				if !caller.assigned[0].Announce() {
					t.Error("the first attempt is not valid")
				}
				caller.assigned[0].End(logic.StatusReset, 0)
			})
			p.Do(func() {
				if len(caller.assigned) != 2 {
					t.Fatalf("%d attempts", len(caller.assigned))
				}
				if announcedBefore && !caller.assigned[1].Announce() {
					t.Error("the repeat is not valid within the window")
				}
			})
			advance(p, window/2)
			p.Do(func() {
				if caller.assigned[1].Announce() {
					t.Error("the repeat is valid after the window")
				}
			})
			p.Do(func() {
				if len(caller.answers) != 1 || caller.answers[0].Kind != Failed && caller.answers[0].Kind != Refused {
					t.Errorf("answers %v", caller.answers)
				}
			})
		})
	}
}
