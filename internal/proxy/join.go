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
	// tickJoin is the purpose of a follower's timer, among those of the module, which has none of this number.
	tickJoin = 7
	// shareAtOnce is how many followers get their answer under the lock at once. Thousands would else hold up everybody.
	shareAtOnce = 64
)

// Joined counts what became of reads that share attempts, for the rig and tests.
type Joined struct{ Led, Followed, Shared, Passed, Apart int }

// joined is a read that leads others or follows one.
type joined struct {
	lr   logic.Request // as the Balancer is told of it, once it leads
	lead bool
	body *Body // the answer that it shares, from when that is there
}

// Body is an answer's value that several clients get. It is held once, and counted once, until the last has it.
type Body struct {
	p    *Proxy
	bulk []byte // as RESP2 writes it; never changed
	head int
	refs int
}

// newBody copies a value. It is the caller's, until it releases it.
func (p *Proxy) newBody(value []byte) *Body {
	b := resp.AppendBulkHead(make([]byte, 0, len(value)+16), len(value))
	head := len(b)
	b = append(append(b, value...), "\r\n"...)
	p.Hold(len(b))
	return &Body{p: p, bulk: b, head: head, refs: 1}
}

// Value is the value itself.
func (b *Body) Value() []byte { return b.bulk[b.head : len(b.bulk)-2] }

// Keep has the body stay until one more Release, under the host's lock.
func (b *Body) Keep() { b.refs++ }

// Release lets go of the body, under the host's lock.
func (b *Body) Release() {
	if b.refs--; b.refs == 0 {
		b.p.Hold(-len(b.bulk))
		b.bulk = b.bulk[:0:0]
	}
}

// nobody takes the answer of a read that goes on for those who follow it, after its own client has left.
type nobody struct{}

func (nobody) Answer(Answer) {}

// join has a read share another's attempt, or be shared. It tells whether it waits; else it makes its own way.
func (p *Proxy) join(r *Request, lr logic.Request) (follows bool) {
	if _, own := r.Responder.(ExternalSender); own || r.AllowedAddrs != nil {
		return false
	}
	read, ok := p.joins.Limits().NewRead(&lr, r.effect, string(r.Key), namesOf(r.Attrs))
	if !ok {
		return false
	}
	switch p.joins.Join(read) {
	case joining.Follow:
		r.join = &joined{lr: lr}
		p.joined.Followed++
		p.reasons.Add(reasons.Waited, r.class, r.tenant, logic.SharedFetch)
		p.timers.pushToken(p.now, max(p.now, lr.Deadline-p.answerSlack()), uint64(r.id)<<3|tickJoin)
		return true
	case joining.Lead:
		r.join = &joined{lr: lr, lead: true}
		p.joined.Led++
	default:
		p.joined.Apart++
	}
	return false
}

// answerSlack is how early a request is answered whose time runs out, so that it is in time though events are late. The module takes as long.
func (p *Proxy) answerSlack() time.Duration { return 2*p.cfg.Settings.MaxEventDelay + time.Millisecond }

