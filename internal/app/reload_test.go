package app

import (
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"linenloom/internal/app/apptest"
	"linenloom/internal/operator"
	"linenloom/internal/proxy"
	"linenloom/logic"
)

// countingFront is a front that counts its reloads.
type countingFront struct {
	Front
	reloads int
}

func (r *countingFront) Reload(*operator.File) error { r.reloads++; return nil }

// newTestReloader returns a reloader of a proxy that has the configuration text at path and no operator's
// file.
func newTestReloader(t *testing.T, path string, text []byte) *reloader {
	t.Helper()
	t.Setenv("LB_CONFIG", path)
	t.Setenv("LB_LISTEN", "127.0.0.1:0")
	apptest.Replace(t, path, text)
	cfg, err := loadConfig(os.Getenv)
	if err != nil {
		t.Fatal(err)
	}
	settings, err := cfg.proxyConfig()
	if err != nil {
		t.Fatal(err)
	}
	p, err := proxy.New(settings, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return &reloader{proxy: p, cfg: cfg, classes: settings.Settings.Classes, maxAttempts: settings.Settings.MaxAttempts, file: &operator.File{},
		log: slog.New(slog.DiscardHandler)}
}

// TestReloadIsAtomic checks that a file is applied completely or not at all: the classes of a valid file in
// two steps, and nothing of a file that lacks a field or drops a class that the operator's file names.
func TestReloadIsAtomic(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "config.json")
	settingsReloader := newTestReloader(t, path, apptest.ConfigWith(t, baseConfig, nil))
	p, cfg := settingsReloader.proxy, settingsReloader.cfg
	operatorFile := filepath.Join(dir, "operator.toml")
	apptest.Replace(t, operatorFile, []byte("[extproc]\nlisten = \"127.0.0.1:0\"\n[[extproc.map]]\nmethods = [\"GET\"]\npath = \"/{key}\"\nclass = \"tile-read\"\n"))
	file, err := operator.Load(operatorFile)
	if err != nil {
		t.Fatal(err)
	}
	front := &countingFront{}
	settingsReloader.file, settingsReloader.extproc = file, front

	// edit writes the configuration with changed settings.
	edit := func(change func(settings map[string]any, classes []any) []any) {
		var c map[string]any
		if err := json.Unmarshal(apptest.ConfigWith(t, baseConfig, map[string]any{"discovery": "127.0.0.1:77"}), &c); err != nil {
			t.Fatal(err)
		}
		s := c["settings"].(map[string]any)
		s["classes"] = change(s, s["classes"].([]any))
		text, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		apptest.Replace(t, path, text)
	}
	reload := func() error {
		settingsReloader.mu.Lock()
		defer settingsReloader.mu.Unlock()
		return settingsReloader.reloadConfig()
	}
	class := func(name string) *logic.Class {
		classes := p.Classes()
		if i := slices.IndexFunc(classes, func(c logic.Class) bool { return c.Name == name }); i >= 0 {
			return &classes[i]
		}
		return nil
	}

	for want, change := range map[string]func(map[string]any, []any) []any{
		"classes[0].deadline_ms is missing": func(_ map[string]any, cs []any) []any { delete(cs[0].(map[string]any), "deadline_ms"); return cs },
		"no aim or deadline":                func(_ map[string]any, cs []any) []any { cs[1].(map[string]any)["deadline_ms"] = -5; return cs },
		"try limit":                         func(s map[string]any, cs []any) []any { s["limits"].(map[string]any)["try_limit"] = 0; return cs },
		"tile-read":                         func(_ map[string]any, cs []any) []any { return cs[1:] },
		"cannot unmarshal string":           func(_ map[string]any, cs []any) []any { cs[0].(map[string]any)["deadline_ms"] = "soon"; return cs },
	} {
		edit(change)
		if err := reload(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
		if settingsReloader.cfg != cfg || len(p.Classes()) != 2 || front.reloads != 0 {
			t.Fatalf("%s: something of it was taken over", want)
		}
	}

	edit(func(s map[string]any, cs []any) []any {
		s["limits"].(map[string]any)["try_limit"] = 2
		order := cs[1].(map[string]any)
		order["repeat"] = "repeatable"
		added := map[string]any{}
		for k, v := range order {
			added[k] = v
		}
		added["name"] = "overlay"
		return append(cs, added)
	})
	if err := reload(); err != nil {
		t.Fatal(err)
	}
	if settingsReloader.cfg.Discovery != "127.0.0.1:77" || class("overlay") == nil || front.reloads != 1 {
		t.Error("the new file is not in force")
	}
	if c := class("pass-order"); c.Effect != logic.AtMostOnce {
		t.Error("an order may run again while clients still go by the old file")
	}
	for end := time.Now().Add(20 * time.Second); class("pass-order").Effect == logic.AtMostOnce; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the new class never holds by itself")
		}
	}
}

// TestReloadReverted reverts the file during the transition. The pending switch to the reverted classes must
// not take place.
func TestReloadReverted(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	first := apptest.ConfigWith(t, baseConfig, nil)
	r := newTestReloader(t, path, first)
	apptest.Replace(t, path, []byte(strings.Replace(string(first), `"repeat":"once"`, `"repeat":"repeatable"`, 1)))
	r.reload()
	transition := r.transitionTimer
	apptest.Replace(t, path, first)
	r.reload()
	if transition == nil || transition.Stop() {
		t.Error("the file that was taken back still has its time to come")
	}
	if r.proxy.Classes()[1].Effect != logic.AtMostOnce {
		t.Error("an order may run again")
	}
}
