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
	return inherit.Fleet(slices.Concat([]string{place}, c.Zones, []string{"kinds"}, c.Kinds)...)
}

// Learnt is what this proxy has learnt, for the process that takes its place. Only the copy is made under the lock.
func (p *Proxy) Learnt() (s inherit.Snapshot) {
	p.Do(func() {
		s = inherit.Snapshot{Fleet: p.cfg.fleet(), TakenMS: time.Now().UnixMilli(), Learnt: p.bal.ExportState(p.now),
			Members: make(map[logic.MemberID]inherit.Link), Idle: p.ups.IdleLearnt(), Reuse: p.redis.reuse}
		for _, m := range s.Learnt.Members {
			if known := p.members[m.ID]; known != nil {
				s.Members[m.ID] = inherit.Link{Addr: known.Addr, Learnt: known.Member.Learnt()}
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
			now := make(map[logic.MemberID]inherit.Member, len(p.members))
			for id, m := range p.members {
				if m.state == logic.Ready {
					now[id] = inherit.Member{StartedAt: m.started, Addr: m.Addr}
				}
			}
			var held inherit.Snapshot
			if held, err = s.For(p.cfg.fleet(), time.Now().UnixMilli(), now); err != nil {
				return
			}
			members = p.bal.ImportState(p.now, held.Learnt)
			for id, link := range held.Members {
				p.members[id].Inherit(link.Learnt)
			}
			p.ups.InheritIdle(held.Idle)
			p.redis.reuse = held.Reuse
		})
	}
	if err != nil {
		p.log.Warn("what the process before has learnt is not taken over", "err", err)
		return
	}
	p.log.Info("taken over from the process before", "members", members, "of", len(s.Learnt.Members), "keys", len(s.Learnt.Keys),
		"age_ms", time.Now().UnixMilli()-s.TakenMS)
}
