package proxy

import (
	"bytes"
	"errors"
	"hash/maphash"
	"math"
	"slices"
	"strconv"
	"time"

	"linenloom/internal/requestids"
	"linenloom/internal/upstream"
	"linenloom/logic"
)

// attempt is one attempt of a request at a member: an exchange made by this process or by the
// client of an ExternalSender.
type attempt struct {
	upstream.Exchange
	request          *Request // nil once the request is released
	memberID         logic.MemberID
	startedAt        time.Duration
	meterID          uint64 // its number in Config.ZoneMeter; 0: not metered
	index            int32
	byExternalSender bool // the client makes the attempt itself, see ExternalSender
	announced        bool // the client was notified of the attempt, see Attempt.Announce
	// awaitsRecord means that the attempt waits for the record of orders to permit it; until then it cannot have run.
	awaitsRecord bool
}

var _ upstream.Client = (*attempt)(nil)

// startExchange submits an attempt to the connections of its member.
func (p *Proxy) startExchange(m *member, a *attempt) {
	r, x := a.request, &a.Exchange
	x.Write, x.Once, x.Group = r.Write, r.effect == logic.AtMostOnce, r.group
	x.Message, x.Client = &r.Message, a
	p.upstreams.Exchange(&m.Member, x)
}

// Served passes the value of the first valid answer to the client.
func (a *attempt) Served(value []byte) {
	if r := a.request; r.orderState != nil {
		r.proxy.handleReceipt(r, value)
	} else if !r.done {
		r.done = true
		r.Responder.Answer(Answer{Kind: Served, Value: value})
		r.proxy.closeReadGroups(r)
		if r.join != nil {
			r.proxy.shareAnswer(r, value)
		}
	}
}

// StreamValue binds the request to the attempt, which has begun to return a long value of n bytes, and returns the
// stream to write the value to, or nil if no client can take the value.
func (a *attempt) StreamValue(n int) upstream.ValueStream {
	r := a.request
	p := r.proxy
	if r.done { // no client waits for the value
		p.endAttempt(a, logic.StatusOK, 0)
		return nil
	}
	to, ok := r.Responder.(upstream.ValueStream)
	if !ok {
		// This client's front end does not support long values. The member is not at fault, and another member would
		// return the same.
		p.log.Debug("value is too long for the client's front end", "bytes", n)
		p.endAttempt(a, logic.StatusRejected, 0)
		return nil
	}
	r.done = true
	p.closeReadGroups(r)
	p.stopSharing(r)
	p.balancer.StreamStarted(p.now, r.id, int(a.index))
	return to
}

// Done ends the attempt with the status of its exchange.
func (a *attempt) Done(s logic.Status, note int) { a.request.proxy.endAttempt(a, s, note) }

// Deadline returns the request's current deadline.
func (a *attempt) Deadline() time.Duration { return a.request.currentDeadline() }

// AnswerBy returns the latest time at which the client is answered.
func (a *attempt) AnswerBy() time.Duration {
	return a.request.currentDeadline() - a.request.proxy.answerSlack()
}

// currentDeadline returns the time until which a client waits for the request: its own client's deadline, or, if
// that client has left and others share the answer, the latest of their deadlines. Every deadline that is sent to a
// member or caller is derived from it.
func (r *Request) currentDeadline() time.Duration {
	if r.join != nil && r.Responder == (discardingResponder{}) {
		return min(r.deadline, r.proxy.joinTable.LatestDeadline(r.id))
	}
	return r.deadline
}

// abandonAttempt ends an attempt without waiting for its answer.
func (p *Proxy) abandonAttempt(a *attempt, s logic.Status) {
	if a.awaitsRecord {
		p.endAttempt(a, logic.StatusNoConn, 0)
		return
	}
	if !a.byExternalSender {
		p.upstreams.Abandon(&a.Exchange, s)
		return
	}
	if s == logic.StatusTimeout && !a.announced {
		s = logic.StatusConnectFailed
	}
	p.endAttempt(a, s, 0)
}

