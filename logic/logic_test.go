package logic

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func TestMissIsFetchedAndNextReadIsCoalesced(t *testing.T) {
	host := newHost(t, testSettings(), 1)
	host.setMembers(ListCached, withOrigin(6)...)
	req := host.request(Request{ID: 1, Key: 77})
	cache := req.attempts[0].member
	host.advance(10 * ms)
	host.endAttempt(1, 0, StatusMiss)
	if len(req.attempts) != 2 || req.attempts[1].member != originID {
		t.Fatalf("after a miss: sent %+v, want the origin second", req.attempts)
	}
	// Request coalescing: a second read of the key waits for the fetch, then reads the cache.
	second := host.request(Request{ID: 2, Key: 77})
	if len(second.attempts) != 0 {
		t.Fatalf("a read of a key being fetched was sent at once: %+v", second.attempts)
	}
	host.advance(50 * ms)
	host.endAttempt(1, 1, StatusOK)
	if len(second.attempts) != 1 || second.attempts[0].member != cache {
		t.Fatalf("after the fetch: sent %+v, want cache %d", second.attempts, cache)
	}
	host.endAttempt(2, 0, StatusOK)
	host.advance(5 * time.Second)
	host.checkViolations()
	if len(host.balancer.requests) != 0 || len(host.balancer.fetchWaiters) != 0 {
		t.Errorf("left behind: %d requests, %d fetches", len(host.balancer.requests), len(host.balancer.fetchWaiters))
	}
}

// If the client of a queued fetch disconnects, the requests that wait for the fetch must be routed again.
func TestCancelledFetchOwnerReleasesWaiters(t *testing.T) {
	settings := testSettings()
	host := newHost(t, settings, 1)
	host.setMembers(ListCached, withOrigin(3)...)
	origin := host.balancer.origins[0]
	origin.limit, origin.latency, origin.lastSentAt = 0.25, 0.2, host.now
	host.request(Request{ID: 1, Key: 5})
	host.endAttempt(1, 0, StatusMiss) // queued: the origin has no capacity
	second := host.request(Request{ID: 2, Key: 5})
	host.requests[1].finalAnswers = 1
	host.balancer.RequestCancelled(host.now, 1)
	if len(second.attempts) == 0 {
		t.Fatal("the waiting read was not sent on when the fetch's owner left")
	}
	host.checkViolations()
}

// After a slow phase the latency estimate of the origin is above every soft deadline. Fetches must still
// be sent, since only they can lower it.
func TestSlowOriginStillGetsFetches(t *testing.T) {
	host := newHost(t, testSettings(), 1)
	host.setMembers(ListCached, withOrigin(3)...)
	host.balancer.origins[0].latency = 30
	req := host.request(Request{ID: 1, Key: 5})
	host.endAttempt(1, 0, StatusMiss)
	if len(req.attempts) != 2 {
		t.Fatalf("sent %+v, want a fetch", req.attempts)
	}
	host.checkViolations()
}

// A request that must be answered before any member could answer it is not sent.
func TestRequestWithoutEnoughTimeIsNotSent(t *testing.T) {
	for name, ask := range map[string]Request{
		"a read":   {Key: 5},
		"an order": {Key: 5, Class: 1, Write: true},
	} {
		host := newHost(t, testSettings(), 1)
		host.setMembers(ListCached, withOrigin(3)...)
		ask.ID, ask.Deadline = 1, host.now+host.balancer.answerMargin()
		if req := host.request(ask); len(req.attempts) != 0 || req.finalAnswers != 1 {
			t.Errorf("%s: sent %+v, answered %d times", name, req.attempts, req.finalAnswers)
		}
		ask.ID, ask.Deadline = 2, host.now+host.balancer.answerMargin()+ms
		if req := host.request(ask); len(req.attempts) != 1 {
			t.Errorf("%s with a little more time: sent %+v", name, req.attempts)
		}
	}
}

func TestAtMostOnceIsNotRepeatedAfterReset(t *testing.T) {
	host := newHost(t, testSettings(), 1)
	host.setMembers(ListCached, withOrigin(3)...)
	req := host.request(Request{ID: 1, Key: 5, Class: 1, Write: true})
	host.endAttempt(1, 0, StatusFull) // did not run: may be sent again
	host.advance(50 * ms)
	if len(req.attempts) != 2 {
		t.Fatalf("a rejected write was not sent again: %+v", req.attempts)
	}
	host.endAttempt(1, 1, StatusReset)
	host.advance(10 * time.Second)
	if len(req.attempts) != 2 || req.finalAnswers != 1 {
		t.Errorf("sent %d times, answered %d times; want 2 and 1", len(req.attempts), req.finalAnswers)
	}
	if !slices.ContainsFunc(host.log, func(s string) bool { return s[len(s)-6:] == "fail 1" }) {
		t.Error("a write that may have run was not failed")
	}
	host.checkViolations()
}

func TestDrainingMemberGetsNoRequests(t *testing.T) {
	host := newHost(t, testSettings(), 1)
	host.setMembers(ListCached, withOrigin(2)...)
	first := host.request(Request{ID: 1, Key: 9}).attempts[0].member
	host.endAttempt(1, 0, StatusOK)
	host.setMembers(ListDelta, Member{ID: first, State: Draining, Weight: 1})
	if to := host.request(Request{ID: 2, Key: 9}).attempts[0].member; to == first {
		t.Errorf("sent to member %d, which drains", to)
	}
	host.checkViolations()
}

// A key that exceeds the capacity of one cache is split; with few proxies, each one uses several of its
// caches.
func TestHotKeyIsSplit(t *testing.T) {
	settings := testSettings()
	settings.Instances = 1
	host := newHost(t, settings, 1)
	host.setMembers(ListCached, withOrigin(10)...)
	id := RequestID(0)
	used := map[MemberID]int{}
	for i := range 4000 {
		id++
		key := uint64(1)
		if i%2 == 0 {
			key = uint64(100 + i)
		}
		req := host.request(Request{ID: id, Key: key})
		if key == 1 && i > 3000 {
			used[req.attempts[0].member]++
		}
		host.endAttempt(id, 0, StatusOK)
		host.advance(5 * ms)
	}
	if len(used) < 4 {
		t.Errorf("a key with half of all requests uses %d of 10 caches, want 4 or more", len(used))
	}
	host.checkViolations()
}

// A member that fails quickly must not attract requests: it is ejected, and others serve its keys.
func TestFastFailingMemberIsEjected(t *testing.T) {
	host := newHost(t, testSettings(), 1)
	host.setMembers(ListCached, withOrigin(5)...)
	failing := MemberID(1)
	sent := 0
	for id := RequestID(1); id <= 2000; id++ {
		req := host.request(Request{ID: id, Key: uint64(id)})
		for i := 0; i < len(req.attempts); i++ {
			if req.attempts[i].member == failing {
				sent++
				host.endAttempt(id, i, StatusConnectFailed)
			} else if !req.attempts[i].ended {
				host.endAttempt(id, i, StatusOK)
			}
		}
		host.advance(5 * ms)
	}
	if sent > 40 {
		t.Errorf("the failing member got %d of 2000 requests, want at most 40", sent)
	}
	host.checkViolations()
}

