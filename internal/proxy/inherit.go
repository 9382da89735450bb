package proxy

import (
	"fmt"
	"slices"
	"time"

	"linenloom/internal/inherit"
	"linenloom/logic"
)

// fleetHash identifies the snapshots that this proxy can load: its index, mode, zones and kinds of members.
func (c *Config) fleetHash() uint64 {
	s := &c.Settings
	position := fmt.Sprint(s.SelfIndex, s.Instances, s.Zone, s.Mode, s.OriginKind)
	return inherit.FleetHash(slices.Concat([]string{position}, c.Zones, []string{"kinds"}, c.Kinds)...)
}

// Snapshot returns the learned state for the successor process. The lock is held only while the state is copied.
func (p *Proxy) Snapshot() (s inherit.Snapshot) {
	p.Do(func() {
		s = inherit.Snapshot{Fleet: p.cfg.fleetHash(), TakenMS: time.Now().UnixMilli(), Balancer: p.balancer.ExportState(p.now),
			Links: make(map[logic.MemberID]inherit.LinkState), Idle: p.upstreams.IdleStats(), ReuseShare: p.redis.reuseShare}
		for _, m := range s.Balancer.Members {
			if known := p.members[m.ID]; known != nil {
				s.Links[m.ID] = inherit.LinkState{Addr: known.Addr, ConnStats: p.upstreams.Stats(&known.Member)}
			}
		}
	})
	return s
}

// restoreSnapshot loads the learned state of the predecessor process, before clients are accepted. If the state cannot
// be used, the reason is logged in one line and the proxy starts without it.
func (p *Proxy) restoreSnapshot() {
	if p.cfg.LoadSnapshot == nil {
		return
	}
	s, err := p.cfg.LoadSnapshot()
	if err == nil && s == nil {
		return // no snapshot
	}
	restored := 0
	if err == nil {
		p.Do(func() {
			current := make(map[logic.MemberID]inherit.CurrentMember, len(p.members))
			for id, m := range p.members {
				if m.state == logic.Ready {
					current[id] = inherit.CurrentMember{StartedAt: m.startedAt, Addr: m.Addr}
				}
			}
			var adjusted inherit.Snapshot
			if adjusted, err = s.AdjustFor(p.cfg.fleetHash(), time.Now().UnixMilli(), current); err != nil {
				return
			}
			restored = p.balancer.ImportState(p.now, adjusted.Balancer)
			for id, link := range adjusted.Links {
				p.upstreams.RestoreStats(&p.members[id].Member, link.ConnStats)
			}
			p.upstreams.RestoreIdleStats(adjusted.Idle)
			p.redis.reuseShare = adjusted.ReuseShare
		})
	}
	if err != nil {
		p.log.Warn("learned state of the predecessor process is not taken over", "err", err)
		return
	}
	p.log.Info("taken over from the process before", "members", restored, "of", len(s.Balancer.Members), "keys", len(s.Balancer.Keys),
		"age_ms", time.Now().UnixMilli()-s.TakenMS)
}
