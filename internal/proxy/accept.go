package proxy

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// acceptAction is how to handle an error of accept.
type acceptAction uint8

// The actions.
const (
	acceptStopped       acceptAction = iota // stop: the listener is closed, or its deadline has passed
	acceptRetry                             // accept again: that connection is lost, but others may be queued
	acceptNoDescriptors                     // free a descriptor: none is left for another connection
	acceptRetryLater                        // wait: the machine is short of a resource for a moment
	acceptFailed                            // fail: the listener is no longer usable
)

// classifyAcceptError returns the action for an error of accept. accept(2) also reports network errors that
// are already pending on the new connection, and errors of short resources and of filters; none of these
// says anything about the listener.
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
	// acceptImmediateRetries is how many consecutive connections may be lost before accept waits a moment:
	// a permanent error must not occupy the core.
	acceptImmediateRetries = 16
	// descriptorWait is how long an accepted client waits for a descriptor that is due to it, and
	// descriptorPollInterval how often it is looked for one. The wait should exceed the time of an attempt,
	// after which its connection is at rest.
	descriptorWait         = 500 * time.Millisecond
	descriptorPollInterval = 2 * time.Millisecond
	acceptBackoffMin       = time.Millisecond
	acceptBackoffMax       = 50 * time.Millisecond
)

// acceptBackoff returns how long to wait after the given number of consecutive failures.
func acceptBackoff(failures int) time.Duration {
	wait := acceptBackoffMin
	for ; failures > 1 && wait < acceptBackoffMax; failures-- {
		wait *= 2
	}
	return min(wait, acceptBackoffMax)
}
