package logic

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
)

// StateDigest is a number of all that the Balancer's further decisions rest on: two with the same digest and settings act
// alike from here on. It is for checkers that explore its states (internal/explore), and costs far more than an event.
func (b *Balancer) StateDigest() [16]byte {
	h := fnv.New128a()
	id := func(n *memberState) MemberID {
		if n == nil {
			return 0
		}
		return n.entry.ID
	}
	random, _ := b.randomSource.MarshalBinary() // it knows no error
	fmt.Fprintln(h, b.now, b.windowStart, b.windowLength, b.cachedWarmWeight, b.cachedWarmWeightAt, b.mostlyCold, b.peakWeight, b.earlierTotal, b.arrivals, b.spanSeconds, b.servedWork, b.tenantRequests,
		b.originQueueTimerAt, b.fetchTarget, b.meanLatency, b.failureRate, b.retryTokens, b.recentAttempts, b.recentAnswers, b.recentCountsAt, b.lastAnswerAt, b.outstandingAtCaches, b.listFailures, b.refusingSince,
		b.lastRefusalAt, random, b.keyCounts.total, b.kindWeight, b.zones, b.zonesOnTrial)
	for _, k := range slices.Sorted(maps.Keys(b.members)) {
		n := b.members[k]
		fmt.Fprintln(h, n.limiter, n.entry, n.weight, n.failureStreak, n.failureRate, n.ejectedUntil, n.coldTokens, n.coldTokensAt, n.hotLoad, n.hotKeys, n.hits, n.missStreak, n.coldSince)
	}
	for _, k := range slices.Sorted(maps.Keys(b.requests)) {
		f := b.requests[k]
		fmt.Fprintln(h, f.Request, f.arrivedAt, f.softDeadline, f.priority, f.slot, f.attempts, f.maxAttempts, f.unsent, f.outstanding, f.originAttempts, f.mayHaveRun, f.firstRunAt, id(f.firstRunMember),
			id(f.missedCache), f.waiting, f.queued, f.coalesced, f.coalescedAfterMiss, f.ownsFetch, f.retriedAfterReset, f.streaming, f.answered)
		for _, n := range f.triedCaches {
			fmt.Fprint(h, n.entry.ID, ",")
		}
	}
	for _, f := range b.originQueue {
		fmt.Fprint(h, f.ID, " ")
	}
	for _, k := range slices.Sorted(maps.Keys(b.fetchWaiters)) {
		fmt.Fprint(h, k, ":")
		for _, f := range b.fetchWaiters[k] {
			fmt.Fprint(h, f.ID, f.waiting, " ")
		}
	}
	items := slices.Clone(b.keyCounts.items)
	slices.SortFunc(items, func(x, y keyCount) int { return cmp.Compare(x.key, y.key) })
	fmt.Fprintln(h, items)
	for _, k := range slices.Sorted(maps.Keys(b.hotTable)) {
		fmt.Fprint(h, k, b.hotTable[k].next)
		for _, n := range b.hotTable[k].members {
			fmt.Fprint(h, n.entry.ID, ",")
		}
	}
	return [16]byte(h.Sum(nil))
}

// Outstanding is how many requests the Balancer knows, those that are answered and have attempts out included.
func (b *Balancer) Outstanding() int { return len(b.requests) }
