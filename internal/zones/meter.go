package zones

import (
	"slices"
	"time"
)

const (
	slotDuration    = 50 * time.Millisecond
	slotCount       = 12   // a window of 600 ms: long enough for some attempts, short enough to leave within a second
	recentSlots     = 4    // of late
	unansweredRatio = 0.75 // without any answer
	slowFactor      = 4    // an answer that takes this multiple of the zone's usual time is slow
	minSlowTime     = 50 * time.Millisecond
	minAnswers      = 20   // answers make a usual time
	maxTracked      = 4096 // attempts out that are followed; more are not counted
	maxNodes        = 1024 // boxes that are told apart
)

// Outcome is how an attempt ended, as far as it tells of its zone.
type Outcome uint8

// The outcomes.
const (
	OutcomeNone     Outcome = iota // it tells nothing: called off, or never sent
	OutcomeAnswered                // with a value or a miss
	OutcomeMiss
	OutcomeFailed   // an error, a broken connection, none at all, or no answer in time
	OutcomeRejected // turned away unseen
)

// Meter counts what one instance sees of each zone.
type Meter struct {
	zones       []zoneCounts
	nodes       map[uint64]*nodeCounts
	tracked     []trackedAttempt // those sent, the oldest first
	dropped     uint64           // number of out[0]
	currentSlot int64            // the latest
	maxSlowTime time.Duration    // a wait that is slow whatever is usual
	refusals    [slotCount]int
}

type zoneCounts struct {
	meanSeconds float64 // seconds a good answer takes
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
	slot      int64 // in which it was judged
}

// NewMeter makes a Meter. An answer later than half of the aim is slow in any zone.
func NewMeter(zones int, aim time.Duration) *Meter {
	return &Meter{zones: make([]zoneCounts, zones), nodes: map[uint64]*nodeCounts{}, maxSlowTime: max(minSlowTime, aim/2)}
}

// slowThreshold is how long an attempt in a zone may be out before it is bad.
func (m *Meter) slowThreshold(zone int32) time.Duration {
	z := &m.zones[zone]
	if z.answers < minAnswers {
		return m.maxSlowTime
	}
	return min(m.maxSlowTime, max(minSlowTime, time.Duration(slowFactor*z.meanSeconds*float64(time.Second))))
}

// AttemptStarted notes an attempt at a box of a zone and returns its number, 0 if it is not followed.
func (m *Meter) AttemptStarted(now time.Duration, zone int, id uint64) uint64 {
	m.advance(now)
	if zone < 0 || zone >= len(m.zones) || len(m.tracked) >= maxTracked {
		return 0
	}
	m.tracked = append(m.tracked, trackedAttempt{startedAt: now, node: id, zone: int32(zone)})
	return m.dropped + uint64(len(m.tracked))
}

// AttemptEnded notes how an attempt ended.
func (m *Meter) AttemptEnded(now time.Duration, number uint64, how Outcome, elapsed time.Duration) {
	m.advance(now)
	i := int(number - m.dropped - 1)
	if number <= m.dropped || i >= len(m.tracked) {
		return // it was judged long ago
	}
	a := &m.tracked[i]
	slow := elapsed > m.slowThreshold(a.zone)
	answered := how == OutcomeAnswered || how == OutcomeMiss
	switch {
	case a.judged && answered && m.currentSlot-a.slot < slotCount && a.slot > 0: // late, but not silent
		m.count(a, a.slot, tally{silent: -1})
	case a.judged:
	case how == OutcomeNone:
	case answered && !slow:
		t := tally{judged: 1}
		if how == OutcomeMiss {
			t.misses = 1
		}
		m.count(a, m.currentSlot, t)
		z := &m.zones[a.zone]
		z.answers++
		z.meanSeconds += (elapsed.Seconds() - z.meanSeconds) * max(0.005, 1/float64(z.answers))
	default:
		t := tally{judged: 1, bad: 1}
		if how == OutcomeFailed {
			t.silent = 1
		}
		m.count(a, m.currentSlot, t)
	}
	a.judged, a.slot = true, 0
}

// OriginRefused notes a request refused for want of the origin.
func (m *Meter) OriginRefused(now time.Duration) {
	m.advance(now)
	m.refusals[m.currentSlot%slotCount] = min(maxCount, m.refusals[m.currentSlot%slotCount]+1)
}

func (m *Meter) count(a *trackedAttempt, slot int64, t tally) {
	m.zones[a.zone].slots[slot%slotCount].add(t)
	b := m.nodes[a.node]
	if b == nil {
		if len(m.nodes) >= maxNodes {
			return
		}
		b = &nodeCounts{zone: int(a.zone)}
		m.nodes[a.node] = b
	}
	b.slots[slot%slotCount].add(t)
}

func (t *tally) add(o tally) {
	t.judged, t.bad, t.silent, t.misses = t.judged+o.judged, t.bad+o.bad, max(0, t.silent+o.silent), t.misses+o.misses
}

// advance empties the slots that have come round, judges what has been out for too long, and forgets what needs no following.
func (m *Meter) advance(now time.Duration) {
	slot := int64(now / slotDuration)
	if slot <= m.currentSlot {
		return
	}
	for s := max(m.currentSlot+1, slot-slotCount+1); s <= slot; s++ {
		at := s % slotCount
		for i := range m.zones {
			m.zones[i].slots[at] = tally{}
		}
		for _, b := range m.nodes {
			b.slots[at] = tally{}
		}
		m.refusals[at] = 0
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
		clear(m.nodes) // boxes that have gone are not told: the others come again at once
	}
}

// ZoneStats tells what was seen within the window, and how many requests were refused for want of the origin.
func (m *Meter) ZoneStats(now time.Duration) (sights []ZoneStats, short int) {
	m.advance(now)
	sum := func(slots *[slotCount]tally) (t tally) {
		for _, s := range slots {
			t.add(s)
		}
		return t
	}
	byZone := make([][]tally, len(m.zones))
	for _, b := range m.nodes {
		if t := sum(&b.slots); t.judged > 0 {
			byZone[b.zone] = append(byZone[b.zone], t)
		}
	}
	for i := range m.zones {
		t := sum(&m.zones[i].slots)
		s := ZoneStats{Judged: t.judged, Bad: t.bad, Silent: t.silent, Misses: t.misses}
		var late tally
		for at := max(0, m.currentSlot-recentSlots+1); at <= m.currentSlot; at++ {
			late.add(m.zones[i].slots[at%slotCount])
		}
		if late.judged > 0 && float64(late.silent) >= unansweredRatio*float64(late.judged) {
			s.RecentUnanswered = late.judged
		}
		boxes := byZone[i]
		slices.SortFunc(boxes, func(a, b tally) int { return b.bad - a.bad })
		for _, b := range boxes[min(len(boxes), (len(boxes)+2)/3):] {
			s.TrimmedJudged, s.TrimmedBad = s.TrimmedJudged+b.judged, s.TrimmedBad+b.bad
		}
		sights = append(sights, s)
	}
	for _, n := range m.refusals {
		short += n
	}
	return sights, short
}

// Reset forgets what is counted and followed: the instance has stood still, and what it would tell is of another time.
func (m *Meter) Reset() {
	m.dropped += uint64(len(m.tracked))
	m.tracked = m.tracked[:0]
	for i := range m.zones {
		m.zones[i].slots = [slotCount]tally{}
	}
	clear(m.nodes)
	m.refusals = [slotCount]int{}
}
