package standin

import (
	"fmt"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// FullListener is a listener with a full accept queue: connections to it are not established until Accept
// is called, as with an overloaded machine. They are then established when their kernel retransmits, which
// takes a second or more, depending on how long they have waited.
type FullListener struct {
	net.Listener
	blocker net.Conn // occupies the only place in the accept queue
}

// NewFullListener returns a listener that establishes no connections yet.
func NewFullListener() (*FullListener, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("standin: full listener: %w", err)
	}
	file := os.NewFile(uintptr(fd), "door")
	defer file.Close()
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, fmt.Errorf("standin: full listener: %w", err)
	}
	if err := unix.Listen(fd, 0); err != nil { // an accept queue of one connection
		return nil, fmt.Errorf("standin: full listener: %w", err)
	}
	listener := &FullListener{}
	if listener.Listener, err = net.FileListener(file); err != nil {
		return nil, fmt.Errorf("standin: full listener: %w", err)
	}
	if listener.blocker, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		listener.Close()
		return nil, fmt.Errorf("standin: full listener: %w", err)
	}
	return listener, nil
}

// Accept frees the accept queue and returns the next established connection.
func (l *FullListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn.RemoteAddr().String() != l.blocker.LocalAddr().String() {
			return conn, nil
		}
		conn.Close()
		l.blocker.Close()
	}
}

// Serve frees the accept queue and serves each established connection until the listener is closed. It
// returns at once.
func (l *FullListener) Serve(serve func(net.Conn)) {
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
}
