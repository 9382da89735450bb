package logic

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// fakeHost records actions and checks the rules that can be verified at a single proxy.
type fakeHost struct {
	t              *testing.T
	balancer       *Balancer
	settings       Settings
	now            time.Duration
	log            []string
	timers         []pendingTimer
	requests       map[RequestID]*hostRequest
	listed         map[MemberID]Member
	coldSends      map[MemberID][]time.Duration // times of sends to a member while it is cold
	watchCalls     int
	violations     []string
	finalReasons   []Reason                     // reasons of the final answers
	connectionWait func(MemberID) time.Duration // wait for a connection to a member; nil: none
	importedState  *LearnedState                // state imported after the first member list; nil: none
}

// pendingTimer is a timer that has not fired yet.
type pendingTimer struct {
	at    time.Duration
	token uint64
}

// hostRequest is a request with its attempts and the number of its final answers.
type hostRequest struct {
	Request
	finalAnswers int
	attempts     []hostAttempt
}

type hostAttempt struct {
	member     MemberID
	sentAt     time.Duration
	timeout    time.Duration
	ended      bool
	mayHaveRun bool
}

func newHost(t *testing.T, s Settings, seed uint64) *fakeHost {
	t.Helper()
	h := &fakeHost{t: t, settings: s, now: time.Hour, requests: map[RequestID]*hostRequest{},
		listed: map[MemberID]Member{}, coldSends: map[MemberID][]time.Duration{}}
	balancer, err := New(s, seed, h)
	if err != nil {
		t.Fatalf("New: %v", err)
	}
	h.balancer = balancer
	balancer.Start(h.now)
	return h
}

