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
func New(s Settings, seed uint64, actions Actions) (*Balancer, error) {
	if actions == nil {
		return nil, errors.New("logic: no actions")
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	s.Instances = max(1, s.Instances)
	s.MaxAttempts = min(s.MaxAttempts, maxAttemptsLimit)
	source := rand.NewPCG(seed, uint64(s.SelfIndex))
	b := &Balancer{
		settings: s, actions: actions, randomSource: source, rng: rand.New(source),
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
func (b *Balancer) UpdateClasses(now time.Duration, classes []Class, maxAttempts int) error {
	updated := b.settings
	updated.Classes, updated.MaxAttempts = slices.Clone(classes), min(maxAttempts, maxAttemptsLimit) // requests in hand hold on to the old ones
	if err := updated.check(); err != nil {
		return err
	}
	b.advance(now)
	b.settings = updated
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
		for _, member := range append(slices.Clone(b.caches), b.origins...) {
			if !listed[member.entry.ID] {
				member.entry.State = Gone
				b.updateMember(member.entry)
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
		if req := b.requests[id]; req != nil { // ending one may have sent another on
			b.endIfUnsendable(req)
		}
	}
}

// endIfUnsendable gives a request that waits its final answer if it can't be sent any more, and tells whether it did.
func (b *Balancer) endIfUnsendable(req *pendingRequest) bool {
	why := b.unsendable(req)
	if req.waiting && why != NoReason {
		b.refuseOrFail(req, why)
	}
	return req.answered
}

func (b *Balancer) tableWeight() (weight float64) {
	for _, member := range b.caches {
		if !b.zoneTables || member.entry.Zone == b.settings.Zone {
			weight += member.weight
		}
	}
	return weight
}

func (b *Balancer) updateMember(entry Member) {
	member := b.members[entry.ID]
	if entry.State != Ready && entry.State != Draining {
		defer delete(b.members, entry.ID) // ids are ever new: what is gone must not be kept
	}
	if member == nil {
		member = &memberState{hash: mix(uint64(entry.ID) + 0x9e3779b97f4a7c15), weight: b.slotWeight(entry)}
		member.limit, member.lastSentAt = initialLimit, b.now
		b.members[entry.ID] = member
		member.entry.State = Gone
	}
	if entry.StartedAt != member.entry.StartedAt && entry.State == Ready {
		b.resetMember(member)
	}
	member.entry, member.zone = entry, &b.zones[entry.Zone&63]
	group := &b.caches
	if b.isOrigin(entry) {
		group, member.zone = &b.origins, &zoneState{}
	}
	byID := func(a *memberState, id MemberID) int { return cmp.Compare(a.entry.ID, id) }
	position, found := slices.BinarySearchFunc(*group, entry.ID, byID)
	if found && entry.State != Ready {
		*group = slices.Delete(*group, position, position+1)
		b.removeFromSlots(member)
	}
	if !found && entry.State == Ready {
		*group = slices.Insert(*group, position, member)
		b.updateKindWeight(entry)
		if !b.isOrigin(entry) {
			b.addToSlots(member)
		}
	}
}

// resetMember makes void what was known of a member: it is a new process, or may be one.
func (b *Balancer) resetMember(member *memberState) {
	*member = memberState{entry: member.entry, zone: member.zone, hash: member.hash, weight: member.weight, coldTokensAt: b.now, coldTokens: b.rng.Float64(),
		limiter: limiter{limit: initialLimit, lastSentAt: b.now}}
}

// SetZoneShares takes the part of its usual work that the caches of each zone are to get from now on; a zone beyond the list as before.
func (b *Balancer) SetZoneShares(now time.Duration, shares []ZoneShare) {
	b.advance(now)
	b.zonesOnTrial = false
	for i, share := range shares[:min(len(shares), len(b.zones))] {
		zone, previouslyWithheld := &b.zones[i], b.zones[i].withheldShare
		zone.withheldShare, zone.trial = 1-max(0, min(1, share.Share)), share.Trial
		b.zonesOnTrial = b.zonesOnTrial || zone.trial
		for _, member := range b.caches {
			if previouslyWithheld >= 1 && zone.withheldShare < 1 && member.zone == zone {
				b.resetMember(member)
			}
		}
	}
	b.placeHotKeys()
	b.dispatchOriginQueue()
	b.endUnsendable()
}

func (b *Balancer) isOrigin(entry Member) bool {
	return b.settings.Mode == CacheAside && b.settings.OriginKind >= 0 && entry.Kind == b.settings.OriginKind
}

// slotWeight must come out alike at every proxy and must not follow load. Live weights fall with load, so
// the largest seen of a kind, in coarse steps, stands for the kind's size.
func (b *Balancer) slotWeight(entry Member) float64 {
	weight := entry.Weight
	if !(weight > 0) || math.IsInf(weight, 0) || b.settings.Weights == WeightsOff {
		return 1
	}
	if b.settings.Weights != WeightsLive {
		return weight
	}
	return max(b.kindWeight[entry.Kind], math.Exp2(math.Round(2*math.Log2(weight))/2))
}

func (b *Balancer) updateKindWeight(entry Member) {
	weight := b.slotWeight(entry)
	if b.settings.Weights != WeightsLive || weight == b.kindWeight[entry.Kind] {
		return
	}
	b.kindWeight[entry.Kind] = weight
	for _, member := range b.caches {
		if member.entry.Kind == entry.Kind {
			member.weight = weight
		}
	}
	clear(b.slots)
}

// score ranks a member for a slot by weighted rendezvous hashing: alike at all proxies, and a change of the
// list moves only the share of the member that changed.
func (b *Balancer) score(slot int, member *memberState) float64 {
	score := math.Log(unit(mix(member.hash^mix(uint64(slot)+1)))) / member.weight
	if b.zoneTables && member.entry.Zone != b.settings.Zone {
		return score - 1e9
	}
	return score
}

// candidates is the slot's candidates, best first. It is worked out when first asked for and then kept current,
// so that a request costs nothing that grows with the fleet.
func (b *Balancer) candidates(slot int) []candidate {
	if len(b.slots[slot]) == 0 {
		for _, member := range b.caches {
			b.insertCandidate(slot, member)
		}
	}
	return b.slots[slot]
}

func (b *Balancer) insertCandidate(slot int, member *memberState) {
	list, score := b.slots[slot], b.score(slot, member)
	depth, last := candidateDepth, 0
	if b.zoneTables && member.entry.Zone != b.settings.Zone {
		depth = otherZoneDepth
	}
	for i, r := range list {
		if !b.zoneTables || r.member.entry.Zone == member.entry.Zone {
			depth, last = depth-1, i
		}
	}
	if depth == 0 {
		if list[last].score >= score {
			return
		}
		list = slices.Delete(list, last, last+1)
	}
	i := len(list)
	for i > 0 && list[i-1].score < score {
		i--
	}
	b.slots[slot] = slices.Insert(list, i, candidate{member, score})
}

func (b *Balancer) addToSlots(member *memberState) {
	for slot, list := range b.slots {
		if len(list) > 0 {
			b.insertCandidate(slot, member)
		}
	}
}

func (b *Balancer) removeFromSlots(member *memberState) {
	for slot, list := range b.slots {
		if slices.ContainsFunc(list, func(r candidate) bool { return r.member == member }) {
			b.slots[slot] = slices.Delete(list, 0, len(list)) // its room is used again: where caches come and go it would be garbage all day
		}
	}
}

// warmth is the share of its capacity that a member surely has. It may have started anew, untold by the list: see outage, emptyCacheMisses.
func (b *Balancer) warmth(member *memberState) float64 {
	since := max(member.entry.StartedAt, member.zone.coldSince, member.coldSince)
	age := b.now - since
	if since == 0 || age >= b.settings.SlowStartDuration {
		return 1
	}
	return b.settings.SlowStartCapacity + (1-b.settings.SlowStartCapacity)*max(0, age.Seconds())/b.settings.SlowStartDuration.Seconds()
}

// ownsSlot tells whether a cold member already has this slot: its slots come to it as it warms, in an order alike at every proxy.
func (b *Balancer) ownsSlot(member *memberState, slot int) bool {
	return member.receivesSlot(slot) && unit(mix(member.hash+uint64(slot)*0x9e3779b97f4a7c15)) < b.warmth(member)
}

// receivesSlot tells whether a slot is of the part that its zone gets: the same at every proxy and for all of the zone's members.
func (member *memberState) receivesSlot(slot int) bool {
	return member.zone.withheldShare == 0 || unit(mix(uint64(member.entry.Zone+1)<<32|uint64(slot))) >= member.zone.withheldShare
}

// capacity is the estimate that S and T are divided by: the weight, less where the member is cold, ejected or
// answers slower than the fleet.
func (b *Balancer) capacity(member *memberState) float64 {
	capacity := member.weight * b.warmth(member)
	if member.ejectedUntil > b.now {
		return capacity / 100
	}
	if member.samples >= 5 && b.meanLatency > 0 {
		capacity *= max(0.25, min(1, 1.5*b.meanLatency/member.latency))
	}
	return capacity
}

// placeHotKeys assigns the hot keys, greedily: in falling count, each on the candidate that least raises
// max S + k·max T. A key that asks for more than a cache's mean load is split over several.
func (b *Balancer) placeHotKeys() {
	old := b.hotTable
	b.hotTable = make(map[uint64]*placement, len(old))
	for _, member := range b.caches {
		member.hotLoad, member.hotKeys = 0, 0
	}
	totalWeight := b.tableWeight()
	if totalWeight == 0 {
		return
	}
	maxS, maxT := 0.0, 0.0
	for _, counted := range b.keyCounts.hottest(2, maxHotKeys) {
		slot := slotOf(counted.key)
		candidates := b.candidates(slot)
		// What chance may have added to a thin count must not make copies.
		guaranteed := max(0, counted.count-counted.maxError-math.Sqrt(counted.count))
		copies := int(guaranteed / b.keyCounts.total * totalWeight / candidates[0].member.weight / splitLoadShare)
		copies = max(1, min(copies, len(candidates)))
		parts := max(1, min(copies, copies*2/b.settings.Instances))
		placed := &placement{}
		for range parts {
			nearest := candidates[:min(len(candidates), copies+1)]
			member := b.cheapestCandidate(nearest, placed, slot, counted, float64(parts), maxS, maxT, old[counted.key])
			if member == nil { // all cold: the key goes by slot
				break
			}
			capacity := b.capacity(member)
			member.hotLoad += counted.count / float64(parts)
			member.hotKeys++
			maxS, maxT = max(maxS, member.hotLoad/capacity), max(maxT, member.hotKeys/capacity)
			placed.members = append(placed.members, member)
		}
		if len(placed.members) > 0 {
			b.hotTable[counted.key] = placed
		}
	}
}

func (b *Balancer) cheapestCandidate(candidates []candidate, placed *placement, slot int, counted keyCount, parts, maxS, maxT float64, old *placement) *memberState {
	var best *memberState
	minCost := math.Inf(1)
	offset := 0
	if len(candidates) > 2 { // several caches share the key: proxies begin at different ones
		offset = int(mix(counted.key^uint64(b.settings.SelfIndex)*0x9e3779b97f4a7c15) % uint64(len(candidates)))
	}
	for i := range candidates {
		member := candidates[(i+offset)%len(candidates)].member
		if slices.Contains(placed.members, member) || !b.ownsSlot(member, slot) {
			continue
		}
		capacity := b.capacity(member)
		cost := max(maxS, (member.hotLoad+counted.count/parts)/capacity) + keyCost*max(maxT, (member.hotKeys+1)/capacity)
		// A key that was not placed before has gone by its slot: that is its old place. Else keys at the hot
		// set's edge change caches each time they enter or leave it.
		if old != nil && slices.Contains(old.members, member) || old == nil && member == candidates[0].member {
			cost *= 1 - min(0.9, moveMargin+1/math.Sqrt(counted.count)) // and by more than chance in its count
		}
		if cost < minCost {
			best, minCost = member, cost
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
	req := &pendingRequest{Request: r, class: b.classOf(&r), maxAttempts: b.settings.MaxAttempts}
	target := req.class.SoftDeadline
	if r.CostKnown && r.Cost > 0 {
		target = min(req.class.Deadline, target+time.Duration(req.class.SoftDeadlineCostFactor*float64(r.Cost)))
	}
	req.arrivedAt, req.softDeadline = b.now, min(b.now+target, r.Deadline)
	if req.class.LateValue > 0 {
		req.softDeadline = r.Deadline
	}
	req.priority = req.class.Value / max(1e-9, req.class.SoftDeadline.Seconds())
	b.requests[r.ID] = req
	b.arrivals++
	b.retryTokens = min(retryBurst, b.retryTokens+retryRatio)
	if b.exceedsTenantShare(r.Tenant) {
		req.priority *= b.settings.OverShareValue
	}
	if r.Key != 0 {
		// A fetch also serves those who will ask for the key again; keys wanted once must not crowd them out.
		req.priority *= 1 + b.keyCounts.guaranteedCount(r.Key)
		b.keyCounts.add(r.Key)
		req.slot = slotOf(r.Key)
	} else {
		req.slot = b.rng.IntN(slotCount)
	}
	if req.softDeadline < r.Deadline {
		b.setRequestTimer(req, max(b.now, req.softDeadline-b.answerMargin()), timerSoftDeadline)
	}
	b.setRequestTimer(req, max(b.now, r.Deadline-b.answerMargin()), timerDeadline)
	b.route(req)
}

// answerMargin is how early a request is ended, so that the answer is in time though events are late.
func (b *Balancer) answerMargin() time.Duration { return 2*b.settings.MaxEventDelay + time.Millisecond }

func (b *Balancer) setRequestTimer(req *pendingRequest, at time.Duration, purpose uint64) {
	b.actions.SetTimer(at, uint64(req.ID)<<3|purpose)
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
func (b *Balancer) exceedsTenantShare(tenant int) bool {
	if tenant < 0 || tenant >= len(b.tenantRequests) {
		return false
	}
	b.tenantRequests[tenant]++
	expected := b.settings.Tenants[tenant].Share * b.arrivals
	return b.tenantRequests[tenant] > expected+2*math.Sqrt(expected)+1 && b.rng.Float64()*b.tenantRequests[tenant] > expected
}

// route takes the ordinary path: writes beside the caches go to the origin, everything else to the cache that the tables name.
func (b *Balancer) route(req *pendingRequest) {
	if b.settings.Mode == CacheAside && req.Write {
		b.enqueueForOrigin(req)
		return
	}
	if waiters, fetching := b.fetchWaiters[req.Key]; fetching && req.Key != 0 && !req.coalesced {
		b.fetchWaiters[req.Key] = append(waiters, req)
		b.waitForFetch(req, (req.softDeadline-b.now)/2)
		return
	}
	member, why := b.chooseCache(req)
	if member != nil && b.throttled() {
		member, why = nil, Throttled
	}
	switch {
	case member != nil:
		b.send(req, member, b.attemptTimeout(req, member))
	case b.mayRetryLater(req, why):
		if b.waitUnlessUnsendable(req, why) {
			b.setRequestTimer(req, b.now+unknownCacheRetryDelay, timerResume)
		}
	default:
		b.refuseOrFail(req, why)
	}
}

// mayRetryLater tells whether a read that nobody takes now is to look again: where this proxy is short of connections, and where too little
// is known yet of the cache that has its slot, whose limit then is a guess. A crowd at a proxy just started waits for the first
// answers, which raise the limits of those that can take it. Where none come in a quarter of its time it is refused.
func (b *Balancer) mayRetryLater(req *pendingRequest, why Reason) bool {
	if why != NoRoom && why != NoConnection || b.now+unknownCacheRetryDelay >= req.softDeadline-(req.softDeadline-req.arrivedAt)*3/4 {
		return false
	}
	candidates := b.candidates(req.slot)
	first := slices.IndexFunc(candidates, func(r candidate) bool { return b.usable(req, r.member) && b.ownsSlot(r.member, req.slot) })
	return why == NoConnection || first >= 0 && candidates[first].member.samples < knownSamples && candidates[first].member.limit >= initialLimit
}

// waitForFetch lets a request wait for another's fetch, for so long at the most.
func (b *Balancer) waitForFetch(req *pendingRequest, wait time.Duration) {
	req.coalesced = true
	if b.waitUnlessUnsendable(req, SharedFetch) {
		b.setRequestTimer(req, b.now+wait, timerResume)
	}
}

// waitUnlessUnsendable lets a request wait with nothing out, unless no member is left that could take it.
func (b *Balancer) waitUnlessUnsendable(req *pendingRequest, why Reason) bool {
	req.waiting = true
	if b.endIfUnsendable(req) {
		return false
	}
	if req.mayHaveRun != 0 && req.class.Effect == DeduplicatedByKey {
		b.setRequestTimer(req, max(b.now, b.dedupWindowEnd(req)), timerDedupWindow)
	}
	b.actions.NotifyWaiting(req.ID, why)
	return true
}

// dedupWindowEnd is when repeats of a keyed request that may have run are no longer surely dropped.
func (b *Balancer) dedupWindowEnd(req *pendingRequest) time.Duration {
	return req.firstRunAt + req.class.DedupWindow - 2*b.settings.MaxEventDelay
}

// noFurtherAttempt tells why no further attempt may be made, whatever the members do.
func (b *Balancer) noFurtherAttempt(req *pendingRequest) Reason {
	switch {
	case req.sentAttempts() >= req.maxAttempts:
		return OutOfTries
	case b.now+b.answerMargin() >= req.softDeadline:
		return OutOfTime
	case req.mayHaveRun != 0 && (req.class.Effect == AtMostOnce || req.class.Effect == DeduplicatedByKey && b.now >= b.dedupWindowEnd(req)):
		return MayHaveRun
	}
	return NoReason
}

// unsendable tells why a request that waits can't be sent any more, now or later before its aim: neither to the origin
// it stands in line for, nor to a cache once the fetch it waits for is back.
func (b *Balancer) unsendable(req *pendingRequest) Reason {
	if why := b.noFurtherAttempt(req); why != NoReason {
		return why
	}
	group := b.caches
	if req.queued {
		group = b.origins
	}
	switch {
	case slices.ContainsFunc(group, func(member *memberState) bool { return b.maySend(req, member) }):
		return NoReason
	case req.mayHaveRun != 0 && len(group) > 0:
		return MayHaveRun // outside the group that drops its repeats
	}
	return NoMember
}

// attemptTimeout is an attempt's time-out: part of what is left while there is another attempt to make.
func (b *Balancer) attemptTimeout(req *pendingRequest, member *memberState) time.Duration {
	// Where caches fetch by themselves a slow answer is most often a miss: giving it up wastes the fetch, and
	// the next candidate would only fetch once more.
	if req.sentAttempts()+1 >= req.maxAttempts || req.class.Effect == AtMostOnce || b.settings.Mode == ReadThrough {
		return 0
	}
	remaining := req.softDeadline - b.now
	timeout := max(remaining*6/10, min(remaining, seconds(2*member.latency))) // one that is known to take longer is not asked in vain
	if req.CostKnown {
		timeout = max(timeout, min(remaining, 3*req.Cost))
	}
	return max(timeout, time.Millisecond)
}

// chooseCache names the cache for a request: the hot table's, else the slot's, else the next candidate that may be
// sent to; or tells why there is none.
func (b *Balancer) chooseCache(req *pendingRequest) (*memberState, Reason) {
	if req.missedCache != nil && b.usable(req, req.missedCache) && b.hasCapacity(req.missedCache) {
		return req.missedCache, NoReason
	}
	for i := 0; i < len(b.caches) && b.zonesOnTrial && len(req.triedCaches) == 0 && req.class.Effect == Repeatable; i++ {
		if member := b.caches[(i+req.slot)%len(b.caches)]; member.zone.trial && b.maySend(req, member) && b.hasConnection(req, member) {
			return member, NoReason
		}
	}
	if placed := b.hotTable[req.Key]; placed != nil && req.Key != 0 {
		for range placed.members {
			placed.next = (placed.next + 1) % len(placed.members)
			if member := placed.members[placed.next]; b.usable(req, member) && b.hasCapacity(member) {
				return member, NoReason
			}
		}
	}
	busy := 0
	for _, ranked := range b.candidates(req.slot) {
		if !b.ownsSlot(ranked.member, req.slot) || !b.usable(req, ranked.member) {
			continue
		}
		// A busy member spills to the next only while a fetch is cheap: spilling turns hits into misses,
		// which else jam the origin and, with it, all members.
		if b.hasCapacity(ranked.member) {
			return ranked.member, NoReason
		}
		if member := b.otherZoneCache(req); busy == 0 && member != nil {
			return member, NoReason
		}
		if busy++; busy == maxBusyCandidates || !b.originAvailable(req) {
			return nil, NoRoom
		}
	}
	// All candidates are cold, ejected or tried: any that takes work, from a place that spreads; and rather an ejected one than none.
	var fallback *memberState
	for i := range b.caches {
		member := b.caches[(i+req.slot)%len(b.caches)]
		if b.usable(req, member) {
			return member, NoReason
		}
		if fallback == nil && b.maySend(req, member) && b.withinColdBudget(member) && b.hasConnection(req, member) {
			fallback = member
		}
	}
	if fallback == nil {
		return nil, b.noCacheReason(req)
	}
	return fallback, NoReason
}

// noCacheReason tells why no cache at all takes a request.
func (b *Balancer) noCacheReason(req *pendingRequest) Reason {
	if why := b.unsendable(req); why != NoReason {
		return why
	}
	if slices.ContainsFunc(b.caches, func(member *memberState) bool { return b.maySend(req, member) && !b.hasConnection(req, member) }) {
		return NoConnection
	}
	return ColdBudget
}

// hasConnection tells whether there is a connection to a member in good time, as the host tells.
func (b *Balancer) hasConnection(req *pendingRequest, member *memberState) bool {
	wait := b.actions.ConnectionWait(req.ID, member.entry.ID)
	return wait >= 0 && wait <= (req.softDeadline-b.now)/connectionWaitDivisor
}

// otherZoneCache is a cache with room in another zone that has the slot in that zone's table. The proxies there ask it for the same keys, so
// a read is more likely found than at a second candidate here, and costs less than a refusal; nil where all zones share a table.
func (b *Balancer) otherZoneCache(req *pendingRequest) *memberState {
	for _, ranked := range b.candidates(req.slot) {
		if b.zoneTables && ranked.member.entry.Zone != b.settings.Zone && b.ownsSlot(ranked.member, req.slot) && b.usable(req, ranked.member) && b.hasCapacity(ranked.member) {
			return ranked.member
		}
	}
	return nil
}

func (b *Balancer) usable(req *pendingRequest, member *memberState) bool {
	return member.ejectedUntil <= b.now && !b.inSilentZone(member) && !slices.Contains(req.triedCaches, member) && b.maySend(req, member) && b.withinColdBudget(member) && b.hasConnection(req, member)
}

// inSilentZone tells whether the caches of a zone with a table of its own have fallen silent, one after another: as many time-outs in a
// row, of any of them, say more of the zone than of each. One read at a time is still sent there, and the first answer ends it. It
// could do harm where answers come late everywhere: some of the reads then go abroad.
func (b *Balancer) inSilentZone(member *memberState) bool {
	return b.zoneTables && member.zone.timeoutStreak >= silentZoneTimeouts && b.now < member.zone.nextProbeAt
}

// sentAttempts is how many attempts the request has had on the wire.
func (req *pendingRequest) sentAttempts() int { return req.attempts - req.unsent }

// maySend is the one guard of every send: drains, the attempts allowed, and effects that must not double.
func (b *Balancer) maySend(req *pendingRequest, member *memberState) bool {
	if req.answered || req.streaming || member.entry.State != Ready || req.sentAttempts() >= req.maxAttempts || b.now+b.answerMargin() >= req.Deadline {
		return false
	}
	if req.outstanding != 0 && !b.settings.ConcurrentAttempts || req.AllowedMembers != nil && !slices.Contains(req.AllowedMembers, member.entry.ID) ||
		!member.receivesSlot(req.slot) && (!member.zone.trial || b.now < member.zone.nextProbeAt) {
		return false
	}
	if req.mayHaveRun == 0 || req.class.Effect == Repeatable {
		return true
	}
	if req.class.Effect == AtMostOnce || b.now+2*b.settings.MaxEventDelay >= req.firstRunAt+req.class.DedupWindow {
		return false
	}
	return req.class.Scope == ScopeAll || req.class.Scope == ScopeZone && member.entry.Zone == req.firstRunMember.entry.Zone ||
		req.class.Scope == ScopeCell && member.entry.Cell == req.firstRunMember.entry.Cell
}

// mayRefuse tells whether the client may be told that a retry is harmless.
func (b *Balancer) mayRefuse(req *pendingRequest) bool {
	return req.mayHaveRun == 0 || req.class.SafeToRetry(req.class.Effect)
}

// withinColdBudget keeps this proxy's part of the cold budget: its share of the fleet's requests for the member's size and warmth, times a part of
// the fall multiple. The first token is random, so that the many proxies whose share is under one don't all spend one at once.
func (b *Balancer) withinColdBudget(member *memberState) bool {
	warmth := b.warmth(member)
	if warmth >= 1 || b.settings.OverloadMultiple == 0 {
		return true
	}
	rate := b.servedRate() * member.weight / max(b.warmWeight(), member.weight) * warmth * b.settings.OverloadMultiple * coldBudgetShare
	member.coldTokens, member.coldTokensAt = min(member.coldTokens+rate*(b.now-member.coldTokensAt).Seconds(), max(1, rate*b.settings.OverloadDuration.Seconds()/2)), b.now
	// While the whole fleet is cold a proxy asks one request at a time, some way apart: the budget goes by what caches answer, and sinks
	// with it. All proxies together ask no faster than a member answers one by one; quick answers may be misses, which tell little.
	minInterval := seconds(float64(b.settings.Instances) * max(member.latency, b.fetchTarget/4))
	return member.coldTokens >= 1 || b.mostlyCold && member.outstanding == 0 && b.now-member.lastSentAt >= minInterval
}

// warmWeight is the weight that does the answering: cold members count by their warmth. At least half of the
// most that the list has held counts, since answers from before a loss would promise too much.
func (b *Balancer) warmWeight() float64 {
	if b.now-b.cachedWarmWeightAt >= 500*time.Millisecond { // not at every request: it grows with the fleet
		b.cachedWarmWeight, b.cachedWarmWeightAt = 0, b.now
		for _, member := range b.caches {
			if !b.zoneTables || member.entry.Zone == b.settings.Zone {
				b.cachedWarmWeight += member.weight * b.warmth(member)
			}
		}
		b.mostlyCold = b.cachedWarmWeight < b.tableWeight()/2
	}
	return max(b.cachedWarmWeight, b.peakWeight/2)
}

func (b *Balancer) send(req *pendingRequest, member *memberState, timeout time.Duration) {
	if b.warmth(member) < 1 {
		member.coldTokens = max(-1, member.coldTokens-1)
	}
	bit := uint64(1) << req.attempts
	req.attempts, req.outstanding = req.attempts+1, req.outstanding|bit
	if req.mayHaveRun == 0 {
		req.firstRunMember, req.firstRunAt = member, b.now
	}
	req.mayHaveRun |= bit
	req.waiting, req.queued = false, false
	interval := (b.now - member.lastSentAt).Seconds()
	if member.sendInterval == 0 {
		member.sendInterval = interval // since the member was first heard of
	}
	member.sendInterval += (interval - member.sendInterval) * 0.3
	member.outstanding, member.lastSentAt = member.outstanding+1, b.now
	member.peakOutstanding = max(member.peakOutstanding, float64(member.outstanding))
	if b.isOrigin(member.entry) {
		req.originAttempts |= bit
	} else {
		req.triedCaches = append(req.triedCaches, member)
		b.outstandingAtCaches, member.zone.nextProbeAt = b.outstandingAtCaches+1, b.now+silentZoneInterval
	}
	b.actions.Send(req.ID, member.entry.ID, timeout)
}

// refuseOrFail is the one place of the balancer's own final answers.
func (b *Balancer) refuseOrFail(req *pendingRequest, why Reason) {
	switch {
	case req.answered:
		return
	case b.mayRefuse(req):
		b.actions.Refuse(req.ID, b.retryAfter(req), why)
	default:
		b.actions.Fail(req.ID, why)
	}
	b.finish(req)
}

// retryAfter is when a refused client should ask again: once the line for the origin is drained, and, the longer
// this proxy has had to refuse, the later, since a shortage that has lasted is not over soon. Clients that ask
// again at once multiply the load that they were refused for. It is spread, so that they don't return together.
func (b *Balancer) retryAfter(req *pendingRequest) time.Duration {
	if b.now-b.lastRefusalAt > shortageEndGap {
		b.refusingSince = b.now
	}
	b.lastRefusalAt = b.now
	wait := max(minRetryAfter, b.now-b.refusingSince)
	if origin := b.originFor(req); origin != nil {
		wait = max(wait, seconds(float64(len(b.originQueue)+1)*origin.latency/max(1, origin.limit)))
	}
	wait = min(wait, b.settings.MaxRetryAfter*2/3)
	return wait/2 + b.jitter(wait)
}

// finish ends a request; attempts still out are called off, but for fetches, whose value will be stored.
func (b *Balancer) finish(req *pendingRequest) {
	req.answered, req.waiting, req.queued = true, false, false
	for i := 0; req.outstanding>>i != 0; i++ {
		if b.settings.CanCancel && (req.outstanding&^req.originAttempts)>>i&1 != 0 {
			b.actions.Cancel(req.ID, i)
		}
	}
	if req.ownsFetch && req.outstanding&req.originAttempts == 0 {
		b.fetchEnded(req, false) // else those who wait would wait in vain
	}
	if req.outstanding == 0 {
		delete(b.requests, req.ID)
	}
}

// RequestCancelled ends a request whose client left.
func (b *Balancer) RequestCancelled(now time.Duration, id RequestID) {
	b.advance(now)
	if req := b.requests[id]; req != nil && !req.answered {
		b.finish(req)
		b.dispatchOriginQueue()
	}
}

// StreamStarted binds a request to the attempt that has begun to answer.
func (b *Balancer) StreamStarted(now time.Duration, id RequestID, attempt int) {
	b.advance(now)
	if req := b.requests[id]; req != nil {
		req.streaming = true
	}
}

// Timer delivers a timer set before.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	b.advance(now)
	req := b.requests[RequestID(token>>3)]
	idle := req != nil && req.outstanding == 0 && !req.streaming && !req.answered
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
		case idle && req.queued && token&7 == timerSoftDeadline:
			b.refuseOrFail(req, OriginLine)
		case idle || token&7 == timerDeadline && req != nil && !req.streaming:
			b.refuseOrFail(req, OutOfTime)
		}
	case timerResume:
		if idle && req.waiting && !req.queued {
			req.waiting = false
			b.sendNextAttempt(req)
		}
	case timerDedupWindow:
		if idle {
			b.endIfUnsendable(req)
		}
	}
}

// Outcome tells how an attempt ended.
func (b *Balancer) Outcome(now time.Duration, outcome Outcome) {
	b.advance(now)
	req := b.requests[outcome.Request]
	if req == nil || outcome.Attempt < 0 || outcome.Attempt > 63 || req.outstanding>>outcome.Attempt&1 == 0 {
		return // unknown, or told before
	}
	bit := uint64(1) << outcome.Attempt
	req.outstanding &^= bit
	member, fromOrigin := b.members[outcome.Member], req.originAttempts&bit != 0
	if !fromOrigin {
		b.outstandingAtCaches--
	}
	if member != nil {
		b.recordOutcome(member, outcome, fromOrigin)
	}
	if outcome.Status.NeverRan() {
		req.mayHaveRun &^= bit
	} else {
		req.notBefore = max(req.notBefore, b.now+outcome.InTransit)
	}
	// Nobody was asked, or it was turned away unseen, which is no load that a jam is made of, or the connection ended for
	// something else, or the request is at fault: the throttle would take this for a jam.
	if status := outcome.Status; !fromOrigin && (status == StatusNoConn || status == StatusFull || status == StatusRejected || status == StatusCancelled && !req.answered) {
		b.recentAttempts = max(0, b.recentAttempts-1)
	}
	if outcome.Status == StatusNoConn {
		req.unsent = min(req.unsent+1, req.maxAttempts)
	}
	req.answered = req.answered || outcome.Final
	// A fetch that failed goes back in line below; until it is given up, those who wait for it go on waiting.
	if fromOrigin && req.ownsFetch && (req.answered || outcome.Status == StatusOK) {
		b.fetchEnded(req, outcome.Status == StatusOK)
	}
	switch {
	case req.answered || outcome.Status == StatusOK:
		b.finish(req)
	case outcome.Status == StatusRejected:
		b.actions.Fail(req.ID, Rejected)
		b.finish(req)
	case req.outstanding != 0 || req.waiting:
	case outcome.Status == StatusMiss && b.settings.Mode == CacheAside && !fromOrigin:
		b.handleMiss(req, member, outcome.Note)
	default:
		b.retryAfterFailure(req, outcome.Status, fromOrigin)
	}
	b.dispatchOriginQueue()
}

// RestrictMembers changes the members that a request may go to from now on; nil: all.
func (b *Balancer) RestrictMembers(now time.Duration, id RequestID, allowed []MemberID) {
	b.advance(now)
	if req := b.requests[id]; req != nil && !req.answered {
		req.AllowedMembers = allowed
		b.endIfUnsendable(req)
	}
}

// Fallbacks names up to most further caches for a request that is out, for clients that go on to the next by themselves
// where one can't be reached. Only for what is safe to repeat, within the attempts allowed, and never a cold member, whose
// budget is spent by sending. What the client does with them is told by Moved.
func (b *Balancer) Fallbacks(id RequestID, limit int) (fallbacks []MemberID) {
	req := b.requests[id]
	if req == nil || req.answered || req.class.Effect != Repeatable || req.Write {
		return nil
	}
	limit = min(limit, req.maxAttempts-req.sentAttempts())
	outstanding := req.outstanding
	req.outstanding = 0 // the one that is out will have ended
	for _, ranked := range b.candidates(req.slot) {
		if len(fallbacks) < limit && b.warmth(ranked.member) >= 1 && b.usable(req, ranked.member) && b.hasCapacity(ranked.member) {
			fallbacks = append(fallbacks, ranked.member.entry.ID)
		}
	}
	req.outstanding = outstanding
	return fallbacks
}

// FallbackUsed tells that the client has gone on by itself with an attempt that is out, from a member that failed it to one of
// Spares. It counts as one more attempt.
func (b *Balancer) FallbackUsed(now time.Duration, id RequestID, from, to MemberID) {
	b.advance(now)
	req := b.requests[id]
	if req == nil || req.outstanding == 0 {
		return
	}
	if member := b.members[from]; member != nil {
		b.recordOutcome(member, Outcome{Status: StatusUnknown}, false)
	}
	req.unsent-- // one more than was sent from here
	if member := b.members[to]; member != nil {
		member.outstanding++
		req.triedCaches = append(req.triedCaches, member)
	}
}

// handleMiss sends a read on to the origin, unless the key is being fetched already.
func (b *Balancer) handleMiss(req *pendingRequest, member *memberState, note int) {
	if member != nil && req.missedCache == nil {
		req.missedCache = member
	}
	waiters, fetching := b.fetchWaiters[req.Key]
	if req.coalescedAfterMiss || req.Key == 0 || req.sentAttempts()+2 > req.maxAttempts || !fetching && note != NoteFetched {
		b.enqueueForOrigin(req)
		return
	}
	req.coalescedAfterMiss, req.triedCaches = true, nil
	wait := (req.softDeadline - b.now) / 2
	if fetching {
		b.fetchWaiters[req.Key] = append(waiters, req)
	} else if origin := b.originFor(req); origin != nil { // another proxy fetches it
		wait = min(wait, seconds(max(origin.latency, 0.02)))
	}
	b.waitForFetch(req, wait)
}

// fetchEnded lets those who waited for a fetch read the cache, or makes the first of them fetch itself.
func (b *Balancer) fetchEnded(req *pendingRequest, ok bool) {
	waiters := b.fetchWaiters[req.Key]
	delete(b.fetchWaiters, req.Key)
	req.ownsFetch = false
	for _, waiter := range waiters {
		if waiter.answered || !waiter.waiting || waiter.outstanding != 0 {
			continue
		}
		waiter.waiting, waiter.coalesced = false, false
		if ok && req.missedCache != nil {
			waiter.missedCache = req.missedCache
		}
		b.route(waiter)
	}
}

// retryAfterFailure makes a further attempt after a failure, if the rules, the time and the retry budget allow one.
func (b *Balancer) retryAfterFailure(req *pendingRequest, status Status, fromOrigin bool) {
	cost := 1.0
	switch status {
	case StatusNoConn:
		cost = 0
	case StatusReset, StatusConnectFailed, StatusCancelled, StatusFull:
		cost = unseenRetryCost
	}
	why := b.noFurtherAttempt(req)
	if why == NoReason && b.retryTokens < cost {
		why = RetryBudget
	}
	if why != NoReason {
		b.refuseOrFail(req, why)
		return
	}
	b.retryTokens -= cost
	req.toOrigin = fromOrigin || b.settings.Mode == CacheAside && req.sentAttempts()+1 >= req.maxAttempts && !b.hotTable[req.Key].isSplit() // one try left: other caches lack the key
	if !req.toOrigin && (status == StatusReset || status == StatusCancelled) && len(req.triedCaches) == 1 && !req.retriedAfterReset && b.now < req.arrivedAt+(req.softDeadline-req.arrivedAt)/4 {
		// The connection broke early; the member, which has the key, may well be up. Once: one that holds few connections breaks
		// all that are new, and would use up the read's tries. Late, the read has waited behind what its member doesn't answer.
		req.triedCaches, req.retriedAfterReset = req.triedCaches[:0], status == StatusReset
	}
	req.missedCache = nil
	b.sendNextAttempt(req)
}

// sendNextAttempt makes the next attempt of a request, once no earlier one can come at a member after it.
func (b *Balancer) sendNextAttempt(req *pendingRequest) {
	switch {
	case req.notBefore > b.now && req.notBefore+b.answerMargin() >= req.softDeadline:
		b.refuseOrFail(req, OutOfTime)
	case req.notBefore > b.now:
		if b.waitUnlessUnsendable(req, InTransit) {
			b.setRequestTimer(req, req.notBefore, timerResume)
		}
	case req.toOrigin:
		req.toOrigin = false
		b.enqueueForOrigin(req)
	default:
		b.route(req)
	}
}

// recordOutcome takes in how an attempt ended.
func (b *Balancer) recordOutcome(member *memberState, outcome Outcome, fromOrigin bool) {
	member.outstanding = max(0, member.outstanding-1)
	failure := 1.0
	switch outcome.Status {
	case StatusCancelled, StatusMoot, StatusRejected, StatusNoConn:
		return
	case StatusFull:
		if fromOrigin {
			b.cutLimit(member, 0.7)
		} else { // not from what is out: a proxy that sends seldom is not what fills it
			member.limit = max(min(1, member.limit), 0.7*member.limit)
		}
		return
	case StatusOK, StatusMiss:
		if zone := member.zone; !fromOrigin && zone.timeoutStreak >= 2*silentZoneTimeouts && b.now-zone.firstTimeoutAt >= zoneOutageTime && b.lastAnswerAt > zone.firstTimeoutAt { // others have answered
			zone.coldSince = b.now
		}
		failure, member.failureStreak, member.zone.timeoutStreak = 0, 0, 0
		member.answeredSentAt = max(member.answeredSentAt, b.now-outcome.Elapsed)
		if member.lastAnswerAt > 0 {
			member.answerInterval += (min(member.latency, (b.now-member.lastAnswerAt).Seconds()) - member.answerInterval) * max(0.05, 1/float64(member.samples))
		}
		member.lastAnswerAt = b.now
		member.recordFastestAnswer(outcome)
		b.adaptLimit(member, outcome.Elapsed.Seconds(), outcome.FirstOnConnection)
		if member.missStreak++; outcome.Status == StatusOK {
			member.hits, member.missStreak = min(member.hits+1, emptyCacheMisses), 0
		} else if !fromOrigin && member.missStreak >= emptyCacheMisses && member.hits >= emptyCacheMisses && b.warmth(member) >= 1 {
			member.coldSince, member.hits = b.now, 0
		}
		if !fromOrigin {
			b.meanLatency += (outcome.Elapsed.Seconds() - b.meanLatency) * 0.01
			b.recentAnswers, b.lastAnswerAt = b.recentAnswers+1, b.now
			b.servedWork += 0.5
			if outcome.Status == StatusOK {
				b.servedWork += 0.5
			}
		}
	case StatusTimeout:
		if outcome.Elapsed < seconds(member.fastestAnswer) {
			return // it had too little time for that to say anything; a member may drop such an attempt without a word
		}
		// A member that has answered what was sent in the second half of the wait is neither jammed nor gone: this attempt's
		// connection fell silent, or its work was long. As latency, the wait would cut the limit of a member that is well. A
		// jam that takes attempts in turn is still seen; one that serves the newest first would be missed.
		if member.answeredSentAt > b.now-outcome.Elapsed/2 {
			return
		}
		b.adaptLimit(member, max(outcome.Elapsed.Seconds(), 2*b.fetchTarget), outcome.FirstOnConnection)
		if member.failureStreak++; member.zone.timeoutStreak == 0 {
			member.zone.firstTimeoutAt = b.now
		}
		member.zone.timeoutStreak++
	default:
		member.failureStreak++
	}
	member.failureRate += (failure - member.failureRate) * 0.3
	b.failureRate += (failure - b.failureRate) * 0.05
	// Two in a row, and more where an answer or connection broke: that tells of a connection rather than of
	// its member, which is up if the next one can be opened. An ejected member's load goes to others that lack
	// its keys. Relative to the fleet: when everything fails alike, ejecting helps nobody.
	minStreak := 2.0
	if outcome.Status == StatusReset || outcome.Status == StatusError {
		minStreak = 4
	}
	// Where attempts fail everywhere, a few in a row come about by chance, and kinds of failure mix: as many are
	// asked for as the fleet's own share of failures would bring only once in ejectionOdds attempts.
	minStreak = max(minStreak, min(maxFailureStreak, math.Log(ejectionOdds)/-math.Log(max(1e-9, min(0.9, b.failureRate)))))
	if failure > 0 && !fromOrigin && float64(member.failureStreak) >= minStreak && member.failureRate > 2*b.failureRate {
		duration := 250 * time.Millisecond << min(member.failureStreak, 5)
		member.ejectedUntil = b.now + duration/2 + b.jitter(duration)
	}
}

// recordFastestAnswer takes in how long an answer took.
func (member *memberState) recordFastestAnswer(outcome Outcome) {
	if elapsed := outcome.Elapsed.Seconds(); !outcome.FirstOnConnection {
		member.fastestAnswer = min(elapsed, cmp.Or(member.fastestAnswer*minLatencyGrowth, elapsed))
	}
}

// adaptLimit moves a member's limit so that answers come within the target: members with deep queues else hold
// work that nobody waits for any more, and stay jammed long after a burst has passed.
//
// A handshake is no load: the wait for one neither cuts the limit nor raises it. Members in other zones would else look jammed
// where connections don't last. It could do harm at one whose every connection is new: only full answers hold its limit down.
func (b *Balancer) adaptLimit(member *memberState, elapsed float64, firstOnConnection bool) {
	member.samples++
	member.latency += (elapsed - member.latency) * max(0.1, 1/float64(member.samples))
	member.peakOutstanding = max(float64(member.outstanding), member.peakOutstanding*0.95)
	member.minLatency = min(member.latency, cmp.Or(member.minLatency*minLatencyGrowth, member.latency))
	slowThreshold := max(b.fetchTarget, min(2*member.minLatency, 1.25*b.fetchTarget)) // a member that is far is no slower for being sent less
	switch {
	case firstOnConnection && elapsed > slowThreshold:
	case member.latency > slowThreshold && elapsed > slowThreshold: // an answer in time never cuts, however slow those before it
		b.cutLimit(member, 0.8)
	case float64(member.outstanding+1) < member.limit-1: // not what holds it back
	case member.limitCutAt == 0:
		member.limit++
	default:
		member.limit += min(1/member.limit, member.limit/2)
	}
}

// cutLimit lowers a limit, from what has been out lately: a proxy that sends seldom has a part of one attempt out on average, and a limit
// above that would hold nothing back. What is out at the moment says too little: a burst is over as its slow answers come.
func (b *Balancer) cutLimit(member *memberState, factor float64) {
	if b.now-member.limitCutAt >= seconds(max(0.05, member.latency)) { // once a round trip
		used := max(float64(member.outstanding), member.peakOutstanding-2) + min(1, member.latency/max(0.001, member.sendInterval))
		if used < 1 { // it will hear of this member only seldom
			factor *= factor
		}
		// The proxies together may keep half an attempt out: one slow answer to a proxy that seldom asks would
		// else take the member out for it.
		minLimit := max(0.01, 0.5/float64(b.settings.Instances))
		member.limitCutAt, member.limit = b.now, max(minLimit, min(member.limit, used)*factor)
	}
}

// throttled draws whether to refuse a read at once: adaptive throttling, so that what is asked of the caches
// stays under a multiple of what they answer. It ends a jam that no single member's limit sees at a proxy
// that sends to each but now and then. What is out and may yet be answered does not count while the caches answer, and
// before they can have: a crowd that comes at once would else be refused before its first answers.
func (b *Balancer) throttled() bool {
	decay := math.Exp(-(b.now - b.recentCountsAt).Seconds() / throttleWindow.Seconds())
	b.recentAttempts, b.recentAnswers, b.recentCountsAt = b.recentAttempts*decay+1, b.recentAnswers*decay, b.now
	unanswered, answerTime := float64(b.outstandingAtCaches), seconds(max(0.02, 3*b.meanLatency))
	if elapsed := b.now - b.currentReadsSince; elapsed > answerTime { // what was asked since then can't all have been answered
		if b.previousReads = b.currentReads; elapsed > 2*answerTime {
			b.previousReads = 0
		}
		b.currentReads, b.currentReadsSince = 0, b.now
	}
	if b.now-b.lastAnswerAt > answerTime {
		unanswered = min(unanswered, max(float64(initialLimit*len(b.caches)), float64(b.previousReads+b.currentReads)))
	}
	b.currentReads++
	return b.rng.Float64()*(b.recentAttempts+throttleSlack) < b.recentAttempts-unanswered-throttleRatio*b.recentAnswers-throttleSlack
}

// hasCapacity tells whether a member's limit lets another attempt out. A limit under one is kept by spacing: many
// proxies, each with a single attempt out, could else be too much together.
func (b *Balancer) hasCapacity(member *memberState) bool {
	if member.limit >= 1 {
		// A limit grows by what is answered, too late for a crowd that comes at once. Where a member is so quick that it
		// could do all that is out one by one, or as fast as it answers lately, in a part of the target, and has not turned
		// work away, the crowd is let in.
		return member.outstanding < int(member.limit) || member.limit >= initialLimit && member.samples >= initialLimit &&
			cmp.Or(min(member.latency, member.answerInterval), member.latency)*float64(member.outstanding+1) < b.fetchTarget*burstTargetShare
	}
	return member.outstanding == 0 && b.now-member.lastSentAt >= seconds(member.latency*(1/member.limit-1))
}

// enqueueForOrigin puts a request in line for the origin: writes first, then by worth.
func (b *Balancer) enqueueForOrigin(req *pendingRequest) {
	req.waiting, req.queued = true, true
	if !req.Write && req.Key != 0 {
		if _, fetching := b.fetchWaiters[req.Key]; !fetching {
			b.fetchWaiters[req.Key] = nil
			req.ownsFetch = true
		}
	}
	position := slices.IndexFunc(b.originQueue, func(other *pendingRequest) bool {
		return req.Write && !other.Write || req.Write == other.Write && req.priority > other.priority
	})
	if position < 0 {
		position = len(b.originQueue)
	}
	b.originQueue = slices.Insert(b.originQueue, position, req)
	b.dispatchOriginQueue()
	if req.queued {
		b.waitUnlessUnsendable(req, OriginLine)
	}
}

// dispatchOriginQueue sends what the origin has room for, and refuses what can't make its aim any more.
func (b *Balancer) dispatchOriginQueue() {
	remaining := b.originQueue[:0:0]
	var unsendable []*pendingRequest
	for _, req := range b.originQueue {
		member := b.originFor(req)
		switch {
		case req.answered || !req.queued:
		case member == nil || !b.maySend(req, member) || b.now+seconds(min(member.latency, b.fetchTarget)/2) >= req.softDeadline:
			unsendable = append(unsendable, req)
		case req.Write || b.hasCapacity(member):
			b.send(req, member, b.fetchTimeout(req, member))
		default:
			remaining = append(remaining, req)
		}
	}
	b.originQueue = remaining
	for _, req := range unsendable {
		if !b.endIfUnsendable(req) {
			b.refuseOrFail(req, OriginLine)
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
func (b *Balancer) fetchTimeout(req *pendingRequest, member *memberState) time.Duration {
	if req.Write {
		return 0
	}
	return max(req.softDeadline-b.now, seconds(4*member.latency), time.Millisecond)
}

// originAvailable tells whether another fetch would be taken at once, and in good time.
func (b *Balancer) originAvailable(req *pendingRequest) bool {
	member := b.originFor(req)
	return member != nil && len(b.originQueue) == 0 && b.hasCapacity(member) && member.latency < b.fetchTarget/2
}

func (b *Balancer) originFor(req *pendingRequest) *memberState {
	var member *memberState
	for i := len(b.origins); i > 0 && (member == nil || !b.maySend(req, member)); i-- {
		member = b.origins[(req.slot+i)%len(b.origins)]
	}
	return member
}
