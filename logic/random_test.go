package logic

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestRandomEvents runs long random event sequences and checks the rules as invariants.
func TestRandomEvents(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"aside":   func(s *Settings) {},
		"through": func(s *Settings) { s.Mode = ReadThrough },
		"zones":   func(s *Settings) { s.Zones, s.CrossZoneCost = 2, 0.1 },
		"copies":  func(s *Settings) { s.ConcurrentAttempts, s.MaxAttempts = true, 3 },
		"live":    func(s *Settings) { s.Weights, s.Subscribe = WeightsLive, true },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(6) {
				settings := testSettings()
				change(&settings)
				settings.Tenants = []Tenant{{Share: 0.7}, {Share: 0.3}}
				driveRandom(t, settings, seed).checkViolations()
			}
		})
	}
	t.Run("short of connections", func(t *testing.T) {
		for seed := range uint64(2) {
			waits := rand.New(rand.NewPCG(seed, 7))
			driveRandom(t, testSettings(), seed, func(h *fakeHost) {
				h.connectionWait = func(MemberID) time.Duration { return time.Duration(waits.IntN(60)-20) * ms }
			}).checkViolations()
		}
	})
}

func TestSameSeedSameActions(t *testing.T) {
	a, b := driveRandom(t, testSettings(), 5), driveRandom(t, testSettings(), 5)
	if !slices.Equal(a.log, b.log) {
		t.Error("the same seed and events gave other actions")
	}
	if c := driveRandom(t, testSettings(), 6); slices.Equal(a.log, c.log) {
		t.Error("another seed gave the same actions: the comparison sees nothing")
	}
}

// driveRandom runs a random event sequence and checks that every request gets exactly one answer.
func driveRandom(t *testing.T, settings Settings, seed uint64, edit ...func(*fakeHost)) *fakeHost {
	t.Helper()
	host := newHost(t, settings, seed)
	for _, f := range edit {
		f(host)
	}
	rng := rand.New(rand.NewPCG(seed, 42))
	list := withOrigin(12)
	host.setMembers(ListCached, list...)
	if host.importedState != nil {
		host.balancer.ImportState(host.now, *host.importedState)
	}
	next := RequestID(0)
	for range 6000 {
		switch p := rng.IntN(100); {
		case p < 45:
			next++
			class := rng.IntN(len(settings.Classes) + 1)
			host.request(Request{ID: next, Key: uint64(rng.IntN(60) * rng.IntN(2)), Class: class, Tenant: rng.IntN(3),
				Write: class != 0, CostKnown: p < 20, Cost: time.Duration(rng.IntN(80)) * ms,
				Deadline: host.now + time.Duration(rng.IntN(1500))*ms})
		case p < 80:
			host.endRandomAttempt(rng)
		case p < 84:
			host.changeRandomMember(rng, list)
		case p < 85:
			host.setMembers([]ListKind{ListFull, ListFailed}[rng.IntN(2)], list...)
		case p < 87:
			host.cancelRandomRequest(rng)
		}
		host.advance(time.Duration(rng.IntN(12)) * ms)
		host.checkDeadlines()
	}
	host.advance(20 * time.Second)
	for id := RequestID(1); id <= next; id++ {
		if host.requests[id].finalAnswers != 1 {
			host.violate("request %d answered %d times", id, host.requests[id].finalAnswers)
		}
	}
	host.checkColdSends()
	return host
}

var randomStatuses = []Status{StatusOK, StatusOK, StatusOK, StatusMiss, StatusMiss, StatusFull, StatusError,
	StatusTimeout, StatusConnectFailed, StatusReset, StatusCancelled, StatusMoot, StatusUnknown}

// endRandomAttempt ends an outstanding attempt of a random request.
func (h *fakeHost) endRandomAttempt(rng *rand.Rand) {
	ids := make([]RequestID, 0, len(h.requests))
	for id, r := range h.requests {
		if slices.ContainsFunc(r.attempts, func(a hostAttempt) bool { return !a.ended }) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	id := ids[rng.IntN(len(ids))]
	for i, a := range h.requests[id].attempts {
		if !a.ended {
			h.endAttempt(id, i, randomStatuses[rng.IntN(len(randomStatuses))])
			if rng.IntN(10) == 0 { // reported twice
				h.balancer.Outcome(h.now, Outcome{Request: id, Attempt: i, Member: a.member, Status: StatusTimeout})
			}
			return
		}
	}
}

// changeRandomMember drains, removes or restarts a random member.
func (h *fakeHost) changeRandomMember(rng *rand.Rand, list []Member) {
	m := &list[rng.IntN(len(list))]
	switch rng.IntN(4) {
	case 0:
		m.State = Draining
	case 1:
		m.State = Gone
	default:
		m.State = Ready
		if m.ID != originID {
			m.StartedAt = h.now
			delete(h.coldSends, m.ID)
		}
	}
	h.setMembers(ListDelta, *m)
}

// cancelRandomRequest cancels an unanswered request.
func (h *fakeHost) cancelRandomRequest(rng *rand.Rand) {
	for id, n := RequestID(1), RequestID(len(h.requests)); id <= n; id++ {
		if r := h.requests[id]; r.finalAnswers == 0 && rng.IntN(5) == 0 {
			r.finalAnswers = 1
			h.balancer.RequestCancelled(h.now, id)
			return
		}
	}
}

// checkDeadlines checks that requests are answered by their deadline.
func (h *fakeHost) checkDeadlines() {
	for id, r := range h.requests {
		if r.finalAnswers == 0 && h.now > r.Deadline+20*ms {
			h.violate("request %d unanswered %v after its deadline", id, h.now-r.Deadline)
			r.finalAnswers = 1
		}
	}
}

// checkColdSends checks sends to cold members against the budget of the whole fleet: even a single proxy
// that carries all load must stay below it. The capacity of a member is taken to be its even share of the
// requests.
func (h *fakeHost) checkColdSends() {
	rate := float64(len(h.requests)) / (h.now - time.Hour).Seconds()
	for id, at := range h.coldSends {
		for i := range at {
			in := 0
			for _, x := range at[i:] {
				if x-at[i] < h.settings.OverloadDuration {
					in++
				}
			}
			age := min(1, (at[i]+h.settings.OverloadDuration-h.listed[id].StartedAt).Seconds()/h.settings.SlowStartDuration.Seconds())
			ramp := h.settings.SlowStartCapacity + (1-h.settings.SlowStartCapacity)*age
			allowed := 2 + h.settings.OverloadMultiple*ramp*2*rate/12*h.settings.OverloadDuration.Seconds()
			if float64(in) > allowed {
				h.violate("cold member %d got %d sends in %v, at most %.1f", id, in, h.settings.OverloadDuration, allowed)
				return
			}
		}
	}
}
