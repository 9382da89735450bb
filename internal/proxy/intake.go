package proxy

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
)

// inputConn is the receiving side of a client's connection. It tells at any moment whether something has been read that its reader has not taken up
// yet: a reader that has bytes may have to wait for the core, or for the host's lock, before it can say so.
type inputConn struct {
	net.Conn
	rawConn syscall.RawConn
	// mayHoldData is set before each attempt to read and reset where that finds nothing. Whoever sees that nothing stands unread in the kernel, and
	// only then that it is not set, knows that nothing has come.
	mayHoldData atomic.Bool

	// The arguments and results of step; a closure for each read would be garbage.
	buf      []byte
	n        int
	err      error
	readStep func(fd uintptr) bool
}

func newInputConn(conn *net.TCPConn) (*inputConn, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	t := &inputConn{Conn: conn, rawConn: raw}
	t.readStep = t.tryRead
	return t, nil
}

// tryRead reads once; false: nothing has come yet.
func (t *inputConn) tryRead(fd uintptr) bool {
	t.mayHoldData.Store(true)
	for {
		t.n, t.err = syscall.Read(int(fd), t.buf)
		if t.err != syscall.EINTR {
			break
		}
	}
	if t.err == syscall.EAGAIN {
		t.mayHoldData.Store(false)
		return false
	}
	return true
}

// Read waits until something comes. It is the reader's alone.
func (t *inputConn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	t.buf = b
	err := t.rawConn.Read(t.readStep)
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

// noteConsumed notes, under the host's lock, what the reader has taken up; more tells that something was read behind it.
func (t *inputConn) noteConsumed(more bool) { t.mayHoldData.Store(more) }
