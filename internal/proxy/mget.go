package proxy

import (
	"fmt"
	"math"
	"slices"
	"strconv"

	"linenloom/internal/manykeys"
	"linenloom/internal/resp"
	"linenloom/internal/upstream"
)

// streamName is the name in a request's list by which a client says that it takes keys as they come.
const streamName = "s"

// mostScratch is how much of the room for replies is kept for the next.
const mostScratch = 1 << 20

// manyReply is the reply to OBJ.MGET (docs/many-keys.md).
type manyReply struct {
	p      *Proxy
	o      *pendingAnswer
	many   *Many
	texts  [][]byte // what the reply says of each key
	text   []byte   // what is to be written, where keys are taken as they come
	held   int
	stream bool
	told   int // places told so far, where keys are taken as they come
}

var _ ManyTaker = (*manyReply)(nil)

// submitMany hands over a request for many keys that has been read whole.
func (c *client) submitMany(cmd parsedCommand) {
	o := &pendingAnswer{client: c}
	c.pending = append(c.pending, o)
	m, err := c.newManyReply(o, &cmd)
	if err == nil {
		err = cmd.denied
	}
	if err == nil {
		m.many, err = c.proxy.SubmitMany(cmd.Command, cmd.keys, cmd.proof, "resp2", math.MaxInt, m)
	}
	if err != nil {
		c.countFault(err)
		c.sendAnswer(o, appendDenied(nil, err))
		return
	}
	o.many = m
	if m.stream {
		m.text = resp.AppendArray(nil, len(m.many.Gather.KeyIndexes()))
		m.hold(len(m.text))
	} else {
		m.texts = make([][]byte, m.many.Gather.Len())
	}
}

func (c *client) newManyReply(o *pendingAnswer, cmd *parsedCommand) (*manyReply, error) {
	if cmd.rejectedKeys > 0 {
		return nil, fmt.Errorf("%w: %d, and %d are allowed", manykeys.ErrTooMany, cmd.rejectedKeys, c.proxy.cfg.ManyKeys.Keys)
	}
	m := &manyReply{p: c.proxy, o: o}
	attrs := make([]byte, 0, len(cmd.Attrs))
	for name, value := range upstream.Attributes(cmd.Attrs) {
		if name == streamName {
			m.stream = string(value) == "1"
			continue
		}
		if len(attrs) > 0 {
			attrs = append(attrs, ',')
		}
		attrs = append(append(append(attrs, name...), '='), value...)
	}
	cmd.Attrs = attrs
	return m, nil
}

// Told puts what became of a key into RESP2.
func (m *manyReply) Told(k int, mark manykeys.Outcome, a Answer, denied error) {
	p := m.p
	b := p.scratch[:0]
	switch mark {
	case manykeys.Served:
		b = resp.AppendBulk(b, a.Value)
	case manykeys.Refused:
		b = appendBusy(b, a.RetryAfter)
	case manykeys.Late:
		b = resp.AppendError(b, "LATE")
	case manykeys.Large:
		b = resp.AppendError(b, "LARGE")
	case manykeys.Denied:
		b = appendDenied(b, denied)
	default:
		b = resp.AppendError(b, "ERR failed")
	}
	if cap(p.scratch) < cap(b) && cap(b) <= mostScratch {
		p.scratch = b[:0]
	}
	if !m.stream { // one by one: a single piece that grows costs more
		m.texts[k] = slices.Clone(b)
		m.hold(len(b))
		return
	}
	was := len(m.text)
	for place, at := range m.many.Gather.KeyIndexes() {
		if at == k {
			m.text = append(m.text, "*2\r\n:"...)
			m.text = append(strconv.AppendInt(m.text, int64(place), 10), "\r\n"...)
			m.text = append(m.text, b...)
			m.told++
		}
	}
	m.hold(len(m.text) - was)
	m.o.client.flush()
}

// hold counts what is held for the reply.
func (m *manyReply) hold(n int) {
	m.held += n
	m.p.Hold(n)
}

// Over writes the reply, in the order asked, or what is left of one that went out as keys came.
func (m *manyReply) Over() {
	c, o := m.o.client, m.o
	if m.stream {
		c.flush()
		return
	}
	b := resp.AppendArray(m.p.scratch[:0], len(m.many.Gather.KeyIndexes()))
	for _, k := range m.many.Gather.KeyIndexes() {
		b = append(b, m.texts[k]...)
	}
	m.hold(-m.held)
	m.texts, o.many = nil, nil
	c.sendAnswer(o, b)
	if m.p.scratch = b[:0]; cap(b) > mostScratch {
		m.p.scratch = nil
	}
}

// flushed takes what is to be written now, and tells whether that is the last of it.
func (m *manyReply) flushed() (b []byte, last bool) {
	b, m.text = m.text, nil
	m.hold(-m.held)
	return b, m.told == len(m.many.Gather.KeyIndexes())
}

// leave ends a request whose client has gone.
func (m *manyReply) leave() {
	m.hold(-m.held)
	m.texts, m.text = nil, nil
	m.many.Withdraw()
}
