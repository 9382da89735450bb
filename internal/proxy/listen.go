package proxy

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// newestListener is the index of the most recent listener while two processes listen: the kernel numbers
// the sockets of an address in the order in which they were added, and closes the gap when one is removed.
const newestListener = 1

// listenShared listens at an address at which another process of this proxy may listen too, and makes the
// kernel assign all new connections to the most recent process. The accept queue of the other process is
// then empty when it closes its listener; connections in the queue of a closed listener would be reset.
// With a single listener the selected index does not exist, and the kernel falls back to that listener.
// Where the selection can't be set up, connections are spread over both processes.
func listenShared(addr string, log *slog.Logger) (*net.TCPListener, error) {
	lc := net.ListenConfig{
		// Keep-alive probes don't detect a vanished peer here, and each costs system calls.
		KeepAlive: -1,
		Control: func(_, _ string, c syscall.RawConn) (err error) {
			if e := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
			}); e != nil {
				return e
			}
			return err
		},
	}
	lc.SetMultipathTCP(false) // an MPTCP socket does not support the selection below
	l, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	listener := l.(*net.TCPListener)
	raw, err := listener.SyscallConn()
	if err == nil {
		filter := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: newestListener}}
		program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
		if e := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF, &program)
		}); e != nil {
			err = e
		}
	}
	if err != nil {
		log.Warn("cannot direct new connections to the newest listener; the kernel spreads them over both processes", "err", err)
	}
	return listener, nil
}

// hasQueuedConns reports whether the listener's accept queue holds a connection; true if that is unknown.
func hasQueuedConns(l *net.TCPListener) (waiting bool) {
	waiting = true
	raw, err := l.SyscallConn()
	if err != nil {
		return waiting
	}
	raw.Control(func(fd uintptr) { // fails only if the listener is closed
		pollFDs := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(pollFDs[:], 0)
		waiting = err != nil || n > 0
	})
	return waiting
}

// addrInUse reports whether a process already listens at an address. It binds the address without sharing
// it, and releases it again.
func addrInUse(addr string) bool {
	addrPort, err := netip.ParseAddrPort(addr)
	if err != nil || addrPort.Port() == 0 {
		return false
	}
	family, sa := unix.AF_INET6, unix.Sockaddr(&unix.SockaddrInet6{Port: int(addrPort.Port()), Addr: addrPort.Addr().As16()})
	if addrPort.Addr().Is4() {
		family, sa = unix.AF_INET, &unix.SockaddrInet4{Port: int(addrPort.Port()), Addr: addrPort.Addr().As4()}
	}
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return false
	}
	defer unix.Close(fd)
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	return unix.Bind(fd, sa) == unix.EADDRINUSE
}
