// The interface of this module is in api.go; this file holds every decision.

package logic

import (
	"cmp"
	"errors"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	slotCount    = 4096            // many more than members, so that shares come out even
	orderDepth   = 12              // candidates kept for a slot; where zones have tables of their own, in this one
	abroadDepth  = 2               // and in each other
	counterSize  = 1024            // keys the counter follows, several times the hot set
	maxHot       = 200             // the cap of the hot set (MIP-200 of the paper)
	keyWeight    = 3.33            // k of the paper: what a key costs beside its requests
	window       = 4 * time.Second // counts are halved and hot keys placed anew this often
	enoughCounts = 400             // requests that rank the hot keys well enough
	splitAt      = 0.5             // a key that asks for more of a cache's mean load than this is split
	keepMargin   = 0.1             // a hot key moves only if that lowers the objective by this share
	retryRatio   = 0.15            // further attempts after failures, as a share of requests
	retryBurst   = 10
	// brokenCost is what a further attempt takes of the retry budget after a connection broke or did not come up, or a member turned
	// the attempt away unseen: that tells of no load, and where it is common it would use the budget up. It could do harm where
	// members shed load by resetting: there each request costs up to as many attempts as it may have.
	brokenCost    = 0.25
	startLimit    = 8                      // attempts out at a member that has told nothing yet
	knownAfter    = 16 * startLimit        // answers; until then a limit that was never cut is a guess
	firstLook     = 10 * time.Millisecond  // after which a crowd at members that nothing is known of yet is looked at again
	crowdShare    = 0.25                   // of the target: what a quick member may have out, one by one
	throttleSpan  = 3 * time.Second        // over which asked and answered are compared
	throttleAt    = 2                      // a read may be refused when the caches answer less than one in this many
	throttleSlack = 8                      // fewer asked than this tell nothing
	darkAfter     = 4                      // time-outs in a row of a zone's caches that tell of the zone
	darkGap       = 300 * time.Millisecond // between attempts there
	outage        = 3 * time.Second        // of silence, in which its caches may have started anew: far beyond a jam
	emptyAfter    = 32                     // misses in a row of a cache that had as many hits: it has lost what it held, so it is a new process
	spillOver     = 6                      // busy candidates passed over before a read is refused
	waitShare     = 12                     // part of its time that a read may wait for a connection: the right cache beats a miss elsewhere
	ejectChance   = 3000                   // a streak that comes about by chance in fewer attempts ejects nobody
	mostTries     = 32                     // as many again may find no connection, and a flight has 64 bits
	maxStreak     = 8                      // but one this long always does
	floorRise     = 1.002                  // with each answer, of the least that a member's answers have taken on average
	coldShare     = 0.5                    // of the fall multiple: the rest is left for what this proxy can't see
)

// What a refused client is told.
const (
	leastWait  = 50 * time.Millisecond
	refusalGap = time.Second // without a refusal ends a shortage
)

// purposes of a timer, in the low bits of its token.
const (
	tickClose  = iota // the window closes
	tickWatch         // ask for the list again
	tickPump          // look at the origin's queue again
	tickAim           // a request's aim passes
	tickEnd           // a request must be answered
	tickResume        // a request that waits with nothing out goes on
	tickWindow        // repeats of a request are dropped no longer
)

