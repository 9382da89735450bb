package cluster

import (
	"bufio"
	"fmt"
	"hash/crc64"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"linenloom/internal/resp"
	"linenloom/internal/standin"
)

// Load is what the clients of each proxy send.
type Load struct {
	ReadRate  float64 // per second, at each proxy
	OrderRate float64
	Keys      int // of reads, with a Zipf-like distribution
	// Deadline is the deadline that clients send with each request, and SoftDeadline the time within which
	// they want an answer.
	Deadline, SoftDeadline time.Duration
	// Grace is how long after the deadline an answer may come before it counts as lost. The proxies keep
	// their deadlines, but the test's own clients may be delayed on a busy machine. Tests, whose verdict
	// must not depend on speed, allow enough that only missing answers are found.
	Grace time.Duration
}

// Request is one request and its outcome.
type Request struct {
	Proxy   string
	IsOrder bool
	Key     string
	ID      string
	SentAt  time.Time
	Elapsed time.Duration
	Outcome Outcome
	Detail  string // of a failure
}

// Outcome is the outcome of a request.
type Outcome uint8

// Outcomes of a request.
const (
	Served Outcome = iota
	Refused
	Failed
	NoAnswer    // its connection ended without an answer
	WrongAnswer // an answer with the value of another key
)

// Clients send requests until they are stopped.
type Clients struct {
	cluster     *Cluster
	load        Load
	mu          sync.Mutex
	requests    []Request
	quit        chan struct{}
	group       sync.WaitGroup
	lossPeriods map[string][]span // by proxy: periods in which its process may lose requests
}

type span struct{ from, to time.Time }

// StartClients starts clients at all proxies.
func (c *Cluster) StartClients(load Load) *Clients {
	cl := &Clients{cluster: c, load: load, quit: make(chan struct{}), lossPeriods: map[string][]span{}}
	for i, p := range c.Proxies {
		cl.group.Go(func() { cl.run(p, load.ReadRate, false, uint64(2*i)) })
		if load.OrderRate > 0 {
			cl.group.Go(func() { cl.run(p, load.OrderRate, true, uint64(2*i+1)) })
		}
	}
	return cl
}

// ExpectLoss records a period in which a proxy's process is killed or cut off from its clients. Requests
// in progress then may stay unanswered, as clients would retry them.
func (cl *Clients) ExpectLoss(proxy string, from, to time.Time) {
	cl.mu.Lock()
	cl.lossPeriods[proxy] = append(cl.lossPeriods[proxy], span{from, to})
	cl.mu.Unlock()
}

// run sends requests at a fixed rate, however long the answers take. Each request takes an idle connection
// or a new one.
func (cl *Clients) run(p *Proxy, rate float64, order bool, stream uint64) {
	rng := rand.New(rand.NewPCG(cl.cluster.Seed, stream))
	keys := rand.NewZipf(rng, 1.1, 20, uint64(max(1, cl.load.Keys-1)))
	idle := make(chan *conn, 512)
	var g sync.WaitGroup
	defer func() {
		g.Wait()
		close(idle)
		for c := range idle {
			c.Close()
		}
	}()
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-cl.quit:
			return
		case <-tick.C:
		}
		key := fmt.Sprintf("k%d", keys.Uint64())
		if order {
			key = fmt.Sprintf("order-%s-%d-%d", p.Name, stream, n)
		}
		id := fmt.Sprintf("%s%s-%d-%d", cl.cluster.idPrefix(), p.Name, stream, n)
		g.Go(func() {
			a := Request{Proxy: p.Name, IsOrder: order, Key: key, ID: id, SentAt: time.Now()}
			cl.send(p, idle, "", &a)
			cl.mu.Lock()
			cl.requests = append(cl.requests, a)
			cl.mu.Unlock()
		})
	}
}

// crcTable is used to derive an order's idempotency key from its name.
var crcTable = crc64.MakeTable(crc64.ECMA)

type conn struct {
	net.Conn
	in *bufio.Reader
}

// Retry sends a request again, as a client does that got no answer, and returns it with its new outcome.
func (cl *Clients) Retry(p *Proxy, a Request) Request {
	a.SentAt, a.Outcome, a.ID = time.Now(), Served, a.ID+"-again"
	idle := make(chan *conn, 1)
	cl.send(p, idle, ",r=1", &a)
	select {
	case c := <-idle:
		c.Close()
	default:
	}
	return a
}

