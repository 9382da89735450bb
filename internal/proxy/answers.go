package proxy

import (
	"slices"
	"strconv"
	"time"

	"linenloom/internal/resp"
)

// appendBusy appends a refusal that tells when to come back, if there is anything to tell.
func appendBusy(b []byte, retryAfter time.Duration) []byte {
	b = append(b, "-BUSY"...)
	if ms := retryAfter.Milliseconds(); ms > 0 {
		b = append(b, ' ')
		b = strconv.AppendInt(b, ms, 10)
	}
	return append(b, "\r\n"...)
}

// answer gives a request its final answer. It goes out now if it is its turn; the caller may then use the
// bytes again.
func (c *client) answer(o *owed, reply []byte) {
	if len(c.pending) > 0 && c.pending[0] == o && !c.w.Busy() {
		c.w.Send(reply, false)
		c.pop()
		c.flush()
		return
	}
	if slices.Contains(c.pending, o) {
		o.reply = slices.Clone(reply)
		c.p.bufferedBytes += len(o.reply)
	}
}

// answerShared is answer for a value that others get too. A client that takes it slowly holds nothing of its own, and a descriptor.
func (c *client) answerShared(o *owed, b *Body) {
	b.Retain()
	if len(c.pending) > 0 && c.pending[0] == o && !c.w.Busy() {
		c.sendShared(b)
		c.pop()
		c.flush()
		return
	}
	if slices.Contains(c.pending, o) {
		o.body = b
		return
	}
	b.Release()
}

// sendShared writes a shared value, which stays until the kernel has it all.
func (c *client) sendShared(b *Body) {
	c.w.SendCounted(b.bulk)
	if c.w.Busy() {
		c.bodies = append(c.bodies, b)
		return
	}
	b.Release()
}

// letBodies lets go of shared values that are written, or won't be.
func (c *client) letBodies() {
	for _, b := range c.bodies {
		b.Release()
	}
	c.bodies = nil
}

// flush writes the answers whose turn has come.
func (c *client) flush() {
	for len(c.pending) > 0 && !c.w.Busy() {
		o := c.pending[0]
		if o.many != nil && o.many.stream {
			b, last := o.many.takeUnsent()
			if len(b) > 0 {
				c.w.Send(b, true)
			}
			if !last {
				return
			}
			o.many = nil
			c.pop()
			continue
		}
		if o.body != nil {
			c.sendShared(o.body)
			o.body = nil
			c.pop()
			continue
		}
		if o.reply == nil {
			o.signalTurn()
			return
		}
		if len(c.pending) == 1 || c.pending[1].reply == nil {
			c.p.bufferedBytes -= len(o.reply)
			c.w.Send(o.reply, true)
			o.reply = nil
			c.pop()
			continue
		}
		b := c.p.scratch[:0] // what is due together goes out together
		for len(c.pending) > 0 && c.pending[0].reply != nil && len(b) < resp.MaxValue {
			o := c.pending[0]
			b = append(b, o.reply...)
			c.p.bufferedBytes -= len(o.reply)
			o.reply = nil
			c.pop()
		}
		c.w.Send(b, false)
		c.p.scratch = b[:0]
	}
	if !c.w.Busy() {
		c.letBodies()
		c.wake()
	}
	if c.ended {
		c.hangUp(false)
	} else if !c.closed {
		c.answered()
	}
}

// pop removes the request that has been answered.
func (c *client) pop() {
	c.pending = slices.Delete(c.pending, 0, 1)
	c.f.told++
	c.active = c.p.now
	c.wake()
}
