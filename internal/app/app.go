// Package app is the common part of the programs that host a proxy: the command line, the configuration,
// signals and reloads. It makes no decisions about requests and knows a front only through the interfaces
// that the program provides.
package app

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"linenloom/internal/callers"
	"linenloom/internal/mgmt"
	"linenloom/internal/operator"
	"linenloom/internal/orders/keeper"
	"linenloom/internal/orders/ledger"
	"linenloom/internal/proxy"
	"linenloom/internal/store/disk"
	"linenloom/logic"
)

const (
	// gcPercent is the growth of the heap between two collections. The heap is small, and on a fraction of a
	// core the cost of collections matters more than the memory, which heapShare bounds.
	gcPercent = 400
	heapShare = 0.7 // share of the memory for the heap; above it the collector runs as often as necessary
)

// Exit statuses.
const (
	exitFailed = 1
	exitUsage  = 2 // the command line or the operator's file is invalid; nothing was opened
)

// Front is a front that a program adds and that can apply new settings while it runs.
type Front interface {
	proxy.Front
	Reload(*operator.File) error
}

// Program is a program that hosts a proxy.
type Program struct {
	Name     string
	HelpText string // shown by -h after the usage
	// NewExtProc creates the front of the external processor. A program without it calls ExecOther.
	NewExtProc func(*proxy.Proxy, *operator.File, *slog.Logger) (Front, error)
	ExecOther  func(args []string) error
	// NewFleet makes this process a member of a group of instances. A program without it calls ExecOther.
	NewFleet func(FleetConfig) (Fleet, error)
	// OpenDisk returns the file system of a persistent directory; nil means the machine's own.
	OpenDisk func(dir string) disk.FS
	// Commands is further commands by name.
	Commands map[string]func(args []string) int
}

// Main runs the program and returns its exit status.
func (g *Program) Main(args []string) int {
	command := ""
	if len(args) > 0 && len(args[0]) > 0 && args[0][0] != '-' {
		command = args[0]
	}
	if run := g.Commands[command]; run != nil {
		return run(args[1:])
	}
	switch command {
	case "", "check":
	default:
		fmt.Fprintf(os.Stderr, "%s: unknown command %q; see %s -h\n", g.Name, command, g.Name)
		return exitUsage
	}
	flags := flag.NewFlagSet(g.Name, flag.ContinueOnError)
	path := flags.String("operator", "", "the operator's `FILE`: which enables features beyond the platform's proxy")
	debugLog := flags.Bool("debug", false, "log the outcome of each attempt at a member, one line per attempt")
	flags.Usage = func() { g.usage(flags.Output(), flags) }
	rest := args
	if command != "" {
		rest = args[1:]
	}
	if err := flags.Parse(rest); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return exitUsage
	}
	if flags.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "%s: unexpected argument %q; see %s -h\n", g.Name, flags.Arg(0), g.Name)
		return exitUsage
	}
	file := &operator.File{}
	if *path != "" {
		var err error
		if file, err = operator.Load(*path); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitUsage
		}
	}
	if command == "check" {
		return g.check(*path, file)
	}
	if file.ExtProc != nil && g.NewExtProc == nil || file.Instances != nil && g.NewFleet == nil {
		// ExecOther returns only if it could not start the other program.
		fmt.Fprintf(os.Stderr, "%s: %v\n", g.Name, g.ExecOther(args))
		return exitFailed
	}
	level := slog.LevelInfo
	if *debugLog {
		level = slog.LevelDebug
	}
	if err := g.run(file, level); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", g.Name, err)
		var faults operator.Faults
		if errors.As(err, &faults) {
			return exitUsage
		}
		return exitFailed
	}
	return 0
}

func (g *Program) usage(w io.Writer, flags *flag.FlagSet) {
	fmt.Fprintf(w, "usage: %s [-operator FILE]        serve, as configured by LB_CONFIG\n", g.Name)
	fmt.Fprintf(w, "       %s check -operator FILE    check the operator's file without opening anything\n", g.Name)
	fmt.Fprint(w, g.HelpText)
	flags.PrintDefaults()
}

