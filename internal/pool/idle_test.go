package pool

import (
	"testing"
	"time"
)

func TestIdleLimitFollowsBrokenConnections(t *testing.T) {
	const most = 4 * time.Second
	for name, tc := range map[string]struct {
		// brokenFresh and brokenIdle are the shares of broken connections among those just used, and
		// among those idle for 200 ms.
		brokenFresh, brokenIdle float64
		samples                 float64 // of each kind
		minLimit, maxLimit      time.Duration
	}{
		"all hold":              {0, 0, 50, most, most},
		"all break alike":       {0.5, 0.5, 50, most, most},
		"a few of the old":      {0.05, 0.2, 50, most, most},
		"too few to tell":       {0, 1, 3, most, most},
		"most of the old break": {0.05, 0.5, 50, 100 * time.Millisecond, 200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			times := newIdleTimes(most)
			old := times.bucket(200 * time.Millisecond)
			times.reused[0], times.broken[0] = tc.samples, tc.brokenFresh*tc.samples
			times.reused[old], times.broken[old] = tc.samples, tc.brokenIdle*tc.samples
			times.updateLimit(most)
			if times.limit < tc.minLimit || times.limit > tc.maxLimit {
				t.Errorf("the limit is %v, want %v to %v", times.limit, tc.minLimit, tc.maxLimit)
			}
			for range 1000 {
				times.updateLimit(most)
			}
			if times.limit != most {
				t.Errorf("the limit is %v for good", times.limit)
			}
		})
	}
}
