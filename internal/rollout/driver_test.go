package rollout

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	stages   = []Stage{{Share: 0.1}, {Share: 0.5}, {Share: 1}}
	timeouts = Timeouts{Switch: 10 * time.Second, Silence: 5 * time.Second}
	members  = []Member{{0, "a"}, {1, "b"}, {2, "c"}, {3, "a"}, {4, "b"}, {5, "c"}}
)

// testRollout is a driver with members that follow the instructions that reach them.
type testRollout struct {
	*Driver
	now          time.Duration
	members      map[int]*Follower
	running      map[int]string
	failures     map[int]string      // members that reject instructions, and why
	latest       map[int]Instruction // with the highest epoch that each member received
	storedStates []State             // states on stable storage, the latest last
	lost         func() bool
}

func newTestRollout(begin State, lost func() bool) *testRollout {
	c := &testRollout{members: map[int]*Follower{}, running: map[int]string{}, failures: map[int]string{}, latest: map[int]Instruction{}, lost: lost}
	for _, m := range members {
		c.members[m.Number], c.running[m.Number] = &Follower{Version: "old"}, "old"
	}
	c.startDriver(begin)
	return c
}

func (c *testRollout) startDriver(last State) {
	c.Driver = NewDriver(c.now, plan, stages, timeouts, members, last)
	c.storedStates = append(c.storedStates, c.State())
}

// deliver sends a driver's instructions to the members, except for lost ones.
func (c *testRollout) deliver(d *Driver) {
	for n, o := range d.Instructions() {
		if c.lost() {
			continue
		}
		if o.Epoch > c.latest[n].Epoch {
			c.latest[n] = o
		}
		if c.members[n].Apply(o) && c.failures[n] == "" {
			c.running[n] = c.members[n].Version
		}
	}
}

// runSecond delivers all instructions and statuses once, adds an observation and ticks the driver.
func (c *testRollout) runSecond(t interface{ Fatal(...any) }, o Observation) {
	c.now += time.Second
	c.deliver(c.Driver)
	for n, f := range c.members {
		if !c.lost() {
			c.ReceiveStatus(c.now, n, MemberStatus{Epoch: f.Epoch, Version: c.running[n], Failure: c.failures[n]})
		}
	}
	if err := c.Observe(o); err != nil {
		t.Fatal(err)
	}
	if c.Tick(c.now) {
		c.storedStates = append(c.storedStates, c.State())
	}
}

func (c *testRollout) runningNew() (n int) {
	for _, v := range c.running {
		if v == "new" {
			n++
		}
	}
	return n
}

var (
	initialState    = State{From: "old", To: "new"}
	goodObservation = Observation{Duration: time.Second, Metrics: []Block{{Counts{100, 99}, Counts{100, 99}}, {Counts{100, 99}, Counts{100, 99}}}}
	badObservation  = Observation{Duration: time.Second, Metrics: []Block{{Counts{100, 99}, Counts{100, 60}}, {Counts{100, 99}, Counts{100, 99}}}}
)

// Each case is what the observations say, the final phase, and the most members that ran the new version
// at any time.
func TestRolloutOutcomes(t *testing.T) {
	noLoss := func() bool { return false }
	for name, c := range map[string]struct {
		observe func(c *testRollout, second int) Observation
		phase   Phase
		most    int
		why     string
	}{
		"good":             {func(*testRollout, int) Observation { return goodObservation }, PhaseCompleted, 6, "all stages"},
		"bad in stage one": {func(*testRollout, int) Observation { return badObservation }, PhaseRolledBack, 1, "served in time"},
		"bad in stage two": {func(c *testRollout, _ int) Observation {
			if c.State().Stage == 1 {
				return badObservation
			}
			return goodObservation
		}, PhaseRolledBack, 3, "served in time"},
		"too little traffic": {func(*testRollout, int) Observation {
			return Observation{Duration: time.Second, Metrics: make([]Block, 2)}
		}, PhaseRunning, 1, "side by side"},
		"a zone is out": {func(*testRollout, int) Observation { return Observation{Duration: time.Second, Excluded: true} }, PhaseRunning, 1, "side by side"},
		"one crashes":   {func(*testRollout, int) Observation { return Observation{Excluded: true, Violation: "n0 crashed"} }, PhaseRolledBack, 1, "n0 crashed"},
		"turned down": {func(c *testRollout, s int) Observation {
			c.failures[0] = "areas: no zone c"
			return goodObservation
		}, PhaseRolledBack, 0, "areas: no zone c"},
		"back by hand at the end": {func(c *testRollout, s int) Observation {
			if c.State().Phase == PhaseCompleted {
				c.Command(c.now, "back")
			}
			return goodObservation
		}, PhaseRolledBack, 6, "by an operator"},
		"paused": {func(c *testRollout, s int) Observation {
			if s == 3 {
				c.Command(c.now, "pause")
			}
			return goodObservation
		}, PhasePaused, 1, "by an operator"},
	} {
		ch := newTestRollout(initialState, noLoss)
		most := 0
		for s := range 120 {
			ch.runSecond(t, c.observe(ch, s))
			most = max(most, ch.runningNew())
		}
		if s := ch.State(); s.Phase != c.phase || most != c.most || !strings.Contains(s.Reason, c.why) {
			t.Errorf("%s: %v, most %d, %s", name, s.Phase, most, s.Reason)
		}
		if ch.State().Phase == PhaseRolledBack && ch.runningNew() > 0 {
			t.Errorf("%s: %d still run the new version", name, ch.runningNew())
		}
	}
	if err := newTestRollout(initialState, noLoss).Command(0, "go"); err == nil || !strings.Contains(err.Error(), "in phase going of the rollout") {
		t.Error(err)
	}
}

