package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"linenloom/logic"
)

// readOriginWrite reads a write to an origin in full.
func readOriginWrite(conn net.Conn) error {
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err == nil {
		_, err = io.ReadAll(r.Body)
	}
	return err
}

// readCacheWrite reads a write to a cache in full.
func readCacheWrite(conn net.Conn) error {
	_, err := readCommand(newMemberInput(conn))
	return err
}

// slowWriteScene is a member that carries out the first attempt of a keyed write, ends its connection, and reads
// the repeat only once mayRead is closed. arrived tells whether the repeat was read in full.
type slowWriteScene struct {
	*testProxy
	advance func(*testProxy, time.Duration)
	mayRead chan struct{}
	arrived chan error
	order   *testClient
}

const slowWriteWindow = 300 * time.Millisecond

func newSlowWriteScene(t *testing.T, mode logic.Mode, size int) *slowWriteScene {
	t.Helper()
	scene := &slowWriteScene{mayRead: make(chan struct{}), arrived: make(chan error, 1)}
	flavor, read, answer := "large", readCacheWrite, hitReply("done")
	if mode == logic.CacheAside {
		flavor, read, answer = "origin", readOriginWrite, httpOK("done")
	}
	repeatBegan := make(chan struct{})
	var attempts atomic.Int32
	member := serveConns(t, func(conn net.Conn) {
		if attempts.Add(1) == 1 {
			read(conn)
			return // it ran, and nobody is told
		}
		conn.(*net.TCPConn).SetReadBuffer(16 << 10)
		close(repeatBegan)
		<-scene.mayRead
		conn.(*net.TCPConn).SetReadBuffer(1 << 20)
		err := read(conn)
		scene.arrived <- err
		if err == nil {
			io.WriteString(conn, answer)
		}
	})
	cfg := keyedReads(logic.ScopeCell, slowWriteWindow)
	cfg.Settings.Mode = mode
	scene.advance = manualClock(&cfg)
	p := startProxy(t, cfg, listEntry("s-1", member, flavor))
	scene.testProxy, scene.order = p, p.dial()
	scene.order.send(respCommand("OBJ.SET", "key", "order", fmt.Sprintf("c=keyed,d=%d,k=order", (18*slowWriteWindow).Milliseconds()),
		strings.Repeat("m", size)))
	select {
	case <-repeatBegan:
	case <-time.After(testTimeout):
		t.Fatal("the write was not repeated")
	}
	p.eventually("the repeat is being written", func() bool { return p.queuedAttempts() == 0 })
	return scene
}

// forEachSlowWrite runs a test for both kinds of members, and for values that fit into the buffers of the kernel
// and that do not.
func forEachSlowWrite(t *testing.T, test func(t *testing.T, scene *slowWriteScene)) {
	for name, mode := range map[string]logic.Mode{"origin": logic.CacheAside, "cache": logic.ReadThrough} {
		for _, size := range []int{256 << 10, 4 << 20} {
			t.Run(fmt.Sprint(name, size), func(t *testing.T) {
				t.Parallel()
				test(t, newSlowWriteScene(t, mode, size))
			})
		}
	}
}

// Guards against a keyed write that runs twice: its repeat begins within the window in which its member drops
// repeats, but the member reads it so slowly that its last byte arrives after the window.
func TestRepeatedWriteDoesNotArriveAfterItsWindow(t *testing.T) {
	forEachSlowWrite(t, func(t *testing.T, scene *slowWriteScene) {
		scene.advance(scene.testProxy, slowWriteWindow)
		if got := scene.order.answer(); !strings.HasPrefix(got, "-ERR failed") {
			t.Errorf("the order was answered %q", got)
		}
		close(scene.mayRead)
		if err := <-scene.arrived; err == nil {
			t.Error("the repeat arrived in full after its window")
		}
	})
}

// Guards against a repeat whose end is held back for good: one that is read within its window is served.
func TestRepeatedWriteArrivesWithinItsWindow(t *testing.T) {
	forEachSlowWrite(t, func(t *testing.T, scene *slowWriteScene) {
		close(scene.mayRead)
		served := make(chan string)
		go func() { served <- scene.order.answer() }()
		for passed := time.Duration(0); passed < slowWriteWindow/2; passed += time.Millisecond {
			time.Sleep(20 * time.Millisecond) // the clock of the proxy runs at a twentieth of the speed
			scene.advance(scene.testProxy, time.Millisecond)
			select {
			case got := <-served:
				if got != "done" && got != "+OK" {
					t.Errorf("the order was answered %q", got)
				}
				return
			default:
			}
		}
		t.Error("the order was not answered")
	})
}
