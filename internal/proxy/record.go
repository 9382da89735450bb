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
	Send(n orders.Name, member string, notRun bool, done func(error))
	End(n orders.Name, state orders.State, receipt []byte, reportedBy string, notRun bool, done func(error))
	Close() error
}

// RecordsOrders tells whether orders are kept on record.
func (p *Proxy) RecordsOrders() bool { return p.cfg.Record != nil }

// recordRetryDelay is about when an order that could not be recorded may come again.
const recordRetryDelay = time.Second

// The phases of a recorded order here.
const (
	orderTaking     = iota // the record is asked
	orderInProgress        // the Balancer has it
	orderEnding            // its end is on its way to the disk
	orderSettled           // nothing more is to be recorded
)

// recordedOrder is what the host keeps of an order that is on record. All of it is under the host's lock.
type recordedOrder struct {
	name            orders.Name
	balancerRequest logic.Request // as the Balancer is told of it, once it is taken
	phase           int
	// What the record says, or will be told with the next change.
	sent          bool // it may have run
	notRun        bool // it was sent, and has surely not run
	answered      bool // it has run, and was answered
	reportedBy    string
	receipt       []byte
	reportReceipt bool     // its client gets the receipt once the disk has it
	changePending bool     // a change is out; the record takes one at a time of an order
	queuedChanges []func() // changes, at most one for an attempt and one for the end
}

// startChange has f change the record, once the change before is there.
func (c *recordedOrder) startChange(f func()) {
	if c.changePending {
		c.queuedChanges = append(c.queuedChanges, f)
		return
	}
	c.changePending = true
	f()
}

func (c *recordedOrder) changeDone() {
	if c.changePending = len(c.queuedChanges) > 0; c.changePending {
		f := c.queuedChanges[0]
		c.queuedChanges = c.queuedChanges[1:]
		f()
	}
}

// takeNotRun tells the record, with the change that is to come, that the order is back unrun.
func (c *recordedOrder) takeNotRun() (notRun bool) {
	notRun = c.sent && c.notRun
	if notRun {
		c.sent, c.notRun = false, false
	}
	return notRun
}

// recordOrder has an order put on record before the Balancer sees it.
func (p *Proxy) recordOrder(r *Request, balancerRequest logic.Request) {
	order := orders.Order{Name: orders.Name{Key: string(r.ReqID)}, Digest: r.digest()}
	for name, value := range upstream.Attributes(r.Attrs) {
		switch name {
		case "t":
			order.Tenant = string(value)
		case "k":
			// A request's id is new with every try, and a repeat can't be known by it.
			order.Key, order.Retry = string(value), balancerRequest.Retry
		}
	}
	order.Retry = order.Retry || r.Again
	if r.By != nil {
		order.Tenant = r.By.Tenant
		if r.By.ID != "" {
			order.Token, order.TokenExpiry = r.By.ID, time.Duration(r.By.Until.UnixNano())
		}
	}
	r.rec = &recordedOrder{name: order.Name, balancerRequest: balancerRequest}
	p.recorded++
	p.timers.pushToken(p.now, max(p.now, r.deadline-p.answerSlack()), uint64(r.id)<<3|followerTimer)
	p.cfg.Record.Take(order, func(v orders.Verdict, receipt []byte, err error) {
		p.Do(func() { p.handleRecordVerdict(r, v, receipt, err) })
	})
}

// digest tells what an order asks for from what another one of its name does.
func (r *Request) digest() (digest [sha256.Size]byte) {
	hash := sha256.New()
	for _, part := range [...][]byte{r.Key, r.Value} {
		hash.Write(binary.LittleEndian.AppendUint32(nil, uint32(len(part))))
		hash.Write(part)
	}
	hash.Sum(digest[:0])
	return digest
}

