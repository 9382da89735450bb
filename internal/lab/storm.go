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
	burstReads         = 5000 // in a storm, over burstTiles tiles that no box holds
	burstTiles         = 5
	readsPerConnection = 25 // of a connection
	burstFetchTime     = 100 * time.Millisecond
	// deliveryGrace is what a read's time may exceed the arrival of its tile by, and the read still miss it: the way there and back, and
	// the turns in which thousands are answered on one core.
	deliveryGrace = 150 * time.Millisecond
)

// burstResult is what became of one read of a storm.
type burstResult struct {
	tile          int
	deadline      time.Duration // that it was ready to
	served        bool
	answeredAfter time.Duration // of its answer, since the storm's begin
}

// JoinedReads is the scenario of many identical reads at once, with joining and without, and of what joining costs where nothing repeats.
func JoinedReads(_ context.Context, e *Env) (*Report, error) {
	r := &Report{Scenario: "storm"}
	fleet, err := newFilledFleet(8, 2048, tileKeys)
	if err != nil {
		return r, err
	}
	defer fleet.Close()
	fleet.Origin.SetService(burstFetchTime, 0)
	fleet.Tenants = evenTenants
	bare, plain, err := e.startProxy("storm-off", fleet, 192, 4096)
	if err != nil {
		return r, err
	}
	defer plain.Kill()
	addr, p, err := e.startProxyWith("joining", fleet, "[joining]\nfollowers = 16384\nfollowers_per_tenant = 8192\n")
	if err != nil {
		return r, err
	}
	defer p.Kill()
	tile := 1_000_000
	rounds := max(2, e.Seconds/4)
	for _, part := range []struct {
		name, addr string
		joined     bool
	}{{"without joining", bare, false}, {"with joining", addr, true}} {
		e.Log("storm: %s", part.name)
		var perTile []float64
		missed, served, refused := 0, 0, 0
		alone, _, err := readAsOtherTenant(part.addr, 2*time.Second, nil)
		if err != nil {
			return r, err
		}
		var during []time.Duration
		turned := 0
		for range rounds {
			before := fleet.Origin.Fetches()
			var all []burstResult
			got, n, err := readAsOtherTenant(part.addr, time.Second, func() (err error) {
				all, err = runBurst(part.addr, tile)
				return err
			})
			if err != nil {
				return r, err
			}
			during, turned = append(during, got...), turned+n
			perTile = append(perTile, float64(fleet.Origin.Fetches()-before)/burstTiles)
			tile += burstTiles
			first := map[int]time.Duration{}
			for _, s := range all {
				if at, ok := first[s.tile]; s.served && (!ok || s.answeredAfter < at) {
					first[s.tile] = s.answeredAfter
				}
			}
			for _, s := range all {
				switch at, came := first[s.tile]; {
				case s.served:
					served++
				case came && s.deadline > at+deliveryGrace:
					missed++
					refused++
				default:
					refused++
				}
			}
		}
		r.AddValue(part.name+": reads served", float64(served))
		r.AddValue(part.name+": reads refused", float64(refused))
		r.AddValue(part.name+": another tenant's p99 alone, ms", milliseconds(quantile(alone, 0.99)))
		r.AddValue(part.name+": another tenant's p99 beside a storm, ms", milliseconds(quantile(during, 0.99)))
		if part.joined {
			r.Equal(part.name+": another tenant's reads refused", float64(turned), 0)
			r.AtMost(part.name+": fetches at the origin a tile", slices.Max(perTile), 1.2)
			r.Equal(part.name+": reads that could have had their tile in time, and did not", float64(missed), 0)
		} else {
			r.AddValue(part.name+": another tenant's reads refused", float64(turned))
			r.AddValue(part.name+": fetches at the origin a tile", slices.Max(perTile))
			r.AddValue(part.name+": reads that could have had their tile in time, and did not", float64(missed))
		}
	}
	e.Log("storm: the ordinary path")
	var with, without ClosedLoopResult
	const turns = 4
	d := time.Duration(e.Seconds) * time.Second / (2 * turns)
	for range turns {
		for _, part := range []struct {
			rate *ClosedLoopResult
			p    *Process
			addr string
		}{{&without, plain, bare}, {&with, p, addr}} {
			got, err := runClosedLoop(part.p, identityWorkers, d, newTileWorker(part.addr))
			if err != nil {
				return r, err
			}
			part.rate.add(got)
		}
	}
	r.AtLeast("where nothing repeats: reads a CPU second, of those without joining", with.PerCPU()/without.PerCPU(), 0.95)
	return r, p.Stop()
}

