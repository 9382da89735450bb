package lab

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"linenloom/internal/extproc/caller"
	"linenloom/internal/standin"
	"linenloom/internal/store/disk"
)

const (
	ordersRounds    = 2 // with the record off and on in turn
	ordersKills     = 10
	entriesPerOrder = 3 // per recorded order: taken, sent, ended
	ordersReaders   = 8
)

// Orders runs the scenario of recorded orders through both front ends, compared with the same program without
// a record and with bare synced appends to the disk.
func Orders(ctx context.Context, env *Env) (*Report, error) {
	report := &Report{Scenario: "orders"}
	partTime := max(time.Second, time.Duration(env.Seconds)*time.Second/(16*ordersRounds))
	syncs, err := env.measureBareSyncs(partTime)
	if err != nil {
		return report, err
	}
	report.AddValue("bare appends a second, synced one by one", syncs)
	for _, clients := range []int{1, 16, 64, 256} {
		for _, front := range []string{"RESP2", "processor"} {
			if front == "processor" && clients == 256 {
				continue // as many streams as a caller's connection carries are not the usual case
			}
			env.Log("orders: %s, %d clients", front, clients)
			var rate [2]float64
			var latencies [2][]time.Duration
			for range ordersRounds {
				for on := range rate {
					ordersPerSecond, partLatencies, err := env.measureOrders(ctx, front, clients, on == 1, partTime)
					if err != nil {
						return report, err
					}
					rate[on] += ordersPerSecond / ordersRounds
					latencies[on] = append(latencies[on], partLatencies...)
				}
			}
			name := fmt.Sprintf("%s, %d clients: ", front, clients)
			report.AddValue(name+"orders a second, on record", rate[1])
			report.AddValue(name+"of those without a record", rate[1]/rate[0])
			report.AddValue(name+"entries on stable storage for each sync that the disk makes one by one", entriesPerOrder*rate[1]/syncs)
			for on, label := range []string{"without", "on record"} {
				report.AddValue(name+label+", p50, ms", milliseconds(quantile(latencies[on], 0.5)))
				report.AddValue(name+label+", p99, ms", milliseconds(quantile(latencies[on], 0.99)))
			}
		}
	}
	if err := env.measureReadsBesideOrders(report, partTime); err != nil {
		return report, err
	}
	return report, env.measureOrdersAfterKills(report)
}

// measureBareSyncs returns the number of appends per second that one writer syncs to this disk.
func (e *Env) measureBareSyncs(d time.Duration) (float64, error) {
	dir, err := e.emptyDir("orders-bare")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	return measureStoreMethod(disk.Dir(dir), 0, 1, d, make([]byte, storeRecordBytes))
}

func (e *Env) emptyDir(name string) (string, error) {
	dir := filepath.Join(e.Dir, name)
	if err := os.RemoveAll(dir); err != nil {
		return "", err
	}
	return dir, os.MkdirAll(dir, 0o700)
}

// ordersSettings returns the operator's settings for a record in the folder; "" stands for no record.
func ordersSettings(dir string) string {
	if dir == "" {
		return ""
	}
	return fmt.Sprintf("[orders]\ndir = %q\nstrangers = \"run\"\nline = 1024\nreceipts = [\"resp2\", \"extproc\"]\n", dir)
}

// startWithRecord starts a program in front of a fleet, with a record or without.
func (e *Env) startWithRecord(front string, fleet *standin.Fleet, dir string) (addr string, p *Process, err error) {
	settings := ordersSettings(dir)
	if front == "processor" {
		listen, err := standin.FreeAddr()
		if err != nil {
			return "", nil, err
		}
		p, err = e.startProcessorWith("orders", fleet, "127.0.0.1:0", OperatorFile(listen, "answer", "2s")+settings)
		return listen, p, err
	}
	return e.startProxyWith("orders", fleet, settings)
}

// measureOrders runs clients that place orders for the given time, and returns the orders served per second
// and their latencies.
func (e *Env) measureOrders(ctx context.Context, front string, clients int, withRecord bool, duration time.Duration) (rate float64, latencies []time.Duration, err error) {
	fleet, err := standin.NewFleet(2, 64)
	if err != nil {
		return 0, nil, err
	}
	defer fleet.Close()
	dir := ""
	if withRecord {
		if dir, err = e.emptyDir("orders-record"); err != nil {
			return 0, nil, err
		}
		defer os.RemoveAll(dir)
	}
	addr, process, err := e.startWithRecord(front, fleet, dir)
	if err != nil {
		return 0, nil, err
	}
	defer process.Kill()
	if front == "processor" {
		return placeThroughProcessor(ctx, addr, clients, duration)
	}
	orderClients := &OrderClients{Addr: addr, KeyPrefix: "o", Deadline: 3 * time.Second}
	orderClients.Start(clients)
	time.Sleep(duration)
	served := orderClients.Served.Load()
	orderClients.Stop()
	if latencies = orderClients.FirstTryLatencies(); len(latencies) == 0 {
		return 0, nil, fmt.Errorf("no order was served: %d refused, %d failed", orderClients.Refused.Load(), orderClients.Failed.Load())
	}
	return float64(served) / duration.Seconds(), latencies, nil
}

