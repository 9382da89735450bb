package zones

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Message is a datagram that one instance sends to another. It carries any of the sender's report, the
// current verdict and the operators' overrides.
type Message struct {
	From         int
	Report       *Report
	Verdict      *Verdict
	FromLeader   bool // the sender decided the verdict and has a quorum; false: it forwards the verdict
	Overrides    []Override
	ShuttingDown bool // the sender is shutting down on purpose
}

// MaxMessageSize bounds an encoded message, so that it fits into one datagram together with memberlist's
// overhead.
const MaxMessageSize = 1200

const (
	codecVersion     = 1
	flagReport       = 1
	flagVerdict      = 2
	flagOverrides    = 4
	flagFromLeader   = 8
	flagShuttingDown = 16
)

// ErrMalformedMessage is wrapped by every error about a message that cannot be decoded.
var ErrMalformedMessage = errors.New("zones: malformed message")

// Append appends the encoded message to b. It encodes at most maxSuspects suspects of a report.
func (msg *Message) Append(b []byte) []byte {
	flags := byte(0)
	start := len(b)
	b = append(b, codecVersion, 0)
	b = binary.AppendUvarint(b, uint64(msg.From))
	if r := msg.Report; r != nil {
		flags |= flagReport
		b = appendInts(b, r.Number, int(r.StartedAtMS), int(r.Seq), int(r.Epoch), r.OriginRefusals, len(r.Zones))
		for _, s := range r.Zones {
			b = appendInts(b, s.Judged, s.Bad, s.Silent, s.TrimmedJudged, s.TrimmedBad, s.Misses, s.RecentUnanswered)
		}
		suspects := r.Suspects[:min(len(r.Suspects), maxSuspects)]
		b = appendInts(appendInts(b, len(suspects)), suspects...)
	}
	if v := msg.Verdict; v != nil {
		flags |= flagVerdict
		if msg.FromLeader {
			flags |= flagFromLeader
		}
		b = appendInts(b, int(v.Epoch), v.DecidedBy, len(v.Zones))
		for _, z := range v.Zones {
			withRegion := 0
			if z.WithRegion {
				withRegion = 1
			}
			b = appendInts(b, int(z.State), int(z.Share), int(z.Flaps), withRegion, len(z.Probers))
			b = appendInts(b, z.Probers...)
		}
	}
	if len(msg.Overrides) > 0 {
		flags |= flagOverrides
		b = appendInts(b, len(msg.Overrides))
		for _, override := range msg.Overrides {
			b = appendInts(b, int(override.Mode), int(override.TimestampMS), override.ReceivedBy, len(override.Requester))
			b = append(b, override.Requester...)
		}
	}
	if msg.ShuttingDown {
		flags |= flagShuttingDown
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

// reader decodes the fields that Append wrote. It keeps the first error.
type reader struct {
	rest []byte
	err  error
}

func (r *reader) uvarint(what string, maxValue uint64) uint64 {
	n, size := binary.Uvarint(r.rest)
	if r.err == nil && (size <= 0 || n > maxValue) {
		r.err = fmt.Errorf("%w: invalid %s", ErrMalformedMessage, what)
	}
	if r.err != nil {
		return 0
	}
	r.rest = r.rest[size:]
	return n
}

func (r *reader) int(what string, maxValue int) int { return int(r.uvarint(what, uint64(maxValue))) }

const (
	maxInstanceNumber = 1 << 20
	maxTimestampMS    = 1 << 52
)

// Decode decodes a message. The message holds no reference to b.
func Decode(b []byte) (msg Message, err error) {
	if len(b) < 2 || b[0] != codecVersion {
		return msg, fmt.Errorf("%w: unsupported version", ErrMalformedMessage)
	}
	flags, r := b[1], &reader{rest: b[2:]}
	msg.From, msg.ShuttingDown = r.int("sender", maxInstanceNumber), flags&flagShuttingDown != 0
	if flags&flagReport != 0 {
		p := &Report{Number: r.int("number", maxInstanceNumber), StartedAtMS: int64(r.uvarint("start", maxTimestampMS)), Seq: r.uvarint("sequence", maxTimestampMS),
			Epoch: r.uvarint("epoch", 1<<62), OriginRefusals: r.int("shortage", maxCount)}
		p.Zones = make([]ZoneStats, r.int("zones", MaxZones))
		for i := range p.Zones {
			s := &p.Zones[i]
			for _, n := range []*int{&s.Judged, &s.Bad, &s.Silent, &s.TrimmedJudged, &s.TrimmedBad, &s.Misses, &s.RecentUnanswered} {
				*n = r.int("count", maxCount)
			}
		}
		for range r.int("suspects", maxSuspects) {
			p.Suspects = append(p.Suspects, r.int("suspect", maxInstanceNumber))
		}
		msg.Report = p
	}
	if flags&flagVerdict != 0 {
		v := &Verdict{Epoch: r.uvarint("epoch", 1<<62), DecidedBy: r.int("decided by", maxInstanceNumber)}
		v.Zones = make([]Zone, r.int("zones", MaxZones))
		for i := range v.Zones {
			z := &v.Zones[i]
			z.State, z.Share, z.Flaps = State(r.int("state", int(states)-1)), uint8(r.int("share", FullShare)), uint8(r.int("flaps", 255))
			z.WithRegion = r.int("tied", 1) == 1
			for range r.int("triers", maxProbers) {
				z.Probers = append(z.Probers, r.int("trier", maxInstanceNumber))
			}
		}
		msg.Verdict, msg.FromLeader = v, flags&flagFromLeader != 0
	}
	if flags&flagOverrides != 0 {
		msg.Overrides = make([]Override, r.int("calls", MaxZones))
		for i := range msg.Overrides {
			override := &msg.Overrides[i]
			override.Mode, override.TimestampMS, override.ReceivedBy = Mode(r.int("mode", int(modes)-1)), int64(r.uvarint("stamp", maxTimestampMS)), r.int("called", maxInstanceNumber)
			n := r.int("who", MaxRequesterLen)
			if r.err == nil && n > len(r.rest) {
				r.err = fmt.Errorf("%w: invalid who", ErrMalformedMessage)
			}
			if r.err == nil {
				override.Requester, r.rest = string(r.rest[:n]), r.rest[n:]
			}
		}
	}
	if r.err == nil && len(r.rest) > 0 {
		r.err = fmt.Errorf("%w: %d trailing bytes", ErrMalformedMessage, len(r.rest))
	}
	return msg, r.err
}
