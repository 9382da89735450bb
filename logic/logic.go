// This file holds all routing decisions; the exported API is in api.go.

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
	slotCount       = 4096            // many more than members, so that slots divide evenly
	candidateDepth  = 12              // candidates kept per slot; with one slot table per zone, those in the local zone
	otherZoneDepth  = 2               // candidates kept per slot in each other zone
	counterCapacity = 1024            // keys tracked by the counter, several times the hot set
	maxHotKeys      = 200             // maximum size of the hot set
	keyCost         = 3.33            // cost of a hot key on top of its requests, in requests
	maxWindow       = 4 * time.Second // interval at which counts are halved and hot keys are placed
	sufficientCount = 400             // requests sufficient to rank the hot keys
	splitLoadShare  = 0.5             // keys above this share of a cache's mean load are split
	moveMargin      = 0.1             // a hot key moves only if this reduces the objective by this share
	retryRatio      = 0.15            // retries after failures, as a share of requests
	retryBurst      = 10
	// unseenRetryCost is the retry budget taken by a retry after a connection broke or could not be
	// established, or after a member rejected the attempt without processing it. Such failures do not
	// indicate load, and where they are common, full cost would exhaust the budget. The discount could do
	// harm where members shed load by resetting connections: each request then costs up to its maximum
	// number of attempts.
	unseenRetryCost        = 0.25
	initialLimit           = 8                     // concurrency limit of a member without any outcome yet
	knownSamples           = 16 * initialLimit     // with fewer samples, an uncut limit is an estimate
	unknownCacheRetryDelay = 10 * time.Millisecond // retry delay of reads held back at members with few samples
	// share of fetchTarget that outstanding attempts may take at a fast member
	burstTargetShare   = 0.25
	throttleWindow     = 3 * time.Second        // period over which attempts and answers are compared
	throttleRatio      = 2                      // reads may be refused below one answer in this many attempts
	throttleSlack      = 8                      // fewer attempts than this are not significant
	silentZoneTimeouts = 4                      // consecutive timeouts that mark a zone as silent
	silentZoneInterval = 300 * time.Millisecond // minimum interval between attempts in a silent zone
	// silence after which the caches of a zone may have restarted; far longer than overload lasts
	zoneOutageTime = 3 * time.Second
	// consecutive misses, after as many hits, that show that a cache restarted without its data
	emptyCacheMisses  = 32
	maxBusyCandidates = 6 // busy candidates at which a read is refused
	// a read may wait 1/12 of its time for a connection: a hit after a short wait is better than a miss
	// elsewhere
	connectionWaitDivisor = 12
	ejectionOdds          = 3000  // no ejection for streaks that chance produces more than once in this many attempts
	maxAttemptsLimit      = 32    // as many more may end without a connection, and each attempt takes one of 64 bits
	maxFailureStreak      = 8     // upper bound of the failure streak required for ejection
	minLatencyGrowth      = 1.002 // growth of a member's minimum latency with each answer
	coldBudgetShare       = 0.5   // share of OverloadMultiple; the rest is reserved for what this proxy can't observe
)

// Bounds of the retry delay that a refused client is given.
const (
	minRetryAfter  = 50 * time.Millisecond
	shortageEndGap = time.Second // a shortage ends after this time without a refusal
)

// Purposes of a timer, stored in the low bits of its token.
const (
	timerWindow       = iota // the counting window ends
	timerWatch               // subscribe to the member list again
	timerOriginQueue         // dispatch the origin queue again
	timerSoftDeadline        // a request's soft deadline
	timerDeadline            // a request's deadline
	timerResume              // resume a waiting request without outstanding attempts
	timerDedupWindow         // end of a request's deduplication window
)

// New creates a Balancer. The seed determines all its random choices.
func New(s Settings, seed uint64, actions Actions) (*Balancer, error) {
	if actions == nil {
		return nil, errors.New("logic: actions are nil")
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
	// Each zone has a slot table of its own where crossing zones costs more than the duplicate copies
	// save.
	b.zoneTables = s.Zones > 1 && s.CrossZoneCost*(1-1/float64(s.Zones)) > 0.03
	return b, nil
}

// updateFetchTarget sets the target duration of a fetch to half of the shortest soft deadline.
func (b *Balancer) updateFetchTarget() {
	b.fetchTarget = math.Inf(1)
	for _, c := range b.settings.Classes {
		b.fetchTarget = min(b.fetchTarget, c.SoftDeadline.Seconds()/2)
	}
}

// UpdateClasses replaces the classes and the number of attempts for requests that arrive from now on.
func (b *Balancer) UpdateClasses(now time.Duration, classes []Class, maxAttempts int) error {
	updated := b.settings
	// pending requests keep the old classes
	updated.Classes, updated.MaxAttempts = slices.Clone(classes), min(maxAttempts, maxAttemptsLimit)
	if err := updated.check(); err != nil {
		return err
	}
	b.advance(now)
	b.settings = updated
	b.updateFetchTarget()
	return nil
}

// Start begins operation at the host's time. The windows of the instances are staggered so that their hot-
// key placements don't coincide.
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

// SetMembers applies a member list. A draining or removed member leaves the tables immediately.
func (b *Balancer) SetMembers(now time.Duration, kind ListKind, list []Member) {
	b.advance(now)
	if kind == ListFailed {
		// All proxies lose the list at the same moment; jitter spreads their calls.
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
		// deletes members that were draining in the last list
		maps.DeleteFunc(b.members, func(id MemberID, _ *memberState) bool { return !listed[id] })
	}
	b.peakWeight = max(b.peakWeight, b.tableWeight())
	b.dispatchOriginQueue()
	b.endUnsendable()
}

// endUnsendable ends waiting requests that no remaining member can take after a change of the member list
// or of zone shares.
func (b *Balancer) endUnsendable() {
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		if req := b.requests[id]; req != nil { // ending one request may have completed another
			b.endIfUnsendable(req)
		}
	}
}

