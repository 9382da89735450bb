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

func TestWhoIsTurnedAway(t *testing.T) {
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
			g.Came(min(1, i/20)) // a fifth is the first tenant's
		}
		g.Used(0, c.used, 0)
		r := logic.Request{Class: c.class, Tenant: c.tenant, Write: c.write}
		if got := g.Admit(&r, &classes[c.class], c.waited); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
	g := New(classes[:1], nil)
	g.Used(0, 1, 0)
	if g.Admit(&logic.Request{}, &classes[0], 201*ms) {
		t.Error("without tenants, a read that has waited is not turned away")
	}
	g.Retune([]logic.Class{{SoftDeadline: 8 * time.Second, Effect: logic.Repeatable}})
	if !g.Admit(&logic.Request{}, &classes[0], 201*ms) {
		t.Error("a longer aim leaves no longer wait")
	}
}

// One connection of a proxy whose core serves a read in serve and turns one away in turn. Whatever comes, little is served
// too late and little of the core is lost; and nothing is turned away while the core can do all.
func TestLineKeepsWhatIsServedInTime(t *testing.T) {
	const (
		serve, turn = 400 * time.Microsecond, 20 * time.Microsecond
		size        = 100 // bytes a read
		aim         = 800 * ms
		span        = 20 * time.Second
	)
	for _, c := range []struct {
		load, shed, inTime float64 // shed: at the most
		burst              int     // reads that come together
	}{
		{0.5, 0, 1, 1}, {0.9, 0, 1, 8}, {0.7, 0.03, 0.97, 128}, {2, 0.6, 0.85, 1}, {2, 0.6, 0.85, 128}, {10, 0.97, 0.5, 32},
	} {
		t.Run(fmt.Sprintf("load %v, bursts of %d", c.load, c.burst), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, uint64(c.burst)))
			g := New(classes[:1], nil)
			g.Used(0, 1, 0)
			var l Line
			var unread []time.Duration // when each came
			var now, next time.Duration
			var buffered []time.Duration
			came, shed, inTime := 0, 0, 0
			arrive := func() {
				for next <= now {
					for range c.burst {
						unread = append(unread, next)
						came++
					}
					next += time.Duration(rng.ExpFloat64() * float64(serve) / c.load * float64(c.burst))
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
					if (n*size >= LineLeast || l.Active()) && l.Read(now, n*size, full) {
						l.Unread(now, len(unread)*size)
					}
				}
				at := buffered[0]
				buffered = buffered[1:]
				if w := l.Waited(now); w > 0 && !g.Admit(&logic.Request{}, &classes[0], w) {
					shed++
					now += turn
					continue
				}
				now += serve
				if now-at <= aim {
					inTime++
				}
			}
			most := float64(span/serve) * min(1, c.load)
			if got := float64(shed) / float64(came); got > c.shed {
				t.Errorf("%.3f of %d turned away, want %.3f at the most", got, came, c.shed)
			}
			if got := float64(inTime) / most; got < 0.95*c.inTime {
				t.Errorf("%.3f of what could be is served in time, want %.3f", got, c.inTime)
			}
		})
	}
}

// In hand is no more than the core answers in a part of the wait that is allowed, over all connections; while it has time
// to spare, as much as ever.
func TestPipelinesShrinkWithTheCore(t *testing.T) {
	g := New(classes, nil)
	g.Used(time.Second, 0.5, 0)
	for range 40 {
		g.Used(g.usedAt+50*ms, 0.5, 1500) // 30,000 a second
	}
	if got := g.Pipeline(300, 32); got != 32 {
		t.Errorf("%d with time to spare", got)
	}
	g.Used(g.usedAt+50*ms, 1, 1500)
	for conns, want := range map[int]int{1: 32, 64: 32, 310: 9, 5000: leastPipeline} {
		if got := g.Pipeline(conns, 32); got != want {
			t.Errorf("%d connections: %d, want %d", conns, got, want)
		}
	}
}
