package pool

// CloseReason is why a connection was closed.
type CloseReason uint8

// The reasons. The host sets those that end the reading of answers.
const (
	CloseOther       CloseReason = iota
	CloseByPeer                  // the member closed or reset it
	CloseIdle                    // it was unused for too long, or its descriptor was needed
	CloseSurplus                 // there were enough other connections
	CloseRetired                 // its member drains, moved, or the connection may be stale
	ClosePingTimeout             // a ping was not answered in time
	CloseAbandoned               // a request on it was given up
	CloseUnsolicited             // bytes arrived that no request asked for
	CloseBadAnswer               // an answer could not be read
	CloseUnwritten               // an answer arrived before its request was written
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{"other", "by_peer", "idle", "surplus", "retired", "ping_timeout", "abandoned", "unsolicited", "bad_answer", "unwritten"}

func (r CloseReason) String() string { return closeReasonNames[min(r, closeReasonCount-1)] }

// Counters counts connections since the start.
type Counters struct {
	Opened uint64
	Closed [closeReasonCount]uint64
}

// Counters returns the counts so far.
func (p *Pool[X]) Counters() Counters { return p.counters }

// ByReason returns the counts of closed connections by the name of their reason.
func (c Counters) ByReason() map[string]uint64 {
	closed := make(map[string]uint64, closeReasonCount)
	for reason, n := range c.Closed {
		closed[CloseReason(reason).String()] = n
	}
	return closed
}

// CloseFor closes a connection for a reason, unless it is closed already.
func (p *Pool[X]) CloseFor(c *Conn[X], reason CloseReason) {
	if !c.Closed {
		c.closeReason = reason
		p.Close(c)
	}
}
