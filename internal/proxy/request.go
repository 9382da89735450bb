package proxy

import (
	"bytes"
	"strconv"
	"time"

	"linenloom/internal/resp"
	"linenloom/logic"
)

// request is a client's command from its last byte to its answer, and on to the end of its last attempt.
// A reply that no member has a part in (to PING, or an error) is one too, so that answers keep their order.
type request struct {
	command
	id       logic.RequestID
	client   *client
	deadline time.Duration
	attempts []*attempt // by number
	out      int        // attempts without outcome
	done     bool       // the final answer is decided, or nobody waits for it
	reply    []byte     // the final answer, until it is written
	stream   *stream    // the final answer, if it is passed on piece by piece
}

// attempt is one sending of a request to a member.
type attempt struct {
	req       *request
	n         int
	to        logic.MemberID
	sentAt    time.Duration
	until     time.Duration // it is given up then
	conn      *upstream     // nil while it waits for one
	end       int64         // place of its last byte in what the connection sends
	streaming bool
	answered  time.Duration // when the first byte of a streamed value came
	ended     bool
}

// end gives an attempt its outcome; later ones are dropped.
func (p *Proxy) end(a *attempt, s logic.Status, note int) {
	if a.ended {
		return
	}
	a.ended = true
	r := a.req
	r.out--
	elapsed := p.now - a.sentAt
	if a.streaming {
		elapsed = a.answered - a.sentAt
	}
	p.outcomes = append(p.outcomes, logic.Outcome{
		Request: r.id, Attempt: a.n, Member: a.to, Status: s, Elapsed: elapsed, Note: note, Final: r.done,
	})
	p.settle(r)
}

// settle lets go of a request that is over. Timers still name its attempts for a while, so its value, which
// may be large, is let go of here.
func (p *Proxy) settle(r *request) {
	if r.done && r.out == 0 && p.requests[r.id] == r {
		delete(p.requests, r.id)
		p.held -= cap(r.value)
		r.value = nil
	}
}

// submit takes a request that has been read whole.
func (p *Proxy) submit(c *client, cmd command) {
	r := &request{command: cmd, client: c}
	c.pending = append(c.pending, r)
	if len(p.requests) >= p.cfg.MostHeld || p.held > p.heldMax {
		p.held -= cap(r.value)
		r.value, r.done = nil, true
		c.answer(r, resp.AppendError(nil, "BUSY"))
		return
	}
	p.nextID++ // after 2^32 it begins anew, long after the request that had the number
	r.id = p.nextID
	lr := r.describe(p.cfg.Settings)
	lr.ID = r.id
	lr.Deadline += p.now
	r.deadline = lr.Deadline
	p.requests[r.id] = r
	p.bal.Request(p.now, lr)
}

// describe reads what the command tells of the request; Deadline is still relative.
func (c *command) describe(s logic.Settings) logic.Request {
	r := logic.Request{Key: keyOf(c.key), Class: -1, Write: c.write}
	wait := 0.0
	for name, value := range c.names() {
		switch name {
		case "c":
			for i := range s.Classes {
				if s.Classes[i].Name == string(value) {
					r.Class = i
				}
			}
		case "t":
			for i := range s.Tenants {
				if s.Tenants[i].Name == string(value) {
					r.Tenant = i
				}
			}
		case "d":
			wait = number(value)
		case "h":
			r.Cost = time.Duration(number(value) * float64(time.Microsecond))
			r.Known = r.Cost > 0
		case "r":
			r.Retry = string(value) == "1"
		case "size":
			r.Size = number(value)
		}
	}
	class := &s.Classes[max(0, r.Class)]
	r.Deadline = class.Deadline
	// No client waits longer than its class allows; a figure beyond that is a mistake.
	if d := time.Duration(wait * float64(time.Millisecond)); wait > 0 && d > 0 && d < r.Deadline {
		r.Deadline = d
	}
	return r
}

// number reads a figure that a client gave; what is not one, or negative, is 0.
func number(text []byte) float64 {
	f, err := strconv.ParseFloat(string(text), 64)
	if err != nil || !(f > 0) || f > 1e12 {
		return 0
	}
	return f
}

// names ranges over the list of names and values.
func (c *command) names() func(yield func(string, []byte) bool) {
	return func(yield func(string, []byte) bool) {
		for rest := c.attrs; len(rest) > 0; {
			var item []byte
			item, rest, _ = bytes.Cut(rest, []byte{','})
			if name, value, ok := bytes.Cut(item, []byte{'='}); ok && !yield(string(name), value) {
				return
			}
		}
	}
}

// appendCommand appends the command for a cache: as it came, but for how long the sender waits.
func (c *command) appendCommand(b []byte, wait time.Duration) []byte {
	attrs := make([]byte, 0, len(c.attrs)+16)
	for name, value := range c.names() {
		if name != "d" {
			attrs = append(attrs, name...)
			attrs = append(attrs, '=')
			attrs = append(attrs, value...)
			attrs = append(attrs, ',')
		}
	}
	attrs = append(attrs, "d="...)
	attrs = strconv.AppendInt(attrs, max(1, wait.Milliseconds()), 10)
	name, n := "OBJ.GET", 4
	if c.write {
		name, n = "OBJ.SET", 5
	}
	b = resp.AppendArray(b, n)
	b = resp.AppendBulk(b, name)
	b = resp.AppendBulk(b, c.key)
	b = resp.AppendBulk(b, c.reqID)
	b = resp.AppendBulk(b, attrs)
	if c.write {
		b = resp.AppendBulkHead(b, len(c.value))
	}
	return b
}
