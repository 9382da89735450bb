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
	slotCount       = 4096            // many more than members, so that shares come out even
	candidateDepth  = 12              // candidates kept for a slot; where zones have tables of their own, in this one
	otherZoneDepth  = 2               // and in each other
	counterCapacity = 1024            // keys the counter follows, several times the hot set
	maxHotKeys      = 200             // the cap of the hot set (MIP-200 of the paper)
	keyCost         = 3.33            // k of the paper: what a key costs beside its requests
	maxWindow       = 4 * time.Second // counts are halved and hot keys placed anew this often
	sufficientCount = 400             // requests that rank the hot keys well enough
	splitLoadShare  = 0.5             // a key that asks for more of a cache's mean load than this is split
	moveMargin      = 0.1             // a hot key moves only if that lowers the objective by this share
	retryRatio      = 0.15            // further attempts after failures, as a share of requests
	retryBurst      = 10
	// unseenRetryCost is what a further attempt takes of the retry budget after a connection broke or did not come up, or a member turned
	// the attempt away unseen: that tells of no load, and where it is common it would use the budget up. It could do harm where
	// members shed load by resetting: there each request costs up to as many attempts as it may have.
	unseenRetryCost        = 0.25
	initialLimit           = 8                      // attempts out at a member that has told nothing yet
	knownSamples           = 16 * initialLimit      // answers; until then a limit that was never cut is a guess
	unknownCacheRetryDelay = 10 * time.Millisecond  // after which a crowd at members that nothing is known of yet is looked at again
	burstTargetShare       = 0.25                   // of the target: what a quick member may have out, one by one
	throttleWindow         = 3 * time.Second        // over which asked and answered are compared
	throttleRatio          = 2                      // a read may be refused when the caches answer less than one in this many
	throttleSlack          = 8                      // fewer asked than this tell nothing
	silentZoneTimeouts     = 4                      // time-outs in a row of a zone's caches that tell of the zone
	silentZoneInterval     = 300 * time.Millisecond // between attempts there
	zoneOutageTime         = 3 * time.Second        // of silence, in which its caches may have started anew: far beyond a jam
	emptyCacheMisses       = 32                     // misses in a row of a cache that had as many hits: it has lost what it held, so it is a new process
	maxBusyCandidates      = 6                      // busy candidates passed over before a read is refused
	connectionWaitDivisor  = 12                     // part of its time that a read may wait for a connection: the right cache beats a miss elsewhere
	ejectionOdds           = 3000                   // a streak that comes about by chance in fewer attempts ejects nobody
	maxAttemptsLimit       = 32                     // as many again may find no connection, and a flight has 64 bits
	maxFailureStreak       = 8                      // but one this long always does
	minLatencyGrowth       = 1.002                  // with each answer, of the least that a member's answers have taken on average
	coldBudgetShare        = 0.5                    // of the fall multiple: the rest is left for what this proxy can't see
)

// What a refused client is told.
const (
	minRetryAfter  = 50 * time.Millisecond
	shortageEndGap = time.Second // without a refusal ends a shortage
)

// purposes of a timer, in the low bits of its token.
const (
	timerWindow       = iota // the window closes
	timerWatch               // ask for the list again
	timerOriginQueue         // look at the origin's queue again
	timerSoftDeadline        // a request's aim passes
	timerDeadline            // a request must be answered
	timerResume              // a request that waits with nothing out goes on
	timerDedupWindow         // repeats of a request are dropped no longer
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
	s.MaxAttempts = min(s.MaxAttempts, maxAttemptsLimit)
	pcg := rand.NewPCG(seed, uint64(s.SelfIndex))
	b := &Balancer{
		settings: s, actions: do, randomSource: pcg, rng: rand.New(pcg),
		members: map[MemberID]*memberState{}, slots: make([][]candidate, slotCount), kindWeight: map[int]float64{},
		keyCounts: counter{index: map[uint64]int{}, capacity: counterCapacity}, hotTable: map[uint64]*placement{},
		tenantRequests: make([]float64, len(s.Tenants)), requests: map[RequestID]*pendingRequest{},
		fetchWaiters: map[uint64][]*pendingRequest{}, retryTokens: retryBurst,
	}
	b.updateFetchTarget()
	// Where crossing zones costs more than the copies it saves, each zone has a table of its own.
	b.zoneTables = s.Zones > 1 && s.CrossZoneCost*(1-1/float64(s.Zones)) > 0.03
	return b, nil
}

// updateFetchTarget sets what a fetch may take: half of the shortest aim.
func (b *Balancer) updateFetchTarget() {
	b.fetchTarget = math.Inf(1)
	for _, c := range b.settings.Classes {
		b.fetchTarget = min(b.fetchTarget, c.SoftDeadline.Seconds()/2)
	}
}

// UpdateClasses takes over other classes and another number of attempts, for requests that come from now on.
func (b *Balancer) UpdateClasses(now time.Duration, classes []Class, tryLimit int) error {
	s := b.settings
	s.Classes, s.MaxAttempts = slices.Clone(classes), min(tryLimit, maxAttemptsLimit) // requests in hand hold on to the old ones
	if err := s.check(); err != nil {
		return err
	}
	b.advance(now)
	b.settings = s
	b.updateFetchTarget()
	return nil
}

// Start begins at the host's time; windows are phased by instance so that rebuilds don't coincide.
func (b *Balancer) Start(now time.Duration) {
	b.now, b.windowStart, b.windowLength = now, now, maxWindow/8
	phase := time.Duration(b.settings.SelfIndex%b.settings.Instances) * maxWindow / time.Duration(b.settings.Instances)
	b.actions.SetTimer(now+b.windowLength+phase/4, timerWindow)
	if b.settings.Subscribe {
		b.actions.SetTimer(now+b.jitter(time.Second), timerWatch)
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
		if b.settings.Subscribe {
			b.listFailures = min(b.listFailures+1, 4)
			d := 500 * time.Millisecond << b.listFailures
			b.actions.SetTimer(b.now+d/2+b.jitter(d), timerWatch)
		}
		return
	}
	b.listFailures = 0
	listed := make(map[MemberID]bool, len(list))
	for _, m := range list {
		listed[m.ID] = true
		b.updateMember(m)
	}
	if kind != ListDelta {
		for _, n := range append(slices.Clone(b.caches), b.origins...) {
			if !listed[n.entry.ID] {
				n.entry.State = Gone
				b.updateMember(n.entry)
			}
		}
		maps.DeleteFunc(b.members, func(id MemberID, _ *memberState) bool { return !listed[id] }) // those that drained when last heard of
	}
	b.peakWeight = max(b.peakWeight, b.tableWeight())
	b.dispatchOriginQueue()
	b.endUnsendable()
}

// endUnsendable ends the requests that wait for what no member is left to give them after a change of the list.
func (b *Balancer) endUnsendable() {
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		if f := b.requests[id]; f != nil { // ending one may have sent another on
			b.endIfUnsendable(f)
		}
	}
}

// endIfUnsendable gives a request that waits its final answer if it can't be sent any more, and tells whether it did.
func (b *Balancer) endIfUnsendable(f *pendingRequest) bool {
	why := b.unsendable(f)
	if f.waiting && why != NoReason {
		b.refuseOrFail(f, why)
	}
	return f.answered
}

