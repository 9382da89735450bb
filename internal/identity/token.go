package identity

import (
	"container/list"
	"crypto/sha256"
	"math"
	"time"

	"github.com/go-jose/go-jose/v4/jwt"
)

// MaxToken is the longest token that is looked at, in bytes.
const MaxToken = 4 << 10

// Terms are what a token has to fulfil.
type Terms struct {
	Issuer, Audience string
	TenantClaim      string        // the claim that names the tenant
	Leeway           time.Duration // by which the issuer's clock may be off, for exp and nbf of tokens
	MaxLife          time.Duration // a token that holds for longer from now on is not accepted
	CacheSize        int           // tokens that are known again without a check
	// ChecksPerS is how many signatures are checked a second at the most, of all sources. Half of that is kept for sources
	// that have shown no bad token yet.
	ChecksPerS float64
}

// Proof is what a token or a certificate proves. It is never changed.
type Proof struct {
	Tenant  string
	Subject string
	ID      string    // the token's jti; empty: it has none
	Until   time.Time // exp, with the leeway
	KeyID   string
	print   string // of the key
	cert    *certFacts
}

// ByCertificate tells whether it is a certificate that proves.
func (p *Proof) ByCertificate() bool { return p.cert != nil }

// Verifier checks tokens. It is not safe for concurrent use.
type Verifier struct {
	terms  Terms
	keys   *Keys
	known  map[[sha256.Size]byte]*list.Element
	order  list.List // of *knownToken, used last in front
	all    bucket    // of signature checks
	clean  bucket    // the half that is kept for sources without a bad token
	Checks int       // signatures checked so far
}

type knownToken struct {
	hash  [sha256.Size]byte
	proof *Proof
}

// bucket lets so many through a second, and a second's worth at once.
type bucket struct {
	rate, tokens float64
	at           time.Time
}

