package logic

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// fakeHost records actions and checks the rules that need no more than one proxy's view.
type fakeHost struct {
	t      *testing.T
	b      *Balancer
	s      Settings
	now    time.Duration
	log    []string
	timers []timerAt
	open   map[RequestID]*openRequest
	list   map[MemberID]Member
	cold   map[MemberID][]time.Duration // sends to a member while it is cold
	watch  int
	broken []string
	why    []Reason                     // of the final answers
	wait   func(MemberID) time.Duration // for a connection; nil: none
	heirOf *LearnedState                // what it takes over with its first list; nil: nothing
}

type timerAt struct {
	at    time.Duration
	token uint64
}

type openRequest struct {
	Request
	answered int
	sent     []sentTo
}

type sentTo struct {
	to      MemberID
	at      time.Duration
	timeout time.Duration
	ended   bool
	ran     bool
}

func newHost(t *testing.T, s Settings, seed uint64) *fakeHost {
	t.Helper()
	h := &fakeHost{t: t, s: s, now: time.Hour, open: map[RequestID]*openRequest{},
		list: map[MemberID]Member{}, cold: map[MemberID][]time.Duration{}}
	b, err := New(s, seed, h)
	if err != nil {
		t.Fatalf("New: %v", err)
	}
	h.b = b
	b.Start(h.now)
	return h
}

func (h *fakeHost) breach(format string, args ...any) {
	h.broken = append(h.broken, fmt.Sprintf(format, args...))
}

func (h *fakeHost) note(format string, args ...any) {
	h.log = append(h.log, fmt.Sprintf("%v ", h.now)+fmt.Sprintf(format, args...))
}

func (h *fakeHost) Send(id RequestID, to MemberID, timeout time.Duration) {
	h.note("send %d to %d for %v", id, to, timeout)
	r := h.open[id]
	if r == nil {
		h.breach("send for unknown request %d", id)
		return
	}
	m, known := h.list[to]
	if r.answered > 0 {
		h.breach("send for answered request %d", id)
	}
	if !known || m.State != Ready {
		h.breach("send to member %d, which is not ready", to)
	}
	if len(r.sent) >= h.s.MaxAttempts {
		h.breach("request %d: attempt %d of %d", id, len(r.sent)+1, h.s.MaxAttempts)
	}
	c := h.class(r.Class)
	for _, a := range r.sent {
		if !a.ended && !h.s.ConcurrentAttempts {
			h.breach("request %d: two attempts at once", id)
		}
		if a.ran && c.Effect == AtMostOnce {
			h.breach("request %d: sent again though it may have run", id)
		}
		if a.ran && c.Effect == DeduplicatedByKey && h.now >= a.at+c.DedupWindow {
			h.breach("request %d: sent again outside its window", id)
		}
		if a.ran && c.Effect == DeduplicatedByKey && c.Scope == ScopeZone && m.Zone != h.list[a.to].Zone {
			h.breach("request %d: sent again outside its zone", id)
		}
	}
	if m.StartedAt > 0 && h.now-m.StartedAt < h.s.SlowStartDuration && !(h.s.Mode == CacheAside && m.Kind == h.s.OriginKind) {
		h.cold[to] = append(h.cold[to], h.now)
	}
	r.sent = append(r.sent, sentTo{to: to, at: h.now, timeout: timeout, ran: true})
}

func (h *fakeHost) class(i int) Class {
	if i >= 0 && i < len(h.s.Classes) {
		return h.s.Classes[i]
	}
	c := h.s.Classes[0]
	c.Effect = AtMostOnce
	return c
}

func (h *fakeHost) answer(id RequestID, refusal bool) {
	r := h.open[id]
	if r == nil {
		h.breach("answer for unknown request %d", id)
		return
	}
	if r.answered++; r.answered > 1 {
		h.breach("request %d answered twice", id)
	}
	c := h.class(r.Class)
	for _, a := range r.sent {
		if refusal && a.ran && (c.Effect == AtMostOnce || c.Effect == DeduplicatedByKey && c.Scope != ScopeAll) {
			h.breach("request %d refused though it may have run", id)
		}
	}
}

func (h *fakeHost) Refuse(id RequestID, after time.Duration, why Reason) {
	h.note("refuse %d", id)
	h.why = append(h.why, why)
	h.answer(id, true)
}

func (h *fakeHost) NotifyWaiting(id RequestID, why Reason) {}

func (h *fakeHost) ConnectionWait(_ RequestID, m MemberID) time.Duration {
	if h.wait == nil {
		return 0
	}
	return h.wait(m)
}

func (h *fakeHost) Fail(id RequestID, why Reason) {
	h.note("fail %d", id)
	h.why = append(h.why, why)
	h.answer(id, false)
}

func (h *fakeHost) Cancel(id RequestID, attempt int) {
	h.note("cancel %d.%d", id, attempt)
	if r := h.open[id]; r == nil || attempt >= len(r.sent) {
		h.breach("cancel of attempt %d.%d, never sent", id, attempt)
	}
}

func (h *fakeHost) Probe(m MemberID)       { h.note("probe %d", m) }
func (h *fakeHost) CloseIdle(m MemberID)   { h.note("close %d", m) }
func (h *fakeHost) Watch(on bool)          { h.note("watch"); h.watch++ }
func (h *fakeHost) FetchList()             { h.note("fetch") }
func (h *fakeHost) SendToPeer(int, []byte) { h.note("tell") }
func (h *fakeHost) Log(string)             {}
func (h *fakeHost) SetTimer(at time.Duration, token uint64) {
	h.timers = append(h.timers, timerAt{at, token})
}

func (h *fakeHost) members(kind ListKind, list ...Member) {
	if kind == ListFull || kind == ListCached {
		h.list = map[MemberID]Member{}
	}
	if kind != ListFailed {
		for _, m := range list {
			h.list[m.ID] = m
		}
	}
	h.b.SetMembers(h.now, kind, list)
}

func (h *fakeHost) ask(r Request) *openRequest {
	if r.Deadline == 0 {
		r.Deadline = h.now + h.class(r.Class).Deadline
	}
	o := &openRequest{Request: r}
	h.open[r.ID] = o
	h.b.Request(h.now, r)
	return o
}

// end ends an attempt; the status decides whether it may have run.
func (h *fakeHost) end(id RequestID, attempt int, s Status) {
	r := h.open[id]
	a := &r.sent[attempt]
	a.ended = true
	a.ran = !s.NeverRan()
	if s == StatusOK && r.answered == 0 {
		r.answered = 1
	}
	h.b.Outcome(h.now, Outcome{Request: id, Attempt: attempt, Member: a.to, Status: s,
		Elapsed: h.now - a.at, Final: r.answered > 0})
}

// run advances the clock, delivering timers in order.
func (h *fakeHost) run(d time.Duration) {
	end := h.now + d
	for {
		slices.SortStableFunc(h.timers, func(a, b timerAt) int { return cmp.Compare(a.at, b.at) })
		if len(h.timers) == 0 || h.timers[0].at > end {
			break
		}
		next := h.timers[0]
		h.timers = h.timers[1:]
		h.now = max(h.now, next.at)
		h.b.Timer(h.now, next.token)
	}
	h.now = end
}

func (h *fakeHost) check() {
	h.t.Helper()
	for _, s := range h.broken {
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

func caches(n int) []Member {
	var list []Member
	for i := range n {
		list = append(list, Member{ID: MemberID(i + 1), Zone: i % 2, Weight: 1})
	}
	return list
}

const originID MemberID = 1000

func withOrigin(n int) []Member {
	return append(caches(n), Member{ID: originID, Kind: 9, Weight: 1})
}
