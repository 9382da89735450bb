package proxy

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"linenloom/internal/identity"
	"linenloom/internal/orders"
	"linenloom/internal/reasons"
	"linenloom/internal/upstream"
	"linenloom/logic"
)

// Record keeps orders on record (docs/orders.md). Its calls return at once; done is called later, without the lock, once the disk has it.
type Record interface {
	Take(o orders.Order, done func(orders.Verdict, []byte, error))
	Send(n orders.Name, to string, returned bool, done func(error))
	End(n orders.Name, s orders.State, receipt []byte, by string, returned bool, done func(error))
	Close() error
}

// Records tells whether orders are kept on record.
func (p *Proxy) Records() bool { return p.cfg.Record != nil }

// recordSlow is about when an order that could not be recorded may come again.
const recordSlow = time.Second

// The phases of a recorded order here.
const (
	taking  = iota // the record is asked
	inHand         // the Balancer has it
	ending         // its end is on its way to the disk
	settled        // nothing more is to be recorded
)

// recorded is what the host keeps of an order that is on record. All of it is under the host's lock.
type recorded struct {
	name  orders.Name
	lr    logic.Request // as the Balancer is told of it, once it is taken
	phase int
	// What the record says, or will be told with the next change.
	sent     bool // it may have run
	returned bool // it was sent, and has surely not run
	ok       bool // it has run, and was answered
	by       string
	receipt  []byte
	owes     bool     // its client gets the receipt once the disk has it
	busy     bool     // a change is out; the record takes one at a time of an order
	waiting  []func() // changes, at most one for an attempt and one for the end
}

// change has f change the record, once the change before is there.
func (c *recorded) change(f func()) {
	if c.busy {
		c.waiting = append(c.waiting, f)
		return
	}
	c.busy = true
	f()
}

func (c *recorded) changed() {
	if c.busy = len(c.waiting) > 0; c.busy {
		f := c.waiting[0]
		c.waiting = c.waiting[1:]
		f()
	}
}

// back tells the record, with the change that is to come, that the order is back unrun.
func (c *recorded) back() (returned bool) {
	returned = c.sent && c.returned
	if returned {
		c.sent, c.returned = false, false
	}
	return returned
}

// record has an order put on record before the Balancer sees it.
func (p *Proxy) record(r *Request, lr logic.Request) {
	o := orders.Order{Name: orders.Name{Key: string(r.ReqID)}, Digest: r.digest()}
	for name, value := range upstream.Attributes(r.Attrs) {
		switch name {
		case "t":
			o.Tenant = string(value)
		case "k":
			// A request's id is new with every try, and a repeat can't be known by it.
			o.Key, o.Retry = string(value), lr.Retry
		}
	}
	o.Retry = o.Retry || r.Retry
	if r.Proof != nil {
		o.Tenant = r.Proof.Tenant
		if r.Proof.ID != "" {
			o.Token, o.TokenExpiry = r.Proof.ID, time.Duration(r.Proof.Until.UnixNano())
		}
	}
	r.orderRecord = &recorded{name: o.Name, lr: lr}
	p.recorded++
	p.timers.pushToken(p.now, max(p.now, r.deadline-p.answerSlack()), uint64(r.id)<<3|tickJoin)
	p.cfg.Record.Take(o, func(v orders.Verdict, receipt []byte, err error) {
		p.Do(func() { p.taken(r, v, receipt, err) })
	})
}

// digest tells what an order asks for from what another one of its name does.
func (r *Request) digest() (d [sha256.Size]byte) {
	h := sha256.New()
	for _, part := range [...][]byte{r.Key, r.Value} {
		h.Write(binary.LittleEndian.AppendUint32(nil, uint32(len(part))))
		h.Write(part)
	}
	h.Sum(d[:0])
	return d
}

// taken goes on with what the record says of an order that has come.
func (p *Proxy) taken(r *Request, v orders.Verdict, receipt []byte, err error) {
	c := r.orderRecord
	if err != nil || v != orders.Proceed {
		p.unrecord(c)
	} else {
		c.phase = inHand
	}
	switch {
	case r.done: // its time is over, or its client has left
		if c.phase == inHand {
			p.finish(r)
		}
	case err != nil:
		p.conclude(r.id, Answer{Kind: Refused, RetryAfter: p.recordAgain(), Reason: whyOf(err)})
	case v == orders.Proceed:
		p.bal.Request(p.now, c.lr)
	case v == orders.RecordFull:
		p.conclude(r.id, Answer{Kind: Refused, RetryAfter: p.recordAgain(), Reason: reasons.RecordFull})
	case v == orders.TokenUsed:
		r.denied = &identity.Error{Why: identity.Replayed}
		p.conclude(r.id, Answer{Kind: Failed, Reason: logic.Rejected})
	case v == orders.Receipt && slices.Contains(p.cfg.Receipts, r.Front):
		r.done = true
		r.Responder.Answer(Answer{Kind: Served, Value: receipt})
		p.settle(r)
	default:
		p.conclude(r.id, Answer{Kind: Failed, Reason: map[orders.Verdict]logic.Reason{
			orders.InProgress: reasons.OrderInHand, orders.Mismatch: reasons.OtherOrder, orders.OutcomeUnknown: reasons.OrderUnknown,
			orders.Receipt: reasons.OrderHasRun, orders.ReceiptMissing: reasons.OrderHasRun,
		}[v]})
	}
}

// recordAgain is when an order that could not be recorded may come again, as far as the settings let clients be told: not all at one time.
func (p *Proxy) recordAgain() time.Duration {
	if s := &p.cfg.Settings; s.CanRetryAfter {
		return min(recordSlow/2+rand.N(recordSlow), s.MaxRetryAfter*2/3)
	}
	return 0
}

func whyOf(err error) logic.Reason {
	if errors.Is(err, orders.ErrOverloaded) {
		return reasons.RecordBehind
	}
	return reasons.RecordFault
}

// unrecord notes that nothing more of an order is to be recorded. A process that stops gives the record to the next one then.
func (p *Proxy) unrecord(c *recorded) {
	c.phase = settled
	p.recorded--
	p.closeRecord()
}

// closeRecord closes the record once the proxy takes nothing more and no order is in hand.
func (p *Proxy) closeRecord() {
	if p.cfg.Record == nil || !p.stopping || p.recorded > 0 || p.recordClosed {
		return
	}
	p.recordClosed = true
	go func() {
		if err := p.cfg.Record.Close(); err != nil {
			p.log.Error("the record of orders", "err", err)
		}
	}()
}

// sendRecorded sends an attempt of an order once the record says that it may have run.
func (p *Proxy) sendRecorded(r *Request, a *attempt, m *member) {
	c := r.orderRecord
	a.recording = true
	_, a.carried = r.Responder.(ExternalSender)
	p.schedule(due{Timer: upstream.Timer{At: a.ExpiresAt}, attempt: a})
	to := m.Addr
	c.change(func() {
		if a.Ended { // it waited for the change before, and is over
			c.changed()
			return
		}
		p.cfg.Record.Send(c.name, to, c.back(), func(err error) {
			p.Do(func() { p.onRecord(r, a, err) })
		})
	})
}

// onRecord sends an attempt that is on record. Meanwhile its time may be over, its member draining, or its proof taken away.
func (p *Proxy) onRecord(r *Request, a *attempt, err error) {
	c := r.orderRecord
	a.recording = false
	c.sent, c.returned = err == nil, err == nil
	m := p.members[a.to]
	switch {
	case a.Ended:
	case err != nil: // it can't be sent, here or to anybody else
		p.log.Warn("an order can't be recorded, and is refused", "err", err)
		p.end(a, logic.StatusMoot, 0)
		if !r.done {
			p.conclude(r.id, Answer{Kind: Refused, RetryAfter: p.recordAgain(), Reason: whyOf(err)})
			p.bal.RequestCancelled(p.now, r.id)
		}
	case r.done || a.ExpiresAt-p.now < upstream.MinDeadline:
		p.end(a, logic.StatusMoot, 0)
	case m == nil || m.state != logic.Ready:
		p.end(a, logic.StatusConnectFailed, 0)
	case !p.checkProof(r):
		p.end(a, logic.StatusRejected, 0)
	default:
		c.returned = false
		a.sentAt = p.now
		p.launch(r, a, m)
	}
	c.changed()
}

