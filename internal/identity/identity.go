// Package identity decides who a caller is and what it may do: whether a token proves a tenant, for how long a proof holds while
// keys come and go, and which requests a tenant's rights cover.
//
// It is free of I/O, clock and goroutines: the time and the text of key sets are handed in. It reads no file, opens no
// connection, and never puts a token into an error. Limits on what the fleet can take are not its matter; they are the
// decision module's.
package identity

import (
	"errors"
	"fmt"
)

// Reason is the reason for which a caller is turned away.
type Reason uint8

// The reasons.
const (
	NoCredentials Reason = iota + 1 // no token, where one is asked for
	Malformed                       // it can't be read as a token
	Forbidden                       // an algorithm, header or claim that is not accepted
	UnknownKey                      // no key of the set has its kid
	NotYetValid                     // before the token's time, or the key's
	Expired                         // past the token's time
	KeyRetired                      // its key is retired
	Foreign                         // of another issuer, or for another audience
	BadSignature                    // the signature is not the key's
	Overloaded                      // too many tokens are to be checked; nothing is said of this one
	NoRight                         // the tenant has no right to it
	RateLimited                     // the tenant has asked too often
	Replayed                        // an order's token that was used before, or may have been
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

// Error tells why a caller is turned away, in words that hold nothing of the token but what the file of rights names itself.
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

// ReasonOf is the reason that an error tells; 0: none of these.
func ReasonOf(err error) Reason {
	var e *Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return 0
}
