package extproc

import (
	"container/list"
	"time"
)

// CallRelation says how a call relates to earlier calls with its request id.
type CallRelation uint8

// The relations.
const (
	RelationNew        CallRelation = iota // no earlier call prevents it: a new request for the routing module
	RelationContinue                       // it asks for the next attempt of a request in progress
	RelationReplace                        // the caller abandoned its earlier call; repeating is harmless
	RelationInUse                          // another caller's request in progress has the id
	RelationMayHaveRun                     // an earlier attempt may have run, and the request must not run twice
	RelationTableFull                      // no capacity for another entry; the request never ran
)

// Entry is the state of a request id.
type Entry struct {
	ID      string
	RunOnce bool // the request must not run twice
	// AwaitingCaller means that the caller is asked to make another attempt and is expected to return for it.
	// The member for that attempt has been chosen, or is about to be.
	AwaitingCaller bool
	Ended          bool
	MayHaveRun     bool // set at the end: an attempt may have run
	Reused         bool // the id was used before by a request that ended without running
	Attempt        int  // the caller's attempt count of the latest call; at least 1
	// ExpiresAt is the time until which the caller may return, if AwaitingCaller is set, and the time until
	// which the entry is remembered, if Ended is set.
	ExpiresAt  time.Duration
	ServerCall any // package server's *call for this entry; nil once Ended is set
	element    *list.Element
}

// CallTable remembers request ids: those of requests in progress and, for a retention time, those of ended
// requests that must not run twice. Its size is limited; when it is full, further requests get
// RelationTableFull, as forgetting a request would allow it to run again.
type CallTable struct {
	maxEntries int
	retention  time.Duration
	byID       map[string]*Entry
	mayHaveRun *list.List          // ended entries that may have run, ordered by the time of their end
	neverRan   *list.List          // ended entries that never ran, in the same order; removed when the table is full
	awaiting   map[*Entry]struct{} // entries whose callers are expected to return
}

// NewCallTable creates a table of at most this many entries.
func NewCallTable(maxEntries int, retention time.Duration) *CallTable {
	return &CallTable{maxEntries: maxEntries, retention: retention, byID: map[string]*Entry{}, mayHaveRun: list.New(),
		neverRan: list.New(), awaiting: map[*Entry]struct{}{}}
}

// Len returns the number of entries.
func (c *CallTable) Len() int { return len(c.byID) }

// SetRetention changes the retention time of requests that end from now on.
func (c *CallTable) SetRetention(d time.Duration) { c.retention = d }

// Begin registers a call. attempt is the caller's attempt count, starting at 1, or 0 if it sends none. The
// entry is a new one for RelationNew and RelationReplace, the existing one for RelationContinue, and nil
// otherwise. For RelationReplace, replaced is the entry of the abandoned call. If onRecord is set, the
// request is an order and the record of orders knows the result of its earlier attempts, so that the relation
// is RelationNew unless a call with the id is in progress.
func (c *CallTable) Begin(id string, attempt int, runOnce, onRecord bool, now time.Duration) (entry, replaced *Entry, relation CallRelation) {
	c.removeExpired(now)
	old, reused := c.byID[id], false
	switch {
	case old == nil && runOnce && attempt > 1 && !onRecord:
		// An earlier attempt went to another processor, or to one that was killed, and its result is
		// unknown.
		return nil, nil, RelationMayHaveRun
	case old == nil:
		relation = RelationNew
	case old.Ended && old.MayHaveRun && (runOnce || old.RunOnce) && !onRecord:
		return nil, nil, RelationMayHaveRun
	case old.Ended:
		c.remove(old)
		reused, relation = true, RelationNew
	case old.AwaitingCaller && (attempt == 0 || attempt > old.Attempt):
		old.AwaitingCaller, old.Attempt = false, max(attempt, old.Attempt+1)
		delete(c.awaiting, old)
		return old, nil, RelationContinue
	case attempt > old.Attempt && attempt > 1 && old.Attempt > 0:
		// The caller has abandoned the earlier call, whose stream has not ended here yet.
		if runOnce || old.RunOnce {
			return nil, nil, RelationMayHaveRun
		}
		replaced, relation = old, RelationReplace
		delete(c.byID, id)
		delete(c.awaiting, old)
	default:
		return nil, nil, RelationInUse
	}
	if oldest := c.neverRan.Front(); oldest != nil && len(c.byID) >= c.maxEntries {
		c.remove(oldest.Value.(*Entry))
	}
	if len(c.byID) >= c.maxEntries {
		if replaced != nil {
			c.byID[id] = replaced
		}
		return nil, nil, RelationTableFull
	}
	entry = &Entry{ID: id, RunOnce: runOnce, Attempt: max(1, attempt), Reused: reused}
	c.byID[id] = entry
	return entry, replaced, relation
}

// MayHaveRun reports whether an earlier attempt of a request that must not run twice may have run. It is
// for calls that are answered without Begin.
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

// AwaitCaller marks the entry: its caller is expected to return before the given time.
func (c *CallTable) AwaitCaller(e *Entry, until time.Duration) {
	if !e.Ended && c.byID[e.ID] == e {
		e.AwaitingCaller, e.ExpiresAt = true, until
		c.awaiting[e] = struct{}{}
	}
}

// End marks a request as ended and records whether an attempt of it may have run.
func (c *CallTable) End(e *Entry, mayHaveRun bool, now time.Duration) {
	if e.Ended {
		return
	}
	e.Ended, e.AwaitingCaller, e.MayHaveRun, e.ServerCall = true, false, mayHaveRun, nil
	delete(c.awaiting, e)
	if c.byID[e.ID] != e {
		return // the entry was replaced
	}
	if !e.RunOnce {
		delete(c.byID, e.ID) // running it again is harmless
		return
	}
	e.ExpiresAt = now + c.retention
	if mayHaveRun {
		e.element = c.mayHaveRun.PushBack(e)
	} else {
		e.element = c.neverRan.PushBack(e)
	}
}

// Overdue returns the entries whose callers have not returned in time.
func (c *CallTable) Overdue(now time.Duration) (overdue []*Entry) {
	for e := range c.awaiting {
		if now >= e.ExpiresAt {
			overdue = append(overdue, e)
		}
	}
	return overdue
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
