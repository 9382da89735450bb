package proxy

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// acceptFault is what an error of accept asks for.
type acceptFault uint8

// The faults.
const (
	acceptOver   acceptFault = iota // the listener is closed, or nothing more is taken from it
	acceptAgain                     // that connection is lost; others may be in line
	acceptShort                     // there is no descriptor for another connection
	acceptLater                     // the machine is short of something for a moment
	acceptBroken                    // the listener is of no use any more
)

// acceptFaultOf tells one from another. accept(2) passes on errors of the network that are already pending on the new connection, and of short
// resources and filters; none of them says anything of the listener.
func acceptFaultOf(err error) acceptFault {
	if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
		return acceptOver
	}
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return acceptBroken
	}
	switch errno {
	case syscall.EMFILE, syscall.ENFILE:
		return acceptShort
	case syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM, syscall.ENOSR, syscall.ENETDOWN:
		return acceptLater
	case syscall.EBADF, syscall.EFAULT, syscall.EINVAL, syscall.ENOTSOCK:
		return acceptBroken
	}
	return acceptAgain
}

const (
	// acceptTries is how many connections in a row may be lost before accept waits a moment: an error that comes for good must not take the core.
	acceptTries        = 16
	acceptBackoffLeast = time.Millisecond
	acceptBackoffMost  = 50 * time.Millisecond
)

// acceptBackoff is how long to wait after so many failures in a row.
func acceptBackoff(failures int) time.Duration {
	wait := acceptBackoffLeast
	for ; failures > 1 && wait < acceptBackoffMost; failures-- {
		wait *= 2
	}
	return min(wait, acceptBackoffMost)
}
