package standin

import (
	"errors"
	"net"
	"time"
)

// acceptRetryDelay is how long a stand-in waits after an error of accept that may pass, as where descriptors are short.
const acceptRetryDelay = 10 * time.Millisecond

// AcceptEach hands each connection that comes to take, until the listener is closed. Errors that may pass don't end it: a stand-in that no longer
// takes connections would look like one that hangs.
func AcceptEach(l net.Listener, take func(net.Conn)) {
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(acceptRetryDelay)
		default:
			take(conn)
		}
	}
}
