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

// Values larger than resp.MaxValue are long. A long value that is read is streamed to the client at the
// client's pace as the member sends it, so that only one incoming and one outgoing piece are in memory.
// A long value that is written is held completely, since it may have to be sent again. The memory for
// written long values is limited: a further value is read once there is memory for it, or is refused after
// maxLongValueWait. The wait takes nothing from the client's deadline, which counts from the last byte.
const (
	// longMemoryShare is the share of the memory for long values that are written, in addition to bufferMemoryShare.
	longMemoryShare = 0.25
	// longPieceBytes is how much of a long value has to arrive within commandTimeout. A slower client
	// would hold its memory for minutes.
	longPieceBytes = 64 << 10
	// maxLongValueWait is how long a long value waits for memory before it is refused.
	maxLongValueWait = 10 * time.Second
)

// longValueBudget limits the memory that long values hold. Reservations are granted in the order of
// requests, so that none waits forever.
type longValueBudget struct {
	usedBytes int
	waiting   []*budgetReservation
	maxWait   time.Duration // maxLongValueWait if 0; tests set a longer time
}

// budgetReservation is a reservation of memory that is waiting or granted.
type budgetReservation struct {
	bytes   int
	granted chan struct{} // closed when the reservation is granted
	done    bool          // granted, or cancelled while it was waiting
}

// reserve requests a reservation of memory.
func (b *longValueBudget) reserve(bytes, maxBytes int) *budgetReservation {
	reservation := &budgetReservation{bytes: bytes, granted: make(chan struct{})}
	b.waiting = append(b.waiting, reservation)
	b.grantWaiting(maxBytes)
	return reservation
}

// grantWaiting grants the waiting reservations that fit, in order. If no memory is in use, the first one is granted
// whatever its size.
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

// release cancels a waiting reservation or returns a granted one.
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

// ReserveLongValue requests memory for a value that a member sends and that is held until it is complete.
func (h host) ReserveLongValue(bytes int, until time.Duration) upstream.Reservation {
	return &longValueReservation{budgetReservation: h.longValues.reserve(bytes, h.maxLongBytes()), proxy: h.Proxy, timeout: until - h.now}
}

// ReserveLongValueWithin requests memory for a long value that a front end holds, and waits no longer
// than the given time for it. It is called without the lock.
func (p *Proxy) ReserveLongValueWithin(bytes int, within time.Duration) (reservation upstream.Reservation) {
	return p.reserveLongValue(bytes, within, nil)
}

func (p *Proxy) reserveLongValue(bytes int, within time.Duration, cancelled <-chan struct{}) (reservation *longValueReservation) {
	p.Do(func() {
		reservation = &longValueReservation{budgetReservation: p.longValues.reserve(bytes, p.maxLongBytes()), proxy: p, timeout: within, cancelled: cancelled}
	})
	return reservation
}

// SetReservedBytes states that the request's value is held in that many bytes of reserved memory, which
// are then returned with the request. It is called before the request is submitted.
func (r *Request) SetReservedBytes(bytes int) { r.longBytes = bytes }

// longValueReservation is a budgetReservation that can be waited for without the lock, up to a timeout.
type longValueReservation struct {
	*budgetReservation
	proxy     *Proxy
	timeout   time.Duration
	cancelled <-chan struct{} // closed when the reservation is no longer needed; may be nil
}

// Wait waits for the reservation and reports whether it was granted.
func (r *longValueReservation) Wait() (granted bool) {
	timer := time.NewTimer(r.timeout)
	defer timer.Stop()
	select {
	case <-r.granted:
	case <-timer.C:
	case <-r.cancelled:
	}
	r.proxy.Do(func() { // the reservation is cancelled only below, so done means granted here
		if granted = r.done; !granted {
			r.ReleaseLocked()
		}
	})
	return granted
}

