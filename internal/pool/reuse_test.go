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

// fencedCache returns a pool and a cache with one connection, on which a request was just answered and its
// cooldown is over.
func fencedCache(t *testing.T, cfg Config) (*testHost, *Member[*testRequest], *testLink) {
	t.Helper()
	host := newTestHost(t, cfg)
	cache := &Member[*testRequest]{Ready: true}
	host.submit(cache, 1)
	link := host.connect(0, true)
	host.answer(link)
	host.pass(CooldownTime)
	return host, cache, link
}

// A fence is sent behind each request before whose answer bytes of an earlier exchange may arrive; where it
// costs a connection, only behind those that could do harm, and behind all while a cache is suspected.
func TestWhatIsFenced(t *testing.T) {
	costly := func(h *testHost, _ *Member[*testRequest], _ *testRequest) { h.pool.fences.costly = true }
	for name, tc := range map[string]struct {
		edit func(*testHost, *Member[*testRequest], *testRequest)
		want bool
	}{
		"right after another": {func(*testHost, *Member[*testRequest], *testRequest) {}, true},
		"rested":              {func(h *testHost, _ *Member[*testRequest], _ *testRequest) { h.pass(QuarantineTime) }, false},
		"rested, but suspected": {func(h *testHost, m *Member[*testRequest], _ *testRequest) {
			h.pool.RecordStray(m)
			h.submit(m, 2)
			h.answer(h.links[0])
			h.pass(QuarantineTime)
		}, true},
		"refused before": {func(h *testHost, m *Member[*testRequest], _ *testRequest) { h.pool.RecordFence(m, false) }, false},
		"refused after answers": {func(h *testHost, m *Member[*testRequest], _ *testRequest) {
			h.pool.RecordFence(m, true)
			h.pool.RecordFence(m, false)
		}, true},
		"costly": {costly, false},
		"costly, must not run twice": {func(h *testHost, m *Member[*testRequest], x *testRequest) {
			costly(h, m, x)
			x.Once = true
		}, true},
		"costly, another cache suspected": {func(h *testHost, m *Member[*testRequest], x *testRequest) {
			costly(h, m, x)
			h.pool.RecordStray(&Member[*testRequest]{})
		}, true},
		"costly, an origin suspected": {func(h *testHost, m *Member[*testRequest], x *testRequest) {
			costly(h, m, x)
			h.pool.RecordStray(&Member[*testRequest]{Origin: true})
		}, false},
	} {
		host, cache, link := fencedCache(t, defaultConfig)
		request := &testRequest{id: 9, key: "other", Request: Request{ExpiresAt: host.now + time.Second}}
		tc.edit(host, cache, request)
		host.pool.Submit(cache, request)
		for len(host.dials) > 0 {
			host.connect(0, true)
		}
		if len(link.sent) == 1 && request.Fenced != tc.want {
			t.Errorf("%s: fenced %v", name, request.Fenced)
		}
		if len(link.sent) != 1 && tc.want {
			t.Errorf("%s: not sent on the connection", name)
		}
	}
}

// Pipelined requests are fenced whatever that costs.
func TestPipelinedRequestsAreFenced(t *testing.T) {
	host, cache, _ := fencedCache(t, defaultConfig)
	host.pool.fences.costly = true
	host.pass(QuarantineTime)
	host.submit(cache, 2)
	behind := &testRequest{id: 3, key: "other"}
	host.pool.start(cache.Conns[0], behind)
	if !behind.Fenced {
		t.Error("not fenced")
	}
}

// Fences count as costly once connections end with them, not where they merely end now and then.
func TestFencesThatEndConnectionsAreCostly(t *testing.T) {
	for answered, want := range map[int]bool{0: true, maxFencesPerClosure * minFenceClosures: true, maxFencesPerClosure*minFenceClosures + 1: false} {
		host, cache, _ := fencedCache(t, defaultConfig)
		host.pool.fences.answered = answered
		for range minFenceClosures {
			if host.pool.fences.costly {
				t.Errorf("%d answered: costly too early", answered)
			}
			conn := &Conn[*testRequest]{Member: cache, HasAnswered: true, lastFenced: true, attributableAt: host.now + time.Second}
			conn.Link = &testLink{host: host, conn: conn}
			conn.SetCloseReason(CloseByPeer)
			host.pool.HandleBroken(conn)
		}
		if got := host.pool.fences.costly; got != want {
			t.Errorf("%d answered: costly %v", answered, got)
		}
	}
}

// A connection that has rested is preferred to the one used last: its request needs no fence.
func TestRestedConnectionIsPreferred(t *testing.T) {
	host, cache, rested := fencedCache(t, defaultConfig)
	host.submit(cache, 2)
	host.submit(cache, 3)
	host.connect(0, true)
	host.answer(rested)
	host.pass(QuarantineTime)
	host.answer(host.links[1])
	host.pass(CooldownTime)
	if host.submit(cache, 4); len(rested.sent) != 1 {
		t.Error("the rested connection is not used")
	}
}

// A cache that accepts one request at a time has no fences. What must not run twice gets a connection of its
// own, everything does while a cache is suspected, and other reads use connections again as before.
func TestCachesWithoutFences(t *testing.T) {
	cfg := defaultConfig
	cfg.Multiplex = 1
	for name, tc := range map[string]struct {
		once, suspected, reused bool
	}{
		"a read":               {false, false, true},
		"must not run twice":   {true, false, false},
		"a read, suspected":    {false, true, false},
		"not twice, suspected": {true, true, false},
	} {
		host, cache, link := fencedCache(t, cfg)
		if tc.suspected {
			host.pool.RecordStray(cache)
		}
		request := &testRequest{id: 3, key: "other", Request: Request{ExpiresAt: host.now + time.Second, Once: tc.once}}
		host.pool.Submit(cache, request)
		if got := len(link.sent) == 1; got != tc.reused || request.Fenced {
			t.Errorf("%s: on the connection used before %v, fenced %v", name, got, request.Fenced)
		}
		if !tc.reused && len(host.dials) != 1 {
			t.Errorf("%s: %d dials", name, len(host.dials))
		}
	}
}

// At the limit of connections, a request that must not run twice replaces a connection that has not rested.
func TestUnsafeRequestReplacesConnectionAtTheLimit(t *testing.T) {
	cfg := defaultConfig
	cfg.Multiplex, cfg.Instances = 1, CacheConnCapacity // one connection
	host, cache, link := fencedCache(t, cfg)
	host.pool.Submit(cache, &testRequest{id: 2, key: "other", Request: Request{ExpiresAt: host.now + time.Second, Once: true}})
	if len(host.dials) != 1 || !link.closed {
		t.Errorf("%d dials, the connection closed %v", len(host.dials), link.closed)
	}
}
