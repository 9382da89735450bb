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

// freeAddr is a loopback address that nobody listens at.
func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := standin.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
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
	call := func(method, addr, path, body string) int {
		status, _ := lab.Call(method, addr, path, body)
		return status
	}
	log := &lines{to: t.Output()}
	start := func(mgmt string) *exec.Cmd {
		cmd := launch(t, log, nil, "LB_CONFIG="+path, "LB_MGMT="+mgmt, "TMPDIR="+tmp)
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
		out := fleet.Caches[0].Received()
		process.Process.Signal(syscall.SIGHUP) // a reload falls into the upgrade
		next := start(calls[i+1])
		for range 200 { // callers who say nothing must not keep the operators out, at either process
			for _, at := range calls[i : i+2] {
				conn, err := net.Dial("tcp", at)
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
			}
		}
		for _, at := range calls[i : i+2] {
			if got := call("GET", at, "/status", ""); got != 200 {
				t.Errorf("among silent callers: %d", got)
			}
		}
		progress()
		process.Process.Signal(syscall.SIGTERM)
		if err := process.Wait(); err != nil {
			t.Errorf("the process that was followed ended with %v", err)
		}
		progress()
		if got := fleet.Caches[0].Received() - out; got > 0 {
			t.Errorf("upgrade %d: %d requests for a box that is out", i+1, got)
		}
		process = next
	}
	if got := call("PUT", calls[2], "/maintenance/exit", "s-1"); got != 200 {
		t.Fatalf("exit: %d", got)
	}
	back := fleet.Caches[0].Received()
	for end := time.Now().Add(patience); fleet.Caches[0].Received() == back; time.Sleep(time.Millisecond) {
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
	const taken, turned = "taken over from the process before", "is not taken over"
	logged := func(took, told int) {
		t.Helper()
		for end := time.Now().Add(patience); log.count(taken) != took || log.count(turned) != told; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("taken over %d times, turned down %d times, want %d and %d", log.count(taken), log.count(turned), took, told)
			}
		}
	}
	logged(2, 0)

	// One that starts after the end finds what was left; what is damaged, or left by another version, is turned down and changes nothing.
	left, err := filepath.Glob(filepath.Join(tmp, "linenloom-*", "learnt"))
	if err != nil || len(left) != 1 {
		t.Fatalf("%v %v", left, err)
	}
	whole, err := os.ReadFile(left[0])
	if err != nil {
		t.Fatal(err)
	}
	version := append([]byte(nil), whole...)
	version[5]++
	for _, c := range []struct {
		text       []byte
		took, told int
	}{{whole, 3, 0}, {whole[:len(whole)/2], 3, 1}, {version, 3, 2}, {nil, 3, 3}} {
		if err := os.WriteFile(left[0], c.text, 0o600); err != nil {
			t.Fatal(err)
		}
		process = start(freeAddr(t))
		logged(c.took, c.told)
		process.Process.Kill() // it leaves nothing of its own
		process.Wait()
	}
}

// lines passes a log on and counts what it says.
type lines struct {
	to   io.Writer
	mu   sync.Mutex
	text strings.Builder
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text.Write(b)
	return l.to.Write(b)
}

func (l *lines) count(what string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), what)
}
