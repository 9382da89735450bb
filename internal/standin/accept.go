package standin

import (
	"errors"
	"net"
	"time"
)

// acceptRetryDelay is the pause after a temporary accept error, such as a shortage of descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// AcceptEach calls handle for each accepted connection until the listener is closed. Temporary errors don't
// end it: a simulated server that no longer accepts connections would look like one that hangs.
func AcceptEach(listener net.Listener, handle func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(acceptRetryDelay)
		default:
			handle(conn)
		}
	}
}
