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
	maxCertNames  = 32 // of a certificate, that are looked at
	maxChains     = 8  // through which a certificate is proven
	maxRootsBytes = 1 << 20
)

// CertRule says which tenant a client certificate proves: by a URI or DNS name among its subject alternative names (RFC 5280,
// section 4.2.1.6), or by its issuer. Exactly one of the three is set. A URI that ends in "/*" stands for all below it, a
// DNS name that begins with "*." for one label in that place.
type CertRule struct {
	URI, DNS, Issuer string
	Tenant           string
}

// Certs decides what client certificates prove. It is never changed: another one takes its place. That a certificate's chain is
// whole and signed has been checked before, by the TLS library; which root it ends in is kept, as roots come and go.
type Certs struct {
	rules []CertRule
	roots map[[sha256.Size]byte]bool
}

// certFacts is what a proof keeps of a certificate.
type certFacts struct {
	uris, dns []string
	issuer    string
	chains    []certChain
}

// certChain is one way to a root, and until when all of it counts.
type certChain struct {
	root                [sha256.Size]byte
	notBefore, notAfter time.Time
}

// NewCerts makes a Certs for the roots in force.
func NewCerts(rules []CertRule, roots []*x509.Certificate) *Certs {
	c := &Certs{rules: rules, roots: make(map[[sha256.Size]byte]bool, len(roots))}
	for _, r := range roots {
		c.roots[sha256.Sum256(r.Raw)] = true
	}
	return c
}

// ParseRoots reads certificates in PEM (RFC 7468). One fault is enough to turn down all of them.
func ParseRoots(text []byte) (roots []*x509.Certificate, err error) {
	if len(text) > maxRootsBytes {
		return nil, fmt.Errorf("roots: %d bytes, more than %d", len(text), maxRootsBytes)
	}
	for rest := text; ; {
		var block *pem.Block
		if block, rest = pem.Decode(rest); block == nil {
			if s := strings.TrimSpace(string(rest)); strings.Contains(s, "-----BEGIN") {
				return nil, fmt.Errorf("roots: what follows certificate %d is cut short", len(roots))
			}
			break
		}
		if block.Type != "CERTIFICATE" {
			return nil, fmt.Errorf("roots: a %q among the certificates", block.Type)
		}
		r, err := x509.ParseCertificate(block.Bytes)
		switch {
		case err != nil:
			return nil, fmt.Errorf("roots: certificate %d: %w", len(roots)+1, err)
		case !r.IsCA:
			return nil, fmt.Errorf("roots: certificate %d (%s) may not sign others", len(roots)+1, r.Subject)
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

// Check tells what a certificate proves that was verified through these chains, the certificate first and a root last.
func (c *Certs) Check(now time.Time, chains [][]*x509.Certificate) (*Proof, error) {
	if len(chains) == 0 || len(chains[0]) == 0 {
		return nil, deny(NoCredentials, "no certificate")
	}
	leaf := chains[0][0]
	f := &certFacts{dns: leaf.DNSNames, issuer: leaf.Issuer.String()}
	for _, u := range leaf.URIs {
		f.uris = append(f.uris, u.String())
	}
	if len(f.uris)+len(f.dns) > maxCertNames {
		return nil, deny(Forbidden, "its certificate has more than %d names", maxCertNames)
	}
	for _, chain := range chains[:min(len(chains), maxChains)] {
		link := certChain{root: sha256.Sum256(chain[len(chain)-1].Raw), notBefore: leaf.NotBefore, notAfter: leaf.NotAfter}
		for _, one := range chain {
			if one.NotAfter.Before(link.notAfter) {
				link.notAfter = one.NotAfter
			}
			if one.NotBefore.After(link.notBefore) {
				link.notBefore = one.NotBefore
			}
		}
		f.chains = append(f.chains, link)
	}
	tenant, err := c.tenantOf(f)
	if err != nil {
		return nil, err
	}
	p := &Proof{Tenant: tenant, Subject: leaf.Subject.String(), certificate: f}
	for _, link := range f.chains {
		if link.notAfter.After(p.ExpiresAt) {
			p.ExpiresAt = link.notAfter
		}
	}
	return p, c.CheckProof(now, p)
}

// tenantOf is the one that a certificate's names stand for: URIs count before DNS names, and these before the issuer. Names of a
// kind that stand for two tenants prove neither.
func (c *Certs) tenantOf(f *certFacts) (string, error) {
	for _, fits := range []func(r *CertRule) bool{
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
			if r := &c.rules[i]; fits(r) {
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

// CheckProof tells whether a certificate's proof still holds: through one chain at least everything counts now and ends in a root that
// is in force, and its names still stand for the same tenant.
func (c *Certs) CheckProof(now time.Time, p *Proof) error {
	if p.certificate == nil {
		return deny(Forbidden, "no certificate")
	}
	rooted, early := false, false
	for _, link := range p.certificate.chains {
		switch {
		case !c.roots[link.root]:
		case now.Before(link.notBefore):
			rooted, early = true, true
		case now.After(link.notAfter): // RFC 5280, section 4.1.2.5: the last moment counts
			rooted = true
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
	case !rooted:
		return deny(KeyRetired, "its certificate's root is gone")
	case early:
		return deny(NotYetValid, "its certificate")
	}
	return deny(Expired, "its certificate")
}

// matchURI compares as RFC 3986 leaves it where nothing is known of the scheme: byte by byte.
func matchURI(rule, name string) bool {
	if below, ok := strings.CutSuffix(rule, "*"); ok && strings.HasSuffix(below, "/") {
		return len(name) > len(below) && strings.HasPrefix(name, below) && !strings.Contains(name, "/../") &&
			!strings.HasSuffix(name, "/..") && !strings.ContainsAny(name, "%?#")
	}
	return rule == name
}

// matchDNS compares without regard to case (RFC 4343). A certificate that is itself for a wildcard stands for no single caller.
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
