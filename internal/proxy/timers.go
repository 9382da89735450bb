package proxy

import (
	"math"
	"math/bits"
	"time"

	"linenloom/internal/upstream"
	"linenloom/logic"
)

// due is something to do at a time. None is withdrawn; one that is no longer wanted does nothing.
type due struct {
	upstream.Timer          // what it is of the exchanges with members
	attempt        *attempt // else: its time ends
	token          uint64
}

const (
	wheelSlots = 4096 // some seconds ahead at the usual ticks; what lies beyond waits in a list
	wheelWords = wheelSlots / 64
	tokenChunk = 30
	dueChunk   = 15
	spareMost  = 256 // chunks kept for further use
)

// timers is a wheel of slots, one for each tick. A request sets several timers and hardly ever one that counts, so that
// setting one has to cost little: it is put at the end of its slot, and none is ever moved. The module's own, most of
// all, are kept apart as bare numbers.
type timers struct {
	tick    time.Duration
	next    int64 // the tick that runs next
	slots   []slot
	used    [wheelWords]uint64 // which slots hold something
	far     []farDue           // beyond the wheel, unordered: there are few
	farNext time.Duration
	count   int
	spareT  []*tokens
	spareD  []*dues
	soonest time.Duration // of what was set since it was last looked at
}

type slot struct {
	tokens, lastTokens *tokens
	dues, lastDues     *dues
}

type tokens struct {
	next *tokens
	n    int
	t    [tokenChunk]uint64
}

type dues struct {
	next *dues
	n    int
	d    [dueChunk]due
}

type farDue struct {
	due
	module bool
}

func newTimers(tick, now time.Duration) timers {
	return timers{tick: tick, next: int64(now / tick), slots: make([]slot, wheelSlots), soonest: math.MaxInt64}
}

// place is the slot of a time, put off to the end of its tick; false, if that lies beyond the wheel.
func (t *timers) place(at time.Duration) (int64, bool) {
	tick := max(t.next, int64((at+t.tick-1)/t.tick))
	return tick, tick < t.next+wheelSlots
}

// push sets a timer.
func (t *timers) push(now time.Duration, d due) { t.put(now, d, false) }

// pushToken sets a timer of the module's.
func (t *timers) pushToken(now, at time.Duration, token uint64) {
	t.put(now, due{Timer: upstream.Timer{At: at}, token: token}, true)
}

func (t *timers) put(now time.Duration, d due, module bool) {
	if t.count == 0 { // nothing has run meanwhile
		t.next = max(t.next, int64(now/t.tick))
	}
	t.count++
	tick, near := t.place(d.At)
	t.soonest = min(t.soonest, time.Duration(tick)*t.tick)
	if !near {
		if len(t.far) == 0 || d.At < t.farNext {
			t.farNext = d.At
		}
		t.far = append(t.far, farDue{d, module})
		return
	}
	i := int(tick % wheelSlots)
	t.used[i/64] |= 1 << (i % 64)
	s := &t.slots[i]
	if module {
		if s.lastTokens == nil || s.lastTokens.n == tokenChunk {
			c := take(&t.spareT)
			if s.lastTokens == nil {
				s.tokens = c
			} else {
				s.lastTokens.next = c
			}
			s.lastTokens = c
		}
		s.lastTokens.t[s.lastTokens.n] = d.token
		s.lastTokens.n++
		return
	}
	if s.lastDues == nil || s.lastDues.n == dueChunk {
		c := take(&t.spareD)
		if s.lastDues == nil {
			s.dues = c
		} else {
			s.lastDues.next = c
		}
		s.lastDues = c
	}
	s.lastDues.d[s.lastDues.n] = d
	s.lastDues.n++
}

func take[T any](spare *[]*T) *T {
	if n := len(*spare); n > 0 {
		c := (*spare)[n-1]
		*spare = (*spare)[:n-1]
		return c
	}
	return new(T)
}

// earliest is when the next timer falls due; false, if there is none.
func (t *timers) earliest() (time.Duration, bool) {
	if t.count == 0 {
		return 0, false
	}
	at, found := t.farNext, len(t.far) > 0
	from := int(t.next % wheelSlots)
	for k := 0; k <= wheelWords; k++ {
		w := (from/64 + k) % wheelWords
		word := t.used[w]
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
func (t *timers) run(now time.Duration, token func(uint64), do func(due)) {
	last := int64(now / t.tick)
	for t.next <= last {
		i := int(t.next % wheelSlots)
		if t.used[i/64] == 0 && i%64 == 0 && t.next+64 <= last { // nothing in 64 ticks
			t.next += 64
			continue
		}
		s := t.slots[i]
		t.slots[i] = slot{}
		t.used[i/64] &^= 1 << (i % 64)
		t.next++
		for c := s.tokens; c != nil; {
			for _, v := range c.t[:c.n] {
				t.count--
				token(v)
			}
			next := c.next
			c.next, c.n = nil, 0
			if len(t.spareT) < spareMost {
				t.spareT = append(t.spareT, c)
			}
			c = next
		}
		for c := s.dues; c != nil; {
			for _, d := range c.d[:c.n] {
				t.count--
				do(d)
			}
			next := c.next
			*c = dues{} // let go of the attempts
			if len(t.spareD) < spareMost {
				t.spareD = append(t.spareD, c)
			}
			c = next
		}
	}
	if len(t.far) > 0 && t.farNext < time.Duration(t.next+wheelSlots)*t.tick {
		far := t.far
		t.far = nil
		for _, d := range far { // those that are still far go back
			t.count--
			switch {
			case d.At > now:
				t.put(now, d.due, d.module)
			case d.module:
				token(d.token)
			default:
				do(d.due)
			}
		}
	}
}

// maxTick bounds how late timers may be, whatever the settings say, and leastTick how finely they are told apart.
const (
	maxTick   = 5 * time.Millisecond
	leastTick = time.Millisecond
)

// tickOf is the module's tick, which it allows for: timers that fall due within one then share a wake-up.
func tickOf(s *logic.Settings) time.Duration { return max(leastTick, min(s.MaxEventDelay, maxTick)) }

// schedule adds a timer.
func (p *Proxy) schedule(d due) { p.timers.push(p.now, d) }

// arm sets the wake-up for the earliest timer.
func (p *Proxy) arm() {
	if p.timers.soonest < p.wakeAt {
		p.wakeAt = p.timers.soonest
		p.timer.Reset(p.wakeAt - p.now)
	}
	p.timers.soonest = math.MaxInt64
}

// ring does what has fallen due.
func (p *Proxy) ring() {
	p.enter()
	p.timers.run(p.now, p.ringToken, p.ringDue)
	p.wakeAt = p.now + time.Hour
	if at, ok := p.timers.earliest(); ok {
		p.timers.soonest = min(p.timers.soonest, at)
	}
	p.leave()
}

func (p *Proxy) ringToken(token uint64) {
	if token&7 == tickJoin {
		id := logic.RequestID(token >> 3)
		if r := p.requests[id]; r != nil && r.orderRecord != nil {
			p.recordLate(r)
		} else {
			p.joinLate(id)
		}
		return
	}
	p.bal.Timer(p.now, token)
}

func (p *Proxy) ringDue(d due) {
	switch {
	case d.attempt == nil:
		p.ups.HandleTimer(d.Timer)
	case !d.attempt.Ended:
		p.abandon(d.attempt, logic.StatusTimeout)
	}
}
