package pool

import "time"

// An answer of a protocol without request ids belongs to the request that is in flight only if nothing of an
// earlier exchange can still arrive on the connection, and all of the earlier requests has been written.
// This file decides when a connection may be used again:
//
//   - The first request on a connection may be attributed its answer.
//   - On a connection to an origin the next request is sent once QuarantineTime has passed since the last
//     answer. Bytes that arrive meanwhile belong to no request, and end the connection. Requests do not wait
//     for that: another connection is opened, in place of a resting one if need be.
//   - A connection on which an answer came before all of its request was written is not used again; the host
//     sees to that.
const (
	// QuarantineTime is how long after an answer bytes of the same exchange may still arrive: 200 ms, and
	// some for the time until they are noticed.
	QuarantineTime = 250 * time.Millisecond
	// SuspectQuarantineTime replaces it for a member that has sent bytes that no request asked for, and
	// SuspicionTime is for how long after the latest of them.
	SuspectQuarantineTime = time.Second
	SuspicionTime         = 10 * time.Minute
	// minResting is the number of connections to an origin that may rest although no other is in use.
	minResting = 4
	// restingDivisor limits the others to this fraction of those in use: more would only hold descriptors, as
	// each carries a few requests a second at most.
	restingDivisor = 2
)

// RecordStray records that a member has sent bytes that no request asked for.
func (p *Pool[X]) RecordStray(m *Member[X]) { m.suspectUntil = p.now + SuspicionTime }

// Suspect reports whether a member has recently sent bytes that no request asked for.
func (p *Pool[X]) Suspect(m *Member[X]) bool { return p.now < m.suspectUntil }

// restTime returns how long a connection stays unused after an answer.
func (p *Pool[X]) restTime(m *Member[X]) time.Duration {
	switch {
	case m.Origin && p.Suspect(m):
		return SuspectQuarantineTime
	case m.Origin:
		return QuarantineTime
	case m.cleanAnswers < m.cleanRequired:
		return SuspectCooldownTime
	}
	return CooldownTime
}

// countConns returns the numbers of a member's connections that are in use and that rest.
func (p *Pool[X]) countConns(m *Member[X]) (busy, resting int) {
	for _, c := range m.Conns {
		switch {
		case c.Busy():
			busy++
		case p.now < c.reusableAt:
			resting++
		}
	}
	return busy, resting
}

// keepsResting reports whether one more connection of an origin, which has just answered, is worth keeping
// until it may be used again. It is not while a request waits for its place.
func (p *Pool[X]) keepsResting(m *Member[X]) bool {
	if len(m.Waiting) > m.pendingDials && len(m.Conns)+m.pendingDials >= p.MaxConns(m) {
		return false
	}
	busy, resting := p.countConns(m)
	return resting < max(minResting, (busy+m.pendingDials)/restingDivisor)
}

// replaceResting closes the connection to an origin that would rest the longest, if there are as many
// connections as may be open: a request needs its place.
func (p *Pool[X]) replaceResting(m *Member[X]) {
	if !m.Origin || len(m.Conns)+m.pendingDials < p.MaxConns(m) {
		return
	}
	var latest *Conn[X]
	for _, c := range m.Conns {
		if !c.Busy() && p.now < c.reusableAt && (latest == nil || c.reusableAt > latest.reusableAt) {
			latest = c
		}
	}
	if latest != nil {
		p.CloseFor(latest, CloseSurplus)
	}
}