// check checks the operator's file. If LB_CONFIG is set, the file may name only classes and zones of that
// configuration.
func (g *Program) check(path string, file *operator.File) int {
	if path == "" {
		fmt.Fprintf(os.Stderr, "%s check: -operator FILE is missing\n", g.Name)
		return exitUsage
	}
	against := "not checked against a configuration: LB_CONFIG is not set"
	if os.Getenv("LB_CONFIG") != "" {
		cfg, err := loadConfig(os.Getenv)
		if err != nil {
			fmt.Fprintln(os.Stderr, "configuration:", err)
			return exitFailed
		}
		settings, err := cfg.proxyConfig()
		if err != nil {
			fmt.Fprintln(os.Stderr, "configuration:", err)
			return exitFailed
		}
		if err := file.CheckClasses(logic.ClassNames(settings.Settings.Classes)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitUsage
		}
		if _, err := file.Regions(settings.Zones); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitUsage
		}
		against = "classes and zones checked against LB_CONFIG"
	}
	fmt.Printf("%s: no fault found (%s)\n", path, against)
	return 0
}

// recordCloseTimeout is how long the end of the process waits for a disk that does not respond. Orders whose
// outcome is not written by then stay in progress on record, and the next process does not know their
// outcome.
const recordCloseTimeout = 2 * time.Second

func closeRecord(k *keeper.Keeper, log *slog.Logger) {
	ended := make(chan error, 1)
	go func() { ended <- k.Close() }()
	select {
	case err := <-ended:
		if err != nil {
			log.Error("closing the record of orders failed", "err", err)
		}
	case <-time.After(recordCloseTimeout):
		log.Error("the record of orders was not closed: the disk does not respond")
	}
}

func (g *Program) run(file *operator.File, level slog.Level) error {
	// The signals are handled from the start, so that none of them ends the process by its default action.
	// Writing to a log whose reader has gone must not end it either.
	signal.Ignore(syscall.SIGPIPE)
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	cfg, err := loadConfig(os.Getenv)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(heapLimit(cfg.Limits.MemoryMB))

	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})).With("proxy", cfg.Name)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// Another signal after the drain must not end the process by its default action.
	defer signal.Ignore(syscall.SIGTERM, syscall.SIGINT)
	settings, err := cfg.proxyConfig()
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	if err := file.CheckClasses(logic.ClassNames(settings.Settings.Classes)); err != nil {
		return err
	}
	var authenticator *callers.Authenticator
	if file.Identity != nil {
		if authenticator, err = callers.New(file.Identity, log); err != nil {
			return err
		}
		settings.Callers = authenticator
		go authenticator.Run(ctx)
	}
	if file.Joining != nil {
		settings.Joining = file.Joining.Limits()
	}
	if file.ManyKeys != nil {
		settings.ManyKeys = file.ManyKeys.Limits()
	}
	handover := startHandover(cfg, &settings, log)
	defer handover.dir.Close()
	var record *keeper.Keeper
	if file.Orders != nil {
		var fs disk.FS = disk.Dir(file.Orders.Dir)
		if g.OpenDisk != nil {
			fs = g.OpenDisk(file.Orders.Dir)
		}
		if record, err = keeper.Open(fs, file.Orders.Options(!handover.startedAlone), ledger.WallClock, log); err != nil {
			return fmt.Errorf("%s: %w", file.Orders.Dir, err)
		}
		defer closeRecord(record, log)
		settings.Record, settings.ReceiptFronts = record, file.Orders.ReceiptFronts
	}
	var fleet membership
	fleet.prepare(file, &settings)
	server, err := proxy.New(settings, log)
	if err != nil {
		return err
	}
	if err := fleet.open(g, server, cfg, &settings, file, log); err != nil {
		return err
	}
	defer fleet.close()
	if cfg.Mgmt != "" {
		calls, err := mgmt.New(server, cfg.Mgmt, handover.dir, log)
		if err != nil {
			return err
		}
		if record != nil {
			calls.HandleOrders(record)
		}
		if fleet.Fleet != nil {
			calls.HandleInstances(fleet.Fleet)
		}
		server.AddFront(calls)
	}
	ended := make(chan struct{})
	defer close(ended)
	go handover.run(server, ctx.Done(), ended)
	settingsReloader := reloader{proxy: server, cfg: cfg, classes: settings.Settings.Classes, maxAttempts: settings.Settings.MaxAttempts, file: file, authenticator: authenticator, log: log, membership: &fleet}
	if file.ExtProc != nil {
		if settingsReloader.extproc, err = g.NewExtProc(server, file, log); err != nil {
			return err
		}
		server.AddFront(settingsReloader.extproc)
	}
	go func() {
		for range hangup {
			settingsReloader.reload()
		}
	}()
	if err := server.Run(ctx); err != nil {
		return err
	}
	log.Info("stopped")
	return nil
}
