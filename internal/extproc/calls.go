package extproc

import (
	"container/list"
	"time"
)

// Decision says what a call with a request id is to the calls before it.
type Decision uint8

// The decisions.
const (
	Fresh    Decision = iota // nothing is known that stands against it: a new request for the module
	Continue                 // it comes for the module's next attempt of a request in hand
	Replace                  // the caller has given its earlier call up, and repeating it is harmless
	InUse                    // another caller's request in hand has the id
	MayRun                   // an earlier attempt may have run, and the request must not run twice
	Crowded                  // no room to remember one more request; it never ran
)

// Entry is what is known of a request id.
type Entry struct {
	ID     string
	Unsafe bool // it must not run twice
	// Returning: the module has named the next attempt, or is about to, and the caller is expected back.
	Returning bool
	Over      bool
	Ran       bool // once over: an attempt may have run
	Again     bool // the id has been used before, by a request that ended and never ran
	Attempt   int  // the caller's count with the latest call; 0: not told
	Until     time.Duration
	Owner     any // the server's own
	at        *list.Element
}

// Calls remembers request ids: those in hand, and for a while those that are over and may have run although they
// must not run twice. It is bounded: when it is full, further requests are Crowded rather than forgotten ones run again.
type Calls struct {
	most     int
	remember time.Duration
	byID     map[string]*Entry
	over     *list.List          // that may have run, by end
	harmless *list.List          // that never ran, by end: let go of when there is no room
	back     map[*Entry]struct{} // whose callers are expected back
}

// NewCalls makes a table of so many entries at most.
func NewCalls(most int, remember time.Duration) *Calls {
	return &Calls{most: most, remember: remember, byID: map[string]*Entry{}, over: list.New(),
		harmless: list.New(), back: map[*Entry]struct{}{}}
}

// Len is the number of entries.
func (c *Calls) Len() int { return len(c.byID) }

// SetRemember changes how long ended requests are known from now on.
func (c *Calls) SetRemember(d time.Duration) { c.remember = d }

// Begin takes a call. attempt is the caller's count of attempts, 1 for the first; 0 if it does not tell. The entry is
// the new one for Fresh and Replace, and the one that stands for Continue; for the others there is none to use. For
// Replace, replaced is what the caller has given up. Of an order onRecord, the record knows what has become of those before: it is Fresh
// unless one is in hand.
func (c *Calls) Begin(id string, attempt int, unsafe, onRecord bool, now time.Duration) (e, replaced *Entry, d Decision) {
	c.expire(now)
	old, again := c.byID[id], false
	switch {
	case old == nil && unsafe && attempt > 1 && !onRecord:
		// Whoever had the attempts before (a processor that was killed, or another one) can't be asked any more.
		return nil, nil, MayRun
	case old == nil:
		d = Fresh
	case old.Over && old.Ran && (unsafe || old.Unsafe) && !onRecord:
		return nil, nil, MayRun
	case old.Over:
		c.forget(old)
		again, d = true, Fresh
	case old.Returning && (attempt == 0 || attempt > old.Attempt):
		old.Returning, old.Attempt = false, max(attempt, old.Attempt+1)
		delete(c.back, old)
		return old, nil, Continue
	case attempt > old.Attempt && attempt > 1 && old.Attempt > 0:
		// The caller has given the call before up by itself, and the end of its stream has yet to be seen.
		if unsafe || old.Unsafe {
			return nil, nil, MayRun
		}
		replaced, d = old, Replace
		delete(c.byID, id)
		delete(c.back, old)
	default:
		return nil, nil, InUse
	}
	if f := c.harmless.Front(); f != nil && len(c.byID) >= c.most {
		c.forget(f.Value.(*Entry))
	}
	if len(c.byID) >= c.most {
		if replaced != nil {
			c.byID[id] = replaced
		}
		return nil, nil, Crowded
	}
	e = &Entry{ID: id, Unsafe: unsafe, Attempt: max(1, attempt), Again: again}
	c.byID[id] = e
	return e, replaced, d
}

// MayHaveRun tells whether an earlier attempt of a request that must not run twice may have run, for a call that is
// answered without Begin.
func (c *Calls) MayHaveRun(id string, attempt int, now time.Duration) bool {
	c.expire(now)
	old := c.byID[id]
	switch {
	case old == nil:
		return attempt > 1
	case old.Over:
		return old.Ran
	}
	return !old.Returning
}

// Return notes that the caller is expected back until the given time.
func (c *Calls) Return(e *Entry, until time.Duration) {
	if !e.Over && c.byID[e.ID] == e {
		e.Returning, e.Until = true, until
		c.back[e] = struct{}{}
	}
}

// End notes that a request is over and whether an attempt of it may have run.
func (c *Calls) End(e *Entry, ran bool, now time.Duration) {
	if e.Over {
		return
	}
	e.Over, e.Returning, e.Ran, e.Owner = true, false, ran, nil
	delete(c.back, e)
	if c.byID[e.ID] != e {
		return // it was replaced
	}
	if !e.Unsafe {
		delete(c.byID, e.ID) // running it again is harmless
		return
	}
	e.Until = now + c.remember
	if ran {
		e.at = c.over.PushBack(e)
	} else {
		e.at = c.harmless.PushBack(e)
	}
}

// Late returns the requests whose callers have not come back in time.
func (c *Calls) Late(now time.Duration) (late []*Entry) {
	for e := range c.back {
		if now >= e.Until {
			late = append(late, e)
		}
	}
	return late
}

func (c *Calls) expire(now time.Duration) {
	for _, l := range []*list.List{c.over, c.harmless} {
		for f := l.Front(); f != nil && f.Value.(*Entry).Until <= now; f = l.Front() {
			c.forget(f.Value.(*Entry))
		}
	}
}

func (c *Calls) forget(e *Entry) {
	if e.at != nil {
		if e.Ran {
			c.over.Remove(e.at)
		} else {
			c.harmless.Remove(e.at)
		}
		e.at = nil
	}
	delete(c.byID, e.ID)
}
