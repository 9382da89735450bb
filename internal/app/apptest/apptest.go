// Package apptest is what the tests of the programs and of internal/app share: a configuration with some fields of its
// own, and files that are replaced as operators replace them. It is no part of any program.
package apptest

import (
	"encoding/json"
	"os"
	"testing"
)

// ConfigWith is the configuration at base with some fields replaced.
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

// Replace puts a file in the place of another in one step.
func Replace(t *testing.T, path string, text []byte) {
	t.Helper()
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}
