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

// clientGoneDelay is the time within which the proxy drops a request whose client has closed its connection.
const clientGoneDelay = 300 * time.Millisecond

// TestClientLeavesDuringUpgrade has an order wait for a connection to the origin while a successor process
// starts and the process is stopped by a signal, which a read at a stalled cache delays. The order's client
// closes its connection: the order must not be sent once the origin is reachable, and the next order has to
// go to the successor.
func TestClientLeavesDuringUpgrade(t *testing.T) {
	const waitTimeout = 20 * time.Second
	fleet, err := standin.NewFleet(1, 100)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	origin, err := standin.NewFullListener()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { origin.Close() })
	fleet.Caches[0].SetFault(standin.Stall)
	fleet.Registry.Update(discovery.Member{ID: "o-1", HostPort: origin.Addr().String(), Locality: standin.Zone, Flavor: "origin",
		Phase: discovery.PhaseInService, Size: 1})
	extendDeadlines(fleet, map[string]any{"cancel": false, "connect_timeout_ms": 20e3})
	listen, tmp := freeAddr(t), t.TempDir()
	text, err := fleet.Config("n0", listen, "7", 64, 256)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(tmp, "config.json")
	apptest.Replace(t, path, text)
	log := &logCounter{output: t.Output()}
	start := func() *exec.Cmd { return launch(t, log, nil, "LB_CONFIG="+path, "TMPDIR="+tmp) }
	send := func(text string) net.Conn {
		conn := dial(t, listen)
		conn.SetDeadline(time.Now().Add(waitTimeout))
		io.WriteString(conn, text)
		return conn
	}
	order := func(id string) string {
		return fmt.Sprintf("*5\r\n$7\r\nOBJ.SET\r\n$2\r\na1\r\n$%d\r\n%s\r\n$20\r\nc=pass-order,d=60000\r\n$5\r\norder\r\n", len(id), id)
	}
	predecessor := start()
	closedClient := send(order("left"))
	stalled := send("*4\r\n$7\r\nOBJ.GET\r\n$2\r\na2\r\n$3\r\nid2\r\n$19\r\nc=tile-read,d=60000\r\n")
	for end := time.Now().Add(waitTimeout); fleet.Caches[0].Received() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the read never came to the box")
		}
	}
	start()
	predecessor.Process.Signal(syscall.SIGTERM)
	closedClient.Close()
	time.Sleep(clientGoneDelay)
	var mu sync.Mutex
	var received []string
	origin.Serve(func(conn net.Conn) {
		standin.ServeOrigin(bufio.NewReader(conn), conn, func(_, id string) string {
			mu.Lock()
			defer mu.Unlock()
			received = append(received, id)
			return "receipt"
		})
	})
	if answer, err := bufio.NewReader(stalled).ReadString('\n'); !strings.HasPrefix(answer, "-BUSY") {
		t.Errorf("the read that hangs was answered %q, %v", answer, err)
	}
	if err := predecessor.Wait(); err != nil {
		t.Errorf("the old process ended with %v", err)
	}
	if answer, err := bufio.NewReader(send(order("next"))).ReadString('\n'); !strings.HasPrefix(answer, "$7") {
		t.Errorf("the next order was answered %q, %v", answer, err)
	}
	mu.Lock()
	defer mu.Unlock()
	if !slices.Equal(received, []string{"next"}) {
		t.Errorf("the origin was asked for %v", received)
	}
}