// New makes a Balancer. The seed sets all its random choices.
func New(s Settings, seed uint64, do Actions) (*Balancer, error) {
	if do == nil {
		return nil, errors.New("logic: no actions")
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	s.Instances = max(1, s.Instances)
	s.MaxAttempts = min(s.MaxAttempts, mostTries)
	pcg := rand.NewPCG(seed, uint64(s.SelfIndex))
	b := &Balancer{
		s: s, do: do, pcg: pcg, rng: rand.New(pcg),
		nodes: map[MemberID]*node{}, slots: make([][]ranked, slotCount), kindSize: map[int]float64{},
		counts: counter{at: map[uint64]int{}, size: counterSize}, hot: map[uint64]*placed{},
		tenants: make([]float64, len(s.Tenants)), flights: map[RequestID]*flight{},
		fetching: map[uint64][]*flight{}, retries: retryBurst,
	}
	b.aimAt()
	// Where crossing zones costs more than the copies it saves, each zone has a table of its own.
	b.local = s.Zones > 1 && s.CrossZoneCost*(1-1/float64(s.Zones)) > 0.03
	return b, nil
}

// aimAt sets what a fetch may take: half of the shortest aim.
func (b *Balancer) aimAt() {
	b.target = math.Inf(1)
	for _, c := range b.s.Classes {
		b.target = min(b.target, c.SoftDeadline.Seconds()/2)
	}
}

// UpdateClasses takes over other classes and another number of attempts, for requests that come from now on.
func (b *Balancer) UpdateClasses(now time.Duration, classes []Class, tryLimit int) error {
	s := b.s
	s.Classes, s.MaxAttempts = slices.Clone(classes), min(tryLimit, mostTries) // requests in hand hold on to the old ones
	if err := s.check(); err != nil {
		return err
	}
	b.advance(now)
	b.s = s
	b.aimAt()
	return nil
}

// Start begins at the host's time; windows are phased by instance so that rebuilds don't coincide.
func (b *Balancer) Start(now time.Duration) {
	b.now, b.closeAt, b.period = now, now, window/8
	phase := time.Duration(b.s.SelfIndex%b.s.Instances) * window / time.Duration(b.s.Instances)
	b.do.SetTimer(now+b.period+phase/4, tickClose)
	if b.s.Subscribe {
		b.do.SetTimer(now+b.jitter(time.Second), tickWatch)
	}
}

func (b *Balancer) advance(now time.Duration) { b.now = max(b.now, now) }

func (b *Balancer) jitter(d time.Duration) time.Duration {
	return seconds(b.rng.Float64() * d.Seconds())
}

// SetMembers applies a list. A member that drains or is gone leaves the tables at once.
func (b *Balancer) SetMembers(now time.Duration, kind ListKind, list []Member) {
	b.advance(now)
	if kind == ListFailed {
		// Every proxy loses the list at the same moment; jitter keeps their calls apart.
		if b.s.Subscribe {
			b.watches = min(b.watches+1, 4)
			d := 500 * time.Millisecond << b.watches
			b.do.SetTimer(b.now+d/2+b.jitter(d), tickWatch)
		}
		return
	}
	b.watches = 0
	listed := make(map[MemberID]bool, len(list))
	for _, m := range list {
		listed[m.ID] = true
		b.update(m)
	}
	if kind != ListDelta {
		for _, n := range append(slices.Clone(b.caches), b.origins...) {
			if !listed[n.m.ID] {
				n.m.State = Gone
				b.update(n.m)
			}
		}
		maps.DeleteFunc(b.nodes, func(id MemberID, _ *node) bool { return !listed[id] }) // those that drained when last heard of
	}
	b.peak = max(b.peak, b.size())
	b.pump()
	b.sift()
}

// sift ends the requests that wait for what no member is left to give them after a change of the list.
func (b *Balancer) sift() {
	for _, id := range slices.Sorted(maps.Keys(b.flights)) {
		if f := b.flights[id]; f != nil { // ending one may have sent another on
			b.endHopeless(f)
		}
	}
}

// endHopeless gives a request that waits its final answer if it can't be sent any more, and tells whether it did.
func (b *Balancer) endHopeless(f *flight) bool {
	why := b.hopeless(f)
	if f.waiting && why != NoReason {
		b.conclude(f, why)
	}
	return f.done
}

func (b *Balancer) size() (weight float64) {
	for _, n := range b.caches {
		if !b.local || n.m.Zone == b.s.Zone {
			weight += n.weight
		}
	}
	return weight
}

func (b *Balancer) update(m Member) {
	n := b.nodes[m.ID]
	if m.State != Ready && m.State != Draining {
		defer delete(b.nodes, m.ID) // ids are ever new: what is gone must not be kept
	}
	if n == nil {
		n = &node{hash: mix(uint64(m.ID) + 0x9e3779b97f4a7c15), weight: b.slotWeight(m)}
		n.limit, n.sentAt = startLimit, b.now
		b.nodes[m.ID] = n
		n.m.State = Gone
	}
	if m.StartedAt != n.m.StartedAt && m.State == Ready {
		b.renew(n)
	}
	n.m, n.zone = m, &b.zones[m.Zone&63]
	group := &b.caches
	if b.isOrigin(m) {
		group, n.zone = &b.origins, &zone{}
	}
	byID := func(a *node, id MemberID) int { return cmp.Compare(a.m.ID, id) }
	at, found := slices.BinarySearchFunc(*group, m.ID, byID)
	if found && m.State != Ready {
		*group = slices.Delete(*group, at, at+1)
		b.leave(n)
	}
	if !found && m.State == Ready {
		*group = slices.Insert(*group, at, n)
		b.resize(m)
		if !b.isOrigin(m) {
			b.join(n)
		}
	}
}

// renew makes void what was known of a member: it is a new process, or may be one.
func (b *Balancer) renew(n *node) {
	*n = node{m: n.m, zone: n.zone, hash: n.hash, weight: n.weight, tokensAt: b.now, tokens: b.rng.Float64(),
		limiter: limiter{limit: startLimit, sentAt: b.now}}
}

// SetZoneShares takes the part of its usual work that the caches of each zone are to get from now on; a zone beyond the list as before.
func (b *Balancer) SetZoneShares(now time.Duration, shares []ZoneShare) {
	b.advance(now)
	b.trials = false
	for i, s := range shares[:min(len(shares), len(b.zones))] {
		z, was := &b.zones[i], b.zones[i].closed
		z.closed, z.trial = 1-max(0, min(1, s.Share)), s.Trial
		b.trials = b.trials || z.trial
		for _, n := range b.caches {
			if was >= 1 && z.closed < 1 && n.zone == z {
				b.renew(n)
			}
		}
	}
	b.place()
	b.pump()
	b.sift()
}

func (b *Balancer) isOrigin(m Member) bool {
	return b.s.Mode == CacheAside && b.s.OriginKind >= 0 && m.Kind == b.s.OriginKind
}

// slotWeight must come out alike at every proxy and must not follow load. Live weights fall with load, so
// the largest seen of a kind, in coarse steps, stands for the kind's size.
func (b *Balancer) slotWeight(m Member) float64 {
	w := m.Weight
	if !(w > 0) || math.IsInf(w, 0) || b.s.Weights == WeightsOff {
		return 1
	}
	if b.s.Weights != WeightsLive {
		return w
	}
	return max(b.kindSize[m.Kind], math.Exp2(math.Round(2*math.Log2(w))/2))
}

func (b *Balancer) resize(m Member) {
	w := b.slotWeight(m)
	if b.s.Weights != WeightsLive || w == b.kindSize[m.Kind] {
		return
	}
	b.kindSize[m.Kind] = w
	for _, n := range b.caches {
		if n.m.Kind == m.Kind {
			n.weight = w
		}
	}
	clear(b.slots)
}

// score ranks a member for a slot by weighted rendezvous hashing: alike at all proxies, and a change of the
// list moves only the share of the member that changed.
func (b *Balancer) score(slot int, n *node) float64 {
	s := math.Log(unit(mix(n.hash^mix(uint64(slot)+1)))) / n.weight
	if b.local && n.m.Zone != b.s.Zone {
		return s - 1e9
	}
	return s
}

// order is the slot's candidates, best first. It is worked out when first asked for and then kept current,
// so that a request costs nothing that grows with the fleet.
func (b *Balancer) order(slot int) []ranked {
	if len(b.slots[slot]) == 0 {
		for _, n := range b.caches {
			b.insert(slot, n)
		}
	}
	return b.slots[slot]
}

func (b *Balancer) insert(slot int, n *node) {
	o, s := b.slots[slot], b.score(slot, n)
	depth, last := orderDepth, 0
	if b.local && n.m.Zone != b.s.Zone {
		depth = abroadDepth
	}
	for i, r := range o {
		if !b.local || r.n.m.Zone == n.m.Zone {
			depth, last = depth-1, i
		}
	}
	if depth == 0 {
		if o[last].score >= s {
			return
		}
		o = slices.Delete(o, last, last+1)
	}
	i := len(o)
	for i > 0 && o[i-1].score < s {
		i--
	}
	b.slots[slot] = slices.Insert(o, i, ranked{n, s})
}

func (b *Balancer) join(n *node) {
	for slot, o := range b.slots {
		if len(o) > 0 {
			b.insert(slot, n)
		}
	}
}

func (b *Balancer) leave(n *node) {
	for slot, o := range b.slots {
		if slices.ContainsFunc(o, func(r ranked) bool { return r.n == n }) {
			b.slots[slot] = slices.Delete(o, 0, len(o)) // its room is used again: where caches come and go it would be garbage all day
		}
	}
}

// ramp is the share of its capacity that a member surely has. It may have started anew, untold by the list: see outage, emptyAfter.
func (b *Balancer) ramp(n *node) float64 {
	since := max(n.m.StartedAt, n.zone.since, n.since)
	age := b.now - since
	if since == 0 || age >= b.s.SlowStartDuration {
		return 1
	}
	return b.s.SlowStartCapacity + (1-b.s.SlowStartCapacity)*max(0, age.Seconds())/b.s.SlowStartDuration.Seconds()
}

// owns tells whether a cold member already has this slot: its slots come to it as it warms, in an order alike at every proxy.
func (b *Balancer) owns(n *node, slot int) bool {
	return n.given(slot) && unit(mix(n.hash+uint64(slot)*0x9e3779b97f4a7c15)) < b.ramp(n)
}

// given tells whether a slot is of the part that its zone gets: the same at every proxy and for all of the zone's members.
func (n *node) given(slot int) bool {
	return n.zone.closed == 0 || unit(mix(uint64(n.m.Zone+1)<<32|uint64(slot))) >= n.zone.closed
}

// capacity is the estimate that S and T are divided by: the weight, less where the member is cold, ejected or
// answers slower than the fleet.
func (b *Balancer) capacity(n *node) float64 {
	c := n.weight * b.ramp(n)
	if n.outUntil > b.now {
		return c / 100
	}
	if n.seen >= 5 && b.latency > 0 {
		c *= max(0.25, min(1, 1.5*b.latency/n.latency))
	}
	return c
}

// place assigns the hot keys, greedily: in falling count, each on the candidate that least raises
// max S + k·max T. A key that asks for more than a cache's mean load is split over several.
func (b *Balancer) place() {
	old := b.hot
	b.hot = make(map[uint64]*placed, len(old))
	for _, n := range b.caches {
		n.hotLoad, n.hotKeys = 0, 0
	}
	size := b.size()
	if size == 0 {
		return
	}
	maxS, maxT := 0.0, 0.0
	for _, it := range b.counts.hottest(2, maxHot) {
		slot := slotOf(it.key)
		order := b.order(slot)
		// What chance may have added to a thin count must not make copies.
		sure := max(0, it.count-it.err-math.Sqrt(it.count))
		copies := int(sure / b.counts.total * size / order[0].n.weight / splitAt)
		copies = max(1, min(copies, len(order)))
		parts := max(1, min(copies, copies*2/b.s.Instances))
		p := &placed{}
		for range parts {
			near := order[:min(len(order), copies+1)]
			n := b.leastRaise(near, p, slot, it, float64(parts), maxS, maxT, old[it.key])
			if n == nil { // all cold: the key goes by slot
				break
			}
			c := b.capacity(n)
			n.hotLoad += it.count / float64(parts)
			n.hotKeys++
			maxS, maxT = max(maxS, n.hotLoad/c), max(maxT, n.hotKeys/c)
			p.nodes = append(p.nodes, n)
		}
		if len(p.nodes) > 0 {
			b.hot[it.key] = p
		}
	}
}

func (b *Balancer) leastRaise(order []ranked, p *placed, slot int, it counted, parts, maxS, maxT float64, old *placed) *node {
	var best *node
	least := math.Inf(1)
	turn := 0
	if len(order) > 2 { // several caches share the key: proxies begin at different ones
		turn = int(mix(it.key^uint64(b.s.SelfIndex)*0x9e3779b97f4a7c15) % uint64(len(order)))
	}
	for i := range order {
		n := order[(i+turn)%len(order)].n
		if slices.Contains(p.nodes, n) || !b.owns(n, slot) {
			continue
		}
		c := b.capacity(n)
		m := max(maxS, (n.hotLoad+it.count/parts)/c) + keyWeight*max(maxT, (n.hotKeys+1)/c)
		// A key that was not placed before has gone by its slot: that is its old place. Else keys at the hot
		// set's edge change caches each time they enter or leave it.
		if old != nil && slices.Contains(old.nodes, n) || old == nil && n == order[0].n {
			m *= 1 - min(0.9, keepMargin+1/math.Sqrt(it.count)) // and by more than chance in its count
		}
		if m < least {
			best, least = n, m
		}
	}
	return best
}

func slotOf(key uint64) int { return int(mix(key^0xa0761d6478bd642f) % slotCount) }

func (b *Balancer) closeWindow() {
	b.span, b.closeAt = b.span+(b.now-b.closeAt).Seconds(), b.now
	b.place()
	// Halved, but less at a quiet proxy, whose counts would be too thin to tell a hot key from chance.
	b.counts.age(max(0.5, min(0.9, 1-(b.counts.total-b.kept)/enoughCounts)))
	b.kept = b.counts.total
	b.arrivals, b.carried, b.span = b.arrivals/2, b.carried/2, b.span/2
	for i := range b.tenants {
		b.tenants[i] /= 2
	}
	b.period = min(window, 2*b.period) // short at first: until the first close all keys go by slot
	b.do.SetTimer(b.now+b.period, tickClose)
}

// rate is what the caches do for this proxy a second. Not what it asks of them: under overload, with clients
// trying again, that could be several times what they can do, and no guide to what a cold one can.
func (b *Balancer) rate() float64 {
	return b.carried / max(1, b.span+(b.now-b.closeAt).Seconds())
}

// Request takes a client's request.
func (b *Balancer) Request(now time.Duration, r Request) {
	b.advance(now)
	if b.flights[r.ID] != nil {
		return
	}
	f := &flight{Request: r, class: b.classOf(&r), tries: b.s.MaxAttempts}
	aim := f.class.SoftDeadline
	if r.CostKnown && r.Cost > 0 {
		aim = min(f.class.Deadline, aim+time.Duration(f.class.SoftDeadlineCostFactor*float64(r.Cost)))
	}
	f.askedAt, f.aim = b.now, min(b.now+aim, r.Deadline)
	if f.class.LateValue > 0 {
		f.aim = r.Deadline
	}
	f.value = f.class.Value / max(1e-9, f.class.SoftDeadline.Seconds())
	b.flights[r.ID] = f
	b.arrivals++
	b.retries = min(retryBurst, b.retries+retryRatio)
	if b.overShare(r.Tenant) {
		f.value *= b.s.OverShareValue
	}
	if r.Key != 0 {
		// A fetch also serves those who will ask for the key again; keys wanted once must not crowd them out.
		f.value *= 1 + b.counts.sure(r.Key)
		b.counts.add(r.Key)
		f.slot = slotOf(r.Key)
	} else {
		f.slot = b.rng.IntN(slotCount)
	}
	if f.aim < r.Deadline {
		b.timer(f, max(b.now, f.aim-b.slack()), tickAim)
	}
	b.timer(f, max(b.now, r.Deadline-b.slack()), tickEnd)
	b.route(f)
}

// slack is how early a request is ended, so that the answer is in time though events are late.
func (b *Balancer) slack() time.Duration { return 2*b.s.MaxEventDelay + time.Millisecond }

func (b *Balancer) timer(f *flight, at time.Duration, purpose uint64) {
	b.do.SetTimer(at, uint64(f.ID)<<3|purpose)
}

// classOf takes an unknown class, and a keyed request that lacks its key, for the strictest kind, so that it is never lost or run twice.
func (b *Balancer) classOf(r *Request) *Class {
	i := max(0, min(r.Class, len(b.s.Classes)-1))
	if c := &b.s.Classes[i]; i == r.Class && c.EffectOf(r.NoDedupKey) == c.Effect {
		return c
	}
	c := b.s.Classes[i]
	c.Effect = AtMostOnce
	return &c
}

// overShare draws whether a request is of the part of its tenant's traffic beyond the tenant's share.
func (b *Balancer) overShare(t int) bool {
	if t < 0 || t >= len(b.tenants) {
		return false
	}
	b.tenants[t]++
	due := b.s.Tenants[t].Share * b.arrivals
	return b.tenants[t] > due+2*math.Sqrt(due)+1 && b.rng.Float64()*b.tenants[t] > due
}

// route takes the ordinary path: writes beside the caches go to the origin, everything else to the cache that the tables name.
func (b *Balancer) route(f *flight) {
	if b.s.Mode == CacheAside && f.Write {
		b.enqueue(f)
		return
	}
	if w, out := b.fetching[f.Key]; out && f.Key != 0 && !f.joined {
		b.fetching[f.Key] = append(w, f)
		b.follow(f, (f.aim-b.now)/2)
		return
	}
	n, why := b.choose(f)
	if n != nil && b.throttled() {
		n, why = nil, Throttled
	}
	switch {
	case n != nil:
		b.send(f, n, b.patience(f, n))
	case b.lookAgain(f, why):
		if b.hold(f, why) {
			b.timer(f, b.now+firstLook, tickResume)
		}
	default:
		b.conclude(f, why)
	}
}

// lookAgain tells whether a read that nobody takes now is to look again: where this proxy is short of connections, and where too little
// is known yet of the cache that has its slot, whose limit then is a guess. A crowd at a proxy just started waits for the first
// answers, which raise the limits of those that can take it. Where none come in a quarter of its time it is refused.
func (b *Balancer) lookAgain(f *flight, why Reason) bool {
	if why != NoRoom && why != NoConnection || b.now+firstLook >= f.aim-(f.aim-f.askedAt)*3/4 {
		return false
	}
	o := b.order(f.slot)
	i := slices.IndexFunc(o, func(r ranked) bool { return b.usable(f, r.n) && b.owns(r.n, f.slot) })
	return why == NoConnection || i >= 0 && o[i].n.seen < knownAfter && o[i].n.limit >= startLimit
}

// follow lets a request wait for another's fetch, for so long at the most.
func (b *Balancer) follow(f *flight, wait time.Duration) {
	f.joined = true
	if b.hold(f, SharedFetch) {
		b.timer(f, b.now+wait, tickResume)
	}
}

// hold lets a request wait with nothing out, unless no member is left that could take it.
func (b *Balancer) hold(f *flight, why Reason) bool {
	f.waiting = true
	if b.endHopeless(f) {
		return false
	}
	if f.ran != 0 && f.class.Effect == DeduplicatedByKey {
		b.timer(f, max(b.now, b.windowEnd(f)), tickWindow)
	}
	b.do.NotifyWaiting(f.ID, why)
	return true
}

// windowEnd is when repeats of a keyed request that may have run are no longer surely dropped.
func (b *Balancer) windowEnd(f *flight) time.Duration {
	return f.ranAt + f.class.DedupWindow - 2*b.s.MaxEventDelay
}

// over tells why no further attempt may be made, whatever the members do.
func (b *Balancer) over(f *flight) Reason {
	switch {
	case f.sent() >= f.tries:
		return OutOfTries
	case b.now+b.slack() >= f.aim:
		return OutOfTime
	case f.ran != 0 && (f.class.Effect == AtMostOnce || f.class.Effect == DeduplicatedByKey && b.now >= b.windowEnd(f)):
		return MayHaveRun
	}
	return NoReason
}

// hopeless tells why a request that waits can't be sent any more, now or later before its aim: neither to the origin
// it stands in line for, nor to a cache once the fetch it waits for is back.
func (b *Balancer) hopeless(f *flight) Reason {
	if why := b.over(f); why != NoReason {
		return why
	}
	group := b.caches
	if f.queued {
		group = b.origins
	}
	switch {
	case slices.ContainsFunc(group, func(n *node) bool { return b.maySend(f, n) }):
		return NoReason
	case f.ran != 0 && len(group) > 0:
		return MayHaveRun // outside the group that drops its repeats
	}
	return NoMember
}

// patience is an attempt's time-out: part of what is left while there is another attempt to make.
func (b *Balancer) patience(f *flight, n *node) time.Duration {
	// Where caches fetch by themselves a slow answer is most often a miss: giving it up wastes the fetch, and
	// the next candidate would only fetch once more.
	if f.sent()+1 >= f.tries || f.class.Effect == AtMostOnce || b.s.Mode == ReadThrough {
		return 0
	}
	left := f.aim - b.now
	d := max(left*6/10, min(left, seconds(2*n.latency))) // one that is known to take longer is not asked in vain
	if f.CostKnown {
		d = max(d, min(left, 3*f.Cost))
	}
	return max(d, time.Millisecond)
}

// choose names the cache for a request: the hot table's, else the slot's, else the next candidate that may be
// sent to; or tells why there is none.
func (b *Balancer) choose(f *flight) (*node, Reason) {
	if f.missAt != nil && b.usable(f, f.missAt) && b.room(f.missAt) {
		return f.missAt, NoReason
	}
	for i := 0; i < len(b.caches) && b.trials && len(f.tried) == 0 && f.class.Effect == Repeatable; i++ {
		if n := b.caches[(i+f.slot)%len(b.caches)]; n.zone.trial && b.maySend(f, n) && b.linked(f, n) {
			return n, NoReason
		}
	}
	if p := b.hot[f.Key]; p != nil && f.Key != 0 {
		for range p.nodes {
			p.next = (p.next + 1) % len(p.nodes)
			if n := p.nodes[p.next]; b.usable(f, n) && b.room(n) {
				return n, NoReason
			}
		}
	}
	busy := 0
	for _, r := range b.order(f.slot) {
		if !b.owns(r.n, f.slot) || !b.usable(f, r.n) {
			continue
		}
		// A busy member spills to the next only while a fetch is cheap: spilling turns hits into misses,
		// which else jam the origin and, with it, all members.
		if b.room(r.n) {
			return r.n, NoReason
		}
		if n := b.abroad(f); busy == 0 && n != nil {
			return n, NoReason
		}
		if busy++; busy == spillOver || !b.originIdle(f) {
			return nil, NoRoom
		}
	}
	// All candidates are cold, ejected or tried: any that takes work, from a place that spreads; and rather an ejected one than none.
	var last *node
	for i := range b.caches {
		n := b.caches[(i+f.slot)%len(b.caches)]
		if b.usable(f, n) {
			return n, NoReason
		}
		if last == nil && b.maySend(f, n) && b.coldRoom(n) && b.linked(f, n) {
			last = n
		}
	}
	if last == nil {
		return nil, b.whyNone(f)
	}
	return last, NoReason
}

// whyNone tells why no cache at all takes a request.
func (b *Balancer) whyNone(f *flight) Reason {
	if why := b.hopeless(f); why != NoReason {
		return why
	}
	if slices.ContainsFunc(b.caches, func(n *node) bool { return b.maySend(f, n) && !b.linked(f, n) }) {
		return NoConnection
	}
	return ColdBudget
}

// linked tells whether there is a connection to a member in good time, as the host tells.
func (b *Balancer) linked(f *flight, n *node) bool {
	w := b.do.ConnectionWait(f.ID, n.m.ID)
	return w >= 0 && w <= (f.aim-b.now)/waitShare
}

// abroad is a cache with room in another zone that has the slot in that zone's table. The proxies there ask it for the same keys, so
// a read is more likely found than at a second candidate here, and costs less than a refusal; nil where all zones share a table.
func (b *Balancer) abroad(f *flight) *node {
	for _, r := range b.order(f.slot) {
		if b.local && r.n.m.Zone != b.s.Zone && b.owns(r.n, f.slot) && b.usable(f, r.n) && b.room(r.n) {
			return r.n
		}
	}
	return nil
}

func (b *Balancer) usable(f *flight, n *node) bool {
	return n.outUntil <= b.now && !b.dark(n) && !slices.Contains(f.tried, n) && b.maySend(f, n) && b.coldRoom(n) && b.linked(f, n)
}

// dark tells whether the caches of a zone with a table of its own have fallen silent, one after another: as many time-outs in a
// row, of any of them, say more of the zone than of each. One read at a time is still sent there, and the first answer ends it. It
// could do harm where answers come late everywhere: some of the reads then go abroad.
func (b *Balancer) dark(n *node) bool {
	return b.local && n.zone.silent >= darkAfter && b.now < n.zone.nextAt
}

// sent is how many attempts the request has had on the wire.
func (f *flight) sent() int { return f.attempts - f.unsent }

// maySend is the one guard of every send: drains, the attempts allowed, and effects that must not double.
func (b *Balancer) maySend(f *flight, n *node) bool {
	if f.done || f.stream || n.m.State != Ready || f.sent() >= f.tries || b.now+b.slack() >= f.Deadline {
		return false
	}
	if f.out != 0 && !b.s.ConcurrentAttempts || f.AllowedMembers != nil && !slices.Contains(f.AllowedMembers, n.m.ID) ||
		!n.given(f.slot) && (!n.zone.trial || b.now < n.zone.nextAt) {
		return false
	}
	if f.ran == 0 || f.class.Effect == Repeatable {
		return true
	}
	if f.class.Effect == AtMostOnce || b.now+2*b.s.MaxEventDelay >= f.ranAt+f.class.DedupWindow {
		return false
	}
	return f.class.Scope == ScopeAll || f.class.Scope == ScopeZone && n.m.Zone == f.ranOn.m.Zone ||
		f.class.Scope == ScopeCell && n.m.Cell == f.ranOn.m.Cell
}

// mayRefuse tells whether the client may be told that a retry is harmless.
func (b *Balancer) mayRefuse(f *flight) bool {
	return f.ran == 0 || f.class.SafeToRetry(f.class.Effect)
}

// coldRoom keeps this proxy's part of the cold budget: its share of the fleet's requests for the member's size and warmth, times a part of
// the fall multiple. The first token is random, so that the many proxies whose share is under one don't all spend one at once.
func (b *Balancer) coldRoom(n *node) bool {
	r := b.ramp(n)
	if r >= 1 || b.s.OverloadMultiple == 0 {
		return true
	}
	rate := b.rate() * n.weight / max(b.warmWeight(), n.weight) * r * b.s.OverloadMultiple * coldShare
	n.tokens, n.tokensAt = min(n.tokens+rate*(b.now-n.tokensAt).Seconds(), max(1, rate*b.s.OverloadDuration.Seconds()/2)), b.now
	// While the whole fleet is cold a proxy asks one request at a time, some way apart: the budget goes by what caches answer, and sinks
	// with it. All proxies together ask no faster than a member answers one by one; quick answers may be misses, which tell little.
	gap := seconds(float64(b.s.Instances) * max(n.latency, b.target/4))
	return n.tokens >= 1 || b.allCold && n.out == 0 && b.now-n.sentAt >= gap
}

// warmWeight is the weight that does the answering: cold members count by their warmth. At least half of the
// most that the list has held counts, since answers from before a loss would promise too much.
func (b *Balancer) warmWeight() float64 {
	if b.now-b.warmAt >= 500*time.Millisecond { // not at every request: it grows with the fleet
		b.warm, b.warmAt = 0, b.now
		for _, n := range b.caches {
			if !b.local || n.m.Zone == b.s.Zone {
				b.warm += n.weight * b.ramp(n)
			}
		}
		b.allCold = b.warm < b.size()/2
	}
	return max(b.warm, b.peak/2)
}

func (b *Balancer) send(f *flight, n *node, timeout time.Duration) {
	if b.ramp(n) < 1 {
		n.tokens = max(-1, n.tokens-1)
	}
	bit := uint64(1) << f.attempts
	f.attempts, f.out = f.attempts+1, f.out|bit
	if f.ran == 0 {
		f.ranOn, f.ranAt = n, b.now
	}
	f.ran |= bit
	f.waiting, f.queued = false, false
	gap := (b.now - n.sentAt).Seconds()
	if n.gap == 0 {
		n.gap = gap // since the member was first heard of
	}
	n.gap += (gap - n.gap) * 0.3
	n.out, n.sentAt = n.out+1, b.now
	n.high = max(n.high, float64(n.out))
	if b.isOrigin(n.m) {
		f.fetch |= bit
	} else {
		f.tried = append(f.tried, n)
		b.out, n.zone.nextAt = b.out+1, b.now+darkGap
	}
	b.do.Send(f.ID, n.m.ID, timeout)
}

// conclude is the one place of the balancer's own final answers.
func (b *Balancer) conclude(f *flight, why Reason) {
	switch {
	case f.done:
		return
	case b.mayRefuse(f):
		b.do.Refuse(f.ID, b.comeBack(f), why)
	default:
		b.do.Fail(f.ID, why)
	}
	b.retire(f)
}

// comeBack is when a refused client should ask again: once the line for the origin is drained, and, the longer
// this proxy has had to refuse, the later, since a shortage that has lasted is not over soon. Clients that ask
// again at once multiply the load that they were refused for. It is spread, so that they don't return together.
func (b *Balancer) comeBack(f *flight) time.Duration {
	if b.now-b.refusedAt > refusalGap {
		b.refusing = b.now
	}
	b.refusedAt = b.now
	wait := max(leastWait, b.now-b.refusing)
	if o := b.originFor(f); o != nil {
		wait = max(wait, seconds(float64(len(b.queue)+1)*o.latency/max(1, o.limit)))
	}
	wait = min(wait, b.s.MaxRetryAfter*2/3)
	return wait/2 + b.jitter(wait)
}

// retire ends a request; attempts still out are called off, but for fetches, whose value will be stored.
func (b *Balancer) retire(f *flight) {
	f.done, f.waiting, f.queued = true, false, false
	for i := 0; f.out>>i != 0; i++ {
		if b.s.CanCancel && (f.out&^f.fetch)>>i&1 != 0 {
			b.do.Cancel(f.ID, i)
		}
	}
	if f.owner && f.out&f.fetch == 0 {
		b.landed(f, false) // else those who wait would wait in vain
	}
	if f.out == 0 {
		delete(b.flights, f.ID)
	}
}

// RequestCancelled ends a request whose client left.
func (b *Balancer) RequestCancelled(now time.Duration, id RequestID) {
	b.advance(now)
	if f := b.flights[id]; f != nil && !f.done {
		b.retire(f)
		b.pump()
	}
}

// StreamStarted binds a request to the attempt that has begun to answer.
func (b *Balancer) StreamStarted(now time.Duration, id RequestID, attempt int) {
	b.advance(now)
	if f := b.flights[id]; f != nil {
		f.stream = true
	}
}

// Timer delivers a timer set before.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	b.advance(now)
	f := b.flights[RequestID(token>>3)]
	idle := f != nil && f.out == 0 && !f.stream && !f.done
	switch token & 7 {
	case tickClose:
		b.closeWindow()
	case tickWatch:
		b.do.Watch(true)
	case tickPump:
		b.pumpAt = 0
		b.pump()
	case tickAim, tickEnd: // nothing out at its aim: no answer can come in time
		switch {
		case idle && f.queued && token&7 == tickAim:
			b.conclude(f, OriginLine)
		case idle || token&7 == tickEnd && f != nil && !f.stream:
			b.conclude(f, OutOfTime)
		}
	case tickResume:
		if idle && f.waiting && !f.queued {
			f.waiting = false
			b.further(f)
		}
	case tickWindow:
		if idle {
			b.endHopeless(f)
		}
	}
}

