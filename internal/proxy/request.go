package proxy

import (
	"bytes"
	"errors"
	"hash/maphash"
	"math"
	"slices"
	"strconv"
	"time"

	"linenloom/internal/upstream"
	"linenloom/logic"
)

// attempt is one sending of a request to a member: an exchange made here, or one that a Carrier's client makes.
type attempt struct {
	upstream.Exchange
	req     *Request // nil once the request is over
	to      logic.MemberID
	sentAt  time.Duration
	metered uint64 // its number at the zones' meter
	n       int32
	carried bool // by a Carrier
	given   bool // its client has been told of it
	// recording: it is sent once the record of orders says so; until then it has surely not run.
	recording bool
}

var _ upstream.Client = (*attempt)(nil)

// exchange hands an attempt over to the connections of its member.
func (p *Proxy) exchange(m *member, a *attempt) {
	r, x := a.req, &a.Exchange
	x.Write, x.Once, x.Group = r.Write, r.effect == logic.AtMostOnce, r.group
	x.Message, x.Client = &r.Message, a
	p.ups.Exchange(&m.Member, x)
}

// Served gives the client the value of the first good answer.
func (a *attempt) Served(value []byte) {
	if r := a.req; r.orderRecord != nil {
		r.proxy.receipted(r, value)
	} else if !r.done {
		r.done = true
		r.Responder.Answer(Answer{Kind: Served, Value: value})
		r.proxy.fence(r)
		if r.join != nil {
			r.proxy.share(r, value)
		}
	}
}

// StreamValue binds the request to an attempt that has begun to answer with a long value.
func (a *attempt) StreamValue(n int) upstream.ValueStream {
	r := a.req
	p := r.proxy
	if r.done { // nobody waits for it
		p.end(a, logic.StatusOK, 0)
		return nil
	}
	to, ok := r.Responder.(upstream.ValueStream)
	if !ok {
		// This client's front takes no long values. The member has done its part, and another would end alike.
		p.log.Debug("a value is too long for its client", "bytes", n)
		p.end(a, logic.StatusRejected, 0)
		return nil
	}
	r.done = true
	p.fence(r)
	p.joinApart(r)
	p.bal.StreamStarted(p.now, r.id, int(a.n))
	return to
}

// Done takes the outcome of an exchange.
func (a *attempt) Done(s logic.Status, note int) { a.req.proxy.end(a, s, note) }

// Deadline is the client's.
func (a *attempt) Deadline() time.Duration { return a.req.deadlineNow() }

// AnswerBy is when the client is answered at the latest.
func (a *attempt) AnswerBy() time.Duration { return a.req.deadlineNow() - a.req.proxy.answerSlack() }

// deadlineNow is until when somebody waits for the request. It is its client's deadline, and where that has left and others share the
// answer, the latest of theirs. Whatever a member or caller is told of a deadline comes from here.
func (r *Request) deadlineNow() time.Duration {
	if r.join != nil && r.Responder == (nobody{}) {
		return min(r.deadline, r.proxy.joins.LatestDeadline(r.id))
	}
	return r.deadline
}

// abandon stops waiting for an attempt.
func (p *Proxy) abandon(a *attempt, s logic.Status) {
	if a.recording {
		p.end(a, logic.StatusNoConn, 0)
		return
	}
	if !a.carried {
		p.ups.Abandon(&a.Exchange, s)
		return
	}
	if s == logic.StatusTimeout && !a.given {
		s = logic.StatusConnectFailed
	}
	p.end(a, s, 0)
}

// end gives an attempt its outcome; later ones are dropped.
func (p *Proxy) end(a *attempt, s logic.Status, note int) {
	if a.Ended {
		return
	}
	a.Ended = true
	r := a.req
	r.outstanding--
	r.maybeRan = r.maybeRan || !s.NeverRan()
	if r.orderRecord != nil {
		r.orderRecord.attemptEnded(a, s)
	}
	// The wait for a connection is this proxy's own: as the member's latency it would cut the member's limit.
	since := a.sentAt
	if a.BeganAt > 0 {
		since = a.BeganAt
	}
	until := p.now
	if at := a.StreamingSince(); at > 0 { // the rest goes at the pace of the client
		until = at
	}
	if a.metered != 0 {
		p.cfg.Meter.AttemptEnded(p.now, a.metered, metered(s), until-since)
	}
	p.logAttempt(a, s)
	p.outcomes = append(p.outcomes, logic.Outcome{
		Request: r.id, Attempt: int(a.n), Member: a.to, Status: s, Elapsed: until - since, Note: note,
		Final: r.done, FirstOnConnection: a.Fresh(), InTransit: max(0, p.inTransit(a, s)-p.now),
	})
	p.settle(r)
}

// inTransit is until when an attempt that has ended with a status may come at its member as one that is new; 0: it does not. Of one that a
// Carrier's client was told to make, it is not known when that was written, nor whether as the first on a connection.
func (p *Proxy) inTransit(a *attempt, s logic.Status) time.Duration {
	if !a.carried {
		return a.InTransitUntil()
	}
	m := p.members[a.to]
	if !a.given || m == nil || s != logic.StatusTimeout && s != logic.StatusCancelled {
		return 0
	}
	return a.BeganAt + p.ups.FirstTransit()
}

