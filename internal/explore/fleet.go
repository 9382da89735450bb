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

// Fleet is three instances before two zones as a Model: what package zones decides, over messages that are lost, doubled and late, an
// instance that crashes and comes again, a partition, zones that fail, and operators' calls. A step is a round of three ticks.
type Fleet struct {
	Scene   FleetScene
	now     time.Duration
	all     []*zones.Machine // nil: it has crashed
	bad     []bool           // zones
	late    []fleetMessage   // doubled: they come again a round later
	zeroAt  map[[2]int]time.Duration
	flowing int // rounds in a row in which all was delivered
	broken  []string
}

// FleetScene is what differs from one exploration to the next.
type FleetScene struct {
	// Mishear, if set, is what becomes of a message on its way: a fault put in. False: it does not come.
	Mishear func(to int, m *zones.Message) bool
}

type fleetMessage struct {
	from, to int
	text     []byte
}

const (
	fleetInstances = 3
	fleetZones     = 2
	fleetWarm      = 600 * ms
	roundTicks     = 3
	// agreeIn is how many rounds in which all is delivered it may take until all hold the same.
	agreeIn = 3
)

// NewFleet makes the model.
func NewFleet(s FleetScene) *Fleet {
	f := &Fleet{Scene: s, now: time.Hour, bad: make([]bool, fleetZones), zeroAt: map[[2]int]time.Duration{}}
	f.all = make([]*zones.Machine, fleetInstances)
	for i := range f.all {
		f.start(i)
	}
	for range 3 { // until one leads
		f.round(nil, false)
	}
	return f
}

func (f *Fleet) start(i int) {
	f.all[i] = zones.New(zones.Config{Number: i, Zones: []string{"a", "b"}, MinCapacityShare: zones.DefaultMinCapacityShare, WarmupTime: fleetWarm,
		StartedAtMS: int64(f.now / ms)}, i%fleetZones)
	for z := range fleetZones {
		delete(f.zeroAt, [2]int{i, z})
	}
}

// Steps are what a round may bring.
func (f *Fleet) Steps() (steps []string) {
	steps = append(steps, "all is well", "everything twice")
	for i, m := range f.all {
		if m == nil {
			steps = append(steps, fmt.Sprint("start ", i))
			continue
		}
		steps = append(steps, fmt.Sprint("lost from ", i), fmt.Sprint("apart ", i))
	}
	if f.all[0] != nil {
		steps = append(steps, "crash 0", "out by hand", "auto by hand")
	}
	for z, bad := range f.bad {
		if bad {
			steps = append(steps, fmt.Sprint("well ", z))
		} else {
			steps = append(steps, fmt.Sprint("fails ", z))
		}
	}
	return steps
}

// Do plays a round.
func (f *Fleet) Do(step string) {
	what, n := step, 0
	if i := strings.LastIndexByte(step, ' '); i >= 0 {
		if _, err := fmt.Sscan(step[i+1:], &n); err == nil {
			what = step[:i]
		}
	}
	var lost func(from, to int) bool
	switch what {
	case "start":
		f.start(n)
		for j, m := range f.all {
			if m != nil && j != n {
				f.all[n].Inherit(f.now, m.Verdict(), m.Overrides())
				break
			}
		}
	case "lost from":
		lost = func(from, _ int) bool { return from == n }
	case "apart":
		lost = func(from, to int) bool { return from == n || to == n }
	case "crash":
		f.all[n] = nil
	case "out by hand", "auto by hand":
		h := zones.Override{Mode: zones.ModeOut, TimestampMS: int64(f.now / ms)}
		if what[0] == 'a' {
			h.Mode = zones.ModeAuto
		}
		f.all[0].SetOverride(f.now, h, 0)
	case "fails", "well":
		f.bad[n] = what == "fails"
	}
	f.round(lost, what == "everything twice")
}

// round is three ticks of all that live, each told what the others say, but for what is lost.
func (f *Fleet) round(lost func(from, to int) bool, twice bool) {
	if f.flowing++; lost != nil {
		f.flowing = 0
	}
	again := f.late
	f.late = nil
	for _, m := range again {
		f.deliver(m)
	}
	for range roundTicks {
		f.now += zones.TickInterval
		var sent []fleetMessage
		for i, m := range f.all {
			if m == nil {
				continue
			}
			var peers []zones.Peer
			for j, o := range f.all {
				if j != i {
					peers = append(peers, zones.Peer{Number: j, Zone: j % fleetZones, Alive: o != nil})
				}
			}
			m.SetPeers(peers)
			leads, _ := m.Tick(f.now, f.sights(m), 0)
			own, v := m.OwnReport(), m.Verdict()
			msg := zones.Message{From: i, Report: &own, Verdict: &v, FromLeader: leads, Overrides: m.Overrides()}
			for j := range f.all {
				if j != i && (lost == nil || !lost(i, j)) {
					sent = append(sent, fleetMessage{i, j, msg.Append(nil)})
				}
			}
		}
		for _, m := range sent {
			f.deliver(m)
		}
		if twice {
			f.late = append(f.late, sent...)
		}
		f.check()
	}
	if f.flowing >= agreeIn {
		f.agree()
	}
}