func (h *fakeHost) violate(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

func (h *fakeHost) record(format string, args ...any) {
	h.log = append(h.log, fmt.Sprintf("%v ", h.now)+fmt.Sprintf(format, args...))
}

func (h *fakeHost) Send(id RequestID, to MemberID, timeout, startBefore time.Duration) {
	h.record("send %d to %d for %v", id, to, timeout)
	r := h.requests[id]
	if r == nil {
		h.violate("send for unknown request %d", id)
		return
	}
	m, known := h.listed[to]
	if r.finalAnswers > 0 {
		h.violate("send for answered request %d", id)
	}
	if !known || m.State != Ready {
		h.violate("send to member %d, which is not ready", to)
	}
	if len(r.attempts) >= h.settings.MaxAttempts {
		h.violate("request %d: attempt %d of %d", id, len(r.attempts)+1, h.settings.MaxAttempts)
	}
	c := h.class(r.Class)
	for _, a := range r.attempts {
		if !a.ended && !h.settings.ConcurrentAttempts {
			h.violate("request %d: two attempts at once", id)
		}
		if a.mayHaveRun && c.Effect == AtMostOnce {
			h.violate("request %d: sent again though it may have run", id)
		}
		if a.mayHaveRun && c.Effect == DeduplicatedByKey && h.now >= a.sentAt+c.DedupWindow {
			h.violate("request %d: sent again outside its window", id)
		}
		if a.mayHaveRun && c.Effect == DeduplicatedByKey && (startBefore <= h.now || startBefore > a.sentAt+c.DedupWindow) {
			h.violate("request %d: sent again at %v, to start before %v, and its window ends at %v", id, h.now, startBefore, a.sentAt+c.DedupWindow)
		}
		if a.mayHaveRun && c.Effect == DeduplicatedByKey && m.StartedAt > a.sentAt {
			h.violate("request %d: sent again to member %d, which has started since", id, to)
		}
		if a.mayHaveRun && c.Effect == DeduplicatedByKey && c.Scope == ScopeZone && m.Zone != h.listed[a.member].Zone {
			h.violate("request %d: sent again outside its zone", id)
		}
	}
	if m.StartedAt > 0 && h.now-m.StartedAt < h.settings.SlowStartDuration && !(h.settings.Mode == CacheAside && m.Kind == h.settings.OriginKind) {
		h.coldSends[to] = append(h.coldSends[to], h.now)
	}
	r.attempts = append(r.attempts, hostAttempt{member: to, sentAt: h.now, timeout: timeout, mayHaveRun: true})
}

func (h *fakeHost) class(i int) Class {
	if i >= 0 && i < len(h.settings.Classes) {
		return h.settings.Classes[i]
	}
	c := h.settings.Classes[0]
	c.Effect = AtMostOnce
	return c
}

func (h *fakeHost) recordAnswer(id RequestID, refusal bool) {
	r := h.requests[id]
	if r == nil {
		h.violate("answer for unknown request %d", id)
		return
	}
	if r.finalAnswers++; r.finalAnswers > 1 {
		h.violate("request %d answered twice", id)
	}
	c := h.class(r.Class)
	for _, a := range r.attempts {
		if refusal && a.mayHaveRun && (c.Effect == AtMostOnce || c.Effect == DeduplicatedByKey && c.Scope != ScopeAll) {
			h.violate("request %d refused though it may have run", id)
		}
	}
}

func (h *fakeHost) Refuse(id RequestID, after time.Duration, why Reason) {
	h.record("refuse %d", id)
	h.finalReasons = append(h.finalReasons, why)
	h.recordAnswer(id, true)
}

func (h *fakeHost) NotifyWaiting(id RequestID, why Reason) {}

func (h *fakeHost) ConnectionWait(_ RequestID, m MemberID) time.Duration {
	if h.connectionWait == nil {
		return 0
	}
	return h.connectionWait(m)
}

func (h *fakeHost) Fail(id RequestID, why Reason) {
	h.record("fail %d", id)
	h.finalReasons = append(h.finalReasons, why)
	h.recordAnswer(id, false)
}

func (h *fakeHost) Cancel(id RequestID, attempt int) {
	h.record("cancel %d.%d", id, attempt)
	if r := h.requests[id]; r == nil || attempt >= len(r.attempts) {
		h.violate("cancel of attempt %d.%d, never sent", id, attempt)
	}
}

func (h *fakeHost) Probe(m MemberID)       { h.record("probe %d", m) }
func (h *fakeHost) CloseIdle(m MemberID)   { h.record("close %d", m) }
func (h *fakeHost) Watch(on bool)          { h.record("watch"); h.watchCalls++ }
func (h *fakeHost) FetchList()             { h.record("fetch") }
func (h *fakeHost) SendToPeer(int, []byte) { h.record("tell") }
func (h *fakeHost) Log(string)             {}
func (h *fakeHost) SetTimer(at time.Duration, token uint64) {
	h.timers = append(h.timers, pendingTimer{at, token})
}

func (h *fakeHost) setMembers(kind ListKind, list ...Member) {
	if kind == ListFull || kind == ListCached {
		h.listed = map[MemberID]Member{}
	}
	if kind != ListFailed {
		for _, m := range list {
			h.listed[m.ID] = m
		}
	}
	h.balancer.SetMembers(h.now, kind, list)
}

func (h *fakeHost) request(r Request) *hostRequest {
	if r.Deadline == 0 {
		r.Deadline = h.now + h.class(r.Class).Deadline
	}
	o := &hostRequest{Request: r}
	h.requests[r.ID] = o
	h.balancer.Request(h.now, r)
	return o
}

// endAttempt ends an attempt; the status decides whether it may have run.
func (h *fakeHost) endAttempt(id RequestID, attempt int, s Status) {
	r := h.requests[id]
	a := &r.attempts[attempt]
	a.ended = true
	a.mayHaveRun = !s.NeverRan()
	if s == StatusOK && r.finalAnswers == 0 {
		r.finalAnswers = 1
	}
	h.balancer.Outcome(h.now, Outcome{Request: id, Attempt: attempt, Member: a.member, Status: s,
		Elapsed: h.now - a.sentAt, Final: r.finalAnswers > 0})
}

// advance moves the clock forward and fires timers in order.
func (h *fakeHost) advance(d time.Duration) {
	end := h.now + d
	for {
		slices.SortStableFunc(h.timers, func(a, b pendingTimer) int { return cmp.Compare(a.at, b.at) })
		if len(h.timers) == 0 || h.timers[0].at > end {
			break
		}
		next := h.timers[0]
		h.timers = h.timers[1:]
		h.now = max(h.now, next.at)
		h.balancer.Timer(h.now, next.token)
	}
	h.now = end
}

func (h *fakeHost) checkViolations() {
	h.t.Helper()
	for _, s := range h.violations {
		h.t.Errorf("rule broken: %s", s)
	}
}

func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{Name: "read", SoftDeadline: 500 * ms, Deadline: 2 * time.Second, Value: 1},
			{Name: "order", SoftDeadline: time.Second, Deadline: 4 * time.Second, Value: 3, Effect: AtMostOnce},
			{Name: "note", SoftDeadline: 600 * ms, Deadline: 2 * time.Second, Value: 2, Effect: DeduplicatedByKey,
				DedupWindow: 700 * ms},
			{Name: "zoned", SoftDeadline: 600 * ms, Deadline: 2 * time.Second, Value: 2, Effect: DeduplicatedByKey,
				Scope: ScopeZone, DedupWindow: 900 * ms},
		},
		Instances: 3, Mode: CacheAside, OriginKind: 9, MaxAttempts: 4, MaxEventDelay: 5 * ms, CanCancel: true, Zones: 1,
		SlowStartCapacity: 0.2, SlowStartDuration: 10 * time.Second, OverloadMultiple: 3, OverloadDuration: 1500 * ms,
		Weights: WeightsNominal,
	}
}

func cacheMembers(n int) []Member {
	var list []Member
	for i := range n {
		list = append(list, Member{ID: MemberID(i + 1), Zone: i % 2, Weight: 1})
	}
	return list
}

const originID MemberID = 1000

func withOrigin(n int) []Member {
	return append(cacheMembers(n), Member{ID: originID, Kind: 9, Weight: 1})
}