func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(len(all)-1, int(q*float64(len(all))))]
}

// runBurst sends the reads of a storm at once, and tells what became of each.
func runBurst(addr string, tile int) ([]burstResult, error) {
	const conns = burstReads / readsPerConnection
	all := make([]burstResult, burstReads)
	errs := make(chan error, conns)
	var ready, g sync.WaitGroup
	ready.Add(conns)
	begin := make(chan struct{})
	var started time.Time
	for n := range conns {
		mine := all[n*readsPerConnection : (n+1)*readsPerConnection]
		g.Go(func() {
			conn, err := net.Dial("tcp", addr)
			ready.Done()
			if err != nil {
				errs <- err
				return
			}
			defer conn.Close()
			rng := rand.New(rand.NewPCG(uint64(n), uint64(tile)))
			var b []byte
			for i := range mine {
				mine[i].tile = tile + (n+i)%burstTiles
				mine[i].deadline = time.Duration(50+rng.IntN(2950)) * time.Millisecond
				b = appendTileRead(b, mine[i].tile, fmt.Sprintf("c=tile-read,t=acme,d=%d", mine[i].deadline.Milliseconds()))
			}
			<-begin
			conn.SetDeadline(time.Now().Add(waitTimeout))
			if _, err := conn.Write(b); err != nil {
				errs <- err
				return
			}
			in := bufio.NewReader(conn)
			for i := range mine {
				err := readTile(in, appendTilePrefix(nil, mine[i].tile))
				if err != nil && err != errRefused {
					errs <- fmt.Errorf("read %d: %w", i, err)
					return
				}
				mine[i].served, mine[i].answeredAfter = err == nil, time.Since(started)
			}
		})
	}
	ready.Wait()
	started = time.Now()
	close(begin)
	g.Wait()
	select {
	case err := <-errs:
		return nil, err
	default:
		return all, nil
	}
}

// readAsOtherTenant has another tenant read tiles that boxes hold, at a pace, for a time or as long as do takes, and tells how long each took.
func readAsOtherTenant(addr string, d time.Duration, do func() error) (all []time.Duration, refused int, err error) {
	stop := make(chan struct{})
	var mu sync.Mutex
	errs := make(chan error, 9)
	var g sync.WaitGroup
	for w := range 8 {
		g.Go(func() {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				errs <- err
				return
			}
			defer conn.Close()
			in := bufio.NewReader(conn)
			var b []byte
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				key := (w*7919 + i) % tileKeys
				at := time.Now()
				conn.SetDeadline(at.Add(waitTimeout))
				b = appendTileRead(b[:0], key, "c=tile-read,t=rush,d=3000")
				if _, err := conn.Write(b); err != nil {
					errs <- err
					return
				}
				err := readTile(in, appendTilePrefix(nil, key))
				if err != nil && err != errRefused {
					errs <- fmt.Errorf("another tenant's read: %w", err)
					return
				}
				mu.Lock()
				if all = append(all, time.Since(at)); err != nil {
					refused++
				}
				mu.Unlock()
			}
		})
	}
	if do == nil {
		time.Sleep(d)
	} else if err := do(); err != nil {
		errs <- err
	}
	close(stop)
	g.Wait()
	select {
	case err = <-errs:
	default:
	}
	return all, refused, err
}
