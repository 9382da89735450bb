package proxy

import (
	"slices"
	"time"

	"linenloom/internal/zones"
	"linenloom/logic"
)

// zoneOutcome returns the outcome that counts for the zone of an attempt with a status.
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

// zoneIndex returns the index of a zone in the settings, or -1 if they do not contain it.
func (p *Proxy) zoneIndex(locality string) int { return slices.Index(p.cfg.Zones, locality) }

// ZoneCapacity returns the total listed size of the ready caches in each zone.
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

// UpdateZoneShares sets the share of its usual load that each zone gets from this proxy. decide returns the shares, or
// nil for no change; it is called under the lock and must not block.
func (p *Proxy) UpdateZoneShares(decide func(now time.Duration) []logic.ZoneShare) {
	p.Do(func() {
		if shares := decide(p.now); shares != nil {
			p.balancer.SetZoneShares(p.now, shares)
		}
	})
}
