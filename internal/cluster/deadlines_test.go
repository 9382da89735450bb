package cluster

import (
	"math/rand/v2"
	"testing"
	"time"

	"linenloom/internal/standin"
)

// maxPause bounds how long a process is paused.
const maxPause = 150 * time.Millisecond

// Several proxies are paused now and then, and some hand over to successor processes, while caches stay
// silent, refuse requests or miss: no member receives a longer deadline than its client has left, at the
// first attempt or a further one.
func TestNoDeadlineExceedsTheTimeLeft(t *testing.T) {
	t.Parallel()
	deadlines := &standin.DeadlineChecker{}
	h := newHarness(t, Options{Deadlines: deadlines})
	delay := standin.MeasureSchedulingDelay()
	h.setFault(standin.Stall, "a")
	h.setFault(standin.Busy, "b")
	for _, cache := range h.Fleet.CachesIn("c") {
		cache.Clear()
	}
	random := rand.New(rand.NewPCG(54, 0))
	for turn, end := 0, time.Now().Add(6*time.Second); time.Now().Before(end); turn++ {
		p := h.Proxies[random.IntN(len(h.Proxies))]
		if turn%10 == 5 {
			if err := p.Upgrade(); err != nil {
				t.Fatal(err)
			}
		}
		p.Pause()
		h.letRun(time.Duration(1 + random.Int64N(int64(maxPause))))
		p.Continue()
		h.letRun(time.Duration(random.Int64N(int64(maxPause))))
	}
	h.setFault(standin.Healthy, zoneNames...)
	h.Stop()
	deadlines.Slack = standin.DeadlineSlack + 2*delay.Stop()
	first, further := deadlines.Attempts()
	if first == 0 || further == 0 {
		t.Errorf("%d first attempts and %d further ones", first, further)
	}
	violations := deadlines.Violations()
	for i, v := range violations {
		if i == 20 {
			break
		}
		t.Error(v)
	}
	t.Logf("%d first attempts, %d further ones, %d told of too much; slack %v", first, further, len(violations), deadlines.Slack)
}
