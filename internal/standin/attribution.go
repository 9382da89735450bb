package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"linenloom/internal/resp"
	"linenloom/internal/sender"
)

// AttributionChecker checks that each client gets the answer that was made for its request, and what the
// members did for a request when its client is told that it was refused. Each request has a key of its
// own, which its value names.
type AttributionChecker struct {
	Duplicates *DuplicateChecker

	mu      sync.Mutex
	runs    map[string]int  // executions at the origin, by request id
	notRun  map[string]bool // refused before they had run, and must not run later
	result  AttributionResult
	garbled int
}

// AttributionResult counts the requests of clients by outcome, and what broke a rule.
type AttributionResult struct {
	Served, Refused, Failed int
	ServedAnother           int // served a value that was made for another request
	RanTwice                int // run more than once although its class forbids it
	TwoOut                  int // attempts that arrived while another of their request was out
	RefusedAfterRun         int // refused although it had run and must not run twice
	Garbled                 int // requests that a member could not read
}

// Broken returns how many requests broke a rule.
func (r AttributionResult) Broken() int {
	return r.ServedAnother + r.RanTwice + r.TwoOut + r.RefusedAfterRun + r.Garbled
}

// Add adds the counts of another run.
func (r *AttributionResult) Add(o AttributionResult) {
	r.Served += o.Served
	r.Refused += o.Refused
	r.Failed += o.Failed
	r.ServedAnother += o.ServedAnother
	r.RanTwice += o.RanTwice
	r.TwoOut += o.TwoOut
	r.RefusedAfterRun += o.RefusedAfterRun
	r.Garbled += o.Garbled
}

func (r AttributionResult) String() string {
	return fmt.Sprintf("%d served, %d refused, %d failed; %d served another's, %d ran twice, %d two out, %d refused after running, %d garbled",
		r.Served, r.Refused, r.Failed, r.ServedAnother, r.RanTwice, r.TwoOut, r.RefusedAfterRun, r.Garbled)
}

// NewAttributionChecker returns a checker of a fleet's members.
func NewAttributionChecker(fleet *Fleet) *AttributionChecker {
	c := &AttributionChecker{Duplicates: NewDuplicateChecker(), runs: map[string]int{}, notRun: map[string]bool{}}
	fleet.Origin.setAttribution(c)
	for _, cache := range fleet.Caches {
		cache.setAttribution(c)
	}
	return c
}

func (m *member) setAttribution(c *AttributionChecker) {
	m.mu.Lock()
	m.attribution = c
	m.mu.Unlock()
}

// beginAttempt reports a complete request. Its answer is the next write to the connection.
func (m *member) beginAttempt(conn net.Conn, id string) {
	m.mu.Lock()
	checker := m.attribution
	m.mu.Unlock()
	wrapped, ok := conn.(*strayConn)
	if checker == nil || !ok {
		return
	}
	attempt := checker.Duplicates.recordWrite(m.ID, id, func() bool { return connClosedByPeer(wrapped.Conn) })
	checker.Duplicates.recordArrival(id, attempt)
	wrapped.answering = func() { checker.Duplicates.recordAnswer(attempt) }
}

// connClosedByPeer reports whether the peer has ended its sending, or the connection is closed.
func connClosedByPeer(conn net.Conn) (closed bool) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { closed = sender.PeerClosed(fd) })
	}
	return closed || err != nil
}

// recordRun reports that the origin has executed a request.
func (m *member) recordRun(id string) {
	m.mu.Lock()
	checker := m.attribution
	m.mu.Unlock()
	if checker != nil {
		checker.mu.Lock()
		checker.runs[id]++
		checker.mu.Unlock()
	}
}

// recordGarbled reports a request that could not be read.
func (m *member) recordGarbled() {
	m.mu.Lock()
	checker := m.attribution
	m.mu.Unlock()
	if checker != nil {
		checker.mu.Lock()
		checker.garbled++
		checker.mu.Unlock()
	}
}

// AttributionClass is a class of requests, with its name in the settings.
type AttributionClass struct {
	Name  string
	Once  bool // its requests must not run twice
	Write bool
	Keyed bool
	// SharedKeys is the number of keys that its clients share; 0: each request has a key of its own.
	SharedKeys int
	// Repeats: each request is sent a second time, with an id of its own and the same key.
	Repeats bool
}

// AttributionClasses are the classes of AttributionSettings.
var AttributionClasses = []AttributionClass{
	{Name: "once-read", Once: true}, {Name: "read"}, {Name: "keyed-read", Keyed: true}, {Name: "once-write", Once: true, Write: true}, {Name: "keyed-write", Write: true, Keyed: true},
}

