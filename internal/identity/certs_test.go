package identity

import (
	"crypto/x509"
	"encoding/pem"
	"strings"
	"testing"
	"time"

	"linenloom/internal/standin"
)

var certTime = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

func newIssuer(t *testing.T, name string, by *standin.Issuer, until time.Time) *standin.Issuer {
	t.Helper()
	i, err := standin.NewIssuer(name, by, certTime.Add(-time.Hour), until)
	if err != nil {
		t.Fatal(err)
	}
	return i
}

func newLeaf(t *testing.T, by *standin.Issuer, until time.Time, names ...string) *x509.Certificate {
	t.Helper()
	c, err := by.SignClient(certTime.Add(-time.Hour), until, names...)
	if err != nil {
		t.Fatal(err)
	}
	return c.Cert
}

func TestCertificateTenant(t *testing.T) {
	later := certTime.Add(time.Hour)
	root := newIssuer(t, "root", nil, later)
	kiosks := newIssuer(t, "kiosk issuer", root, later)
	certs := NewCerts([]CertRule{
		{URI: "spiffe://maps.example/kiosk/*", Tenant: "kiosk"},
		{URI: "spiffe://maps.example/shop", Tenant: "shop"},
		{DNS: "*.partner.example", Tenant: "partner"},
		{DNS: "shop.example", Tenant: "shop"},
		{Issuer: "CN=kiosk issuer", Tenant: "kiosk"},
	}, []*x509.Certificate{root.Cert})
	for _, c := range []struct {
		by     *standin.Issuer
		names  string
		tenant string
		reason Reason
	}{
		{by: root, names: "spiffe://maps.example/kiosk/7", tenant: "kiosk"},
		{by: root, names: "spiffe://maps.example/kiosk/7/door", tenant: "kiosk"},
		{by: root, names: "spiffe://maps.example/kiosk/", reason: Foreign},
		{by: root, names: "spiffe://maps.example/kiosk/../shop", reason: Foreign},
		{by: root, names: "spiffe://maps.example/kiosk/%2e%2e/shop", reason: Foreign},
		{by: root, names: "spiffe://maps.example/kiosks", reason: Foreign},
		{by: root, names: "spiffe://maps.example/shop", tenant: "shop"},
		{by: root, names: "spiffe://maps.example/shop/", reason: Foreign},
		{by: root, names: "spiffe://maps.example/shop spiffe://maps.example/kiosk/1", reason: Forbidden},
		{by: root, names: "a.Partner.Example", tenant: "partner"},
		{by: root, names: "a.b.partner.example", reason: Foreign},
		{by: root, names: "partner.example", reason: Foreign},
		{by: root, names: "*.partner.example", reason: Foreign},
		{by: root, names: "shop.example a.partner.example", reason: Forbidden},
		{by: root, names: "shop.example spiffe://maps.example/kiosk/1", tenant: "kiosk"}, // URIs count first
		{by: kiosks, names: "unknown.example", tenant: "kiosk"},
		{by: kiosks, names: "shop.example", tenant: "shop"},
		{by: root, names: "", reason: Foreign},
		{by: root, names: strings.Repeat("a.example ", maxCertNames+1), reason: Forbidden},
	} {
		one := newLeaf(t, c.by, later, strings.Fields(c.names)...)
		chain := []*x509.Certificate{one, c.by.Cert}
		if c.by != root {
			chain = append(chain, root.Cert)
		}
		p, err := certs.Check(certTime, [][]*x509.Certificate{chain})
		if ReasonOf(err) != c.reason || err == nil && (p.Tenant != c.tenant || !p.ByCertificate()) {
			t.Errorf("%q: %+v, %v; want %q, %v", c.names, p, err, c.tenant, c.reason)
		}
	}
	if _, err := certs.Check(certTime, nil); ReasonOf(err) != NoCredentials {
		t.Errorf("no certificate: %v", err)
	}
}

