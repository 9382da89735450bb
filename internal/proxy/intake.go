package proxy

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
)

// intake is the receiving side of a client's connection. It tells at any moment whether something has been read that its reader has not taken up
// yet: a reader that has bytes may have to wait for the core, or for the host's lock, before it can say so.
type intake struct {
	net.Conn
	raw syscall.RawConn
	// holds is set before each attempt to read and reset where that finds nothing. Whoever sees that nothing stands unread in the kernel, and
	// only then that it is not set, knows that nothing has come.
	holds atomic.Bool

	// The arguments and results of step; a closure for each read would be garbage.
	buf  []byte
	n    int
	err  error
	step func(fd uintptr) bool
}

func newIntake(conn *net.TCPConn) (*intake, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	t := &intake{Conn: conn, raw: raw}
	t.step = t.attempt
	return t, nil
}

// attempt reads once; false: nothing has come yet.
func (t *intake) attempt(fd uintptr) bool {
	t.holds.Store(true)
	for {
		t.n, t.err = syscall.Read(int(fd), t.buf)
		if t.err != syscall.EINTR {
			break
		}
	}
	if t.err == syscall.EAGAIN {
		t.holds.Store(false)
		return false
	}
	return true
}

// Read waits until something comes. It is the reader's alone.
func (t *intake) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	t.buf = b
	err := t.raw.Read(t.step)
	t.buf = nil
	switch {
	case err != nil: // the connection is closed, or the time for it is over
		return 0, err
	case t.err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: t.LocalAddr(), Addr: t.RemoteAddr(), Err: t.err}
	case t.n == 0:
		return 0, io.EOF
	}
	return t.n, nil
}

// takenUp notes, under the host's lock, what the reader has taken up; more tells that something was read behind it.
func (t *intake) takenUp(more bool) { t.holds.Store(more) }
