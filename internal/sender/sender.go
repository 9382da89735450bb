// Package sender is the sending side of a connection under a host's one lock: what the kernel takes without waiting is
// written at once, and the rest by a goroutine. It never reads, and never waits under the lock.
package sender

import (
	"net"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// StallTimeout is how long the other side may take nothing of what is written to it, before it counts as gone.
const StallTimeout = 3 * time.Second

// maxWriteSize is how much is written at once of what did not go out at first.
const maxWriteSize = 64 << 10

// Host is whose lock guards a Sender.
type Host interface {
	Enter()
	Leave()
	Hold(n int) (over bool) // counts n bytes more, or -n less, as held
}

// Sender is the sending side of a connection. It writes at once, under the host's lock, what the kernel
// takes without waiting, and leaves the rest to a goroutine: most messages are small and need no hand-off,
// and a peer that reads slowly holds up nobody else.
type Sender struct {
	host       Host
	conn       *net.TCPConn
	wrapped    net.Conn // what is written goes through it, if set: it may wait, and is left to the goroutine
	raw        syscall.RawConn
	OnDrained  func() // if set, called under the lock when a backlog is gone
	OnLost     func() // if set, called under the lock when the other side takes nothing any more
	draining   bool   // a goroutine has the sending side
	failed     bool
	queue      net.Buffers
	corked     bool // what is sent waits in cork
	corkBuffer []byte
	// Places in the stream of bytes: what was given to send, and what the kernel has or may have by now. What
	// the goroutine is writing may be out at any moment, so it counts as begun from when it is handed over.
	accepted, handedOff int64
	backlog             int // bytes that wait or are being written by the goroutine
	countedByCaller     int // of them, those that are counted with the value that they are of

	// The arguments and results of step; a closure for each write would be garbage.
	writeBuffer []byte
	written     int
	writeErr    error
	tryWrite    func(fd uintptr) bool
	// The result of look, which is a closure for the same reason.
	peekResult int
	peek       func(fd uintptr)
}

// New makes the sending side of a connection.
func New(host Host, conn *net.TCPConn) (*Sender, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	w := &Sender{host: host, conn: conn, raw: raw}
	w.peek = func(fd uintptr) { w.peekResult = Peek(fd) }
	w.tryWrite = func(fd uintptr) bool {
		for {
			w.written, w.writeErr = syscall.Write(int(fd), w.writeBuffer)
			if w.writeErr != syscall.EINTR {
				return true
			}
		}
	}
	return w, nil
}

// WriteThrough has everything written through conn, which encrypts it onto the connection. Before anything is sent.
func (w *Sender) WriteThrough(conn net.Conn) { w.wrapped = conn }

// writer is what the goroutine writes to.
func (w *Sender) writer() net.Conn {
	if w.wrapped != nil {
		return w.wrapped
	}
	return w.conn
}

// Send writes b, or queues what does not go out at once. The caller holds the lock and may use b again,
// unless keep says that it never changes, which saves the queue a copy.
func (w *Sender) Send(b []byte, keep bool) {
	w.accepted += int64(len(b))
	if w.failed {
		return
	}
	if w.corked && !w.draining {
		w.corkBuffer = append(w.corkBuffer, b...)
		return
	}
	w.writeOrQueue(b, keep)
}

// Cork holds back what is sent from now on, until Uncork: several messages then go out by one system call. Both are to be called in one
// go, under the lock: what waits here may not wait for long, and counts as neither begun nor held.
func (w *Sender) Cork() { w.corked = true }

// Uncork sends what was held back.
func (w *Sender) Uncork() {
	w.corked = false
	if len(w.corkBuffer) > 0 && !w.failed {
		w.writeOrQueue(w.corkBuffer, false)
	}
	w.corkBuffer = w.corkBuffer[:0]
}

func (w *Sender) writeOrQueue(b []byte, keep bool) {
	if !w.draining {
		if w.wrapped == nil {
			w.writeBuffer, w.written, w.writeErr = b, 0, nil
			err := w.raw.Write(w.tryWrite)
			w.writeBuffer = nil
			if err == nil && w.writeErr != syscall.EAGAIN {
				err = w.writeErr
			}
			if err != nil {
				w.Fail()
				return
			}
			n := max(0, w.written)
			w.handedOff += int64(n)
			if b = b[n:]; len(b) == 0 {
				return
			}
		}
		w.draining = true
		defer func() { go w.drain() }()
	}
	if !keep {
		b = slices.Clone(b)
	}
	w.queue = append(w.queue, b)
	w.backlog += len(b)
	w.host.Hold(len(b))
}

// SendCounted sends bytes that never change and whose room is counted already.
func (w *Sender) SendCounted(b []byte) {
	was := w.backlog
	w.Send(b, true)
	w.countedByCaller += w.backlog - was
	w.host.Hold(was - w.backlog)
}

// Fail ends the connection; its reader finds out and cleans up.
func (w *Sender) Fail() {
	w.failed = true
	w.conn.Close()
}

// Discard lets go of what has not been handed over and keeps it from going out.
func (w *Sender) Discard() {
	w.failed = true
	for _, b := range w.queue {
		w.release(len(b))
	}
	w.queue = nil
}

func (w *Sender) release(n int) {
	byCaller := min(n, w.countedByCaller)
	w.countedByCaller -= byCaller
	w.backlog -= n
	w.host.Hold(byCaller - n)
}

// nextPiece takes what is written next off the queue. A side that takes a long value slowly is there as long as it takes
// something, so no more than maxWriteSize goes out under one time limit.
func (w *Sender) nextPiece() (piece net.Buffers, size int) {
	for len(w.queue) > 0 && size < maxWriteSize {
		b := w.queue[0]
		if rest := maxWriteSize - size; len(b) > rest {
			w.queue[0], b = b[rest:], b[:rest]
		} else {
			w.queue[0] = nil
			w.queue = w.queue[1:]
		}
		piece = append(piece, b)
		size += len(b)
	}
	return piece, size
}

// drain writes the backlog.
func (w *Sender) drain() {
	for {
		w.host.Enter()
		if len(w.queue) == 0 {
			w.draining = false
			w.writer().SetWriteDeadline(time.Time{})
			if w.OnDrained != nil {
				w.OnDrained()
			}
			w.host.Leave()
			return
		}
		piece, size := w.nextPiece()
		w.handedOff += int64(size)
		w.host.Leave()
		w.writer().SetWriteDeadline(time.Now().Add(StallTimeout))
		_, err := piece.WriteTo(w.writer())
		w.host.Enter()
		w.release(size)
		if err != nil {
			w.Fail()
			w.Discard()
			if w.OnLost != nil {
				w.OnLost()
			}
		}
		w.host.Leave()
	}
}

// Raw gives access to the connection's descriptor.
func (w *Sender) Raw() syscall.RawConn { return w.raw }

// Busy tells whether something waits to be written.
func (w *Sender) Busy() bool { return w.draining }

// Backlog is how many bytes wait or are being written.
func (w *Sender) Backlog() int { return w.backlog }

// Failed tells whether the sending side has ended.
func (w *Sender) Failed() bool { return w.failed }

// Accepted is the place, in the stream of bytes, behind what was given to send.
func (w *Sender) Accepted() int64 { return w.accepted }

// Unsent tells whether the bytes up to a place are surely not all out, and won't go out once the sender has failed.
func (w *Sender) Unsent(end int64) bool { return end > w.handedOff }

// Peek tells what has come on the connection and was not read yet, under the lock; End, if the connection is closed.
func (w *Sender) Peek() int {
	if err := w.raw.Control(w.peek); err != nil {
		return EndOfStream
	}
	return w.peekResult
}

// PeerClosed tells whether the other side has ended its sending, or the connection is reset, also where bytes that came before
// were not read yet. It costs a system call more than Look, and is for where nobody reads. An end behind more than the kernel takes in is
// not seen: it has not come.
func (w *Sender) PeerClosed() (closed bool) {
	err := w.raw.Control(func(fd uintptr) { closed = PeerClosed(fd) })
	return closed || err != nil
}

// PeerClosed tells whether the other side of a socket has ended its sending, or the connection is reset, also behind bytes that nobody has read.
func PeerClosed(fd uintptr) bool {
	pollFDs := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(pollFDs[:], 0)
	return err == nil && n > 0 && pollFDs[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// What Peek can see.
const (
	NoData = iota
	HasData
	EndOfStream
)

// Peek looks at what has come on a socket and leaves it there.
func Peek(fd uintptr) int {
	var b [1]byte
	for {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EINTR:
		case err == syscall.EAGAIN:
			return NoData
		case err != nil || n == 0:
			return EndOfStream
		default:
			return HasData
		}
	}
}
