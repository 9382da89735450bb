package proxy

import (
	"bytes"
	"crypto/tls"
	"errors"
	"net/netip"

	"linenloom/internal/identity"
	"linenloom/internal/resp"
	"linenloom/internal/upstream"
	"linenloom/logic"
)

// Callers authenticates and authorizes clients. VerifyToken may take some 100 us and is called without the lock;
// the other methods do not block.
type Callers interface {
	TokenAttribute() string // name of the attribute that carries a token in a request's list
	VerifyToken(token []byte, from netip.Addr, suspect bool) (*identity.Proof, error)
	Certificate(*tls.ConnectionState) (*identity.Proof, error)
	TLS(front string) *tls.Config // configuration of a front's listener; nil: the front does not use TLS
	CheckProof(*identity.Proof) error
	Authorize(*identity.Proof, identity.Request) error
	Release(*identity.Proof)
}

// The first words of errors that are not refusals: an unchanged retry would fail again.
const (
	noAuthPrefix    = "NOAUTH "    // no proof
	wrongPassPrefix = "WRONGPASS " // invalid proof
	noPermPrefix    = "NOPERM "    // no permission
)

// identify authenticates the caller of a command, without the lock: by the token in its attribute list,
// else by the connection's proof. Tokens are removed from the list, and the tenant is always the proven
// one, whatever the list says.
func (c *client) identify(cmd *parsedCommand) {
	callers := c.proxy.cfg.Callers
	if cmd.name == "AUTH" {
		if cmd.proof, cmd.denied = callers.VerifyToken(cmd.token, c.remoteAddr, c.suspect); cmd.denied == nil {
			c.proof = cmd.proof
		} else {
			c.proof = nil // a failed attempt to change the identity also ends the previous one
			c.suspect = c.suspect || identity.ReasonOf(cmd.denied) != identity.Overloaded
		}
		cmd.token = nil
		return
	}
	if cmd.name != "" || cmd.refused {
		return
	}
	cmd.proof = c.proof
	tokenName := callers.TokenAttribute()
	var err error
	attrs := make([]byte, 0, len(cmd.Attrs)+32)
	for name, value := range upstream.Attributes(cmd.Attrs) {
		switch name {
		case tokenName:
			// Of several tokens the last one counts; each has to be valid.
			if cmd.proof, err = c.proveCached(value); err != nil {
				cmd.denied = err
			}
		case "t":
		default:
			attrs = append(append(append(append(attrs, name...), '='), value...), ',')
		}
	}
	if cmd.proof != nil {
		attrs = append(append(attrs, "t="...), cmd.proof.Tenant...)
	} else {
		attrs = bytes.TrimSuffix(attrs, []byte{','})
	}
	cmd.Attrs = attrs
}

// proveCached returns what a token in an attribute list proves. Most callers send the same token with each
// request: the latest token is compared directly.
func (c *client) proveCached(token []byte) (*identity.Proof, error) {
	callers := c.proxy.cfg.Callers
	if c.lastTokenProof != nil && bytes.Equal(token, c.lastToken) {
		return c.lastTokenProof, callers.CheckProof(c.lastTokenProof)
	}
	p, err := callers.VerifyToken(token, c.remoteAddr, c.suspect)
	if err != nil {
		c.suspect = c.suspect || identity.ReasonOf(err) != identity.Overloaded
		return nil, err
	}
	c.lastToken, c.lastTokenProof = append(c.lastToken[:0], token...), p
	return p, nil
}

// Callers returns what authenticates and authorizes clients; nil if they are not checked.
func (p *Proxy) Callers() Callers { return p.cfg.Callers }

// authorize returns an error if the caller may not make the request, where callers are checked. An order
// marks its token's id as used until the order is refused.
func (p *Proxy) authorize(r *Request, class *logic.Class) error {
	if p.cfg.Callers == nil {
		return nil
	}
	// With an order record, the record knows which order has used a token, also across a restart, and a
	// retry of that order may use the token again.
	once := class.Effect == logic.AtMostOnce && p.cfg.Record == nil
	err := p.cfg.Callers.Authorize(r.Proof, identity.Request{Class: class.Name, Key: r.Key, Front: r.Front, Write: r.Write, AtMostOnce: once,
		ValueSize: max(len(r.Value), r.longBytes)})
	r.tokenUsed = err == nil && once
	return err
}

// releaseToken gives back the id of an order's token: the order has certainly not run, and may be sent
// again with it.
func (p *Proxy) releaseToken(r *Request) {
	if r.tokenUsed {
		r.tokenUsed = false
		p.cfg.Callers.Release(r.Proof)
	}
}

// checkProof reports whether the proof of a request is still valid, and records the error if not. An order
// must not be sent on a revoked proof, and a read need not be.
func (p *Proxy) checkProof(r *Request) bool {
	if r.Proof != nil {
		r.denied = p.cfg.Callers.CheckProof(r.Proof)
	}
	return r.denied == nil
}

// appendDenied appends the RESP2 error for a rejected caller. Only where the caller could not be checked
// may it retry the command unchanged.
func appendDenied(b []byte, err error) []byte {
	var e *identity.Error
	if !errors.As(err, &e) {
		return resp.AppendError(b, "ERR "+err.Error())
	}
	prefix := wrongPassPrefix
	switch e.Reason {
	case identity.Overloaded:
		return resp.AppendError(b, "BUSY")
	case identity.NoCredentials:
		prefix = noAuthPrefix
	case identity.NoRight, identity.RateLimited, identity.Replayed:
		prefix = noPermPrefix
	}
	return resp.AppendError(b, string(resp.AppendLine(nil, prefix+e.Error())))
}
