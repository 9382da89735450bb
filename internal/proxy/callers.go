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

// Callers tells who clients are and what they may do. Prove may take some 100 us and is called without the lock; the others wait
// for nothing.
type Callers interface {
	Name() string // of a token in a request's list
	Prove(token []byte, from netip.Addr, suspect bool) (*identity.Proof, error)
	Certificate(*tls.ConnectionState) (*identity.Proof, error)
	TLS(front string) *tls.Config // of a front's listener; nil: it speaks plainly
	Holds(*identity.Proof) error
	May(*identity.Proof, identity.Ask) error
	Release(*identity.Proof)
}

// The first words of errors that are no refusals: trying again as it is would be in vain.
const (
	noAuthPrefix    = "NOAUTH "    // no proof
	wrongPassPrefix = "WRONGPASS " // one that does not hold
	noPermPrefix    = "NOPERM "    // no right
)

// identify proves who a command comes from, without the lock: by the token in its list, else by the connection's. No token goes
// any further, and the tenant is the proven one, whatever the list says.
func (c *client) identify(cmd *parsedCommand) {
	by := c.proxy.cfg.Callers
	if cmd.name == "AUTH" {
		if cmd.proof, cmd.denied = by.Prove(cmd.token, c.remoteAddr, c.suspect); cmd.denied == nil {
			c.proof = cmd.proof
		} else {
			c.proof = nil // who fails to prove another identity does not keep the one before
			c.suspect = c.suspect || identity.WhyOf(cmd.denied) != identity.Overload
		}
		cmd.token = nil
		return
	}
	if cmd.name != "" || cmd.refused {
		return
	}
	cmd.proof = c.proof
	name := by.Name()
	var err error
	attrs := make([]byte, 0, len(cmd.Attrs)+32)
	for n, value := range upstream.Attributes(cmd.Attrs) {
		switch n {
		case name:
			// Of more than one the last counts; each has to hold.
			if cmd.proof, err = c.proveCached(value); err != nil {
				cmd.denied = err
			}
		case "t":
		default:
			attrs = append(append(append(append(attrs, n...), '='), value...), ',')
		}
	}
	if cmd.proof != nil {
		attrs = append(append(attrs, "t="...), cmd.proof.Tenant...)
	} else {
		attrs = bytes.TrimSuffix(attrs, []byte{','})
	}
	cmd.Attrs = attrs
}

// proveCached tells what a token in a list proves. Most callers send the same one with each request: it is known again by itself.
func (c *client) proveCached(token []byte) (*identity.Proof, error) {
	by := c.proxy.cfg.Callers
	if c.lastTokenProof != nil && bytes.Equal(token, c.lastToken) {
		return c.lastTokenProof, by.Holds(c.lastTokenProof)
	}
	p, err := by.Prove(token, c.remoteAddr, c.suspect)
	if err != nil {
		c.suspect = c.suspect || identity.WhyOf(err) != identity.Overload
		return nil, err
	}
	c.lastToken, c.lastTokenProof = append(c.lastToken[:0], token...), p
	return p, nil
}

// Callers tells who clients are and what they may do; nil: nobody asks.
func (p *Proxy) Callers() Callers { return p.cfg.Callers }

// authorize tells whether who a request is from may make it, where that is asked. An order uses its token's id until it is refused.
func (p *Proxy) authorize(r *Request, class *logic.Class) error {
	if p.cfg.Callers == nil {
		return nil
	}
	// Where orders are on record, the record knows which order has used a token, also over a restart, and a repeat of that one may come by it.
	once := class.Effect == logic.AtMostOnce && p.cfg.Record == nil
	err := p.cfg.Callers.May(r.Proof, identity.Ask{Class: class.Name, Key: r.Key, Front: r.Front, Write: r.Write, Once: once,
		Size: max(len(r.Value), r.longBytes)})
	r.tokenUsed = err == nil && once
	return err
}

// releaseToken gives the id of an order's token back: the order has surely not run, and may come again by it.
func (p *Proxy) releaseToken(r *Request) {
	if r.tokenUsed {
		r.tokenUsed = false
		p.cfg.Callers.Release(r.Proof)
	}
}

// checkProof tells whether the proof that a request came with still holds, and notes it if not. An order must not be sent on a proof that
// has been taken away since, and a read need not be.
func (p *Proxy) checkProof(r *Request) bool {
	if r.Proof != nil {
		r.denied = p.cfg.Callers.Holds(r.Proof)
	}
	return r.denied == nil
}

// appendDenied puts what turned a caller away into RESP2. Only where nothing was found out about it may it try again as it is.
func appendDenied(b []byte, err error) []byte {
	var e *identity.Error
	if !errors.As(err, &e) {
		return resp.AppendError(b, "ERR "+err.Error())
	}
	first := wrongPassPrefix
	switch e.Why {
	case identity.Overload:
		return resp.AppendError(b, "BUSY")
	case identity.Unproven:
		first = noAuthPrefix
	case identity.Right, identity.Rate, identity.Replayed:
		first = noPermPrefix
	}
	return resp.AppendError(b, string(resp.AppendLine(nil, first+e.Error())))
}
