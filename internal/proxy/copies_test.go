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
	"linenloom/internal/standin"
)

// transitScenario is a proxy in front of two caches, one of which is far away, with relays that count
// the copies of a request that members have at a time.
type transitScenario struct {
	*testProxy
	t          *testing.T
	copies     *standin.DuplicateChecker
	client     *testClient
	warmupKeys int // number of keys requested during warm-up
}

// invalidAnswer is an answer that no member should send; it ends the connection.
const invalidAnswer = "\x8fb2\xf4\r\n"

// startRelay starts a relay in front of a member, with one-way delays and an additional delay of the
// first bytes of a connection.
func (s *transitScenario) startRelay(name, to, kind string, there, back, handshake time.Duration) discovery.Member {
	s.t.Helper()
	r, err := standin.NewRelay(name, to, kind == "origin", there, back, s.copies)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(r.Close)
	r.SetHandshake(func() time.Duration { return handshake })
	return listEntry(name, r.Addr(), kind)
}

// sendRead sends a read and reports whether it was written to the far member first.
func (s *transitScenario) sendRead(key, id string, wait int) (far bool) {
	s.t.Helper()
	s.client.send(respCommand("OBJ.GET", key, id, fmt.Sprint("c=tile-read,d=", wait)))
	s.eventually("it is written", func() bool {
		return s.copies.Written("far", id)+s.copies.Written("near", id)+s.copies.Written("origin", id) > 0
	})
	return s.copies.Written("far", id) > 0
}

// keysOfFarMember requests keys until n of them have been sent to the far member first and its answers
// count as clean.
func (s *transitScenario) keysOfFarMember(n, maxKeys int) (keys []string) {
	s.t.Helper()
	for i := 0; len(keys) < n; i++ {
		if i == maxKeys {
			s.t.Fatalf("of %d keys, %d have their place at the far member", maxKeys, len(keys))
		}
		s.warmupKeys++
		key := fmt.Sprint("w", s.warmupKeys)
		if s.sendRead(key, "warm-"+key, 8000) {
			keys = append(keys, key)
		}
		if got := s.client.answer(); got != "value of "+key {
			s.t.Fatalf("warming up: answered %q", got)
		}
	}
	return keys
}

func (s *transitScenario) reportViolations() {
	s.t.Helper()
	if v := s.copies.Violations(); len(v) > 0 {
		s.t.Errorf("%d second copies:\n%s", len(v), strings.Join(v, "\n"))
	}
}

// A read is written to a member in another zone, and right afterwards its connection ends for another
// reason: an invalid answer arrives, or another read in front of it gets one. The retry goes to a
// nearer member at once and arrives first. Then the first attempt arrives while the second is being
// processed: two copies at a time, which the protocol forbids.
//
// This happens because the end of a connection does not recall what was sent on it, if the next attempt
// is written regardless of how long ago the previous one was. The debug log showed "attempt=0
// status=error out_ms=1.2" and "attempt=1" written in the same event.
func TestFurtherAttemptsWaitForRequestsInTransit(t *testing.T) {
	for name, behind := range map[string]bool{"noise before its answer": false, "another's answer is noise": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			scenario := &transitScenario{t: t, copies: standin.NewDuplicateChecker()}
			spoil, answer := make(chan struct{}), make(chan struct{})
			far := serveConns(t, func(conn net.Conn) {
				go func() {
					select {
					case <-spoil:
						io.WriteString(conn, invalidAnswer)
					case <-t.Context().Done():
					}
				}()
				for in := newMemberInput(conn); ; {
					w, err := readCommand(in)
					if err != nil {
						return
					}
					if !strings.HasPrefix(w[2], "first") {
						io.WriteString(conn, hitReply("value of "+w[1]))
					}
				}
			})
			near := startCache(t, func(a memberCommand) string {
				if a.id == "second" {
					<-answer
				}
				return hitReply("value of " + a.key)
			})
			o := startOrigin(t, func(r *http.Request) string { return httpOK("value of " + r.URL.Path[1:]) })
			cfg := testConfig()
			cfg.Multiplex, cfg.Settings.Instances = 64, pool.CacheConnCapacity // one connection to each cache
			scenario.testProxy = startProxy(t, cfg,
				scenario.startRelay("far", far, "large", 60*time.Millisecond, 40*time.Millisecond, 0),
				scenario.startRelay("near", near, "large", 0, 0, 0), scenario.startRelay("origin", o, "origin", 0, 0, 0))
			scenario.eventually("it is set up", func() bool { scenario.upstreams.SetMaxPipelineAge(testTimeout); return len(scenario.members) == 3 })
			scenario.client = scenario.dial()
			keys := scenario.keysOfFarMember(pool.MinCleanAnswers+2, 400)
			if behind {
				scenario.sendRead(keys[0], "first", 8000)
				scenario.eventually("the first has come", func() bool { return scenario.copies.Delivered("first") == 1 })
			}
			if !scenario.sendRead(keys[1], "second", 8000) {
				t.Fatal("the read was not written to the far member")
			}
			spoil <- struct{}{}
			if behind { // a read that was only pipelined behind another one is first retried at the same member
				scenario.eventually("it is written again", func() bool { return scenario.copies.Written("far", "second") == 2 })
				spoil <- struct{}{}
			}
			scenario.eventually("all of its attempts have come", func() bool {
				return scenario.copies.Written("near", "second") == 1 && scenario.copies.Delivered("second") == scenario.copies.Written("", "second")
			})
			close(answer)
			for range map[bool]int{false: 1, true: 2}[behind] {
				if got := scenario.client.answer(); !strings.HasPrefix(got, "value of ") {
					t.Errorf("answered %q", got)
				}
			}
			scenario.reportViolations()
		})
	}
}

