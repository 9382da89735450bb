package upstream

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"linenloom/internal/pool"
	"linenloom/logic"
)

// lockedHost is a host with a lock, under which dials report from their own goroutines.
type lockedHost struct {
	testHost
	mu sync.Mutex
}

func (h *lockedHost) Do(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

// outcomeClient forwards the outcome of an exchange.
type outcomeClient struct {
	testHost
	exchange *Exchange
	outcomes chan logic.Status
}

func (e *outcomeClient) Done(s logic.Status, _ int) {
	e.exchange.Ended = true
	e.outcomes <- s
}

// A dial that failed for lack of this machine's own resources was counted as refused by the member: two
// in a row started the member's backoff, and took it out of use for all requests although it was healthy.
// The request must end as one that found no connection here, and the member must be unaffected.
func TestLocalShortageIsNotBlamedOnMember(t *testing.T) {
	for errno, blamed := range map[syscall.Errno]bool{
		syscall.EMFILE: false, syscall.ENFILE: false, syscall.ENOBUFS: false, syscall.ENOMEM: false, syscall.EADDRNOTAVAIL: false,
		syscall.EADDRINUSE: false, syscall.EAGAIN: false, syscall.EPERM: false, syscall.EINTR: false,
		syscall.ECONNREFUSED: true, syscall.ENETUNREACH: true, syscall.EHOSTUNREACH: true, syscall.ECONNRESET: true, syscall.ETIMEDOUT: true,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			host := &lockedHost{}
			set := New(pool.Config{ConnIdle: time.Minute, ConnectTimeout: time.Second, Multiplex: 1, Instances: 1, Descriptors: 100}, host)
			set.dialer = func(string, time.Duration) (net.Conn, error) {
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
			}
			m := &Member{Addr: "127.0.0.1:1", Ready: true}
			for range 3 { // more than one in a row, as a shortage lasts
				client := &outcomeClient{outcomes: make(chan logic.Status, 2)}
				client.exchange = &Exchange{Message: &Message{Key: []byte("k")}, Client: client}
				client.exchange.ExpiresAt = time.Minute
				host.Do(func() { set.Exchange(m, client.exchange) })
				want := logic.StatusNoConn
				if blamed {
					want = logic.StatusConnectFailed
				}
				if got := <-client.outcomes; got != want {
					t.Fatalf("the request ended with %v, want %v", got, want)
				}
			}
			host.Do(func() {
				if held := m.Backoff() > 0; held != blamed {
					t.Errorf("the member is held back: %v, want %v", held, blamed)
				}
				if set.OpenConns() != 0 {
					t.Errorf("%d connections are counted, none is there", set.OpenConns())
				}
			})
		})
	}
	if isLocalError(errors.New("something else")) {
		t.Error("an unknown error counts as a shortage of this machine")
	}
}
