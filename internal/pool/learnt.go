package pool

import "time"

// ConnStats is what the pool knows of a member's connections, for the successor process. Whether a member
// is unreachable is not part of it: a single dial finds that out.
type ConnStats struct {
	Occupancy     time.Duration `json:"Turn"`  // recent average time for which a request occupies a connection
	CleanAnswers  int           `json:"Clean"` // clean answers since the last bad one
	CleanRequired int           `json:"Need"`  // clean answers required before requests are pipelined
	// SuspectFor is for how much longer the member is suspected to send bytes that no request asked for.
	SuspectFor time.Duration `json:"Suspect,omitempty"`
}

// Stats returns what the pool knows of a member's connections.
func (p *Pool[X]) Stats(m *Member[X]) ConnStats {
	return ConnStats{m.occupancy, m.cleanAnswers, m.cleanRequired, max(0, m.suspectUntil-p.now)}
}

// RestoreStats adopts the statistics of another process, unless the pool already has its own. A suspicion is
// adopted in any case.
func (p *Pool[X]) RestoreStats(m *Member[X], stats ConnStats) {
	if stats.SuspectFor > 0 {
		p.suspect(m, min(stats.SuspectFor, SuspicionTime))
	}
	if m.occupancy == 0 && m.cleanAnswers == 0 && stats.Occupancy > 0 {
		m.occupancy = stats.Occupancy
		m.cleanAnswers = min(max(0, stats.CleanAnswers), maxCleanAnswers)
		m.cleanRequired = min(max(0, stats.CleanRequired), maxCleanAnswers)
	}
}

// IdleStats counts, by bucket of the preceding idle time, how many connections were used again and how
// many of those broke.
type IdleStats struct {
	Reused []float64 `json:"Used"`
	Broken []float64 `json:"Broke"`
}

// IdleStats returns the record of reused and broken connections.
func (p *Pool[X]) IdleStats() IdleStats {
	reused, broken := p.idle.reused, p.idle.broken // copies
	return IdleStats{reused[:], broken[:]}
}

// RestoreIdleStats adopts the record of another process. A record with another number of buckets, or with
// invalid counts, is ignored.
func (p *Pool[X]) RestoreIdleStats(stats IdleStats) {
	if len(stats.Reused) != idleBuckets || len(stats.Broken) != idleBuckets {
		return
	}
	for i := range idleBuckets {
		if u, b := stats.Reused[i], stats.Broken[i]; !(u >= b && b >= 0 && u < 1e12) {
			return
		}
	}
	copy(p.idle.reused[:], stats.Reused)
	copy(p.idle.broken[:], stats.Broken)
}
