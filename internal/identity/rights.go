package identity

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Rights are what a tenant may do.
type Rights struct {
	Tenant   string
	Classes  []string // empty: all
	Prefixes []string // of keys; empty: all
	Fronts   []string // empty: all
	ReadOnly bool
	MaxValue int     // bytes of a write; 0: as long as the program takes
	Rate     float64 // requests a second, at this process; 0: no bound of its own
}

// Request is a request, as far as rights go.
type Request struct {
	Class      string
	Key        []byte
	Front      string
	Write      bool
	AtMostOnce bool // it must never run twice: its token's id is used by it
	ValueSize  int  // of its value
}

// Policy is the rights of all tenants. It is not safe for concurrent use.
type Policy struct {
	tenants map[string]*tenantRights
}

type tenantRights struct {
	Rights
	bucket tokenBucket
}

// NewPolicy makes a Policy. A tenant that it does not name may do nothing. Of a policy before it, the rates used so far go on.
func NewPolicy(all []Rights, before *Policy) *Policy {
	p := &Policy{tenants: map[string]*tenantRights{}}
	for _, r := range all {
		t := &tenantRights{Rights: r, bucket: tokenBucket{rate: r.Rate}}
		if before != nil {
			if old := before.tenants[r.Tenant]; old != nil && old.Rate > 0 {
				t.bucket.tokens, t.bucket.refilledAt = old.bucket.tokens, old.bucket.refilledAt
			}
		}
		p.tenants[r.Tenant] = t
	}
	return p
}

// Authorize tells whether a tenant may make a request now. The rate is used only by what else is allowed.
func (p *Policy) Authorize(now time.Time, tenant string, a Request) error {
	t := p.tenants[tenant]
	switch {
	case t == nil:
		return deny(NoRight, "the tenant has none here")
	case len(t.Fronts) > 0 && !slices.Contains(t.Fronts, a.Front):
		return deny(NoRight, "not on this front")
	case len(t.Classes) > 0 && !slices.Contains(t.Classes, a.Class):
		return deny(NoRight, "not in this class")
	case t.ReadOnly && a.Write:
		return deny(NoRight, "to reads only")
	case len(t.Prefixes) > 0 && !slices.ContainsFunc(t.Prefixes, func(s string) bool { return strings.HasPrefix(string(a.Key), s) }):
		return deny(NoRight, "not to this key")
	case t.MaxValue > 0 && a.ValueSize > t.MaxValue:
		return deny(NoRight, "not to a value of %d bytes; %d are allowed", a.ValueSize, t.MaxValue)
	case t.Rate > 0 && !t.bucket.take(now):
		return deny(RateLimited, "again after %d ms", int(math.Ceil((1-t.bucket.tokens)/t.Rate*1000)))
	}
	return nil
}
