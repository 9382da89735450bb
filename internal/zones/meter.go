package zones

import (
	"slices"
	"time"
)

const (
	slotTime   = 50 * time.Millisecond
	slotCount  = 12   // a window of 600 ms: long enough for some attempts, short enough to leave within a second
	quickSlots = 4    // of late
	quietAt    = 0.75 // without any answer
	slowBy     = 4    // an answer that takes this multiple of the zone's usual time is slow
	leastSlow  = 50 * time.Millisecond
	knownBy    = 20   // answers make a usual time
	followed   = 4096 // attempts out that are followed; more are not counted
	mostBoxes  = 1024 // boxes that are told apart
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
	zones  []metered
	boxes  map[uint64]*box
	out    []followedAttempt // those sent, the oldest first
	first  uint64            // number of out[0]
	slot   int64             // the latest
	most   time.Duration     // a wait that is slow whatever is usual
	shorts [slotCount]int
}

type metered struct {
	usual float64 // seconds a good answer takes
	seen  int
	slots [slotCount]tally
}

type tally struct{ judged, bad, silent, missed int }

type box struct {
	zone  int
	slots [slotCount]tally
}

type followedAttempt struct {
	at     time.Duration
	box    uint64
	zone   int32
	judged bool
	slot   int64 // in which it was judged
}

// NewMeter makes a Meter. An answer later than half of the aim is slow in any zone.
func NewMeter(zones int, aim time.Duration) *Meter {
	return &Meter{zones: make([]metered, zones), boxes: map[uint64]*box{}, most: max(leastSlow, aim/2)}
}

// slowAt is how long an attempt in a zone may be out before it is bad.
func (m *Meter) slowAt(zone int32) time.Duration {
	z := &m.zones[zone]
	if z.seen < knownBy {
		return m.most
	}
	return min(m.most, max(leastSlow, time.Duration(slowBy*z.usual*float64(time.Second))))
}

// AttemptStarted notes an attempt at a box of a zone and returns its number, 0 if it is not followed.
func (m *Meter) AttemptStarted(now time.Duration, zone int, id uint64) uint64 {
	m.advance(now)
	if zone < 0 || zone >= len(m.zones) || len(m.out) >= followed {
		return 0
	}
	m.out = append(m.out, followedAttempt{at: now, box: id, zone: int32(zone)})
	return m.first + uint64(len(m.out))
}

// AttemptEnded notes how an attempt ended.
func (m *Meter) AttemptEnded(now time.Duration, number uint64, how Outcome, elapsed time.Duration) {
	m.advance(now)
	i := int(number - m.first - 1)
	if number <= m.first || i >= len(m.out) {
		return // it was judged long ago
	}
	a := &m.out[i]
	slow := elapsed > m.slowAt(a.zone)
	answered := how == OutcomeAnswered || how == OutcomeMiss
	switch {
	case a.judged && answered && m.slot-a.slot < slotCount && a.slot > 0: // late, but not silent
		m.count(a, a.slot, tally{silent: -1})
	case a.judged:
	case how == OutcomeNone:
	case answered && !slow:
		t := tally{judged: 1}
		if how == OutcomeMiss {
			t.missed = 1
		}
		m.count(a, m.slot, t)
		z := &m.zones[a.zone]
		z.seen++
		z.usual += (elapsed.Seconds() - z.usual) * max(0.005, 1/float64(z.seen))
	default:
		t := tally{judged: 1, bad: 1}
		if how == OutcomeFailed {
			t.silent = 1
		}
		m.count(a, m.slot, t)
	}
	a.judged, a.slot = true, 0
}

// OriginRefused notes a request refused for want of the origin.
func (m *Meter) OriginRefused(now time.Duration) {
	m.advance(now)
	m.shorts[m.slot%slotCount] = min(maxCount, m.shorts[m.slot%slotCount]+1)
}

func (m *Meter) count(a *followedAttempt, slot int64, t tally) {
	m.zones[a.zone].slots[slot%slotCount].add(t)
	b := m.boxes[a.box]
	if b == nil {
		if len(m.boxes) >= mostBoxes {
			return
		}
		b = &box{zone: int(a.zone)}
		m.boxes[a.box] = b
	}
	b.slots[slot%slotCount].add(t)
}

func (t *tally) add(o tally) {
	t.judged, t.bad, t.silent, t.missed = t.judged+o.judged, t.bad+o.bad, max(0, t.silent+o.silent), t.missed+o.missed
}

// advance empties the slots that have come round, judges what has been out for too long, and forgets what needs no following.
func (m *Meter) advance(now time.Duration) {
	slot := int64(now / slotTime)
	if slot <= m.slot {
		return
	}
	for s := max(m.slot+1, slot-slotCount+1); s <= slot; s++ {
		at := s % slotCount
		for i := range m.zones {
			m.zones[i].slots[at] = tally{}
		}
		for _, b := range m.boxes {
			b.slots[at] = tally{}
		}
		m.shorts[at] = 0
	}
	m.slot = slot
	for i := range m.out {
		if a := &m.out[i]; !a.judged && now-a.at > m.slowAt(a.zone) {
			a.judged, a.slot = true, slot
			m.count(a, slot, tally{judged: 1, bad: 1, silent: 1})
		}
	}
	n := 0
	for n < len(m.out) && m.out[n].judged && (m.out[n].slot == 0 || slot-m.out[n].slot >= slotCount) {
		n++
	}
	m.out, m.first = slices.Delete(m.out, 0, n), m.first+uint64(n)
	if len(m.boxes) >= mostBoxes {
		clear(m.boxes) // boxes that have gone are not told: the others come again at once
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
	for _, b := range m.boxes {
		if t := sum(&b.slots); t.judged > 0 {
			byZone[b.zone] = append(byZone[b.zone], t)
		}
	}
	for i := range m.zones {
		t := sum(&m.zones[i].slots)
		s := ZoneStats{Judged: t.judged, Bad: t.bad, Silent: t.silent, Misses: t.missed}
		var late tally
		for at := max(0, m.slot-quickSlots+1); at <= m.slot; at++ {
			late.add(m.zones[i].slots[at%slotCount])
		}
		if late.judged > 0 && float64(late.silent) >= quietAt*float64(late.judged) {
			s.RecentUnanswered = late.judged
		}
		boxes := byZone[i]
		slices.SortFunc(boxes, func(a, b tally) int { return b.bad - a.bad })
		for _, b := range boxes[min(len(boxes), (len(boxes)+2)/3):] {
			s.TrimmedJudged, s.TrimmedBad = s.TrimmedJudged+b.judged, s.TrimmedBad+b.bad
		}
		sights = append(sights, s)
	}
	for _, n := range m.shorts {
		short += n
	}
	return sights, short
}

// Reset forgets what is counted and followed: the instance has stood still, and what it would tell is of another time.
func (m *Meter) Reset() {
	m.first += uint64(len(m.out))
	m.out = m.out[:0]
	for i := range m.zones {
		m.zones[i].slots = [slotCount]tally{}
	}
	clear(m.boxes)
	m.shorts = [slotCount]int{}
}
