package proxy

import (
	"time"

	"linenloom/logic"
)

// due is something to do at a time: the module's own timer, or the end of an attempt or of its wait for a
// connection. None is withdrawn; one that is no longer wanted does nothing.
type due struct {
	at      time.Duration
	attempt *attempt  // nil: the module's timer
	connect bool      // the wait for a connection ends
	pinged  *upstream // the answer to a PING is due
	held    bool      // the rest of the attempt is written
	dial    *member   // the backoff after a failed dial ends
	token   uint64
}

// timers is a binary heap by time. container/heap would box each entry, several times a request.
type timers []due

func (t *timers) push(d due) {
	h := append(*t, d)
	i := len(h) - 1
	for i > 0 {
		up := (i - 1) / 2
		if h[up].at <= d.at {
			break
		}
		h[i], i = h[up], up
	}
	h[i] = d
	*t = h
}

func (t *timers) pop() due {
	h := *t
	top, last := h[0], h[len(h)-1]
	h[len(h)-1] = due{} // let go of the attempt
	h = h[:len(h)-1]
	i := 0
	for {
		down := 2*i + 1
		if down >= len(h) {
			break
		}
		if down+1 < len(h) && h[down+1].at < h[down].at {
			down++
		}
		if last.at <= h[down].at {
			break
		}
		h[i], i = h[down], down
	}
	if len(h) > 0 {
		h[i] = last
	}
	*t = h
	return top
}

// schedule adds a timer, put off to the end of the module's tick, which it allows for: timers that fall due
// within one tick then share a wake-up.
func (p *Proxy) schedule(d due) {
	if tick := min(p.cfg.Settings.Tick, maxTick); tick > 0 {
		d.at = (d.at + tick - 1) / tick * tick
	}
	p.timers.push(d)
}

// maxTick bounds how late timers may be, whatever the settings say.
const maxTick = 5 * time.Millisecond

// arm sets the wake-up for the earliest timer.
func (p *Proxy) arm() {
	if len(p.timers) > 0 && p.timers[0].at < p.wakeAt {
		p.wakeAt = p.timers[0].at
		p.timer.Reset(p.wakeAt - p.now)
	}
}

// ring does what has fallen due.
func (p *Proxy) ring() {
	p.enter()
	for len(p.timers) > 0 && p.timers[0].at <= p.now {
		d := p.timers.pop()
		switch {
		case d.pinged != nil:
			p.pingLate(d.pinged, time.Duration(d.token))
		case d.dial != nil:
			p.dial(d.dial)
		case d.attempt == nil:
			p.bal.Timer(p.now, d.token)
		case d.held:
			p.release(d.attempt)
		case d.connect:
			p.connectTimeout(d.attempt)
		case !d.attempt.ended:
			p.abandon(d.attempt, logic.StatusTimeout)
		}
	}
	p.wakeAt = p.now + time.Hour
	p.leave()
}
