package proxy

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// acceptAction is what an error of accept asks for.
type acceptAction uint8

// The faults.
const (
	acceptStopped       acceptAction = iota // the listener is closed, or nothing more is taken from it
	acceptRetry                             // that connection is lost; others may be in line
	acceptNoDescriptors                     // there is no descriptor for another connection
	acceptRetryLater                        // the machine is short of something for a moment
	acceptFailed                            // the listener is of no use any more
)

// classifyAcceptError tells one from another. accept(2) passes on errors of the network that are already pending on the new connection, and of short
// resources and filters; none of them says anything of the listener.
func classifyAcceptError(err error) acceptAction {
	if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
		return acceptStopped
	}
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return acceptFailed
	}
	switch errno {
	case syscall.EMFILE, syscall.ENFILE:
		return acceptNoDescriptors
	case syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM, syscall.ENOSR, syscall.ENETDOWN:
		return acceptRetryLater
	case syscall.EBADF, syscall.EFAULT, syscall.EINVAL, syscall.ENOTSOCK:
		return acceptFailed
	}
	return acceptRetry
}

const (
	// acceptImmediateRetries is how many connections in a row may be lost before accept waits a moment: an error that comes for good must not take the core.
	acceptImmediateRetries = 16
	acceptBackoffMin       = time.Millisecond
	acceptBackoffMax       = 50 * time.Millisecond
)

// acceptBackoff is how long to wait after so many failures in a row.
func acceptBackoff(failures int) time.Duration {
	wait := acceptBackoffMin
	for ; failures > 1 && wait < acceptBackoffMax; failures-- {
		wait *= 2
	}
	return min(wait, acceptBackoffMax)
}
