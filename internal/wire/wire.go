// Package wire encodes and decodes the simulator's binary frames and its settings.
package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"linenloom/logic"
)

// The codes of events, with the simulator's name where it differs.
const (
	EvDetach        = 256
	EvInit          = 257
	EvDiscovery     = 258
	EvRequest       = 259 // Ask
	EvStreamStarted = 260 // UnderWay
	EvPeerMessage   = 261 // Message
	EvExpired       = 262
	EvTimer         = 263 // Ring
	EvProbeDone     = 264
	EvAttemptEnded  = 265 // ClosedAttempt
)

// The codes of actions, with the simulator's name where it differs.
const (
	acFail        = 256 // Abort
	acLog         = 257 // Trace
	acProbe       = 258 // AskLoad
	acPeerMessage = 259 // BroadcastTo
	acWatch       = 260 // KeepInformed
	acSetTimer    = 261 // Remind
	acRefuse      = 262 // Shed
	acCloseIdle   = 263 // LetGo
	acBug         = 264
	acFetch       = 265 // Refresh
	acSend        = 266 // HandOff
	acCancel      = 267 // DropAttempt
)

const (
	batchHeader  = 16
	replyHeader  = 8
	recordHeader = 6
	entrySize    = 24
	maxFrame     = 1 << 30
	maxText      = math.MaxUint16
	maxPeerData  = 256
	allPeers     = math.MaxUint32
)

// ErrFrame is wrapped by every error about a malformed frame.
var ErrFrame = errors.New("malformed frame")

// Event is a decoded event. Code determines which fields are set.
type Event struct {
	Code     uint16
	Instance uint32
	Seed     uint64
	Params   []byte
	List     logic.ListKind
	Version  uint32
	Members  []logic.Member
	Request  logic.Request // only the ID for an event that refers to a request
	Outcome  logic.Outcome // also holds the member, status, elapsed time and load of a probe or stream
	Token    uint64
	Peer     int
	Data     []byte
}

// ReadBatch reads one frame. At a clean end of input it returns io.EOF. A truncated frame or one with an
// invalid length is an error that wraps ErrFrame. The buffer is reused if it is large enough.
func ReadBatch(r *bufio.Reader, buf []byte) ([]byte, error) {
	var head [batchHeader]byte
	if n, err := io.ReadFull(r, head[:]); err != nil {
		if n == 0 && errors.Is(err, io.EOF) {
			return buf, io.EOF
		}
		return buf, fmt.Errorf("%w: truncated header after %d bytes: %v", ErrFrame, n, err)
	}
	size := binary.LittleEndian.Uint32(head[8:])
	if size < batchHeader || size > maxFrame {
		return buf, fmt.Errorf("%w: invalid length %d", ErrFrame, size)
	}
	buf = append(buf[:0], head[:]...)
	// The buffer grows as bytes arrive, so a false length costs no memory.
	for len(buf) < int(size) {
		n := min(int(size)-len(buf), 1<<20)
		at := len(buf)
		buf = append(buf, make([]byte, n)...)
		if _, err := io.ReadFull(r, buf[at:]); err != nil {
			return buf, fmt.Errorf("%w: truncated body: %v", ErrFrame, err)
		}
	}
	return buf, nil
}

