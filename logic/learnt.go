package logic

import (
	"math"
	"slices"
	"time"
)

// LearnedState is what a Balancer has learned about its members and the requested keys, for the successor
// process. It contains no request, drain or cold budget: those belong to the process that has them, and
// the member list reports drains again. How long the values stay valid is not decided here: ImportState
// accepts what it is given, as far as it fits the current members.
type LearnedState struct {
	Keys []LearnedKey `json:"Keys"`
	// counts of all keys, and the part from earlier windows
	Total        float64         `json:"Total"`
	EarlierTotal float64         `json:"Kept"`
	Members      []LearnedMember `json:"Members"`
	// mean latency of the caches in seconds, and their share of failures
	Latency     float64 `json:"Latency"`
	FailureRate float64 `json:"Fails"`
	Arrivals    float64 `json:"Arrivals"`
	// work done by the caches (1 for each hit, 0.5 for each miss), and the seconds in which it was done
	ServedWork  float64 `json:"Carried"`
	SpanSeconds float64 `json:"Span"`
	// recent attempts at caches and their answers
	RecentAttempts float64 `json:"Asked"`
	RecentAnswers  float64 `json:"Answered"`
}

// LearnedKey is a frequently requested key. Count exceeds the true count by at most MaxError.
type LearnedKey struct {
	Key      uint64     `json:"Key"`
	Count    float64    `json:"Count"`
	MaxError float64    `json:"Err"`
	Members  []MemberID `json:"At"` // caches that it is placed on, if it is hot
}

// LearnedMember is what is known about a member since it started.
type LearnedMember struct {
	ID             MemberID      `json:"ID"`
	StartedAt      time.Duration `json:"StartedAt"`
	Limit          float64       `json:"Limit"`
	Latency        float64       `json:"Latency"`
	SendInterval   float64       `json:"Gap"`
	AnswerInterval float64       `json:"Pace"`
	Samples        int           `json:"Seen"`
	LimitCut       bool          `json:"Cut"`    // the limit has been cut, so it is not just an estimate
	FailureRate    float64       `json:"Fails"`  // share of failed attempts
	FailureStreak  int           `json:"Streak"` // consecutive failures
	EjectedFor     time.Duration `json:"Out"`    // remaining time of an ejection
}

// maxExportedKeys limits the exported keys: maxHotKeys hot keys, and the same number of keys that may become
// hot.
const maxExportedKeys = 2 * maxHotKeys

// ExportState returns what the Balancer has learned so far.
func (b *Balancer) ExportState(now time.Duration) LearnedState {
	b.advance(now)
	state := LearnedState{Total: b.keyCounts.total, EarlierTotal: b.earlierTotal, Latency: b.meanLatency,
		FailureRate: b.failureRate, Arrivals: b.arrivals, ServedWork: b.servedWork,
		SpanSeconds:    b.spanSeconds + (b.now - b.windowStart).Seconds(),
		RecentAttempts: b.recentAttempts, RecentAnswers: b.recentAnswers}
	for _, counted := range b.keyCounts.hottest(1, maxExportedKeys) {
		key := LearnedKey{Key: counted.key, Count: counted.count, MaxError: counted.maxError}
		if placed := b.hotTable[counted.key]; placed != nil {
			for _, member := range placed.members {
				key.Members = append(key.Members, member.entry.ID)
			}
		}
		state.Keys = append(state.Keys, key)
	}
	for _, member := range append(slices.Clone(b.caches), b.origins...) {
		if member.samples > 0 || member.failureStreak > 0 {
			state.Members = append(state.Members, LearnedMember{ID: member.entry.ID, StartedAt: member.entry.StartedAt, Limit: member.limit,
				Latency:      member.latency,
				SendInterval: member.sendInterval, AnswerInterval: member.answerInterval, Samples: member.samples, LimitCut: member.limitCutAt > 0,
				FailureRate: member.failureRate, FailureStreak: member.failureStreak, EjectedFor: max(0, member.ejectedUntil-b.now)})
		}
	}
	return state
}

// ImportState takes over the state learned by another process. It must be called before the first request.
// Members that are not ready in the list, or have restarted since, are skipped, as are invalid numbers. It
// returns the number of members whose state was taken over.
func (b *Balancer) ImportState(now time.Duration, state LearnedState) (members int) {
	b.advance(now)
	for _, learned := range state.Members {
		member := b.members[learned.ID]
		if member == nil || member.entry.State != Ready || member.entry.StartedAt != learned.StartedAt ||
			member.samples > 0 || learned.Samples < 1 ||
			!validNumbers(learned.Limit, learned.Latency, learned.SendInterval, learned.AnswerInterval, learned.FailureRate) ||
			learned.Limit <= 0 || learned.FailureRate > 1 {
			continue
		}
		member.limit, member.latency, member.sendInterval, member.answerInterval =
			min(learned.Limit, float64(b.settings.Instances)*1e4), learned.Latency,
			learned.SendInterval, learned.AnswerInterval
		member.samples, member.failureRate, member.failureStreak =
			learned.Samples, learned.FailureRate, min(max(0, learned.FailureStreak), maxFailureStreak)
		if learned.LimitCut {
			member.limitCutAt = max(1, b.now-time.Second)
		}
		if learned.EjectedFor > 0 { // limited to the longest possible ejection
			member.ejectedUntil = b.now + min(learned.EjectedFor, 12*time.Second)
		}
		members++
	}
	if validNumbers(state.Latency, state.FailureRate, state.Arrivals, state.ServedWork, state.SpanSeconds,
		state.RecentAttempts, state.RecentAnswers) && state.FailureRate <= 1 && members > 0 {
		b.meanLatency, b.failureRate = state.Latency, state.FailureRate
		b.arrivals, b.servedWork, b.spanSeconds = state.Arrivals, state.ServedWork, state.SpanSeconds
		b.recentAttempts, b.recentAnswers, b.recentCountsAt, b.lastAnswerAt = state.RecentAttempts, state.RecentAnswers, b.now, b.now
	}
	if validNumbers(state.Total, state.EarlierTotal) && b.keyCounts.total == 0 && len(b.caches) > 0 {
		b.importKeys(state)
	}
	return members
}

// importKeys takes over the counts, and places the hot keys on their previous caches where those own the
// slots now.
func (b *Balancer) importKeys(state LearnedState) {
	sum := 0.0
	for _, key := range state.Keys[:min(len(state.Keys), counterCapacity)] {
		if _, known := b.keyCounts.index[key.Key]; known || key.Key == 0 || !validNumbers(key.Count, key.MaxError) ||
			key.MaxError > key.Count || key.Count < 1 {
			continue
		}
		b.keyCounts.insert(keyCount{key: key.Key, count: key.Count, maxError: key.MaxError})
		sum += key.Count - key.MaxError
		placed := &placement{}
		for _, id := range key.Members[:min(len(key.Members), candidateDepth)] {
			if member := b.members[id]; member != nil && member.entry.State == Ready &&
				!b.isOrigin(member.entry) && b.ownsSlot(member, slotOf(key.Key)) {
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

// validNumbers reports whether all values are finite and not negative.
func validNumbers(values ...float64) bool {
	return !slices.ContainsFunc(values, func(f float64) bool { return !(f >= 0) || math.IsInf(f, 0) })
}

// InitialLimit is the concurrency limit of a member that nothing is known about.
const InitialLimit = initialLimit
