package ordercmd

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"linenloom/internal/orders"
	"linenloom/internal/orders/ledger"
	"linenloom/internal/store/disk"
)

// An order that had been sent when its process ended is unknown. An operator settles it, and the
// outcome is still recorded after a reopening. Invalid calls report an error and change nothing.
func TestUnknownOrder(t *testing.T) {
	dir := t.TempDir()
	now := func() time.Duration { return time.Duration(1_800_000_000) * time.Second }
	open := func() *ledger.Ledger {
		t.Helper()
		opened, err := ledger.Open(disk.Dir(dir), ledger.Options{Limits: orders.Limits{Retention: time.Hour, MaxOrders: 9, MaxReceiptBytes: 999}, SegmentSize: 400, CompactAfter: 99}, now)
		if err != nil {
			t.Fatal(err)
		}
		return opened
	}
	opened := open()
	for _, key := range []string{"k1", "k2"} {
		name := orders.Name{Tenant: "kiosk", Key: key}
		if v, _, err := opened.Take(orders.Order{Name: name}); v != orders.Proceed || err != nil {
			t.Fatal(v, err)
		}
		if err := opened.Send(name, "o-1"); err != nil {
			t.Fatal(err)
		}
	}
	runCommand := func(want int, args ...string) string {
		t.Helper()
		var out, errs bytes.Buffer
		if got := run(append(args, "-dir", dir), &out, &errs, now); got != want {
			t.Fatalf("%v: status %d, want %d: %s", args, got, want, errs.String())
		}
		return out.String() + errs.String()
	}
	contains := func(text string, want ...string) {
		t.Helper()
		for _, part := range want {
			if !strings.Contains(text, part) {
				t.Errorf("%q lacks %q", text, part)
			}
		}
	}
	contains(runCommand(1, "list"), "another process has it open")
	opened.Close()
	contains(runCommand(0, "list", "-state", "unknown"), `"k1"`, `"k2"`, "o-1", "2027-01-15T08:00:00Z")
	contains(runCommand(1, "show", "-tenant", "kiosk", "-key", "k9"), "no such order")
	contains(runCommand(1, "settle", "-tenant", "kiosk", "-key", "k1", "-as", "lost", "-by", "ops"), `not "lost"`)
	contains(runCommand(2, "settle", "-tenant", "kiosk", "-key", "k1", "-as", "done"), "-by is missing")
	receipt := filepath.Join(t.TempDir(), "receipt")
	os.WriteFile(receipt, []byte("pass 77"), 0o600)
	contains(runCommand(0, "settle", "-tenant", "kiosk", "-key", "k1", "-as", "done", "-by", "ops", "-receipt", receipt), "settled as done")
	contains(runCommand(1, "settle", "-tenant", "kiosk", "-key", "k1", "-as", "never_ran", "-by", "ops"), "only an unknown order")
	contains(runCommand(0, "settle", "-tenant", "kiosk", "-key", "k2", "-as", "never_ran", "-by", "ops"), "settled as never_ran")
	contains(runCommand(0, "compact"), "compacted")
	contains(runCommand(0, "check"), "done       1", "never_ran  1", "unknown    0")
	contains(runCommand(0, "show", "-tenant", "kiosk", "-key", "k1"), "done", `settled  "ops"`, "pass 77")

	opened = open()
	if v, r, _ := opened.Take(orders.Order{Name: orders.Name{Tenant: "kiosk", Key: "k1"}}); v != orders.Receipt || string(r) != "pass 77" {
		t.Errorf("asked again: %v %q", v, r)
	}
	if v, _, _ := opened.Take(orders.Order{Name: orders.Name{Tenant: "kiosk", Key: "k2"}}); v != orders.Proceed {
		t.Errorf("what never ran: %v", v)
	}
	opened.Close()

	files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	text, err := os.ReadFile(files[0])
	if err != nil {
		t.Fatal(err)
	}
	text[60] ^= 1 // in the first of several entries
	os.WriteFile(files[0], text, 0o600)
	contains(runCommand(1, "check"), filepath.Base(files[0])+" at byte", "Nothing was changed")
	if got := run([]string{"list", "-dir", filepath.Join(dir, "none")}, &bytes.Buffer{}, &bytes.Buffer{}, now); got != 1 {
		t.Errorf("a folder that is not there: %d", got)
	}
}
