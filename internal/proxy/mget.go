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

// streamAttribute is the attribute by which a client asks to get each key as soon as it is available.
const streamAttribute = "s"

// maxKeptScratch is the largest reply buffer, in bytes, that is kept for reuse.
const maxKeptScratch = 1 << 20

// manyReply is the reply to OBJ.MGET, see docs/many-keys.md.
type manyReply struct {
	proxy         *Proxy
	answer        *pendingAnswer
	many          *Many
	keyTexts      [][]byte // RESP2 text for each key, when not streaming
	unsent        []byte   // text to be written next, when streaming
	heldBytes     int
	stream        bool
	placesWritten int // number of places that have their text, when streaming
}

var _ ManyResponder = (*manyReply)(nil)

// submitMany submits a request for many keys that has been read completely.
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
		m.unsent = resp.AppendArray(nil, len(m.many.Gather.KeyIndexes()))
		m.addHeld(cap(m.unsent))
	} else {
		m.keyTexts = make([][]byte, m.many.Gather.Len())
	}
	c.countExpected()
}

// pendingKeys returns the number of keys without an outcome.
func (m *manyReply) pendingKeys() int { return m.many.Gather.Pending() }

// WritesValues reports whether a value that arrives now is written at once.
func (m *manyReply) WritesValues() bool { return m.stream && m.answer.client.isTurnOf(m.answer) }

func (c *client) newManyReply(o *pendingAnswer, cmd *parsedCommand) (*manyReply, error) {
	if cmd.rejectedKeys > 0 {
		return nil, fmt.Errorf("%w: %d, and %d are allowed", manykeys.ErrTooMany, cmd.rejectedKeys, c.proxy.cfg.ManyKeys.Keys)
	}
	m := &manyReply{proxy: c.proxy, answer: o}
	attrs := make([]byte, 0, len(cmd.Attrs))
	for name, value := range upstream.Attributes(cmd.Attrs) {
		if name == streamAttribute {
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

// KeyDone encodes the outcome of a key as RESP2.
func (m *manyReply) KeyDone(keyIndex int, outcome manykeys.Outcome, a Answer, denied error) {
	p := m.proxy
	b := p.scratch[:0]
	switch outcome {
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
	if cap(p.scratch) < cap(b) && cap(b) <= maxKeptScratch {
		p.scratch = b[:0]
	}
	if !m.stream { // separate buffers: growing a single one costs more
		text := slices.Clone(b)
		m.keyTexts[keyIndex] = text
		m.addHeld(cap(text))
		m.answer.client.countExpected()
		return
	}
	before := cap(m.unsent)
	for place, index := range m.many.Gather.KeyIndexes() {
		if index == keyIndex {
			m.unsent = append(m.unsent, "*2\r\n:"...)
			m.unsent = append(strconv.AppendInt(m.unsent, int64(place), 10), "\r\n"...)
			m.unsent = append(m.unsent, b...)
			m.placesWritten++
		}
	}
	m.addHeld(cap(m.unsent) - before)
	m.answer.client.flush()
}

// addHeld adds n bytes to the memory that is held for the reply.
func (m *manyReply) addHeld(n int) {
	m.heldBytes += n
	m.proxy.AddBuffered(n)
}

// AllDone writes the reply in the order of the request, or the rest of a streamed one.
func (m *manyReply) AllDone() {
	c, o := m.answer.client, m.answer
	if m.stream {
		c.flush()
		return
	}
	b := resp.AppendArray(m.proxy.scratch[:0], len(m.many.Gather.KeyIndexes()))
	for _, k := range m.many.Gather.KeyIndexes() {
		b = append(b, m.keyTexts[k]...)
	}
	m.addHeld(-m.heldBytes)
	m.keyTexts, o.many = nil, nil
	c.sendAnswer(o, b)
	if m.proxy.scratch = b[:0]; cap(b) > maxKeptScratch {
		m.proxy.scratch = nil
	}
}

// takeUnsent returns the text to be written now, and whether it is the last of the reply.
func (m *manyReply) takeUnsent() (b []byte, last bool) {
	b, m.unsent = m.unsent, nil
	m.addHeld(-m.heldBytes)
	return b, m.placesWritten == len(m.many.Gather.KeyIndexes())
}

// abandon ends a request whose client has disconnected.
func (m *manyReply) abandon() {
	m.addHeld(-m.heldBytes)
	m.keyTexts, m.unsent = nil, nil
	m.many.Cancel()
}
