package operator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"linenloom/internal/identity"
)

// Identity has callers proven by signed tokens, and bounds what each tenant may do (docs/identity-operators.md).
type Identity struct {
	Keys        string   `toml:"keys" json:"Keys"` // the file with the JWK set
	Issuer      string   `toml:"issuer"`
	Audience    string   `toml:"audience"`
	TenantClaim string   `toml:"tenant_claim"`
	Name        string   `toml:"name" json:"Name"` // of a token in a request's list of names and values
	Leeway      Duration `toml:"leeway"`
	MaxLife     Duration `toml:"max_life" json:"MaxLife"`
	Known       int      `toml:"known" json:"Known"`
	ChecksPerS  int      `toml:"checks_per_s" json:"ChecksPerS"`
	Replays     int      `toml:"replays" json:"Replays"`
	Suspects    int      `toml:"suspects" json:"Suspects"` // addresses that have shown a bad token lately, remembered at the most
	Tenants     []Tenant `toml:"tenant"`

	TLS          TLS           `toml:"tls"` // its zero value: not set
	Certificates []Certificate `toml:"certificate"`
}

// TLS has listeners speak TLS, and take client certificates.
type TLS struct {
	Cert       string   `toml:"cert"` // the listeners' own, with those that lead to its root
	Key        string   `toml:"key"`
	Roots      string   `toml:"roots"`  // that client certificates may end in
	Client     string   `toml:"client"` // asked or required
	Fronts     []string `toml:"fronts"` // empty: all
	Handshakes int      `toml:"handshakes_per_s"`
}

// Set tells whether the file has it.
func (t *TLS) Set() bool { return t.Client != "" }

// Certificate says which tenant a client certificate proves.
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

var identityDefaults = Identity{TenantClaim: "tenant", Name: "tk", Leeway: Duration(30 * time.Second), MaxLife: Duration(24 * time.Hour),
	Known: 4096, ChecksPerS: 500, Replays: 65536, Suspects: 4096, TLS: TLS{Client: "asked", Handshakes: 200}}

// ByTokens tells whether callers can be proven by tokens.
func (i *Identity) ByTokens() bool { return i.Keys != "" }

// Rules say which tenants client certificates prove, in the deciding module's terms.
func (i *Identity) Rules() (all []identity.CertRule) {
	for _, c := range i.Certificates {
		all = append(all, identity.CertRule{URI: c.URI, DNS: c.DNS, Issuer: c.Issuer, Tenant: c.Tenant})
	}
	return all
}

// Rights are the tenants' in the deciding module's terms.
func (i *Identity) Rights() (all []identity.Rights) {
	for _, t := range i.Tenants {
		all = append(all, identity.Rights{Tenant: t.Name, Classes: t.Classes, Prefixes: t.Prefixes, Fronts: t.Fronts,
			ReadOnly: t.ReadOnly, MaxValue: t.MaxValue, Rate: float64(t.Rate)})
	}
	return all
}

// Terms are what a token has to fulfil.
func (i *Identity) Terms() identity.Terms {
	return identity.Terms{Issuer: i.Issuer, Audience: i.Audience, TenantClaim: i.TenantClaim, Leeway: i.Leeway.D(),
		MaxLife: i.MaxLife.D(), CacheSize: i.Known, ChecksPerS: float64(i.ChecksPerS)}
}

