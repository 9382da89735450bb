package explore

import (
	"fmt"
	"hash/fnv"
	"reflect"
	"slices"
	"strings"
	"time"

	"linenloom/internal/zones"
)

// ZoneModel is a Model of the decisions of package zones, with three instances and two zones. Messages are
// lost, repeated and delayed; an instance crashes and restarts; instances are partitioned; zones fail; and
// operators make calls. A step is a round of three ticks.
type ZoneModel struct {
	Scenario        ZoneScenario
	now             time.Duration
	machines        []*zones.Machine // nil for a crashed instance
	failing         []bool           // by zone
	repeated        []zoneMessage    // messages that are delivered again one round later
	zeroShareAt     map[[2]int]time.Duration
	deliveredRounds int // consecutive rounds in which all messages were delivered
	violations      []string
}

// ZoneScenario configures a ZoneModel.
type ZoneScenario struct {
	// AlterMessage, if set, injects a fault into each message. If it returns false, the message is lost.
	AlterMessage func(to int, m *zones.Message) bool
}

type zoneMessage struct {
	from, to int
	text     []byte
}

const (
	instanceCount = 3
	zoneCount     = 2
	warmupTime    = 600 * ms
	roundTicks    = 3
	// agreementRounds is the number of rounds without message loss after which all instances must agree.
	agreementRounds = 3
)

// NewZoneModel returns the model after the election of a leader.
func NewZoneModel(scenario ZoneScenario) *ZoneModel {
	model := &ZoneModel{Scenario: scenario, now: time.Hour, failing: make([]bool, zoneCount), zeroShareAt: map[[2]int]time.Duration{}}
	model.machines = make([]*zones.Machine, instanceCount)
	for i := range model.machines {
		model.start(i)
	}
	for range 3 { // until there is a leader
		model.runRound(nil, false)
	}
	return model
}

func (f *ZoneModel) start(i int) {
	f.machines[i] = zones.New(zones.Config{Number: i, Zones: []string{"a", "b"}, MinCapacityShare: zones.DefaultMinCapacityShare, WarmupTime: warmupTime,
		StartedAtMS: int64(f.now / ms)}, i%zoneCount)
	for z := range zoneCount {
		delete(f.zeroShareAt, [2]int{i, z})
	}
}

// Steps returns the possible kinds of the next round.
func (f *ZoneModel) Steps() (steps []string) {
	steps = append(steps, "all is well", "everything twice")
	for i, m := range f.machines {
		if m == nil {
			steps = append(steps, fmt.Sprint("start ", i))
			continue
		}
		steps = append(steps, fmt.Sprint("lost from ", i), fmt.Sprint("apart ", i))
	}
	if f.machines[0] != nil {
		steps = append(steps, "crash 0", "out by hand", "auto by hand")
	}
	for z, failing := range f.failing {
		if failing {
			steps = append(steps, fmt.Sprint("well ", z))
		} else {
			steps = append(steps, fmt.Sprint("fails ", z))
		}
	}
	return steps
}

// Do executes one round.
func (f *ZoneModel) Do(step string) {
	kind, n := step, 0
	if i := strings.LastIndexByte(step, ' '); i >= 0 {
		if _, err := fmt.Sscan(step[i+1:], &n); err == nil {
			kind = step[:i]
		}
	}
	var lost func(from, to int) bool
	switch kind {
	case "start":
		f.start(n)
		for j, m := range f.machines {
			if m != nil && j != n {
				f.machines[n].Inherit(f.now, m.Verdict(), m.Overrides())
				break
			}
		}
	case "lost from":
		lost = func(from, _ int) bool { return from == n }
	case "apart":
		lost = func(from, to int) bool { return from == n || to == n }
	case "crash":
		f.machines[n] = nil
	case "out by hand", "auto by hand":
		override := zones.Override{Mode: zones.ModeOut, TimestampMS: int64(f.now / ms)}
		if kind[0] == 'a' {
			override.Mode = zones.ModeAuto
		}
		f.machines[0].SetOverride(f.now, override, 0)
	case "fails", "well":
		f.failing[n] = kind == "fails"
	}
	f.runRound(lost, kind == "everything twice")
}

// runRound runs three ticks of all running instances, which then receive one another's messages except for
// those that are lost.
func (f *ZoneModel) runRound(lost func(from, to int) bool, twice bool) {
	if f.deliveredRounds++; lost != nil {
		f.deliveredRounds = 0
	}
	repeated := f.repeated
	f.repeated = nil
	for _, m := range repeated {
		f.deliver(m)
	}
	for range roundTicks {
		f.now += zones.TickInterval
		var sent []zoneMessage
		for i, m := range f.machines {
			if m == nil {
				continue
			}
			var peers []zones.Peer
			for j, other := range f.machines {
				if j != i {
					peers = append(peers, zones.Peer{Number: j, Zone: j % zoneCount, Alive: other != nil})
				}
			}
			m.SetPeers(peers)
			isLeader, _ := m.Tick(f.now, f.zoneStats(m), 0)
			report, verdict := m.OwnReport(), m.Verdict()
			msg := zones.Message{From: i, Report: &report, Verdict: &verdict, FromLeader: isLeader, Overrides: m.Overrides()}
			for j := range f.machines {
				if j != i && (lost == nil || !lost(i, j)) {
					sent = append(sent, zoneMessage{i, j, msg.Append(nil)})
				}
			}
		}
		for _, m := range sent {
			f.deliver(m)
		}
		if twice {
			f.repeated = append(f.repeated, sent...)
		}
		f.checkBounds()
	}
	if f.deliveredRounds >= agreementRounds {
		f.checkAgreement()
	}
}

