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

// Scene is what a World begins with and what may happen in it.
type Scene struct {
	Settings logic.Settings
	Seed     uint64
	Members  []logic.Member
	// Served is how many reads have been served, 5 ms apart, before the scene: by them the module knows what the caches do.
	Served int
	// Requests may each be asked once, in any order; Deadline counts from then on.
	Requests []logic.Request
	// Outcomes that an attempt may have.
	Outcomes []logic.Status
	// Changes of the list, each of which may come once.
	Changes []logic.Member
	// Leaving: clients may leave.
	Leaving bool
	// MostCold bounds what a cold member may be sent within Settings.FallAfter.
	MostCold int
	// Tests break the module by what stands between it and the host: Wrap between its actions and the host, Mishear
	// between an outcome and what it is told of it; Unheard keeps changes of the list from it.
	Wrap    func(*World, logic.Actions) logic.Actions
	Mishear func(logic.Outcome) logic.Outcome
	Unheard bool
}

// World is a decision module before a host that checks it after every event, from what a host can see alone:
//
//   - one final answer to each request, in time, and nothing sent after it;
//   - nothing is run twice that must not be, and nothing refused that may have run;
//   - nothing goes to a member that is not ready;
//   - no cold member is sent more than its budget;
//   - none is held back: a request that has nothing out and can be sent to nobody any more has its final answer.
//
// Clock and timers are the World's own. All events of a step come at one time.
type World struct {
	Balancer *logic.Balancer
	Now      time.Duration
	scene    Scene
	start    time.Duration
	timers   []timer
	open     []*request // in the order of Scene.Requests
	list     map[logic.MemberID]logic.Member
	changed  []bool
	cold     map[logic.MemberID][]time.Duration
	broken   []string
	Answers  map[logic.Reason]int // the module's final answers, by reason
	Holds    map[logic.Reason]int // waits, by reason
}

type timer struct {
	at    time.Duration
	token uint64
}

type request struct {
	logic.Request
	asked    bool
	at       time.Duration
	aim      time.Duration
	answered int
	left     bool
	missed   bool // its latest attempt ended in a miss, so that an origin is its next
	sent     []attempt
}

type attempt struct {
	to     logic.Member
	at     time.Duration
	status logic.Status
	ended  bool
	ran    bool
}

// NewWorld begins a Scene.
func NewWorld(s Scene) (*World, error) {
	w := &World{scene: s, start: time.Hour, Now: time.Hour, list: map[logic.MemberID]logic.Member{},
		cold: map[logic.MemberID][]time.Duration{}, changed: make([]bool, len(s.Changes)),
		Answers: map[logic.Reason]int{}, Holds: map[logic.Reason]int{}}
	for _, r := range s.Requests {
		w.open = append(w.open, &request{Request: r})
	}
	var do logic.Actions = host{w}
	if s.Wrap != nil {
		do = s.Wrap(w, do)
	}
	b, err := logic.New(s.Settings, s.Seed, do)
	if err != nil {
		return nil, err
	}
	w.Balancer = b
	b.Start(w.Now)
	for _, m := range s.Members {
		w.list[m.ID] = m
	}
	b.SetMembers(w.Now, logic.ListCached, s.Members)
	w.serve(s.Served)
	return w, nil
}

// firstServed is above all ids of a scene.
const firstServed logic.RequestID = 1 << 20

// serve has reads served before the scene begins.
func (w *World) serve(reads int) {
	open := w.open
	for i := range reads {
		w.open = []*request{{Request: logic.Request{ID: firstServed + logic.RequestID(i), Key: uint64(i) + 1<<32, Deadline: time.Second}}}
		w.ask(w.open[0])
		w.End(0, 0, logic.StatusOK)
		for end := w.Now + 5*time.Millisecond; ; w.elapse() {
			w.timers = slices.DeleteFunc(w.timers, func(t timer) bool { return logic.RequestID(t.token>>3) >= firstServed })
			if slices.SortStableFunc(w.timers, byTime); len(w.timers) == 0 || w.timers[0].at > end {
				w.Now = end
				break
			}
		}
	}
	w.open = open
}

