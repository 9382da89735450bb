package standin

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// DuplicateChecker checks that no request has two attempts outstanding at once, as the protocol defines
// it: an attempt counts from when its last byte has reached its member, and is a duplicate if an attempt
// that arrived before is still outstanding, neither answered nor abandoned by closing its connection.
// Relays report what they forward. The texts of Violations give the times at the proxy (written,
// connection ended) and at the members (arrived, close arrived).
type DuplicateChecker struct {
	// MaxInTransit bounds how long an attempt may be in transit and still count. One that a link has held
	// for longer, as a blocked link does until it is restored, arrives later than a proxy can be
	// expected to wait. 0 means that all attempts count.
	MaxInTransit time.Duration

	mu              sync.Mutex
	start           time.Time
	attempts        map[string][]*trackedAttempt // by request id
	violations      []string
	furtherAttempts int
}

// trackedAttempt is one attempt at a member, with the time of each of its events; 0 if the event has not
// happened.
type trackedAttempt struct {
	member                                         string
	writtenAt, closedAt, arrivedAt, closeArrivedAt time.Duration
	// when the last byte was about to be written to the member
	forwardedAt time.Duration
	answeredAt  time.Duration
	// whether the proxy has closed the connection, even if recordClose was not called yet; may be nil
	peerClosed func() bool
	// how long its last bytes had been in the relay's socket when the relay read them
	readLate time.Duration
}

// NewDuplicateChecker returns an empty checker.
func NewDuplicateChecker() *DuplicateChecker {
	return &DuplicateChecker{start: time.Now(), attempts: map[string][]*trackedAttempt{}}
}

// Violations describes the duplicates found so far.
func (c *DuplicateChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// Attempts counts the attempts that arrived at members, and how many of them were not their request's
// first.
func (c *DuplicateChecker) Attempts() (all, notFirst int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, attempts := range c.attempts {
		for _, a := range attempts {
			if a.arrivedAt > 0 {
				all++
			}
		}
	}
	return all, c.furtherAttempts
}

// Delivered counts the attempts of a request that have arrived at members.
func (c *DuplicateChecker) Delivered(id string) int {
	return c.count(id, func(a *trackedAttempt) bool { return a.arrivedAt > 0 })
}

// Closed counts the attempts of a request whose connections the proxy has closed.
func (c *DuplicateChecker) Closed(id string) int {
	return c.count(id, func(a *trackedAttempt) bool { return a.closedAt > 0 })
}

// Written counts the attempts of a request that the proxy has written to a member, or to any member if
// none is named.
func (c *DuplicateChecker) Written(member, id string) int {
	return c.count(id, func(a *trackedAttempt) bool { return member == "" || a.member == member })
}

// LastWrittenAt returns when the proxy wrote the latest attempt of a request.
func (c *DuplicateChecker) LastWrittenAt(id string) (at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	attempts := c.attempts[id]
	if len(attempts) == 0 {
		return time.Time{}, false
	}
	return c.start.Add(attempts[len(attempts)-1].writtenAt), true
}

// LastWriteTo returns when the proxy wrote the latest attempt to a member, and the id of its request.
func (c *DuplicateChecker) LastWriteTo(member string) (at time.Time, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for request, attempts := range c.attempts {
		for _, a := range attempts {
			if written := c.start.Add(a.writtenAt); a.member == member && written.After(at) {
				at, id = written, request
			}
		}
	}
	return at, id
}

func (c *DuplicateChecker) count(id string, matches func(*trackedAttempt) bool) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.attempts[id] {
		if matches(a) {
			n++
		}
	}
	return n
}

func (c *DuplicateChecker) now() time.Duration { return time.Since(c.start) }

// recordWrite records that the proxy has written the last byte of an attempt.
func (c *DuplicateChecker) recordWrite(member, id string, peerClosed func() bool) *trackedAttempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := &trackedAttempt{member: member, writtenAt: c.now(), peerClosed: peerClosed}
	c.attempts[id] = append(c.attempts[id], a)
	return a
}