func (b *bucket) take(now time.Time) bool {
	if now.After(b.at) {
		b.tokens, b.at = min(max(1, b.rate), b.tokens+b.rate*now.Sub(b.at).Seconds()), now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// NewVerifier makes a Verifier; without keys it accepts nothing.
func NewVerifier(t Terms, keys *Keys) *Verifier {
	return &Verifier{terms: t, keys: keys, known: map[[sha256.Size]byte]*list.Element{},
		all: bucket{rate: t.ChecksPerS / 2}, clean: bucket{rate: t.ChecksPerS / 2}}
}

// SetKeys puts another set in force. What is known of tokens stays: a proof names its key, and holds only as long as that one
// is in the set and active.
func (v *Verifier) SetKeys(keys *Keys) { v.keys = keys }

// Check tells what a token proves. Suspect tells that its source has shown a bad token before.
//
// All that costs little comes first: size, form, algorithm, key id, times, issuer, audience. Only a token that would be good if
// its signature were is checked, within the budget.
func (v *Verifier) Check(now time.Time, token []byte, suspect bool) (*Proof, error) {
	if len(token) == 0 || len(token) > MaxToken {
		return nil, deny(Malformed, "its length is out of range")
	}
	hash := sha256.Sum256(token)
	if e := v.known[hash]; e != nil {
		p := e.Value.(*knownToken).proof
		if err := v.keys.Holds(now, p); err != nil {
			return nil, err
		}
		v.order.MoveToFront(e)
		return p, nil
	}
	tok, err := jwt.ParseSigned(string(token), Algorithms)
	if err != nil { // its text may hold parts of the token
		return nil, deny(Malformed, "or its algorithm is none of EdDSA, ES256 and RS256")
	}
	head := tok.Headers[0]
	if head.JSONWebKey != nil {
		return nil, deny(Forbidden, "it brings a key of its own")
	}
	for name := range head.ExtraHeaders {
		switch name {
		case "x5u", "x5c", "x5t", "x5t#S256", "jku", "crit":
			return nil, deny(Forbidden, "it points to a key, or has a critical header")
		}
	}
	var key *Key
	if v.keys != nil && plainID(head.KeyID) {
		key = v.keys.ByID[head.KeyID]
	}
	if key == nil {
		return nil, deny(UnknownKey, "")
	}
	if head.Algorithm != string(key.Alg) {
		return nil, deny(Forbidden, "its key is one for %s", key.Alg)
	}
	var c jwt.Claims
	var more map[string]any
	if err := tok.UnsafeClaimsWithoutVerification(&c, &more); err != nil {
		return nil, deny(Malformed, "its claims can't be read")
	}
	tenant, _ := more[v.terms.TenantClaim].(string)
	p := &Proof{Tenant: tenant, Subject: c.Subject, ID: c.ID, KeyID: key.ID, print: key.print}
	switch {
	case c.Issuer != v.terms.Issuer:
		return nil, deny(Elsewhere, "another issuer")
	case !c.Audience.Contains(v.terms.Audience):
		return nil, deny(Elsewhere, "another audience")
	case tenant == "":
		return nil, deny(Forbidden, "it names no tenant")
	case c.Expiry == nil:
		return nil, deny(Forbidden, "it never runs out")
	case c.NotBefore != nil && now.Before(c.NotBefore.Time().Add(-v.terms.Leeway)):
		return nil, deny(NotYet, "")
	}
	p.Until = c.Expiry.Time().Add(v.terms.Leeway)
	if err := v.keys.Holds(now, p); err != nil {
		return nil, err
	}
	if p.Until.Sub(now) > v.terms.MaxLife+2*v.terms.Leeway {
		return nil, deny(Forbidden, "it holds for too long")
	}
	if !v.all.take(now) && (suspect || !v.clean.take(now)) {
		return nil, deny(Overload, "")
	}
	v.Checks++
	if err := tok.Claims(key.Public, &c); err != nil {
		return nil, deny(Forged, "")
	}
	v.remember(hash, p)
	return p, nil
}

// Holds tells whether a proof still holds: its token has not run out, and its key is in the set and active. It changes nothing,
// and may be asked while tokens are checked.
func (k *Keys) Holds(now time.Time, p *Proof) error {
	if !now.Before(p.Until) {
		return deny(RunOut, "")
	}
	var key *Key
	if k != nil {
		key = k.ByID[p.KeyID]
	}
	if key == nil || key.print != p.print {
		return deny(Retired, "")
	}
	switch key.Phase(now) {
	case Coming:
		return deny(NotYet, "its key")
	case Gone:
		return deny(Retired, "")
	}
	return nil
}

func (v *Verifier) remember(hash [sha256.Size]byte, p *Proof) {
	if v.terms.CacheSize < 1 {
		return
	}
	for len(v.known) >= v.terms.CacheSize {
		last := v.order.Back()
		delete(v.known, last.Value.(*knownToken).hash)
		v.order.Remove(last)
	}
	v.known[hash] = v.order.PushFront(&knownToken{hash, p})
}

// Known counts the tokens that are known again without a check.
func (v *Verifier) Known() int { return len(v.known) }

// Replays remembers the ids of orders' tokens, each until its token has run out. It is bounded: where it is full of ids that may
// still come again, no further order is let in, as forgetting one could let it run twice.
type Replays struct {
	Most int
	used map[string]time.Time
	next time.Time // when the first of those kept may have run out
}

// Use notes a token's id; false: it was used before, or there is no room to remember it.
func (r *Replays) Use(now time.Time, p *Proof) error {
	if p.ID == "" {
		return nil
	}
	if r.used == nil {
		r.used = map[string]time.Time{}
	}
	name := p.Tenant + "\x00" + p.ID
	if until, ok := r.used[name]; ok && now.Before(until) {
		return deny(Replayed, "")
	}
	if len(r.used) >= r.Most && !now.Before(r.next) {
		r.next = time.Unix(math.MaxInt32, 0)
		for n, until := range r.used {
			if !now.Before(until) {
				delete(r.used, n)
			} else if until.Before(r.next) {
				r.next = until
			}
		}
	}
	if len(r.used) >= r.Most {
		return deny(Replayed, "no room to remember its id")
	}
	r.used[name] = p.Until
	if r.next.IsZero() || p.Until.Before(r.next) {
		r.next = p.Until
	}
	return nil
}

// Release forgets an id whose order has surely not run: its caller may come again with the same token.
func (r *Replays) Release(p *Proof) {
	if p.ID != "" {
		delete(r.used, p.Tenant+"\x00"+p.ID)
	}
}

// Len counts the ids that are remembered.
func (r *Replays) Len() int { return len(r.used) }
