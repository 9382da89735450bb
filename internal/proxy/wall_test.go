package proxy

import (
	"testing"
	"time"

	"linenloom/internal/discovery"
)

// Members tell their start by the wall's time. It was turned into the module's by what the wall said when the process began, so that a member that
// started after the wall had been put right (an hour forward, say) counted as one that starts in an hour or had for an hour: with the wall ahead at
// the start, a cold member counted as warm, and nothing kept requests from pushing it over.
func TestSteppedWallLeavesColdMembersCold(t *testing.T) {
	const now = 50 * time.Hour // by the true time
	for name, c := range map[string]struct {
		atStart, later time.Duration // by how much the wall is ahead
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
			cfg.Wall = func() time.Duration { return now + c.later }
			p := &Proxy{cfg: cfg, offset: now + c.atStart, members: nil}
			p.now = p.offset
			for age, want := range map[time.Duration]bool{100 * time.Millisecond: true, 10 * time.Hour: false} {
				e := entry("s-1", "127.0.0.1:1", "large")
				e.UpSinceMS = float64((now - age).Milliseconds())
				started := p.startedAt(MemberID(e.ID), p.upSince(e))
				cold := p.now-started < cfg.Settings.SlowStartDuration
				if cold != want {
					t.Errorf("a member that started %v ago counts as started %v ago", age, p.now-started)
				}
			}
		})
	}
}

// What was learnt of a start stays, whatever the wall does: a member must not look like another process for a step of the clock.
func TestSteppedWallMovesNoMember(t *testing.T) {
	var ahead time.Duration
	cfg := testConfig()
	on := manualClock(&cfg)
	cfg.Wall = func() time.Duration { return 24*time.Hour + ahead }
	m := entry("s-1", "127.0.0.1:1", "large")
	m.UpSinceMS = float64((23 * time.Hour).Milliseconds())
	r := newRegistry(t, discovery.List{Revision: 1, Complete: true, Members: []discovery.Member{m}})
	p := startAt(t, cfg, r)
	p.eventually("the list is taken in", func() bool { return len(p.members) == 1 })
	var was time.Duration
	p.Do(func() { was = p.members[MemberID("s-1")].started })
	<-r.watched
	on(p, 10*time.Millisecond)
	p.Do(func() { ahead = time.Hour })
	m.Size = 2
	r.tell(discoveryList(2, false, m))
	p.eventually("the next list is taken in", func() bool { return p.members[MemberID("s-1")].listed.Size == 2 })
	p.Do(func() {
		if got := p.members[MemberID("s-1")]; got.started != was || got.Epoch != 0 {
			t.Errorf("started at %v, then at %v, epoch %d", was, got.started, got.Epoch)
		}
	})
}
