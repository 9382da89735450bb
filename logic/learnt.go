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

// maxExportedKeys bounds the keys that are handed on: the hot set, and as many that may enter it.
const maxExportedKeys = 2 * maxHotKeys

// ExportState tells what has been learnt until now.
func (b *Balancer) ExportState(now time.Duration) LearnedState {
	b.advance(now)
	l := LearnedState{Total: b.keyCounts.total, EarlierTotal: b.earlierTotal, Latency: b.meanLatency, FailureRate: b.failureRate, Arrivals: b.arrivals,
		ServedWork: b.servedWork, SpanSeconds: b.spanSeconds + (b.now - b.windowStart).Seconds(), RecentAttempts: b.recentAttempts, RecentAnswers: b.recentAnswers}
	for _, it := range b.keyCounts.hottest(1, maxExportedKeys) {
		k := LearnedKey{Key: it.key, Count: it.count, Err: it.maxError}
		if p := b.hotTable[it.key]; p != nil {
			for _, n := range p.members {
				k.Members = append(k.Members, n.entry.ID)
			}
		}
		l.Keys = append(l.Keys, k)
	}
	for _, n := range append(slices.Clone(b.caches), b.origins...) {
		if n.samples > 0 || n.failureStreak > 0 {
			l.Members = append(l.Members, LearnedMember{ID: n.entry.ID, StartedAt: n.entry.StartedAt, Limit: n.limit, Latency: n.latency,
				SendInterval: n.sendInterval, AnswerInterval: n.answerInterval, Samples: n.samples, LimitCut: n.limitCutAt > 0, FailureRate: n.failureRate, FailureStreak: n.failureStreak, EjectedFor: max(0, n.ejectedUntil-b.now)})
		}
	}
	return l
}

// ImportState takes over what another process has learnt, before the first request. Of members that the list does not name as ready, or
// that have started anew since, nothing is taken; what is no figure is left out. It tells of how many members something was taken.
func (b *Balancer) ImportState(now time.Duration, l LearnedState) (members int) {
	b.advance(now)
	for _, m := range l.Members {
		n := b.members[m.ID]
		if n == nil || n.entry.State != Ready || n.entry.StartedAt != m.StartedAt || n.samples > 0 || m.Samples < 1 ||
			!validNumbers(m.Limit, m.Latency, m.SendInterval, m.AnswerInterval, m.FailureRate) || m.Limit <= 0 || m.FailureRate > 1 {
			continue
		}
		n.limit, n.latency, n.sendInterval, n.answerInterval = min(m.Limit, float64(b.settings.Instances)*1e4), m.Latency, m.SendInterval, m.AnswerInterval
		n.samples, n.failureRate, n.failureStreak = m.Samples, m.FailureRate, min(max(0, m.FailureStreak), maxFailureStreak)
		if m.LimitCut {
			n.limitCutAt = max(1, b.now-time.Second)
		}
		if m.EjectedFor > 0 { // no longer than an ejection ever lasts
			n.ejectedUntil = b.now + min(m.EjectedFor, 12*time.Second)
		}
		members++
	}
	if validNumbers(l.Latency, l.FailureRate, l.Arrivals, l.ServedWork, l.SpanSeconds, l.RecentAttempts, l.RecentAnswers) && l.FailureRate <= 1 && members > 0 {
		b.meanLatency, b.failureRate = l.Latency, l.FailureRate
		b.arrivals, b.servedWork, b.spanSeconds = l.Arrivals, l.ServedWork, l.SpanSeconds
		b.recentAttempts, b.recentAnswers, b.recentCountsAt, b.lastAnswerAt = l.RecentAttempts, l.RecentAnswers, b.now, b.now
	}
	if validNumbers(l.Total, l.EarlierTotal) && b.keyCounts.total == 0 && len(b.caches) > 0 {
		b.importKeys(l)
	}
	return members
}

// importKeys takes over the counts, and places the hot keys where they were, as far as those caches may have them now.
func (b *Balancer) importKeys(l LearnedState) {
	sum := 0.0
	for _, k := range l.Keys[:min(len(l.Keys), counterCapacity)] {
		if _, twice := b.keyCounts.index[k.Key]; twice || k.Key == 0 || !validNumbers(k.Count, k.Err) || k.Err > k.Count || k.Count < 1 {
			continue
		}
		b.keyCounts.insert(keyCount{key: k.Key, count: k.Count, maxError: k.Err})
		sum += k.Count - k.Err
		p := &placement{}
		for _, id := range k.Members[:min(len(k.Members), candidateDepth)] {
			if n := b.members[id]; n != nil && n.entry.State == Ready && !b.isOrigin(n.entry) && b.ownsSlot(n, slotOf(k.Key)) {
				p.members = append(p.members, n)
			}
		}
		if len(p.members) > 0 {
			b.hotTable[k.Key] = p
		}
	}
	b.keyCounts.total = max(l.Total, sum)
	b.earlierTotal = min(l.EarlierTotal, b.keyCounts.total)
	b.placeHotKeys()
}

// validNumbers tells whether all are numbers that a Balancer could have: finite, and not negative.
func validNumbers(all ...float64) bool {
	return !slices.ContainsFunc(all, func(f float64) bool { return !(f >= 0) || math.IsInf(f, 0) })
}

// InitialLimit is the limit of a member that nothing is known of.
const InitialLimit = initialLimit
