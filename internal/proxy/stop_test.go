package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"linenloom/internal/standin"
	"linenloom/logic"
)

// A process that is told to end may be killed after its longest deadline, taken as 3 s if it is longer, and 0.7 s. Whatever hangs, what it
// has taken has an answer by then: what surely never ran, or may be repeated, is refused, and of the rest nothing is promised.
func TestStopBeforeMembersThatHang(t *testing.T) {
	l := newRoll()
	hang := func(conn net.Conn) {
		io.Copy(io.Discard, conn) // to its end
	}
	door, err := standin.NewFullListener()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { door.Close() })
	o := listen(t, func(conn net.Conn) {
		in := bufio.NewReader(conn)
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		l.note(r.Header.Get("X-Request-ID"))
		hang(conn)
	})
	cfg := leaving(false)
	cfg.Settings.Classes = append(cfg.Settings.Classes,
		logic.Class{Name: "keyed-all", SoftDeadline: time.Hour, Deadline: time.Hour, Value: 1, Effect: logic.DeduplicatedByKey, DedupWindow: time.Hour},
		logic.Class{Name: "keyed-zone", SoftDeadline: time.Hour, Deadline: time.Hour, Value: 1, Effect: logic.DeduplicatedByKey, Scope: logic.ScopeZone, DedupWindow: time.Hour})
	ask := func(class, id string) string {
		return words("OBJ.SET", "a-"+id, id, "c="+class+",d=3600000,k=1", "order")
	}
	for name, c := range map[string]struct{ member, ask, want string }{
		"an order that hangs":               {o, putLong("a1", "id", "order"), "-ERR"},
		"a read that hangs":                 {o, getLong("a1", "id"), "-BUSY"},
		"keyed, within all":                 {o, ask("keyed-all", "id"), "-BUSY"},
		"keyed, within a zone":              {o, ask("keyed-zone", "id"), "-ERR"},
		"an order that waits":               {door.Addr().String(), putLong("a1", "id", "order"), "-BUSY"},
		"an order, and more half read":      {o, putLong("a1", "id", "order") + "*4\r\n$7\r\nOBJ", "-ERR"},
		"an order, and garbage behind":      {o, putLong("a1", "id", "order") + "!\r\n", "-ERR"},
		"an order, and more than is read":   {o, putLong("a1", "id", "order") + pipelined(3*maxPipeline), "-ERR"},
		"keyed, of a class that is dropped": {o, ask("keyed-all", "id"), "-BUSY"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := start(t, cfg, entry("o-1", c.member, "origin"), entry("s-1", cache(t, func(asked) string { return miss }), "large"))
			p.Do(func() { p.killMost = 0 })
			client := p.dial()
			client.send(c.ask)
			p.eventually("it is in hand", func() bool {
				for _, r := range p.requests {
					for _, a := range r.attempts {
						if m := p.members[a.to]; m.Origin && (a.Sent() || c.member != o) {
							return true
						}
					}
				}
				return false
			})
			if strings.Contains(name, "dropped") {
				if err := p.Retune(cfg.Settings.Classes[:2], 4); err != nil {
					t.Fatal(err)
				}
			}
			p.stop()
			if got := client.answer(); !strings.HasPrefix(got, c.want) {
				t.Errorf("answered %q, want %s", got, c.want)
			}
			client.end()
		})
	}
}

// pipelined is so many reads behind one another.
func pipelined(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(getLong("c1", fmt.Sprintf("more%d", i)))
	}
	return b.String()
}

// end reads on until the connection ends, and fails if that is not by an end that the client can tell from a fault: a reset takes back
// answers that are on their way.
func (c *testClient) end() (answers int) {
	c.t.Helper()
	for {
		line, err := c.in.ReadString('\n')
		switch {
		case err == nil:
			answers++
		case errors.Is(err, io.EOF) && line == "":
			return answers
		default:
			c.t.Fatalf("after %d further answers the connection ended with %q, %v", answers, line, err)
		}
	}
}

// What happens: a client sends several commands at once, and the proxy, which is ending, reads them all, turns the first one away and ends the
// connection behind that answer. The others, read and not taken up, have no answer. Why: whether something had come was asked of the kernel only,
// not of what had been read with the command. Seen in the soak of planned restarts, seed 1031: "request 16-0-6-1 is lost ... no answer: EOF", and
// five more of its batch.
func TestCommandsReadTogetherAreAllAnsweredAtTheEnd(t *testing.T) {
	const commands = 7
	node := cache(t, func(a asked) string { return hit("value of " + a.key) })
	p := start(t, testConfig(), entry("s-1", node, "large"))
	client := p.dial()
	client.send(get("a1", "first"))
	client.answer()
	p.Do(func() { p.redis.ending, p.stopping = p.now, true })
	client.send(pipelined(commands))
	if got := client.end(); got != commands {
		t.Errorf("%d answers to %d commands", got, commands)
	}
}

// A client that goes on sending on its connection, with one command always unread, is told of the end before the process may be killed,
// and by an end that is no reset.
func TestClientThatSendsUpToTheEnd(t *testing.T) {
	node := cache(t, func(a asked) string { return hit("value of " + a.key) })
	cfg := testConfig()
	p := start(t, cfg, entry("s-1", node, "large"))
	p.Do(func() { p.killMost = 0 })
	client := p.dial()
	client.send(get("a1", "first"))
	client.answer()
	stopped := make(chan struct{})
	go func() { // writes on and on, ahead of the answers, until the connection takes nothing
		defer close(stopped)
		for i := 0; ; i++ {
			if _, err := io.WriteString(client.conn, get("a1", fmt.Sprintf("id%d", i))); err != nil {
				return
			}
		}
	}()
	p.stop()
	for {
		got := client.answer()
		if got == "" {
			break
		}
		if got != "value of a1" && !strings.HasPrefix(got, "-BUSY") {
			t.Fatalf("answered %q", got)
		}
	}
	client.conn.Close()
	<-stopped
}

// A client whose certificate, or whatever else, ends its connection still gets the answers to what it asked before.
func TestEndBehindAnswersThatAreOut(t *testing.T) {
	release := make(chan struct{})
	node := cache(t, func(a asked) string { <-release; return hit("value of " + a.key) })
	p := start(t, testConfig(), entry("s-1", node, "large"))
	client := p.dial()
	client.send(get("a1", "first"))
	p.eventually("it is out", func() bool { return len(p.requests) == 1 && p.requests[1].out == 1 })
	p.Do(func() {
		for c := range p.redis.clients {
			c.hangUp(true)
		}
	})
	client.send(get("a2", "crosses") + strings.Repeat("x", 256<<10)) // far more than is read at once: the command has been looked at by then
	p.eventually("what crosses the end has been read", func() bool {
		for c := range p.redis.clients {
			return c.quiet()
		}
		return true
	})
	close(release)
	if got := client.answer(); got != "value of a1" {
		t.Errorf("answered %q", got)
	}
	if n := client.end(); n != 0 {
		t.Errorf("%d further answers", n)
	}
}