// TestCertificateProofEnds checks that a proof is valid while all certificates of one chain are valid and
// the rules still map it to the same tenant.
func TestCertificateProofEnds(t *testing.T) {
	later := certTime.Add(24 * time.Hour)
	old, next := newIssuer(t, "old root", nil, later), newIssuer(t, "next root", nil, later)
	short := newIssuer(t, "between", old, certTime.Add(time.Hour))
	rules := []CertRule{{DNS: "kiosk.example", Tenant: "kiosk"}}
	both := NewCerts(rules, []*x509.Certificate{old.Cert, next.Cert})
	onlyNext := NewCerts(rules, []*x509.Certificate{next.Cert})
	renamed := NewCerts([]CertRule{{DNS: "kiosk.example", Tenant: "shop"}}, []*x509.Certificate{old.Cert, next.Cert})
	dropped := NewCerts(nil, []*x509.Certificate{old.Cert, next.Cert})
	direct := newLeaf(t, old, certTime.Add(2*time.Hour), "kiosk.example")
	viaIntermediate := newLeaf(t, short, certTime.Add(2*time.Hour), "kiosk.example")
	for _, c := range []struct {
		name   string
		chains [][]*x509.Certificate
		certs  *Certs
		at     time.Duration
		reason Reason
	}{
		{"fresh", [][]*x509.Certificate{{direct, old.Cert}}, both, 0, 0},
		{"its last moment", [][]*x509.Certificate{{direct, old.Cert}}, both, 2 * time.Hour, 0},
		{"run out", [][]*x509.Certificate{{direct, old.Cert}}, both, 2*time.Hour + time.Second, Expired},
		{"before its time", [][]*x509.Certificate{{direct, old.Cert}}, both, -2 * time.Hour, NotYetValid},
		{"what signed it has run out", [][]*x509.Certificate{{viaIntermediate, short.Cert, old.Cert}}, both, 90 * time.Minute, Expired},
		{"its root is gone", [][]*x509.Certificate{{direct, old.Cert}}, onlyNext, 0, KeyRetired},
		{"one of two roots is gone", [][]*x509.Certificate{{direct, old.Cert}, {direct, next.Cert}}, onlyNext, 0, 0},
		{"the longer way counts", [][]*x509.Certificate{{viaIntermediate, short.Cert, old.Cert}, {viaIntermediate, next.Cert}}, both, 90 * time.Minute, 0},
		{"another tenant's now", [][]*x509.Certificate{{direct, old.Cert}}, renamed, 0, KeyRetired},
		{"nobody's now", [][]*x509.Certificate{{direct, old.Cert}}, dropped, 0, Foreign},
	} {
		p, err := both.Check(certTime, c.chains)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		if err := c.certs.CheckProof(certTime.Add(c.at), p); ReasonOf(err) != c.reason {
			t.Errorf("%s: %v, want %v", c.name, err, c.reason)
		}
	}
	if err := both.CheckProof(certTime, &Proof{Tenant: "kiosk"}); err == nil {
		t.Error("a token's proof holds as a certificate's")
	}
}

func TestParseRoots(t *testing.T) {
	later := certTime.Add(time.Hour)
	root := newIssuer(t, "root", nil, later)
	good := standin.PEM(root.Cert, root.Cert)
	for name, c := range map[string]struct {
		text  []byte
		roots int
		fault string
	}{
		"two":           {good, 2, ""},
		"empty":         {nil, 0, "no certificate"},
		"noise":         {[]byte("nothing here"), 0, "no certificate"},
		"cut short":     {good[:len(good)-40], 0, "cut short"},
		"no root":       {standin.PEM(newLeaf(t, root, later, "a.example")), 0, "may not sign"},
		"a key":         {pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: []byte{1}}), 0, "PRIVATE KEY"},
		"broken":        {pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: []byte{1, 2}}), 0, "certificate 1"},
		"too many":      {[]byte(strings.Repeat(string(standin.PEM(root.Cert)), maxRoots+1)), 0, "more than"},
		"much too long": {make([]byte, maxRootsBytes+1), 0, "bytes"},
	} {
		roots, err := ParseRoots(c.text)
		if len(roots) != c.roots || (err == nil) != (c.fault == "") || err != nil && !strings.Contains(err.Error(), c.fault) {
			t.Errorf("%s: %d roots, %v; want %d, %q", name, len(roots), err, c.roots, c.fault)
		}
	}
}

func FuzzParseRoots(f *testing.F) {
	f.Add([]byte("-----BEGIN CERTIFICATE-----\nAAAA\n-----END CERTIFICATE-----\n"))
	f.Add([]byte("-----BEGIN CERTIFICATE-----\nAAAA"))
	f.Fuzz(func(t *testing.T, text []byte) {
		roots, err := ParseRoots(text)
		if (err == nil) != (len(roots) > 0) || len(roots) > maxRoots {
			t.Fatalf("%d roots, %v", len(roots), err)
		}
	})
}
