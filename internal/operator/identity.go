package operator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"linenloom/internal/identity"
)

// Identity requires callers to be identified by signed tokens or client certificates, and limits what each
// tenant may do (docs/identity-operators.md).
type Identity struct {
	KeySetFile      string   `toml:"keys" json:"Keys"` // path of the JWK set
	Issuer          string   `toml:"issuer"`
	Audience        string   `toml:"audience"`
	TenantClaim     string   `toml:"tenant_claim"`
	TokenAttribute  string   `toml:"name" json:"Name"` // the request attribute that carries a token
	Leeway          Duration `toml:"leeway"`
	MaxLifetime     Duration `toml:"max_life" json:"MaxLife"`
	TokenCacheSize  int      `toml:"known" json:"Known"`
	ChecksPerSecond int      `toml:"checks_per_s" json:"ChecksPerS"`
	MaxReplayIDs    int      `toml:"replays" json:"Replays"`
	MaxSuspects     int      `toml:"suspects" json:"Suspects"` // remembered addresses with a recent forged token
	Tenants         []Tenant `toml:"tenant"`

	TLS          TLS           `toml:"tls"` // the zero value means not set
	Certificates []Certificate `toml:"certificate"`
}

// TLS makes listeners use TLS and accept client certificates.
type TLS struct {
	Cert       string   `toml:"cert"` // path of the listeners' certificate chain
	Key        string   `toml:"key"`
	Roots      string   `toml:"roots"`  // path of the root certificates for client certificates
	Client     string   `toml:"client"` // "asked" or "required"
	Fronts     []string `toml:"fronts"` // empty means all
	Handshakes int      `toml:"handshakes_per_s"`
}

// Enabled reports whether the file sets [identity.tls].
func (t *TLS) Enabled() bool { return t.Client != "" }

// Certificate maps client certificates to a tenant.
type Certificate struct {
	URI    string `toml:"uri"`
	DNS    string `toml:"dns"`
	Issuer string `toml:"issuer"`
	Tenant string `toml:"tenant"`
	Line   int
}

// Tenant is the rights of one tenant.
type Tenant struct {
	Name     string   `toml:"name"`
	Classes  []string `toml:"classes"`
	Prefixes []string `toml:"prefixes"`
	Fronts   []string `toml:"fronts"`
	ReadOnly bool     `toml:"read_only"`
	MaxValue int      `toml:"max_value"`
	Rate     int      `toml:"rate"`
	Line     int
}

var identityDefaults = Identity{TenantClaim: "tenant", TokenAttribute: "tk", Leeway: Duration(30 * time.Second), MaxLifetime: Duration(24 * time.Hour),
	TokenCacheSize: 4096, ChecksPerSecond: 500, MaxReplayIDs: 65536, MaxSuspects: 4096, TLS: TLS{Client: "asked", Handshakes: 200}}

// AcceptsTokens reports whether callers can be identified by tokens.
func (i *Identity) AcceptsTokens() bool { return i.KeySetFile != "" }

// CertRules converts the certificates' rules to package identity's type.
func (i *Identity) CertRules() (all []identity.CertRule) {
	for _, c := range i.Certificates {
		all = append(all, identity.CertRule{URI: c.URI, DNS: c.DNS, Issuer: c.Issuer, Tenant: c.Tenant})
	}
	return all
}

// Rights converts the tenants' rights to package identity's type.
func (i *Identity) Rights() (all []identity.Rights) {
	for _, t := range i.Tenants {
		all = append(all, identity.Rights{Tenant: t.Name, Classes: t.Classes, Prefixes: t.Prefixes, Fronts: t.Fronts,
			ReadOnly: t.ReadOnly, MaxValue: t.MaxValue, Rate: float64(t.Rate)})
	}
	return all
}

// TokenRequirements returns the conditions that a token has to meet.
func (i *Identity) TokenRequirements() identity.TokenRequirements {
	return identity.TokenRequirements{Issuer: i.Issuer, Audience: i.Audience, TenantClaim: i.TenantClaim, Leeway: i.Leeway.D(),
		MaxLifetime: i.MaxLifetime.D(), CacheSize: i.TokenCacheSize, ChecksPerSecond: float64(i.ChecksPerSecond)}
}