func (cl *Clients) send(p *Proxy, idle chan *conn, attrs string, a *Request) {
	for try := 0; ; try++ {
		var c *conn
		fresh := false
		select {
		case c = <-idle:
		default:
			raw, err := net.DialTimeout("tcp", p.Addr, cl.load.Deadline)
			if err != nil {
				a.Outcome, a.Detail, a.Elapsed = NoAnswer, err.Error(), time.Since(a.SentAt)
				return
			}
			c, fresh = &conn{raw, bufio.NewReader(raw)}, true
		}
		c.SetDeadline(a.SentAt.Add(cl.load.Deadline + 2*cl.load.Grace))
		words := []string{"OBJ.GET", a.Key, a.ID, fmt.Sprintf("c=tile-read,d=%d%s", cl.load.Deadline.Milliseconds(), attrs)}
		if a.IsOrder {
			words = []string{"OBJ.SET", a.Key, a.ID, fmt.Sprintf("c=pass-order,d=%d,k=%016x%s", cl.load.Deadline.Milliseconds(),
				crc64.Checksum([]byte(a.Key), crcTable), attrs), "one pass"}
		}
		line, value, err := c.exchange(words)
		a.Elapsed = time.Since(a.SentAt)
		switch {
		// an idle connection was closed as the request was sent: retry on another connection
		case err != nil && line == "" && !fresh && try < 3:
			c.Close()
			continue
		case err != nil:
			a.Outcome, a.Detail = NoAnswer, err.Error()
			c.Close()
			return
		case strings.HasPrefix(line, "-BUSY"):
			a.Outcome = Refused
		case line[0] != '$' && line[0] != '*':
			a.Outcome, a.Detail = Failed, line
		case a.IsOrder && value == "receipt of "+a.Key, !a.IsOrder && value == string(standin.Value(a.Key, 200)):
			a.Outcome = Served
		default:
			a.Outcome, a.Detail = WrongAnswer, value
		}
		select {
		case idle <- c:
		default:
			c.Close()
		}
		return
	}
}

// exchange sends one command and reads the answer.
func (c *conn) exchange(words []string) (line, value string, err error) {
	b := resp.AppendArray(nil, len(words))
	for _, w := range words {
		b = resp.AppendBulk(b, w)
	}
	if _, err = c.Write(b); err != nil {
		return "", "", err
	}
	if line, err = c.in.ReadString('\n'); err != nil {
		return line, "", err
	}
	if line = strings.TrimSpace(line); !strings.HasPrefix(line, "$") {
		return line, "", nil
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n < 0 {
		return line, "", err
	}
	v := make([]byte, n+2)
	_, err = io.ReadFull(c.in, v)
	return line, string(v[:max(0, len(v)-2)]), err
}

// Stop stops sending and waits for the last answers.
func (cl *Clients) Stop() {
	close(cl.quit)
	cl.group.Wait()
}

// Requests returns the finished requests that were sent in a period.
func (cl *Clients) Requests(from, to time.Time) []Request {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(cl.requests), func(a Request) bool { return a.SentAt.Before(from) || !a.SentAt.Before(to) })
}

// ShareInTime returns the share of the reads of a period that were served within the soft deadline, and
// the number of reads.
func (cl *Clients) ShareInTime(from, to time.Time) (share float64, all int) {
	good := 0
	for _, a := range cl.Requests(from, to) {
		if a.IsOrder {
			continue
		}
		if all++; a.Outcome == Served && a.Elapsed <= cl.load.SoftDeadline {
			good++
		}
	}
	return float64(good) / float64(max(1, all)), all
}

// Violations describes the rules that were broken, as seen by clients and members. It is called once all
// requests have been answered.
func (cl *Clients) Violations() (all []string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	ran := cl.cluster.Fleet.Origin.Executions()
	for _, a := range cl.requests {
		may := slices.ContainsFunc(cl.lossPeriods[a.Proxy], func(s span) bool { return a.SentAt.Add(a.Elapsed).After(s.from) && a.SentAt.Before(s.to) })
		what := ""
		switch {
		case a.Outcome == WrongAnswer:
			what = "a value that is another's: " + a.Detail
		case a.Outcome == NoAnswer && !may:
			what = "no answer: " + a.Detail
		case a.Elapsed > cl.load.Deadline+cl.load.Grace && !may:
			what = fmt.Sprintf("answered after %v", a.Elapsed)
		case a.IsOrder && ran[a.Key] > 1:
			what = fmt.Sprintf("ran %d times", ran[a.Key])
		case a.IsOrder && a.Outcome == Refused && ran[a.Key] > 0:
			what = "refused, and has run"
		case a.IsOrder && a.Outcome == Served && ran[a.Key] != 1:
			what = "served, and has not run"
		}
		if what != "" && len(all) < 20 {
			all = append(all, fmt.Sprintf("%s at %s, %v after the start: %s", a.Key, a.Proxy, a.SentAt.Sub(cl.cluster.start).Round(time.Millisecond), what))
		}
	}
	if cl.cluster.Duplicates != nil {
		all = append(all, cl.cluster.Duplicates.Violations()...)
	}
	for _, b := range cl.cluster.Fleet.Caches {
		if b.Overloaded() {
			all = append(all, "pushed over: "+b.ID)
		}
	}
	return all
}

// ProxyNumber returns the number of the proxy that received the request.
func (a Request) ProxyNumber() (n int) {
	fmt.Sscanf(a.Proxy, "n%d", &n)
	return n
}
