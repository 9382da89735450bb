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

// sendAnswer gives a request its final answer. It goes out now if it is its turn; the caller may then use the
// bytes again.
func (c *client) sendAnswer(o *pendingAnswer, reply []byte) {
	if len(c.pending) > 0 && c.pending[0] == o && !c.sender.Busy() {
		c.sender.Send(reply, false)
		c.removeAnswered()
		c.flush()
		return
	}
	if slices.Contains(c.pending, o) {
		o.reply = slices.Clone(reply)
		c.proxy.held += len(o.reply)
	}
}

// sendSharedAnswer is answer for a value that others get too. A client that takes it slowly holds nothing of its own, and a descriptor.
func (c *client) sendSharedAnswer(o *pendingAnswer, b *Body) {
	b.Keep()
	if len(c.pending) > 0 && c.pending[0] == o && !c.sender.Busy() {
		c.writeShared(b)
		c.removeAnswered()
		c.flush()
		return
	}
	if slices.Contains(c.pending, o) {
		o.body = b
		return
	}
	b.Release()
}

// writeShared writes a shared value, which stays until the kernel has it all.
func (c *client) writeShared(b *Body) {
	c.sender.SendCounted(b.bulk)
	if c.sender.Busy() {
		c.sendingBodies = append(c.sendingBodies, b)
		return
	}
	b.Release()
}

// releaseBodies lets go of shared values that are written, or won't be.
func (c *client) releaseBodies() {
	for _, b := range c.sendingBodies {
		b.Release()
	}
	c.sendingBodies = nil
}

// flush writes the answers whose turn has come.
func (c *client) flush() {
	for len(c.pending) > 0 && !c.sender.Busy() {
		o := c.pending[0]
		if o.many != nil && o.many.stream {
			b, last := o.many.flushed()
			if len(b) > 0 {
				c.sender.Send(b, true)
			}
			if !last {
				return
			}
			o.many = nil
			c.removeAnswered()
			continue
		}
		if o.body != nil {
			c.writeShared(o.body)
			o.body = nil
			c.removeAnswered()
			continue
		}
		if o.reply == nil {
			o.wakeTurn()
			return
		}
		if len(c.pending) == 1 || c.pending[1].reply == nil {
			c.proxy.held -= len(o.reply)
			c.sender.Send(o.reply, true)
			o.reply = nil
			c.removeAnswered()
			continue
		}
		b := c.proxy.scratch[:0] // what is due together goes out together
		for len(c.pending) > 0 && c.pending[0].reply != nil && len(b) < resp.MaxValue {
			o := c.pending[0]
			b = append(b, o.reply...)
			c.proxy.held -= len(o.reply)
			o.reply = nil
			c.removeAnswered()
		}
		c.sender.Send(b, false)
		c.proxy.scratch = b[:0]
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

// removeAnswered removes the request that has been answered.
func (c *client) removeAnswered() {
	c.pending = slices.Delete(c.pending, 0, 1)
	c.front.answered++
	c.lastActive = c.proxy.now
	c.wakeReader()
}
