package proxy

import (
	"math"
	"math/bits"
	"time"

	"linenloom/internal/upstream"
	"linenloom/logic"
)

// timerEntry is an action that is due at a time. Entries are not removed; one that is obsolete does nothing when due.
type timerEntry struct {
	upstream.Timer          // a timer of package upstream, if attempt is nil
	attempt        *attempt // an attempt whose timeout is due
	token          uint64
}

const (
	wheelSlots      = 4096 // cover some seconds at the usual ticks; later timers wait in a list
	wheelWords      = wheelSlots / 64
	tokensPerChunk  = 30
	entriesPerChunk = 15
	maxSpareChunks  = 256 // chunks kept for reuse
)

// timerWheel is a timing wheel with one slot per tick. A request sets several timers, and hardly any of them has an
// effect, so setting one must be cheap: it is appended to its slot and never moved within the wheel. The Balancer's
// timers, which are the majority, are stored separately as bare tokens.
type timerWheel struct {
	tick         time.Duration
	next         int64 // the next tick to run
	slots        []wheelSlot
	occupied     [wheelWords]uint64 // bit set of the slots that are not empty
	far          []farEntry         // timers beyond the wheel, unordered, as there are few
	earliestFar  time.Duration
	count        int
	spareTokens  []*tokenList
	spareEntries []*entryList
	earliestNew  time.Duration // earliest of the timers added since the last armTimer
}

type wheelSlot struct {
	tokens, lastTokens   *tokenList
	entries, lastEntries *entryList
}

type tokenList struct {
	next   *tokenList
	n      int
	tokens [tokensPerChunk]uint64
}

type entryList struct {
	next    *entryList
	n       int
	entries [entriesPerChunk]timerEntry
}

type farEntry struct {
	timerEntry
	isToken bool
}

func newTimerWheel(tick, now time.Duration) timerWheel {
	return timerWheel{tick: tick, next: int64(now / tick), slots: make([]wheelSlot, wheelSlots), earliestNew: math.MaxInt64}
}

// tickFor returns the tick of a time, rounded up, and whether it is within the wheel.
func (t *timerWheel) tickFor(at time.Duration) (int64, bool) {
	tick := max(t.next, int64((at+t.tick-1)/t.tick))
	return tick, tick < t.next+wheelSlots
}

// addEntry adds a timer.
func (t *timerWheel) addEntry(now time.Duration, entry timerEntry) { t.add(now, entry, false) }

// addToken adds a timer of the Balancer.
func (t *timerWheel) addToken(now, at time.Duration, token uint64) {
	t.add(now, timerEntry{Timer: upstream.Timer{At: at}, token: token}, true)
}

func (t *timerWheel) add(now time.Duration, entry timerEntry, isToken bool) {
	if t.count == 0 { // an empty wheel may be behind
		t.next = max(t.next, int64(now/t.tick))
	}
	t.count++
	tick, near := t.tickFor(entry.At)
	t.earliestNew = min(t.earliestNew, time.Duration(tick)*t.tick)
	if !near {
		if len(t.far) == 0 || entry.At < t.earliestFar {
			t.earliestFar = entry.At
		}
		t.far = append(t.far, farEntry{entry, isToken})
		return
	}
	i := int(tick % wheelSlots)
	t.occupied[i/64] |= 1 << (i % 64)
	s := &t.slots[i]
	if isToken {
		if s.lastTokens == nil || s.lastTokens.n == tokensPerChunk {
			chunk := takeSpare(&t.spareTokens)
			if s.lastTokens == nil {
				s.tokens = chunk
			} else {
				s.lastTokens.next = chunk
			}
			s.lastTokens = chunk
		}
		s.lastTokens.tokens[s.lastTokens.n] = entry.token
		s.lastTokens.n++
		return
	}
	if s.lastEntries == nil || s.lastEntries.n == entriesPerChunk {
		chunk := takeSpare(&t.spareEntries)
		if s.lastEntries == nil {
			s.entries = chunk
		} else {
			s.lastEntries.next = chunk
		}
		s.lastEntries = chunk
	}
	s.lastEntries.entries[s.lastEntries.n] = entry
	s.lastEntries.n++
}

func takeSpare[T any](spare *[]*T) *T {
	if n := len(*spare); n > 0 {
		c := (*spare)[n-1]
		*spare = (*spare)[:n-1]
		return c
	}
	return new(T)
}

// earliest returns the time of the next timer, and false if there is none.
func (t *timerWheel) earliest() (time.Duration, bool) {
	if t.count == 0 {
		return 0, false
	}
	at, found := t.earliestFar, len(t.far) > 0
	from := int(t.next % wheelSlots)
	for k := 0; k <= wheelWords; k++ {
		w := (from/64 + k) % wheelWords
		word := t.occupied[w]
		if k == 0 {
			word &= ^uint64(0) << (from % 64)
		} else if k == wheelWords {
			word &= 1<<(from%64) - 1
		}
		if word != 0 {
			i := w*64 + bits.TrailingZeros64(word)
			tick := t.next + int64((i-from+wheelSlots)%wheelSlots)
			if near := time.Duration(tick) * t.tick; !found || near < at {
				at, found = near, true
			}
			break
		}
	}
	return at, found
}