// Outcome tells how an attempt ended.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	b.advance(now)
	f := b.flights[o.Request]
	if f == nil || o.Attempt < 0 || o.Attempt > 63 || f.out>>o.Attempt&1 == 0 {
		return // unknown, or told before
	}
	bit := uint64(1) << o.Attempt
	f.out &^= bit
	n, fetched := b.nodes[o.Member], f.fetch&bit != 0
	if !fetched {
		b.out--
	}
	if n != nil {
		b.learn(n, o, fetched)
	}
	if o.Status.NeverRan() {
		f.ran &^= bit
	} else {
		f.nextAt = max(f.nextAt, b.now+o.InTransit)
	}
	// Nobody was asked, or it was turned away unseen, which is no load that a jam is made of, or the connection ended for
	// something else, or the request is at fault: the throttle would take this for a jam.
	if s := o.Status; !fetched && (s == StatusNoConn || s == StatusFull || s == StatusRejected || s == StatusCancelled && !f.done) {
		b.asked = max(0, b.asked-1)
	}
	if o.Status == StatusNoConn {
		f.unsent = min(f.unsent+1, f.tries)
	}
	f.done = f.done || o.Final
	// A fetch that failed goes back in line below; until it is given up, those who wait for it go on waiting.
	if fetched && f.owner && (f.done || o.Status == StatusOK) {
		b.landed(f, o.Status == StatusOK)
	}
	switch {
	case f.done || o.Status == StatusOK:
		b.retire(f)
	case o.Status == StatusRejected:
		b.do.Fail(f.ID, Rejected)
		b.retire(f)
	case f.out != 0 || f.waiting:
	case o.Status == StatusMiss && b.s.Mode == CacheAside && !fetched:
		b.missed(f, n, o.Note)
	default:
		b.again(f, o.Status, fetched)
	}
	b.pump()
}