func (b *Balancer) tableWeight() (weight float64) {
	for _, n := range b.caches {
		if !b.zoneTables || n.entry.Zone == b.settings.Zone {
			weight += n.weight
		}
	}
	return weight
}

func (b *Balancer) updateMember(m Member) {
	n := b.members[m.ID]
	if m.State != Ready && m.State != Draining {
		defer delete(b.members, m.ID) // ids are ever new: what is gone must not be kept
	}
	if n == nil {
		n = &memberState{hash: mix(uint64(m.ID) + 0x9e3779b97f4a7c15), weight: b.slotWeight(m)}
		n.limit, n.lastSentAt = initialLimit, b.now
		b.members[m.ID] = n
		n.entry.State = Gone
	}
	if m.StartedAt != n.entry.StartedAt && m.State == Ready {
		b.resetMember(n)
	}
	n.entry, n.zone = m, &b.zones[m.Zone&63]
	group := &b.caches
	if b.isOrigin(m) {
		group, n.zone = &b.origins, &zoneState{}
	}
	byID := func(a *memberState, id MemberID) int { return cmp.Compare(a.entry.ID, id) }
	at, found := slices.BinarySearchFunc(*group, m.ID, byID)
	if found && m.State != Ready {
		*group = slices.Delete(*group, at, at+1)
		b.removeFromSlots(n)
	}
	if !found && m.State == Ready {
		*group = slices.Insert(*group, at, n)
		b.updateKindWeight(m)
		if !b.isOrigin(m) {
			b.addToSlots(n)
		}
	}
}

// resetMember makes void what was known of a member: it is a new process, or may be one.
func (b *Balancer) resetMember(n *memberState) {
	*n = memberState{entry: n.entry, zone: n.zone, hash: n.hash, weight: n.weight, coldTokensAt: b.now, coldTokens: b.rng.Float64(),
		limiter: limiter{limit: initialLimit, lastSentAt: b.now}}
}

// SetZoneShares takes the part of its usual work that the caches of each zone are to get from now on; a zone beyond the list as before.
func (b *Balancer) SetZoneShares(now time.Duration, shares []ZoneShare) {
	b.advance(now)
	b.zonesOnTrial = false
	for i, s := range shares[:min(len(shares), len(b.zones))] {
		z, was := &b.zones[i], b.zones[i].withheldShare
		z.withheldShare, z.trial = 1-max(0, min(1, s.Share)), s.Trial
		b.zonesOnTrial = b.zonesOnTrial || z.trial
		for _, n := range b.caches {
			if was >= 1 && z.withheldShare < 1 && n.zone == z {
				b.resetMember(n)
			}
		}
	}
	b.placeHotKeys()
	b.dispatchOriginQueue()
	b.endUnsendable()
}

func (b *Balancer) isOrigin(m Member) bool {
	return b.settings.Mode == CacheAside && b.settings.OriginKind >= 0 && m.Kind == b.settings.OriginKind
}

// slotWeight must come out alike at every proxy and must not follow load. Live weights fall with load, so
// the largest seen of a kind, in coarse steps, stands for the kind's size.
func (b *Balancer) slotWeight(m Member) float64 {
	w := m.Weight
	if !(w > 0) || math.IsInf(w, 0) || b.settings.Weights == WeightsOff {
		return 1
	}
	if b.settings.Weights != WeightsLive {
		return w
	}
	return max(b.kindWeight[m.Kind], math.Exp2(math.Round(2*math.Log2(w))/2))
}

func (b *Balancer) updateKindWeight(m Member) {
	w := b.slotWeight(m)
	if b.settings.Weights != WeightsLive || w == b.kindWeight[m.Kind] {
		return
	}
	b.kindWeight[m.Kind] = w
	for _, n := range b.caches {
		if n.entry.Kind == m.Kind {
			n.weight = w
		}
	}
	clear(b.slots)
}

// score ranks a member for a slot by weighted rendezvous hashing: alike at all proxies, and a change of the
// list moves only the share of the member that changed.
func (b *Balancer) score(slot int, n *memberState) float64 {
	s := math.Log(unit(mix(n.hash^mix(uint64(slot)+1)))) / n.weight
	if b.zoneTables && n.entry.Zone != b.settings.Zone {
		return s - 1e9
	}
	return s
}

// candidates is the slot's candidates, best first. It is worked out when first asked for and then kept current,
// so that a request costs nothing that grows with the fleet.
func (b *Balancer) candidates(slot int) []candidate {
	if len(b.slots[slot]) == 0 {
		for _, n := range b.caches {
			b.insertCandidate(slot, n)
		}
	}
	return b.slots[slot]
}

