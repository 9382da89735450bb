package standin

import (
	"sync"
	"time"
)

// samplingInterval is how often SchedulingDelay takes a sample.
const samplingInterval = 5 * time.Millisecond

// SchedulingDelay measures how late goroutines are scheduled on a busy machine, so that a test's verdict
// does not depend on it.
type SchedulingDelay struct {
	quit     chan struct{}
	stop     sync.Once
	group    sync.WaitGroup
	maxDelay time.Duration
}

// MeasureSchedulingDelay starts a measurement.
func MeasureSchedulingDelay() *SchedulingDelay {
	delay := &SchedulingDelay{quit: make(chan struct{})}
	delay.group.Go(func() {
		for {
			sampledAt := time.Now()
			select {
			case <-delay.quit:
				return
			case <-time.After(samplingInterval):
			}
			delay.maxDelay = max(delay.maxDelay, time.Since(sampledAt)-samplingInterval)
		}
	})
	return delay
}

// Stop ends the measurement and returns the maximum delay. It may be called more than once.
func (l *SchedulingDelay) Stop() time.Duration {
	l.stop.Do(func() { close(l.quit) })
	l.group.Wait()
	return l.maxDelay
}
