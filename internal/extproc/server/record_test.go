package server

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"linenloom/internal/extproc/caller"
	"linenloom/internal/orders"
	"linenloom/internal/orders/keeper"
	"linenloom/internal/orders/ledger"
	"linenloom/internal/proxy"
	"linenloom/internal/standin"
	"linenloom/internal/store/crash"
)

// Checks the answers to a caller that repeats an order by its idempotency key, in each mode, from the
// processor that handled the order and after a restart.
func TestRepeatedOrdersWithRecord(t *testing.T) {
	for name, c := range map[string]struct {
		mode       string
		fault      standin.Fault
		first      int
		repeat     int
		repeatText string // expected in the repeat's answer
		differs    bool   // the repeat is for a different order
		unknown    bool   // the order is unknown
	}{
		"answer, it has run":      {mode: "answer", first: 200, repeat: 200},
		"answer, it may have run": {mode: "answer", fault: standin.Failing, first: 502, repeat: 502, repeatText: "look it up"},
		"answer, another order":   {mode: "answer", first: 200, repeat: 422, repeatText: "another order", differs: true},
		"answer, nobody knows it": {mode: "answer", repeat: 502, repeatText: "look it up", unknown: true},
		"route, it has run":       {mode: "route", first: 200, repeat: 502, repeatText: "has run"},
		"route, nobody knows it":  {mode: "route", repeat: 502, repeatText: "look it up", unknown: true},
	} {
		t.Run(name, func(t *testing.T) {
			fleet, disk := newFleet(t, 1), crash.New()
			startHarness := func() *harness {
				return newHarness(t, fleet, operatorFile(c.mode, ""), func(cfg *proxy.Config) {
					k, err := keeper.Open(disk, keeper.Options{Options: ledger.Options{Limits: orders.Limits{Retention: time.Hour, MaxOrders: 100, MaxReceiptBytes: 1 << 20},
						SegmentSize: 64 << 10, CompactAfter: 100, MaxPending: 10}}, ledger.WallClock, slog.New(slog.DiscardHandler))
					if err != nil {
						t.Fatal(err)
					}
					cfg.Record, cfg.ReceiptFronts = k, []string{"extproc"}
				})
			}
			q := func(id string) caller.Request {
				q := orderRequest("o1", id)
				q.Headers["idempotency-key"] = "key-1"
				return q
			}
			env := startHarness()
			fleet.Origin.SetFault(c.fault)
			var receipt string
			if !c.unknown {
				res := env.do(q("w1"))
				if receipt = string(res.Body); res.Status != c.first {
					t.Fatalf("the first: %d %q", res.Status, receipt)
				}
			}
			fleet.Origin.SetFault(standin.Healthy)
			ran := fleet.Origin.Executions()["o1"]
			for i := range 2 {
				again := q(fmt.Sprint("w", 2+i))
				again.Headers["x-envoy-attempt-count"] = "2"
				if c.differs {
					again.Body = []byte("two passes")
				}
				res := env.do(again)
				if res.Status != c.repeat || !strings.Contains(string(res.Body), c.repeatText) || c.repeat == 200 && string(res.Body) != receipt {
					t.Errorf("repeat %d: %d %q, want %d %q", i, res.Status, res.Body, c.repeat, c.repeatText)
				}
				if n := fleet.Origin.Executions()["o1"]; n != ran {
					t.Errorf("repeat %d: it has run %d times, %d before", i, n, ran)
				}
				if i == 0 {
					env.stopAndWait()
					env = startHarness()
				}
			}
		})
	}
}