// AttributionSettings returns settings with a class for each effect, for reads and writes.
func AttributionSettings() []any {
	var classes []any
	template := Settings()["classes"].([]any)[0].(map[string]any)
	for _, class := range AttributionClasses {
		entry := map[string]any{}
		for name, value := range template {
			entry[name] = value
		}
		switch entry["name"] = class.Name; {
		case class.Once:
			entry["repeat"] = "once"
		case class.Keyed:
			entry["repeat"] = "by_key"
		}
		classes = append(classes, entry)
	}
	return classes
}

// lastAttributionID makes request ids unique across runs.
var lastAttributionID atomic.Uint64

// RunClients runs clients in a closed loop, which send requests of the classes to the proxies in turn, each
// for a key of its own.
func (c *AttributionChecker) RunClients(proxies []string, classes []AttributionClass, clients int, duration time.Duration) (AttributionResult, error) {
	var group sync.WaitGroup
	errs := make(chan error, clients)
	end := time.Now().Add(duration)
	for i := range clients {
		group.Go(func() {
			if err := c.runClient(proxies[i%len(proxies)], classes[i%len(classes)], end); err != nil {
				errs <- err
			}
		})
	}
	group.Wait()
	select {
	case err := <-errs:
		return AttributionResult{}, err
	default:
	}
	return c.Result(), nil
}

func (c *AttributionChecker) runClient(proxy string, class AttributionClass, end time.Time) error {
	conn, err := net.Dial("tcp", proxy)
	if err != nil {
		return err
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	for time.Now().Before(end) {
		number := lastAttributionID.Add(1)
		name := strconv.FormatUint(number, 16)
		key := "k-" + name
		if class.SharedKeys > 0 {
			key = "shared-" + strconv.FormatUint(number%uint64(class.SharedKeys), 16)
		}
		sendings := 1
		if class.Repeats {
			sendings = 2
		}
		for i := range sendings {
			if err := c.send(conn, in, class, key, name, name+strings.Repeat("-again", i)); err != nil {
				return err
			}
		}
	}
	return nil
}

// send sends a request and records its answer. name is the idempotency key of a keyed one.
func (c *AttributionChecker) send(conn net.Conn, in *bufio.Reader, class AttributionClass, key, name, id string) error {
	attrs := "c=" + class.Name + ",d=2900"
	if class.Keyed {
		attrs += ",k=" + name
	}
	args := []string{"OBJ.GET", key, id, attrs}
	want := "value of " + key + " "
	if class.Write {
		args, want = []string{"OBJ.SET", key, id, attrs, "written for " + name}, "receipt of "+key
	}
	command := resp.AppendArray(nil, len(args))
	for _, arg := range args {
		command = resp.AppendBulk(command, arg)
	}
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := conn.Write(command); err != nil {
		return err
	}
	answer, err := readAttributed(in)
	if err != nil {
		return fmt.Errorf("request %s: %w", id, err)
	}
	c.recordAnswer(class, id, want, answer)
	return nil
}

// readAttributed reads a client's answer: an error line, or a value.
func readAttributed(in *bufio.Reader) (string, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return "", err
	}
	line = strings.TrimSpace(line)
	if !strings.HasPrefix(line, "$") {
		return line, nil
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n < 0 {
		return line, err
	}
	value := make([]byte, n+2)
	_, err = io.ReadFull(in, value)
	return string(value[:n]), err
}

func (c *AttributionChecker) recordAnswer(class AttributionClass, id, want, answer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case strings.HasPrefix(answer, "-BUSY"):
		c.result.Refused++
		switch {
		case class.Once && c.runs[id] > 0:
			c.result.RefusedAfterRun++
		case class.Once:
			c.notRun[id] = true
		}
	case strings.HasPrefix(answer, "-"), answer == "$-1":
		c.result.Failed++
	case !strings.HasPrefix(answer, want):
		c.result.ServedAnother++
	default:
		c.result.Served++
	}
	if class.Once && c.runs[id] > 1 {
		c.result.RanTwice++
	}
	if !c.notRun[id] {
		delete(c.runs, id)
	}
}

// Result returns the counts so far.
func (c *AttributionChecker) Result() AttributionResult {
	violations := len(c.Duplicates.Violations())
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.result
	r.TwoOut, r.Garbled = violations, c.garbled
	for id := range c.notRun {
		if c.runs[id] > 0 {
			r.RefusedAfterRun++
		}
	}
	return r
}
