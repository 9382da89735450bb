// Package identity decides who a caller is and what it may do: whether a token or certificate proves a
// tenant, how long the proof is valid while keys change, and which requests a tenant's rights permit.
//
// It has no I/O, clock or goroutines: the caller provides the time and the text of key sets. It never
// includes a token in an error. The capacity of the fleet is not its concern but the decision module's.
package identity

import (
	"errors"
	"fmt"
)

// Reason is the reason why a caller is refused.
type Reason uint8

// The reasons of refusals.
const (
	NoCredentials Reason = iota + 1 // no token or certificate, although one is required
	Malformed                       // not a readable token
	Forbidden                       // an algorithm, header or claim is not accepted
	UnknownKey                      // the key set has no key with the token's kid
	NotYetValid                     // the token or its key is not valid yet
	Expired                         // the token or certificate has expired
	KeyRetired                      // the token's key or the certificate's root is retired
	Foreign                         // from another issuer, for another audience, or naming no known tenant
	BadSignature                    // the signature does not match the key
	Overloaded                      // too many tokens to check; this one has not been checked
	NoRight                         // the tenant has no right to the request
	RateLimited                     // the tenant exceeds its request rate
	Replayed                        // the token of an order has been used before, or may have been
)

var reasonText = [...]string{NoCredentials: "no token", Malformed: "no token of a known form", Forbidden: "not accepted",
	UnknownKey: "unknown key", NotYetValid: "not valid yet", Expired: "run out", KeyRetired: "its key is retired",
	Foreign: "not for here", BadSignature: "wrong signature", Overloaded: "too many tokens to check", NoRight: "no right",
	RateLimited: "too often", Replayed: "used before"}

func (w Reason) String() string {
	if int(w) < len(reasonText) && reasonText[w] != "" {
		return reasonText[w]
	}
	return "unknown"
}

// Error is the reason why a caller is refused. Its text has nothing of the token except names that the
// operator's file defines.
type Error struct {
	Reason Reason
	Detail string
}

func (e *Error) Error() string {
	if e.Detail == "" {
		return e.Reason.String()
	}
	return e.Reason.String() + ": " + e.Detail
}

func deny(why Reason, format string, args ...any) error {
	return &Error{why, fmt.Sprintf(format, args...)}
}

// ReasonOf returns the reason in an error, or 0 if there is none.
func ReasonOf(err error) Reason {
	var e *Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return 0
}