// namesOf is what a list says beside what may differ between reads that get the same answer: how long they wait, who asks, what it
// is thought to cost, whether it is asked again.
func namesOf(attrs []byte) string {
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

// share gives what a lead has got to those who follow it: to some now, to the others in turns that let everybody else in between.
func (p *Proxy) share(r *Request, value []byte) {
	ids := p.joins.Complete(r.id)
	if len(ids) == 0 {
		return
	}
	body := p.newBody(value)
	for _, id := range ids {
		if f := p.requests[id]; f != nil && !f.done {
			f.join.body = body
			body.Keep()
		}
	}
	body.Release()
	p.shares = append(p.shares, ids...)
	p.shareSome()
	if len(p.shares) > 0 && !p.sharing {
		p.sharing = true
		go p.shareRest()
	}
}

func (p *Proxy) shareSome() {
	n := min(len(p.shares), shareAtOnce)
	for _, id := range p.shares[:n] {
		if f := p.requests[id]; f != nil {
			p.shareWith(f)
		}
	}
	if p.shares = p.shares[n:]; len(p.shares) == 0 {
		p.shares = nil
	}
}

func (p *Proxy) shareRest() {
	for more := true; more; {
		p.Do(func() {
			p.shareSome()
			if more = len(p.shares) > 0; !more {
				p.sharing = false
			}
		})
	}
}

// shareWith gives a follower the answer that is there for it. It gets none by a proof that has been taken away meanwhile.
func (p *Proxy) shareWith(f *Request) {
	body := f.join.body
	if body == nil {
		return
	}
	f.join.body = nil
	if !f.done {
		f.done = true
		p.joined.Shared++
		if p.checkProof(f) {
			f.Responder.Answer(Answer{Kind: Served, Value: body.Value(), Body: body})
		} else {
			f.Responder.Answer(Answer{Kind: Failed, Reason: logic.Rejected})
		}
	}
	body.Release()
	p.settle(f)
}

// joinLate ends a follower whose time is over. If its answer is there, it gets it.
func (p *Proxy) joinLate(id logic.RequestID) {
	f := p.requests[id]
	switch {
	case f == nil || f.join == nil || f.join.lead || f.done:
	case f.join.body != nil:
		p.shareWith(f)
	default:
		p.joinLeft(id)
		p.conclude(id, Answer{Kind: Refused, Reason: logic.OutOfTime})
	}
}

// joinEnded notes that a read has its final answer, and got none that others could share: the lead passes on.
func (p *Proxy) joinEnded(r *Request) {
	if r.join != nil && r.join.lead {
		p.lost = append(p.lost, r.id)
	}
}

// passLeads hands over leads that were lost, each by an event of its own. One that is lost at once passes on in the same loop, not in
// the depth of the one before.
func (p *Proxy) passLeads() (some bool) {
	for len(p.lost) > 0 {
		id := p.lost[0]
		p.lost = p.lost[1:]
		next, ok := p.joins.PassLead(id)
		if !ok {
			continue
		}
		some = true
		f := p.requests[next]
		if f == nil || f.done { // it has left without a word; the next
			p.lost = append(p.lost, next)
			continue
		}
		p.joined.Passed++
		f.join.lead = true
		p.bal.Request(p.now, f.join.lr)
	}
	p.lost = nil
	return some
}

// joinApart ends the sharing of a read whose answer can't be: it goes to its client piece by piece. Those who follow it make their own way.
func (p *Proxy) joinApart(r *Request) {
	if r.join == nil || !r.join.lead {
		return
	}
	for _, id := range p.joins.MarkUnshareable(r.id) {
		if f := p.requests[id]; f != nil && !f.done {
			lr := f.join.lr
			f.join = nil
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
		r.Responder = nobody{}
		return true
	case r.join.lead:
		p.joinEnded(r)
		return false
	}
	if r.join.body != nil {
		r.join.body.Release()
		r.join.body = nil
	}
	r.done = true
	p.joinLeft(r.id)
	p.settle(r)
	return true
}

// joinLeft takes a follower out. A lead that has gone on for others after its own client had left ends with the last of them.
func (p *Proxy) joinLeft(id logic.RequestID) {
	lead, alone := p.joins.RemoveFollower(id)
	if r := p.requests[lead]; alone && r != nil && r.Responder == (nobody{}) {
		p.Cancel(r)
	}
}

// fence keeps reads that come from now on from sharing what was asked for before a write of the key was answered, or may have run.
func (p *Proxy) fence(r *Request) {
	if p.joins != nil && r.Write {
		p.joins.Fence(string(r.Key))
	}
}

// JoinedReads counts what became of reads that share attempts.
func (p *Proxy) JoinedReads() (c Joined) {
	p.Do(func() { c = p.joined })
	return c
}
