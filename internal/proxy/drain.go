package proxy

import (
	"maps"
	"slices"
	"time"

	"linenloom/internal/reasons"
)

const (
	// backlogTime lets accept take what the kernel holds for it before the listener is closed; closing
	// resets the rest.
	backlogTime = 50 * time.Millisecond
	owedEvery   = 10 * time.Millisecond
	lastTakes   = 100 * time.Millisecond
	// lingerTime is how long clients have to hear that their connections end. Closed at once, with
	// something unread, a connection is reset, and the client can lose its last answer.
	lingerTime = 100 * time.Millisecond
	// A process that was told to end may be killed once the longest deadline, taken as maxStopDeadline if it is longer, and killMore have passed.
	// Everything taken has its answer endMargin before that, if it is only that it was refused, or may have run: what is still out then is
	// at members that hang, and a deadline beyond would never come. It costs those that would have answered that late.
	killMost  = 3 * time.Second
	killMore  = 700 * time.Millisecond
	endMargin = 200 * time.Millisecond
)

// drain brings a planned stop to its end: connections go on coming for a while, then those that are idle
// are ended one by one until nothing is owed.
func (p *Proxy) drain() {
	told := time.Now()
	for _, f := range p.fronts {
		f.Drain()
	}
	time.Sleep(p.cfg.AcceptAfterStop)
	for _, f := range p.fronts {
		f.StopTaking()
	}
	// Connections end where nothing is on its way on them. For a moment what still comes on busy ones is taken: a client
	// that asks again as soon as it is answered is free only in between.
	for end := time.Now().Add(lastTakes); time.Now().Before(end) && p.owes(); {
		time.Sleep(owedEvery / 2)
	}
	// What comes later is turned away: answered in full, it could take longer than there is time for.
	p.beginEvent()
	p.stopping = true
	p.closeRecord()
	p.endEvent()
	longest := time.Duration(0)
	for _, c := range p.Classes() {
		longest = max(longest, c.Deadline)
	}
	most := max(longest, commandTime)
	by := told.Add(min(longest, p.maxStopDeadline) + killMore - endMargin)
	p.owedUntil(by)
	p.Do(p.endTaken)
	// What is left are answers on their way to clients that take them slowly, and values of which a part has gone out.
	p.owedUntil(time.Now().Add(most))
	time.Sleep(lingerTime)
}

// owedUntil waits until nothing is owed, or for so long.
func (p *Proxy) owedUntil(end time.Time) {
	for time.Now().Before(end) && p.owes() {
		time.Sleep(owedEvery)
	}
}

// endTaken gives everything in hand its final answer, and takes nothing more from anybody: what surely has not run, or may be repeated, is
// refused, and of anything else nothing is promised.
func (p *Proxy) endTaken() {
	ids := slices.Sorted(maps.Keys(p.requests))
	for _, id := range ids {
		r := p.requests[id]
		switch {
		case r == nil: // it ended with one before
		case r.rec != nil && r.rec.reportReceipt:
			p.handleRecordTimeout(r)
		case !r.done:
			p.recallUnsent(r)
			a := Answer{Kind: Failed, Why: reasons.Stopping}
			if r.again || !r.MayHaveRun() {
				a.Kind = Refused
			}
			p.finishRequest(id, a)
			p.balancer.RequestCancelled(p.now, id)
		}
	}
	for _, f := range p.fronts {
		f.End()
	}
}

// owes tells whether a front still owes an answer.
func (p *Proxy) owes() (owed bool) {
	p.beginEvent()
	defer p.endEvent()
	for _, f := range p.fronts {
		if f.Owes() {
			owed = true
		}
	}
	return owed
}
