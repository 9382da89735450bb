package logic

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// A Balancer keeps the rules after importing any state, whether exported by a Balancer or damaged.
func TestImportedStateKeepsInvariants(t *testing.T) {
	for seed := range uint64(6) {
		settings := testSettings()
		settings.Zones, settings.CrossZoneCost = 2, 0.1
		old := driveRandom(t, settings, seed)
		state := old.balancer.ExportState(old.now)
		if len(state.Members) == 0 || len(state.Keys) == 0 {
			t.Fatalf("seed %d: nothing was learnt: %d members, %d keys", seed, len(state.Members), len(state.Keys))
		}
		importing := func(h *fakeHost) { h.importedState = &state }
		driveRandom(t, settings, seed+50, importing).checkViolations()

		rng := rand.New(rand.NewPCG(seed, 3))
		corrupt := func(f *float64) {
			if rng.IntN(3) == 0 {
				*f = []float64{math.NaN(), math.Inf(1), -1, 0, 1e300, 1e-300}[rng.IntN(6)]
			}
		}
		for i := range state.Members {
			m := &state.Members[i]
			for _, f := range []*float64{&m.Limit, &m.Latency, &m.SendInterval, &m.AnswerInterval, &m.FailureRate} {
				corrupt(f)
			}
			m.Samples, m.FailureStreak, m.EjectedFor = rng.IntN(3e9)-1, rng.IntN(100)-50, time.Duration(rng.Int64())
			if rng.IntN(4) == 0 {
				m.ID = MemberID(rng.IntN(20))
			}
		}
		for i := range state.Keys {
			k := &state.Keys[i]
			corrupt(&k.Count)
			corrupt(&k.MaxError)
			k.Members = append(k.Members, MemberID(rng.IntN(2000)), originID)
		}
		for _, f := range []*float64{&state.Total, &state.EarlierTotal, &state.Latency, &state.FailureRate, &state.Arrivals,
			&state.ServedWork, &state.SpanSeconds, &state.RecentAttempts, &state.RecentAnswers} {
			corrupt(f)
		}
		driveRandom(t, settings, seed+50, importing).checkViolations()
	}
}

// Only the state of members that are unchanged is imported, and never a cold budget, a drain or a request.
func TestImportStateTakesMatchingMembers(t *testing.T) {
	settings := testSettings()
	list := withOrigin(6)
	list[4].StartedAt = time.Hour - time.Second // cold, and listed so for both
	old := newHost(t, settings, 1)
	old.setMembers(ListCached, list...)
	for i := range 400 {
		a := old.request(Request{ID: RequestID(i + 1), Key: uint64(1 + i%8)})
		if len(a.attempts) == 1 {
			old.advance(10 * ms)
			old.endAttempt(a.ID, 0, StatusOK)
		}
	}
	old.balancer.closeWindow()
	for _, n := range append(old.balancer.caches, old.balancer.origins...) {
		n.samples, n.limit, n.latency, n.coldTokens = 50, 20+float64(n.entry.ID%7), 0.01, 3
	}
	old.request(Request{ID: 9999, Key: 5, Class: 1, Write: true}) // a pending order
	state := old.balancer.ExportState(old.now)

	list[0].State = Gone
	list[1].StartedAt = time.Hour // restarted
	list[2].State = Draining
	fresh := func() *fakeHost {
		host := newHost(t, settings, 2)
		host.setMembers(ListCached, list...)
		return host
	}
	host, plain := fresh(), fresh()
	if got := host.balancer.ImportState(host.now, state); got != 4 { // two warm caches, the cold one and the origin
		t.Errorf("something is taken over of %d members", got)
	}
	for id, n := range host.balancer.members {
		want := float64(initialLimit)
		if id != 2 && id != 3 {
			want = 20 + float64(id%7)
		}
		if n.limit != want {
			t.Errorf("member %d: limit %v, want %v", id, n.limit, want)
		}
		if other := plain.balancer.members[id]; n.coldTokens != other.coldTokens || n.entry.State != other.entry.State || n.outstanding != 0 {
			t.Errorf("member %d: a budget, a state or an attempt is taken over: %+v", id, n)
		}
	}
	if len(host.balancer.requests) != 0 || len(host.balancer.hotTable) == 0 {
		t.Errorf("%d requests, %d hot keys", len(host.balancer.requests), len(host.balancer.hotTable))
	}
	for key, p := range host.balancer.hotTable {
		for _, n := range p.members {
			if n.entry.State != Ready || n.entry.ID == 1 || n.entry.ID == 3 {
				t.Errorf("key %d is placed at member %d", key, n.entry.ID)
			}
			if was := old.balancer.hotTable[key]; was != nil && len(p.members) == 1 &&
				was.members[0].entry.ID > 3 && was.members[0].entry.ID != n.entry.ID {
				t.Errorf("key %d moves from %d to %d", key, was.members[0].entry.ID, n.entry.ID)
			}
		}
	}
	if host.balancer.ImportState(host.now, state) != 0 {
		t.Error("taken over twice")
	}
}

// internal/inherit stores the exported state as JSON, which processes of other versions read: its names
// must not change.
func TestExportedStateKeepsItsJSONNames(t *testing.T) {
	l := LearnedState{
		Keys:  []LearnedKey{{Key: 1, Count: 2, MaxError: 3, Members: []MemberID{4}}},
		Total: 5, EarlierTotal: 6,
		Members: []LearnedMember{{ID: 7, StartedAt: 8, Limit: 9, Latency: 10, SendInterval: 11, AnswerInterval: 12, Samples: 13,
			LimitCut: true, FailureRate: 14, FailureStreak: 15,
			EjectedFor: 16}},
		Latency: 17, FailureRate: 18, Arrivals: 19, ServedWork: 20, SpanSeconds: 21, RecentAttempts: 22, RecentAnswers: 23,
	}
	const want = `{"Keys":[{"Key":1,"Count":2,"Err":3,"At":[4]}],"Total":5,"Kept":6,` +
		`"Members":[{"ID":7,"StartedAt":8,"Limit":9,"Latency":10,"Gap":11,"Pace":12,"Seen":13,"Cut":true,"Fails":14,"Streak":15,"Out":16}],` +
		`"Latency":17,"Fails":18,"Arrivals":19,"Carried":20,"Span":21,"Asked":22,"Answered":23}`
	got, err := json.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Errorf("exported state is written as\n%s, want\n%s", got, want)
	}
}
