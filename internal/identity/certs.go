package identity

import (
	"crypto/sha256"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	maxRoots      = 64
	maxCertNames  = 32 // names of a certificate that are examined
	maxChains     = 8  // chains of a certificate that are examined
	maxRootsBytes = 1 << 20
)

// CertRule maps client certificates to a tenant, by a URI or DNS name among the subject alternative names
// (RFC 5280, section 4.2.1.6) or by the issuer. Exactly one of the three is set. A URI that ends in "/*"
// matches everything below it; a DNS name that begins with "*." matches one label in that place.
type CertRule struct {
	URI, DNS, Issuer string
	Tenant           string
}

// Certs decides what client certificates prove. It is immutable and is replaced as a whole. The TLS library
// has already verified a certificate's chain; the root that it ends in is recorded, as roots are added and
// removed.
type Certs struct {
	rules []CertRule
	roots map[[sha256.Size]byte]bool
}

// certFacts is the part of a certificate that a proof retains.
type certFacts struct {
	uris, dns []string
	issuer    string
	chains    []certChain
}

// certChain is one chain to a root, with the time in which all its certificates are valid.
type certChain struct {
	root                [sha256.Size]byte
	notBefore, notAfter time.Time
}

// NewCerts returns a Certs for the rules and roots in force.
func NewCerts(rules []CertRule, roots []*x509.Certificate) *Certs {
	c := &Certs{rules: rules, roots: make(map[[sha256.Size]byte]bool, len(roots))}
	for _, r := range roots {
		c.roots[sha256.Sum256(r.Raw)] = true
	}
	return c
}

// ParseRoots parses PEM certificates (RFC 7468). A single error rejects all of them.
func ParseRoots(text []byte) (roots []*x509.Certificate, err error) {
	if len(text) > maxRootsBytes {
		return nil, fmt.Errorf("roots: %d bytes, more than %d", len(text), maxRootsBytes)
	}
	for rest := text; ; {
		var block *pem.Block
		if block, rest = pem.Decode(rest); block == nil {
			if s := strings.TrimSpace(string(rest)); strings.Contains(s, "-----BEGIN") {
				return nil, fmt.Errorf("roots: the PEM block after certificate %d is cut short", len(roots))
			}
			break
		}
		if block.Type != "CERTIFICATE" {
			return nil, fmt.Errorf("roots: unexpected PEM block %q", block.Type)
		}
		r, err := x509.ParseCertificate(block.Bytes)
		switch {
		case err != nil:
			return nil, fmt.Errorf("roots: certificate %d: %w", len(roots)+1, err)
		case !r.IsCA:
			return nil, fmt.Errorf("roots: certificate %d (%s) may not sign other certificates", len(roots)+1, r.Subject)
		case len(roots) == maxRoots:
			return nil, fmt.Errorf("roots: more than %d certificates", maxRoots)
		}
		roots = append(roots, r)
	}
	if len(roots) == 0 {
		return nil, errors.New("roots: no certificate")
	}
	return roots, nil
}

// Check returns what a certificate proves. The chains have been verified; each begins with the certificate
// and ends with a root.
func (c *Certs) Check(now time.Time, chains [][]*x509.Certificate) (*Proof, error) {
	if len(chains) == 0 || len(chains[0]) == 0 {
		return nil, deny(NoCredentials, "no certificate")
	}
	leaf := chains[0][0]
	facts := &certFacts{dns: leaf.DNSNames, issuer: leaf.Issuer.String()}
	for _, u := range leaf.URIs {
		facts.uris = append(facts.uris, u.String())
	}
	if len(facts.uris)+len(facts.dns) > maxCertNames {
		return nil, deny(Forbidden, "its certificate has more than %d names", maxCertNames)
	}
	for _, chain := range chains[:min(len(chains), maxChains)] {
		link := certChain{root: sha256.Sum256(chain[len(chain)-1].Raw), notBefore: leaf.NotBefore, notAfter: leaf.NotAfter}
		for _, certificate := range chain {
			if certificate.NotAfter.Before(link.notAfter) {
				link.notAfter = certificate.NotAfter
			}
			if certificate.NotBefore.After(link.notBefore) {
				link.notBefore = certificate.NotBefore
			}
		}
		facts.chains = append(facts.chains, link)
	}
	tenant, err := c.tenantOf(facts)
	if err != nil {
		return nil, err
	}
	p := &Proof{Tenant: tenant, Subject: leaf.Subject.String(), certificate: facts}
	for _, link := range facts.chains {
		if link.notAfter.After(p.ExpiresAt) {
			p.ExpiresAt = link.notAfter
		}
	}
	return p, c.CheckProof(now, p)
}

