package server

import (
	"encoding/json"
	"math"
	"slices"
	"strings"

	"linenloom/internal/manykeys"
	"linenloom/internal/proxy"
)

const (
	// manyBytes is how many bytes the values of a reply may have here: it is put together under the host's lock.
	manyBytes = 512 << 10
	// mostKeyText is how long the keys may be together.
	mostKeyText = 64 << 10
)

// manyCall gathers the reply to a call for many keys (docs/many-keys.md).
type manyCall struct {
	c    *call
	many *proxy.Many
	keys []told
	held int
}

// told is what the reply says of a key: its value, in base64 as JSON has it, or its mark.
type told struct {
	Key        string `json:"key"`
	Value      []byte `json:"value"`
	Mark       string `json:"mark,omitempty"`
	RetryAfter int64  `json:"retry_after_ms,omitempty"`
}

var _ proxy.ManyTaker = (*manyCall)(nil)

// submitMany hands a call for many keys to the host, under its lock.
func (s *stream) submitMany(c *call) error {
	m := &manyCall{c: c}
	command := c.req.Command
	command.Key = nil
	many, err := s.f.p.SubmitMany(command, strings.Split(s.target.Key, ","), s.proof, "extproc", manyBytes, m)
	if err != nil {
		s.drop(c)
		return err
	}
	m.many, c.many = many, m
	m.keys = make([]told, many.Gather.Len())
	return nil
}

// Told takes what became of a key.
func (m *manyCall) Told(k int, mark manykeys.Outcome, a proxy.Answer, _ error) {
	t := told{Key: m.many.Gather.Key(k)}
	switch mark {
	case manykeys.Served:
		t.Value = slices.Clone(a.Value)
		if t.Value == nil {
			t.Value = []byte{}
		}
		m.hold(len(a.Value))
	default:
		t.Mark = mark.String()
		t.RetryAfter = int64(math.Ceil(float64(a.RetryAfter.Microseconds()) / 1000))
	}
	m.keys[k] = t
}

// Over gives the call its one answer, in the order asked.
func (m *manyCall) Over() {
	var reply struct {
		Keys []told `json:"keys"`
	}
	for _, k := range m.many.Gather.KeyIndexes() {
		reply.Keys = append(reply.Keys, m.keys[k])
	}
	body, err := json.Marshal(reply)
	m.release()
	if err != nil { // nothing of it can't be written as JSON
		m.c.Answer(proxy.Answer{Kind: proxy.Failed})
		return
	}
	m.c.Answer(proxy.Answer{Kind: proxy.Served, Value: body})
}

func (m *manyCall) hold(n int) {
	m.held += n
	m.c.f.p.Hold(n)
}

func (m *manyCall) release() {
	m.hold(-m.held)
	m.keys = nil
}

// leave gives up what is out.
func (m *manyCall) leave() {
	m.release()
	m.many.Withdraw()
}
