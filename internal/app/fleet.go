package app

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"time"

	"linenloom/internal/mgmt"
	"linenloom/internal/operator"
	"linenloom/internal/proxy"
	"linenloom/internal/zones"
	"linenloom/logic"
)

// Fleet is the membership of this process in its installation.
type Fleet interface {
	mgmt.Instances
	// Join fetches the current state from the others and returns after a short time at the latest.
	Join()
	// Run runs until the context ends and then announces that this instance leaves.
	Run(context.Context)
	// SetVersion announces a new version of this instance to the others.
	SetVersion(Version)
}

// FleetConfig is the configuration of a Fleet.
type FleetConfig struct {
	Proxy       *proxy.Proxy
	Log         *slog.Logger
	Listen      []netip.AddrPort // the first free address is used
	Advertise   []netip.AddrPort // public address of each listen address; empty means the same
	JoinAddrs   []netip.AddrPort // addresses of instances to contact for joining
	Cluster     string
	Keys        [][]byte // the first key encrypts; all keys decrypt
	ForgetAfter time.Duration
	Name        string
	Number      int
	Zone        int
	Zones       []string
	Regions     map[string][]int
	StartedAt   time.Time
	Version     Version
	Machine     *zones.Machine // nil means membership only
	Meter       *zones.Meter
}

// membership is the state of the Fleet in a running program. Fleet is nil if the operator's file does not
// enable it.
type membership struct {
	Fleet
	meter   *zones.Meter
	version Version
	stop    context.CancelFunc
	done    chan struct{}
}

// prepare makes the proxy measure its attempts if zones are decided on together, and join the other
// instances before it accepts clients.
func (f *membership) prepare(file *operator.File, settings *proxy.Config) {
	if file.Instances == nil {
		return
	}
	if file.Zones != nil && len(settings.Zones) > 1 && len(settings.Zones) <= zones.MaxZones {
		f.meter = zones.NewMeter(len(settings.Zones), shortestSoftDeadline(settings.Settings.Classes))
		settings.ZoneMeter = f.meter
	}
	settings.BeforeServing = func() {
		f.Join()
		ctx, stop := context.WithCancel(context.Background())
		f.stop, f.done = stop, make(chan struct{})
		go func() {
			defer close(f.done)
			f.Run(ctx)
		}()
	}
}

func shortestSoftDeadline(classes []logic.Class) time.Duration {
	return slices.MinFunc(classes, func(a, b logic.Class) int { return int(a.SoftDeadline - b.SoftDeadline) }).SoftDeadline
}

// open creates the Fleet.
func (f *membership) open(g *Program, p *proxy.Proxy, cfg *config, settings *proxy.Config, file *operator.File, log *slog.Logger) error {
	if file.Instances == nil {
		return nil
	}
	regions, err := file.Regions(settings.Zones)
	if err != nil {
		return err
	}
	instances := file.Instances
	fleetConfig := FleetConfig{Proxy: p, Log: log, Listen: operator.ParseAddresses(instances.Listen), Advertise: operator.ParseAddresses(instances.Advertise),
		JoinAddrs: operator.ParseAddresses(instances.Join), Cluster: instances.Cluster, ForgetAfter: instances.ForgetAfter.D(), Name: cfg.Name, Number: settings.Settings.SelfIndex,
		Zone: settings.Settings.Zone, Zones: settings.Zones, Regions: regions, StartedAt: time.Now(), Meter: f.meter}
	if fleetConfig.Keys, err = instances.ReadKeys(); err != nil {
		return err
	}
	if fleetConfig.Version.Program, err = programDigest(); err != nil {
		return err
	}
	if fleetConfig.Version.Settings, err = settingsDigest(cfg, file); err != nil {
		return err
	}
	log.Info("version", "program", fleetConfig.Version.Program, "settings", fleetConfig.Version.Settings)
	f.version = fleetConfig.Version
	if f.meter != nil {
		zonesConfig := zones.Config{Number: fleetConfig.Number, Zones: fleetConfig.Zones, MinCapacityShare: file.Zones.MinCapacityShare, WarmupTime: settings.Settings.SlowStartDuration, StartedAtMS: fleetConfig.StartedAt.UnixMilli()}
		for _, r := range regions {
			zonesConfig.Regions = append(zonesConfig.Regions, r)
		}
		if err := zonesConfig.Check(); err != nil {
			return err
		}
		fleetConfig.Machine = zones.New(zonesConfig, fleetConfig.Zone)
	}
	f.Fleet, err = g.NewFleet(fleetConfig)
	return err
}

// updateVersion announces changed settings to the others.
func (f *membership) updateVersion(cfg *config, file *operator.File, log *slog.Logger) {
	if f.Fleet == nil {
		return
	}
	settings, err := settingsDigest(cfg, file)
	if err != nil {
		log.Error("reload", "err", err)
	} else if settings != f.version.Settings {
		f.version.Settings = settings
		log.Info("version", "program", f.version.Program, "settings", settings)
		f.SetVersion(f.version)
	}
}

// close leaves the installation, after the last request has been served.
func (f *membership) close() {
	if f.stop != nil {
		f.stop()
		<-f.done
	}
}
