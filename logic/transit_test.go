package logic

import (
	"testing"
	"time"
)

// endInTransit ends a request's latest attempt, which may be under way for so long yet.
func (h *fakeHost) endInTransit(r *hostRequest, s Status, transit time.Duration) {
	n := len(r.attempts) - 1
	a := &r.attempts[n]
	a.ended, a.mayHaveRun = true, !s.NeverRan()
	h.b.Outcome(h.now, Outcome{Request: r.ID, Attempt: n, Member: a.member, Status: s, Elapsed: h.now - a.sentAt, InTransit: transit})
}

// A further attempt waits until none before it can come at a member any more, and is then made at once. Where that leaves no time for it, the
// request is answered at once.
func TestNextAttemptWaitsForTransit(t *testing.T) {
	for name, c := range map[string]struct {
		status  Status
		class   int
		transit time.Duration
		sent    time.Duration // when the next attempt has to be sent; 0: the request is answered at once
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
			host.b.retryTokens = 10
			host.endInTransit(req, c.status, c.transit)
			if c.sent == 0 {
				if req.answers != 1 || len(req.attempts) != 1 {
					t.Errorf("answered %d times, sent %d times; want an answer at once", req.answers, len(req.attempts))
				}
				host.checkViolations()
				return
			}
			host.advance(c.sent - ms)
			if c.sent > ms && len(req.attempts) > 1 {
				t.Errorf("sent again %v before the first attempt has surely come", c.sent-(req.attempts[1].sentAt-req.attempts[0].sentAt))
			}
			host.advance(ms)
			if len(req.attempts) != 2 {
				t.Errorf("sent %d times after %v, want 2", len(req.attempts), c.sent)
			}
			host.checkViolations()
		})
	}
}

// An attempt that was given less time than its member's quickest answers take says nothing of the member; one that had more time does.
func TestTooShortTimeoutIsNoFailure(t *testing.T) {
	for elapsed, blamed := range map[time.Duration]bool{30 * ms: false, 90 * ms: true} {
		host := newHost(t, testSettings(), 1)
		host.setMembers(ListCached, withOrigin(8)...)
		member := host.b.caches[0]
		for range 20 {
			host.b.recordOutcome(member, Outcome{Status: StatusOK, Elapsed: 40 * ms}, false)
		}
		host.advance(time.Second) // the answers are some time ago
		host.b.recordOutcome(member, Outcome{Status: StatusTimeout, Elapsed: elapsed}, false)
		if (member.failureStreak > 0) != blamed {
			t.Errorf("a time-out after %v, where answers take 40 ms: %d failures in a row", elapsed, member.failureStreak)
		}
	}
}
