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

// An order whose process ended while it was out is unknown, is settled by an operator, and stands so at the next opening; what is wrong is
// told, and changes nothing.
func TestUnknownOrder(t *testing.T) {
	dir := t.TempDir()
	now := func() time.Duration { return time.Duration(1_800_000_000) * time.Second }
	open := func() *ledger.Ledger {
		t.Helper()
		l, err := ledger.Open(disk.Dir(dir), ledger.Options{Limits: orders.Limits{Retention: time.Hour, MaxOrders: 9, MaxReceiptBytes: 999}, SegmentSize: 400, CompactAfter: 99}, now)
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	l := open()
	for _, key := range []string{"k1", "k2"} {
		n := orders.Name{Tenant: "kiosk", Key: key}
		if v, _, err := l.Take(orders.Order{Name: n}); v != orders.Proceed || err != nil {
			t.Fatal(v, err)
		}
		if err := l.Send(n, "o-1"); err != nil {
			t.Fatal(err)
		}
	}
	call := func(want int, args ...string) string {
		t.Helper()
		var out, errs bytes.Buffer
		if got := run(append(args, "-dir", dir), &out, &errs, now); got != want {
			t.Fatalf("%v: status %d, want %d: %s", args, got, want, errs.String())
		}
		return out.String() + errs.String()
	}
	has := func(text string, want ...string) {
		t.Helper()
		for _, w := range want {
			if !strings.Contains(text, w) {
				t.Errorf("%q lacks %q", text, w)
			}
		}
	}
	has(call(1, "list"), "another process has it open")
	l.Close()
	has(call(0, "list", "-state", "unknown"), `"k1"`, `"k2"`, "o-1", "2027-01-15T08:00:00Z")
	has(call(1, "show", "-tenant", "kiosk", "-key", "k9"), "no such order")
	has(call(1, "settle", "-tenant", "kiosk", "-key", "k1", "-as", "lost", "-by", "ops"), `not "lost"`)
	has(call(2, "settle", "-tenant", "kiosk", "-key", "k1", "-as", "done"), "-by is missing")
	receipt := filepath.Join(t.TempDir(), "receipt")
	os.WriteFile(receipt, []byte("pass 77"), 0o600)
	has(call(0, "settle", "-tenant", "kiosk", "-key", "k1", "-as", "done", "-by", "ops", "-receipt", receipt), "settled as done")
	has(call(1, "settle", "-tenant", "kiosk", "-key", "k1", "-as", "never_ran", "-by", "ops"), "only an unknown order")
	has(call(0, "settle", "-tenant", "kiosk", "-key", "k2", "-as", "never_ran", "-by", "ops"), "settled as never_ran")
	has(call(0, "compact"), "compacted")
	has(call(0, "check"), "done       1", "never_ran  1", "unknown    0")
	has(call(0, "show", "-tenant", "kiosk", "-key", "k1"), "done", `settled  "ops"`, "pass 77")

	l = open()
	if v, r, _ := l.Take(orders.Order{Name: orders.Name{Tenant: "kiosk", Key: "k1"}}); v != orders.Receipt || string(r) != "pass 77" {
		t.Errorf("asked again: %v %q", v, r)
	}
	if v, _, _ := l.Take(orders.Order{Name: orders.Name{Tenant: "kiosk", Key: "k2"}}); v != orders.Proceed {
		t.Errorf("what never ran: %v", v)
	}
	l.Close()

	files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	text, err := os.ReadFile(files[0])
	if err != nil {
		t.Fatal(err)
	}
	text[60] ^= 1 // in the first of several entries
	os.WriteFile(files[0], text, 0o600)
	has(call(1, "check"), filepath.Base(files[0])+" at byte", "Nothing was changed")
	if got := run([]string{"list", "-dir", filepath.Join(dir, "none")}, &bytes.Buffer{}, &bytes.Buffer{}, now); got != 1 {
		t.Errorf("a folder that is not there: %d", got)
	}
}
