package pool

import "time"

// ConnStats is what is known of a member's connections, for the process that takes this one's place. Who is out of reach is not in it:
// one dial tells that anew.
type ConnStats struct {
	Occupancy     time.Duration `json:"Turn"`  // for which a connection is taken for a request lately
	CleanAnswers  int           `json:"Clean"` // clean answers since one was spoilt
	CleanRequired int           `json:"Need"`  // clean answers that are asked for before requests travel together
}

// Stats tells what is known of the connections.
func (m *Member[X]) Stats() ConnStats { return ConnStats{m.occupancy, m.cleanAnswers, m.cleanRequired} }

// RestoreStats takes over what another process knew, if nothing is known yet.
func (m *Member[X]) RestoreStats(stats ConnStats) {
	if m.occupancy == 0 && m.cleanAnswers == 0 && stats.Occupancy > 0 {
		m.occupancy, m.cleanAnswers, m.cleanRequired = stats.Occupancy, min(max(0, stats.CleanAnswers), maxCleanAnswers), min(max(0, stats.CleanRequired), maxCleanAnswers)
	}
}

// IdleStats is how connections have fared, by spans of the time for which they had stood idle: how many were used again, and how
// many of these broke.
type IdleStats struct {
	Reused []float64 `json:"Used"`
	Broken []float64 `json:"Broke"`
}

// IdleStats tells how connections have fared.
func (p *Pool[X]) IdleStats() IdleStats {
	used, broke := p.idle.reused, p.idle.broken // copies
	return IdleStats{used[:], broke[:]}
}

// RestoreIdleStats takes over how another process's connections have fared. What has other spans, or is no count, is left.
func (p *Pool[X]) RestoreIdleStats(stats IdleStats) {
	if len(stats.Reused) != idleClasses || len(stats.Broken) != idleClasses {
		return
	}
	for i := range idleClasses {
		if u, b := stats.Reused[i], stats.Broken[i]; !(u >= b && b >= 0 && u < 1e12) {
			return
		}
	}
	copy(p.idle.reused[:], stats.Reused)
	copy(p.idle.broken[:], stats.Broken)
}
