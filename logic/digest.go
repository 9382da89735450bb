package logic

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
)

// StateDigest returns a hash of all state that further decisions depend on: two Balancers with the same
// digest and settings behave identically from then on. It is for checkers that explore the state space
// (internal/explore), and costs far more than an event.
func (b *Balancer) StateDigest() [16]byte {
	h := fnv.New128a()
	id := func(member *memberState) MemberID {
		if member == nil {
			return 0
		}
		return member.entry.ID
	}
	random, _ := b.randomSource.MarshalBinary() // never returns an error
	fmt.Fprintln(h, b.now, b.windowStart, b.windowLength, b.cachedWarmWeight, b.cachedWarmWeightAt, b.mostlyCold,
		b.peakWeight, b.earlierTotal, b.arrivals, b.spanSeconds, b.servedWork, b.tenantRequests,
		b.originQueueTimerAt, b.fetchTarget, b.meanLatency, b.failureRate, b.retryTokens,
		b.recentAttempts, b.recentAnswers, b.recentCountsAt, b.lastAnswerAt, b.outstandingAtCaches, b.listFailures,
		b.refusingSince,
		b.lastRefusalAt, random, b.keyCounts.total, b.kindWeight, b.zones, b.zonesOnTrial)
	for _, k := range slices.Sorted(maps.Keys(b.members)) {
		member := b.members[k]
		fmt.Fprintln(h, member.limiter, member.entry, member.weight, member.failureStreak, member.failureRate, member.ejectedUntil,
			member.coldTokens, member.coldTokensAt, member.hotLoad, member.hotKeys, member.hits, member.missStreak, member.coldSince)
	}
	for _, k := range slices.Sorted(maps.Keys(b.requests)) {
		req := b.requests[k]
		fmt.Fprintln(h, req.Request, req.arrivedAt, req.softDeadline, req.priority, req.slot, req.attempts, req.maxAttempts, req.uncountedAttempts,
			req.outstanding,
			req.originAttempts, req.mayHaveRun, req.firstRunAt, req.firstRunMember.ID,
			id(req.missedCache), req.waiting, req.queued, req.waitedForFetch, req.waitedAfterMiss, req.ownsFetch,
			req.retriedAfterReset, req.streaming, req.answered)
		for _, n := range req.triedCaches {
			fmt.Fprint(h, n.entry.ID, ",")
		}
	}
	for _, req := range b.originQueue {
		fmt.Fprint(h, req.ID, " ")
	}
	for _, k := range slices.Sorted(maps.Keys(b.fetchWaiters)) {
		fmt.Fprint(h, k, ":")
		for _, req := range b.fetchWaiters[k] {
			fmt.Fprint(h, req.ID, req.waiting, " ")
		}
	}
	items := slices.Clone(b.keyCounts.items)
	slices.SortFunc(items, func(x, y keyCount) int { return cmp.Compare(x.key, y.key) })
	fmt.Fprintln(h, items)
	for _, k := range slices.Sorted(maps.Keys(b.hotTable)) {
		fmt.Fprint(h, k, b.hotTable[k].next)
		for _, member := range b.hotTable[k].members {
			fmt.Fprint(h, member.entry.ID, ",")
		}
	}
	return [16]byte(h.Sum(nil))
}

// Outstanding returns the number of requests that the Balancer keeps, including answered ones with
// outstanding attempts.
func (b *Balancer) Outstanding() int { return len(b.requests) }