func (d *doc) checkIdentity(e *Identity) {
	const p = "identity."
	d.checkTLS(e)
	for _, name := range []string{"keys", "issuer", "audience"} {
		if tokens := d.given(p+"keys") || d.given(p+"issuer") || d.given(p+"audience"); !d.given(p+name) && (tokens || !e.TLS.Set()) {
			d.at("identity", "identity.%s is missing", name)
		}
	}
	for name, value := range map[string]string{"keys": e.Keys, "issuer": e.Issuer, "audience": e.Audience, "tenant_claim": e.TenantClaim} {
		if value == "" && d.given(p+name) || name == "tenant_claim" && value == "" {
			d.at(p+name, "identity.%s is empty", name)
		}
	}
	switch {
	case !listName(e.Name):
		d.at(p+"name", "identity.name is %q; letters and digits", e.Name)
	case len(e.Name) == 1 && (e.Name == "c" || e.Name == "t" || e.Name == "d" || e.Name == "k" || e.Name == "r" || e.Name == "h") || e.Name == "size":
		d.at(p+"name", "identity.name is %q, which means something else in a request's list", e.Name)
	}
	d.within(p+"leeway", e.Leeway.D(), 0, 5*time.Minute)
	d.within(p+"max_life", e.MaxLife.D(), time.Minute, 30*24*time.Hour)
	d.number(p+"known", e.Known, 0, 1<<20)
	d.number(p+"checks_per_s", e.ChecksPerS, 2, 1_000_000)
	d.number(p+"replays", e.Replays, 1, 1<<22)
	d.number(p+"suspects", e.Suspects, 0, 1<<20)
	if len(e.Tenants) == 0 {
		d.at("identity", "no [[identity.tenant]]: nobody would have a right")
	}
	named := map[string]bool{}
	for i := range e.Tenants {
		t, path := &e.Tenants[i], fmt.Sprintf("identity.tenant[%d]", i)
		t.Line = d.lines[path]
		switch {
		case t.Name == "":
			d.at(path, "%s has no name", path)
		case !tenantName(t.Name):
			d.at(path+".name", "%s.name is %q; letters, digits, '-', '_' and '.'", path, t.Name)
		case named[t.Name]:
			d.at(path+".name", "%s.name: %q stands twice", path, t.Name)
		}
		named[t.Name] = true
		for _, f := range t.Fronts {
			d.oneOf(path+".fronts", f, "resp2", "extproc")
		}
		d.number(path+".max_value", t.MaxValue, 0, 4<<20)
		d.number(path+".rate", t.Rate, 0, 1_000_000)
	}
}

func (d *doc) checkTLS(e *Identity) {
	const p = "identity.tls"
	if !d.given(p) {
		e.TLS = TLS{}
	} else {
		for name, value := range map[string]string{"cert": e.TLS.Cert, "key": e.TLS.Key, "roots": e.TLS.Roots} {
			if value == "" {
				d.at(p, "%s.%s is missing or empty", p, name)
			}
		}
		d.oneOf(p+".client", e.TLS.Client, "asked", "required")
		for _, f := range e.TLS.Fronts {
			d.oneOf(p+".fronts", f, "resp2", "extproc")
		}
		d.number(p+".handshakes_per_s", e.TLS.Handshakes, 1, 1_000_000)
		if len(e.Certificates) == 0 && !d.given("identity.keys") {
			d.at(p, "no [[identity.certificate]] and no identity.keys: nobody could be proven")
		}
	}
	for i := range e.Certificates {
		c, path := &e.Certificates[i], fmt.Sprintf("identity.certificate[%d]", i)
		c.Line = d.lines[path]
		set := 0
		for _, s := range []string{c.URI, c.DNS, c.Issuer} {
			if s != "" {
				set++
			}
		}
		named := func(t Tenant) bool { return t.Name == c.Tenant }
		switch {
		case !d.given(p):
			d.at(path, "%s, but no [identity.tls] that would ask for certificates", path)
		case set != 1:
			d.at(path, "%s has to have one of uri, dns and issuer, and has %d", path, set)
		case c.Tenant == "":
			d.at(path, "%s has no tenant", path)
		case !slices.ContainsFunc(e.Tenants, named):
			d.at(path+".tenant", "%s.tenant: %q is no [[identity.tenant]]", path, c.Tenant)
		case strings.Contains(strings.TrimSuffix(c.URI, "/*"), "*") || strings.Contains(strings.TrimPrefix(c.DNS, "*."), "*"):
			d.at(path, "%s: a \"*\" can only be a URI's end (\"/*\") or a DNS name's first label (\"*.\")", path)
		}
	}
}

func (d *doc) number(path string, value, least, most int) {
	if value < least || value > most {
		d.at(path, "%s is %d; it can be from %d to %d", path, value, least, most)
	}
}

func listName(s string) bool { return s != "" && len(s) <= 16 && plainWord(s, "") }

// tenantName tells whether a tenant's name can stand in a request's list as it is.
func tenantName(s string) bool { return len(s) <= 64 && plainWord(s, "-_.") }

func plainWord(s, more string) bool {
	for _, r := range s {
		if !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || len(more) > 0 && (r == '-' || r == '_' || r == '.')) {
			return false
		}
	}
	return true
}
