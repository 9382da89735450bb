package restarts

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// keyCount is the number of keys that are read.
const keyCount = 120

func keyName(n int) string { return fmt.Sprint("k", n) }

// closeRaceWindow bounds the time between a request's last byte and the end of its connection within which the
// proxy may have closed the connection before the request reached it.
const closeRaceWindow = 20 * time.Millisecond

// outcome is the outcome of a request.
type outcome uint8

const (
	unanswered outcome = iota
	served
	refused
	failed
	notAccepted // the connection ended as the request was sent
)

// request is one request and its outcome.
type request struct {
	id, key     string
	isOrder     bool
	timeout     time.Duration
	sentAt      time.Time // when its last byte was sent
	timeoutFrom time.Time // when the preceding answers had arrived
	endedAt     time.Time
	outcome     outcome
	clientLeft  bool // the client has closed the connection
	firstOnConn bool // the first request on its connection
	detail      string
}

// clients reuse their connections for as long as these stay open.
type clients struct {
	run           *restartRun
	seed          uint64
	mu            sync.Mutex
	requests      []*request
	idleConns     []net.Conn // connections without a complete request
	drainedAt     time.Time
	drainedMember string // the id of the member that drains
	killedAt      time.Time
	quit          chan struct{}
	group         sync.WaitGroup
}

func newClients(run *restartRun, seed uint64) *clients {
	return &clients{run: run, seed: seed, quit: make(chan struct{})}
}

// openIdle opens a connection that never sends a complete request.
func (c *clients) openIdle() {
	conn, err := net.DialTimeout("tcp", c.run.listen, time.Second)
	if err != nil {
		return
	}
	c.idleConns = append(c.idleConns, conn)
	if c.run.random.IntN(2) == 0 {
		io.WriteString(conn, "*4\r\n$7\r\nOBJ.GET\r\n$2\r\nk")
	}
}

func (c *clients) start(n int) {
	for i := range n {
		random := rand.New(rand.NewPCG(c.seed, uint64(1000+i)))
		c.group.Go(func() {
			for round := 0; c.runConn(random, fmt.Sprintf("%d-%d", i, round)); round++ {
			}
		})
	}
}

// stopAfterKill stops all clients and records that the process was killed. Requests that are unanswered
// then are lost.
func (c *clients) stopAfterKill() {
	c.mu.Lock()
	c.killedAt = time.Now()
	c.mu.Unlock()
	close(c.quit)
	for _, conn := range c.idleConns {
		conn.Close()
	}
	c.group.Wait()
}

func (c *clients) noteDrain(member string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainedMember, c.drainedAt = member, time.Now()
}

// runConn sends requests on one connection until it ends. It returns false when the clients are stopped.
func (c *clients) runConn(random *rand.Rand, name string) bool {
	select {
	case <-c.quit:
		return false
	default:
	}
	conn, err := net.DialTimeout("tcp", c.run.listen, time.Second)
	if err != nil {
		// There is no listener any more, or the kernel's accept queue is full of idle connections.
		select {
		case <-c.quit:
			return false
		case <-time.After(10 * time.Millisecond):
			return true
		}
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	for n := 0; ; n++ {
		select {
		case <-c.quit:
			return false
		case <-time.After(time.Duration(random.IntN(8)) * time.Millisecond): // think time between requests
		}
		batch := c.newBatch(random, fmt.Sprintf("%s-%d", name, n))
		batch[0].firstOnConn = n == 0
		var text strings.Builder
		for _, sent := range batch {
			text.WriteString(sent.command())
		}
		// if it fails, the connection has ended, and reading the answers reports that
		io.WriteString(conn, text.String())
		now := time.Now()
		c.mu.Lock()
		for _, sent := range batch {
			sent.sentAt, sent.timeoutFrom = now, now
		}
		c.requests = append(c.requests, batch...)
		c.mu.Unlock()
		if random.IntN(60) == 0 { // the client disconnects
			time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
			conn.Close()
			c.mu.Lock()
			for _, sent := range batch {
				sent.clientLeft, sent.endedAt = true, time.Now()
			}
			c.mu.Unlock()
			return true
		}
		if !c.readAnswers(conn, in, batch) {
			return true
		}
	}
}

func (c *clients) newBatch(random *rand.Rand, name string) []*request {
	n := 1
	if c.run.pipelines && random.IntN(3) == 0 {
		n += random.IntN(7)
	}
	var batch []*request
	for i := range n {
		next := &request{id: fmt.Sprintf("%s-%d", name, i), key: keyName(random.IntN(keyCount)), timeout: c.run.deadline * time.Duration(70+random.IntN(30)) / 100}
		if random.IntN(12) == 0 {
			next.isOrder, next.key = true, "order-"+next.id
		}
		batch = append(batch, next)
	}
	return batch
}

// command returns the request as it is sent.
func (r *request) command() string {
	args := []string{"OBJ.GET", r.key, r.id, fmt.Sprintf("c=tile-read,d=%d", r.timeout.Milliseconds())}
	if r.isOrder {
		args = []string{"OBJ.SET", r.key, r.id, fmt.Sprintf("c=pass-order,d=%d", r.timeout.Milliseconds()), "a pass for " + r.id}
	}
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(args))
	for _, w := range args {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(w), w)
	}
	return text.String()
}

