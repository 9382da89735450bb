package lab

import (
	"context"
	"fmt"
	"path/filepath"

	"linenloom/internal/restarts"
)

// Restarts runs the scenario of planned restarts for each seed. Faults are logged with their seed. A run on a
// machine too busy for a verdict is repeated; if it remains disturbed, it counts neither as passed nor as
// failed.
func Restarts(ctx context.Context, e *Env) (*Report, error) {
	r := &Report{Scenario: "restarts"}
	var passed, failed, disturbed, faults int
	var total restarts.Result
	for seed := e.FirstSeed; seed < e.FirstSeed+uint64(e.SeedCount); seed++ {
		if err := ctx.Err(); err != nil {
			return r, err
		}
		result, err := restarts.Verdict(restarts.Options{Program: filepath.Join(e.Bin, "linenloom"), Dir: e.Dir, Seed: seed},
			func(r *restarts.Result) { e.Log("%v", r) })
		if err != nil {
			return r, err
		}
		for _, fault := range result.Faults {
			e.Log("seed %d: %s", seed, fault)
		}
		switch {
		case len(result.Faults) > 0:
			failed++
		case result.Disturbed():
			disturbed++
		default:
			passed++
		}
		faults += len(result.Faults)
		total.Asked, total.Served, total.Refused, total.Failed = total.Asked+result.Asked, total.Served+result.Served, total.Refused+result.Refused, total.Failed+result.Failed
		total.Attempts, total.Further = total.Attempts+result.Attempts, total.Further+result.Further
	}
	name := fmt.Sprintf("seeds %d to %d: ", e.FirstSeed, e.FirstSeed+uint64(e.SeedCount)-1)
	r.AddValue(name+"requests", float64(total.Asked))
	r.AddValue(name+"served", float64(total.Served))
	r.AddValue(name+"refused", float64(total.Refused))
	r.AddValue(name+"failed", float64(total.Failed))
	r.AddValue(name+"attempts", float64(total.Attempts))
	r.AddValue(name+"further attempts", float64(total.Further))
	r.AddValue(name+"plays too disturbed for a verdict", float64(disturbed))
	r.AddValue(name+"plays that kept every rule", float64(passed))
	r.Equal(name+"plays that broke one", float64(failed), 0)
	r.Equal(name+"faults", float64(faults), 0)
	return r, nil
}
