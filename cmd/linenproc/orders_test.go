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

// The program with both fronts is killed again and again while clients place orders at both, each until it hears what has become of its order:
// none runs twice, each receipt that was told is on record, nothing is in hand for ever, and what the record says never ran has not.
func TestOrdersOverKills(t *testing.T) {
	for mode, kills := range map[string]int{"answer": 12, "route": 10} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			p := newPlace(t, mode)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			redis := l.Addr().String()
			l.Close()
			text, err := p.fleet.Config("n0", redis, "8c1f30d27a5be964", 128, 512)
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

			at := &lab.OrderClients{Addr: redis, KeyPrefix: "resp", Deadline: 4 * time.Second}
			at.Start(6)
			c := p.caller()
			c.MessageTimeout = time.Second
			var served atomic.Int64
			var mu sync.Mutex
			receipts := map[string]string{} // of the processor's callers
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
						ctx, cancel := context.WithTimeout(context.Background(), patience)
						res := c.Do(ctx, caller.Request{Method: "PUT", Path: "/orders/" + key, Body: []byte("one pass"),
							Headers: map[string]string{"x-request-id": "r" + key, "x-tenant": "kiosk", "idempotency-key": key}})
						cancel()
						if res.Status == 200 && !res.Passed {
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
				r, e := at.Served.Load(), served.Load()
				p.eventually("both fronts serve", func() bool { return at.Served.Load() > r+15 && served.Load() > e+15 })
			}
			for range kills {
				progress()
				p.cmd.Process.Kill()
				p.cmd.Wait()
				p.start()
			}
			progress()
			at.Stop()
			close(quit)
			callers.Wait()
			p.cmd.Process.Signal(syscall.SIGTERM)
			if err := p.cmd.Wait(); err != nil {
				t.Error(err)
			}
			p.onceEach()
			told := at.Receipts()
			if mode == "answer" { // in the other one receipts don't come through here
				for key, receipt := range receipts {
					told[key] = receipt
				}
			}
			states, err := lab.CheckOrders(dir, "kiosk", told, p.fleet.Origin.Executions())
			if err != nil {
				t.Error(err)
			}
			t.Logf("%v; told %d, of RESP2 %d served, %d refused, %d failed, %d broken", states, len(told), at.Served.Load(), at.Refused.Load(), at.Failed.Load(), at.ConnectionsBroken.Load())
		})
	}
}
