package pool

import "time"

const (
	// transitShare: where no answer has told, a message is expected to be under way for no longer than this part of the connect time-out. One that
	// is of any use leaves room for two round trips, so that a lost message does not fail the connection.
	transitShare = 4
	// transitMost bounds that: the longest way on earth takes light in a cable 0.1 s, and queues on it as long again at most times.
	transitMost = 150 * time.Millisecond
	// transitRise is the part by which the estimate of a round trip grows with each answer that is slower. A member that has moved farther away
	// is known as such some hundred answers later.
	transitRise = 64
)

// heard takes in how long an answer took since its request was written. That is at least a round trip.
func (m *Member[X]) heard(took time.Duration) {
	if m.roundTrip == 0 {
		m.roundTrip = took
		return
	}
	m.roundTrip = min(took, m.roundTrip+m.roundTrip/transitRise)
}

// Transit is how long after it was written a request has surely come at a member, on a connection that has carried one before: no longer than a
// round trip, as far as one is known. What is given up sooner may come after what is written to another member later, and both then have it in hand.
// Where two attempts may be out at once, nothing waits for that.
func (p *Pool[X]) Transit(m *Member[X]) time.Duration {
	if p.cfg.SecondCopies {
		return 0
	}
	longest := min(p.cfg.ConnectTimeout/transitShare, transitMost)
	if m.roundTrip == 0 {
		return longest
	}
	return min(m.roundTrip, longest)
}

// FirstTransit is the same for the first request on a connection. It comes once the handshake is through, for which the member may have to find
// the time; a connection that takes longer than the connect time-out never comes up.
func (p *Pool[X]) FirstTransit() time.Duration {
	if p.cfg.SecondCopies {
		return 0
	}
	return min(p.cfg.ConnectTimeout, transitShare*transitMost)
}

// tooLate tells whether a request that has waited for a connection has so little of its time left that no answer could come within it; a member
// may drop such a request without a word. What finds a connection at once is not held to it: it is how a member that has not answered yet is got
// to know.
func (p *Pool[X]) tooLate(m *Member[X], x X) bool {
	until := x.Pooled().Until
	return until > 0 && until-p.now < p.Transit(m)
}
