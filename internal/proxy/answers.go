package proxy

import (
	"slices"
	"strconv"
	"time"

	"linenloom/internal/reasons"
	"linenloom/internal/resp"
)

// appendBusy appends a refusal, with the time after which to retry if there is one.
func appendBusy(b []byte, retryAfter time.Duration) []byte {
	b = append(b, "-BUSY"...)
	if ms := retryAfter.Milliseconds(); ms > 0 {
		b = append(b, ' ')
		b = strconv.AppendInt(b, ms, 10)
	}
	return append(b, "\r\n"...)
}

// isTurnOf reports whether an answer is written at once if it arrives now.
func (c *client) isTurnOf(o *pendingAnswer) bool {
	return len(c.pending) > 0 && c.pending[0] == o && !c.sender.Busy()
}

// MayHold reports whether a value of a size may be held as the answer to the request: there is memory for it, or
// the client could not safely retry the request if it were refused instead. It requires the lock.
func (p *Proxy) MayHold(r *Request, size int) bool {
	return !r.retryable || p.answerBudget.MayHold(size, p.bufferedBytes, p.maxHeldBytes)
}

// RefuseForMemory counts a request whose answer may not be held, and returns its refusal. It requires the lock.
func (p *Proxy) RefuseForMemory(r *Request) Answer {
	p.reasons.Add(reasons.Refused, r.class, r.tenant, reasons.HostFull)
	return Answer{Kind: Refused, Reason: reasons.HostFull}
}

// countExpected tells the budget of answers how many of the client's would have to be held if they arrived now.
func (c *client) countExpected() {
	expected := 0
	for i, o := range c.pending {
		expected += o.heldOnArrival(i > 0 || c.sender.Busy())
	}
	c.proxy.answerBudget.AddExpected(expected - c.expectedAnswers)
	c.expectedAnswers = expected
}

// heldOnArrival returns how many values have to be held if all that are outstanding for the answer arrive now.
func (o *pendingAnswer) heldOnArrival(waitsForTurn bool) int {
	switch {
	case o.many != nil && (waitsForTurn || !o.many.stream):
		return o.many.pendingKeys()
	case o.many != nil, !waitsForTurn, o.reply != nil, o.body != nil, o.follows():
		return 0
	}
	return 1
}

// sendAnswer gives a request its final answer. The answer is written now if it is its turn; the caller may
// reuse the bytes afterwards.
func (c *client) sendAnswer(o *pendingAnswer, reply []byte) {
	if c.isTurnOf(o) {
		c.sender.Send(reply, false)
		c.removeAnswered()
		c.flush()
		return
	}
	if slices.Contains(c.pending, o) {
		o.reply = slices.Clone(reply)
		c.proxy.bufferedBytes += cap(o.reply)
		c.countExpected()
	}
}

// sendSharedAnswer is sendAnswer for a value that other requests share. A client that reads it slowly holds
// no copy of its own, only a descriptor.
func (c *client) sendSharedAnswer(o *pendingAnswer, b *Body) {
	b.Retain()
	if c.isTurnOf(o) {
		c.writeShared(b)
		c.removeAnswered()
		c.flush()
		return
	}
	if slices.Contains(c.pending, o) {
		o.body = b
		c.countExpected()
		return
	}
	b.Release()
}

// writeShared writes a shared value, which is kept until the kernel has accepted all of it.
func (c *client) writeShared(b *Body) {
	c.sender.SendCounted(b.bulk)
	if c.sender.Busy() {
		c.sendingBodies = append(c.sendingBodies, b)
		return
	}
	b.Release()
}

// releaseBodies releases shared values that have been written, or never will be.
func (c *client) releaseBodies() {
	for _, b := range c.sendingBodies {
		b.Release()
	}
	c.sendingBodies = nil
}

// flush writes the answers whose turn has come.
func (c *client) flush() {
	waitsForAnswer := c.writeReady()
	c.countExpected()
	if waitsForAnswer {
		return
	}
	if !c.sender.Busy() {
		c.releaseBodies()
		c.wakeReader()
	}
	if c.ended {
		c.finishSending(false)
	} else if !c.closed {
		c.endAfterAnswer()
	}
}

// writeReady writes answers until the next one has not arrived yet, which it reports, or the client does not read.
func (c *client) writeReady() (waitsForAnswer bool) {
	for len(c.pending) > 0 && !c.sender.Busy() {
		o := c.pending[0]
		switch {
		case o.many != nil && o.many.stream:
			if !c.writeUnsent(o) {
				return true
			}
		case o.body != nil:
			c.writeShared(o.body)
			o.body = nil
			c.removeAnswered()
		case o.reply == nil:
			o.signalTurn()
			return true
		case len(c.pending) == 1 || c.pending[1].reply == nil:
			c.sender.Send(c.takeReply(), true)
		default:
			c.writeTogether()
		}
	}
	return false
}

// writeUnsent writes what has arrived of a streamed answer for many keys, and reports whether that was the last of it.
func (c *client) writeUnsent(o *pendingAnswer) (last bool) {
	b, last := o.many.takeUnsent()
	if len(b) > 0 {
		c.sender.Send(b, true)
	}
	if last {
		o.many = nil
		c.removeAnswered()
	}
	return last
}

// writeTogether writes the answers that are ready in one write.
func (c *client) writeTogether() {
	b := c.proxy.scratch[:0]
	for len(c.pending) > 0 && c.pending[0].reply != nil && len(b) < resp.MaxValue {
		b = append(b, c.takeReply()...)
	}
	c.sender.Send(b, false)
	c.proxy.scratch = b[:0]
}

// takeReply removes the first pending answer, which is held, and returns it.
func (c *client) takeReply() []byte {
	o := c.pending[0]
	reply := o.reply
	c.proxy.bufferedBytes -= cap(reply)
	o.reply = nil
	c.removeAnswered()
	return reply
}

// removeAnswered removes the request that has just been answered.
func (c *client) removeAnswered() {
	c.pending = slices.Delete(c.pending, 0, 1)
	c.front.answered++
	c.lastActive = c.proxy.now
	c.wakeReader()
}
