package proxy

import (
	"errors"
	"fmt"
	"strconv"

	"linenloom/internal/identity"
	"linenloom/internal/manykeys"
	"linenloom/internal/resp"
	"linenloom/internal/upstream"
	"linenloom/logic"
)

// streamName is the name in a request's list by which a client says that it takes keys as they come.
const streamName = "s"

// many is a request for many keys: its client gets one reply, and each key is a read of its own.
type many struct {
	p       *Proxy
	o       *owed
	g       *manykeys.Gather
	reads   []*manyRead // by key; nil: not asked for yet
	texts   [][]byte    // what the reply says of each
	buf     []byte      // what is to be written, where keys are taken as they come
	stream  bool
	queued  bool // in the host's list of those to go on with
	left    bool // its client has gone
	held    int
	group   uint32 // of its reads, to the connections
	elapsed int    // places told so far, where keys are taken as they come
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
		m.buf = resp.AppendArray(nil, len(m.g.Places()))
		p.Hold(len(m.buf))
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
	m.reads, m.texts = make([]*manyRead, g.Len()), make([][]byte, g.Len())
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
	s := &manyRead{m: m, k: k}
	s.Command = Command{Message: upstream.Message{Key: []byte(m.g.Key(k)), Attrs: o.Attrs,
		ReqID: strconv.AppendInt(append(append([]byte(nil), o.ReqID...), '/'), int64(k), 10)}}
	s.By, s.Front, s.Taker, s.group = o.By, "resp2", s, m.group
	m.reads[k] = s
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
	switch {
	case a.Kind == Served:
		s.m.tell(s.k, manykeys.Served, resp.AppendBulk(nil, a.Value), len(a.Value))
	case s.denied != nil:
		s.m.tell(s.k, manykeys.Denied, appendDenied(nil, s.denied), 0)
	case a.Kind == Refused && (a.Why == logic.OutOfTime || a.Why == logic.OriginLine):
		s.m.tell(s.k, manykeys.Late, resp.AppendError(nil, "LATE"), 0)
	case a.Kind == Refused:
		s.m.tell(s.k, manykeys.Refused, appendBusy(nil, a.RetryAfter), 0)
	default:
		s.m.tell(s.k, manykeys.Failed, resp.AppendError(nil, "ERR failed"), 0)
	}
}

// tell notes what became of a key. It may be called in the midst of the Balancer's work, so what follows from it waits.
func (m *many) tell(k int, mark manykeys.Mark, text []byte, size int) {
	if m.left {
		return
	}
	if got := m.g.Done(k, mark, size); got != mark {
		text = resp.AppendError(nil, "LARGE")
	}
	m.texts[k] = text
	m.held += len(text)
	m.p.Hold(len(text))
	if m.stream {
		was := len(m.buf)
		for place, at := range m.g.Places() {
			if at == k {
				m.buf = append(m.buf, "*2\r\n:"...)
				m.buf = append(strconv.AppendInt(m.buf, int64(place), 10), "\r\n"...)
				m.buf = append(m.buf, text...)
				m.elapsed++
			}
		}
		m.p.Hold(len(m.buf) - was)
		m.letGo(k)
		m.o.client.flush()
	}
	if !m.queued {
		m.queued = true
		m.p.manys = append(m.p.manys, m)
	}
}

// letGo gives back the room of a key's text once it is elsewhere.
func (m *many) letGo(k int) {
	m.held -= len(m.texts[k])
	m.p.Hold(-len(m.texts[k]))
	m.texts[k] = nil
}

// finish writes the reply, in the order asked, or what is left of one that went out as keys came.
func (m *many) finish() {
	c, o := m.o.client, m.o
	if m.stream {
		c.flush()
		return
	}
	b := resp.AppendArray(make([]byte, 0, m.held+16), len(m.g.Places()))
	for _, k := range m.g.Places() {
		b = append(b, m.texts[k]...)
	}
	for k := range m.texts {
		m.letGo(k)
	}
	o.many = nil
	c.answer(o, b)
}

// flushed takes what is to be written now, and tells whether that is the last of it.
func (m *many) flushed() (b []byte, last bool) {
	b, m.buf = m.buf, nil
	m.p.Hold(-len(b))
	return b, m.elapsed == len(m.g.Places())
}

// leave ends a request whose client has gone: its attempts are given up.
func (m *many) leave() {
	if m.left {
		return
	}
	m.left = true
	m.p.Hold(-len(m.buf))
	m.buf = nil
	for k, s := range m.reads {
		m.letGo(k)
		if s != nil {
			m.p.Withdraw(&s.Request)
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
