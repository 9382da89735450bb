package lab

import (
	"context"
	"fmt"
	"sync"
	"time"

	"linenloom/internal/standin"
)

// overloadTenants share the service of the overload scenario alike.
var overloadTenants = []any{
	map[string]any{"name": "acme", "share": 0.5, "quota_rps": 0.0}, map[string]any{"name": "rush", "share": 0.5, "quota_rps": 0.0},
}

// Overload is the scenario of more reads than the proxy's one core can do: how much is still served in time, what the
// others are told, and what a tenant that asks for little feels of one that asks for far too much.
func Overload(_ context.Context, e *Env) (*Report, error) {
	r := &Report{Scenario: "overload"}
	fleet, err := loadedFleet(8, 2048, scaleKeys)
	if err != nil {
		return r, err
	}
	defer fleet.Close()
	fleet.Tenants = overloadTenants
	addr, p, err := e.proxy("overload", fleet, 192, 4096)
	if err != nil {
		return r, err
	}
	defer p.Kill()
	d := time.Duration(e.Seconds) * time.Second / 5
	peak := 0.0
	for _, clients := range []int{32, 100, 300} {
		rate, err := loop(p, clients, d/2, quickReads(addr))
		if err != nil {
			return r, fmt.Errorf("%d clients: %w", clients, err)
		}
		peak = max(peak, rate.PerSecond())
	}
	r.Tell("closed loop: the most served a second", peak)
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
		f := Flood{Addr: addr, Tenant: "acme", Conns: c.conns, Rate: c.times * peak, Patience: standin.ReadSoftDeadline, Again: c.again, Keys: scaleKeys, Seed: 7}
		got, err := f.Run(d)
		if err != nil {
			return r, fmt.Errorf("%s: %w", c.name, err)
		}
		r.flooded(c.name, got, peak)
		r.AtLeast(c.name+": served in time, of the most", got.Goodput()/peak, c.least)
		r.AtMost(c.name+": p99 of what is served, ms", float64(got.Quantile(0.99))/float64(time.Millisecond),
			float64(standin.ReadSoftDeadline)/float64(time.Millisecond))
	}
	if err := e.neighbours(r, p, addr, peak, d); err != nil {
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

// flooded tells what became of a flood.
func (r *Report) flooded(name string, f *Flooded, peak float64) {
	due := float64(max(1, f.Due))
	r.Tell(name+": offered, of the most", due/f.Took.Seconds()/peak)
	r.Tell(name+": refused, of what was offered", float64(f.Refused)/due)
	r.Tell(name+": served late, of what was offered", float64(f.Late)/due)
	r.Tell(name+": never sent, of what was offered", float64(f.Gone)/due)
}

// neighbours has one tenant flood while another asks for little, each read once the one before is answered.
func (e *Env) neighbours(r *Report, p *Process, addr string, peak float64, d time.Duration) error {
	const clients = 8
	e.Log("overload: a tenant that asks for little beside one that floods")
	var g sync.WaitGroup
	var got *Flooded
	var failed error
	g.Go(func() {
		f := Flood{Addr: addr, Tenant: "rush", Conns: 64, Rate: 4 * peak, Patience: standin.ReadSoftDeadline, Keys: scaleKeys, Seed: 8}
		got, failed = f.Run(d + d/4)
	})
	time.Sleep(d / 8) // the flood has begun
	rate, err := loop(p, clients, d, quickReads(addr))
	g.Wait()
	if err == nil {
		err = failed
	}
	if err != nil {
		return err
	}
	r.flooded("neighbour, 4 times", got, peak)
	r.Tell("beside it, 8 clients: served a second", rate.PerSecond())
	r.AtMost("beside it, 8 clients: refused, of all", float64(rate.Refused)/float64(max(1, rate.Done+rate.Refused)), 0.01)
	r.AtMost("beside it, 8 clients: p99, ms", float64(rate.Quantile(0.99))/float64(time.Millisecond), float64(standin.ReadSoftDeadline)/float64(time.Millisecond))
	return nil
}