// Decode calls handle for each known event of a frame, in order, with the frame's clock. Events with
// unknown codes are skipped. The Event is reused between calls, and its byte slices point into the
// frame.
func Decode(frame []byte, handle func(now time.Duration, e *Event)) error {
	if len(frame) < batchHeader || int64(binary.LittleEndian.Uint32(frame[8:])) != int64(len(frame)) {
		return fmt.Errorf("%w: length field does not match", ErrFrame)
	}
	now := millis(math.Float64frombits(binary.LittleEndian.Uint64(frame)))
	count := binary.LittleEndian.Uint32(frame[12:])
	rest := frame[batchHeader:]
	var e Event
	for i := uint32(0); i < count; i++ {
		if len(rest) < recordHeader {
			return fmt.Errorf("%w: truncated record %d of %d", ErrFrame, i, count)
		}
		code := binary.LittleEndian.Uint16(rest)
		size := binary.LittleEndian.Uint32(rest[2:])
		if uint64(size) > uint64(len(rest)-recordHeader) {
			return fmt.Errorf("%w: record %d is longer than the frame", ErrFrame, i)
		}
		c := cursor{b: rest[recordHeader : recordHeader+int(size)]}
		rest = rest[recordHeader+int(size):]
		known := decodeEvent(&e, code, &c)
		if !known {
			continue
		}
		if c.short {
			return fmt.Errorf("%w: truncated fields of event %d", ErrFrame, code)
		}
		handle(now, &e)
	}
	if len(rest) != 0 {
		return fmt.Errorf("%w: %d trailing bytes after the last record", ErrFrame, len(rest))
	}
	return nil
}

func decodeEvent(e *Event, code uint16, c *cursor) bool {
	if code < EvDetach || code > EvAttemptEnded {
		return false
	}
	*e = Event{Code: code, Instance: c.u32(), Members: e.Members[:0]}
	switch code {
	case EvInit:
		e.Seed = c.u64()
		e.Params = c.bytes(int64(c.u32()))
	case EvDiscovery:
		e.decodeMembers(c)
	case EvRequest:
		e.decodeRequest(c)
	case EvTimer:
		e.Token = c.u64()
	case EvExpired:
		e.Request.ID = logic.RequestID(c.u32())
	case EvProbeDone:
		e.Outcome.Member = c.node()
		e.Outcome.Status = status(c.u16())
		e.Outcome.Elapsed = millis(c.f64())
		e.Outcome.Load = c.load()
	case EvAttemptEnded:
		o := &e.Outcome
		o.Request = logic.RequestID(c.u32())
		o.Elapsed = millis(c.f64())
		o.Note = int(c.u8())
		o.Attempt = int(c.u8())
		o.Final = c.u8() != 0
		o.Member = c.node()
		o.Status = status(c.u16())
		o.Load = c.load()
	case EvPeerMessage:
		e.Peer = int(c.u16())
		e.Data = c.bytes(int64(c.u16()))
	case EvStreamStarted:
		o := &e.Outcome
		o.Request = logic.RequestID(c.u32())
		o.Attempt = int(c.u8())
		o.Member = c.node()
		o.Elapsed = millis(c.f64())
	}
	return true
}

func (e *Event) decodeMembers(c *cursor) {
	e.List = listKind(c.u8())
	e.Version = c.u32()
	n := c.u32()
	b := c.bytes(int64(n) * entrySize)
	for ; len(b) >= entrySize; b = b[entrySize:] {
		m := cursor{b: b[:entrySize]}
		e.Members = append(e.Members, logic.Member{
			Zone:      int(m.u8()),
			State:     state(m.u8()),
			StartedAt: millis(m.f64()),
			Cell:      int(m.u16()),
			Weight:    float64(m.f32()),
			Kind:      int(m.u16()),
			ID:        m.node(),
		})
	}
}

func (e *Event) decodeRequest(c *cursor) {
	q := &e.Request
	q.ID = logic.RequestID(c.u32())
	q.Cost = millis(c.f64())
	bits := c.u8()
	q.CostKnown, q.Retry, q.Write = bits&1 != 0, bits&2 != 0, bits&4 != 0
	q.Class = int(c.u16())
	q.Size = float64(c.f32())
	q.Deadline = millis(c.f64())
	q.Tenant = int(c.u32())
	q.Key = c.u64()
}

func listKind(b byte) logic.ListKind {
	switch b {
	case 0:
		return logic.ListDelta
	case 1:
		return logic.ListFull
	case 2:
		return logic.ListCached
	}
	return logic.ListFailed
}

func state(b byte) logic.State {
	switch b {
	case 0:
		return logic.Ready
	case 2:
		return logic.Draining
	}
	return logic.Gone
}

