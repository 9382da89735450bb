package proxy

import (
	"slices"
	"strings"
	"time"

	"linenloom/internal/joining"
	"linenloom/internal/reasons"
	"linenloom/internal/resp"
	"linenloom/internal/upstream"
	"linenloom/logic"
)

const (
	// hostTimer is the kind of the timers of followers and of recorded orders. The decision module
	// uses no timer of this number.
	hostTimer = 7
	// followerBatchSize is how many followers are answered per hold of the lock. Answering thousands at
	// once would delay all other requests.
	followerBatchSize = 64
)

// JoinCounts counts outcomes of request coalescing, for the lab and tests.
type JoinCounts struct{ Led, Followed, Shared, LeadsPassed, NotJoined int }

// joinState is the state of a read that leads or follows others.
type joinState struct {
	balancerRequest logic.Request // passed to the balancer if it becomes the lead
	lead            bool
	body            *Body // the shared answer, once there is one
	refused         bool  // there was no memory for the shared answer
}

// follows reports whether a read gets the answer of another one, which is held once for all.
func (r *Request) follows() bool { return r.join != nil && !r.join.lead }

// Body is the value of an answer that several clients get. It is stored once, and counts once as held
// memory, until the last client has it.
type Body struct {
	proxy      *Proxy
	bulk       []byte // in RESP2 format; immutable
	headLength int
	references int
}

// newBody copies a value. The caller holds the first reference and must release it.
func (p *Proxy) newBody(value []byte) *Body {
	b := resp.AppendBulkHead(make([]byte, 0, len(value)+16), len(value))
	head := len(b)
	b = append(append(b, value...), "\r\n"...)
	p.AddBuffered(cap(b))
	return &Body{proxy: p, bulk: b, headLength: head, references: 1}
}

// Value returns the value.
func (b *Body) Value() []byte { return b.bulk[b.headLength : len(b.bulk)-2] }

// Retain adds a reference, which a further Release returns. The caller holds the host's lock.
func (b *Body) Retain() { b.references++ }

// Release drops a reference, and the body with the last one. The caller holds the host's lock.
func (b *Body) Release() {
	if b.references--; b.references == 0 {
		b.proxy.AddBuffered(-cap(b.bulk))
		b.bulk = b.bulk[:0:0]
	}
}

// discardingResponder is the Responder of a leading read whose client has left while other reads still follow it. It
// discards the answer.
type discardingResponder struct{}

func (discardingResponder) Answer(Answer) {}

// join makes a read follow an identical one, or makes it a lead that others can follow. It reports
// whether the read follows; otherwise the caller hands it to the balancer.
func (p *Proxy) join(r *Request, balancerRequest logic.Request) (follows bool) {
	if _, external := r.Responder.(ExternalSender); external || r.AllowedAddrs != nil {
		return false
	}
	read, ok := p.joinTable.Limits().NewRead(&balancerRequest, r.effect, string(r.Key), identityAttributes(r.Attrs))
	if !ok {
		return false
	}
	switch p.joinTable.Join(read) {
	case joining.Follow:
		r.join = &joinState{balancerRequest: balancerRequest}
		p.joinStats.Followed++
		p.reasons.Add(reasons.Waited, r.class, r.tenant, logic.SharedFetch)
		p.timers.addToken(p.now, max(p.now, balancerRequest.Deadline-p.answerSlack()), uint64(r.id)<<3|hostTimer)
		return true
	case joining.Lead:
		r.join = &joinState{balancerRequest: balancerRequest, lead: true}
		p.joinStats.Led++
	default:
		p.joinStats.NotJoined++
	}
	return false
}

// answerSlack is how long before its deadline a request that runs out of time is answered, so that the
// answer is in time even if events are late. The decision module uses the same margin.
func (p *Proxy) answerSlack() time.Duration { return 2*p.cfg.Settings.MaxEventDelay + time.Millisecond }

// identityAttributes returns those attributes that have to be equal for reads to share an answer. It
// omits the deadline, the cost hint, the size and the retry mark, which may differ, and the class and the
// tenant, which package joining compares.
func identityAttributes(attrs []byte) string {
	var rest []string
	for name, value := range upstream.Attributes(attrs) {
		switch name {
		case "c", "d", "t", "h", "r", "size":
		default:
			rest = append(rest, name+"="+string(value))
		}
	}
	slices.Sort(rest)
	return strings.Join(rest, ",")
}

// shareAnswer gives the answer of a lead to its followers: to a batch at once, and to the others in
// further batches, between which other requests get the lock.
func (p *Proxy) shareAnswer(r *Request, value []byte) {
	ids := p.joinTable.Complete(r.id)
	if len(ids) == 0 {
		return
	}
	if p.MayHold(r, len(value)) {
		p.giveBody(ids, value)
	} else {
		p.refuseFollowers(ids)
	}
	p.followersToAnswer = append(p.followersToAnswer, ids...)
	p.answerFollowerBatch()
	if len(p.followersToAnswer) > 0 && !p.answeringFollowers {
		p.answeringFollowers = true
		go p.answerRemainingFollowers()
	}
}

// giveBody stores a value as the answer of followers.
func (p *Proxy) giveBody(followers []logic.RequestID, value []byte) {
	body := p.newBody(value)
	for _, id := range followers {
		if follower := p.requests[id]; follower != nil && !follower.done {
			follower.join.body = body
			body.Retain()
		}
	}
	body.Release()
}

