package shed

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"linenloom/logic"
)

const ms = time.Millisecond

var classes = []logic.Class{
	{Name: "tile-read", SoftDeadline: 800 * ms, Value: 5, Effect: logic.Repeatable},
	{Name: "preview", SoftDeadline: 800 * ms, Value: 1, Effect: logic.Repeatable},
	{Name: "pass-order", SoftDeadline: 1500 * ms, Value: 15, Effect: logic.AtMostOnce},
	{Name: "edit", SoftDeadline: 1500 * ms, Value: 3, Effect: logic.DeduplicatedByKey},
}

func TestAdmit(t *testing.T) {
	tenants := []logic.Tenant{{Share: 0.5}, {Share: 0.5}}
	for name, c := range map[string]struct {
		class, tenant int
		write         bool
		waited        time.Duration
		used          float64
		want          bool
	}{
		"a short wait":                    {0, 1, false, 200 * ms, 1, true},
		"the core has time to spare":      {0, 1, false, time.Hour, 0.5, true},
		"of a tenant over its share":      {0, 1, false, 201 * ms, 1, false},
		"of a tenant within its share":    {0, 0, false, 399 * ms, 1, true},
		"of one within, past twice":       {0, 0, false, 401 * ms, 1, false},
		"worth less than others":          {1, 0, false, 201 * ms, 1, false},
		"an order":                        {2, 1, true, time.Hour, 1, true},
		"what is dropped if it is double": {3, 1, false, time.Hour, 1, true},
		"a write of a read's class":       {0, 1, true, time.Hour, 1, true},
		"of no known tenant":              {0, 7, false, 201 * ms, 1, false},
	} {
		g := New(classes, tenants)
		for i := range 100 {
			g.CountRequest(min(1, i/20)) // a fifth of the requests is of the first tenant
		}
		g.UpdateUsage(0, c.used, 0)
		r := logic.Request{Class: c.class, Tenant: c.tenant, Write: c.write}
		if got := g.Admit(&r, &classes[c.class], c.waited); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
	g := New(classes[:1], nil)
	g.UpdateUsage(0, 1, 0)
	if g.Admit(&logic.Request{}, &classes[0], 201*ms) {
		t.Error("without tenants, a read that has waited is not turned away")
	}
	g.SetClasses([]logic.Class{{SoftDeadline: 8 * time.Second, Effect: logic.Repeatable}})
	if !g.Admit(&logic.Request{}, &classes[0], 201*ms) {
		t.Error("a longer aim leaves no longer wait")
	}
}

// One connection of a proxy whose core needs serveTime for a read and refuseTime for a refusal. At any
// load, few reads are served too late and little of the core's time is lost, and nothing is refused while
// the core can serve all reads.
func TestSheddingKeepsReadsInTime(t *testing.T) {
	const (
		serveTime, refuseTime = 400 * time.Microsecond, 20 * time.Microsecond
		size                  = 100 // bytes per read
		aim                   = 800 * ms
		span                  = 20 * time.Second
	)
	for _, c := range []struct {
		load, shed, inTime float64 // shed: the maximum
		burst              int     // reads that arrive together
	}{
		{0.5, 0, 1, 1}, {0.9, 0, 1, 8}, {0.7, 0.03, 0.97, 128}, {2, 0.6, 0.85, 1}, {2, 0.6, 0.85, 128}, {10, 0.97, 0.5, 32},
	} {
		t.Run(fmt.Sprintf("load %v, bursts of %d", c.load, c.burst), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, uint64(c.burst)))
			g := New(classes[:1], nil)
			g.UpdateUsage(0, 1, 0)
			var l ReadQueue
			var unread []time.Duration // arrival times
			var now, next time.Duration
			var buffered []time.Duration
			arrived, shed, inTime := 0, 0, 0
			arrive := func() {
				for next <= now {
					for range c.burst {
						unread = append(unread, next)
						arrived++
					}
					next += time.Duration(rng.ExpFloat64() * float64(serveTime) / c.load * float64(c.burst))
				}
			}
			for now < span {
				arrive()
				if len(buffered) == 0 {
					if len(unread) == 0 {
						now = next
						continue
					}
					n := min(len(unread), 4096/size)
					buffered, unread = unread[:n], unread[n:]
					full := n == 4096/size
					if (n*size >= MinBatchBytes || l.Active()) && l.RecordRead(now, n*size, full) {
						l.SetUnread(now, len(unread)*size)
					}
				}
				at := buffered[0]
				buffered = buffered[1:]
				if w := l.Waited(now); w > 0 && !g.Admit(&logic.Request{}, &classes[0], w) {
					shed++
					now += refuseTime
					continue
				}
				now += serveTime
				if now-at <= aim {
					inTime++
				}
			}
			most := float64(span/serveTime) * min(1, c.load)
			if got := float64(shed) / float64(arrived); got > c.shed {
				t.Errorf("%.3f of %d turned away, want %.3f at the most", got, arrived, c.shed)
			}
			if got := float64(inTime) / most; got < 0.95*c.inTime {
				t.Errorf("%.3f of what could be is served in time, want %.3f", got, c.inTime)
			}
		})
	}
}

// Under full load, the number of requests in progress on all connections is limited to what the core
// answers in a part of the permitted wait. With spare time on the core it has its upper limit.
func TestMaxPipelineShrinksUnderLoad(t *testing.T) {
	g := New(classes, nil)
	g.UpdateUsage(time.Second, 0.5, 0)
	for range 40 {
		g.UpdateUsage(g.usageAt+50*ms, 0.5, 1500) // 30,000 per second
	}
	if got := g.MaxPipeline(300, 32); got != 32 {
		t.Errorf("%d with time to spare", got)
	}
	g.UpdateUsage(g.usageAt+50*ms, 1, 1500)
	for conns, want := range map[int]int{1: 32, 64: 32, 310: 9, 5000: minPipeline} {
		if got := g.MaxPipeline(conns, 32); got != want {
			t.Errorf("%d connections: %d, want %d", conns, got, want)
		}
	}
}

// Guards against reads that are refused for overload although they waited for something else than the core: time
// that is excluded does not count as their wait.
func TestExcludedTimeIsNoWait(t *testing.T) {
	const batch = 4096
	for name, c := range map[string]struct{ excluded, want time.Duration }{
		"all waits for the core": {0, time.Second},
		"a part does":            {700 * ms, 300 * ms},
		"none does":              {time.Second, 0},
	} {
		var inBuffer, unread ReadQueue
		inBuffer.RecordRead(time.Minute, batch, false)
		unread.RecordRead(time.Minute, batch, true)
		unread.SetUnread(time.Minute, batch)
		for _, q := range []*ReadQueue{&inBuffer, &unread} {
			q.Exclude(c.excluded)
			if got := q.Waited(time.Minute + time.Second); got != c.want {
				t.Errorf("%s: waited %v, want %v", name, got, c.want)
			}
		}
	}
}
