package standin

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// DuplicateChecker checks that no request has two attempts out at once, as the protocol counts: an attempt counts when its last byte has come at its
// member, and is a second copy if another that came before is out, neither answered nor given up by the end of its connection. Relays report
// what passes them; the texts of Violations name both orders, the proxy's (written, ended) and the members' (came).
type DuplicateChecker struct {
	// MaxInTransit is for how long an attempt may be under way and count: one that a link has held for longer, as one that is cut does until it is healed,
	// comes after any time that a proxy could wait. 0: all count.
	MaxInTransit time.Duration

	mu              sync.Mutex
	start           time.Time
	attempts        map[string][]*trackedAttempt // by request
	violations      []string
	furtherAttempts int
}

// trackedAttempt is one attempt at a member, by the times at which something became of it; 0: it has not.
type trackedAttempt struct {
	member                                         string
	writtenAt, closedAt, arrivedAt, closeArrivedAt time.Duration
	forwardedAt                                    time.Duration // when it was about to be written to the member
	answeredAt                                     time.Duration
	peerClosed                                     func() bool // looks whether its connection has ended, though that was not reported yet; may be nil
}

// NewDuplicateChecker makes a checker.
func NewDuplicateChecker() *DuplicateChecker {
	return &DuplicateChecker{start: time.Now(), attempts: map[string][]*trackedAttempt{}}
}

// Violations describes the second copies so far.
func (c *DuplicateChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// Attempts counts the attempts that came at members, and those of them that were a request's second or a later one.
func (c *DuplicateChecker) Attempts() (all, further int) {
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

// Delivered counts the attempts of a request that have come at members.
func (c *DuplicateChecker) Delivered(id string) int {
	return c.count(id, func(a *trackedAttempt) bool { return a.arrivedAt > 0 })
}

// Closed counts the attempts of a request whose connections the proxy has ended.
func (c *DuplicateChecker) Closed(id string) int {
	return c.count(id, func(a *trackedAttempt) bool { return a.closedAt > 0 })
}

// Written counts the attempts of a request that the proxy has written to a member; to any, if none is named.
func (c *DuplicateChecker) Written(member, id string) int {
	return c.count(id, func(a *trackedAttempt) bool { return member == "" || a.member == member })
}

// LastWrittenAt is when the proxy wrote the latest attempt of a request.
func (c *DuplicateChecker) LastWrittenAt(id string) (at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	attempts := c.attempts[id]
	if len(attempts) == 0 {
		return time.Time{}, false
	}
	return c.start.Add(attempts[len(attempts)-1].writtenAt), true
}

// LastWriteTo is when the proxy wrote the latest attempt to a member, and of which request.
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

func (c *DuplicateChecker) count(id string, is func(*trackedAttempt) bool) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.attempts[id] {
		if is(a) {
			n++
		}
	}
	return n
}

func (c *DuplicateChecker) now() time.Duration { return time.Since(c.start) }

// recordWrite notes that the proxy has written the last byte of an attempt.
func (c *DuplicateChecker) recordWrite(member, id string, over func() bool) *trackedAttempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := &trackedAttempt{member: member, writtenAt: c.now(), peerClosed: over}
	c.attempts[id] = append(c.attempts[id], a)
	return a
}

// recordForwarding notes that the last byte of an attempt is about to be written to its member.
func (c *DuplicateChecker) recordForwarding(id string, a *trackedAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.detectClosed(id, a)
	a.forwardedAt = c.now()
}

// detectClosed dates the ends of a request's other attempts that have not been reported yet: that of a connection may be after what was written to
// another one later.
func (c *DuplicateChecker) detectClosed(id string, but *trackedAttempt) {
	for _, b := range c.attempts[id] {
		if b != but && b.answeredAt == 0 && b.closedAt == 0 && b.peerClosed != nil && b.peerClosed() {
			b.closedAt = c.now()
		}
	}
}

// recordArrival notes that the last byte of an attempt has come at its member, and gives the verdict on it. Who says so may be late: it came when it was
// written to the member, and no later than its answer.
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
	before := 0
	for _, b := range c.attempts[id] {
		if b == a || b.arrivedAt == 0 {
			continue
		}
		before++
		first, second := b, a
		if b.arrivedAt > a.arrivedAt {
			first, second = a, b
		}
		if first.outstandingAt(second.arrivedAt) && !c.tooLongInTransit(second) {
			c.violations = append(c.violations, fmt.Sprintf("request %s: a second copy at %s (%v), while one is out at %s (%v)", id, second.member, second, first.member, first))
		}
	}
	if before > 0 {
		c.furtherAttempts++
	}
}

// tooLongInTransit tells whether an attempt was under way for too long to count, when it came.
func (c *DuplicateChecker) tooLongInTransit(a *trackedAttempt) bool {
	return c.MaxInTransit > 0 && a.arrivedAt-a.writtenAt > c.MaxInTransit
}

// outstandingAt tells whether an attempt was neither answered nor given up at a time.
func (a *trackedAttempt) outstandingAt(at time.Duration) bool {
	return (a.answeredAt == 0 || a.answeredAt > at) && (a.closedAt == 0 || a.closedAt > at)
}

// recordAnswer notes that the member has answered.
func (c *DuplicateChecker) recordAnswer(a *trackedAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.answeredAt = c.now()
}

// recordClose notes that the proxy has ended the connection of attempts, or its sending on it.
func (c *DuplicateChecker) recordClose(attempts []*trackedAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range attempts {
		if a.closedAt == 0 {
			a.closedAt = c.now()
		}
	}
}

// recordCloseAtMember notes that the end of the connection has come at the member.
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
	}{{"written", a.writtenAt}, {"came", a.arrivedAt}, {"answered", a.answeredAt}, {"connection ended", a.closedAt}, {"its end came", a.closeArrivedAt}} {
		if step.at > 0 {
			fmt.Fprintf(&text, ", %s at %.1f ms", step.name, float64(step.at)/float64(time.Millisecond))
		}
	}
	return strings.TrimPrefix(text.String(), ", ")
}
