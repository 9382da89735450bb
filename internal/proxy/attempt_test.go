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
	"linenloom/internal/resp"
)

// A member that is told to drain, or goes, while a connection to it is coming up gets nothing on it; what waited is answered at once, or
// goes elsewhere.
func TestDrainDuringTheDial(t *testing.T) {
	for _, phase := range []string{discovery.PhaseTerminating, discovery.PhaseTerminated} {
		for name, c := range map[string]struct{ kind, ask, want string }{
			"a read":   {"large", getLongDeadline("a1", "id"), "-BUSY"},
			"an order": {"origin", putLongDeadline("a1", "id", "order"), "-BUSY"},
		} {
			t.Run(name+", "+phase, func(t *testing.T) {
				t.Parallel()
				l := newRequestLog()
				door, open := blockedMember(t, l, c.kind)
				m := entry("s-1", door, c.kind)
				r := newRegistry(t, discoveryList(1, true, m))
				p := startAt(t, noTimeoutConfig(false), r)
				<-r.watched
				client := p.dial()
				client.send(c.ask)
				p.eventually("it waits for the connection", func() bool { return len(p.memberAt(door).Waiting) == 1 })
				m.Phase = phase
				r.tell(discoveryList(2, false, m))
				if got := client.answer(); !strings.HasPrefix(got, c.want) {
					t.Errorf("answered %q, want %s", got, c.want)
				}
				open()
				p.eventually("the dial has ended", func() bool { return p.ups.OpenConns() == 0 })
				if got := l.all(); len(got) > 0 {
					t.Errorf("the member that drains was asked under %v", got)
				}
			})
		}
	}
}

// The answer and the deadline, in both orders: the client has one answer, and the next one on its connection is the next request's own.
func TestAnswerAndDeadline(t *testing.T) {
	for _, late := range []bool{false, true} {
		for name, c := range map[string]struct{ ask, timely, late string }{
			"a read":   {get("a1", "id"), "value of a1", "-BUSY"},
			"an order": {put("a1", "id", "order"), "value of a1", "-ERR"},
		} {
			t.Run(fmt.Sprintf("%s, late %v", name, late), func(t *testing.T) {
				came, release := make(chan struct{}, 10), make(chan struct{})
				node := cache(t, func(a asked) string {
					if came <- struct{}{}; a.id == "id" {
						<-release
					}
					return hit("value of " + a.key)
				})
				o := origin(t, func(r *http.Request) string {
					if came <- struct{}{}; r.Header.Get("X-Request-ID") == "id" {
						<-release
					}
					return page("value of " + r.URL.Path[1:])
				})
				cfg := testConfig()
				cfg.Settings.MaxAttempts = 1
				on := handClock(&cfg)
				p := start(t, cfg, entry("s-1", node, "large"), entry("o-1", o, "origin"))
				client := p.dial()
				client.send(c.ask)
				until := func(what string, c <-chan struct{}) { // lets the clock pass until something has come, far before any aim
					t.Helper()
					for range 2000 {
						select {
						case <-c:
							return
						case <-time.After(time.Millisecond):
							on(p, time.Millisecond)
						}
					}
					t.Fatalf("never came about: %s", what)
				}
				until("it is at its member", came)
				want := c.timely
				if late {
					on(p, 9*time.Second)
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
					on(p, 9*time.Second)
				}
				client.send(get("a2", "next"))
				until("the next is at its member", came)
				if got := client.answer(); got != "value of a2" {
					t.Errorf("the next read was answered %q", got)
				}
			})
		}
	}
}

// A stop does not keep what a client has left behind: it is withdrawn then too, also behind commands that were not read.
func TestClientLeavesDuringAStop(t *testing.T) {
	l := newRequestLog()
	door, open := blockedMember(t, l, "large")
	p := start(t, noTimeoutConfig(false), entry("s-1", door, "large"))
	p.Do(func() { p.killMost = time.Hour }) // the stop waits for what is in hand
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

// A cache that sends second copies of its answers some milliseconds late: once one has been seen, none is taken for the answer to the next
// request, as that is not sent on the connection before the copy would have come.
func TestSecondAnswerSomeMillisecondsLate(t *testing.T) {
	ended := make(chan struct{}, 10)
	node := listen(t, func(conn net.Conn) {
		defer func() { ended <- struct{}{} }()
		in := resp.NewReader(conn, 4096)
		last := ""
		for {
			words, err := readCommand(in)
			if err != nil {
				return
			}
			if last != "" { // the copy crosses the next request
				io.WriteString(conn, last)
			}
			last = hit("value of " + words[1])
			io.WriteString(conn, last)
			if words[2] == "first" { // and here it comes at once
				io.WriteString(conn, last)
			}
		}
	})
	cfg := testConfig()
	on := handClock(&cfg)
	p := start(t, cfg, entry("s-1", node, "large"))
	client := p.dial()
	client.send(get("a1", "first"))
	if got := client.answer(); got != "value of a1" {
		t.Fatalf("answered %q", got)
	}
	<-ended            // the connection, for what nobody asked for
	for i := range 4 { // within 15 ms
		key := fmt.Sprintf("b%d", i)
		client.send(get(key, "id"+key))
		if got := client.answer(); got != "value of "+key {
			t.Fatalf("read %d was answered %q", i, got)
		}
		p.eventually("the connection rests", func() bool { return len(p.requests) == 0 })
		on(p, 5*time.Millisecond)
	}
}
