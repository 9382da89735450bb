package cluster

import (
	"fmt"
	"os"
	"strings"
	"time"

	"linenloom/internal/standin"
)

const (
	// cacheServiceTime is how long the caches of a harness take for a request.
	cacheServiceTime = 12 * time.Millisecond
	// slowAnswer is the time from which an instance may find an answer slow, and its zone at fault (docs/zones.md).
	slowAnswer = 50 * time.Millisecond
	// maxSchedulingDelay is the delay of a process that alone makes the answers of healthy caches slow.
	maxSchedulingDelay = slowAnswer - cacheServiceTime
	// maxRuns is how often a scenario is run until its verdict doesn't depend on a busy machine.
	maxRuns = 4
	// delayLogText is in the log of a proxy that was scheduled too late.
	delayLogText = "msg=scheduled-late"
)

// logDelays logs on standard error when this process, a proxy, is scheduled too late.
func logDelays() {
	for {
		delay := standin.MeasureSchedulingDelay()
		time.Sleep(100 * time.Millisecond)
		if by := delay.Stop(); by > maxSchedulingDelay {
			fmt.Fprintf(os.Stderr, "time=%s level=INFO %s by=%v\n", time.Now().Format(time.RFC3339Nano), delayLogText, by)
		}
	}
}

// inconclusive ends a run in which processes were scheduled so late that healthy zones may have looked slow.
// Proxies rightly leave such zones.
type inconclusive struct{ reason string }

// failState fails the test because a zone is not in the state that it has to be in, or ends the run without a
// verdict if processes were scheduled too late and the scenario may be run again.
func (h *harness) failState(format string, args ...any) {
	h.t.Helper()
	reason := fmt.Sprintf(format, args...) + h.describeDelays()
	if h.mayRunAgain && h.disturbed() {
		panic(inconclusive{reason})
	}
	h.t.Fatal(reason)
}

// disturbed reports whether the test's own process or a proxy was scheduled too late since the harness was started.
func (h *harness) disturbed() bool {
	return h.delay.Stop() > maxSchedulingDelay || len(h.proxyDelays()) > 0
}

// proxyDelays returns the log lines of proxies that were scheduled too late since the harness was started, other than
// those that the test has paused itself.
func (h *harness) proxyDelays() (lines []string) {
	for _, p := range h.Proxies {
		for _, line := range p.LogLines(delayLogText) {
			at, err := loggedAt(line)
			if err == nil && at.After(h.readyAt) && !h.expectsLoss(p.Name, at) {
				lines = append(lines, line)
			}
		}
	}
	return lines
}

// expectsLoss reports whether a proxy's process may be paused, killed or cut off at a time.
func (h *harness) expectsLoss(proxy string, at time.Time) bool {
	h.Clients.mu.Lock()
	defer h.Clients.mu.Unlock()
	return h.mayLose(proxy, at, at)
}

// loggedAt returns the time of a log line.
func loggedAt(line string) (time.Time, error) {
	text, _, _ := strings.Cut(strings.TrimPrefix(line, "time="), " ")
	return time.Parse(time.RFC3339Nano, text)
}

func (h *harness) describeDelays() string {
	return fmt.Sprintf("; the rig's own goroutines were late by %v, and proxies %d times over %v", h.delay.Stop(), len(h.proxyDelays()), maxSchedulingDelay)
}

// runScenario runs a scenario and checks the rules. It reports whether the run has a verdict on the states of the zones; a
// broken rule counts in any case.
func (h *harness) runScenario(run func(h *harness)) (conclusive bool) {
	defer func() {
		if h.t.Failed() {
			h.logZones()
		}
		h.close()
	}()
	conclusive = h.runSteps(run)
	h.Stop()
	for _, violation := range h.Violations() {
		h.t.Error(violation)
	}
	if all := h.Requests(time.Time{}, time.Now()); conclusive && len(all) < 500 {
		h.t.Errorf("only %d requests were asked", len(all))
	}
	return conclusive
}

// runSteps runs the steps of a scenario and reports whether they came to a verdict.
func (h *harness) runSteps(run func(h *harness)) (conclusive bool) {
	defer func() {
		switch reason := recover().(type) {
		case nil:
		case inconclusive:
			h.t.Logf("no verdict, the machine was too busy: %s", reason.reason)
			conclusive = false
		default:
			panic(reason)
		}
	}()
	run(h)
	return true
}

// logZones logs what the proxies decided about zones, and when they were scheduled late.
func (h *harness) logZones() {
	h.t.Helper()
	for _, p := range h.Proxies {
		for _, text := range []string{"msg=zone ", delayLogText} {
			h.t.Log(strings.Join(p.LogLines(text), "\n"))
		}
	}
}
