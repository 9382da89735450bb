package proxy

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"linenloom/internal/standin"
)

// deadlineWatch checks the deadlines that the members of a proxy are told, on a clock that the test moves.
type deadlineWatch struct {
	standin.Deadlines
	t       *testing.T
	advance func(*testProxy, time.Duration)
}

// watchDeadlines has a proxy's clock be the test's, and looks at the end whether every member was told of no more than its client had left.
func watchDeadlines(t *testing.T, cfg *Config) *deadlineWatch {
	w := &deadlineWatch{t: t, advance: handClock(cfg)}
	w.Now = cfg.Clock
	t.Cleanup(func() {
		for _, v := range w.Violations() {
			t.Error(v)
		}
	})
	return w
}

// cache is a cache whose deadlines are checked.
func (w *deadlineWatch) cache(name string, answer func(asked) string) string {
	return cache(w.t, func(a asked) string {
		w.Told(name, a.id, a.attrs)
		return answer(a)
	})
}

// origin is an origin whose deadlines are checked.
func (w *deadlineWatch) origin(answer func(*http.Request) string) string {
	return origin(w.t, func(r *http.Request) string {
		w.Told("origin", r.Header.Get("X-Request-ID"), r.Header.Get("X-Attrs"))
		return answer(r)
	})
}

// get and put are commands of a client that waits for so many milliseconds. Their last byte counts as written now.
func (w *deadlineWatch) get(key, id string, wait int) string {
	attrs := fmt.Sprintf("c=tile-read,d=%d", wait)
	w.Sent(id, attrs)
	return words("OBJ.GET", key, id, attrs)
}

func (w *deadlineWatch) put(key, id string, wait int) string {
	attrs := fmt.Sprintf("c=pass-order,d=%d", wait)
	w.Sent(id, attrs)
	return words("OBJ.SET", key, id, attrs, "value")
}

// wantAttempts wants the members to have had so many first attempts, and some further ones.
func (w *deadlineWatch) wantAttempts(first int, further bool) {
	w.t.Helper()
	if f, more := w.Attempts(); f != first || more > 0 != further {
		w.t.Errorf("%d first attempts and %d further ones; want %d, and further ones: %v", f, more, first, further)
	}
}

// passing moves the clock until something has come: attempts time out meanwhile, and others follow.
func (w *deadlineWatch) passing(p *testProxy, most time.Duration, what string, came <-chan struct{}) {
	w.t.Helper()
	for range most / time.Millisecond {
		select {
		case <-came:
			return
		case <-time.After(200 * time.Microsecond):
			w.advance(p, time.Millisecond)
		}
	}
	w.t.Fatalf("never came about: %s", what)
}

// A further attempt tells its server what the client has left by then, however the attempt before it has ended and whichever server is next.
func TestFurtherAttemptTellsWhatIsLeft(t *testing.T) {
	const busyOrigin = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
	for name, first := range map[string]string{
		"missed":      miss,
		"failed":      "-ERR failed\r\n",
		"turned away": "-BUSY\r\n",
		"spoilt":      "\x8fb2\xf4\r\n",
		"silent":      "",
	} {
		t.Run("a read, "+name, func(t *testing.T) {
			t.Parallel()
			cfg := testConfig()
			w := watchDeadlines(t, &cfg)
			came, next, release := make(chan struct{}, 10), make(chan struct{}, 10), make(chan struct{})
			var asks atomic.Int32
			answer := func(a asked) string {
				if asks.Add(1) > 1 {
					next <- struct{}{}
					return miss
				}
				came <- struct{}{}
				<-release
				return first
			}
			o := w.origin(func(r *http.Request) string {
				select {
				case next <- struct{}{}:
				default:
				}
				return page("value")
			})
			p := start(t, cfg, entry("s-1", w.cache("s-1", answer), "large"), entry("s-2", w.cache("s-2", answer), "large"), entry("o-1", o, "origin"))
			client := p.dial()
			client.send(w.get("a1", "id", 8000))
			<-came
			w.advance(p, 2500*time.Millisecond) // before the attempt's own time is up
			if first != "" {
				close(release)
			} else {
				defer close(release)
			}
			w.passing(p, 5*time.Second, "another attempt", next)
			w.passing(p, 5*time.Second, "the answer", answered(client, "value"))
			w.wantAttempts(1, true)
		})
	}
	t.Run("an order, turned away", func(t *testing.T) {
		t.Parallel()
		cfg := testConfig()
		w := watchDeadlines(t, &cfg)
		came, release := make(chan struct{}, 10), make(chan struct{})
		var asks atomic.Int32
		o := w.origin(func(*http.Request) string {
			if asks.Add(1) == 1 {
				came <- struct{}{}
				<-release
				return busyOrigin
			}
			return page("receipt")
		})
		p := start(t, cfg, entry("o-1", o, "origin"))
		client := p.dial()
		client.send(w.put("a1", "id", 8000))
		w.passing(p, time.Second, "the first attempt", came)
		w.advance(p, 2500*time.Millisecond)
		close(release)
		w.passing(p, 5*time.Second, "the receipt", answered(client, "receipt"))
		w.wantAttempts(1, true)
	})
}

// answered tells once a client has had the answer that it is to have.
func answered(c *testClient, want string) <-chan struct{} {
	has := make(chan struct{})
	go func() {
		if got := c.answer(); got != want {
			c.t.Errorf("answered %q, want %q", got, want)
		}
		close(has)
	}()
	return has
}
