package lab

import (
	"context"
	"fmt"
	"path/filepath"

	"linenloom/internal/restarts"
)

// Restarts is the scenario of planned restarts by seed. Each fault is logged with its seed; a play on a machine too busy for a verdict is played
// again, and counts as neither kept nor broken if it stays so.
func Restarts(ctx context.Context, e *Env) (*Report, error) {
	r := &Report{Scenario: "restarts"}
	var kept, broken, disturbed, faults int
	var all restarts.Result
	for seed := e.First; seed < e.First+uint64(e.Count); seed++ {
		if err := ctx.Err(); err != nil {
			return r, err
		}
		played, err := restarts.RunUntilConclusive(restarts.Options{Program: filepath.Join(e.Bin, "linenloom"), Dir: e.Dir, Seed: seed},
			func(r *restarts.Result) { e.Log("%v", r) })
		if err != nil {
			return r, err
		}
		for _, fault := range played.Faults {
			e.Log("seed %d: %s", seed, fault)
		}
		switch {
		case len(played.Faults) > 0:
			broken++
		case played.Disturbed():
			disturbed++
		default:
			kept++
		}
		faults += len(played.Faults)
		all.Sent, all.Served, all.Refused, all.Failed = all.Sent+played.Sent, all.Served+played.Served, all.Refused+played.Refused, all.Failed+played.Failed
		all.Attempts, all.Further = all.Attempts+played.Attempts, all.Further+played.Further
	}
	name := fmt.Sprintf("seeds %d to %d: ", e.First, e.First+uint64(e.Count)-1)
	r.Tell(name+"requests", float64(all.Sent))
	r.Tell(name+"served", float64(all.Served))
	r.Tell(name+"refused", float64(all.Refused))
	r.Tell(name+"failed", float64(all.Failed))
	r.Tell(name+"attempts", float64(all.Attempts))
	r.Tell(name+"further attempts", float64(all.Further))
	r.Tell(name+"plays too disturbed for a verdict", float64(disturbed))
	r.Tell(name+"plays that kept every rule", float64(kept))
	r.Equal(name+"plays that broke one", float64(broken), 0)
	r.Equal(name+"faults", float64(faults), 0)
	return r, nil
}