// handleRecordVerdict goes on with what the record says of an order that has come.
func (p *Proxy) handleRecordVerdict(r *Request, verdict orders.Verdict, receipt []byte, err error) {
	order := r.rec
	if err != nil || verdict != orders.Proceed {
		p.settleRecorded(order)
	} else {
		order.phase = orderInProgress
	}
	switch {
	case r.done: // its time is over, or its client has left
		if order.phase == orderInProgress {
			p.recordEnd(r)
		}
	case err != nil:
		p.conclude(r.id, Answer{Kind: Refused, RetryAfter: p.recordRetryAfter(), Why: refusalReason(err)})
	case verdict == orders.Proceed:
		p.bal.Request(p.now, order.balancerRequest)
	case verdict == orders.RecordFull:
		p.conclude(r.id, Answer{Kind: Refused, RetryAfter: p.recordRetryAfter(), Why: reasons.RecordFull})
	case verdict == orders.TokenUsed:
		r.denied = &identity.Error{Why: identity.Replayed}
		p.conclude(r.id, Answer{Kind: Failed, Why: logic.Rejected})
	case verdict == orders.Receipt && slices.Contains(p.cfg.Receipts, r.Front):
		r.done = true
		r.Taker.Answer(Answer{Kind: Served, Value: receipt})
		p.settle(r)
	default:
		p.conclude(r.id, Answer{Kind: Failed, Why: map[orders.Verdict]logic.Reason{
			orders.InProgress: reasons.OrderInHand, orders.Mismatch: reasons.OtherOrder, orders.OutcomeUnknown: reasons.OrderUnknown,
			orders.Receipt: reasons.OrderHasRun, orders.ReceiptMissing: reasons.OrderHasRun,
		}[verdict]})
	}
}

// recordRetryAfter is when an order that could not be recorded may come again, as far as the settings let clients be told: not all at one time.
func (p *Proxy) recordRetryAfter() time.Duration {
	if s := &p.cfg.Settings; s.CanRetryAfter {
		return min(recordRetryDelay/2+rand.N(recordRetryDelay), s.MaxRetryAfter*2/3)
	}
	return 0
}

func refusalReason(err error) logic.Reason {
	if errors.Is(err, orders.ErrOverloaded) {
		return reasons.RecordBehind
	}
	return reasons.RecordFault
}

// settleRecorded notes that nothing more of an order is to be recorded. A process that stops gives the record to the next one then.
func (p *Proxy) settleRecorded(c *recordedOrder) {
	c.phase = orderSettled
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
	order := r.rec
	a.recording = true
	_, a.carried = r.Taker.(Carrier)
	p.schedule(due{Timer: upstream.Timer{At: a.ExpiresAt}, attempt: a})
	address := m.Addr
	order.startChange(func() {
		if a.Ended { // it waited for the change before, and is over
			order.changeDone()
			return
		}
		p.cfg.Record.Send(order.name, address, order.takeNotRun(), func(err error) {
			p.Do(func() { p.handleSendRecorded(r, a, err) })
		})
	})
}

// handleSendRecorded sends an attempt that is on record. Meanwhile its time may be over, its member draining, or its proof taken away.
func (p *Proxy) handleSendRecorded(r *Request, a *attempt, err error) {
	order := r.rec
	a.recording = false
	order.sent, order.notRun = err == nil, err == nil
	m := p.members[a.to]
	switch {
	case a.Ended:
	case err != nil: // it can't be sent, here or to anybody else
		p.log.Warn("an order can't be recorded, and is refused", "err", err)
		p.end(a, logic.StatusMoot, 0)
		if !r.done {
			p.conclude(r.id, Answer{Kind: Refused, RetryAfter: p.recordRetryAfter(), Why: refusalReason(err)})
			p.bal.RequestCancelled(p.now, r.id)
		}
	case r.done || a.ExpiresAt-p.now < upstream.MinDeadline:
		p.end(a, logic.StatusMoot, 0)
	case m == nil || m.state != logic.Ready:
		p.end(a, logic.StatusConnectFailed, 0)
	case !p.proven(r):
		p.end(a, logic.StatusRejected, 0)
	default:
		order.notRun = false
		a.sentAt = p.now
		p.launch(r, a, m)
	}
	order.changeDone()
}

