package identity

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rsa"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/go-jose/go-jose/v4"
)

const (
	maxKeys        = 64
	maxKeySetBytes = 256 << 10
	maxKeyIDLen    = 64
	minRSABits     = 2048
	maxRSABits     = 4096 // the cost of a check quadruples with each doubling
)

// Algorithms is the accepted algorithms, whatever a token's header says.
var Algorithms = []jose.SignatureAlgorithm{jose.EdDSA, jose.ES256, jose.RS256}

// Phase is the phase of a key's life.
type Phase uint8

// The phases of a key: not accepted yet, accepted, and no longer accepted.
const (
	PhaseComing Phase = iota
	PhaseActive
	PhaseRetired
)

func (p Phase) String() string { return [...]string{"coming", "active", "retired"}[p] }

// Key is a public key with its validity period.
type Key struct {
	ID         string
	Alg        jose.SignatureAlgorithm
	Public     any
	NotBefore  time.Time // zero means always
	NotAfter   time.Time // zero means forever
	thumbprint string    // detects another key under the same ID
}

// Phase returns the key's phase. The operators set its limits, which apply without leeway.
func (k *Key) Phase(now time.Time) Phase {
	switch {
	case !k.NotAfter.IsZero() && !now.Before(k.NotAfter):
		return PhaseRetired
	case now.Before(k.NotBefore):
		return PhaseComing
	}
	return PhaseActive
}

// KeySet is a set of keys. It is immutable and is replaced as a whole.
type KeySet struct {
	ByID map[string]*Key
	List []*Key // in the order of the file
}

// ParseKeySet parses a JWK set (RFC 7517). In addition to the standard members, a key may have nbf and exp,
// in seconds since 1970: when it becomes active and when it is retired. A single error rejects the whole
// set.
func ParseKeySet(text []byte) (*KeySet, error) {
	if len(text) > maxKeySetBytes {
		return nil, fmt.Errorf("key set: %d bytes, more than %d", len(text), maxKeySetBytes)
	}
	var set struct {
		Keys []json.RawMessage `json:"keys"`
	}
	if err := json.Unmarshal(text, &set); err != nil {
		return nil, fmt.Errorf("key set: %w", err)
	}
	if len(set.Keys) == 0 {
		return nil, errors.New("key set: there is no key")
	}
	if len(set.Keys) > maxKeys {
		return nil, fmt.Errorf("key set: %d keys, more than %d", len(set.Keys), maxKeys)
	}
	parsed := &KeySet{ByID: map[string]*Key{}}
	for i, raw := range set.Keys {
		k, err := parseKey(raw)
		if err != nil {
			return nil, fmt.Errorf("key set: keys[%d]: %w", i, err)
		}
		if parsed.ByID[k.ID] != nil {
			return nil, fmt.Errorf("key set: keys[%d]: kid %q is used twice", i, k.ID)
		}
		parsed.ByID[k.ID] = k
		parsed.List = append(parsed.List, k)
	}
	return parsed, nil
}

func parseKey(raw []byte) (*Key, error) {
	var jwk jose.JSONWebKey
	if err := jwk.UnmarshalJSON(raw); err != nil {
		return nil, err
	}
	var validity struct {
		From  *float64 `json:"nbf"`
		Until *float64 `json:"exp"`
	}
	if err := json.Unmarshal(raw, &validity); err != nil {
		return nil, err
	}
	k := &Key{ID: jwk.KeyID, Public: jwk.Key}
	if !validKeyID(k.ID) {
		return nil, fmt.Errorf("kid %q: 1 to %d letters, digits, '-', '_' or '.'", k.ID, maxKeyIDLen)
	}
	if jwk.Use != "" && jwk.Use != "sig" {
		return nil, fmt.Errorf("use is %q, not sig", jwk.Use)
	}
	switch public := jwk.Key.(type) {
	case ed25519.PublicKey:
		k.Alg = jose.EdDSA
	case *ecdsa.PublicKey:
		if public.Curve != elliptic.P256() {
			return nil, errors.New("an EC key must be on P-256")
		}
		k.Alg = jose.ES256
	case *rsa.PublicKey:
		if n := public.N.BitLen(); n < minRSABits || n > maxRSABits {
			return nil, fmt.Errorf("an RSA key of %d bits; it must have %d to %d", n, minRSABits, maxRSABits)
		}
		k.Alg = jose.RS256
	default:
		return nil, errors.New("not a public key for EdDSA, ES256 or RS256; private and shared keys are not allowed")
	}
	if jwk.Algorithm != "" && jwk.Algorithm != string(k.Alg) {
		return nil, fmt.Errorf("alg is %q; a key of this type requires %s", jwk.Algorithm, k.Alg)
	}
	if validity.From != nil {
		k.NotBefore = unixTime(*validity.From)
	}
	if validity.Until != nil {
		if k.NotAfter = unixTime(*validity.Until); !k.NotAfter.After(k.NotBefore) {
			return nil, errors.New("exp is not after nbf")
		}
	}
	thumbprint, err := jwk.Thumbprint(crypto.SHA256)
	if err != nil {
		return nil, err
	}
	k.thumbprint = string(thumbprint)
	return k, nil
}

func unixTime(s float64) time.Time { return time.UnixMilli(int64(s * 1000)) }

// validKeyID reports whether an ID can be printed and compared as it is. IDs are never used as file names or
// addresses.
func validKeyID(id string) bool {
	return id != "" && len(id) <= maxKeyIDLen &&
		strings.Trim(id, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == ""
}