// endAttempt records the outcome of an attempt; later outcomes are ignored.
func (p *Proxy) endAttempt(a *attempt, s logic.Status, note int) {
	if a.Ended {
		return
	}
	a.Ended = true
	r := a.request
	r.outstanding--
	r.maybeRan = r.maybeRan || !s.NeverRan()
	if r.orderState != nil {
		r.orderState.attemptEnded(a, s)
	}
	// The wait for a connection is not the member's latency: counted as such, it would reduce the member's limit.
	since := a.startedAt
	if a.BeganAt > 0 {
		since = a.BeganAt
	}
	until := p.now
	if at := a.StreamingSince(); at > 0 { // from then on the client's speed matters
		until = at
	}
	if a.meterID != 0 {
		p.cfg.ZoneMeter.AttemptEnded(p.now, a.meterID, zoneOutcome(s), until-since)
	}
	p.logAttempt(a, s)
	p.outcomes = append(p.outcomes, logic.Outcome{
		Request: r.id, Attempt: int(a.index), Member: a.memberID, Status: s, Elapsed: until - since, Note: note,
		Final: r.done, FirstOnConnection: a.Fresh(), InTransit: max(0, p.inTransitUntil(a, s)-p.now),
	})
	p.releaseIfOver(r)
}

// inTransitUntil returns until when an attempt that has ended with a status may still reach its member; 0: it cannot.
// For an attempt made by the client of an ExternalSender it is unknown when it was written and whether it was the first
// on its connection, so the transit time of a first request is assumed.
func (p *Proxy) inTransitUntil(a *attempt, s logic.Status) time.Duration {
	if !a.byExternalSender {
		return a.InTransitUntil()
	}
	m := p.members[a.memberID]
	if !a.announced || m == nil || s != logic.StatusTimeout && s != logic.StatusCancelled {
		return 0
	}
	return a.BeganAt + p.upstreams.FirstTransit()
}

// recallUnsent ends the attempts of a finished request that cannot have run yet: those that wait for a connection, for
// the record or for the sending of their last byte. It does so whether or not the Balancer may cancel attempts that
// members have received or lets a fetch finish: nothing is sent when no client waits.
func (p *Proxy) recallUnsent(r *Request) {
	for _, a := range r.attempts {
		switch {
		case a.Ended:
		case a.byExternalSender || a.awaitsRecord:
			if !a.announced {
				p.endAttempt(a, logic.StatusNoConn, 0)
			}
		default:
			p.upstreams.Recall(&a.Exchange)
		}
	}
}

// releaseIfOver recalls the unsent attempts of a finished request and, once all of its attempts have ended, releases
// it. Timers keep references to the attempts for a while, so the value, which may be large, is released here.
func (p *Proxy) releaseIfOver(r *Request) {
	if r.done && r.outstanding > 0 {
		p.recallUnsent(r)
	}
	if r.done && r.outstanding == 0 && p.requests[r.id] == r && (r.orderState == nil || p.finishOrder(r)) {
		delete(p.requests, r.id)
		p.releaseValue(r)
		for _, a := range r.attempts { // timers may still refer to them
			a.request, a.Message = nil, nil
		}
	}
}

// requestsPerMB limits the requests in progress by memory: each takes a few KB with its timers and attempts.
const requestsPerMB = 64

func (p *Proxy) maxRequests() int { return min(p.cfg.MaxRequests, p.cfg.MemoryMB*requestsPerMB) }

