package identity

import (
	"container/list"
	"net/netip"
	"time"
)

// suspectDuration is how long an address stays suspect after its latest forged token.
const suspectDuration = 30 * time.Second

// SuspectSources remembers addresses that have recently sent a forged token. Otherwise a caller that sends
// one on each new connection would look clean every time and use up the half of the checks that is reserved
// for clean callers. Other errors of a token cost no check. The number of addresses is limited: if it is
// reached, the address without a forged token for the longest time is removed. IPv6 addresses are compared
// by their first 64 bits, as a caller usually has the whole prefix. Where many callers share an address, one
// forger limits all of them to the shared half.
type SuspectSources struct {
	MaxAddresses int
	byPrefix     map[netip.Addr]*list.Element
	recent       list.List // of *suspect, the latest first
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

// Suspect reports whether an address has recently sent a forged token.
func (s *SuspectSources) Suspect(now time.Time, a netip.Addr) bool {
	e := s.byPrefix[sourcePrefix(a)]
	return e != nil && now.Before(e.Value.(*suspect).expiresAt)
}

// RecordForged records that an address sent a forged token.
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

// Len returns the number of addresses.
func (s *SuspectSources) Len() int { return len(s.byPrefix) }

// RateLimiter permits a number of events per second, with a burst of one second's worth. It is not safe for
// concurrent use.
type RateLimiter struct{ bucket tokenBucket }

// NewRateLimiter returns a RateLimiter.
func NewRateLimiter(perS float64) *RateLimiter { return &RateLimiter{tokenBucket{rate: perS}} }

// Allow reports whether another event is permitted now, and counts it.
func (r *RateLimiter) Allow(now time.Time) bool { return r.bucket.take(now) }