func (b *Balancer) insertCandidate(slot int, n *memberState) {
	o, s := b.slots[slot], b.score(slot, n)
	depth, last := candidateDepth, 0
	if b.zoneTables && n.entry.Zone != b.settings.Zone {
		depth = otherZoneDepth
	}
	for i, r := range o {
		if !b.zoneTables || r.member.entry.Zone == n.entry.Zone {
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
	b.slots[slot] = slices.Insert(o, i, candidate{n, s})
}

func (b *Balancer) addToSlots(n *memberState) {
	for slot, o := range b.slots {
		if len(o) > 0 {
			b.insertCandidate(slot, n)
		}
	}
}

func (b *Balancer) removeFromSlots(n *memberState) {
	for slot, o := range b.slots {
		if slices.ContainsFunc(o, func(r candidate) bool { return r.member == n }) {
			b.slots[slot] = slices.Delete(o, 0, len(o)) // its room is used again: where caches come and go it would be garbage all day
		}
	}
}

// warmth is the share of its capacity that a member surely has. It may have started anew, untold by the list: see outage, emptyCacheMisses.
func (b *Balancer) warmth(n *memberState) float64 {
	since := max(n.entry.StartedAt, n.zone.coldSince, n.coldSince)
	age := b.now - since
	if since == 0 || age >= b.settings.SlowStartDuration {
		return 1
	}
	return b.settings.SlowStartCapacity + (1-b.settings.SlowStartCapacity)*max(0, age.Seconds())/b.settings.SlowStartDuration.Seconds()
}

// ownsSlot tells whether a cold member already has this slot: its slots come to it as it warms, in an order alike at every proxy.
func (b *Balancer) ownsSlot(n *memberState, slot int) bool {
	return n.receivesSlot(slot) && unit(mix(n.hash+uint64(slot)*0x9e3779b97f4a7c15)) < b.warmth(n)
}

// receivesSlot tells whether a slot is of the part that its zone gets: the same at every proxy and for all of the zone's members.
func (n *memberState) receivesSlot(slot int) bool {
	return n.zone.withheldShare == 0 || unit(mix(uint64(n.entry.Zone+1)<<32|uint64(slot))) >= n.zone.withheldShare
}

// capacity is the estimate that S and T are divided by: the weight, less where the member is cold, ejected or
// answers slower than the fleet.
func (b *Balancer) capacity(n *memberState) float64 {
	c := n.weight * b.warmth(n)
	if n.ejectedUntil > b.now {
		return c / 100
	}
	if n.samples >= 5 && b.meanLatency > 0 {
		c *= max(0.25, min(1, 1.5*b.meanLatency/n.latency))
	}
	return c
}

// placeHotKeys assigns the hot keys, greedily: in falling count, each on the candidate that least raises
// max S + k·max T. A key that asks for more than a cache's mean load is split over several.
func (b *Balancer) placeHotKeys() {
	old := b.hotTable
	b.hotTable = make(map[uint64]*placement, len(old))
	for _, n := range b.caches {
		n.hotLoad, n.hotKeys = 0, 0
	}
	size := b.tableWeight()
	if size == 0 {
		return
	}
	maxS, maxT := 0.0, 0.0
	for _, it := range b.keyCounts.hottest(2, maxHotKeys) {
		slot := slotOf(it.key)
		order := b.candidates(slot)
		// What chance may have added to a thin count must not make copies.
		sure := max(0, it.count-it.maxError-math.Sqrt(it.count))
		copies := int(sure / b.keyCounts.total * size / order[0].member.weight / splitLoadShare)
		copies = max(1, min(copies, len(order)))
		parts := max(1, min(copies, copies*2/b.settings.Instances))
		p := &placement{}
		for range parts {
			near := order[:min(len(order), copies+1)]
			n := b.cheapestCandidate(near, p, slot, it, float64(parts), maxS, maxT, old[it.key])
			if n == nil { // all cold: the key goes by slot
				break
			}
			c := b.capacity(n)
			n.hotLoad += it.count / float64(parts)
			n.hotKeys++
			maxS, maxT = max(maxS, n.hotLoad/c), max(maxT, n.hotKeys/c)
			p.members = append(p.members, n)
		}
		if len(p.members) > 0 {
			b.hotTable[it.key] = p
		}
	}
}

func (b *Balancer) cheapestCandidate(order []candidate, p *placement, slot int, it keyCount, parts, maxS, maxT float64, old *placement) *memberState {
	var best *memberState
	least := math.Inf(1)
	turn := 0
	if len(order) > 2 { // several caches share the key: proxies begin at different ones
		turn = int(mix(it.key^uint64(b.settings.SelfIndex)*0x9e3779b97f4a7c15) % uint64(len(order)))
	}
	for i := range order {
		n := order[(i+turn)%len(order)].member
		if slices.Contains(p.members, n) || !b.ownsSlot(n, slot) {
			continue
		}
		c := b.capacity(n)
		m := max(maxS, (n.hotLoad+it.count/parts)/c) + keyCost*max(maxT, (n.hotKeys+1)/c)
		// A key that was not placed before has gone by its slot: that is its old place. Else keys at the hot
		// set's edge change caches each time they enter or leave it.
		if old != nil && slices.Contains(old.members, n) || old == nil && n == order[0].member {
			m *= 1 - min(0.9, moveMargin+1/math.Sqrt(it.count)) // and by more than chance in its count
		}
		if m < least {
			best, least = n, m
		}
	}
	return best
}

func slotOf(key uint64) int { return int(mix(key^0xa0761d6478bd642f) % slotCount) }

func (b *Balancer) closeWindow() {
	b.spanSeconds, b.windowStart = b.spanSeconds+(b.now-b.windowStart).Seconds(), b.now
	b.placeHotKeys()
	// Halved, but less at a quiet proxy, whose counts would be too thin to tell a hot key from chance.
	b.keyCounts.decay(max(0.5, min(0.9, 1-(b.keyCounts.total-b.earlierTotal)/sufficientCount)))
	b.earlierTotal = b.keyCounts.total
	b.arrivals, b.servedWork, b.spanSeconds = b.arrivals/2, b.servedWork/2, b.spanSeconds/2
	for i := range b.tenantRequests {
		b.tenantRequests[i] /= 2
	}
	b.windowLength = min(maxWindow, 2*b.windowLength) // short at first: until the first close all keys go by slot
	b.actions.SetTimer(b.now+b.windowLength, timerWindow)
}

// servedRate is what the caches do for this proxy a second. Not what it asks of them: under overload, with clients
// trying again, that could be several times what they can do, and no guide to what a cold one can.
func (b *Balancer) servedRate() float64 {
	return b.servedWork / max(1, b.spanSeconds+(b.now-b.windowStart).Seconds())
}

// Request takes a client's request.
func (b *Balancer) Request(now time.Duration, r Request) {
	b.advance(now)
	if b.requests[r.ID] != nil {
		return
	}
	f := &pendingRequest{Request: r, class: b.classOf(&r), maxAttempts: b.settings.MaxAttempts}
	aim := f.class.SoftDeadline
	if r.CostKnown && r.Cost > 0 {
		aim = min(f.class.Deadline, aim+time.Duration(f.class.SoftDeadlineCostFactor*float64(r.Cost)))
	}
	f.arrivedAt, f.softDeadline = b.now, min(b.now+aim, r.Deadline)
	if f.class.LateValue > 0 {
		f.softDeadline = r.Deadline
	}
	f.priority = f.class.Value / max(1e-9, f.class.SoftDeadline.Seconds())
	b.requests[r.ID] = f
	b.arrivals++
	b.retryTokens = min(retryBurst, b.retryTokens+retryRatio)
	if b.exceedsTenantShare(r.Tenant) {
		f.priority *= b.settings.OverShareValue
	}
	if r.Key != 0 {
		// A fetch also serves those who will ask for the key again; keys wanted once must not crowd them out.
		f.priority *= 1 + b.keyCounts.guaranteedCount(r.Key)
		b.keyCounts.add(r.Key)
		f.slot = slotOf(r.Key)
	} else {
		f.slot = b.rng.IntN(slotCount)
	}
	if f.softDeadline < r.Deadline {
		b.setRequestTimer(f, max(b.now, f.softDeadline-b.answerMargin()), timerSoftDeadline)
	}
	b.setRequestTimer(f, max(b.now, r.Deadline-b.answerMargin()), timerDeadline)
	b.route(f)
}

// answerMargin is how early a request is ended, so that the answer is in time though events are late.
func (b *Balancer) answerMargin() time.Duration { return 2*b.settings.MaxEventDelay + time.Millisecond }

func (b *Balancer) setRequestTimer(f *pendingRequest, at time.Duration, purpose uint64) {
	b.actions.SetTimer(at, uint64(f.ID)<<3|purpose)
}

// classOf takes an unknown class, and a keyed request that lacks its key, for the strictest kind, so that it is never lost or run twice.
func (b *Balancer) classOf(r *Request) *Class {
	i := max(0, min(r.Class, len(b.settings.Classes)-1))
	if c := &b.settings.Classes[i]; i == r.Class && c.EffectOf(r.NoDedupKey) == c.Effect {
		return c
	}
	c := b.settings.Classes[i]
	c.Effect = AtMostOnce
	return &c
}

// exceedsTenantShare draws whether a request is of the part of its tenant's traffic beyond the tenant's share.
func (b *Balancer) exceedsTenantShare(t int) bool {
	if t < 0 || t >= len(b.tenantRequests) {
		return false
	}
	b.tenantRequests[t]++
	due := b.settings.Tenants[t].Share * b.arrivals
	return b.tenantRequests[t] > due+2*math.Sqrt(due)+1 && b.rng.Float64()*b.tenantRequests[t] > due
}

// route takes the ordinary path: writes beside the caches go to the origin, everything else to the cache that the tables name.
func (b *Balancer) route(f *pendingRequest) {
	if b.settings.Mode == CacheAside && f.Write {
		b.enqueueForOrigin(f)
		return
	}
	if w, out := b.fetchWaiters[f.Key]; out && f.Key != 0 && !f.coalesced {
		b.fetchWaiters[f.Key] = append(w, f)
		b.waitForFetch(f, (f.softDeadline-b.now)/2)
		return
	}
	n, why := b.chooseCache(f)
	if n != nil && b.throttled() {
		n, why = nil, Throttled
	}
	switch {
	case n != nil:
		b.send(f, n, b.attemptTimeout(f, n))
	case b.mayRetryLater(f, why):
		if b.waitUnlessUnsendable(f, why) {
			b.setRequestTimer(f, b.now+unknownCacheRetryDelay, timerResume)
		}
	default:
		b.refuseOrFail(f, why)
	}
}

// mayRetryLater tells whether a read that nobody takes now is to look again: where this proxy is short of connections, and where too little
// is known yet of the cache that has its slot, whose limit then is a guess. A crowd at a proxy just started waits for the first
// answers, which raise the limits of those that can take it. Where none come in a quarter of its time it is refused.
func (b *Balancer) mayRetryLater(f *pendingRequest, why Reason) bool {
	if why != NoRoom && why != NoConnection || b.now+unknownCacheRetryDelay >= f.softDeadline-(f.softDeadline-f.arrivedAt)*3/4 {
		return false
	}
	o := b.candidates(f.slot)
	i := slices.IndexFunc(o, func(r candidate) bool { return b.usable(f, r.member) && b.ownsSlot(r.member, f.slot) })
	return why == NoConnection || i >= 0 && o[i].member.samples < knownSamples && o[i].member.limit >= initialLimit
}

// waitForFetch lets a request wait for another's fetch, for so long at the most.
func (b *Balancer) waitForFetch(f *pendingRequest, wait time.Duration) {
	f.coalesced = true
	if b.waitUnlessUnsendable(f, SharedFetch) {
		b.setRequestTimer(f, b.now+wait, timerResume)
	}
}

// waitUnlessUnsendable lets a request wait with nothing out, unless no member is left that could take it.
func (b *Balancer) waitUnlessUnsendable(f *pendingRequest, why Reason) bool {
	f.waiting = true
	if b.endIfUnsendable(f) {
		return false
	}
	if f.mayHaveRun != 0 && f.class.Effect == DeduplicatedByKey {
		b.setRequestTimer(f, max(b.now, b.dedupWindowEnd(f)), timerDedupWindow)
	}
	b.actions.NotifyWaiting(f.ID, why)
	return true
}

// dedupWindowEnd is when repeats of a keyed request that may have run are no longer surely dropped.
func (b *Balancer) dedupWindowEnd(f *pendingRequest) time.Duration {
	return f.firstRunAt + f.class.DedupWindow - 2*b.settings.MaxEventDelay
}

// noFurtherAttempt tells why no further attempt may be made, whatever the members do.
func (b *Balancer) noFurtherAttempt(f *pendingRequest) Reason {
	switch {
	case f.sentAttempts() >= f.maxAttempts:
		return OutOfTries
	case b.now+b.answerMargin() >= f.softDeadline:
		return OutOfTime
	case f.mayHaveRun != 0 && (f.class.Effect == AtMostOnce || f.class.Effect == DeduplicatedByKey && b.now >= b.dedupWindowEnd(f)):
		return MayHaveRun
	}
	return NoReason
}

// unsendable tells why a request that waits can't be sent any more, now or later before its aim: neither to the origin
// it stands in line for, nor to a cache once the fetch it waits for is back.
func (b *Balancer) unsendable(f *pendingRequest) Reason {
	if why := b.noFurtherAttempt(f); why != NoReason {
		return why
	}
	group := b.caches
	if f.queued {
		group = b.origins
	}
	switch {
	case slices.ContainsFunc(group, func(n *memberState) bool { return b.maySend(f, n) }):
		return NoReason
	case f.mayHaveRun != 0 && len(group) > 0:
		return MayHaveRun // outside the group that drops its repeats
	}
	return NoMember
}

// attemptTimeout is an attempt's time-out: part of what is left while there is another attempt to make.
func (b *Balancer) attemptTimeout(f *pendingRequest, n *memberState) time.Duration {
	// Where caches fetch by themselves a slow answer is most often a miss: giving it up wastes the fetch, and
	// the next candidate would only fetch once more.
	if f.sentAttempts()+1 >= f.maxAttempts || f.class.Effect == AtMostOnce || b.settings.Mode == ReadThrough {
		return 0
	}
	left := f.softDeadline - b.now
	d := max(left*6/10, min(left, seconds(2*n.latency))) // one that is known to take longer is not asked in vain
	if f.CostKnown {
		d = max(d, min(left, 3*f.Cost))
	}
	return max(d, time.Millisecond)
}

// chooseCache names the cache for a request: the hot table's, else the slot's, else the next candidate that may be
// sent to; or tells why there is none.
func (b *Balancer) chooseCache(f *pendingRequest) (*memberState, Reason) {
	if f.missedCache != nil && b.usable(f, f.missedCache) && b.hasCapacity(f.missedCache) {
		return f.missedCache, NoReason
	}
	for i := 0; i < len(b.caches) && b.zonesOnTrial && len(f.triedCaches) == 0 && f.class.Effect == Repeatable; i++ {
		if n := b.caches[(i+f.slot)%len(b.caches)]; n.zone.trial && b.maySend(f, n) && b.hasConnection(f, n) {
			return n, NoReason
		}
	}
	if p := b.hotTable[f.Key]; p != nil && f.Key != 0 {
		for range p.members {
			p.next = (p.next + 1) % len(p.members)
			if n := p.members[p.next]; b.usable(f, n) && b.hasCapacity(n) {
				return n, NoReason
			}
		}
	}
	busy := 0
	for _, r := range b.candidates(f.slot) {
		if !b.ownsSlot(r.member, f.slot) || !b.usable(f, r.member) {
			continue
		}
		// A busy member spills to the next only while a fetch is cheap: spilling turns hits into misses,
		// which else jam the origin and, with it, all members.
		if b.hasCapacity(r.member) {
			return r.member, NoReason
		}
		if n := b.otherZoneCache(f); busy == 0 && n != nil {
			return n, NoReason
		}
		if busy++; busy == maxBusyCandidates || !b.originAvailable(f) {
			return nil, NoRoom
		}
	}
	// All candidates are cold, ejected or tried: any that takes work, from a place that spreads; and rather an ejected one than none.
	var last *memberState
	for i := range b.caches {
		n := b.caches[(i+f.slot)%len(b.caches)]
		if b.usable(f, n) {
			return n, NoReason
		}
		if last == nil && b.maySend(f, n) && b.withinColdBudget(n) && b.hasConnection(f, n) {
			last = n
		}
	}
	if last == nil {
		return nil, b.noCacheReason(f)
	}
	return last, NoReason
}

// noCacheReason tells why no cache at all takes a request.
func (b *Balancer) noCacheReason(f *pendingRequest) Reason {
	if why := b.unsendable(f); why != NoReason {
		return why
	}
	if slices.ContainsFunc(b.caches, func(n *memberState) bool { return b.maySend(f, n) && !b.hasConnection(f, n) }) {
		return NoConnection
	}
	return ColdBudget
}

// hasConnection tells whether there is a connection to a member in good time, as the host tells.
func (b *Balancer) hasConnection(f *pendingRequest, n *memberState) bool {
	w := b.actions.ConnectionWait(f.ID, n.entry.ID)
	return w >= 0 && w <= (f.softDeadline-b.now)/connectionWaitDivisor
}

// otherZoneCache is a cache with room in another zone that has the slot in that zone's table. The proxies there ask it for the same keys, so
// a read is more likely found than at a second candidate here, and costs less than a refusal; nil where all zones share a table.
func (b *Balancer) otherZoneCache(f *pendingRequest) *memberState {
	for _, r := range b.candidates(f.slot) {
		if b.zoneTables && r.member.entry.Zone != b.settings.Zone && b.ownsSlot(r.member, f.slot) && b.usable(f, r.member) && b.hasCapacity(r.member) {
			return r.member
		}
	}
	return nil
}

func (b *Balancer) usable(f *pendingRequest, n *memberState) bool {
	return n.ejectedUntil <= b.now && !b.inSilentZone(n) && !slices.Contains(f.triedCaches, n) && b.maySend(f, n) && b.withinColdBudget(n) && b.hasConnection(f, n)
}

// inSilentZone tells whether the caches of a zone with a table of its own have fallen silent, one after another: as many time-outs in a
// row, of any of them, say more of the zone than of each. One read at a time is still sent there, and the first answer ends it. It
// could do harm where answers come late everywhere: some of the reads then go abroad.
func (b *Balancer) inSilentZone(n *memberState) bool {
	return b.zoneTables && n.zone.timeoutStreak >= silentZoneTimeouts && b.now < n.zone.nextProbeAt
}

// sentAttempts is how many attempts the request has had on the wire.
func (f *pendingRequest) sentAttempts() int { return f.attempts - f.unsent }

// maySend is the one guard of every send: drains, the attempts allowed, and effects that must not double.
func (b *Balancer) maySend(f *pendingRequest, n *memberState) bool {
	if f.answered || f.streaming || n.entry.State != Ready || f.sentAttempts() >= f.maxAttempts || b.now+b.answerMargin() >= f.Deadline {
		return false
	}
	if f.outstanding != 0 && !b.settings.ConcurrentAttempts || f.AllowedMembers != nil && !slices.Contains(f.AllowedMembers, n.entry.ID) ||
		!n.receivesSlot(f.slot) && (!n.zone.trial || b.now < n.zone.nextProbeAt) {
		return false
	}
	if f.mayHaveRun == 0 || f.class.Effect == Repeatable {
		return true
	}
	if f.class.Effect == AtMostOnce || b.now+2*b.settings.MaxEventDelay >= f.firstRunAt+f.class.DedupWindow {
		return false
	}
	return f.class.Scope == ScopeAll || f.class.Scope == ScopeZone && n.entry.Zone == f.firstRunMember.entry.Zone ||
		f.class.Scope == ScopeCell && n.entry.Cell == f.firstRunMember.entry.Cell
}

// mayRefuse tells whether the client may be told that a retry is harmless.
func (b *Balancer) mayRefuse(f *pendingRequest) bool {
	return f.mayHaveRun == 0 || f.class.SafeToRetry(f.class.Effect)
}

// withinColdBudget keeps this proxy's part of the cold budget: its share of the fleet's requests for the member's size and warmth, times a part of
// the fall multiple. The first token is random, so that the many proxies whose share is under one don't all spend one at once.
func (b *Balancer) withinColdBudget(n *memberState) bool {
	r := b.warmth(n)
	if r >= 1 || b.settings.OverloadMultiple == 0 {
		return true
	}
	rate := b.servedRate() * n.weight / max(b.warmWeight(), n.weight) * r * b.settings.OverloadMultiple * coldBudgetShare
	n.coldTokens, n.coldTokensAt = min(n.coldTokens+rate*(b.now-n.coldTokensAt).Seconds(), max(1, rate*b.settings.OverloadDuration.Seconds()/2)), b.now
	// While the whole fleet is cold a proxy asks one request at a time, some way apart: the budget goes by what caches answer, and sinks
	// with it. All proxies together ask no faster than a member answers one by one; quick answers may be misses, which tell little.
	gap := seconds(float64(b.settings.Instances) * max(n.latency, b.fetchTarget/4))
	return n.coldTokens >= 1 || b.mostlyCold && n.outstanding == 0 && b.now-n.lastSentAt >= gap
}

// warmWeight is the weight that does the answering: cold members count by their warmth. At least half of the
// most that the list has held counts, since answers from before a loss would promise too much.
func (b *Balancer) warmWeight() float64 {
	if b.now-b.cachedWarmWeightAt >= 500*time.Millisecond { // not at every request: it grows with the fleet
		b.cachedWarmWeight, b.cachedWarmWeightAt = 0, b.now
		for _, n := range b.caches {
			if !b.zoneTables || n.entry.Zone == b.settings.Zone {
				b.cachedWarmWeight += n.weight * b.warmth(n)
			}
		}
		b.mostlyCold = b.cachedWarmWeight < b.tableWeight()/2
	}
	return max(b.cachedWarmWeight, b.peakWeight/2)
}

func (b *Balancer) send(f *pendingRequest, n *memberState, timeout time.Duration) {
	if b.warmth(n) < 1 {
		n.coldTokens = max(-1, n.coldTokens-1)
	}
	bit := uint64(1) << f.attempts
	f.attempts, f.outstanding = f.attempts+1, f.outstanding|bit
	if f.mayHaveRun == 0 {
		f.firstRunMember, f.firstRunAt = n, b.now
	}
	f.mayHaveRun |= bit
	f.waiting, f.queued = false, false
	gap := (b.now - n.lastSentAt).Seconds()
	if n.sendInterval == 0 {
		n.sendInterval = gap // since the member was first heard of
	}
	n.sendInterval += (gap - n.sendInterval) * 0.3
	n.outstanding, n.lastSentAt = n.outstanding+1, b.now
	n.peakOutstanding = max(n.peakOutstanding, float64(n.outstanding))
	if b.isOrigin(n.entry) {
		f.originAttempts |= bit
	} else {
		f.triedCaches = append(f.triedCaches, n)
		b.outstandingAtCaches, n.zone.nextProbeAt = b.outstandingAtCaches+1, b.now+silentZoneInterval
	}
	b.actions.Send(f.ID, n.entry.ID, timeout)
}

// refuseOrFail is the one place of the balancer's own final answers.
func (b *Balancer) refuseOrFail(f *pendingRequest, why Reason) {
	switch {
	case f.answered:
		return
	case b.mayRefuse(f):
		b.actions.Refuse(f.ID, b.retryAfter(f), why)
	default:
		b.actions.Fail(f.ID, why)
	}
	b.finish(f)
}

// retryAfter is when a refused client should ask again: once the line for the origin is drained, and, the longer
// this proxy has had to refuse, the later, since a shortage that has lasted is not over soon. Clients that ask
// again at once multiply the load that they were refused for. It is spread, so that they don't return together.
func (b *Balancer) retryAfter(f *pendingRequest) time.Duration {
	if b.now-b.lastRefusalAt > shortageEndGap {
		b.refusingSince = b.now
	}
	b.lastRefusalAt = b.now
	wait := max(minRetryAfter, b.now-b.refusingSince)
	if o := b.originFor(f); o != nil {
		wait = max(wait, seconds(float64(len(b.originQueue)+1)*o.latency/max(1, o.limit)))
	}
	wait = min(wait, b.settings.MaxRetryAfter*2/3)
	return wait/2 + b.jitter(wait)
}

// finish ends a request; attempts still out are called off, but for fetches, whose value will be stored.
func (b *Balancer) finish(f *pendingRequest) {
	f.answered, f.waiting, f.queued = true, false, false
	for i := 0; f.outstanding>>i != 0; i++ {
		if b.settings.CanCancel && (f.outstanding&^f.originAttempts)>>i&1 != 0 {
			b.actions.Cancel(f.ID, i)
		}
	}
	if f.ownsFetch && f.outstanding&f.originAttempts == 0 {
		b.fetchEnded(f, false) // else those who wait would wait in vain
	}
	if f.outstanding == 0 {
		delete(b.requests, f.ID)
	}
}

// RequestCancelled ends a request whose client left.
func (b *Balancer) RequestCancelled(now time.Duration, id RequestID) {
	b.advance(now)
	if f := b.requests[id]; f != nil && !f.answered {
		b.finish(f)
		b.dispatchOriginQueue()
	}
}

// StreamStarted binds a request to the attempt that has begun to answer.
func (b *Balancer) StreamStarted(now time.Duration, id RequestID, attempt int) {
	b.advance(now)
	if f := b.requests[id]; f != nil {
		f.streaming = true
	}
}

// Timer delivers a timer set before.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	b.advance(now)
	f := b.requests[RequestID(token>>3)]
	idle := f != nil && f.outstanding == 0 && !f.streaming && !f.answered
	switch token & 7 {
	case timerWindow:
		b.closeWindow()
	case timerWatch:
		b.actions.Watch(true)
	case timerOriginQueue:
		b.originQueueTimerAt = 0
		b.dispatchOriginQueue()
	case timerSoftDeadline, timerDeadline: // nothing out at its aim: no answer can come in time
		switch {
		case idle && f.queued && token&7 == timerSoftDeadline:
			b.refuseOrFail(f, OriginLine)
		case idle || token&7 == timerDeadline && f != nil && !f.streaming:
			b.refuseOrFail(f, OutOfTime)
		}
	case timerResume:
		if idle && f.waiting && !f.queued {
			f.waiting = false
			b.sendNextAttempt(f)
		}
	case timerDedupWindow:
		if idle {
			b.endIfUnsendable(f)
		}
	}
}

// Outcome tells how an attempt ended.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	b.advance(now)
	f := b.requests[o.Request]
	if f == nil || o.Attempt < 0 || o.Attempt > 63 || f.outstanding>>o.Attempt&1 == 0 {
		return // unknown, or told before
	}
	bit := uint64(1) << o.Attempt
	f.outstanding &^= bit
	n, fetched := b.members[o.Member], f.originAttempts&bit != 0
	if !fetched {
		b.outstandingAtCaches--
	}
	if n != nil {
		b.recordOutcome(n, o, fetched)
	}
	if o.Status.NeverRan() {
		f.mayHaveRun &^= bit
	} else {
		f.notBefore = max(f.notBefore, b.now+o.InTransit)
	}
	// Nobody was asked, or it was turned away unseen, which is no load that a jam is made of, or the connection ended for
	// something else, or the request is at fault: the throttle would take this for a jam.
	if s := o.Status; !fetched && (s == StatusNoConn || s == StatusFull || s == StatusRejected || s == StatusCancelled && !f.answered) {
		b.recentAttempts = max(0, b.recentAttempts-1)
	}
	if o.Status == StatusNoConn {
		f.unsent = min(f.unsent+1, f.maxAttempts)
	}
	f.answered = f.answered || o.Final
	// A fetch that failed goes back in line below; until it is given up, those who wait for it go on waiting.
	if fetched && f.ownsFetch && (f.answered || o.Status == StatusOK) {
		b.fetchEnded(f, o.Status == StatusOK)
	}
	switch {
	case f.answered || o.Status == StatusOK:
		b.finish(f)
	case o.Status == StatusRejected:
		b.actions.Fail(f.ID, Rejected)
		b.finish(f)
	case f.outstanding != 0 || f.waiting:
	case o.Status == StatusMiss && b.settings.Mode == CacheAside && !fetched:
		b.handleMiss(f, n, o.Note)
	default:
		b.retryAfterFailure(f, o.Status, fetched)
	}
	b.dispatchOriginQueue()
}

