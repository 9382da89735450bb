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

// ManyResponder receives the outcomes of a request for many keys. Its methods are called under the host's
// lock and must not block.
type ManyResponder interface {
	// KeyDone reports the outcome of the key with this index in the Gather: its value, which is valid
	// during the call only, or why there is none. It may be called while the balancer is handling an event.
	KeyDone(keyIndex int, outcome manykeys.Outcome, answer Answer, denied error)
	// WritesValues reports whether the value of a key is written to the client on arrival, and not held.
	WritesValues() bool
	// AllDone is called once, after KeyDone for every key.
	AllDone()
}

// Many is a request for many keys. It has one reply, and a separate read for each key.
type Many struct {
	proxy     *Proxy
	Gather    *manykeys.Gather
	responder ManyResponder
	command   Command // the reads replace the key and the ID
	proof     *identity.Proof
	front     string
	reads     []*manyRead // by key index; nil unless outstanding
	idBuffer  []byte      // holds the IDs of the reads
	group     uint32      // of the reads, used by the connection pool
	queued    bool        // in the host's list of requests to advance
	finished  bool
	cancelled bool
}

// manyRead is the read of one key.
type manyRead struct {
	Request
	many     *Many
	keyIndex int
}

// ErrManyKeysDisabled means that requests for many keys are not enabled.
var ErrManyKeysDisabled = errors.New("requests for many keys are not taken")

// SubmitMany accepts a request for many keys, under the host's lock. maxBytes limits the total size of
// the values, in addition to the configured limit. An error concerns the request as a whole; no key is
// requested then. The reads start after the current event, as starting them may end some of them at once.
func (p *Proxy) SubmitMany(c Command, keys []string, proof *identity.Proof, front string, maxBytes int, responder ManyResponder) (*Many, error) {
	configured := p.cfg.ManyKeys
	switch {
	case configured == nil:
		return nil, ErrManyKeysDisabled
	case len(keys) > configured.Keys: // before any key is examined
		return nil, fmt.Errorf("%w: %d, and %d are allowed", manykeys.ErrTooMany, len(keys), configured.Keys)
	case len(keys) == 0:
		return nil, manykeys.ErrNoKeys
	}
	for _, k := range keys {
		if !isPlain([]byte(k)) {
			return nil, errors.New("keys must be given, without spaces")
		}
	}
	first := c
	first.Key = []byte(keys[0])
	balancerRequest, err := first.parseRequest(&p.cfg.Settings)
	switch {
	case err != nil:
		return nil, err
	case c.Write || p.cfg.Settings.Classes[balancerRequest.Class].Effect != logic.Repeatable:
		return nil, errors.New("requests for many keys are for reads")
	case p.recentIDs.contains(c.ReqID, p.now):
		return nil, ErrIDInUse
	}
	limits := *configured
	limits.Bytes = min(limits.Bytes, maxBytes)
	gather, err := manykeys.New(limits, keys, func(key string) uint64 { return uint64(p.balancer.PrimaryCache(keyNumber([]byte(key)))) })
	if err != nil {
		return nil, err
	}
	p.recentIDs.add(c.ReqID, p.now)
	c.ArrivedAt = p.earliestArrival(c.ArrivedAt) // also for reads that start later
	p.lastGroup = max(1, p.lastGroup+1)
	m := &Many{proxy: p, Gather: gather, responder: responder, command: c, proof: proof, front: front, group: p.lastGroup, reads: make([]*manyRead, gather.Len()),
		idBuffer: make([]byte, 0, gather.Len()*(len(c.ReqID)+5))}
	m.queue()
	return m, nil
}

func (m *Many) queue() {
	if !m.queued {
		m.queued = true
		m.proxy.pendingMany = append(m.proxy.pendingMany, m)
	}
}

// advance submits the reads that may start now, and ends the request once every key has an outcome.
func (m *Many) advance() {
	m.queued = false
	if m.cancelled || m.finished {
		return
	}
	for keys := m.Gather.Next(); len(keys) > 0; keys = m.Gather.Next() {
		for _, keyIndex := range keys {
			m.submitKey(keyIndex)
		}
	}
	if m.Gather.Finished() {
		m.finished = true
		m.responder.AllDone()
	}
}

func (m *Many) submitKey(keyIndex int) {
	read := &manyRead{many: m, keyIndex: keyIndex}
	m.reads[keyIndex] = read
	from := len(m.idBuffer)
	m.idBuffer = strconv.AppendInt(append(append(m.idBuffer, m.command.ReqID...), '/'), int64(keyIndex), 10)
	read.Command = Command{AllowedAddrs: m.command.AllowedAddrs, ArrivedAt: m.command.ArrivedAt, Message: upstream.Message{Key: []byte(m.Gather.Key(keyIndex)), Attrs: m.command.Attrs,
		ReqID: m.idBuffer[from:len(m.idBuffer):len(m.idBuffer)]}}
	read.Proof, read.Front, read.Responder, read.group = m.proof, m.front, read, m.group
	err := m.proxy.Submit(&read.Request)
	switch {
	case err == nil:
	case errors.Is(err, ErrBusy):
		m.completeKey(keyIndex, manykeys.Refused, Answer{Kind: Refused}, nil)
	case identity.ReasonOf(err) != 0:
		m.completeKey(keyIndex, manykeys.Denied, Answer{Kind: Failed}, err)
	default:
		m.completeKey(keyIndex, manykeys.Failed, Answer{Kind: Failed}, err)
	}
}

// Answer handles the final answer to the read of a key.
func (r *manyRead) Answer(a Answer) {
	outcome := manykeys.Failed
	switch {
	case a.Kind == Served:
		outcome = manykeys.Served
	case r.denied != nil:
		outcome = manykeys.Denied
	case a.Kind == Refused && (a.Reason == logic.OutOfTime || a.Reason == logic.OriginLine):
		outcome = manykeys.Late
	case a.Kind == Refused:
		outcome = manykeys.Refused
	}
	r.many.completeKey(r.keyIndex, outcome, a, r.denied)
}

// completeKey stores the outcome of a key. The request is advanced after the balancer has handled the current event.
func (m *Many) completeKey(keyIndex int, outcome manykeys.Outcome, a Answer, denied error) {
	if m.cancelled {
		return
	}
	if outcome == manykeys.Served {
		m.proxy.answerBudget.RecordSize(len(a.Value))
		if read := &m.reads[keyIndex].Request; !m.responder.WritesValues() && !m.proxy.MayHold(read, len(a.Value)) {
			outcome, a = manykeys.Refused, m.proxy.RefuseForMemory(read)
		}
	}
	m.reads[keyIndex] = nil
	m.responder.KeyDone(keyIndex, m.Gather.Complete(keyIndex, outcome, len(a.Value)), a, denied)
	m.queue()
}

// Cancel cancels the outstanding reads, as the client no longer waits for the reply.
func (m *Many) Cancel() {
	if m.cancelled || m.finished {
		return
	}
	m.cancelled = true
	for _, read := range m.reads {
		if read != nil {
			m.proxy.Cancel(&read.Request)
		}
	}
}

// advanceMany advances the requests for many keys that have new outcomes. It reports whether there were any.
func (p *Proxy) advanceMany() (advanced bool) {
	p.upstreams.Cork()
	defer p.upstreams.Uncork()
	for i := 0; i < len(p.pendingMany); i++ { // the list may grow during the loop
		p.pendingMany[i].advance()
		p.pendingMany[i] = nil
		advanced = true
	}
	p.pendingMany = p.pendingMany[:0]
	return advanced
}
