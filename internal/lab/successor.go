package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"linenloom/internal/standin"
)

const (
	upgradeClients      = 32
	upgradeCount        = 4
	maxClosedPerUpgrade = 2 // requests per upgrade that hit a closing connection

	successorPairs            = 4
	successorCaches           = 8
	successorKeys             = 3000
	successorClients          = 48
	successorMeasureTime      = 5 * time.Second
	successorCacheTime        = 6 * time.Millisecond
	successorCacheConcurrency = 4 // of each cache
	successorFetchTime        = 60 * time.Millisecond
	successorFetchConcurrency = 24 // of the origin
)

// startOperation starts a fleet and a process in front of it, which successor processes replace.
func startOperation(env *Env, name string, caches int) (*operation, func(), error) {
	fleet, err := standin.NewFleet(caches, 512)
	if err != nil {
		return nil, nil, err
	}
	listen, err := standin.FreeAddr()
	if err != nil {
		fleet.Close()
		return nil, nil, err
	}
	dir := filepath.Join(env.Dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		fleet.Close()
		return nil, nil, err
	}
	runEnv := *env
	runEnv.Dir = dir
	run := &operation{env: &runEnv, fleet: fleet, clients: &ClientLoad{Addr: listen}, class: "tile-read"}
	if err = run.configure(); err == nil {
		err = run.startProcess()
	}
	if err != nil {
		fleet.Close()
		return nil, nil, err
	}
	return run, func() { run.process.Kill(); fleet.Close() }, nil
}

// measureUpgradeCloses counts the requests that hit a closing connection during upgrades, for clients with
// different intervals between requests. The clients check their connection before they send; without the
// check, every closed connection would be hit, whenever it was closed.
func measureUpgradeCloses(env *Env, report *Report) error {
	for name, interval := range map[string]time.Duration{"at once": -1, "after 1 ms": time.Millisecond, "after 10 ms": 10 * time.Millisecond} {
		run, closeRun, err := startOperation(env, "cross", 4)
		if err != nil {
			return err
		}
		run.clients.Interval, run.clients.ChecksConnection = interval, true
		run.clients.Start(upgradeClients, 200, 0)
		err = run.clients.AwaitServed(1000)
		for n := 0; n < upgradeCount && err == nil; n++ {
			predecessor := run.process
			if err = run.startProcess(); err != nil {
				break
			}
			predecessor.Stop()
			err = run.clients.AwaitServed(1000)
		}
		run.clients.Stop()
		load := run.clients
		closeRun()
		if err != nil {
			return err
		}
		closed := float64(load.ClosedUnread.Load()+load.ConnectionsBroken.Load()+load.ConnectionsRefused.Load()) / upgradeCount
		report.AtMost("requests an upgrade that meet an ended connection, clients that ask again "+name, closed, maxClosedPerUpgrade)
	}
	return nil
}

// readCounts counts reads over a period.
type readCounts struct{ inTime, other, originFetches float64 }

// compareSuccessors compares the first seconds of successor processes with inherited state and without.
func compareSuccessors(ctx context.Context, env *Env, report *Report) error {
	var totals [2][2]readCounts // by upgrade or restart, then with and without inherited state
	for pair := range successorPairs {
		for kind, name := range []string{"upgrade", "restart"} {
			for turn := range 2 {
				variant := (turn + pair) % 2 // the variants alternate in which runs first
				counts, err := measureFirstSeconds(env, name == "upgrade", variant == 0, uint64(pair))
				if err != nil {
					return fmt.Errorf("%s: %w", name, err)
				}
				total := &totals[kind][variant]
				total.inTime, total.other, total.originFetches = total.inTime+counts.inTime, total.other+counts.other, total.originFetches+counts.originFetches
				if ctx.Err() != nil {
					return ctx.Err()
				}
			}
		}
	}
	for kind, name := range []string{"an upgrade", "a restart"} {
		with, without := totals[kind][0], totals[kind][1]
		report.AtLeast("reads in time in the first 5 s after "+name+", with what was learnt to without", with.inTime/without.inTime, 0.99)
		report.AtMost("origin fetches of a read in time there, with to without", with.originFetches/with.inTime/(without.originFetches/without.inTime), 1.1)
		report.AddValue("reads there not in time, with", with.other)
		report.AddValue("reads there not in time, without", without.other)
	}
	return nil
}

// measureFirstSeconds runs one process start under load: reads at scheduled times, of keys with uneven
// popularity.
func measureFirstSeconds(env *Env, upgrade, inheritState bool, seed uint64) (counts readCounts, err error) {
	run, closeRun, err := startOperation(env, fmt.Sprintf("heir-%t-%t-%d", upgrade, inheritState, seed), successorCaches)
	if err != nil {
		return counts, err
	}
	defer closeRun()
	for _, cache := range run.fleet.Caches {
		cache.SetService(successorCacheTime, successorCacheConcurrency)
	}
	run.fleet.Origin.SetService(successorFetchTime, successorFetchConcurrency)

	var inTime, notInTime atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for c := range successorClients {
		clients.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(c)))
			zipf := rand.NewZipf(rng, 1.05, 4, successorKeys-1)
			var conn *redisClient
			for n := 0; ; n++ {
				select {
				case <-stop:
					if conn != nil {
						conn.conn.Close()
					}
					return
				case <-time.After(time.Duration(10+rng.IntN(30)) * time.Millisecond):
				}
				if conn != nil && conn.closedByPeer() {
					conn.conn.Close()
					conn = nil
				}
				if conn == nil {
					var err error
					if conn, err = dialRedis(run.clients.Addr); err != nil {
						conn = nil
						continue // no process is listening, which is not compared
					}
				}
				sentAt := time.Now()
				answer, err := conn.do("OBJ.GET", fmt.Sprintf("%x", 0x1000+zipf.Uint64()), fmt.Sprintf("%08x%08x", c, n), "c=tile-read,d=3000")
				if err != nil {
					conn.conn.Close()
					conn = nil
				}
				if err == nil && len(answer) > 0 && answer[0] != '-' && time.Since(sentAt) <= standin.ReadSoftDeadline {
					inTime.Add(1)
				} else {
					notInTime.Add(1)
				}
			}
		})
	}
	defer func() { close(stop); clients.Wait() }()
	if err := eventually("the fleet is warm", func() bool { return inTime.Load() > 8000 }); err != nil {
		return counts, err
	}
	predecessor := run.process
	if !inheritState { // a folder in place of the file prevents writing and reading the state
		handoverDirs, err := filepath.Glob(filepath.Join(filepath.Dir(run.configPath), "linenloom-*"))
		if err != nil || len(handoverDirs) != 1 {
			return counts, errors.Join(fmt.Errorf("found %d handover folders, want 1", len(handoverDirs)), err)
		}
		if err := os.Mkdir(filepath.Join(handoverDirs[0], "learnt"), 0o700); err != nil {
			return counts, err
		}
	}
	if !upgrade {
		predecessor.Stop()
	}
	if err := run.startProcess(); err != nil {
		return counts, err
	}
	fetchesBefore, inTimeBefore, notInTimeBefore := run.fleet.Origin.Fetches(), inTime.Load(), notInTime.Load()
	if upgrade {
		predecessor.Stop()
	}
	time.Sleep(successorMeasureTime)
	return readCounts{float64(inTime.Load() - inTimeBefore), float64(notInTime.Load() - notInTimeBefore), float64(run.fleet.Origin.Fetches() - fetchesBefore)}, nil
}
