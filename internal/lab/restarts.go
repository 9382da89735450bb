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
func Restarts(ctx context.Context, env *Env) (*Report, error) {
	report := &Report{Scenario: "restarts"}
	var passed, failed, disturbed, faults int
	var total restarts.Result
	for seed := env.FirstSeed; seed < env.FirstSeed+uint64(env.SeedCount); seed++ {
		if err := ctx.Err(); err != nil {
			return report, err
		}
		result, err := restarts.RunUntilConclusive(restarts.Options{Program: filepath.Join(env.Bin, "linenloom"), Dir: env.Dir, Seed: seed},
			func(r *restarts.Result) { env.Log("%v", r) })
		if err != nil {
			return report, err
		}
		for _, fault := range result.Faults {
			env.Log("seed %d: %s", seed, fault)
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
		total.Sent, total.Served, total.Refused, total.Failed = total.Sent+result.Sent, total.Served+result.Served, total.Refused+result.Refused, total.Failed+result.Failed
		total.Attempts, total.FurtherAttempts = total.Attempts+result.Attempts, total.FurtherAttempts+result.FurtherAttempts
	}
	name := fmt.Sprintf("seeds %d to %d: ", env.FirstSeed, env.FirstSeed+uint64(env.SeedCount)-1)
	report.AddValue(name+"requests", float64(total.Sent))
	report.AddValue(name+"served", float64(total.Served))
	report.AddValue(name+"refused", float64(total.Refused))
	report.AddValue(name+"failed", float64(total.Failed))
	report.AddValue(name+"attempts", float64(total.Attempts))
	report.AddValue(name+"further attempts", float64(total.FurtherAttempts))
	report.AddValue(name+"plays too disturbed for a verdict", float64(disturbed))
	report.AddValue(name+"plays that kept every rule", float64(passed))
	report.Equal(name+"plays that broke one", float64(failed), 0)
	report.Equal(name+"faults", float64(faults), 0)
	return report, nil
}
