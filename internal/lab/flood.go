package lab

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Flood is an open loop: reads come at a rate, whatever becomes of those before them, over connections that carry as many as
// it takes. A read counts from when it was due to be sent, not from when the connection took it, so that what waits in front
// of a proxy that is slow to read counts too.
type Flood struct {
	Addr     string
	Tenant   string
	Conns    int
	Rate     float64       // reads a second, over all connections; they come at random (Poisson)
	Patience time.Duration // a read that is not sent by then is not sent any more, and a served one counts as in time
	Again    bool          // a read that is refused comes again at once, in place of what is due next
	Keys     int
	Seed     uint64
}

// Flooded is what became of a Flood's reads.
type Flooded struct {
	Due, Gone, Refused, InTime, Late int64
	Took                             time.Duration
	latency                          *hdrhistogram.Histogram // of those served, in microseconds
}

// Goodput is the reads served in time a second.
func (f *Flooded) Goodput() float64 { return float64(f.InTime) / f.Took.Seconds() }

// Quantile is the latency under which that share of the served reads came.
func (f *Flooded) Quantile(q float64) time.Duration {
	return time.Duration(f.latency.ValueAtQuantile(100*q)) * time.Microsecond
}

func newFlooded() *Flooded {
	return &Flooded{latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2)}
}

// mostUnanswered is how many reads a connection may have out before nothing more is sent on it: with a proxy that answers
// nothing, the record of what is out would else grow without bound. What is due meanwhile waits, and counts from when it was.
const mostUnanswered = 1 << 16

// floodConn is one connection of a Flood.
type floodConn struct {
	f    *Flood
	conn net.Conn
	mu   sync.Mutex
	out  []floodRead // sent and not answered, the oldest first
	back int         // refused, to come again
	end  *Flooded
}

type floodRead struct {
	due time.Time
	key int
}

// Run floods for a while, then waits for what is still out.
func (f *Flood) Run(d time.Duration) (*Flooded, error) {
	total := newFlooded()
	errs := make(chan error, 2*f.Conns)
	var g sync.WaitGroup
	var mu sync.Mutex
	begun := time.Now()
	for i := range f.Conns {
		conn, err := net.Dial("tcp", f.Addr)
		if err != nil {
			return nil, err
		}
		c := &floodConn{f: f, conn: conn, end: newFlooded()}
		rng := rand.New(rand.NewPCG(f.Seed, uint64(i)))
		sent := make(chan struct{})
		g.Go(func() {
			defer close(sent)
			if err := c.send(rng, begun, d); err != nil {
				errs <- err
			}
		})
		g.Go(func() {
			if err := c.receive(sent); err != nil {
				errs <- err
			}
			conn.Close()
			mu.Lock()
			defer mu.Unlock()
			e := c.end
			total.Due, total.Gone, total.Refused = total.Due+e.Due, total.Gone+e.Gone, total.Refused+e.Refused
			total.InTime, total.Late = total.InTime+e.InTime, total.Late+e.Late
			total.latency.Merge(e.latency)
		})
	}
	g.Wait()
	total.Took = d
	select {
	case err := <-errs:
		return nil, err
	default:
		return total, nil
	}
}

func (c *floodConn) send(rng *rand.Rand, begun time.Time, d time.Duration) error {
	rate := c.f.Rate / float64(c.f.Conns)
	gap := func() time.Duration { return time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) }
	due := begun.Add(gap())
	attrs := "c=tile-read,d=" + strconv.FormatInt(c.f.Patience.Milliseconds(), 10)
	if c.f.Tenant != "" {
		attrs += ",t=" + c.f.Tenant
	}
	var b []byte
	for {
		now := time.Now()
		if now.Sub(begun) >= d {
			return nil
		}
		b = b[:0]
		c.mu.Lock()
		for !due.After(now) && len(b) < 32<<10 && len(c.out) < mostUnanswered {
			at := due
			if c.back > 0 {
				c.back--
				at = now
			} else {
				due = due.Add(gap())
			}
			c.end.Due++
			if now.Sub(at) > c.f.Patience {
				c.end.Gone++
				continue
			}
			r := floodRead{at, rng.IntN(c.f.Keys)}
			c.out = append(c.out, r)
			b = appendRead(b, r.key, attrs)
		}
		c.mu.Unlock()
		if len(b) > 0 {
			c.conn.SetWriteDeadline(time.Now().Add(patience))
			if _, err := c.conn.Write(b); err != nil {
				return fmt.Errorf("lab: send: %w", err)
			}
		}
		if wait := time.Until(due); wait > 0 {
			time.Sleep(max(wait, time.Millisecond)) // what falls due together is sent together, as by a client that is busy
		} else if len(b) == 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// receive takes answers until all that was sent has one.
func (c *floodConn) receive(sent <-chan struct{}) error {
	in := bufio.NewReaderSize(c.conn, 32<<10)
	done := false
	var want []byte
	for {
		c.mu.Lock()
		left := len(c.out)
		var r floodRead
		if left > 0 {
			r = c.out[0]
		}
		c.mu.Unlock()
		if left == 0 {
			if done {
				return nil
			}
			select {
			case <-sent:
				done = true
			case <-time.After(time.Millisecond):
			}
			continue
		}
		c.conn.SetReadDeadline(time.Now().Add(patience))
		want = appendStart(want[:0], r.key)
		err := takeTile(in, want)
		took := time.Since(r.due)
		if err != nil && err != errRefused {
			return fmt.Errorf("with %d reads out: %w", left, err)
		}
		c.mu.Lock()
		c.out = c.out[1:]
		if err == errRefused && c.f.Again && took < c.f.Patience {
			c.back++
		}
		c.mu.Unlock()
		switch {
		case err == errRefused:
			c.end.Refused++
			continue
		case took <= c.f.Patience:
			c.end.InTime++
		default:
			c.end.Late++
		}
		c.end.latency.RecordValue(max(1, took.Microseconds()))
	}
}
