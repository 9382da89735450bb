package standin

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// A read that is given up right after it was written, and repeated at a nearer member, comes there first: the members have two copies of it in
// hand, though the proxy ended the first before it wrote the second. One that was given up long after it came is no copy any more.
func TestCopiesCountsAsMembersSeeIt(t *testing.T) {
	const far = 60 * time.Millisecond
	for name, c := range map[string]struct {
		first func(conn net.Conn, c *Copies) // what becomes of the first attempt before the second is written
		want  int
	}{
		"given up at once":          {func(conn net.Conn, _ *Copies) { conn.Close() }, 1},
		"written, and nothing else": {func(net.Conn, *Copies) {}, 1},
		"out":                       {func(_ net.Conn, c *Copies) { eventually(func() bool { return c.Came("id") == 1 }) }, 1},
		"given up once it has come": {func(conn net.Conn, c *Copies) {
			eventually(func() bool { return c.Came("id") == 1 })
			conn.Close()
			eventually(func() bool { return c.Ended("id") == 1 })
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			copies := NewCopies()
			write := func(delay time.Duration) net.Conn {
				r, err := NewRelay("member", silent(t), false, delay, delay, copies)
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
			c.first(write(far), copies)
			write(0)
			if !eventually(func() bool { return copies.Came("id") == 2 }) {
				t.Fatal("the attempts never came")
			}
			if got := copies.Violations(); len(got) != c.want {
				t.Errorf("%d second copies, want %d: %s", len(got), c.want, strings.Join(got, "\n"))
			}
		})
	}
}

// What happens, on a busy machine: whoever carries an attempt to its member is late to say that it has come, and its answer has passed by then. It had
// come before it was answered: what came after that was no copy. Seen beside three runs of all tests: "a second copy at s-2 (written at 836.9 ms, came
// at 873.6 ms, answered at 840.8 ms), while one is out at origin (written at 845.8 ms, came at 873.6 ms)".
func TestCopiesCountsWhatIsToldLate(t *testing.T) {
	answered := func(c *Copies, a *copyAttempt) { c.replied(a) }
	given := func(c *Copies, a *copyAttempt) { c.giving("id", a) }
	givenAndEnded := func(c *Copies, a *copyAttempt) { c.giving("id", a); c.closed([]*copyAttempt{a}) }
	nothing := func(*Copies, *copyAttempt) {}
	overAt := func(c *Copies, a *copyAttempt) {
		c.arrived("id", a)
		a.over = func() bool { return true }
	}
	for name, c := range map[string]struct {
		before, after func(*Copies, *copyAttempt) // the next one comes
		want          int
	}{
		"answered before the next one came":                  {answered, nothing, 0},
		"answered while the next one was out":                {nothing, answered, 1},
		"written to its member and ended before that":        {givenAndEnded, nothing, 0},
		"ended before that, which nobody has reported yet":   {overAt, nothing, 0},
		"written to its member before that":                  {given, nothing, 1},
		"written to its member and ended after the next one": {nothing, givenAndEnded, 1},
	} {
		t.Run(name, func(t *testing.T) {
			copies := NewCopies()
			first := copies.wrote("a", "id", nil)
			time.Sleep(time.Millisecond) // what is told has times of its own
			c.before(copies, first)
			time.Sleep(time.Millisecond)
			second := copies.wrote("b", "id", nil)
			copies.giving("id", second)
			if first.over != nil { // now it is reported
				copies.closed([]*copyAttempt{first})
			}
			time.Sleep(time.Millisecond)
			copies.arrived("id", second)
			time.Sleep(time.Millisecond)
			c.after(copies, first)
			if first.came == 0 {
				copies.arrived("id", first)
			}
			if got := copies.Violations(); len(got) != c.want {
				t.Errorf("%d second copies, want %d: %s", len(got), c.want, strings.Join(got, "\n"))
			}
			if all, further := copies.Attempts(); all != 2 || further != 1 {
				t.Errorf("%d attempts, %d of them further ones, want 2 and 1", all, further)
			}
		})
	}
}

// What a link has held for longer than any proxy could wait is no fault of the proxy's; what it has held for less stays one.
func TestCopiesCountsNotWhatWasHeldTooLong(t *testing.T) {
	const held = 30 * time.Millisecond
	for most, want := range map[time.Duration]int{0: 1, time.Hour: 1, held / 2: 0} {
		copies := NewCopies()
		copies.HeldMost = most
		first := copies.wrote("a", "id", nil)
		copies.closed([]*copyAttempt{first})
		copies.arrived("id", copies.wrote("b", "id", nil))
		time.Sleep(held) // the link holds the first
		copies.arrived("id", first)
		if got := copies.Violations(); len(got) != want {
			t.Errorf("at most %v: %d second copies, want %d: %v", most, len(got), want, got)
		}
	}
}

// silent is a member that reads everything and answers nothing.
func silent(t *testing.T) (addr string) {
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

// eventually waits until ok holds; false: it never did.
func eventually(ok func() bool) bool {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}
