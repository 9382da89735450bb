package rollout

import (
	"fmt"
	"slices"
	"time"
)

// Member is an instance that a change is to reach.
type Member struct {
	Number int
	Zone   string
}

// Stage is how far a change has come once it is done.
type Stage struct {
	Share         float64 // of the members; the last stage is all of them
	NeedsApproval bool    // a yes by hand is waited for before the next
}

// Phase is where a change stands.
type Phase uint8

// The phases.
const (
	PhaseRunning          Phase = iota // a stage's members take over, and are compared
	PhaseAwaitingApproval              // the stage is done, and a yes is waited for
	PhasePaused                        // by hand: it stays as it is
	PhaseRollingBack                   // all return to the version before
	PhaseCompleted                     // all run the new version
	PhaseRolledBack                    // all run the version before again
	phases
)

var phaseNames = [phases]string{"going", "asking", "paused", "back", "ended", "undone"}

func (p Phase) String() string {
	if p >= phases {
		return "unknown"
	}
	return phaseNames[p]
}

// State is all of a change that lasts. It is on stable storage before anything of it is told to anybody.
type State struct {
	Epoch      uint64 // rises with each driver that takes a change over, and with each change of the state
	From, To   string // the versions' digests
	Stage      int
	Phase      Phase
	NewMembers []int // the members that are to run the new version
	Reason     string
}

// Instruction is what a member is told: the version to run, under the epoch of the state that says so.
type Instruction struct {
	Epoch   uint64
	Version string
}

// MemberStatus is what a member says of itself.
type MemberStatus struct {
	Epoch   uint64 // of the latest order that it has taken
	Version string // that it runs and serves with
	Failure string // why it turned the order down or could not take over; empty: it did not
}

// Timeouts bounds how long a driver waits for members.
type Timeouts struct {
	Switch  time.Duration // until a member that was told runs the new version
	Silence time.Duration // a member that says nothing for so long is unknown
}

// Driver decides a change over its stages. Of two at once one is fenced off: members take no order of an epoch under the latest that they took,
// and a driver that hears of a higher epoch than its own never says anything again. With nobody driving members stay as they are.
type Driver struct {
	plan        Plan
	stages      []Stage
	timeouts    Timeouts
	memberOrder []int // in which members change
	state       State
	evaluator   *Evaluator
	status      map[int]MemberStatus
	statusAt    map[int]time.Duration
	phaseSince  time.Duration // of the stage
	fenced      bool
}

// SpreadOverZones is the order in which members change: one of each zone in turn, so that no zone is all new before the others are nearly so.
func SpreadOverZones(members []Member) (order []int) {
	byZone := map[string][]int{}
	var names []string
	for _, m := range members {
		if byZone[m.Zone] == nil {
			names = append(names, m.Zone)
		}
		byZone[m.Zone] = append(byZone[m.Zone], m.Number)
	}
	slices.Sort(names)
	for _, zone := range byZone {
		slices.Sort(zone)
	}
	for i := 0; len(order) < len(members); i++ {
		for _, name := range names {
			if zone := byZone[name]; i < len(zone) {
				order = append(order, zone[i])
			}
		}
	}
	return order
}

// CheckStages tells what makes stages unusable.
func CheckStages(stages []Stage) error {
	last := 0.0
	for i, s := range stages {
		if !(s.Share > last && s.Share <= 1) {
			return fmt.Errorf("rollout: stage %d has a share of %v; it has to be over %v, and 1 at the most", i+1, s.Share, last)
		}
		last = s.Share
	}
	if last != 1 {
		return fmt.Errorf("rollout: the last stage has a share of %v, and not 1", last)
	}
	return nil
}

// NewDriver makes a driver for a change, of a plan and stages that have been checked; last is the state that was stored, or one that begins:
// with the versions, at an epoch above that of any change before. Evidence is not stored: one that takes over begins its stage anew.
func NewDriver(now time.Duration, p Plan, stages []Stage, t Timeouts, members []Member, last State) *Driver {
	d := &Driver{plan: p, stages: stages, timeouts: t, memberOrder: SpreadOverZones(members), state: last, evaluator: NewEvaluator(p), status: map[int]MemberStatus{},
		statusAt: map[int]time.Duration{}, phaseSince: now}
	d.state.NewMembers = slices.Clone(last.NewMembers)
	d.state.Epoch++
	if last.Phase == PhaseRunning {
		d.state.NewMembers = slices.Clone(d.memberOrder[:d.newCount(last.Stage)])
	}
	return d
}

// newCount is how many members run the new version once a stage is done: one at the least, and never all but in the last.
func (d *Driver) newCount(stage int) int {
	n := len(d.memberOrder)
	if stage >= len(d.stages)-1 {
		return n
	}
	return max(1, min(n-1, int(d.stages[stage].Share*float64(n))))
}

// State is what has to be stored before Orders are told.
func (d *Driver) State() State {
	s := d.state
	s.NewMembers = slices.Clone(d.state.NewMembers)
	return s
}

// Fenced tells that another driver has taken the change over.
func (d *Driver) Fenced() bool { return d.fenced }

// Instructions are what each member is to be told; none if this driver is fenced off.
func (d *Driver) Instructions() map[int]Instruction {
	if d.fenced {
		return nil
	}
	all := map[int]Instruction{}
	for _, n := range d.memberOrder {
		all[n] = Instruction{d.state.Epoch, d.state.From}
		if slices.Contains(d.state.NewMembers, n) {
			all[n] = Instruction{d.state.Epoch, d.state.To}
		}
	}
	return all
}

