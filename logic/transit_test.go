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
			h := newHost(t, testSettings(), 1)
			h.setMembers(ListCached, withOrigin(8)...)
			r := h.request(Request{ID: 1, Key: 7, Class: c.class, Write: c.class > 0})
			h.b.retryTokens = 10
			h.endInTransit(r, c.status, c.transit)
			if c.sent == 0 {
				if r.answers != 1 || len(r.attempts) != 1 {
					t.Errorf("answered %d times, sent %d times; want an answer at once", r.answers, len(r.attempts))
				}
				h.checkViolations()
				return
			}
			h.advance(c.sent - ms)
			if c.sent > ms && len(r.attempts) > 1 {
				t.Errorf("sent again %v before the first attempt has surely come", c.sent-(r.attempts[1].sentAt-r.attempts[0].sentAt))
			}
			h.advance(ms)
			if len(r.attempts) != 2 {
				t.Errorf("sent %d times after %v, want 2", len(r.attempts), c.sent)
			}
			h.checkViolations()
		})
	}
}

// An attempt that was given less time than its member's quickest answers take says nothing of the member; one that had more time does.
func TestTooShortTimeoutIsNoFailure(t *testing.T) {
	for elapsed, blamed := range map[time.Duration]bool{30 * ms: false, 90 * ms: true} {
		h := newHost(t, testSettings(), 1)
		h.setMembers(ListCached, withOrigin(8)...)
		n := h.b.caches[0]
		for range 20 {
			h.b.recordOutcome(n, Outcome{Status: StatusOK, Elapsed: 40 * ms}, false)
		}
		h.advance(time.Second) // the answers are some time ago
		h.b.recordOutcome(n, Outcome{Status: StatusTimeout, Elapsed: elapsed}, false)
		if (n.failureStreak > 0) != blamed {
			t.Errorf("a time-out after %v, where answers take 40 ms: %d failures in a row", elapsed, n.failureStreak)
		}
	}
}
