// Package inherit is what the process that takes a proxy's place is given of what the one before has learnt: a snapshot, its written
// form, and how much of it still holds after how long. It is free of I/O, clock and goroutines, and never holds a request, an order, a
// drain or a cold budget: what a successor must not take for its own is not in it.
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

// Version is that of the form. One that says another is turned down whole: a figure that has changed its meaning can't be told from
// one that has not.
const Version = 1

const (
	// MaxBytes bounds what is written and read: some 4,000 members.
	MaxBytes = 1 << 20
	// MaxAge is how old a snapshot may be. Popularity, ejections and load have moved on long before.
	MaxAge = time.Minute
	// leastKnown is the share of a snapshot's members that the present list has to name. Under it, it is of another fleet, or of one
	// that has been replaced.
	leastKnown = 0.5

	magic     = "LLIN"
	headBytes = len(magic) + 2 + 4 + 4 // version, length and CRC32C of what follows, in big-endian order
)

// Half of a figure's distance from what a fresh process would assume is gone after so long. Counts follow the window that they are
// halved in; how quick a member is and what it can take hold longer than who is ejected.
const (
	countsHalf  = 4 * time.Second
	loadHalf    = 4 * time.Second
	membersHalf = 20 * time.Second
	failsHalf   = 2 * time.Second
	idleHalf    = 30 * time.Second
)

// Reasons for turning a snapshot down.
var (
	ErrCut     = errors.New("it is cut short")
	ErrForeign = errors.New("it is none")
	ErrDamaged = errors.New("its checksum is wrong")
	ErrVersion = errors.New("it is of another version")
	ErrFleet   = errors.New("it is of another fleet")
	ErrOld     = errors.New("it is too old")
	ErrFuture  = errors.New("it is from the future")
)

// Snapshot is what one process has learnt.
type Snapshot struct {
	Fleet   uint64 // of Fleet
	TakenMS int64  // Unix time
	Learnt  logic.LearnedState
	Members map[logic.MemberID]Link
	Idle    pool.IdleLearnt
	Reuse   float64 // the share of clients' connections that are asked on again
}

// Link is how a member is reached: its address, by which a reused id is told, and what is known of the connections there.
type Link struct {
	Addr string
	pool.Learnt
}

// Fleet tells fleets and proxies apart by what a configuration says of them.
func Fleet(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	return h.Sum64()
}

// Made when first used: most processes neither leave nor find anything.
var castagnoli = sync.OnceValue(func() *crc32.Table { return crc32.MakeTable(crc32.Castagnoli) })

// Encode writes a snapshot. Of one that takes too much, the members are left out that are known least.
func Encode(s Snapshot) ([]byte, error) {
	for {
		body, err := json.Marshal(s)
		if err != nil {
			return nil, fmt.Errorf("inherit: %w", err)
		}
		if headBytes+len(body) <= MaxBytes {
			b := make([]byte, 0, headBytes+len(body))
			b = binary.BigEndian.AppendUint16(append(b, magic...), Version)
			b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
			b = binary.BigEndian.AppendUint32(b, crc32.Checksum(body, castagnoli()))
			return append(b, body...), nil
		}
		n := len(s.Learnt.Members) / 2
		if n == 0 {
			return nil, fmt.Errorf("inherit: %d bytes without members", len(body))
		}
		members := slices.Clone(s.Learnt.Members)
		slices.SortStableFunc(members, func(a, b logic.LearnedMember) int { return b.Samples - a.Samples })
		s.Learnt.Members = members[:n]
		links := map[logic.MemberID]Link{}
		for _, m := range s.Learnt.Members {
			links[m.ID] = s.Members[m.ID]
		}
		s.Members = links
	}
}

// Decode reads what Encode has written, whole or not at all.
func Decode(b []byte) (s Snapshot, err error) {
	switch {
	case len(b) < headBytes && magic[:min(len(b), len(magic))] == string(b[:min(len(b), len(magic))]):
		return s, ErrCut
	case len(b) < headBytes || string(b[:len(magic)]) != magic:
		return s, ErrForeign
	}
	head := b[len(magic):headBytes]
	if v := binary.BigEndian.Uint16(head); v != Version {
		return s, fmt.Errorf("%w: %d, not %d", ErrVersion, v, Version)
	}
	body := b[headBytes:]
	switch n := binary.BigEndian.Uint32(head[2:]); {
	case int64(len(body)) < int64(n):
		return s, fmt.Errorf("%w: %d of %d bytes", ErrCut, len(body), n)
	case int64(len(body)) > int64(n):
		return s, fmt.Errorf("%w: %d bytes follow it", ErrForeign, len(body)-int(n))
	}
	if crc32.Checksum(body, castagnoli()) != binary.BigEndian.Uint32(head[6:]) {
		return s, ErrDamaged
	}
	in := json.NewDecoder(bytes.NewReader(body))
	in.DisallowUnknownFields()
	if err := in.Decode(&s); err != nil {
		return Snapshot{}, fmt.Errorf("inherit: %w", err)
	}
	return s, nil
}

