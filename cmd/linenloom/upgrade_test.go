package main

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"linenloom/internal/app/apptest"
	"linenloom/internal/lab"
	"linenloom/internal/standin"
)

// freeAddr is a loopback address that nobody listens at.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Three processes follow one another at one address, under load and with a box taken out by hand: no request meets a
// closed door, none is lost, and the box stays out until a call at the last process takes it back.
func TestUpgrade(t *testing.T) {
	const patience = 20 * time.Second
	fleet, err := standin.NewFleet(2, 100)
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	listen := freeAddr(t)
	text, err := fleet.Config("n0", listen, "7", 64, 256)
	if err != nil {
		t.Fatal(err)
	}
	tmp := t.TempDir()
	path := filepath.Join(tmp, "config.json")
	apptest.Replace(t, path, text)
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	call := func(method, addr, path, body string) int {
		status, _ := lab.Call(method, addr, path, body)
		return status
	}
	start := func(mgmt string) *exec.Cmd {
		cmd := exec.Command(self)
		cmd.Env = append(os.Environ(), asProxy+"=1", "LB_CONFIG="+path, "LB_MGMT="+mgmt, "TMPDIR="+tmp)
		cmd.Stderr = t.Output()
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { cmd.Process.Kill() })
		for end := time.Now().Add(patience); call("GET", mgmt, "/status", "") != 200; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the process never says that it serves")
			}
		}
		return cmd
	}
	calls := [3]string{freeAddr(t), freeAddr(t), freeAddr(t)}
	process := start(calls[0])

	d := lab.Door{Addr: listen}
	d.Open(8, 50, 10)
	progress := func() {
		t.Helper()
		if err := d.Progress(300); err != nil {
			t.Fatal(err)
		}
	}
	progress()
	if got := call("PUT", calls[0], "/maintenance/enter", "s-1"); got != 200 {
		t.Fatalf("enter: %d", got)
	}
	for i := range 2 {
		progress()
		out := fleet.Boxes[0].Began()
		next := start(calls[i+1])
		progress()
		process.Process.Signal(syscall.SIGTERM)
		if err := process.Wait(); err != nil {
			t.Errorf("the process that was followed ended with %v", err)
		}
		progress()
		if got := fleet.Boxes[0].Began() - out; got > 0 {
			t.Errorf("upgrade %d: %d requests for a box that is out", i+1, got)
		}
		process = next
	}
	if got := call("PUT", calls[2], "/maintenance/exit", "s-1"); got != 200 {
		t.Fatalf("exit: %d", got)
	}
	back := fleet.Boxes[0].Began()
	for end := time.Now().Add(patience); fleet.Boxes[0].Began() == back; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the box is back and unused")
		}
	}
	d.Close()
	if d.Shut.Load()+d.Broken.Load() > 0 {
		t.Errorf("%d connections refused, %d broken, of %d requests served", d.Shut.Load(), d.Broken.Load(), d.Served.Load())
	}
	if d.Refused.Load()+d.Failed.Load() > 0 {
		t.Errorf("%d requests refused, %d failed", d.Refused.Load(), d.Failed.Load())
	}
	for key, n := range fleet.Origin.Executions() {
		if n > 1 {
			t.Errorf("order %s has run %d times", key, n)
		}
	}
	process.Process.Signal(syscall.SIGTERM)
	if err := process.Wait(); err != nil {
		t.Errorf("the last process ended with %v", err)
	}
}