// tenantOf returns the tenant of a certificate's names. URIs take precedence over DNS names, and these over
// the issuer. If names of one kind match two tenants, the certificate proves neither.
func (c *Certs) tenantOf(f *certFacts) (string, error) {
	for _, matches := range []func(r *CertRule) bool{
		func(r *CertRule) bool {
			return r.URI != "" && slices.ContainsFunc(f.uris, func(s string) bool { return matchURI(r.URI, s) })
		},
		func(r *CertRule) bool {
			return r.DNS != "" && slices.ContainsFunc(f.dns, func(s string) bool { return matchDNS(r.DNS, s) })
		},
		func(r *CertRule) bool { return r.Issuer != "" && r.Issuer == f.issuer },
	} {
		tenant := ""
		for i := range c.rules {
			if r := &c.rules[i]; matches(r) {
				if tenant != "" && tenant != r.Tenant {
					return "", deny(Forbidden, "its certificate names more than one tenant")
				}
				tenant = r.Tenant
			}
		}
		if tenant != "" {
			return tenant, nil
		}
	}
	return "", deny(Foreign, "its certificate names no tenant here")
}

// CheckProof returns nil if a certificate's proof is still valid: all certificates of at least one chain are
// valid now, the chain ends in a root that is in force, and the names still match the same tenant.
func (c *Certs) CheckProof(now time.Time, p *Proof) error {
	if p.certificate == nil {
		return deny(Forbidden, "no certificate")
	}
	rootInForce, notYetValid := false, false
	for _, link := range p.certificate.chains {
		switch {
		case !c.roots[link.root]:
		case now.Before(link.notBefore):
			rootInForce, notYetValid = true, true
		case now.After(link.notAfter): // RFC 5280, section 4.1.2.5: notAfter is inclusive
			rootInForce = true
		default:
			if tenant, err := c.tenantOf(p.certificate); err != nil {
				return err
			} else if tenant != p.Tenant {
				return deny(KeyRetired, "its certificate stands for another tenant now")
			}
			return nil
		}
	}
	switch {
	case !rootInForce:
		return deny(KeyRetired, "its certificate's root is gone")
	case notYetValid:
		return deny(NotYetValid, "its certificate")
	}
	return deny(Expired, "its certificate")
}

// matchURI compares byte by byte, as RFC 3986 requires for an unknown scheme.
func matchURI(rule, name string) bool {
	if below, ok := strings.CutSuffix(rule, "*"); ok && strings.HasSuffix(below, "/") {
		return len(name) > len(below) && strings.HasPrefix(name, below) && !strings.Contains(name, "/../") &&
			!strings.HasSuffix(name, "/..") && !strings.ContainsAny(name, "%?#")
	}
	return rule == name
}

// matchDNS ignores case (RFC 4343). A certificate for a wildcard name does not identify a single caller.
func matchDNS(rule, name string) bool {
	if strings.HasPrefix(name, "*") {
		return false
	}
	if rest, ok := strings.CutPrefix(rule, "*."); ok {
		label, zone, found := strings.Cut(name, ".")
		return found && label != "" && strings.EqualFold(zone, rest)
	}
	return strings.EqualFold(rule, name)
}
