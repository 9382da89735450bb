package lab

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"linenloom/internal/explore"
)

// exploreDepth is how many events in a row are tried in every order, and exploreSteps bounds the work for a scene by the
// scenario's seconds.
const (
	exploreDepth = 6
	exploreSteps = 6000 // a second, about what a core gets through
)

// Explore is the scenario of the model checker: the scenes of internal/explore, deeper than the tests go.
func Explore(ctx context.Context, e *Env) (*Report, error) {
	r := &Report{Scenario: "explore"}
	scenes := explore.Scenarios()
	for _, name := range slices.Sorted(maps.Keys(scenes)) {
		if err := ctx.Err(); err != nil {
			return r, err
		}
		e.Log("explore: %s", name)
		var failed error
		found := explore.Explore(func() explore.Model {
			w, err := explore.NewBalancerModel(scenes[name])
			if err != nil {
				failed = err
			}
			return w
		}, explore.Options{Depth: exploreDepth, MaxTransitions: e.Seconds * exploreSteps})
		if failed != nil {
			return r, fmt.Errorf("%s: %w", name, failed)
		}
		for _, f := range found.Faults {
			e.Log("%s: %v", name, f)
		}
		r.Tell(name+": states", float64(found.States))
		r.Tell(name+": transitions", float64(found.Transitions))
		r.Tell(name+": depth", float64(found.MaxDepth))
		whole := 0.0
		if found.Complete {
			whole = 1
		}
		r.Tell(name+": every order up to the depth", whole)
		r.Equal(name+": faults", float64(len(found.Faults)), 0)
	}
	e.Log("explore: the fleet's verdict on zones")
	found := explore.Explore(func() explore.Model { return explore.NewZoneModel(explore.ZoneScenario{}) },
		explore.Options{Depth: exploreDepth, MaxTransitions: e.Seconds * exploreSteps / 6})
	for _, f := range found.Faults {
		e.Log("fleet: %v", f)
	}
	r.Tell("three instances, two zones: states", float64(found.States))
	r.Tell("three instances, two zones: transitions", float64(found.Transitions))
	r.Equal("three instances, two zones: faults", float64(len(found.Faults)), 0)
	return r, nil
}