func (f *Fleet) deliver(m fleetMessage) {
	to := f.all[m.to]
	msg, err := zones.Decode(m.text)
	if err != nil {
		f.broken = append(f.broken, err.Error())
		return
	}
	if to == nil || f.Scene.Mishear != nil && !f.Scene.Mishear(m.to, &msg) {
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

// sights are what an instance sees of zones that fail or don't: as much as it sends there.
func (f *Fleet) sights(m *zones.Machine) []zones.ZoneStats {
	all := make([]zones.ZoneStats, fleetZones)
	for z := range all {
		n := 0
		if share, trial := m.Share(z); share > 0 {
			n = 12
		} else if trial {
			n = 3
		}
		all[z] = zones.ZoneStats{Judged: n, TrimmedJudged: n * 2 / 3}
		if f.bad[z] {
			all[z] = zones.ZoneStats{Judged: n, Bad: n, Silent: n, TrimmedJudged: n * 2 / 3, TrimmedBad: n * 2 / 3}
		}
	}
	return all
}

// check holds the state against the bounds: something stays in use that was not taken out by hand, and a share rises no faster than it may.
func (f *Fleet) check() {
	for i, m := range f.all {
		if m == nil {
			continue
		}
		open, away := 0, 0
		for z := range fleetZones {
			share, _ := m.Share(z)
			if share > 0 {
				open++
			}
			if m.Overrides()[z].Mode == zones.ModeOut {
				away++
				if share > 0 {
					f.broken = append(f.broken, fmt.Sprintf("instance %d uses zone %d, which is out by hand", i, z))
				}
			}
			k := [2]int{i, z}
			if share == 0 {
				f.zeroAt[k] = f.now
			}
			if at, ok := f.zeroAt[k]; ok && share > 0.21+(f.now-at).Seconds()/fleetWarm.Seconds() {
				f.broken = append(f.broken, fmt.Sprintf("instance %d gives zone %d %.2f, %v after it gave none", i, z, share, f.now-at))
			}
		}
		if open == 0 && away == 0 {
			f.broken = append(f.broken, fmt.Sprintf("instance %d uses no zone", i))
		}
	}
}

// agree holds all against one another, once messages have flowed for a while.
func (f *Fleet) agree() {
	var first *zones.Machine
	for i, m := range f.all {
		switch {
		case m == nil:
		case first == nil:
			first = m
		default:
			a, b := first.Verdict(), m.Verdict()
			if a.Epoch != b.Epoch || !reflect.DeepEqual(a.Zones, b.Zones) || !slices.Equal(first.Overrides(), m.Overrides()) {
				f.broken = append(f.broken, fmt.Sprintf("after %d rounds in which all was delivered instances disagree: epoch %d and, at %d, epoch %d",
					f.flowing, a.Epoch, i, b.Epoch))
			}
		}
	}
}

// Broken tells what does not hold.
func (f *Fleet) Broken() []string { return f.broken }

// Finish lets all come right: what failed is well, who crashed comes again, and in the end every zone is whole but for one that is out by hand.
func (f *Fleet) Finish() {
	for z := range f.bad {
		f.bad[z] = false
	}
	for i, m := range f.all {
		if m == nil {
			f.Do(fmt.Sprint("start ", i))
		}
	}
	for range 40 {
		f.round(nil, false)
	}
	for i, m := range f.all {
		for z := range fleetZones {
			if share, _ := m.Share(z); share < 1 && m.Overrides()[z].Mode != zones.ModeOut {
				f.broken = append(f.broken, fmt.Sprintf("in the end instance %d gives zone %d %.2f: %+v", i, z, share, m.Verdict().Zones[z]))
			}
		}
	}
}

// Key tells states apart by all that an instance holds, times as they are.
func (f *Fleet) Key() [16]byte {
	h := fnv.New128a()
	fmt.Fprint(h, f.now, f.bad, f.flowing, len(f.late))
	for _, m := range f.all {
		if m == nil {
			fmt.Fprint(h, "gone ")
			continue
		}
		fmt.Fprint(h, m.Verdict(), m.Overrides(), m.OwnReport(), m.PeerReports())
		for z := range fleetZones {
			fmt.Fprint(h, m.DebugState(z))
		}
	}
	return [16]byte(h.Sum(nil))
}
