package proxy

import (
	"math/rand/v2"
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"linenloom/internal/reasons"
)

// maxCorkedBytes is the maximum number of bytes of refusals that are collected into one write.
const maxCorkedBytes = 16 << 10

// cpuMeter measures how much of its core, or cores, the process has used lately.
type cpuMeter struct {
	cpuTime, sampledAt time.Duration
	lastShare          float64
}

// share returns the share in use, from 0 to 1, averaged over the time since the previous call and the time
// before.
func (c *cpuMeter) share(now time.Duration) float64 {
	var u unix.Rusage
	if now <= c.sampledAt || unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return c.lastShare
	}
	used := time.Duration(u.Utime.Nano() + u.Stime.Nano())
	if c.sampledAt > 0 {
		share := float64(used-c.cpuTime) / float64(now-c.sampledAt) / float64(runtime.GOMAXPROCS(0))
		c.lastShare += (share - c.lastShare) / 2
	}
	c.cpuTime, c.sampledAt = used, now
	return c.lastShare
}

// measureUnread updates the estimate of the unread input after a read of n bytes.
func (c *client) measureUnread(n int, full bool) {
	now := c.proxy.elapsed()
	if !c.readQueue.RecordRead(now, n, full) {
		return
	}
	c.readQueue.SetUnread(now, c.sender.Unread()+int(c.input.aheadBytes.Load()))
}

// shed refuses a read that has waited too long before it was read, if the shedder decides so. Its refusal
// is written together with those of the reads around it: a system call for each would cost as much as
// serving some of them.
func (c *client) shed(cmd *parsedCommand) bool {
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.front.shedder.Busy() || c.ended || cmd.name != "" || cmd.refused || p.stopping {
		return false
	}
	waited := c.readQueue.Waited(p.elapsed())
	if waited <= 0 {
		return false
	}
	r, err := cmd.parseRequest(&p.cfg.Settings)
	if err != nil || c.front.shedder.Admit(&r, &p.cfg.Settings.Classes[r.Class], waited) {
		return false
	}
	c.front.shedder.CountRequest(r.Tenant)
	p.reasons.Add(reasons.Refused, r.Class, r.Tenant, reasons.Overload)
	c.midCommand = false
	c.noteCommand()
	if n := len(c.pending); n == 0 || !c.pending[n-1].refusalBatch {
		c.pending = append(c.pending, &pendingAnswer{client: c, refusalBatch: true})
	}
	o := c.pending[len(c.pending)-1]
	previousSize := cap(o.reply)
	after := time.Duration(0)
	if s := &p.cfg.Settings; s.CanRetryAfter {
		// Randomized, so that reads that are refused together are not retried together.
		after = min(waited+rand.N(waited), s.MaxRetryAfter*2/3)
	}
	o.reply = appendBusy(o.reply, after)
	p.bufferedBytes += cap(o.reply) - previousSize
	if c.corked = true; len(o.reply) >= maxCorkedBytes {
		c.corked = false
		c.flush()
	}
	return true
}

// uncork writes the collected refusals once there is no further input for the moment.
func (c *client) uncork() {
	c.proxy.mu.Lock()
	c.writeRefusals()
	c.proxy.mu.Unlock()
}

// writeRefusals writes the collected refusals, if there are any. It requires the lock.
func (c *client) writeRefusals() {
	if c.corked {
		c.corked = false
		c.flush()
	}
}
