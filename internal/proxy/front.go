package proxy

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"linenloom/internal/descriptors"
	"linenloom/internal/identity"
	"linenloom/internal/orders"
	"linenloom/internal/pool"
	"linenloom/internal/reasons"
	"linenloom/internal/upstream"
	"linenloom/logic"
)

// Front accepts requests from clients. It submits them to the Proxy, its host, with Submit, and receives
// the single final answer of each through the request's Responder. The host knows nothing else about it.
// All fronts share one Balancer, one count of held bytes, one count of descriptors and one drain. Sweep,
// FreeDescriptor, EndIdle, EndAll and Close are called under the host's lock and must not block.
type Front interface {
	// Serve accepts clients until StopAccepting or Close is called; an error ends the whole proxy.
	Serve() error
	// Drain reports that a planned stop has begun; clients may still connect.
	Drain()
	// StopAccepting stops accepting clients. Requests that were accepted are still answered.
	StopAccepting()
	// EndIdle ends the connections of clients without a pending answer and reports whether other clients
	// remain.
	EndIdle() bool
	// EndAll reports that every accepted request has its answer, and that commands that arrive from now on
	// get none: the front ends all connections, even those whose clients have sent more.
	EndAll()
	// Sweep is called every 50 ms.
	Sweep()
	// FreeDescriptor closes the connection of a client that has no request in progress, and reports whether
	// there was one. The client's next request may be on its way, and then has to be sent again.
	FreeDescriptor() bool
	// Close closes all connections that are still open; no answer is pending on them any more.
	Close()
}

// AddFront adds a front; it must be called before Run.
func (p *Proxy) AddFront(f Front) { p.fronts = append(p.fronts, f) }

// Command is a client's command in the platform's terms, whichever front received it.
type Command struct {
	upstream.Message // the capacity of Value counts as held
	// AllowedAddrs, if not nil, lists the addresses, with or without a port, of the members to which the
	// client allows the request to be sent.
	AllowedAddrs []string
	// Retry reports that the client has sent the request before under the same id.
	Retry bool
	// ArrivedAt is when the last byte of the command arrived, by Proxy.Clock; the deadline counts from
	// then. 0 means the time of Submit.
	ArrivedAt time.Duration
}

// Request is a client's command that has been read in full. It exists until it is answered and its last
// attempt has ended. The front creates it, fills in the Command and the Responder, and submits it.
type Request struct {
	Command
	Responder   Responder
	Proof       *identity.Proof // of the caller, where callers are authenticated
	Front       string          // name of the front that received it, as access rules name it
	proxy       *Proxy          // set once the request is accepted
	id          logic.RequestID
	class       int // index of its class in the counts of reasons; below 0: the class has been removed
	effect      logic.Effect
	retryable   bool // the client may safely repeat it, whatever became of it
	longBytes   int  // bytes reserved for its value in the memory for long values; else the value counts as held
	tenant      int
	deadline    time.Duration
	attempts    []*attempt  // by number
	outstanding int         // attempts without an outcome
	done        bool        // the final answer is decided, or no client waits for it
	maybeRan    bool        // an attempt that has ended may have run
	tokenUsed   bool        // it uses the id of its token
	denied      error       // why it was not sent: its proof is no longer valid
	group       uint32      // shared by requests that were made together by one command; 0: none
	join        *joinState  // the group of coalesced reads that it leads or follows; nil: none
	orderState  *orderState // its entry in the order record; nil: it has none
}

// Kind is the kind of a final answer.
type Kind uint8

// The kinds of answers: Served has the value that a member gave for this request; after Refused a retry is
// harmless; after Failed nothing is promised about whether the request ran.
const (
	Served Kind = iota
	Refused
	Failed
)

// Answer is a request's final answer.
type Answer struct {
	Kind       Kind
	Value      []byte        // valid during the call only
	Body       *Body         // the value, if shared with others; a receiver that keeps it calls Retain and Release
	RetryAfter time.Duration // how long a refused client should wait before it retries; 0: not stated
	Reason     logic.Reason  // of a refusal or failure
}

// Responder receives a request's single final answer, under the host's lock; it must not block. A Responder
// that is also an upstream.ValueStream accepts long values in pieces, as they arrive from a member; the
// streamed value is then the answer.
type Responder interface{ Answer(Answer) }

// ExternalSender is a Responder whose client makes the attempts itself, over connections that the host does
// not manage. The front reports how each attempt ends; the host still ends attempts that time out.
type ExternalSender interface {
	Responder
	// Assign names the member for the next attempt, under the host's lock.
	Assign(*Attempt)
}