// RestrictMembers changes the members that a request may go to from now on; nil: all.
func (b *Balancer) RestrictMembers(now time.Duration, id RequestID, only []MemberID) {
	b.advance(now)
	if f := b.requests[id]; f != nil && !f.answered {
		f.AllowedMembers = only
		b.endIfUnsendable(f)
	}
}

// Fallbacks names up to most further caches for a request that is out, for clients that go on to the next by themselves
// where one can't be reached. Only for what is safe to repeat, within the attempts allowed, and never a cold member, whose
// budget is spent by sending. What the client does with them is told by Moved.
func (b *Balancer) Fallbacks(id RequestID, most int) (spares []MemberID) {
	f := b.requests[id]
	if f == nil || f.answered || f.class.Effect != Repeatable || f.Write {
		return nil
	}
	most = min(most, f.maxAttempts-f.sentAttempts())
	out := f.outstanding
	f.outstanding = 0 // the one that is out will have ended
	for _, r := range b.candidates(f.slot) {
		if len(spares) < most && b.warmth(r.member) >= 1 && b.usable(f, r.member) && b.hasCapacity(r.member) {
			spares = append(spares, r.member.entry.ID)
		}
	}
	f.outstanding = out
	return spares
}

// FallbackUsed tells that the client has gone on by itself with an attempt that is out, from a member that failed it to one of
// Spares. It counts as one more attempt.
func (b *Balancer) FallbackUsed(now time.Duration, id RequestID, from, to MemberID) {
	b.advance(now)
	f := b.requests[id]
	if f == nil || f.outstanding == 0 {
		return
	}
	if n := b.members[from]; n != nil {
		b.recordOutcome(n, Outcome{Status: StatusUnknown}, false)
	}
	f.unsent-- // one more than was sent from here
	if n := b.members[to]; n != nil {
		n.outstanding++
		f.triedCaches = append(f.triedCaches, n)
	}
}

