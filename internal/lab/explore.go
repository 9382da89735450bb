package lab

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"linenloom/internal/explore"
)

// exploreDepth is the number of consecutive events that are tried in every order. exploreStepsPerSecond times
// the seconds of the scenario bounds the work for a scene.
const (
	exploreDepth          = 6
	exploreStepsPerSecond = 6000 // about what one core processes
)

// Explore runs the model checker on the scenes of internal/explore, to a greater depth than the tests.
func Explore(ctx context.Context, e *Env) (*Report, error) {
	r := &Report{Scenario: "explore"}
	scenes := explore.Scenes()
	for _, name := range slices.Sorted(maps.Keys(scenes)) {
		if err := ctx.Err(); err != nil {
			return r, err
		}
		e.Log("explore: %s", name)
		var sceneError error
		result := explore.Explore(func() explore.Model {
			world, err := explore.NewWorld(scenes[name])
			if err != nil {
				sceneError = err
			}
			return world
		}, explore.Options{Depth: exploreDepth, MostSteps: e.Seconds * exploreStepsPerSecond})
		if sceneError != nil {
			return r, fmt.Errorf("%s: %w", name, sceneError)
		}
		for _, f := range result.Faults {
			e.Log("%s: %v", name, f)
		}
		r.AddValue(name+": states", float64(result.States))
		r.AddValue(name+": transitions", float64(result.Transitions))
		r.AddValue(name+": depth", float64(result.Deepest))
		exhaustive := 0.0
		if result.Whole {
			exhaustive = 1
		}
		r.AddValue(name+": every order up to the depth", exhaustive)
		r.Equal(name+": faults", float64(len(result.Faults)), 0)
	}
	e.Log("explore: agreement of instances on zones")
	result := explore.Explore(func() explore.Model { return explore.NewFleet(explore.FleetScene{}) },
		explore.Options{Depth: exploreDepth, MostSteps: e.Seconds * exploreStepsPerSecond / 6})
	for _, f := range result.Faults {
		e.Log("fleet: %v", f)
	}
	r.AddValue("three instances, two zones: states", float64(result.States))
	r.AddValue("three instances, two zones: transitions", float64(result.Transitions))
	r.Equal("three instances, two zones: faults", float64(len(result.Faults)), 0)
	return r, nil
}
