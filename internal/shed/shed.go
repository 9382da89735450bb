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
	// afterShare is the part of the shortest aim that reads may wait unread before some are turned away; past twice that, all
	// are. It should leave time for the rest of an exchange, and would do harm were it shorter than a burst that the core is
	// through with in good time.
	afterShare = 4
	// busyAt is the share of the core that counts as all of it. Some is always lost to the kernel and to others.
	busyAt = 0.85
	// shareOf is over how long the tenants' shares are told: their counts are halved this often.
	shareOf = time.Second
	// leastPipeline is how many requests a connection may have in hand whatever comes.
	leastPipeline = 4
	// slack is what a tenant may ask beyond its share, as a part of that, before it counts as over it.
	slack = 0.1
)

// Gate decides for all connections of a front.
type Gate struct {
	after   time.Duration
	least   []bool // by class: its reads are worth less than others'
	shares  []float64
	came    []float64 // by tenant, lately
	total   float64
	halveAt time.Duration
	busy    bool
	usedAt  time.Duration
	rate    float64 // answers a second
}

// New makes a Gate for these classes and tenants.
func New(classes []logic.Class, tenants []logic.Tenant) *Gate {
	g := &Gate{came: make([]float64, len(tenants))}
	for _, t := range tenants {
		g.shares = append(g.shares, t.Share)
	}
	g.Retune(classes)
	return g
}

// Retune takes over other classes.
func (g *Gate) Retune(classes []logic.Class) {
	g.after, g.least = 0, make([]bool, len(classes))
	most := 0.0
	for _, c := range classes {
		if g.after == 0 || c.SoftDeadline/afterShare < g.after {
			g.after = c.SoftDeadline / afterShare
		}
		if c.Effect == logic.Repeatable {
			most = max(most, c.Value)
		}
	}
	for i, c := range classes {
		g.least[i] = c.Effect == logic.Repeatable && c.Value < most
	}
}

// Used tells how much of its core the proxy has used lately, from 0 to 1, and how many requests it has answered since it was
// last told. It is told often.
func (g *Gate) Used(now time.Duration, share float64, answered int) {
	g.busy = share >= busyAt
	if past := now - g.usedAt; past > 0 && g.usedAt > 0 {
		g.rate += (float64(answered)/past.Seconds() - g.rate) / 2
	}
	g.usedAt = now
	if now < g.halveAt {
		return
	}
	g.halveAt = now + shareOf
	g.total /= 2
	for i := range g.came {
		g.came[i] /= 2
	}
}

// Came counts a request of a tenant's.
func (g *Gate) Came(tenant int) {
	if g.total++; tenant >= 0 && tenant < len(g.came) {
		g.came[tenant]++
	}
}

// Admit tells whether a request is passed on that has waited for so long to be read.
func (g *Gate) Admit(r *logic.Request, c *logic.Class, waited time.Duration) bool {
	switch {
	case !g.busy || waited <= g.after || r.Write || c.Effect != logic.Repeatable:
		return true
	case waited > 2*g.after || r.Class < len(g.least) && g.least[r.Class]:
		return false
	}
	return !g.over(r.Tenant)
}

// over tells whether a tenant asks for more than its share. Where there are no tenants, all is.
func (g *Gate) over(t int) bool {
	return t < 0 || t >= len(g.shares) || g.came[t] > (1+slack)*g.shares[t]*g.total
}

// Pipeline is how many requests of a connection may be in hand, of so many connections and at the most: where the core is used
// up, all of them together as many as it answers in half of the wait that is allowed. More would stand in a line here instead.
func (g *Gate) Pipeline(conns, most int) int {
	if !g.busy || g.rate == 0 {
		return most
	}
	inHand := g.rate * g.after.Seconds() / 2
	return min(most, max(leastPipeline, int(inHand)/max(1, conns)))
}

// Busy tells whether the core is used up.
func (g *Gate) Busy() bool { return g.busy }

// LineLeast is how many bytes have to be read at once to be more than a request or two.
const LineLeast = 512

// Line is what has come on one connection and was not worked on yet. How long that waits is measured: the bytes that stand
// unread at a moment have all been read some time later, and the last of them has waited for as long; and what was read
// together waits in its buffer for what stands in front of it.
type Line struct {
	left   int // unread bytes that stood there then
	since  time.Duration
	waited time.Duration // what was found last
	shed   int           // as many bytes have waited for about that before they were read
	readAt time.Duration // when what is worked on now was read; 0: it came by itself
}

// Read takes in n bytes that were read; full tells that more is there, as far as is known. It tells whether it wants to be
// told how many bytes are unread now (Unread). It has to be told if n is at least LineLeast, or Active.
func (l *Line) Read(now time.Duration, n int, full bool) (ask bool) {
	if l.readAt = 0; n >= LineLeast {
		l.readAt = now
	}
	l.shed = max(0, l.shed-n)
	if l.left == 0 {
		l.waited = 0
		return full
	}
	if l.left -= n; l.left > 0 {
		return false
	}
	l.left, l.waited = 0, now-l.since
	return true
}

// Unread takes in how many bytes stand unread.
func (l *Line) Unread(now time.Duration, n int) {
	l.left, l.since, l.shed = n, now, n
}

// Active tells whether something is known to wait.
func (l *Line) Active() bool { return l.left > 0 || l.shed > 0 || l.readAt > 0 }

// Waited is how long what is worked on now has waited, at the least; 0: it has only just come, as far as is known.
func (l *Line) Waited(now time.Duration) (waited time.Duration) {
	if l.readAt > 0 {
		waited = now - l.readAt
	}
	if l.shed > 0 {
		waited += l.waited
	}
	if l.left > 0 { // it stood there then
		waited = max(waited, now-l.since)
	}
	return waited
}
