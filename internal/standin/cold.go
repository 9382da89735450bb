package standin

import "time"

// ColdStart makes a cache start cold: its capacity grows from a share to the whole, and the cache fails
// for good when it receives more than a multiple of its current capacity for some time.
type ColdStart struct {
	StartedAt        time.Time
	InitialShare     float64       // share of its capacity at the start
	Duration         time.Duration // until it is warm
	WarmRate         float64       // requests per second that it can serve once warm
	OverloadMultiple float64       // the cache fails beyond this multiple of its capacity
	OverloadWindow   time.Duration // the time over which requests are counted
	Now              func() time.Time
}

// coldStartState is the state of a cold start in progress.
type coldStartState struct {
	ColdStart
	recent     []time.Time // requests of the last OverloadWindow
	overloaded bool
}

// SetColdStart makes the cache start cold from now on.
func (c *Cache) SetColdStart(config ColdStart) {
	if config.Now == nil {
		config.Now = time.Now
	}
	c.mu.Lock()
	c.coldStart = &coldStartState{ColdStart: config}
	c.mu.Unlock()
}

// Overloaded reports whether the cache has failed from overload.
func (c *Cache) Overloaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.coldStart != nil && c.coldStart.overloaded
}

// capacityShare returns the share of its capacity that the cache has at a time.
func (c *coldStartState) capacityShare(at time.Time) float64 {
	age := min(1, max(0, at.Sub(c.StartedAt).Seconds()/c.Duration.Seconds()))
	return c.InitialShare + (1-c.InitialShare)*age
}

// admit counts a request and returns false once the cache has failed from overload. The capacity in the
// window is that at its middle, since it grows linearly; one request is allowed as slack for where the
// window begins.
func (c *coldStartState) admit() bool {
	now := c.Now()
	c.recent = append(c.recent, now)
	for len(c.recent) > 0 && now.Sub(c.recent[0]) >= c.OverloadWindow {
		c.recent = c.recent[1:]
	}
	capacity := c.WarmRate * c.capacityShare(now.Add(-c.OverloadWindow/2)) * c.OverloadWindow.Seconds()
	if now.Sub(c.StartedAt) < c.Duration && float64(len(c.recent)) > 1+c.OverloadMultiple*capacity {
		c.overloaded = true
	}
	return !c.overloaded
}
