package proxy

import (
	"errors"
	"fmt"
	"strconv"

	"linenloom/internal/identity"
	"linenloom/internal/manykeys"
	"linenloom/internal/upstream"
	"linenloom/logic"
)

// ManyTaker gets what becomes of the keys of one request, under the host's lock; it must not block.
type ManyTaker interface {
	// Told tells of a key, by its number in the Gather: its value, which is valid during the call, or why there is none. It may come in
	// the midst of the Balancer's work.
	Told(k int, mark manykeys.Outcome, a Answer, denied error)
	// Over comes once every key has been told of.
	Over()
}

// Many is a request for many keys: one reply, and a read of its own for each key.
type Many struct {
	p        *Proxy
	Gather   *manykeys.Gather
	to       ManyTaker
	command  Command // of which each read has a key and an id
	by       *identity.Proof
	front    string
	reads    []manyRead // by key
	ids      []byte     // of the reads
	group    uint32     // of the reads, to the connections
	queued   bool       // in the host's list of those to go on with
	over     bool
	withdrew bool
}

// manyRead is the read of one key.
type manyRead struct {
	Request
	m *Many
	k int
}

// ErrNoMany tells that requests for many keys are not taken here.
var ErrNoMany = errors.New("requests for many keys are not taken")

// SubmitMany takes a request for many keys, under the host's lock; most is how many bytes its values may have, beside what is set. What is
// wrong with all of it is told at once, and nothing is asked for then. It begins once the event is done, as what it does may end some of it at once.
func (p *Proxy) SubmitMany(c Command, keys []string, by *identity.Proof, front string, most int, to ManyTaker) (*Many, error) {
	l := p.cfg.ManyKeys
	switch {
	case l == nil:
		return nil, ErrNoMany
	case len(keys) > l.Keys: // before any of them is looked at
		return nil, fmt.Errorf("%w: %d, and %d are allowed", manykeys.ErrTooMany, len(keys), l.Keys)
	case len(keys) == 0:
		return nil, manykeys.ErrNoKeys
	}
	for _, k := range keys {
		if !plain([]byte(k)) {
			return nil, errors.New("keys must be given, without spaces")
		}
	}
	first := c
	first.Key = []byte(keys[0])
	lr, err := first.describe(&p.cfg.Settings)
	switch {
	case err != nil:
		return nil, err
	case c.Write || p.cfg.Settings.Classes[lr.Class].Effect != logic.Repeatable:
		return nil, errors.New("requests for many keys are for reads")
	case p.ids.used(c.ReqID, p.now):
		return nil, ErrIDInUse
	}
	limits := *l
	limits.Bytes = min(limits.Bytes, most)
	g, err := manykeys.New(limits, keys, func(key string) uint64 { return uint64(p.bal.PrimaryCache(keyOf([]byte(key)))) })
	if err != nil {
		return nil, err
	}
	p.ids.add(c.ReqID, p.now)
	c.ArrivedAt = p.earliestArrival(c.ArrivedAt) // of each of its reads, whenever that is asked for
	p.groups = max(1, p.groups+1)
	m := &Many{p: p, Gather: g, to: to, command: c, by: by, front: front, group: p.groups, reads: make([]manyRead, g.Len()),
		ids: make([]byte, 0, g.Len()*(len(c.ReqID)+5))}
	m.queue()
	return m, nil
}

func (m *Many) queue() {
	if !m.queued {
		m.queued = true
		m.p.manys = append(m.p.manys, m)
	}
}

// goOn asks for what is to be asked for now, and ends the request once all of it has its mark.
func (m *Many) goOn() {
	m.queued = false
	if m.withdrew || m.over {
		return
	}
	for now := m.Gather.Next(); len(now) > 0; now = m.Gather.Next() {
		for _, k := range now {
			m.ask(k)
		}
	}
	if m.Gather.Finished() {
		m.over = true
		m.to.Over()
	}
}

func (m *Many) ask(k int) {
	s := &m.reads[k]
	s.m, s.k = m, k
	from := len(m.ids)
	m.ids = strconv.AppendInt(append(append(m.ids, m.command.ReqID...), '/'), int64(k), 10)
	s.Command = Command{AllowedAddrs: m.command.AllowedAddrs, ArrivedAt: m.command.ArrivedAt, Message: upstream.Message{Key: []byte(m.Gather.Key(k)), Attrs: m.command.Attrs,
		ReqID: m.ids[from:len(m.ids):len(m.ids)]}}
	s.Proof, s.Front, s.Responder, s.group = m.by, m.front, s, m.group
	err := m.p.Submit(&s.Request)
	switch {
	case err == nil:
	case errors.Is(err, ErrBusy):
		m.tell(k, manykeys.Refused, Answer{Kind: Refused}, nil)
	case identity.WhyOf(err) != 0:
		m.tell(k, manykeys.Denied, Answer{Kind: Failed}, err)
	default:
		m.tell(k, manykeys.Failed, Answer{Kind: Failed}, err)
	}
}

// Answer takes a key's final answer.
func (s *manyRead) Answer(a Answer) {
	mark := manykeys.Failed
	switch {
	case a.Kind == Served:
		mark = manykeys.Served
	case s.denied != nil:
		mark = manykeys.Denied
	case a.Kind == Refused && (a.Reason == logic.OutOfTime || a.Reason == logic.OriginLine):
		mark = manykeys.Late
	case a.Kind == Refused:
		mark = manykeys.Refused
	}
	s.m.tell(s.k, mark, a, s.denied)
}

// tell notes what became of a key. What follows from it waits until the Balancer has done its work.
func (m *Many) tell(k int, mark manykeys.Outcome, a Answer, denied error) {
	if m.withdrew {
		return
	}
	m.to.Told(k, m.Gather.Complete(k, mark, len(a.Value)), a, denied)
	m.queue()
}

// Withdraw says that nobody waits for the reply any more: the reads that are out are given up.
func (m *Many) Withdraw() {
	if m.withdrew || m.over {
		return
	}
	m.withdrew = true
	for k := range m.reads {
		if m.reads[k].m != nil {
			m.p.Cancel(&m.reads[k].Request)
		}
	}
}

// manyOn goes on with requests for many keys whose keys have ended. It tells whether there were any.
func (p *Proxy) manyOn() (some bool) {
	p.ups.Cork()
	defer p.ups.Uncork()
	for i := 0; i < len(p.manys); i++ { // it grows while it is gone through
		p.manys[i].goOn()
		p.manys[i] = nil
		some = true
	}
	p.manys = p.manys[:0]
	return some
}