// No member is ejected while all fail alike.
func TestGeneralFailureEjectsNoMember(t *testing.T) {
	settings := testSettings()
	host := newHost(t, settings, 1)
	host.setMembers(ListCached, withOrigin(5)...)
	for id := RequestID(1); id <= 1000; id++ { // the first failures may still look like outliers
		req := host.request(Request{ID: id, Key: uint64(id)})
		for i := 0; i < len(req.attempts); i++ {
			host.endAttempt(id, i, StatusError)
		}
		host.advance(20 * ms)
	}
	for _, n := range host.balancer.caches {
		if n.ejectedUntil > host.now {
			t.Errorf("member %d is ejected though all fail alike", n.entry.ID)
		}
	}
	host.checkViolations()
}

func TestFailedWatchIsRetried(t *testing.T) {
	settings := testSettings()
	settings.Subscribe = true
	host := newHost(t, settings, 1)
	host.setMembers(ListCached, withOrigin(2)...)
	host.advance(2 * time.Second)
	if host.watchCalls != 1 {
		t.Fatalf("asked %d times at the start, want once", host.watchCalls)
	}
	for i := range 5 {
		host.setMembers(ListFailed)
		host.advance(13 * time.Second)
		if host.watchCalls != i+2 {
			t.Fatalf("asked %d times after %d failures", host.watchCalls, i+1)
		}
	}
	if len(host.balancer.caches) != 2 {
		t.Error("the last list was not kept while discovery was dark")
	}
}

func TestUnusableSettings(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"no class":     func(s *Settings) { s.Classes = nil },
		"no attempt":   func(s *Settings) { s.MaxAttempts = 0 },
		"no aim":       func(s *Settings) { s.Classes[0].SoftDeadline = 0 },
		"cold share":   func(s *Settings) { s.SlowStartCapacity = 2 },
		"not a number": func(s *Settings) { s.OverloadMultiple = math.NaN() },
	} {
		settings := testSettings()
		change(&settings)
		if _, err := New(settings, 1, &fakeHost{}); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	if _, err := New(testSettings(), 1, nil); err == nil {
		t.Error("no actions: no error")
	}
}

func TestUnexpectedEventsLoseNoRequest(t *testing.T) {
	host := newHost(t, testSettings(), 1)
	requests := []Request{
		{ID: 1}, {ID: 2, Class: 99, Tenant: 99, Key: 3}, {ID: 3, Class: -1, Tenant: -5},
		{ID: 4, Key: 1, CostKnown: true, Cost: -time.Second}, {ID: 5, Class: 99, Write: true},
	}
	for _, r := range requests { // without any member
		host.request(r)
	}
	host.setMembers(ListFull)
	host.setMembers(ListCached, Member{ID: 1, Zone: 200, Weight: math.NaN(), State: State(77)}, Member{ID: 2, Weight: -1})
	for _, r := range requests {
		r.ID += 10
		host.request(r)
	}
	host.balancer.Outcome(host.now, Outcome{Request: 999})
	host.balancer.Outcome(host.now, Outcome{Request: 11, Attempt: 900})
	host.balancer.Outcome(host.now, Outcome{Request: 11, Attempt: -1})
	host.balancer.RequestCancelled(host.now, 999)
	host.balancer.StreamStarted(host.now, 999, 0)
	host.balancer.Timer(host.now, math.MaxUint64)
	host.balancer.ProbeResult(host.now, 7, StatusOK, 0, nil)
	host.balancer.PeerMessage(host.now, -1, nil)
	host.advance(10 * time.Second)
	for id, r := range host.requests {
		if r.finalAnswers != 1 {
			t.Errorf("request %d answered %d times", id, r.finalAnswers)
		}
	}
	host.checkViolations()
}

// A burst can leave members with deep queues overloaded permanently: every attempt times out, and clients
// retry. The limits must reduce the attempts.
func TestOverloadedMemberIsSentLess(t *testing.T) {
	settings := testSettings()
	host := newHost(t, settings, 1)
	host.setMembers(ListCached, withOrigin(4)...)
	sent := 0
	for id := RequestID(1); id <= 1000; id++ {
		host.request(Request{ID: id, Key: uint64(id)})
		host.advance(10 * ms)
		for old, r := range host.requests {
			for i, a := range r.attempts {
				if !a.ended && host.now-a.sentAt >= 300*ms {
					sent++
					host.endAttempt(old, i, StatusTimeout)
				}
			}
		}
	}
	if sent > 500 {
		t.Errorf("%d attempts in 10 s at 4 members that answer nothing in time, want at most 500", sent)
	}
	host.checkViolations()
}

// Limits must recover after overload. The failure: members that had recovered stayed idle, because each
// good answer cut their limits further while the mean of earlier latencies was still above the target.
func TestLimitsRecoverAfterOverload(t *testing.T) {
	host := newHost(t, testSettings(), 1)
	host.setMembers(ListCached, withOrigin(4)...)
	asked, sent := 0, 0
	for id := RequestID(1); id <= 2400; id++ { // 100 per second: 4 s of timeouts, then 20 s of fast answers
		overloaded := id <= 400
		req := host.request(Request{ID: id, Key: uint64(id)})
		if id > 1900 {
			asked++
			sent += min(1, len(req.attempts))
		}
		host.advance(10 * ms)
		for old := max(1, id-100); old <= id; old++ {
			for i, a := range host.requests[old].attempts {
				switch {
				case a.ended:
				case overloaded && host.now-a.sentAt >= 300*ms:
					host.endAttempt(old, i, StatusTimeout)
				case !overloaded:
					host.endAttempt(old, i, StatusOK)
				}
			}
		}
	}
	if sent < asked*8/10 {
		t.Errorf("%d of %d requests sent 15 s after a jam ended, want most", sent, asked)
	}
	host.checkViolations()
}

// Spilling from busy members must not scatter keys: hits would become misses, which overload the origin.
func TestBusyMemberDoesNotScatterItsKeys(t *testing.T) {
	host := newHost(t, testSettings(), 1)
	host.setMembers(ListCached, withOrigin(8)...)
	first := host.request(Request{ID: 1, Key: 7}).attempts[0].member
	host.endAttempt(1, 0, StatusOK)
	member := host.balancer.members[first]
	member.limit, member.outstanding = 1, 1 // busy
	if req := host.request(Request{ID: 9, Key: 7}); len(req.attempts) != 1 || req.attempts[0].member == first {
		t.Errorf("sent to %v while the key's member is busy and the origin idle, want the next candidate", req.attempts)
	}
	host.balancer.members[originID].latency = host.balancer.fetchTarget // a fetch is expensive
	if req := host.request(Request{ID: 2, Key: 7}); len(req.attempts) != 0 || req.finalAnswers == 0 {
		t.Errorf("sent to %v while the key's member is busy, want a refusal", req.attempts)
	}
	member.ejectedUntil = host.now + time.Second // ejected: the next candidate is used
	if req := host.request(Request{ID: 3, Key: 7}); len(req.attempts) != 1 || req.attempts[0].member == first {
		t.Errorf("sent to %v while the key's member is ejected, want the next candidate", req.attempts)
	}
	host.checkViolations()
}

