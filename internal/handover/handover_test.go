package handover

import (
	"os"
	"path/filepath"
	"testing"

	"linenloom/internal/maintenance"
)

func openDir(t *testing.T, path string, alone bool) *Dir {
	t.Helper()
	d, is, err := Open(path, "n0 127.0.0.1:1")
	if err != nil || is != alone {
		t.Fatalf("alone %t, want %t: %v", is, alone, err)
	}
	t.Cleanup(d.Close)
	return d
}

func takeOut(t *testing.T, d *Dir, id string, now int64) {
	t.Helper()
	if _, err := d.Update(func(s maintenance.Set) (maintenance.Set, error) { return s.Enter(id, now) }); err != nil {
		t.Fatal(err)
	}
}

func TestTakeover(t *testing.T) {
	path := t.TempDir()
	old := openDir(t, path, true)
	if old.HasSuccessor() {
		t.Error("followed by nobody")
	}
	takeOut(t, old, "a", 1)
	next := openDir(t, path, false)
	if set, _, err := next.Reload(); err != nil || !set.IsOut("a") {
		t.Errorf("the next process does not know who is out: %v", err)
	}
	if !old.HasSuccessor() {
		t.Error("not followed")
	}
	// Each process sees the other's changes of the record and its usage.
	takeOut(t, next, "b", 2)
	if set, changed, err := old.Reload(); err != nil || !changed || !set.IsOut("b") || !set.IsOut("a") {
		t.Errorf("changed %t %v", changed, err)
	}
	if _, changed, _ := old.Reload(); changed {
		t.Error("changed again")
	}
	old.ExchangeUsage(Usage{5, 50})
	if got, err := next.ExchangeUsage(Usage{7, 70}); err != nil || got != (Usage{5, 50}) {
		t.Errorf("%v %v", got, err)
	}
	if got, err := old.ExchangeUsage(Usage{6, 60}); err != nil || got != (Usage{7, 70}) {
		t.Errorf("%v %v", got, err)
	}
	if ok, _ := next.Promote(); ok {
		t.Error("promoted beside a process that serves")
	}
	old.Close() // as the kernel does when the process ends
	if ok, err := next.Promote(); !ok || err != nil {
		t.Errorf("not promoted: %v", err)
	}
	if next.HasSuccessor() {
		t.Error("followed by itself")
	}
	third := openDir(t, path, false)
	if set, _, _ := third.Reload(); !set.IsOut("a") || !set.IsOut("b") || !next.HasSuccessor() {
		t.Error("the second upgrade lost something")
	}
}