func (d *decoder) checkIdentity(settings *Identity) {
	const prefix = "identity."
	d.checkTLS(settings)
	for _, name := range []string{"keys", "issuer", "audience"} {
		if tokens := d.isSet(prefix+"keys") || d.isSet(prefix+"issuer") || d.isSet(prefix+"audience"); !d.isSet(prefix+name) && (tokens || !settings.TLS.Enabled()) {
			d.faultAt("identity", "identity.%s is missing", name)
		}
	}
	for name, value := range map[string]string{"keys": settings.KeySetFile, "issuer": settings.Issuer, "audience": settings.Audience, "tenant_claim": settings.TenantClaim} {
		if value == "" && d.isSet(prefix+name) || name == "tenant_claim" && value == "" {
			d.faultAt(prefix+name, "identity.%s is empty", name)
		}
	}
	switch {
	case !validAttributeName(settings.TokenAttribute):
		d.faultAt(prefix+"name", "identity.name is %q; it can have up to 16 letters and digits", settings.TokenAttribute)
	case len(settings.TokenAttribute) == 1 && (settings.TokenAttribute == "c" || settings.TokenAttribute == "t" || settings.TokenAttribute == "d" || settings.TokenAttribute == "k" || settings.TokenAttribute == "r" || settings.TokenAttribute == "h") || settings.TokenAttribute == "size":
		d.faultAt(prefix+"name", "identity.name is %q, which is already another attribute of a request", settings.TokenAttribute)
	}
	d.checkDuration(prefix+"leeway", settings.Leeway.D(), 0, 5*time.Minute)
	d.checkDuration(prefix+"max_life", settings.MaxLifetime.D(), time.Minute, 30*24*time.Hour)
	d.checkInt(prefix+"known", settings.TokenCacheSize, 0, 1<<20)
	d.checkInt(prefix+"checks_per_s", settings.ChecksPerSecond, 2, 1_000_000)
	d.checkInt(prefix+"replays", settings.MaxReplayIDs, 1, 1<<22)
	d.checkInt(prefix+"suspects", settings.MaxSuspects, 0, 1<<20)
	if len(settings.Tenants) == 0 {
		d.faultAt("identity", "no [[identity.tenant]]: no caller would have any rights")
	}
	named := map[string]bool{}
	for i := range settings.Tenants {
		t, path := &settings.Tenants[i], fmt.Sprintf("identity.tenant[%d]", i)
		t.Line = d.lines[path]
		switch {
		case t.Name == "":
			d.faultAt(path, "%s has no name", path)
		case !validTenantName(t.Name):
			d.faultAt(path+".name", "%s.name is %q; it can have letters, digits, '-', '_' and '.', up to 64", path, t.Name)
		case named[t.Name]:
			d.faultAt(path+".name", "%s.name: %q is used twice", path, t.Name)
		}
		named[t.Name] = true
		for _, f := range t.Fronts {
			d.checkOneOf(path+".fronts", f, "resp2", "extproc")
		}
		d.checkInt(path+".max_value", t.MaxValue, 0, 4<<20)
		d.checkInt(path+".rate", t.Rate, 0, 1_000_000)
	}
}

func (d *decoder) checkTLS(settings *Identity) {
	const prefix = "identity.tls"
	if !d.isSet(prefix) {
		settings.TLS = TLS{}
	} else {
		for name, value := range map[string]string{"cert": settings.TLS.Cert, "key": settings.TLS.Key, "roots": settings.TLS.Roots} {
			if value == "" {
				d.faultAt(prefix, "%s.%s is missing or empty", prefix, name)
			}
		}
		d.checkOneOf(prefix+".client", settings.TLS.Client, "asked", "required")
		for _, f := range settings.TLS.Fronts {
			d.checkOneOf(prefix+".fronts", f, "resp2", "extproc")
		}
		d.checkInt(prefix+".handshakes_per_s", settings.TLS.Handshakes, 1, 1_000_000)
		if len(settings.Certificates) == 0 && !d.isSet("identity.keys") {
			d.faultAt(prefix, "no [[identity.certificate]] and no identity.keys: no caller could be identified")
		}
	}
	for i := range settings.Certificates {
		c, path := &settings.Certificates[i], fmt.Sprintf("identity.certificate[%d]", i)
		c.Line = d.lines[path]
		criteria := 0
		for _, s := range []string{c.URI, c.DNS, c.Issuer} {
			if s != "" {
				criteria++
			}
		}
		named := func(t Tenant) bool { return t.Name == c.Tenant }
		switch {
		case !d.isSet(prefix):
			d.faultAt(path, "%s, but no [identity.tls] to request certificates", path)
		case criteria != 1:
			d.faultAt(path, "%s has to have one of uri, dns and issuer; it has %d", path, criteria)
		case c.Tenant == "":
			d.faultAt(path, "%s has no tenant", path)
		case !slices.ContainsFunc(settings.Tenants, named):
			d.faultAt(path+".tenant", "%s.tenant: %q is no [[identity.tenant]]", path, c.Tenant)
		case strings.Contains(strings.TrimSuffix(c.URI, "/*"), "*") || strings.Contains(strings.TrimPrefix(c.DNS, "*."), "*"):
			d.faultAt(path, "%s: a \"*\" can only be a URI's end (\"/*\") or a DNS name's first label (\"*.\")", path)
		}
	}
}

func (d *decoder) checkInt(path string, value, least, most int) {
	if value < least || value > most {
		d.faultAt(path, "%s is %d; it can be from %d to %d", path, value, least, most)
	}
}

func validAttributeName(s string) bool { return s != "" && len(s) <= 16 && isAlphanumeric(s, "") }

// validTenantName reports whether a tenant's name can be an attribute's value in a request without escaping.
func validTenantName(s string) bool { return len(s) <= 64 && isAlphanumeric(s, "-_.") }

func isAlphanumeric(s, more string) bool {
	for _, r := range s {
		if !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || len(more) > 0 && (r == '-' || r == '_' || r == '.')) {
			return false
		}
	}
	return true
}
