package sender

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// The write that the sender's goroutine has begun may reach the kernel at any moment.
func TestUnsent(t *testing.T) {
	w := &Sender{accepted: 100, handedOff: 60}
	for _, c := range []struct {
		end  int64
		want bool
	}{{60, false}, {61, true}, {100, true}} {
		if got := w.Unsent(c.end); got != c.want {
			t.Errorf("unsent with the last byte at %d: %v, want %v", c.end, got, c.want)
		}
	}
}

type lockHost struct{ sync.Mutex }

func (l *lockHost) Enter()               { l.Lock() }
func (l *lockHost) Leave()               { l.Unlock() }
func (l *lockHost) AddBuffered(int) bool { return false }

// newConnected returns a sender on a new connection, and the connection's other end.
func newConnected(t *testing.T, host *lockHost) (sender *Sender, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close() })
	if far, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close() })
	if sender, err = New(host, near.(*net.TCPConn)); err != nil {
		t.Fatal(err)
	}
	return sender, far
}

// Corked messages wait and count as unsent; uncorked, they are written in order, before later ones. On a
// connection that has failed meanwhile they are never written.
func TestCork(t *testing.T) {
	host := &lockHost{}
	sender, far := newConnected(t, host)
	host.Enter()
	sender.Cork()
	sender.Send([]byte("a"), false)
	sender.Send([]byte("b"), false)
	if !sender.Unsent(1) || !sender.Unsent(2) || sender.Accepted() != 2 {
		t.Error("what is corked counts as out")
	}
	sender.Uncork()
	if sender.Unsent(2) {
		t.Error("what is uncorked counts as unsent")
	}
	sender.Send([]byte("c"), false)
	sender.Cork()
	sender.Send([]byte("d"), false)
	sender.Fail()
	sender.Uncork()
	if !sender.Unsent(4) {
		t.Error("what was corked on a connection that has failed counts as out")
	}
	host.Leave()
	if got, _ := io.ReadAll(far); string(got) != "abc" {
		t.Errorf("%q came", got)
	}
}

// newBacklogged returns a sender whose peer has not read anything yet, with a backlog beyond what the kernel
// accepts, and the peer.
func newBacklogged(t *testing.T, host *lockHost, size int, stallTimeout time.Duration) (sender *Sender, far net.Conn) {
	t.Helper()
	sender, far = newConnected(t, host)
	sender.stallTimeout = stallTimeout
	host.Enter()
	defer host.Leave()
	sender.Send(make([]byte, size), true)
	return sender, far
}

// Guards against a peer that reads steadily and is cut off, because the kernel accepts a further write only once
// a third of its large buffer is free.
func TestSteadyReaderIsNotCutOff(t *testing.T) {
	const size, pieceSize, pause = 16 << 20, 128 << 10, 50 * time.Millisecond
	host := &lockHost{}
	_, far := newBacklogged(t, host, size, 300*time.Millisecond)
	received, piece := 0, make([]byte, pieceSize)
	for received < size {
		n, err := io.ReadFull(far, piece)
		received += n
		if err != nil {
			t.Fatalf("cut off after %d of %d bytes: %v", received, size, err)
		}
		time.Sleep(pause)
	}
}

// Guards against a peer that accepts nothing and is never given up.
func TestPeerThatAcceptsNothingIsLost(t *testing.T) {
	host := &lockHost{}
	lost := make(chan struct{})
	sender, _ := newBacklogged(t, host, 64<<20, 100*time.Millisecond)
	host.Enter()
	sender.OnLost = func() { close(lost) }
	host.Leave()
	select {
	case <-lost:
	case <-time.After(20 * time.Second):
		t.Error("the peer was not given up")
	}
}

// Guards against a peer that reads steadily but so slowly that its kernel tells of free room less often than the limit
// for a write: 100 KB/s with a limit of 0.3 s is 10 KB/s with StallTimeout. Known to fail, see KNOWN-RED.txt.
func TestSlowReaderIsNotCutOff(t *testing.T) {
	const size, pieceSize, pause, watched = 16 << 20, 4 << 10, 40 * time.Millisecond, 10 * time.Second
	host := &lockHost{}
	sender, far := newBacklogged(t, host, size, 300*time.Millisecond)
	piece := make([]byte, pieceSize)
	for end := time.Now().Add(watched); time.Now().Before(end); time.Sleep(pause) {
		if _, err := io.ReadFull(far, piece); err != nil {
			t.Fatalf("cut off: %v", err)
		}
		host.Enter()
		failed := sender.Failed()
		host.Leave()
		if failed {
			t.Fatal("the sender has given the peer up")
		}
	}
}
