package proxy

import (
	"net"
	"slices"
	"syscall"
	"time"
)

// stallLimit is how long the other side may take nothing of what is written to it, before it counts as gone.
const stallLimit = 3 * time.Second

// writePiece is how much is written at once of what did not go out at first.
const writePiece = 64 << 10

// writer is the sending side of a connection. It writes at once, under the proxy's lock, what the kernel
// takes without waiting, and leaves the rest to a goroutine: most messages are small and need no hand-off,
// and a peer that reads slowly holds up nobody else.
type writer struct {
	p      *Proxy
	conn   *net.TCPConn
	raw    syscall.RawConn
	idle   func() // called under the lock when a backlog is gone
	busy   bool   // a goroutine has the sending side
	failed bool
	queue  net.Buffers
	// Places in the stream of bytes: what was given to send, and what the kernel has or may have by now. What
	// the goroutine is writing may be out at any moment, so it counts as begun from when it is handed over.
	taken, begun int64
	backlog      int    // bytes that wait or are being written by the goroutine
	elsewhere    int    // of them, those that are counted with the value that they are of
	lost         func() // called under the lock when the other side takes nothing any more

	// The arguments and results of step; a closure for each write would be garbage.
	buf  []byte
	n    int
	err  error
	step func(fd uintptr) bool
}

func newWriter(p *Proxy, conn *net.TCPConn) (*writer, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	w := &writer{p: p, conn: conn, raw: raw}
	w.step = func(fd uintptr) bool {
		for {
			w.n, w.err = syscall.Write(int(fd), w.buf)
			if w.err != syscall.EINTR {
				return true
			}
		}
	}
	return w, nil
}

// send writes b, or queues what does not go out at once. The caller holds the lock and may use b again,
// unless keep says that it never changes, which saves the queue a copy.
func (w *writer) send(b []byte, keep bool) {
	w.taken += int64(len(b))
	if w.failed {
		return
	}
	if !w.busy {
		w.buf, w.n, w.err = b, 0, nil
		err := w.raw.Write(w.step)
		w.buf = nil
		if err == nil && w.err != syscall.EAGAIN {
			err = w.err
		}
		if err != nil {
			w.fail()
			return
		}
		n := max(0, w.n)
		w.begun += int64(n)
		if b = b[n:]; len(b) == 0 {
			return
		}
		w.busy = true
		defer func() { go w.drain() }()
	}
	if !keep {
		b = slices.Clone(b)
	}
	w.queue = append(w.queue, b)
	w.backlog += len(b)
	w.p.held += len(b)
}

// sendCounted sends bytes that never change and whose room is counted already.
func (w *writer) sendCounted(b []byte) {
	was := w.backlog
	w.send(b, true)
	w.elsewhere += w.backlog - was
	w.p.held -= w.backlog - was
}

// fail ends the connection; its reader finds out and cleans up.
func (w *writer) fail() {
	w.failed = true
	w.conn.Close()
}

// drop lets go of what has not been handed over and keeps it from going out.
func (w *writer) drop() {
	w.failed = true
	for _, b := range w.queue {
		w.release(len(b))
	}
	w.queue = nil
}

func (w *writer) release(n int) {
	other := min(n, w.elsewhere)
	w.elsewhere -= other
	w.backlog -= n
	w.p.held -= n - other
}

// piece takes what is written next off the queue. A side that takes a long value slowly is there as long as it takes
// something, so no more than writePiece goes out under one time limit.
func (w *writer) piece() (piece net.Buffers, size int) {
	for len(w.queue) > 0 && size < writePiece {
		b := w.queue[0]
		if rest := writePiece - size; len(b) > rest {
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
func (w *writer) drain() {
	for {
		w.p.enter()
		if len(w.queue) == 0 {
			w.busy = false
			w.conn.SetWriteDeadline(time.Time{})
			if w.idle != nil {
				w.idle()
			}
			w.p.leave()
			return
		}
		piece, size := w.piece()
		w.begun += int64(size)
		w.p.leave()
		w.conn.SetWriteDeadline(time.Now().Add(stallLimit))
		_, err := piece.WriteTo(w.conn)
		w.p.enter()
		w.release(size)
		if err != nil {
			w.fail()
			w.drop()
			if w.lost != nil {
				w.lost()
			}
		}
		w.p.leave()
	}
}
