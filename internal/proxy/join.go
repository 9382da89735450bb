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
	// followerTimer is the purpose of a follower's timer, among those of the module, which has none of this number.
	followerTimer = 7
	// shareBatchSize is how many followers get their answer under the lock at once. Thousands would else hold up everybody.
	shareBatchSize = 64
)

// JoinCounts counts what became of reads that share attempts, for the rig and tests.
type JoinCounts struct{ Led, Followed, Shared, LeadsPassed, NotJoined int }

// joinState is a read that leads others or follows one.
type joinState struct {
	balancerRequest logic.Request // as the Balancer is told of it, once it leads
	lead            bool
	body            *Body // the answer that it shares, from when that is there
}

// Body is an answer's value that several clients get. It is held once, and counted once, until the last has it.
type Body struct {
	proxy      *Proxy
	bulk       []byte // as RESP2 writes it; never changed
	headLength int
	references int
}

// newBody copies a value. It is the caller's, until it releases it.
func (p *Proxy) newBody(value []byte) *Body {
	b := resp.AppendBulkHead(make([]byte, 0, len(value)+16), len(value))
	head := len(b)
	b = append(append(b, value...), "\r\n"...)
	p.Hold(len(b))
	return &Body{proxy: p, bulk: b, headLength: head, references: 1}
}

// Value is the value itself.
func (b *Body) Value() []byte { return b.bulk[b.headLength : len(b.bulk)-2] }

// Retain has the body stay until one more Release, under the host's lock.
func (b *Body) Retain() { b.references++ }

// Release lets go of the body, under the host's lock.
func (b *Body) Release() {
	if b.references--; b.references == 0 {
		b.proxy.Hold(-len(b.bulk))
		b.bulk = b.bulk[:0:0]
	}
}

// discardingTaker takes the answer of a read that goes on for those who follow it, after its own client has left.
type discardingTaker struct{}

func (discardingTaker) Answer(Answer) {}

// join has a read share another's attempt, or be shared. It tells whether it waits; else it makes its own way.
func (p *Proxy) join(r *Request, balancerRequest logic.Request) (follows bool) {
	if _, carrier := r.Taker.(Carrier); carrier || r.Only != nil {
		return false
	}
	read, ok := p.joins.Limits().NewRead(&balancerRequest, r.effect, string(r.Key), sharedAttributes(r.Attrs))
	if !ok {
		return false
	}
	switch p.joins.Join(read) {
	case joining.Follow:
		r.join = &joinState{balancerRequest: balancerRequest}
		p.joined.Followed++
		p.reasons.Add(reasons.Waited, r.class, r.tenant, logic.SharedFetch)
		p.timers.pushToken(p.now, max(p.now, balancerRequest.Deadline-p.answerSlack()), uint64(r.id)<<3|followerTimer)
		return true
	case joining.Lead:
		r.join = &joinState{balancerRequest: balancerRequest, lead: true}
		p.joined.Led++
	default:
		p.joined.NotJoined++
	}
	return false
}

// answerSlack is how early a request is answered whose time runs out, so that it is in time though events are late. The module takes as long.
func (p *Proxy) answerSlack() time.Duration { return 2*p.cfg.Settings.MaxEventDelay + time.Millisecond }