// recordReadLate records how long an attempt had been in the relay's socket when the relay read it.
func (c *DuplicateChecker) recordReadLate(a *trackedAttempt, readLate time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.readLate = readLate
}

// recordForwarding records that the last byte of an attempt is about to be written to its member.
func (c *DuplicateChecker) recordForwarding(id string, a *trackedAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.detectClosed(id, a)
	a.forwardedAt = c.now()
}

// detectClosed sets the end of a request's other attempts whose connections are closed without a
// call of recordClose yet: the call may come after a later write to another connection.
func (c *DuplicateChecker) detectClosed(id string, except *trackedAttempt) {
	for _, other := range c.attempts[id] {
		if other != except && other.answeredAt == 0 && other.closedAt == 0 && other.peerClosed != nil && other.peerClosed() {
			other.closedAt = c.now()
		}
	}
}

// recordArrival records that the last byte of an attempt has arrived at its member, and checks for
// duplicates. The call may be late: the attempt arrived when it was written to the member, and no later than
// its answer.
func (c *DuplicateChecker) recordArrival(id string, a *trackedAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.arrivedAt = a.forwardedAt; a.forwardedAt == 0 {
		c.detectClosed(id, a)
		a.arrivedAt = c.now()
	}
	if a.answeredAt > 0 {
		a.arrivedAt = min(a.arrivedAt, a.answeredAt)
	}
	otherArrivals := 0
	for _, other := range c.attempts[id] {
		if other == a || other.arrivedAt == 0 {
			continue
		}
		otherArrivals++
		first, second := other, a
		if other.arrivedAt > a.arrivedAt {
			first, second = a, other
		}
		if first.outstandingAt(second.arrivedAt) && !c.tooLongInTransit(second) {
			c.violations = append(c.violations, fmt.Sprintf("request %s: duplicate attempt at %s (%v) while one is outstanding at %s (%v)", id, second.member, second, first.member, first))
		}
	}
	if otherArrivals > 0 {
		c.furtherAttempts++
	}
}

// tooLongInTransit reports whether an attempt was in transit for too long to count, with the time that it
// waited for the relay to read it.
func (c *DuplicateChecker) tooLongInTransit(a *trackedAttempt) bool {
	return c.MaxInTransit > 0 && a.arrivedAt-a.writtenAt+a.readLate > c.MaxInTransit
}

// outstandingAt reports whether an attempt was neither answered nor abandoned at a time.
func (a *trackedAttempt) outstandingAt(at time.Duration) bool {
	return (a.answeredAt == 0 || a.answeredAt > at) && (a.closedAt == 0 || a.closedAt > at)
}

// recordAnswer records that the member has answered.
func (c *DuplicateChecker) recordAnswer(a *trackedAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.answeredAt = c.now()
}

// recordClose records that the proxy has closed the connection of the attempts, or its sending side.
func (c *DuplicateChecker) recordClose(attempts []*trackedAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range attempts {
		if a.closedAt == 0 {
			a.closedAt = c.now()
		}
	}
}

// recordCloseAtMember records that the end of the connection has arrived at the member.
func (c *DuplicateChecker) recordCloseAtMember(attempts []*trackedAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range attempts {
		a.closeArrivedAt = c.now()
	}
}

func (a *trackedAttempt) String() string {
	var text strings.Builder
	for _, step := range []struct {
		name string
		at   time.Duration
	}{{"written", a.writtenAt}, {"arrived", a.arrivedAt}, {"answered", a.answeredAt}, {"connection ended", a.closedAt}, {"close arrived", a.closeArrivedAt}} {
		if step.at > 0 {
			fmt.Fprintf(&text, ", %s at %.1f ms", step.name, float64(step.at)/float64(time.Millisecond))
		}
	}
	if a.readLate > 0 {
		fmt.Fprintf(&text, ", read by the relay %v late", a.readLate)
	}
	return strings.TrimPrefix(text.String(), ", ")
}