// Attempt is an attempt that was assigned to an ExternalSender. Its methods require the host's lock (see
// Do).
type Attempt struct {
	proxy   *Proxy
	attempt *attempt
	Addr    string // of the member
	Origin  bool   // the member is an origin
}

// Announce records that the client is now being notified of the attempt: from here on it may have run. It
// reports whether the attempt is still valid; an attempt that has ended, or whose member is no longer ready,
// must not be sent to the client. Announce may be called again for an attempt that was announced and has
// certainly not been sent yet: if its member has gone or it is too late for a repeat, the attempt never ran.
func (x *Attempt) Announce() bool {
	if m := x.proxy.members[x.attempt.memberID]; !x.attempt.Ended && (m == nil || m.state != logic.Ready || m.Addr != x.Addr) {
		x.proxy.endAttempt(x.attempt, logic.StatusConnectFailed, 0)
	}
	if x.attempt.TooLateToStart(x.proxy.now) {
		x.proxy.endAttempt(x.attempt, logic.StatusNoConn, 0)
	}
	if x.attempt.Ended {
		return false
	}
	if !x.attempt.announced {
		x.attempt.announced, x.attempt.BeganAt = true, x.proxy.now
	}
	return true
}

// Announced reports whether the client has been notified of the attempt.
func (x *Attempt) Announced() bool { return x.attempt.announced }

// Ended reports whether the attempt has its outcome.
func (x *Attempt) Ended() bool { return x.attempt.Ended }

// TimeLeft returns how long the attempt may still take.
func (x *Attempt) TimeLeft() time.Duration { return x.attempt.ExpiresAt - x.proxy.now }

// End gives the attempt its outcome, with a note as in logic.Outcome; later outcomes are ignored.
func (x *Attempt) End(s logic.Status, note int) { x.proxy.endAttempt(x.attempt, s, note) }

// Fallbacks returns the addresses of up to most further members, in order, which the client may try by
// itself if this attempt's member fails.
func (x *Attempt) Fallbacks(most int) (addrs []string) {
	if x.attempt.Ended {
		return nil
	}
	for _, id := range x.proxy.balancer.Fallbacks(x.attempt.request.id, most) {
		if m := x.proxy.members[id]; m != nil && m.state == logic.Ready {
			addrs = append(addrs, m.Addr)
		}
	}
	return addrs
}

// FallbackUsed records that the client has moved on by itself to the member at addr. It reports whether
// there is such a member.
func (x *Attempt) FallbackUsed(addr string) bool {
	if x.attempt.Ended {
		return false
	}
	for id, m := range x.proxy.members {
		if m.Addr == addr {
			x.proxy.balancer.FallbackUsed(x.proxy.now, x.attempt.request.id, x.attempt.memberID, id)
			x.attempt.memberID, x.Addr = id, addr
			return true
		}
	}
	return false
}

// MarkServedElsewhere ends an attempt that was served by something that is not a member: the request is
// served, and the outcome says nothing about the member that was assigned.
func (x *Attempt) MarkServedElsewhere() {
	if !x.attempt.Ended {
		x.attempt.request.done = true
		x.proxy.closeReadGroups(x.attempt.request)
		if c := x.attempt.request.orderState; c != nil {
			c.answered, c.reportedBy = true, orders.ReportedByCaller
		}
		x.proxy.endAttempt(x.attempt, logic.StatusCancelled, 0)
	}
}

// MarkServed ends an attempt whose answer the client has already received: the request is served, and gets
// no further answer.
func (x *Attempt) MarkServed(note int) {
	if !x.attempt.Ended {
		x.attempt.request.done = true
		x.proxy.closeReadGroups(x.attempt.request)
		x.proxy.endAttempt(x.attempt, logic.StatusOK, note)
	}
}

// MayHaveRun reports whether an attempt of the request may have run, or may still run.
func (r *Request) MayHaveRun() bool {
	if r.maybeRan {
		return true
	}
	for _, a := range r.attempts {
		if !a.Ended && !a.awaitsRecord && (!a.byExternalSender || a.announced) {
			return true
		}
	}
	return false
}

// Denied returns the error for which the caller's proof kept the request from being sent; nil if that was
// not the cause.
func (r *Request) Denied() error { return r.denied }

// ErrBusy reports that the host can't accept a request now; the request never ran.
var ErrBusy = errors.New("no capacity for the request")

// ErrStopping is the ErrBusy of a proxy that accepts no further requests.
var ErrStopping = fmt.Errorf("%w: the proxy is stopping", ErrBusy)

// ErrIDInUse reports that the id belongs to another request.
var ErrIDInUse = errors.New("the id is in use")