// RestrictMembers changes the members that a request may go to from now on; nil: all.
func (b *Balancer) RestrictMembers(now time.Duration, id RequestID, only []MemberID) {
	b.advance(now)
	if f := b.flights[id]; f != nil && !f.done {
		f.AllowedMembers = only
		b.endHopeless(f)
	}
}

// Fallbacks names up to most further caches for a request that is out, for clients that go on to the next by themselves
// where one can't be reached. Only for what is safe to repeat, within the attempts allowed, and never a cold member, whose
// budget is spent by sending. What the client does with them is told by Moved.
func (b *Balancer) Fallbacks(id RequestID, most int) (spares []MemberID) {
	f := b.flights[id]
	if f == nil || f.done || f.class.Effect != Repeatable || f.Write {
		return nil
	}
	most = min(most, f.tries-f.sent())
	out := f.out
	f.out = 0 // the one that is out will have ended
	for _, r := range b.order(f.slot) {
		if len(spares) < most && b.ramp(r.n) >= 1 && b.usable(f, r.n) && b.room(r.n) {
			spares = append(spares, r.n.m.ID)
		}
	}
	f.out = out
	return spares
}

// FallbackUsed tells that the client has gone on by itself with an attempt that is out, from a member that failed it to one of
// Spares. It counts as one more attempt.
func (b *Balancer) FallbackUsed(now time.Duration, id RequestID, from, to MemberID) {
	b.advance(now)
	f := b.flights[id]
	if f == nil || f.out == 0 {
		return
	}
	if n := b.nodes[from]; n != nil {
		b.learn(n, Outcome{Status: StatusUnknown}, false)
	}
	f.unsent-- // one more than was sent from here
	if n := b.nodes[to]; n != nil {
		n.out++
		f.tried = append(f.tried, n)
	}
}

