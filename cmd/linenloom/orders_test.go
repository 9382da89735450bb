package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"linenloom/internal/app/apptest"
	"linenloom/internal/lab"
	"linenloom/internal/standin"
)

// Processes with a record of orders follow one another under load, by upgrades, by upgrades whose first process is killed in their midst, and
// after kills: clients that hold on to their orders hear what has become of each, and none runs twice.
func TestOrdersOverUpgrades(t *testing.T) {
	const patience = 20 * time.Second
	fleet, err := standin.NewFleet(2, 100)
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	fleet.Origin.SetService(3*time.Millisecond, 0)
	listen, tmp := freeAddr(t), t.TempDir()
	text, err := fleet.Config("n0", listen, "7", 64, 256)
	if err != nil {
		t.Fatal(err)
	}
	config, operator, dir := filepath.Join(tmp, "config.json"), filepath.Join(tmp, "op.toml"), filepath.Join(tmp, "orders")
	apptest.Replace(t, config, text)
	apptest.Replace(t, operator, fmt.Appendf(nil, "[orders]\ndir = %q\ncompact_at = 100\nsegment = 65536\nstrangers = \"run\"\nreceipts = [\"resp2\"]\n", dir))
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	start := func() *exec.Cmd {
		t.Helper()
		return launch(t, &lines{to: t.Output()}, []string{"-operator", operator}, "LB_CONFIG="+config, "TMPDIR="+tmp)
	}
	process := start()
	at := &lab.OrderClients{Addr: listen, KeyPrefix: "o", Deadline: 4 * time.Second}
	at.Start(12)
	progress := func() {
		t.Helper()
		from := at.Served.Load()
		for end := time.Now().Add(patience); at.Served.Load() < from+30; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("no orders are served")
			}
		}
	}
	for round := range 12 {
		progress()
		switch next := process; round % 3 {
		case 0:
			process = start()
			next.Process.Signal(syscall.SIGTERM)
			if err := next.Wait(); err != nil {
				t.Errorf("the process that was followed ended with %v", err)
			}
		case 1:
			process = start()
			next.Process.Kill()
			next.Wait()
		default:
			process.Process.Kill()
			process.Wait()
			process = start()
		}
	}
	progress()
	at.Stop()
	process.Process.Signal(syscall.SIGTERM)
	if err := process.Wait(); err != nil {
		t.Error(err)
	}
	states, err := lab.CheckOrders(dir, "kiosk", at.Receipts(), fleet.Origin.Executions())
	if err != nil {
		t.Error(err)
	}
	t.Logf("%v; %d refused, %d failed, %d broken", states, at.Refused.Load(), at.Failed.Load(), at.ConnectionsBroken.Load())

	// A folder that somebody else has open, and who is not followed: the program says so and ends.
	one := start()
	cmd := exec.Command(self, "-operator", operator)
	cmd.Env = append(os.Environ(), asProxy+"=1", "LB_CONFIG="+config, "TMPDIR="+t.TempDir())
	said, err := cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(said), "another process has it open") {
		t.Errorf("a second process: %v, %s", err, said)
	}
	one.Process.Signal(syscall.SIGTERM)
	one.Wait()
}
