package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"linenloom/internal/resp"
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

// call asks an operators' address; 0, if nobody answers there.
func call(method, addr, path, body string) int {
	q, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	a, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(q)
	if err != nil {
		return 0
	}
	a.Body.Close()
	return a.StatusCode
}

// door is what clients met.
type door struct{ served, other, refused, broken atomic.Int64 }

// load keeps a client asking, one request after another, each on its connection until that ends between requests; every
// third on a new one.
func load(addr, name string, d *door, quit <-chan struct{}) {
	var conn net.Conn
	var in *bufio.Reader
	for n := 0; ; n++ {
		select {
		case <-quit:
			return
		default:
		}
		if conn == nil || n%3 == 0 {
			if conn != nil {
				conn.Close()
			}
			var err error
			if conn, err = net.Dial("tcp", addr); err != nil {
				d.refused.Add(1)
				continue
			}
			in = bufio.NewReader(conn)
		}
		b := resp.AppendArray(nil, 4)
		for _, w := range []string{"OBJ.GET", fmt.Sprintf("%x", 0x100+n%50), fmt.Sprintf("%s-%d", name, n), "c=tile-read,d=3000"} {
			b = resp.AppendBulk(b, w)
		}
		_, err := conn.Write(b)
		line := ""
		if err == nil {
			line, err = in.ReadString('\n')
		}
		switch {
		case err != nil && errors.Is(err, io.EOF) && line == "":
			conn = nil // it was closed between requests: the request goes out once more on a new one
			continue
		case err != nil:
			d.broken.Add(1)
			conn = nil
		case line[0] == '$':
			d.served.Add(1)
			if _, err := io.CopyN(io.Discard, in, 102); err != nil {
				d.broken.Add(1)
				conn = nil
			}
		default:
			d.other.Add(1)
		}
		time.Sleep(time.Millisecond) // an interval between requests, not a wait for anything
	}
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
	replace(t, path, text)
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
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

	var d door
	quit := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 8 {
		clients.Go(func() { load(listen, fmt.Sprint("c", i), &d, quit) })
	}
	progress := func() {
		t.Helper()
		from := d.served.Load()
		for end := time.Now().Add(patience); d.served.Load() < from+300; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("no request is served")
			}
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
	close(quit)
	clients.Wait()
	if d.refused.Load()+d.broken.Load() > 0 {
		t.Errorf("%d connections refused, %d broken, of %d requests served", d.refused.Load(), d.broken.Load(), d.served.Load())
	}
	if d.other.Load() > 0 {
		t.Errorf("%d requests refused or failed", d.other.Load())
	}
	process.Process.Signal(syscall.SIGTERM)
	if err := process.Wait(); err != nil {
		t.Errorf("the last process ended with %v", err)
	}
}
