package app

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"time"

	"linenloom/internal/discovery"
	"linenloom/internal/proxy"
	"linenloom/internal/retune"
	"linenloom/internal/wire"
)

// acceptGrace is how long after the stop signal new connections may still arrive: the front end that
// distributes them over the proxies sends them for up to 0.4 s, plus time for the ones that it has started.
const acceptGrace = 550 * time.Millisecond

// config is the file that LB_CONFIG names.
type config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Mgmt      string `json:"mgmt"` // address for operators' calls; empty means none
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    discovery.List  `json:"known"`
	Settings json.RawMessage `json:"settings"`

	text []byte // text as read from the file
}

// hostSettings is the settings that concern sockets and are therefore not part of the Balancer's.
type hostSettings struct {
	Areas  []string `json:"areas"`
	Kinds  []string `json:"kinds"`
	Limits struct {
		ConnIdleMS float64 `json:"conn_idle_ms"`
		Multiplex  int     `json:"multiplex"`
		MostHeld   int     `json:"most_held"`
	} `json:"limits"`
}

// loadConfig reads the configuration at the start. The other LB_ environment variables take precedence over
// the file.
func loadConfig(getenv func(string) string) (*config, error) {
	return readConfig(getenv, getenv("LB_DISCOVERY"), nil)
}

// reloadConfig reads the configuration again. The file's discovery address now takes precedence, since the
// environment dates from the start of the process and the file has been replaced since. The file must have
// every field of the text in force.
func reloadConfig(getenv func(string) string, inForce []byte) (*config, error) {
	return readConfig(getenv, "", inForce)
}

func readConfig(getenv func(string) string, discovery string, inForce []byte) (*config, error) {
	path := getenv("LB_CONFIG")
	if path == "" {
		return nil, errors.New("LB_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if inForce != nil {
		if err := retune.Check(inForce, text); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	var c config
	if err := json.Unmarshal(text, &c); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	c.text = text
	c.Name = cmp.Or(getenv("LB_NAME"), c.Name)
	c.Listen = cmp.Or(getenv("LB_LISTEN"), c.Listen)
	c.Discovery = cmp.Or(discovery, c.Discovery)
	c.Mgmt = cmp.Or(getenv("LB_MGMT"), c.Mgmt)
	return &c, c.check()
}

// ProxyConfig converts a configuration's text to the proxy's type, for programs that bring their own
// configuration.
func ProxyConfig(text []byte) (proxy.Config, error) {
	var c config
	if err := json.Unmarshal(text, &c); err != nil {
		return proxy.Config{}, err
	}
	if err := c.check(); err != nil {
		return proxy.Config{}, err
	}
	return c.proxyConfig()
}

func (c *config) check() error {
	for name, addr := range map[string]string{"listen": c.Listen, "discovery": c.Discovery, "mgmt": c.Mgmt} {
		if addr == "" && name == "mgmt" {
			continue
		}
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return fmt.Errorf("%s address: %w", name, err)
		}
	}
	l := c.Limits
	switch {
	case !(l.Cores > 0 && l.Cores <= 1024):
		return fmt.Errorf("limit of cores %v is out of range", l.Cores)
	case !(l.MemoryMB >= 32):
		return fmt.Errorf("memory limit of %v MB is under 32", l.MemoryMB)
	case l.Sockets < 64:
		return fmt.Errorf("limit of %d sockets is under 64", l.Sockets)
	}
	return nil
}

// proxyConfig converts the configuration to the proxy's type.
func (c *config) proxyConfig() (proxy.Config, error) {
	settings, err := wire.ParseSettings(c.Settings)
	if err != nil {
		return proxy.Config{}, err
	}
	var host hostSettings
	if err := json.Unmarshal(c.Settings, &host); err != nil {
		return proxy.Config{}, fmt.Errorf("settings: %w", err)
	}
	if host.Limits.ConnIdleMS <= 0 || host.Limits.Multiplex < 1 || host.Limits.MostHeld < 1 {
		return proxy.Config{}, errors.New("settings: conn_idle_ms, multiplex and most_held must be positive")
	}
	if settings.ConnectTimeout <= 0 {
		return proxy.Config{}, errors.New("settings: connect_timeout_ms must be positive")
	}
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return proxy.Config{}, fmt.Errorf("seed: %w", err)
	}
	return proxy.Config{
		Listen: c.Listen, Discovery: c.Discovery, Seed: seed, Settings: settings,
		Zones: host.Areas, Kinds: host.Kinds,
		ConnIdle:  time.Duration(host.Limits.ConnIdleMS * float64(time.Millisecond)),
		Multiplex: host.Limits.Multiplex, MaxRequests: host.Limits.MostHeld,
		MemoryMB: int(c.Limits.MemoryMB), Descriptors: c.Limits.Sockets,
		InitialList: c.Known, AcceptAfterStop: acceptGrace,
	}, nil
}
