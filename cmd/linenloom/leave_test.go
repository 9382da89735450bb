package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
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
	"linenloom/internal/lab"
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
	door, err := standin.NewDoor()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { door.Close() })
	fleet.Boxes[0].SetFault(standin.Stall)
	fleet.Registry.Tell(discovery.Member{ID: "o-1", HostPort: door.Addr().String(), Locality: standin.Zone, Flavor: "origin",
		Phase: discovery.PhaseInService, Size: 1})
	settings := standin.Settings()
	for _, c := range settings["classes"].([]any) {
		c.(map[string]any)["aim_ms"], c.(map[string]any)["deadline_ms"] = 60e3, 60e3
	}
	limits := settings["limits"].(map[string]any)
	limits["cancel"], limits["connect_timeout_ms"] = false, 20e3
	fleet.Set = map[string]any{"classes": settings["classes"], "limits": limits}
	listen, tmp := freeAddr(t), t.TempDir()
	text, err := fleet.Config("n0", listen, "7", 64, 256)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(tmp, "config.json")
	apptest.Replace(t, path, text)
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	start := func() *exec.Cmd {
		mgmt := freeAddr(t)
		cmd := exec.Command(self)
		cmd.Env = append(os.Environ(), asProxy+"=1", "LB_CONFIG="+path, "LB_MGMT="+mgmt, "TMPDIR="+tmp)
		cmd.Stderr = t.Output()
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
		for end := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
			if status, _ := lab.Call("GET", mgmt, "/status", ""); status == 200 {
				return cmd
			}
			if time.Now().After(end) {
				t.Fatal("the process never says that it serves")
			}
		}
	}
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
	for end := time.Now().Add(patience); fleet.Boxes[0].Began() == 0; time.Sleep(time.Millisecond) {
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
	go func() {
		for {
			conn, err := door.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				in := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					mu.Lock()
					asked = append(asked, r.Header.Get("X-Request-ID"))
					mu.Unlock()
					io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nreceipt")
				}
			}()
		}
	}()
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
