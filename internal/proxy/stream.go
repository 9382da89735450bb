package proxy

import (
	"errors"
	"io"
	"time"

	"linenloom/internal/resp"
	"linenloom/logic"
)

const (
	longValue   = 64 << 10 // longer values are passed on piece by piece
	streamPiece = 32 << 10
	// pieceTime is how long a member may pause within a value before it counts as broken off.
	pieceTime = 2 * time.Second
)

// errCut tells that a value could not be passed on whole.
var errCut = errors.New("value cut short")

// stream is a long value on its way to a client, through a buffer of fixed size: the member is read only as
// fast as the client takes it. It waits for the answers before it.
type stream struct {
	turn chan struct{} // closed when the sending side belongs to the stream, or the client is gone
}

// begun tells whether the stream's turn has come.
func (s *stream) begun() bool {
	select {
	case <-s.turn:
		return true
	default:
		return false
	}
}

// pass passes a value of the given size on to the client that the answer at the connection's head belongs
// to, or reads over it if nobody waits for it.
func (u *upstream) pass(size int, src io.Reader) error {
	p := u.p
	p.enter()
	a := u.next()
	if a == nil {
		p.leave()
		return errors.New("answer without a request")
	}
	r := a.req
	wanted := !a.ended && !r.done
	u.stream = true
	if wanted {
		// The first bytes are the answer: the request is decided, and no time-out runs any more.
		r.done = true
		a.streaming, a.answered = true, p.now
		p.bal.StreamStarted(p.now, r.id, a.n)
		r.stream = &stream{turn: make(chan struct{})}
		r.client.flush()
	}
	p.leave()

	var srcErr, dstErr error
	if wanted {
		<-r.stream.turn
		srcErr, dstErr = u.copy(r.client, size, src)
	} else {
		srcErr = u.skip(size, src)
	}

	p.enter()
	defer p.leave()
	u.stream = false
	s := logic.StatusOK
	switch {
	case srcErr != nil:
		s = logic.StatusReset
	case dstErr != nil:
		s = logic.StatusCancelled
	}
	if wanted {
		r.client.passed(r, errors.Join(srcErr, dstErr))
	}
	p.end(a, s, 0)
	if srcErr != nil {
		return srcErr
	}
	u.answered()
	return nil
}

// copy moves a value of the given size from src to the client.
func (u *upstream) copy(c *client, size int, src io.Reader) (srcErr, dstErr error) {
	buf := make([]byte, 0, streamPiece)
	buf = resp.AppendBulkHead(buf, size)
	defer u.conn.SetReadDeadline(time.Time{})
	for left := size; left > 0; {
		u.conn.SetReadDeadline(time.Now().Add(pieceTime))
		n, err := src.Read(buf[len(buf):min(cap(buf), len(buf)+left)])
		buf = buf[:len(buf)+n]
		left -= n
		if err != nil && (left > 0 || !errors.Is(err, io.EOF)) {
			return errors.Join(errCut, err), dstErr
		}
		if left == 0 {
			buf = append(buf, "\r\n"...)
		}
		if dstErr == nil {
			c.conn.SetWriteDeadline(time.Now().Add(stallLimit))
			_, dstErr = c.conn.Write(buf)
		}
		buf = buf[:0]
	}
	return nil, dstErr
}

// skip reads over a value of the given size.
func (u *upstream) skip(size int, src io.Reader) error {
	defer u.conn.SetReadDeadline(time.Time{})
	u.conn.SetReadDeadline(time.Now().Add(pieceTime))
	_, err := io.CopyN(io.Discard, src, int64(size))
	return err
}

// passed gives the sending side back after a stream. A value cut short ends the connection: it is the only
// way to tell the client that what it has is not whole.
func (c *client) passed(r *request, err error) {
	if len(c.pending) == 0 || c.pending[0] != r {
		return // the client is gone
	}
	if err != nil {
		c.w.failed = true
		c.close()
		return
	}
	c.w.busy = false
	c.conn.SetWriteDeadline(time.Time{})
	c.pop()
	c.flush()
}
