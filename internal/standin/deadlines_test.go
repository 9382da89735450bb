package standin

import (
	"strings"
	"testing"
	"time"
)

// The checker reports a deadline that exceeds the client's remaining time by more than the slack, at any
// attempt and in whatever order client and servers report, and nothing else.
func TestDeadlineCheckerFindsViolations(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		sent      string // the client's attributes
		received  []string
		after     time.Duration
		want      string // part of the violation; empty if there is none
		unordered bool   // the servers report first
	}{
		"as much as is left":       {sent: "c=read,d=1000", received: []string{"c=read,d=600"}, after: 400 * ms},
		"within the slack":         {sent: "d=1000", received: []string{"d=750"}, after: 400 * ms},
		"over the slack":           {sent: "d=1000", received: []string{"d=751"}, after: 400 * ms, want: "attempt 1 of request id: received deadline 751ms, and its client has 600ms left"},
		"a further attempt":        {sent: "d=1000", received: []string{"d=100", "d=1000"}, after: 400 * ms, want: "attempt 2 of request id"},
		"a client's retry":         {sent: "r=1,d=1000", received: []string{"d=1000,r=1"}, after: 400 * ms, want: "attempt 1 of client's retry id"},
		"just over":                {sent: "d=1000", received: []string{"d=1"}, after: 1149 * ms},
		"over for longer":          {sent: "d=1000", received: []string{"d=1"}, after: 1150 * ms, want: "-150ms left"},
		"a fraction":               {sent: "d=1000.5", received: []string{"d=750.6"}, after: 400 * ms, want: "received deadline 750.6ms"},
		"no deadline told":         {sent: "d=1000", received: []string{"c=read"}, after: 5000 * ms},
		"the servers report first": {sent: "d=1000", received: []string{"d=1200"}, unordered: true, want: "received deadline 1.2s"},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Duration(0)
			checker := DeadlineChecker{Now: func() time.Duration { return now }}
			if !c.unordered {
				checker.RequestSent("id", c.sent)
				now = c.after
			}
			for _, attrs := range c.received {
				checker.AttemptReceived("s-1", "id", attrs)
			}
			if c.unordered {
				checker.RequestSent("id", c.sent)
			}
			got := strings.Join(checker.Violations(), "; ")
			if c.want == "" && got != "" || !strings.Contains(got, c.want) {
				t.Errorf("violations %q, want %q", got, c.want)
			}
		})
	}
}

// The parts of a multi-key read belong to their client's request, and attempts of requests that no client
// has sent are reported.
func TestDeadlineCheckerMatchesRequests(t *testing.T) {
	now := time.Duration(0)
	checker := DeadlineChecker{Now: func() time.Duration { return now }}
	checker.RequestSent("many", "d=1000")
	now = time.Second
	checker.AttemptReceived("s-1", "many/3", "d=1000")
	checker.AttemptReceived("s-1", "stranger", "d=10")
	prefixed := DeadlineChecker{IDPrefix: "own-"}
	prefixed.AttemptReceived("s-1", "another's", "d=10")
	if first, further := prefixed.Attempts(); first+further > 0 {
		t.Error("requests of others are looked at")
	}
	got := strings.Join(checker.Violations(), "; ")
	if !strings.Contains(got, "many/3: received deadline 1s, and its client has 0s left") || !strings.Contains(got, "stranger: no client has sent it") {
		t.Errorf("violations %q", got)
	}
	if first, further := checker.Attempts(); first != 2 || further != 0 {
		t.Errorf("%d first attempts and %d further ones", first, further)
	}
}