// missed sends a read on to the origin, unless the key is being fetched already.
func (b *Balancer) missed(f *flight, n *node, note int) {
	if n != nil && f.missAt == nil {
		f.missAt = n
	}
	w, out := b.fetching[f.Key]
	if f.leased || f.Key == 0 || f.sent()+2 > f.tries || !out && note != NoteFetched {
		b.enqueue(f)
		return
	}
	f.leased, f.tried = true, nil
	wait := (f.aim - b.now) / 2
	if out {
		b.fetching[f.Key] = append(w, f)
	} else if at := b.originFor(f); at != nil { // another proxy fetches it
		wait = min(wait, seconds(max(at.latency, 0.02)))
	}
	b.follow(f, wait)
}

// landed lets those who waited for a fetch read the cache, or makes the first of them fetch itself.
func (b *Balancer) landed(f *flight, ok bool) {
	waiters := b.fetching[f.Key]
	delete(b.fetching, f.Key)
	f.owner = false
	for _, w := range waiters {
		if w.done || !w.waiting || w.out != 0 {
			continue
		}
		w.waiting, w.joined = false, false
		if ok && f.missAt != nil {
			w.missAt = f.missAt
		}
		b.route(w)
	}
}

// again makes a further attempt after a failure, if the rules, the time and the retry budget allow one.
func (b *Balancer) again(f *flight, s Status, fetched bool) {
	cost := 1.0
	switch s {
	case StatusNoConn:
		cost = 0
	case StatusReset, StatusConnectFailed, StatusCancelled, StatusFull:
		cost = brokenCost
	}
	why := b.over(f)
	if why == NoReason && b.retries < cost {
		why = RetryBudget
	}
	if why != NoReason {
		b.conclude(f, why)
		return
	}
	b.retries -= cost
	f.toOrigin = fetched || b.s.Mode == CacheAside && f.sent()+1 >= f.tries && !b.hot[f.Key].split() // one try left: other caches lack the key
	if !f.toOrigin && (s == StatusReset || s == StatusCancelled) && len(f.tried) == 1 && !f.broke && b.now < f.askedAt+(f.aim-f.askedAt)/4 {
		// The connection broke early; the member, which has the key, may well be up. Once: one that holds few connections breaks
		// all that are new, and would use up the read's tries. Late, the read has waited behind what its member doesn't answer.
		f.tried, f.broke = f.tried[:0], s == StatusReset
	}
	f.missAt = nil
	b.further(f)
}