// sharedAttributes is what a list says beside what may differ between reads that get the same answer: how long they wait, who asks, what it
// is thought to cost, whether it is asked again.
func sharedAttributes(attrs []byte) string {
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

// shareAnswer gives what a lead has got to those who follow it: to some now, to the others in turns that let everybody else in between.
func (p *Proxy) shareAnswer(r *Request, value []byte) {
	ids := p.joins.Complete(r.id)
	if len(ids) == 0 {
		return
	}
	body := p.newBody(value)
	for _, id := range ids {
		if follower := p.requests[id]; follower != nil && !follower.done {
			follower.join.body = body
			body.Retain()
		}
	}
	body.Release()
	p.shares = append(p.shares, ids...)
	p.shareBatch()
	if len(p.shares) > 0 && !p.sharing {
		p.sharing = true
		go p.shareRemaining()
	}
}

func (p *Proxy) shareBatch() {
	n := min(len(p.shares), shareBatchSize)
	for _, id := range p.shares[:n] {
		if follower := p.requests[id]; follower != nil {
			p.answerFollower(follower)
		}
	}
	if p.shares = p.shares[n:]; len(p.shares) == 0 {
		p.shares = nil
	}
}

func (p *Proxy) shareRemaining() {
	for more := true; more; {
		p.Do(func() {
			p.shareBatch()
			if more = len(p.shares) > 0; !more {
				p.sharing = false
			}
		})
	}
}

// answerFollower gives a follower the answer that is there for it. It gets none by a proof that has been taken away meanwhile.
func (p *Proxy) answerFollower(follower *Request) {
	body := follower.join.body
	if body == nil {
		return
	}
	follower.join.body = nil
	if !follower.done {
		follower.done = true
		p.joined.Shared++
		if p.proven(follower) {
			follower.Taker.Answer(Answer{Kind: Served, Value: body.Value(), Body: body})
		} else {
			follower.Taker.Answer(Answer{Kind: Failed, Why: logic.Rejected})
		}
	}
	body.Release()
	p.settle(follower)
}

// followerTimedOut ends a follower whose time is over. If its answer is there, it gets it.
func (p *Proxy) followerTimedOut(id logic.RequestID) {
	follower := p.requests[id]
	switch {
	case follower == nil || follower.join == nil || follower.join.lead || follower.done:
	case follower.join.body != nil:
		p.answerFollower(follower)
	default:
		p.removeFollower(id)
		p.conclude(id, Answer{Kind: Refused, Why: logic.OutOfTime})
	}
}

// leadEnded notes that a read has its final answer, and got none that others could share: the lead passes on.
func (p *Proxy) leadEnded(r *Request) {
	if r.join != nil && r.join.lead {
		p.lost = append(p.lost, r.id)
	}
}

// passLeads hands over leads that were lost, each by an event of its own. One that is lost at once passes on in the same loop, not in
// the depth of the one before.
func (p *Proxy) passLeads() (passed bool) {
	for len(p.lost) > 0 {
		id := p.lost[0]
		p.lost = p.lost[1:]
		next, ok := p.joins.PassLead(id)
		if !ok {
			continue
		}
		passed = true
		follower := p.requests[next]
		if follower == nil || follower.done { // it has left without a word; the next
			p.lost = append(p.lost, next)
			continue
		}
		p.joined.LeadsPassed++
		follower.join.lead = true
		p.bal.Request(p.now, follower.join.balancerRequest)
	}
	p.lost = nil
	return passed
}

// stopSharing ends the sharing of a read whose answer can't be: it goes to its client piece by piece. Those who follow it make their own way.
func (p *Proxy) stopSharing(r *Request) {
	if r.join == nil || !r.join.lead {
		return
	}
	for _, id := range p.joins.MarkUnshareable(r.id) {
		if follower := p.requests[id]; follower != nil && !follower.done {
			lr := follower.join.balancerRequest
			follower.join = nil
			p.bal.Request(p.now, lr)
		}
	}
}

// withdrawJoined takes a read out whose client has left. One that others wait for goes on for them. It tells whether that was all.
func (p *Proxy) withdrawJoined(r *Request) bool {
	switch {
	case r.join == nil || r.done:
		return false
	case r.join.lead && p.joins.FollowerCount(r.id) > 0:
		r.Taker = discardingTaker{}
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
	p.settle(r)
	return true
}

// removeFollower takes a follower out. A lead that has gone on for others after its own client had left ends with the last of them.
func (p *Proxy) removeFollower(id logic.RequestID) {
	lead, alone := p.joins.RemoveFollower(id)
	if r := p.requests[lead]; alone && r != nil && r.Taker == (discardingTaker{}) {
		p.Withdraw(r)
	}
}

// fenceReads keeps reads that come from now on from sharing what was asked for before a write of the key was answered, or may have run.
func (p *Proxy) fenceReads(r *Request) {
	if p.joins != nil && r.Write {
		p.joins.Fence(string(r.Key))
	}
}

// JoinCounts counts what became of reads that share attempts.
func (p *Proxy) JoinCounts() (c JoinCounts) {
	p.Do(func() { c = p.joined })
	return c
}
