package zones

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Message is what one instance sends another: its report, the verdict that it holds, the operators' calls, or some of these.
type Message struct {
	From         int
	Report       *Report
	Verdict      *Verdict
	FromLeader   bool // the sender decided the verdict and has a quorum; else it passes it on
	Overrides    []Override
	ShuttingDown bool // the sender ends, by its own will
}

// MaxMessageSize bounds a message, so that it fits into one datagram beside what membership adds.
const MaxMessageSize = 1200

const (
	version    = 1
	hasReport  = 1
	hasVerdict = 2
	hasHands   = 4
	doesLead   = 8
	doesLeave  = 16
)

// ErrMalformedMessage tells of a message that can't be read.
var ErrMalformedMessage = errors.New("zones: message can't be read")

// Append writes a message. Calls are left out where they would not fit.
func (msg *Message) Append(b []byte) []byte {
	flags := byte(0)
	start := len(b)
	b = append(b, version, 0)
	b = binary.AppendUvarint(b, uint64(msg.From))
	if r := msg.Report; r != nil {
		flags |= hasReport
		b = appendInts(b, r.Number, int(r.StartedAtMS), int(r.Seq), int(r.Epoch), r.OriginRefusals, len(r.Zones))
		for _, s := range r.Zones {
			b = appendInts(b, s.Judged, s.Bad, s.Silent, s.TrimmedJudged, s.TrimmedBad, s.Misses, s.RecentUnanswered)
		}
		suspects := r.Suspects[:min(len(r.Suspects), mostSuspects)]
		b = appendInts(appendInts(b, len(suspects)), suspects...)
	}
	if v := msg.Verdict; v != nil {
		flags |= hasVerdict
		if msg.FromLeader {
			flags |= doesLead
		}
		b = appendInts(b, int(v.Epoch), v.DecidedBy, len(v.Zones))
		for _, z := range v.Zones {
			tied := 0
			if z.WithRegion {
				tied = 1
			}
			b = appendInts(b, int(z.State), int(z.Share), int(z.Flaps), tied, len(z.Probers))
			b = appendInts(b, z.Probers...)
		}
	}
	if len(msg.Overrides) > 0 {
		flags |= hasHands
		b = appendInts(b, len(msg.Overrides))
		for _, h := range msg.Overrides {
			b = appendInts(b, int(h.Mode), int(h.TimestampMS), h.ReceivedBy, len(h.Requester))
			b = append(b, h.Requester...)
		}
	}
	if msg.ShuttingDown {
		flags |= doesLeave
	}
	b[start+1] = flags
	return b
}

func appendInts(b []byte, ints ...int) []byte {
	for _, n := range ints {
		b = binary.AppendUvarint(b, uint64(n))
	}
	return b
}

// reader reads what Append wrote; the first fault stays.
type reader struct {
	b   []byte
	err error
}

func (r *reader) number(what string, most uint64) uint64 {
	n, size := binary.Uvarint(r.b)
	if r.err == nil && (size <= 0 || n > most) {
		r.err = fmt.Errorf("%w: %s", ErrMalformedMessage, what)
	}
	if r.err != nil {
		return 0
	}
	r.b = r.b[size:]
	return n
}

func (r *reader) int(what string, most int) int { return int(r.number(what, uint64(most))) }

const (
	mostNumber = 1 << 20
	mostStamp  = 1 << 52
)

// Decode reads a message. It keeps nothing of b.
func Decode(b []byte) (msg Message, err error) {
	if len(b) < 2 || b[0] != version {
		return msg, fmt.Errorf("%w: not of this version", ErrMalformedMessage)
	}
	flags, r := b[1], &reader{b: b[2:]}
	msg.From, msg.ShuttingDown = r.int("sender", mostNumber), flags&doesLeave != 0
	if flags&hasReport != 0 {
		p := &Report{Number: r.int("number", mostNumber), StartedAtMS: int64(r.number("start", mostStamp)), Seq: r.number("sequence", mostStamp),
			Epoch: r.number("epoch", 1<<62), OriginRefusals: r.int("shortage", maxCount)}
		p.Zones = make([]ZoneStats, r.int("zones", MaxZones))
		for i := range p.Zones {
			s := &p.Zones[i]
			for _, n := range []*int{&s.Judged, &s.Bad, &s.Silent, &s.TrimmedJudged, &s.TrimmedBad, &s.Misses, &s.RecentUnanswered} {
				*n = r.int("count", maxCount)
			}
		}
		for range r.int("suspects", mostSuspects) {
			p.Suspects = append(p.Suspects, r.int("suspect", mostNumber))
		}
		msg.Report = p
	}
	if flags&hasVerdict != 0 {
		v := &Verdict{Epoch: r.number("epoch", 1<<62), DecidedBy: r.int("decided by", mostNumber)}
		v.Zones = make([]Zone, r.int("zones", MaxZones))
		for i := range v.Zones {
			z := &v.Zones[i]
			z.State, z.Share, z.Flaps = State(r.int("state", int(states)-1)), uint8(r.int("share", FullShare)), uint8(r.int("flaps", 255))
			z.WithRegion = r.int("tied", 1) == 1
			for range r.int("triers", maxTriers) {
				z.Probers = append(z.Probers, r.int("trier", mostNumber))
			}
		}
		msg.Verdict, msg.FromLeader = v, flags&doesLead != 0
	}
	if flags&hasHands != 0 {
		msg.Overrides = make([]Override, r.int("calls", MaxZones))
		for i := range msg.Overrides {
			h := &msg.Overrides[i]
			h.Mode, h.TimestampMS, h.ReceivedBy = Mode(r.int("mode", int(modes)-1)), int64(r.number("stamp", mostStamp)), r.int("called", mostNumber)
			n := r.int("who", MaxRequesterLen)
			if r.err == nil && n > len(r.b) {
				r.err = fmt.Errorf("%w: who", ErrMalformedMessage)
			}
			if r.err == nil {
				h.Requester, r.b = string(r.b[:n]), r.b[n:]
			}
		}
	}
	if r.err == nil && len(r.b) > 0 {
		r.err = fmt.Errorf("%w: %d bytes too many", ErrMalformedMessage, len(r.b))
	}
	return msg, r.err
}