// further makes the next attempt of a request, once no earlier one can come at a member after it.
func (b *Balancer) further(f *flight) {
	switch {
	case f.nextAt > b.now && f.nextAt+b.slack() >= f.aim:
		b.conclude(f, OutOfTime)
	case f.nextAt > b.now:
		if b.hold(f, InTransit) {
			b.timer(f, f.nextAt, tickResume)
		}
	case f.toOrigin:
		f.toOrigin = false
		b.enqueue(f)
	default:
		b.route(f)
	}
}

// learn takes in how an attempt ended.
func (b *Balancer) learn(n *node, o Outcome, fetched bool) {
	n.out = max(0, n.out-1)
	bad := 1.0
	switch o.Status {
	case StatusCancelled, StatusMoot, StatusRejected, StatusNoConn:
		return
	case StatusFull:
		if fetched {
			b.cut(n, 0.7)
		} else { // not from what is out: a proxy that sends seldom is not what fills it
			n.limit = max(min(1, n.limit), 0.7*n.limit)
		}
		return
	case StatusOK, StatusMiss:
		if z := n.zone; !fetched && z.silent >= 2*darkAfter && b.now-z.silentAt >= outage && b.heardAt > z.silentAt { // others have answered
			z.since = b.now
		}
		bad, n.streak, n.zone.silent = 0, 0, 0
		n.answered = max(n.answered, b.now-o.Elapsed)
		if n.heardAt > 0 {
			n.pace += (min(n.latency, (b.now-n.heardAt).Seconds()) - n.pace) * max(0.05, 1/float64(n.seen))
		}
		n.heardAt = b.now
		n.timed(o)
		b.adapt(n, o.Elapsed.Seconds(), o.FirstOnConnection)
		if n.misses++; o.Status == StatusOK {
			n.hits, n.misses = min(n.hits+1, emptyAfter), 0
		} else if !fetched && n.misses >= emptyAfter && n.hits >= emptyAfter && b.ramp(n) >= 1 {
			n.since, n.hits = b.now, 0
		}
		if !fetched {
			b.latency += (o.Elapsed.Seconds() - b.latency) * 0.01
			b.answered, b.heardAt = b.answered+1, b.now
			b.carried += 0.5
			if o.Status == StatusOK {
				b.carried += 0.5
			}
		}
	case StatusTimeout:
		if o.Elapsed < seconds(n.quickest) {
			return // it had too little time for that to say anything; a member may drop such an attempt without a word
		}
		// A member that has answered what was sent in the second half of the wait is neither jammed nor gone: this attempt's
		// connection fell silent, or its work was long. As latency, the wait would cut the limit of a member that is well. A
		// jam that takes attempts in turn is still seen; one that serves the newest first would be missed.
		if n.answered > b.now-o.Elapsed/2 {
			return
		}
		b.adapt(n, max(o.Elapsed.Seconds(), 2*b.target), o.FirstOnConnection)
		if n.streak++; n.zone.silent == 0 {
			n.zone.silentAt = b.now
		}
		n.zone.silent++
	default:
		n.streak++
	}
	n.fails += (bad - n.fails) * 0.3
	b.fails += (bad - b.fails) * 0.05
	// Two in a row, and more where an answer or connection broke: that tells of a connection rather than of
	// its member, which is up if the next one can be opened. An ejected member's load goes to others that lack
	// its keys. Relative to the fleet: when everything fails alike, ejecting helps nobody.
	least := 2.0
	if o.Status == StatusReset || o.Status == StatusError {
		least = 4
	}
	// Where attempts fail everywhere, a few in a row come about by chance, and kinds of failure mix: as many are
	// asked for as the fleet's own share of failures would bring only once in ejectChance attempts.
	least = max(least, min(maxStreak, math.Log(ejectChance)/-math.Log(max(1e-9, min(0.9, b.fails)))))
	if bad > 0 && !fetched && float64(n.streak) >= least && n.fails > 2*b.fails {
		d := 250 * time.Millisecond << min(n.streak, 5)
		n.outUntil = b.now + d/2 + b.jitter(d)
	}
}