// Submit accepts a request, under the host's lock. An error means that the Balancer has not seen the
// request and never will; any error but ErrBusy is about the request itself or its caller (identity.ReasonOf).
// The answer may be delivered before Submit returns.
func (p *Proxy) Submit(r *Request) error {
	err := p.submit(r)
	if err != nil {
		p.releaseToken(r)
	}
	return err
}

func (p *Proxy) submit(r *Request) error {
	logicRequest, err := r.parseRequest(&p.cfg.Settings)
	if err == nil && p.recentIDs.contains(r.ReqID, p.now) {
		err = ErrIDInUse
	}
	if err == nil {
		err = p.authorize(r, &p.cfg.Settings.Classes[logicRequest.Class])
	}
	switch {
	case err != nil:
		return err
	case p.stopping:
		p.reasons.Add(reasons.Refused, logicRequest.Class, logicRequest.Tenant, reasons.Stopping)
		return ErrStopping
	case len(p.requests) >= p.maxRequests() || p.bufferedBytes > p.maxHeldBytes:
		p.reasons.Add(reasons.Refused, logicRequest.Class, logicRequest.Tenant, reasons.HostFull)
		return ErrBusy
	}
	class := &p.cfg.Settings.Classes[logicRequest.Class]
	effect := class.EffectOf(logicRequest.NoDedupKey)
	if effect == logic.AtMostOnce {
		if err := p.claimID(r.ReqID); err != nil {
			if errors.Is(err, ErrBusy) {
				p.reasons.Add(reasons.Refused, logicRequest.Class, logicRequest.Tenant, reasons.HostFull)
			}
			return err
		}
	}
	p.recentIDs.add(r.ReqID, p.now)
	p.nextID++ // wraps around after 2^32, long after the request with the same number has ended
	r.id, r.proxy = p.nextID, p
	logicRequest.ID = r.id
	if r.AllowedAddrs != nil {
		logicRequest.AllowedMembers = p.membersByAddr(r.AllowedAddrs)
	}
	r.class, r.tenant, r.effect = logicRequest.Class, logicRequest.Tenant, effect
	r.retryable = class.SafeToRetry(r.effect)
	logicRequest.AcceptedClass = class // the Balancer may get the request after the classes have changed
	logicRequest.Deadline += p.earliestArrival(r.ArrivedAt)
	r.deadline = logicRequest.Deadline
	p.requests[r.id] = r
	if p.cfg.Record != nil && r.effect == logic.AtMostOnce {
		p.submitToRecord(r, logicRequest)
		return nil
	}
	if p.joinTable == nil || !p.join(r, logicRequest) {
		p.balancer.Request(p.now, logicRequest)
	}
	return nil
}

// earliestArrival returns the earliest time at which the last byte of a request may have arrived, given the
// time at which it was read; 0 stands for now.
func (p *Proxy) earliestArrival(readAt time.Duration) time.Duration {
	if readAt == 0 {
		return p.now
	}
	return p.stalls.EarliestArrival(min(readAt, p.now))
}

// membersByAddr returns the members at these addresses; an address without a port matches all members of
// its host. The result is never nil.
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

// RestrictMembers changes, within Do, the members to which an accepted request may be sent; nil means all.
// An unannounced attempt at a member that is no longer allowed is ended as never sent.
func (p *Proxy) RestrictMembers(r *Request, addrs []string) {
	r.AllowedAddrs = addrs
	var only []logic.MemberID
	if addrs != nil {
		only = p.membersByAddr(addrs)
	}
	if r.join != nil {
		r.join.balancerRequest.AllowedMembers = only
	}
	p.balancer.RestrictMembers(p.now, r.id, only)
	for _, a := range r.attempts {
		if only != nil && a.byExternalSender && !a.announced && !a.Ended && !slices.Contains(only, a.memberID) {
			p.endAttempt(a, logic.StatusNoConn, 0)
		}
	}
	p.DeliverOutcomes()
}

// Cancel reports that no client waits for the request any more. Attempts that have not been sent are dropped;
// attempts in flight end by themselves.
func (p *Proxy) Cancel(r *Request) {
	if r.id == 0 {
		return // it was never accepted
	}
	if p.joinTable != nil && p.cancelJoined(r) || r.orderState != nil && p.cancelOrder(r) {
		return
	}
	if !r.done {
		r.done = true
		// recallUnsent must precede RequestCancelled, which cancels the outstanding attempts: a cancelled attempt
		// counts as one that may have run, and an attempt that was never sent must not be reported so.
		p.recallUnsent(r)
		p.balancer.RequestCancelled(p.now, r.id)
	}
	p.releaseIfOver(r)
}

