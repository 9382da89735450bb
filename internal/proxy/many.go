package proxy

import (
	"errors"
	"fmt"
	"slices"
	"strconv"

	"linenloom/internal/identity"
	"linenloom/internal/manykeys"
	"linenloom/internal/resp"
	"linenloom/internal/upstream"
	"linenloom/logic"
)

// streamName is the name in a request's list by which a client says that it takes keys as they come.
const streamName = "s"

// mostScratch is how much of the room for replies is kept for the next.
const mostScratch = 1 << 20

// many is a request for many keys: its client gets one reply, and each key is a read of its own.
type many struct {
	p      *Proxy
	o      *owed
	g      *manykeys.Gather
	reads  []manyRead // by key
	texts  [][]byte   // what the reply says of each
	text   []byte     // what is to be written, where keys are taken as they come
	held   int
	stream bool
	queued bool   // in the host's list of those to go on with
	left   bool   // its client has gone
	group  uint32 // of its reads, to the connections
	ids    []byte // of its reads
	told   int    // places told so far, where keys are taken as they come
}

// manyRead is the read of one key.
type manyRead struct {
	Request
	m *many
	k int
}

// submitMany hands over a request for many keys that has been read whole.
func (c *client) submitMany(cmd input) {
	p := c.p
	o := &owed{client: c}
	c.pending = append(c.pending, o)
	m, err := c.newMany(o, &cmd)
	if err == nil {
		err = cmd.denied
	}
	if err != nil {
		c.fault(err)
		c.answer(o, appendDenied(nil, err))
		return
	}
	o.many = m
	if m.stream {
		m.text = resp.AppendArray(nil, len(m.g.Places()))
		m.hold(len(m.text))
	}
	p.manys = append(p.manys, m) // it begins once this event is done, as what it does may end some of it at once
	m.queued = true
}