// placeThroughProcessor is measureOrders for the external processor.
func placeThroughProcessor(ctx context.Context, addr string, clients int, duration time.Duration) (rate float64, latencies []time.Duration, err error) {
	processorCaller, err := caller.Dial(addr)
	if err != nil {
		return 0, nil, err
	}
	defer processorCaller.Close()
	processorCaller.MessageTimeout = 3 * time.Second
	var group sync.WaitGroup
	var mu sync.Mutex
	var notServed atomic.Int64
	start := time.Now()
	for w := range clients {
		group.Go(func() {
			for n := 0; time.Since(start) < duration; n++ {
				key := fmt.Sprintf("x-%d-%d", w, n)
				sentAt := time.Now()
				result := processorCaller.Do(ctx, caller.Request{Method: "PUT", Path: "/orders/" + key, Body: []byte("one pass"),
					Headers: map[string]string{"x-request-id": key, "idempotency-key": key}})
				if result.Status != 200 {
					notServed.Add(1)
					continue
				}
				mu.Lock()
				latencies = append(latencies, time.Since(sentAt))
				mu.Unlock()
			}
		})
	}
	group.Wait()
	if len(latencies) == 0 {
		return 0, nil, fmt.Errorf("no order was served; %d were not", notServed.Load())
	}
	return float64(len(latencies)) / time.Since(start).Seconds(), latencies, nil
}

// measureReadsBesideOrders compares reads beside recorded orders with reads beside orders without a record.
func (e *Env) measureReadsBesideOrders(report *Report, duration time.Duration) error {
	var rate [2]float64
	var longestGap [2]time.Duration
	for range ordersRounds {
		for on := range rate {
			fleet, err := standin.NewFleet(2, 64)
			if err != nil {
				return err
			}
			defer fleet.Close()
			dir := ""
			if on == 1 {
				if dir, err = e.emptyDir("orders-reads"); err != nil {
					return err
				}
			}
			addr, process, err := e.startWithRecord("RESP2", fleet, dir)
			if err != nil {
				return err
			}
			orderClients := &OrderClients{Addr: addr, KeyPrefix: "o", Deadline: 3 * time.Second}
			orderClients.Start(4)
			readers := ClientLoad{Addr: addr}
			readers.Start(ordersReaders, 64, 0)
			if err := readers.AwaitServed(100); err != nil {
				return err
			}
			servedBefore := readers.Served.Load()
			readers.LongestGap()
			time.Sleep(duration)
			rate[on] += float64(readers.Served.Load()-servedBefore) / duration.Seconds() / ordersRounds
			longestGap[on] = max(longestGap[on], readers.LongestGap())
			readers.Stop()
			orderClients.Stop()
			process.Kill()
			if notServed := readers.Refused.Load() + readers.Failed.Load() + readers.Late.Load(); notServed > 0 {
				return fmt.Errorf("%d reads beside orders were refused, failed or late", notServed)
			}
		}
	}
	report.AtLeast("reads a second beside orders on record, of those beside orders without", rate[1]/rate[0], 0.9)
	report.AddValue("the longest time without an answer to a read, beside orders on record, ms", milliseconds(longestGap[1]))
	report.AddValue("the same without a record, ms", milliseconds(longestGap[0]))
	return nil
}

// measureOrdersAfterKills measures the time from SIGKILL to the first order served, and checks the record
// against the clients' receipts and the origin's executions.
func (e *Env) measureOrdersAfterKills(report *Report) error {
	fleet, err := standin.NewFleet(2, 64)
	if err != nil {
		return err
	}
	defer fleet.Close()
	dir, err := e.emptyDir("orders-kills")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	addr, process, err := e.startWithRecord("RESP2", fleet, dir)
	if err != nil {
		return err
	}
	orderClients := &OrderClients{Addr: addr, KeyPrefix: "o", Deadline: 3 * time.Second}
	orderClients.Start(16)
	var longest, total time.Duration
	for range ordersKills {
		servedBefore := orderClients.Served.Load()
		if err := eventually("orders are served", func() bool { return orderClients.Served.Load() > servedBefore+500 }); err != nil {
			return err
		}
		process.Kill()
		killedAt := time.Now()
		servedBefore = orderClients.Served.Load()
		if process, err = Start("msg=ready", []string{"LB_CONFIG=" + filepath.Join(e.Dir, "orders.json"), "LB_LISTEN=" + addr}, e.Bin+"/linenloom",
			"-operator", filepath.Join(e.Dir, "orders.toml")); err != nil {
			return err
		}
		if err := eventually("orders are served again", func() bool { return orderClients.Served.Load() > servedBefore }); err != nil {
			return err
		}
		elapsed := time.Since(killedAt)
		longest, total = max(longest, elapsed), total+elapsed
	}
	orderClients.Stop()
	if err := process.Stop(); err != nil {
		return err
	}
	states, err := CheckOrders(dir, "kiosk", orderClients.Receipts(), fleet.Origin.Executions())
	if err != nil {
		return err
	}
	report.AddValue("kills", ordersKills)
	report.AddValue("from SIGKILL to the first order served again, mean, ms", milliseconds(total/ordersKills))
	report.AddValue("the longest, ms", milliseconds(longest))
	report.AddValue("orders that clients were promised nothing of, for each kill", float64(orderClients.Failed.Load())/ordersKills)
	for s, n := range states {
		report.AddValue("orders on record: "+s.String(), float64(n))
	}
	return nil
}
