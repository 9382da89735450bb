package upstream

import (
	"fmt"
	"strconv"
	"syscall"
	"time"

	"linenloom/internal/resp"
)

// ConnTrace describes the connection that an exchange used, for logs.
type ConnTrace struct {
	Connection  uint64        // number of the connection
	Requests    int           // requests that it has been given, this one included
	RestedFor   time.Duration // how long it was unused before
	FirstByteAt time.Duration // when the first byte of its latest answer arrived; 0: none has
}

// Trace returns the connection's state while the exchange is the current one on it; ok is false if it has
// no connection.
func (x *Exchange) Trace() (trace ConnTrace, ok bool) {
	c := x.conn
	if c == nil {
		return trace, false
	}
	return ConnTrace{Connection: c.number, Requests: c.RequestCount(), RestedFor: c.RestedFor(), FirstByteAt: c.firstByteAt}, true
}

// Stray describes bytes that arrived although no request asked for them.
type Stray struct {
	Connection uint64
	Requests   int           // requests that the connection has carried
	Late       time.Duration // how long after the latest answer they were found
	StartsWith string        // the first of them, quoted
}

// maxStrayText bounds the bytes of a stray that are reported.
const maxStrayText = 24

// Strays returns how many times bytes arrived that no request asked for.
func (s *Set) Strays() uint64 { return s.strays }

func (s *Set) reportStray(m *Member, stray Stray) {
	s.strays++
	s.host.ReportStray(m, stray)
}

// reportUnattributed reports an answer in place of a fence's. It may be a member's refusal of fences.
func (c *Conn) reportUnattributed(h resp.Head) {
	c.set.host.Do(func() {
		if h.Kind == '-' {
			c.set.RecordFence(c.Member, false)
		}
		text := fmt.Sprintf("%c%s", h.Kind, h.Text[:min(len(h.Text), maxStrayText)])
		c.set.reportStray(c.Member, Stray{Connection: c.number, Requests: c.RequestCount(), StartsWith: strconv.Quote(text)})
	})
}

// reportStray reports the bytes that have arrived while nothing was in flight.
func (c *Conn) reportStray() {
	text := make([]byte, maxStrayText)
	n := 0
	err := c.sender.Raw().Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), text, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		n = 0
	}
	c.set.reportStray(c.Member, Stray{Connection: c.number, Requests: c.RequestCount(),
		Late: c.set.host.Clock() - c.UnusedSince(), StartsWith: strconv.Quote(string(text[:max(0, n)]))})
}