// handleMiss sends a read on to the origin, unless the key is being fetched already.
func (b *Balancer) handleMiss(f *pendingRequest, n *memberState, note int) {
	if n != nil && f.missedCache == nil {
		f.missedCache = n
	}
	w, out := b.fetchWaiters[f.Key]
	if f.coalescedAfterMiss || f.Key == 0 || f.sentAttempts()+2 > f.maxAttempts || !out && note != NoteFetched {
		b.enqueueForOrigin(f)
		return
	}
	f.coalescedAfterMiss, f.triedCaches = true, nil
	wait := (f.softDeadline - b.now) / 2
	if out {
		b.fetchWaiters[f.Key] = append(w, f)
	} else if at := b.originFor(f); at != nil { // another proxy fetches it
		wait = min(wait, seconds(max(at.latency, 0.02)))
	}
	b.waitForFetch(f, wait)
}

// fetchEnded lets those who waited for a fetch read the cache, or makes the first of them fetch itself.
func (b *Balancer) fetchEnded(f *pendingRequest, ok bool) {
	waiters := b.fetchWaiters[f.Key]
	delete(b.fetchWaiters, f.Key)
	f.ownsFetch = false
	for _, w := range waiters {
		if w.answered || !w.waiting || w.outstanding != 0 {
			continue
		}
		w.waiting, w.coalesced = false, false
		if ok && f.missedCache != nil {
			w.missedCache = f.missedCache
		}
		b.route(w)
	}
}

