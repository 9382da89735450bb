package pool

import "time"

// An answer of a protocol without request ids belongs to the request that is in flight only if nothing of an
// earlier exchange can still arrive on the connection, and all of the earlier requests has been written.
// This file decides when a connection may be used again, and what its next request needs:
//
//   - The first request on a connection may be attributed its answer.
//   - So may a request that is sent QuarantineTime after the last answer. Bytes that arrive meanwhile belong
//     to no request, and end the connection.
//   - A cache is sent a fence behind any other request, a command with an answer that no request has. The
//     host takes an answer for the request's only if the fence's answer follows it: with one answer too many
//     or too few before, another answer is in that place.
//   - Where caches end the connection after a fence, fences are sent only behind requests that must not run
//     twice, behind pipelined ones, and behind all while a cache is suspected. Other reads then rely on the
//     short cooldown and on the choice of a connection that has rested.
//   - An origin has no fences. Its connections rest for QuarantineTime after each answer. Requests do not wait
//     for that: another connection is opened, in place of a resting one if need be.
//   - A cache that accepts one request at a time, or refuses fences, is treated like an origin while it is
//     suspected, and always for requests that must not run twice.
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
	// minFenceMultiplex is how many requests a cache has to accept on a connection for a fence to be sent
	// behind one.
	minFenceMultiplex = 2
	// minResting is the number of connections to a member that may rest although no other is in use.
	minResting = 8
	// restingDivisor limits the others to this fraction of those in use: more would only hold descriptors, as
	// each carries a few requests a second at most.
	restingDivisor = 2
)

// RecordStray records that a member has sent bytes that no request asked for. What one cache does, all are
// suspected of: they run the same program, over the same network.
func (p *Pool[X]) RecordStray(m *Member[X]) { p.suspect(m, SuspicionTime) }

func (p *Pool[X]) suspect(m *Member[X], d time.Duration) {
	m.suspectUntil = max(m.suspectUntil, p.now+d)
	if !m.Origin {
		p.cachesSuspectUntil = max(p.cachesSuspectUntil, p.now+d)
	}
}

// Suspect reports whether a member, or another cache if it is one, has recently sent bytes that no request
// asked for.
func (p *Pool[X]) Suspect(m *Member[X]) bool {
	return p.now < m.suspectUntil || !m.Origin && p.now < p.cachesSuspectUntil
}

// fenceRecord records what fences cost.
type fenceRecord struct {
	answered, closures int  // fences answered, and connections that ended with one
	costly             bool // caches end the connection after a fence
}

const (
	// minFenceClosures is the number of connections that have to end with a fence before fences count as
	// costly, and maxFencesPerClosure the largest number of fences for each of them.
	minFenceClosures    = 2
	maxFencesPerClosure = 4
)

// recordClosure records that a connection was ended by its member, if a fence was the last that was sent on
// it.
func (p *Pool[X]) recordClosure(c *Conn[X]) {
	if !c.lastFenced || !c.Busy() && p.now >= c.attributableAt {
		return
	}
	p.fences.closures++
	if p.fences.closures >= minFenceClosures && p.fences.answered <= maxFencesPerClosure*p.fences.closures {
		p.fences.costly = true
	}
}

// needsFence reports whether a fence has to be sent behind a request that is about to be sent.
func (p *Pool[X]) needsFence(c *Conn[X], r *Request) bool {
	var none X
	switch {
	case !p.CanFence(c.Member):
		return false
	case c.Current != none:
		return true
	case p.now >= c.attributableAt:
		return false
	}
	return !p.fences.costly || r.Once || p.Suspect(c.Member)
}

// endsWithFence reports whether the member ends the connection after the fence that was just answered.
func (p *Pool[X]) endsWithFence(c *Conn[X]) bool { return p.fences.costly && c.lastFenced }

// CanFence reports whether requests to a member may be followed by a fence.
func (p *Pool[X]) CanFence(m *Member[X]) bool {
	return !m.Origin && !m.refusesFences && p.cfg.Multiplex >= minFenceMultiplex
}

// RecordFence records whether a member answered a fence as it should. One that has done so once is sent
// further ones.
func (p *Pool[X]) RecordFence(m *Member[X], answered bool) {
	if answered {
		p.fences.answered++
	}
	m.answersFences = m.answersFences || answered
	m.refusesFences = !m.answersFences
}

// quarantineTime returns how long after an answer bytes of the same exchange may still arrive.
func (p *Pool[X]) quarantineTime(m *Member[X]) time.Duration {
	if p.Suspect(m) {
		return SuspectQuarantineTime
	}
	return QuarantineTime
}

// mustRest reports whether connections to a member rest for the quarantine after each answer.
func (p *Pool[X]) mustRest(m *Member[X]) bool {
	return m.Origin || !p.CanFence(m) && p.Suspect(m)
}

// needsRested reports whether a request may only be sent on a connection that has rested, or is new.
func (p *Pool[X]) needsRested(m *Member[X], r *Request) bool {
	return p.mustRest(m) || r.Once && !p.CanFence(m)
}

// usableAt returns when the first connection to a member that rests may carry a request, if any rests.
func (p *Pool[X]) usableAt(m *Member[X], x X) (at time.Duration, resting bool) {
	needsRested := p.needsRested(m, x.PoolRequest())
	for _, c := range m.Conns {
		usable := c.reusableAt
		if needsRested {
			usable = max(usable, c.attributableAt)
		}
		if p.now < usable && (!resting || usable < at) {
			at, resting = usable, true
		}
	}
	return at, resting
}

// restTime returns how long a connection stays unused after an answer.
func (p *Pool[X]) restTime(m *Member[X]) time.Duration {
	switch {
	case p.mustRest(m):
		return p.quarantineTime(m)
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

// keepsResting reports whether one more connection, which has just answered, is worth keeping until it may be
// used again. It is not while a request waits for its place.
func (p *Pool[X]) keepsResting(m *Member[X]) bool {
	if len(m.Waiting) > m.pendingDials && len(m.Conns)+m.pendingDials >= p.MaxConns(m) {
		return false
	}
	busy, resting := p.countConns(m)
	return resting < max(minResting, (busy+m.pendingDials)/restingDivisor)
}

// replaceResting closes the connection that would rest the longest, if a request needs its place: one that
// needs a connection that has rested, with as many connections as may be open.
func (p *Pool[X]) replaceResting(m *Member[X], r *Request) {
	if !p.needsRested(m, r) || len(m.Conns)+m.pendingDials < p.MaxConns(m) {
		return
	}
	var latest *Conn[X]
	for _, c := range m.Conns {
		if !c.Busy() && p.now < c.attributableAt && (latest == nil || c.attributableAt > latest.attributableAt) {
			latest = c
		}
	}
	if latest != nil {
		p.CloseFor(latest, CloseSurplus)
	}
}
