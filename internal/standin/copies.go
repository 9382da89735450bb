package standin

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Copies checks that no request has two attempts out at once, as the protocol counts: an attempt counts when its last byte has come at its
// member, and is a second copy if another that came before is out, neither answered nor given up by the end of its connection. Relays report
// what passes them; the texts of Violations name both orders, the proxy's (written, ended) and the members' (came).
type Copies struct {
	// HeldMost is for how long an attempt may be under way and count: one that a link has held for longer, as one that is cut does until it is healed,
	// comes after any time that a proxy could wait. 0: all count.
	HeldMost time.Duration

	mu       sync.Mutex
	start    time.Time
	attempts map[string][]*copyAttempt // by request
	second   []string
	further  int
}

// copyAttempt is one attempt at a member, by the times at which something became of it; 0: it has not.
type copyAttempt struct {
	member                          string
	written, ended, came, cameToEnd time.Duration
	given                           time.Duration // when it was about to be written to the member
	answered                        time.Duration
	over                            func() bool // looks whether its connection has ended, though that was not reported yet; may be nil
}

// NewCopies makes a checker.
func NewCopies() *Copies { return &Copies{start: time.Now(), attempts: map[string][]*copyAttempt{}} }

// Violations describes the second copies so far.
func (c *Copies) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.second...)
}

// Attempts counts the attempts that came at members, and those of them that were a request's second or a later one.
func (c *Copies) Attempts() (all, further int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, attempts := range c.attempts {
		for _, a := range attempts {
			if a.came > 0 {
				all++
			}
		}
	}
	return all, c.further
}

// Came counts the attempts of a request that have come at members.
func (c *Copies) Came(id string) int {
	return c.count(id, func(a *copyAttempt) bool { return a.came > 0 })
}

// Ended counts the attempts of a request whose connections the proxy has ended.
func (c *Copies) Ended(id string) int {
	return c.count(id, func(a *copyAttempt) bool { return a.ended > 0 })
}

// Written counts the attempts of a request that the proxy has written to a member; to any, if none is named.
func (c *Copies) Written(member, id string) int {
	return c.count(id, func(a *copyAttempt) bool { return member == "" || a.member == member })
}

// LastWritten is when the proxy wrote the latest attempt of a request.
func (c *Copies) LastWritten(id string) (at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	attempts := c.attempts[id]
	if len(attempts) == 0 {
		return time.Time{}, false
	}
	return c.start.Add(attempts[len(attempts)-1].written), true
}

// LastAt is when the proxy wrote the latest attempt to a member, and of which request.
func (c *Copies) LastAt(member string) (at time.Time, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for request, attempts := range c.attempts {
		for _, a := range attempts {
			if written := c.start.Add(a.written); a.member == member && written.After(at) {
				at, id = written, request
			}
		}
	}
	return at, id
}

func (c *Copies) count(id string, is func(*copyAttempt) bool) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.attempts[id] {
		if is(a) {
			n++
		}
	}
	return n
}

func (c *Copies) now() time.Duration { return time.Since(c.start) }

// wrote notes that the proxy has written the last byte of an attempt.
func (c *Copies) wrote(member, id string, over func() bool) *copyAttempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := &copyAttempt{member: member, written: c.now(), over: over}
	c.attempts[id] = append(c.attempts[id], a)
	return a
}

// giving notes that the last byte of an attempt is about to be written to its member.
func (c *Copies) giving(id string, a *copyAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lookForEnds(id, a)
	a.given = c.now()
}

// lookForEnds dates the ends of a request's other attempts that have not been reported yet: that of a connection may be after what was written to
// another one later.
func (c *Copies) lookForEnds(id string, but *copyAttempt) {
	for _, b := range c.attempts[id] {
		if b != but && b.answered == 0 && b.ended == 0 && b.over != nil && b.over() {
			b.ended = c.now()
		}
	}
}

// arrived notes that the last byte of an attempt has come at its member, and gives the verdict on it. Who says so may be late: it came when it was
// written to the member, and no later than its answer.
func (c *Copies) arrived(id string, a *copyAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.came = a.given; a.given == 0 {
		c.lookForEnds(id, a)
		a.came = c.now()
	}
	if a.answered > 0 {
		a.came = min(a.came, a.answered)
	}
	before := 0
	for _, b := range c.attempts[id] {
		if b == a || b.came == 0 {
			continue
		}
		before++
		first, second := b, a
		if b.came > a.came {
			first, second = a, b
		}
		if first.outAt(second.came) && !c.held(second) {
			c.second = append(c.second, fmt.Sprintf("request %s: a second copy at %s (%v), while one is out at %s (%v)", id, second.member, second, first.member, first))
		}
	}
	if before > 0 {
		c.further++
	}
}

// held tells whether an attempt was under way for too long to count, when it came.
func (c *Copies) held(a *copyAttempt) bool { return c.HeldMost > 0 && a.came-a.written > c.HeldMost }

// outAt tells whether an attempt was neither answered nor given up at a time.
func (a *copyAttempt) outAt(at time.Duration) bool {
	return (a.answered == 0 || a.answered > at) && (a.ended == 0 || a.ended > at)
}

// replied notes that the member has answered.
func (c *Copies) replied(a *copyAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.answered = c.now()
}

// closed notes that the proxy has ended the connection of attempts, or its sending on it.
func (c *Copies) closed(attempts []*copyAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range attempts {
		if a.ended == 0 {
			a.ended = c.now()
		}
	}
}

// closedAtMember notes that the end of the connection has come at the member.
func (c *Copies) closedAtMember(attempts []*copyAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range attempts {
		a.cameToEnd = c.now()
	}
}

func (a *copyAttempt) String() string {
	var text strings.Builder
	for _, step := range []struct {
		name string
		at   time.Duration
	}{{"written", a.written}, {"came", a.came}, {"answered", a.answered}, {"connection ended", a.ended}, {"its end came", a.cameToEnd}} {
		if step.at > 0 {
			fmt.Fprintf(&text, ", %s at %.1f ms", step.name, float64(step.at)/float64(time.Millisecond))
		}
	}
	return strings.TrimPrefix(text.String(), ", ")
}