// run runs the timers that are due. Timers that are added meanwhile and are already due run in the next call.
func (t *timerWheel) run(now time.Duration, runToken func(uint64), runEntry func(timerEntry)) {
	last := int64(now / t.tick)
	for t.next <= last {
		i := int(t.next % wheelSlots)
		if t.occupied[i/64] == 0 && i%64 == 0 && t.next+64 <= last { // 64 empty slots
			t.next += 64
			continue
		}
		s := t.slots[i]
		t.slots[i] = wheelSlot{}
		t.occupied[i/64] &^= 1 << (i % 64)
		t.next++
		for chunk := s.tokens; chunk != nil; {
			for _, v := range chunk.tokens[:chunk.n] {
				t.count--
				runToken(v)
			}
			next := chunk.next
			chunk.next, chunk.n = nil, 0
			if len(t.spareTokens) < maxSpareChunks {
				t.spareTokens = append(t.spareTokens, chunk)
			}
			chunk = next
		}
		for chunk := s.entries; chunk != nil; {
			for _, d := range chunk.entries[:chunk.n] {
				t.count--
				runEntry(d)
			}
			next := chunk.next
			*chunk = entryList{} // releases the references to attempts
			if len(t.spareEntries) < maxSpareChunks {
				t.spareEntries = append(t.spareEntries, chunk)
			}
			chunk = next
		}
	}
	if len(t.far) > 0 && t.earliestFar < time.Duration(t.next+wheelSlots)*t.tick {
		far := t.far
		t.far = nil
		for _, d := range far { // those that are not due are added again
			t.count--
			switch {
			case d.At > now:
				t.add(now, d.timerEntry, d.isToken)
			case d.isToken:
				runToken(d.token)
			default:
				runEntry(d.timerEntry)
			}
		}
	}
}

const (
	// maxTick limits how late timers may run, regardless of the settings.
	maxTick = 5 * time.Millisecond
	// minTick is the finest resolution of timers.
	minTick = time.Millisecond
)

// tickLength returns the tick of the wheel, within the event delay that the Balancer allows for: timers that are due
// within one tick share a wake-up.
func tickLength(s *logic.Settings) time.Duration { return max(minTick, min(s.MaxEventDelay, maxTick)) }

// schedule adds a timer.
func (p *Proxy) schedule(entry timerEntry) { p.timers.addEntry(p.now, entry) }

// armTimer sets the wake-up for the earliest timer that was added.
func (p *Proxy) armTimer() {
	if p.timers.earliestNew < p.wakeAt {
		p.wakeAt = p.timers.earliestNew
		p.timer.Reset(p.wakeAt - p.now)
	}
	p.timers.earliestNew = math.MaxInt64
}

// onTimer runs the timers that are due.
func (p *Proxy) onTimer() {
	p.beginEvent()
	p.timers.run(p.now, p.runToken, p.runEntry)
	p.wakeAt = p.now + time.Hour
	if at, ok := p.timers.earliest(); ok {
		p.timers.earliestNew = min(p.timers.earliestNew, at)
	}
	p.endEvent()
}

func (p *Proxy) runToken(token uint64) {
	if token&7 == hostTimer {
		id := logic.RequestID(token >> 3)
		if r := p.requests[id]; r != nil && r.orderState != nil {
			p.handleRecordTimeout(r)
		} else {
			p.followerTimedOut(id)
		}
		return
	}
	p.balancer.Timer(p.now, token)
}

func (p *Proxy) runEntry(entry timerEntry) {
	switch {
	case entry.attempt == nil:
		p.upstreams.HandleTimer(entry.Timer)
	default:
		p.attemptTimedOut(entry.attempt)
	}
}

// scheduleTimeout sets the timer of an attempt that the client of an ExternalSender makes. One that has not
// begun by the time before which it has to start ends then.
func (p *Proxy) scheduleTimeout(a *attempt) {
	at := a.ExpiresAt
	if a.StartBefore > 0 && !a.announced {
		at = min(at, a.StartBefore)
	}
	p.schedule(timerEntry{Timer: upstream.Timer{At: at}, attempt: a})
}

func (p *Proxy) attemptTimedOut(a *attempt) {
	switch {
	case a.Ended:
	case a.announced && p.now < a.ExpiresAt:
		p.scheduleTimeout(a)
	case !a.announced && a.TooLateToStart(p.now):
		p.endAttempt(a, logic.StatusNoConn, 0)
	default:
		p.abandonAttempt(a, logic.StatusTimeout)
	}
}
