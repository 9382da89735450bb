package lab

import (
	"errors"
	"fmt"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"linenloom/internal/orders"
	"linenloom/internal/orders/ledger"
	"linenloom/internal/store/disk"
)

// OrderClients is a set of clients that place orders with idempotency keys over RESP2. An order that was
// refused or whose connection broke is sent again under the same key, marked as a repeat, until its outcome
// is known.
type OrderClients struct {
	Addr      string
	KeyPrefix string // prefix of the idempotency keys
	Deadline  time.Duration

	Served, Refused, Failed, ConnectionsBroken atomic.Int64
	receipts                                   map[string]string
	firstTryLatencies                          []time.Duration // of orders served at the first attempt
	mu                                         sync.Mutex
	stop                                       chan struct{}
	clients                                    sync.WaitGroup
}

// Start starts the given number of clients.
func (o *OrderClients) Start(clients int) {
	o.stop, o.receipts = make(chan struct{}), map[string]string{}
	for c := range clients {
		o.clients.Go(func() {
			var conn *redisClient
			for n := 0; ; n++ {
				select {
				case <-o.stop:
					if conn != nil {
						conn.conn.Close()
					}
					return
				default:
					conn = o.placeOrder(conn, fmt.Sprintf("%s-%d-%d", o.KeyPrefix, c, n))
				}
			}
		})
	}
}

// Stop waits until each client has completed its current order, and ends the clients.
func (o *OrderClients) Stop() {
	close(o.stop)
	o.clients.Wait()
}

// placeOrder places one order and returns the connection if it is still usable.
func (o *OrderClients) placeOrder(conn *redisClient, key string) *redisClient {
	attrs := fmt.Sprintf("c=pass-order,t=kiosk,k=%s,d=%d", key, o.Deadline.Milliseconds())
	for attempt := 0; ; attempt++ {
		if conn == nil {
			var err error
			if conn, err = dialRedis(o.Addr); err != nil {
				conn = nil
				time.Sleep(2 * time.Millisecond) // no process is listening yet
				continue
			}
		}
		sentAt := time.Now()
		answer, err := conn.do("OBJ.SET", key, fmt.Sprint(key, ".", attempt), attrs, "one pass")
		if !strings.HasSuffix(attrs, "r=1") {
			attrs += ",r=1"
		}
		switch {
		case err != nil:
			o.ConnectionsBroken.Add(1)
			conn.conn.Close()
			conn = nil
		case strings.HasPrefix(answer, "-BUSY"):
			o.Refused.Add(1)
			time.Sleep(time.Millisecond)
		case strings.HasPrefix(answer, "-"):
			o.Failed.Add(1)
			return conn
		default:
			o.Served.Add(1)
			o.mu.Lock()
			if o.receipts[key] = answer; attempt == 0 {
				o.firstTryLatencies = append(o.firstTryLatencies, time.Since(sentAt))
			}
			o.mu.Unlock()
			return conn
		}
	}
}

// Receipts returns the receipts that clients received, by key.
func (o *OrderClients) Receipts() map[string]string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.receipts)
}

// FirstTryLatencies returns the latencies of the orders that were served at the first attempt.
func (o *OrderClients) FirstTryLatencies() []time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]time.Duration(nil), o.firstTryLatencies...)
}

// CheckOrders opens the record in a folder three times and compares it with the receipts that clients
// received and the number of executions at the origin, by key: every receipt is recorded, no order is still
// open, none ran twice, and none that ran is recorded as never run. It returns the number of orders by state.
func CheckOrders(dir, tenant string, receipts map[string]string, executions map[string]int) (states map[orders.State]int, err error) {
	var faults []error
	fault := func(format string, args ...any) { faults = append(faults, fmt.Errorf(format, args...)) }
	for range 3 {
		record, err := ledger.Open(disk.Dir(dir), ledger.Unbounded, ledger.WallClock)
		if err != nil {
			return nil, err
		}
		states = map[orders.State]int{}
		for key, receipt := range receipts {
			if entry, ok := record.Get(orders.Name{Tenant: tenant, Key: key}); !ok || entry.State != orders.Done || string(entry.Receipt) != receipt {
				fault("%s: its client has the receipt %q; on record is %v %q", key, receipt, entry.State, entry.Receipt)
			}
		}
		record.All(func(entry *orders.Entry) bool {
			states[entry.State]++
			runs := executions[entry.Key]
			if entry.State < orders.Done || runs > 1 || entry.State == orders.NeverRan && runs > 0 || entry.State == orders.Done && runs != 1 {
				fault("%s is %v and has run %d times", entry.Key, entry.State, runs)
			}
			return true
		})
		if err := record.Close(); err != nil {
			return nil, err
		}
	}
	return states, errors.Join(faults...)
}