// timed takes in how long an answer took.
func (n *node) timed(o Outcome) {
	if took := o.Elapsed.Seconds(); !o.FirstOnConnection {
		n.quickest = min(took, cmp.Or(n.quickest*floorRise, took))
	}
}

// adapt moves a member's limit so that answers come within the target: members with deep queues else hold
// work that nobody waits for any more, and stay jammed long after a burst has passed.
//
// A handshake is no load: the wait for one neither cuts the limit nor raises it. Members in other zones would else look jammed
// where connections don't last. It could do harm at one whose every connection is new: only full answers hold its limit down.
func (b *Balancer) adapt(n *node, s float64, fresh bool) {
	n.seen++
	n.latency += (s - n.latency) * max(0.1, 1/float64(n.seen))
	n.high = max(float64(n.out), n.high*0.95)
	n.floor = min(n.latency, cmp.Or(n.floor*floorRise, n.latency))
	slow := max(b.target, min(2*n.floor, 1.25*b.target)) // a member that is far is no slower for being sent less
	switch {
	case fresh && s > slow:
	case n.latency > slow && s > slow: // an answer in time never cuts, however slow those before it
		b.cut(n, 0.8)
	case float64(n.out+1) < n.limit-1: // not what holds it back
	case n.cutAt == 0:
		n.limit++
	default:
		n.limit += min(1/n.limit, n.limit/2)
	}
}

