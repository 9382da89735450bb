package lab

import (
	"context"
	"fmt"
	"sync"
	"time"

	"linenloom/internal/standin"
)

// evenTenants are two tenants with equal shares.
var evenTenants = []any{
	map[string]any{"name": "acme", "share": 0.5, "quota_rps": 0.0}, map[string]any{"name": "rush", "share": 0.5, "quota_rps": 0.0},
}

// Overload runs the scenario of more reads than the proxy's one core can serve: how many are served in time,
// what becomes of the others, and how a tenant with little load is affected by one with far too much.
func Overload(_ context.Context, env *Env) (*Report, error) {
	report := &Report{Scenario: "overload"}
	fleet, err := newFilledFleet(8, 2048, tileKeys)
	if err != nil {
		return report, err
	}
	defer fleet.Close()
	fleet.Tenants = evenTenants
	addr, process, err := env.startProxy("overload", fleet, 192, 4096)
	if err != nil {
		return report, err
	}
	defer process.Kill()
	duration := time.Duration(env.Seconds) * time.Second / 5
	peak := 0.0
	for _, clients := range []int{32, 100, 300} {
		result, err := runClosedLoop(process, clients, duration/2, newTileWorker(addr))
		if err != nil {
			return report, fmt.Errorf("%d clients: %w", clients, err)
		}
		peak = max(peak, result.PerSecond())
	}
	report.AddValue("closed loop: the most served a second", peak)
	for _, offered := range []struct {
		name         string
		factor       float64
		connections  int
		retryRefused bool
		minShare     float64
	}{
		{"0.7 times that, 64 connections", 0.7, 64, false, 0.69},
		{"2 times, 64 connections", 2, 64, false, 0.9},
		{"2 times, 300 connections", 2, 300, false, 0.9},
		{"2 times, refused reads come again at once", 2, 64, true, 0.9},
		{"10 times, 64 connections", 10, 64, false, 0.9},
	} {
		env.Log("overload: %s", offered.name)
		load := OpenLoop{Addr: addr, Tenant: "acme", Connections: offered.connections, Rate: offered.factor * peak, Deadline: standin.ReadSoftDeadline, RetryRefused: offered.retryRefused, Keys: tileKeys, Seed: 7}
		result, err := load.Run(duration)
		if err != nil {
			return report, fmt.Errorf("%s: %w", offered.name, err)
		}
		report.addOpenLoop(offered.name, result, peak)
		report.AtLeast(offered.name+": served in time, of the most", result.Goodput()/peak, offered.minShare)
		report.AtMost(offered.name+": p99 of what is served, ms", float64(result.Quantile(0.99))/float64(time.Millisecond),
			float64(standin.ReadSoftDeadline)/float64(time.Millisecond))
	}
	if err := env.measureFairness(report, process, addr, peak, duration); err != nil {
		return report, err
	}
	if err := process.Stop(); err != nil {
		return report, err
	}
	for _, why := range process.Reasons() {
		env.Log("  %s", why)
	}
	return report, nil
}

// addOpenLoop adds the outcome of an open loop to the report.
func (r *Report) addOpenLoop(name string, result *OpenLoopResult, peak float64) {
	offered := float64(max(1, result.Offered))
	r.AddValue(name+": offered, of the most", offered/result.Duration.Seconds()/peak)
	r.AddValue(name+": refused, of what was offered", float64(result.Refused)/offered)
	r.AddValue(name+": served late, of what was offered", float64(result.Late)/offered)
	r.AddValue(name+": never sent, of what was offered", float64(result.Unsent)/offered)
}

// measureFairness runs a closed loop of one tenant beside an open loop of another that overloads the proxy.
func (e *Env) measureFairness(report *Report, process *Process, addr string, peak float64, duration time.Duration) error {
	const clients = 8
	e.Log("overload: a tenant with little load beside one that overloads the proxy")
	var group sync.WaitGroup
	var floodResult *OpenLoopResult
	var floodError error
	group.Go(func() {
		flood := OpenLoop{Addr: addr, Tenant: "rush", Connections: 64, Rate: 4 * peak, Deadline: standin.ReadSoftDeadline, Keys: tileKeys, Seed: 8}
		floodResult, floodError = flood.Run(duration + duration/4)
	})
	time.Sleep(duration / 8) // until the overload has set in
	result, err := runClosedLoop(process, clients, duration, newTileWorker(addr))
	group.Wait()
	if err == nil {
		err = floodError
	}
	if err != nil {
		return err
	}
	report.addOpenLoop("neighbour, 4 times", floodResult, peak)
	report.AddValue("beside it, 8 clients: served a second", result.PerSecond())
	report.AtMost("beside it, 8 clients: refused, of all", float64(result.Refused)/float64(max(1, result.Served+result.Refused)), 0.01)
	report.AtMost("beside it, 8 clients: p99, ms", float64(result.Quantile(0.99))/float64(time.Millisecond), float64(standin.ReadSoftDeadline)/float64(time.Millisecond))
	return nil
}
