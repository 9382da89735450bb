// Package inherit defines the state that a process of a proxy passes on to its successor: a snapshot of
// learned statistics, its stored format, and the rules by which its values decay with age. It uses no
// I/O, clock or goroutines. A snapshot never contains requests, orders, drains or cold-start budgets,
// which a successor must not adopt.
package inherit

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"hash/fnv"
	"math"
	"slices"
	"sync"
	"time"

	"linenloom/internal/pool"
	"linenloom/logic"
)

// Version is the version of the stored format. A snapshot of another version is rejected as a whole,
// because a value whose meaning has changed can't be distinguished from one that has not.
const Version = 1

const (
	// MaxBytes bounds a stored snapshot, when it is written and when it is read. It holds some 4,000
	// members.
	MaxBytes = 1 << 20
	// MaxAge is the maximum age of a snapshot. By then, key popularity, ejections and load have changed.
	MaxAge = time.Minute
	// minKnownShare is the share of a snapshot's members that the current list has to contain. Below it,
	// the snapshot is of another fleet, or of one that has been replaced.
	minKnownShare = 0.5

	magic       = "LLIN"
	headerBytes = len(magic) + 2 + 4 + 4 // version, length and CRC32C of the body, big-endian
)

// Half-lives of the difference between an inherited value and the default of a fresh process. Counts decay like
// the window in which they are halved. The latency and concurrency limit of a member stay valid for longer than an
// ejection.
const (
	countsHalfLife  = 4 * time.Second
	loadHalfLife    = 4 * time.Second
	membersHalfLife = 20 * time.Second
	failsHalfLife   = 2 * time.Second
	idleHalfLife    = 30 * time.Second
)

// Reasons for rejecting a snapshot.
var (
	ErrTruncated   = errors.New("snapshot is truncated")
	ErrNotSnapshot = errors.New("data is not a snapshot")
	ErrChecksum    = errors.New("snapshot has a wrong checksum")
	ErrVersion     = errors.New("snapshot has another version")
	ErrFleet       = errors.New("snapshot is of another fleet")
	ErrTooOld      = errors.New("snapshot is too old")
	ErrFuture      = errors.New("snapshot is from the future")
)

// Snapshot is the state that one process passes on to its successor. The JSON keys are part of the stored
// format.
type Snapshot struct {
	Fleet      uint64                       // result of FleetHash
	TakenMS    int64                        // Unix time
	Balancer   logic.LearnedState           `json:"Learnt"`
	Links      map[logic.MemberID]LinkState `json:"Members"`
	Idle       pool.IdleStats
	ReuseShare float64 `json:"Reuse"` // share of client connections that carry further requests
}

// LinkState is the connection state of a member: its address, by which a reused id is detected, and the
// statistics of its connections.
type LinkState struct {
	Addr string
	pool.ConnStats
}

// FleetHash returns a hash by which fleets and proxies are distinguished, of the given parts of the
// configuration.
func FleetHash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	return h.Sum64()
}

// castagnoli is built on first use, as most processes neither write nor read a snapshot.
var castagnoli = sync.OnceValue(func() *crc32.Table { return crc32.MakeTable(crc32.Castagnoli) })

// Encode returns the stored format of a snapshot. If it exceeds MaxBytes, the members with the fewest
// observations are left out.
func Encode(s Snapshot) ([]byte, error) {
	for {
		body, err := json.Marshal(s)
		if err != nil {
			return nil, fmt.Errorf("inherit: %w", err)
		}
		if headerBytes+len(body) <= MaxBytes {
			b := make([]byte, 0, headerBytes+len(body))
			b = binary.BigEndian.AppendUint16(append(b, magic...), Version)
			b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
			b = binary.BigEndian.AppendUint32(b, crc32.Checksum(body, castagnoli()))
			return append(b, body...), nil
		}
		n := len(s.Balancer.Members) / 2
		if n == 0 {
			return nil, fmt.Errorf("inherit: snapshot has %d bytes without members, more than fit", len(body))
		}
		members := slices.Clone(s.Balancer.Members)
		slices.SortStableFunc(members, func(a, b logic.LearnedMember) int { return b.Samples - a.Samples })
		s.Balancer.Members = members[:n]
		links := map[logic.MemberID]LinkState{}
		for _, m := range s.Balancer.Members {
			links[m.ID] = s.Links[m.ID]
		}
		s.Links = links
	}
}

