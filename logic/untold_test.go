package logic

import (
	"testing"
	"time"
)

// A cache that had hits and then only misses counts as restarted once the misses reach emptyCacheMisses,
// and not before. A cache that never had hits is just empty.
func TestCacheThatLostItsData(t *testing.T) {
	for name, c := range map[string]struct {
		hits, misses int
		cold         bool
	}{
		"hits, then nothing":        {emptyCacheMisses, emptyCacheMisses, true},
		"one miss short":            {emptyCacheMisses, emptyCacheMisses - 1, false},
		"never held anything":       {0, 4 * emptyCacheMisses, false},
		"known by too few hits yet": {emptyCacheMisses - 1, emptyCacheMisses, false},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.Mode, settings.OriginKind, settings.SlowStartCapacity, settings.SlowStartDuration = CacheAside, 9, 0.3, 10*time.Second
			host := newHost(t, settings, 1)
			host.setMembers(ListFull, cacheMembers(1)...)
			member := host.balancer.caches[0]
			for i := range c.hits + c.misses {
				o := Outcome{Status: StatusMiss, Elapsed: ms}
				if i < c.hits {
					o.Status = StatusOK
				}
				host.balancer.recordOutcome(member, o, false)
			}
			if got := host.balancer.warmth(member); (got < 1) != c.cold {
				t.Errorf("it counts as %.2f warm", got)
			}
			host.balancer.advance(host.balancer.now + settings.SlowStartDuration)
			if got := host.balancer.warmth(member); got != 1 {
				t.Errorf("when it is warm, it counts as %.2f", got)
			}
		})
	}
}
