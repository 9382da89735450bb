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
	zoneReadRate             = 720 // reads per second over all proxies
	zoneCaches               = 5
	warmCacheRate            = 60 // reads per second that a warm cache can serve
	zoneServiceTime          = 12 * time.Millisecond
	zoneOutage               = 6 * time.Second
	zoneLongOutage           = 40 * time.Second // with the last seed
	zoneWarmUpTime           = 8900 * time.Millisecond
	zoneRecoveryTime         = zoneWarmUpTime * 3 / 2
	zoneSeeds                = 6
	zoneSeedsUnjoined        = 2 // seeds that also run with proxies that do not know each other
	zoneParallelRuns         = 3
	ordinaryFaultsTimeFactor = 30 // seconds of ordinary faults per second of Env.Seconds
)

var zoneNames = []string{"a", "b", "c"}

// zoneRun is one run in which a zone behind a number of proxies fails and returns cold. In the claims, "alone"
// and "apart" mean proxies that are not joined, and "together" means joined ones.
type zoneRun struct {
	proxies       int
	seed          uint64
	crossZoneCost float64 // see cluster.Options
	slowCaches    bool    // caches get 40 times slower instead of silent
	joined        bool    // the proxies know one another and decide on zones together

	// time from the failure until the last proxy left the zone, and from the first proxy to the last
	timeUntilAllLeft, timeFromFirstToLastLeave time.Duration
	attempts                                   float64       // sent to the zone in the first 6 seconds
	inTime                                     float64       // share of the reads of the first 2 seconds
	overloadedCaches                           int           // caches overloaded when the zone returned
	refusedReads                               int           // after the zone returned
	recoveredAfter                             time.Duration // time until the zone had its full share of traffic again
	violations                                 []string
}

func (z *zoneRun) String() string {
	fault, table := "silent", "one table"
	if z.slowCaches {
		fault = "slow"
	}
	if z.crossZoneCost > 0 {
		table = "a table by zone"
	}
	return fmt.Sprintf("%d proxies, %s, %s", z.proxies, table, fault)
}

// zoneCluster starts proxies in front of three zones whose caches hold all keys. Proxies that are joined decide
// on zones together.
func (e *Env) zoneCluster(name string, proxies int, seed uint64, crossZoneCost float64, joined bool) (*cluster.Cluster, *cluster.Clients, error) {
	dir := filepath.Join(e.Dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, err
	}
	rules := standin.Settings()["rules"].(map[string]any)
	rules["cold_ms"] = float64(zoneWarmUpTime.Milliseconds())
	testCluster, err := cluster.New(cluster.Options{Zones: zoneNames, CachesPerZone: zoneCaches, Proxies: proxies, ServiceTime: zoneServiceTime, Seed: seed, CrossZoneCost: crossZoneCost,
		OriginServiceTime: 60 * time.Millisecond, OriginConcurrency: 24, JoinInstances: joined, Program: filepath.Join(e.Bin, "linenproc"), Dir: dir,
		Settings: map[string]any{"rules": rules}})
	if err != nil {
		return nil, nil, err
	}
	const keys = 600
	for k := range keys {
		testCluster.Fleet.Fill(fmt.Sprintf("k%d", k))
	}
	if err := testCluster.StartAll(); err != nil {
		testCluster.Close()
		return nil, nil, err
	}
	return testCluster, testCluster.StartClients(cluster.Load{ReadRate: zoneReadRate / float64(proxies), OrderRate: 1, Keys: keys, Deadline: 3 * time.Second, SoftDeadline: standin.ReadSoftDeadline, Grace: 500 * time.Millisecond}), nil
}

