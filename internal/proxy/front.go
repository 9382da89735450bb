package proxy

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"linenloom/internal/identity"
	"linenloom/internal/orders"
	"linenloom/internal/reasons"
	"linenloom/internal/upstream"
	"linenloom/logic"
)

// Front is a way in for requests. It hands them to the Proxy, its host, with Submit, and gets each one's single
// final answer by the request's Taker. The host knows nothing else of it, and all fronts share one Balancer, one
// count of held bytes and of descriptors, and one drain. Sweep, FreeDescriptor, Owes, End and Close are called under the
// host's lock and must not block.
type Front interface {
	// Serve takes clients until StopAccepting or Close; an error ends the whole proxy.
	Serve() error
	// Drain says that a planned stop has begun; clients still come.
	Drain()
	// StopAccepting ends the way in. What has been taken is still answered.
	StopAccepting()
	// EndIdle lets go of clients to whom nothing is owed and tells whether others are left.
	EndIdle() bool
	// EndAll says that everything taken has its answer, and that nothing that comes from now on gets one: clients are told of the end even
	// where they have sent more.
	EndAll()
	// Sweep is called every 50 ms.
	Sweep()
	// FreeDescriptor gives up a descriptor with which nothing is lost, if there is one.
	FreeDescriptor() bool
	// Close ends what is still open; nothing is owed on it any more.
	Close()
}

// AddFront adds a front before Run.
func (p *Proxy) AddFront(f Front) { p.fronts = append(p.fronts, f) }

// Command is what a client asks, in the platform's terms, whatever front it came by.
type Command struct {
	upstream.Message // the capacity of its value counts as held
	// AllowedAddrs, if not nil, is the addresses of the members that the client lets the request go to, with or without port.
	AllowedAddrs []string
	// Retry tells that the client has asked for it before under the same name.
	Retry bool
	// ArrivedAt is when its last byte came, by Proxy.Clock; its deadline counts from then. 0: when it is submitted.
	ArrivedAt time.Duration
}

// Request is a client's command from its last byte to its answer, and on to the end of its last attempt. The
// front makes it, fills in the Command and the Taker, and hands it over.
type Request struct {
	Command
	Responder   Responder
	Proof       *identity.Proof // whom it is from, where callers are proven
	Front       string          // that it came by, as rights name it
	proxy       *Proxy          // once it is taken
	id          logic.RequestID
	class       int // its place in the counts of reasons; below 0: it is dropped since
	effect      logic.Effect
	retryable   bool // its client may ask for it again whatever has become of it
	longBytes   int  // bytes of the room for long values that its value has; else it is counted as held
	tenant      int
	deadline    time.Duration
	attempts    []*attempt // by number
	outstanding int        // attempts without outcome
	done        bool       // the final answer is decided, or nobody waits for it
	maybeRan    bool       // an attempt that has ended may have run
	tokenUsed   bool       // the id of its token is used by it
	denied      error      // why it was not sent: its proof no longer holds
	group       uint32     // it is one of several that were asked for at once; 0: of none
	join        *joined    // it leads other reads or follows one; nil: neither
	orderRecord *recorded  // it is an order on record; nil: it is not
}

// Kind is the kind of a final answer.
type Kind uint8

// The kinds: the value as a member gave it for this request; trying again is harmless; nothing is promised.
const (
	Served Kind = iota
	Refused
	Failed
)

// Answer is a request's final answer.
type Answer struct {
	Kind       Kind
	Value      []byte        // valid during the call only
	Body       *Body         // what holds the value, if others get it too: whoever keeps it has it kept and released
	RetryAfter time.Duration // when a refused client should come back; 0: not said
	Reason     logic.Reason  // of a refusal or failure
}

// Responder gets a request's single final answer, under the host's lock; it must not block. One that is an upstream.Passer too
// takes long values, piece by piece as they come from a member; such a value is the answer then.
type Responder interface{ Answer(Answer) }

// ExternalSender is a Taker whose client makes the attempts itself, over connections that the host has no part in. The
// front reports how each one ends; the host still ends those whose time is up.
type ExternalSender interface {
	Responder
	// Assign names the member for the next attempt, under the host's lock.
	Assign(*Attempt)
}

