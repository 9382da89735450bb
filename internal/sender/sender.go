// Package sender implements the sending side of a connection under a host's lock: what the kernel accepts
// without blocking is written immediately, and the rest by a goroutine. It never reads, and never blocks
// under the lock.
package sender

import (
	"net"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// StallTimeout is how long the peer may accept nothing that is written to it before it counts as gone.
const StallTimeout = 3 * time.Second

// progressChecks is how often within StallTimeout the kernel is asked whether the peer accepts anything.
const progressChecks = 4

// maxWriteSize is the maximum number of bytes per write of what could not be written immediately.
const maxWriteSize = 64 << 10

// Host owns the lock that guards a Sender.
type Host interface {
	Enter()
	Leave()
	AddBuffered(n int) (over bool) // adds n, which may be negative, to the bytes that count as buffered
}

// Sender is the sending side of a connection. It writes immediately, under the host's lock, what the
// kernel accepts without blocking, and leaves the rest to a goroutine: most messages are small and need
// no hand-off, and a peer that reads slowly delays no other.
type Sender struct {
	host             Host
	conn             *net.TCPConn
	wrapped          net.Conn // if set, writes go through it; they may block, and are left to the goroutine
	raw              syscall.RawConn
	OnBacklogWritten func() // if set, called under the lock when the backlog has been written
	OnLost           func() // if set, called under the lock when the peer accepts nothing any more
	writingBacklog   bool   // a goroutine writes the backlog
	failed           bool
	queue            net.Buffers
	corked           bool // what is sent is collected in corkBuffer
	corkBuffer       []byte
	// Offsets in the byte stream: what was given to Send, and what the kernel has or may have by now. The
	// goroutine's current write may reach the kernel at any moment, so it counts as handed off from its
	// start.
	accepted, handedOff int64
	backlog             int // bytes that are queued or being written by the goroutine
	countedByCaller     int // part of the backlog that the caller has counted as buffered

	stallTimeout   time.Duration // StallTimeout; shorter in tests
	progressTimer  *time.Timer   // calls checkProgress; nil until the first backlog
	unacknowledged int           // bytes in the kernel's send queue at the latest check

	// The arguments and results of tryWrite, which is kept because a closure for each write would
	// allocate.
	writeBuffer []byte
	written     int
	writeErr    error
	tryWrite    func(fd uintptr) bool
	// The result of peek, which is kept for the same reason.
	peekResult int
	peek       func(fd uintptr)
}

// New returns the sending side of a connection.
func New(host Host, conn *net.TCPConn) (*Sender, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	w := &Sender{host: host, conn: conn, raw: raw, stallTimeout: StallTimeout}
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

// WriteThrough makes all writes go through conn, which encrypts them onto the connection. It must be
// called before anything is sent.
func (w *Sender) WriteThrough(conn net.Conn) { w.wrapped = conn }

// writer returns the connection that the goroutine writes to.
func (w *Sender) writer() net.Conn {
	if w.wrapped != nil {
		return w.wrapped
	}
	return w.conn
}

// Send writes b, or queues what can't be written immediately. The caller holds the lock. It may reuse b
// after the call unless it sets immutable, which promises that b never changes and saves the queue a copy.
func (w *Sender) Send(b []byte, immutable bool) {
	w.accepted += int64(len(b))
	if w.failed {
		return
	}
	if w.corked && !w.writingBacklog {
		w.corkBuffer = append(w.corkBuffer, b...)
		return
	}
	w.writeOrQueue(b, immutable)
}

// Cork holds back what is sent from now on until Uncork: several messages are then written by one system
// call. Both have to be called without releasing the lock in between: what is held back must not wait for
// long, and counts as neither handed off nor buffered.
func (w *Sender) Cork() { w.corked = true }

// Uncork writes what was held back.
func (w *Sender) Uncork() {
	w.corked = false
	if len(w.corkBuffer) > 0 && !w.failed {
		w.writeOrQueue(w.corkBuffer, false)
	}
	w.corkBuffer = w.corkBuffer[:0]
}

func (w *Sender) writeOrQueue(b []byte, immutable bool) {
	if !w.writingBacklog {
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
		w.writingBacklog = true
		w.startProgressChecks()
		defer func() { go w.writeBacklog() }()
	}
	if !immutable {
		b = slices.Clone(b)
	}
	w.queue = append(w.queue, b)
	w.backlog += len(b)
	w.host.AddBuffered(len(b))
}

// SendCounted sends bytes that never change and that the caller has already counted as buffered.
func (w *Sender) SendCounted(b []byte) {
	backlogBefore := w.backlog
	w.Send(b, true)
	w.countedByCaller += w.backlog - backlogBefore
	w.host.AddBuffered(backlogBefore - w.backlog)
}

// Fail closes the connection; its reader notices and cleans up.
func (w *Sender) Fail() {
	w.failed = true
	w.conn.Close()
}

// Discard drops what has not been handed off and prevents further writes.
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
	w.host.AddBuffered(byCaller - n)
}

// nextPiece removes the next bytes to write from the queue. A peer that receives a long value slowly
// counts as present as long as it accepts something, so no more than maxWriteSize is written under one
// time limit.
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

// limitWriteTime gives the goroutine's write its full time limit from now on.
func (w *Sender) limitWriteTime() { w.writer().SetWriteDeadline(time.Now().Add(w.stallTimeout)) }

// startProgressChecks starts the calls of checkProgress for a backlog.
func (w *Sender) startProgressChecks() {
	w.unacknowledged = w.kernelQueue(unix.SIOCOUTQ)
	if w.progressTimer == nil {
		w.progressTimer = time.AfterFunc(w.stallTimeout/progressChecks, w.checkProgress)
		return
	}
	w.progressTimer.Reset(w.stallTimeout / progressChecks)
}

// checkProgress extends the time limit of a write that the kernel has not accepted, if the peer has accepted
// something of what the kernel holds. The kernel accepts a write only once a third of its buffer is free, and
// that buffer grows to some megabytes: a peer that reads steadily may take much longer than the limit for it.
func (w *Sender) checkProgress() {
	w.host.Enter()
	defer w.host.Leave()
	if !w.writingBacklog || w.failed {
		return
	}
	if unacknowledged := w.kernelQueue(unix.SIOCOUTQ); unacknowledged != w.unacknowledged {
		w.unacknowledged = unacknowledged
		w.limitWriteTime()
	}
	w.progressTimer.Reset(w.stallTimeout / progressChecks)
}

// writeBacklog writes the backlog.
func (w *Sender) writeBacklog() {
	for {
		w.host.Enter()
		if len(w.queue) == 0 {
			w.writingBacklog = false
			w.progressTimer.Stop()
			w.writer().SetWriteDeadline(time.Time{})
			if w.OnBacklogWritten != nil {
				w.OnBacklogWritten()
			}
			w.host.Leave()
			return
		}
		piece, size := w.nextPiece()
		w.handedOff += int64(size)
		w.host.Leave()
		w.limitWriteTime()
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

// HasUntransmitted reports whether bytes that were given to Send have certainly not all left this machine: they
// wait here or, because the peer's window is full, in the kernel.
func (w *Sender) HasUntransmitted() bool {
	return w.writingBacklog || len(w.corkBuffer) > 0 || w.kernelQueue(unix.SIOCOUTQNSD) > 0
}

// Unread returns the number of bytes that have arrived on the connection and were not read.
func (w *Sender) Unread() int { return w.kernelQueue(unix.SIOCINQ) }

// kernelQueue returns the number of bytes that the kernel holds for the connection: with SIOCOUTQ those that the
// peer has not acknowledged, with SIOCOUTQNSD those not transmitted yet, with SIOCINQ those not read. It returns 0
// if that can't be determined.
func (w *Sender) kernelQueue(request uint) (bytes int) {
	w.raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), request); err == nil {
			bytes = n
		}
	})
	return bytes
}

