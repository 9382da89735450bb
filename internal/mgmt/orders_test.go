package mgmt_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"linenloom/internal/mgmt"
	"linenloom/internal/orders"
	"linenloom/internal/orders/keeper"
	"linenloom/internal/orders/ledger"
	"linenloom/internal/store/crash"
)

// A record that is full of unknown orders refuses new ones from several clients. Meanwhile operators list
// and settle orders by calls, and the record accepts orders again. Settled orders stay settled when the
// record is opened again.
func TestSettleWhileServing(t *testing.T) {
	const most = 8
	opt := keeper.Options{Options: ledger.Options{Limits: orders.Limits{Retention: time.Nanosecond, MaxOrders: most, MaxReceiptBytes: 1 << 20}, SegmentSize: 64 << 10,
		CompactAfter: 10, MaxPending: 100}}
	d, quiet := crash.New(), slog.New(slog.DiscardHandler)
	led, err := ledger.Open(d, opt.Options, ledger.WallClock)
	if err != nil {
		t.Fatal(err)
	}
	name := func(i int) orders.Name { return orders.Name{Tenant: "kiosk", Key: fmt.Sprint("lost-", i)} }
	for i := range most {
		if _, _, err := led.Take(orders.Order{Name: name(i)}); err != nil {
			t.Fatal(err)
		}
		if err := errors.Join(led.Send(name(i), "o-1"), led.End(name(i), orders.Unknown, nil, "")); err != nil {
			t.Fatal(err)
		}
	}
	if err := led.Close(); err != nil {
		t.Fatal(err)
	}
	k, err := keeper.Open(d, opt, ledger.WallClock, quiet)
	if err != nil {
		t.Fatal(err)
	}
	r := startHarness(t, t.TempDir(), k)

	var refused, taken atomic.Int64
	quit := make(chan struct{})
	var clients sync.WaitGroup
	for c := range 4 {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-quit:
					return
				default:
				}
				n, wait := orders.Name{Tenant: "kiosk", Key: fmt.Sprint("new-", c, "-", i)}, make(chan struct{})
				k.Take(orders.Order{Name: n}, func(v orders.Verdict, _ []byte, err error) {
					if v != orders.Proceed || err != nil {
						refused.Add(1)
						close(wait)
						return
					}
					k.End(n, orders.NeverRan, nil, "", false, func(error) { taken.Add(1); close(wait) })
				})
				<-wait
			}
		})
	}
	eventually := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("never came about: %s", what)
			}
		}
	}
	eventually("orders are refused", func() bool { return refused.Load() > 20 })
	if taken.Load() > 0 {
		t.Error("a full record has taken orders")
	}
	call := func(method, path, body string, want int) string {
		t.Helper()
		status, text, err := mgmt.Call(method, r.addr, path, body, testTimeout)
		if err != nil {
			t.Fatal(err)
		}
		if status != want {
			t.Errorf("%s %s %s: %d %s, want %d", method, path, body, status, text, want)
		}
		return string(text)
	}
	var list struct {
		All    int
		Orders []struct{ Tenant, Key, To string }
	}
	if err := json.Unmarshal([]byte(call("GET", "/orders/unknown?most=3", "", 200)), &list); err != nil || list.All != most || len(list.Orders) != 3 ||
		list.Orders[0].Key != "lost-0" || list.Orders[0].To != "o-1" {
		t.Errorf("%+v, %v", list, err)
	}
	for _, c := range []struct {
		body string
		want int
	}{
		{`{"tenant":"kiosk","key":"lost-0","as":"done","by":"ann","receipt":"found"}`, 200},
		{`{"tenant":"kiosk","key":"lost-0","as":"done","by":"ann"}`, 409},
		{`{"tenant":"kiosk","key":"nobody's","as":"done","by":"ann"}`, 409},
		{`{"tenant":"kiosk","key":"lost-1","as":"gone","by":"ann"}`, 400},
		{`{"tenant":"kiosk","key":"lost-1","as":"done","by":" "}`, 400},
		{`{"tenant":"kiosk","key":"lost-1","as":"done","by":"(caller)"}`, 400},
		{`{"tenant":"kiosk","key":"lost-1","as":"never_ran","by":"ann","receipt":"r"}`, 400},
		{`{"tenant":"kiosk","key":"lost-1","as":"done","by":"ann","more":1}`, 400},
		{`{"tenant":"kiosk","key":"lost-1","as":"never_ran","by":"ann"}`, 200},
	} {
		call("PUT", "/orders/settle", c.body, c.want)
	}
	call("GET", "/orders/unknown?most=-1", "", 400)
	eventually("orders are taken", func() bool { return taken.Load() > 20 })
	close(quit)
	clients.Wait()
	if err := k.Close(); err != nil {
		t.Error(err)
	}
	call("GET", "/orders/unknown", "", 503)
	if led, err = ledger.Open(d, ledger.Options{Limits: orders.Limits{Retention: time.Hour, MaxOrders: 100, MaxReceiptBytes: 1 << 20}, SegmentSize: 64 << 10, CompactAfter: 100}, ledger.WallClock); err != nil {
		t.Fatal(err)
	}
	if _, all := led.ListUnknown(0); all != most-2 {
		t.Errorf("%d are unknown after the opening", all)
	}
}
