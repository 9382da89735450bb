package pool

import "time"

const (
	// holdDecrease is what a new connection that was turned away takes of the hold time, and holdIncrease what one that came to carry an
	// answer adds, as shares. Where places are scarce they balance at one new connection in eight turned away: fewer would cost
	// more handshakes than the tries are worth (docs/fleet.md). It could do harm where connections are turned away for other
	// reasons than too many: they are opened more often there than they need be.
	holdDecrease = 0.2
	holdIncrease = 0.03
	// minHoldTime is a hold time so short that a connection is closed with its answer.
	minHoldTime = 40 * time.Millisecond
)

// lastByteDelay learns for how long a connection is held with nothing out. A cache takes so many connections from all proxies
// together, and how many is told nowhere. Where proxies are more than that, each that holds one idle keeps others from it:
// 300 proxies that each ask a cache every ten seconds, and hold on for four, want 120 connections at a time to carry
// requests that need five. It is the one time for all of a proxy's caches, as a proxy sees too little of each: those that
// are asked often then keep their connections, and those asked seldom give them back, so that what is held is what is used most.
// Proxies that see the same caches come to much the same time without hearing of one another.
type holdTime struct {
	limit, current time.Duration
}

func newHoldTime(most time.Duration) holdTime { return holdTime{most, most} }

// recordRefusal takes in that a cache took no further connection.
func (h *holdTime) recordRefusal() {
	h.current = max(minHoldTime/2, h.current-time.Duration(holdDecrease*float64(h.current)))
}

// recordAnswer takes in that a new connection has carried its first answer.
func (h *holdTime) recordAnswer() {
	h.current = min(h.limit, h.current+time.Duration(holdIncrease*float64(h.current)))
}
