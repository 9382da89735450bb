package rollout

import (
	"fmt"
	"slices"
	"time"
)

// Metric is one thing in which the new side may not be worse: a kind of answer or a figure, counted as good or not.
type Metric struct {
	Name          string
	MaxRegression float64 // the share of answers that it may not be worse by: what must have been looked for before a stage is done
}

// Plan is what a stage is held to.
type Plan struct {
	Metrics []Metric
	// Alpha is the chance of a false stop over the whole rollout: it is divided evenly over its claims, since each stage goes on with the
	// test of the one before.
	Alpha            float64
	MinDuration      time.Duration // in which both sides served; hours in which a zone was out don't count
	MinRequests      int           // requests of the new side
	MaxExtraRestarts int           // crashes and restarts of new instances beyond those of as many old ones
}

// Check tells what makes a plan unusable.
func (p *Plan) Check() error {
	if len(p.Metrics) == 0 {
		return fmt.Errorf("rollout: a plan without a claim can't be stopped by one")
	}
	if !(p.Alpha > 0 && p.Alpha < 0.5) {
		return fmt.Errorf("rollout: a chance of a false stop of %v is not between 0 and 0.5", p.Alpha)
	}
	for i, c := range p.Metrics {
		if c.Name == "" || slices.ContainsFunc(p.Metrics[:i], func(o Metric) bool { return o.Name == c.Name }) {
			return fmt.Errorf("rollout: claim %d is named %q; each has a name of its own", i+1, c.Name)
		}
		if !(c.MaxRegression > 0 && c.MaxRegression < 1) {
			return fmt.Errorf("rollout: claim %s: a harm of %v is not between 0 and 1", c.Name, c.MaxRegression)
		}
	}
	if p.MinDuration < 0 || p.MinRequests < 1 || p.MaxExtraRestarts < 0 {
		return fmt.Errorf("rollout: the least time, requests or restarts are out of range")
	}
	return nil
}

// Decision is what is made of a stage so far.
type Decision uint8

// The rulings.
const (
	DecisionUndecided Decision = iota // it waits, and says for what
	DecisionDone                      // the next stage may begin
	DecisionStopped                   // the new side does worse
)

func (r Decision) String() string { return [...]string{"undecided", "done", "stopped"}[r] }

// Observation is a stretch of time in one zone, in which old and new instances served side by side.
type Observation struct {
	Duration time.Duration
	Metrics  []Block // in the plan's order
	// Excluded tells that a zone was out, or on its way out or back: nothing of it counts but what stops at once.
	Excluded bool
	// Violation is a rule that a new instance broke, or how it crashed or never came up; empty: none. It stops at once.
	Violation string
}

// Evaluator keeps the evidence over the stages of a rollout.
type Evaluator struct {
	plan        Plan
	tests       []*SequentialTest
	elapsed     time.Duration // of this stage
	newRequests int           // of the new side, in this stage
	violation   string
}

// NewEvaluator makes a Judge for a plan that has been checked.
func NewEvaluator(p Plan) *Evaluator {
	j := &Evaluator{plan: p}
	for range p.Metrics {
		j.tests = append(j.tests, NewSequentialTest())
	}
	return j
}

// NextStage begins another stage: its time and requests count anew, the evidence goes on.
func (j *Evaluator) NextStage() { j.elapsed, j.newRequests = 0, 0 }

// Observe takes what was observed.
func (j *Evaluator) Observe(o Observation) error {
	if o.Violation != "" && j.violation == "" {
		j.violation = o.Violation
	}
	if o.Excluded {
		return nil
	}
	if len(o.Metrics) != len(j.tests) {
		return fmt.Errorf("rollout: %d claims were counted, and the plan has %d", len(o.Metrics), len(j.tests))
	}
	both, most := false, 0
	for i, b := range o.Metrics {
		if err := j.tests[i].Add(b); err != nil {
			return fmt.Errorf("%s: %w", j.plan.Metrics[i].Name, err)
		}
		both = both || b.Old.Requests > 0 && b.New.Requests > 0
		most = max(most, b.New.Requests)
	}
	if both {
		j.elapsed, j.newRequests = j.elapsed+o.Duration, j.newRequests+most
	}
	return nil
}

// Decide is the ruling now, and why.
func (j *Evaluator) Decide() (Decision, string) {
	if j.violation != "" {
		return DecisionStopped, j.violation
	}
	alpha := j.plan.Alpha / float64(len(j.tests))
	for i, t := range j.tests {
		if t.Worse(alpha) {
			o, n := t.Total.Old, t.Total.New
			return DecisionStopped, fmt.Sprintf("%s: %d of %d good among the new, %d of %d among the old beside them, evidence %.0f of %.0f",
				j.plan.Metrics[i].Name, n.Good, n.Requests, o.Good, o.Requests, t.peakEvidence, 1/alpha)
		}
	}
	if j.elapsed < j.plan.MinDuration {
		return DecisionUndecided, fmt.Sprintf("%v of %v side by side", j.elapsed, j.plan.MinDuration)
	}
	if j.newRequests < j.plan.MinRequests {
		return DecisionUndecided, fmt.Sprintf("%d of %d requests", j.newRequests, j.plan.MinRequests)
	}
	for i, t := range j.tests {
		if c := j.plan.Metrics[i]; !t.HasPower(c.MaxRegression, alpha) {
			return DecisionUndecided, fmt.Sprintf("%s: too few requests to have found a harm of %g", c.Name, c.MaxRegression)
		}
	}
	return DecisionDone, "nothing worse was found, and would have been"
}
