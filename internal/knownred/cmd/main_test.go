package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// writeProject writes a project of two packages, in each of which TestSame passes or fails, and changes to
// its directory.
func writeProject(t *testing.T, list string, fails map[string]bool) {
	t.Helper()
	dir := t.TempDir()
	write := func(name, text string) {
		t.Helper()
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("go.mod", "module example\n\ngo 1.26\n")
	write(listPath, list)
	for _, name := range []string{"a", "b"} {
		body := ""
		if fails[name] {
			body = "t.Fatal(\"a fault\")"
		}
		write(name+"/x_test.go", "package "+name+"\n\nimport \"testing\"\n\nfunc TestSame(t *testing.T) { "+body+" }\n\nfunc TestOther(t *testing.T) {}\n")
	}
	if strings.Contains(list, "TestParts") {
		write("a/parts_test.go", `package a

import "testing"

func TestParts(t *testing.T) {
	t.Run("good", func(t *testing.T) {})
	t.Run("bad", func(t *testing.T) { t.Fatal("a fault") })
}
`)
	}
	t.Chdir(dir)
}

// The run passes only if the listed test fails and no other test does.
func TestRun(t *testing.T) {
	const listed = "./a TestSame | a cause | issue 1\n"
	for name, c := range map[string]struct {
		list  string
		fails map[string]bool
		want  string // part of the error; empty if there is none
	}{
		"it fails as known":             {listed, map[string]bool{"a": true}, ""},
		"it passes":                     {listed, nil, "TestSame passes: the list is wrong"},
		"it is not there":               {"./a TestGone | a cause | issue 1\n", nil, "TestGone is no test"},
		"its namesake elsewhere fails":  {listed, map[string]bool{"a": true, "b": true}, "go test"},
		"it passes, and fails at times": {"./a TestSame (at times) | a cause | issue 1\n", nil, ""},
		"a part of it fails":            {"./a TestParts/bad | a cause | issue 1\n", nil, ""},
		"another part of it fails":      {"./a TestParts/good | a cause | issue 1\n", nil, "go test"},
		"a command":                     {"go run ./a -seed 7 | a cause | issue 1\n", nil, ""},
		"a command that is not there":   {"go run ./c -seed 7 | a cause | issue 1\n", nil, "names no program"},
		"a line that can't be read":     {"./a TestSame\n", nil, "line 1"},
	} {
		t.Run(name, func(t *testing.T) {
			writeProject(t, c.list, c.fails)
			err := run()
			if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
				t.Errorf("%v, want %q", err, c.want)
			}
		})
	}
}