func byTime(a, b timer) int { return cmp.Compare(a.at, b.at) }

// Steps names what can happen: "ask 1", "1.0 reset", "leave 1", "list 0", "time", which goes on to the next timer.
func (w *World) Steps() (steps []string) {
	for i, r := range w.open {
		switch {
		case !r.asked:
			steps = append(steps, fmt.Sprint("ask ", i))
		case w.scene.Leaving && r.answered == 0 && !r.left:
			steps = append(steps, fmt.Sprint("leave ", i))
		}
		for k, a := range r.sent {
			if a.ended {
				continue
			}
			for _, s := range w.scene.Outcomes {
				if w.fits(r, a, s) {
					steps = append(steps, fmt.Sprintf("%d.%d %v", i, k, s))
				}
			}
		}
	}
	for i, done := range w.changed {
		if !done {
			steps = append(steps, fmt.Sprint("list ", i))
		}
	}
	if len(w.timers) > 0 {
		steps = append(steps, "time")
	}
	return steps
}

// fits tells whether an attempt can end so: caches alone miss, and only reads.
func (w *World) fits(r *request, a attempt, s logic.Status) bool {
	return s != logic.StatusMiss || !r.Write && !w.isOrigin(a.to)
}

// Do does one step.
func (w *World) Do(step string) {
	var i, k int
	var name string
	switch {
	case step == "time":
		w.elapse()
	case scan(step, "ask %d", &i):
		w.ask(w.open[i])
	case scan(step, "leave %d", &i):
		w.open[i].left = true
		w.Balancer.RequestCancelled(w.Now, w.open[i].ID)
	case scan(step, "list %d", &i):
		w.changed[i] = true
		m := w.scene.Changes[i]
		w.list[m.ID] = m
		if !w.scene.Unheard {
			w.Balancer.SetMembers(w.Now, logic.ListDelta, []logic.Member{m})
		}
	case scan(step, "%d.%d %s", &i, &k, &name):
		at := slices.IndexFunc(w.scene.Outcomes, func(s logic.Status) bool { return s.String() == name })
		w.End(i, k, w.scene.Outcomes[at])
	default:
		w.breach("there is no step %q", step)
	}
	w.check()
}

func scan(step, format string, args ...any) bool {
	n, err := fmt.Sscanf(step, format, args...)
	return err == nil && n == len(args)
}

func (w *World) ask(r *request) {
	r.asked, r.at = true, w.Now
	r.Deadline += w.Now
	c := w.class(r)
	r.aim = min(w.Now+c.SoftDeadline, r.Deadline)
	if c.LateValue > 0 {
		r.aim = r.Deadline
	}
	w.Balancer.Request(w.Now, r.Request)
}

// End ends an attempt.
func (w *World) End(i, k int, s logic.Status) {
	r := w.open[i]
	a := &r.sent[k]
	a.ended, a.status, a.ran = true, s, !s.NeverRan()
	r.missed = s == logic.StatusMiss || r.missed && w.isOrigin(a.to)
	if s == logic.StatusOK && r.answered == 0 && !r.left {
		r.answered = 1
	}
	o := logic.Outcome{Request: r.ID, Attempt: k, Member: a.to.ID, Status: s, Elapsed: w.Now - a.at,
		Final: r.answered > 0 || r.left}
	if w.scene.Mishear != nil {
		o = w.scene.Mishear(o)
	}
	w.Balancer.Outcome(w.Now, o)
}

// elapse goes on to the next timer.
func (w *World) elapse() {
	slices.SortStableFunc(w.timers, byTime)
	next := w.timers[0]
	w.timers = w.timers[1:]
	w.Now = max(w.Now, next.at)
	w.Balancer.Timer(w.Now, next.token)
}

