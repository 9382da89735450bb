package standin

import (
	"sync"
	"time"
)

// samplingInterval is how often Lateness looks.
const samplingInterval = 5 * time.Millisecond

// SchedulingDelay measures by how much the goroutines of a test are late on a busy machine, so that its verdict does not hang on that.
type SchedulingDelay struct {
	quit     chan struct{}
	stop     sync.Once
	group    sync.WaitGroup
	maxDelay time.Duration
}

// MeasureSchedulingDelay begins to measure.
func MeasureSchedulingDelay() *SchedulingDelay {
	l := &SchedulingDelay{quit: make(chan struct{})}
	l.group.Go(func() {
		for {
			began := time.Now()
			select {
			case <-l.quit:
				return
			case <-time.After(samplingInterval):
			}
			l.maxDelay = max(l.maxDelay, time.Since(began)-samplingInterval)
		}
	})
	return l
}

// Stop tells how late they were at the most. It may be called again.
func (l *SchedulingDelay) Stop() time.Duration {
	l.stop.Do(func() { close(l.quit) })
	l.group.Wait()
	return l.maxDelay
}
