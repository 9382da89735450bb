package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"linenloom/internal/reasons"
)

// Under full use of the core, reads that have waited too long unread are refused without processing, in
// order and with a time to retry, while an order among them is not refused; with spare capacity, nothing is
// refused.
func TestReadsThatWaitedTooLongAreShed(t *testing.T) {
	for name, used := range map[string]float64{"the core is used up": 1, "it has time to spare": 0.5} {
		t.Run(name, func(t *testing.T) {
			const reads = 300
			var ahead atomic.Int64 // by which the proxy's clock is ahead
			begun := time.Now()
			release := make(chan struct{})
			node := startCache(t, func(a memberCommand) string { <-release; return hitReply("value of " + a.key) })
			o := startOrigin(t, func(r *http.Request) string { return httpOK("receipt") })
			cfg := testConfig()
			cfg.Clock = func() time.Duration { return time.Since(begun) + time.Duration(ahead.Load()) }
			cfg.Settings.Classes[0].SoftDeadline, cfg.Settings.Classes[0].Deadline = time.Hour, time.Hour
			cfg.Settings.CanRetryAfter, cfg.Settings.MaxRetryAfter = true, 2*time.Second
			cfg.Settings.Instances = 28
			p := startProxy(t, cfg, listEntry("s-1", node, "large"), listEntry("o-1", o, "origin"))
			short := cfg.Settings.Classes[1].SoftDeadline / 4
			p.Do(func() { p.redis.cpuShare = func(time.Duration) float64 { return used } })
			p.eventually("the core is looked at", func() bool { return p.redis.shedder.Busy() == (used == 1) })
			c := p.dial()
			var all strings.Builder
			for i := range reads {
				all.WriteString(respCommand("OBJ.GET", fmt.Sprintf("a%d", i), fmt.Sprintf("id%d", i), "c=tile-read,d=3600000"))
			}
			all.WriteString(setCommand("b1", "order", "one pass"))
			go c.send(all.String())
			p.eventually("as many are in hand as may be", func() bool { return len(p.requests) == maxPipeline })
			ahead.Add(int64(3 * short))
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