// attemptEnded takes in how an attempt of a recorded order has ended.
func (c *recordedOrder) attemptEnded(a *attempt, status logic.Status) {
	switch {
	case status == logic.StatusOK:
		c.answered = true
		if c.phase == orderInProgress {
			if c.reportedBy = orders.ReportedByStreaming; a.carried {
				c.reportedBy = orders.ReportedByCaller
			}
		}
	case status.NeverRan() && !a.recording:
		c.notRun = true
	}
}

// handleReceipt keeps the receipt of an order, and has its client told once it is on record.
func (p *Proxy) handleReceipt(r *Request, value []byte) {
	order := r.rec
	if order.phase != orderInProgress {
		return
	}
	order.answered, order.receipt, order.reportReceipt = true, slices.Clone(value), !r.done
	p.Hold(len(order.receipt))
	r.done = true
	p.recordEnd(r)
}

// recordEnd has the end of an order put on record.
func (p *Proxy) recordEnd(r *Request) {
	order := r.rec
	order.phase = orderEnding
	order.startChange(func() {
		state := orders.NeverRan
		switch {
		case order.answered:
			state = orders.Done
		case order.sent && !order.notRun:
			state = orders.Unknown
		}
		p.cfg.Record.End(order.name, state, order.receipt, order.reportedBy, order.takeNotRun(), func(err error) { p.Do(func() { p.handleEndRecorded(r, err) }) })
	})
}

// handleEndRecorded tells the client what it is owed, now that it is on record. What could not be recorded may have run, as far as anybody can tell
// later.
func (p *Proxy) handleEndRecorded(r *Request, err error) {
	order := r.rec
	p.settleRecorded(order)
	if err != nil {
		p.log.Warn("the end of an order can't be recorded", "err", err)
	}
	if order.reportReceipt {
		order.reportReceipt = false
		if err == nil {
			r.Taker.Answer(Answer{Kind: Served, Value: order.receipt})
		} else {
			p.reasons.Add(reasons.Failed, r.class, r.tenant, reasons.RecordFault)
			r.Taker.Answer(Answer{Kind: Failed, Why: reasons.RecordFault})
		}
	}
	p.Hold(-len(order.receipt))
	order.receipt = nil
	p.fenceReads(r)
	p.settle(r)
}

// handleRecordTimeout answers an order whose time ends while the disk is waited for.
func (p *Proxy) handleRecordTimeout(r *Request) {
	switch order := r.rec; {
	case order.reportReceipt:
		order.reportReceipt = false
		p.reasons.Add(reasons.Failed, r.class, r.tenant, reasons.RecordBehind)
		r.Taker.Answer(Answer{Kind: Failed, Why: reasons.RecordBehind})
		p.settle(r)
	case order.phase == orderTaking && !r.done:
		p.conclude(r.id, Answer{Kind: Refused, RetryAfter: p.recordRetryAfter(), Why: reasons.RecordBehind})
	}
}

// endRecorded tells whether the host may let go of an order that is over for the Balancer, and has its end recorded.
func (p *Proxy) endRecorded(r *Request) bool {
	if r.rec.phase == orderInProgress {
		p.recordEnd(r)
	}
	return !r.rec.reportReceipt
}

// withdrawRecorded takes an order out whose client has left, where the Balancer does not have it. It tells whether that was all.
func (p *Proxy) withdrawRecorded(r *Request) bool {
	switch order := r.rec; {
	case order.phase == orderTaking && !r.done:
		r.done = true
	case order.reportReceipt:
		order.reportReceipt = false
	default:
		return false
	}
	p.settle(r)
	return true
}
