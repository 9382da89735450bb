package app

import (
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"linenloom/internal/handover"
	"linenloom/internal/requestids"
)

// Guards against ids that only one of the processes of a proxy knows, and against a process that ends because the
// shared file was cut.
func TestSharedIDs(t *testing.T) {
	path := t.TempDir()
	open := func() *sharedIDs {
		dir, _, err := handover.Open(path, "n0 127.0.0.1:1")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(dir.Close)
		return openSharedIDs(dir, slog.New(slog.DiscardHandler))
	}
	predecessor, successor := open(), open()
	if got := predecessor.Claim([]byte("order")); got != requestids.Claimed {
		t.Errorf("a new id: %v", got)
	}
	if got := successor.Claim([]byte("order")); got != requestids.Taken {
		t.Errorf("the id at the other process: %v", got)
	}
	files, err := filepath.Glob(filepath.Join(path, "*", "ids"))
	if err != nil || len(files) != 1 {
		t.Fatalf("files %v, %v", files, err)
	}
	if err := os.Truncate(files[0], 0); err != nil {
		t.Fatal(err)
	}
	if got := successor.Claim([]byte("another order")); got != requestids.Full {
		t.Errorf("with the file cut: %v", got)
	}
}