// Messages are lost; drivers are killed, run twice, or start from an outdated state. Even so, no more
// members run the new version than any stored state allowed, members follow the latest instruction that
// they received, and an outdated driver is fenced.
func TestDriverFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lossTenths := 0
		c := newTestRollout(initialState, func() bool { return lossTenths > 0 && rapid.IntRange(0, 9).Draw(t, "lost") < lossTenths })
		var other *Driver
		stopped := false
		for range rapid.IntRange(5, 60).Draw(t, "seconds") {
			switch rapid.SampledFrom([]string{"-", "-", "-", "lose", "heal", "killed", "killed, old disk", "second driver", "bad", "back"}).Draw(t, "event") {
			case "lose":
				lossTenths = 4
			case "heal":
				lossTenths = 0
			case "killed":
				c.startDriver(c.storedStates[len(c.storedStates)-1])
			case "killed, old disk":
				c.startDriver(c.storedStates[rapid.IntRange(0, len(c.storedStates)-1).Draw(t, "state")])
			case "second driver":
				other, c.Driver = c.Driver, NewDriver(c.now, plan, stages, timeouts, members, c.storedStates[len(c.storedStates)-1])
				c.storedStates = append(c.storedStates, c.State())
			case "bad":
				c.Observe(Observation{Violation: "made up"})
			case "back":
				stopped = c.Command(c.now, "back") == nil || stopped
			}
			c.runSecond(t, goodObservation)
			if other != nil { // the replaced driver continues, unaware of its replacement
				other.Tick(c.now)
				c.deliver(other)
				for n, f := range c.members {
					behind := f.Epoch > other.State().Epoch
					if other.ReceiveStatus(c.now, n, MemberStatus{Epoch: f.Epoch, Version: c.running[n]}); behind && len(other.Instructions()) > 0 {
						t.Fatalf("a driver that hears of epoch %d goes on telling at %d", f.Epoch, other.State().Epoch)
					}
				}
			}
			for n, f := range c.members {
				if o := c.latest[n]; o.Epoch > 0 && f.Version != o.Version {
					t.Fatalf("member %d is to run %s, and the latest that it heard was %+v", n, f.Version, o)
				}
			}
			allowed := 0
			for _, s := range c.storedStates {
				allowed = max(allowed, len(s.NewMembers))
			}
			if c.runningNew() > allowed {
				t.Fatalf("%d run the new version, and no state allows more than %d", c.runningNew(), allowed)
			}
		}
		// Finally one driver rolls back from the latest stored state, without message loss.
		lossTenths, other = 0, nil
		last := slices.MaxFunc(c.storedStates, func(a, b State) int { return int(a.Epoch) - int(b.Epoch) })
		for _, f := range c.members {
			last.Epoch = max(last.Epoch, f.Epoch)
		}
		last.Phase, last.NewMembers = PhaseRollingBack, nil
		c.startDriver(last)
		for range 5 {
			c.runSecond(t, goodObservation)
		}
		if c.runningNew() > 0 || c.State().Phase != PhaseRolledBack {
			t.Fatalf("%d run the new version in the end, %+v, fenced %v", c.runningNew(), c.State(), c.Fenced())
		}
	})
}

func TestSpreadOverZonesAndCheckStages(t *testing.T) {
	if got := SpreadOverZones([]Member{{5, "b"}, {0, "a"}, {1, "a"}, {2, "a"}, {7, "c"}}); !slices.Equal(got, []int{0, 5, 7, 1, 2}) {
		t.Errorf("%v", got)
	}
	for want, s := range map[string][]Stage{
		"the last stage has a share of 0.5": {{Share: 0.5}},
		"stage 2 has a share of 0.2":        {{Share: 0.5}, {Share: 0.2}, {Share: 1}},
		"the last stage has a share of 0,":  nil,
	} {
		if err := CheckStages(s); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
	if err := CheckStages(stages); err != nil {
		t.Error(err)
	}
}
