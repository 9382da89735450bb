package discovery

import (
	"math/rand/v2"
	"time"
)

// Backoff decides how long a proxy waits before it asks discovery. It is free of I/O and clock.
//
// Where discovery is asked, it is one service for all proxies. It works through calls in turn, and what it has taken in it works
// off, though the caller has long been told that it waited too long. What breaks one proxy's watch, or starts one, most often
// does so to many. If they all ask at once, and soon again when they are turned away, the calls that still count stand behind
// those that don't, and nobody is answered for as long as that goes on. So each call is put off by a part of a spread, the first
// too: by the proxy's own place among all, or, after a call in vain, at random. The spread grows with the number of proxies, and
// never keeps one from asking as often as it must. It could do harm where a proxy is alone in having lost its watch: it is without
// news for that much longer.
//
// Where lists are pushed, discovery is an agent of this proxy's own, which no other asks: there the spread is short.
type Backoff struct {
	startSpread, reconnectSpread, retrySpread, maxSpread time.Duration
	lastSpread                                           time.Duration // of the latest wait
	lastFailed                                           bool          // the latest call was
	agent                                                bool          // what is asked is one of this proxy's own
	position, positionStep                               float64       // this proxy's place among all, and how far they lie apart, of 1
	rand                                                 *rand.Rand
}

const (
	// spreadPerProxy is what each proxy adds to the spread: a call takes discovery so long at the most.
	spreadPerProxy = 100 * time.Millisecond
	// The most that a spread may be of the time in which a proxy must ask. A process that was killed may have been about to ask,
	// and the one that takes its place doesn't know: what it takes to find out that a watch is silent, the wait after that, the
	// time until the next process is there and its own wait go into that time together. A call in vain before that can still make
	// it late, and after a second one only its own calls count (maxShare): where all ask more often than this, a service that
	// has fallen behind stays so (docs/fleet.md has the tries).
	startShare, reconnectShare, retryShare, maxShare = 0.35, 0.15, 0.33, 0.7
	// minRetryPart is the part of its spread that surely passes after a call in vain: until what was in front of it is done.
	minRetryPart = 0.7
	// maxReconnectSpread bounds the wait after a watch that broke, whatever the spread: what it takes to see that one is silent, this, and the 2 s
	// that the call may take in its turn must be over before what was missed counts as told, after 6 s.
	maxReconnectSpread = 1400 * time.Millisecond

	// What an agent has counts as told whether or not a watch is open, so none may be missing for longer than a drain may go unheeded.
	agentReconnectSpread = 50 * time.Millisecond
	agentRetrySpread     = 150 * time.Millisecond
	minRetrySpread       = time.Second // of a discovery that is asked
)

// NewBackoff is the pace of the proxy with this number (self) of so many that have to ask at least every mustAsk (0: not said). Asked:
// discovery is one service for all of them.
func NewBackoff(asked bool, self, instances int, mustAsk time.Duration, seed uint64) *Backoff {
	p := &Backoff{agent: !asked, reconnectSpread: agentReconnectSpread, retrySpread: agentRetrySpread, maxSpread: agentRetrySpread, rand: rand.New(rand.NewPCG(seed, 0xd15c))}
	instances = max(1, instances)
	p.position, p.positionStep = float64((self%instances+instances)%instances)/float64(instances), 1/float64(instances)
	if asked {
		all := time.Duration(instances) * spreadPerProxy
		p.startSpread, p.reconnectSpread, p.retrySpread, p.maxSpread = all, all, 2*all, 4*all
		if mustAsk > 0 {
			p.startSpread = min(all, fraction(mustAsk, startShare))
			p.reconnectSpread = min(all, fraction(mustAsk, reconnectShare))
			p.retrySpread, p.maxSpread = min(2*all, fraction(mustAsk, retryShare)), min(4*all, fraction(mustAsk, maxShare))
		}
		p.reconnectSpread, p.retrySpread, p.maxSpread = max(agentReconnectSpread, min(maxReconnectSpread, p.reconnectSpread)), max(minRetrySpread, p.retrySpread), max(minRetrySpread, p.maxSpread)
	}
	return p
}

// StartDelay tells how long to wait before the first call. Each proxy has a place of its own in the spread, the same after each start: a
// process that takes another's place asks as long after its start as that one did, so that their calls lie no further apart than
// their starts. Drawn anew, an early call could be followed by a late one.
func (p *Backoff) StartDelay() time.Duration {
	return fraction(p.startSpread, p.position+p.positionStep*p.rand.Float64())
}

// ReconnectDelay tells how long to wait after a watch that had brought something has broken. Who begins late asks again early: what both
// waits take together then varies little.
func (p *Backoff) ReconnectDelay() time.Duration {
	p.lastSpread, p.lastFailed = p.reconnectSpread, false
	return fraction(p.lastSpread, 1-p.position-p.positionStep*p.rand.Float64())
}

// RetryDelay tells how long to wait after a call that has brought nothing.
func (p *Backoff) RetryDelay() time.Duration {
	if p.lastSpread = min(max(p.reconnectSpread, 2*p.lastSpread), p.retrySpread); p.lastFailed {
		p.lastSpread = p.maxSpread
	}
	p.lastFailed = true
	return fraction(p.lastSpread, minRetryPart+(1-minRetryPart)*p.rand.Float64())
}

func fraction(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }
