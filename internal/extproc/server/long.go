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
// before anybody could say so, and stays within maxBody.

// whole is a call whose exchange is made here.
type whole struct{ *call }

var _ upstream.ValueStream = whole{}

var (
	errNoRoom   = errors.New("no room for a long value in time")
	errUnwanted = errors.New("nobody waits for the value")
)

// Begin waits for room.
func (w whole) Begin(n int) (err error) {
	var left time.Duration
	w.f.p.Do(func() {
		if s := w.stream; s != nil && !w.settled {
			left = time.Until(s.deadline)
		}
	})
	place := w.f.p.LongRoom(n, left)
	if !place.Wait() {
		w.conclude(proxy.Answer{Kind: proxy.Refused, Reason: reasons.HostFull})
		return errNoRoom
	}
	w.f.p.Do(func() {
		if w.settled {
			place.ReleaseLocked()
			err = errUnwanted
			return
		}
		w.place, w.value = place, make([]byte, 0, n)
	})
	return err
}

// WritePiece takes a piece.
func (w whole) WritePiece(piece []byte) (err error) {
	w.f.p.Do(func() {
		if w.settled || w.value == nil {
			w.release()
			err = errUnwanted
			return
		}
		w.value = append(w.value, piece...)
	})
	return err
}

// Finish makes the value the answer.
func (w whole) Finish() error {
	w.f.p.Do(func() {
		if w.settled || w.value == nil {
			w.release()
			return
		}
		w.final = &proxy.Answer{Kind: proxy.Served, Value: w.value}
		w.value = nil
		w.notify()
	})
	return nil
}

// Abort fails the call: its caller has been told nothing yet.
func (w whole) Abort() {
	w.f.p.Do(w.release)
	w.conclude(proxy.Answer{Kind: proxy.Failed})
}

func (w whole) conclude(a proxy.Answer) {
	w.f.p.Do(func() {
		if !w.settled {
			w.final = &a
			w.notify()
		}
	})
}

// release lets go of a value that is not whole, under the lock.
func (w whole) release() {
	if w.value != nil {
		w.value = nil
		w.place.ReleaseLocked()
		w.place = nil
	}
}

// longBody takes a piece of a body that is over maxBody, once there is room for all of it.
func (s *stream) longBody(piece []byte) (room bool) {
	if s.place == nil {
		n := maxLong
		if s.head.length > 0 {
			n = min(n, s.head.length)
		}
		place := s.f.p.LongRoom(n, time.Until(s.deadline))
		if !place.Wait() {
			return false
		}
		value := append(make([]byte, 0, n), s.body...)
		s.f.p.Do(func() {
			s.f.p.Hold(-cap(s.body)) // it is in the room now
			s.body, s.place = value, place
		})
	}
	if len(s.body)+len(piece) > cap(s.body) { // what there is room for
		return false // more than it said
	}
	s.body = append(s.body, piece...)
	return true
}
