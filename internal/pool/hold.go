package pool

import "time"

const (
	// holdDecrease is the fraction by which a refused new connection shortens the hold time, and
	// holdIncrease the fraction by which a new connection that carries an answer extends it. Where
	// capacity is scarce they balance at one new connection in eight refused: a lower rate would cost
	// more handshakes than the avoided attempts are worth (docs/fleet.md). It can do harm where
	// connections are refused for other reasons than their number: they are then reopened more often than
	// necessary.
	holdDecrease = 0.2
	holdIncrease = 0.03
	// minHoldTime is the hold time below which a connection is closed right after its answer.
	minHoldTime = 40 * time.Millisecond
)

// holdTime adapts how long a connection without requests is held open. A cache accepts a limited number
// of connections from all proxies together, and the limit is not announced. Where proxies outnumber that
// limit, each idle connection keeps other proxies out: 300 proxies that each send a cache a request every
// ten seconds, and hold the connection for four, want 120 connections at a time to carry requests that
// need five. There is one hold time for all caches of a proxy, as a proxy sees too few events of each:
// caches that are used often keep their connections and those used rarely lose them, so the connections
// that are held are the ones used most. Proxies that use the same caches converge to similar hold times
// without communicating.
type holdTime struct {
	limit, current time.Duration
}

func newHoldTime(most time.Duration) holdTime { return holdTime{most, most} }

// recordRefusal shortens the hold time after a cache has refused a new connection.
func (h *holdTime) recordRefusal() {
	h.current = max(minHoldTime/2, h.current-time.Duration(holdDecrease*float64(h.current)))
}

// recordAnswer extends the hold time after a new connection has carried its first answer.
func (h *holdTime) recordAnswer() {
	h.current = min(h.limit, h.current+time.Duration(holdIncrease*float64(h.current)))
}