func (z *zoneRun) run(ctx context.Context, env *Env, name string) error {
	testCluster, clients, err := env.zoneCluster(name, z.proxies, z.seed, z.crossZoneCost, z.joined)
	if err != nil {
		return err
	}
	defer testCluster.Close()
	sleep(ctx, 4*time.Second)
	failedAt := time.Now()
	setFailed := func(on bool) {
		for _, cache := range testCluster.Fleet.CachesIn("c") {
			if z.slowCaches {
				serviceTime := zoneServiceTime
				if on {
					serviceTime *= 40
				}
				cache.SetService(serviceTime, 0)
				continue
			}
			for _, p := range testCluster.Proxies {
				testCluster.Link(p.Name, cache.ID).SetBoth(cluster.Impairment{Blocked: on})
			}
		}
	}
	setFailed(true)
	outage := zoneOutage
	if z.seed == zoneSeeds {
		outage = zoneLongOutage
	}
	sleep(ctx, outage)
	for _, cache := range testCluster.Fleet.CachesIn("c") { // restarted caches, without values
		cache.Clear()
		cache.SetColdStart(standin.ColdStart{StartedAt: time.Now(), InitialShare: 0.3, Duration: zoneWarmUpTime, WarmRate: warmCacheRate, OverloadMultiple: 4, OverloadWindow: 1500 * time.Millisecond})
		for _, p := range testCluster.Proxies {
			testCluster.Link(p.Name, cache.ID).Reset()
		}
	}
	setFailed(false)
	recoveredAt := time.Now()
	// View lists the zones in the order of zoneNames, so Zones[2] is the failed zone c.
	for z.recoveredAfter = math.MaxInt64; z.joined && time.Since(recoveredAt) < zoneRecoveryTime && ctx.Err() == nil; sleep(ctx, 100*time.Millisecond) {
		if view, err := testCluster.Proxies[0].View(); err == nil && view.Zones[2].LocalShare == 1 && z.recoveredAfter == math.MaxInt64 {
			z.recoveredAfter = time.Since(recoveredAt)
		}
	}
	if !z.joined {
		sleep(ctx, zoneRecoveryTime)
	}
	clients.Stop()
	z.measure(testCluster, clients, failedAt, recoveredAt)
	return ctx.Err()
}

