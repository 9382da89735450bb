// Package shed decides which reads a front turns away by itself, before the module works on them, when more comes than the
// proxy's own core can do. Nothing else can help then: what waits unread in the kernel grows with every second, and served in
// turn, all of it would come too late.
//
// It is free of I/O, clock and goroutines, and guarded by the host's lock. It never turns away what must not run twice, or
// any write, and nothing at all while the core has time to spare: a line that is long for another reason is the module's.
package shed

import (
	"time"

	"linenloom/logic"
)

const (
	// aimDivisor is the part of the shortest aim that reads may wait unread before some are turned away; past twice that, all
	// are. It should leave time for the rest of an exchange, and would do harm were it shorter than a burst that the core is
	// through with in good time.
	aimDivisor = 4
	// busyThreshold is the share of the core that counts as all of it. Some is always lost to the kernel and to others.
	busyThreshold = 0.85
	// halvingInterval is over how long the tenants' shares are told: their counts are halved this often.
	halvingInterval = time.Second
	// minPipeline is how many requests a connection may have in hand whatever comes.
	minPipeline = 4
	// shareTolerance is what a tenant may ask beyond its share, as a part of that, before it counts as over it.
	shareTolerance = 0.1
)

// Controller decides for all connections of a front.
type Controller struct {
	waitLimit   time.Duration
	lowWorth    []bool // by class: its reads are worth less than others'
	shares      []float64
	recent      []float64 // by tenant, lately
	recentTotal float64
	halveAt     time.Duration
	busy        bool
	usageAt     time.Duration
	answerRate  float64 // answers a second
}

// New makes a Gate for these classes and tenants.
func New(classes []logic.Class, tenants []logic.Tenant) *Controller {
	g := &Controller{recent: make([]float64, len(tenants))}
	for _, t := range tenants {
		g.shares = append(g.shares, t.Share)
	}
	g.SetClasses(classes)
	return g
}

// SetClasses takes over other classes.
func (g *Controller) SetClasses(classes []logic.Class) {
	g.waitLimit, g.lowWorth = 0, make([]bool, len(classes))
	most := 0.0
	for _, c := range classes {
		if g.waitLimit == 0 || c.Aim/aimDivisor < g.waitLimit {
			g.waitLimit = c.Aim / aimDivisor
		}
		if c.Effect == logic.Repeatable {
			most = max(most, c.Worth)
		}
	}
	for i, c := range classes {
		g.lowWorth[i] = c.Effect == logic.Repeatable && c.Worth < most
	}
}

// UpdateUsage tells how much of its core the proxy has used lately, from 0 to 1, and how many requests it has answered since it was
// last told. It is told often.
func (g *Controller) UpdateUsage(now time.Duration, share float64, answered int) {
	g.busy = share >= busyThreshold
	if past := now - g.usageAt; past > 0 && g.usageAt > 0 {
		g.answerRate += (float64(answered)/past.Seconds() - g.answerRate) / 2
	}
	g.usageAt = now
	if now < g.halveAt {
		return
	}
	g.halveAt = now + halvingInterval
	g.recentTotal /= 2
	for i := range g.recent {
		g.recent[i] /= 2
	}
}

// CountRequest counts a request of a tenant's.
func (g *Controller) CountRequest(tenant int) {
	if g.recentTotal++; tenant >= 0 && tenant < len(g.recent) {
		g.recent[tenant]++
	}
}

// Admit tells whether a request is passed on that has waited for so long to be read.
func (g *Controller) Admit(r *logic.Request, c *logic.Class, waited time.Duration) bool {
	switch {
	case !g.busy || waited <= g.waitLimit || r.Write || c.Effect != logic.Repeatable:
		return true
	case waited > 2*g.waitLimit || r.Class < len(g.lowWorth) && g.lowWorth[r.Class]:
		return false
	}
	return !g.overShare(r.Tenant)
}

// overShare tells whether a tenant asks for more than its share. Where there are no tenants, all is.
func (g *Controller) overShare(t int) bool {
	return t < 0 || t >= len(g.shares) || g.recent[t] > (1+shareTolerance)*g.shares[t]*g.recentTotal
}

// MaxPipeline is how many requests of a connection may be in hand, of so many connections and at the most: where the core is used
// up, all of them together as many as it answers in half of the wait that is allowed. More would stand in a line here instead.
func (g *Controller) MaxPipeline(conns, most int) int {
	if !g.busy || g.answerRate == 0 {
		return most
	}
	inHand := g.answerRate * g.waitLimit.Seconds() / 2
	return min(most, max(minPipeline, int(inHand)/max(1, conns)))
}

// Busy tells whether the core is used up.
func (g *Controller) Busy() bool { return g.busy }

// MinBatchBytes is how many bytes have to be read at once to be more than a request or two.
const MinBatchBytes = 512

// ReadQueue is what has come on one connection and was not worked on yet. How long that waits is measured: the bytes that stand
// unread at a moment have all been read some time later, and the last of them has waited for as long; and what was read
// together waits in its buffer for what stands in front of it.
type ReadQueue struct {
	unread       int // unread bytes that stood there then
	unreadSince  time.Duration
	lastWait     time.Duration // what was found last
	delayedBytes int           // as many bytes have waited for about that before they were read
	readAt       time.Duration // when what is worked on now was read; 0: it came by itself
}

// RecordRead takes in n bytes that were read; full tells that more is there, as far as is known. It tells whether it wants to be
// told how many bytes are unread now (Unread). It has to be told if n is at least MinBatchBytes, or Active.
func (l *ReadQueue) RecordRead(now time.Duration, n int, full bool) (ask bool) {
	if l.readAt = 0; n >= MinBatchBytes {
		l.readAt = now
	}
	l.delayedBytes = max(0, l.delayedBytes-n)
	if l.unread == 0 {
		l.lastWait = 0
		return full
	}
	if l.unread -= n; l.unread > 0 {
		return false
	}
	l.unread, l.lastWait = 0, now-l.unreadSince
	return true
}

// SetUnread takes in how many bytes stand unread.
func (l *ReadQueue) SetUnread(now time.Duration, n int) {
	l.unread, l.unreadSince, l.delayedBytes = n, now, n
}

// Active tells whether something is known to wait.
func (l *ReadQueue) Active() bool { return l.unread > 0 || l.delayedBytes > 0 || l.readAt > 0 }

// Waited is how long what is worked on now has waited, at the least; 0: it has only just come, as far as is known.
func (l *ReadQueue) Waited(now time.Duration) (waited time.Duration) {
	if l.readAt > 0 {
		waited = now - l.readAt
	}
	if l.delayedBytes > 0 {
		waited += l.lastWait
	}
	if l.unread > 0 { // it stood there then
		waited = max(waited, now-l.unreadSince)
	}
	return waited
}
