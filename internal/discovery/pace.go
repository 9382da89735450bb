package discovery

import (
	"math/rand/v2"
	"time"
)

// Backoff decides how long a proxy waits before each call to discovery. It uses no I/O and no clock.
//
// If discovery is polled, one service serves all proxies. It processes calls in turn and also completes
// those whose callers have timed out long ago. A fault that breaks or starts one proxy's watch usually
// does so for many. If all of them call at once, and retry soon after a rejection, valid calls queue
// behind abandoned ones, and no proxy gets a response for as long as that goes on. Each call, the first
// included, is therefore delayed by a part of a spread: by the proxy's own position among all proxies,
// or, after a failed call, at random. The spread grows with the number of proxies, but never keeps a
// proxy from calling as often as it must. The cost is for a proxy that alone has lost its watch: it goes
// without updates for the time of the delay.
//
// If lists are pushed, discovery is an agent that serves this proxy only, and the spread is short.
type Backoff struct {
	startSpread, reconnectSpread, retrySpread, maxSpread time.Duration
	lastSpread                                           time.Duration // spread of the latest delay
	lastFailed                                           bool          // the latest call failed
	agent                                                bool          // discovery is an agent of this proxy only
	position, positionStep                               float64       // position among all proxies, 0 to 1; step
	rand                                                 *rand.Rand
}

const (
	// spreadPerProxy is what each proxy adds to the spread: the longest time that discovery takes for a
	// call.
	spreadPerProxy = 100 * time.Millisecond
	// Upper bounds of the spreads, as shares of the interval within which a proxy must call. A process
	// that was killed may have been about to call, and its successor does not know that. The time to
	// detect a silent watch, the delay after that, the time until the next process runs and its own start
	// delay must fit into the interval together. A failed call before that can still make the proxy late.
	// After a second failure only its own calls count (maxShare): if all proxies call more often than
	// this, a service that has fallen behind does not recover (docs/fleet.md has the measurements).
	startShare, reconnectShare, retryShare, maxShare = 0.35, 0.15, 0.33, 0.7
	// minRetryPart is the part of the spread that always passes after a failed call, so that the calls
	// queued before it are done.
	minRetryPart = 0.7
	// maxReconnectSpread bounds the delay after a broken watch, whatever the spread: the time to detect a
	// silent watch, this delay and the 2 s that the next call may take must be over within 6 s, when
	// missed changes count as announced.
	maxReconnectSpread = 1400 * time.Millisecond

	// Changes that an agent holds count as announced whether or not a watch is open, so a watch must
	// never be missing for longer than a drain may go unnoticed.
	agentReconnectSpread = 50 * time.Millisecond
	agentRetrySpread     = 150 * time.Millisecond
	minRetrySpread       = time.Second // of a discovery service that is polled
)

// NewBackoff returns the delays of proxy number self of instances proxies, each of which has to call at
// least every maxInterval (0: not specified). polled is true if discovery is one service that all of them
// poll.
func NewBackoff(polled bool, self, instances int, maxInterval time.Duration, seed uint64) *Backoff {
	backoff := &Backoff{agent: !polled, reconnectSpread: agentReconnectSpread, retrySpread: agentRetrySpread,
		maxSpread: agentRetrySpread, rand: rand.New(rand.NewPCG(seed, 0xd15c))}
	instances = max(1, instances)
	backoff.position, backoff.positionStep = float64((self%instances+instances)%instances)/float64(instances),
		1/float64(instances)
	if polled {
		all := time.Duration(instances) * spreadPerProxy
		backoff.startSpread, backoff.reconnectSpread, backoff.retrySpread, backoff.maxSpread = all, all, 2*all, 4*all
		if maxInterval > 0 {
			backoff.startSpread = min(all, fraction(maxInterval, startShare))
			backoff.reconnectSpread = min(all, fraction(maxInterval, reconnectShare))
			backoff.retrySpread, backoff.maxSpread = min(2*all, fraction(maxInterval, retryShare)),
				min(4*all, fraction(maxInterval, maxShare))
		}
		backoff.reconnectSpread, backoff.retrySpread, backoff.maxSpread = max(agentReconnectSpread,
			min(maxReconnectSpread, backoff.reconnectSpread)), max(minRetrySpread, backoff.retrySpread), max(minRetrySpread, backoff.maxSpread)
	}
	return backoff
}

// StartDelay returns the delay before the first call. Each proxy has its own position in the spread, the
// same after each start: a successor process calls as long after its start as its predecessor did, so
// that their calls are no further apart than their starts. With random delays, an early call could be
// followed by a late one.
func (b *Backoff) StartDelay() time.Duration {
	return fraction(b.startSpread, b.position+b.positionStep*b.rand.Float64())
}

// ReconnectDelay returns the delay after a watch that had delivered data has broken. A proxy with a long
// start delay has a short reconnect delay, so the sum of both varies little.
func (b *Backoff) ReconnectDelay() time.Duration {
	b.lastSpread, b.lastFailed = b.reconnectSpread, false
	return fraction(b.lastSpread, 1-b.position-b.positionStep*b.rand.Float64())
}

// RetryDelay returns the delay after a call that has delivered nothing.
func (b *Backoff) RetryDelay() time.Duration {
	if b.lastSpread = min(max(b.reconnectSpread, 2*b.lastSpread), b.retrySpread); b.lastFailed {
		b.lastSpread = b.maxSpread
	}
	b.lastFailed = true
	return fraction(b.lastSpread, minRetryPart+(1-minRetryPart)*b.rand.Float64())
}

func fraction(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }
