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
	entriesPerOrder = 3 // of an order on record: taken, sent, ended
	ordersReaders   = 8
)

// Orders is the scenario of orders on record through both fronts, beside the same program without a record and the disk's own syncs.
func Orders(ctx context.Context, e *Env) (*Report, error) {
	r := &Report{Scenario: "orders"}
	each := max(time.Second, time.Duration(e.Seconds)*time.Second/(16*ordersRounds))
	syncs, err := e.measureBareSyncs(each)
	if err != nil {
		return r, err
	}
	r.AddValue("bare appends a second, synced one by one", syncs)
	for _, clients := range []int{1, 16, 64, 256} {
		for _, front := range []string{"RESP2", "processor"} {
			if front == "processor" && clients == 256 {
				continue // as many streams as its callers' connection carries are not its usual case
			}
			e.Log("orders: %s, %d clients", front, clients)
			var rate [2]float64
			var took [2][]time.Duration
			for range ordersRounds {
				for on := range rate {
					got, times, err := e.measureOrders(ctx, front, clients, on == 1, each)
					if err != nil {
						return r, err
					}
					rate[on] += got / ordersRounds
					took[on] = append(took[on], times...)
				}
			}
			name := fmt.Sprintf("%s, %d clients: ", front, clients)
			r.AddValue(name+"orders a second, on record", rate[1])
			r.AddValue(name+"of those without a record", rate[1]/rate[0])
			r.AddValue(name+"entries on stable storage for each sync that the disk makes one by one", entriesPerOrder*rate[1]/syncs)
			for on, what := range []string{"without", "on record"} {
				r.AddValue(name+what+", p50, ms", milliseconds(quantile(took[on], 0.5)))
				r.AddValue(name+what+", p99, ms", milliseconds(quantile(took[on], 0.99)))
			}
		}
	}
	if err := e.measureReadsBesideOrders(r, each); err != nil {
		return r, err
	}
	return r, e.measureOrdersAfterKills(r)
}

// measureBareSyncs is how many appends a second one writer gets onto this disk.
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

// ordersSettings is the operator's table of a record; "": none.
func ordersSettings(dir string) string {
	if dir == "" {
		return ""
	}
	return fmt.Sprintf("[orders]\ndir = %q\nstrangers = \"run\"\nline = 1024\nreceipts = [\"resp2\", \"extproc\"]\n", dir)
}

// startWithRecord starts a program before a fleet, with a record or without.
func (e *Env) startWithRecord(front string, fleet *standin.Fleet, dir string) (addr string, p *Process, err error) {
	text := ordersSettings(dir)
	if front == "processor" {
		listen, err := standin.FreeAddr()
		if err != nil {
			return "", nil, err
		}
		p, err = e.startProcessorWith("orders", fleet, "127.0.0.1:0", OperatorFile(listen, "answer", "2s")+text)
		return listen, p, err
	}
	return e.startProxyWith("orders", fleet, text)
}

// measureOrders has so many clients place orders for a while, and tells how many a second were served, and how long each took.
func (e *Env) measureOrders(ctx context.Context, front string, clients int, on bool, d time.Duration) (rate float64, took []time.Duration, err error) {
	fleet, err := standin.NewFleet(2, 64)
	if err != nil {
		return 0, nil, err
	}
	defer fleet.Close()
	dir := ""
	if on {
		if dir, err = e.emptyDir("orders-record"); err != nil {
			return 0, nil, err
		}
		defer os.RemoveAll(dir)
	}
	addr, p, err := e.startWithRecord(front, fleet, dir)
	if err != nil {
		return 0, nil, err
	}
	defer p.Kill()
	if front == "processor" {
		return placeThroughProcessor(ctx, addr, clients, d)
	}
	o := &OrderClients{Addr: addr, KeyPrefix: "o", Deadline: 3 * time.Second}
	o.Start(clients)
	time.Sleep(d)
	served := o.Served.Load()
	o.Stop()
	if took = o.FirstTryLatencies(); len(took) == 0 {
		return 0, nil, fmt.Errorf("no order was served: %d refused, %d failed", o.Refused.Load(), o.Failed.Load())
	}
	return float64(served) / d.Seconds(), took, nil
}