// ReceiveStatus takes what a member says of itself.
func (d *Driver) ReceiveStatus(now time.Duration, number int, h MemberStatus) {
	if !slices.Contains(d.memberOrder, number) {
		return
	}
	d.fenced = d.fenced || h.Epoch > d.state.Epoch
	d.status[number], d.statusAt[number] = h, now
}

// Observe takes what was observed of both sides.
func (d *Driver) Observe(o Observation) error {
	if d.state.Phase != PhaseRunning || !d.allSwitched() {
		o.Excluded = true // the old and the new are not yet, or no more, what the stage compares
	}
	return d.evaluator.Observe(o)
}

// allSwitched tells whether all that are to run the new version do.
func (d *Driver) allSwitched() bool {
	return !slices.ContainsFunc(d.state.NewMembers, func(n int) bool { return d.status[n].Version != d.state.To })
}

// transition changes the state: a new epoch, to be stored.
func (d *Driver) transition(now time.Duration, p Phase, why string) {
	d.state.Epoch, d.state.Phase, d.state.Reason, d.phaseSince = d.state.Epoch+1, p, why, now
	if p == PhaseRollingBack {
		d.state.NewMembers = nil
	}
}

// Command is an operator's: "pause", "go" (on, after a pause or a question), "back".
func (d *Driver) Command(now time.Duration, what string) error {
	switch p := d.state.Phase; {
	case d.fenced:
		return fmt.Errorf("rollout: another driver has taken this change over")
	case what == "pause" && (p == PhaseRunning || p == PhaseAwaitingApproval):
		d.transition(now, PhasePaused, "by hand")
	case what == "go" && p == PhaseAwaitingApproval:
		d.advance(now)
	case what == "go" && p == PhasePaused:
		d.transition(now, PhaseRunning, "by hand")
	case what == "back" && (p == PhaseRunning || p == PhaseAwaitingApproval || p == PhasePaused || p == PhaseCompleted):
		d.transition(now, PhaseRollingBack, "by hand")
	default:
		return fmt.Errorf("rollout: %s can't be done while a change is %v", what, p)
	}
	return nil
}

// advance begins the next stage, or ends the change after the last.
func (d *Driver) advance(now time.Duration) {
	if d.state.Stage == len(d.stages)-1 {
		d.transition(now, PhaseCompleted, "all stages are done")
		return
	}
	d.state.Stage++
	d.state.NewMembers = slices.Clone(d.memberOrder[:d.newCount(d.state.Stage)])
	d.evaluator.NextStage()
	d.transition(now, PhaseRunning, fmt.Sprintf("stage %d", d.state.Stage+1))
}

// Tick does what is due. It tells whether the state has changed, and has to be stored before Orders are told.
func (d *Driver) Tick(now time.Duration) (changed bool) {
	epoch := d.state.Epoch
	switch {
	case d.fenced:
	case d.state.Phase == PhaseRunning:
		d.checkStage(now)
	case d.state.Phase == PhaseRollingBack && !slices.ContainsFunc(d.memberOrder, func(n int) bool { return d.status[n].Version != d.state.From }):
		d.transition(now, PhaseRolledBack, d.state.Reason)
	}
	return d.state.Epoch != epoch
}

// checkStage looks at a stage under way. A new member that turned its order down, never took over or fell silent is the change's fault, until
// the opposite is known: all go back. An old one that falls silent tells nothing, and is waited for.
func (d *Driver) checkStage(now time.Duration) {
	for _, n := range d.state.NewMembers {
		h, known := d.status[n]
		switch {
		case h.Failure != "" && h.Epoch == d.state.Epoch:
			d.transition(now, PhaseRollingBack, fmt.Sprintf("member %d: %s", n, h.Failure))
			return
		case h.Version != d.state.To && now-d.phaseSince > d.timeouts.Switch:
			d.transition(now, PhaseRollingBack, fmt.Sprintf("member %d does not run the new version after %v", n, d.timeouts.Switch))
			return
		case known && h.Version == d.state.To && now-d.statusAt[n] > d.timeouts.Silence:
			d.transition(now, PhaseRollingBack, fmt.Sprintf("member %d, which runs the new version, is not heard any more", n))
			return
		}
	}
	ruling, why := d.evaluator.Decide()
	last := d.state.Stage == len(d.stages)-1
	switch {
	case ruling == DecisionStopped:
		d.transition(now, PhaseRollingBack, why)
	case !d.allSwitched():
		d.state.Reason = "members take over"
	case last: // nobody is left to compare with: it is enough that all serve
		d.advance(now)
	case ruling == DecisionDone && d.stages[d.state.Stage].NeedsApproval:
		d.transition(now, PhaseAwaitingApproval, why)
	case ruling == DecisionDone:
		d.advance(now)
	default:
		d.state.Reason = why
	}
}

// Follower is a member's side: what it has taken. It is stored before it is acted upon.
type Follower struct {
	Epoch   uint64
	Version string // that it is to run
}

// Apply takes an order, unless it is of an old epoch, and tells whether there is something new to do.
func (f *Follower) Apply(o Instruction) (changed bool) {
	if o.Epoch < f.Epoch || o.Epoch == f.Epoch && o.Version != f.Version {
		return false
	}
	changed = o.Version != f.Version
	f.Epoch, f.Version = o.Epoch, o.Version
	return changed
}
