package ledger

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"linenloom/internal/orders"
	"linenloom/internal/store/crash"
)

// modelOrder is what the model knows of an order: the last acknowledged state, and a state requested
// since then that may or may not be on record.
type modelOrder struct {
	acknowledged, requested orders.State
	receipt                 string
}

// stateAfterOpen returns the state that a recorded state becomes when the log is reopened.
func stateAfterOpen(s orders.State) orders.State {
	switch s {
	case orders.Taken:
		return orders.NeverRan
	case orders.Sent:
		return orders.Unknown
	}
	return s
}

// Concurrent writers, a disk with failing steps, crashes that keep any part of the unsynced data,
// compactions and reopenings are compared with a map. Each of three consecutive openings must contain
// everything that was acknowledged and nothing that was not requested.
func TestLedgerMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Minute // the clock may jump back
		clock := func() time.Duration { return now }
		options := Options{Limits: orders.Limits{Retention: 1 << 60, MaxOrders: 1000, MaxReceiptBytes: 1 << 20}, SegmentSize: 700, CompactAfter: 20}
		disk := crash.New()
		ledger, err := Open(disk, options, clock)
		if err != nil {
			t.Fatal(err)
		}
		model := map[orders.Name]*modelOrder{}
		reopen := func(t *rapid.T) {
			var first map[orders.Name]orders.State
			for range 3 {
				if ledger, err = Open(disk, options, clock); err != nil {
					t.Fatal(err)
				}
				found := map[orders.Name]orders.State{}
				ledger.All(func(e *orders.Entry) bool {
					found[e.Name] = e.State
					expected := model[e.Name]
					if expected == nil || e.State != stateAfterOpen(expected.acknowledged) && (expected.requested == 0 || e.State != stateAfterOpen(expected.requested)) {
						t.Fatalf("%s is %v; the map has %+v", e.Key, e.State, expected)
					}
					if e.State == orders.Done && string(e.Receipt) != expected.receipt {
						t.Fatalf("%s has the receipt %q, not %q", e.Key, e.Receipt, expected.receipt)
					}
					return true
				})
				for n, expected := range model {
					if found[n] == 0 && expected.acknowledged != 0 {
						t.Fatalf("%s is lost, which was %v", n.Key, expected.acknowledged)
					}
				}
				if first == nil {
					first = found
				} else if !maps.Equal(first, found) {
					t.Fatalf("another opening says %v, not %v", found, first)
				}
				if err := ledger.Close(); err != nil {
					t.Fatal(err)
				}
			}
			if ledger, err = Open(disk, options, clock); err != nil {
				t.Fatal(err)
			}
			model = map[orders.Name]*modelOrder{}
			ledger.All(func(e *orders.Entry) bool {
				model[e.Name] = &modelOrder{acknowledged: e.State, receipt: string(e.Receipt)}
				return true
			})
		}
		t.Repeat(map[string]func(*rapid.T){
			"batch": func(t *rapid.T) {
				type job struct {
					name  orders.Name
					order *modelOrder
					ends  orders.State // 0: it stays in progress
				}
				var jobs []job
				for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 15), 1, 8, rapid.ID[int]).Draw(t, "orders") {
					n := orderName(i)
					if model[n] == nil {
						model[n] = &modelOrder{}
					}
					jobs = append(jobs, job{n, model[n], rapid.SampledFrom([]orders.State{0, orders.Done, orders.Done, orders.NeverRan, orders.Unknown}).Draw(t, "ends")})
				}
				from, to := disk.Operations+rapid.IntRange(1, 12).Draw(t, "fails from"), 0
				if rapid.Bool().Draw(t, "fails") {
					to = from + rapid.IntRange(0, 8).Draw(t, "for")
				}
				disk.Fail = func(op int, _ string) error {
					for range 50 { // let other writers queue up and share the next sync
						runtime.Gosched()
					}
					if op >= from && op < to {
						return errors.New("input/output error")
					}
					return nil
				}
				var writers sync.WaitGroup
				for _, j := range jobs {
					writers.Go(func() {
						step := func(s orders.State, err error) bool {
							if err != nil {
								j.order.requested = s
								return false
							}
							j.order.acknowledged, j.order.requested = s, 0
							return true
						}
						v, _, err := ledger.Take(orders.Order{Name: j.name})
						if err == nil && v != orders.Proceed || !step(orders.Taken, err) {
							return
						}
						if j.ends == orders.NeverRan {
							step(j.ends, ledger.End(j.name, j.ends, nil, ""))
							return
						}
						if !step(orders.Sent, ledger.Send(j.name, "o-1")) || j.ends == 0 {
							return
						}
						j.order.receipt = "receipt of " + j.name.Key
						step(j.ends, ledger.End(j.name, j.ends, []byte(j.order.receipt), ""))
					})
				}
				writers.Wait()
				disk.Fail = nil
			},
			"compact":  func(t *rapid.T) { ledger.Compact() },
			"the time": func(t *rapid.T) { now = time.Duration(rapid.Int64Range(0, int64(48*time.Hour)).Draw(t, "now")) },
			"close and open": func(t *rapid.T) {
				if err := ledger.Close(); err != nil {
					t.Skip(fmt.Sprint("not closed: ", err))
				}
				reopen(t)
			},
			"crash": func(t *rapid.T) {
				cut := rapid.IntRange(-1, 200).Draw(t, "cut")
				rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
				disk = disk.Crash(cut, rng)
				reopen(t)
			},
		})
	})
}
