package standin

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// Guards against counting attempts at the proxy only. A read that is abandoned right after it was written
// and retried at a nearer member arrives there first: the members process two copies, though the proxy
// closed the first connection before it wrote the second attempt. An attempt abandoned after its arrival
// is no duplicate.
func TestDuplicatesAreCountedAtMembers(t *testing.T) {
	const longDelay = 60 * time.Millisecond
	for name, c := range map[string]struct {
		// what happens to the first attempt before the second is written
		first func(conn net.Conn, c *DuplicateChecker)
		want  int
	}{
		"given up at once":          {func(conn net.Conn, _ *DuplicateChecker) { conn.Close() }, 1},
		"written, and nothing else": {func(net.Conn, *DuplicateChecker) {}, 1},
		"out":                       {func(_ net.Conn, c *DuplicateChecker) { eventually(func() bool { return c.Delivered("id") == 1 }) }, 1},
		"given up once it has come": {func(conn net.Conn, c *DuplicateChecker) {
			eventually(func() bool { return c.Delivered("id") == 1 })
			conn.Close()
			eventually(func() bool { return c.Closed("id") == 1 })
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checker := NewDuplicateChecker()
			sendAttempt := func(delay time.Duration) net.Conn {
				r, err := NewRelay("member", startSilentMember(t), false, delay, delay, checker)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(r.Close)
				conn, err := net.Dial("tcp", r.Addr())
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { conn.Close() })
				conn.Write([]byte("*4\r\n$7\r\nOBJ.GET\r\n$1\r\nk\r\n$2\r\nid\r\n$5\r\nd=100\r\n"))
				return conn
			}
			c.first(sendAttempt(longDelay), checker)
			sendAttempt(0)
			if !eventually(func() bool { return checker.Delivered("id") == 2 }) {
				t.Fatal("the attempts never came")
			}
			if got := checker.Violations(); len(got) != c.want {
				t.Errorf("%d second copies, want %d: %s", len(got), c.want, strings.Join(got, "\n"))
			}
		})
	}
}

// Guards against false duplicates on a busy machine: the goroutine that forwards an attempt may report its
// arrival only after its answer has passed. The attempt arrived before it was answered, so attempts that
// arrive after the answer are no duplicates. A run of all tests beside three others reported one at s-2
// (written at 836.9 ms, arrived at 873.6 ms, answered at 840.8 ms) while one was outstanding at the origin
// (written at 845.8 ms, arrived at 873.6 ms).
func TestDuplicatesWithDelayedReports(t *testing.T) {
	answered := func(c *DuplicateChecker, a *trackedAttempt) { c.recordAnswer(a) }
	forwarded := func(c *DuplicateChecker, a *trackedAttempt) { c.recordForwarding("id", a) }
	forwardedAndClosed := func(c *DuplicateChecker, a *trackedAttempt) {
		c.recordForwarding("id", a)
		c.recordClose([]*trackedAttempt{a})
	}
	nothing := func(*DuplicateChecker, *trackedAttempt) {}
	closedUnreported := func(c *DuplicateChecker, a *trackedAttempt) {
		c.recordArrival("id", a)
		a.peerClosed = func() bool { return true }
	}
	for name, c := range map[string]struct {
		before, after func(*DuplicateChecker, *trackedAttempt) // relative to the arrival of the second attempt
		want          int
	}{
		"answered before the next one came":                  {answered, nothing, 0},
		"answered while the next one was out":                {nothing, answered, 1},
		"written to its member and ended before that":        {forwardedAndClosed, nothing, 0},
		"ended before that, which nobody has reported yet":   {closedUnreported, nothing, 0},
		"written to its member before that":                  {forwarded, nothing, 1},
		"written to its member and ended after the next one": {nothing, forwardedAndClosed, 1},
	} {
		t.Run(name, func(t *testing.T) {
			checker := NewDuplicateChecker()
			first := checker.recordWrite("a", "id", nil)
			time.Sleep(time.Millisecond) // so that the events have distinct times
			c.before(checker, first)
			time.Sleep(time.Millisecond)
			second := checker.recordWrite("b", "id", nil)
			checker.recordForwarding("id", second)
			if first.peerClosed != nil { // the delayed report
				checker.recordClose([]*trackedAttempt{first})
			}
			time.Sleep(time.Millisecond)
			checker.recordArrival("id", second)
			time.Sleep(time.Millisecond)
			c.after(checker, first)
			if first.arrivedAt == 0 {
				checker.recordArrival("id", first)
			}
			if got := checker.Violations(); len(got) != c.want {
				t.Errorf("%d second copies, want %d: %s", len(got), c.want, strings.Join(got, "\n"))
			}
			if all, further := checker.Attempts(); all != 2 || further != 1 {
				t.Errorf("%d attempts, %d of them further ones, want 2 and 1", all, further)
			}
		})
	}
}

// An attempt that a link has held for longer than any proxy could wait is not the proxy's fault; one held
// for a shorter time still is.
func TestDuplicatesIgnoreLongTransit(t *testing.T) {
	const held = 30 * time.Millisecond
	for maxInTransit, want := range map[time.Duration]int{0: 1, time.Hour: 1, held / 2: 0} {
		checker := NewDuplicateChecker()
		checker.MaxInTransit = maxInTransit
		first := checker.recordWrite("a", "id", nil)
		checker.recordClose([]*trackedAttempt{first})
		checker.recordArrival("id", checker.recordWrite("b", "id", nil))
		time.Sleep(held) // the link holds the first attempt
		checker.recordArrival("id", first)
		if got := checker.Violations(); len(got) != want {
			t.Errorf("at most %v: %d second copies, want %d: %v", maxInTransit, len(got), want, got)
		}
	}
}

// startSilentMember starts a member that reads everything and answers nothing.
func startSilentMember(t *testing.T) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				io.Copy(io.Discard, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// eventually waits until ok returns true. It returns false on timeout.
func eventually(ok func() bool) bool {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

// Guards against the rig's own delays counting as the proxy's: the time for which an attempt waited in the
// relay's socket counts as time in transit, and one that waited for longer than a proxy has to expect is no
// violation. One that was read in time remains a duplicate.
func TestDuplicatesThatTheRelayReadLate(t *testing.T) {
	const bound, late = 60 * time.Millisecond, 100 * time.Millisecond
	for name, readLate := range map[string]bool{"read late": true, "read in time": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			near, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer near.Close()
			far, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer far.Close()
			checker := NewDuplicateChecker()
			checker.MaxInTransit = bound
			observer := checker.Observe("a", false, far)
			command := []byte("*4\r\n$7\r\nOBJ.GET\r\n$1\r\nk\r\n$2\r\nid\r\n$5\r\nd=100\r\n")
			checker.recordArrival("id", checker.recordWrite("b", "id", nil))
			near.Write(command)
			if readLate {
				time.Sleep(late)
			}
			observer.ProxyWrote(command) // read only now
			observer.Forwarding(command)
			observer.MemberReceived(command)
			if got := len(checker.Violations()); (got == 0) != readLate {
				t.Errorf("%d second copies: %v", got, checker.Violations())
			}
		})
	}
}
