package logic

import (
	"math"
	"slices"
	"time"
)

// Learnt is what a Balancer has learnt of its members and of what is asked, for the process that takes its place. Nothing in it is of
// a request, a drain or a cold budget: those hold for the process that has them, and the list tells drains anew. What of it is still
// true after how long is not decided here; Inherit takes what it is given, as far as it fits the members that there are now.
type Learnt struct {
	Keys []LearntKey `json:"Keys"`
	// counts of all keys, and what of them is of earlier windows
	Total   float64        `json:"Total"`
	Kept    float64        `json:"Kept"`
	Members []LearntMember `json:"Members"`
	// the caches' mean: seconds, and a share
	Latency  float64 `json:"Latency"`
	Fails    float64 `json:"Fails"`
	Arrivals float64 `json:"Arrivals"`
	// what the caches did, in answers, over so many seconds
	Carried float64 `json:"Carried"`
	Span    float64 `json:"Span"`
	// attempts at caches, lately, and their answers
	Asked    float64 `json:"Asked"`
	Answered float64 `json:"Answered"`
}

// LearntKey is a key that is asked for often.
type LearntKey struct {
	Key   uint64     `json:"Key"`
	Count float64    `json:"Count"`
	Err   float64    `json:"Err"`
	At    []MemberID `json:"At"` // where it is placed, if it is hot
}

// LearntMember is what is known of a member since it started.
type LearntMember struct {
	ID        MemberID      `json:"ID"`
	StartedAt time.Duration `json:"StartedAt"`
	Limit     float64       `json:"Limit"`
	Latency   float64       `json:"Latency"`
	Gap       float64       `json:"Gap"`
	Pace      float64       `json:"Pace"`
	Seen      int           `json:"Seen"`
	Cut       bool          `json:"Cut"`    // its limit has been cut, and is no guess
	Fails     float64       `json:"Fails"`  // share of attempts that failed
	Streak    int           `json:"Streak"` // of failures
	Out       time.Duration `json:"Out"`    // ejected for so long yet
}

// learntKeys bounds the keys that are handed on: the hot set, and as many that may enter it.
const learntKeys = 2 * maxHot

// Learnt tells what has been learnt until now.
func (b *Balancer) Learnt(now time.Duration) Learnt {
	b.advance(now)
	l := Learnt{Total: b.counts.total, Kept: b.kept, Latency: b.latency, Fails: b.fails, Arrivals: b.arrivals,
		Carried: b.carried, Span: b.span + (b.now - b.closeAt).Seconds(), Asked: b.asked, Answered: b.answered}
	for _, it := range b.counts.hottest(1, learntKeys) {
		k := LearntKey{Key: it.key, Count: it.count, Err: it.err}
		if p := b.hot[it.key]; p != nil {
			for _, n := range p.nodes {
				k.At = append(k.At, n.m.ID)
			}
		}
		l.Keys = append(l.Keys, k)
	}
	for _, n := range append(slices.Clone(b.caches), b.origins...) {
		if n.seen > 0 || n.streak > 0 {
			l.Members = append(l.Members, LearntMember{ID: n.m.ID, StartedAt: n.m.StartedAt, Limit: n.limit, Latency: n.latency,
				Gap: n.gap, Pace: n.pace, Seen: n.seen, Cut: n.cutAt > 0, Fails: n.fails, Streak: n.streak, Out: max(0, n.outUntil-b.now)})
		}
	}
	return l
}

// Inherit takes over what another process has learnt, before the first request. Of members that the list does not name as ready, or
// that have started anew since, nothing is taken; what is no figure is left out. It tells of how many members something was taken.
func (b *Balancer) Inherit(now time.Duration, l Learnt) (members int) {
	b.advance(now)
	for _, m := range l.Members {
		n := b.nodes[m.ID]
		if n == nil || n.m.State != Ready || n.m.StartedAt != m.StartedAt || n.seen > 0 || m.Seen < 1 ||
			!figures(m.Limit, m.Latency, m.Gap, m.Pace, m.Fails) || m.Limit <= 0 || m.Fails > 1 {
			continue
		}
		n.limit, n.latency, n.gap, n.pace = min(m.Limit, float64(b.s.Instances)*1e4), m.Latency, m.Gap, m.Pace
		n.seen, n.fails, n.streak = m.Seen, m.Fails, min(max(0, m.Streak), maxStreak)
		if m.Cut {
			n.cutAt = max(1, b.now-time.Second)
		}
		if m.Out > 0 { // no longer than an ejection ever lasts
			n.outUntil = b.now + min(m.Out, 12*time.Second)
		}
		members++
	}
	if figures(l.Latency, l.Fails, l.Arrivals, l.Carried, l.Span, l.Asked, l.Answered) && l.Fails <= 1 && members > 0 {
		b.latency, b.fails = l.Latency, l.Fails
		b.arrivals, b.carried, b.span = l.Arrivals, l.Carried, l.Span
		b.asked, b.answered, b.askedAt, b.heardAt = l.Asked, l.Answered, b.now, b.now
	}
	if figures(l.Total, l.Kept) && b.counts.total == 0 && len(b.caches) > 0 {
		b.inheritKeys(l)
	}
	return members
}

// inheritKeys takes over the counts, and places the hot keys where they were, as far as those caches may have them now.
func (b *Balancer) inheritKeys(l Learnt) {
	sum := 0.0
	for _, k := range l.Keys[:min(len(l.Keys), counterSize)] {
		if _, twice := b.counts.at[k.Key]; twice || k.Key == 0 || !figures(k.Count, k.Err) || k.Err > k.Count || k.Count < 1 {
			continue
		}
		b.counts.put(counted{key: k.Key, count: k.Count, err: k.Err})
		sum += k.Count - k.Err
		p := &placed{}
		for _, id := range k.At[:min(len(k.At), orderDepth)] {
			if n := b.nodes[id]; n != nil && n.m.State == Ready && !b.isOrigin(n.m) && b.owns(n, slotOf(k.Key)) {
				p.nodes = append(p.nodes, n)
			}
		}
		if len(p.nodes) > 0 {
			b.hot[k.Key] = p
		}
	}
	b.counts.total = max(l.Total, sum)
	b.kept = min(l.Kept, b.counts.total)
	b.place()
}

// figures tells whether all are numbers that a Balancer could have: finite, and not negative.
func figures(all ...float64) bool {
	return !slices.ContainsFunc(all, func(f float64) bool { return !(f >= 0) || math.IsInf(f, 0) })
}

// StartLimit is the limit of a member that nothing is known of.
const StartLimit = startLimit
