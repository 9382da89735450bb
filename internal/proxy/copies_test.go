package proxy

import (
	"fmt"
	"io"
	"math/rand/v2"
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
)

// transit is a scene: a proxy before two caches, one of which is far away, with relays that count the copies that members have in hand.
type transit struct {
	*testProxy
	t      *testing.T
	copies *standin.DuplicateChecker
	client *testClient
	warmed int // keys that were asked for to warm up
}

// noise is what no member should send, and ends a connection.
const noise = "\x8fb2\xf4\r\n"

// relayed is a member behind a relay, with the time that bytes take there and back, and by how much later the first ones of a connection come.
func (s *transit) relayed(name, to, kind string, there, back, handshake time.Duration) discovery.Member {
	s.t.Helper()
	r, err := standin.NewRelay(name, to, kind == "origin", there, back, s.copies)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(r.Close)
	r.SetHandshake(func() time.Duration { return handshake })
	return entry(name, r.Addr(), kind)
}

// ask sends a read and tells whether it was written to the far member first.
func (s *transit) ask(key, id string, wait int) (far bool) {
	s.t.Helper()
	s.client.send(words("OBJ.GET", key, id, fmt.Sprint("c=tile-read,d=", wait)))
	s.eventually("it is written", func() bool {
		return s.copies.Written("far", id)+s.copies.Written("near", id)+s.copies.Written("origin", id) > 0
	})
	return s.copies.Written("far", id) > 0
}

// farKeys asks for keys until so many have their place at the far member, and its answers count as clean.
func (s *transit) farKeys(n, most int) (keys []string) {
	s.t.Helper()
	for i := 0; len(keys) < n; i++ {
		if i == most {
			s.t.Fatalf("of %d keys, %d have their place at the far member", most, len(keys))
		}
		s.warmed++
		key := fmt.Sprint("w", s.warmed)
		if s.ask(key, "warm-"+key, 8000) {
			keys = append(keys, key)
		}
		if got := s.client.answer(); got != "value of "+key {
			s.t.Fatalf("warming up: answered %q", got)
		}
	}
	return keys
}

func (s *transit) verdict() {
	s.t.Helper()
	if v := s.copies.Violations(); len(v) > 0 {
		s.t.Errorf("%d second copies:\n%s", len(v), strings.Join(v, "\n"))
	}
}

// What happens: a read is written to a member in another zone, and its connection ends right after for something else: noise that comes on it, or
// another read in front of it. It is sent again at once, to a nearer member. That one comes first; then the first one comes, while the second is
// in hand: two at a time, which the protocol does not allow.
//
// Why: the end of a connection does not call back what has gone out on it, and the next attempt was written without regard to how long ago the one
// before was. With -debug: "attempt=0 status=error out_ms=1.2", "attempt=1" written in the same event.
func TestFurtherAttemptsWaitForWhatIsInTransit(t *testing.T) {
	for name, behind := range map[string]bool{"noise before its answer": false, "another's answer is noise": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &transit{t: t, copies: standin.NewDuplicateChecker()}
			spoil, answer := make(chan struct{}), make(chan struct{})
			far := listen(t, func(conn net.Conn) {
				go func() {
					select {
					case <-spoil:
						io.WriteString(conn, noise)
					case <-t.Context().Done():
					}
				}()
				for in := resp.NewReader(conn, 4096); ; {
					w, err := readCommand(in)
					if err != nil {
						return
					}
					if !strings.HasPrefix(w[2], "first") {
						io.WriteString(conn, hit("value of "+w[1]))
					}
				}
			})
			near := cache(t, func(a asked) string {
				if a.id == "second" {
					<-answer
				}
				return hit("value of " + a.key)
			})
			o := origin(t, func(r *http.Request) string { return page("value of " + r.URL.Path[1:]) })
			cfg := testConfig()
			cfg.Multiplex, cfg.Settings.Instances = 64, pool.CacheConnCapacity // so that there is one connection to each cache
			s.testProxy = start(t, cfg,
				s.relayed("far", far, "large", 60*time.Millisecond, 40*time.Millisecond, 0),
				s.relayed("near", near, "large", 0, 0, 0), s.relayed("origin", o, "origin", 0, 0, 0))
			s.eventually("it is set up", func() bool { s.ups.SetMaxPipelineAge(patience); return len(s.members) == 3 })
			s.client = s.dial()
			keys := s.farKeys(pool.MinCleanAnswers+2, 400)
			if behind {
				s.ask(keys[0], "first", 8000)
				s.eventually("the first has come", func() bool { return s.copies.Delivered("first") == 1 })
			}
			if !s.ask(keys[1], "second", 8000) {
				t.Fatal("the read was not written to the far member")
			}
			spoil <- struct{}{}
			if behind { // early on, what only stood behind another is sent to the same member again
				s.eventually("it is written again", func() bool { return s.copies.Written("far", "second") == 2 })
				spoil <- struct{}{}
			}
			s.eventually("all of its attempts have come", func() bool {
				return s.copies.Written("near", "second") == 1 && s.copies.Delivered("second") == s.copies.Written("", "second")
			})
			close(answer)
			for range map[bool]int{false: 1, true: 2}[behind] {
				if got := s.client.answer(); !strings.HasPrefix(got, "value of ") {
					t.Errorf("answered %q", got)
				}
			}
			s.verdict()
		})
	}
}

