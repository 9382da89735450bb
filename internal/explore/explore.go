// Package explore checks the invariants of a state machine in every reachable state, by trying all orders
// of its possible events up to a depth, or long random sequences. Tests and the lab use it; it is never
// part of serving.
// A subsystem provides a Model: its possible steps, their execution and its invariants. BalancerModel is
// the model of the decision module with a simulated host. Models can't be copied, so the explorer returns
// to a state by replaying its steps from the start. A state that has been visited, as identified by its
// Key, is not visited again at the same depth or deeper.
package explore

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// Model is a system whose states are explored. Its steps must be deterministic.
type Model interface {
	// Steps returns the possible steps, in a fixed order.
	Steps() []string
	// Do executes one step.
	Do(step string)
	// Violations describes the invariants that don't hold in this state or did not hold on the way to it.
	Violations() []string
	// Finish runs the system to its end from this state. Violations then includes what did not complete.
	Finish()
	// Key returns the same value for two states only if the same can follow from both.
	Key() [16]byte
}

// Options bound an exploration.
type Options struct {
	Depth          int // consecutive steps
	MaxTransitions int // in total; 0 means unlimited. The Report says if it was reached
	MaxFaults      int // stop after this many faults; 0 means after the first
}

// Fault is a sequence of steps that leads to violated invariants.
type Fault struct {
	Steps      []string
	Violations []string
}

func (f Fault) String() string {
	return fmt.Sprintf("%s\n  after: %s", strings.Join(f.Violations, "\n"), strings.Join(f.Steps, ", "))
}

// Report is the result of an exploration.
type Report struct {
	States      int // distinct states
	Transitions int // steps executed, including those to states visited before
	Finishes    int // states from which the system was run to its end
	MaxDepth    int
	Complete    bool // every order of steps up to the depth was tried
	Faults      []Fault
}

// explorer is an exploration in progress.
type explorer struct {
	newModel func() Model
	options  Options
	report   Report
	seen     map[[16]byte]int // the largest number of remaining steps with which a state was visited
}

// Explore tries all orders of steps up to the depth.
func Explore(newModel func() Model, options Options) Report {
	options.MaxFaults = max(1, options.MaxFaults)
	e := &explorer{newModel: newModel, options: options, seen: map[[16]byte]int{}}
	e.report.Complete = true
	e.visit(newModel(), nil)
	return e.report
}

// visit explores a state. It consumes the model.
func (e *explorer) visit(m Model, path []string) {
	if violations := m.Violations(); len(violations) > 0 {
		e.addFault(path, violations)
		return
	}
	remaining := e.options.Depth - len(path)
	key := m.Key()
	if visited, ok := e.seen[key]; ok && visited >= remaining {
		return
	} else if !ok {
		e.report.States++
	}
	e.seen[key] = remaining
	e.report.MaxDepth = max(e.report.MaxDepth, len(path))
	steps := m.Steps()
	if remaining > 0 {
		for _, step := range steps {
			if e.limitReached() {
				return
			}
			if m == nil {
				m = e.replay(path)
			}
			e.report.Transitions++
			m.Do(step)
			e.visit(m, append(path[:len(path):len(path)], step))
			m = nil
		}
	}
	if e.limitReached() {
		return
	}
	// Everything pending in this state must complete by itself.
	if m == nil {
		m = e.replay(path)
	}
	m.Finish()
	e.report.Finishes++
	if violations := m.Violations(); len(violations) > 0 {
		e.addFault(append(path[:len(path):len(path)], "the end"), violations)
	}
}

func (e *explorer) addFault(path, violations []string) {
	e.report.Faults = append(e.report.Faults, Fault{Steps: path, Violations: violations})
}

func (e *explorer) limitReached() bool {
	if len(e.report.Faults) >= e.options.MaxFaults || e.options.MaxTransitions > 0 && e.report.Transitions >= e.options.MaxTransitions {
		e.report.Complete = false
		return true
	}
	return false
}

func (e *explorer) replay(path []string) Model {
	m := e.newModel()
	for _, s := range path {
		m.Do(s)
	}
	return m
}

// Walk executes the given number of random steps from a seed, and then runs the system to its end.
func Walk(m Model, seed uint64, steps int) (fault Fault) {
	random := rand.New(rand.NewPCG(seed, 17))
	for range steps {
		possible := m.Steps()
		if len(possible) == 0 {
			break
		}
		step := possible[random.IntN(len(possible))]
		fault.Steps = append(fault.Steps, step)
		m.Do(step)
		if fault.Violations = m.Violations(); len(fault.Violations) > 0 {
			return fault
		}
	}
	m.Finish()
	fault.Violations = m.Violations()
	return fault
}