func status(code uint16) logic.Status {
	switch code {
	case 200:
		return logic.StatusOK
	case 502:
		return logic.StatusError
	case 429:
		return logic.StatusFull
	case 408:
		return logic.StatusTimeout
	case 521:
		return logic.StatusConnectFailed
	case 520:
		return logic.StatusReset
	case 444:
		return logic.StatusCancelled
	case 409:
		return logic.StatusMoot
	case 204:
		return logic.StatusMiss
	}
	return logic.StatusUnknown
}

// cursor reads fields. Past the end it returns zeros and sets short.
type cursor struct {
	b     []byte
	short bool
}

func (c *cursor) bytes(n int64) []byte {
	if n > int64(len(c.b)) {
		c.short, c.b = true, nil
		return nil
	}
	v := c.b[:n:n]
	c.b = c.b[n:]
	return v
}

func (c *cursor) fixed(n int64) []byte {
	if v := c.bytes(n); v != nil {
		return v
	}
	return make([]byte, n)
}

func (c *cursor) u8() byte     { return c.fixed(1)[0] }
func (c *cursor) u16() uint16  { return binary.LittleEndian.Uint16(c.fixed(2)) }
func (c *cursor) u32() uint32  { return binary.LittleEndian.Uint32(c.fixed(4)) }
func (c *cursor) u64() uint64  { return binary.LittleEndian.Uint64(c.fixed(8)) }
func (c *cursor) f32() float32 { return math.Float32frombits(c.u32()) }
func (c *cursor) f64() float64 { return math.Float64frombits(c.u64()) }
func (c *cursor) load() []float32 {
	n := int(c.u8())
	if n == 0 {
		return nil
	}
	b := c.bytes(int64(n) * 4)
	v := make([]float32, 0, n)
	for ; len(b) >= 4; b = b[4:] {
		v = append(v, math.Float32frombits(binary.LittleEndian.Uint32(b)))
	}
	return v
}

// node packs the four address bytes, in network order, and the port into a member ID.
func (c *cursor) node() logic.MemberID {
	b := c.fixed(6)
	return logic.MemberID(uint64(binary.BigEndian.Uint32(b))<<16 | uint64(binary.LittleEndian.Uint16(b[4:])))
}

func millis(v float64) time.Duration {
	const limit = 1e12 // about 30 years: no real time is longer
	if math.IsNaN(v) {
		return 0
	}
	return time.Duration(math.Round(max(-limit, min(limit, v)) * float64(time.Millisecond)))
}

// Reply builds one reply frame. Reset has to be called before its first use.
type Reply struct {
	buf   []byte
	count uint32
}

// Reset starts a new frame.
func (r *Reply) Reset() {
	r.buf = append(r.buf[:0], make([]byte, replyHeader)...)
	r.count = 0
}

// Bytes completes the frame and returns it.
func (r *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(r.buf, uint32(len(r.buf)))
	binary.LittleEndian.PutUint32(r.buf[4:], r.count)
	return r.buf
}

func (r *Reply) record(code uint16, instance uint32, size int) {
	r.count++
	r.buf = binary.LittleEndian.AppendUint16(r.buf, code)
	r.buf = binary.LittleEndian.AppendUint32(r.buf, uint32(size+4))
	r.buf = binary.LittleEndian.AppendUint32(r.buf, instance)
}

func (r *Reply) u32(v uint32)       { r.buf = binary.LittleEndian.AppendUint32(r.buf, v) }
func (r *Reply) u64(v uint64)       { r.buf = binary.LittleEndian.AppendUint64(r.buf, v) }
func (r *Reply) ms(d time.Duration) { r.u64(math.Float64bits(float64(d) / float64(time.Millisecond))) }
func (r *Reply) node(m logic.MemberID) {
	r.buf = binary.BigEndian.AppendUint32(r.buf, uint32(m>>16))
	r.buf = binary.LittleEndian.AppendUint16(r.buf, uint16(m))
}