// refuseFollowers marks followers as refused for want of memory.
func (p *Proxy) refuseFollowers(followers []logic.RequestID) {
	for _, id := range followers {
		if follower := p.requests[id]; follower != nil && !follower.done {
			follower.join.refused = true
		}
	}
}

func (p *Proxy) answerFollowerBatch() {
	n := min(len(p.followersToAnswer), followerBatchSize)
	for _, id := range p.followersToAnswer[:n] {
		if follower := p.requests[id]; follower != nil {
			p.answerFollower(follower)
		}
	}
	if p.followersToAnswer = p.followersToAnswer[n:]; len(p.followersToAnswer) == 0 {
		p.followersToAnswer = nil
	}
}

func (p *Proxy) answerRemainingFollowers() {
	for more := true; more; {
		p.Do(func() {
			p.answerFollowerBatch()
			if more = len(p.followersToAnswer) > 0; !more {
				p.answeringFollowers = false
			}
		})
	}
}

// answerFollower answers a follower once there is an answer for it.
func (p *Proxy) answerFollower(follower *Request) {
	body := follower.join.body
	if body == nil && !follower.join.refused {
		return
	}
	follower.join.body = nil
	if !follower.done {
		follower.done = true
		p.joinStats.Shared++
		follower.Responder.Answer(p.sharedAnswer(follower, body))
	}
	if body != nil {
		body.Release()
	}
	p.releaseIfOver(follower)
}

// sharedAnswer returns the answer of a follower: the value stored for it, or a refusal if there is none. If its proof
// has been revoked meanwhile, it is rejected instead.
func (p *Proxy) sharedAnswer(follower *Request, body *Body) Answer {
	switch {
	case !p.checkProof(follower):
		return Answer{Kind: Failed, Reason: logic.Rejected}
	case body == nil:
		return p.RefuseForMemory(follower)
	}
	return Answer{Kind: Served, Value: body.Value(), Body: body}
}

// followerTimedOut ends a follower whose deadline has passed. It gets the shared answer if there is one.
func (p *Proxy) followerTimedOut(id logic.RequestID) {
	follower := p.requests[id]
	switch {
	case follower == nil || follower.join == nil || follower.join.lead || follower.done:
	case follower.join.body != nil || follower.join.refused:
		p.answerFollower(follower)
	default:
		p.removeFollower(id)
		p.finishRequest(id, Answer{Kind: Refused, Reason: logic.OutOfTime})
	}
}

// leadEnded notes that a read got a final answer which cannot be shared, so that another one has to
// lead its followers.
func (p *Proxy) leadEnded(r *Request) {
	if r.join != nil && r.join.lead {
		p.lostLeads = append(p.lostLeads, r.id)
	}
}

// passLeads makes a follower the lead of each group that lost its lead, each by an event of its own. A
// new lead that ends at once is handled by the same loop rather than by recursion. It reports whether
// there were any new leads.
func (p *Proxy) passLeads() (passed bool) {
	for len(p.lostLeads) > 0 {
		id := p.lostLeads[0]
		p.lostLeads = p.lostLeads[1:]
		next, ok := p.joinTable.PassLead(id)
		if !ok {
			continue
		}
		passed = true
		follower := p.requests[next]
		if follower == nil || follower.done { // cancelled or answered; try the next
			p.lostLeads = append(p.lostLeads, next)
			continue
		}
		p.joinStats.LeadsPassed++
		follower.join.lead = true
		p.balancer.Request(p.now, follower.join.balancerRequest)
	}
	p.lostLeads = nil
	return passed
}

// stopSharing ends the sharing of a read whose answer is streamed to its client and cannot be shared.
// Its followers continue independently.
func (p *Proxy) stopSharing(r *Request) {
	if r.join == nil || !r.join.lead {
		return
	}
	for _, id := range p.joinTable.MarkUnshareable(r.id) {
		if follower := p.requests[id]; follower != nil && !follower.done {
			balancerRequest := follower.join.balancerRequest
			follower.join = nil
			p.balancer.Request(p.now, balancerRequest)
		}
	}
}

// cancelJoined cancels a read whose client has left, if it leads or follows others. A lead with followers continues for
// them. It reports whether the caller need not cancel anything else.
func (p *Proxy) cancelJoined(r *Request) bool {
	switch {
	case r.join == nil || r.done:
		return false
	case r.join.lead && p.joinTable.FollowerCount(r.id) > 0:
		r.Responder = discardingResponder{}
		return true
	case r.join.lead:
		p.leadEnded(r)
		return false
	}
	if r.join.body != nil {
		r.join.body.Release()
		r.join.body = nil
	}
	r.done = true
	p.removeFollower(r.id)
	p.releaseIfOver(r)
	return true
}

// removeFollower removes a follower. A lead whose own client has left ends with its last follower.
func (p *Proxy) removeFollower(id logic.RequestID) {
	lead, alone := p.joinTable.RemoveFollower(id)
	if r := p.requests[lead]; alone && r != nil && r.Responder == (discardingResponder{}) {
		p.Cancel(r)
	}
}

// closeReadGroups closes the groups of coalesced reads of the key of a write that was answered or may have run: reads
// that arrive from now on do not share an attempt that began before.
func (p *Proxy) closeReadGroups(r *Request) {
	if p.joinTable != nil && r.Write {
		p.joinTable.Fence(string(r.Key))
	}
}

// JoinCounts returns the counts of request coalescing.
func (p *Proxy) JoinCounts() (c JoinCounts) {
	p.Do(func() { c = p.joinStats })
	return c
}