// Finish lets the time pass with no attempt answered, until every request is past its deadline.
func (w *World) Finish() {
	var end time.Duration
	for _, r := range w.open {
		end = max(end, r.Deadline)
	}
	for w.Now < end && len(w.timers) > 0 {
		w.elapse()
		w.check()
	}
	w.Now = max(w.Now, end)
	for i, r := range w.open {
		for k := range r.sent {
			if !r.sent[k].ended {
				w.End(i, k, logic.StatusTimeout)
				w.check()
			}
		}
		if r.asked && !r.left && r.answered != 1 {
			w.breach("request %d has %d final answers", r.ID, r.answered)
		}
	}
	if n := w.Balancer.Outstanding(); n != 0 {
		w.breach("%d requests are left behind", n)
	}
}

// Broken tells what has not held.
func (w *World) Broken() []string { return w.broken }

// Key is made of the module's whole state and of what the host remembers.
func (w *World) Key() [16]byte {
	var s strings.Builder
	d := w.Balancer.StateDigest()
	s.Write(d[:])
	slices.SortStableFunc(w.timers, byTime)
	fmt.Fprint(&s, w.timers, w.changed, w.Now)
	for _, r := range w.open {
		fmt.Fprint(&s, r.asked, r.at, r.answered, r.left, r.missed, r.sent)
	}
	for _, m := range w.scene.Members {
		fmt.Fprint(&s, w.cold[m.ID])
	}
	return md5.Sum([]byte(s.String()))
}