// placeThroughProcessor is placed at the processor.
func placeThroughProcessor(ctx context.Context, addr string, clients int, d time.Duration) (rate float64, took []time.Duration, err error) {
	c, err := caller.Dial(addr)
	if err != nil {
		return 0, nil, err
	}
	defer c.Close()
	c.MessageTimeout = 3 * time.Second
	var all sync.WaitGroup
	var mu sync.Mutex
	var other atomic.Int64
	begun := time.Now()
	for w := range clients {
		all.Go(func() {
			for n := 0; time.Since(begun) < d; n++ {
				key := fmt.Sprintf("x-%d-%d", w, n)
				at := time.Now()
				res := c.Do(ctx, caller.Request{Method: "PUT", Path: "/orders/" + key, Body: []byte("one pass"),
					Headers: map[string]string{"x-request-id": key, "idempotency-key": key}})
				if res.Status != 200 {
					other.Add(1)
					continue
				}
				mu.Lock()
				took = append(took, time.Since(at))
				mu.Unlock()
			}
		})
	}
	all.Wait()
	if len(took) == 0 {
		return 0, nil, fmt.Errorf("no order was served; %d ended otherwise", other.Load())
	}
	return float64(len(took)) / time.Since(begun).Seconds(), took, nil
}

// measureReadsBesideOrders holds reads beside orders on record against reads beside orders without.
func (e *Env) measureReadsBesideOrders(r *Report, d time.Duration) error {
	var rate [2]float64
	var pause [2]time.Duration
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
			addr, p, err := e.startWithRecord("RESP2", fleet, dir)
			if err != nil {
				return err
			}
			o := &OrderClients{Addr: addr, KeyPrefix: "o", Deadline: 3 * time.Second}
			o.Start(4)
			door := ClientLoad{Addr: addr}
			door.Start(ordersReaders, 64, 0)
			if err := door.AwaitServed(100); err != nil {
				return err
			}
			from := door.Served.Load()
			door.LongestGap()
			time.Sleep(d)
			rate[on] += float64(door.Served.Load()-from) / d.Seconds() / ordersRounds
			pause[on] = max(pause[on], door.LongestGap())
			door.Stop()
			o.Stop()
			p.Kill()
			if n := door.Refused.Load() + door.Failed.Load() + door.Late.Load(); n > 0 {
				return fmt.Errorf("%d reads beside orders were refused, failed or late", n)
			}
		}
	}
	r.AtLeast("reads a second beside orders on record, of those beside orders without", rate[1]/rate[0], 0.9)
	r.AddValue("the longest time without an answer to a read, beside orders on record, ms", milliseconds(pause[1]))
	r.AddValue("the same without a record, ms", milliseconds(pause[0]))
	return nil
}

// measureOrdersAfterKills measures from SIGKILL to the first order served, and holds the record against what clients and the origin know.
func (e *Env) measureOrdersAfterKills(r *Report) error {
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
	addr, p, err := e.startWithRecord("RESP2", fleet, dir)
	if err != nil {
		return err
	}
	o := &OrderClients{Addr: addr, KeyPrefix: "o", Deadline: 3 * time.Second}
	o.Start(16)
	var worst, sum time.Duration
	for range ordersKills {
		from := o.Served.Load()
		if err := eventually("orders are served", func() bool { return o.Served.Load() > from+500 }); err != nil {
			return err
		}
		p.Kill()
		begun := time.Now()
		from = o.Served.Load()
		if p, err = Start("msg=ready", []string{"LB_CONFIG=" + filepath.Join(e.Dir, "orders.json"), "LB_LISTEN=" + addr}, e.Bin+"/linenloom",
			"-operator", filepath.Join(e.Dir, "orders.toml")); err != nil {
			return err
		}
		if err := eventually("orders are served again", func() bool { return o.Served.Load() > from }); err != nil {
			return err
		}
		took := time.Since(begun)
		worst, sum = max(worst, took), sum+took
	}
	o.Stop()
	if err := p.Stop(); err != nil {
		return err
	}
	states, err := CheckOrders(dir, "kiosk", o.Receipts(), fleet.Origin.Executions())
	if err != nil {
		return err
	}
	r.AddValue("kills", ordersKills)
	r.AddValue("from SIGKILL to the first order served again, mean, ms", milliseconds(sum/ordersKills))
	r.AddValue("the longest, ms", milliseconds(worst))
	r.AddValue("orders that clients were promised nothing of, for each kill", float64(o.Failed.Load())/ordersKills)
	for s, n := range states {
		r.AddValue("orders on record: "+s.String(), float64(n))
	}
	return nil
}
