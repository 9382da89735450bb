package proxy

import (
	"time"

	"linenloom/internal/reasons"
	"linenloom/internal/upstream"
	"linenloom/logic"
)

// actions carries out what the Balancer decides. Its methods run under the proxy's lock, inside an event:
// they never wait, and what they cause is told to the Balancer afterwards (see leave).
type actions struct{ p *Proxy }

var _ logic.Actions = actions{}

// Send starts an attempt.
func (x actions) Send(id logic.RequestID, to logic.MemberID, timeout time.Duration) {
	p, r := x.p, x.p.requests[id]
	if r == nil {
		return // it would be a fault of the module; there is no one to send for
	}
	p.catchUp()
	a := &attempt{req: r, n: int32(len(r.attempts)), to: to, sentAt: p.now}
	a.ExpiresAt = r.deadlineNow()
	if timeout > 0 {
		a.ExpiresAt = min(a.ExpiresAt, p.now+timeout)
	}
	r.attempts = append(r.attempts, a)
	if p.cfg.OnSend != nil {
		p.cfg.OnSend(id, to)
	}
	r.outstanding++
	if r.done || a.ExpiresAt-p.now < upstream.MinDeadline {
		p.end(a, logic.StatusMoot, 0)
		return
	}
	if !p.checkProof(r) {
		p.end(a, logic.StatusRejected, 0) // never sent, and no member's fault; a further attempt would end alike
		return
	}
	m := p.members[to]
	if m == nil || m.state != logic.Ready {
		p.end(a, logic.StatusConnectFailed, 0)
		return
	}
	if r.orderRecord != nil {
		p.sendRecorded(r, a, m)
		return
	}
	p.launch(r, a, m)
}

// launch starts the exchange of an attempt, here or at a Carrier's client.
func (p *Proxy) launch(r *Request, a *attempt, m *member) {
	if p.cfg.Meter != nil && !m.Origin {
		a.metered = p.cfg.Meter.AttemptStarted(p.now, p.zone(m.listed.Locality), uint64(m.id))
	}
	if c, ok := r.Responder.(ExternalSender); ok {
		a.carried = true
		p.schedule(due{Timer: upstream.Timer{At: a.ExpiresAt}, attempt: a})
		c.Assign(&Attempt{proxy: p, attempt: a, Addr: m.Addr, Origin: m.Origin})
		return
	}
	p.exchange(m, a)
}

// Refuse is the final answer that a retry is harmless.
func (x actions) Refuse(id logic.RequestID, retryAfter time.Duration, why logic.Reason) {
	x.p.conclude(id, Answer{Kind: Refused, RetryAfter: retryAfter, Reason: why})
}

// Fail is the final answer that promises nothing.
func (x actions) Fail(id logic.RequestID, why logic.Reason) {
	x.p.conclude(id, Answer{Kind: Failed, Reason: why})
}

// NotifyWaiting counts a wait.
func (x actions) NotifyWaiting(id logic.RequestID, why logic.Reason) {
	if r := x.p.requests[id]; r != nil {
		x.p.reasons.Add(reasons.Waited, r.class, r.tenant, why)
	}
}

func (p *Proxy) conclude(id logic.RequestID, a Answer) {
	if r := p.requests[id]; r != nil && !r.done {
		r.done = true
		what := reasons.Refused
		if a.Kind == Failed {
			what = reasons.Failed
		} else {
			p.releaseToken(r)
		}
		p.reasons.Add(what, r.class, r.tenant, a.Reason)
		if p.cfg.Meter != nil && a.Reason == logic.OriginLine {
			p.cfg.Meter.OriginRefused(p.now)
		}
		r.Responder.Answer(a)
		p.fence(r)
		p.joinEnded(r)
		p.settle(r)
	}
}

// Cancel stops waiting for an attempt. Of a request that is over it is left to end by itself, at its own time
// at the latest: closing its connection would stop no work at the member and cost it another handshake, and
// the Balancer would count as free what is not.
func (x actions) Cancel(id logic.RequestID, attempt int) {
	r := x.p.requests[id]
	if r == nil || attempt < 0 || attempt >= len(r.attempts) {
		return
	}
	if a := r.attempts[attempt]; !a.Ended && (!r.done || !a.Sent()) {
		x.p.abandon(a, logic.StatusCancelled)
	}
}

// ConnectionWait tells how long a connection to a member would be waited for.
func (x actions) ConnectionWait(id logic.RequestID, to logic.MemberID) time.Duration {
	if r := x.p.requests[id]; r != nil {
		if _, own := r.Responder.(ExternalSender); own {
			return 0
		}
	}
	if m := x.p.members[to]; m != nil {
		return x.p.ups.ExpectedWait(&m.Member)
	}
	return 0
}

// CloseIdle closes idle connections to a member.
func (x actions) CloseIdle(id logic.MemberID) {
	if m := x.p.members[id]; m != nil {
		x.p.ups.CloseIdle(&m.Member, 0)
	}
}

// SetTimer asks for a Timer event.
func (x actions) SetTimer(at time.Duration, token uint64) {
	x.p.timers.pushToken(x.p.now, at, token)
}

// Watch and Fetch ask for the list. Discovery pushes it here, and the watch is always kept up.
func (x actions) Watch(bool) {}

// FetchList is answered by the watch too.
func (x actions) FetchList() {}

// Probe and Tell are not used by the Balancer, and this proxy has no means for them.
func (x actions) Probe(m logic.MemberID) { x.p.log.Error("probes are not supported", "member", m) }

// SendToPeer is likewise not supported.
func (x actions) SendToPeer(peer int, _ []byte) {
	x.p.log.Error("messages are not supported", "peer", peer)
}

// Log records a line of the Balancer's.
func (x actions) Log(text string) { x.p.log.Info("balancer", "text", text) }
