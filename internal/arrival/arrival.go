// Package arrival determines the earliest time at which the bytes that a process has just read may have
// arrived. A client's deadline runs from the last byte that it wrote, and bytes may wait unread: behind a
// full pipeline, in the queue of a listener, or while the process itself was stalled. If a request were
// dated by the time at which it was read, its servers would be given more time than its client has left.
//
// The package uses no I/O, clock or goroutines; times are on the caller's clock. If the time of arrival
// can't be known, the earliest possible one is assumed: a request then ends too early, and never too
// late.
package arrival

import "time"

// Connection dates the data read on one connection. It is used by the connection's reader only.
type Connection struct {
	emptySince      time.Duration // nothing was unread at that time
	earliestArrival time.Duration // the data read last arrived no earlier
	mayHaveUnread   bool          // data may have arrived since emptySince and be unread
}

// NewConnection returns a connection that was accepted at now and was established no earlier than since.
func NewConnection(since, now time.Duration) Connection {
	return Connection{emptySince: since, earliestArrival: since, mayHaveUnread: since < now}
}

// NoteUnreadPossible records that nothing was read for a while, although data may have arrived.
func (c *Connection) NoteUnreadPossible() { c.mayHaveUnread = true }

// MayHaveUnread reports whether data may be unread. A caller that can check the socket should do so
// before the next read, and call NoteDrained if nothing is unread: data that arrives later is then dated
// by its own read.
func (c *Connection) MayHaveUnread() bool { return c.mayHaveUnread }

// NoteDrained records that nothing is unread.
func (c *Connection) NoteDrained() { c.mayHaveUnread = false }

// NoteRead records that bytes were read; more is set if others may be unread behind them.
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

// EarliestArrival returns the earliest time at which the data read last may have arrived.
func (c *Connection) EarliestArrival() time.Duration { return c.earliestArrival }

const (
	// stallThreshold is how long the handling of one event may take before the process counts as stalled
	// by it. Ordinary events take far less. A lower threshold would date requests too early on a slow
	// core.
	stallThreshold = 5 * time.Millisecond
	// catchUpTime is how long after a stall a process may still be reading the data that arrived during
	// it.
	catchUpTime = 20 * time.Millisecond
	// maxMergeExtension bounds by how much a merged series of stalls is longer than the longest of them.
	// On a core that is permanently overloaded each stall is close to the next, and requests would be
	// dated ever earlier.
	maxMergeExtension = 250 * time.Millisecond
)

// Stalls records when the process was last stalled and read nothing. The zero value has no stall.
type Stalls struct {
	// MaxGap is how long the process may be without any event before it counts as stalled. It has to
	// exceed the interval of the process's own timer.
	MaxGap time.Duration

	from, until time.Duration
	longest     time.Duration // longest of the merged stalls
}

// NoteGap records that there was no event from last to next.
func (s *Stalls) NoteGap(last, next time.Duration) {
	if next-last > s.MaxGap {
		s.record(last, next)
	}
}

// NoteEvent records the time that the handling of an event took.
func (s *Stalls) NoteEvent(began, ended time.Duration) {
	if ended-began > stallThreshold {
		s.record(began, ended)
	}
}

// record stores a stall. It is merged with the previous one if that one ended at most catchUpTime before.
func (s *Stalls) record(from, until time.Duration) {
	longest := until - from
	if s.until > 0 && from <= s.until+catchUpTime {
		longest = max(longest, s.longest)
		from = max(s.from, until-longest-maxMergeExtension)
	}
	s.from, s.until, s.longest = from, until, longest
}

// EarliestArrival returns the earliest time at which bytes that were read at the given time may have
// arrived.
func (s *Stalls) EarliestArrival(read time.Duration) time.Duration {
	if s.until > 0 && s.from <= read && read <= s.until+catchUpTime {
		return s.from
	}
	return read
}
