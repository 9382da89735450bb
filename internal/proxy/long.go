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
	// longMemoryShare is the part of the memory for long values that are written, beside bufferShare for everything else.
	longMemoryShare = 0.25
	// longPieceBytes is how much of a long value has to come within commandTime. Slower, a client would hold its room for minutes.
	longPieceBytes = 64 << 10
	// maxLongValueWait is how long a long value waits for room before it is refused.
	maxLongValueWait = 10 * time.Second
)

// longValueBudget is what may be held of long values. Who comes first is let in first, so that none waits for ever.
type longValueBudget struct {
	usedBytes int
	waiting   []*budgetReservation
	maxWait   time.Duration // as maxLongValueWait; tests have it longer
}

// budgetReservation waits for room.
type budgetReservation struct {
	bytes   int
	granted chan struct{} // closed once it is let in
	done    bool          // let in, or given up
}

// reserve asks for n bytes.
func (b *longValueBudget) reserve(bytes, maxBytes int) *budgetReservation {
	reservation := &budgetReservation{bytes: bytes, granted: make(chan struct{})}
	b.waiting = append(b.waiting, reservation)
	b.grantWaiting(maxBytes)
	return reservation
}

// grantWaiting lets in those for whom there is room, and one in any case.
func (b *longValueBudget) grantWaiting(maxBytes int) {
	for len(b.waiting) > 0 {
		next := b.waiting[0]
		if b.usedBytes > 0 && b.usedBytes+next.bytes > maxBytes {
			return
		}
		b.waiting = b.waiting[1:]
		b.usedBytes += next.bytes
		next.done = true
		close(next.granted)
	}
}

// release gives up the wait, or the room.
func (b *longValueBudget) release(reservation *budgetReservation) {
	if reservation.done {
		b.usedBytes -= reservation.bytes
		return
	}
	reservation.done = true
	if i := slices.Index(b.waiting, reservation); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
	}
}

// ReserveLongValue asks for room for a value that a member sends, which is held until it is whole.
func (h host) ReserveLongValue(bytes int, until time.Duration) upstream.Reservation {
	return &longValueReservation{budgetReservation: h.long.reserve(bytes, h.maxLongBytes()), proxy: h.Proxy, timeout: until - h.now}
}

// ReserveLongValueWithin asks, outside the lock, for room for a long value that a front holds, for so long at the most.
func (p *Proxy) ReserveLongValueWithin(bytes int, within time.Duration) (reservation upstream.Reservation) {
	return p.reserveLongValue(bytes, within, nil)
}

func (p *Proxy) reserveLongValue(bytes int, within time.Duration, cancelled <-chan struct{}) (reservation *longValueReservation) {
	p.Do(func() {
		reservation = &longValueReservation{budgetReservation: p.long.reserve(bytes, p.maxLongBytes()), proxy: p, timeout: within, cancelled: cancelled}
	})
	return reservation
}

// SetReservedBytes says, before the request is taken, that its value is in the room for long values, with so many bytes. From then on they are given
// back with the request.
func (r *Request) SetReservedBytes(bytes int) { r.long = bytes }

// longValueReservation is a place in the room that is waited for without the lock, for so long at the most.
type longValueReservation struct {
	*budgetReservation
	proxy     *Proxy
	timeout   time.Duration
	cancelled <-chan struct{} // closed once nobody wants it any more; nil: that is not told
}

// Wait waits for the room.
func (r *longValueReservation) Wait() (granted bool) {
	timer := time.NewTimer(r.timeout)
	defer timer.Stop()
	select {
	case <-r.granted:
	case <-timer.C:
	case <-r.cancelled:
	}
	r.proxy.Do(func() {
		if granted = r.done; !granted {
			r.ReleaseLocked()
		}
	})
	return granted
}

// Shrink gives back what the value does not take.
func (r *longValueReservation) Shrink(bytes int) {
	r.proxy.Do(func() { r.proxy.long.usedBytes -= r.bytes - bytes; r.bytes = bytes })
}

// Release gives the room back.
func (r *longValueReservation) Release() { r.proxy.Do(r.ReleaseLocked) }

// ReleaseLocked is Leave under the lock.
func (r *longValueReservation) ReleaseLocked() { r.proxy.long.release(r.budgetReservation) }

func (p *Proxy) maxLongBytes() int { return int(float64(p.cfg.MemoryMB) * (1 << 20) * longMemoryShare) }

// releaseValue gives back the room of a request's value.
func (p *Proxy) releaseValue(r *Request) {
	if r.long > 0 {
		p.long.usedBytes -= r.long
	} else {
		p.held -= cap(r.Value)
	}
	r.long, r.Value = 0, nil
}

// readLongValue reads a long value of a client, once there is room for it.
func (c *client) readLongValue(cmd *input, length int) error {
	p := c.p
	gone := make(chan struct{})
	p.Do(func() { c.waits = gone })
	reservation := p.reserveLongValue(length, cmp.Or(p.long.maxWait, maxLongValueWait), gone)
	granted := reservation.Wait()
	c.arrived.NoteUnreadPossible()
	p.Do(func() { c.waits = nil })
	if !granted { // it is read over, and refused
		*cmd = input{refused: true}
		c.limit()
		return c.in.Skip(length)
	}
	value := make([]byte, length)
	err := c.readPieces(value)
	if err == nil {
		err = c.in.LineEnd()
	}
	if err != nil {
		reservation.Release()
		return err
	}
	cmd.Value, cmd.long = value, length
	return nil
}

// readPieces reads a long value, which has to keep a least pace.
func (c *client) readPieces(value []byte) error {
	for len(value) > 0 {
		piece := value[:min(len(value), longPieceBytes)]
		c.limit()
		if _, err := io.ReadFull(c.in, piece); err != nil {
			return err
		}
		value = value[len(piece):]
	}
	c.limit()
	return nil
}

// errClientGone tells that a client takes nothing any more.
var errClientGone = errors.New("the client has gone")

var _ upstream.ValueStream = (*owed)(nil)

// Begin begins the answer.
func (o *owed) Begin(n int) error { return o.writeInTurn(resp.AppendBulkHead(nil, n), false) }

// WritePiece writes a piece.
func (o *owed) WritePiece(piece []byte) error { return o.writeInTurn(piece, false) }

// Finish ends the answer.
func (o *owed) Finish() error { return o.writeInTurn([]byte("\r\n"), true) }

// Abort closes the connection.
func (o *owed) Abort() { o.client.p.Do(o.client.close) }

// writeInTurn sends bytes of an answer once its turn has come and the client has taken what was sent before.
func (o *owed) writeInTurn(b []byte, last bool) error {
	c := o.client
	p := c.p
	for {
		p.enter()
		if c.closed || c.w.Failed() || !slices.Contains(c.pending, o) {
			p.leave()
			return errClientGone
		}
		if c.pending[0] == o && !c.w.Busy() {
			c.w.Send(b, false)
			if last {
				c.pop()
				c.flush()
			}
			p.leave()
			return nil
		}
		turn := make(chan struct{})
		o.turn = turn
		p.leave()
		<-turn
	}
}

// signalTurn lets the answer go on whose turn it is.
func (o *owed) signalTurn() {
	if o.turn != nil {
		close(o.turn)
		o.turn = nil
	}
}
