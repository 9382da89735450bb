package proxy

import (
	"math/rand/v2"
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"linenloom/internal/reasons"
)

// corkMost is how many bytes of refusals are written together at the most.
const corkMost = 16 << 10

// core tells how much of its core, or cores, the process has used lately.
type core struct {
	used, at time.Duration
	last     float64
}

// share is from 0 to 1, over the time since it was last asked and the time before.
func (c *core) share(now time.Duration) float64 {
	var u unix.Rusage
	if now <= c.at || unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return c.last
	}
	used := time.Duration(u.Utime.Nano() + u.Stime.Nano())
	if c.at > 0 {
		share := float64(used-c.used) / float64(now-c.at) / float64(runtime.GOMAXPROCS(0))
		c.last += (share - c.last) / 2
	}
	c.used, c.at = used, now
	return c.last
}

// measure takes in what was read of what stands unread.
func (c *client) measure(n int, full bool) {
	now := c.p.elapsed()
	if !c.line.RecordRead(now, n, full) {
		return
	}
	unread := 0
	c.w.Raw().Control(func(fd uintptr) { unread, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	c.line.SetUnread(now, unread)
}

// shed turns a read away that has waited too long to be read, if the gate says so. Its refusal goes out with those of
// the reads around it: a system call for each would cost as much as serving some of them.
func (c *client) shed(cmd *input) bool {
	p := c.p
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.f.gate.Busy() || c.ended || cmd.name != "" || cmd.refused || p.stopping {
		return false
	}
	waited := c.line.Waited(p.elapsed())
	if waited <= 0 {
		return false
	}
	r, err := cmd.parseRequest(&p.cfg.Settings)
	if err != nil || c.f.gate.Admit(&r, &p.cfg.Settings.Classes[r.Class], waited) {
		return false
	}
	c.f.gate.CountRequest(r.Tenant)
	p.reasons.Add(reasons.Refused, r.Class, r.Tenant, reasons.Overload)
	c.mid = false
	c.ask()
	if n := len(c.pending); n == 0 || !c.pending[n-1].run {
		c.pending = append(c.pending, &owed{client: c, run: true, reply: make([]byte, 0, 256)})
	}
	o := c.pending[len(c.pending)-1]
	was := len(o.reply)
	after := time.Duration(0)
	if s := &p.cfg.Settings; s.CanRetryAfter {
		// Spread, so that those turned away together don't come back together.
		after = min(waited+rand.N(waited), s.MaxRetryAfter*2/3)
	}
	o.reply = appendBusy(o.reply, after)
	p.bufferedBytes += len(o.reply) - was
	if c.corked = true; len(o.reply) >= corkMost {
		c.corked = false
		c.flush()
	}
	return true
}

// uncork writes what was turned away, once there is nothing further to read for the moment.
func (c *client) uncork() {
	c.corked = false
	c.p.mu.Lock()
	c.flush()
	c.p.mu.Unlock()
}
