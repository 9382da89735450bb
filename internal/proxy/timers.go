package proxy

import (
	"math"
	"math/bits"
	"time"

	"linenloom/internal/upstream"
	"linenloom/logic"
)

// timerEntry is something to do at a time. None is withdrawn; one that is no longer wanted does nothing.
type timerEntry struct {
	upstream.Timer          // what it is of the exchanges with members
	attempt        *attempt // else: its time ends
	token          uint64
}

const (
	wheelSlots      = 4096 // some seconds ahead at the usual ticks; what lies beyond waits in a list
	wheelWords      = wheelSlots / 64
	tokensPerChunk  = 30
	entriesPerChunk = 15
	maxSpareChunks  = 256 // chunks kept for further use
)

// timerWheel is a wheel of slots, one for each tick. A request sets several timers and hardly ever one that counts, so that
// setting one has to cost little: it is put at the end of its slot, and none is ever moved. The module's own, most of
// all, are kept apart as bare numbers.
type timerWheel struct {
	tick         time.Duration
	next         int64 // the tick that runs next
	slots        []wheelSlot
	occupied     [wheelWords]uint64 // which slots hold something
	far          []farEntry         // beyond the wheel, unordered: there are few
	earliestFar  time.Duration
	count        int
	spareTokens  []*tokenList
	spareEntries []*entryList
	earliestNew  time.Duration // of what was set since it was last looked at
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

// tickFor is the slot of a time, put off to the end of its tick; false, if that lies beyond the wheel.
func (t *timerWheel) tickFor(at time.Duration) (int64, bool) {
	tick := max(t.next, int64((at+t.tick-1)/t.tick))
	return tick, tick < t.next+wheelSlots
}

// addEntry sets a timer.
func (t *timerWheel) addEntry(now time.Duration, d timerEntry) { t.add(now, d, false) }

// addToken sets a timer of the module's.
func (t *timerWheel) addToken(now, at time.Duration, token uint64) {
	t.add(now, timerEntry{Timer: upstream.Timer{At: at}, token: token}, true)
}

func (t *timerWheel) add(now time.Duration, d timerEntry, module bool) {
	if t.count == 0 { // nothing has run meanwhile
		t.next = max(t.next, int64(now/t.tick))
	}
	t.count++
	tick, near := t.tickFor(d.At)
	t.earliestNew = min(t.earliestNew, time.Duration(tick)*t.tick)
	if !near {
		if len(t.far) == 0 || d.At < t.earliestFar {
			t.earliestFar = d.At
		}
		t.far = append(t.far, farEntry{d, module})
		return
	}
	i := int(tick % wheelSlots)
	t.occupied[i/64] |= 1 << (i % 64)
	s := &t.slots[i]
	if module {
		if s.lastTokens == nil || s.lastTokens.n == tokensPerChunk {
			c := takeSpare(&t.spareTokens)
			if s.lastTokens == nil {
				s.tokens = c
			} else {
				s.lastTokens.next = c
			}
			s.lastTokens = c
		}
		s.lastTokens.tokens[s.lastTokens.n] = d.token
		s.lastTokens.n++
		return
	}
	if s.lastEntries == nil || s.lastEntries.n == entriesPerChunk {
		c := takeSpare(&t.spareEntries)
		if s.lastEntries == nil {
			s.entries = c
		} else {
			s.lastEntries.next = c
		}
		s.lastEntries = c
	}
	s.lastEntries.entries[s.lastEntries.n] = d
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

// earliest is when the next timer falls due; false, if there is none.
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

// run does what has fallen due by now. What it sets anew for a time that has come runs in the next call.
func (t *timerWheel) run(now time.Duration, token func(uint64), do func(timerEntry)) {
	last := int64(now / t.tick)
	for t.next <= last {
		i := int(t.next % wheelSlots)
		if t.occupied[i/64] == 0 && i%64 == 0 && t.next+64 <= last { // nothing in 64 ticks
			t.next += 64
			continue
		}
		s := t.slots[i]
		t.slots[i] = wheelSlot{}
		t.occupied[i/64] &^= 1 << (i % 64)
		t.next++
		for c := s.tokens; c != nil; {
			for _, v := range c.tokens[:c.n] {
				t.count--
				token(v)
			}
			next := c.next
			c.next, c.n = nil, 0
			if len(t.spareTokens) < maxSpareChunks {
				t.spareTokens = append(t.spareTokens, c)
			}
			c = next
		}
		for c := s.entries; c != nil; {
			for _, d := range c.entries[:c.n] {
				t.count--
				do(d)
			}
			next := c.next
			*c = entryList{} // let go of the attempts
			if len(t.spareEntries) < maxSpareChunks {
				t.spareEntries = append(t.spareEntries, c)
			}
			c = next
		}
	}
	if len(t.far) > 0 && t.earliestFar < time.Duration(t.next+wheelSlots)*t.tick {
		far := t.far
		t.far = nil
		for _, d := range far { // those that are still far go back
			t.count--
			switch {
			case d.At > now:
				t.add(now, d.timerEntry, d.isToken)
			case d.isToken:
				token(d.token)
			default:
				do(d.timerEntry)
			}
		}
	}
}

// maxTick bounds how late timers may be, whatever the settings say, and minTick how finely they are told apart.
const (
	maxTick = 5 * time.Millisecond
	minTick = time.Millisecond
)

// tickLength is the module's tick, which it allows for: timers that fall due within one then share a wake-up.
func tickLength(s *logic.Settings) time.Duration { return max(minTick, min(s.MaxEventDelay, maxTick)) }

// schedule adds a timer.
func (p *Proxy) schedule(d timerEntry) { p.timers.addEntry(p.now, d) }

// armTimer sets the wake-up for the earliest timer.
func (p *Proxy) armTimer() {
	if p.timers.earliestNew < p.wakeAt {
		p.wakeAt = p.timers.earliestNew
		p.timer.Reset(p.wakeAt - p.now)
	}
	p.timers.earliestNew = math.MaxInt64
}

// onTimer does what has fallen due.
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
	if token&7 == tickJoin {
		id := logic.RequestID(token >> 3)
		if r := p.requests[id]; r != nil && r.rec != nil {
			p.recordLate(r)
		} else {
			p.joinLate(id)
		}
		return
	}
	p.balancer.Timer(p.now, token)
}

func (p *Proxy) runEntry(d timerEntry) {
	switch {
	case d.attempt == nil:
		p.upstreams.HandleTimer(d.Timer)
	case !d.attempt.Ended:
		p.abandonAttempt(d.attempt, logic.StatusTimeout)
	}
}
