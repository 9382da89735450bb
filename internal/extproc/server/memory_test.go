package server

import (
	"testing"
	"time"

	"linenloom/internal/extproc/caller"
	"linenloom/internal/proxy"
	"linenloom/internal/reasons"
)

// Guards against a proxy that is killed for its memory: answers to calls that were accepted while there was memory
// are held for their callers. A read whose answer does not fit is refused; an order that has run is served.
func TestAnswersToCallsStayWithinTheMemory(t *testing.T) {
	const memoryMB = 8
	const maxHeld = memoryMB << 20 * 3 / 8 // as docs/memory.md promises
	const otherHeld = maxHeld - 8
	fleet := newFleet(t, 1)
	fleet.Fill("warm")
	env := newHarness(t, fleet, operatorFile("answer", ""), func(c *proxy.Config) { c.MemoryMB = memoryMB })
	for _, c := range []struct {
		request caller.Request
		code    int
	}{
		{readRequest("warm", "r1"), 429},
		{orderRequest("pass", "r2"), 200},
	} {
		fleet.Caches[0].SetService(300*time.Millisecond, 0)
		fleet.Origin.SetService(300*time.Millisecond, 0)
		result := make(chan caller.Result)
		go func() { result <- env.do(c.request) }()
		env.eventually("the call is accepted", func() bool { return env.host.Load().Requests == 1 })
		env.host.Do(func() { env.host.AddBuffered(otherHeld) })
		env.expect(<-result, c.code, "")
		env.host.Do(func() { env.host.AddBuffered(-otherHeld) })
		env.waitIdle()
	}
	if n := env.host.Reasons().Total(reasons.Refused, reasons.HostFull); n != 1 {
		t.Errorf("%v requests were refused for want of memory, want the read alone", n)
	}
	fleet.Caches[0].SetService(0, 0)
	env.expect(env.do(readRequest("warm", "r3")), 200, "value of warm ")
}