// measure computes the results from the requests seen at both ends of the links.
func (z *zoneRun) measure(testCluster *cluster.Cluster, clients *cluster.Clients, failedAt, recoveredAt time.Time) {
	// A proxy that has left a zone sends it at most one read, as a trial, in this time; up to 2 are tolerated.
	const trialInterval = 300 * time.Millisecond
	var first, last time.Duration = math.MaxInt64, 0
	for _, p := range testCluster.Proxies {
		if testCluster.RequestsSent(p.Name, "c", failedAt.Add(-2*time.Second), failedAt) < 10 {
			continue // a proxy that uses its own zone, not this one
		}
		leftAt := failedAt
		for leftAt.Before(recoveredAt) && testCluster.RequestsSent(p.Name, "c", leftAt, leftAt.Add(trialInterval)) > 2 {
			leftAt = leftAt.Add(100 * time.Millisecond)
		}
		first, last = min(first, leftAt.Sub(failedAt)), max(last, leftAt.Sub(failedAt))
		z.attempts += float64(testCluster.RequestsSent(p.Name, "c", failedAt, failedAt.Add(zoneOutage)))
	}
	z.timeUntilAllLeft, z.timeFromFirstToLastLeave = last, last-first
	z.inTime, _ = clients.ShareInTime(failedAt, failedAt.Add(2*time.Second))
	for _, request := range clients.Requests(recoveredAt, time.Now()) {
		if request.Outcome == cluster.Refused && !request.IsOrder {
			z.refusedReads++
		}
	}
	for _, cache := range testCluster.Fleet.Caches {
		if cache.Overloaded() {
			z.overloadedCaches++
		}
	}
	z.violations = clients.Violations()
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// Zones runs the scenario of a zone that fails, in front of 6 and 24 proxies.
func Zones(ctx context.Context, env *Env) (*Report, error) {
	report := &Report{Scenario: "zones"}
	var runs []*zoneRun
	for _, n := range []int{6, 24} {
		for _, crossZoneCost := range []float64{0, 0.06} {
			for _, slow := range []bool{false, true} {
				for seed := range uint64(zoneSeeds) {
					for _, joined := range []bool{true, false} {
						if !joined && seed >= zoneSeedsUnjoined {
							continue
						}
						runs = append(runs, &zoneRun{proxies: n, seed: seed + 1, crossZoneCost: crossZoneCost, slowCaches: slow, joined: joined})
					}
				}
			}
		}
	}
	if env.Seconds < zoneSeeds { // a short run
		runs = slices.DeleteFunc(runs, func(z *zoneRun) bool { return z.seed > 1 || z.proxies > 6 })
	}
	if err := env.runParallel(ctx, len(runs), func(i int) error {
		run := runs[i]
		if err := run.run(ctx, env, fmt.Sprint("zones", i)); err != nil {
			return fmt.Errorf("%v: %w", run, err)
		}
		env.Log("%v, seed %d, joined %v: left after %v, spread %v, attempts %.0f, in time %.3f, refused %d, recovered after %v, overloaded caches %d, violations %v", run, run.seed, run.joined,
			run.timeUntilAllLeft, run.timeFromFirstToLastLeave, run.attempts, run.inTime, run.refusedReads, run.recoveredAfter.Round(100*time.Millisecond), run.overloadedCaches, run.violations)
		return nil
	}); err != nil {
		return report, err
	}
	addZoneClaims(report, runs)
	for _, n := range []int{6, 24, 50} {
		if err := env.measureInstanceCost(ctx, report, n); err != nil {
			return report, err
		}
	}
	return report, env.runOrdinaryFaults(ctx, report)
}

func (e *Env) runParallel(ctx context.Context, n int, task func(i int) error) error {
	var group sync.WaitGroup
	errs := make(chan error, n)
	runningTasks := make(chan struct{}, zoneParallelRuns)
	for i := range n {
		runningTasks <- struct{}{}
		if ctx.Err() != nil || len(errs) > 0 {
			break
		}
		group.Go(func() {
			defer func() { <-runningTasks }()
			if err := task(i); err != nil {
				errs <- err
			}
		})
	}
	group.Wait()
	close(errs)
	return <-errs
}

func addZoneClaims(report *Report, runs []*zoneRun) {
	runsByName := map[string][2][]*zoneRun{}
	var names []string
	for _, z := range runs {
		name := z.String()
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
		group := runsByName[name]
		index := 0
		if z.joined {
			index = 1
		}
		group[index] = append(group[index], z)
		runsByName[name] = group
	}
	worst := func(group []*zoneRun, value func(*zoneRun) float64) (maximum float64) {
		for i, z := range group {
			if v := value(z); i == 0 || v > maximum {
				maximum = v
			}
		}
		return maximum
	}
	mean := func(group []*zoneRun, value func(*zoneRun) float64) (sum float64) {
		for _, z := range group {
			sum += value(z) / float64(len(group))
		}
		return sum
	}
	for _, name := range names {
		unjoined, joined := runsByName[name][0], runsByName[name][1]
		timeUntilAllLeft := func(z *zoneRun) float64 { return z.timeUntilAllLeft.Seconds() }
		report.AtMost(name+": left by all after, s, at the worst", worst(joined, timeUntilAllLeft), 1)
		report.AtMost(name+": the last after the first, s, at the worst", worst(joined, func(z *zoneRun) float64 { return z.timeFromFirstToLastLeave.Seconds() }), 0.3)
		attempts := func(z *zoneRun) float64 { return z.attempts }
		report.AtMost(name+": attempts spent on it in 6 s, of those alone", mean(joined, attempts)/max(1, mean(unjoined, attempts)), 1.0/3)
		report.AtLeast(name+": in time in the first 2 s, at the worst", -worst(joined, func(z *zoneRun) float64 { return -z.inTime }), 0.97)
		report.Equal(name+": boxes pushed over on the return", worst(joined, func(z *zoneRun) float64 { return float64(z.overloadedCaches) }), 0)
		report.Equal(name+": boxes pushed over on the return, alone", worst(unjoined, func(z *zoneRun) float64 { return float64(z.overloadedCaches) }), 0)
		report.Equal(name+": reads refused on the return, at the worst", worst(joined, func(z *zoneRun) float64 { return float64(z.refusedReads) }), 0)
		report.AtMost(name+": whole again after, s, at the worst", worst(joined, func(z *zoneRun) float64 { return z.recoveredAfter.Seconds() }), zoneRecoveryTime.Seconds())
		report.Equal(name+": rules broken", worst(append(slices.Clone(joined), unjoined...), func(z *zoneRun) float64 { return float64(len(z.violations)) }), 0)
		report.AddValue(name+": attempts spent on it in 6 s, mean", mean(joined, attempts))
		report.AddValue(name+": alone, left after, s, at the worst", worst(unjoined, timeUntilAllLeft))
		report.AddValue(name+": alone, in time in the first 2 s, mean", mean(unjoined, func(z *zoneRun) float64 { return z.inTime }))
	}
}

// measureInstanceCost measures what membership costs each of n instances, and its effect on the latency of
// their reads.
func (e *Env) measureInstanceCost(ctx context.Context, report *Report, n int) error {
	const measureTime = 8 * time.Second
	var p99, cpu [2]float64
	for variant, joined := range []bool{false, true} {
		testCluster, clients, err := e.zoneCluster(fmt.Sprint("cost", n, variant), n, 1, 0, joined)
		if err != nil {
			return err
		}
		sleep(ctx, 3*time.Second)
		totalCPU := func() (sum time.Duration) {
			for _, p := range testCluster.Proxies {
				d, _ := (&Process{p.Process}).CPU()
				sum += d
			}
			return sum
		}
		startedAt, cpuBefore, bytesBefore := time.Now(), totalCPU(), testCluster.GossipBytes()
		sleep(ctx, measureTime)
		cpu[variant] = float64(totalCPU()-cpuBefore) / float64(time.Millisecond) / float64(n) / measureTime.Seconds()
		if joined {
			report.AddValue(fmt.Sprintf("%d instances: bytes a second that each sends", n), float64(testCluster.GossipBytes()-bytesBefore)/float64(n)/measureTime.Seconds())
		}
		clients.Stop()
		var latencies []time.Duration
		for _, request := range clients.Requests(startedAt, time.Now()) {
			latencies = append(latencies, request.Elapsed)
		}
		slices.Sort(latencies)
		p99[variant] = latencies[len(latencies)*99/100].Seconds() * 1000
		testCluster.Close()
	}
	report.AddValue(fmt.Sprintf("%d instances: CPU a second of each, ms, apart", n), cpu[0])
	report.AddValue(fmt.Sprintf("%d instances: CPU a second of each, ms, together", n), cpu[1])
	report.AddValue(fmt.Sprintf("%d instances: p99 of reads, ms, apart", n), p99[0])
	report.AddValue(fmt.Sprintf("%d instances: p99 of reads, ms, together", n), p99[1])
	return ctx.Err()
}

// runOrdinaryFaults injects faults of daily operation, for which no proxy may leave a zone: caches that fail
// one by one, a rolling restart of a zone's caches, and slower caches everywhere.
func (e *Env) runOrdinaryFaults(ctx context.Context, report *Report) error {
	testCluster, clients, err := e.zoneCluster("ordinary", 6, 1, 0, true)
	if err != nil {
		return err
	}
	defer testCluster.Close()
	startedAt, faults := time.Now(), 0
	var undo func()
	for time.Since(startedAt) < time.Duration(e.Seconds)*ordinaryFaultsTimeFactor*time.Second && ctx.Err() == nil {
		if undo != nil {
			undo()
			sleep(ctx, 2*time.Second)
		}
		faultyCache := testCluster.Fleet.Caches[faults*7%len(testCluster.Fleet.Caches)]
		switch faults % 6 {
		case 0, 1, 2, 3:
			faultyCache.SetFault([]standin.Fault{standin.Stall, standin.Failing, standin.Busy, standin.Reset}[faults%4])
			undo = func() { faultyCache.SetFault(standin.Healthy) }
		case 4: // all caches are three times slower, a slowdown that occurs in operation
			for _, cache := range testCluster.Fleet.Caches {
				cache.SetService(3*zoneServiceTime, 0)
			}
			undo = func() {
				for _, cache := range testCluster.Fleet.Caches {
					cache.SetService(zoneServiceTime, 0)
				}
			}
		case 5: // a zone's caches restart one by one, without values
			for _, cache := range testCluster.Fleet.CachesIn(zoneNames[faults%3]) {
				cache.Clear()
				for _, p := range testCluster.Proxies {
					testCluster.Link(p.Name, cache.ID).Reset()
				}
				sleep(ctx, 500*time.Millisecond)
			}
			undo = nil
		}
		faults++
		sleep(ctx, 4*time.Second)
	}
	clients.Stop()
	zonesLeft := 0
	for _, p := range testCluster.Proxies {
		zonesLeft += len(p.LogLines("state=leaving"))
	}
	report.Equal(fmt.Sprintf("zones left in %v of %d ordinary faults", time.Since(startedAt).Round(time.Second), faults), float64(zonesLeft), 0)
	report.Equal("rules broken among ordinary faults", float64(len(clients.Violations())), 0)
	return ctx.Err()
}
