package main

import (
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"linenloom/internal/app/apptest"
	"linenloom/internal/lab"
	"linenloom/internal/standin"
)

// freeAddr returns an unused loopback address.
func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := standin.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// TestUpgrade runs three processes one after another at one address, under load and with a cache taken out
// of use by an operator. No connection may be refused, no request may be lost, and the cache has to stay out
// of use until a call at the last process returns it.
func TestUpgrade(t *testing.T) {
	const waitTimeout = 20 * time.Second
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
	call := func(method, addr, path, body string) int {
		status, _ := lab.Call(method, addr, path, body)
		return status
	}
	log := &logCounter{output: t.Output()}
	start := func(mgmt string) *exec.Cmd {
		cmd := launch(t, log, nil, "LB_CONFIG="+path, "LB_MGMT="+mgmt, "TMPDIR="+tmp)
		for end := time.Now().Add(waitTimeout); call("GET", mgmt, "/status", "") != 200; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the process never says that it serves")
			}
		}
		return cmd
	}
	mgmtAddrs := [3]string{freeAddr(t), freeAddr(t), freeAddr(t)}
	process := start(mgmtAddrs[0])

	clients := lab.ClientLoad{Addr: listen}
	clients.Start(8, 50, 10)
	progress := func() {
		t.Helper()
		if err := clients.AwaitServed(300); err != nil {
			t.Fatal(err)
		}
	}
	progress()
	if got := call("PUT", mgmtAddrs[0], "/maintenance/enter", "s-1"); got != 200 {
		t.Fatalf("enter: %d", got)
	}
	for i := range 2 {
		progress()
		receivedBefore := fleet.Caches[0].Received()
		process.Process.Signal(syscall.SIGHUP) // a reload during the upgrade
		next := start(mgmtAddrs[i+1])
		for range 200 { // idle connections must not block operators' calls at either process
			for _, addr := range mgmtAddrs[i : i+2] {
				conn, err := net.Dial("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
			}
		}
		for _, addr := range mgmtAddrs[i : i+2] {
			if got := call("GET", addr, "/status", ""); got != 200 {
				t.Errorf("among silent callers: %d", got)
			}
		}
		progress()
		process.Process.Signal(syscall.SIGTERM)
		if err := process.Wait(); err != nil {
			t.Errorf("the process that was followed ended with %v", err)
		}
		progress()
		if got := fleet.Caches[0].Received() - receivedBefore; got > 0 {
			t.Errorf("upgrade %d: %d requests for a box that is out", i+1, got)
		}
		process = next
	}
	if got := call("PUT", mgmtAddrs[2], "/maintenance/exit", "s-1"); got != 200 {
		t.Fatalf("exit: %d", got)
	}
	receivedBefore := fleet.Caches[0].Received()
	for end := time.Now().Add(waitTimeout); fleet.Caches[0].Received() == receivedBefore; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the box is back and unused")
		}
	}
	clients.Stop()
	if clients.ConnectionsRefused.Load()+clients.ConnectionsBroken.Load() > 0 {
		t.Errorf("%d connections refused, %d broken, of %d requests served", clients.ConnectionsRefused.Load(), clients.ConnectionsBroken.Load(), clients.Served.Load())
	}
	if clients.Refused.Load()+clients.Failed.Load() > 0 {
		t.Errorf("%d requests refused, %d failed", clients.Refused.Load(), clients.Failed.Load())
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
	const importedText, rejectedText = "taken over from the process before", "is not taken over"
	logged := func(imported, rejected int) {
		t.Helper()
		for end := time.Now().Add(waitTimeout); log.count(importedText) != imported || log.count(rejectedText) != rejected; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("taken over %d times, turned down %d times, want %d and %d", log.count(importedText), log.count(rejectedText), imported, rejected)
			}
		}
	}
	logged(2, 0)

	// A process that starts after the end finds the written state. A damaged state, or one of another
	// version, is rejected and changes nothing.
	stateFiles, err := filepath.Glob(filepath.Join(tmp, "linenloom-*", "learnt"))
	if err != nil || len(stateFiles) != 1 {
		t.Fatalf("%v %v", stateFiles, err)
	}
	state, err := os.ReadFile(stateFiles[0])
	if err != nil {
		t.Fatal(err)
	}
	otherVersionState := append([]byte(nil), state...)
	otherVersionState[5]++ // byte 5 is the low byte of the format version
	for _, c := range []struct {
		text               []byte
		imported, rejected int
	}{{state, 3, 0}, {state[:len(state)/2], 3, 1}, {otherVersionState, 3, 2}, {nil, 3, 3}} {
		if err := os.WriteFile(stateFiles[0], c.text, 0o600); err != nil {
			t.Fatal(err)
		}
		process = start(freeAddr(t))
		logged(c.imported, c.rejected)
		process.Process.Kill() // a killed process writes no state
		process.Wait()
	}
}

// logCounter passes a log on and counts texts in it.
type logCounter struct {
	output io.Writer
	mu     sync.Mutex
	text   strings.Builder
}

func (l *logCounter) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text.Write(b)
	return l.output.Write(b)
}

func (l *logCounter) count(what string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), what)
}