func (r *Reply) data(b []byte) {
	r.buf = binary.LittleEndian.AppendUint16(r.buf, uint16(len(b)))
	r.buf = append(r.buf, b...)
}

// Bug reports to the simulator that the balancer of an instance cannot continue.
func (r *Reply) Bug(instance uint32, text string) { r.text(acBug, instance, text) }

func (r *Reply) text(code uint16, instance uint32, text string) {
	b := []byte(text)
	b = b[:min(len(b), maxText)]
	r.record(code, instance, 2+len(b))
	r.data(b)
}

// Actions implements logic.Actions for one instance. It writes to a Reply that instances share.
type Actions struct {
	Reply    *Reply
	Instance uint32
}

var _ logic.Actions = Actions{}

// Send implements logic.Actions. The protocol can't limit when an attempt begins; it begins at once.
func (a Actions) Send(id logic.RequestID, to logic.MemberID, timeout, _ time.Duration) {
	a.Reply.record(acSend, a.Instance, 18)
	a.Reply.u32(uint32(id))
	a.Reply.node(to)
	a.Reply.ms(timeout)
}

// Refuse implements logic.Actions.
func (a Actions) Refuse(id logic.RequestID, retryAfter time.Duration, _ logic.Reason) {
	a.Reply.record(acRefuse, a.Instance, 12)
	a.Reply.u32(uint32(id))
	a.Reply.ms(retryAfter)
}

// Fail implements logic.Actions.
func (a Actions) Fail(id logic.RequestID, _ logic.Reason) {
	a.Reply.record(acFail, a.Instance, 4)
	a.Reply.u32(uint32(id))
}

// NotifyWaiting implements logic.Actions. The protocol has no action for it.
func (a Actions) NotifyWaiting(logic.RequestID, logic.Reason) {}

// Cancel implements logic.Actions.
func (a Actions) Cancel(id logic.RequestID, attempt int) {
	a.Reply.record(acCancel, a.Instance, 5)
	a.Reply.u32(uint32(id))
	a.Reply.buf = append(a.Reply.buf, byte(attempt))
}

// Probe implements logic.Actions.
func (a Actions) Probe(m logic.MemberID) { a.member(acProbe, m) }

// ConnectionWait implements logic.Actions. The simulator's instances never run out of connections.
func (a Actions) ConnectionWait(logic.RequestID, logic.MemberID) time.Duration { return 0 }

// CloseIdle implements logic.Actions.
func (a Actions) CloseIdle(m logic.MemberID) { a.member(acCloseIdle, m) }

func (a Actions) member(code uint16, m logic.MemberID) {
	a.Reply.record(code, a.Instance, 6)
	a.Reply.node(m)
}

// SetTimer implements logic.Actions.
func (a Actions) SetTimer(at time.Duration, token uint64) {
	a.Reply.record(acSetTimer, a.Instance, 16)
	a.Reply.ms(at)
	a.Reply.u64(token)
}

// Watch implements logic.Actions.
func (a Actions) Watch(on bool) {
	a.Reply.record(acWatch, a.Instance, 1)
	b := byte(0)
	if on {
		b = 1
	}
	a.Reply.buf = append(a.Reply.buf, b)
}

// FetchList implements logic.Actions.
func (a Actions) FetchList() { a.Reply.record(acFetch, a.Instance, 0) }

// SendToPeer implements logic.Actions.
func (a Actions) SendToPeer(peer int, data []byte) {
	data = data[:min(len(data), maxPeerData)]
	a.Reply.record(acPeerMessage, a.Instance, 6+len(data))
	if peer == logic.AllPeers {
		a.Reply.u32(allPeers)
	} else {
		a.Reply.u32(uint32(peer))
	}
	a.Reply.data(data)
}

// Log implements logic.Actions.
func (a Actions) Log(text string) { a.Reply.text(acLog, a.Instance, text) }
