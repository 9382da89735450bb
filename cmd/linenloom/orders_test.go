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

// TestOrdersOverUpgrades runs processes with a record of orders one after another under load: by upgrades,
// by upgrades whose predecessor is killed, and after kills. Clients that retry their orders have to learn
// the outcome of each, and no order may run twice.
func TestOrdersOverUpgrades(t *testing.T) {
	const waitTimeout = 20 * time.Second
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
		return launch(t, &logCounter{output: t.Output()}, []string{"-operator", operator}, "LB_CONFIG="+config, "TMPDIR="+tmp)
	}
	process := start()
	orderer := &lab.OrderClients{Addr: listen, KeyPrefix: "o", Deadline: 4 * time.Second}
	orderer.Start(12)
	progress := func() {
		t.Helper()
		from := orderer.Served.Load()
		for end := time.Now().Add(waitTimeout); orderer.Served.Load() < from+30; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("no orders are served")
			}
		}
	}
	for round := range 12 {
		progress()
		switch previous := process; round % 3 {
		case 0:
			process = start()
			previous.Process.Signal(syscall.SIGTERM)
			if err := previous.Wait(); err != nil {
				t.Errorf("the process that was followed ended with %v", err)
			}
		case 1:
			process = start()
			previous.Process.Kill()
			previous.Wait()
		default:
			process.Process.Kill()
			process.Wait()
			process = start()
		}
	}
	progress()
	orderer.Stop()
	process.Process.Signal(syscall.SIGTERM)
	if err := process.Wait(); err != nil {
		t.Error(err)
	}
	states, err := lab.CheckOrders(dir, "kiosk", orderer.Receipts(), fleet.Origin.Executions())
	if err != nil {
		t.Error(err)
	}
	t.Logf("%v; %d refused, %d failed, %d broken", states, orderer.Refused.Load(), orderer.Failed.Load(), orderer.ConnectionsBroken.Load())

	// If another process that is not the predecessor has the directory open, the program reports it and
	// ends.
	first := start()
	cmd := exec.Command(self, "-operator", operator)
	cmd.Env = append(os.Environ(), asProgram+"=1", "LB_CONFIG="+config, "TMPDIR="+t.TempDir())
	output, err := cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(output), "another process has it open") {
		t.Errorf("a second process: %v, %s", err, output)
	}
	first.Process.Signal(syscall.SIGTERM)
	first.Wait()
}
