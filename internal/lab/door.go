package lab

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"linenloom/internal/mgmt"
)

// ClientLoad is a set of clients that send requests to one address, one at a time each, and counts their
// outcomes. Half of them open a new connection for every third request, the others keep theirs for as long as
// it stays open. A request on a connection that the server closed before reading it is sent once more.
type ClientLoad struct {
	Addr     string
	Interval time.Duration // between an answer and the client's next request; 0: a millisecond; below 0: none
	// ChecksConnection makes clients check that the server has not closed the connection before they send on
	// it, as connection pools do.
	ChecksConnection bool

	Served, Refused, Failed atomic.Int64
	Late                    atomic.Int64 // answers after clientTimeout
	// Numbers of connections refused, connections broken during a request, and connections closed before the
	// request was read.
	ConnectionsRefused, ConnectionsBroken, ClosedUnread atomic.Int64
	// Time of the latest answer and longest time between two answers, in nanoseconds.
	lastAnswer, longestGap atomic.Int64
	class                  atomic.Value // class of the reads; nil: tile-read
	lastOrder              atomic.Int64
	mu                     sync.Mutex
	unansweredOrders       []string
	stop                   chan struct{}
	clients                sync.WaitGroup
	lastID                 atomic.Int64
}

// clientTimeout is the time after which an answer counts as late.
const clientTimeout = 3 * time.Second

// Start starts the clients. Every orderEvery-th request is an order; 0: none.
func (l *ClientLoad) Start(clients, keys, orderEvery int) {
	l.stop = make(chan struct{})
	l.lastAnswer.Store(time.Now().UnixNano())
	for c := range clients {
		l.clients.Go(func() { l.runClient(c, keys, orderEvery) })
	}
}

// SetClass sets the class of subsequent reads.
func (l *ClientLoad) SetClass(name string) { l.class.Store(name) }

// Stop stops the clients and waits for them.
func (l *ClientLoad) Stop() {
	close(l.stop)
	l.clients.Wait()
}

// AwaitServed waits until n more requests have been served.
func (l *ClientLoad) AwaitServed(n int64) error {
	from := l.Served.Load()
	return eventually("requests are served", func() bool { return l.Served.Load() >= from+n })
}

// LongestGap returns the longest time between two consecutive answers to any of the clients since its last
// call.
func (l *ClientLoad) LongestGap() time.Duration { return time.Duration(l.longestGap.Swap(0)) }

func (l *ClientLoad) runClient(client, keys, orderEvery int) {
	var conn *redisClient
	for sequence := client; ; sequence++ {
		select {
		case <-l.stop:
			if conn != nil {
				conn.conn.Close()
			}
			return
		case <-intervalTimer(l.Interval):
		}
		if conn != nil && l.ChecksConnection && conn.closedByPeer() {
			conn.conn.Close()
			conn = nil
		}
		if conn != nil && client%2 == 0 && sequence%3 == 0 {
			conn.conn.Close()
			conn = nil
		}
		words := l.nextCommand(sequence, keys, orderEvery)
		for repeated := false; ; repeated = true {
			if conn == nil {
				var err error
				if conn, err = dialRedis(l.Addr); err != nil {
					l.ConnectionsRefused.Add(1)
					break
				}
			}
			sentAt := time.Now()
			answer, err := conn.do(words...)
			if err != nil {
				conn.conn.Close()
				conn = nil
				switch {
				case err == io.EOF && words[0] == "OBJ.SET": // the process may have been killed after it read the order
					l.addUnanswered(words[1])
				case err == io.EOF && !repeated:
					l.ClosedUnread.Add(1)
					continue
				default:
					l.ConnectionsBroken.Add(1)
				}
				break
			}
			l.recordAnswer(answer, time.Since(sentAt))
			break
		}
	}
}

var elapsedTimer = func() chan time.Time { c := make(chan time.Time); close(c); return c }()

func intervalTimer(d time.Duration) <-chan time.Time {
	switch {
	case d < 0:
		return elapsedTimer
	case d == 0:
		d = time.Millisecond
	}
	return time.After(d)
}

func (l *ClientLoad) nextCommand(sequence, keys, orderEvery int) []string {
	id := fmt.Sprintf("%016x", l.lastID.Add(1))
	if orderEvery > 0 && sequence%orderEvery == 0 {
		return []string{"OBJ.SET", fmt.Sprintf("%x", 1<<40+l.lastOrder.Add(1)), id, "c=pass-order,d=3000", "one pass"}
	}
	class := "tile-read"
	if c, ok := l.class.Load().(string); ok {
		class = c
	}
	return []string{"OBJ.GET", fmt.Sprintf("%x", 0x100+sequence%keys), id, "c=" + class + ",d=3000"}
}

func (l *ClientLoad) recordAnswer(answer string, latency time.Duration) {
	now := time.Now().UnixNano()
	gap := now - l.lastAnswer.Swap(now)
	for previous := l.longestGap.Load(); gap > previous && !l.longestGap.CompareAndSwap(previous, gap); previous = l.longestGap.Load() {
	}
	if latency > clientTimeout {
		l.Late.Add(1)
	}
	switch {
	case strings.HasPrefix(answer, "-BUSY"):
		l.Refused.Add(1)
	case strings.HasPrefix(answer, "-"):
		l.Failed.Add(1)
	default:
		l.Served.Add(1)
	}
}

// addUnanswered records an order whose connection ended without an answer. It is not sent again.
func (l *ClientLoad) addUnanswered(key string) {
	l.mu.Lock()
	l.unansweredOrders = append(l.unansweredOrders, key)
	l.mu.Unlock()
}

// UnansweredOrders returns the keys of the orders whose connections ended without an answer since its last
// call.
func (l *ClientLoad) UnansweredOrders() (keys []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	keys, l.unansweredOrders = l.unansweredOrders, nil
	return keys
}

// Call sends a management request and returns its status, 0 if there was no answer, and the time that it took.
func Call(method, addr, path, body string) (status int, elapsed time.Duration) {
	start := time.Now()
	status, _, _ = mgmt.Call(method, addr, path, body, waitTimeout) // the status is 0 on an error
	return status, time.Since(start)
}
