// Package apptest is shared by the tests of the programs and of internal/app: a configuration with some
// fields replaced, and files that are replaced the way operators replace them. It is not part of any
// program.
package apptest

import (
	"encoding/json"
	"os"
	"testing"
)

// ConfigWith returns the configuration at base with some fields replaced.
func ConfigWith(t *testing.T, base string, fields map[string]any) []byte {
	t.Helper()
	text, err := os.ReadFile(base)
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

// Replace replaces a file atomically.
func Replace(t *testing.T, path string, text []byte) {
	t.Helper()
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}
