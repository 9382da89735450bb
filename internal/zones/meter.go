package zones

import (
	"slices"
	"time"
)

const (
	slotDuration    = 50 * time.Millisecond
	slotCount       = 12   // a window of 600 ms: enough attempts, and a zone is left within a second
	recentSlots     = 4    // the latest slots, for ZoneStats.RecentUnanswered
	unansweredRatio = 0.75 // share of the recent attempts without any answer
	slowFactor      = 4    // an answer that takes this multiple of the zone's mean time is slow
	minSlowTime     = 50 * time.Millisecond
	minAnswers      = 20   // number of answers before the mean time is used
	maxTracked      = 4096 // attempts that are tracked at once; further ones are not counted
	maxNodes        = 1024 // cache nodes that are counted separately
)

// Outcome is the result of an attempt, as far as it says anything about its zone.
type Outcome uint8

// The outcomes.
const (
	OutcomeNone     Outcome = iota // says nothing about the zone: cancelled, or never sent
	OutcomeAnswered                // with a value
	OutcomeMiss
	OutcomeFailed   // an error, a broken connection or no answer in time
	OutcomeRejected // refused before it was processed
)

// Meter counts what one instance observes of each zone.
type Meter struct {
	zones       []zoneCounts
	nodes       map[uint64]*nodeCounts
	tracked     []trackedAttempt // oldest first
	dropped     uint64           // number of attempts removed from the front of tracked
	currentSlot int64            // the latest slot
	maxSlowTime time.Duration    // an attempt this slow is bad whatever the zone's mean
	refusals    [slotCount]int
}

type zoneCounts struct {
	meanSeconds float64 // mean time of a good answer
	answers     int
	slots       [slotCount]tally
}

type tally struct{ judged, bad, silent, misses int }

type nodeCounts struct {
	zone  int
	slots [slotCount]tally
}

type trackedAttempt struct {
	startedAt time.Duration
	node      uint64
	zone      int32
	judged    bool
	slot      int64 // in which it was judged without an answer, which a late answer corrects; 0: no correction
}

// NewMeter returns a Meter. In any zone, an answer that takes longer than half of aim is slow.
func NewMeter(zones int, aim time.Duration) *Meter {
	return &Meter{zones: make([]zoneCounts, zones), nodes: map[uint64]*nodeCounts{}, maxSlowTime: max(minSlowTime, aim/2)}
}

// slowThreshold returns how long an attempt in a zone may take before it counts as bad.
func (m *Meter) slowThreshold(zone int32) time.Duration {
	z := &m.zones[zone]
	if z.answers < minAnswers {
		return m.maxSlowTime
	}
	return min(m.maxSlowTime, max(minSlowTime, time.Duration(slowFactor*z.meanSeconds*float64(time.Second))))
}

// AttemptStarted records an attempt at a cache node of a zone. It returns the attempt's number, or 0 if
// the attempt is not tracked.
func (m *Meter) AttemptStarted(now time.Duration, zone int, id uint64) uint64 {
	m.advance(now)
	if zone < 0 || zone >= len(m.zones) || len(m.tracked) >= maxTracked {
		return 0
	}
	m.tracked = append(m.tracked, trackedAttempt{startedAt: now, node: id, zone: int32(zone)})
	return m.dropped + uint64(len(m.tracked))
}

// AttemptEnded records the outcome of an attempt.
func (m *Meter) AttemptEnded(now time.Duration, number uint64, outcome Outcome, elapsed time.Duration) {
	m.advance(now)
	i := int(number - m.dropped - 1)
	if number <= m.dropped || i >= len(m.tracked) {
		return // judged long ago and no longer tracked
	}
	a := &m.tracked[i]
	slow := elapsed > m.slowThreshold(a.zone)
	answered := outcome == OutcomeAnswered || outcome == OutcomeMiss
	switch {
	case a.judged && answered && m.currentSlot-a.slot < slotCount && a.slot > 0: // answered late, so not silent
		m.count(a, a.slot, tally{silent: -1})
	case a.judged:
	case outcome == OutcomeNone:
	case answered && !slow:
		t := tally{judged: 1}
		if outcome == OutcomeMiss {
			t.misses = 1
		}
		m.count(a, m.currentSlot, t)
		z := &m.zones[a.zone]
		z.answers++
		z.meanSeconds += (elapsed.Seconds() - z.meanSeconds) * max(0.005, 1/float64(z.answers))
	default:
		t := tally{judged: 1, bad: 1}
		if outcome == OutcomeFailed {
			t.silent = 1
		}
		m.count(a, m.currentSlot, t)
	}
	a.judged, a.slot = true, 0
}