// Raw gives access to the connection's descriptor.
func (w *Sender) Raw() syscall.RawConn { return w.raw }

// Busy reports whether a write is pending.
func (w *Sender) Busy() bool { return w.writingBacklog }

// Backlog returns the number of bytes that are queued or being written.
func (w *Sender) Backlog() int { return w.backlog }

// Failed reports whether sending has ended.
func (w *Sender) Failed() bool { return w.failed }

// Accepted returns the offset in the byte stream of the end of what was given to Send.
func (w *Sender) Accepted() int64 { return w.accepted }

// Unsent reports whether the bytes up to an offset have certainly not all been handed off; once the
// sender has failed, they never will be.
func (w *Sender) Unsent(end int64) bool { return end > w.handedOff }

// Peek reports, under the lock, what has been received on the connection and not yet read; EndOfStream if
// the connection is closed.
func (w *Sender) Peek() int {
	if err := w.raw.Control(w.peek); err != nil {
		return EndOfStream
	}
	return w.peekResult
}

// PeerClosed reports whether the peer has ended its sending or the connection was reset, even behind
// unread bytes. It costs one system call more than Peek, and is meant for connections that are not being
// read. If more unread bytes precede the end of the stream than the kernel buffers, the end has not arrived
// and is not detected.
func (w *Sender) PeerClosed() (closed bool) {
	err := w.raw.Control(func(fd uintptr) { closed = PeerClosed(fd) })
	return closed || err != nil
}

// PeerClosed reports whether the peer of a socket has ended its sending or the connection was reset, even
// behind unread bytes.
func PeerClosed(fd uintptr) bool {
	pollFDs := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(pollFDs[:], 0)
	return err == nil && n > 0 && pollFDs[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// The results of Peek.
const (
	NoData = iota
	HasData
	EndOfStream
)

// Peek checks what has been received on a socket without reading it.
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
