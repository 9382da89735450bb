package lab

import (
	"context"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"linenloom/internal/cluster"
	"linenloom/internal/standin"
)

const (
	zoneReads    = 720 // a second, over all proxies
	zoneBoxes    = 5
	zoneBoxRate  = 60 // reads a second that a box can do when it is warm
	zoneAnswer   = 12 * time.Millisecond
	zoneOutage   = 6 * time.Second
	zoneLong     = 40 * time.Second // of the last seed
	zoneWarm     = 8900 * time.Millisecond
	zoneBack     = zoneWarm * 3 / 2
	zoneSeeds    = 6
	zoneAlone    = 2 // of them are played alone too
	zoneLanes    = 3 // plays at once
	zoneOrdinary = 30
)

var labZones = []string{"a", "b", "c"}

// zonePlay is one zone that fails and comes back cold, before so many proxies.
type zonePlay struct {
	proxies  int
	seed     uint64
	crossing float64
	slow     bool // forty times, in place of silent
	together bool

	left, apart time.Duration // when the last proxy left it, and how long after the first
	spent       float64       // attempts at it in the first six seconds
	inTime      float64       // of the reads of the first two seconds
	fell        int           // boxes pushed over
	refused     int           // reads, on the return
	whole       time.Duration // until it had all of its work again
	breaches    []string
}

func (z *zonePlay) String() string {
	what, table := "silent", "one table"
	if z.slow {
		what = "slow"
	}
	if z.crossing > 0 {
		table = "a table by zone"
	}
	return fmt.Sprintf("%d proxies, %s, %s", z.proxies, table, what)
}

// zoneCluster starts proxies before three zones whose boxes have all keys.
func (e *Env) zoneCluster(name string, proxies int, seed uint64, crossing float64, together bool) (*cluster.Cluster, *cluster.Clients, error) {
	dir := filepath.Join(e.Dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, err
	}
	rules := standin.Settings()["rules"].(map[string]any)
	rules["cold_ms"] = float64(zoneWarm.Milliseconds())
	c, err := cluster.New(cluster.Options{Zones: labZones, CachesPerZone: zoneBoxes, Proxies: proxies, ServiceTime: zoneAnswer, Seed: seed, CrossZoneCost: crossing,
		OriginServiceTime: 60 * time.Millisecond, OriginConcurrency: 24, JoinInstances: together, Program: filepath.Join(e.Bin, "linenproc"), Dir: dir,
		Settings: map[string]any{"rules": rules}})
	if err != nil {
		return nil, nil, err
	}
	const keys = 600
	for k := range keys {
		c.Fleet.Fill(fmt.Sprintf("k%d", k))
	}
	if err := c.StartAll(); err != nil {
		c.Close()
		return nil, nil, err
	}
	return c, c.StartClients(cluster.Load{ReadRate: zoneReads / float64(proxies), OrderRate: 1, Keys: keys, Deadline: 3 * time.Second, SoftDeadline: standin.ReadSoftDeadline, Grace: 500 * time.Millisecond}), nil
}

func (z *zonePlay) run(ctx context.Context, e *Env, name string) error {
	c, clients, err := e.zoneCluster(name, z.proxies, z.seed, z.crossing, z.together)
	if err != nil {
		return err
	}
	defer c.Close()
	wait(ctx, 4*time.Second)
	lost := time.Now()
	fail := func(on bool) {
		for _, b := range c.Fleet.CachesIn("c") {
			if z.slow {
				d := zoneAnswer
				if on {
					d *= 40
				}
				b.SetService(d, 0)
				continue
			}
			for _, p := range c.Proxies {
				c.Link(p.Name, b.ID).SetBoth(cluster.Impairment{Blocked: on})
			}
		}
	}
	fail(true)
	outage := zoneOutage
	if z.seed == zoneSeeds {
		outage = zoneLong
	}
	wait(ctx, outage)
	for _, b := range c.Fleet.CachesIn("c") { // other processes, with nothing
		b.Clear()
		b.SetColdStart(standin.ColdStart{StartedAt: time.Now(), InitialShare: 0.3, Duration: zoneWarm, WarmRate: zoneBoxRate, OverloadMultiple: 4, OverloadWindow: 1500 * time.Millisecond})
		for _, p := range c.Proxies {
			c.Link(p.Name, b.ID).Reset()
		}
	}
	fail(false)
	back := time.Now()
	for z.whole = math.MaxInt64; z.together && time.Since(back) < zoneBack && ctx.Err() == nil; wait(ctx, 100*time.Millisecond) {
		if v, err := c.Proxies[0].View(); err == nil && v.Zones[2].LocalShare == 1 && z.whole == math.MaxInt64 {
			z.whole = time.Since(back)
		}
	}
	if !z.together {
		wait(ctx, zoneBack)
	}
	clients.Stop()
	z.measure(c, clients, lost, back)
	return ctx.Err()
}

