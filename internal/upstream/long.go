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

// aloneFor is for how long no read is written behind others after a long value was seen: it would wait for all of one.
const aloneFor = 10 * time.Second

// longPiece is how much is held of a long value on its way through.
const longPiece = 32 << 10

// passes begins to pass on a long value: the request is served, and bound to this exchange.
func (u *Conn) passes(n int) (Passer, *Exchange, error) {
	h := u.s.host
	h.Enter()
	defer h.Leave()
	u.s.Apart(aloneFor)
	x := u.Current
	if x == nil || x.Ended {
		return nil, nil, net.ErrClosed
	}
	to := x.By.Pass(n)
	if to == nil {
		return nil, nil, net.ErrClosed
	}
	x.firstAt = h.Now()
	return to, x, nil
}

// pass passes on n bytes of in as the value of the exchange in front; end, if not nil, reads what follows them before they count as whole.
func (u *Conn) pass(in io.Reader, n int, end func() error) (*Exchange, error) {
	to, x, err := u.passes(n)
	if err != nil {
		return nil, err
	}
	if place := u.apart(n); place != nil {
		return x, u.passApart(place, to, in, n, end)
	}
	u.slow = true
	defer func() { u.slow = false }()
	if err := to.Begin(n); err != nil {
		return nil, u.unwanted(x)
	}
	buf := u.s.buffers.Get().(*[]byte)
	defer u.s.buffers.Put(buf)
	*buf = slices.Grow((*buf)[:0], longPiece)
	for piece := (*buf)[:longPiece]; n > 0; {
		m, err := in.Read(piece[:min(n, len(piece))])
		if m > 0 && to.Pass(piece[:m]) != nil {
			return nil, u.unwanted(x)
		}
		if n -= m; err != nil && n > 0 {
			to.Cut()
			return nil, fmt.Errorf("%w: %w", errCut, err)
		}
	}
	if end != nil {
		if err := end(); err != nil {
			to.Cut()
			return nil, err
		}
	}
	if to.Finish() != nil {
		return nil, u.unwanted(x)
	}
	return x, nil
}

// apart has room for all of a value that others stand behind on the connection, if there is any at once. Nothing is written behind others
// once a long value has been seen lately, but those that were written before the first must not wait for its client.
func (u *Conn) apart(n int) (place Place) {
	u.s.host.Do(func() {
		if len(u.Behind) > 0 {
			place = u.s.host.LongRoom(n, u.s.host.Now())
		}
	})
	if place != nil && !place.Wait() {
		return nil
	}
	return place
}

// passApart reads a value at the member's pace and passes it on at the client's, in a goroutine that ends when the client has it, or takes
// nothing any more.
func (u *Conn) passApart(place Place, to Passer, in io.Reader, n int, end func() error) error {
	u.slow = true
	defer func() { u.slow = false }()
	pieces := make(chan []byte, n/longPiece+1) // room for all of them: what is read never waits here
	cut := false                               // set before pieces is closed
	go func() {
		defer place.Leave()
		err := to.Begin(n)
		for piece := range pieces {
			if err == nil {
				err = to.Pass(piece)
			}
		}
		switch {
		case err != nil:
		case cut:
			to.Cut()
		default:
			to.Finish()
		}
	}()
	var err error
	for left := n; left > 0 && err == nil; left -= longPiece {
		piece := make([]byte, min(left, longPiece))
		if _, err = io.ReadFull(in, piece); err != nil {
			err = fmt.Errorf("%w: %w", errCut, err)
		} else {
			pieces <- piece
		}
	}
	if err == nil && end != nil {
		err = end()
	}
	cut = err != nil
	close(pieces)
	return err
}

// passed ends an exchange whose member has done its part.
func (u *Conn) passed(x *Exchange, note int) {
	u.s.host.Do(func() { x.ended(logic.StatusOK, note) })
}

// unwanted ends an exchange whose client has gone in the middle of the value.
func (u *Conn) unwanted(x *Exchange) error {
	u.passed(x, 0)
	return net.ErrClosed
}

// passRESP passes on a long value of a cache.
func (u *Conn) passRESP(in *resp.Reader, n int) error {
	x, err := u.pass(in, n, in.End)
	if err != nil {
		return err
	}
	word, err := readWord(in)
	note := 0
	if err == nil {
		note = noteOf(word)
		_, err = readWord(in)
	}
	// The value is whole; what is wrong behind it ends the connection only.
	u.passed(x, note)
	return err
}

// passHTTP passes on a long value of an origin.
func (u *Conn) passHTTP(answer *http.Response, limit *capped, n int) error {
	limit.left += n
	x, err := u.pass(answer.Body, n, nil)
	if err != nil {
		return err
	}
	u.passed(x, 0)
	return endOf(answer)
}

// untoldHead is how many bytes the framing of a long value in chunks may take beside it.
const untoldHead = 256 << 10

// passUntold passes on a long value of an origin that does not tell its length, of which body has come. RESP2 wants the length first, so it
// is held until it is whole, in the room for long values.
func (u *Conn) passUntold(answer *http.Response, body []byte, limit *capped) (err error) {
	h := u.s.host
	var place Place
	h.Do(func() {
		if x := u.Current; x != nil && !x.Ended {
			place = h.LongRoom(resp.MaxLong, x.Until)
		}
	})
	if place == nil || !place.Wait() {
		return net.ErrClosed // its time is over, and so is the exchange
	}
	defer place.Leave()
	limit.left += resp.MaxLong + untoldHead
	pieces, n := [][]byte{body}, len(body)
	for err == nil {
		piece, filled := make([]byte, longPiece), 0
		for filled < len(piece) && err == nil {
			var m int
			m, err = answer.Body.Read(piece[filled:])
			filled += m
		}
		if n += filled; n > resp.MaxLong {
			return resp.ErrProtocol
		}
		pieces = append(pieces, piece[:filled])
	}
	if err != io.EOF {
		return fmt.Errorf("%w: %w", errCut, err)
	}
	place.Shrink(n)
	to, x, err := u.passes(n)
	if err != nil {
		return err
	}
	err = to.Begin(n)
	for _, piece := range pieces {
		if err == nil {
			err = to.Pass(piece)
		}
	}
	if err != nil || to.Finish() != nil {
		return u.unwanted(x)
	}
	u.passed(x, 0)
	return endOf(answer)
}
