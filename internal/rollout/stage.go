package rollout

import (
	"fmt"
	"slices"
	"time"
)

// Metric is one respect in which the new side may not be worse: a kind of result or a measurement,
// counted as good or not.
type Metric struct {
	Name string
	// MaxRegression is the share of results by which the new side may not be worse. A stage is done only
	// after enough traffic to detect it.
	MaxRegression float64
}

// Plan states the conditions of every stage.
type Plan struct {
	Metrics []Metric
	// Alpha is the probability of a false stop over the whole rollout. It is divided evenly over the
	// metrics, and not over the stages, since each stage continues the tests of the one before.
	Alpha            float64
	MinDuration      time.Duration // time in which both sides served, without periods in which a zone was out
	MinRequests      int           // requests of the new side
	MaxExtraRestarts int           // crashes and restarts of new instances beyond those of as many old ones
}

// Check returns an error if the plan is invalid.
func (p *Plan) Check() error {
	if len(p.Metrics) == 0 {
		return fmt.Errorf("rollout: a plan without a metric can't detect a regression")
	}
	if !(p.Alpha > 0 && p.Alpha < 0.5) {
		return fmt.Errorf("rollout: a probability of a false stop of %v is not between 0 and 0.5", p.Alpha)
	}
	for i, c := range p.Metrics {
		if c.Name == "" || slices.ContainsFunc(p.Metrics[:i], func(o Metric) bool { return o.Name == c.Name }) {
			return fmt.Errorf("rollout: metric %d has the name %q; names must be unique and not empty", i+1, c.Name)
		}
		if !(c.MaxRegression > 0 && c.MaxRegression < 1) {
			return fmt.Errorf("rollout: metric %s: maximum regression %v is not between 0 and 1", c.Name, c.MaxRegression)
		}
	}
	if p.MinDuration < 0 || p.MinRequests < 1 || p.MaxExtraRestarts < 0 {
		return fmt.Errorf("rollout: minimum duration, requests or restarts out of range")
	}
	return nil
}

// Decision is the result of evaluating a stage.
type Decision uint8

// The decisions.
const (
	DecisionUndecided Decision = iota // more data is needed; the reason says of what
	DecisionDone                      // the next stage may begin
	DecisionStopped                   // the new side does worse
)

func (d Decision) String() string { return [...]string{"undecided", "done", "stopped"}[d] }

// Observation covers a period in one zone in which old and new instances served side by side.
type Observation struct {
	Duration time.Duration
	Metrics  []Block // in the order of Plan.Metrics
	// Excluded is set if a zone was out of use, or being left or returned to. Then only Violation
	// counts.
	Excluded bool
	// Violation describes a rule that a new instance broke, or how it crashed or failed to start. It
	// stops the rollout at once. Empty if there was none.
	Violation string
}

// Evaluator collects the evidence over the stages of a rollout.
type Evaluator struct {
	plan        Plan
	tests       []*SequentialTest
	elapsed     time.Duration // of this stage
	newRequests int           // in this stage
	violation   string
}

// NewEvaluator returns an Evaluator for a plan that has passed Check.
func NewEvaluator(p Plan) *Evaluator {
	e := &Evaluator{plan: p}
	for range p.Metrics {
		e.tests = append(e.tests, NewSequentialTest())
	}
	return e
}

// NextStage begins another stage. Its time and requests count from zero, while the evidence carries
// over.
func (e *Evaluator) NextStage() { e.elapsed, e.newRequests = 0, 0 }

// Observe adds an observation.
func (e *Evaluator) Observe(o Observation) error {
	if o.Violation != "" && e.violation == "" {
		e.violation = o.Violation
	}
	if o.Excluded {
		return nil
	}
	if len(o.Metrics) != len(e.tests) {
		return fmt.Errorf("rollout: observation has %d metrics, plan has %d", len(o.Metrics), len(e.tests))
	}
	both, most := false, 0
	for i, b := range o.Metrics {
		if err := e.tests[i].Add(b); err != nil {
			return fmt.Errorf("%s: %w", e.plan.Metrics[i].Name, err)
		}
		both = both || b.Old.Requests > 0 && b.New.Requests > 0
		most = max(most, b.New.Requests)
	}
	if both {
		e.elapsed, e.newRequests = e.elapsed+o.Duration, e.newRequests+most
	}
	return nil
}

// Decide returns the current decision and its reason.
func (e *Evaluator) Decide() (Decision, string) {
	if e.violation != "" {
		return DecisionStopped, e.violation
	}
	alpha := e.plan.Alpha / float64(len(e.tests))
	for i, t := range e.tests {
		if t.Worse(alpha) {
			o, n := t.Total.Old, t.Total.New
			return DecisionStopped, fmt.Sprintf("%s: %d of %d good on the new side, %d of %d on the old side, evidence %.0f of %.0f",
				e.plan.Metrics[i].Name, n.Good, n.Requests, o.Good, o.Requests, t.peakEvidence, 1/alpha)
		}
	}
	if e.elapsed < e.plan.MinDuration {
		return DecisionUndecided, fmt.Sprintf("%v of %v side by side", e.elapsed, e.plan.MinDuration)
	}
	if e.newRequests < e.plan.MinRequests {
		return DecisionUndecided, fmt.Sprintf("%d of %d requests of the new side", e.newRequests, e.plan.MinRequests)
	}
	for i, t := range e.tests {
		if c := e.plan.Metrics[i]; !t.HasPower(c.MaxRegression, alpha) {
			return DecisionUndecided, fmt.Sprintf("%s: too few requests to detect a regression of %g", c.Name, c.MaxRegression)
		}
	}
	return DecisionDone, "no regression found, with enough requests to detect one"
}
