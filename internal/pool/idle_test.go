package pool

import (
	"testing"
	"time"
)

func TestIdleLimitFollowsBrokenConnections(t *testing.T) {
	const most = 4 * time.Second
	for name, c := range map[string]struct {
		young, old  float64 // share that breaks at connections just used, and at those idle for 200 ms
		tries       float64 // of each
		least, past time.Duration
	}{
		"all hold":              {0, 0, 50, most, most},
		"all break alike":       {0.5, 0.5, 50, most, most},
		"a few of the old":      {0.05, 0.2, 50, most, most},
		"too few to tell":       {0, 1, 3, most, most},
		"most of the old break": {0.05, 0.5, 50, 100 * time.Millisecond, 200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			i := newIdleTimes(most)
			old := i.class(200 * time.Millisecond)
			i.reused[0], i.broken[0] = c.tries, c.young*c.tries
			i.reused[old], i.broken[old] = c.tries, c.old*c.tries
			i.updateLimit(most)
			if i.limit < c.least || i.limit > c.past {
				t.Errorf("the limit is %v, want %v to %v", i.limit, c.least, c.past)
			}
			for range 1000 {
				i.updateLimit(most)
			}
			if i.limit != most {
				t.Errorf("the limit is %v for good", i.limit)
			}
		})
	}
}
