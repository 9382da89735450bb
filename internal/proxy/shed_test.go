package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"linenloom/internal/reasons"
	"linenloom/internal/resp"
	"linenloom/internal/sender"
)

// startWithCoreUsage starts a proxy that takes its core for used to this share. Its cache answers once release
// is closed, its origin at once. passTime lets pass more time than reads may wait unread.
func startWithCoreUsage(t *testing.T, used float64, release <-chan struct{}) (p *testProxy, passTime func()) {
	t.Helper()
	var ahead atomic.Int64 // by which the proxy's clock is ahead
	begun := time.Now()
	node := startCache(t, func(a memberCommand) string { <-release; return hitReply("value of " + a.key) })
	o := startOrigin(t, func(r *http.Request) string { return httpOK("receipt") })
	cfg := testConfig()
	cfg.Clock = func() time.Duration { return time.Since(begun) + time.Duration(ahead.Load()) }
	cfg.Settings.Classes[0].SoftDeadline, cfg.Settings.Classes[0].Deadline = time.Hour, time.Hour
	cfg.Settings.CanRetryAfter, cfg.Settings.MaxRetryAfter = true, 2*time.Second
	cfg.Settings.Instances = 28
	p = startProxy(t, cfg, listEntry("s-1", node, "large"), listEntry("o-1", o, "origin"))
	short := cfg.Settings.Classes[1].SoftDeadline / 4
	p.Do(func() { p.redis.cpuShare = func(time.Duration) float64 { return used } })
	p.eventually("the core is looked at", func() bool { return p.redis.shedder.Busy() == (used == 1) })
	return p, func() { ahead.Add(int64(3 * short)) }
}

// Under full use of the core, reads that have waited too long unread are refused without processing, in
// order and with a time to retry, while an order among them is not refused; with spare capacity, nothing is
// refused.
func TestReadsThatWaitedTooLongAreShed(t *testing.T) {
	for name, used := range map[string]float64{"the core is used up": 1, "it has time to spare": 0.5} {
		t.Run(name, func(t *testing.T) {
			const reads = 300
			release := make(chan struct{})
			p, passTime := startWithCoreUsage(t, used, release)
			c := p.dial()
			var all strings.Builder
			for i := range reads {
				all.WriteString(respCommand("OBJ.GET", fmt.Sprintf("a%d", i), fmt.Sprintf("id%d", i), "c=tile-read,d=3600000"))
			}
			all.WriteString(setCommand("b1", "order", "one pass"))
			go c.send(all.String())
			p.eventually("as many are in hand as may be", func() bool { return len(p.requests) == maxPipeline })
			passTime()
			p.Tick()
			close(release)
			served, refused := 0, 0
			for i := range reads {
				switch got := c.answer(); {
				case got == fmt.Sprintf("value of a%d", i):
					served++
				case strings.HasPrefix(got, "-BUSY "):
					refused++
				default:
					t.Fatalf("read %d was answered %q", i, got)
				}
			}
			if got := c.answer(); got != "receipt" {
				t.Errorf("the order was answered %q", got)
			}
			counted := int(p.Reasons().Total(reasons.Refused, reasons.Overload))
			if used < 1 && refused > 0 || used == 1 && (served < maxPipeline || refused < reads/2 || counted != refused) {
				t.Errorf("%d served, %d turned away, %d counted", served, refused, counted)
			}
			p.eventually("nothing is in hand", func() bool { return len(p.requests) == 0 && p.bufferedBytes == 0 })
		})
	}
}

// Guards against a connection that is never answered again: refusals are collected for one write, and the
// reader waits before it makes it, because many orders are in progress behind them or a long value has no memory.
func TestRefusalsAreWrittenBeforeTheReaderWaits(t *testing.T) {
	const reads, orders = 8, maxPipeline
	var manyOrders strings.Builder
	for i := range orders {
		manyOrders.WriteString(setCommand(fmt.Sprintf("b%d", i), fmt.Sprintf("order%d", i), "one pass"))
	}
	longOrder := respCommand("OBJ.SET", "b", "order", "c=pass-order,d=8000", strings.Repeat(".", 2*resp.MaxValue))
	for name, c := range map[string]struct {
		behind   string
		receipts int
	}{
		"many orders":  {manyOrders.String(), orders},
		"a long value": {longOrder[:1000], 0}, // none of its rest is needed
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, passTime := startWithCoreUsage(t, 1, nil)
			p.Do(func() { p.longValues.usedBytes, p.longValues.maxWait = p.maxLongBytes(), time.Hour })
			var all strings.Builder // is read at once, by one call
			for i := range reads {
				all.WriteString(respCommand("OBJ.GET", fmt.Sprintf("a%d", i), fmt.Sprintf("id%d", i), "c=tile-read,d=3600000"))
			}
			all.WriteString(c.behind)
			client := p.dial()
			reader := p.onlyClient()
			p.mu.Lock() // what is read waits for it
			client.send(all.String())
			for reader.sender.Peek() != sender.NoData {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(20 * time.Millisecond) // until the time of the read was taken
			passTime()
			p.mu.Unlock()
			for i := range reads {
				if got := client.answer(); !strings.HasPrefix(got, "-BUSY ") {
					t.Errorf("read %d was answered %q", i, got)
				}
			}
			for i := range c.receipts {
				if got := client.answer(); got != "receipt" {
					t.Fatalf("order %d was answered %q", i, got)
				}
			}
		})
	}
}

// onlyClient waits for the proxy's only client.
func (p *testProxy) onlyClient() (c *client) {
	p.t.Helper()
	p.eventually("it is connected", func() bool {
		for c = range p.redis.clients {
		}
		return c != nil
	})
	return c
}
