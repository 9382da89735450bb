package pool

import "time"

const (
	// transitDivisor: where no answer has told, a message is expected to be under way for no longer than this part of the connect time-out. One that
	// is of any use leaves room for two round trips, so that a lost message does not fail the connection.
	transitDivisor = 4
	// maxTransit bounds that: the longest way on earth takes light in a cable 0.1 s, and queues on it as long again at most times.
	maxTransit = 150 * time.Millisecond
	// roundTripRiseDivisor is the part by which the estimate of a round trip grows with each answer that is slower. A member that has moved farther away
	// is known as such some hundred answers later.
	roundTripRiseDivisor = 64

	// The weights of RFC 6298: an answer counts for an eighth of the smoothed time and a quarter of its deviation, and one that takes four deviations
	// longer than the smoothed time is late.
	smoothedDivisor, deviationDivisor, deviationFactor = 8, 4, 4
)

// recordAnswerTime takes in how long an answer took since its request was written. That is at least a round trip. The smoothed time and its deviation are those
// of RFC 6298, which tells by them when a segment counts as lost.
func (m *Member[X]) recordAnswerTime(took time.Duration) {
	if m.roundTrip == 0 {
		m.roundTrip, m.smoothed, m.deviation = took, took, took/2
		return
	}
	m.roundTrip = min(took, m.roundTrip+m.roundTrip/roundTripRiseDivisor)
	m.deviation += ((took - m.smoothed).Abs() - m.deviation) / deviationDivisor
	m.smoothed += (took - m.smoothed) / smoothedDivisor
}

// Transit is how long after it was written a request has surely come at a member, on a connection that has carried one before: by when its answer
// would have come, were it one of the slower ones, as far as answers have told. What is given up sooner may come after what is written to another
// member later, and both then have it in hand. Where two attempts may be out at once, nothing waits for that.
func (p *Pool[X]) Transit(m *Member[X]) time.Duration {
	expected := m.smoothed + deviationFactor*m.deviation
	return p.boundTransit(expected.Truncate(time.Microsecond)) // whole numbers leave some nanoseconds
}

// boundTransit bounds a time that is expected by answers; 0: none has told.
func (p *Pool[X]) boundTransit(expected time.Duration) time.Duration {
	if p.cfg.ConcurrentAttempts {
		return 0
	}
	longest := min(p.cfg.ConnectTimeout/transitDivisor, maxTransit)
	if expected == 0 {
		return longest
	}
	return min(expected, longest)
}

// FirstTransit is the same for the first request on a connection. It comes once the handshake is through, for which the member may have to find
// the time; a connection that takes longer than the connect time-out never comes up.
func (p *Pool[X]) FirstTransit() time.Duration {
	if p.cfg.ConcurrentAttempts {
		return 0
	}
	return min(p.cfg.ConnectTimeout, transitDivisor*maxTransit)
}

// tooLateToAnswer tells whether a request that has waited for a connection has so little of its time left that no answer could come within it; a member
// may drop such a request without a word. What finds a connection at once is not held to it: it is how a member that has not answered yet is got
// to know.
func (p *Pool[X]) tooLateToAnswer(m *Member[X], x X) bool {
	until := x.PoolRequest().ExpiresAt
	return until > 0 && until-p.now < p.boundTransit(m.roundTrip)
}
