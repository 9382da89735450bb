package server

import (
	"strings"

	"linenloom/internal/identity"
)

// authorization is the header that carries a token (RFC 6750, section 2.1).
const authorization = "authorization"

// authenticate proves a caller's identity, if callers are authenticated. The tenant is the proven one,
// whatever the headers say, and it prefixes the request id, so that no caller can continue, repeat or block
// another tenant's call by using its id. The token is not passed on: a caller that makes the exchange
// itself gets a mutation that removes the header (memberMessage). A call that returns for its next attempt
// must carry a valid token too; the attempt uses the proof of the original request.
func (s *stream) authenticate() error {
	callers := s.front.host.Callers()
	if callers == nil {
		return nil
	}
	head := &s.head
	scheme, token, _ := strings.Cut(head.authorization, " ")
	hasHeader := head.authorization != ""
	head.authorization, head.tenant = "", ""
	proof := s.certificateProof()
	switch {
	// An Authorization header takes precedence over the certificate, even without a valid token.
	case !hasHeader && proof != nil:
	case !strings.EqualFold(scheme, "Bearer") || token == "":
		return &identity.Error{Reason: identity.NoCredentials}
	default:
		// Callers share connections, so an earlier bad token cannot be attributed to one of them: all use
		// the half of the signature checks that is open to everyone.
		var err error
		if proof, err = callers.VerifyToken([]byte(token), s.remoteIP(), true); err != nil {
			return err
		}
	}
	s.proof, head.tenant = proof, proof.Tenant
	if head.requestID != "" {
		head.requestID = proof.Tenant + "/" + head.requestID
	}
	return nil
}

// sendDenied answers a caller that is denied (RFC 6750, section 3.1; RFC 6585, section 4). The answer asks for
// an unchanged retry only if the token was not checked.
func (s *stream) sendDenied(err error) error {
	switch identity.ReasonOf(err) {
	case identity.Overloaded:
		return s.sendImmediate(503, []byte(err.Error()), "", setHeader("retry-after", "1"))
	case identity.RateLimited:
		return s.sendImmediate(429, []byte(err.Error()), "")
	case identity.NoRight, identity.Replayed:
		return s.sendImmediate(403, []byte(err.Error()), "")
	case identity.NoCredentials:
		return s.sendImmediate(401, []byte(err.Error()), "", setHeader("www-authenticate", "Bearer"))
	}
	return s.sendImmediate(401, []byte(err.Error()), "", setHeader("www-authenticate", `Bearer error="invalid_token"`))
}
