package main

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"linenloom/internal/app/apptest"
	"linenloom/internal/standin"
)

// TestSignalsWithStalledRequests stops the program while an order is at a stalled origin, a read is at a
// stalled cache and a command is half received, with its signals in each order that occurs. Each request has
// to be answered before the process may be killed, which is 3 s and 0.7 s after the first signal, and the
// program has to exit by itself with status 0, although the deadlines are far later.
func TestSignalsWithStalledRequests(t *testing.T) {
	const waitTimeout = 20 * time.Second
	term, hup := os.Signal(syscall.SIGTERM), os.Signal(syscall.SIGHUP)
	for name, signals := range map[string][]os.Signal{
		"ended":                 {term},
		"ended twice":           {term, term},
		"reloaded, then ended":  {hup, term},
		"ended, then reloaded":  {term, hup},
		"interrupted and ended": {syscall.SIGINT, hup, term},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet, err := standin.NewFleet(1, 100)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(fleet.Close)
			fleet.Caches[0].SetFault(standin.Stall)
			fleet.Origin.SetFault(standin.Stall)
			extendDeadlines(fleet, nil)
			listen := freeAddr(t)
			text, err := fleet.Config("n0", listen, "7", 64, 256)
			if err != nil {
				t.Fatal(err)
			}
			path := filepath.Join(t.TempDir(), "config.json")
			apptest.Replace(t, path, text)
			cmd := launch(t, &logCounter{output: t.Output()}, nil, "LB_CONFIG="+path, "TMPDIR="+t.TempDir())
			conn := dial(t, listen)
			conn.SetDeadline(time.Now().Add(waitTimeout))
			partial := dial(t, listen)
			io.WriteString(conn, "*5\r\n$7\r\nOBJ.SET\r\n$2\r\na1\r\n$3\r\nid1\r\n$20\r\nc=pass-order,d=60000\r\n$5\r\norder\r\n"+
				"*4\r\n$7\r\nOBJ.GET\r\n$2\r\na2\r\n$3\r\nid2\r\n$19\r\nc=tile-read,d=60000\r\n")
			io.WriteString(partial, "*4\r\n$7\r\nOBJ.GET\r\n$2\r\na3")
			for end := time.Now().Add(waitTimeout); fleet.Origin.Received() == 0 || fleet.Caches[0].Received() == 0; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("the requests never came to the members")
				}
			}
			for _, s := range signals {
				cmd.Process.Signal(s)
			}
			in := bufio.NewReader(conn)
			for i, want := range []string{"-ERR", "-BUSY"} {
				if line, err := in.ReadString('\n'); !strings.HasPrefix(line, want) {
					t.Errorf("request %d was answered %q, %v; want %s", i+1, line, err, want)
				}
			}
			if _, err := in.ReadByte(); !errors.Is(err, io.EOF) {
				t.Errorf("the connection ended with %v", err)
			}
			if err := cmd.Wait(); err != nil {
				t.Errorf("the program ended with %v", err)
			}
			if n := fleet.Origin.Executions()["a1"]; n > 1 {
				t.Errorf("the order ran %d times", n)
			}
		})
	}
}

// TestRepeatedSignalsExitCleanly guards against a signal after the drain that ends the process by its
// default action, with a status other than 0, which a supervisor takes for a crash. It happens if signals
// are released (by the stop function of NotifyContext) before the process has ended. Seen in the soak test
// of planned restarts, with deadlines of 0.8 s: "terminated at 0s, interrupt at 936ms", "the process ended
// with status -1".
func TestRepeatedSignalsExitCleanly(t *testing.T) {
	fleet, err := standin.NewFleet(1, 100)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	text, err := fleet.Config("n0", freeAddr(t), "7", 64, 256)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	apptest.Replace(t, path, text)
	for range 5 {
		cmd := launch(t, &logCounter{output: t.Output()}, nil, "LB_CONFIG="+path, "TMPDIR="+t.TempDir())
		ended := make(chan error, 1)
		go func() { ended <- cmd.Wait() }()
		signals := time.NewTicker(200 * time.Microsecond)
		defer signals.Stop()
		for done := false; !done; {
			select {
			case <-signals.C:
				cmd.Process.Signal(syscall.SIGTERM)
			case err := <-ended:
				if err != nil {
					t.Errorf("the program ended with %v", err)
				}
				done = true
			}
		}
	}
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}