// attemptEnded takes in how an attempt of a recorded order has ended.
func (c *recorded) attemptEnded(a *attempt, s logic.Status) {
	switch {
	case s == logic.StatusOK:
		c.ok = true
		if c.phase == inHand {
			if c.by = orders.ReportedByStreaming; a.carried {
				c.by = orders.ReportedByCaller
			}
		}
	case s.NeverRan() && !a.recording:
		c.returned = true
	}
}

// receipted keeps the receipt of an order, and has its client told once it is on record.
func (p *Proxy) receipted(r *Request, value []byte) {
	c := r.orderRecord
	if c.phase != inHand {
		return
	}
	c.ok, c.receipt, c.owes = true, slices.Clone(value), !r.done
	p.Hold(len(c.receipt))
	r.done = true
	p.finish(r)
}

// finish has the end of an order put on record.
func (p *Proxy) finish(r *Request) {
	c := r.orderRecord
	c.phase = ending
	c.change(func() {
		s := orders.NeverRan
		switch {
		case c.ok:
			s = orders.Done
		case c.sent && !c.returned:
			s = orders.Unknown
		}
		p.cfg.Record.End(c.name, s, c.receipt, c.by, c.back(), func(err error) { p.Do(func() { p.finished(r, err) }) })
	})
}

// finished tells the client what it is owed, now that it is on record. What could not be recorded may have run, as far as anybody can tell
// later.
func (p *Proxy) finished(r *Request, err error) {
	c := r.orderRecord
	p.unrecord(c)
	if err != nil {
		p.log.Warn("the end of an order can't be recorded", "err", err)
	}
	if c.owes {
		c.owes = false
		if err == nil {
			r.Responder.Answer(Answer{Kind: Served, Value: c.receipt})
		} else {
			p.reasons.Add(reasons.Failed, r.class, r.tenant, reasons.RecordFault)
			r.Responder.Answer(Answer{Kind: Failed, Reason: reasons.RecordFault})
		}
	}
	p.Hold(-len(c.receipt))
	c.receipt = nil
	p.fence(r)
	p.settle(r)
}

// recordLate answers an order whose time ends while the disk is waited for.
func (p *Proxy) recordLate(r *Request) {
	switch c := r.orderRecord; {
	case c.owes:
		c.owes = false
		p.reasons.Add(reasons.Failed, r.class, r.tenant, reasons.RecordBehind)
		r.Responder.Answer(Answer{Kind: Failed, Reason: reasons.RecordBehind})
		p.settle(r)
	case c.phase == taking && !r.done:
		p.conclude(r.id, Answer{Kind: Refused, RetryAfter: p.recordAgain(), Reason: reasons.RecordBehind})
	}
}

// recordOver tells whether the host may let go of an order that is over for the Balancer, and has its end recorded.
func (p *Proxy) recordOver(r *Request) bool {
	if r.orderRecord.phase == inHand {
		p.finish(r)
	}
	return !r.orderRecord.owes
}

// withdrawRecorded takes an order out whose client has left, where the Balancer does not have it. It tells whether that was all.
func (p *Proxy) withdrawRecorded(r *Request) bool {
	switch c := r.orderRecord; {
	case c.phase == taking && !r.done:
		r.done = true
	case c.owes:
		c.owes = false
	default:
		return false
	}
	p.settle(r)
	return true
}
