package explore

import (
	"cmp"
	"crypto/md5"
	"fmt"
	"slices"
	"strings"
	"time"

	"linenloom/logic"
)

// Scenario is the initial state of a BalancerModel and the events that may occur in it.
type Scenario struct {
	Settings logic.Settings
	Seed     uint64
	Members  []logic.Member
	// WarmupReads is the number of reads served before the scenario begins, 5 ms apart, from which the
	// module learns the state of the caches.
	WarmupReads int
	// Requests may each be sent once, in any order. Their Deadline counts from then on.
	Requests []logic.Request
	// Outcomes are the statuses that an attempt may end with.
	Outcomes []logic.Status
	// Changes are updates of the member list, each of which may occur once.
	Changes []logic.Member
	// ClientsMayLeave allows clients to cancel their requests.
	ClientsMayLeave bool
	// MaxColdRequests bounds the requests to a cold member within Settings.OverloadDuration.
	MaxColdRequests int
	// Tests inject faults between the module and the host: Wrap between its actions and the host,
	// AlterOutcome into the outcomes that it receives. HideChanges hides changes of the list from it.
	Wrap         func(*BalancerModel, logic.Actions) logic.Actions
	AlterOutcome func(logic.Outcome) logic.Outcome
	HideChanges  bool
}

// BalancerModel is a Model of the decision module with a simulated host, which checks the module after
// every event by what a host can observe:
//
//   - Each request gets one final answer, in time, and is not sent after it.
//   - Nothing runs twice that must not, and nothing is refused that may have run.
//   - Nothing is sent to a member that is not ready.
//   - No cold member receives more than its budget.
//   - No request is held back: one without outstanding attempts that can no longer be sent to any
//     member has its final answer.
//
// Clock and timers are simulated. All events of a step occur at the same time.
type BalancerModel struct {
	Balancer       *logic.Balancer
	Now            time.Duration
	scenario       Scenario
	start          time.Duration
	timers         []timer
	requests       []*request // in the order of Scenario.Requests
	list           map[logic.MemberID]logic.Member
	changesApplied []bool
	coldSends      map[logic.MemberID][]time.Duration
	violations     []string
	Answers        map[logic.Reason]int // final answers by reason
	Waits          map[logic.Reason]int // waits by reason
}

type timer struct {
	at    time.Duration
	token uint64
}

type request struct {
	logic.Request
	submitted    bool
	submittedAt  time.Duration
	softDeadline time.Duration
	answerCount  int
	cancelled    bool
	missed       bool // its latest attempt was a miss, so the next one goes to an origin
	attempts     []attempt
}

type attempt struct {
	member   logic.Member
	sentAt   time.Duration
	status   logic.Status
	ended    bool
	maybeRan bool
}

// NewBalancerModel returns the model at the start of a scenario.
func NewBalancerModel(scenario Scenario) (*BalancerModel, error) {
	model := &BalancerModel{scenario: scenario, start: time.Hour, Now: time.Hour, list: map[logic.MemberID]logic.Member{},
		coldSends: map[logic.MemberID][]time.Duration{}, changesApplied: make([]bool, len(scenario.Changes)),
		Answers: map[logic.Reason]int{}, Waits: map[logic.Reason]int{}}
	for _, r := range scenario.Requests {
		model.requests = append(model.requests, &request{Request: r})
	}
	var actions logic.Actions = host{model}
	if scenario.Wrap != nil {
		actions = scenario.Wrap(model, actions)
	}
	b, err := logic.New(scenario.Settings, scenario.Seed, actions)
	if err != nil {
		return nil, err
	}
	model.Balancer = b
	b.Start(model.Now)
	for _, m := range scenario.Members {
		model.list[m.ID] = m
	}
	b.SetMembers(model.Now, logic.ListCached, scenario.Members)
	model.serveReads(scenario.WarmupReads)
	return model, nil
}

// firstWarmupID is greater than all request ids of a scenario.
const firstWarmupID logic.RequestID = 1 << 20

// serveReads serves the given number of reads before the scenario begins.
func (b *BalancerModel) serveReads(reads int) {
	scenarioRequests := b.requests
	for i := range reads {
		b.requests = []*request{{Request: logic.Request{ID: firstWarmupID + logic.RequestID(i), Key: uint64(i) + 1<<32, Deadline: time.Second}}}
		b.submit(b.requests[0])
		b.EndAttempt(0, 0, logic.StatusOK)
		for end := b.Now + 5*time.Millisecond; ; b.runNextTimer() {
			b.timers = slices.DeleteFunc(b.timers, func(t timer) bool { return logic.RequestID(t.token>>3) >= firstWarmupID })
			if slices.SortStableFunc(b.timers, byTime); len(b.timers) == 0 || b.timers[0].at > end {
				b.Now = end
				break
			}
		}
	}
	b.requests = scenarioRequests
}

