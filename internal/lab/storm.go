package lab

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	burstReads         = 5000 // in a burst, over burstTiles tiles that no cache holds
	burstTiles         = 5
	readsPerConnection = 25
	burstFetchTime     = 100 * time.Millisecond
	// deliveryGrace is the time by which a read's deadline may exceed the arrival of its tile while the read
	// still misses it: transit in both directions, and the time to answer thousands of reads on one core.
	deliveryGrace = 150 * time.Millisecond
)

// burstResult is the outcome of one read of a burst.
type burstResult struct {
	tile          int
	deadline      time.Duration
	served        bool
	answeredAfter time.Duration // since the start of the burst
}

// JoinedReads runs the scenario of many identical concurrent reads, with request coalescing and without, and
// measures the cost of coalescing where no read repeats.
func JoinedReads(_ context.Context, env *Env) (*Report, error) {
	report := &Report{Scenario: "storm"}
	fleet, err := newFilledFleet(8, 2048, tileKeys)
	if err != nil {
		return report, err
	}
	defer fleet.Close()
	fleet.Origin.SetService(burstFetchTime, 0)
	fleet.Tenants = evenTenants
	plainAddr, plainProcess, err := env.startProxy("storm-off", fleet, 192, 4096)
	if err != nil {
		return report, err
	}
	defer plainProcess.Kill()
	addr, process, err := env.startProxyWith("joining", fleet, "[joining]\nfollowers = 16384\nfollowers_per_tenant = 8192\n")
	if err != nil {
		return report, err
	}
	defer process.Kill()
	tile := 1_000_000
	rounds := max(2, env.Seconds/4)
	for _, part := range []struct {
		name, addr string
		joined     bool
	}{{"without joining", plainAddr, false}, {"with joining", addr, true}} {
		env.Log("storm: %s", part.name)
		var perTile []float64
		missedInTime, served, refused := 0, 0, 0
		aloneLatencies, _, err := readAsOtherTenant(part.addr, 2*time.Second, nil)
		if err != nil {
			return report, err
		}
		var burstLatencies []time.Duration
		othersRefused := 0
		for range rounds {
			fetchesBefore := fleet.Origin.Fetches()
			var results []burstResult
			latencies, refusedNow, err := readAsOtherTenant(part.addr, time.Second, func() (err error) {
				results, err = runBurst(part.addr, tile)
				return err
			})
			if err != nil {
				return report, err
			}
			burstLatencies, othersRefused = append(burstLatencies, latencies...), othersRefused+refusedNow
			perTile = append(perTile, float64(fleet.Origin.Fetches()-fetchesBefore)/burstTiles)
			tile += burstTiles
			firstAnswer := map[int]time.Duration{}
			for _, result := range results {
				if at, ok := firstAnswer[result.tile]; result.served && (!ok || result.answeredAfter < at) {
					firstAnswer[result.tile] = result.answeredAfter
				}
			}
			for _, result := range results {
				switch at, answered := firstAnswer[result.tile]; {
				case result.served:
					served++
				case answered && result.deadline > at+deliveryGrace:
					missedInTime++
					refused++
				default:
					refused++
				}
			}
		}
		report.AddValue(part.name+": reads served", float64(served))
		report.AddValue(part.name+": reads refused", float64(refused))
		report.AddValue(part.name+": another tenant's p99 alone, ms", milliseconds(quantile(aloneLatencies, 0.99)))
		report.AddValue(part.name+": another tenant's p99 beside a storm, ms", milliseconds(quantile(burstLatencies, 0.99)))
		if part.joined {
			report.Equal(part.name+": another tenant's reads refused", float64(othersRefused), 0)
			report.AtMost(part.name+": fetches at the origin a tile", slices.Max(perTile), 1.2)
			report.Equal(part.name+": reads that could have had their tile in time, and did not", float64(missedInTime), 0)
		} else {
			report.AddValue(part.name+": another tenant's reads refused", float64(othersRefused))
			report.AddValue(part.name+": fetches at the origin a tile", slices.Max(perTile))
			report.AddValue(part.name+": reads that could have had their tile in time, and did not", float64(missedInTime))
		}
	}
	env.Log("storm: reads that do not repeat")
	var joinedReads, plainReads ClosedLoopResult
	const comparisonRounds = 4
	duration := time.Duration(env.Seconds) * time.Second / (2 * comparisonRounds)
	for range comparisonRounds {
		for _, part := range []struct {
			total   *ClosedLoopResult
			process *Process
			addr    string
		}{{&plainReads, plainProcess, plainAddr}, {&joinedReads, process, addr}} {
			result, err := runClosedLoop(part.process, workerCount, duration, newTileWorker(part.addr))
			if err != nil {
				return report, err
			}
			part.total.add(result)
		}
	}
	report.AtLeast("where nothing repeats: reads a CPU second, of those without joining", joinedReads.PerCPU()/plainReads.PerCPU(), 0.95)
	return report, process.Stop()
}

