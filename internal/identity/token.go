package identity

import (
	"container/list"
	"crypto/sha256"
	"math"
	"time"

	"github.com/go-jose/go-jose/v4/jwt"
)

// MaxTokenBytes is the longest token that is looked at, in bytes.
const MaxTokenBytes = 4 << 10

// TokenRequirements are what a token has to fulfil.
type TokenRequirements struct {
	Issuer, Audience string
	TenantClaim      string        // the claim that names the tenant
	Leeway           time.Duration // by which the issuer's clock may be off, for exp and nbf of tokens
	MaxLifetime      time.Duration // a token that holds for longer from now on is not accepted
	CacheSize        int           // tokens that are known again without a check
	// ChecksPerSecond is how many signatures are checked a second at the most, of all sources. Half of that is kept for sources
	// that have shown no bad token yet.
	ChecksPerSecond float64
}

// Proof is what a token or a certificate proves. It is never changed.
type Proof struct {
	Tenant        string
	Subject       string
	ID            string    // the token's jti; empty: it has none
	ExpiresAt     time.Time // exp, with the leeway
	KeyID         string
	keyThumbprint string // of the key
	certificate   *certFacts
}

// ByCertificate tells whether it is a certificate that proves.
func (p *Proof) ByCertificate() bool { return p.certificate != nil }

// Verifier checks tokens. It is not safe for concurrent use.
type Verifier struct {
	requirements   TokenRequirements
	keys           *KeySet
	cache          map[[sha256.Size]byte]*list.Element
	recent         list.List   // of *cachedToken, used last in front
	sharedChecks   tokenBucket // of signature checks
	reservedChecks tokenBucket // the half that is kept for sources without a bad token
	Checks         int         // signatures checked so far
}

type cachedToken struct {
	hash  [sha256.Size]byte
	proof *Proof
}

// tokenBucket lets so many through a second, and a second's worth at once.
type tokenBucket struct {
	rate, tokens float64
	refilledAt   time.Time
}

