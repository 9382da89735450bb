package pool

import "time"

const (
	// idleBuckets is the number of buckets of idle times: each is half as long again as the one before, and
	// the first, below firstIdleBucketEnd, holds the connections that count as just used.
	idleBuckets        = 16
	firstIdleBucketEnd = 20 * time.Millisecond
	// idleDecay is the factor applied to the counts at each update: they then cover about the last ten
	// seconds, and a bucket whose connections were found stale is tried again now and then.
	idleDecay = 0.98
	// minIdleSamples is how many requests a bucket needs to be judged; minBrokenShare is the share of them
	// that must break, and minBrokenRatio the factor by which that share must exceed the one of
	// connections just used.
	minIdleSamples = 4
	minBrokenShare = 0.25
	minBrokenRatio = 2.5
)

// idleTimes learns how long a connection may be idle and still carry a request. The settings say when
// members close connections, but anything on the path (a NAT that drops its state, a member that was
// restarted or configured differently) may drop them much earlier, which shows only when the next request
// arrives. That request then fails needlessly, and finally if it must not run twice. The counts cover all
// members together, as each member alone gives too few. It can do harm where a single member breaks
// connections of one age only: the other members then see more handshakes than necessary.
type idleTimes struct {
	reused, broken [idleBuckets]float64
	limit          time.Duration
}

func newIdleTimes(maxLimit time.Duration) idleTimes { return idleTimes{limit: maxLimit} }

// bucket returns the index of the bucket of an idle time.
func (t *idleTimes) bucket(idle time.Duration) int {
	c := 0
	for end := firstIdleBucketEnd; idle >= end && c < idleBuckets-1; end += end / 2 {
		c++
	}
	return c
}

// updateLimit recomputes the limit and decays the counts. The limit is where the first bucket begins whose
// connections break far more often than those just used, and at most the given one.
func (t *idleTimes) updateLimit(maxLimit time.Duration) {
	t.limit = maxLimit
	from := time.Duration(0)
	for c, end := 0, firstIdleBucketEnd; c < idleBuckets; c, end = c+1, end+end/2 {
		share := t.broken[c] / max(1, t.reused[c])
		if c > 0 && t.reused[c] >= minIdleSamples && share > minBrokenShare &&
			share > minBrokenRatio*t.broken[0]/max(1, t.reused[0]) {
			t.limit = min(t.limit, from)
			break
		}
		from = end
	}
	for c := range idleBuckets {
		t.reused[c] *= idleDecay
		t.broken[c] *= idleDecay
	}
}