// Attempt is an attempt in the hands of a Carrier. Its methods want the host's lock (see Do).
type Attempt struct {
	proxy   *Proxy
	attempt *attempt
	Addr    string // of the member
	Origin  bool   // it is an origin
}

// Announce notes that the client is being told of the attempt now: from here on it may have run. It tells whether
// the attempt still stands; one that has ended, or whose member is no longer ready, must not be given. It may be asked
// again of an attempt that was given and has surely not been sent yet: if its member has gone, that one never ran.
func (x *Attempt) Announce() bool {
	if m := x.proxy.members[x.attempt.to]; !x.attempt.Ended && (m == nil || m.state != logic.Ready || m.Addr != x.Addr) {
		x.proxy.end(x.attempt, logic.StatusConnectFailed, 0)
	}
	if x.attempt.Ended {
		return false
	}
	if !x.attempt.given {
		x.attempt.given, x.attempt.BeganAt = true, x.proxy.now
	}
	return true
}

// Announced tells whether the client has been told of the attempt.
func (x *Attempt) Announced() bool { return x.attempt.given }

// Ended tells whether the attempt has its outcome.
func (x *Attempt) Ended() bool { return x.attempt.Ended }

// TimeLeft is how long the attempt may still take.
func (x *Attempt) TimeLeft() time.Duration { return x.attempt.ExpiresAt - x.proxy.now }

// End gives the attempt its outcome, with a note as in logic.Outcome; later ones are dropped.
func (x *Attempt) End(s logic.Status, note int) { x.proxy.end(x.attempt, s, note) }

// Fallbacks names up to most further members that the client may go on to by itself where this one fails it, in order.
func (x *Attempt) Fallbacks(most int) (addrs []string) {
	if x.attempt.Ended {
		return nil
	}
	for _, id := range x.proxy.bal.Fallbacks(x.attempt.req.id, most) {
		if m := x.proxy.members[id]; m != nil && m.state == logic.Ready {
			addrs = append(addrs, m.Addr)
		}
	}
	return addrs
}

// FallbackUsed notes that the client has gone on by itself to the member at an address. It tells whether there is one.
func (x *Attempt) FallbackUsed(addr string) bool {
	if x.attempt.Ended {
		return false
	}
	for id, m := range x.proxy.members {
		if m.Addr == addr {
			x.proxy.bal.FallbackUsed(x.proxy.now, x.attempt.req.id, x.attempt.to, id)
			x.attempt.to, x.Addr = id, addr
			return true
		}
	}
	return false
}

// MarkServedElsewhere ends an attempt that somebody who is no member has served: the request is served, and nothing is
// learnt of the member that was named.
func (x *Attempt) MarkServedElsewhere() {
	if !x.attempt.Ended {
		x.attempt.req.done = true
		x.proxy.fence(x.attempt.req)
		if c := x.attempt.req.orderRecord; c != nil {
			c.ok, c.by = true, orders.ReportedByCaller
		}
		x.proxy.end(x.attempt, logic.StatusCancelled, 0)
	}
}

// MarkServed ends an attempt whose answer the client has: the request is served, and gets no further answer.
func (x *Attempt) MarkServed(note int) {
	if !x.attempt.Ended {
		x.attempt.req.done = true
		x.proxy.fence(x.attempt.req)
		x.proxy.end(x.attempt, logic.StatusOK, note)
	}
}

// MayHaveRun tells whether an attempt of the request may have run, or may yet.
func (r *Request) MayHaveRun() bool {
	if r.maybeRan {
		return true
	}
	for _, a := range r.attempts {
		if !a.Ended && !a.recording && (!a.carried || a.given) {
			return true
		}
	}
	return false
}

// Denied tells why a request was not sent for who it is from; nil: it was not for that.
func (r *Request) Denied() error { return r.denied }

// ErrBusy tells that the host can't take a request now; it never ran.
var ErrBusy = errors.New("no room for the request")

