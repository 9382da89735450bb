package proxy

import (
	"fmt"
	"slices"
	"time"

	"linenloom/internal/inherit"
	"linenloom/logic"
)

// fleet is what tells this proxy's snapshots from those of others.
func (c *Config) fleet() uint64 {
	s := &c.Settings
	place := fmt.Sprint(s.SelfIndex, s.Instances, s.Zone, s.Mode, s.OriginKind)
	return inherit.FleetHash(slices.Concat([]string{place}, c.Zones, []string{"kinds"}, c.Kinds)...)
}

// Learnt is what this proxy has learnt, for the process that takes its place. Only the copy is made under the lock.
func (p *Proxy) Learnt() (s inherit.Snapshot) {
	p.Do(func() {
		s = inherit.Snapshot{Fleet: p.cfg.fleet(), TakenMS: time.Now().UnixMilli(), Balancer: p.bal.ExportState(p.now),
			Links: make(map[logic.MemberID]inherit.LinkState), Idle: p.ups.IdleStats(), ReuseShare: p.redis.reuseShare}
		for _, m := range s.Balancer.Members {
			if known := p.members[m.ID]; known != nil {
				s.Links[m.ID] = inherit.LinkState{Addr: known.Addr, ConnStats: known.Member.Stats()}
			}
		}
	})
	return s
}

// inherit takes over what the process before has learnt, before the first client is taken. Whatever is wrong with it, it is told in
// one line, and nothing else changes.
func (p *Proxy) inherit() {
	if p.cfg.Inherit == nil {
		return
	}
	s, err := p.cfg.Inherit()
	if err == nil && s == nil {
		return // there is none
	}
	members := 0
	if err == nil {
		p.Do(func() {
			now := make(map[logic.MemberID]inherit.CurrentMember, len(p.members))
			for id, m := range p.members {
				if m.state == logic.Ready {
					now[id] = inherit.CurrentMember{StartedAt: m.started, Addr: m.Addr}
				}
			}
			var held inherit.Snapshot
			if held, err = s.AdjustFor(p.cfg.fleet(), time.Now().UnixMilli(), now); err != nil {
				return
			}
			members = p.bal.ImportState(p.now, held.Balancer)
			for id, link := range held.Links {
				p.members[id].RestoreStats(link.ConnStats)
			}
			p.ups.RestoreIdleStats(held.Idle)
			p.redis.reuseShare = held.ReuseShare
		})
	}
	if err != nil {
		p.log.Warn("what the process before has learnt is not taken over", "err", err)
		return
	}
	p.log.Info("taken over from the process before", "members", members, "of", len(s.Balancer.Members), "keys", len(s.Balancer.Keys),
		"age_ms", time.Now().UnixMilli()-s.TakenMS)
}