func quantile(durations []time.Duration, q float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[min(len(durations)-1, int(q*float64(len(durations))))]
}

// runBurst sends all reads of a burst at once and returns their outcomes.
func runBurst(addr string, firstTile int) ([]burstResult, error) {
	const conns = burstReads / readsPerConnection
	results := make([]burstResult, burstReads)
	errs := make(chan error, conns)
	var ready, group sync.WaitGroup
	ready.Add(conns)
	start := make(chan struct{})
	var startedAt time.Time
	for c := range conns {
		own := results[c*readsPerConnection : (c+1)*readsPerConnection]
		group.Go(func() {
			conn, err := net.Dial("tcp", addr)
			ready.Done()
			if err != nil {
				errs <- err
				return
			}
			defer conn.Close()
			rng := rand.New(rand.NewPCG(uint64(c), uint64(firstTile)))
			var commands []byte
			for i := range own {
				own[i].tile = firstTile + (c+i)%burstTiles
				own[i].deadline = time.Duration(50+rng.IntN(2950)) * time.Millisecond
				commands = appendTileRead(commands, own[i].tile, fmt.Sprintf("c=tile-read,t=acme,d=%d", own[i].deadline.Milliseconds()))
			}
			<-start
			conn.SetDeadline(time.Now().Add(waitTimeout))
			if _, err := conn.Write(commands); err != nil {
				errs <- err
				return
			}
			in := bufio.NewReader(conn)
			for i := range own {
				err := readTile(in, appendTilePrefix(nil, own[i].tile))
				if err != nil && err != errRefused {
					errs <- fmt.Errorf("read %d of a connection: %w", i, err)
					return
				}
				own[i].served, own[i].answeredAfter = err == nil, time.Since(startedAt)
			}
		})
	}
	ready.Wait()
	startedAt = time.Now()
	close(start)
	group.Wait()
	select {
	case err := <-errs:
		return nil, err
	default:
		return results, nil
	}
}

// readAsOtherTenant reads tiles that caches hold at a fixed pace, as another tenant, while do runs or, if it
// is nil, for the given time. It returns the latencies and the number of refused reads.
func readAsOtherTenant(addr string, duration time.Duration, do func() error) (latencies []time.Duration, refused int, err error) {
	stop := make(chan struct{})
	var mu sync.Mutex
	errs := make(chan error, 9)
	var group sync.WaitGroup
	for w := range 8 {
		group.Go(func() {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				errs <- err
				return
			}
			defer conn.Close()
			in := bufio.NewReader(conn)
			var command []byte
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				key := (w*7919 + i) % tileKeys
				sentAt := time.Now()
				conn.SetDeadline(sentAt.Add(waitTimeout))
				command = appendTileRead(command[:0], key, "c=tile-read,t=rush,d=3000")
				if _, err := conn.Write(command); err != nil {
					errs <- err
					return
				}
				err := readTile(in, appendTilePrefix(nil, key))
				if err != nil && err != errRefused {
					errs <- fmt.Errorf("another tenant's read: %w", err)
					return
				}
				mu.Lock()
				if latencies = append(latencies, time.Since(sentAt)); err != nil {
					refused++
				}
				mu.Unlock()
			}
		})
	}
	if do == nil {
		time.Sleep(duration)
	} else if err := do(); err != nil {
		errs <- err
	}
	close(stop)
	group.Wait()
	select {
	case err = <-errs:
	default:
	}
	return latencies, refused, err
}
