package proxy

import (
	"maps"
	"slices"
	"time"

	"linenloom/internal/reasons"
)

const (
	// acceptDrainTime lets accept take what the kernel holds for it before the listener is closed; closing
	// resets the rest.
	acceptDrainTime     = 50 * time.Millisecond
	pendingPollInterval = 10 * time.Millisecond
	lastRequestsTime    = 100 * time.Millisecond
	// closeLinger is how long clients have to hear that their connections end. Closed at once, with
	// something unread, a connection is reset, and the client can lose its last answer.
	closeLinger = 100 * time.Millisecond
	// A process that was told to end may be killed once the longest deadline, taken as maxKillDeadline if it is longer, and killGrace have passed.
	// Everything taken has its answer endMargin before that, if it is only that it was refused, or may have run: what is still out then is
	// at members that hang, and a deadline beyond would never come. It costs those that would have answered that late.
	maxKillDeadline = 3 * time.Second
	killGrace       = 700 * time.Millisecond
	endMargin       = 200 * time.Millisecond
)

// drain brings a planned stop to its end: connections go on coming for a while, then those that are idle
// are ended one by one until nothing is owed.
func (p *Proxy) drain() {
	told := time.Now()
	for _, f := range p.fronts {
		f.Drain()
	}
	time.Sleep(p.cfg.AcceptMore)
	for _, f := range p.fronts {
		f.StopAccepting()
	}
	// Connections end where nothing is on its way on them. For a moment what still comes on busy ones is taken: a client
	// that asks again as soon as it is answered is free only in between.
	for end := time.Now().Add(lastRequestsTime); time.Now().Before(end) && p.endIdle(); {
		time.Sleep(pendingPollInterval / 2)
	}
	// What comes later is turned away: answered in full, it could take longer than there is time for.
	p.enter()
	p.stopping = true
	p.closeRecord()
	p.leave()
	longest := time.Duration(0)
	for _, c := range p.Classes() {
		longest = max(longest, c.Deadline)
	}
	most := max(longest, commandTimeout)
	by := told.Add(min(longest, p.killMost) + killGrace - endMargin)
	p.awaitIdle(by)
	p.Do(p.endRequests)
	// What is left are answers on their way to clients that take them slowly, and values of which a part has gone out.
	p.awaitIdle(time.Now().Add(most))
	time.Sleep(closeLinger)
}

// awaitIdle waits until nothing is owed, or for so long.
func (p *Proxy) awaitIdle(end time.Time) {
	for time.Now().Before(end) && p.endIdle() {
		time.Sleep(pendingPollInterval)
	}
}

// endRequests gives everything in hand its final answer, and takes nothing more from anybody: what surely has not run, or may be repeated, is
// refused, and of anything else nothing is promised.
func (p *Proxy) endRequests() {
	ids := slices.Sorted(maps.Keys(p.requests))
	for _, id := range ids {
		r := p.requests[id]
		switch {
		case r == nil: // it ended with one before
		case r.orderRecord != nil && r.orderRecord.owes:
			p.recordLate(r)
		case !r.done:
			p.recall(r)
			a := Answer{Kind: Failed, Reason: reasons.Stopping}
			if r.retryable || !r.MayHaveRun() {
				a.Kind = Refused
			}
			p.conclude(id, a)
			p.bal.RequestCancelled(p.now, id)
		}
	}
	for _, f := range p.fronts {
		f.EndAll()
	}
}

// endIdle tells whether a front still owes an answer.
func (p *Proxy) endIdle() (owed bool) {
	p.enter()
	defer p.leave()
	for _, f := range p.fronts {
		if f.EndIdle() {
			owed = true
		}
	}
	return owed
}