func (f *ZoneModel) deliver(m zoneMessage) {
	to := f.machines[m.to]
	msg, err := zones.Decode(m.text)
	if err != nil {
		f.violations = append(f.violations, err.Error())
		return
	}
	if to == nil || f.Scenario.AlterMessage != nil && !f.Scenario.AlterMessage(m.to, &msg) {
		return
	}
	if msg.Report != nil {
		to.ReceiveReport(f.now, *msg.Report)
	}
	if msg.Verdict != nil {
		to.ReceiveVerdict(f.now, msg.From, *msg.Verdict, msg.FromLeader)
	}
	to.MergeOverrides(f.now, msg.Overrides)
}

// zoneStats returns an instance's statistics of the zones, in proportion to the traffic that it sends to
// each.
func (f *ZoneModel) zoneStats(m *zones.Machine) []zones.ZoneStats {
	stats := make([]zones.ZoneStats, zoneCount)
	for z := range stats {
		n := 0
		if share, probing := m.Share(z); share > 0 {
			n = 12
		} else if probing {
			n = 3
		}
		stats[z] = zones.ZoneStats{Judged: n, TrimmedJudged: n * 2 / 3}
		if f.failing[z] {
			stats[z] = zones.ZoneStats{Judged: n, Bad: n, Silent: n, TrimmedJudged: n * 2 / 3, TrimmedBad: n * 2 / 3}
		}
	}
	return stats
}

// checkBounds checks that each instance uses at least one zone unless an operator took one out, and that a
// zone's share rises no faster than it may.
func (f *ZoneModel) checkBounds() {
	for i, m := range f.machines {
		if m == nil {
			continue
		}
		inUse, setOut := 0, 0
		for z := range zoneCount {
			share, _ := m.Share(z)
			if share > 0 {
				inUse++
			}
			if m.Overrides()[z].Mode == zones.ModeOut {
				setOut++
				if share > 0 {
					f.violations = append(f.violations, fmt.Sprintf("instance %d uses zone %d, which is out by hand", i, z))
				}
			}
			key := [2]int{i, z}
			if share == 0 {
				f.zeroShareAt[key] = f.now
			}
			if at, ok := f.zeroShareAt[key]; ok && share > 0.21+(f.now-at).Seconds()/warmupTime.Seconds() {
				f.violations = append(f.violations, fmt.Sprintf("instance %d gives zone %d %.2f, %v after it gave none", i, z, share, f.now-at))
			}
		}
		if inUse == 0 && setOut == 0 {
			f.violations = append(f.violations, fmt.Sprintf("instance %d uses no zone", i))
		}
	}
}

// checkAgreement checks that all instances agree, once messages have been delivered for some rounds.
func (f *ZoneModel) checkAgreement() {
	var first *zones.Machine
	for i, m := range f.machines {
		switch {
		case m == nil:
		case first == nil:
			first = m
		default:
			a, b := first.Verdict(), m.Verdict()
			if a.Epoch != b.Epoch || !reflect.DeepEqual(a.Zones, b.Zones) || !slices.Equal(first.Overrides(), m.Overrides()) {
				f.violations = append(f.violations, fmt.Sprintf("after %d rounds in which all was delivered instances disagree: epoch %d and, at %d, epoch %d",
					f.deliveredRounds, a.Epoch, i, b.Epoch))
			}
		}
	}
}

// Violations returns the violations found so far.
func (f *ZoneModel) Violations() []string { return f.violations }

// Finish repairs all zones, restarts crashed instances, and checks that in the end every zone is fully in
// use except those that an operator took out.
func (f *ZoneModel) Finish() {
	for z := range f.failing {
		f.failing[z] = false
	}
	for i, m := range f.machines {
		if m == nil {
			f.Do(fmt.Sprint("start ", i))
		}
	}
	for range 40 {
		f.runRound(nil, false)
	}
	for i, m := range f.machines {
		for z := range zoneCount {
			if share, _ := m.Share(z); share < 1 && m.Overrides()[z].Mode != zones.ModeOut {
				f.violations = append(f.violations, fmt.Sprintf("in the end instance %d gives zone %d %.2f: %+v", i, z, share, m.Verdict().Zones[z]))
			}
		}
	}
}

// Key hashes the complete state of all instances, including times.
func (f *ZoneModel) Key() [16]byte {
	h := fnv.New128a()
	fmt.Fprint(h, f.now, f.failing, f.deliveredRounds, len(f.repeated))
	for _, m := range f.machines {
		if m == nil {
			fmt.Fprint(h, "gone ")
			continue
		}
		fmt.Fprint(h, m.Verdict(), m.Overrides(), m.OwnReport(), m.PeerReports())
		for z := range zoneCount {
			fmt.Fprint(h, m.DebugState(z))
		}
	}
	return [16]byte(h.Sum(nil))
}