// recall takes back the attempts of a request that is over which surely have not run yet: those that wait for a connection, for the
// record or for their last byte to go out. Whether the module may cancel what a member has in hand, and whether a fetch is worth its
// end, is another matter: nothing is sent for nobody.
func (p *Proxy) recall(r *Request) {
	for _, a := range r.attempts {
		switch {
		case a.Ended:
		case a.carried || a.recording:
			if !a.given {
				p.end(a, logic.StatusNoConn, 0)
			}
		default:
			p.ups.Recall(&a.Exchange)
		}
	}
}

// settle lets go of a request that is over, and first takes back what has not been sent for it. Timers still name its attempts for a
// while, so its value, which may be large, is let go of here.
func (p *Proxy) settle(r *Request) {
	if r.done && r.outstanding > 0 {
		p.recall(r)
	}
	if r.done && r.outstanding == 0 && p.requests[r.id] == r && (r.orderRecord == nil || p.recordOver(r)) {
		delete(p.requests, r.id)
		p.letGo(r)
		for _, a := range r.attempts { // timers still name them
			a.req, a.Message = nil, nil
		}
	}
}

// requestsPerMB bounds the requests in hand by the memory: each takes a few KB with its timers and attempts.
const requestsPerMB = 64

func (p *Proxy) maxRequests() int { return min(p.cfg.MostHeld, p.cfg.MemoryMB*requestsPerMB) }

// describe reads what the command tells of the request; Deadline is still relative. What a client has to say
// is checked here, once, since members and the Balancer rely on it: a command that no client should send is
// not passed on, so that it can neither be served nor count against the member that turns it away. It would
// harm clients that leave out a name of the protocol.
func (c *Command) describe(s *logic.Settings) (logic.Request, error) {
	r := logic.Request{Key: keyOf(c.Key), Class: -1, Write: c.Write, NoDedupKey: true}
	if !plain(c.Key) || !plain(c.ReqID) || len(c.Attrs) > 0 && !plain(c.Attrs) {
		return r, errors.New("key, id and list must be given, without spaces")
	}
	var wait float64
	var hasClass, hasWait bool
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
			if wait = number(value); hasWait || len(bytes.Trim(value, "0123456789.")) > 0 {
				return r, errors.New("the deadline is no number")
			}
			hasWait = true
		case "h":
			r.Cost = time.Duration(number(value) * float64(time.Microsecond))
			r.CostKnown = r.Cost > 0
		case "r":
			r.Retry = string(value) == "1"
		case "k":
			r.NoDedupKey = len(value) == 0
		case "size":
			r.Size = number(value)
		}
	}
	switch {
	case r.Class < 0:
		return r, errors.New("unknown class")
	case !(wait > 0 && wait <= maxWait):
		return r, errors.New("the deadline is out of range")
	}
	// No client waits longer than its class allows.
	r.Deadline = min(s.Classes[r.Class].Deadline, time.Duration(math.Ceil(wait*float64(time.Millisecond))))
	return r, nil
}

// maxWait is the longest wait, in milliseconds, that is taken for a wait and not for a mistake: a day.
const maxWait = 24 * 60 * 60 * 1000

// plain tells whether a text is there and holds nothing that could end a line or an item.
func plain(text []byte) bool {
	return len(text) > 0 && !slices.ContainsFunc(text, func(b byte) bool { return b <= ' ' || b == 0x7f })
}

// idKeep is how long an id counts as in use after its request was taken, at the least, and idsKept how many
// are remembered at the most, in each of two generations. Ids are new with every request, so one that comes
// again belongs to another client or is a copy.
const (
	idKeep  = 6 * time.Second
	idsKept = 8192
)

// ids remembers the ids taken lately, as numbers of a hash that clients can't foresee.
type ids struct {
	seed      maphash.Seed
	now, last map[uint64]struct{}
	since     time.Duration
}

func newIDs() ids { return ids{seed: maphash.MakeSeed(), now: map[uint64]struct{}{}} }

func (s *ids) used(id []byte, now time.Duration) bool {
	h := maphash.Bytes(s.seed, id)
	if _, ok := s.now[h]; ok {
		return true
	}
	_, ok := s.last[h]
	return ok && now-s.since < idKeep
}

func (s *ids) add(id []byte, now time.Duration) {
	if now-s.since >= idKeep || len(s.now) >= idsKept {
		s.last, s.now, s.since = s.now, make(map[uint64]struct{}), now
	}
	s.now[maphash.Bytes(s.seed, id)] = struct{}{}
}

// number reads a figure that a client gave; what is not one, or negative, is 0.
func number(text []byte) float64 {
	f, err := strconv.ParseFloat(string(text), 64)
	if err != nil || !(f > 0) || f > 1e12 {
		return 0
	}
	return f
}
