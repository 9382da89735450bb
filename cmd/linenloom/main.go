// Command linenloom is the proxy: it reads its configuration, serves until it is told to stop, and ends
// once everything it has taken is answered.
package main

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"linenloom/internal/proxy"
)

const (
	// collectPercent lets the heap, which is small, grow by this much between collections: on a part of a
	// core their cost matters more than the memory, which memoryShare bounds.
	collectPercent = 400
	memoryShare    = 0.7 // of the memory for the heap; past it the collector runs as often as it must
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "linenloom:", err)
		os.Exit(1)
	}
}

func run() error {
	// From the start, so that none of these ends the process by its default. A log that nobody reads any more
	// must not do so either.
	signal.Ignore(syscall.SIGPIPE)
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	cfg, err := loadConfig(os.Getenv)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	debug.SetGCPercent(collectPercent)
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB * memoryShare * (1 << 20)))

	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("proxy", cfg.Name)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	settings, err := cfg.proxy()
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	p, err := proxy.New(settings, log)
	if err != nil {
		return err
	}
	go func() {
		for range hangup {
			reload(p, cfg, log)
		}
	}()
	if err := p.Run(ctx); err != nil {
		return err
	}
	log.Info("stopped")
	return nil
}

// reload takes over what the configuration file says now, as far as a running proxy can. A file that can't be
// used changes nothing.
func reload(p *proxy.Proxy, old *config, log *slog.Logger) {
	cfg, err := reloadConfig(os.Getenv)
	if err == nil {
		_, err = cfg.proxy()
	}
	if err != nil {
		log.Error("reload failed, the old configuration stays in force", "err", err)
		return
	}
	if cfg.Listen != old.Listen || cfg.Limits != old.Limits || !bytes.Equal(cfg.Settings, old.Settings) {
		log.Warn("reload: changes of listen, limits and settings need a restart")
	}
	log.Info("reload", "discovery", cfg.Discovery)
	p.Follow(cfg.Discovery)
}