// readAnswers reads the answers to a batch. It returns false if the connection has ended.
func (c *clients) readAnswers(conn net.Conn, in *bufio.Reader, batch []*request) bool {
	for i, sent := range batch {
		conn.SetReadDeadline(sent.timeoutFrom.Add(sent.timeout + answerGrace + time.Second))
		line, value, err := readAnswer(in)
		now := time.Now()
		c.mu.Lock()
		sent.endedAt = now
		sent.detail = line
		switch {
		case err != nil:
			c.recordCut(batch[i:], i == 0, now, err)
		case strings.HasPrefix(line, "$"):
			sent.outcome = served
			if want := sent.expected(); !strings.HasPrefix(value, want) {
				sent.outcome, sent.detail = unanswered, fmt.Sprintf("served with %.60q, want %q", value, want)
			}
		case strings.HasPrefix(line, "-BUSY"):
			sent.outcome = refused
		default:
			sent.outcome = failed
		}
		if i+1 < len(batch) {
			batch[i+1].timeoutFrom = now
		}
		c.mu.Unlock()
		if err != nil {
			return false
		}
	}
	return true
}

// expected returns the prefix of the expected value or receipt.
func (r *request) expected() string {
	if r.isOrder {
		return "receipt of " + r.key
	}
	return "value of " + r.key + " "
}

// recordCut records that a connection ended with unanswered requests. The proxy may have closed the connection
// before they reached it, if they were sent while it was idle and no attempt of them was written; otherwise
// they are lost. While idle connections use up the descriptors, a new connection may be closed unread.
func (c *clients) recordCut(pending []*request, first bool, at time.Time, err error) {
	for _, unansweredRequest := range pending {
		unansweredRequest.endedAt = at
		unansweredRequest.detail = fmt.Sprintf("no answer: %v", err)
		var netErr net.Error
		timedOut := errors.As(err, &netErr) && netErr.Timeout()
		unread := at.Sub(unansweredRequest.sentAt) < closeRaceWindow || c.run.idleConns > 0 && pending[0].firstOnConn
		if first && !timedOut && unread && c.run.duplicates.Written("", unansweredRequest.id) == 0 {
			unansweredRequest.outcome = notAccepted
		}
	}
}

// readAnswer reads one answer.
func readAnswer(in *bufio.Reader) (line, value string, err error) {
	if line, err = in.ReadString('\n'); err != nil {
		return "", "", err
	}
	line = strings.TrimSpace(line)
	n := 0
	if k, _ := fmt.Sscanf(line, "$%d", &n); k == 1 && n >= 0 {
		b := make([]byte, n+2)
		if _, err = io.ReadFull(in, b); err != nil {
			return "", "", err
		}
		value = string(b[:n])
	}
	return line, value, nil
}

// countOutcomes adds the outcomes of all requests to the result.
func (c *clients) countOutcomes(r *Result) {
	for _, sent := range c.requests {
		r.Sent++
		switch sent.outcome {
		case served:
			r.Served++
		case refused:
			r.Refused++
		case failed:
			r.Failed++
		case notAccepted:
			r.NotAccepted++
		}
	}
}

// violations describes the rules that were broken for clients.
func (c *clients) violations() (faults []string) {
	executions := c.run.fleet.Origin.Executions()
	for _, sent := range c.requests {
		took := sent.endedAt.Sub(sent.timeoutFrom)
		switch {
		case sent.clientLeft:
			if at, ok := c.run.duplicates.LastWrittenAt(sent.id); ok && at.Sub(sent.endedAt) > departureGrace+ruleSlack {
				faults = append(faults, fmt.Sprintf("request %s: an attempt began %v after its client had left", sent.id, at.Sub(sent.endedAt)))
			}
		case sent.outcome == unanswered:
			faults = append(faults, fmt.Sprintf("request %s is lost, sent %v before the kill, after %v: %s", sent.id, c.killedAt.Sub(sent.sentAt), took, sent.detail))
		case sent.outcome != notAccepted && took > sent.timeout+answerGrace:
			faults = append(faults, fmt.Sprintf("request %s was answered after %v, and its client waited for %v", sent.id, took, sent.timeout))
		}
		if sent.isOrder && sent.outcome == refused && executions[sent.key] > 0 {
			faults = append(faults, fmt.Sprintf("order %s was refused, and has run", sent.id))
		}
		if sent.isOrder && sent.outcome == notAccepted && executions[sent.key] > 0 {
			faults = append(faults, fmt.Sprintf("order %s was not accepted, and has run", sent.id))
		}
	}
	if c.drainedMember != "" && !c.run.moveDiscovery {
		if at, id := c.run.duplicates.LastWriteTo(c.drainedMember); at.Sub(c.drainedAt) > drainGrace+ruleSlack {
			faults = append(faults, fmt.Sprintf("request %s was sent to %s %v after it was reported as draining", id, c.drainedMember, at.Sub(c.drainedAt)))
		}
	}
	return faults
}
