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

// Record stores orders durably, see docs/orders.md. Its methods return at once. They call done later,
// without the host's lock, when the change is on disk.
type Record interface {
	Take(o orders.Order, done func(orders.Verdict, []byte, error))
	Send(n orders.Name, member string, notRun bool, done func(error))
	End(n orders.Name, state orders.State, receipt []byte, reportedBy string, notRun bool, done func(error))
	Close() error
}

// RecordsOrders reports whether orders are recorded.
func (p *Proxy) RecordsOrders() bool { return p.cfg.Record != nil }

// recordRetryDelay is about how long a client waits before it retries an order that could not be recorded.
const recordRetryDelay = time.Second

// The phases of a recorded order in this process.
const (
	orderTaking     = iota // waiting for the record's verdict
	orderInProgress        // handed to the balancer
	orderEnding            // its end is being written to disk
	orderSettled           // nothing more is to be recorded
)

// orderState is the host's state of an order that is on record. The host's lock guards all fields.
type orderState struct {
	name            orders.Name
	balancerRequest logic.Request // passed to the balancer once the record accepts the order
	phase           int
	// What the record contains, or will contain after the next change.
	sent          bool // recorded as sent to a member, so it may have run
	notRun        bool // it was sent, but is known not to have run
	answered      bool // it has run and was answered
	reportedBy    string
	receipt       []byte
	reportReceipt bool     // the client gets the receipt once it is on disk
	changePending bool     // a change is being written; the record accepts one at a time per order
	queuedChanges []func() // at most one per attempt and one for the end
}

// startChange calls f to change the record, as soon as the previous change of the order is complete.
func (c *orderState) startChange(f func()) {
	if c.changePending {
		c.queuedChanges = append(c.queuedChanges, f)
		return
	}
	c.changePending = true
	f()
}

func (c *orderState) changeDone() {
	if c.changePending = len(c.queuedChanges) > 0; c.changePending {
		f := c.queuedChanges[0]
		c.queuedChanges = c.queuedChanges[1:]
		f()
	}
}

// takeNotRun reports whether the next change must report to the record that the order was sent but has
// not run, and resets that state.
func (c *orderState) takeNotRun() (notRun bool) {
	notRun = c.sent && c.notRun
	if notRun {
		c.sent, c.notRun = false, false
	}
	return notRun
}

// submitToRecord puts an order on record before the balancer sees it. An order is named by its idempotency key, or by
// its request ID if it has no key.
func (p *Proxy) submitToRecord(r *Request, balancerRequest logic.Request) {
	order := orders.Order{Name: orders.Name{Key: string(r.ReqID)}, Digest: r.digest()}
	for name, value := range upstream.Attributes(r.Attrs) {
		switch name {
		case "t":
			order.Tenant = string(value)
		case "k":
			// The key replaces the request ID as the order's name: the request ID differs with every retry, so a
			// retry can be recognized by its key only.
			order.Key, order.Retry = string(value), balancerRequest.Retry
		}
	}
	order.Retry = order.Retry || r.Retry
	if r.Proof != nil {
		order.Tenant = r.Proof.Tenant
		if r.Proof.ID != "" {
			order.Token, order.TokenExpiry = r.Proof.ID, time.Duration(r.Proof.ExpiresAt.UnixNano())
		}
	}
	r.orderState = &orderState{name: order.Name, balancerRequest: balancerRequest}
	p.openOrders++
	p.timers.addToken(p.now, max(p.now, r.deadline-p.answerSlack()), uint64(r.id)<<3|hostTimer)
	p.cfg.Record.Take(order, func(v orders.Verdict, receipt []byte, err error) {
		p.Do(func() { p.handleRecordVerdict(r, v, receipt, err) })
	})
}

// digest returns a hash of the order's content, which distinguishes it from a different order with the same name.
func (r *Request) digest() (digest [sha256.Size]byte) {
	hash := sha256.New()
	for _, part := range [...][]byte{r.Key, r.Value} {
		hash.Write(binary.LittleEndian.AppendUint32(nil, uint32(len(part))))
		hash.Write(part)
	}
	hash.Sum(digest[:0])
	return digest
}

