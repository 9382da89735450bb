package server

import (
	"strings"

	"linenloom/internal/identity"
)

// authorization is the header that a token comes in (RFC 6750, section 2.1).
const authorization = "authorization"

// identify proves who a call is from, where callers are proven. The tenant is the proven one, whatever the headers say, and so is the
// tenant's part in the request's id: nobody takes up, repeats or blocks another's call by naming its id. The token goes no further:
// where the caller makes the exchange itself, it is told to take the header out (name). A call that comes back for its next attempt
// has to bring a token that holds too; the attempt goes by the proof that the request was taken by.
func (s *stream) identify() error {
	by := s.f.p.Callers()
	if by == nil {
		return nil
	}
	h := &s.head
	scheme, token, _ := strings.Cut(h.authorization, " ")
	given := h.authorization != ""
	h.authorization, h.tenant = "", ""
	p := s.byCertificate()
	switch {
	case !given && p != nil: // a token wins over the connection's certificate; a header that is none does not leave it in force
	case !strings.EqualFold(scheme, "Bearer") || token == "":
		return &identity.Error{Reason: identity.NoCredentials}
	default:
		// Callers share connections, so none can be told from another by the bad tokens that it has shown: all go by the half of
		// the checks that is open to everybody.
		var err error
		if p, err = by.Prove([]byte(token), s.from(), true); err != nil {
			return err
		}
	}
	s.proof, h.tenant = p, p.Tenant
	if h.id != "" {
		h.id = p.Tenant + "/" + h.id
	}
	return nil
}

// denied answers a caller that is turned away (RFC 6750, section 3.1; RFC 6585, section 4). Only what was not looked at may come
// again as it is.
func (s *stream) denied(err error) error {
	switch identity.ReasonOf(err) {
	case identity.Overloaded:
		return s.immediate(503, []byte(err.Error()), "", setHeader("retry-after", "1"))
	case identity.RateLimited:
		return s.immediate(429, []byte(err.Error()), "")
	case identity.NoRight, identity.Replayed:
		return s.immediate(403, []byte(err.Error()), "")
	case identity.NoCredentials:
		return s.immediate(401, []byte(err.Error()), "", setHeader("www-authenticate", "Bearer"))
	}
	return s.immediate(401, []byte(err.Error()), "", setHeader("www-authenticate", `Bearer error="invalid_token"`))
}
