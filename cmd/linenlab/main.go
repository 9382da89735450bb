// Command linenlab runs measurement scenarios with real processes on loopback and reports which of the
// project's claims hold.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"linenloom/internal/lab"
)

// scenarios are the scenarios that linenlab can run, in the order in which it lists them.
var scenarios = []struct {
	name, about string
	run         func(context.Context, *lab.Env) (*lab.Report, error)
}{
	{"extproc", "the external processor: the choices of both fronts, SIGKILL under load, what a call costs", lab.ExtProc},
	{"answers", "how long after the last outcome of a request that is given up its final answer comes, over all reasons", lab.Answers},
	{"operate", "boxes called out and back, retuning, processes that follow one another, under load", lab.Operate},
	{"explore", "every order of events of small fleets, up to a depth, against the rules", lab.Explore},
	{"identity", "proven callers: keys and roots that change under load, what a proof and TLS cost, a flood of forged tokens", lab.Identity},
	{"mountain", "many tiles in one request: what it costs against as many, and a box that stalls", lab.ManyKeys},
	{"storm", "thousands of identical reads at once, with joining and without", lab.JoinedReads},
	{"orders", "orders on record through both fronts, beside none, and the program killed under them", lab.Orders},
	{"store", "the log and the record of orders on this disk, beside bare appends to a file", lab.Store},
	{"zones", "a zone that fails before many proxies, left and returned to: together, and each by itself", lab.Zones},
	{"idle", "a proxy that nobody asks: what it takes of the core all the same", lab.Idle},
	{"overload", "more reads than one core can do: what is served in time, and what another tenant feels of it", lab.Overload},
	{"restarts", "planned restarts by seed, -first and -count, under load and trouble: every rule up to the kill", lab.Restarts},
	{"scale", "many clients before a healthy fleet: what is served, refused, and a read's cost against a relay", lab.Scale},
}

func main() { os.Exit(run(os.Args[1:])) }

func usage() {
	fmt.Fprint(os.Stderr, `usage: linenlab SCENARIO [-json] [-seconds N] [-first SEED -count N]    run a scenario; status 1 if a claim does not hold
       linenlab list                             name the scenarios
Run it in the project's folder: it builds the programs that it measures.
`)
}

func run(args []string) int {
	if baseline := os.Getenv(lab.ServeVariable); baseline != "" {
		fmt.Fprintln(os.Stderr, "linenlab:", lab.Serve(baseline))
		return 1
	}
	if len(args) == 0 || args[0] == "-h" || args[0] == "--help" {
		usage()
		if len(args) == 0 {
			return 2
		}
		return 0
	}
	if args[0] == "list" {
		for _, s := range scenarios {
			fmt.Printf("%-10s %s\n", s.name, s.about)
		}
		return 0
	}
	i := slices.IndexFunc(scenarios, func(s struct {
		name, about string
		run         func(context.Context, *lab.Env) (*lab.Report, error)
	}) bool {
		return s.name == args[0]
	})
	if i < 0 {
		fmt.Fprintf(os.Stderr, "linenlab: unknown scenario %q; see linenlab list\n", args[0])
		return 2
	}
	flags := flag.NewFlagSet("linenlab "+args[0], flag.ContinueOnError)
	asJSON := flags.Bool("json", false, "print JSON in place of the table")
	seconds := flags.Int("seconds", 20, "how long the longest part goes on")
	first := flags.Uint64("first", 1, "the first seed, where a scenario is played by seed")
	count := flags.Int("count", 50, "how many seeds")
	if err := flags.Parse(args[1:]); err != nil {
		if err == flag.ErrHelp {
			return 0
		}
		return 2
	}
	if *count < 1 {
		fmt.Fprintln(os.Stderr, "linenlab: -count must be at least 1")
		return 2
	}
	if *seconds < 5 || *seconds > 3600 || flags.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "linenlab: -seconds must be from 5 to 3600; no arguments may follow the flags")
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	report, err := runScenario(ctx, scenarios[i].run, &lab.Env{Seconds: *seconds, FirstSeed: *first, SeedCount: *count})
	if report != nil {
		if err := report.Print(os.Stdout, *asJSON); err != nil {
			fmt.Fprintln(os.Stderr, "linenlab:", err)
			return 1
		}
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "linenlab:", err)
		return 1
	case !report.AllHold():
		return 1
	}
	return 0
}

func runScenario(ctx context.Context, run func(context.Context, *lab.Env) (*lab.Report, error), env *lab.Env) (*lab.Report, error) {
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	env.Dir, env.Executable = dir, executable
	env.Log = func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }
	env.Log("building")
	if err := env.Build(ctx); err != nil {
		return nil, err
	}
	return run(ctx, env)
}
