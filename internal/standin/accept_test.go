package standin

import (
	"net"
	"syscall"
	"testing"
)

// failingListener returns the given accept errors (nil means a connection), and then that it is closed.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return nil, net.ErrClosed
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	if err != nil {
		return nil, &net.OpError{Op: "accept", Err: err}
	}
	near, far := net.Pipe()
	far.Close()
	return near, nil
}

func TestAcceptContinuesAfterTemporaryErrors(t *testing.T) {
	accepted := 0
	AcceptEach(&failingListener{errs: []error{nil, syscall.EMFILE, syscall.ECONNABORTED, nil, nil}}, func(conn net.Conn) {
		accepted++
		conn.Close()
	})
	if accepted != 3 {
		t.Errorf("%d connections taken, want 3", accepted)
	}
}
