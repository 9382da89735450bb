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

// OpenLoop is an open loop: reads come at a rate, whatever becomes of those before them, over connections that carry as many as
// it takes. A read counts from when it was due to be sent, not from when the connection took it, so that what waits in front
// of a proxy that is slow to read counts too.
type OpenLoop struct {
	Addr         string
	Tenant       string
	Connections  int
	Rate         float64       // reads a second, over all connections; they come at random (Poisson)
	Deadline     time.Duration // a read that is not sent by then is not sent any more, and a served one counts as in time
	RetryRefused bool          // a read that is refused comes again at once, in place of what is due next
	Keys         int
	Seed         uint64
}

// OpenLoopResult is what became of a Flood's reads.
type OpenLoopResult struct {
	Offered, Unsent, Refused, InTime, Late int64
	Duration                               time.Duration
	latency                                *hdrhistogram.Histogram // of those served, in microseconds
}

// Goodput is the reads served in time a second.
func (f *OpenLoopResult) Goodput() float64 { return float64(f.InTime) / f.Duration.Seconds() }

// Quantile is the latency under which that share of the served reads came.
func (f *OpenLoopResult) Quantile(q float64) time.Duration {
	return time.Duration(f.latency.ValueAtQuantile(100*q)) * time.Microsecond
}

func newOpenLoopResult() *OpenLoopResult {
	return &OpenLoopResult{latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2)}
}

// maxOutstandingReads is how many reads a connection may have out before nothing more is sent on it: with a proxy that answers
// nothing, the record of what is out would else grow without bound. What is due meanwhile waits, and counts from when it was.
const maxOutstandingReads = 1 << 16

// openLoopConnection is one connection of a Flood.
type openLoopConnection struct {
	load        *OpenLoop
	conn        net.Conn
	mu          sync.Mutex
	outstanding []outstandingRead // sent and not answered, the oldest first
	retries     int               // refused, to come again
	result      *OpenLoopResult
}

type outstandingRead struct {
	due time.Time
	key int
}

// Run floods for a while, then waits for what is still out.
func (f *OpenLoop) Run(duration time.Duration) (*OpenLoopResult, error) {
	total := newOpenLoopResult()
	errs := make(chan error, 2*f.Connections)
	var group sync.WaitGroup
	var mu sync.Mutex
	start := time.Now()
	for i := range f.Connections {
		conn, err := net.Dial("tcp", f.Addr)
		if err != nil {
			return nil, err
		}
		connection := &openLoopConnection{load: f, conn: conn, result: newOpenLoopResult()}
		rng := rand.New(rand.NewPCG(f.Seed, uint64(i)))
		sent := make(chan struct{})
		group.Go(func() {
			defer close(sent)
			if err := connection.send(rng, start, duration); err != nil {
				errs <- err
			}
		})
		group.Go(func() {
			if err := connection.receive(sent); err != nil {
				errs <- err
			}
			conn.Close()
			mu.Lock()
			defer mu.Unlock()
			result := connection.result
			total.Offered, total.Unsent, total.Refused = total.Offered+result.Offered, total.Unsent+result.Unsent, total.Refused+result.Refused
			total.InTime, total.Late = total.InTime+result.InTime, total.Late+result.Late
			total.latency.Merge(result.latency)
		})
	}
	group.Wait()
	total.Duration = duration
	select {
	case err := <-errs:
		return nil, err
	default:
		return total, nil
	}
}

func (c *openLoopConnection) send(rng *rand.Rand, start time.Time, duration time.Duration) error {
	rate := c.load.Rate / float64(c.load.Connections)
	nextInterval := func() time.Duration { return time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) }
	due := start.Add(nextInterval())
	attrs := "c=tile-read,d=" + strconv.FormatInt(c.load.Deadline.Milliseconds(), 10)
	if c.load.Tenant != "" {
		attrs += ",t=" + c.load.Tenant
	}
	var commands []byte
	for {
		now := time.Now()
		if now.Sub(start) >= duration {
			return nil
		}
		commands = commands[:0]
		c.mu.Lock()
		for !due.After(now) && len(commands) < 32<<10 && len(c.outstanding) < maxOutstandingReads {
			readDue := due
			if c.retries > 0 {
				c.retries--
				readDue = now
			} else {
				due = due.Add(nextInterval())
			}
			c.result.Offered++
			if now.Sub(readDue) > c.load.Deadline {
				c.result.Unsent++
				continue
			}
			read := outstandingRead{readDue, rng.IntN(c.load.Keys)}
			c.outstanding = append(c.outstanding, read)
			commands = appendTileRead(commands, read.key, attrs)
		}
		c.mu.Unlock()
		if len(commands) > 0 {
			c.conn.SetWriteDeadline(time.Now().Add(waitTimeout))
			if _, err := c.conn.Write(commands); err != nil {
				return fmt.Errorf("lab: send: %w", err)
			}
		}
		if wait := time.Until(due); wait > 0 {
			time.Sleep(max(wait, time.Millisecond)) // what falls due together is sent together, as by a client that is busy
		} else if len(commands) == 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// receive takes answers until all that was sent has one.
func (c *openLoopConnection) receive(sent <-chan struct{}) error {
	in := bufio.NewReaderSize(c.conn, 32<<10)
	allSent := false
	var prefix []byte
	for {
		c.mu.Lock()
		outstanding := len(c.outstanding)
		var oldest outstandingRead
		if outstanding > 0 {
			oldest = c.outstanding[0]
		}
		c.mu.Unlock()
		if outstanding == 0 {
			if allSent {
				return nil
			}
			select {
			case <-sent:
				allSent = true
			case <-time.After(time.Millisecond):
			}
			continue
		}
		c.conn.SetReadDeadline(time.Now().Add(waitTimeout))
		prefix = appendTilePrefix(prefix[:0], oldest.key)
		err := readTile(in, prefix)
		latency := time.Since(oldest.due)
		if err != nil && err != errRefused {
			return fmt.Errorf("with %d reads out: %w", outstanding, err)
		}
		c.mu.Lock()
		c.outstanding = c.outstanding[1:]
		if err == errRefused && c.load.RetryRefused && latency < c.load.Deadline {
			c.retries++
		}
		c.mu.Unlock()
		switch {
		case err == errRefused:
			c.result.Refused++
			continue
		case latency <= c.load.Deadline:
			c.result.InTime++
		default:
			c.result.Late++
		}
		c.result.latency.RecordValue(max(1, latency.Microseconds()))
	}
}