// retryAfterFailure makes a further attempt after a failure, if the rules, the time and the retry budget allow one.
func (b *Balancer) retryAfterFailure(f *pendingRequest, s Status, fetched bool) {
	cost := 1.0
	switch s {
	case StatusNoConn:
		cost = 0
	case StatusReset, StatusConnectFailed, StatusCancelled, StatusFull:
		cost = unseenRetryCost
	}
	why := b.noFurtherAttempt(f)
	if why == NoReason && b.retryTokens < cost {
		why = RetryBudget
	}
	if why != NoReason {
		b.refuseOrFail(f, why)
		return
	}
	b.retryTokens -= cost
	f.toOrigin = fetched || b.settings.Mode == CacheAside && f.sentAttempts()+1 >= f.maxAttempts && !b.hotTable[f.Key].isSplit() // one try left: other caches lack the key
	if !f.toOrigin && (s == StatusReset || s == StatusCancelled) && len(f.triedCaches) == 1 && !f.retriedAfterReset && b.now < f.arrivedAt+(f.softDeadline-f.arrivedAt)/4 {
		// The connection broke early; the member, which has the key, may well be up. Once: one that holds few connections breaks
		// all that are new, and would use up the read's tries. Late, the read has waited behind what its member doesn't answer.
		f.triedCaches, f.retriedAfterReset = f.triedCaches[:0], s == StatusReset
	}
	f.missedCache = nil
	b.sendNextAttempt(f)
}

