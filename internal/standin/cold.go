package standin

import "time"

// ColdStart makes a box start cold: it can do only a part of its work at first, more by and by, and falls over for good when
// it is sent more than a multiple of what it can for some time.
type ColdStart struct {
	StartedAt        time.Time
	InitialShare     float64       // share of its capacity at the start
	Duration         time.Duration // until it is warm
	WarmRate         float64       // requests a second that it can do when it is warm
	OverloadMultiple float64       // sent more than this multiple of what it can
	OverloadWindow   time.Duration // within this, it falls over
	Now              func() time.Time
}

// coldStartState is a Cold at work.
type coldStartState struct {
	ColdStart
	recent     []time.Time // lately
	overloaded bool
}

// SetColdStart makes the box start cold from now on.
func (b *Cache) SetColdStart(c ColdStart) {
	if c.Now == nil {
		c.Now = time.Now
	}
	b.mu.Lock()
	b.coldStart = &coldStartState{ColdStart: c}
	b.mu.Unlock()
}

// Overloaded tells whether the box has been pushed over.
func (b *Cache) Overloaded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.coldStart != nil && b.coldStart.overloaded
}

// capacityShare is the share of its capacity that the box has.
func (c *coldStartState) capacityShare(at time.Time) float64 {
	age := min(1, max(0, at.Sub(c.StartedAt).Seconds()/c.Duration.Seconds()))
	return c.InitialShare + (1-c.InitialShare)*age
}

// admit takes a request in; false, if the box lies on the ground. Capacity in the window is that of its middle, since it
// grows evenly; one request is slack for where the window begins.
func (c *coldStartState) admit() bool {
	now := c.Now()
	c.recent = append(c.recent, now)
	for len(c.recent) > 0 && now.Sub(c.recent[0]) >= c.OverloadWindow {
		c.recent = c.recent[1:]
	}
	able := c.WarmRate * c.capacityShare(now.Add(-c.OverloadWindow/2)) * c.OverloadWindow.Seconds()
	if now.Sub(c.StartedAt) < c.Duration && float64(len(c.recent)) > 1+c.OverloadMultiple*able {
		c.overloaded = true
	}
	return !c.overloaded
}