// handleRecordVerdict continues with a new order according to the record's verdict.
func (p *Proxy) handleRecordVerdict(r *Request, verdict orders.Verdict, receipt []byte, err error) {
	order := r.orderState
	if err != nil || verdict != orders.Proceed {
		p.settleOrder(order)
	} else {
		order.phase = orderInProgress
	}
	switch {
	case r.done: // its deadline has passed, or its client has left
		if order.phase == orderInProgress {
			p.writeOrderEnd(r)
		}
	case err != nil:
		p.finishRequest(r.id, Answer{Kind: Refused, RetryAfter: p.recordRetryAfter(), Reason: refusalReason(err)})
	case verdict == orders.Proceed:
		p.balancer.Request(p.now, order.balancerRequest)
	case verdict == orders.RecordFull:
		p.finishRequest(r.id, Answer{Kind: Refused, RetryAfter: p.recordRetryAfter(), Reason: reasons.RecordFull})
	case verdict == orders.TokenUsed:
		r.denied = &identity.Error{Reason: identity.Replayed}
		p.finishRequest(r.id, Answer{Kind: Failed, Reason: logic.Rejected})
	case verdict == orders.Receipt && slices.Contains(p.cfg.ReceiptFronts, r.Front):
		r.done = true
		r.Responder.Answer(Answer{Kind: Served, Value: receipt})
		p.releaseIfOver(r)
	default:
		p.finishRequest(r.id, Answer{Kind: Failed, Reason: map[orders.Verdict]logic.Reason{
			orders.InProgress: reasons.OrderInHand, orders.Mismatch: reasons.OtherOrder, orders.OutcomeUnknown: reasons.OrderUnknown,
			orders.Receipt: reasons.OrderHasRun, orders.ReceiptMissing: reasons.OrderHasRun,
		}[verdict]})
	}
}

// recordRetryAfter returns the delay after which a client may retry an order that could not be
// recorded, or 0 if the settings allow no such hint. The delay is random, so that clients do not retry all at once.
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

// settleOrder marks an order as one for which nothing more is to be recorded. A process that stops closes the record
// once all its orders are settled, and its successor opens it.
func (p *Proxy) settleOrder(c *orderState) {
	c.phase = orderSettled
	p.openOrders--
	p.closeRecord()
}

// closeRecord closes the record once the proxy is stopping and no order is in progress.
func (p *Proxy) closeRecord() {
	if p.cfg.Record == nil || !p.stopping || p.openOrders > 0 || p.recordClosed {
		return
	}
	p.recordClosed = true
	go func() {
		if err := p.cfg.Record.Close(); err != nil {
			p.log.Error("closing the record of orders failed", "err", err)
		}
	}()
}

// sendAfterRecording sends an attempt of an order after the record has stored that the order may have run.
func (p *Proxy) sendAfterRecording(r *Request, a *attempt, m *member) {
	order := r.orderState
	a.awaitsRecord = true
	_, a.byExternalSender = r.Responder.(ExternalSender)
	p.schedule(timerEntry{Timer: upstream.Timer{At: a.ExpiresAt}, attempt: a})
	address := m.Addr
	order.startChange(func() {
		if a.Ended { // the attempt ended while it waited for the previous change
			order.changeDone()
			return
		}
		p.cfg.Record.Send(order.name, address, order.takeNotRun(), func(err error) {
			p.Do(func() { p.handleSendRecorded(r, a, err) })
		})
	})
}

// handleSendRecorded sends an attempt whose sending is on record. In the meantime, the attempt may have
// timed out, its member may have started to drain, or the caller's proof may have been revoked.
func (p *Proxy) handleSendRecorded(r *Request, a *attempt, err error) {
	order := r.orderState
	a.awaitsRecord = false
	order.sent, order.notRun = err == nil, err == nil // if recorded, it counts as sent, but was not sent yet
	m := p.members[a.memberID]
	switch {
	case a.Ended:
	case err != nil: // the order can't be sent to this or any other member
		p.log.Warn("an attempt could not be recorded; the order is refused", "err", err)
		p.endAttempt(a, logic.StatusMoot, 0)
		if !r.done {
			answer := Answer{Kind: Refused, RetryAfter: p.recordRetryAfter(), Reason: refusalReason(err)}
			if r.MayHaveRun() { // by an earlier attempt
				answer = Answer{Kind: Failed, Reason: refusalReason(err)}
			}
			p.finishRequest(r.id, answer)
			p.balancer.RequestCancelled(p.now, r.id)
		}
	case r.done || a.ExpiresAt-p.now < upstream.MinDeadline:
		p.endAttempt(a, logic.StatusMoot, 0)
	case m == nil || m.state != logic.Ready:
		p.endAttempt(a, logic.StatusConnectFailed, 0)
	case !p.checkProof(r):
		p.endAttempt(a, logic.StatusRejected, 0)
	default:
		order.notRun = false
		a.startedAt = p.now
		p.startAttempt(r, a, m)
	}
	order.changeDone()
}

