package standin

import (
	"fmt"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// FullListener is an address at which connections don't come up until somebody accepts them: what dials it waits, as before a machine whose line
// is full. From then on they come up when their kernel tries again, which is a second later, or more, the longer they have waited.
type FullListener struct {
	net.Listener
	blocker net.Conn // takes the only place
}

// NewFullListener makes a Door that is shut.
func NewFullListener() (*FullListener, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("standin: door: %w", err)
	}
	f := os.NewFile(uintptr(fd), "door")
	defer f.Close()
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, fmt.Errorf("standin: door: %w", err)
	}
	if err := unix.Listen(fd, 0); err != nil { // room for one
		return nil, fmt.Errorf("standin: door: %w", err)
	}
	d := &FullListener{}
	if d.Listener, err = net.FileListener(f); err != nil {
		return nil, fmt.Errorf("standin: door: %w", err)
	}
	if d.blocker, err = net.Dial("tcp", d.Addr().String()); err != nil {
		d.Close()
		return nil, fmt.Errorf("standin: door: %w", err)
	}
	return d, nil
}

// Accept opens the door, and has the connections that come up.
func (d *FullListener) Accept() (net.Conn, error) {
	for {
		c, err := d.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c.RemoteAddr().String() != d.blocker.LocalAddr().String() {
			return c, nil
		}
		c.Close()
		d.blocker.Close()
	}
}

// Serve opens the door and has each connection that comes up served, until the door is closed. It returns at once.
func (d *FullListener) Serve(serve func(net.Conn)) {
	go func() {
		for {
			c, err := d.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
}
