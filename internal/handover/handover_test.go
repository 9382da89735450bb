package handover

import (
	"os"
	"path/filepath"
	"testing"

	"linenloom/internal/maintenance"
)

func open(t *testing.T, path string, alone bool) *Dir {
	t.Helper()
	d, is, err := Open(path, "n0 127.0.0.1:1")
	if err != nil || is != alone {
		t.Fatalf("alone %t, want %t: %v", is, alone, err)
	}
	t.Cleanup(d.Close)
	return d
}

func out(t *testing.T, d *Dir, id string, now int64) {
	t.Helper()
	if _, err := d.Change(func(s maintenance.Set) (maintenance.Set, error) { return s.Enter(id, now) }); err != nil {
		t.Fatal(err)
	}
}

func TestOneFollowsAnother(t *testing.T) {
	path := t.TempDir()
	old := open(t, path, true)
	if old.Followed() {
		t.Error("followed by nobody")
	}
	out(t, old, "a", 1)
	next := open(t, path, false)
	if set, _, err := next.Look(); err != nil || !set.Out("a") {
		t.Errorf("the next process does not know who is out: %v", err)
	}
	if !old.Followed() {
		t.Error("not followed")
	}
	// Each hears of the other's calls and of what it holds.
	out(t, next, "b", 2)
	if set, changed, err := old.Look(); err != nil || !changed || !set.Out("b") || !set.Out("a") {
		t.Errorf("changed %t %v", changed, err)
	}
	if _, changed, _ := old.Look(); changed {
		t.Error("changed again")
	}
	old.Share(Usage{5, 50})
	if got, err := next.Share(Usage{7, 70}); err != nil || got != (Usage{5, 50}) {
		t.Errorf("%v %v", got, err)
	}
	if got, err := old.Share(Usage{6, 60}); err != nil || got != (Usage{7, 70}) {
		t.Errorf("%v %v", got, err)
	}
	if ok, _ := next.Promote(); ok {
		t.Error("promoted beside a process that serves")
	}
	old.Close() // as the kernel does at its end
	if ok, err := next.Promote(); !ok || err != nil {
		t.Errorf("not promoted: %v", err)
	}
	if next.Followed() {
		t.Error("followed by itself")
	}
	third := open(t, path, false)
	if set, _, _ := third.Look(); !set.Out("a") || !set.Out("b") || !next.Followed() {
		t.Error("the second upgrade lost something")
	}
}

// A record cut at any byte leaves what is known in force, and nothing is written over it.
func TestRecordCutShort(t *testing.T) {
	path := t.TempDir()
	d := open(t, path, true)
	out(t, d, "a", 1)
	name := filepath.Join(d.path, recordName)
	whole, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	for cut := range whole {
		if err := os.WriteFile(name, whole[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		set, _, err := d.Look()
		if err == nil {
			t.Fatalf("cut at %d: taken for whole", cut)
		}
		if !set.Out("a") {
			t.Fatalf("cut at %d: the member came back", cut)
		}
		if _, err := d.Change(func(s maintenance.Set) (maintenance.Set, error) { return s.Exit("a", 2), nil }); err == nil {
			t.Fatalf("cut at %d: a change over a record that can't be read", cut)
		}
	}
}

func TestWithoutADirectory(t *testing.T) {
	d := open(t, "", true)
	out(t, d, "a", 1)
	if set, _, err := d.Look(); err != nil || !set.Out("a") || d.Followed() {
		t.Errorf("%v", err)
	}
	if ok, err := d.Promote(); !ok || err != nil {
		t.Errorf("%v", err)
	}
	gone, alone, err := Open("/dev/null/none", "n0")
	if err == nil || !alone {
		t.Errorf("alone %t, err %v", alone, err)
	}
	out(t, gone, "b", 1)
}

// A process that starts over a record that can't be read still knows that it follows another one.
func TestFollowingOverABadRecord(t *testing.T) {
	path := t.TempDir()
	old := open(t, path, true)
	out(t, old, "a", 1)
	name := filepath.Join(old.path, recordName)
	whole, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(name, whole[:5], 0o600); err != nil {
		t.Fatal(err)
	}
	next := open(t, path, false)
	if _, _, err := next.Look(); err == nil {
		t.Error("half a record is taken for whole")
	}
	if err := os.WriteFile(name, whole, 0o600); err != nil {
		t.Fatal(err)
	}
	if set, changed, err := next.Look(); err != nil || !changed || !set.Out("a") {
		t.Errorf("once it is whole again: changed %t, %v", changed, err)
	}
}

// Only the process that serves leaves what it has learnt; whoever follows, two at once too, finds the last that was left whole, whatever
// a process that was killed in the middle has left beside it.
func TestLeaveAndLeft(t *testing.T) {
	path := t.TempDir()
	old := open(t, path, true)
	if got, err := old.Left(100); got != nil || err != nil {
		t.Errorf("left by nobody: %q %v", got, err)
	}
	next, other := open(t, path, false), open(t, path, false)
	if err := old.Leave([]byte("first")); err != nil {
		t.Fatal(err)
	}
	if err := next.Leave([]byte("by one that only follows")); err != nil {
		t.Fatal(err)
	}
	half := filepath.Join(old.path, learntName+".new") // killed while it wrote
	if err := os.WriteFile(half, []byte("sec"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, d := range []*Dir{next, other} {
		if got, err := d.Left(100); string(got) != "first" || err != nil {
			t.Errorf("%q %v", got, err)
		}
	}
	if _, err := next.Left(4); err == nil {
		t.Error("more is read than was asked for")
	}
	old.Close()
	if ok, err := next.Promote(); !ok || err != nil {
		t.Fatalf("%t %v", ok, err)
	}
	if err := next.Leave([]byte("second")); err != nil {
		t.Fatal(err)
	}
	if got, err := other.Left(100); string(got) != "second" || err != nil {
		t.Errorf("%q %v", got, err)
	}
	none, _, _ := Open("", "n0")
	if got, err := none.Left(100); none.Lasts() || none.Leave([]byte("x")) != nil || got != nil || err != nil {
		t.Errorf("without a directory: %q %v", got, err)
	}
}

// Who comes after the one that served has ended, and before the one that follows it has seen so, follows that one, and takes its slot then.
func TestThirdComesBetweenTwo(t *testing.T) {
	path := t.TempDir()
	first, second := open(t, path, true), open(t, path, false)
	first.Close()
	third := open(t, path, false)
	if alone, err := second.Promote(); !alone || err != nil {
		t.Fatalf("the second: alone %v, %v", alone, err)
	}
	if alone, err := third.Promote(); alone || err != nil || !second.Followed() {
		t.Errorf("the third: alone %v, %v; followed %v", alone, err, second.Followed())
	}
	second.Close()
	if alone, err := third.Promote(); !alone || err != nil {
		t.Errorf("the third, left alone: %v, %v", alone, err)
	}
}