// A record truncated at any byte leaves the known record in force and is not overwritten.
func TestTruncatedRecord(t *testing.T) {
	path := t.TempDir()
	d := openDir(t, path, true)
	takeOut(t, d, "a", 1)
	name := filepath.Join(d.path, recordName)
	whole, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	for cut := range whole {
		if err := os.WriteFile(name, whole[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		set, _, err := d.Reload()
		if err == nil {
			t.Fatalf("cut at %d: taken for whole", cut)
		}
		if !set.IsOut("a") {
			t.Fatalf("cut at %d: the member came back", cut)
		}
		if _, err := d.Update(func(s maintenance.Set) (maintenance.Set, error) { return s.Exit("a", 2), nil }); err == nil {
			t.Fatalf("cut at %d: a change over a record that can't be read", cut)
		}
	}
}

func TestWithoutDirectory(t *testing.T) {
	d := openDir(t, "", true)
	takeOut(t, d, "a", 1)
	if set, _, err := d.Reload(); err != nil || !set.IsOut("a") || d.HasSuccessor() {
		t.Errorf("%v", err)
	}
	if ok, err := d.Promote(); !ok || err != nil {
		t.Errorf("%v", err)
	}
	gone, alone, err := Open("/dev/null/none", "n0")
	if err == nil || !alone {
		t.Errorf("alone %t, err %v", alone, err)
	}
	takeOut(t, gone, "b", 1)
}

// A process that starts with an unreadable record still detects that it follows another process.
func TestSuccessorWithBadRecord(t *testing.T) {
	path := t.TempDir()
	old := openDir(t, path, true)
	takeOut(t, old, "a", 1)
	name := filepath.Join(old.path, recordName)
	whole, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(name, whole[:5], 0o600); err != nil {
		t.Fatal(err)
	}
	next := openDir(t, path, false)
	if _, _, err := next.Reload(); err == nil {
		t.Error("half a record is taken for whole")
	}
	if err := os.WriteFile(name, whole, 0o600); err != nil {
		t.Fatal(err)
	}
	if set, changed, err := next.Reload(); err != nil || !changed || !set.IsOut("a") {
		t.Errorf("once it is whole again: changed %t, %v", changed, err)
	}
}

// Only the serving process stores its state. Each process that follows, even of two at once, reads the
// last complete state, whatever a process that was killed while writing has left beside it.
func TestWriteAndReadState(t *testing.T) {
	path := t.TempDir()
	old := openDir(t, path, true)
	if got, err := old.ReadState(100); got != nil || err != nil {
		t.Errorf("left by nobody: %q %v", got, err)
	}
	next, other := openDir(t, path, false), openDir(t, path, false)
	if err := old.WriteState([]byte("first")); err != nil {
		t.Fatal(err)
	}
	if err := next.WriteState([]byte("by one that only follows")); err != nil {
		t.Fatal(err)
	}
	half := filepath.Join(old.path, stateName+".new") // killed while writing
	if err := os.WriteFile(half, []byte("sec"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, d := range []*Dir{next, other} {
		if got, err := d.ReadState(100); string(got) != "first" || err != nil {
			t.Errorf("%q %v", got, err)
		}
	}
	if _, err := next.ReadState(4); err == nil {
		t.Error("more is read than was asked for")
	}
	old.Close()
	if ok, err := next.Promote(); !ok || err != nil {
		t.Fatalf("%t %v", ok, err)
	}
	if err := next.WriteState([]byte("second")); err != nil {
		t.Fatal(err)
	}
	if got, err := other.ReadState(100); string(got) != "second" || err != nil {
		t.Errorf("%q %v", got, err)
	}
	none, _, _ := Open("", "n0")
	if got, err := none.ReadState(100); none.Persistent() || none.WriteState([]byte("x")) != nil || got != nil || err != nil {
		t.Errorf("without a directory: %q %v", got, err)
	}
}

// A process that starts after the serving one has ended, but before its successor has noticed, follows
// the successor, and takes the successor's slot in turn.
func TestThirdProcessDuringTakeover(t *testing.T) {
	path := t.TempDir()
	first, second := openDir(t, path, true), openDir(t, path, false)
	first.Close()
	third := openDir(t, path, false)
	if alone, err := second.Promote(); !alone || err != nil {
		t.Fatalf("the second: alone %v, %v", alone, err)
	}
	if alone, err := third.Promote(); alone || err != nil || !second.HasSuccessor() {
		t.Errorf("the third: alone %v, %v; followed %v", alone, err, second.HasSuccessor())
	}
	second.Close()
	if alone, err := third.Promote(); !alone || err != nil {
		t.Errorf("the third, left alone: %v, %v", alone, err)
	}
}

// Guards against two processes of a proxy that do not see each other's ids, and against a file that is emptied when
// the next process opens it.
func TestIDsAreSharedByProcesses(t *testing.T) {
	path := t.TempDir()
	old, err := openDir(t, path, true).MapIDs(1024)
	if err != nil {
		t.Fatal(err)
	}
	old[7] = 42
	next, err := openDir(t, path, false).MapIDs(1024)
	if err != nil {
		t.Fatal(err)
	}
	if next[1023] = 43; next[7] != 42 || old[1023] != 43 {
		t.Errorf("got %d and %d, want 42 and 43", next[7], old[1023])
	}
	none, err := (&Dir{}).MapIDs(1024)
	if none != nil || err != nil {
		t.Errorf("without a path: %v, %v", none, err)
	}
}
