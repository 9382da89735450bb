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
	// maxReplyBytes limits the values of a reply, which is assembled under the host's lock.
	maxReplyBytes = 512 << 10
	// maxKeyBytes limits the total length of the keys.
	maxKeyBytes = 64 << 10
)

// manyCall assembles the reply to a call for many keys (docs/many-keys.md).
type manyCall struct {
	call      *call
	many      *proxy.Many
	keys      []keyResult
	heldBytes int
}

// keyResult is a key's entry in the reply: its value, in base64 as JSON encodes it, or its mark.
type keyResult struct {
	Key        string `json:"key"`
	Value      []byte `json:"value"`
	Mark       string `json:"mark,omitempty"`
	RetryAfter int64  `json:"retry_after_ms,omitempty"`
}

var _ proxy.ManyResponder = (*manyCall)(nil)

// submitMany submits a call for many keys to the host. The host's lock must be held.
func (s *stream) submitMany(c *call) error {
	m := &manyCall{call: c}
	command := c.request.Command
	command.Key = nil
	many, err := s.front.host.SubmitMany(command, strings.Split(s.target.Key, ","), s.proof, "extproc", maxReplyBytes, m)
	if err != nil {
		s.discardCall(c)
		return err
	}
	m.many, c.many = many, m
	m.keys = make([]keyResult, many.Gather.Len())
	return nil
}

// KeyDone receives the result for a key.
func (m *manyCall) KeyDone(index int, mark manykeys.Outcome, a proxy.Answer, _ error) {
	result := keyResult{Key: m.many.Gather.Key(index)}
	switch mark {
	case manykeys.Served:
		result.Value = slices.Clone(a.Value)
		if result.Value == nil {
			result.Value = []byte{}
		}
		m.hold(len(a.Value))
	default:
		result.Mark = mark.String()
		result.RetryAfter = int64(math.Ceil(float64(a.RetryAfter.Microseconds()) / 1000))
	}
	m.keys[index] = result
}

// WritesValues reports that all values are held until the reply is complete.
func (m *manyCall) WritesValues() bool { return false }

// AllDone sends the call's single answer, with the keys in the order asked.
func (m *manyCall) AllDone() {
	var reply struct {
		Keys []keyResult `json:"keys"`
	}
	for _, k := range m.many.Gather.KeyIndexes() {
		reply.Keys = append(reply.Keys, m.keys[k])
	}
	body, err := json.Marshal(reply)
	m.releaseValues()
	if err != nil { // not expected: all of the reply can be encoded
		m.call.Answer(proxy.Answer{Kind: proxy.Failed})
		return
	}
	m.call.Answer(proxy.Answer{Kind: proxy.Served, Value: body})
}

func (m *manyCall) hold(n int) {
	m.heldBytes += n
	m.call.front.host.AddBuffered(n)
}

func (m *manyCall) releaseValues() {
	m.hold(-m.heldBytes)
	m.keys = nil
}

// withdraw releases the values and cancels outstanding keys.
func (m *manyCall) withdraw() {
	m.releaseValues()
	m.many.Cancel()
}