// OriginRefused records a request that was refused because the origin lacks capacity.
func (m *Meter) OriginRefused(now time.Duration) {
	m.advance(now)
	m.refusals[m.currentSlot%slotCount] = min(maxCount, m.refusals[m.currentSlot%slotCount]+1)
}

func (m *Meter) count(a *trackedAttempt, slot int64, t tally) {
	m.zones[a.zone].slots[slot%slotCount].add(t)
	counts := m.nodes[a.node]
	if counts == nil {
		if len(m.nodes) >= maxNodes {
			return
		}
		counts = &nodeCounts{zone: int(a.zone)}
		m.nodes[a.node] = counts
	}
	counts.slots[slot%slotCount].add(t)
}

func (t *tally) add(o tally) {
	t.judged, t.bad, t.silent, t.misses = t.judged+o.judged, t.bad+o.bad, max(0, t.silent+o.silent), t.misses+o.misses
}

// advance clears the slots that are reused, judges attempts that have taken too long, and drops attempts
// that need no tracking.
func (m *Meter) advance(now time.Duration) {
	slot := int64(now / slotDuration)
	if slot <= m.currentSlot {
		return
	}
	for s := max(m.currentSlot+1, slot-slotCount+1); s <= slot; s++ {
		index := s % slotCount
		for i := range m.zones {
			m.zones[i].slots[index] = tally{}
		}
		for _, counts := range m.nodes {
			counts.slots[index] = tally{}
		}
		m.refusals[index] = 0
	}
	m.currentSlot = slot
	for i := range m.tracked {
		if a := &m.tracked[i]; !a.judged && now-a.startedAt > m.slowThreshold(a.zone) {
			a.judged, a.slot = true, slot
			m.count(a, slot, tally{judged: 1, bad: 1, silent: 1})
		}
	}
	n := 0
	for n < len(m.tracked) && m.tracked[n].judged && (m.tracked[n].slot == 0 || slot-m.tracked[n].slot >= slotCount) {
		n++
	}
	m.tracked, m.dropped = slices.Delete(m.tracked, 0, n), m.dropped+uint64(n)
	if len(m.nodes) >= maxNodes {
		clear(m.nodes) // nodes that were removed are not announced here; the others are added again at once
	}
}

// ZoneStats returns the counts of each zone within the window, and the number of requests refused
// because the origin lacks capacity.
func (m *Meter) ZoneStats(now time.Duration) (stats []ZoneStats, originRefusals int) {
	m.advance(now)
	sum := func(slots *[slotCount]tally) (t tally) {
		for _, s := range slots {
			t.add(s)
		}
		return t
	}
	byZone := make([][]tally, len(m.zones))
	for _, node := range m.nodes {
		if t := sum(&node.slots); t.judged > 0 {
			byZone[node.zone] = append(byZone[node.zone], t)
		}
	}
	for i := range m.zones {
		t := sum(&m.zones[i].slots)
		s := ZoneStats{Judged: t.judged, Bad: t.bad, Silent: t.silent, Misses: t.misses}
		var recent tally
		for recentSlot := max(0, m.currentSlot-recentSlots+1); recentSlot <= m.currentSlot; recentSlot++ {
			recent.add(m.zones[i].slots[recentSlot%slotCount])
		}
		if recent.judged > 0 && float64(recent.silent) >= unansweredRatio*float64(recent.judged) {
			s.RecentUnanswered = recent.judged
		}
		counts := byZone[i]
		slices.SortFunc(counts, func(a, b tally) int { return b.bad - a.bad })
		for _, count := range counts[min(len(counts), (len(counts)+2)/3):] {
			s.TrimmedJudged, s.TrimmedBad = s.TrimmedJudged+count.judged, s.TrimmedBad+count.bad
		}
		stats = append(stats, s)
	}
	for _, n := range m.refusals {
		originRefusals += n
	}
	return stats, originRefusals
}

// Reset discards all counts and tracked attempts. It is for a process that was suspended, as its
// observations are outdated.
func (m *Meter) Reset() {
	m.dropped += uint64(len(m.tracked))
	m.tracked = m.tracked[:0]
	for i := range m.zones {
		m.zones[i].slots = [slotCount]tally{}
	}
	clear(m.nodes)
	m.refusals = [slotCount]int{}
}
