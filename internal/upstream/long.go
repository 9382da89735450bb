package upstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"linenloom/internal/resp"
	"linenloom/logic"
)

// pipeliningPause is how long no read is pipelined after a long value: the read would wait for the whole
// of such a value.
const pipeliningPause = 10 * time.Second

// longPieceSize is how many bytes of a long value are buffered while it is streamed.
const longPieceSize = 32 << 10

// beginStreaming begins to stream a long value: the request is served, by this exchange.
func (c *Conn) beginStreaming(n int) (ValueStream, *Exchange, error) {
	host := c.set.host
	host.Enter()
	defer host.Leave()
	c.set.SuspendPipelining(pipeliningPause)
	x := c.Current
	if x == nil || x.Ended {
		return nil, nil, net.ErrClosed
	}
	stream := x.Client.StreamValue(n)
	if stream == nil {
		return nil, nil, net.ErrClosed
	}
	x.streamingSince = host.Now()
	return stream, x, nil
}

// streamValue streams n bytes of in as the value of the current exchange; end, if not nil, reads what
// follows them before they count as complete.
func (c *Conn) streamValue(in io.Reader, n int, end func() error) (*Exchange, error) {
	stream, exchange, err := c.beginStreaming(n)
	if err != nil {
		return nil, err
	}
	if reservation := c.reserveForPipelined(n); reservation != nil {
		return exchange, c.streamBuffered(reservation, stream, in, n, end)
	}
	c.readingLongValue = true
	defer func() { c.readingLongValue = false }()
	if err := stream.Begin(n); err != nil {
		return nil, c.clientGone(exchange)
	}
	buf := c.set.buffers.Get().(*[]byte)
	defer c.set.buffers.Put(buf)
	*buf = slices.Grow((*buf)[:0], longPieceSize)
	for piece := (*buf)[:longPieceSize]; n > 0; {
		read, err := in.Read(piece[:min(n, len(piece))])
		if read > 0 && stream.WritePiece(piece[:read]) != nil {
			return nil, c.clientGone(exchange)
		}
		if n -= read; err != nil && n > 0 {
			stream.Abort()
			return nil, fmt.Errorf("%w: %w", errTruncated, err)
		}
	}
	if end != nil {
		if err := end(); err != nil {
			stream.Abort()
			return nil, err
		}
	}
	if stream.Finish() != nil {
		return nil, c.clientGone(exchange)
	}
	return exchange, nil
}

// reserveForPipelined reserves memory for a whole value behind which other requests are pipelined, if it
// is available immediately. Nothing is pipelined for a while after a long value, but the requests that
// were pipelined before the first one must not wait for its client.
func (c *Conn) reserveForPipelined(n int) (reservation Reservation) {
	c.set.host.Do(func() {
		if len(c.Pipelined) > 0 {
			reservation = c.set.host.ReserveLongValue(n, c.set.host.Now())
		}
	})
	if reservation != nil && !reservation.Wait() {
		return nil
	}
	return reservation
}

// streamBuffered reads a value at the member's pace and streams it at the client's, in a goroutine that
// ends when the client has received the value, or stops receiving.
func (c *Conn) streamBuffered(reservation Reservation, stream ValueStream, in io.Reader, n int, end func() error) error {
	c.readingLongValue = true
	defer func() { c.readingLongValue = false }()
	pieces := make(chan []byte, n/longPieceSize+1) // capacity for all of them: reading never blocks here
	truncated := false                             // set before pieces is closed
	go func() {
		defer reservation.Release()
		err := stream.Begin(n)
		for piece := range pieces {
			if err == nil {
				err = stream.WritePiece(piece)
			}
		}
		switch {
		case err != nil:
		case truncated:
			stream.Abort()
		default:
			stream.Finish()
		}
	}()
	var err error
	for left := n; left > 0 && err == nil; left -= longPieceSize {
		piece := make([]byte, min(left, longPieceSize))
		if _, err = io.ReadFull(in, piece); err != nil {
			err = fmt.Errorf("%w: %w", errTruncated, err)
		} else {
			pieces <- piece
		}
	}
	if err == nil && end != nil {
		err = end()
	}
	truncated = err != nil
	close(pieces)
	return err
}

