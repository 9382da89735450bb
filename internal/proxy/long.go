package proxy

import (
	"cmp"
	"errors"
	"io"
	"slices"
	"time"

	"linenloom/internal/resp"
	"linenloom/internal/upstream"
)

// Values past resp.MaxValue are long. One that is read goes to the client piece by piece as the member gives it, at the
// client's pace: what is held of it is a piece on the way in and one on the way out. One that is written is held whole,
// since it may have to be sent again, but only as many as there is room for: the others are not read until then, which
// costs their clients nothing, as their time counts from the last byte.
const (
	// longShare is the part of the memory for long values that are written, beside bufferShare for everything else.
	longShare = 0.25
	// longStep is how much of a long value has to come within commandTimeout. Slower, a client would hold its room for minutes.
	longStep = 64 << 10
	// longestWait is how long a long value waits for room before it is refused.
	longestWait = 10 * time.Second
)

// room is what may be held of long values. Who comes first is let in first, so that none waits for ever.
type room struct {
	used    int
	waiting []*place
	longest time.Duration // as longestWait; tests have it longer
}

// place waits for room.
type place struct {
	n    int
	let  chan struct{} // closed once it is let in
	done bool          // let in, or given up
}

// enter asks for n bytes.
func (r *room) enter(n, most int) *place {
	w := &place{n: n, let: make(chan struct{})}
	r.waiting = append(r.waiting, w)
	r.grant(most)
	return w
}

// grant lets in those for whom there is room, and one in any case.
func (r *room) grant(most int) {
	for len(r.waiting) > 0 {
		w := r.waiting[0]
		if r.used > 0 && r.used+w.n > most {
			return
		}
		r.waiting = r.waiting[1:]
		r.used += w.n
		w.done = true
		close(w.let)
	}
}

// leave gives up the wait, or the room.
func (r *room) leave(w *place) {
	if w.done {
		r.used -= w.n
		return
	}
	w.done = true
	if i := slices.Index(r.waiting, w); i >= 0 {
		r.waiting = slices.Delete(r.waiting, i, i+1)
	}
}

// ReserveLongValue asks for room for a value that a member sends, which is held until it is whole.
func (h host) ReserveLongValue(n int, until time.Duration) upstream.Reservation {
	return &heldPlace{place: h.long.enter(n, h.longMax()), p: h.Proxy, left: until - h.now}
}

// LongRoom asks, outside the lock, for room for a long value that a front holds, for so long at the most.
func (p *Proxy) LongRoom(n int, within time.Duration) (place upstream.Reservation) {
	return p.longRoom(n, within, nil)
}

func (p *Proxy) longRoom(n int, within time.Duration, gone <-chan struct{}) (w *heldPlace) {
	p.Do(func() { w = &heldPlace{place: p.long.enter(n, p.longMax()), p: p, left: within, gone: gone} })
	return w
}

// InRoom says, before the request is taken, that its value is in the room for long values, with so many bytes. From then on they are given
// back with the request.
func (r *Request) InRoom(n int) { r.longBytes = n }

// heldPlace is a place in the room that is waited for without the lock, for so long at the most.
type heldPlace struct {
	*place
	p    *Proxy
	left time.Duration
	gone <-chan struct{} // closed once nobody wants it any more; nil: that is not told
}

// Wait waits for the room.
func (w *heldPlace) Wait() (let bool) {
	late := time.NewTimer(w.left)
	defer late.Stop()
	select {
	case <-w.let:
	case <-late.C:
	case <-w.gone:
	}
	w.p.Do(func() {
		if let = w.done; !let {
			w.ReleaseLocked()
		}
	})
	return let
}

// Shrink gives back what the value does not take.
func (w *heldPlace) Shrink(n int) {
	w.p.Do(func() { w.p.long.used -= w.n - n; w.n = n })
}

// Release gives the room back.
func (w *heldPlace) Release() { w.p.Do(w.ReleaseLocked) }

// ReleaseLocked is Leave under the lock.
func (w *heldPlace) ReleaseLocked() { w.p.long.leave(w.place) }

func (p *Proxy) longMax() int { return int(float64(p.cfg.MemoryMB) * (1 << 20) * longShare) }

// letGo gives back the room of a request's value.
func (p *Proxy) letGo(r *Request) {
	if r.longBytes > 0 {
		p.long.used -= r.longBytes
	} else {
		p.held -= cap(r.Value)
	}
	r.longBytes, r.Value = 0, nil
}

// longValue reads a long value of a client, once there is room for it.
func (c *client) longValue(cmd *parsedCommand, n int) error {
	p := c.proxy
	gone := make(chan struct{})
	p.Do(func() { c.valueWait = gone })
	w := p.longRoom(n, cmp.Or(p.long.longest, longestWait), gone)
	let := w.Wait()
	c.arrival.NoteUnreadPossible()
	p.Do(func() { c.valueWait = nil })
	if !let { // it is read over, and refused
		*cmd = parsedCommand{refused: true}
		c.limitCommandTime()
		return c.reader.Skip(n)
	}
	value := make([]byte, n)
	err := c.pieces(value)
	if err == nil {
		err = c.reader.LineEnd()
	}
	if err != nil {
		w.Release()
		return err
	}
	cmd.Value, cmd.longBytes = value, n
	return nil
}

// pieces reads a long value, which has to keep a least pace.
func (c *client) pieces(value []byte) error {
	for len(value) > 0 {
		piece := value[:min(len(value), longStep)]
		c.limitCommandTime()
		if _, err := io.ReadFull(c.reader, piece); err != nil {
			return err
		}
		value = value[len(piece):]
	}
	c.limitCommandTime()
	return nil
}

// errGone tells that a client takes nothing any more.
var errGone = errors.New("the client has gone")

var _ upstream.ValueStream = (*pendingAnswer)(nil)

// Begin begins the answer.
func (o *pendingAnswer) Begin(n int) error { return o.write(resp.AppendBulkHead(nil, n), false) }

// WritePiece writes a piece.
func (o *pendingAnswer) WritePiece(piece []byte) error { return o.write(piece, false) }

// Finish ends the answer.
func (o *pendingAnswer) Finish() error { return o.write([]byte("\r\n"), true) }

// Abort closes the connection.
func (o *pendingAnswer) Abort() { o.client.proxy.Do(o.client.close) }

// write sends bytes of an answer once its turn has come and the client has taken what was sent before.
func (o *pendingAnswer) write(b []byte, last bool) error {
	c := o.client
	p := c.proxy
	for {
		p.enter()
		if c.closed || c.sender.Failed() || !slices.Contains(c.pending, o) {
			p.leave()
			return errGone
		}
		if c.pending[0] == o && !c.sender.Busy() {
			c.sender.Send(b, false)
			if last {
				c.removeAnswered()
				c.flush()
			}
			p.leave()
			return nil
		}
		turn := make(chan struct{})
		o.turnReached = turn
		p.leave()
		<-turn
	}
}

// wakeTurn lets the answer go on whose turn it is.
func (o *pendingAnswer) wakeTurn() {
	if o.turnReached != nil {
		close(o.turnReached)
		o.turnReached = nil
	}
}