// ErrStopping is the ErrBusy of a proxy that takes nothing any more.
var ErrStopping = fmt.Errorf("%w: the proxy is stopping", ErrBusy)

// ErrIDInUse tells that the id belongs to another request.
var ErrIDInUse = errors.New("the id is in use")

// Submit takes a request under the host's lock. An error means that the Balancer has not seen it and never will;
// one that is not ErrBusy finds fault with the request itself, or with who it is from (identity.WhyOf). The answer may come before Submit returns.
func (p *Proxy) Submit(r *Request) error {
	err := p.submit(r)
	if err != nil {
		p.releaseToken(r)
	}
	return err
}

func (p *Proxy) submit(r *Request) error {
	lr, err := r.describe(&p.cfg.Settings)
	if err == nil && p.ids.used(r.ReqID, p.now) {
		err = ErrIDInUse
	}
	if err == nil {
		err = p.authorize(r, &p.cfg.Settings.Classes[lr.Class])
	}
	switch {
	case err != nil:
		return err
	case p.stopping:
		p.reasons.Add(reasons.Refused, lr.Class, lr.Tenant, reasons.Stopping)
		return ErrStopping
	case len(p.requests) >= p.maxRequests() || p.held > p.heldMax:
		p.reasons.Add(reasons.Refused, lr.Class, lr.Tenant, reasons.HostFull)
		return ErrBusy
	}
	p.ids.add(r.ReqID, p.now)
	p.nextID++ // after 2^32 it begins anew, long after the request that had the number
	r.id, r.proxy = p.nextID, p
	lr.ID = r.id
	if r.AllowedAddrs != nil {
		lr.AllowedMembers = p.membersByAddr(r.AllowedAddrs)
	}
	class := &p.cfg.Settings.Classes[lr.Class]
	r.class, r.tenant, r.effect = lr.Class, lr.Tenant, class.EffectOf(lr.NoDedupKey)
	r.retryable = class.SafeToRetry(r.effect)
	lr.Deadline += p.earliestArrival(r.ArrivedAt)
	r.deadline = lr.Deadline
	p.requests[r.id] = r
	if p.cfg.Record != nil && r.effect == logic.AtMostOnce {
		p.record(r, lr)
		return nil
	}
	if p.joins == nil || !p.join(r, lr) {
		p.bal.Request(p.now, lr)
	}
	return nil
}

// earliestArrival is when the last byte of a request may have come at the earliest, given when it was read; 0: now.
func (p *Proxy) earliestArrival(read time.Duration) time.Duration {
	if read == 0 {
		return p.now
	}
	return p.stalls.EarliestArrival(min(read, p.now))
}

// membersByAddr finds the members at these addresses; an address without a port is all of its host's. Never nil.
func (p *Proxy) membersByAddr(addrs []string) []logic.MemberID {
	only := []logic.MemberID{}
	set := make(map[string]struct{}, len(addrs))
	for _, a := range addrs {
		set[a] = struct{}{}
	}
	for id, m := range p.members {
		_, whole := set[m.Addr]
		host, _, _ := net.SplitHostPort(m.Addr)
		if _, byHost := set[host]; whole || byHost {
			only = append(only, id)
		}
	}
	slices.Sort(only)
	return only
}

// RestrictMembers changes, within Do, the members that a request in hand may go to; nil: all. An attempt that its client has not
// been told of, at a member that is not among them, was never sent.
func (p *Proxy) RestrictMembers(r *Request, addrs []string) {
	r.AllowedAddrs = addrs
	var only []logic.MemberID
	if addrs != nil {
		only = p.membersByAddr(addrs)
	}
	if r.join != nil {
		r.join.lr.AllowedMembers = only
	}
	p.bal.RestrictMembers(p.now, r.id, only)
	for _, a := range r.attempts {
		if only != nil && a.carried && !a.given && !a.Ended && !slices.Contains(only, a.to) {
			p.end(a, logic.StatusNoConn, 0)
		}
	}
	p.Tell()
}