// Where caches fetch values themselves, giving up slow answers and trying the next cache would double the
// fetches.
func TestReadThroughModeWaitsForFetch(t *testing.T) {
	settings := testSettings()
	settings.Mode, settings.OriginKind = ReadThrough, -1
	host := newHost(t, settings, 1)
	host.setMembers(ListCached, cacheMembers(4)...)
	req := host.request(Request{ID: 1, Key: 7})
	if len(req.attempts) != 1 || req.attempts[0].timeout != 0 {
		t.Errorf("attempts %+v, want one that is not given up", req.attempts)
	}
	host.checkViolations()
}

// A full answer reduces a member's limit to no less than one. Ejecting the member would scatter all its
// keys, and cutting its limit below one by the outstanding attempts would hold back proxies that send to
// it rarely.
func TestFullMemberKeepsItsKeys(t *testing.T) {
	host := newHost(t, testSettings(), 1)
	host.setMembers(ListCached, withOrigin(8)...)
	first := host.request(Request{ID: 1, Key: 7}).attempts[0].member
	member := host.balancer.members[first]
	host.endAttempt(1, 0, StatusFull)
	if member.limit >= initialLimit {
		t.Errorf("limit %v after a full answer, want less than %d", member.limit, initialLimit)
	}
	if req := host.request(Request{ID: 2, Key: 7}); len(req.attempts) != 1 || req.attempts[0].member != first {
		t.Errorf("the next request goes to %+v, want member %d", req.attempts, first)
	}
	for range 20 {
		host.balancer.recordOutcome(member, Outcome{Status: StatusFull}, false)
	}
	if member.limit < 1 {
		t.Errorf("limit %v after many full answers, want 1", member.limit)
	}
	host.checkViolations()
}

// The cold budget is based on the weight that serves requests, and on at least half of the fleet.
// Otherwise the budgets would shrink with the few answers of the warm members while most of the fleet is
// cold.
func TestColdBudgetUsesWarmWeight(t *testing.T) {
	for _, c := range []struct {
		cold      int
		low, high float64
	}{{0, 10, 10}, {4, 7, 8}, {9, 5, 5}} {
		host := newHost(t, testSettings(), 1)
		list := withOrigin(10)
		for i := range c.cold {
			list[i].StartedAt = host.now - 2*time.Second // warmth 0.36
		}
		host.setMembers(ListCached, list...)
		if w := host.balancer.warmWeight(); w < c.low || w > c.high {
			t.Errorf("%d of 10 members cold: weight %.2f, want %v to %v", c.cold, w, c.low, c.high)
		}
	}
}

// A newly placed key stays with the first candidate of its slot unless moving it improves the objective
// enough. Otherwise keys at the edge of the hot set change caches whenever they enter or leave it.
func TestNewlyHotKeyStaysWithItsSlot(t *testing.T) {
	host := newHost(t, testSettings(), 1)
	host.setMembers(ListCached, cacheMembers(8)...)
	for range 50 { // one key sets the level, the others are at the edge of the hot set
		host.balancer.keyCounts.add(1)
	}
	for key := uint64(2); key < 60; key++ {
		host.balancer.keyCounts.add(key)
		host.balancer.keyCounts.add(key)
	}
	host.balancer.placeHotKeys()
	moved, placed := 0, 0
	for key := uint64(2); key < 60; key++ {
		if p := host.balancer.hotTable[key]; p != nil {
			placed++
			if p.members[0] != host.balancer.candidates(slotOf(key))[0].member {
				moved++
			}
		}
	}
	if placed < 50 || moved > placed/4 {
		t.Errorf("%d of %d keys newly placed left their slot's member, want a quarter at most", moved, placed)
	}
}

// Keys that are requested often are fetched first, so that keys requested once do not take the capacity of
// the origin.
func TestKnownKeysAreFetchedFirst(t *testing.T) {
	host := newHost(t, testSettings(), 1)
	host.setMembers(ListCached, withOrigin(4)...)
	for id := RequestID(1); id <= 20; id++ {
		req := host.request(Request{ID: id, Key: 7})
		host.endAttempt(id, len(req.attempts)-1, StatusOK)
	}
	host.balancer.members[originID].limit = 1
	host.balancer.members[originID].outstanding = 1 // no capacity left
	for i, key := range []uint64{100, 101, 7} {
		id := RequestID(100 + i)
		host.request(Request{ID: id, Key: key})
		host.endAttempt(id, 0, StatusMiss)
	}
	host.balancer.members[originID].outstanding = 0
	host.advance(25 * ms)
	for i, want := range []int{1, 1, 2} {
		if got := len(host.requests[RequestID(100+i)].attempts); got != want {
			t.Errorf("request %d: %d attempts, want %d", 100+i, got, want)
		}
	}
	host.checkViolations()
}

// The cold budget must follow the answers of the caches; client retries under overload must not inflate
// it.
func TestColdBudgetFollowsAnswers(t *testing.T) {
	host := newHost(t, testSettings(), 1)
	host.setMembers(ListCached, withOrigin(4)...)
	answered := 0
	for id := RequestID(1); id <= 4000; id++ { // 500 per second, of which caches answer two in three
		req := host.request(Request{ID: id, Key: uint64(id)})
		for i := 0; i < len(req.attempts); i++ {
			if id%3 == 0 {
				host.endAttempt(id, i, StatusFull)
			} else {
				host.endAttempt(id, i, StatusOK)
				answered++
			}
		}
		host.advance(2 * ms)
	}
	if maxRate := float64(answered) / 8 * 1.1; host.balancer.servedRate() > maxRate || host.balancer.servedRate() < maxRate/2 {
		t.Errorf("the budget goes by %.0f a second while caches answer %.0f", host.balancer.servedRate(), maxRate/1.1)
	}
	host.checkViolations()
}

// With many members that each get few requests, no member's limit detects overload; the throttle must.
func TestThrottleEndsOverloadOfRarelyUsedMembers(t *testing.T) {
	host := newHost(t, testSettings(), 1)
	host.setMembers(ListCached, withOrigin(400)...)
	sent, asked := 0, 0
	for id := RequestID(1); id <= 1500; id++ {
		req := host.request(Request{ID: id, Key: uint64(id)})
		if host.now > time.Hour+5*time.Second {
			asked++
			sent += len(req.attempts)
		}
		for i := range req.attempts {
			host.endAttempt(id, i, StatusError)
			break
		}
		host.advance(10 * ms)
	}
	if asked == 0 || sent > asked/2 {
		t.Errorf("%d attempts for %d requests though no cache answers, want at most half", sent, asked)
	}
	host.checkViolations()
}