func byTime(a, b timer) int { return cmp.Compare(a.at, b.at) }

// Steps returns the possible steps: "ask 1", "1.0 reset", "leave 1", "list 0", and "time" for the next
// timer.
func (b *BalancerModel) Steps() (steps []string) {
	for i, r := range b.requests {
		switch {
		case !r.submitted:
			steps = append(steps, fmt.Sprint("ask ", i))
		case b.scenario.ClientsMayLeave && r.answerCount == 0 && !r.cancelled:
			steps = append(steps, fmt.Sprint("leave ", i))
		}
		for k, a := range r.attempts {
			if a.ended {
				continue
			}
			for _, status := range b.scenario.Outcomes {
				if b.isPossible(r, a, status) {
					steps = append(steps, fmt.Sprintf("%d.%d %v", i, k, status))
				}
			}
		}
	}
	for i, done := range b.changesApplied {
		if !done {
			steps = append(steps, fmt.Sprint("list ", i))
		}
	}
	if len(b.timers) > 0 {
		steps = append(steps, "time")
	}
	return steps
}

// isPossible reports whether an attempt can end with a status: only caches miss, and only reads.
func (b *BalancerModel) isPossible(r *request, a attempt, s logic.Status) bool {
	return s != logic.StatusMiss || !r.Write && !b.isOrigin(a.member)
}

// Do executes one step.
func (b *BalancerModel) Do(step string) {
	var i, k int
	var name string
	switch {
	case step == "time":
		b.runNextTimer()
	case scanStep(step, "ask %d", &i):
		b.submit(b.requests[i])
	case scanStep(step, "leave %d", &i):
		b.requests[i].cancelled = true
		b.Balancer.RequestCancelled(b.Now, b.requests[i].ID)
	case scanStep(step, "list %d", &i):
		b.changesApplied[i] = true
		m := b.scenario.Changes[i]
		b.list[m.ID] = m
		if !b.scenario.HideChanges {
			b.Balancer.SetMembers(b.Now, logic.ListDelta, []logic.Member{m})
		}
	case scanStep(step, "%d.%d %s", &i, &k, &name):
		at := slices.IndexFunc(b.scenario.Outcomes, func(s logic.Status) bool { return s.String() == name })
		b.EndAttempt(i, k, b.scenario.Outcomes[at])
	default:
		b.addViolation("there is no step %q", step)
	}
	b.checkRequests()
}

func scanStep(step, format string, args ...any) bool {
	n, err := fmt.Sscanf(step, format, args...)
	return err == nil && n == len(args)
}

func (b *BalancerModel) submit(r *request) {
	r.submitted, r.submittedAt = true, b.Now
	r.Deadline += b.Now
	c := b.class(r)
	r.softDeadline = min(b.Now+c.SoftDeadline, r.Deadline)
	if c.LateValue > 0 {
		r.softDeadline = r.Deadline
	}
	b.Balancer.Request(b.Now, r.Request)
}

// EndAttempt ends an attempt with a status.
func (b *BalancerModel) EndAttempt(i, k int, status logic.Status) {
	r := b.requests[i]
	finished := &r.attempts[k]
	finished.ended, finished.status, finished.maybeRan = true, status, !status.NeverRan()
	r.missed = status == logic.StatusMiss || r.missed && b.isOrigin(finished.member)
	if status == logic.StatusOK && r.answerCount == 0 && !r.cancelled {
		r.answerCount = 1
	}
	outcome := logic.Outcome{Request: r.ID, Attempt: k, Member: finished.member.ID, Status: status, Elapsed: b.Now - finished.sentAt,
		Final: r.answerCount > 0 || r.cancelled}
	if b.scenario.AlterOutcome != nil {
		outcome = b.scenario.AlterOutcome(outcome)
	}
	b.Balancer.Outcome(b.Now, outcome)
}

// runNextTimer advances the time to the next timer and runs it.
func (b *BalancerModel) runNextTimer() {
	slices.SortStableFunc(b.timers, byTime)
	next := b.timers[0]
	b.timers = b.timers[1:]
	b.Now = max(b.Now, next.at)
	b.Balancer.Timer(b.Now, next.token)
}

