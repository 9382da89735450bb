// Package explore checks what must hold in every state that a state machine can come to, by trying all orders of what can
// happen to it, up to a depth, or long random ones. It is a tool of the tests and of the rig: it decides nothing, keeps
// no clock and is never part of serving.
//
// A subsystem brings a Model: what can happen now, how it is done, and what must hold. World is the model of the decision
// module before a host. Models can't be copied, so the explorer comes back to a state by doing its steps again from the
// start; a state that has been seen, by its Key, is not gone into a second time at the same depth or deeper.
package explore

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// Model is a system whose states are explored. Its steps must have the same effects each time they are done.
type Model interface {
	// Steps names what can happen now, in a fixed order.
	Steps() []string
	// Do does one of them.
	Do(step string)
	// Violations tells what does not hold in this state, or has not held on the way to it.
	Violations() []string
	// Finish brings the system to its end from here, and Broken then tells what did not come about.
	Finish()
	// Key is the same for two states only if all that can follow is the same.
	Key() [16]byte
}

// Options bound an exploration.
type Options struct {
	Depth          int // steps in a row
	MaxTransitions int // transitions in all; 0: no bound. A bound that is met is told in the Report
	MaxFaults      int // end after so many faults; 0: after the first
}

// Fault is a way to a state in which something does not hold.
type Fault struct {
	Steps      []string
	Violations []string
}

func (f Fault) String() string {
	return fmt.Sprintf("%s\n  after: %s", strings.Join(f.Violations, "\n"), strings.Join(f.Steps, ", "))
}

// Report is what an exploration has come to.
type Report struct {
	States      int // different ones
	Transitions int // steps from them, those that led to a state seen before included
	Finishes    int // states from which the system was brought to its end
	MaxDepth    int
	Complete    bool // every order of steps up to the depth was tried
	Faults      []Fault
}

// explorer is an exploration under way.
type explorer struct {
	newModel func() Model
	options  Options
	report   Report
	seen     map[[16]byte]int // the most steps that were left when the state was gone into
}

// Explore tries all orders of steps up to the depth.
func Explore(make_ func() Model, o Options) Report {
	o.MaxFaults = max(1, o.MaxFaults)
	e := &explorer{newModel: make_, options: o, seen: map[[16]byte]int{}}
	e.report.Complete = true
	e.visit(make_(), nil)
	return e.report
}

// visit goes into a state. The model is used up.
func (e *explorer) visit(m Model, path []string) {
	if broken := m.Violations(); len(broken) > 0 {
		e.addFault(path, broken)
		return
	}
	left := e.options.Depth - len(path)
	key := m.Key()
	if most, ok := e.seen[key]; ok && most >= left {
		return
	} else if !ok {
		e.report.States++
	}
	e.seen[key] = left
	e.report.MaxDepth = max(e.report.MaxDepth, len(path))
	steps := m.Steps()
	if left > 0 {
		for _, s := range steps {
			if e.limitReached() {
				return
			}
			if m == nil {
				m = e.replay(path)
			}
			e.report.Transitions++
			m.Do(s)
			e.visit(m, append(path[:len(path):len(path)], s))
			m = nil
		}
	}
	if e.limitReached() {
		return
	}
	// Whatever is open here must come to its end by itself.
	if m == nil {
		m = e.replay(path)
	}
	m.Finish()
	e.report.Finishes++
	if broken := m.Violations(); len(broken) > 0 {
		e.addFault(append(path[:len(path):len(path)], "the end"), broken)
	}
}

func (e *explorer) addFault(path, broken []string) {
	e.report.Faults = append(e.report.Faults, Fault{Steps: path, Violations: broken})
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

// Walk does so many random steps, by a seed, and brings the system to its end.
func Walk(m Model, seed uint64, steps int) (f Fault) {
	rng := rand.New(rand.NewPCG(seed, 17))
	for range steps {
		all := m.Steps()
		if len(all) == 0 {
			break
		}
		s := all[rng.IntN(len(all))]
		f.Steps = append(f.Steps, s)
		m.Do(s)
		if f.Violations = m.Violations(); len(f.Violations) > 0 {
			return f
		}
	}
	m.Finish()
	f.Violations = m.Violations()
	return f
}