// The interval before the first send to a member starts when the member is first listed, not at the zero
// of the clock.
func TestFirstSendIntervalStartsWithListing(t *testing.T) {
	host := newHost(t, testSettings(), 1)
	host.setMembers(ListCached, withOrigin(1)...)
	host.advance(10 * ms)
	host.request(Request{ID: 1, Key: 1})
	if member := host.balancer.caches[0]; member.sendInterval > 1 {
		t.Errorf("gap %v s after 10 ms", member.sendInterval)
	}
}

// ---- counter, placement and slot table

func TestCounterKeepsItsErrorBound(t *testing.T) {
	const size, total = 64, 20000
	c := counter{index: map[uint64]int{}, capacity: size}
	rng := rand.New(rand.NewPCG(1, 2))
	zipf := rand.NewZipf(rng, 1.2, 2, 5000)
	exact := map[uint64]float64{}
	for range total {
		k := zipf.Uint64()
		exact[k]++
		c.add(k)
	}
	for _, it := range c.items {
		if over := it.count - exact[it.key]; over < 0 || over > it.maxError || it.maxError > total/size {
			t.Errorf("key %d: counted %v with error %v, exactly %v; bound %d", it.key, it.count, it.maxError,
				exact[it.key], total/size)
		}
	}
	for k, n := range exact { // keys above the bound are kept
		if _, ok := c.index[k]; !ok && n > total/size {
			t.Errorf("key %d with %v requests was dropped", k, n)
		}
	}
}

// The greedy placement is within 4/3 of the best objective, the bound of longest-first scheduling, plus
// one key's cost for the second term.
func TestGreedyAgainstBruteForce(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for round := range 40 {
		settings := testSettings()
		settings.Instances = 100
		host := newHost(t, settings, uint64(round))
		host.setMembers(ListCached, withOrigin(3)...)
		host.balancer.hotTable = map[uint64]*placement{}
		counts := make([]float64, 5+rng.IntN(3))
		for i := range counts {
			counts[i] = float64(2 + rng.IntN(30))
			for range int(counts[i]) {
				host.balancer.keyCounts.add(uint64(i + 1))
			}
		}
		host.balancer.keyCounts.total *= 1000 // many other requests: no key is hot enough to be split
		got := host.placeOnAllCaches(counts)
		best := bruteForce(counts, 3)
		if got > best*4/3+keyCost {
			t.Errorf("round %d: greedy %v, best %v, counts %v", round, got, best, counts)
		}
	}
}

// placeOnAllCaches places the keys with all caches as candidates and returns the objective.
func (h *fakeHost) placeOnAllCaches(counts []float64) float64 {
	maxS, maxT := 0.0, 0.0
	for _, it := range h.balancer.keyCounts.hottest(2, maxHotKeys) {
		var order []candidate
		for _, n := range h.balancer.caches {
			order = append(order, candidate{member: n})
		}
		// An empty previous placement: the bound is that of the greedy, without the margin for previous
		// placements.
		n := h.balancer.cheapestCandidate(order, &placement{}, 0, it, 1, maxS, maxT, &placement{})
		n.hotLoad += it.count
		n.hotKeys++
		maxS, maxT = max(maxS, n.hotLoad), max(maxT, n.hotKeys)
	}
	return maxS + keyCost*maxT
}

// bruteForce returns the best objective over all placements.
func bruteForce(counts []float64, servers int) float64 {
	best := math.Inf(1)
	load, keys := make([]float64, servers), make([]float64, servers)
	var try func(i int)
	try = func(i int) {
		if i == len(counts) {
			best = min(best, slices.Max(load)+keyCost*slices.Max(keys))
			return
		}
		for j := range servers {
			load[j] += counts[i]
			keys[j]++
			try(i + 1)
			load[j] -= counts[i]
			keys[j]--
		}
	}
	try(0)
	return best
}

// firstCandidates returns the first candidate of every slot.
func firstCandidates(b *Balancer) []MemberID {
	out := make([]MemberID, slotCount)
	for i := range out {
		out[i] = b.candidates(i)[0].member.entry.ID
	}
	return out
}

func TestSlotTableIsSharedBalancedAndStable(t *testing.T) {
	list := withOrigin(12)
	for i := range list {
		list[i].Weight = float64(1 + i%3)
	}
	a, b := newHost(t, testSettings(), 1), newHost(t, testSettings(), 99)
	a.setMembers(ListCached, list...)
	reversed := slices.Clone(list)
	slices.Reverse(reversed)
	b.setMembers(ListCached, reversed...)
	before := firstCandidates(a.balancer)
	if !slices.Equal(before, firstCandidates(b.balancer)) {
		t.Fatal("the table depends on the list's order or the seed")
	}
	share, weight := map[MemberID]float64{}, 0.0
	for _, id := range before {
		share[id]++
	}
	for _, m := range list[:12] {
		weight += m.Weight
	}
	for _, m := range list[:12] { // tolerance: a quarter of the expected share
		expected := slotCount * m.Weight / weight
		if math.Abs(share[m.ID]-expected) > expected/4 {
			t.Errorf("member %d has %v slots, due %v", m.ID, share[m.ID], expected)
		}
	}
	gone := list[4]
	gone.State = Gone
	a.setMembers(ListDelta, gone)
	for i, id := range firstCandidates(a.balancer) {
		if before[i] != gone.ID && id != before[i] {
			t.Fatalf("slot %d moved from %d to %d though neither left", i, before[i], id)
		}
	}
	a.setMembers(ListDelta, list[4])
	if !slices.Equal(before, firstCandidates(a.balancer)) {
		t.Error("the table differs after a member left and came back")
	}
}

// Live weights follow load; slots must not.
func TestLiveWeightsMoveNoSlots(t *testing.T) {
	settings := testSettings()
	settings.Weights = WeightsLive
	host := newHost(t, settings, 1)
	list := withOrigin(8)
	host.setMembers(ListCached, list...)
	before := firstCandidates(host.balancer)
	for i := range list {
		list[i].Weight /= float64(1 + i)
	}
	host.setMembers(ListDelta, list...)
	if !slices.Equal(before, firstCandidates(host.balancer)) {
		t.Error("slots moved with the load")
	}
}

// One broken connection says nothing about its member: the member stays in use, and the read may be sent
// to it again.
func TestOneResetDoesNotEject(t *testing.T) {
	host := newHost(t, testSettings(), 1)
	host.setMembers(ListCached, withOrigin(6)...)
	req := host.request(Request{ID: 1, Key: 77})
	host.advance(10 * ms)
	host.endAttempt(1, 0, StatusReset)
	if len(req.attempts) != 2 || req.attempts[1].member != req.attempts[0].member {
		t.Fatalf("sent %+v, want the same cache twice", req.attempts)
	}
	host.endAttempt(1, 1, StatusReset)
	if member := host.balancer.members[req.attempts[0].member]; member.ejectedUntil > host.now {
		t.Error("broken connections ejected a cache that may be up")
	}
	host.checkViolations()
}

