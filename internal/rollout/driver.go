package rollout

import (
	"fmt"
	"slices"
	"time"
)

// Member is an instance that a change is rolled out to.
type Member struct {
	Number int
	Zone   string
}

// Stage is a step of a rollout.
type Stage struct {
	Share         float64 // share of the members that run the new version; 1 in the last stage
	NeedsApproval bool    // wait for an operator's approval before the next stage
}

// Phase is the phase of a rollout.
type Phase uint8

// The phases.
const (
	PhaseRunning          Phase = iota // the stage's members switch over and are compared
	PhaseAwaitingApproval              // the stage is done and needs an operator's approval
	PhasePaused                        // paused by an operator
	PhaseRollingBack                   // all members return to the old version
	PhaseCompleted                     // all members run the new version
	PhaseRolledBack                    // all members run the old version again
	phases
)

var phaseNames = [phases]string{"going", "asking", "paused", "back", "ended", "undone"}

func (p Phase) String() string {
	if p >= phases {
		return "unknown"
	}
	return phaseNames[p]
}

// State is the persistent state of a rollout. It has to be on stable storage before any instruction of
// it is sent.
type State struct {
	Epoch      uint64 // rises with each new driver and each change of the state
	From, To   string // digests of the versions
	Stage      int
	Phase      Phase
	NewMembers []int // members that are to run the new version
	Reason     string
}

// Instruction tells a member which version to run, with the epoch of the state that it comes from.
type Instruction struct {
	Epoch   uint64
	Version string
}

// MemberStatus is what a member reports about itself.
type MemberStatus struct {
	Epoch   uint64 // of the latest instruction that it accepted
	Version string // version that it runs and serves with
	Failure string // why it rejected the instruction or failed to switch; empty if it did not
}

// Timeouts limit how long a driver waits for members.
type Timeouts struct {
	Switch  time.Duration // from the start of the stage until a new member runs the new version
	Silence time.Duration // a new member that is silent for longer is lost
}

// Driver runs a rollout through its stages. Of two drivers at once, one is fenced: members reject
// instructions with an epoch below the latest that they accepted, and a driver that sees an epoch above
// its own sends nothing more. Without a driver, members stay as they are.
type Driver struct {
	plan        Plan
	stages      []Stage
	timeouts    Timeouts
	memberOrder []int // order in which members switch
	state       State
	evaluator   *Evaluator
	status      map[int]MemberStatus
	statusAt    map[int]time.Duration
	phaseSince  time.Duration // start of the current phase or stage
	fenced      bool
}

// SpreadOverZones returns the order in which members switch: one of each zone in turn, so that no zone
// is all new long before the others are.
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

// CheckStages returns an error if the stages are invalid.
func CheckStages(stages []Stage) error {
	last := 0.0
	for i, s := range stages {
		if !(s.Share > last && s.Share <= 1) {
			return fmt.Errorf("rollout: stage %d has a share of %v, must be above %v and at most 1", i+1, s.Share, last)
		}
		last = s.Share
	}
	if last != 1 {
		return fmt.Errorf("rollout: the last stage has a share of %v, must be 1", last)
	}
	return nil
}

// NewDriver returns a driver for a rollout whose plan and stages have passed their checks. last is the
// stored state, or for a new rollout a state with both versions and an epoch above that of any earlier
// rollout. Observations are not stored: a new driver restarts its stage.
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

// newCount returns how many members run the new version once a stage is done: at least one, and all of
// them only in the last stage.
func (d *Driver) newCount(stage int) int {
	n := len(d.memberOrder)
	if stage >= len(d.stages)-1 {
		return n
	}
	return max(1, min(n-1, int(d.stages[stage].Share*float64(n))))
}

// State returns the state, which has to be stored before Instructions are sent.
func (d *Driver) State() State {
	s := d.state
	s.NewMembers = slices.Clone(d.state.NewMembers)
	return s
}

// Fenced reports whether another driver has taken over the rollout.
func (d *Driver) Fenced() bool { return d.fenced }

// Instructions returns the instruction for each member, or nil if this driver is fenced.
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

// ReceiveStatus records the status of a member.
func (d *Driver) ReceiveStatus(now time.Duration, number int, status MemberStatus) {
	if !slices.Contains(d.memberOrder, number) {
		return
	}
	d.fenced = d.fenced || status.Epoch > d.state.Epoch
	d.status[number], d.statusAt[number] = status, now
}