// sendNextAttempt makes the next attempt of a request, once no earlier one can come at a member after it.
func (b *Balancer) sendNextAttempt(f *pendingRequest) {
	switch {
	case f.notBefore > b.now && f.notBefore+b.answerMargin() >= f.softDeadline:
		b.refuseOrFail(f, OutOfTime)
	case f.notBefore > b.now:
		if b.waitUnlessUnsendable(f, InTransit) {
			b.setRequestTimer(f, f.notBefore, timerResume)
		}
	case f.toOrigin:
		f.toOrigin = false
		b.enqueueForOrigin(f)
	default:
		b.route(f)
	}
}

// recordOutcome takes in how an attempt ended.
func (b *Balancer) recordOutcome(n *memberState, o Outcome, fetched bool) {
	n.outstanding = max(0, n.outstanding-1)
	bad := 1.0
	switch o.Status {
	case StatusCancelled, StatusMoot, StatusRejected, StatusNoConn:
		return
	case StatusFull:
		if fetched {
			b.cutLimit(n, 0.7)
		} else { // not from what is out: a proxy that sends seldom is not what fills it
			n.limit = max(min(1, n.limit), 0.7*n.limit)
		}
		return
	case StatusOK, StatusMiss:
		if z := n.zone; !fetched && z.timeoutStreak >= 2*silentZoneTimeouts && b.now-z.firstTimeoutAt >= zoneOutageTime && b.lastAnswerAt > z.firstTimeoutAt { // others have answered
			z.coldSince = b.now
		}
		bad, n.failureStreak, n.zone.timeoutStreak = 0, 0, 0
		n.answeredSentAt = max(n.answeredSentAt, b.now-o.Elapsed)
		if n.lastAnswerAt > 0 {
			n.answerInterval += (min(n.latency, (b.now-n.lastAnswerAt).Seconds()) - n.answerInterval) * max(0.05, 1/float64(n.samples))
		}
		n.lastAnswerAt = b.now
		n.recordFastestAnswer(o)
		b.adaptLimit(n, o.Elapsed.Seconds(), o.FirstOnConnection)
		if n.missStreak++; o.Status == StatusOK {
			n.hits, n.missStreak = min(n.hits+1, emptyCacheMisses), 0
		} else if !fetched && n.missStreak >= emptyCacheMisses && n.hits >= emptyCacheMisses && b.warmth(n) >= 1 {
			n.coldSince, n.hits = b.now, 0
		}
		if !fetched {
			b.meanLatency += (o.Elapsed.Seconds() - b.meanLatency) * 0.01
			b.recentAnswers, b.lastAnswerAt = b.recentAnswers+1, b.now
			b.servedWork += 0.5
			if o.Status == StatusOK {
				b.servedWork += 0.5
			}
		}
	case StatusTimeout:
		if o.Elapsed < seconds(n.fastestAnswer) {
			return // it had too little time for that to say anything; a member may drop such an attempt without a word
		}
		// A member that has answered what was sent in the second half of the wait is neither jammed nor gone: this attempt's
		// connection fell silent, or its work was long. As latency, the wait would cut the limit of a member that is well. A
		// jam that takes attempts in turn is still seen; one that serves the newest first would be missed.
		if n.answeredSentAt > b.now-o.Elapsed/2 {
			return
		}
		b.adaptLimit(n, max(o.Elapsed.Seconds(), 2*b.fetchTarget), o.FirstOnConnection)
		if n.failureStreak++; n.zone.timeoutStreak == 0 {
			n.zone.firstTimeoutAt = b.now
		}
		n.zone.timeoutStreak++
	default:
		n.failureStreak++
	}
	n.failureRate += (bad - n.failureRate) * 0.3
	b.failureRate += (bad - b.failureRate) * 0.05
	// Two in a row, and more where an answer or connection broke: that tells of a connection rather than of
	// its member, which is up if the next one can be opened. An ejected member's load goes to others that lack
	// its keys. Relative to the fleet: when everything fails alike, ejecting helps nobody.
	least := 2.0
	if o.Status == StatusReset || o.Status == StatusError {
		least = 4
	}
	// Where attempts fail everywhere, a few in a row come about by chance, and kinds of failure mix: as many are
	// asked for as the fleet's own share of failures would bring only once in ejectionOdds attempts.
	least = max(least, min(maxFailureStreak, math.Log(ejectionOdds)/-math.Log(max(1e-9, min(0.9, b.failureRate)))))
	if bad > 0 && !fetched && float64(n.failureStreak) >= least && n.failureRate > 2*b.failureRate {
		d := 250 * time.Millisecond << min(n.failureStreak, 5)
		n.ejectedUntil = b.now + d/2 + b.jitter(d)
	}
}

// recordFastestAnswer takes in how long an answer took.
func (n *memberState) recordFastestAnswer(o Outcome) {
	if took := o.Elapsed.Seconds(); !o.FirstOnConnection {
		n.fastestAnswer = min(took, cmp.Or(n.fastestAnswer*minLatencyGrowth, took))
	}
}