// cut lowers a limit, from what has been out lately: a proxy that sends seldom has a part of one attempt out on average, and a limit
// above that would hold nothing back. What is out at the moment says too little: a burst is over as its slow answers come.
func (b *Balancer) cut(n *node, by float64) {
	if b.now-n.cutAt >= seconds(max(0.05, n.latency)) { // once a round trip
		used := max(float64(n.out), n.high-2) + min(1, n.latency/max(0.001, n.gap))
		if used < 1 { // it will hear of this member only seldom
			by *= by
		}
		// The proxies together may keep half an attempt out: one slow answer to a proxy that seldom asks would
		// else take the member out for it.
		least := max(0.01, 0.5/float64(b.s.Instances))
		n.cutAt, n.limit = b.now, max(least, min(n.limit, used)*by)
	}
}

// throttled draws whether to refuse a read at once: adaptive throttling, so that what is asked of the caches
// stays under a multiple of what they answer. It ends a jam that no single member's limit sees at a proxy
// that sends to each but now and then. What is out and may yet be answered does not count while the caches answer, and
// before they can have: a crowd that comes at once would else be refused before its first answers.
func (b *Balancer) throttled() bool {
	keep := math.Exp(-(b.now - b.askedAt).Seconds() / throttleSpan.Seconds())
	b.asked, b.answered, b.askedAt = b.asked*keep+1, b.answered*keep, b.now
	young, span := float64(b.out), seconds(max(0.02, 3*b.latency))
	if past := b.now - b.youngAt; past > span { // what was asked since then can't all have been answered
		if b.elder = b.young; past > 2*span {
			b.elder = 0
		}
		b.young, b.youngAt = 0, b.now
	}
	if b.now-b.heardAt > span {
		young = min(young, max(float64(startLimit*len(b.caches)), float64(b.elder+b.young)))
	}
	b.young++
	return b.rng.Float64()*(b.asked+throttleSlack) < b.asked-young-throttleAt*b.answered-throttleSlack
}

// room tells whether a member's limit lets another attempt out. A limit under one is kept by spacing: many
// proxies, each with a single attempt out, could else be too much together.
func (b *Balancer) room(n *node) bool {
	if n.limit >= 1 {
		// A limit grows by what is answered, too late for a crowd that comes at once. Where a member is so quick that it
		// could do all that is out one by one, or as fast as it answers lately, in a part of the target, and has not turned
		// work away, the crowd is let in.
		return n.out < int(n.limit) || n.limit >= startLimit && n.seen >= startLimit &&
			cmp.Or(min(n.latency, n.pace), n.latency)*float64(n.out+1) < b.target*crowdShare
	}
	return n.out == 0 && b.now-n.sentAt >= seconds(n.latency*(1/n.limit-1))
}

// enqueue puts a request in line for the origin: writes first, then by worth.
func (b *Balancer) enqueue(f *flight) {
	f.waiting, f.queued = true, true
	if !f.Write && f.Key != 0 {
		if _, out := b.fetching[f.Key]; !out {
			b.fetching[f.Key] = nil
			f.owner = true
		}
	}
	at := slices.IndexFunc(b.queue, func(g *flight) bool {
		return f.Write && !g.Write || f.Write == g.Write && f.value > g.value
	})
	if at < 0 {
		at = len(b.queue)
	}
	b.queue = slices.Insert(b.queue, at, f)
	b.pump()
	if f.queued {
		b.hold(f, OriginLine)
	}
}

// pump sends what the origin has room for, and refuses what can't make its aim any more.
func (b *Balancer) pump() {
	kept := b.queue[:0:0]
	var dropped []*flight
	for _, f := range b.queue {
		n := b.originFor(f)
		switch {
		case f.done || !f.queued:
		case n == nil || !b.maySend(f, n) || b.now+seconds(min(n.latency, b.target)/2) >= f.aim:
			dropped = append(dropped, f)
		case f.Write || b.room(n):
			b.send(f, n, b.fetchTime(f, n))
		default:
			kept = append(kept, f)
		}
	}
	b.queue = kept
	for _, f := range dropped {
		if !b.endHopeless(f) {
			b.conclude(f, OriginLine)
		}
	}
	if len(b.queue) > 0 && b.pumpAt == 0 {
		b.pumpAt = b.now + 20*time.Millisecond
		b.do.SetTimer(b.pumpAt, tickPump)
	}
}

// fetchTime is a fetch's time-out: until its aim, or several times what fetches take lately. One whose connection
// fell silent would else hold a place in the origin's limit until its client gives up. A write is never given up
// earlier, since it could not be made again.
func (b *Balancer) fetchTime(f *flight, n *node) time.Duration {
	if f.Write {
		return 0
	}
	return max(f.aim-b.now, seconds(4*n.latency), time.Millisecond)
}

// originIdle tells whether another fetch would be taken at once, and in good time.
func (b *Balancer) originIdle(f *flight) bool {
	n := b.originFor(f)
	return n != nil && len(b.queue) == 0 && b.room(n) && n.latency < b.target/2
}

func (b *Balancer) originFor(f *flight) *node {
	var n *node
	for i := len(b.origins); i > 0 && (n == nil || !b.maySend(f, n)); i-- {
		n = b.origins[(f.slot+i)%len(b.origins)]
	}
	return n
}