// Do runs f under the host's lock, as one event.
func (p *Proxy) Do(f func()) {
	p.beginEvent()
	defer p.endEvent()
	f()
}

// Reasons returns a copy of the counts of why requests waited, were refused or failed.
func (p *Proxy) Reasons() (c *reasons.Counts) {
	p.Do(func() { c = p.reasons.Clone() })
	return c
}

// Now returns the host's time; it requires the lock.
func (p *Proxy) Now() time.Duration { return p.now }

// Stopping reports whether the proxy accepts no further requests; it requires the lock.
func (p *Proxy) Stopping() bool { return p.stopping }

// Classes returns the classes in force.
func (p *Proxy) Classes() (c []logic.Class) {
	p.Do(func() { c = p.cfg.Settings.Classes })
	return c // the slice is replaced as a whole, never modified
}

// UpdateClasses replaces the classes and the maximum number of attempts. Accepted requests keep theirs.
func (p *Proxy) UpdateClasses(classes []logic.Class, maxAttempts int) error {
	p.beginEvent()
	defer p.endEvent()
	if err := p.balancer.UpdateClasses(p.now, classes, maxAttempts); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	previous := p.cfg.Settings.Classes
	p.cfg.Settings.Classes, p.cfg.Settings.MaxAttempts = slices.Clone(classes), maxAttempts
	p.redis.shedder.SetClasses(classes)
	names := logic.ClassNames(classes)
	p.reasons = p.reasons.ForClasses(names)
	if p.reasonsLogged != nil {
		p.reasonsLogged = p.reasonsLogged.ForClasses(names)
	}
	for _, r := range p.requests {
		if r.class >= 0 {
			r.class = slices.Index(names, previous[r.class].Name)
		}
	}
	return nil
}

// AddBuffered adds n, which may be negative, to the bytes held, and reports whether they exceed the limit. It
// requires the lock.
func (p *Proxy) AddBuffered(n int) (over bool) {
	p.bufferedBytes += n
	return p.bufferedBytes > p.maxBufferedBytes
}

// AddDescriptors adds n, which may be negative, to the descriptors that fronts have open. It requires the
// lock.
func (p *Proxy) AddDescriptors(n int) { p.frontDescriptors += n }

// EnsureDescriptor reports whether a front may open one more descriptor, and closes idle connections if
// need be. It requires the lock.
func (p *Proxy) EnsureDescriptor() bool {
	for {
		action := p.descriptorBudget().ForClient(p.descriptorUse())
		if action == descriptors.Open {
			return true
		}
		if !p.freeDescriptor(action) {
			return false
		}
	}
}

// descriptorBudget returns the limits of file descriptors.
func (p *Proxy) descriptorBudget() descriptors.Budget {
	return descriptors.Budget{Limit: p.cfg.Descriptors, Reserve: reservedDescriptors}
}

// descriptorUse counts the file descriptors in use.
func (p *Proxy) descriptorUse() descriptors.Use {
	return descriptors.Use{Clients: p.frontDescriptors, Members: p.upstreams.OpenConns()}
}

// freeDescriptor carries out a decision of the descriptor budget other than Open, and reports whether a
// connection was closed.
func (p *Proxy) freeDescriptor(action descriptors.Action) bool {
	if action == descriptors.CloseClient {
		for _, f := range p.fronts {
			if f.FreeDescriptor() {
				return true
			}
		}
	}
	return p.closeRestingConn()
}

// closeRestingConn closes the connection to a member that has been at rest for longest, and reports whether
// there was one.
func (p *Proxy) closeRestingConn() bool {
	var longest *pool.Conn[*upstream.Exchange]
	for _, m := range p.members {
		if c := m.LongestAtRest(); c != nil && (longest == nil || c.UnusedSince() < longest.UnusedSince()) {
			longest = c
		}
	}
	if longest == nil {
		return false
	}
	p.upstreams.CloseFor(longest, pool.CloseIdle)
	return true
}

// Tick runs the timers that are due, for hosts with a Clock of their own.
func (p *Proxy) Tick() { p.onTimer() }

// Load counts the host's accepted requests and other load, and the members that it considers ready, for
// tests and the test harness. Busy counts connections to members that carry a request or are in their
// cooldown after one.
type Load struct{ Requests, Attempts, Held, Descriptors, Ready, Busy int }

// Load returns the current load.
func (p *Proxy) Load() (l Load) {
	p.Do(func() {
		l = Load{Requests: len(p.requests), Held: p.bufferedBytes, Descriptors: p.openDescriptors()}
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