func (w *World) breach(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

// check looks at every request after an event.
func (w *World) check() {
	for _, r := range w.open {
		if !r.asked || r.answered > 0 || r.left {
			continue
		}
		if w.Now > r.Deadline+w.scene.Settings.AnswerGrace {
			w.breach("request %d has no answer %v after its deadline", r.ID, w.Now-r.Deadline)
		}
		if !r.out() && !w.able(r) {
			w.breach("request %d is held back: it has nothing out and can be sent to nobody", r.ID)
		}
	}
}

func (r *request) out() bool {
	return slices.ContainsFunc(r.sent, func(a attempt) bool { return !a.ended })
}

// firstRan is the first attempt that may have run.
func (r *request) firstRan() *attempt {
	for i := range r.sent {
		if a := &r.sent[i]; !a.ended || a.ran {
			return a
		}
	}
	return nil
}

// able is the plain oracle: whether there is anybody to whom a request could be sent now, or later before its aim, by the
// rules and the list alone. It knows nothing of loads, limits and budgets, which may allow later what they forbid now.
func (w *World) able(r *request) bool {
	sent := 0
	for _, a := range r.sent {
		if a.status != logic.StatusNoConn {
			sent++
		}
	}
	if w.Now >= r.aim || sent >= w.scene.Settings.MaxAttempts {
		return false
	}
	for _, m := range w.list {
		if m.State != logic.Ready {
			continue
		}
		if w.scene.Settings.Mode == logic.CacheAside {
			// A read that has failed goes to an origin with its last try, as other caches would lack its key.
			last := sent > 0 && sent+1 == w.scene.Settings.MaxAttempts
			if o := w.isOrigin(m); r.Write && !o || !r.Write && o && !r.missed && !last {
				continue
			}
		}
		if w.mayRepeat(r, m) {
			return true
		}
	}
	return false
}

// mayRepeat tells whether the rules let a request go to a member, for what its earlier attempts may have done.
func (w *World) mayRepeat(r *request, m logic.Member) bool {
	first, c := r.firstRan(), w.class(r)
	if first == nil || c.Effect == logic.Repeatable {
		return true
	}
	if c.Effect == logic.AtMostOnce || w.Now >= first.at+c.DedupWindow {
		return false
	}
	return c.Scope == logic.ScopeAll || c.Scope == logic.ScopeZone && m.Zone == first.to.Zone ||
		c.Scope == logic.ScopeCell && m.Cell == first.to.Cell
}

func (w *World) isOrigin(m logic.Member) bool {
	s := &w.scene.Settings
	return s.Mode == logic.CacheAside && s.OriginKind >= 0 && m.Kind == s.OriginKind
}

// class is the request's; one that nobody knows is taken for the strictest kind.
func (w *World) class(r *request) logic.Class {
	if s := &w.scene.Settings; r.Class < 0 || r.Class >= len(s.Classes) {
		c := s.Classes[0]
		c.Effect = logic.AtMostOnce
		return c
	}
	return w.scene.Settings.Classes[r.Class]
}

// byID finds a request.
func (w *World) byID(id logic.RequestID) *request {
	for _, r := range w.open {
		if r.ID == id && r.asked {
			return r
		}
	}
	w.breach("an action names request %d, which nobody has asked", id)
	return nil
}

// Aim is when a request's answer is worth nothing any more.
func (w *World) Aim(id logic.RequestID) time.Duration {
	if r := w.byID(id); r != nil {
		return r.aim
	}
	return 0
}

// host carries out what the module decides, and holds it to the rules.
type host struct{ w *World }

func (h host) Send(id logic.RequestID, to logic.MemberID, _ time.Duration) {
	w := h.w
	r := w.byID(id)
	if r == nil {
		return
	}
	m, known := w.list[to]
	switch {
	case r.answered > 0 || r.left:
		w.breach("request %d is sent after its end", id)
	case !known || m.State != logic.Ready:
		w.breach("request %d is sent to member %d, which is not ready", id, to)
	case r.out() && !w.scene.Settings.ConcurrentAttempts:
		w.breach("request %d has two attempts out", id)
	case !w.mayRepeat(r, m):
		w.breach("request %d could run twice", id)
	}
	s := &w.scene.Settings
	if m.StartedAt > 0 && w.Now-m.StartedAt < s.SlowStartDuration && !w.isOrigin(m) {
		sends := append(w.cold[to], w.Now)
		sends = slices.DeleteFunc(sends, func(at time.Duration) bool { return w.Now-at >= s.OverloadDuration })
		if w.cold[to] = sends; len(sends) > w.scene.MostCold {
			w.breach("cold member %d is sent %d requests in %v", to, len(sends), s.OverloadDuration)
		}
	}
	r.sent = append(r.sent, attempt{to: m, at: w.Now, ran: true})
	sent := 0
	for _, a := range r.sent {
		if !a.ended || a.status != logic.StatusNoConn {
			sent++
		}
	}
	if sent > s.MaxAttempts {
		w.breach("request %d has attempt %d of %d", id, sent, s.MaxAttempts)
	}
}

func (h host) answer(id logic.RequestID, refusal bool, why logic.Reason) {
	w := h.w
	r := w.byID(id)
	if r == nil {
		return
	}
	w.Answers[why]++
	if r.answered++; r.answered > 1 || r.left {
		w.breach("request %d is answered after its end", id)
	}
	if why == logic.NoReason || why >= logic.ReasonCount {
		w.breach("request %d is answered without a reason", id)
	}
	c := w.class(r)
	if refusal && r.firstRan() != nil && (c.Effect == logic.AtMostOnce || c.Effect == logic.DeduplicatedByKey && c.Scope != logic.ScopeAll) {
		w.breach("request %d is refused though it may have run", id)
	}
}

func (h host) Refuse(id logic.RequestID, _ time.Duration, why logic.Reason) { h.answer(id, true, why) }
func (h host) Fail(id logic.RequestID, why logic.Reason)                    { h.answer(id, false, why) }
func (h host) NotifyWaiting(_ logic.RequestID, why logic.Reason)            { h.w.Holds[why]++ }
func (h host) SetTimer(at time.Duration, token uint64) {
	h.w.timers = append(h.w.timers, timer{max(at, h.w.Now), token})
}
func (h host) Cancel(logic.RequestID, int)                                  {}
func (h host) Probe(logic.MemberID)                                         {}
func (h host) ConnectionWait(logic.RequestID, logic.MemberID) time.Duration { return 0 }
func (h host) CloseIdle(logic.MemberID)                                     {}
func (h host) Watch(bool)                                                   {}
func (h host) FetchList()                                                   {}
func (h host) SendToPeer(int, []byte)                                       {}
func (h host) Log(string)                                                   {}
