package storecmd

import (
	"bytes"
	"strings"
	"testing"

	"linenloom/internal/orders"
	"linenloom/internal/store/disk"
	"linenloom/internal/store/log"
)

func TestCheckAndDump(t *testing.T) {
	dir := t.TempDir()
	runCommand := func(want int, args ...string) string {
		t.Helper()
		var out, errs bytes.Buffer
		if got := run(args, &out, &errs); got != want {
			t.Fatalf("%v: status %d, want %d: %s", args, got, want, errs.String())
		}
		return out.String() + errs.String()
	}
	if got := runCommand(0, "check", dir); got != "no record\n" {
		t.Errorf("an empty folder: %q", got)
	}
	opened, err := log.Open(disk.Dir(dir), log.Options{SegmentSize: 400}, func(log.Record) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	entry := orders.Entry{State: orders.Sent, Name: orders.Name{Tenant: "kiosk", Key: "k1"}, Attempts: 1}
	for _, payload := range [][]byte{[]byte("first\x00"), entry.Append(nil)} {
		if _, err := opened.Append(1, payload); err != nil {
			t.Fatal(err)
		}
	}
	if got := runCommand(1, "check", dir); !strings.Contains(got, "another process") {
		t.Errorf("in use: %q", got)
	}
	opened.Close()
	want := "1 kind 1, 6 bytes: \"fir\"\n2 kind 1, 50 bytes: order \"kiosk\" \"k1\" sent, sent 1 times\n2 records, 1 to 2, 56 bytes: whole\n"
	if got := runCommand(0, "dump", "-bytes", "3", dir); got != want {
		t.Errorf("%q, want %q", got, want)
	}
	runCommand(2, "compact", dir)
	runCommand(2, "repair", dir)
	if got := runCommand(0, "repair", "-copy", dir+"/copy", dir); !strings.Contains(got, "nothing was changed") {
		t.Errorf("a whole log is mended: %q", got)
	}
	if got := runCommand(1, "repair", "-copy", dir, dir); !strings.Contains(got, "is not empty") {
		t.Errorf("a copy over the log: %q", got)
	}
	runCommand(2, "dump")
	runCommand(1, "check", dir+"/none")
}
