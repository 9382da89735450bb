package server

import (
	"sync/atomic"
	"testing"
	"time"

	"linenloom/internal/proxy"
	"linenloom/internal/standin"
)

// A further attempt for an ext_proc caller sends the origin the time that the caller has left by then, not
// the time that it had at first.
func TestFurtherAttemptSendsRemainingTime(t *testing.T) {
	var now atomic.Int64
	clock := func() time.Duration { return time.Duration(now.Load()) }
	deadlines := &standin.DeadlineChecker{Now: clock}
	fleet := newFleet(t, 1)
	fleet.SetDeadlines(deadlines)
	fleet.Caches[0].OnRead(func(string) { now.Add(int64(600 * time.Millisecond)) }) // a slow miss
	env := newHarness(t, fleet, operatorFile("answer", ""), func(cfg *proxy.Config) { cfg.Clock = clock })
	q := readRequest("k", "r1")
	q.Headers["x-envoy-expected-rq-timeout-ms"] = "2500"
	deadlines.RequestSent("r1", "d=2500")
	env.expect(env.do(q), 200, "value of k")
	if first, further := deadlines.Attempts(); first != 1 || further != 1 {
		t.Errorf("%d first attempts and %d further ones", first, further)
	}
	for _, v := range deadlines.Violations() {
		t.Error(v)
	}
}
