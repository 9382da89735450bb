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
func Explore(ctx context.Context, env *Env) (*Report, error) {
	report := &Report{Scenario: "explore"}
	scenes := explore.Scenarios()
	for _, name := range slices.Sorted(maps.Keys(scenes)) {
		if err := ctx.Err(); err != nil {
			return report, err
		}
		env.Log("explore: %s", name)
		var sceneError error
		result := explore.Explore(func() explore.Model {
			world, err := explore.NewBalancerModel(scenes[name])
			if err != nil {
				sceneError = err
			}
			return world
		}, explore.Options{Depth: exploreDepth, MaxTransitions: env.Seconds * exploreStepsPerSecond})
		if sceneError != nil {
			return report, fmt.Errorf("%s: %w", name, sceneError)
		}
		for _, f := range result.Faults {
			env.Log("%s: %v", name, f)
		}
		report.AddValue(name+": states", float64(result.States))
		report.AddValue(name+": transitions", float64(result.Transitions))
		report.AddValue(name+": depth", float64(result.MaxDepth))
		exhaustive := 0.0
		if result.Complete {
			exhaustive = 1
		}
		report.AddValue(name+": every order up to the depth", exhaustive)
		report.Equal(name+": faults", float64(len(result.Faults)), 0)
	}
	env.Log("explore: agreement of instances on zones")
	result := explore.Explore(func() explore.Model { return explore.NewZoneModel(explore.ZoneScenario{}) },
		explore.Options{Depth: exploreDepth, MaxTransitions: env.Seconds * exploreStepsPerSecond / 6})
	for _, f := range result.Faults {
		env.Log("fleet: %v", f)
	}
	report.AddValue("three instances, two zones: states", float64(result.States))
	report.AddValue("three instances, two zones: transitions", float64(result.Transitions))
	report.Equal("three instances, two zones: faults", float64(len(result.Faults)), 0)
	return report, nil
}
