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

	// ahead is input that was read ahead of the reader goroutine. It belongs to that goroutine, or, while that is
	// suspended, to whoever has the host's lock. aheadBytes is its length.
	ahead      []byte
	aheadBytes atomic.Int64
	fromAhead  bool // the latest read was from ahead; used by the reader goroutine only
	freedBytes int  // memory of ahead that the reader goroutine has used up

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
	if t.fromAhead = len(t.ahead) > 0; t.fromAhead {
		return t.takeAhead(b), nil
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

// takeAhead moves input that was read ahead to b.
func (t *inputConn) takeAhead(b []byte) int {
	n := copy(b, t.ahead)
	t.mayHoldData.Store(true) // before aheadBytes shows less input
	t.ahead = t.ahead[n:]
	t.aheadBytes.Store(int64(len(t.ahead)))
	t.freedBytes += n
	if len(t.ahead) == 0 {
		t.ahead = nil
	}
	return n
}

// readAhead reads input that has arrived, up to a number of bytes, while the reader goroutine is suspended. It
// requires the host's lock, does not wait, and returns the number of bytes read.
func (t *inputConn) readAhead(maxBytes int) (read int) {
	piece := make([]byte, readAheadPiece)
	t.rawConn.Control(func(fd uintptr) {
		for read < maxBytes {
			n, err := syscall.Read(int(fd), piece[:min(len(piece), maxBytes-read)])
			if err == syscall.EINTR {
				continue
			}
			if n <= 0 || err != nil {
				return // nothing more has arrived; an end or error stays for the reader
			}
			t.ahead = append(t.ahead, piece[:n]...)
			read += n
		}
	})
	t.aheadBytes.Store(int64(len(t.ahead)))
	return read
}

// takeFreed returns how much memory of what was read ahead is no longer used.
func (t *inputConn) takeFreed() (bytes int) {
	bytes, t.freedBytes = t.freedBytes, 0
	return bytes
}

// noteConsumed records, under the host's lock, that the reader has processed its input; more reports
// that there is further input after it.
func (t *inputConn) noteConsumed(more bool) { t.mayHoldData.Store(more) }
