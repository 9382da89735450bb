package app

import (
	"path/filepath"
	"testing"

	"linenloom/internal/app/apptest"
)

// baseConfig is the path of the test configuration.
const baseConfig = "../../cmd/linenloom/testdata/config.json"

func TestDiscoveryAddressPrecedence(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	apptest.Replace(t, path, apptest.ConfigWith(t, baseConfig, map[string]any{"discovery": "127.0.0.1:10"}))
	env := map[string]string{"LB_CONFIG": path, "LB_DISCOVERY": "127.0.0.1:20", "LB_LISTEN": "127.0.0.1:30"}
	getenv := func(name string) string { return env[name] }
	c, err := loadConfig(getenv)
	if err != nil || c.Discovery != "127.0.0.1:20" || c.Listen != "127.0.0.1:30" {
		t.Errorf("at the start: %+v, %v", c, err)
	}
	inForce := c.text
	c, err = reloadConfig(getenv, inForce)
	if err != nil || c.Discovery != "127.0.0.1:10" || c.Listen != "127.0.0.1:30" {
		t.Errorf("afterwards: %+v, %v", c, err)
	}
	for name, fields := range map[string]map[string]any{
		"no address":   {"discovery": "nowhere"},
		"no discovery": {"discovery": ""},
		"few sockets":  {"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 3}},
	} {
		apptest.Replace(t, path, apptest.ConfigWith(t, baseConfig, fields))
		if _, err := reloadConfig(getenv, inForce); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
	apptest.Replace(t, path, []byte(`{"discovery":"127.0.0.1:10","known":{"mem`))
	if _, err := reloadConfig(getenv, inForce); err == nil {
		t.Error("half a file was taken")
	}
}
