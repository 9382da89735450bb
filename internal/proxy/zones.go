package proxy

import (
	"slices"
	"time"

	"linenloom/internal/zones"
	"linenloom/logic"
)

// zoneOutcome is an attempt's outcome as it tells of a zone.
func zoneOutcome(s logic.Status) zones.Outcome {
	switch s {
	case logic.StatusOK:
		return zones.OutcomeAnswered
	case logic.StatusMiss:
		return zones.OutcomeMiss
	case logic.StatusFull:
		return zones.OutcomeRejected
	case logic.StatusError, logic.StatusTimeout, logic.StatusConnectFailed, logic.StatusReset, logic.StatusUnknown:
		return zones.OutcomeFailed
	}
	return zones.OutcomeNone
}

// zoneIndex is the place of a zone in the settings, below 0: they do not have it.
func (p *Proxy) zoneIndex(locality string) int { return slices.Index(p.cfg.Zones, locality) }

// ZoneCapacity is what the ready caches of each zone can do, by the sizes that the list tells.
func (p *Proxy) ZoneCapacity() []float64 {
	capacity := make([]float64, len(p.cfg.Zones))
	p.Do(func() {
		for _, m := range p.members {
			if at := p.zoneIndex(m.listed.Locality); at >= 0 && m.state == logic.Ready && !m.Origin {
				capacity[at] += max(0, m.listed.Size)
			}
		}
	})
	return capacity
}

// UpdateZoneShares takes from decide what part of its usual work each zone is to get here from now on; nil: nothing changes. It is called under the
// lock, and waits for nothing.
func (p *Proxy) UpdateZoneShares(decide func(now time.Duration) []logic.ZoneShare) {
	p.Do(func() {
		if shares := decide(p.now); shares != nil {
			p.balancer.SetZoneShares(p.now, shares)
		}
	})
}