// attemptEnded updates the order's state with the outcome of an attempt.
func (c *orderState) attemptEnded(a *attempt, status logic.Status) {
	switch {
	case status == logic.StatusOK:
		c.answered = true
		if c.phase == orderInProgress {
			if c.reportedBy = orders.ReportedByStreaming; a.byExternalSender {
				c.reportedBy = orders.ReportedByCaller
			}
		}
	case status.NeverRan() && !a.awaitsRecord:
		c.notRun = true
	}
}

// handleReceipt stores the receipt of an order. The client gets it once it is on record.
func (p *Proxy) handleReceipt(r *Request, value []byte) {
	order := r.orderState
	if order.phase != orderInProgress {
		return
	}
	order.answered, order.receipt, order.reportReceipt = true, slices.Clone(value), !r.done
	p.AddBuffered(len(order.receipt))
	r.done = true
	p.writeOrderEnd(r)
}

// writeOrderEnd puts the end of an order on record.
func (p *Proxy) writeOrderEnd(r *Request) {
	order := r.orderState
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

// handleEndRecorded answers the client if it still waits for the receipt, now that the end of the order
// is on record. If the end could not be recorded, the order counts as one that may have run.
func (p *Proxy) handleEndRecorded(r *Request, err error) {
	order := r.orderState
	p.settleOrder(order)
	if err != nil {
		p.log.Warn("the end of an order could not be recorded", "err", err)
	}
	if order.reportReceipt {
		order.reportReceipt = false
		if err == nil {
			r.Responder.Answer(Answer{Kind: Served, Value: order.receipt})
		} else {
			p.reasons.Add(reasons.Failed, r.class, r.tenant, reasons.RecordFault)
			r.Responder.Answer(Answer{Kind: Failed, Reason: reasons.RecordFault})
		}
	}
	p.AddBuffered(-len(order.receipt))
	order.receipt = nil
	p.closeReadGroups(r)
	p.releaseIfOver(r)
}

// handleRecordTimeout answers an order whose deadline passes while it waits for the disk.
func (p *Proxy) handleRecordTimeout(r *Request) {
	switch order := r.orderState; {
	case order.reportReceipt:
		order.reportReceipt = false
		p.reasons.Add(reasons.Failed, r.class, r.tenant, reasons.RecordBehind)
		r.Responder.Answer(Answer{Kind: Failed, Reason: reasons.RecordBehind})
		p.releaseIfOver(r)
	case order.phase == orderTaking && !r.done:
		p.finishRequest(r.id, Answer{Kind: Refused, RetryAfter: p.recordRetryAfter(), Reason: reasons.RecordBehind})
	}
}

// finishOrder starts to record the end of an order that the balancer has finished, unless that was started
// before. It reports whether the host may remove the request, as no receipt is pending for its client.
func (p *Proxy) finishOrder(r *Request) bool {
	if r.orderState.phase == orderInProgress {
		p.writeOrderEnd(r)
	}
	return !r.orderState.reportReceipt
}

// cancelOrder cancels an order whose client has disconnected, if the balancer does not have it: the record has not
// accepted it yet, or its receipt is being written. It reports whether the caller need not cancel anything else.
func (p *Proxy) cancelOrder(r *Request) bool {
	switch order := r.orderState; {
	case order.phase == orderTaking && !r.done:
		r.done = true
	case order.reportReceipt:
		order.reportReceipt = false
	default:
		return false
	}
	p.releaseIfOver(r)
	return true
}