// completeStreamed completes an exchange whose member has sent the whole value.
func (c *Conn) completeStreamed(x *Exchange, note int) {
	c.set.host.Do(func() { x.complete(logic.StatusOK, note) })
}

// clientGone completes an exchange whose client has gone during the value.
func (c *Conn) clientGone(x *Exchange) error {
	c.completeStreamed(x, 0)
	return net.ErrClosed
}

// streamRESP streams a long value of a cache.
func (c *Conn) streamRESP(in *resp.Reader, n int) error {
	note := 0
	readEnd := in.LineEnd
	if c.fenced() {
		readEnd = func() (err error) {
			note, err = c.readFencedEnd(in)
			return err
		}
	}
	fenced := c.fenced()
	x, err := c.streamValue(in, n, readEnd)
	if err != nil {
		return err
	}
	if !fenced {
		var word []byte
		if word, err = readWord(in); err == nil {
			note = parseNote(word)
			_, err = readWord(in)
		}
	}
	// The value is complete; an error after it only ends the connection.
	c.completeStreamed(x, note)
	return err
}

// readFencedEnd reads what follows a value, up to the answer to the fence.
func (c *Conn) readFencedEnd(in *resp.Reader) (note int, err error) {
	if err := in.LineEnd(); err != nil {
		return 0, err
	}
	word, err := readWord(in)
	if err != nil {
		return 0, err
	}
	return parseNote(word), c.readReportAndFence(in)
}

// streamHTTP streams a long value of an origin.
func (c *Conn) streamHTTP(answer *http.Response, limit *limitedReader, n int) error {
	limit.remaining += n
	x, err := c.streamValue(answer.Body, n, nil)
	if err != nil {
		return err
	}
	c.completeStreamed(x, 0)
	return closeAfter(answer)
}

// maxChunkOverhead is the maximum number of framing bytes of a chunked long value.
const maxChunkOverhead = 256 << 10

// streamUnknownLength forwards a long value of unknown length from an origin, of which body has been
// received. RESP2 requires the length first, so the value is buffered until it is complete, in the memory
// reserved for long values.
func (c *Conn) streamUnknownLength(answer *http.Response, body []byte, limit *limitedReader) (err error) {
	host := c.set.host
	var reservation Reservation
	host.Do(func() {
		if x := c.Current; x != nil && !x.Ended {
			reservation = host.ReserveLongValue(resp.MaxLongValue, x.ExpiresAt)
		}
	})
	if reservation == nil || !reservation.Wait() {
		return net.ErrClosed // its time is over, and the exchange has ended
	}
	defer reservation.Release()
	limit.remaining += resp.MaxLongValue + maxChunkOverhead
	pieces, n := [][]byte{body}, len(body)
	for err == nil {
		piece, filled := make([]byte, longPieceSize), 0
		for filled < len(piece) && err == nil {
			var read int
			read, err = answer.Body.Read(piece[filled:])
			filled += read
		}
		if n += filled; n > resp.MaxLongValue {
			return resp.ErrProtocol
		}
		pieces = append(pieces, piece[:filled])
	}
	if err != io.EOF {
		return fmt.Errorf("%w: %w", errTruncated, err)
	}
	reservation.Shrink(n)
	stream, x, err := c.beginStreaming(n)
	if err != nil {
		return err
	}
	err = stream.Begin(n)
	for _, piece := range pieces {
		if err == nil {
			err = stream.WritePiece(piece)
		}
	}
	if err != nil || stream.Finish() != nil {
		return c.clientGone(x)
	}
	c.completeStreamed(x, 0)
	return closeAfter(answer)
}