// The transit time to a member varies, as with two network paths. A read is written on a slow
// connection that ends right afterwards with an invalid answer. The next attempt is written elsewhere
// after the shortest answer time seen so far, and arrives first.
//
// This happens if the transit time is derived from the quickest answers. Seen with all tests running
// three times in parallel: "a second copy at b-2 (written at 4106.3 ms, came at 4108.7 ms, connection
// ended at 4107.7 ms), while one is out at o-1 (written at 4108.1 ms, came at 4108.1 ms)".
func TestFurtherAttemptsWaitWhenTransitTimeVaries(t *testing.T) {
	t.Parallel()
	const rounds, slow = 3, 60 * time.Millisecond
	scenario := &transitScenario{t: t, copies: standin.NewDuplicateChecker()}
	var mu sync.Mutex
	var conns []net.Conn
	far := serveConns(t, func(conn net.Conn) {
		mu.Lock()
		conns = append(conns, conn)
		mu.Unlock()
		for in := newMemberInput(conn); ; {
			w, err := readCommand(in)
			if err != nil {
				return
			}
			if !strings.HasPrefix(w[2], "round") {
				io.WriteString(conn, hitReply("value of "+w[1]))
			}
		}
	})
	spoil := func() {
		mu.Lock()
		defer mu.Unlock()
		for _, conn := range conns {
			io.WriteString(conn, invalidAnswer)
		}
		conns = nil
	}
	answer := make(chan struct{})
	near := startCache(t, func(a memberCommand) string {
		if strings.HasPrefix(a.id, "round") {
			<-answer
		}
		return hitReply("value of " + a.key)
	})
	o := startOrigin(t, func(r *http.Request) string { return httpOK("value of " + r.URL.Path[1:]) })
	cfg := testConfig()
	cfg.Settings.Instances = pool.CacheConnCapacity // one connection to each cache
	relay, err := standin.NewRelay("far", far, false, 0, 0, scenario.copies)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	var made atomic.Int32
	relay.SetDelay(func() (there, back time.Duration) { return time.Duration(made.Add(1)%2) * slow, 0 })
	scenario.testProxy = startProxy(t, cfg, listEntry("far", relay.Addr(), "large"), scenario.startRelay("near", near, "large", 0, 0, 0), scenario.startRelay("origin", o, "origin", 0, 0, 0))
	scenario.eventually("it is set up", func() bool { scenario.upstreams.SetMaxPipelineAge(testTimeout); return len(scenario.members) == 3 })
	scenario.client = scenario.dial()
	for round := range rounds {
		keys := scenario.keysOfFarMember(pool.MinCleanAnswers+2, 400)
		id := fmt.Sprint("round", round)
		if !scenario.sendRead(keys[0], id, 8000) {
			t.Fatal("the read was not written to the far member")
		}
		spoil()
		scenario.eventually("all of its attempts have come", func() bool {
			return scenario.copies.Written("near", id) == 1 && scenario.copies.Delivered(id) == scenario.copies.Written("", id)
		})
		answer <- struct{}{}
		if got := scenario.client.answer(); !strings.HasPrefix(got, "value of ") {
			t.Errorf("answered %q", got)
		}
	}
	scenario.reportViolations()
}

// The first read on a connection to a member that stalls briefly arrives some tens of milliseconds
// after it was written, when the handshake is complete. If it has timed out by then, the next attempt
// is written elsewhere and is being processed when the first one arrives.
//
// This happens if the timeout does not account for the handshake. The debug log of rate+silent+leave,
// seed 941303921715, showed in each failing run "attempt=0 status=timeout waited_ms=116.5
// left_at_write_ms=3.5 out_ms=4.3 first_on_connection=true", at a member that answered nothing for 18
// to 45 ms around it.
func TestFirstReadOnAConnectionWaitsForTheHandshake(t *testing.T) {
	t.Parallel()
	const aim = 200 * time.Millisecond // of which a first attempt has 120 ms
	scenario := &transitScenario{t: t, copies: standin.NewDuplicateChecker()}
	quick := startCache(t, func(a memberCommand) string { return hitReply("value of " + a.key) })
	hangs := serveConns(t, func(conn net.Conn) { readAll(conn) })
	o := startOrigin(t, func(r *http.Request) string { return httpOK("value of " + r.URL.Path[1:]) })
	cfg := testConfig()
	cfg.Settings.ConnectTimeout = 250 * time.Millisecond
	cfg.Settings.Classes[0].SoftDeadline, cfg.Settings.Classes[0].Deadline = aim, 5*aim
	scenario.testProxy = startProxy(t, cfg,
		scenario.startRelay("far", quick, "large", 10*time.Millisecond, 10*time.Millisecond, 130*time.Millisecond),
		scenario.startRelay("near", hangs, "large", 0, 0, 0), scenario.startRelay("origin", o, "origin", 0, 0, 0))
	scenario.eventually("it is set up", func() bool { return len(scenario.members) == 3 })
	scenario.client = scenario.dial()
	asked := 0
	for i := range 40 {
		if scenario.sendRead(fmt.Sprint("k", rand.Uint32()), fmt.Sprint("id", i), 1000) {
			asked++
		}
		scenario.client.answer()
		if asked == 3 {
			break
		}
	}
	if asked == 0 {
		t.Fatal("no read went to the far member first")
	}
	scenario.reportViolations()
}
