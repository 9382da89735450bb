package lab

import (
	"context"
	"fmt"
	"sync"
	"time"

	"linenloom/internal/standin"
)

// evenTenants share the service of the overload scenario alike.
var evenTenants = []any{
	map[string]any{"name": "acme", "share": 0.5, "quota_rps": 0.0}, map[string]any{"name": "rush", "share": 0.5, "quota_rps": 0.0},
}

// Overload is the scenario of more reads than the proxy's one core can do: how much is still served in time, what the
// others are told, and what a tenant that asks for little feels of one that asks for far too much.
func Overload(_ context.Context, e *Env) (*Report, error) {
	r := &Report{Scenario: "overload"}
	fleet, err := newFilledFleet(8, 2048, tileKeys)
	if err != nil {
		return r, err
	}
	defer fleet.Close()
	fleet.Tenants = evenTenants
	addr, p, err := e.startProxy("overload", fleet, 192, 4096)
	if err != nil {
		return r, err
	}
	defer p.Kill()
	d := time.Duration(e.Seconds) * time.Second / 5
	peak := 0.0
	for _, clients := range []int{32, 100, 300} {
		rate, err := runClosedLoop(p, clients, d/2, newTileWorker(addr))
		if err != nil {
			return r, fmt.Errorf("%d clients: %w", clients, err)
		}
		peak = max(peak, rate.PerSecond())
	}
	r.AddValue("closed loop: the most served a second", peak)
	for _, c := range []struct {
		name  string
		times float64
		conns int
		again bool
		least float64
	}{
		{"0.7 times that, 64 connections", 0.7, 64, false, 0.69},
		{"2 times, 64 connections", 2, 64, false, 0.9},
		{"2 times, 300 connections", 2, 300, false, 0.9},
		{"2 times, refused reads come again at once", 2, 64, true, 0.9},
		{"10 times, 64 connections", 10, 64, false, 0.9},
	} {
		e.Log("overload: %s", c.name)
		f := OpenLoop{Addr: addr, Tenant: "acme", Connections: c.conns, Rate: c.times * peak, Deadline: standin.ReadAim, RetryRefused: c.again, Keys: tileKeys, Seed: 7}
		got, err := f.Run(d)
		if err != nil {
			return r, fmt.Errorf("%s: %w", c.name, err)
		}
		r.addOpenLoop(c.name, got, peak)
		r.AtLeast(c.name+": served in time, of the most", got.Goodput()/peak, c.least)
		r.AtMost(c.name+": p99 of what is served, ms", float64(got.Quantile(0.99))/float64(time.Millisecond),
			float64(standin.ReadAim)/float64(time.Millisecond))
	}
	if err := e.measureFairness(r, p, addr, peak, d); err != nil {
		return r, err
	}
	if err := p.Stop(); err != nil {
		return r, err
	}
	for _, why := range p.Reasons() {
		e.Log("  %s", why)
	}
	return r, nil
}

// addOpenLoop tells what became of a flood.
func (r *Report) addOpenLoop(name string, f *OpenLoopResult, peak float64) {
	due := float64(max(1, f.Offered))
	r.AddValue(name+": offered, of the most", due/f.Duration.Seconds()/peak)
	r.AddValue(name+": refused, of what was offered", float64(f.Refused)/due)
	r.AddValue(name+": served late, of what was offered", float64(f.Late)/due)
	r.AddValue(name+": never sent, of what was offered", float64(f.Unsent)/due)
}

// measureFairness has one tenant flood while another asks for little, each read once the one before is answered.
func (e *Env) measureFairness(r *Report, p *Process, addr string, peak float64, d time.Duration) error {
	const clients = 8
	e.Log("overload: a tenant that asks for little beside one that floods")
	var g sync.WaitGroup
	var got *OpenLoopResult
	var failed error
	g.Go(func() {
		f := OpenLoop{Addr: addr, Tenant: "rush", Connections: 64, Rate: 4 * peak, Deadline: standin.ReadAim, Keys: tileKeys, Seed: 8}
		got, failed = f.Run(d + d/4)
	})
	time.Sleep(d / 8) // the flood has begun
	rate, err := runClosedLoop(p, clients, d, newTileWorker(addr))
	g.Wait()
	if err == nil {
		err = failed
	}
	if err != nil {
		return err
	}
	r.addOpenLoop("neighbour, 4 times", got, peak)
	r.AddValue("beside it, 8 clients: served a second", rate.PerSecond())
	r.AtMost("beside it, 8 clients: refused, of all", float64(rate.Refused)/float64(max(1, rate.Served+rate.Refused)), 0.01)
	r.AtMost("beside it, 8 clients: p99, ms", float64(rate.Quantile(0.99))/float64(time.Millisecond), float64(standin.ReadAim)/float64(time.Millisecond))
	return nil
}
