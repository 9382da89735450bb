package restarts

import (
	"fmt"
	"os"
	"testing"

	"linenloom/internal/app"
)

// proxyEnv makes the test binary run as the proxy, so that the proxy is built with the same flags as the
// tests.
const proxyEnv = "LINENLOOM_RESTARTS_PROXY"

func TestMain(m *testing.M) {
	if os.Getenv(proxyEnv) != "" {
		g := app.Program{Name: "proxy"}
		os.Exit(g.Main(os.Args[1:]))
	}
	os.Exit(m.Run())
}

// runningRestarts limits the number of concurrent runs, as each run depends on its own scheduling delay.
var runningRestarts = make(chan struct{}, 2)

// Planned restarts with fixed seeds keep every rule. A run on a machine too busy for a verdict doesn't
// count and is repeated, but a fault found in it does count.
func TestPlannedRestarts(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for seed := range uint64(16) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runningRestarts <- struct{}{}
			defer func() { <-runningRestarts }()
			r, err := RunUntilConclusive(Options{Program: self, Env: []string{proxyEnv + "=1"}, Dir: t.TempDir(), Seed: seed}, func(r *Result) { t.Log(r) })
			if err != nil {
				t.Fatal(err)
			}
			for _, f := range r.Faults {
				t.Errorf("seed %d: %s", seed, f)
			}
			if len(r.Faults) == 0 && r.Disturbed() {
				t.Errorf("seed %d: the machine was too busy for a verdict, %d times in a row", seed, maxDisturbedRuns)
			}
		})
	}
}