// What happens, where the way to a member takes now longer, now less, as by two paths: a read is written on a connection that is slow, and that ends
// right after for noise. The next attempt is written elsewhere once the least time that an answer has taken is over, and comes first.
//
// Why: how long a request is under way was taken from the quickest answers. Seen with all tests three times beside each other: "a second copy at b-2
// (written at 4106.3 ms, came at 4108.7 ms, connection ended at 4107.7 ms), while one is out at o-1 (written at 4108.1 ms, came at 4108.1 ms)".
func TestFurtherAttemptsWaitWhereTransitVaries(t *testing.T) {
	t.Parallel()
	const rounds, slow = 3, 60 * time.Millisecond
	s := &transit{t: t, copies: standin.NewDuplicateChecker()}
	var mu sync.Mutex
	var conns []net.Conn
	far := listen(t, func(conn net.Conn) {
		mu.Lock()
		conns = append(conns, conn)
		mu.Unlock()
		for in := resp.NewReader(conn, 4096); ; {
			w, err := readCommand(in)
			if err != nil {
				return
			}
			if !strings.HasPrefix(w[2], "round") {
				io.WriteString(conn, hit("value of "+w[1]))
			}
		}
	})
	spoil := func() {
		mu.Lock()
		defer mu.Unlock()
		for _, conn := range conns {
			io.WriteString(conn, noise)
		}
		conns = nil
	}
	answer := make(chan struct{})
	near := cache(t, func(a asked) string {
		if strings.HasPrefix(a.id, "round") {
			<-answer
		}
		return hit("value of " + a.key)
	})
	o := origin(t, func(r *http.Request) string { return page("value of " + r.URL.Path[1:]) })
	cfg := testConfig()
	cfg.Settings.Instances = pool.CacheConnCapacity // so that there is one connection to each cache
	relay, err := standin.NewRelay("far", far, false, 0, 0, s.copies)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	var made atomic.Int32
	relay.SetDelay(func() (there, back time.Duration) { return time.Duration(made.Add(1)%2) * slow, 0 })
	s.testProxy = start(t, cfg, entry("far", relay.Addr(), "large"), s.relayed("near", near, "large", 0, 0, 0), s.relayed("origin", o, "origin", 0, 0, 0))
	s.eventually("it is set up", func() bool { s.ups.SetMaxPipelineAge(patience); return len(s.members) == 3 })
	s.client = s.dial()
	for round := range rounds {
		keys := s.farKeys(pool.MinCleanAnswers+2, 400)
		id := fmt.Sprint("round", round)
		if !s.ask(keys[0], id, 8000) {
			t.Fatal("the read was not written to the far member")
		}
		spoil()
		s.eventually("all of its attempts have come", func() bool {
			return s.copies.Written("near", id) == 1 && s.copies.Delivered(id) == s.copies.Written("", id)
		})
		answer <- struct{}{}
		if got := s.client.answer(); !strings.HasPrefix(got, "value of ") {
			t.Errorf("answered %q", got)
		}
	}
	s.verdict()
}

// What happens: the first read on a connection to a member that is held up for a moment comes there some tens of milliseconds after it was
// written, when its handshake is through. Its time is up before that; the next attempt is written elsewhere, and is in hand when it comes.
//
// Why: a time-out took no account of the handshake. Seen in the log (-debug) of rate+silent+leave, seed 941303921715, in each play that broke the
// rule: "attempt=0 status=timeout waited_ms=116.5 left_at_write_ms=3.5 out_ms=4.3 first_on_connection=true", at a member that answered nothing for 18
// to 45 ms around it.
func TestFirstReadOnAConnectionIsGivenItsHandshake(t *testing.T) {
	t.Parallel()
	const aim = 200 * time.Millisecond // of which a first attempt has 120 ms
	s := &transit{t: t, copies: standin.NewDuplicateChecker()}
	quick := cache(t, func(a asked) string { return hit("value of " + a.key) })
	hangs := listen(t, func(conn net.Conn) { readAll(conn) })
	o := origin(t, func(r *http.Request) string { return page("value of " + r.URL.Path[1:]) })
	cfg := testConfig()
	cfg.Settings.ConnectTimeout = 250 * time.Millisecond
	cfg.Settings.Classes[0].SoftDeadline, cfg.Settings.Classes[0].Deadline = aim, 5*aim
	s.testProxy = start(t, cfg,
		s.relayed("far", quick, "large", 10*time.Millisecond, 10*time.Millisecond, 130*time.Millisecond),
		s.relayed("near", hangs, "large", 0, 0, 0), s.relayed("origin", o, "origin", 0, 0, 0))
	s.eventually("it is set up", func() bool { return len(s.members) == 3 })
	s.client = s.dial()
	asked := 0
	for i := range 40 {
		if s.ask(fmt.Sprint("k", rand.Uint32()), fmt.Sprint("id", i), 1000) {
			asked++
		}
		s.client.answer()
		if asked == 3 {
			break
		}
	}
	if asked == 0 {
		t.Fatal("no read went to the far member first")
	}
	s.verdict()
}
