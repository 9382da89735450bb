package standin

import (
	"sync"
	"time"
)

// latenessStep is how often Lateness looks.
const latenessStep = 5 * time.Millisecond

// Lateness measures by how much the goroutines of a test are late on a busy machine, so that its verdict does not hang on that.
type Lateness struct {
	quit chan struct{}
	stop sync.Once
	g    sync.WaitGroup
	most time.Duration
}

// MeasureLateness begins to measure.
func MeasureLateness() *Lateness {
	l := &Lateness{quit: make(chan struct{})}
	l.g.Go(func() {
		for {
			began := time.Now()
			select {
			case <-l.quit:
				return
			case <-time.After(latenessStep):
			}
			l.most = max(l.most, time.Since(began)-latenessStep)
		}
	})
	return l
}

// Stop tells how late they were at the most. It may be called again.
func (l *Lateness) Stop() time.Duration {
	l.stop.Do(func() { close(l.quit) })
	l.g.Wait()
	return l.most
}
