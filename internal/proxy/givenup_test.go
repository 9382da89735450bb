package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"linenloom/internal/reasons"
	"linenloom/logic"
)

// manualClock gives the proxy a clock that the test advances, a millisecond at a time.
func manualClock(cfg *Config) (advance func(*testProxy, time.Duration)) {
	var now atomic.Int64
	cfg.Clock = func() time.Duration { return time.Duration(now.Load()) }
	return func(p *testProxy, d time.Duration) {
		for range d / time.Millisecond {
			now.Add(int64(time.Millisecond))
			p.Tick()
		}
	}
}

// boundedClock gives the proxy a clock that runs up to a limit far below any deadline: what needs more
// time never happens.
func boundedClock(t *testing.T, cfg *Config, limit time.Duration) (run func(p *testProxy)) {
	var now atomic.Int64
	cfg.Clock = func() time.Duration { return time.Duration(now.Load()) }
	return func(p *testProxy) {
		stop, ended := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(ended)
			for range int(limit / time.Millisecond) {
				select {
				case <-stop:
					return
				case <-time.After(time.Millisecond):
					now.Add(int64(time.Millisecond))
					p.Tick()
				}
			}
		}()
		t.Cleanup(func() { close(stop); <-ended })
	}
}

// A request that the decision module gives up is answered at once: the clock stops long before the
// request's soft deadline.
func TestGivenUpIsAnsweredAtOnce(t *testing.T) {
	failing := func(*http.Request) string { return "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n" }
	for name, c := range map[string]struct {
		cache  string
		origin func(t *testing.T) string
		ask    string
		want   string
		what   reasons.Outcome
		why    logic.Reason
	}{
		"an order that has run, and failed": {missReply, func(t *testing.T) string { return startOrigin(t, failing) },
			setCommand("p", "1", "a pass"), "-ERR", reasons.Failed, logic.MayHaveRun},
		"an order whose connection broke": {missReply, func(t *testing.T) string {
			return serveConns(t, func(conn net.Conn) {
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					io.Copy(io.Discard, r.Body) // up to the last byte, which is sent separately
				}
			})
		}, setCommand("p", "1", "a pass"), "-ERR", reasons.Failed, logic.MayHaveRun},
		"an order that is refused each time": {missReply, func(t *testing.T) string {
			return startOrigin(t, func(*http.Request) string {
				return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
			})
		}, setCommand("p", "1", "a pass"), "-BUSY", reasons.Refused, logic.OutOfTries},
		"a read that every cache fails": {"-ERR failed\r\n", func(t *testing.T) string { return startOrigin(t, failing) },
			getCommand("k", "1"), "-BUSY", reasons.Refused, logic.OutOfTries},
		"a read that the origin fails": {missReply, func(t *testing.T) string { return startOrigin(t, failing) },
			getCommand("k", "1"), "-BUSY", reasons.Refused, logic.OutOfTries},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig()
			run := boundedClock(t, &cfg, time.Second)
			answer := func(memberCommand) string { return c.cache }
			p := startProxy(t, cfg, listEntry("a", startCache(t, answer), "large"), listEntry("b", startCache(t, answer), "large"),
				listEntry("c", startCache(t, answer), "large"), listEntry("d", startCache(t, answer), "large"), listEntry("o", c.origin(t), "origin"))
			run(p)
			client := p.dial()
			client.send(c.ask)
			if got := client.answer(); !strings.HasPrefix(got, c.want) {
				t.Errorf("answered %q, want %q", got, c.want)
			}
			if n := p.Reasons().Total(c.what, c.why); n != 1 {
				t.Errorf("counted as %v", p.Reasons().Attrs())
			}
		})
	}
}
