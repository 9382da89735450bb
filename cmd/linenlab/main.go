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
	{"extproc", "the external processor: same choices as the RESP2 front end, SIGKILL under load, cost of a call", lab.ExtProc},
	{"answers", "time from the last outcome of a refused or failed request to its final answer, for all reasons", lab.Answers},
	{"operate", "maintenance of caches, reloads of the settings and upgrades of the process, under load", lab.Operate},
	{"explore", "model checker: every order of events in small fleets, up to a depth", lab.Explore},
	{"identity", "authenticated callers: rotation of keys and roots under load, cost of tokens and TLS, a flood of forged tokens", lab.Identity},
	{"mountain", "many tiles in one request: cost compared with single reads, and a cache that stalls", lab.ManyKeys},
	{"storm", "thousands of identical concurrent reads, with joining and without", lab.JoinedReads},
	{"orders", "recorded orders through both front ends, compared with no record, and kills under load", lab.Orders},
	{"store", "the log and the record of orders on this disk, compared with bare appends to a file", lab.Store},
	{"zones", "a zone that fails and recovers, in front of many proxies that know each other or do not", lab.Zones},
	{"idle", "CPU time of a proxy without requests", lab.Idle},
	{"overload", "more reads than one core can serve: share served in time, and effect on another tenant", lab.Overload},
	{"restarts", "planned restarts under load and network faults, for the seeds given by -first and -count", lab.Restarts},
	{"strays", "members that send answers that no request asks for, late and in many forms, and writes refused on their header", lab.Strays},
	{"scale", "many clients in front of a healthy fleet: reads served and refused, cost of a read compared with a relay", lab.Scale},
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
	asJSON := flags.Bool("json", false, "print JSON instead of a table")
	seconds := flags.Int("seconds", 20, "duration of the longest part, in seconds")
	first := flags.Uint64("first", 1, "the first seed, for scenarios that run by seed")
	count := flags.Int("count", 50, "the number of seeds")
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
