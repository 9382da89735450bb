package proxy

import (
	"testing"
	"time"

	"linenloom/internal/discovery"
)

// Members report their start in wall-clock time. If it is converted to the Balancer's clock by the wall clock's offset
// at the start of the process only, a later step of the wall clock, by an hour for example, shifts the start of members
// by that hour: a cold member then counts as warm and is overloaded.
func TestWallClockStepKeepsMembersCold(t *testing.T) {
	const now = 50 * time.Hour // the true time
	for name, c := range map[string]struct {
		atStart, later time.Duration // offset of the wall clock from the true time
	}{
		"never stepped":                   {0, 0},
		"ahead at the start, put right":   {time.Hour, 0},
		"behind at the start, put right":  {-time.Hour, 0},
		"right at the start, put forward": {0, time.Hour},
		"right at the start, put back":    {0, -time.Hour},
		"a few seconds forward":           {0, 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig()
			cfg.Listen = ""
			cfg.Clock = func() time.Duration { return 0 }
			cfg.WallClock = func() time.Duration { return now + c.later }
			p := &Proxy{cfg: cfg, clockOffset: now + c.atStart, members: nil}
			p.now = p.clockOffset
			for age, want := range map[time.Duration]bool{100 * time.Millisecond: true, 10 * time.Hour: false} {
				e := listEntry("s-1", "127.0.0.1:1", "large")
				e.UpSinceMS = float64((now - age).Milliseconds())
				started := p.balancerClockStart(MemberID(e.ID), p.wallClockStart(e))
				cold := p.now-started < cfg.Settings.SlowStartDuration
				if cold != want {
					t.Errorf("a member that started %v ago counts as started %v ago", age, p.now-started)
				}
			}
		})
	}
}

// The start time of a member stays as it was first computed: a step of the wall clock must not make the member look
// like a restarted process.
func TestWallClockStepDoesNotRestartMembers(t *testing.T) {
	var wallOffset time.Duration
	cfg := testConfig()
	advance := manualClock(&cfg)
	cfg.WallClock = func() time.Duration { return 24*time.Hour + wallOffset }
	m := listEntry("s-1", "127.0.0.1:1", "large")
	m.UpSinceMS = float64((23 * time.Hour).Milliseconds())
	r := newFakeDiscovery(t, discovery.List{Revision: 1, Complete: true, Members: []discovery.Member{m}})
	p := startProxyAt(t, cfg, r)
	p.eventually("the list is taken in", func() bool { return len(p.members) == 1 })
	var firstStart time.Duration
	p.Do(func() { firstStart = p.members[MemberID("s-1")].startedAt })
	<-r.watchBegan
	advance(p, 10*time.Millisecond)
	p.Do(func() { wallOffset = time.Hour })
	m.Size = 2
	r.publish(discoveryList(2, false, m))
	p.eventually("the next list is taken in", func() bool { return p.members[MemberID("s-1")].listed.Size == 2 })
	p.Do(func() {
		if got := p.members[MemberID("s-1")]; got.startedAt != firstStart || got.Epoch != 0 {
			t.Errorf("started at %v, then at %v, epoch %d", firstStart, got.startedAt, got.Epoch)
		}
	})
}
