// Package arrival tells how early the bytes that a process has just read may have come. A client's time runs from the last byte that it wrote,
// and bytes can wait unread: behind a full pipeline, in the line of a listener, or while the process itself was held up. A request that is dated
// by when it was read would tell its servers of more time than its client has left.
//
// It is free of I/O, clock and goroutines. Times are on the clock of whoever calls. Where it can't be known when bytes came, they are taken to have
// come as early as they may have: a request then ends too early, and never too late.
package arrival

import "time"

// Connection dates what is read on one connection. It belongs to the connection's reader.
type Connection struct {
	emptySince      time.Duration // nothing stood unread then
	earliestArrival time.Duration // what was read last has come since then
	mayHaveUnread   bool          // something may have come since empty and not been read
}

// NewConnection is a connection that was taken in now and came up no earlier than since.
func NewConnection(since, now time.Duration) Connection {
	return Connection{emptySince: since, earliestArrival: since, mayHaveUnread: since < now}
}

// NoteUnreadPossible notes that nothing was read for a while, though something may have come.
func (c *Connection) NoteUnreadPossible() { c.mayHaveUnread = true }

// MayHaveUnread tells whether something may stand unread. Whoever can look should, before the next read, and call NoteDrained if nothing does: what comes
// later is then dated by its own reading.
func (c *Connection) MayHaveUnread() bool { return c.mayHaveUnread }

// NoteDrained notes that nothing stands unread.
func (c *Connection) NoteDrained() { c.mayHaveUnread = false }

// NoteRead notes that bytes were read; more tells that others may stand behind them.
func (c *Connection) NoteRead(now time.Duration, more bool) {
	if !c.mayHaveUnread {
		c.emptySince = now
	}
	c.earliestArrival = c.emptySince
	c.mayHaveUnread = more
	if !more {
		c.emptySince = now
	}
}

// EarliestArrival is since when what was read last has come, at the earliest.
func (c *Connection) EarliestArrival() time.Duration { return c.earliestArrival }

const (
	// stallThreshold is how long the handling of one event may take before the process counts as held up in it. Ordinary events take far less;
	// a shorter limit would date requests too early on a slow core.
	stallThreshold = 5 * time.Millisecond
	// catchUpTime is how long after it was held up a process may still be reading what has come meanwhile.
	catchUpTime = 20 * time.Millisecond
	// maxMergeExtension bounds by how much stalls that follow one another, taken for one, are longer than the longest of them. On a core that is short
	// for good each is near the next, and requests would be dated ever earlier.
	maxMergeExtension = 250 * time.Millisecond
)

// Stalls remembers when the process was last held up and read nothing. The zero value knows of none.
type Stalls struct {
	// MaxGap is how long the process may be without any event before it counts as held up. It has to exceed the interval of its own timer.
	MaxGap time.Duration

	from, until time.Duration
	longest     time.Duration // of the stalls that are taken for this one
}

// NoteGap notes that no event has come from one time to another.
func (s *Stalls) NoteGap(last, next time.Duration) {
	if next-last > s.MaxGap {
		s.record(last, next)
	}
}

// NoteEvent notes how long an event took.
func (s *Stalls) NoteEvent(began, ended time.Duration) {
	if ended-began > stallThreshold {
		s.record(began, ended)
	}
}

func (s *Stalls) record(from, until time.Duration) {
	longest := until - from
	if s.until > 0 && from <= s.until+catchUpTime {
		longest = max(longest, s.longest)
		from = max(s.from, until-longest-maxMergeExtension)
	}
	s.from, s.until, s.longest = from, until, longest
}

// EarliestArrival is when bytes that were read at a time may have come.
func (s *Stalls) EarliestArrival(read time.Duration) time.Duration {
	if s.until > 0 && s.from <= read && read <= s.until+catchUpTime {
		return s.from
	}
	return read
}
