package identity

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Rights is what a tenant may do.
type Rights struct {
	Tenant   string
	Classes  []string // empty means all
	Prefixes []string // of keys; empty means all
	Fronts   []string // empty means all
	ReadOnly bool
	MaxValue int     // bytes of a written value; 0 means the program's limit
	Rate     float64 // requests per second at this process; 0 means no limit
}

// Request is the part of a request that rights depend on.
type Request struct {
	Class      string
	Key        []byte
	Front      string
	Write      bool
	AtMostOnce bool // the request uses up its token's ID, as it must never run twice
	ValueSize  int  // bytes of the value
}

// Policy is the rights of all tenants. It is not safe for concurrent use.
type Policy struct {
	tenants map[string]*tenantRights
}

type tenantRights struct {
	Rights
	bucket tokenBucket
}

// NewPolicy returns a Policy. Tenants without an entry have no rights. The rate limits continue from the
// previous policy, if there is one.
func NewPolicy(all []Rights, previous *Policy) *Policy {
	p := &Policy{tenants: map[string]*tenantRights{}}
	for _, r := range all {
		t := &tenantRights{Rights: r, bucket: tokenBucket{rate: r.Rate}}
		if previous != nil {
			if old := previous.tenants[r.Tenant]; old != nil && old.Rate > 0 {
				t.bucket.tokens, t.bucket.refilledAt = old.bucket.tokens, old.bucket.refilledAt
			}
		}
		p.tenants[r.Tenant] = t
	}
	return p
}

// Authorize returns nil if a tenant may make a request now. Only a request that is otherwise permitted
// counts toward the rate.
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
