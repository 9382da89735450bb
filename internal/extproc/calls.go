package extproc

import (
	"container/list"
	"time"
)

// Decision says what a call with a request id is to the calls before it.
type Decision uint8

// The decisions.
const (
	DecisionNew        Decision = iota // nothing is known that stands against it: a new request for the module
	DecisionContinue                   // it comes for the module's next attempt of a request in hand
	DecisionReplace                    // the caller has given its earlier call up, and repeating it is harmless
	DecisionInUse                      // another caller's request in hand has the id
	DecisionMayHaveRun                 // an earlier attempt may have run, and the request must not run twice
	DecisionTableFull                  // no room to remember one more request; it never ran
)

// Entry is what is known of a request id.
type Entry struct {
	ID      string
	RunOnce bool // it must not run twice
	// AwaitingCaller: the module has named the next attempt, or is about to, and the caller is expected back.
	AwaitingCaller bool
	Ended          bool
	MayHaveRun     bool // once over: an attempt may have run
	Reused         bool // the id has been used before, by a request that ended and never ran
	Attempt        int  // the caller's count with the latest call; 0: not told
	ExpiresAt      time.Duration
	Owner          any // the server's own
	element        *list.Element
}

// CallTable remembers request ids: those in hand, and for a while those that are over and may have run although they
// must not run twice. It is bounded: when it is full, further requests are Crowded rather than forgotten ones run again.
type CallTable struct {
	maxEntries int
	retention  time.Duration
	byID       map[string]*Entry
	mayHaveRun *list.List          // that may have run, by end
	neverRan   *list.List          // that never ran, by end: let go of when there is no room
	awaiting   map[*Entry]struct{} // whose callers are expected back
}

// NewCallTable makes a table of so many entries at most.
func NewCallTable(most int, remember time.Duration) *CallTable {
	return &CallTable{maxEntries: most, retention: remember, byID: map[string]*Entry{}, mayHaveRun: list.New(),
		neverRan: list.New(), awaiting: map[*Entry]struct{}{}}
}

// Len is the number of entries.
func (c *CallTable) Len() int { return len(c.byID) }

// SetRetention changes how long ended requests are known from now on.
func (c *CallTable) SetRetention(d time.Duration) { c.retention = d }

// Begin takes a call. attempt is the caller's count of attempts, 1 for the first; 0 if it does not tell. The entry is
// the new one for Fresh and Replace, and the one that stands for Continue; for the others there is none to use. For
// Replace, replaced is what the caller has given up. Of an order onRecord, the record knows what has become of those before: it is Fresh
// unless one is in hand.
func (c *CallTable) Begin(id string, attempt int, unsafe, onRecord bool, now time.Duration) (e, replaced *Entry, d Decision) {
	c.removeExpired(now)
	old, again := c.byID[id], false
	switch {
	case old == nil && unsafe && attempt > 1 && !onRecord:
		// Whoever had the attempts before (a processor that was killed, or another one) can't be asked any more.
		return nil, nil, DecisionMayHaveRun
	case old == nil:
		d = DecisionNew
	case old.Ended && old.MayHaveRun && (unsafe || old.RunOnce) && !onRecord:
		return nil, nil, DecisionMayHaveRun
	case old.Ended:
		c.remove(old)
		again, d = true, DecisionNew
	case old.AwaitingCaller && (attempt == 0 || attempt > old.Attempt):
		old.AwaitingCaller, old.Attempt = false, max(attempt, old.Attempt+1)
		delete(c.awaiting, old)
		return old, nil, DecisionContinue
	case attempt > old.Attempt && attempt > 1 && old.Attempt > 0:
		// The caller has given the call before up by itself, and the end of its stream has yet to be seen.
		if unsafe || old.RunOnce {
			return nil, nil, DecisionMayHaveRun
		}
		replaced, d = old, DecisionReplace
		delete(c.byID, id)
		delete(c.awaiting, old)
	default:
		return nil, nil, DecisionInUse
	}
	if f := c.neverRan.Front(); f != nil && len(c.byID) >= c.maxEntries {
		c.remove(f.Value.(*Entry))
	}
	if len(c.byID) >= c.maxEntries {
		if replaced != nil {
			c.byID[id] = replaced
		}
		return nil, nil, DecisionTableFull
	}
	e = &Entry{ID: id, RunOnce: unsafe, Attempt: max(1, attempt), Reused: again}
	c.byID[id] = e
	return e, replaced, d
}

// MayHaveRun tells whether an earlier attempt of a request that must not run twice may have run, for a call that is
// answered without Begin.
func (c *CallTable) MayHaveRun(id string, attempt int, now time.Duration) bool {
	c.removeExpired(now)
	old := c.byID[id]
	switch {
	case old == nil:
		return attempt > 1
	case old.Ended:
		return old.MayHaveRun
	}
	return !old.AwaitingCaller
}

// AwaitCaller notes that the caller is expected back until the given time.
func (c *CallTable) AwaitCaller(e *Entry, until time.Duration) {
	if !e.Ended && c.byID[e.ID] == e {
		e.AwaitingCaller, e.ExpiresAt = true, until
		c.awaiting[e] = struct{}{}
	}
}

// End notes that a request is over and whether an attempt of it may have run.
func (c *CallTable) End(e *Entry, ran bool, now time.Duration) {
	if e.Ended {
		return
	}
	e.Ended, e.AwaitingCaller, e.MayHaveRun, e.Owner = true, false, ran, nil
	delete(c.awaiting, e)
	if c.byID[e.ID] != e {
		return // it was replaced
	}
	if !e.RunOnce {
		delete(c.byID, e.ID) // running it again is harmless
		return
	}
	e.ExpiresAt = now + c.retention
	if ran {
		e.element = c.mayHaveRun.PushBack(e)
	} else {
		e.element = c.neverRan.PushBack(e)
	}
}

// Overdue returns the requests whose callers have not come back in time.
func (c *CallTable) Overdue(now time.Duration) (late []*Entry) {
	for e := range c.awaiting {
		if now >= e.ExpiresAt {
			late = append(late, e)
		}
	}
	return late
}

func (c *CallTable) removeExpired(now time.Duration) {
	for _, l := range []*list.List{c.mayHaveRun, c.neverRan} {
		for f := l.Front(); f != nil && f.Value.(*Entry).ExpiresAt <= now; f = l.Front() {
			c.remove(f.Value.(*Entry))
		}
	}
}

func (c *CallTable) remove(e *Entry) {
	if e.element != nil {
		if e.MayHaveRun {
			c.mayHaveRun.Remove(e.element)
		} else {
			c.neverRan.Remove(e.element)
		}
		e.element = nil
	}
	delete(c.byID, e.ID)
}
