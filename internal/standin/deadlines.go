package standin

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// DeadlineSlack is how much the deadline that a server receives may exceed the time that the client has
// left.
const DeadlineSlack = 150 * time.Millisecond

// DeadlineChecker checks that no server receives a longer deadline than its client has left. Clients
// report what they send and servers what they receive, from any goroutine. Violations evaluates the
// reports at the end, so that their order does not matter.
type DeadlineChecker struct {
	// Now returns the time on the clocks of the clients; if nil, the system clock since the first report
	// is used.
	Now func() time.Duration
	// Slack replaces DeadlineSlack if it is not 0, for servers whose own clocks are delayed as well.
	Slack time.Duration

	// IDPrefix is the prefix of the clients' request ids. Requests with other ids belong to other clients
	// and are ignored.
	IDPrefix string

	mu        sync.Mutex
	startedAt time.Time
	requests  map[string]clientWait
	counts    map[string]int // attempts by request id
	attempts  []receivedAttempt
}

// clientWait is how long a client waits for its request.
type clientWait struct {
	expiresAt time.Duration
	isRetry   bool // the client marked the request as a retry
}

// receivedAttempt is an attempt as a server received it, recorded at its last byte.
type receivedAttempt struct {
	server, id           string
	deadline, receivedAt time.Duration
	number               int // of the attempts of its request, from 1
}

// now returns the time of a report.
func (d *DeadlineChecker) now() time.Duration {
	if d.Now != nil {
		return d.Now()
	}
	if d.startedAt.IsZero() {
		d.startedAt = time.Now()
	}
	return time.Since(d.startedAt)
}

// RequestSent reports that a client has written the last byte of a request, with the attributes of its
// command. It may be called again for the same request if the bytes were sent later than assumed.
func (d *DeadlineChecker) RequestSent(id, attrs string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	timeout, _ := parseDeadline(attrs)
	if d.requests == nil {
		d.requests = map[string]clientWait{}
	}
	d.requests[id] = clientWait{expiresAt: d.now() + timeout, isRetry: strings.Contains(","+attrs+",", ",r=1,")}
}

// AttemptReceived reports that the last byte of an attempt has arrived at a server, with the attributes of
// its command.
func (d *DeadlineChecker) AttemptReceived(server, id, attrs string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	deadline, ok := parseDeadline(attrs)
	if !ok || !strings.HasPrefix(id, d.IDPrefix) {
		return
	}
	if d.counts == nil {
		d.counts = map[string]int{}
	}
	d.counts[id]++
	d.attempts = append(d.attempts, receivedAttempt{server, id, deadline, d.now(), d.counts[id]})
}

// AttemptCount returns how many attempts of a request servers have received.
func (d *DeadlineChecker) AttemptCount(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counts[id]
}

// Attempts counts the first attempts and the further attempts that servers have received.
func (d *DeadlineChecker) Attempts() (first, further int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.attempts {
		if a.number == 1 {
			first++
		} else {
			further++
		}
	}
	return first, further
}

// Violations describes the attempts whose server received a longer deadline than the client had left.
// Servers receive the parts of a multi-key read under the client's id followed by a slash and a number.
func (d *DeadlineChecker) Violations() (violations []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	slack := d.Slack
	if slack == 0 {
		slack = DeadlineSlack
	}
	for _, a := range d.attempts {
		request, ok := d.requests[a.id]
		if whole, _, many := strings.Cut(a.id, "/"); !ok && many {
			request, ok = d.requests[whole]
		}
		if !ok {
			violations = append(violations, fmt.Sprintf("%s: request %s: no client has sent it", a.server, a.id))
			continue
		}
		left := request.expiresAt - a.receivedAt
		if a.deadline <= left+slack { // also if nothing is left, as such an attempt must not begin
			continue
		}
		kind := "request"
		if request.isRetry {
			kind = "client's retry"
		}
		violations = append(violations, fmt.Sprintf("%s: attempt %d of %s %s: received deadline %v, and its client has %v left", a.server, a.number, kind, a.id, a.deadline, left))
	}
	return violations
}

// parseDeadline returns the deadline among the attributes of a command.
func parseDeadline(attrs string) (deadline time.Duration, ok bool) {
	for item := range strings.SplitSeq(attrs, ",") {
		if text, found := strings.CutPrefix(item, "d="); found {
			ms, err := strconv.ParseFloat(text, 64)
			return time.Duration(ms * float64(time.Millisecond)), err == nil
		}
	}
	return 0, false
}
