package explore

import (
	"strings"
	"testing"
	"time"

	"linenloom/logic"
)

func newModelFunc(t testing.TB, scenario Scenario) func() Model {
	return func() Model {
		model, err := NewBalancerModel(scenario)
		if err != nil {
			t.Fatal(err)
		}
		return model
	}
}

// Every order of events up to a depth keeps the rules, and no request that can no longer be sent stays
// without an answer. The command linenlab explore goes deeper.
func TestBalancerInvariantsHoldInEveryOrder(t *testing.T) {
	for name, s := range Scenarios() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := Explore(newModelFunc(t, s), Options{Depth: 4, MaxFaults: 3})
			for _, f := range r.Faults {
				t.Error(f)
			}
			if !r.Complete || r.States < 1000 {
				t.Errorf("only %d states, whole %v", r.States, r.Complete)
			}
			t.Logf("%d states, %d transitions, %d ends", r.States, r.Transitions, r.Finishes)
		})
	}
}

// delayedAnswers delays the module's final answers until the request's soft deadline, a fault that the
// module once had with orders.
type delayedAnswers struct {
	logic.Actions
	model *BalancerModel
}

func (l delayedAnswers) Refuse(id logic.RequestID, after time.Duration, why logic.Reason) {
	if l.model.Now >= l.model.SoftDeadline(id)-11*ms {
		l.Actions.Refuse(id, after, why)
	}
}

func (l delayedAnswers) Fail(id logic.RequestID, why logic.Reason) {
	if l.model.Now >= l.model.SoftDeadline(id)-11*ms {
		l.Actions.Fail(id, why)
	}
}

// The checks themselves are tested: each fault injected into the module has to be found.
func TestSeededFaultsAreFound(t *testing.T) {
	for name, c := range map[string]struct {
		scenario string
		seed     func(*Scenario)
		want     string
	}{
		"answers held back": {"orders and notes", func(s *Scenario) {
			s.Wrap = func(w *BalancerModel, a logic.Actions) logic.Actions { return delayedAnswers{a, w} }
		}, "held back"},
		"a reset told as a failed dial": {"orders and notes", func(s *Scenario) {
			s.AlterOutcome = func(o logic.Outcome) logic.Outcome {
				if o.Status == logic.StatusReset {
					o.Status = logic.StatusConnectFailed
				}
				return o
			}
		}, "though it may have run"},
		"drains not heard of": {"the list changes", func(s *Scenario) { s.HideChanges = true }, "not ready"},
		"a cold member taken for a warm one": {"a cold member", func(s *Scenario) {
			// the module takes the member for warm, and the host allows no request
			s.Settings.SlowStartCapacity, s.MaxColdRequests = 1, 0
		}, "cold member"},
		"outcomes not heard of": {"reads of one key", func(s *Scenario) {
			s.AlterOutcome = func(o logic.Outcome) logic.Outcome { o.Attempt = 63; return o }
		}, "left behind"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := Scenarios()[c.scenario]
			c.seed(&s)
			r := Explore(newModelFunc(t, s), Options{Depth: 4})
			if len(r.Faults) == 0 {
				t.Fatalf("nothing found in %d states", r.States)
			}
			if f := r.Faults[0].String(); !strings.Contains(f, c.want) {
				t.Errorf("found %s\nwant %q", f, c.want)
			}
		})
	}
}

// Long random sequences, with more members and requests than can be explored.
func TestBalancerInvariantsHoldInRandomOrders(t *testing.T) {
	for seed := range uint64(40) {
		s := Scenario{Settings: testSettings(), Seed: seed, ClientsMayLeave: seed%2 == 0, MaxColdRequests: 1000,
			Outcomes: append(allOutcomes, logic.StatusConnectFailed, logic.StatusCancelled, logic.StatusMoot, logic.StatusUnknown)}
		s.Settings.MaxAttempts = 1 + int(seed%4)
		if seed%5 == 4 {
			s.Settings.Mode = logic.ReadThrough
		}
		for i := range 8 {
			s.Members = append(s.Members, logic.Member{ID: logic.MemberID(i + 1), Zone: i % 3, Cell: i % 2, Weight: 1})
		}
		s.Members = append(s.Members, origin, modified(origin, func(m *logic.Member) { m.ID, m.Zone = 1001, 1 }))
		for i := range 60 {
			class := int(uint64(i)+seed) % 5 // 4 is an unknown class
			s.Requests = append(s.Requests, logic.Request{ID: logic.RequestID(i + 1), Key: uint64(i % 7), Class: class,
				Write: class > 0 && i%3 > 0, Deadline: time.Duration(200+i*37) * ms})
		}
		for i, m := range s.Members {
			s.Changes = append(s.Changes, modified(m, func(m *logic.Member) { m.State = logic.State(1 + i%2) }), m)
		}
		if f := Walk(newModelFunc(t, s)(), seed, 900); len(f.Violations) > 0 {
			t.Errorf("seed %d: %v", seed, f)
		}
	}
}
