package server

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"linenloom/internal/proxy"
	"linenloom/internal/standin"
)

// An order that may have run and cannot be repeated is answered as soon as its outcome is known, in both
// modes: no response is marked for an attempt that will not be made, and the routing module's clock is not
// near the order's soft deadline.
func TestUnrepeatableOrderIsAnsweredAtOnce(t *testing.T) {
	for _, mode := range []string{"answer", "route"} {
		for name, fault := range map[string]func(*standin.Fleet){
			"500":   func(f *standin.Fleet) { f.Origin.SetFault(standin.Failing) },
			"reset": func(f *standin.Fleet) { f.Origin.SetResetAfterRun(true) },
		} {
			t.Run(mode+"/"+name, func(t *testing.T) {
				fleet := newFleet(t, 3)
				fault(fleet)
				var now atomic.Int64
				env := newHarness(t, fleet, operatorFile(mode, ""), func(c *proxy.Config) {
					c.Clock = func() time.Duration { return time.Duration(now.Load()) }
				})
				env.caller.Retries = 5
				ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
				defer cancel()
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					for range 500 { // of the soft deadline's 1,500 ms
						select {
						case <-ctx.Done():
							return
						case <-time.After(time.Millisecond):
							now.Add(int64(time.Millisecond))
							env.host.Tick()
						}
					}
				}()
				res := env.caller.Do(ctx, orderRequest("p", "1"))
				cancel()
				<-ended
				env.expect(res, 502, "may have run")
				if res.Attempts != 1 || fleet.Origin.Executions()["p"] != 1 {
					t.Errorf("%d calls of the processor, %d executions, want 1 and 1", res.Attempts, fleet.Origin.Executions()["p"])
				}
			})
		}
	}
}
