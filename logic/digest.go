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
	id := func(n *node) MemberID {
		if n == nil {
			return 0
		}
		return n.m.ID
	}
	random, _ := b.pcg.MarshalBinary() // it knows no error
	fmt.Fprintln(h, b.now, b.closeAt, b.period, b.warm, b.warmAt, b.allCold, b.peak, b.kept, b.arrivals, b.span, b.carried, b.tenants,
		b.pumpAt, b.target, b.latency, b.fails, b.retries, b.asked, b.answered, b.askedAt, b.heardAt, b.out, b.watches, b.refusing,
		b.refusedAt, random, b.counts.total, b.kindSize, b.zones, b.trials)
	for _, k := range slices.Sorted(maps.Keys(b.nodes)) {
		n := b.nodes[k]
		fmt.Fprintln(h, n.limiter, n.m, n.weight, n.streak, n.fails, n.outUntil, n.tokens, n.tokensAt, n.hotLoad, n.hotKeys, n.hits, n.misses, n.since)
	}
	for _, k := range slices.Sorted(maps.Keys(b.flights)) {
		f := b.flights[k]
		fmt.Fprintln(h, f.Request, f.askedAt, f.aim, f.value, f.slot, f.attempts, f.tries, f.unsent, f.out, f.fetch, f.ran, f.ranAt, id(f.ranOn),
			id(f.missAt), f.waiting, f.queued, f.joined, f.leased, f.owner, f.broke, f.stream, f.done)
		for _, n := range f.tried {
			fmt.Fprint(h, n.m.ID, ",")
		}
	}
	for _, f := range b.queue {
		fmt.Fprint(h, f.ID, " ")
	}
	for _, k := range slices.Sorted(maps.Keys(b.fetching)) {
		fmt.Fprint(h, k, ":")
		for _, f := range b.fetching[k] {
			fmt.Fprint(h, f.ID, f.waiting, " ")
		}
	}
	items := slices.Clone(b.counts.items)
	slices.SortFunc(items, func(x, y counted) int { return cmp.Compare(x.key, y.key) })
	fmt.Fprintln(h, items)
	for _, k := range slices.Sorted(maps.Keys(b.hot)) {
		fmt.Fprint(h, k, b.hot[k].next)
		for _, n := range b.hot[k].nodes {
			fmt.Fprint(h, n.m.ID, ",")
		}
	}
	return [16]byte(h.Sum(nil))
}

// Outstanding is how many requests the Balancer knows, those that are answered and have attempts out included.
func (b *Balancer) Outstanding() int { return len(b.flights) }