// Members with ever new ids must not leave state behind.
func TestRemovedMembersAreDeleted(t *testing.T) {
	host := newHost(t, testSettings(), 1)
	for i := range 50 {
		m := Member{ID: MemberID(1000 + i), Weight: 1}
		host.setMembers(ListDelta, m)
		m.State = Draining
		host.setMembers(ListDelta, m)
		if i%2 == 0 {
			m.State = Gone
			host.setMembers(ListDelta, m)
		}
	}
	host.setMembers(ListFull, Member{ID: 1, Weight: 1})
	if len(host.balancer.members) != 1 {
		t.Errorf("%d members kept, want 1", len(host.balancer.members))
	}
}

// A request that a member rejects is not sent again and does not count as a failure of the member.
func TestRejectedRequestFailsAtOnce(t *testing.T) {
	host := newHost(t, testSettings(), 1)
	host.setMembers(ListCached, withOrigin(6)...)
	for id := RequestID(1); id < 10; id++ {
		req := host.request(Request{ID: id, Key: 77})
		host.endAttempt(id, 0, StatusRejected)
		if len(req.attempts) != 1 || req.finalAnswers != 1 {
			t.Fatalf("sent %+v, answered %d times", req.attempts, req.finalAnswers)
		}
		if member := host.balancer.members[req.attempts[0].member]; member.failureRate != 0 || member.failureStreak != 0 {
			t.Fatal("it counted against the member")
		}
	}
	host.checkViolations()
}

// If the slot's cache in the local zone is busy, a read goes to the cache that owns the slot in another
// zone, which holds the key too. It is not refused because the origin has no capacity for a miss.
func TestBusyZoneSpillsToOtherZone(t *testing.T) {
	settings := testSettings()
	settings.Zones, settings.CrossZoneCost = 3, 0.06
	host := newHost(t, settings, 1)
	list := withOrigin(9)
	for i := range list {
		list[i].Zone = i % 3
	}
	host.setMembers(ListCached, list...)
	order := host.balancer.candidates(slotOf(77))
	first := order[0].member
	if first.entry.Zone != settings.Zone {
		t.Fatalf("the slot's first cache is in zone %d", first.entry.Zone)
	}
	at := slices.IndexFunc(order, func(r candidate) bool { return r.member.entry.Zone != settings.Zone })
	for _, r := range order[:at] {
		r.member.limit, r.member.outstanding = 1, 1
	}
	origin := host.balancer.origins[0]
	origin.limit, origin.outstanding = 1, 1
	req := host.request(Request{ID: 1, Key: 77})
	if len(req.attempts) != 1 || req.attempts[0].member != order[at].member.entry.ID {
		t.Fatalf("sent %+v, want %d", req.attempts, order[at].member.entry.ID)
	}
	host.endAttempt(1, 0, StatusOK)
	host.checkViolations()
}

// A shortage of connections at the host says nothing about the member and costs neither an attempt nor
// retry budget.
func TestConnectionShortageIsNotMemberLoad(t *testing.T) {
	host := newHost(t, testSettings(), 1)
	host.setMembers(ListCached, withOrigin(8)...)
	req := host.request(Request{ID: 1, Key: 7})
	host.balancer.retryTokens = 1
	member := host.balancer.members[req.attempts[0].member]
	host.endAttempt(1, 0, StatusNoConn)
	if member.limit != initialLimit || member.failureStreak != 0 || member.failureRate != 0 || member.ejectedUntil != 0 {
		t.Errorf("the member is held to blame: %+v", member.limiter)
	}
	if len(req.attempts) != 2 {
		t.Fatalf("sent %+v, want a further attempt", req.attempts)
	}
	if f := host.balancer.requests[1]; host.balancer.retryTokens != 1 || f.sentAttempts() != 1 {
		t.Errorf("retry budget %v, attempts on the wire %d, want 1 and 1", host.balancer.retryTokens, f.sentAttempts())
	}
	host.endAttempt(1, 1, StatusOK)
	host.checkViolations()
}