func (b *tokenBucket) take(now time.Time) bool {
	if now.After(b.refilledAt) {
		b.tokens, b.refilledAt = min(max(1, b.rate), b.tokens+b.rate*now.Sub(b.refilledAt).Seconds()), now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// NewVerifier makes a Verifier; without keys it accepts nothing.
func NewVerifier(t TokenRequirements, keys *KeySet) *Verifier {
	return &Verifier{requirements: t, keys: keys, cache: map[[sha256.Size]byte]*list.Element{},
		sharedChecks: tokenBucket{rate: t.ChecksPerSecond / 2}, reservedChecks: tokenBucket{rate: t.ChecksPerSecond / 2}}
}

// SetKeys puts another set in force. What is known of tokens stays: a proof names its key, and holds only as long as that one
// is in the set and active.
func (v *Verifier) SetKeys(keys *KeySet) { v.keys = keys }

// Check tells what a token proves. Suspect tells that its source has shown a bad token before.
//
// All that costs little comes first: size, form, algorithm, key id, times, issuer, audience. Only a token that would be good if
// its signature were is checked, within the budget.
func (v *Verifier) Check(now time.Time, token []byte, suspect bool) (*Proof, error) {
	if len(token) == 0 || len(token) > MaxTokenBytes {
		return nil, deny(Malformed, "its length is out of range")
	}
	hash := sha256.Sum256(token)
	if e := v.cache[hash]; e != nil {
		p := e.Value.(*cachedToken).proof
		if err := v.keys.CheckProof(now, p); err != nil {
			return nil, err
		}
		v.recent.MoveToFront(e)
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
	if v.keys != nil && validKeyID(head.KeyID) {
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
	tenant, _ := more[v.requirements.TenantClaim].(string)
	p := &Proof{Tenant: tenant, Subject: c.Subject, ID: c.ID, KeyID: key.ID, keyThumbprint: key.thumbprint}
	switch {
	case c.Issuer != v.requirements.Issuer:
		return nil, deny(Foreign, "another issuer")
	case !c.Audience.Contains(v.requirements.Audience):
		return nil, deny(Foreign, "another audience")
	case tenant == "":
		return nil, deny(Forbidden, "it names no tenant")
	case c.Expiry == nil:
		return nil, deny(Forbidden, "it never runs out")
	case c.NotBefore != nil && now.Before(c.NotBefore.Time().Add(-v.requirements.Leeway)):
		return nil, deny(NotYetValid, "")
	}
	p.ExpiresAt = c.Expiry.Time().Add(v.requirements.Leeway)
	if err := v.keys.CheckProof(now, p); err != nil {
		return nil, err
	}
	if p.ExpiresAt.Sub(now) > v.requirements.MaxLifetime+2*v.requirements.Leeway {
		return nil, deny(Forbidden, "it holds for too long")
	}
	if !v.sharedChecks.take(now) && (suspect || !v.reservedChecks.take(now)) {
		return nil, deny(Overloaded, "")
	}
	v.Checks++
	if err := tok.Claims(key.Public, &c); err != nil {
		return nil, deny(BadSignature, "")
	}
	v.addToCache(hash, p)
	return p, nil
}

// CheckProof tells whether a proof still holds: its token has not run out, and its key is in the set and active. It changes nothing,
// and may be asked while tokens are checked.
func (k *KeySet) CheckProof(now time.Time, p *Proof) error {
	if !now.Before(p.ExpiresAt) {
		return deny(Expired, "")
	}
	var key *Key
	if k != nil {
		key = k.ByID[p.KeyID]
	}
	if key == nil || key.thumbprint != p.keyThumbprint {
		return deny(KeyRetired, "")
	}
	switch key.Phase(now) {
	case PhaseComing:
		return deny(NotYetValid, "its key")
	case PhaseRetired:
		return deny(KeyRetired, "")
	}
	return nil
}

func (v *Verifier) addToCache(hash [sha256.Size]byte, p *Proof) {
	if v.requirements.CacheSize < 1 {
		return
	}
	for len(v.cache) >= v.requirements.CacheSize {
		last := v.recent.Back()
		delete(v.cache, last.Value.(*cachedToken).hash)
		v.recent.Remove(last)
	}
	v.cache[hash] = v.recent.PushFront(&cachedToken{hash, p})
}

// CacheLen counts the tokens that are known again without a check.
func (v *Verifier) CacheLen() int { return len(v.cache) }

// ReplayGuard remembers the ids of orders' tokens, each until its token has run out. It is bounded: where it is full of ids that may
// still come again, no further order is let in, as forgetting one could let it run twice.
type ReplayGuard struct {
	MaxIDs     int
	expiryByID map[string]time.Time
	nextExpiry time.Time // when the first of those kept may have run out
}

// Use notes a token's id; false: it was used before, or there is no room to remember it.
func (r *ReplayGuard) Use(now time.Time, p *Proof) error {
	if p.ID == "" {
		return nil
	}
	if r.expiryByID == nil {
		r.expiryByID = map[string]time.Time{}
	}
	name := p.Tenant + "\x00" + p.ID
	if until, ok := r.expiryByID[name]; ok && now.Before(until) {
		return deny(Replayed, "")
	}
	if len(r.expiryByID) >= r.MaxIDs && !now.Before(r.nextExpiry) {
		r.nextExpiry = time.Unix(math.MaxInt32, 0)
		for n, until := range r.expiryByID {
			if !now.Before(until) {
				delete(r.expiryByID, n)
			} else if until.Before(r.nextExpiry) {
				r.nextExpiry = until
			}
		}
	}
	if len(r.expiryByID) >= r.MaxIDs {
		return deny(Replayed, "no room to remember its id")
	}
	r.expiryByID[name] = p.ExpiresAt
	if r.nextExpiry.IsZero() || p.ExpiresAt.Before(r.nextExpiry) {
		r.nextExpiry = p.ExpiresAt
	}
	return nil
}

// Release forgets an id whose order has surely not run: its caller may come again with the same token.
func (r *ReplayGuard) Release(p *Proof) {
	if p.ID != "" {
		delete(r.expiryByID, p.Tenant+"\x00"+p.ID)
	}
}

// Len counts the ids that are remembered.
func (r *ReplayGuard) Len() int { return len(r.expiryByID) }