// endIfUnsendable refuses or fails a waiting request that can't be sent any more. It reports whether the
// request is answered.
func (b *Balancer) endIfUnsendable(req *pendingRequest) bool {
	why := b.unsendable(req)
	if req.waiting && why != NoReason {
		b.refuseOrFail(req, why)
	}
	return req.answered
}

// tableWeight returns the total weight of the caches in the slot table.
func (b *Balancer) tableWeight() (weight float64) {
	for _, member := range b.caches {
		if !b.zoneTables || member.entry.Zone == b.settings.Zone {
			weight += member.weight
		}
	}
	return weight
}

// updateMember applies one entry of the member list.
func (b *Balancer) updateMember(entry Member) {
	member := b.members[entry.ID]
	if entry.State != Ready && entry.State != Draining {
		// ids are never reused, so keeping removed members would leak memory
		defer delete(b.members, entry.ID)
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
	// zones has 64 entries; a zone number beyond them shares the entry of a lower one
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

// resetMember discards the statistics of a member that is, or may be, a new process.
func (b *Balancer) resetMember(member *memberState) {
	*member = memberState{entry: member.entry, zone: member.zone, hash: member.hash, weight: member.weight,
		coldTokensAt: b.now, coldTokens: b.rng.Float64(), limiter: limiter{limit: initialLimit, lastSentAt: b.now}}
}

// SetZoneShares sets the share of its usual work that the caches of each zone receive from now on. Zones
// beyond the list keep their share.
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

// isOrigin reports whether a member is an origin.
func (b *Balancer) isOrigin(entry Member) bool {
	return b.settings.Mode == CacheAside && b.settings.OriginKind >= 0 && entry.Kind == b.settings.OriginKind
}

// slotWeight returns a member's weight in the slot table. It must be the same at every proxy and
// independent of load. Live weights fall with load, so the largest weight seen of a kind, in coarse steps,
// is used for all members of the kind.
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

// updateKindWeight raises the weight of all caches of a kind if this entry has a larger one.
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

// score ranks a member for a slot by weighted rendezvous hashing. All proxies compute the same scores, and
// a change of the list moves only the slots of the member that changed.
func (b *Balancer) score(slot int, member *memberState) float64 {
	score := math.Log(unit(mix(member.hash^mix(uint64(slot)+1)))) / member.weight
	if b.zoneTables && member.entry.Zone != b.settings.Zone {
		return score - 1e9
	}
	return score
}

// candidates returns the candidates of a slot, best first. The list is computed on first use and then kept
// up to date, so that the cost of a request does not grow with the fleet.
func (b *Balancer) candidates(slot int) []candidate {
	if len(b.slots[slot]) == 0 {
		for _, member := range b.caches {
			b.insertCandidate(slot, member)
		}
	}
	return b.slots[slot]
}

// insertCandidate adds a member to the candidates of a slot, which stay sorted and limited in number.
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

// addToSlots adds a member to all slots that are already computed.
func (b *Balancer) addToSlots(member *memberState) {
	for slot, list := range b.slots {
		if len(list) > 0 {
			b.insertCandidate(slot, member)
		}
	}
}

// removeFromSlots clears the candidates of all slots that contain the member.
func (b *Balancer) removeFromSlots(member *memberState) {
	for slot, list := range b.slots {
		if slices.ContainsFunc(list, func(r candidate) bool { return r.member == member }) {
			// keeps the allocation: with frequent member changes it would be a constant source of garbage
			b.slots[slot] = slices.Delete(list, 0, len(list))
		}
	}
}

// warmth returns the share of its capacity that a member certainly has. A member may also have restarted
// without notice by the list: see zoneOutageTime and emptyCacheMisses.
func (b *Balancer) warmth(member *memberState) float64 {
	since := max(member.entry.StartedAt, member.zone.coldSince, member.coldSince)
	age := b.now - since
	if since == 0 || age >= b.settings.SlowStartDuration {
		return 1
	}
	return b.settings.SlowStartCapacity + (1-b.settings.SlowStartCapacity)*max(0, age.Seconds())/b.settings.SlowStartDuration.Seconds()
}

// ownsSlot reports whether a member takes a slot. A cold member takes over its slots as it warms up, in an
// order that is the same at every proxy.
func (b *Balancer) ownsSlot(member *memberState, slot int) bool {
	return member.receivesSlot(slot) && unit(mix(member.hash+uint64(slot)*0x9e3779b97f4a7c15)) < b.warmth(member)
}

// receivesSlot reports whether a slot is in the share of work that the member's zone receives. The result
// is the same at every proxy and for all members of the zone.
func (member *memberState) receivesSlot(slot int) bool {
	return member.zone.withheldShare == 0 || unit(mix(uint64(member.entry.Zone+1)<<32|uint64(slot))) >= member.zone.withheldShare
}

// capacity returns the estimate to which placeHotKeys relates a member's hotLoad and hotKeys: the weight,
// reduced where the member is cold, ejected or slower than the fleet.
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

// placeHotKeys assigns the hot keys greedily: by descending count, each to the candidate that increases the
// objective least. The objective is the maximum over all caches of hotLoad/capacity, plus keyCost times the
// maximum of hotKeys/capacity; in the paper that this model comes from, these terms are S, T and k, and the
// hot set of 200 keys is MIP-200. A key that takes more than splitLoadShare of a cache's mean load is split
// over several.
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
	maxHotLoad, maxHotKeyCount := 0.0, 0.0
	for _, counted := range b.keyCounts.hottest(2, maxHotKeys) {
		slot := slotOf(counted.key)
		candidates := b.candidates(slot)
		// Random excess in a low count must not create copies.
		guaranteed := max(0, counted.count-counted.maxError-math.Sqrt(counted.count))
		fleetCopies := int(guaranteed / b.keyCounts.total * totalWeight / candidates[0].member.weight / splitLoadShare)
		// The proxies together place the key on about fleetCopies caches. This proxy uses ownCopies of them,
		// twice its part (fleetCopies/Instances), at least one and at most all.
		fleetCopies = max(1, min(fleetCopies, len(candidates)))
		ownCopies := max(1, min(fleetCopies, fleetCopies*2/b.settings.Instances))
		placed := &placement{}
		for range ownCopies {
			nearest := candidates[:min(len(candidates), fleetCopies+1)]
			member := b.cheapestCandidate(nearest, placed, slot, counted, float64(ownCopies), maxHotLoad, maxHotKeyCount, old[counted.key])
			if member == nil { // all candidates are cold: the key is routed by its slot
				break
			}
			capacity := b.capacity(member)
			member.hotLoad += counted.count / float64(ownCopies)
			member.hotKeys++
			maxHotLoad, maxHotKeyCount = max(maxHotLoad, member.hotLoad/capacity), max(maxHotKeyCount, member.hotKeys/capacity)
			placed.members = append(placed.members, member)
		}
		if len(placed.members) > 0 {
			b.hotTable[counted.key] = placed
		}
	}
}

// cheapestCandidate returns the candidate whose use increases the objective least, with a preference for
// the previous placement; nil if none takes the slot.
func (b *Balancer) cheapestCandidate(candidates []candidate, placed *placement, slot int, counted keyCount,
	ownCopies, maxHotLoad, maxHotKeyCount float64, old *placement) *memberState {
	var best *memberState
	minCost := math.Inf(1)
	offset := 0
	if len(candidates) > 2 { // several caches share the key: proxies start at different caches
		offset = int(mix(counted.key^uint64(b.settings.SelfIndex)*0x9e3779b97f4a7c15) % uint64(len(candidates)))
	}
	for i := range candidates {
		member := candidates[(i+offset)%len(candidates)].member
		if slices.Contains(placed.members, member) || !b.ownsSlot(member, slot) {
			continue
		}
		capacity := b.capacity(member)
		cost := max(maxHotLoad, (member.hotLoad+counted.count/ownCopies)/capacity) + keyCost*max(maxHotKeyCount, (member.hotKeys+1)/capacity)
		// A key that was not placed before was routed by its slot, so the slot's first candidate is its
		// previous place. Otherwise keys at the edge of the hot set would change caches whenever they
		// enter or leave it.
		if old != nil && slices.Contains(old.members, member) || old == nil && member == candidates[0].member {
			// also requires a gain beyond random variation of the count
			cost *= 1 - min(0.9, moveMargin+1/math.Sqrt(counted.count))
		}
		if cost < minCost {
			best, minCost = member, cost
		}
	}
	return best
}

// slotOf returns the slot of a key.
func slotOf(key uint64) int { return int(mix(key^0xa0761d6478bd642f) % slotCount) }

// closeWindow ends a counting window: it places the hot keys and decays the counts.
func (b *Balancer) closeWindow() {
	b.spanSeconds, b.windowStart = b.spanSeconds+(b.now-b.windowStart).Seconds(), b.now
	b.placeHotKeys()
	// Counts are halved, but reduced less at a proxy with little traffic, whose counts would otherwise be
	// too low to distinguish a hot key from chance.
	b.keyCounts.decay(max(0.5, min(0.9, 1-(b.keyCounts.total-b.earlierTotal)/sufficientCount)))
	b.earlierTotal = b.keyCounts.total
	b.arrivals, b.servedWork, b.spanSeconds = b.arrivals/2, b.servedWork/2, b.spanSeconds/2
	for i := range b.tenantRequests {
		b.tenantRequests[i] /= 2
	}
	// the first windows are short: until the first one ends, all keys are routed by slot
	b.windowLength = min(maxWindow, 2*b.windowLength)
	b.actions.SetTimer(b.now+b.windowLength, timerWindow)
}

// servedRate returns the work per second that caches do for this proxy, not the rate of attempts. Under
// overload, with client retries, the attempt rate could be several times what the caches can serve, and
// would not show what a cold member can serve.
func (b *Balancer) servedRate() float64 {
	return b.servedWork / max(1, b.spanSeconds+(b.now-b.windowStart).Seconds())
}

// Request handles the arrival of a client request.
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
		// A fetch also serves later requests for the key; keys requested only once must not displace those
		// requested often.
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

// answerMargin returns how long before its deadline a request is ended, so that the answer is in time
// although events are late.
func (b *Balancer) answerMargin() time.Duration { return 2*b.settings.MaxEventDelay + time.Millisecond }

// setRequestTimer sets a timer whose token names the request and the purpose.
func (b *Balancer) setRequestTimer(req *pendingRequest, at time.Duration, purpose uint64) {
	b.actions.SetTimer(at, uint64(req.ID)<<3|purpose)
}

// classOf returns the class of a request. An unknown class, and a keyed request without its key, are
// treated as AtMostOnce, so that the request is never lost or run twice.
func (b *Balancer) classOf(r *Request) *Class {
	i := max(0, min(r.Class, len(b.settings.Classes)-1))
	c := &b.settings.Classes[i]
	known := i == r.Class
	if r.AcceptedClass != nil {
		c, known = r.AcceptedClass, true
	}
	if known && c.EffectOf(r.NoDedupKey) == c.Effect {
		return c
	}
	strict := *c
	strict.Effect = AtMostOnce
	return &strict
}

// exceedsTenantShare decides at random whether a request counts as the part of its tenant's traffic that
// exceeds the tenant's share.
func (b *Balancer) exceedsTenantShare(tenant int) bool {
	if tenant < 0 || tenant >= len(b.tenantRequests) {
		return false
	}
	b.tenantRequests[tenant]++
	expected := b.settings.Tenants[tenant].Share * b.arrivals
	return b.tenantRequests[tenant] > expected+2*math.Sqrt(expected)+1 && b.rng.Float64()*b.tenantRequests[tenant] > expected
}

// route selects the path of a request: in CacheAside mode writes go to the origin, everything else goes to
// the cache that the tables select.
func (b *Balancer) route(req *pendingRequest) {
	if b.settings.Mode == CacheAside && req.Write {
		b.enqueueForOrigin(req)
		return
	}
	if waiters, fetching := b.fetchWaiters[req.Key]; fetching && req.Key != 0 && !req.waitedForFetch {
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

// mayRetryLater reports whether a read that no cache takes now is to be retried after a short delay: if
// this proxy lacks connections, or if the concurrency limit of the cache that owns the slot is only an
// estimate because it has few samples. At a proxy that has just started, a burst waits for the first
// answers, which raise the limits of the members that can take it. Reads are refused if no answer arrives
// within a quarter of their time.
func (b *Balancer) mayRetryLater(req *pendingRequest, why Reason) bool {
	if why != NoRoom && why != NoConnection ||
		b.now+unknownCacheRetryDelay >= req.softDeadline-(req.softDeadline-req.arrivedAt)*3/4 {
		return false
	}
	candidates := b.candidates(req.slot)
	first := slices.IndexFunc(candidates, func(r candidate) bool { return b.usable(req, r.member) && b.ownsSlot(r.member, req.slot) })
	return why == NoConnection ||
		first >= 0 && candidates[first].member.samples < knownSamples && candidates[first].member.limit >= initialLimit
}

// waitForFetch lets a request wait for another request's fetch, for a limited time.
func (b *Balancer) waitForFetch(req *pendingRequest, wait time.Duration) {
	req.waitedForFetch = true
	if b.waitUnlessUnsendable(req, SharedFetch) {
		b.setRequestTimer(req, b.now+wait, timerResume)
	}
}

// waitUnlessUnsendable lets a request without outstanding attempts wait, unless no remaining member could
// take it. It reports whether the request waits.
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

// noFurtherAttempt returns the reason why no further attempt is allowed, regardless of the members, or
// NoReason.
func (b *Balancer) noFurtherAttempt(req *pendingRequest) Reason {
	switch {
	case req.sentAttempts() >= req.maxAttempts:
		return OutOfTries
	case b.now+b.answerMargin() >= req.softDeadline:
		return OutOfTime
	case req.mayHaveRun != 0 && (req.class.Effect == AtMostOnce ||
		req.class.Effect == DeduplicatedByKey && b.now >= b.dedupWindowEnd(req)):
		return MayHaveRun
	}
	return NoReason
}

// unsendable returns the reason why a waiting request can't be sent any more before its soft deadline, or
// NoReason. It checks the origins if the request is in the origin queue, and otherwise the caches, which a
// request reads after the fetch that it waits for.
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
		return MayHaveRun // no member remains that would drop the repeat (Class.Scope)
	}
	return NoMember
}

// attemptTimeout returns the timeout of an attempt: a part of the remaining time if another attempt is
// possible, otherwise 0, which means none.
func (b *Balancer) attemptTimeout(req *pendingRequest, member *memberState) time.Duration {
	// In ReadThrough mode a slow answer is usually a miss: giving up the attempt wastes the fetch, and the
	// next candidate would fetch the value again.
	if req.sentAttempts()+1 >= req.maxAttempts || req.class.Effect == AtMostOnce || b.settings.Mode == ReadThrough {
		return 0
	}
	remaining := req.softDeadline - b.now
	// allows for the latency of a member that is known to be slower
	timeout := max(remaining*6/10, min(remaining, seconds(2*member.latency)))
	if req.CostKnown {
		timeout = max(timeout, min(remaining, 3*req.Cost))
	}
	return max(timeout, time.Millisecond)
}

// chooseCache returns the cache for a request: from the hot table, else from the slot, else the next
// usable candidate. If there is none, it returns the reason.
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
		// Reads move from a busy member to the next candidate only while a fetch is cheap: spilling turns
		// hits into misses, which would otherwise overload the origin and, through it, all members.
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
	// All candidates are cold, ejected or tried: take any usable cache, starting at a position that varies
	// by slot, and an ejected cache rather than none.
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

// noCacheReason returns the reason why no cache takes a request.
func (b *Balancer) noCacheReason(req *pendingRequest) Reason {
	if why := b.unsendable(req); why != NoReason {
		return why
	}
	if slices.ContainsFunc(b.caches, func(member *memberState) bool {
		return b.maySend(req, member) && !b.hasConnection(req, member)
	}) {
		return NoConnection
	}
	return ColdBudget
}

// hasConnection reports whether the host has, or will have in good time, a connection to a member.
func (b *Balancer) hasConnection(req *pendingRequest, member *memberState) bool {
	wait := b.actions.ConnectionWait(req.ID, member.entry.ID)
	return wait >= 0 && wait <= (req.softDeadline-b.now)/connectionWaitDivisor
}

// otherZoneCache returns a cache with spare capacity in another zone that owns the slot in that zone's
// table, or nil if all zones share a table. The proxies of that zone send it the same keys, so a hit is
// more likely there than at a second candidate in the local zone, and the crossing costs less than a
// refusal.
func (b *Balancer) otherZoneCache(req *pendingRequest) *memberState {
	for _, ranked := range b.candidates(req.slot) {
		if b.zoneTables && ranked.member.entry.Zone != b.settings.Zone && b.ownsSlot(ranked.member, req.slot) &&
			b.usable(req, ranked.member) && b.hasCapacity(ranked.member) {
			return ranked.member
		}
	}
	return nil
}

// usable reports whether a cache may get the next attempt of a request, apart from its concurrency limit.
func (b *Balancer) usable(req *pendingRequest, member *memberState) bool {
	return member.ejectedUntil <= b.now && !b.inSilentZone(member) && !slices.Contains(req.triedCaches, member) &&
		b.maySend(req, member) && b.withinColdBudget(member) && b.hasConnection(req, member)
}

// inSilentZone reports whether the caches of a member's zone have stopped answering, where each zone has a
// slot table of its own. Several consecutive timeouts of any of them say more about the zone than about
// each cache. One read per silentZoneInterval is still sent there, and the first answer ends the state. It
// could do harm where answers are late everywhere: some of the reads then go to other zones.
func (b *Balancer) inSilentZone(member *memberState) bool {
	return b.zoneTables && member.zone.timeoutStreak >= silentZoneTimeouts && b.now < member.zone.nextProbeAt
}

// sentAttempts returns the number of attempts that were actually sent.
func (req *pendingRequest) sentAttempts() int { return req.attempts - req.uncountedAttempts }

// maySend is the check that every send must pass: member state, allowed attempts, and effects that must
// not be duplicated.
func (b *Balancer) maySend(req *pendingRequest, member *memberState) bool {
	if req.answered || req.streaming || member.entry.State != Ready || req.sentAttempts() >= req.maxAttempts ||
		b.now+b.answerMargin() >= req.Deadline {
		return false
	}
	if req.outstanding != 0 && !b.settings.ConcurrentAttempts ||
		req.AllowedMembers != nil && !slices.Contains(req.AllowedMembers, member.entry.ID) ||
		!member.receivesSlot(req.slot) && (!member.zone.trial || b.now < member.zone.nextProbeAt) {
		return false
	}
	return b.mayRepeatAt(req, member)
}

// mayRefuse reports whether the client may be told that a retry is harmless.
func (b *Balancer) mayRefuse(req *pendingRequest) bool {
	return req.mayHaveRun == 0 || req.class.SafeToRetry(req.class.Effect)
}

// withinColdBudget reports whether the budget for a cold member allows an attempt. This proxy's part of
// the budget is its share of the fleet's requests according to the member's size and warmth, times
// coldBudgetShare of OverloadMultiple. The first token is random, so that proxies with a share below one
// don't all spend one at once.
func (b *Balancer) withinColdBudget(member *memberState) bool {
	warmth := b.warmth(member)
	if warmth >= 1 || b.settings.OverloadMultiple == 0 {
		return true
	}
	rate := b.servedRate() * member.weight / max(b.warmWeight(), member.weight) * warmth * b.settings.OverloadMultiple * coldBudgetShare
	member.coldTokens, member.coldTokensAt = min(member.coldTokens+rate*(b.now-member.coldTokensAt).Seconds(),
		max(1, rate*b.settings.OverloadDuration.Seconds()/2)), b.now
	// While most of the fleet is cold, a proxy sends one request at a time, with a minimum interval: the
	// budget follows the answers of the caches and would shrink with them. All proxies together then send
	// no faster than a member answers serially. The latency has a lower bound because fast answers may be
	// misses, which say little.
	minInterval := seconds(float64(b.settings.Instances) * max(member.latency, b.fetchTarget/4))
	return member.coldTokens >= 1 || b.mostlyCold && member.outstanding == 0 && b.now-member.lastSentAt >= minInterval
}

// warmWeight returns the weight that serves requests; cold members count by their warmth. It is at least
// half of the peak weight of the list, since rates measured before a loss of members would promise too
// much.
func (b *Balancer) warmWeight() float64 {
	// not computed for every request: the cost grows with the fleet
	if b.now-b.cachedWarmWeightAt >= 500*time.Millisecond {
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

// send starts an attempt of a request at a member.
func (b *Balancer) send(req *pendingRequest, member *memberState, timeout time.Duration) {
	if b.warmth(member) < 1 {
		member.coldTokens = max(-1, member.coldTokens-1)
	}
	startBefore := b.repeatBefore(req)
	bit := uint64(1) << req.attempts
	req.attempts, req.outstanding = req.attempts+1, req.outstanding|bit
	if req.mayHaveRun == 0 {
		req.firstRunMember, req.firstRunAt = member.entry, b.now
	}
	req.mayHaveRun |= bit
	req.waiting, req.queued = false, false
	interval := (b.now - member.lastSentAt).Seconds()
	if member.sendInterval == 0 {
		member.sendInterval = interval // time since the member was first listed
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
	b.actions.Send(req.ID, member.entry.ID, timeout, startBefore)
}

// refuseOrFail gives the final answer of the Balancer to a request: a refusal if a retry is harmless,
// otherwise a failure. Apart from requests that a member rejected, all such answers are given here.
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

// retryAfter returns the delay after which a refused client should retry: the time to drain the origin
// queue, and longer the longer this proxy has been refusing requests, since a lasting shortage does not
// end soon. Clients that retry immediately multiply the load that caused the refusal. The delay is
// jittered so that they don't return at the same time.
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

// finish ends a request. Outstanding attempts are cancelled except fetches from the origin, whose value
// will be stored.
func (b *Balancer) finish(req *pendingRequest) {
	req.answered, req.waiting, req.queued = true, false, false
	for i := 0; req.outstanding>>i != 0; i++ {
		if b.settings.CanCancel && (req.outstanding&^req.originAttempts)>>i&1 != 0 {
			b.actions.Cancel(req.ID, i)
		}
	}
	if req.ownsFetch && req.outstanding&req.originAttempts == 0 {
		b.fetchEnded(req, false) // no fetch is left for the waiting requests
	}
	if req.outstanding == 0 {
		delete(b.requests, req.ID)
	}
}

// RequestCancelled ends a request whose client disconnected or gave up.
func (b *Balancer) RequestCancelled(now time.Duration, id RequestID) {
	b.advance(now)
	if req := b.requests[id]; req != nil && !req.answered {
		b.finish(req)
		b.dispatchOriginQueue()
	}
}

// StreamStarted records that an attempt has begun to answer: the request gets no further attempts.
func (b *Balancer) StreamStarted(now time.Duration, id RequestID, attempt int) {
	b.advance(now)
	if req := b.requests[id]; req != nil {
		req.streaming = true
	}
}

// Timer handles the expiry of a timer that the Balancer set.
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
	case timerSoftDeadline, timerDeadline:
		// A request that is idle at its soft deadline can't be answered in time any more; at the deadline,
		// requests with outstanding attempts end as well, unless they stream.
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

// Outcome handles the end of an attempt.
func (b *Balancer) Outcome(now time.Duration, outcome Outcome) {
	b.advance(now)
	req := b.requests[outcome.Request]
	if req == nil || outcome.Attempt < 0 || outcome.Attempt > 63 || req.outstanding>>outcome.Attempt&1 == 0 {
		return // unknown or already reported
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
	// These attempts do not count for the throttle, which would take them for overload: no member received
	// the attempt, a member rejected it unprocessed, the connection ended for another reason, or the
	// request is invalid.
	if status := outcome.Status; !fromOrigin &&
		(status == StatusNoConn || status == StatusFull || status == StatusRejected || status == StatusCancelled && !req.answered) {
		b.recentAttempts = max(0, b.recentAttempts-1)
	}
	if outcome.Status == StatusNoConn {
		req.uncountedAttempts = min(req.uncountedAttempts+1, req.maxAttempts)
	}
	req.answered = req.answered || outcome.Final
	// A failed fetch returns to the origin queue below; requests that wait for it keep waiting until it is
	// given up.
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

// RestrictMembers sets the members that a request may be sent to from now on; nil allows all.
func (b *Balancer) RestrictMembers(now time.Duration, id RequestID, allowed []MemberID) {
	b.advance(now)
	if req := b.requests[id]; req != nil && !req.answered {
		req.AllowedMembers = allowed
		b.endIfUnsendable(req)
	}
}

// Fallbacks returns further caches, up to limit, for a request with an outstanding attempt. They are for
// clients that try the next cache themselves if one is unreachable. Only requests that are safe to repeat
// get fallbacks, within their allowed attempts, and never a cold member, whose budget is spent by sending.
// The host reports the use of a fallback with FallbackUsed.
func (b *Balancer) Fallbacks(id RequestID, limit int) (fallbacks []MemberID) {
	req := b.requests[id]
	if req == nil || req.answered || req.class.Effect != Repeatable || req.Write {
		return nil
	}
	limit = min(limit, req.maxAttempts-req.sentAttempts())
	outstanding := req.outstanding
	req.outstanding = 0 // the outstanding attempt will have ended by then
	for _, ranked := range b.candidates(req.slot) {
		if len(fallbacks) < limit && b.warmth(ranked.member) >= 1 && b.usable(req, ranked.member) && b.hasCapacity(ranked.member) {
			fallbacks = append(fallbacks, ranked.member.entry.ID)
		}
	}
	req.outstanding = outstanding
	return fallbacks
}

// FallbackUsed records that the client moved its outstanding attempt from a member that failed to one of
// the Fallbacks. This counts as one more attempt.
func (b *Balancer) FallbackUsed(now time.Duration, id RequestID, from, to MemberID) {
	b.advance(now)
	req := b.requests[id]
	if req == nil || req.outstanding == 0 {
		return
	}
	if member := b.members[from]; member != nil {
		b.recordOutcome(member, Outcome{Status: StatusUnknown}, false)
	}
	req.uncountedAttempts-- // the client's attempt is counted, but is not in attempts
	if member := b.members[to]; member != nil {
		member.outstanding++
		req.triedCaches = append(req.triedCaches, member)
	}
}

// handleMiss sends a read to the origin after a cache miss, or lets it wait if the key is already being
// fetched.
func (b *Balancer) handleMiss(req *pendingRequest, member *memberState, note int) {
	if member != nil && req.missedCache == nil {
		req.missedCache = member
	}
	waiters, fetching := b.fetchWaiters[req.Key]
	if req.waitedAfterMiss || req.Key == 0 || req.sentAttempts()+2 > req.maxAttempts || !fetching && note != NoteFetched {
		b.enqueueForOrigin(req)
		return
	}
	req.waitedAfterMiss, req.triedCaches = true, nil
	wait := (req.softDeadline - b.now) / 2
	if fetching {
		b.fetchWaiters[req.Key] = append(waiters, req)
	} else if origin := b.originFor(req); origin != nil { // another proxy is fetching the key
		wait = min(wait, seconds(max(origin.latency, 0.02)))
	}
	b.waitForFetch(req, wait)
}

// fetchEnded routes the requests that waited for a fetch: after a success they read the cache, otherwise
// the first of them fetches the value itself.
func (b *Balancer) fetchEnded(req *pendingRequest, ok bool) {
	waiters := b.fetchWaiters[req.Key]
	delete(b.fetchWaiters, req.Key)
	req.ownsFetch = false
	for _, waiter := range waiters {
		if waiter.answered || !waiter.waiting || waiter.outstanding != 0 {
			continue
		}
		waiter.waiting, waiter.waitedForFetch = false, false
		if ok && req.missedCache != nil {
			waiter.missedCache = req.missedCache
		}
		b.route(waiter)
	}
}

// retryAfterFailure makes a further attempt after a failure if the rules, the remaining time and the retry
// budget allow it.
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
	// with one attempt left the origin is used, since other caches lack the key
	req.toOrigin = fromOrigin || b.settings.Mode == CacheAside && req.sentAttempts()+1 >= req.maxAttempts &&
		!b.hotTable[req.Key].isSplit()
	if !req.toOrigin && (status == StatusReset || status == StatusCancelled) && len(req.triedCaches) == 1 &&
		!req.retriedAfterReset && b.now < req.arrivedAt+(req.softDeadline-req.arrivedAt)/4 {
		// The connection broke early; the member, which has the key, may well be available, so it is tried
		// again. Only once: a member that allows few connections breaks all new ones and would use up the
		// attempts of the read. Not late: the read has then probably waited behind requests that the
		// member does not answer.
		req.triedCaches, req.retriedAfterReset = req.triedCaches[:0], status == StatusReset
	}
	req.missedCache = nil
	b.sendNextAttempt(req)
}

// sendNextAttempt makes the next attempt of a request once no earlier attempt can still reach a member
// after it.
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

// recordOutcome updates the statistics of a member with the end of an attempt.
func (b *Balancer) recordOutcome(member *memberState, outcome Outcome, fromOrigin bool) {
	member.outstanding = max(0, member.outstanding-1)
	failure := 1.0
	switch outcome.Status {
	case StatusCancelled, StatusMoot, StatusRejected, StatusNoConn:
		return
	case StatusFull:
		if fromOrigin {
			b.cutLimit(member, 0.7)
		} else {
			// independent of outstanding attempts: a proxy that sends rarely does not cause the overload
			member.limit = max(min(1, member.limit), 0.7*member.limit)
		}
		return
	case StatusOK, StatusMiss:
		// The zone answers again after an outage, during which caches of other zones answered: its caches
		// may have restarted.
		if zone := member.zone; !fromOrigin && zone.timeoutStreak >= 2*silentZoneTimeouts &&
			b.now-zone.firstTimeoutAt >= zoneOutageTime && b.lastAnswerAt > zone.firstTimeoutAt {
			zone.coldSince = b.now
		}
		failure, member.failureStreak, member.zone.timeoutStreak = 0, 0, 0
		member.answeredSentAt = max(member.answeredSentAt, b.now-outcome.Elapsed)
		if member.lastAnswerAt > 0 {
			member.answerInterval += (min(member.latency, (b.now-member.lastAnswerAt).Seconds()) - member.answerInterval) *
				max(0.05, 1/float64(member.samples))
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
			// the timeout was too short to say anything; a member may drop such an attempt silently
			return
		}
		// A member that answered an attempt sent in the second half of the wait is neither overloaded nor
		// gone: this attempt's connection became silent, or its work took long. Counting the wait as
		// latency would cut the limit of a healthy member. Overload of a member that serves attempts in
		// order is still detected; overload of one that serves the newest first would be missed.
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
	// Ejection requires two consecutive failures, or four after a broken answer or connection, which may
	// be the fault of the connection rather than of the member: the member is up if the next connection
	// can be opened. The load of an ejected member goes to others that lack its keys. The failure rate is
	// compared with that of the fleet: when all members fail alike, ejection does not help.
	minStreak := 2.0
	if outcome.Status == StatusReset || outcome.Status == StatusError {
		minStreak = 4
	}
	// Where attempts fail everywhere, short streaks occur by chance, and the kinds of failure are mixed.
	// The required streak is therefore the one that the fleet's failure rate produces only once in
	// ejectionOdds attempts.
	minStreak = max(minStreak, min(maxFailureStreak, math.Log(ejectionOdds)/-math.Log(max(1e-9, min(0.9, b.failureRate)))))
	if failure > 0 && !fromOrigin && float64(member.failureStreak) >= minStreak && member.failureRate > 2*b.failureRate {
		duration := 250 * time.Millisecond << min(member.failureStreak, 5)
		member.ejectedUntil = b.now + duration/2 + b.jitter(duration)
	}
}

// recordFastestAnswer updates the shortest time that recent answers took.
func (member *memberState) recordFastestAnswer(outcome Outcome) {
	if elapsed := outcome.Elapsed.Seconds(); !outcome.FirstOnConnection {
		member.fastestAnswer = min(elapsed, cmp.Or(member.fastestAnswer*minLatencyGrowth, elapsed))
	}
}

// adaptLimit adjusts a member's concurrency limit so that answers arrive within fetchTarget. Otherwise
// members with deep queues hold work whose clients have given up, and stay overloaded long after a burst.
//
// A handshake is not load: the wait for it neither reduces nor raises the limit. Otherwise members in
// other zones would look overloaded where connections are short-lived. It could do harm at a member whose
// every connection is new: only StatusFull holds its limit down.
func (b *Balancer) adaptLimit(member *memberState, elapsed float64, firstOnConnection bool) {
	member.samples++
	member.latency += (elapsed - member.latency) * max(0.1, 1/float64(member.samples))
	member.peakOutstanding = max(float64(member.outstanding), member.peakOutstanding*0.95)
	member.minLatency = min(member.latency, cmp.Or(member.minLatency*minLatencyGrowth, member.latency))
	// sending less does not make a distant member faster
	slowThreshold := max(b.fetchTarget, min(2*member.minLatency, 1.25*b.fetchTarget))
	switch {
	case firstOnConnection && elapsed > slowThreshold:
	// an answer in time never cuts the limit, however slow earlier ones were
	case member.latency > slowThreshold && elapsed > slowThreshold:
		b.cutLimit(member, 0.8)
	case float64(member.outstanding+1) < member.limit-1: // the limit is not what restricts the member
	case member.limitCutAt == 0:
		member.limit++
	default:
		member.limit += min(1/member.limit, member.limit/2)
	}
}

// cutLimit reduces a limit, based on the recent number of outstanding attempts: a proxy that sends rarely
// has less than one attempt outstanding on average, and a limit above that would have no effect. The
// current number is not enough: a burst is over when its slow answers arrive.
func (b *Balancer) cutLimit(member *memberState, factor float64) {
	if b.now-member.limitCutAt >= seconds(max(0.05, member.latency)) { // at most once per round trip
		used := max(float64(member.outstanding), member.peakOutstanding-2) + min(1, member.latency/max(0.001, member.sendInterval))
		if used < 1 { // this proxy gets few samples of the member
			factor *= factor
		}
		// All proxies together may keep half an attempt outstanding; otherwise one slow answer to a proxy
		// that sends rarely would stop its use of the member.
		minLimit := max(0.01, 0.5/float64(b.settings.Instances))
		member.limitCutAt, member.limit = b.now, max(minLimit, min(member.limit, used)*factor)
	}
}

// throttled decides at random whether to refuse a read immediately. This is adaptive throttling, which
// keeps the attempts at caches below a multiple of their answers. It ends overload that no single member's
// limit detects at a proxy that sends to each member only occasionally. Outstanding attempts do not count
// while the caches answer, nor before they can have answered: otherwise a sudden burst would be refused
// before its first answers.
func (b *Balancer) throttled() bool {
	decay := math.Exp(-(b.now - b.recentCountsAt).Seconds() / throttleWindow.Seconds())
	b.recentAttempts, b.recentAnswers, b.recentCountsAt = b.recentAttempts*decay+1, b.recentAnswers*decay, b.now
	unanswered, answerTime := float64(b.outstandingAtCaches), seconds(max(0.02, 3*b.meanLatency))
	// not all reads since then can have been answered
	if elapsed := b.now - b.currentReadsSince; elapsed > answerTime {
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

// hasCapacity reports whether a member's concurrency limit allows another attempt. A limit below one is
// enforced by spacing attempts: many proxies with a single attempt each could be too much together.
func (b *Balancer) hasCapacity(member *memberState) bool {
	if member.limit >= 1 {
		// A limit grows with answers, which is too late for a sudden burst. A burst is allowed where the
		// member has not rejected work and is so fast that it could process all outstanding attempts
		// within burstTargetShare of fetchTarget, either serially or at its recent answer rate.
		return member.outstanding < int(member.limit) || member.limit >= initialLimit && member.samples >= initialLimit &&
			cmp.Or(min(member.latency, member.answerInterval), member.latency)*float64(member.outstanding+1) < b.fetchTarget*burstTargetShare
	}
	return member.outstanding == 0 && b.now-member.lastSentAt >= seconds(member.latency*(1/member.limit-1))
}

// enqueueForOrigin adds a request to the origin queue: writes first, then by descending priority.
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

// dispatchOriginQueue sends the queued requests that the origin has capacity for, and ends those that
// can't meet their soft deadline any more.
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

// fetchTimeout returns the timeout of a fetch: the time to its soft deadline, or several times the recent
// latency of fetches if that is longer. Otherwise a fetch on a silent connection would occupy the origin's
// concurrency limit until its client gives up. A write has no timeout, since it could not be repeated.
func (b *Balancer) fetchTimeout(req *pendingRequest, member *memberState) time.Duration {
	if req.Write {
		return 0
	}
	return max(req.softDeadline-b.now, seconds(4*member.latency), time.Millisecond)
}

// originAvailable reports whether another fetch would be sent at once and answered in good time.
func (b *Balancer) originAvailable(req *pendingRequest) bool {
	member := b.originFor(req)
	return member != nil && len(b.originQueue) == 0 && b.hasCapacity(member) && member.latency < b.fetchTarget/2
}

// originFor returns an origin that the request may be sent to, or any origin if there is none; nil without
// origins.
func (b *Balancer) originFor(req *pendingRequest) *memberState {
	var member *memberState
	for i := len(b.origins); i > 0 && (member == nil || !b.maySend(req, member)); i-- {
		member = b.origins[(req.slot+i)%len(b.origins)]
	}
	return member
}