// adaptLimit moves a member's limit so that answers come within the target: members with deep queues else hold
// work that nobody waits for any more, and stay jammed long after a burst has passed.
//
// A handshake is no load: the wait for one neither cuts the limit nor raises it. Members in other zones would else look jammed
// where connections don't last. It could do harm at one whose every connection is new: only full answers hold its limit down.
func (b *Balancer) adaptLimit(n *memberState, s float64, fresh bool) {
	n.samples++
	n.latency += (s - n.latency) * max(0.1, 1/float64(n.samples))
	n.peakOutstanding = max(float64(n.outstanding), n.peakOutstanding*0.95)
	n.minLatency = min(n.latency, cmp.Or(n.minLatency*minLatencyGrowth, n.latency))
	slow := max(b.fetchTarget, min(2*n.minLatency, 1.25*b.fetchTarget)) // a member that is far is no slower for being sent less
	switch {
	case fresh && s > slow:
	case n.latency > slow && s > slow: // an answer in time never cuts, however slow those before it
		b.cutLimit(n, 0.8)
	case float64(n.outstanding+1) < n.limit-1: // not what holds it back
	case n.limitCutAt == 0:
		n.limit++
	default:
		n.limit += min(1/n.limit, n.limit/2)
	}
}

// cutLimit lowers a limit, from what has been out lately: a proxy that sends seldom has a part of one attempt out on average, and a limit
// above that would hold nothing back. What is out at the moment says too little: a burst is over as its slow answers come.
func (b *Balancer) cutLimit(n *memberState, by float64) {
	if b.now-n.limitCutAt >= seconds(max(0.05, n.latency)) { // once a round trip
		used := max(float64(n.outstanding), n.peakOutstanding-2) + min(1, n.latency/max(0.001, n.sendInterval))
		if used < 1 { // it will hear of this member only seldom
			by *= by
		}
		// The proxies together may keep half an attempt out: one slow answer to a proxy that seldom asks would
		// else take the member out for it.
		least := max(0.01, 0.5/float64(b.settings.Instances))
		n.limitCutAt, n.limit = b.now, max(least, min(n.limit, used)*by)
	}
}

// throttled draws whether to refuse a read at once: adaptive throttling, so that what is asked of the caches
// stays under a multiple of what they answer. It ends a jam that no single member's limit sees at a proxy
// that sends to each but now and then. What is out and may yet be answered does not count while the caches answer, and
// before they can have: a crowd that comes at once would else be refused before its first answers.
func (b *Balancer) throttled() bool {
	keep := math.Exp(-(b.now - b.recentCountsAt).Seconds() / throttleWindow.Seconds())
	b.recentAttempts, b.recentAnswers, b.recentCountsAt = b.recentAttempts*keep+1, b.recentAnswers*keep, b.now
	young, span := float64(b.outstandingAtCaches), seconds(max(0.02, 3*b.meanLatency))
	if past := b.now - b.currentReadsSince; past > span { // what was asked since then can't all have been answered
		if b.previousReads = b.currentReads; past > 2*span {
			b.previousReads = 0
		}
		b.currentReads, b.currentReadsSince = 0, b.now
	}
	if b.now-b.lastAnswerAt > span {
		young = min(young, max(float64(initialLimit*len(b.caches)), float64(b.previousReads+b.currentReads)))
	}
	b.currentReads++
	return b.rng.Float64()*(b.recentAttempts+throttleSlack) < b.recentAttempts-young-throttleRatio*b.recentAnswers-throttleSlack
}

// hasCapacity tells whether a member's limit lets another attempt out. A limit under one is kept by spacing: many
// proxies, each with a single attempt out, could else be too much together.
func (b *Balancer) hasCapacity(n *memberState) bool {
	if n.limit >= 1 {
		// A limit grows by what is answered, too late for a crowd that comes at once. Where a member is so quick that it
		// could do all that is out one by one, or as fast as it answers lately, in a part of the target, and has not turned
		// work away, the crowd is let in.
		return n.outstanding < int(n.limit) || n.limit >= initialLimit && n.samples >= initialLimit &&
			cmp.Or(min(n.latency, n.answerInterval), n.latency)*float64(n.outstanding+1) < b.fetchTarget*burstTargetShare
	}
	return n.outstanding == 0 && b.now-n.lastSentAt >= seconds(n.latency*(1/n.limit-1))
}

// enqueueForOrigin puts a request in line for the origin: writes first, then by worth.
func (b *Balancer) enqueueForOrigin(f *pendingRequest) {
	f.waiting, f.queued = true, true
	if !f.Write && f.Key != 0 {
		if _, out := b.fetchWaiters[f.Key]; !out {
			b.fetchWaiters[f.Key] = nil
			f.ownsFetch = true
		}
	}
	at := slices.IndexFunc(b.originQueue, func(g *pendingRequest) bool {
		return f.Write && !g.Write || f.Write == g.Write && f.priority > g.priority
	})
	if at < 0 {
		at = len(b.originQueue)
	}
	b.originQueue = slices.Insert(b.originQueue, at, f)
	b.dispatchOriginQueue()
	if f.queued {
		b.waitUnlessUnsendable(f, OriginLine)
	}
}

// dispatchOriginQueue sends what the origin has room for, and refuses what can't make its aim any more.
func (b *Balancer) dispatchOriginQueue() {
	kept := b.originQueue[:0:0]
	var dropped []*pendingRequest
	for _, f := range b.originQueue {
		n := b.originFor(f)
		switch {
		case f.answered || !f.queued:
		case n == nil || !b.maySend(f, n) || b.now+seconds(min(n.latency, b.fetchTarget)/2) >= f.softDeadline:
			dropped = append(dropped, f)
		case f.Write || b.hasCapacity(n):
			b.send(f, n, b.fetchTimeout(f, n))
		default:
			kept = append(kept, f)
		}
	}
	b.originQueue = kept
	for _, f := range dropped {
		if !b.endIfUnsendable(f) {
			b.refuseOrFail(f, OriginLine)
		}
	}
	if len(b.originQueue) > 0 && b.originQueueTimerAt == 0 {
		b.originQueueTimerAt = b.now + 20*time.Millisecond
		b.actions.SetTimer(b.originQueueTimerAt, timerOriginQueue)
	}
}

// fetchTimeout is a fetch's time-out: until its aim, or several times what fetches take lately. One whose connection
// fell silent would else hold a place in the origin's limit until its client gives up. A write is never given up
// earlier, since it could not be made again.
func (b *Balancer) fetchTimeout(f *pendingRequest, n *memberState) time.Duration {
	if f.Write {
		return 0
	}
	return max(f.softDeadline-b.now, seconds(4*n.latency), time.Millisecond)
}

// originAvailable tells whether another fetch would be taken at once, and in good time.
func (b *Balancer) originAvailable(f *pendingRequest) bool {
	n := b.originFor(f)
	return n != nil && len(b.originQueue) == 0 && b.hasCapacity(n) && n.latency < b.fetchTarget/2
}

func (b *Balancer) originFor(f *pendingRequest) *memberState {
	var n *memberState
	for i := len(b.origins); i > 0 && (n == nil || !b.maySend(f, n)); i-- {
		n = b.origins[(f.slot+i)%len(b.origins)]
	}
	return n
}
