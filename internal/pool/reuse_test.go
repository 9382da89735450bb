package pool

import (
	"testing"
	"time"
)

// newOriginHost returns a pool with an origin that has one connection, on which a request was just answered.
func newOriginHost(t *testing.T) (*testHost, *Member[*testRequest], *testLink) {
	t.Helper()
	host := newTestHost(t, defaultConfig)
	origin := &Member[*testRequest]{Ready: true, Origin: true}
	host.submit(origin, 1)
	link := host.connect(0, true)
	host.answer(link)
	return host, origin, link
}

func (h *testHost) submit(m *Member[*testRequest], id int) *testRequest {
	request := &testRequest{id: id, key: "k", Request: Request{ExpiresAt: h.now + time.Second}}
	h.pool.Submit(m, request)
	return request
}

func (h *testHost) pass(d time.Duration) {
	h.now += d
	h.pool.Advance(h.now)
}

// A connection to an origin carries the next request no sooner than QuarantineTime after an answer, from the
// first request of a process on; until then another connection is opened.
func TestOriginConnectionIsQuarantined(t *testing.T) {
	for rest, want := range map[time.Duration]int{0: 1, 200 * time.Millisecond: 1, QuarantineTime - 1: 1, QuarantineTime: 0} {
		host, origin, link := newOriginHost(t)
		host.pass(rest)
		host.submit(origin, 2)
		if len(host.dials) != want || len(link.sent) != 1-want {
			t.Errorf("after %v: %d dials, %d requests on the connection", rest, len(host.dials), len(link.sent))
		}
	}
}

// After bytes that no request asked for, connections to an origin rest for longer. That is forgotten after
// SuspicionTime, and with another process of the origin.
func TestSuspectOriginIsQuarantinedForLonger(t *testing.T) {
	for name, tc := range map[string]struct {
		then func(*testHost, *Member[*testRequest])
		want bool // it is suspected
	}{
		"at once":      {func(*testHost, *Member[*testRequest]) {}, true},
		"later":        {func(h *testHost, _ *Member[*testRequest]) { h.pass(SuspicionTime - time.Second) }, true},
		"in the end":   {func(h *testHost, _ *Member[*testRequest]) { h.pass(SuspicionTime) }, false},
		"after moving": {func(h *testHost, m *Member[*testRequest]) { h.pool.UpdateMember(m, true, true) }, false},
	} {
		host, origin, _ := newOriginHost(t)
		host.pool.RecordStray(origin)
		tc.then(host, origin)
		if got := host.pool.restTime(origin) == SuspectQuarantineTime; got != tc.want || host.pool.Suspect(origin) != tc.want {
			t.Errorf("%s: suspected %v", name, got)
		}
	}
}

// A suspicion is passed on to the successor process with its remaining time.
func TestSuspicionIsInherited(t *testing.T) {
	host, origin, _ := newOriginHost(t)
	host.pool.RecordStray(origin)
	host.pass(time.Minute)
	successor, inherited, _ := newOriginHost(t)
	successor.pool.RestoreStats(inherited, host.pool.Stats(origin))
	if got := successor.pool.Stats(inherited).SuspectFor; got != SuspicionTime-time.Minute {
		t.Errorf("suspected for %v", got)
	}
}

// Resting connections take no place from requests: at the limit, one of them is replaced.
func TestRestingConnectionIsReplacedAtTheLimit(t *testing.T) {
	host := newTestHost(t, defaultConfig)
	origin := &Member[*testRequest]{Ready: true, Origin: true}
	limit := host.pool.MaxConns(origin)
	for i := range limit {
		host.submit(origin, i)
	}
	var links []*testLink
	for range limit {
		links = append(links, host.connect(0, true))
	}
	host.answer(links[0])
	host.submit(origin, limit)
	if len(host.dials) != 1 || !links[0].closed {
		t.Errorf("%d dials; the resting connection is closed: %v", len(host.dials), links[0].closed)
	}
	host.answer(links[1])
	if host.submit(origin, limit+1); len(origin.Conns)+len(host.dials) > limit {
		t.Errorf("%d connections and %d dials, more than %d", len(origin.Conns), len(host.dials), limit)
	}
}

// A burst leaves few connections at rest behind.
func TestFewConnectionsRest(t *testing.T) {
	host := newTestHost(t, defaultConfig)
	origin := &Member[*testRequest]{Ready: true, Origin: true}
	const burst = 24
	for i := range burst {
		host.submit(origin, i)
	}
	for range burst {
		host.connect(0, true)
	}
	for _, link := range host.links {
		host.answer(link)
	}
	if got := len(origin.Conns); got > burst/restingDivisor {
		t.Errorf("%d connections rest", got)
	}
}