// A sudden burst is allowed at fast members, but not at members that are slow, have rejected work or have
// no samples yet.
func TestBurstIsAllowedAtFastMembers(t *testing.T) {
	host := newHost(t, testSettings(), 1)
	host.setMembers(ListCached, withOrigin(3)...)
	member := host.balancer.caches[0]
	for name, c := range map[string]struct {
		limiter limiter
		want    bool
	}{
		"quick":                               {limiter{limit: initialLimit, latency: 0.0003, samples: 50, outstanding: 100}, true},
		"slow":                                {limiter{limit: initialLimit, latency: 0.03, samples: 50, outstanding: 100}, false},
		"more than it can":                    {limiter{limit: initialLimit, latency: 0.0003, samples: 50, outstanding: 100000}, false},
		"turned work away":                    {limiter{limit: initialLimit * 0.7, latency: 0.0003, samples: 50, outstanding: 100}, false},
		"not known":                           {limiter{limit: initialLimit, outstanding: 100}, false},
		"slow, with many answers in a second": {limiter{limit: initialLimit, latency: 0.03, answerInterval: 0.0003, samples: 50, outstanding: 100}, true},
		"slow, with few":                      {limiter{limit: initialLimit, latency: 0.03, answerInterval: 0.02, samples: 50, outstanding: 100}, false},
		"within its limit":                    {limiter{limit: initialLimit, latency: 0.3, samples: 50, outstanding: 1}, true},
	} {
		member.limiter = c.limiter
		if got := host.balancer.hasCapacity(member); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// A sudden burst at members without samples waits for the first answers. If they are fast, the whole burst
// is served; if there are none, or slow ones, it is refused in good time, although it was waiting.
func TestBurstAtStartedProxy(t *testing.T) {
	const burst = 400
	for name, c := range map[string]struct {
		answers time.Duration
		served  bool
	}{"quick members": {3 * ms, true}, "silent members": {0, false}} {
		t.Run(name, func(t *testing.T) {
			host := newHost(t, testSettings(), 1)
			host.setMembers(ListCached, withOrigin(8)...)
			for id := RequestID(1); id <= burst; id++ {
				host.request(Request{ID: id, Key: uint64(id)})
			}
			for range 100 { // 300 ms of a soft deadline of 500
				host.advance(3 * ms)
				for id := RequestID(1); id <= burst && c.answers > 0; id++ {
					if r := host.requests[id]; len(r.attempts) > 0 && !r.attempts[0].ended && host.now-r.attempts[0].sentAt >= c.answers {
						host.endAttempt(id, 0, StatusOK)
					}
				}
			}
			served, refused := 0, 0
			for _, r := range host.requests {
				switch {
				case len(r.attempts) > 0 && r.attempts[0].ended:
					served++
				case r.finalAnswers > 0:
					refused++
				}
			}
			if c.served && served != burst || !c.served && refused < burst-8*initialLimit*2 {
				t.Errorf("%d served, %d refused of %d", served, refused, burst)
			}
			for _, why := range host.finalReasons {
				if why != NoRoom && why != RetryBudget && why != Throttled {
					t.Errorf("refused for %v", why)
				}
			}
			host.checkViolations()
		})
	}
}

// Attempts without a connection, or whose connection ended for another reason, do not count as attempts at
// caches: the throttle must not refuse reads for them. They must not count as failures of the member
// either.
func TestThrottleCountsOnlySentAttempts(t *testing.T) {
	for _, s := range []Status{StatusNoConn, StatusCancelled} {
		host := newHost(t, testSettings(), 1)
		host.setMembers(ListCached, withOrigin(8)...)
		for id := RequestID(1); id <= 200; id++ {
			req := host.request(Request{ID: id, Key: uint64(id)})
			host.balancer.retryTokens = 1
			member := host.balancer.members[req.attempts[0].member]
			host.endAttempt(id, 0, s)
			if member.failureStreak != 0 || member.failureRate != 0 || member.limit != initialLimit {
				t.Fatalf("%v: the member is held to blame: %+v", s, member.limiter)
			}
			if len(req.attempts) != 2 {
				t.Fatalf("%v: read %d was sent %d times, want a further attempt", s, id, len(req.attempts))
			}
			if host.balancer.recentAttempts > host.balancer.recentAnswers+2 {
				t.Fatalf("%v: %v asked, %v answered", s, host.balancer.recentAttempts, host.balancer.recentAnswers)
			}
			host.endAttempt(id, 1, StatusOK)
			for _, n := range host.balancer.members {
				n.limit = initialLimit
			}
		}
		host.checkViolations()
	}
}

// newHostWithFastCaches returns a host with eight caches that are known to be fast, one of which has just
// answered, and a function that sends reads of distinct keys and counts the refused ones.
func newHostWithFastCaches(t *testing.T, latency time.Duration) (host *fakeHost, refused func(from, to RequestID) int) {
	t.Helper()
	host = newHost(t, testSettings(), 1)
	host.setMembers(ListCached, withOrigin(8)...)
	for _, n := range host.balancer.caches {
		n.limiter = limiter{limit: 1000, latency: latency.Seconds(), answerInterval: 0.0001, samples: 100}
	}
	host.request(Request{ID: 1, Key: 1})
	host.endAttempt(1, 0, StatusOK)
	return host, func(from, to RequestID) (n int) {
		for id := from; id < to; id++ {
			n += host.request(Request{ID: id, Key: uint64(id)}).finalAnswers
		}
		return n
	}
}

// Outstanding reads are no sign of overload while the caches answer; once the caches are silent, they are.
func TestThrottleIgnoresOutstandingReads(t *testing.T) {
	host, refused := newHostWithFastCaches(t, 10*ms)
	if n := refused(2, 800); n > 0 {
		t.Errorf("%d of 800 reads refused though the caches answer", n)
	}
	host.advance(200 * ms)
	if n := refused(1000, 1400); n < 200 {
		t.Errorf("%d of 400 reads refused, 200 ms after the last answer and with 800 out", n)
	}
	host.checkViolations()
}

// A burst that arrives after a short silence, because the proxy itself was busy receiving it, is not taken
// for overload: recent reads can't have been answered yet.
func TestThrottleIgnoresNewBurst(t *testing.T) {
	host, refused := newHostWithFastCaches(t, ms)
	host.advance(25 * ms) // longer than such fast caches are silent under load
	if n := refused(2, 900); n > 0 {
		t.Errorf("%d of 898 reads refused", n)
	}
	host.checkViolations()
}

// A fetch whose connection broke is queued again; the requests that wait for it must not read the cache
// meanwhile.
func TestBrokenFetchKeepsWaiters(t *testing.T) {
	host := newHost(t, testSettings(), 1)
	host.setMembers(ListCached, withOrigin(6)...)
	req := host.request(Request{ID: 1, Key: 77})
	host.endAttempt(1, 0, StatusMiss)
	second := host.request(Request{ID: 2, Key: 77})
	host.endAttempt(1, 1, StatusReset)
	if len(req.attempts) != 3 || req.attempts[2].member != originID {
		t.Fatalf("after a reset: sent %+v, want the origin again", req.attempts)
	}
	if len(second.attempts) != 0 {
		t.Fatalf("the read that waits was sent to a cache that has nothing yet: %+v", second.attempts)
	}
	host.endAttempt(1, 2, StatusOK)
	if len(second.attempts) != 1 || second.attempts[0].member == originID {
		t.Fatalf("after the fetch: sent %+v, want the cache", second.attempts)
	}
	host.endAttempt(2, 0, StatusOK)
	host.advance(5 * time.Second)
	host.checkViolations()
	if len(host.balancer.requests) != 0 || len(host.balancer.fetchWaiters) != 0 {
		t.Errorf("left behind: %d requests, %d fetches", len(host.balancer.requests), len(host.balancer.fetchWaiters))
	}
}

// A fetch on a connection that became silent must not cut the limit of the origin while the origin answers
// later fetches. If no later one is answered, its timeout does cut the limit.
func TestOvertakenTimeoutDoesNotCutLimit(t *testing.T) {
	for name, others := range map[string]int{"others are answered": 20, "nothing is answered": 0} {
		t.Run(name, func(t *testing.T) {
			host := newHost(t, testSettings(), 1)
			host.setMembers(ListCached, withOrigin(3)...)
			origin := host.balancer.origins[0]
			origin.latency, origin.samples, origin.limit = 0.02, 10, 10
			host.request(Request{ID: 1, Key: 1})
			host.endAttempt(1, 0, StatusMiss)
			sent := host.now
			for i := range others {
				id := RequestID(i + 2)
				host.request(Request{ID: id, Key: uint64(id)})
				host.endAttempt(id, 0, StatusMiss)
				host.now += 20 * ms
				host.endAttempt(id, 1, StatusOK)
			}
			host.now = sent + 400*ms
			latency, limit := origin.latency, origin.limit
			host.balancer.Outcome(host.now, Outcome{Request: 1, Attempt: 1, Member: originID, Status: StatusTimeout, Elapsed: host.now - sent})
			if cut := origin.latency > latency || origin.limit < limit; cut != (others == 0) {
				t.Errorf("latency %v -> %v, limit %v -> %v", latency, origin.latency, limit, origin.limit)
			}
		})
	}
}

// The retry delay of a refused client grows with the length of the shortage, is jittered and stays within
// its bound.
func TestRefusalRetryAfter(t *testing.T) {
	settings := testSettings()
	settings.MaxRetryAfter = 2 * time.Second
	host := newHost(t, settings, 1)
	host.setMembers(ListCached, withOrigin(3)...)
	f := &pendingRequest{}
	mean := func(at time.Duration) (sum time.Duration) {
		host.balancer.now = at
		seen := map[time.Duration]bool{}
		for range 100 {
			d := host.balancer.retryAfter(f)
			if d <= 0 || d > settings.MaxRetryAfter {
				t.Fatalf("told to come back after %v", d)
			}
			seen[d] = true
			sum += d / 100
		}
		if len(seen) < 50 && sum < settings.MaxRetryAfter {
			t.Errorf("only %d times of 100 differ", len(seen))
		}
		return sum
	}
	start := host.now
	first := mean(start)
	mean(start + 500*ms)
	later := mean(start + time.Second)
	mean(start + 2*time.Second)
	if longest := mean(start + 3*time.Second); later < 2*first || longest < later {
		t.Errorf("%v at first, %v after a second, %v after three", first, later, longest)
	}
	if again := mean(start + 10*time.Second); again > 2*first {
		t.Errorf("%v at the start of another shortage, %v at that of the first", again, first)
	}
}

// Where many attempts fail, two consecutive failures occur by chance and must not eject. A member that
// always fails is still ejected.
func TestRandomStreaksDoNotEject(t *testing.T) {
	host := newHost(t, testSettings(), 1)
	host.setMembers(ListCached, withOrigin(8)...)
	member := host.balancer.caches[0]
	host.balancer.failureRate = 0.15
	for range 2 {
		host.balancer.recordOutcome(member, Outcome{Status: StatusTimeout, Elapsed: 100 * ms}, false)
	}
	if member.ejectedUntil > host.balancer.now {
		t.Error("ejected after two time-outs where many fail")
	}
	for range maxFailureStreak {
		host.balancer.recordOutcome(member, Outcome{Status: StatusTimeout, Elapsed: 100 * ms}, false)
		host.balancer.failureRate = 0.15
	}
	if member.ejectedUntil <= host.balancer.now {
		t.Errorf("not ejected after %d failures in a row", member.failureStreak)
	}
}

// A handshake makes the first answer on a connection slow; this must not count as load of the member.
func TestHandshakeDoesNotCutLimit(t *testing.T) {
	for name, fresh := range map[string]bool{"first on its connection": true, "on a kept connection": false} {
		t.Run(name, func(t *testing.T) {
			host := newHost(t, testSettings(), 1)
			host.setMembers(ListCached, withOrigin(8)...)
			member := host.balancer.caches[0]
			for range 5 {
				host.balancer.recordOutcome(member, Outcome{Status: StatusOK, Elapsed: 2 * seconds(host.balancer.fetchTarget),
					FirstOnConnection: fresh}, false)
				host.balancer.now += time.Second
			}
			if cut := member.limit < initialLimit; cut == fresh {
				t.Errorf("limit %v after slow answers", member.limit)
			}
		})
	}
}

// A request is sent only to its allowed members, whether cache or origin. If none is allowed, it is
// answered at once.
func TestAllowedMembersOnly(t *testing.T) {
	host := newHost(t, testSettings(), 1)
	host.setMembers(ListCached, withOrigin(6)...)
	for id := RequestID(1); id <= 20; id++ {
		req := host.request(Request{ID: id, Key: uint64(id), AllowedMembers: []MemberID{3}})
		if len(req.attempts) != 1 || req.attempts[0].member != 3 {
			t.Fatalf("sent %+v, want member 3", req.attempts)
		}
		host.endAttempt(id, 0, StatusMiss) // the origin is not allowed
		if req.finalAnswers != 1 || len(req.attempts) != 1 || host.finalReasons[len(host.finalReasons)-1] != NoMember {
			t.Fatalf("after a miss: %+v, answered %d, %v", req.attempts, req.finalAnswers, host.finalReasons)
		}
	}
	if req := host.request(Request{ID: 21, Key: 5, AllowedMembers: []MemberID{}}); req.finalAnswers != 1 {
		t.Error("a request that may go to nobody is not answered")
	}
	host.balancer.origins[0].limit, host.balancer.origins[0].latency, host.balancer.origins[0].lastSentAt = 0.25, 0.2, host.now
	host.request(Request{ID: 22, Key: 77})
	host.endAttempt(22, 0, StatusMiss) // queued for the origin
	host.balancer.RestrictMembers(host.now, 22, []MemberID{3})
	if host.requests[22].finalAnswers != 1 {
		t.Error("a request in line for a member that it allows no more is not answered")
	}
	host.checkViolations()
}

// Fallbacks are warm members that the request may be sent to; each one that the client uses counts as an
// attempt.
func TestFallbacksCountAsAttempts(t *testing.T) {
	host := newHost(t, testSettings(), 1)
	list := withOrigin(6)
	list[2].StartedAt = host.now - 100*ms
	host.setMembers(ListCached, list...)
	req := host.request(Request{ID: 1, Key: 77})
	fallbacks := host.balancer.Fallbacks(1, 10)
	if len(fallbacks) != 3 { // four attempts, one of them outstanding
		t.Fatalf("spares %v", fallbacks)
	}
	for _, m := range append(fallbacks, originID) {
		if (m == req.attempts[0].member || m == 3 || m == originID) == slices.Contains(fallbacks, m) {
			t.Errorf("spares %v: %d is the one sent to, a cold one or the origin", fallbacks, m)
		}
	}
	host.balancer.FallbackUsed(host.now, 1, req.attempts[0].member, fallbacks[0])
	host.balancer.FallbackUsed(host.now, 1, fallbacks[0], fallbacks[1])
	if f := host.balancer.requests[1]; f.sentAttempts() != 3 ||
		host.balancer.members[fallbacks[1]].outstanding != 1 || host.balancer.members[fallbacks[0]].outstanding != 0 ||
		host.balancer.members[req.attempts[0].member].outstanding != 0 || host.balancer.members[fallbacks[0]].failureStreak != 1 {
		t.Errorf("%d attempts", f.sentAttempts())
	}
	host.balancer.Outcome(host.now, Outcome{Request: 1, Attempt: 0, Member: fallbacks[1], Status: StatusError})
	if len(req.attempts) != 2 {
		t.Fatalf("sent %+v, want the fourth attempt", req.attempts)
	}
	host.endAttempt(1, 1, StatusError)
	if len(req.attempts) != 2 || req.finalAnswers != 1 {
		t.Errorf("sent %+v, answered %d times, after four attempts", req.attempts, req.finalAnswers)
	}
	o := host.request(Request{ID: 2, Key: 8, Class: 1, Write: true})
	if got := host.balancer.Fallbacks(2, 3); len(o.attempts) != 1 || got != nil {
		t.Errorf("spares of an order: %v", got)
	}
	host.request(Request{ID: 3, Key: 9, Write: true}) // safe to repeat, but not sent to caches
	if got := host.balancer.Fallbacks(3, 3); got != nil {
		t.Errorf("spares of a write: %v", got)
	}
}

// A proxy that has just started with a cold fleet has no answers to base its budget on. It sends each
// member a little, and more as the member answers, but never more than its share of what a just started
// member can certainly serve.
func TestStartedProxyWithColdFleet(t *testing.T) {
	for name, c := range map[string]struct {
		answerTime, interval time.Duration // duration of an answer; interval between requests
		minShare             float64       // share of the requests served in the last of 6 seconds
	}{
		"quick members": {10 * ms, 20 * ms, 0.35}, "slow members": {300 * ms, 50 * ms, 0.2}, "silent members": {time.Hour, 20 * ms, 0},
	} {
		t.Run(name, func(t *testing.T) {
			host := newHost(t, testSettings(), 1)
			list := withOrigin(4)
			for i := range list[:4] {
				list[i].StartedAt = host.now
			}
			host.setMembers(ListCached, list...)
			asked, served := 0, 0
			for id := RequestID(1); host.now < time.Hour+6*time.Second; id++ {
				host.request(Request{ID: id, Key: uint64(id)})
				host.advance(c.interval)
				for i := max(200, id) - 199; i <= id; i++ {
					r := host.requests[i]
					if r.finalAnswers > 0 || len(r.attempts) == 0 {
						continue
					}
					if a := r.attempts[len(r.attempts)-1]; !a.ended && host.now-a.sentAt >= c.answerTime {
						host.endAttempt(r.ID, len(r.attempts)-1, StatusOK)
						if host.now > time.Hour+5*time.Second {
							served++
						}
					}
				}
				if host.now > time.Hour+5*time.Second {
					asked++
				}
			}
			if share := float64(served) / float64(asked); share < c.minShare {
				t.Errorf("%.2f of the reads are served, want %.2f", share, c.minShare)
			}
			for id, at := range host.coldSends {
				for i := 1; i < len(at) && c.answerTime == time.Hour; i++ { // members without answers
					if gap := at[i] - at[i-1]; gap < time.Duration(host.settings.Instances)*50*ms {
						t.Errorf("member %d, which answers nothing, is asked again after %v", id, gap)
					}
				}
			}
			host.checkViolations()
		})
	}
}

// A cache that rejects a request has answered it. A client that sends only invalid requests must not make
// the throttle refuse the reads of others.
func TestRejectionsDoNotThrottle(t *testing.T) {
	host := newHost(t, testSettings(), 1)
	host.setMembers(ListCached, withOrigin(4)...)
	for id := RequestID(1); id <= 400; id++ {
		req := host.request(Request{ID: id, Key: uint64(id)})
		if len(req.attempts) == 0 {
			t.Fatalf("request %d is refused: %v", id, host.finalReasons)
		}
		host.endAttempt(id, 0, StatusRejected)
		host.advance(ms)
	}
	host.checkViolations()
}

// A read whose proxy has no connection to the first candidate goes to another candidate with a connection.
// It waits if there is none at all, and is refused for that reason after a quarter of its time.
func TestConnectionShortage(t *testing.T) {
	host := newHost(t, testSettings(), 1)
	host.setMembers(ListCached, withOrigin(4)...)
	first := host.request(Request{ID: 1, Key: 9}).attempts[0].member
	host.endAttempt(1, 0, StatusOK)
	for name, c := range map[string]struct {
		wait func(MemberID) time.Duration
		sent int
		same bool
	}{
		"a short line":    {func(MemberID) time.Duration { return ms }, 1, true},
		"a long line":     {func(m MemberID) time.Duration { return time.Duration(m&1|1) * time.Hour }, 0, false},
		"stuck":           {func(m MemberID) time.Duration { return -time.Duration(boolToInt(m == first)) }, 1, false},
		"none to anybody": {func(MemberID) time.Duration { return -1 }, 0, false},
	} {
		host.connectionWait = c.wait
		id := RequestID(len(host.requests) + 1)
		asked := host.now
		req := host.request(Request{ID: id, Key: 9})
		if len(req.attempts) != c.sent || c.sent > 0 && (req.attempts[0].member == first) != c.same {
			t.Errorf("%s: sent %+v; the key's own is %d", name, req.attempts, first)
		}
		if c.sent > 0 {
			host.endAttempt(id, 0, StatusOK)
			continue
		}
		host.finalReasons = nil
		aim := host.balancer.requests[id].softDeadline - asked
		host.advance(aim/4 - unknownCacheRetryDelay)
		if req.finalAnswers > 0 {
			t.Errorf("%s: answered within a quarter of its time", name)
		}
		host.advance(2 * unknownCacheRetryDelay)
		if req.finalAnswers != 1 || !slices.Equal(host.finalReasons, []Reason{NoConnection}) {
			t.Errorf("%s: %d answers after a quarter of its time: %v", name, req.finalAnswers, host.finalReasons)
		}
	}
	host.connectionWait = func(MemberID) time.Duration { return -1 }
	req := host.request(Request{ID: 100, Key: 9})
	host.connectionWait = nil
	host.advance(2 * unknownCacheRetryDelay)
	if len(req.attempts) != 1 {
		t.Errorf("sent %d times once there was a connection", len(req.attempts))
	}
	host.endAttempt(100, 0, StatusOK)
	host.checkViolations()
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// A full member rejects requests without processing them. That does not indicate load of the fleet, and
// another member may well have capacity. Here half of the first attempts end this way, as happens by
// chance where members have few workers; the reads go on to another member, and none may be refused for the
// retry budget. Attempts that fail with an error take their full cost.
func TestFullAnswersSpareRetryBudget(t *testing.T) {
	for _, c := range []struct {
		status Status
		refuse bool
	}{{StatusFull, false}, {StatusError, true}} {
		host := newHost(t, testSettings(), 1)
		host.setMembers(ListFull, withOrigin(8)...)
		for id := RequestID(1); id <= 200; id++ {
			req := host.request(Request{ID: id, Key: uint64(id) * 7919})
			if id%2 == 0 && len(req.attempts) > 0 {
				host.endAttempt(id, 0, c.status)
			}
			if n := len(req.attempts); n > 0 && !req.attempts[n-1].ended {
				host.endAttempt(id, n-1, StatusOK)
			}
			host.advance(20 * ms)
		}
		refused := 0
		for _, why := range host.finalReasons {
			if why == RetryBudget {
				refused++
			}
		}
		if got := refused > 0; got != c.refuse {
			t.Errorf("%v: %d of 200 reads refused for the retry budget; refused %v, want %v", c.status, refused, got, c.refuse)
		}
		host.checkViolations()
	}
}

// Attempts rejected without processing are no sign of overload: where each read is accepted only by the
// third cache, the throttle, which compares attempts with answers, must refuse none. Where two of three
// attempts fail with an error, it must.
func TestFullAnswersDoNotThrottle(t *testing.T) {
	for _, c := range []struct {
		status Status
		refuse bool
	}{{StatusFull, false}, {StatusError, true}} {
		host := newHost(t, testSettings(), 1)
		host.setMembers(ListFull, withOrigin(8)...)
		for id := RequestID(1); id <= 200; id++ {
			host.balancer.retryTokens = retryBurst
			req := host.request(Request{ID: id, Key: uint64(id) * 7919})
			for n := 0; n < len(req.attempts) && req.finalAnswers == 0; n++ {
				if req.attempts[n].member != originID && n < 2 {
					host.endAttempt(id, n, c.status)
				} else {
					host.endAttempt(id, n, StatusOK)
				}
			}
			host.advance(20 * ms)
		}
		refused := 0
		for _, why := range host.finalReasons {
			if why == Throttled {
				refused++
			}
		}
		if got := refused > 0; got != c.refuse {
			t.Errorf("%v: %d of 200 reads throttled; want some: %v", c.status, refused, c.refuse)
		}
		host.checkViolations()
	}
}
