package identity

import (
	"container/list"
	"crypto/sha256"
	"math"
	"time"

	"github.com/go-jose/go-jose/v4/jwt"
)

// MaxTokenBytes is the maximum length of a token.
const MaxTokenBytes = 4 << 10

// TokenRequirements is the conditions that a token has to meet, and the limits of checking tokens.
type TokenRequirements struct {
	Issuer, Audience string
	TenantClaim      string        // claim that names the tenant
	Leeway           time.Duration // accepted error of the issuer's clock, for exp and nbf of tokens
	MaxLifetime      time.Duration // maximum remaining lifetime of an accepted token
	CacheSize        int           // number of checked tokens that are remembered
	// ChecksPerSecond limits the signature checks per second, for all sources together. Half of them is
	// reserved for sources that have not sent a bad token.
	ChecksPerSecond float64
}

// Proof is what a token or a certificate proves. It is immutable.
type Proof struct {
	Tenant        string
	Subject       string
	ID            string    // the token's jti, or empty
	ExpiresAt     time.Time // exp plus the leeway
	KeyID         string
	keyThumbprint string // of the key
	certificate   *certFacts
}

// ByCertificate reports whether the proof is based on a certificate.
func (p *Proof) ByCertificate() bool { return p.certificate != nil }

// Verifier checks tokens. It is not safe for concurrent use.
type Verifier struct {
	requirements   TokenRequirements
	keys           *KeySet
	cache          map[[sha256.Size]byte]*list.Element
	recent         list.List   // of *cachedToken, most recently used first
	sharedChecks   tokenBucket // signature checks for all sources
	reservedChecks tokenBucket // signature checks for sources that have sent no bad token
	Checks         int         // number of signature checks so far
}

type cachedToken struct {
	hash  [sha256.Size]byte
	proof *Proof
}

// tokenBucket permits a number of events per second, with a burst of one second's worth.
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

// NewVerifier returns a Verifier. Without keys it accepts no token.
func NewVerifier(t TokenRequirements, keys *KeySet) *Verifier {
	return &Verifier{requirements: t, keys: keys, cache: map[[sha256.Size]byte]*list.Element{},
		sharedChecks: tokenBucket{rate: t.ChecksPerSecond / 2}, reservedChecks: tokenBucket{rate: t.ChecksPerSecond / 2}}
}

// SetKeys replaces the key set. Cached tokens stay: a proof names its key and is valid only while that key
// is in the set and active.
func (v *Verifier) SetKeys(keys *KeySet) { v.keys = keys }

// Check returns what a token proves. suspect reports whether the token's source has sent a bad token before.
//
// The cheap checks come first: size, form, algorithm, key ID, times, issuer, audience. The signature is
// checked last, within the limit, and only if the token is otherwise acceptable.
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
	parsed, err := jwt.ParseSigned(string(token), Algorithms)
	if err != nil { // not passed on, as it may include parts of the token
		return nil, deny(Malformed, "or its algorithm is none of EdDSA, ES256 and RS256")
	}
	header := parsed.Headers[0]
	if header.JSONWebKey != nil {
		return nil, deny(Forbidden, "it brings a key of its own")
	}
	for name := range header.ExtraHeaders {
		switch name {
		case "x5u", "x5c", "x5t", "x5t#S256", "jku", "crit":
			return nil, deny(Forbidden, "it points to a key, or has a critical header")
		}
	}
	var key *Key
	if v.keys != nil && validKeyID(header.KeyID) {
		key = v.keys.ByID[header.KeyID]
	}
	if key == nil {
		return nil, deny(UnknownKey, "")
	}
	if header.Algorithm != string(key.Alg) {
		return nil, deny(Forbidden, "its key is one for %s", key.Alg)
	}
	var claims jwt.Claims
	var allClaims map[string]any
	if err := parsed.UnsafeClaimsWithoutVerification(&claims, &allClaims); err != nil {
		return nil, deny(Malformed, "its claims can't be read")
	}
	tenant, _ := allClaims[v.requirements.TenantClaim].(string)
	proof := &Proof{Tenant: tenant, Subject: claims.Subject, ID: claims.ID, KeyID: key.ID, keyThumbprint: key.thumbprint}
	switch {
	case claims.Issuer != v.requirements.Issuer:
		return nil, deny(Foreign, "another issuer")
	case !claims.Audience.Contains(v.requirements.Audience):
		return nil, deny(Foreign, "another audience")
	case tenant == "":
		return nil, deny(Forbidden, "it names no tenant")
	case claims.Expiry == nil:
		return nil, deny(Forbidden, "it never runs out")
	case claims.NotBefore != nil && now.Before(claims.NotBefore.Time().Add(-v.requirements.Leeway)):
		return nil, deny(NotYetValid, "")
	}
	proof.ExpiresAt = claims.Expiry.Time().Add(v.requirements.Leeway)
	if err := v.keys.CheckProof(now, proof); err != nil {
		return nil, err
	}
	if proof.ExpiresAt.Sub(now) > v.requirements.MaxLifetime+2*v.requirements.Leeway {
		return nil, deny(Forbidden, "it holds for too long")
	}
	if !v.sharedChecks.take(now) && (suspect || !v.reservedChecks.take(now)) {
		return nil, deny(Overloaded, "")
	}
	v.Checks++
	if err := parsed.Claims(key.Public, &claims); err != nil {
		return nil, deny(BadSignature, "")
	}
	v.addToCache(hash, proof)
	return proof, nil
}

// CheckProof returns nil if a proof is still valid: its token has not expired, and its key is in the set and
// active. It changes nothing and may be called while tokens are checked.
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

// CacheLen returns the number of cached tokens.
func (v *Verifier) CacheLen() int { return len(v.cache) }

// ReplayGuard remembers the IDs of orders' tokens until the tokens expire. The number of IDs is limited: if
// it is reached and no token has expired, further orders are refused, as forgetting an ID could let its
// order run twice.
type ReplayGuard struct {
	MaxIDs     int
	expiryByID map[string]time.Time
	nextExpiry time.Time // lower bound of the earliest expiry
}

// Use records a token's ID. It returns an error if the ID was used before or cannot be remembered.
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

// Release forgets the ID of an order that has certainly not run, so that its caller may retry with the same
// token.
func (r *ReplayGuard) Release(p *Proof) {
	if p.ID != "" {
		delete(r.expiryByID, p.Tenant+"\x00"+p.ID)
	}
}

// Len returns the number of IDs.
func (r *ReplayGuard) Len() int { return len(r.expiryByID) }
