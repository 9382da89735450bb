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
	clients := &Clients{cluster: c, load: load, quit: make(chan struct{}), lossPeriods: map[string][]span{}}
	for i, p := range c.Proxies {
		clients.group.Go(func() { clients.run(p, load.ReadRate, false, uint64(2*i)) })
		if load.OrderRate > 0 {
			clients.group.Go(func() { clients.run(p, load.OrderRate, true, uint64(2*i+1)) })
		}
	}
	return clients
}

// ExpectLoss records a period in which a proxy's process is killed or cut off from its clients. Requests
// in progress then may stay unanswered, as clients would retry them.
func (cl *Clients) ExpectLoss(proxy string, from, to time.Time) {
	cl.mu.Lock()
	cl.lossPeriods[proxy] = append(cl.lossPeriods[proxy], span{from, to})
	cl.mu.Unlock()
}

// mayLose reports whether a proxy's process may be killed or cut off at any time of a period. It requires mu.
func (cl *Clients) mayLose(proxy string, from, to time.Time) bool {
	return slices.ContainsFunc(cl.lossPeriods[proxy], func(period span) bool {
		return to.After(period.from) && from.Before(period.to)
	})
}

// run sends requests at a fixed rate, however long the answers take. Each request takes an idle connection
// or a new one.
func (cl *Clients) run(p *Proxy, rate float64, isOrder bool, stream uint64) {
	random := rand.New(rand.NewPCG(cl.cluster.Seed, stream))
	keys := rand.NewZipf(random, 1.1, 20, uint64(max(1, cl.load.Keys-1)))
	idle := make(chan *conn, 512)
	var group sync.WaitGroup
	defer func() {
		group.Wait()
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
		if isOrder {
			key = fmt.Sprintf("order-%s-%d-%d", p.Name, stream, n)
		}
		id := fmt.Sprintf("%s%s-%d-%d", cl.cluster.idPrefix(), p.Name, stream, n)
		group.Go(func() {
			request := Request{Proxy: p.Name, IsOrder: isOrder, Key: key, ID: id, SentAt: time.Now()}
			cl.send(p, idle, "", &request)
			cl.mu.Lock()
			cl.requests = append(cl.requests, request)
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
func (cl *Clients) Retry(p *Proxy, request Request) Request {
	request.SentAt, request.Outcome, request.ID = time.Now(), Served, request.ID+"-again"
	idle := make(chan *conn, 1)
	cl.send(p, idle, ",r=1", &request)
	select {
	case connection := <-idle:
		connection.Close()
	default:
	}
	return request
}

func (cl *Clients) send(p *Proxy, idle chan *conn, attrs string, request *Request) {
	for retries := 0; ; retries++ {
		var connection *conn
		fresh := false
		select {
		case connection = <-idle:
		default:
			raw, err := net.DialTimeout("tcp", p.Addr, cl.load.Deadline)
			if err != nil {
				request.Outcome, request.Detail, request.Elapsed = NoAnswer, err.Error(), time.Since(request.SentAt)
				return
			}
			connection, fresh = &conn{raw, bufio.NewReader(raw)}, true
		}
		connection.SetDeadline(request.SentAt.Add(cl.load.Deadline + 2*cl.load.Grace))
		args := []string{"OBJ.GET", request.Key, request.ID, fmt.Sprintf("c=tile-read,d=%d%s", cl.load.Deadline.Milliseconds(), attrs)}
		if request.IsOrder {
			args = []string{"OBJ.SET", request.Key, request.ID, fmt.Sprintf("c=pass-order,d=%d,k=%016x%s", cl.load.Deadline.Milliseconds(),
				crc64.Checksum([]byte(request.Key), crcTable), attrs), "one pass"}
		}
		line, value, err := connection.exchange(args)
		request.Elapsed = time.Since(request.SentAt)
		switch {
		// an idle connection was closed as the request was sent: retry on another connection
		case err != nil && line == "" && !fresh && retries < 3:
			connection.Close()
			continue
		case err != nil:
			request.Outcome, request.Detail = NoAnswer, err.Error()
			connection.Close()
			return
		case strings.HasPrefix(line, "-BUSY"):
			request.Outcome = Refused
		case line[0] != '$' && line[0] != '*':
			request.Outcome, request.Detail = Failed, line
		case request.IsOrder && value == "receipt of "+request.Key, !request.IsOrder && value == string(standin.Value(request.Key, 200)):
			request.Outcome = Served
		default:
			request.Outcome, request.Detail = WrongAnswer, value
		}
		select {
		case idle <- connection:
		default:
			connection.Close()
		}
		return
	}
}

// exchange sends one command and reads the answer.
func (c *conn) exchange(args []string) (line, value string, err error) {
	command := resp.AppendArray(nil, len(args))
	for _, arg := range args {
		command = resp.AppendBulk(command, arg)
	}
	if _, err = c.Write(command); err != nil {
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
	data := make([]byte, n+2)
	_, err = io.ReadFull(c.in, data)
	return line, string(data[:max(0, len(data)-2)]), err
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
	return slices.DeleteFunc(slices.Clone(cl.requests), func(request Request) bool { return request.SentAt.Before(from) || !request.SentAt.Before(to) })
}

// ShareInTime returns the share of the reads of a period that were served within the soft deadline, and
// the number of reads.
func (cl *Clients) ShareInTime(from, to time.Time) (share float64, total int) {
	inTime := 0
	for _, request := range cl.Requests(from, to) {
		if request.IsOrder {
			continue
		}
		if total++; request.Outcome == Served && request.Elapsed <= cl.load.SoftDeadline {
			inTime++
		}
	}
	return float64(inTime) / float64(max(1, total)), total
}

// Violations describes the rules that were broken, as seen by clients and members. It is called once all
// requests have been answered.
func (cl *Clients) Violations() (violations []string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	executions := cl.cluster.Fleet.Origin.Executions()
	for _, request := range cl.requests {
		mayLose := cl.mayLose(request.Proxy, request.SentAt, request.SentAt.Add(request.Elapsed))
		violation := ""
		switch {
		case request.Outcome == WrongAnswer:
			violation = "value of another key: " + request.Detail
		case request.Outcome == NoAnswer && !mayLose:
			violation = "no answer: " + request.Detail
		case request.Elapsed > cl.load.Deadline+cl.load.Grace && !mayLose:
			violation = fmt.Sprintf("answered after %v", request.Elapsed)
		case request.IsOrder && executions[request.Key] > 1:
			violation = fmt.Sprintf("ran %d times", executions[request.Key])
		case request.IsOrder && request.Outcome == Refused && executions[request.Key] > 0:
			violation = "refused, and has run"
		case request.IsOrder && request.Outcome == Served && executions[request.Key] != 1:
			violation = "served, and has not run"
		}
		if violation != "" && len(violations) < 20 {
			violations = append(violations, fmt.Sprintf("%s at %s, %v after the start: %s", request.Key, request.Proxy, request.SentAt.Sub(cl.cluster.start).Round(time.Millisecond), violation))
		}
	}
	if cl.cluster.Duplicates != nil {
		violations = append(violations, cl.cluster.Duplicates.Violations()...)
	}
	for _, cache := range cl.cluster.Fleet.Caches {
		if cache.Overloaded() {
			violations = append(violations, "cache failed from overload: "+cache.ID)
		}
	}
	return violations
}

// ProxyNumber returns the number of the proxy that received the request.
func (a Request) ProxyNumber() (n int) {
	fmt.Sscanf(a.Proxy, "n%d", &n)
	return n
}
