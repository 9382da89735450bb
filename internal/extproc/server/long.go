package server

import (
	"errors"
	"time"

	"linenloom/internal/proxy"
	"linenloom/internal/reasons"
	"linenloom/internal/upstream"
)

// Long values in answer mode: an answer is one message, so a value is held completely until the caller has
// it, in the memory that the host reserves for long values. A body in several messages is read only after
// memory for all of it has been reserved. A body in one message would be in memory before it could be
// refused, so it is limited to maxBodyBytes.

// bufferedValue is a call whose exchange this process makes.
type bufferedValue struct{ *call }

var _ upstream.ValueStream = bufferedValue{}

var (
	errNoCapacity = errors.New("no capacity for a long value in time")
	errCallEnded  = errors.New("the call for the value has ended")
)

// Begin waits for a reservation.
func (w bufferedValue) Begin(size int) (err error) {
	var timeLeft time.Duration
	w.front.host.Do(func() {
		if s := w.stream; s != nil && !w.settled {
			timeLeft = time.Until(s.deadline)
		}
	})
	reservation := w.front.host.ReserveLongValueWithin(size, timeLeft)
	if !reservation.Wait() {
		w.setAnswer(proxy.Answer{Kind: proxy.Refused, Reason: reasons.HostFull})
		return errNoCapacity
	}
	w.front.host.Do(func() {
		if w.settled {
			reservation.ReleaseLocked()
			err = errCallEnded
			return
		}
		w.reservation, w.partialValue = reservation, make([]byte, 0, size)
	})
	return err
}

// WritePiece appends a piece.
func (w bufferedValue) WritePiece(piece []byte) (err error) {
	w.front.host.Do(func() {
		if w.settled || w.partialValue == nil {
			w.releasePartial()
			err = errCallEnded
			return
		}
		w.partialValue = append(w.partialValue, piece...)
	})
	return err
}

// Finish makes the value the final answer.
func (w bufferedValue) Finish() error {
	w.front.host.Do(func() {
		if w.settled || w.partialValue == nil {
			w.releasePartial()
			return
		}
		w.finalAnswer = &proxy.Answer{Kind: proxy.Served, Value: w.partialValue}
		w.partialValue = nil
		w.notify()
	})
	return nil
}

// Abort fails the call. Nothing of the value has been sent to the caller.
func (w bufferedValue) Abort() {
	w.front.host.Do(w.releasePartial)
	w.setAnswer(proxy.Answer{Kind: proxy.Failed})
}

func (w bufferedValue) setAnswer(a proxy.Answer) {
	w.front.host.Do(func() {
		if !w.settled {
			w.finalAnswer = &a
			w.notify()
		}
	})
}

// releasePartial releases an incomplete value. The host's lock must be held.
func (w bufferedValue) releasePartial() {
	if w.partialValue != nil {
		w.partialValue = nil
		w.reservation.ReleaseLocked()
		w.reservation = nil
	}
}

// appendLongBody appends a piece of a body over maxBodyBytes, after reserving memory for all of it.
func (s *stream) appendLongBody(piece []byte) (ok bool) {
	if s.reservation == nil {
		size := maxLongBodyBytes
		if s.head.contentLength > 0 {
			size = min(size, s.head.contentLength)
		}
		reservation := s.front.host.ReserveLongValueWithin(size, time.Until(s.deadline))
		if !reservation.Wait() {
			return false
		}
		value := append(make([]byte, 0, size), s.body...)
		s.front.host.Do(func() {
			s.front.host.AddBuffered(-cap(s.body)) // the reservation covers it now
			s.body, s.reservation = value, reservation
		})
	}
	if len(s.body)+len(piece) > cap(s.body) { // the reserved size
		return false // longer than its content-length
	}
	s.body = append(s.body, piece...)
	return true
}