// Cancel says that nobody waits for the request any more. What has not been sent for it is not sent; attempts that are out end by themselves.
func (p *Proxy) Cancel(r *Request) {
	if r.id == 0 {
		return // it was never taken
	}
	if p.joins != nil && p.withdrawJoined(r) || r.orderRecord != nil && p.withdrawRecorded(r) {
		return
	}
	if !r.done {
		r.done = true
		p.recall(r) // before the module calls off what is out: what was never sent is not told as cancelled, which may have run
		p.bal.RequestCancelled(p.now, r.id)
	}
	p.settle(r)
}

// Do runs f under the host's lock, as one event.
func (p *Proxy) Do(f func()) {
	p.enter()
	defer p.leave()
	f()
}

// Reasons is a copy of the counts of why requests waited, were refused or failed.
func (p *Proxy) Reasons() (c *reasons.Counts) {
	p.Do(func() { c = p.reasons.Clone() })
	return c
}

// Now is the host's time, under the lock.
func (p *Proxy) Now() time.Duration { return p.now }

// Stopping tells, under the lock, whether no request is taken any more.
func (p *Proxy) Stopping() bool { return p.stopping }

// Classes are those in force.
func (p *Proxy) Classes() (c []logic.Class) {
	p.Do(func() { c = p.cfg.Settings.Classes })
	return c // replaced whole, never changed
}

// UpdateClasses takes over other classes and another number of attempts. Requests in hand keep theirs.
func (p *Proxy) UpdateClasses(classes []logic.Class, tryLimit int) error {
	p.enter()
	defer p.leave()
	if err := p.bal.UpdateClasses(p.now, classes, tryLimit); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	was := p.cfg.Settings.Classes
	p.cfg.Settings.Classes, p.cfg.Settings.MaxAttempts = slices.Clone(classes), tryLimit
	p.redis.shedder.SetClasses(classes)
	names := logic.ClassNames(classes)
	p.reasons = p.reasons.ForClasses(names)
	if p.reasonsTold != nil {
		p.reasonsTold = p.reasonsTold.ForClasses(names)
	}
	for _, r := range p.requests {
		if r.class >= 0 {
			r.class = slices.Index(names, was[r.class].Name)
		}
	}
	return nil
}

// AddHeld counts n bytes, or gives back -n, under the lock. It tells whether the room is overdrawn.
func (p *Proxy) AddHeld(n int) (over bool) {
	p.held += n
	return p.held > p.heldMax
}

// AddDescriptors counts n descriptors that a front has opened, or -n that it has closed, under the lock.
func (p *Proxy) AddDescriptors(n int) { p.frontFDs += n }

// EnsureDescriptor tells, under the lock, whether a front may open one more descriptor, and makes room if it can.
func (p *Proxy) EnsureDescriptor() bool {
	for p.sockets() >= p.cfg.Sockets-spareSockets {
		if !p.freeDescriptor() {
			return false
		}
	}
	return true
}

// freeDescriptor closes a connection that nothing is lost with.
func (p *Proxy) freeDescriptor() bool {
	for _, f := range p.fronts {
		if f.FreeDescriptor() {
			return true
		}
	}
	for _, m := range p.members {
		if p.ups.CloseIdle(&m.Member, 0) > 0 {
			return true
		}
	}
	return false
}

// Tick does what has fallen due, for hosts with a Clock of their own.
func (p *Proxy) Tick() { p.ring() }

// Load counts, for tests and the rig, what the host has in hand, and the members that it takes for ready. Busy are
// connections to members that carry a request or rest after one.
type Load struct{ Requests, Attempts, Held, Descriptors, Ready, Busy int }

// Load tells what is in hand now.
func (p *Proxy) Load() (l Load) {
	p.Do(func() {
		l = Load{Requests: len(p.requests), Held: p.held, Descriptors: p.sockets()}
		for _, r := range p.requests {
			l.Attempts += r.outstanding
		}
		for _, m := range p.members {
			if m.state == logic.Ready {
				l.Ready++
			}
			for _, u := range m.Conns {
				if u.Busy() {
					l.Busy++
				}
			}
		}
	})
	return l
}
