package proxy

import (
	"maps"
	"slices"
	"time"

	"linenloom/internal/reasons"
)

const (
	// acceptDrainTime lets accept take the connections that the kernel holds before the listener is closed;
	// closing resets the rest.
	acceptDrainTime     = 50 * time.Millisecond
	pendingPollInterval = 10 * time.Millisecond
	lastRequestsTime    = 100 * time.Millisecond
	// closeLinger is how long clients have to see the end of their connections. A connection that is closed
	// at once with unread input is reset, and the client can lose its last answer.
	closeLinger = 100 * time.Millisecond
	// A process that was signalled to stop may be killed once the longest deadline (at most maxKillDeadline) and
	// killGrace have passed. By endMargin before that, every accepted request has its answer, if only that
	// it was refused or may have run: requests that are still outstanding then are at hanging members, and
	// their deadline would come too late. The cost: requests that would have been answered that late.
	maxKillDeadline = 3 * time.Second
	killGrace       = 700 * time.Millisecond
	endMargin       = 200 * time.Millisecond
)

// drain carries out a planned stop: connections are still accepted for a while, then those that are idle
// are ended one by one until no answer is pending.
func (p *Proxy) drain() {
	stopRequestedAt := time.Now()
	for _, f := range p.fronts {
		f.Drain()
	}
	time.Sleep(p.cfg.AcceptAfterStop)
	for _, f := range p.fronts {
		f.StopAccepting()
	}
	// Connections end when nothing is in transit on them. For a moment, further commands on busy
	// connections are accepted: a client that sends again as soon as it is answered is idle only in
	// between.
	for end := time.Now().Add(lastRequestsTime); time.Now().Before(end) && p.endIdle(); {
		time.Sleep(pendingPollInterval / 2)
	}
	// Later commands are refused: answering them in full could take longer than the time left.
	p.beginEvent()
	p.stopping = true
	p.closeRecord()
	p.endEvent()
	longest := time.Duration(0)
	for _, c := range p.Classes() {
		longest = max(longest, c.Deadline)
	}
	slowClientLimit := max(longest, commandTimeout)
	answerBy := stopRequestedAt.Add(min(longest, p.maxStopDeadline) + killGrace - endMargin)
	p.awaitIdle(answerBy)
	p.Do(p.endRequests)
	// What remains are answers in transit to clients that read slowly, and values that have been sent in
	// part.
	p.awaitIdle(time.Now().Add(slowClientLimit))
	time.Sleep(closeLinger)
}

// awaitIdle waits until no answer is pending, or until end.
func (p *Proxy) awaitIdle(end time.Time) {
	for time.Now().Before(end) && p.endIdle() {
		time.Sleep(pendingPollInterval)
	}
}

// endRequests gives every accepted request its final answer and stops accepting commands: requests that
// have certainly not run, or may be repeated, are refused; for all others nothing is promised.
func (p *Proxy) endRequests() {
	ids := slices.Sorted(maps.Keys(p.requests))
	for _, id := range ids {
		r := p.requests[id]
		switch {
		case r == nil: // it ended together with an earlier one
		case r.orderState != nil && r.orderState.reportReceipt:
			p.handleRecordTimeout(r)
		case !r.done:
			p.recallUnsent(r)
			a := Answer{Kind: Failed, Reason: reasons.Stopping}
			if r.retryable || !r.MayHaveRun() {
				a.Kind = Refused
			}
			p.finishRequest(id, a)
			p.balancer.RequestCancelled(p.now, id)
		}
	}
	for _, f := range p.fronts {
		f.EndAll()
	}
}

// endIdle ends idle connections at all fronts and reports whether any front still has a pending answer.
func (p *Proxy) endIdle() (answersPending bool) {
	p.beginEvent()
	defer p.endEvent()
	for _, f := range p.fronts {
		if f.EndIdle() {
			answersPending = true
		}
	}
	return answersPending
}
