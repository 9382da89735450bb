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
	state := LearnedState{Total: b.keyCounts.total, EarlierTotal: b.earlierTotal, Latency: b.meanLatency, FailureRate: b.failureRate, Arrivals: b.arrivals,
		ServedWork: b.servedWork, SpanSeconds: b.spanSeconds + (b.now - b.windowStart).Seconds(), RecentAttempts: b.recentAttempts, RecentAnswers: b.recentAnswers}
	for _, counted := range b.keyCounts.hottest(1, maxExportedKeys) {
		key := LearnedKey{Key: counted.key, Count: counted.count, Err: counted.maxError}
		if placed := b.hotTable[counted.key]; placed != nil {
			for _, member := range placed.members {
				key.Members = append(key.Members, member.entry.ID)
			}
		}
		state.Keys = append(state.Keys, key)
	}
	for _, member := range append(slices.Clone(b.caches), b.origins...) {
		if member.samples > 0 || member.failureStreak > 0 {
			state.Members = append(state.Members, LearnedMember{ID: member.entry.ID, StartedAt: member.entry.StartedAt, Limit: member.limit, Latency: member.latency,
				SendInterval: member.sendInterval, AnswerInterval: member.answerInterval, Samples: member.samples, LimitCut: member.limitCutAt > 0, FailureRate: member.failureRate, FailureStreak: member.failureStreak, EjectedFor: max(0, member.ejectedUntil-b.now)})
		}
	}
	return state
}

// ImportState takes over what another process has learnt, before the first request. Of members that the list does not name as ready, or
// that have started anew since, nothing is taken; what is no figure is left out. It tells of how many members something was taken.
func (b *Balancer) ImportState(now time.Duration, state LearnedState) (members int) {
	b.advance(now)
	for _, learned := range state.Members {
		member := b.members[learned.ID]
		if member == nil || member.entry.State != Ready || member.entry.StartedAt != learned.StartedAt || member.samples > 0 || learned.Samples < 1 ||
			!validNumbers(learned.Limit, learned.Latency, learned.SendInterval, learned.AnswerInterval, learned.FailureRate) || learned.Limit <= 0 || learned.FailureRate > 1 {
			continue
		}
		member.limit, member.latency, member.sendInterval, member.answerInterval = min(learned.Limit, float64(b.settings.Instances)*1e4), learned.Latency, learned.SendInterval, learned.AnswerInterval
		member.samples, member.failureRate, member.failureStreak = learned.Samples, learned.FailureRate, min(max(0, learned.FailureStreak), maxFailureStreak)
		if learned.LimitCut {
			member.limitCutAt = max(1, b.now-time.Second)
		}
		if learned.EjectedFor > 0 { // no longer than an ejection ever lasts
			member.ejectedUntil = b.now + min(learned.EjectedFor, 12*time.Second)
		}
		members++
	}
	if validNumbers(state.Latency, state.FailureRate, state.Arrivals, state.ServedWork, state.SpanSeconds, state.RecentAttempts, state.RecentAnswers) && state.FailureRate <= 1 && members > 0 {
		b.meanLatency, b.failureRate = state.Latency, state.FailureRate
		b.arrivals, b.servedWork, b.spanSeconds = state.Arrivals, state.ServedWork, state.SpanSeconds
		b.recentAttempts, b.recentAnswers, b.recentCountsAt, b.lastAnswerAt = state.RecentAttempts, state.RecentAnswers, b.now, b.now
	}
	if validNumbers(state.Total, state.EarlierTotal) && b.keyCounts.total == 0 && len(b.caches) > 0 {
		b.importKeys(state)
	}
	return members
}

// importKeys takes over the counts, and places the hot keys where they were, as far as those caches may have them now.
func (b *Balancer) importKeys(state LearnedState) {
	sum := 0.0
	for _, key := range state.Keys[:min(len(state.Keys), counterCapacity)] {
		if _, known := b.keyCounts.index[key.Key]; known || key.Key == 0 || !validNumbers(key.Count, key.Err) || key.Err > key.Count || key.Count < 1 {
			continue
		}
		b.keyCounts.insert(keyCount{key: key.Key, count: key.Count, maxError: key.Err})
		sum += key.Count - key.Err
		placed := &placement{}
		for _, id := range key.Members[:min(len(key.Members), candidateDepth)] {
			if member := b.members[id]; member != nil && member.entry.State == Ready && !b.isOrigin(member.entry) && b.ownsSlot(member, slotOf(key.Key)) {
				placed.members = append(placed.members, member)
			}
		}
		if len(placed.members) > 0 {
			b.hotTable[key.Key] = placed
		}
	}
	b.keyCounts.total = max(state.Total, sum)
	b.earlierTotal = min(state.EarlierTotal, b.keyCounts.total)
	b.placeHotKeys()
}

// validNumbers tells whether all are numbers that a Balancer could have: finite, and not negative.
func validNumbers(values ...float64) bool {
	return !slices.ContainsFunc(values, func(f float64) bool { return !(f >= 0) || math.IsInf(f, 0) })
}

// InitialLimit is the limit of a member that nothing is known of.
const InitialLimit = initialLimit