// Finish advances the time without answering any attempt until all requests are past their deadlines.
func (b *BalancerModel) Finish() {
	var lastDeadline time.Duration
	for _, r := range b.requests {
		lastDeadline = max(lastDeadline, r.Deadline)
	}
	for b.Now < lastDeadline && len(b.timers) > 0 {
		b.runNextTimer()
		b.checkRequests()
	}
	b.Now = max(b.Now, lastDeadline)
	for i, r := range b.requests {
		for k := range r.attempts {
			if !r.attempts[k].ended {
				b.EndAttempt(i, k, logic.StatusTimeout)
				b.checkRequests()
			}
		}
		if r.submitted && !r.cancelled && r.answerCount != 1 {
			b.addViolation("request %d has %d final answers", r.ID, r.answerCount)
		}
	}
	if n := b.Balancer.Outstanding(); n != 0 {
		b.addViolation("%d requests are left behind", n)
	}
}

// Violations returns the violations found so far.
func (b *BalancerModel) Violations() []string { return b.violations }

// Key hashes the module's complete state and what the host remembers.
func (b *BalancerModel) Key() [16]byte {
	var state strings.Builder
	digest := b.Balancer.StateDigest()
	state.Write(digest[:])
	slices.SortStableFunc(b.timers, byTime)
	fmt.Fprint(&state, b.timers, b.changesApplied, b.Now)
	for _, r := range b.requests {
		fmt.Fprint(&state, r.submitted, r.submittedAt, r.answerCount, r.cancelled, r.missed, r.attempts)
	}
	for _, m := range b.scenario.Members {
		fmt.Fprint(&state, b.coldSends[m.ID])
	}
	return md5.Sum([]byte(state.String()))
}

func (b *BalancerModel) addViolation(format string, args ...any) {
	b.violations = append(b.violations, fmt.Sprintf(format, args...))
}

// checkRequests checks every request after an event.
func (b *BalancerModel) checkRequests() {
	for _, r := range b.requests {
		if !r.submitted || r.answerCount > 0 || r.cancelled {
			continue
		}
		if b.Now > r.Deadline+b.scenario.Settings.AnswerGrace {
			b.addViolation("request %d has no answer %v after its deadline", r.ID, b.Now-r.Deadline)
		}
		if !r.outstanding() && !b.canBeSent(r) {
			b.addViolation("request %d is held back: it has no attempt outstanding and can be sent to no member", r.ID)
		}
	}
}

func (r *request) outstanding() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.ended })
}

// firstMaybeRan returns the first attempt that may have run.
func (r *request) firstMaybeRan() *attempt {
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.ended || a.maybeRan {
			return a
		}
	}
	return nil
}

// canBeSent reports whether a request could be sent to any member now, or later before its soft deadline,
// by the rules and the member list alone. It ignores loads, limits and budgets, which may later allow what
// they forbid now.
func (b *BalancerModel) canBeSent(r *request) bool {
	sent := 0
	for _, a := range r.attempts {
		if a.status != logic.StatusNoConn {
			sent++
		}
	}
	if b.Now >= r.softDeadline || sent >= b.scenario.Settings.MaxAttempts {
		return false
	}
	for _, m := range b.list {
		if m.State != logic.Ready {
			continue
		}
		if b.scenario.Settings.Mode == logic.CacheAside {
			// A read that has failed goes to an origin at its last attempt, as other caches would lack its
			// key.
			last := sent > 0 && sent+1 == b.scenario.Settings.MaxAttempts
			if toOrigin := b.isOrigin(m); r.Write && !toOrigin || !r.Write && toOrigin && !r.missed && !last {
				continue
			}
		}
		if b.mayRunAt(r, m) {
			return true
		}
	}
	return false
}

// mayRunAt reports whether the rules allow a request to be sent to a member, given what its earlier
// attempts may have done.
func (b *BalancerModel) mayRunAt(r *request, m logic.Member) bool {
	first, c := r.firstMaybeRan(), b.class(r)
	if first == nil || c.Effect == logic.Repeatable {
		return true
	}
	if c.Effect == logic.AtMostOnce || b.Now >= first.sentAt+c.DedupWindow {
		return false
	}
	return c.Scope == logic.ScopeAll || c.Scope == logic.ScopeZone && m.Zone == first.member.Zone ||
		c.Scope == logic.ScopeCell && m.Cell == first.member.Cell
}

func (b *BalancerModel) isOrigin(m logic.Member) bool {
	s := &b.scenario.Settings
	return s.Mode == logic.CacheAside && s.OriginKind >= 0 && m.Kind == s.OriginKind
}