// parseRequest converts a command to the Balancer's request; the deadline is still relative. It is the only place that
// validates a command, and members and the Balancer rely on it. An invalid command is not forwarded, so that it is
// neither served nor counted as a failure of the member that rejects it. A client that omits a required attribute
// gets an error.
func (c *Command) parseRequest(s *logic.Settings) (logic.Request, error) {
	r := logic.Request{Key: keyNumber(c.Key), Class: -1, Write: c.Write, NoDedupKey: true}
	if !isPlain(c.Key) || !isPlain(c.ReqID) || len(c.Attrs) > 0 && !isPlain(c.Attrs) {
		return r, errors.New("key, id and list must be given, without spaces")
	}
	var deadlineMS float64
	var hasClass, hasDeadline bool
	for name, value := range upstream.Attributes(c.Attrs) {
		switch name {
		case "c":
			if hasClass {
				return r, errors.New("more than one class")
			}
			hasClass = true
			r.Class = slices.IndexFunc(s.Classes, func(c logic.Class) bool { return c.Name == string(value) })
		case "t":
			for i := range s.Tenants {
				if s.Tenants[i].Name == string(value) {
					r.Tenant = i
				}
			}
		case "d":
			if deadlineMS = parseNumber(value); hasDeadline || len(bytes.Trim(value, "0123456789.")) > 0 {
				return r, errors.New("the deadline is no number")
			}
			hasDeadline = true
		case "h":
			r.Cost = time.Duration(parseNumber(value) * float64(time.Microsecond))
			r.CostKnown = r.Cost > 0
		case "r":
			r.Retry = string(value) == "1"
		case "k":
			r.NoDedupKey = len(value) == 0
		case "size":
			r.Size = parseNumber(value)
		}
	}
	switch {
	case r.Class < 0:
		return r, errors.New("unknown class")
	case !(deadlineMS > 0 && deadlineMS <= maxDeadlineMS):
		return r, errors.New("the deadline is out of range")
	}
	// The class limits the deadline.
	r.Deadline = min(s.Classes[r.Class].Deadline, time.Duration(math.Ceil(deadlineMS*float64(time.Millisecond))))
	return r, nil
}

// maxDeadlineMS is the longest deadline that is accepted, a day; a longer one is taken for an error.
const maxDeadlineMS = 24 * 60 * 60 * 1000

// isPlain reports whether a text is not empty and has no character that could end a line or an item.
func isPlain(text []byte) bool {
	return len(text) > 0 && !slices.ContainsFunc(text, func(b byte) bool { return b <= ' ' || b == 0x7f })
}

const (
	// idRetention is the minimum time for which an id counts as in use after its request was accepted. Every request
	// has a new id, so a repeated id means a collision with another client's request or a command that was sent twice.
	idRetention = 6 * time.Second
	// maxIDsPerGeneration limits the ids in each of the two generations of idHistory.
	maxIDsPerGeneration = 8192
)

// RequestIDs knows the ids of the requests that must not run twice, of all processes of the proxy.
type RequestIDs interface {
	// Claim is called once for each request that is accepted, under the lock, and must not block.
	Claim(id []byte) requestids.Result
}

// ownIDs are the RequestIDs of a process that shares none.
type ownIDs struct {
	proxy *Proxy
	table *requestids.Table
}

// Claim implements RequestIDs.
func (o ownIDs) Claim(id []byte) requestids.Result { return o.table.Claim(id, o.proxy.now) }

// claimID keeps the id of a request that must not run twice; an error means that it is not accepted.
func (p *Proxy) claimID(id []byte) error {
	switch p.cfg.RequestIDs.Claim(id) {
	case requestids.Taken:
		return ErrIDInUse
	case requestids.Full:
		return ErrBusy
	default:
		return nil
	}
}

// idHistory is the set of recently accepted ids, stored as hashes with a random seed, which clients cannot predict.
type idHistory struct {
	seed              maphash.Seed
	current, previous map[uint64]struct{}
	currentSince      time.Duration
}

func newIDHistory() idHistory {
	return idHistory{seed: maphash.MakeSeed(), current: map[uint64]struct{}{}}
}

func (s *idHistory) contains(id []byte, now time.Duration) bool {
	h := maphash.Bytes(s.seed, id)
	if _, ok := s.current[h]; ok {
		return true
	}
	_, ok := s.previous[h]
	return ok && now-s.currentSince < idRetention
}

func (s *idHistory) add(id []byte, now time.Duration) {
	if now-s.currentSince >= idRetention || len(s.current) >= maxIDsPerGeneration {
		s.previous, s.current, s.currentSince = s.current, make(map[uint64]struct{}), now
	}
	s.current[maphash.Bytes(s.seed, id)] = struct{}{}
}

// parseNumber parses a number from a client; it returns 0 for an invalid, negative or too large one.
func parseNumber(text []byte) float64 {
	f, err := strconv.ParseFloat(string(text), 64)
	if err != nil || !(f > 0) || f > 1e12 {
		return 0
	}
	return f
}
