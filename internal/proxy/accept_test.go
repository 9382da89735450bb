package proxy

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// Classifies every error that accept(2) documents, as package net wraps it: only errors of the listener
// itself end the proxy.
func TestAcceptFaults(t *testing.T) {
	wrapped := func(err error) error {
		return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	for err, want := range map[error]acceptAction{
		syscall.ECONNABORTED: acceptRetry, syscall.EINTR: acceptRetry, syscall.EAGAIN: acceptRetry, syscall.EPROTO: acceptRetry,
		syscall.ENOPROTOOPT: acceptRetry, syscall.EHOSTDOWN: acceptRetry, syscall.ENONET: acceptRetry, syscall.EHOSTUNREACH: acceptRetry,
		syscall.EOPNOTSUPP: acceptRetry, syscall.ENETUNREACH: acceptRetry, syscall.ETIMEDOUT: acceptRetry, syscall.ECONNRESET: acceptRetry,
		syscall.EMFILE: acceptNoDescriptors, syscall.ENFILE: acceptNoDescriptors,
		syscall.ENOBUFS: acceptRetryLater, syscall.ENOMEM: acceptRetryLater, syscall.EPERM: acceptRetryLater, syscall.ENOSR: acceptRetryLater, syscall.ENETDOWN: acceptRetryLater,
		syscall.EBADF: acceptFailed, syscall.EINVAL: acceptFailed, syscall.ENOTSOCK: acceptFailed, syscall.EFAULT: acceptFailed,
		errors.New("something else"): acceptFailed,
	} {
		if got := classifyAcceptError(wrapped(err)); got != want {
			t.Errorf("%v: %d, want %d", err, got, want)
		}
	}
	for _, err := range []error{net.ErrClosed, fmt.Errorf("accept: %w", os.ErrDeadlineExceeded)} {
		if got := classifyAcceptError(err); got != acceptStopped {
			t.Errorf("%v: %d, want the end", err, got)
		}
	}
}

func TestAcceptBackoff(t *testing.T) {
	for failures, want := range map[int]time.Duration{1: time.Millisecond, 2: 2 * time.Millisecond, 5: 16 * time.Millisecond, 7: 50 * time.Millisecond,
		1 << 40: 50 * time.Millisecond} {
		if got := acceptBackoff(failures); got != want {
			t.Errorf("after %d failures: %v, want %v", failures, got, want)
		}
	}
}
