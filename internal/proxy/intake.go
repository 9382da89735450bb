package proxy

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
)

// inputConn is the receiving side of a client's connection. It reports at any moment whether input has been
// read that its reader goroutine has not processed yet: a reader that has input may have to wait for the
// core, or for the host's lock, before it can report it.
type inputConn struct {
	net.Conn
	rawConn syscall.RawConn
	// mayHoldData is set before each attempt to read and reset if there was nothing to read. A goroutine
	// that sees no unread input in the kernel and, after that, finds mayHoldData false knows that no input
	// has arrived.
	mayHoldData atomic.Bool

	// The arguments and results of readStep; a closure for each read would be garbage to collect.
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

// tryRead reads once; it returns false if no input has arrived yet.
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

// Read waits for input. Only the reader goroutine calls it.
func (t *inputConn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	t.buf = b
	err := t.rawConn.Read(t.readStep)
	t.buf = nil
	switch {
	case err != nil: // the connection is closed, or its read deadline has passed
		return 0, err
	case t.err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: t.LocalAddr(), Addr: t.RemoteAddr(), Err: t.err}
	case t.n == 0:
		return 0, io.EOF
	}
	return t.n, nil
}

// noteConsumed records, under the host's lock, that the reader has processed its input; more reports
// that there is further input after it.
func (t *inputConn) noteConsumed(more bool) { t.mayHoldData.Store(more) }
