package app

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
)

// configWith is the test configuration with some fields replaced.
func configWith(t *testing.T, fields map[string]any) []byte {
	t.Helper()
	text, err := os.ReadFile("../../cmd/linenloom/testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var c map[string]any
	if err := json.Unmarshal(text, &c); err != nil {
		t.Fatal(err)
	}
	for name, value := range fields {
		c[name] = value
	}
	if text, err = json.Marshal(c); err != nil {
		t.Fatal(err)
	}
	return text
}

func replace(t *testing.T, path string, text []byte) {
	t.Helper()
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

func TestEnvironmentHoldsAtTheStartAndTheFileAfterwards(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	replace(t, path, configWith(t, map[string]any{"discovery": "127.0.0.1:10"}))
	env := map[string]string{"LB_CONFIG": path, "LB_DISCOVERY": "127.0.0.1:20", "LB_LISTEN": "127.0.0.1:30"}
	getenv := func(name string) string { return env[name] }
	c, err := loadConfig(getenv)
	if err != nil || c.Discovery != "127.0.0.1:20" || c.Listen != "127.0.0.1:30" {
		t.Errorf("at the start: %+v, %v", c, err)
	}
	standing := c.text
	c, err = reloadConfig(getenv, standing)
	if err != nil || c.Discovery != "127.0.0.1:10" || c.Listen != "127.0.0.1:30" {
		t.Errorf("afterwards: %+v, %v", c, err)
	}
	for name, fields := range map[string]map[string]any{
		"no address":   {"discovery": "nowhere"},
		"no discovery": {"discovery": ""},
		"few sockets":  {"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 3}},
	} {
		replace(t, path, configWith(t, fields))
		if _, err := reloadConfig(getenv, standing); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
	replace(t, path, []byte(`{"discovery":"127.0.0.1:10","known":{"mem`))
	if _, err := reloadConfig(getenv, standing); err == nil {
		t.Error("half a file was taken")
	}
}
