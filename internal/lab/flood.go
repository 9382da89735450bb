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

// OpenLoop generates reads at a fixed rate, regardless of the outcome of earlier ones, and pipelines as many
// as needed on its connections. Latency counts from the time when a read was due, not when it was written to
// the connection, so time spent waiting in front of a proxy that is slow to read is included.
type OpenLoop struct {
	Addr         string
	Tenant       string
	Connections  int
	Rate         float64       // reads a second over all connections, with random (Poisson) arrivals
	Deadline     time.Duration // a read not sent by then is dropped; a read served by then counts as in time
	RetryRefused bool          // a refused read is repeated at once, in place of the next one that is due
	Keys         int
	Seed         uint64
}

// OpenLoopResult counts the outcomes of the reads of an OpenLoop.
type OpenLoopResult struct {
	Offered, Unsent, Refused, InTime, Late int64
	Duration                               time.Duration
	latency                                *hdrhistogram.Histogram // of served reads, in microseconds
}

// Goodput returns the number of reads served in time per second.
func (r *OpenLoopResult) Goodput() float64 { return float64(r.InTime) / r.Duration.Seconds() }

// Quantile returns the latency quantile q of the served reads.
func (r *OpenLoopResult) Quantile(q float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(100*q)) * time.Microsecond
}

func newOpenLoopResult() *OpenLoopResult {
	return &OpenLoopResult{latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2)}
}

// maxOutstandingReads is the number of unanswered reads at which a connection stops sending. Without a bound,
// the list of outstanding reads would grow indefinitely in front of a proxy that answers nothing. Reads that
// fall due meanwhile wait, and their latency counts from when they were due.
const maxOutstandingReads = 1 << 16

// openLoopConnection is one connection of an OpenLoop.
type openLoopConnection struct {
	load        *OpenLoop
	conn        net.Conn
	mu          sync.Mutex
	outstanding []outstandingRead // sent and not answered, oldest first
	retries     int               // refused reads to be sent again
	result      *OpenLoopResult
}

type outstandingRead struct {
	due time.Time
	key int
}

// Run generates load for the given time, then waits for the outstanding reads.
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
				return fmt.Errorf("lab: sending reads: %w", err)
			}
		}
		if wait := time.Until(due); wait > 0 {
			// Reads that fall due together are sent together, as by a busy client.
			time.Sleep(max(wait, time.Millisecond))
		} else if len(commands) == 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// receive reads answers until every read that was sent has one.
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
			return fmt.Errorf("lab: receiving with %d reads outstanding: %w", outstanding, err)
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