// measure reads off what has been seen at both ends of the links.
func (z *zonePlay) measure(c *cluster.Cluster, clients *cluster.Clients, lost, back time.Time) {
	const look = 300 * time.Millisecond // the most that goes there on trial is one read in this time
	var first, last time.Duration = math.MaxInt64, 0
	for _, p := range c.Proxies {
		if c.RequestsSent(p.Name, "c", lost.Add(-2*time.Second), lost) < 10 {
			continue // it asks its own zone
		}
		at := lost
		for at.Before(back) && c.RequestsSent(p.Name, "c", at, at.Add(look)) > 2 {
			at = at.Add(100 * time.Millisecond)
		}
		first, last = min(first, at.Sub(lost)), max(last, at.Sub(lost))
		z.spent += float64(c.RequestsSent(p.Name, "c", lost, lost.Add(zoneOutage)))
	}
	z.left, z.apart = last, last-first
	z.inTime, _ = clients.ShareInTime(lost, lost.Add(2*time.Second))
	for _, a := range clients.Requests(back, time.Now()) {
		if a.Outcome == cluster.Refused && !a.IsOrder {
			z.refused++
		}
	}
	for _, b := range c.Fleet.Caches {
		if b.Overloaded() {
			z.fell++
		}
	}
	z.breaches = clients.Violations()
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Zones is the scenario of a zone that fails, before 6 and 24 proxies.
func Zones(ctx context.Context, e *Env) (*Report, error) {
	r := &Report{Scenario: "zones"}
	var plays []*zonePlay
	for _, n := range []int{6, 24} {
		for _, crossing := range []float64{0, 0.06} {
			for _, slow := range []bool{false, true} {
				for seed := range uint64(zoneSeeds) {
					for _, together := range []bool{true, false} {
						if !together && seed >= zoneAlone {
							continue
						}
						plays = append(plays, &zonePlay{proxies: n, seed: seed + 1, crossing: crossing, slow: slow, together: together})
					}
				}
			}
		}
	}
	if e.Seconds < zoneSeeds { // a look
		plays = slices.DeleteFunc(plays, func(z *zonePlay) bool { return z.seed > 1 || z.proxies > 6 })
	}
	if err := e.inLanes(ctx, len(plays), func(i int) error {
		z := plays[i]
		if err := z.run(ctx, e, fmt.Sprint("zones", i)); err != nil {
			return fmt.Errorf("%v: %w", z, err)
		}
		e.Log("%v, seed %d, together %v: left %v apart %v, spent %.0f, in time %.3f, refused %d, whole %v, fell %d %v", z, z.seed, z.together,
			z.left, z.apart, z.spent, z.inTime, z.refused, z.whole.Round(100*time.Millisecond), z.fell, z.breaches)
		return nil
	}); err != nil {
		return r, err
	}
	claimZones(r, plays)
	for _, n := range []int{6, 24, 50} {
		if err := e.zoneCost(ctx, r, n); err != nil {
			return r, err
		}
	}
	return r, e.ordinaryFaults(ctx, r)
}

func (e *Env) inLanes(ctx context.Context, n int, do func(i int) error) error {
	var g sync.WaitGroup
	errs := make(chan error, n)
	room := make(chan struct{}, zoneLanes)
	for i := range n {
		room <- struct{}{}
		if ctx.Err() != nil || len(errs) > 0 {
			break
		}
		g.Go(func() {
			defer func() { <-room }()
			if err := do(i); err != nil {
				errs <- err
			}
		})
	}
	g.Wait()
	close(errs)
	return <-errs
}

func claimZones(r *Report, plays []*zonePlay) {
	by := map[string][2][]*zonePlay{}
	var names []string
	for _, z := range plays {
		name := z.String()
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
		group := by[name]
		at := 0
		if z.together {
			at = 1
		}
		group[at] = append(group[at], z)
		by[name] = group
	}
	worst := func(all []*zonePlay, of func(*zonePlay) float64) (w float64) {
		for i, z := range all {
			if x := of(z); i == 0 || x > w {
				w = x
			}
		}
		return w
	}
	mean := func(all []*zonePlay, of func(*zonePlay) float64) (sum float64) {
		for _, z := range all {
			sum += of(z) / float64(len(all))
		}
		return sum
	}
	for _, name := range names {
		alone, all := by[name][0], by[name][1]
		left := func(z *zonePlay) float64 { return z.left.Seconds() }
		r.AtMost(name+": left by all after, s, at the worst", worst(all, left), 1)
		r.AtMost(name+": the last after the first, s, at the worst", worst(all, func(z *zonePlay) float64 { return z.apart.Seconds() }), 0.3)
		spent := func(z *zonePlay) float64 { return z.spent }
		r.AtMost(name+": attempts spent on it in 6 s, of those alone", mean(all, spent)/max(1, mean(alone, spent)), 1.0/3)
		r.AtLeast(name+": in time in the first 2 s, at the worst", -worst(all, func(z *zonePlay) float64 { return -z.inTime }), 0.97)
		r.Equal(name+": boxes pushed over on the return", worst(all, func(z *zonePlay) float64 { return float64(z.fell) }), 0)
		r.Equal(name+": boxes pushed over on the return, alone", worst(alone, func(z *zonePlay) float64 { return float64(z.fell) }), 0)
		r.Equal(name+": reads refused on the return, at the worst", worst(all, func(z *zonePlay) float64 { return float64(z.refused) }), 0)
		r.AtMost(name+": whole again after, s, at the worst", worst(all, func(z *zonePlay) float64 { return z.whole.Seconds() }), zoneBack.Seconds())
		r.Equal(name+": rules broken", worst(append(slices.Clone(all), alone...), func(z *zonePlay) float64 { return float64(len(z.breaches)) }), 0)
		r.Tell(name+": attempts spent on it in 6 s, mean", mean(all, spent))
		r.Tell(name+": alone, left after, s, at the worst", worst(alone, left))
		r.Tell(name+": alone, in time in the first 2 s, mean", mean(alone, func(z *zonePlay) float64 { return z.inTime }))
	}
}

// zoneCost is what knowing one another costs each of n instances that nobody asks, and what their reads feel of it.
func (e *Env) zoneCost(ctx context.Context, r *Report, n int) error {
	const calm = 8 * time.Second
	var p99, cpu [2]float64
	for at, together := range []bool{false, true} {
		c, clients, err := e.zoneCluster(fmt.Sprint("cost", n, at), n, 1, 0, together)
		if err != nil {
			return err
		}
		wait(ctx, 3*time.Second)
		used := func() (sum time.Duration) {
			for _, p := range c.Proxies {
				d, _ := (&Process{p.Process}).CPU()
				sum += d
			}
			return sum
		}
		began, before, bytes := time.Now(), used(), c.GossipBytes()
		wait(ctx, calm)
		cpu[at] = float64(used()-before) / float64(time.Millisecond) / float64(n) / calm.Seconds()
		if together {
			r.Tell(fmt.Sprintf("%d instances: bytes a second that each sends", n), float64(c.GossipBytes()-bytes)/float64(n)/calm.Seconds())
		}
		clients.Stop()
		var took []time.Duration
		for _, a := range clients.Requests(began, time.Now()) {
			took = append(took, a.Elapsed)
		}
		slices.Sort(took)
		p99[at] = took[len(took)*99/100].Seconds() * 1000
		c.Close()
	}
	r.Tell(fmt.Sprintf("%d instances: CPU a second of each, ms, apart", n), cpu[0])
	r.Tell(fmt.Sprintf("%d instances: CPU a second of each, ms, together", n), cpu[1])
	r.Tell(fmt.Sprintf("%d instances: p99 of reads, ms, apart", n), p99[0])
	r.Tell(fmt.Sprintf("%d instances: p99 of reads, ms, together", n), p99[1])
	return ctx.Err()
}

// ordinaryFaults plays what happens every day, for which nobody may leave a zone: boxes that fail one by one, a release, all slower.
func (e *Env) ordinaryFaults(ctx context.Context, r *Report) error {
	c, clients, err := e.zoneCluster("ordinary", 6, 1, 0, true)
	if err != nil {
		return err
	}
	defer c.Close()
	began, next := time.Now(), 0
	var undo func()
	for time.Since(began) < time.Duration(e.Seconds)*zoneOrdinary*time.Second && ctx.Err() == nil {
		if undo != nil {
			undo()
			wait(ctx, 2*time.Second)
		}
		box := c.Fleet.Caches[next*7%len(c.Fleet.Caches)]
		switch next % 6 {
		case 0, 1, 2, 3:
			box.SetFault([]standin.Fault{standin.Stall, standin.Failing, standin.Busy, standin.Reset}[next%4])
			undo = func() { box.SetFault(standin.Healthy) }
		case 4: // all slower by as much as the fleet's owners have seen
			for _, b := range c.Fleet.Caches {
				b.SetService(3*zoneAnswer, 0)
			}
			undo = func() {
				for _, b := range c.Fleet.Caches {
					b.SetService(zoneAnswer, 0)
				}
			}
		case 5: // a zone's boxes start anew, one by one, with nothing
			for _, b := range c.Fleet.CachesIn(labZones[next%3]) {
				b.Clear()
				for _, p := range c.Proxies {
					c.Link(p.Name, b.ID).Reset()
				}
				wait(ctx, 500*time.Millisecond)
			}
			undo = nil
		}
		next++
		wait(ctx, 4*time.Second)
	}
	clients.Stop()
	left := 0
	for _, p := range c.Proxies {
		left += len(p.LogLines("state=leaving"))
	}
	r.Equal(fmt.Sprintf("zones left in %v of %d ordinary faults", time.Since(began).Round(time.Second), next), float64(left), 0)
	r.Equal("rules broken among ordinary faults", float64(len(clients.Violations())), 0)
	return ctx.Err()
}
