package identity

import (
	"container/list"
	"net/netip"
	"time"
)

// suspectDuration is how long an address stays suspect after the latest forged token that came from it.
const suspectDuration = 30 * time.Second

// SuspectSources remembers which addresses have shown a forged token lately: who brings one on each new connection would else look clean each
// time, and use up the half of the checks that is kept for those who are. Other faults of a token cost no check. It is bounded: where it is full, the address that has shown
// none for longest is forgotten. Of IPv6 the first 64 bits count, as whoever has one address has all of those. It could do harm
// behind an address that many share: one of them makes all use the open half.
type SuspectSources struct {
	MaxAddresses int
	byPrefix     map[netip.Addr]*list.Element
	recent       list.List // of *suspect, the latest in front
}

type suspect struct {
	prefix    netip.Addr
	expiresAt time.Time
}

func sourcePrefix(a netip.Addr) netip.Addr {
	if a = a.Unmap(); a.Is6() {
		if p, err := a.WithZone("").Prefix(64); err == nil {
			return p.Addr()
		}
	}
	return a
}

// Suspect tells whether an address has shown a forged token lately.
func (s *SuspectSources) Suspect(now time.Time, a netip.Addr) bool {
	e := s.byPrefix[sourcePrefix(a)]
	return e != nil && now.Before(e.Value.(*suspect).expiresAt)
}

// RecordForged notes that a forged token came from an address.
func (s *SuspectSources) RecordForged(now time.Time, a netip.Addr) {
	if a = sourcePrefix(a); !a.IsValid() || s.MaxAddresses < 1 {
		return
	}
	if s.byPrefix == nil {
		s.byPrefix = map[netip.Addr]*list.Element{}
	}
	if e := s.byPrefix[a]; e != nil {
		e.Value.(*suspect).expiresAt = now.Add(suspectDuration)
		s.recent.MoveToFront(e)
		return
	}
	for len(s.byPrefix) >= s.MaxAddresses {
		last := s.recent.Back()
		delete(s.byPrefix, last.Value.(*suspect).prefix)
		s.recent.Remove(last)
	}
	s.byPrefix[a] = s.recent.PushFront(&suspect{a, now.Add(suspectDuration)})
}

// Len counts the addresses that are remembered.
func (s *SuspectSources) Len() int { return len(s.byPrefix) }

// RateLimiter lets so many through a second, and a second's worth at once. It is not safe for concurrent use.
type RateLimiter struct{ bucket tokenBucket }

// NewRateLimiter makes a Budget.
func NewRateLimiter(perS float64) *RateLimiter { return &RateLimiter{tokenBucket{rate: perS}} }

// Allow tells whether one more may pass now.
func (r *RateLimiter) Allow(now time.Time) bool { return r.bucket.take(now) }
