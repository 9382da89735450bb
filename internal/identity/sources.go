package identity

import (
	"container/list"
	"net/netip"
	"time"
)

// suspectFor is how long an address stays suspect after the latest forged token that came from it.
const suspectFor = 30 * time.Second

// Sources remembers which addresses have shown a forged token lately: who brings one on each new connection would else look clean each
// time, and use up the half of the checks that is kept for those who are. Other faults of a token cost no check. It is bounded: where it is full, the address that has shown
// none for longest is forgotten. Of IPv6 the first 64 bits count, as whoever has one address has all of those. It could do harm
// behind an address that many share: one of them makes all use the open half.
type Sources struct {
	Most  int
	seen  map[netip.Addr]*list.Element
	order list.List // of *suspect, the latest in front
}

type suspect struct {
	addr  netip.Addr
	until time.Time
}

func source(a netip.Addr) netip.Addr {
	if a = a.Unmap(); a.Is6() {
		if p, err := a.WithZone("").Prefix(64); err == nil {
			return p.Addr()
		}
	}
	return a
}

// Suspect tells whether an address has shown a forged token lately.
func (s *Sources) Suspect(now time.Time, a netip.Addr) bool {
	e := s.seen[source(a)]
	return e != nil && now.Before(e.Value.(*suspect).until)
}

// Bad notes that a forged token came from an address.
func (s *Sources) Bad(now time.Time, a netip.Addr) {
	if a = source(a); !a.IsValid() || s.Most < 1 {
		return
	}
	if s.seen == nil {
		s.seen = map[netip.Addr]*list.Element{}
	}
	if e := s.seen[a]; e != nil {
		e.Value.(*suspect).until = now.Add(suspectFor)
		s.order.MoveToFront(e)
		return
	}
	for len(s.seen) >= s.Most {
		last := s.order.Back()
		delete(s.seen, last.Value.(*suspect).addr)
		s.order.Remove(last)
	}
	s.seen[a] = s.order.PushFront(&suspect{a, now.Add(suspectFor)})
}

// Len counts the addresses that are remembered.
func (s *Sources) Len() int { return len(s.seen) }

// Budget lets so many through a second, and a second's worth at once. It is not safe for concurrent use.
type Budget struct{ bucket bucket }

// NewBudget makes a Budget.
func NewBudget(perS float64) *Budget { return &Budget{bucket{rate: perS}} }

// Take tells whether one more may pass now.
func (r *Budget) Take(now time.Time) bool { return r.bucket.take(now) }
