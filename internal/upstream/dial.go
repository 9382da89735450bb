package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// dialTCP opens a connection within a time limit.
func dialTCP(addr string, within time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: within, KeepAlive: -1}
	return d.DialContext(context.Background(), "tcp", addr)
}

// localErrors are the dial errors that concern this machine, not the member: it is out of descriptors,
// ports, buffers or memory, or one of its own rules forbids the connection.
var localErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
	syscall.EAGAIN, syscall.EPERM, syscall.EACCES, syscall.EINTR,
}

// isLocalError reports whether a dial failed for lack of a resource of this machine.
func isLocalError(err error) bool {
	for _, shortage := range localErrors {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}

// dial opens a connection and reads its answers until it ends.
func (s *Set) dial(m *Member, addr string, epoch int, prewarm bool) {
	conn, err := s.dialer(addr, s.connectTimeout)
	var connection *Conn
	s.host.Do(func() {
		if err == nil {
			connection, err = s.newConn(m, conn.(*net.TCPConn))
		}
		var netErr net.Error
		switch {
		case err == nil:
			s.DialCompleted(m, &connection.Conn, epoch, prewarm, false)
		case isLocalError(err):
			s.DialFailedLocally(m, prewarm)
		default:
			s.DialCompleted(m, nil, epoch, prewarm, !(errors.As(err, &netErr) && netErr.Timeout()))
		}
	})
	if err != nil {
		if conn != nil {
			conn.Close()
		}
		return
	}
	connection.fail(connection.readAnswers())
}
