package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"linenloom/internal/app/apptest"
	"linenloom/internal/discovery"
	"linenloom/internal/standin"
)

// leftFor is the time that the rule itself gives: a request whose client has left is not sent on so much later.
const leftFor = 300 * time.Millisecond

// An order waits at a process for a connection to the origin; another process takes its place, and it is told to end, which a read at a box
// that hangs keeps it from for a while. The order's client leaves: it is not sent once the connection is up. The next order goes to the new
// process.
func TestClientLeavesThroughAnUpgrade(t *testing.T) {
	const patience = 20 * time.Second
	fleet, err := standin.NewFleet(1, 100)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	door, err := standin.NewFullListener()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { door.Close() })
	fleet.Caches[0].SetFault(standin.Stall)
	fleet.Registry.Update(discovery.Member{ID: "o-1", HostPort: door.Addr().String(), Locality: standin.Zone, Flavor: "origin",
		Phase: discovery.PhaseInService, Size: 1})
	patient(fleet, map[string]any{"cancel": false, "connect_timeout_ms": 20e3})
	listen, tmp := freeAddr(t), t.TempDir()
	text, err := fleet.Config("n0", listen, "7", 64, 256)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(tmp, "config.json")
	apptest.Replace(t, path, text)
	log := &lines{to: t.Output()}
	start := func() *exec.Cmd { return launch(t, log, nil, "LB_CONFIG="+path, "TMPDIR="+tmp) }
	ask := func(text string) net.Conn {
		conn := dial(t, listen)
		conn.SetDeadline(time.Now().Add(patience))
		io.WriteString(conn, text)
		return conn
	}
	order := func(id string) string {
		return fmt.Sprintf("*5\r\n$7\r\nOBJ.SET\r\n$2\r\na1\r\n$%d\r\n%s\r\n$20\r\nc=pass-order,d=60000\r\n$5\r\norder\r\n", len(id), id)
	}
	old := start()
	left := ask(order("left"))
	hangs := ask("*4\r\n$7\r\nOBJ.GET\r\n$2\r\na2\r\n$3\r\nid2\r\n$19\r\nc=tile-read,d=60000\r\n")
	for end := time.Now().Add(patience); fleet.Caches[0].Received() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the read never came to the box")
		}
	}
	start()
	old.Process.Signal(syscall.SIGTERM)
	left.Close()
	time.Sleep(leftFor)
	var mu sync.Mutex
	var asked []string
	door.Serve(func(conn net.Conn) {
		standin.ServeOrigin(bufio.NewReader(conn), conn, func(_, id string) string {
			mu.Lock()
			defer mu.Unlock()
			asked = append(asked, id)
			return "receipt"
		})
	})
	if answer, err := bufio.NewReader(hangs).ReadString('\n'); !strings.HasPrefix(answer, "-BUSY") {
		t.Errorf("the read that hangs was answered %q, %v", answer, err)
	}
	if err := old.Wait(); err != nil {
		t.Errorf("the old process ended with %v", err)
	}
	if answer, err := bufio.NewReader(ask(order("next"))).ReadString('\n'); !strings.HasPrefix(answer, "$7") {
		t.Errorf("the next order was answered %q, %v", answer, err)
	}
	mu.Lock()
	defer mu.Unlock()
	if !slices.Equal(asked, []string{"next"}) {
		t.Errorf("the origin was asked for %v", asked)
	}
}
