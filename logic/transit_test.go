package logic

import (
	"testing"
	"time"
)

// endInTransit ends a request's latest attempt, which may still arrive at its member within the given
// time.
func (h *fakeHost) endInTransit(r *hostRequest, s Status, transit time.Duration) {
	n := len(r.attempts) - 1
	a := &r.attempts[n]
	a.ended, a.mayHaveRun = true, !s.NeverRan()
	h.balancer.Outcome(h.now, Outcome{Request: r.ID, Attempt: n, Member: a.member, Status: s, Elapsed: h.now - a.sentAt, InTransit: transit})
}

// The next attempt waits until no earlier one can still arrive at a member, and is then made at once. If
// that leaves too little time, the request is answered at once.
func TestNextAttemptWaitsForTransit(t *testing.T) {
	for name, c := range map[string]struct {
		status    Status
		class     int
		transit   time.Duration
		nextAfter time.Duration // expected time of the next attempt; 0: the request is answered at once
	}{
		"nothing in transit":      {StatusTimeout, 0, 0, 1},
		"a read":                  {StatusTimeout, 0, 40 * ms, 40 * ms},
		"cut off":                 {StatusCancelled, 0, 40 * ms, 40 * ms},
		"a keyed write":           {StatusTimeout, 2, 40 * ms, 40 * ms},
		"an order that never ran": {StatusConnectFailed, 1, 40 * ms, 1},
		"until past its aim":      {StatusTimeout, 0, 495 * ms, 0},
	} {
		t.Run(name, func(t *testing.T) {
			host := newHost(t, testSettings(), 1)
			host.setMembers(ListCached, withOrigin(8)...)
			req := host.request(Request{ID: 1, Key: 7, Class: c.class, Write: c.class > 0})
			host.balancer.retryTokens = 10
			host.endInTransit(req, c.status, c.transit)
			if c.nextAfter == 0 {
				if req.finalAnswers != 1 || len(req.attempts) != 1 {
					t.Errorf("answered %d times, sent %d times; want an answer at once", req.finalAnswers, len(req.attempts))
				}
				host.checkViolations()
				return
			}
			host.advance(c.nextAfter - ms)
			if c.nextAfter > ms && len(req.attempts) > 1 {
				t.Errorf("sent again %v before the first attempt has surely come", c.nextAfter-(req.attempts[1].sentAt-req.attempts[0].sentAt))
			}
			host.advance(ms)
			if len(req.attempts) != 2 {
				t.Errorf("sent %d times after %v, want 2", len(req.attempts), c.nextAfter)
			}
			host.checkViolations()
		})
	}
}

// A timeout shorter than the member's fastest answers says nothing about the member; a longer one counts
// as a failure.
func TestTooShortTimeoutIsNoFailure(t *testing.T) {
	for elapsed, blamed := range map[time.Duration]bool{30 * ms: false, 90 * ms: true} {
		host := newHost(t, testSettings(), 1)
		host.setMembers(ListCached, withOrigin(8)...)
		member := host.balancer.caches[0]
		for range 20 {
			host.balancer.recordOutcome(member, Outcome{Status: StatusOK, Elapsed: 40 * ms}, false)
		}
		host.advance(time.Second) // time since the last answer
		host.balancer.recordOutcome(member, Outcome{Status: StatusTimeout, Elapsed: elapsed}, false)
		if (member.failureStreak > 0) != blamed {
			t.Errorf("a time-out after %v, where answers take 40 ms: %d failures in a row", elapsed, member.failureStreak)
		}
	}
}