// Observe passes an observation to the evaluator.
func (d *Driver) Observe(o Observation) error {
	if d.state.Phase != PhaseRunning || !d.allSwitched() {
		o.Excluded = true // the members do not run the versions that the stage compares
	}
	return d.evaluator.Observe(o)
}

// allSwitched reports whether all members that are to run the new version do so.
func (d *Driver) allSwitched() bool {
	return !slices.ContainsFunc(d.state.NewMembers, func(n int) bool { return d.status[n].Version != d.state.To })
}

// transition enters a phase. The state gets a new epoch and has to be stored.
func (d *Driver) transition(now time.Duration, p Phase, reason string) {
	d.state.Epoch, d.state.Phase, d.state.Reason, d.phaseSince = d.state.Epoch+1, p, reason, now
	if p == PhaseRollingBack {
		d.state.NewMembers = nil
	}
}

// Command executes an operator's command: "pause", "go" (continue after a pause, or approve a stage) or
// "back".
func (d *Driver) Command(now time.Duration, command string) error {
	switch p := d.state.Phase; {
	case d.fenced:
		return fmt.Errorf("rollout: another driver has taken over this rollout")
	case command == "pause" && (p == PhaseRunning || p == PhaseAwaitingApproval):
		d.transition(now, PhasePaused, "by an operator")
	case command == "go" && p == PhaseAwaitingApproval:
		d.advance(now)
	case command == "go" && p == PhasePaused:
		d.transition(now, PhaseRunning, "by an operator")
	case command == "back" && (p == PhaseRunning || p == PhaseAwaitingApproval || p == PhasePaused || p == PhaseCompleted):
		d.transition(now, PhaseRollingBack, "by an operator")
	default:
		return fmt.Errorf("rollout: %s is not possible in phase %v of the rollout", command, p)
	}
	return nil
}

// advance begins the next stage, or completes the rollout after the last one.
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

// Tick performs the periodic work. It reports whether the state has changed and has to be stored before
// Instructions are sent.
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

// checkStage evaluates the running stage. If a new member rejects its instruction, does not switch or
// falls silent, the change is taken to be the cause and is rolled back. The silence of an old member
// says nothing about the change; the rollout waits for that member.
func (d *Driver) checkStage(now time.Duration) {
	for _, n := range d.state.NewMembers {
		status, known := d.status[n]
		switch {
		case status.Failure != "" && status.Epoch == d.state.Epoch:
			d.transition(now, PhaseRollingBack, fmt.Sprintf("member %d: %s", n, status.Failure))
			return
		case status.Version != d.state.To && now-d.phaseSince > d.timeouts.Switch:
			d.transition(now, PhaseRollingBack, fmt.Sprintf("member %d does not run the new version after %v", n, d.timeouts.Switch))
			return
		case known && status.Version == d.state.To && now-d.statusAt[n] > d.timeouts.Silence:
			d.transition(now, PhaseRollingBack, fmt.Sprintf("member %d, which runs the new version, has stopped reporting", n))
			return
		}
	}
	decision, reason := d.evaluator.Decide()
	last := d.state.Stage == len(d.stages)-1
	switch {
	case decision == DecisionStopped:
		d.transition(now, PhaseRollingBack, reason)
	case !d.allSwitched():
		d.state.Reason = "members are switching to the new version"
	case last: // no old member is left to compare with; it is enough that all have switched
		d.advance(now)
	case decision == DecisionDone && d.stages[d.state.Stage].NeedsApproval:
		d.transition(now, PhaseAwaitingApproval, reason)
	case decision == DecisionDone:
		d.advance(now)
	default:
		d.state.Reason = reason
	}
}

// Follower is a member's side of the protocol: the latest instruction that it accepted. It has to be
// stored before the member acts on it.
type Follower struct {
	Epoch   uint64
	Version string // version to run
}

// Apply accepts an instruction unless it is outdated or has the epoch of the accepted one and another
// version. It reports whether the member has to switch to another version.
func (f *Follower) Apply(instruction Instruction) (changed bool) {
	if instruction.Epoch < f.Epoch || instruction.Epoch == f.Epoch && instruction.Version != f.Version {
		return false
	}
	changed = instruction.Version != f.Version
	f.Epoch, f.Version = instruction.Epoch, instruction.Version
	return changed
}