// Shrink returns the memory that the value does not need.
func (r *longValueReservation) Shrink(bytes int) {
	r.proxy.Do(func() { r.proxy.longValues.usedBytes -= r.bytes - bytes; r.bytes = bytes })
}

// Release returns the memory.
func (r *longValueReservation) Release() { r.proxy.Do(r.ReleaseLocked) }

// ReleaseLocked is Release with the lock held.
func (r *longValueReservation) ReleaseLocked() { r.proxy.longValues.release(r.budgetReservation) }

func (p *Proxy) maxLongBytes() int { return int(float64(p.cfg.MemoryMB) * (1 << 20) * longMemoryShare) }

// releaseValue returns the memory of a request's value.
func (p *Proxy) releaseValue(r *Request) {
	if r.longBytes > 0 {
		p.longValues.usedBytes -= r.longBytes
	} else {
		p.bufferedBytes -= cap(r.Value)
	}
	r.longBytes, r.Value = 0, nil
}

// readLongValue reads a long value from a client once there is memory for it.
func (c *client) readLongValue(cmd *parsedCommand, length int) error {
	p := c.proxy
	gone := make(chan struct{})
	p.Do(func() {
		c.valueWait = gone
		c.writeRefusals()
	})
	reservation := p.reserveLongValue(length, cmp.Or(p.longValues.maxWait, maxLongValueWait), gone)
	granted := reservation.Wait()
	c.arrival.NoteUnreadPossible()
	p.Do(func() { c.valueWait = nil })
	if !granted { // the value is skipped and the request refused
		*cmd = parsedCommand{refused: true}
		c.limitCommandTime()
		return c.reader.Skip(length)
	}
	value := make([]byte, length)
	err := c.readPieces(value)
	if err == nil {
		err = c.reader.LineEnd()
	}
	if err != nil {
		reservation.Release()
		return err
	}
	cmd.Value, cmd.longBytes = value, length
	return nil
}

// readPieces reads a long value, each piece of which has to arrive within commandTimeout.
func (c *client) readPieces(value []byte) error {
	for len(value) > 0 {
		piece := value[:min(len(value), longPieceBytes)]
		c.limitCommandTime()
		if _, err := io.ReadFull(c.reader, piece); err != nil {
			return err
		}
		value = value[len(piece):]
	}
	c.limitCommandTime()
	return nil
}

// errClientGone means that a client no longer receives anything.
var errClientGone = errors.New("the client has disconnected")

var _ upstream.ValueStream = (*pendingAnswer)(nil)

// Begin writes the head of the answer.
func (o *pendingAnswer) Begin(n int) error { return o.writeInTurn(resp.AppendBulkHead(nil, n), false) }

// WritePiece writes a piece of the value.
func (o *pendingAnswer) WritePiece(piece []byte) error { return o.writeInTurn(piece, false) }

// Finish ends the answer.
func (o *pendingAnswer) Finish() error { return o.writeInTurn([]byte("\r\n"), true) }

// Abort closes the connection.
func (o *pendingAnswer) Abort() { o.client.proxy.Do(o.client.close) }

// writeInTurn sends bytes of an answer once the answers before it are complete and the client has
// received all earlier bytes.
func (o *pendingAnswer) writeInTurn(b []byte, last bool) error {
	c := o.client
	p := c.proxy
	for {
		p.beginEvent()
		if c.closed || c.sender.Failed() || !slices.Contains(c.pending, o) {
			p.endEvent()
			return errClientGone
		}
		if c.pending[0] == o && !c.sender.Busy() {
			c.sender.Send(b, false)
			if last {
				c.removeAnswered()
				c.flush()
			}
			p.endEvent()
			return nil
		}
		turn := make(chan struct{})
		o.turnReached = turn
		p.endEvent()
		<-turn
	}
}

// signalTurn wakes the answer that waits in writeInTurn.
func (o *pendingAnswer) signalTurn() {
	if o.turnReached != nil {
		close(o.turnReached)
		o.turnReached = nil
	}
}
