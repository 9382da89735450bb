package proxy

import (
	"time"

	"linenloom/internal/reasons"
	"linenloom/internal/upstream"
	"linenloom/logic"
)

// actions implements logic.Actions. Its methods run under the proxy's lock, during an event: they never block, and the
// outcomes that they cause are passed to the Balancer afterwards (see endEvent).
type actions struct{ p *Proxy }

var _ logic.Actions = actions{}

// Send starts an attempt at a member.
func (x actions) Send(id logic.RequestID, to logic.MemberID, timeout, startBefore time.Duration) {
	p, r := x.p, x.p.requests[id]
	if r == nil {
		return // a fault of the Balancer: the request does not exist
	}
	p.refreshNow()
	a := &attempt{request: r, index: int32(len(r.attempts)), memberID: to, startedAt: p.now}
	a.ExpiresAt, a.StartBefore = r.currentDeadline(), startBefore
	if timeout > 0 {
		a.ExpiresAt = min(a.ExpiresAt, p.now+timeout)
	}
	r.attempts = append(r.attempts, a)
	if p.cfg.OnSend != nil {
		p.cfg.OnSend(id, to)
	}
	r.outstanding++
	if r.done || a.ExpiresAt-p.now < upstream.MinDeadline {
		p.endAttempt(a, logic.StatusMoot, 0)
		return
	}
	if a.TooLateToStart(p.now) {
		p.endAttempt(a, logic.StatusNoConn, 0)
		return
	}
	if !p.checkProof(r) {
		// Not sent, and not the member's fault; another attempt would end the same way.
		p.endAttempt(a, logic.StatusRejected, 0)
		return
	}
	m := p.members[to]
	if m == nil || m.state != logic.Ready {
		p.endAttempt(a, logic.StatusConnectFailed, 0)
		return
	}
	if r.orderState != nil {
		p.sendAfterRecording(r, a, m)
		return
	}
	p.startAttempt(r, a, m)
}

// startAttempt starts the exchange of an attempt, in this process or at the client of an ExternalSender.
func (p *Proxy) startAttempt(r *Request, a *attempt, m *member) {
	if p.cfg.ZoneMeter != nil && !m.Origin {
		a.meterID = p.cfg.ZoneMeter.AttemptStarted(p.now, p.zoneIndex(m.listed.Locality), uint64(m.id))
	}
	if c, ok := r.Responder.(ExternalSender); ok {
		a.byExternalSender = true
		p.scheduleTimeout(a)
		c.Assign(&Attempt{proxy: p, attempt: a, Addr: m.Addr, Origin: m.Origin})
		return
	}
	p.startExchange(m, a)
}

// Refuse gives the final answer that the request was refused and may safely be retried.
func (x actions) Refuse(id logic.RequestID, retryAfter time.Duration, why logic.Reason) {
	x.p.finishRequest(id, Answer{Kind: Refused, RetryAfter: retryAfter, Reason: why})
}

// Fail gives the final answer that the request failed and may have run.
func (x actions) Fail(id logic.RequestID, why logic.Reason) {
	x.p.finishRequest(id, Answer{Kind: Failed, Reason: why})
}

// NotifyWaiting counts a request that waits.
func (x actions) NotifyWaiting(id logic.RequestID, why logic.Reason) {
	if r := x.p.requests[id]; r != nil {
		x.p.reasons.Add(reasons.Waited, r.class, r.tenant, why)
	}
}

func (p *Proxy) finishRequest(id logic.RequestID, a Answer) {
	if r := p.requests[id]; r != nil && !r.done {
		r.done = true
		outcome := reasons.Refused
		if a.Kind == Failed {
			outcome = reasons.Failed
		} else {
			p.releaseToken(r)
		}
		p.reasons.Add(outcome, r.class, r.tenant, a.Reason)
		if p.cfg.ZoneMeter != nil && a.Reason == logic.OriginLine {
			p.cfg.ZoneMeter.OriginRefused(p.now)
		}
		r.Responder.Answer(a)
		p.closeReadGroups(r)
		p.leadEnded(r)
		p.releaseIfOver(r)
	}
}

// Cancel abandons an attempt. An attempt that was sent for a finished request is left to end by itself, by its
// timeout at the latest: closing its connection would not stop the work at the member and would cost it another
// handshake, and the Balancer would count the member's capacity as free too early.
func (x actions) Cancel(id logic.RequestID, attempt int) {
	r := x.p.requests[id]
	if r == nil || attempt < 0 || attempt >= len(r.attempts) {
		return
	}
	if a := r.attempts[attempt]; !a.Ended && (!r.done || !a.Sent()) {
		x.p.abandonAttempt(a, logic.StatusCancelled)
	}
}

// ConnectionWait returns the expected wait for a connection to a member.
func (x actions) ConnectionWait(id logic.RequestID, to logic.MemberID) time.Duration {
	if r := x.p.requests[id]; r != nil {
		if _, ownConnections := r.Responder.(ExternalSender); ownConnections {
			return 0
		}
	}
	if m := x.p.members[to]; m != nil {
		return x.p.upstreams.ExpectedWait(&m.Member)
	}
	return 0
}

// CloseIdle closes idle connections to a member.
func (x actions) CloseIdle(id logic.MemberID) {
	if m := x.p.members[id]; m != nil {
		x.p.upstreams.CloseIdle(&m.Member, 0)
	}
}

// SetTimer schedules a Timer event.
func (x actions) SetTimer(at time.Duration, token uint64) {
	x.p.timers.addToken(x.p.now, at, token)
}

// Watch does nothing: discovery pushes the list, and the watch is always active.
func (x actions) Watch(bool) {}

// FetchList does nothing: the watch delivers the list.
func (x actions) FetchList() {}

// Probe only logs an error: the Balancer does not use probes, and this proxy does not support them.
func (x actions) Probe(m logic.MemberID) { x.p.log.Error("probes are not supported", "member", m) }

// SendToPeer only logs an error: the Balancer does not use messages, and this proxy does not support them.
func (x actions) SendToPeer(peer int, _ []byte) {
	x.p.log.Error("messages are not supported", "peer", peer)
}

// Log logs a line of the Balancer.
func (x actions) Log(text string) { x.p.log.Info("balancer", "text", text) }