// Decode reads the output of Encode, completely or not at all.
func Decode(b []byte) (s Snapshot, err error) {
	switch {
	case len(b) < headerBytes && magic[:min(len(b), len(magic))] == string(b[:min(len(b), len(magic))]):
		return s, ErrTruncated
	case len(b) < headerBytes || string(b[:len(magic)]) != magic:
		return s, ErrNotSnapshot
	}
	head := b[len(magic):headerBytes]
	if v := binary.BigEndian.Uint16(head); v != Version {
		return s, fmt.Errorf("%w: %d instead of %d", ErrVersion, v, Version)
	}
	body := b[headerBytes:]
	switch n := binary.BigEndian.Uint32(head[2:]); {
	case int64(len(body)) < int64(n):
		return s, fmt.Errorf("%w: %d of %d bytes", ErrTruncated, len(body), n)
	case int64(len(body)) > int64(n):
		return s, fmt.Errorf("%w: %d bytes follow the body", ErrNotSnapshot, len(body)-int(n))
	}
	if crc32.Checksum(body, castagnoli()) != binary.BigEndian.Uint32(head[6:]) {
		return s, ErrChecksum
	}
	in := json.NewDecoder(bytes.NewReader(body))
	in.DisallowUnknownFields()
	if err := in.Decode(&s); err != nil {
		return Snapshot{}, fmt.Errorf("inherit: %w", err)
	}
	return s, nil
}

// CurrentMember is what the successor's list contains about a member.
type CurrentMember struct {
	StartedAt time.Duration
	Addr      string
}

// AdjustFor returns the part of the snapshot that is valid for a successor of this fleet at the given
// time, with its values decayed by age. current holds the members that the successor's list reports as ready.
// Members that are gone, have restarted or have another address are left out.
func (s Snapshot) AdjustFor(fleet uint64, nowMS int64, current map[logic.MemberID]CurrentMember) (Snapshot, error) {
	age := time.Duration(nowMS-s.TakenMS) * time.Millisecond
	switch {
	case s.Fleet != fleet:
		return Snapshot{}, ErrFleet
	case age < -time.Second:
		return Snapshot{}, fmt.Errorf("%w by %v", ErrFuture, -age)
	case age > MaxAge:
		return Snapshot{}, fmt.Errorf("%w: %v", ErrTooOld, age)
	}
	age = max(0, age)
	balancer := s.Balancer
	total := len(balancer.Members)
	balancer.Members = nil
	known := func(id logic.MemberID) bool { m, ok := current[id]; return ok && m.Addr == s.Links[id].Addr }
	named := 0
	for _, m := range s.Balancer.Members {
		if !known(m.ID) {
			continue
		}
		if named++; current[m.ID].StartedAt == m.StartedAt {
			balancer.Members = append(balancer.Members, decayMember(m, age))
		}
	}
	if float64(named) < minKnownShare*float64(total) {
		return Snapshot{}, fmt.Errorf("%w: the list has %d of its %d members", ErrFleet, named, total)
	}
	share := remainingShare(age, countsHalfLife)
	balancer.Total, balancer.EarlierTotal = balancer.Total*share, balancer.EarlierTotal*share
	balancer.Keys = nil
	for _, k := range s.Balancer.Keys {
		k.Count, k.MaxError = k.Count*share, k.MaxError*share
		balancer.Keys = append(balancer.Keys, k)
	}
	share = remainingShare(age, loadHalfLife)
	balancer.Arrivals, balancer.ServedWork, balancer.SpanSeconds = balancer.Arrivals*share, balancer.ServedWork*share, balancer.SpanSeconds*share
	balancer.RecentAttempts, balancer.RecentAnswers = balancer.RecentAttempts*share, balancer.RecentAnswers*share
	balancer.FailureRate *= remainingShare(age, failsHalfLife)
	s.Balancer = balancer
	links := make(map[logic.MemberID]LinkState, len(s.Links))
	for _, m := range balancer.Members {
		link := s.Links[m.ID]
		link.SuspectFor = max(0, link.SuspectFor-age)
		links[m.ID] = link
	}
	s.Links = links
	s.Idle = decayIdle(s.Idle, remainingShare(age, idleHalfLife))
	if !(s.ReuseShare >= 0 && s.ReuseShare <= 1) {
		s.ReuseShare = 1
	}
	s.ReuseShare = 1 - (1-s.ReuseShare)*remainingShare(age, idleHalfLife)
	return s, nil
}

// decayMember returns the state of a member after a time. The number of observations decays as well, so
// that new responses weigh more. Streaks of failures decay, and the remaining time of an ejection runs
// on.
func decayMember(m logic.LearnedMember, age time.Duration) logic.LearnedMember {
	share := remainingShare(age, membersHalfLife)
	m.Limit = logic.InitialLimit + (m.Limit-logic.InitialLimit)*share
	m.Samples = int(math.Round(float64(max(0, m.Samples)) * share))
	m.FailureRate *= remainingShare(age, failsHalfLife)
	m.FailureStreak = int(float64(max(0, m.FailureStreak)) * remainingShare(age, failsHalfLife))
	m.EjectedFor = max(0, m.EjectedFor-age)
	return m
}

// decayIdle scales the counts of idle connections.
func decayIdle(stats pool.IdleStats, share float64) (decayed pool.IdleStats) {
	for i := range min(len(stats.Reused), len(stats.Broken)) {
		decayed.Reused, decayed.Broken = append(decayed.Reused, stats.Reused[i]*share), append(decayed.Broken, stats.Broken[i]*share)
	}
	return decayed
}

// remainingShare is the share of a value that remains after age.
func remainingShare(age, halfLife time.Duration) float64 {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}
