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

// Every error that accept(2) documents, as package net wraps it: none but those of the listener itself ends the proxy.
func TestAcceptFaults(t *testing.T) {
	wrapped := func(err error) error {
		return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	for err, want := range map[error]acceptFault{
		syscall.ECONNABORTED: acceptAgain, syscall.EINTR: acceptAgain, syscall.EAGAIN: acceptAgain, syscall.EPROTO: acceptAgain,
		syscall.ENOPROTOOPT: acceptAgain, syscall.EHOSTDOWN: acceptAgain, syscall.ENONET: acceptAgain, syscall.EHOSTUNREACH: acceptAgain,
		syscall.EOPNOTSUPP: acceptAgain, syscall.ENETUNREACH: acceptAgain, syscall.ETIMEDOUT: acceptAgain, syscall.ECONNRESET: acceptAgain,
		syscall.EMFILE: acceptShort, syscall.ENFILE: acceptShort,
		syscall.ENOBUFS: acceptLater, syscall.ENOMEM: acceptLater, syscall.EPERM: acceptLater, syscall.ENOSR: acceptLater, syscall.ENETDOWN: acceptLater,
		syscall.EBADF: acceptBroken, syscall.EINVAL: acceptBroken, syscall.ENOTSOCK: acceptBroken, syscall.EFAULT: acceptBroken,
		errors.New("something else"): acceptBroken,
	} {
		if got := acceptFaultOf(wrapped(err)); got != want {
			t.Errorf("%v: %d, want %d", err, got, want)
		}
	}
	for _, err := range []error{net.ErrClosed, fmt.Errorf("accept: %w", os.ErrDeadlineExceeded)} {
		if got := acceptFaultOf(err); got != acceptOver {
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
