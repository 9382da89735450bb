package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"linenloom/internal/extproc/caller"
	"linenloom/internal/lab"
)

// TestOrdersOverKills repeatedly kills the program with both fronts while clients place orders at both and
// retry until they learn the outcome. No order may run twice, each receipt that a client got has to be on
// record, no order may stay in progress, and an order that is recorded as not run must not have run.
func TestOrdersOverKills(t *testing.T) {
	for mode, kills := range map[string]int{"answer": 12, "route": 10} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			p := newProcessor(t, mode)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			respAddr := l.Addr().String()
			l.Close()
			text, err := p.fleet.Config("n0", respAddr, "8c1f30d27a5be964", 128, 512)
			if err != nil {
				t.Fatal(err)
			}
			p.write(p.config, string(text))
			dir := filepath.Join(filepath.Dir(p.config), "orders")
			if err := os.Mkdir(dir, 0o700); err != nil {
				t.Fatal(err)
			}
			file, err := os.ReadFile(p.file)
			if err != nil {
				t.Fatal(err)
			}
			p.write(p.file, string(file)+fmt.Sprintf(`
[orders]
dir = %q
segment = 65536
compact_at = 100
strangers = "run"
receipts = ["resp2", "extproc"]
`, dir))
			p.fleet.Origin.SetService(3*time.Millisecond, 0)
			p.start()

			orderer := &lab.OrderClients{Addr: respAddr, KeyPrefix: "resp", Deadline: 4 * time.Second}
			orderer.Start(6)
			c := p.caller()
			c.MessageTimeout = time.Second
			var served atomic.Int64
			var mu sync.Mutex
			receipts := map[string]string{} // of the external processor's callers
			quit := make(chan struct{})
			var callers sync.WaitGroup
			for w := range 6 {
				callers.Go(func() {
					for n := 0; ; n++ {
						select {
						case <-quit:
							return
						default:
						}
						key := fmt.Sprintf("ext-%d-%d", w, n)
						ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
						res := c.Do(ctx, caller.Request{Method: "PUT", Path: "/orders/" + key, Body: []byte("one pass"),
							Headers: map[string]string{"x-request-id": "r" + key, "x-tenant": "kiosk", "idempotency-key": key}})
						cancel()
						if res.Status == 200 && !res.PassedThrough {
							served.Add(1)
							mu.Lock()
							receipts[key] = string(res.Body)
							mu.Unlock()
						}
					}
				})
			}
			progress := func() {
				t.Helper()
				r, e := orderer.Served.Load(), served.Load()
				p.waitUntil("both fronts serve", func() bool { return orderer.Served.Load() > r+15 && served.Load() > e+15 })
			}
			for range kills {
				progress()
				p.cmd.Process.Kill()
				p.cmd.Wait()
				p.start()
			}
			progress()
			orderer.Stop()
			close(quit)
			callers.Wait()
			p.cmd.Process.Signal(syscall.SIGTERM)
			if err := p.cmd.Wait(); err != nil {
				t.Error(err)
			}
			p.checkAtMostOnce()
			receiptsByKey := orderer.Receipts()
			if mode == "answer" { // in mode route, receipts do not pass through the processor
				for key, receipt := range receipts {
					receiptsByKey[key] = receipt
				}
			}
			states, err := lab.CheckOrders(dir, "kiosk", receiptsByKey, p.fleet.Origin.Executions())
			if err != nil {
				t.Error(err)
			}
			t.Logf("%v; told %d, of RESP2 %d served, %d refused, %d failed, %d broken", states, len(receiptsByKey), orderer.Served.Load(), orderer.Refused.Load(), orderer.Failed.Load(), orderer.ConnectionsBroken.Load())
		})
	}
}