// Member is what a successor knows of a member.
type Member struct {
	StartedAt time.Duration
	Addr      string
}

// For is what of the snapshot holds for a successor of this fleet at a time, before the members that its list names as ready. Members
// that are gone, have started anew or stand at another address are left out.
func (s Snapshot) For(fleet uint64, nowMS int64, now map[logic.MemberID]Member) (Snapshot, error) {
	age := time.Duration(nowMS-s.TakenMS) * time.Millisecond
	switch {
	case s.Fleet != fleet:
		return Snapshot{}, ErrFleet
	case age < -time.Second:
		return Snapshot{}, fmt.Errorf("%w, by %v", ErrFuture, -age)
	case age > MaxAge:
		return Snapshot{}, fmt.Errorf("%w: %v", ErrOld, age)
	}
	age = max(0, age)
	l := s.Learnt
	was := len(l.Members)
	l.Members = nil
	known := func(id logic.MemberID) bool { m, ok := now[id]; return ok && m.Addr == s.Members[id].Addr }
	named := 0
	for _, m := range s.Learnt.Members {
		if !known(m.ID) {
			continue
		}
		if named++; now[m.ID].StartedAt == m.StartedAt {
			l.Members = append(l.Members, fadeMember(m, age))
		}
	}
	if float64(named) < leastKnown*float64(was) {
		return Snapshot{}, fmt.Errorf("%w: the list names %d of its %d members", ErrFleet, named, was)
	}
	c := keep(age, countsHalf)
	l.Total, l.EarlierTotal = l.Total*c, l.EarlierTotal*c
	l.Keys = nil
	for _, k := range s.Learnt.Keys {
		k.Count, k.Err = k.Count*c, k.Err*c
		l.Keys = append(l.Keys, k)
	}
	c = keep(age, loadHalf)
	l.Arrivals, l.ServedWork, l.SpanSeconds = l.Arrivals*c, l.ServedWork*c, l.SpanSeconds*c
	l.RecentAttempts, l.RecentAnswers = l.RecentAttempts*c, l.RecentAnswers*c
	l.FailureRate *= keep(age, failsHalf)
	s.Learnt = l
	links := make(map[logic.MemberID]Link, len(s.Members))
	for _, m := range l.Members {
		links[m.ID] = s.Members[m.ID]
	}
	s.Members = links
	s.Idle = fadeIdle(s.Idle, keep(age, idleHalf))
	if !(s.Reuse >= 0 && s.Reuse <= 1) {
		s.Reuse = 1
	}
	s.Reuse = 1 - (1-s.Reuse)*keep(age, idleHalf)
	return s, nil
}

// fadeMember is what holds of a member after a while. The longer it is, the less answers it counts as known by, so that the next ones
// say more; a streak of failures and an ejection run on.
func fadeMember(m logic.LearnedMember, age time.Duration) logic.LearnedMember {
	k := keep(age, membersHalf)
	m.Limit = logic.InitialLimit + (m.Limit-logic.InitialLimit)*k
	m.Samples = int(math.Round(float64(max(0, m.Samples)) * k))
	m.FailureRate *= keep(age, failsHalf)
	m.FailureStreak = int(float64(max(0, m.FailureStreak)) * keep(age, failsHalf))
	m.EjectedFor = max(0, m.EjectedFor-age)
	return m
}

func fadeIdle(t pool.IdleLearnt, k float64) (n pool.IdleLearnt) {
	for i := range min(len(t.Used), len(t.Broke)) {
		n.Used, n.Broke = append(n.Used, t.Used[i]*k), append(n.Broke, t.Broke[i]*k)
	}
	return n
}

// keep is the share that is left of a figure.
func keep(age, half time.Duration) float64 { return math.Exp2(-age.Seconds() / half.Seconds()) }
