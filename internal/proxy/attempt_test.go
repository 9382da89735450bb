package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"linenloom/internal/discovery"
)

// A member that is listed as draining or gone while a connection to it is being opened gets no request on that
// connection. Requests that waited for it are refused at once.
func TestAttemptDrainDuringDial(t *testing.T) {
	for _, phase := range []string{discovery.PhaseTerminating, discovery.PhaseTerminated} {
		for name, c := range map[string]struct{ kind, ask, want string }{
			"a read":   {"large", getLongDeadline("a1", "id"), "-BUSY"},
			"an order": {"origin", putLongDeadline("a1", "id", "order"), "-BUSY"},
		} {
			t.Run(name+", "+phase, func(t *testing.T) {
				t.Parallel()
				l := newRequestLog()
				addr, open := blockedMember(t, l, c.kind)
				m := listEntry("s-1", addr, c.kind)
				r := newFakeDiscovery(t, discoveryList(1, true, m))
				p := startProxyAt(t, noTimeoutConfig(false), r)
				<-r.watchBegan
				client := p.dial()
				client.send(c.ask)
				p.eventually("it waits for the connection", func() bool { return len(p.memberAt(addr).Waiting) == 1 })
				m.Phase = phase
				r.publish(discoveryList(2, false, m))
				if got := client.answer(); !strings.HasPrefix(got, c.want) {
					t.Errorf("answered %q, want %s", got, c.want)
				}
				open()
				p.eventually("the dial has ended", func() bool { return p.upstreams.OpenConns() == 0 })
				if got := l.all(); len(got) > 0 {
					t.Errorf("the member that drains was asked under %v", got)
				}
			})
		}
	}
}

// The answer and the deadline in either order: the client gets one answer, and the next answer on its connection
// belongs to the next request.
func TestAttemptAnswerAndDeadlineOrders(t *testing.T) {
	for _, late := range []bool{false, true} {
		for name, c := range map[string]struct{ ask, timely, late string }{
			"a read":   {getCommand("a1", "id"), "value of a1", "-BUSY"},
			"an order": {setCommand("a1", "id", "order"), "value of a1", "-ERR"},
		} {
			t.Run(fmt.Sprintf("%s, late %v", name, late), func(t *testing.T) {
				arrived, release := make(chan struct{}, 10), make(chan struct{})
				node := startCache(t, func(a memberCommand) string {
					if arrived <- struct{}{}; a.id == "id" {
						<-release
					}
					return hitReply("value of " + a.key)
				})
				o := startOrigin(t, func(r *http.Request) string {
					if arrived <- struct{}{}; r.Header.Get("X-Request-ID") == "id" {
						<-release
					}
					return httpOK("value of " + r.URL.Path[1:])
				})
				cfg := testConfig()
				cfg.Settings.MaxAttempts = 1
				advance := manualClock(&cfg)
				p := startProxy(t, cfg, listEntry("s-1", node, "large"), listEntry("o-1", o, "origin"))
				client := p.dial()
				client.send(c.ask)
				// Advances the clock until c receives, far below any soft deadline.
				advanceUntil := func(what string, c <-chan struct{}) {
					t.Helper()
					for range 2000 {
						select {
						case <-c:
							return
						case <-time.After(time.Millisecond):
							advance(p, time.Millisecond)
						}
					}
					t.Fatalf("never came about: %s", what)
				}
				advanceUntil("it is at its member", arrived)
				want := c.timely
				if late {
					advance(p, 9*time.Second)
					want = c.late
				} else {
					close(release)
				}
				if got := client.answer(); !strings.HasPrefix(got, want) {
					t.Errorf("answered %q, want %s", got, want)
				}
				if late {
					close(release)
				} else {
					advance(p, 9*time.Second)
				}
				client.send(getCommand("a2", "next"))
				advanceUntil("the next is at its member", arrived)
				if got := client.answer(); got != "value of a2" {
					t.Errorf("the next read was answered %q", got)
				}
			})
		}
	}
}

// Requests of a client that disconnects are cancelled during a stop too, even if commands behind them were not read.
func TestAttemptClientDisconnectsDuringStop(t *testing.T) {
	l := newRequestLog()
	addr, open := blockedMember(t, l, "large")
	p := startProxy(t, noTimeoutConfig(false), listEntry("s-1", addr, "large"))
	p.Do(func() { p.maxStopDeadline = time.Hour }) // the stop waits for the requests in progress
	clients := []*testClient{p.dial(), p.dial()}
	clients[0].send(getLongDeadline("a1", "left"))
	clients[1].send(pipelinedReads(3 * maxPipeline))
	p.eventually("they wait", func() bool { return len(p.requests) >= maxPipeline+1 })
	p.stop()
	p.eventually("the stop has begun", func() bool { return p.redis.draining })
	for _, c := range clients {
		c.conn.Close()
	}
	p.awaitNoClients()
	open()
	if err := <-p.done; err != nil {
		t.Error(err)
	}
	p.done <- nil
	if got := l.all(); len(got) > 0 {
		t.Errorf("the member was asked under %v", got)
	}
}

// A cache sends duplicates of its answers some milliseconds later. Once a duplicate has been seen, no duplicate may be
// taken for the answer to the next request: a connection is not reused before a duplicate would have arrived.
func TestAttemptDelayedDuplicateAnswer(t *testing.T) {
	closed := make(chan struct{}, 10)
	node := serveConns(t, func(conn net.Conn) {
		defer func() { closed <- struct{}{} }()
		in := newMemberInput(conn)
		last := ""
		for {
			words, err := readCommand(in)
			if err != nil {
				return
			}
			if last != "" { // the duplicate is sent after the next request has arrived
				io.WriteString(conn, last)
			}
			last = hitReply("value of " + words[1])
			io.WriteString(conn, last)
			if words[2] == "first" { // this duplicate is sent at once
				io.WriteString(conn, last)
			}
		}
	})
	cfg := testConfig()
	advance := manualClock(&cfg)
	p := startProxy(t, cfg, listEntry("s-1", node, "large"))
	client := p.dial()
	client.send(getCommand("a1", "first"))
	if got := client.answer(); got != "value of a1" {
		t.Fatalf("answered %q", got)
	}
	<-closed           // the connection is closed because of the unrequested bytes
	for i := range 4 { // within 15 ms
		key := fmt.Sprintf("b%d", i)
		client.send(getCommand(key, "id"+key))
		if got := client.answer(); got != "value of "+key {
			t.Fatalf("read %d was answered %q", i, got)
		}
		p.eventually("the connection rests", func() bool { return len(p.requests) == 0 })
		advance(p, 5*time.Millisecond)
	}
}
