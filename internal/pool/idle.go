package pool

import "time"

const (
	// idleClasses are the spans of idle time that idleTimes tells apart: each is half as long again as the one
	// before, and the first, under firstIdleClass, holds the connections that count as just used.
	idleClasses    = 16
	firstIdleClass = 20 * time.Millisecond
	// idleDecay is what is left of the counts after a sweep: what holds now is told from the last ten seconds or
	// so, and a span that was found stale is tried again now and then.
	idleDecay = 0.98
	// minIdleSamples is how many requests tell enough of a span; minBrokenShare the share of them that may break, and
	// minBrokenRatio how many times the share at connections just used.
	minIdleSamples = 4
	minBrokenShare = 0.25
	minBrokenRatio = 2.5
)

// idleTimes learns how long a connection may stand idle and still carry a request. The settings tell when
// members close connections, but whatever stands between (an address translation that forgets, a member that
// was restarted or set up otherwise) may drop them long before and say so only when the next request comes.
// That request has then been spoilt for nothing, for good if it must not run twice. The counts are of all
// members together, as each alone sees too few. It could do harm where a single member breaks connections of
// one age only: the others then see more handshakes than they need.
type idleTimes struct {
	reused, broken [idleClasses]float64
	limit          time.Duration
}

func newIdleTimes(most time.Duration) idleTimes { return idleTimes{limit: most} }

// class is the span that an idle time falls in.
func (t *idleTimes) class(idle time.Duration) int {
	c := 0
	for end := firstIdleClass; idle >= end && c < idleClasses-1; end += end / 2 {
		c++
	}
	return c
}

// updateLimit forgets some of the past and works out the limit: where the first span begins in which connections
// break far more often than those just used, and most at the longest.
func (t *idleTimes) updateLimit(most time.Duration) {
	t.limit = most
	from := time.Duration(0)
	for c, end := 0, firstIdleClass; c < idleClasses; c, end = c+1, end+end/2 {
		share := t.broken[c] / max(1, t.reused[c])
		if c > 0 && t.reused[c] >= minIdleSamples && share > minBrokenShare && share > minBrokenRatio*t.broken[0]/max(1, t.reused[0]) {
			t.limit = min(t.limit, from)
			break
		}
		from = end
	}
	for c := range idleClasses {
		t.reused[c] *= idleDecay
		t.broken[c] *= idleDecay
	}
}