// class returns the class of a request. Unknown classes get the strictest effect.
func (b *BalancerModel) class(r *request) logic.Class {
	if s := &b.scenario.Settings; r.Class < 0 || r.Class >= len(s.Classes) {
		c := s.Classes[0]
		c.Effect = logic.AtMostOnce
		return c
	}
	return b.scenario.Settings.Classes[r.Class]
}

// findRequest returns a request by its id.
func (b *BalancerModel) findRequest(id logic.RequestID) *request {
	for _, r := range b.requests {
		if r.ID == id && r.submitted {
			return r
		}
	}
	b.addViolation("an action names request %d, which was not sent", id)
	return nil
}

// SoftDeadline returns the time after which the answer to a request has no value.
func (b *BalancerModel) SoftDeadline(id logic.RequestID) time.Duration {
	if r := b.findRequest(id); r != nil {
		return r.softDeadline
	}
	return 0
}

// host executes the module's actions and checks them against the rules.
type host struct{ model *BalancerModel }

func (h host) Send(id logic.RequestID, to logic.MemberID, _, _ time.Duration) {
	model := h.model
	r := model.findRequest(id)
	if r == nil {
		return
	}
	m, known := model.list[to]
	switch {
	case r.answerCount > 0 || r.cancelled:
		model.addViolation("request %d is sent after its end", id)
	case !known || m.State != logic.Ready:
		model.addViolation("request %d is sent to member %d, which is not ready", id, to)
	case r.outstanding() && !model.scenario.Settings.ConcurrentAttempts:
		model.addViolation("request %d has two attempts outstanding", id)
	case !model.mayRunAt(r, m):
		model.addViolation("request %d could run twice", id)
	}
	settings := &model.scenario.Settings
	if m.StartedAt > 0 && model.Now-m.StartedAt < settings.SlowStartDuration && !model.isOrigin(m) {
		sends := append(model.coldSends[to], model.Now)
		sends = slices.DeleteFunc(sends, func(at time.Duration) bool { return model.Now-at >= settings.OverloadDuration })
		if model.coldSends[to] = sends; len(sends) > model.scenario.MaxColdRequests {
			model.addViolation("cold member %d is sent %d requests in %v", to, len(sends), settings.OverloadDuration)
		}
	}
	r.attempts = append(r.attempts, attempt{member: m, sentAt: model.Now, maybeRan: true})
	sent := 0
	for _, a := range r.attempts {
		if !a.ended || a.status != logic.StatusNoConn {
			sent++
		}
	}
	if sent > settings.MaxAttempts {
		model.addViolation("request %d has attempt %d of %d", id, sent, settings.MaxAttempts)
	}
}

func (h host) recordAnswer(id logic.RequestID, refusal bool, why logic.Reason) {
	model := h.model
	r := model.findRequest(id)
	if r == nil {
		return
	}
	model.Answers[why]++
	if r.answerCount++; r.answerCount > 1 || r.cancelled {
		model.addViolation("request %d is answered after its end", id)
	}
	if why == logic.NoReason || why >= logic.ReasonCount {
		model.addViolation("request %d is answered without a reason", id)
	}
	c := model.class(r)
	if refusal && r.firstMaybeRan() != nil && (c.Effect == logic.AtMostOnce || c.Effect == logic.DeduplicatedByKey && c.Scope != logic.ScopeAll) {
		model.addViolation("request %d is refused though it may have run", id)
	}
}

func (h host) Refuse(id logic.RequestID, _ time.Duration, why logic.Reason) {
	h.recordAnswer(id, true, why)
}
func (h host) Fail(id logic.RequestID, why logic.Reason)         { h.recordAnswer(id, false, why) }
func (h host) NotifyWaiting(_ logic.RequestID, why logic.Reason) { h.model.Waits[why]++ }
func (h host) SetTimer(at time.Duration, token uint64) {
	h.model.timers = append(h.model.timers, timer{max(at, h.model.Now), token})
}
func (h host) Cancel(logic.RequestID, int)                                  {}
func (h host) Probe(logic.MemberID)                                         {}
func (h host) ConnectionWait(logic.RequestID, logic.MemberID) time.Duration { return 0 }
func (h host) CloseIdle(logic.MemberID)                                     {}
func (h host) Watch(bool)                                                   {}
func (h host) FetchList()                                                   {}
func (h host) SendToPeer(int, []byte)                                       {}
func (h host) Log(string)                                                   {}
