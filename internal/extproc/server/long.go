package server

import (
	"errors"
	"time"

	"linenloom/internal/proxy"
	"linenloom/internal/reasons"
	"linenloom/internal/upstream"
)

// Long values, in mode answer: an answer is one message, so a value is held whole, in the room that the host has for long values, until
// the caller has it. A body comes in pieces, and is not read on before there is room for all of it; in one message it would be in memory
// before anybody could say so, and stays within maxBodyBytes.

// bufferedValue is a call whose exchange is made here.
type bufferedValue struct{ *call }

var _ upstream.ValueStream = bufferedValue{}

var (
	errNoCapacity = errors.New("no room for a long value in time")
	errCallEnded  = errors.New("nobody waits for the value")
)

// Begin waits for room.
func (w bufferedValue) Begin(n int) (err error) {
	var left time.Duration
	w.front.host.Do(func() {
		if s := w.stream; s != nil && !w.settled {
			left = time.Until(s.deadline)
		}
	})
	place := w.front.host.LongRoom(n, left)
	if !place.Wait() {
		w.setAnswer(proxy.Answer{Kind: proxy.Refused, Why: reasons.HostFull})
		return errNoCapacity
	}
	w.front.host.Do(func() {
		if w.settled {
			place.ReleaseLocked()
			err = errCallEnded
			return
		}
		w.reservation, w.partialValue = place, make([]byte, 0, n)
	})
	return err
}

// WritePiece takes a piece.
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

// Finish makes the value the answer.
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

// Abort fails the call: its caller has been told nothing yet.
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

// releasePartial lets go of a value that is not whole, under the lock.
func (w bufferedValue) releasePartial() {
	if w.partialValue != nil {
		w.partialValue = nil
		w.reservation.ReleaseLocked()
		w.reservation = nil
	}
}

// appendLongBody takes a piece of a body that is over maxBodyBytes, once there is room for all of it.
func (s *stream) appendLongBody(piece []byte) (room bool) {
	if s.reservation == nil {
		n := maxLongBodyBytes
		if s.head.contentLength > 0 {
			n = min(n, s.head.contentLength)
		}
		place := s.front.host.LongRoom(n, time.Until(s.deadline))
		if !place.Wait() {
			return false
		}
		value := append(make([]byte, 0, n), s.body...)
		s.front.host.Do(func() {
			s.front.host.Hold(-cap(s.body)) // it is in the room now
			s.body, s.reservation = value, place
		})
	}
	if len(s.body)+len(piece) > cap(s.body) { // what there is room for
		return false // more than it said
	}
	s.body = append(s.body, piece...)
	return true
}
