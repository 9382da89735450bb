package pool

import "time"

const (
	// transitDivisor limits the transit time while no answer is known: a message is expected to be in
	// transit for at most this fraction of the connect timeout. A useful connect timeout allows two round
	// trips, so that a lost message does not fail the connection.
	transitDivisor = 4
	// maxTransit is an upper bound: along the longest path on earth light in a cable takes 0.1 s, and
	// queues on it mostly take up to as long again.
	maxTransit = 150 * time.Millisecond
	// roundTripRiseDivisor is the fraction by which the estimate of a round trip rises with each slower
	// answer. A member that has moved farther away is recognized about a hundred answers later.
	roundTripRiseDivisor = 64

	// The weights of RFC 6298: an answer counts for an eighth of the smoothed time and a quarter of its
	// deviation, and an answer is late if it exceeds the smoothed time by four deviations.
	smoothedDivisor, deviationDivisor, deviationFactor = 8, 4, 4
)

// recordAnswerTime records the time from writing a request to its answer, which is at least a round trip.
// The smoothed time and its deviation are those of RFC 6298, which uses them to decide when a segment
// counts as lost.
func (m *Member[X]) recordAnswerTime(took time.Duration) {
	if m.roundTrip == 0 {
		m.roundTrip, m.smoothedTime, m.timeDeviation = took, took, took/2
		return
	}
	m.roundTrip = min(took, m.roundTrip+m.roundTrip/roundTripRiseDivisor)
	m.timeDeviation += ((took - m.smoothedTime).Abs() - m.timeDeviation) / deviationDivisor
	m.smoothedTime += (took - m.smoothedTime) / smoothedDivisor
}

// Transit returns how long after being written a request has certainly arrived at a member, on a
// connection that has carried an earlier request. By then its answer would have come, were it one of the
// slower ones, as far as known from earlier answers. A request that is abandoned sooner may arrive after
// a later one written to another member, and both members would then process it at once. Where concurrent
// attempts are allowed, nothing waits for that.
func (p *Pool[X]) Transit(m *Member[X]) time.Duration {
	expected := m.smoothedTime + deviationFactor*m.timeDeviation
	return p.boundTransit(expected.Truncate(time.Microsecond)) // whole microseconds avoid odd nanoseconds
}

// boundTransit limits an expected transit time; 0: no answer is known.
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

// FirstTransit is Transit for the first request on a connection. It arrives once the handshake is
// complete, for which the member may be slow to find time; a connection that takes longer than the
// connect timeout never opens.
func (p *Pool[X]) FirstTransit() time.Duration {
	if p.cfg.ConcurrentAttempts {
		return 0
	}
	return min(p.cfg.ConnectTimeout, transitDivisor*maxTransit)
}

// tooLateToAnswer reports whether a request that has waited for a connection has so little time left that
// no answer could arrive in time; a member may drop such a request silently. A request that gets a
// connection immediately is not checked: such requests are how a member without answers becomes known.
func (p *Pool[X]) tooLateToAnswer(m *Member[X], x X) bool {
	until := x.PoolRequest().ExpiresAt
	return until > 0 && until-p.now < p.boundTransit(m.roundTrip)
}
