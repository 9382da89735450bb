package standin

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// DeadlineSlack is by how much the deadline that a server is told may exceed what the client has left.
const DeadlineSlack = 150 * time.Millisecond

// DeadlineChecker checks that no server is told a longer deadline than its client has left. Clients report what they send, servers what they are
// told, and both may do so from any goroutine. The verdict is formed at the end, by Violations, so that the order of the reports does not matter.
type DeadlineChecker struct {
	// Now is the time on the clock by which clients wait; nil: the system's, since the first report.
	Now func() time.Duration
	// Slack is allowed instead of DeadlineSlack, where the servers' own clocks are late as well; 0: DeadlineSlack.
	Slack time.Duration

	// IDPrefix begins the ids of the clients' requests. Others are somebody else's, and not looked at.
	IDPrefix string

	mu        sync.Mutex
	startedAt time.Time
	requests  map[string]clientWait
	counts    map[string]int // attempts, by request
	attempts  []receivedAttempt
}

// clientWait is until when a client waits.
type clientWait struct {
	expiresAt time.Duration
	isRetry   bool // the client marked it as a retry of its own
}

// receivedAttempt is what a server was told of an attempt, once its last byte had come.
type receivedAttempt struct {
	server, id           string
	deadline, receivedAt time.Duration
	number               int // of the attempts of its request, from 1
}

// now is the time of a report.
func (d *DeadlineChecker) now() time.Duration {
	if d.Now != nil {
		return d.Now()
	}
	if d.startedAt.IsZero() {
		d.startedAt = time.Now()
	}
	return time.Since(d.startedAt)
}

// RequestSent reports that a client has written the last byte of a request, with its list of names and values as it stands in the command. It may be
// called again for the same request, if the bytes went out later than was thought.
func (d *DeadlineChecker) RequestSent(id, attrs string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	wait, _ := parseDeadline(attrs)
	if d.requests == nil {
		d.requests = map[string]clientWait{}
	}
	d.requests[id] = clientWait{expiresAt: d.now() + wait, isRetry: strings.Contains(","+attrs+",", ",r=1,")}
}

// AttemptReceived reports that the last byte of an attempt has come at a server, with its list of names and values.
func (d *DeadlineChecker) AttemptReceived(server, id, attrs string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	told, ok := parseDeadline(attrs)
	if !ok || !strings.HasPrefix(id, d.IDPrefix) {
		return
	}
	if d.counts == nil {
		d.counts = map[string]int{}
	}
	d.counts[id]++
	d.attempts = append(d.attempts, receivedAttempt{server, id, told, d.now(), d.counts[id]})
}

// AttemptCount is how many attempts of a request servers were told of.
func (d *DeadlineChecker) AttemptCount(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counts[id]
}

// Attempts counts the first attempts and the further ones that servers were told of.
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

// Violations describes the attempts whose server was told of more than the client had left. A read of several keys at once is known to its
// servers by the client's id, a slash and a number.
func (d *DeadlineChecker) Violations() (all []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	slack := d.Slack
	if slack == 0 {
		slack = DeadlineSlack
	}
	for _, a := range d.attempts {
		r, ok := d.requests[a.id]
		if whole, _, many := strings.Cut(a.id, "/"); !ok && many {
			r, ok = d.requests[whole]
		}
		if !ok {
			all = append(all, fmt.Sprintf("%s: request %s: no client has sent it", a.server, a.id))
			continue
		}
		left := r.expiresAt - a.receivedAt
		if a.deadline <= left+slack { // also where nothing is left any more: such an attempt should not have begun
			continue
		}
		of := "request"
		if r.isRetry {
			of = "client's retry"
		}
		all = append(all, fmt.Sprintf("%s: attempt %d of %s %s: told %v, and its client has %v left", a.server, a.number, of, a.id, a.deadline, left))
	}
	return all
}

// parseDeadline is the deadline in a list of names and values.
func parseDeadline(attrs string) (wait time.Duration, ok bool) {
	for item := range strings.SplitSeq(attrs, ",") {
		if text, is := strings.CutPrefix(item, "d="); is {
			ms, err := strconv.ParseFloat(text, 64)
			return time.Duration(ms * float64(time.Millisecond)), err == nil
		}
	}
	return 0, false
}
