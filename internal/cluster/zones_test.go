package cluster

import (
	"testing"
	"time"

	"linenloom/internal/standin"
)

func silentThenCold(h *harness) {
	h.blockZones(true, "c")
	h.awaitState("c", "trying")
	h.letRun(2 * time.Second)
	h.restartCold("c")
	h.blockZones(false, "c")
	h.awaitState("c", "in")
}

const unresponsiveServiceTime = 480 * time.Millisecond // forty times the usual service time

// zoneScenarios are difficult cases of zone failures. Each ends with a check of the rules as clients and
// caches saw them.
var zoneScenarios = map[string]struct {
	options Options
	run     func(h *harness)
}{
	// zone c stops answering and returns with empty caches
	"silent, back cold": {run: silentThenCold},
	// the same with a cost for requests that cross zones, and therefore a slot table per zone
	"silent, a table by zone, back cold": {options: Options{CrossZoneCost: 0.06}, run: silentThenCold},
	// the caches of zone c become too slow, and then as fast as before
	"slow, back warm": {run: func(h *harness) {
		h.setServiceTime(unresponsiveServiceTime, "c")
		h.awaitState("c", "trying")
		h.setServiceTime(h.ServiceTime, "c")
		h.awaitState("c", "in")
	}},
	// half of the answers of zone c are errors; when the fault ends, half of its caches are empty
	"half of the answers fail, back half cold": {run: func(h *harness) {
		h.setFault(standin.Intermittent, "c")
		h.awaitState("c", "trying")
		for _, cache := range h.Fleet.CachesIn("c")[:2] {
			cache.Clear()
		}
		h.setFault(standin.Healthy, "c")
		h.awaitState("c", "in")
	}},
	// the caches of zone c refuse all requests
	"refusing": {run: func(h *harness) {
		h.setFault(standin.Busy, "c")
		h.awaitState("c", "trying")
		h.setFault(standin.Healthy, "c")
		h.awaitState("c", "in")
	}},
	// requests reach zone c, but its answers are blocked
	"one way only": {run: func(h *harness) {
		for _, p := range h.Proxies {
			for _, cache := range h.CachesIn("c") {
				h.Link(p.Name, cache).Set(Backward, Impairment{Blocked: true})
			}
		}
		h.awaitState("c", "trying")
		h.blockZones(false, "c")
		h.awaitState("c", "in")
	}},
	// both zones of a region fail, and one is reachable again before the other
	"a region of two zones of four": {options: Options{Zones: []string{"a", "b", "c", "d"}, Proxies: 8, Regions: map[string][]string{"south": {"c", "d"}}},
		run: func(h *harness) {
			h.blockZones(true, "c", "d")
			h.awaitState("c", "trying")
			h.awaitState("d", "trying")
			h.blockZones(false, "c")
			h.requireState("c", "trying", 3*time.Second) // zones of a region return together
			h.blockZones(false, "d")
			h.awaitState("c", "in")
			h.awaitState("d", "in")
		}},
	// the proxies of zone c are killed, and its caches go on
	"a zone's proxies are gone, and its boxes live": {run: func(h *harness) {
		for _, p := range h.Proxies {
			if p.Zone == "c" {
				h.ExpectLoss(p.Name, time.Now(), time.Now().Add(time.Hour))
				p.Kill()
			}
		}
		h.requireState("c", "in", 4*time.Second)
	}},
	// zone c is partitioned from the others, and requests are answered on both sides
	"cut off with proxies, boxes and clients": {run: func(h *harness) {
		there := append(h.ProxiesIn("c"), h.CachesIn("c")...)
		here := append(h.ProxiesIn("a", "b"), h.CachesIn("a", "b")...)
		h.partition(true, here, there)
		h.awaitState("c", "trying", h.ProxiesIn("c")...)
		from := time.Now()
		h.letRun(3 * time.Second)
		for _, a := range h.Requests(from, time.Now()) {
			if a.Outcome == Failed {
				h.t.Errorf("%s at %s failed on one side of a partition: %s", a.Key, a.Proxy, a.Detail)
			}
		}
		h.partition(false, here, there)
		h.awaitState("c", "in")
	}},
	// messages between proxies are lost, then delayed, then blocked between two halves of the proxies, while zone
	// c fails and returns
	"messages lost, late, and cut between two halves": {run: func(h *harness) {
		var names []string
		for _, p := range h.Proxies {
			names = append(names, p.Name)
		}
		h.EachLink(names, names, func(l *Link) { l.SetBoth(Impairment{LossRate: 0.3}) })
		h.blockZones(true, "c")
		h.awaitState("c", "trying")
		h.EachLink(names, names, func(l *Link) { l.SetBoth(Impairment{Delay: 2 * time.Second}) })
		h.letRun(3 * time.Second)
		h.EachLink(names, names, func(l *Link) { l.SetBoth(Impairment{}) })
		h.awaitState("c", "trying")
		h.partition(true, names[:3], names[3:])
		h.blockZones(false, "c")
		h.awaitState("c", "returning", names[3:]...)
		h.partition(false, names[:3], names[3:])
		h.awaitState("c", "in")
	}},
	// the leader is paused while zone c fails; while the zone returns, one proxy is restarted and two are killed
	"paused through it, started in the middle, killed on the return": {run: func(h *harness) {
		leader := h.Proxies[0]
		h.ExpectLoss(leader.Name, time.Now(), time.Now().Add(10*time.Second))
		leader.Pause()
		h.blockZones(true, "c")
		h.awaitState("c", "trying", leader.Name)
		h.letRun(2 * time.Second)
		leader.Continue()
		at := time.Now().Add(300 * time.Millisecond)
		h.awaitState("c", "trying")
		h.letRun(2 * time.Second)
		if n := h.RequestsSent(leader.Name, "c", at, at.Add(1500*time.Millisecond)); n > 16 {
			h.t.Errorf("continued after the zone was left, it sends %d to it in 1.5 s", n)
		}
		restarted := h.Proxies[5]
		h.ExpectLoss(restarted.Name, time.Now(), time.Now().Add(time.Hour))
		restarted.Kill()
		h.restartCold("c")
		h.blockZones(false, "c")
		h.awaitState("c", "returning", restarted.Name)
		if err := restarted.Start(); err != nil {
			h.t.Fatal(err)
		}
		if v, err := restarted.View(); err != nil || v.Zones[2].LocalShare > v.Zones[2].Share+0.1 || v.Zones[2].Share == 1 {
			h.t.Errorf("started while the zone is returned to, it takes %+v, %v", v.Zones, err)
		}
		for _, p := range h.Proxies[3:5] {
			h.ExpectLoss(p.Name, time.Now(), time.Now().Add(time.Hour))
			p.Kill()
		}
		h.awaitState("c", "in", "n3", "n4")
	}},
	// a second zone fails half a second after the first, and the third stays in use
	"two zones half a second apart": {run: func(h *harness) {
		h.blockZones(true, "c")
		h.letRun(500 * time.Millisecond)
		h.blockZones(true, "b")
		h.awaitState("b", "trying")
		h.awaitState("c", "trying")
		h.requireState("a", "in", time.Second)
		h.blockZones(false, "b", "c")
		h.awaitState("b", "in")
		h.awaitState("c", "in")
	}},
	// no proxy leaves a zone when all zones are slow alike, when the origin is slow, or when one cache stalls
	"a cause common to all leaves nobody": {run: func(h *harness) {
		h.setServiceTime(unresponsiveServiceTime, zoneNames...)
		h.requireState("a", "in", 0)
		h.requireAllInUse(3 * time.Second)
		h.setServiceTime(h.ServiceTime, zoneNames...)
		h.Fleet.Origin.SetService(600*time.Millisecond, 8)
		for _, cache := range h.Fleet.Caches {
			cache.Clear()
		}
		h.requireAllInUse(3 * time.Second)
		bad := h.Fleet.CachesIn("c")[0]
		bad.SetFault(standin.Stall)
		h.requireAllInUse(3 * time.Second)
	}},
	// zone c fails again each time it returns, and stays out of use for longer each time
	"a zone that flaps waits longer each time": {run: func(h *harness) {
		var out []time.Duration
		for range 3 {
			h.blockZones(true, "c")
			h.awaitState("c", "out")
			out = append(out, h.awaitState("c", "trying"))
			h.blockZones(false, "c")
			h.awaitState("c", "returning")
		}
		if out[2] < 2*out[0] {
			h.t.Errorf("it was out for %v", out)
		}
		h.awaitState("c", "in")
	}},
	// an operator takes zone c out of use; it stays out after the proxy that received the call is killed
	"out by hand": {run: func(h *harness) {
		report, err := h.Proxies[4].SetZoneMode("out", "c")
		from := time.Now().Add(250 * time.Millisecond)
		delay := standin.MeasureSchedulingDelay()
		if err != nil || len(report.Notified) != len(h.Proxies) {
			h.t.Fatalf("told %+v, %v", report, err)
		}
		h.awaitState("c", "out")
		h.ExpectLoss("n4", time.Now(), time.Now().Add(time.Hour))
		h.Proxies[4].Kill()
		h.letRun(2 * time.Second)
		lateBy := delay.Stop()
		if n := h.totalSent("c", from.Add(100*time.Millisecond), time.Now()); n > 0 {
			h.t.Errorf("%d requests went to a zone that was out by hand; the rig's own goroutines were late by %v", n, lateBy)
			h.logSent("c", from.Add(-500*time.Millisecond), time.Now())
			h.logStatus()
		}
		if _, err := h.Proxies[1].SetZoneMode("auto", "c"); err != nil {
			h.t.Fatal(err)
		}
		h.awaitState("c", "returning", "n4")
		h.awaitState("c", "in", "n4")
	}},
}

// requireAllInUse fails the test if a running proxy doesn't fully use every zone within a period.
func (h *harness) requireAllInUse(d time.Duration) {
	h.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, p := range h.Proxies {
			v, err := p.View()
			for _, z := range v.Zones {
				if err == nil && z.Share < 1 {
					h.failState("%s says that %s is %s", p.Name, z.Name, z.State)
				}
			}
		}
	}
}

// A run of a scenario on a machine too busy for a verdict on the states of the zones is repeated; a rule that is broken in
// it counts.
func TestZones(t *testing.T) {
	t.Parallel()
	for name, scenario := range zoneScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for runs := 1; ; runs++ {
				h := newHarness(t, scenario.options)
				h.mayRunAgain = runs < maxRuns
				if h.runScenario(scenario.run) {
					return
				}
			}
		})
	}
}