func (c *client) newMany(o *owed, cmd *input) (*many, error) {
	p := c.p
	if cmd.tooMany > 0 {
		return nil, fmt.Errorf("%w: %d, and %d are allowed", manykeys.ErrTooMany, cmd.tooMany, p.cfg.ManyKeys.Keys)
	}
	p.groups = max(1, p.groups+1)
	m := &many{p: p, o: o, group: p.groups}
	keys := make([]string, len(cmd.keys))
	for i, k := range cmd.keys {
		if keys[i] = string(k); !plain(k) {
			return nil, errors.New("keys must be given, without spaces")
		}
	}
	if len(keys) > 0 { // what is wrong with all of them is told once
		first := cmd.Command
		first.Key = cmd.keys[0]
		lr, err := first.describe(&p.cfg.Settings)
		switch {
		case err != nil:
			return nil, err
		case p.cfg.Settings.Classes[lr.Class].Effect != logic.Repeatable:
			return nil, errors.New("OBJ.MGET is for reads")
		case p.ids.used(cmd.ReqID, p.now):
			return nil, ErrInUse
		}
		p.ids.add(cmd.ReqID, p.now)
	}
	g, err := manykeys.New(*p.cfg.ManyKeys, keys, func(key string) uint64 { return uint64(p.bal.Home(keyOf([]byte(key)))) })
	if err != nil {
		return nil, err
	}
	m.g = g
	m.reads, m.texts = make([]manyRead, g.Len()), make([][]byte, g.Len())
	m.ids = make([]byte, 0, g.Len()*(len(cmd.ReqID)+5))
	attrs := make([]byte, 0, len(cmd.Attrs))
	for name, value := range upstream.Names(cmd.Attrs) {
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
	m.o.Command, m.o.By = cmd.Command, cmd.proof
	return m, nil
}

// goOn asks for what is to be asked for now, and ends the request once all of it has its mark.
func (m *many) goOn() {
	m.queued = false
	if m.left {
		return
	}
	for now := m.g.Next(); len(now) > 0; now = m.g.Next() {
		for _, k := range now {
			m.ask(k)
		}
	}
	if m.g.Over() && m.o.many == m {
		m.finish()
	}
}

func (m *many) ask(k int) {
	o := m.o
	s := &m.reads[k]
	s.m, s.k = m, k
	from := len(m.ids)
	m.ids = strconv.AppendInt(append(append(m.ids, o.ReqID...), '/'), int64(k), 10)
	s.Command = Command{Message: upstream.Message{Key: []byte(m.g.Key(k)), Attrs: o.Attrs, ReqID: m.ids[from:len(m.ids):len(m.ids)]}}
	s.By, s.Front, s.Taker, s.group = o.By, "resp2", s, m.group
	err := m.p.Submit(&s.Request)
	switch {
	case err == nil:
	case errors.Is(err, ErrBusy):
		m.tell(k, manykeys.Refused, resp.AppendError(nil, "BUSY"), 0)
	case identity.WhyOf(err) != 0:
		m.tell(k, manykeys.Denied, appendDenied(nil, err), 0)
	default:
		m.tell(k, manykeys.Failed, resp.AppendError(nil, "ERR "+err.Error()), 0)
	}
}

// Answer takes a key's final answer.
func (s *manyRead) Answer(a Answer) {
	p := s.m.p
	b, mark, size := p.scratch[:0], manykeys.Failed, 0
	switch {
	case a.Kind == Served:
		b, mark, size = resp.AppendBulk(b, a.Value), manykeys.Served, len(a.Value)
	case s.denied != nil:
		b, mark = appendDenied(b, s.denied), manykeys.Denied
	case a.Kind == Refused && (a.Why == logic.OutOfTime || a.Why == logic.OriginLine):
		b, mark = resp.AppendError(b, "LATE"), manykeys.Late
	case a.Kind == Refused:
		b, mark = appendBusy(b, a.RetryAfter), manykeys.Refused
	default:
		b = resp.AppendError(b, "ERR failed")
	}
	s.m.tell(s.k, mark, b, size)
	if cap(p.scratch) < cap(b) && cap(b) <= mostScratch {
		p.scratch = b[:0]
	}
}

// tell notes what became of a key, in words that are valid during the call. It may be called in the midst of the Balancer's work, so
// what follows from it waits.
func (m *many) tell(k int, mark manykeys.Mark, text []byte, size int) {
	if m.left {
		return
	}
	if got := m.g.Done(k, mark, size); got != mark {
		text = resp.AppendError(nil, "LARGE")
	}
	was := len(m.text)
	if !m.stream { // one by one: a single piece that grows costs more
		m.texts[k] = slices.Clone(text)
		m.hold(len(text))
	} else {
		for place, at := range m.g.Places() {
			if at == k {
				m.text = append(m.text, "*2\r\n:"...)
				m.text = append(strconv.AppendInt(m.text, int64(place), 10), "\r\n"...)
				m.text = append(m.text, text...)
				m.told++
			}
		}
	}
	m.hold(len(m.text) - was)
	if m.stream {
		m.o.client.flush()
	}
	if !m.queued {
		m.queued = true
		m.p.manys = append(m.p.manys, m)
	}
}

// hold counts what is held for the reply.
func (m *many) hold(n int) {
	m.held += n
	m.p.Hold(n)
}

// finish writes the reply, in the order asked, or what is left of one that went out as keys came.
func (m *many) finish() {
	c, o := m.o.client, m.o
	if m.stream {
		c.flush()
		return
	}
	b := resp.AppendArray(m.p.scratch[:0], len(m.g.Places()))
	for _, k := range m.g.Places() {
		b = append(b, m.texts[k]...)
	}
	m.hold(-m.held)
	m.texts, o.many = nil, nil
	c.answer(o, b)
	if m.p.scratch = b[:0]; cap(b) > mostScratch {
		m.p.scratch = nil
	}
}

// flushed takes what is to be written now, and tells whether that is the last of it.
func (m *many) flushed() (b []byte, last bool) {
	b, m.text = m.text, nil
	m.hold(-m.held)
	return b, m.told == len(m.g.Places())
}

// leave ends a request whose client has gone: its attempts are given up.
func (m *many) leave() {
	if m.left {
		return
	}
	m.left = true
	m.hold(-m.held)
	m.texts, m.text = nil, nil
	for k := range m.reads {
		if m.reads[k].m != nil {
			m.p.Withdraw(&m.reads[k].Request)
		}
	}
}

// manyOn goes on with requests for many keys whose keys have ended. It tells whether there were any.
func (p *Proxy) manyOn() (some bool) {
	p.ups.Cork()
	defer p.ups.Uncork()
	for len(p.manys) > 0 {
		m := p.manys[0]
		p.manys = p.manys[1:]
		m.goOn()
		some = true
	}
	p.manys = nil
	return some
}
