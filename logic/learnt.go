package logic

import (
	"math"
	"slices"
	"time"
)

// LearnedState is what a Balancer has learnt of its members and of what is asked, for the process that takes its place. Nothing in it is of
// a request, a drain or a cold budget: those hold for the process that has them, and the list tells drains anew. What of it is still
// true after how long is not decided here; Inherit takes what it is given, as far as it fits the members that there are now.
type LearnedState struct {
	Keys []LearnedKey `json:"Keys"`
	// counts of all keys, and what of them is of earlier windows
	Total        float64         `json:"Total"`
	EarlierTotal float64         `json:"Kept"`
	Members      []LearnedMember `json:"Members"`
	// the caches' mean: seconds, and a share
	Latency     float64 `json:"Latency"`
	FailureRate float64 `json:"Fails"`
	Arrivals    float64 `json:"Arrivals"`
	// what the caches did, in answers, over so many seconds
	ServedWork  float64 `json:"Carried"`
	SpanSeconds float64 `json:"Span"`
	// attempts at caches, lately, and their answers
	RecentAttempts float64 `json:"Asked"`
	RecentAnswers  float64 `json:"Answered"`
}

// LearnedKey is a key that is asked for often.
type LearnedKey struct {
	Key     uint64     `json:"Key"`
	Count   float64    `json:"Count"`
	Err     float64    `json:"Err"`
	Members []MemberID `json:"At"` // where it is placed, if it is hot
}

// LearnedMember is what is known of a member since it started.
type LearnedMember struct {
	ID             MemberID      `json:"ID"`
	StartedAt      time.Duration `json:"StartedAt"`
	Limit          float64       `json:"Limit"`
	Latency        float64       `json:"Latency"`
	SendInterval   float64       `json:"Gap"`
	AnswerInterval float64       `json:"Pace"`
	Samples        int           `json:"Seen"`
	LimitCut       bool          `json:"Cut"`    // its limit has been cut, and is no guess
	FailureRate    float64       `json:"Fails"`  // share of attempts that failed
	FailureStreak  int           `json:"Streak"` // of failures
	EjectedFor     time.Duration `json:"Out"`    // ejected for so long yet
}

// learntKeys bounds the keys that are handed on: the hot set, and as many that may enter it.
const learntKeys = 2 * maxHot

// ExportState tells what has been learnt until now.
func (b *Balancer) ExportState(now time.Duration) LearnedState {
	b.advance(now)
	l := LearnedState{Total: b.counts.total, EarlierTotal: b.kept, Latency: b.latency, FailureRate: b.fails, Arrivals: b.arrivals,
		ServedWork: b.carried, SpanSeconds: b.span + (b.now - b.closeAt).Seconds(), RecentAttempts: b.asked, RecentAnswers: b.answered}
	for _, it := range b.counts.hottest(1, learntKeys) {
		k := LearnedKey{Key: it.key, Count: it.count, Err: it.err}
		if p := b.hot[it.key]; p != nil {
			for _, n := range p.nodes {
				k.Members = append(k.Members, n.m.ID)
			}
		}
		l.Keys = append(l.Keys, k)
	}
	for _, n := range append(slices.Clone(b.caches), b.origins...) {
		if n.seen > 0 || n.streak > 0 {
			l.Members = append(l.Members, LearnedMember{ID: n.m.ID, StartedAt: n.m.StartedAt, Limit: n.limit, Latency: n.latency,
				SendInterval: n.gap, AnswerInterval: n.pace, Samples: n.seen, LimitCut: n.cutAt > 0, FailureRate: n.fails, FailureStreak: n.streak, EjectedFor: max(0, n.outUntil-b.now)})
		}
	}
	return l
}

// ImportState takes over what another process has learnt, before the first request. Of members that the list does not name as ready, or
// that have started anew since, nothing is taken; what is no figure is left out. It tells of how many members something was taken.
func (b *Balancer) ImportState(now time.Duration, l LearnedState) (members int) {
	b.advance(now)
	for _, m := range l.Members {
		n := b.nodes[m.ID]
		if n == nil || n.m.State != Ready || n.m.StartedAt != m.StartedAt || n.seen > 0 || m.Samples < 1 ||
			!figures(m.Limit, m.Latency, m.SendInterval, m.AnswerInterval, m.FailureRate) || m.Limit <= 0 || m.FailureRate > 1 {
			continue
		}
		n.limit, n.latency, n.gap, n.pace = min(m.Limit, float64(b.s.Instances)*1e4), m.Latency, m.SendInterval, m.AnswerInterval
		n.seen, n.fails, n.streak = m.Samples, m.FailureRate, min(max(0, m.FailureStreak), maxStreak)
		if m.LimitCut {
			n.cutAt = max(1, b.now-time.Second)
		}
		if m.EjectedFor > 0 { // no longer than an ejection ever lasts
			n.outUntil = b.now + min(m.EjectedFor, 12*time.Second)
		}
		members++
	}
	if figures(l.Latency, l.FailureRate, l.Arrivals, l.ServedWork, l.SpanSeconds, l.RecentAttempts, l.RecentAnswers) && l.FailureRate <= 1 && members > 0 {
		b.latency, b.fails = l.Latency, l.FailureRate
		b.arrivals, b.carried, b.span = l.Arrivals, l.ServedWork, l.SpanSeconds
		b.asked, b.answered, b.askedAt, b.heardAt = l.RecentAttempts, l.RecentAnswers, b.now, b.now
	}
	if figures(l.Total, l.EarlierTotal) && b.counts.total == 0 && len(b.caches) > 0 {
		b.inheritKeys(l)
	}
	return members
}

// inheritKeys takes over the counts, and places the hot keys where they were, as far as those caches may have them now.
func (b *Balancer) inheritKeys(l LearnedState) {
	sum := 0.0
	for _, k := range l.Keys[:min(len(l.Keys), counterSize)] {
		if _, twice := b.counts.at[k.Key]; twice || k.Key == 0 || !figures(k.Count, k.Err) || k.Err > k.Count || k.Count < 1 {
			continue
		}
		b.counts.put(counted{key: k.Key, count: k.Count, err: k.Err})
		sum += k.Count - k.Err
		p := &placed{}
		for _, id := range k.Members[:min(len(k.Members), orderDepth)] {
			if n := b.nodes[id]; n != nil && n.m.State == Ready && !b.isOrigin(n.m) && b.owns(n, slotOf(k.Key)) {
				p.nodes = append(p.nodes, n)
			}
		}
		if len(p.nodes) > 0 {
			b.hot[k.Key] = p
		}
	}
	b.counts.total = max(l.Total, sum)
	b.kept = min(l.EarlierTotal, b.counts.total)
	b.place()
}

// figures tells whether all are numbers that a Balancer could have: finite, and not negative.
func figures(all ...float64) bool {
	return !slices.ContainsFunc(all, func(f float64) bool { return !(f >= 0) || math.IsInf(f, 0) })
}

// InitialLimit is the limit of a member that nothing is known of.
const InitialLimit = startLimit
