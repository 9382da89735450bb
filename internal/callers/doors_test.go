package callers

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"linenloom/internal/identity"
	"linenloom/internal/operator"
	"linenloom/internal/standin"
)

// authority is an installation's certificates, with two roots.
type authority struct {
	*standin.Authority
	t *testing.T
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a, err := standin.NewAuthority(t.TempDir(), 2)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{a, t}
}

func (a *authority) write(name string, text []byte) {
	a.t.Helper()
	if err := a.WriteFile(name, text); err != nil {
		a.t.Fatal(err)
	}
}

func (a *authority) settings() *operator.Identity {
	return &operator.Identity{Tenants: []operator.Tenant{{Name: "kiosk"}, {Name: "shop"}}, Replays: 8, Suspects: 8,
		TLS:          operator.TLS{Cert: a.Path("cert.pem"), Key: a.Path("key.pem"), Roots: a.Path("roots.pem"), Client: "asked", Handshakes: 1000},
		Certificates: []operator.Certificate{{DNS: "kiosk.example", Tenant: "kiosk"}}}
}

// shake makes a handshake as a caller by a root, with a certificate of this name, and tells what the listener makes of it.
func (a *authority) shake(g *Gate, root int, name string) (*identity.Proof, *x509.Certificate, error) {
	a.t.Helper()
	near, far := net.Pipe()
	defer near.Close()
	cfg, err := a.ClientConfig(a.Roots[root], name)
	if err != nil {
		a.t.Fatal(err)
	}
	seen := make(chan *x509.Certificate, 1)
	go func() {
		c := tls.Client(near, cfg)
		if c.Handshake() == nil {
			seen <- c.ConnectionState().PeerCertificates[0]
		} else {
			seen <- nil
		}
		io.Copy(io.Discard, c) // a server's refusal of the certificate comes after the client's own part is over
		near.Close()
	}()
	s := tls.Server(far, g.TLS("resp2"))
	defer far.Close()
	if err := s.Handshake(); err != nil {
		far.Close()
		<-seen
		return nil, nil, err
	}
	state := s.ConnectionState()
	p, err := g.Certificate(&state)
	return p, <-seen, err
}

// A caller's certificate proves its tenant as long as its root is in force; the listener's own and the roots change while it stands, and
// files that don't fit together change nothing.
func TestDoors(t *testing.T) {
	a := newAuthority(t)
	var log bytes.Buffer
	g, err := New(a.settings(), slog.New(slog.NewTextHandler(&log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	p, first, err := a.shake(g, 0, "kiosk.example")
	if err != nil || p.Tenant != "kiosk" || g.Holds(p) != nil {
		t.Fatalf("%+v, %v", p, err)
	}
	if _, _, err := a.shake(g, 0, ""); identity.WhyOf(err) != identity.Unproven {
		t.Errorf("no certificate: %v", err)
	}
	if _, _, err := a.shake(g, 1, "kiosk.example"); err == nil || identity.WhyOf(err) != 0 {
		t.Errorf("an unknown root: %v", err)
	}
	if _, err := g.Prove([]byte("any"), netip.Addr{}, false); identity.WhyOf(err) != identity.Forbidden {
		t.Errorf("a token where none are taken: %v", err)
	}
	spare := newAuthority(t)
	other, err := os.ReadFile(spare.Path("key.pem"))
	if err != nil {
		t.Fatal(err)
	}
	for name, spoil := range map[string]func(){
		"the key does not fit": func() { a.write("key.pem", other) },
		"roots cut short":      func() { a.write("roots.pem", standin.PEM(a.Roots[1].Cert)[:300]) },
		"roots emptied":        func() { a.write("roots.pem", nil) },
		"cert removed":         func() { os.Remove(a.Path("cert.pem")) },
	} {
		cert, _ := os.ReadFile(a.Path("cert.pem"))
		key, _ := os.ReadFile(a.Path("key.pem"))
		log.Reset()
		spoil()
		g.Look()
		g.Look()
		if n := strings.Count(log.String(), "level=ERROR"); n != 1 {
			t.Errorf("%s: logged %d times: %s", name, n, &log)
		}
		if _, seen, err := a.shake(g, 0, "kiosk.example"); err != nil || !seen.Equal(first) || g.Holds(p) != nil {
			t.Errorf("%s: what was in force is not: %v", name, err)
		}
		a.write("cert.pem", cert)
		a.write("key.pem", key)
		a.write("roots.pem", standin.PEM(a.Roots[0].Cert))
		g.Look()
	}
	// The listener's own changes.
	own, err := a.RenewCertificate()
	if err != nil {
		t.Fatal(err)
	}
	g.Look()
	if _, seen, err := a.shake(g, 0, "kiosk.example"); err != nil || !seen.Equal(own.Cert) {
		t.Errorf("the new certificate is not shown: %v", err)
	}
	// Both roots, then the next alone.
	a.write("roots.pem", standin.PEM(a.Roots[0].Cert, a.Roots[1].Cert))
	g.Look()
	q, _, err := a.shake(g, 1, "kiosk.example")
	if err != nil || g.Holds(p) != nil || g.Holds(q) != nil {
		t.Fatalf("both roots in force: %v, %v", err, g.Holds(p))
	}
	a.write("roots.pem", standin.PEM(a.Roots[1].Cert))
	g.Look()
	if why := identity.WhyOf(g.Holds(p)); why != identity.Retired || g.Holds(q) != nil {
		t.Errorf("the old root is gone: %v, %v", why, g.Holds(q))
	}
	if err := g.May(p, identity.Ask{Class: "tile-read", Front: "resp2"}); identity.WhyOf(err) != identity.Retired {
		t.Errorf("by a root that is gone: %v", err)
	}
	// Other rules.
	cfg := a.settings()
	cfg.Certificates[0].Tenant = "shop"
	g.Reload(cfg)
	if why := identity.WhyOf(g.Holds(q)); why != identity.Retired {
		t.Errorf("another tenant's now: %v", why)
	}
}

// Past so many handshakes a second nothing is computed for one; the front that is not named speaks plainly.
func TestHandshakesAreBounded(t *testing.T) {
	a := newAuthority(t)
	cfg := a.settings()
	cfg.TLS.Handshakes, cfg.TLS.Fronts, cfg.TLS.Client = 3, []string{"resp2"}, "required"
	g, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	at := time.Now()
	g.doors.now = func() time.Time { return at }
	if g.TLS("extproc") != nil {
		t.Error("a front that is not named speaks TLS")
	}
	good := 0
	for range 10 {
		if _, _, err := a.shake(g, 0, "kiosk.example"); err == nil {
			good++
		} else if !strings.Contains(err.Error(), errTooMany.Error()) {
			t.Error(err)
		}
	}
	if good != 3 {
		t.Errorf("%d handshakes at once, 3 a second are allowed", good)
	}
	at = at.Add(time.Second)
	if _, _, err := a.shake(g, 0, ""); err == nil {
		t.Error("no certificate where one is required")
	}
}

// An address that has shown a forged token stays with the open half of the checks, on whatever connection it comes next.
func TestAddressesThatShowBadTokens(t *testing.T) {
	file := filepath.Join(t.TempDir(), "keys.json")
	text, good := keySet(t, "k1")
	_, forged := keySet(t, "k1")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	cfg := settings(file)
	cfg.ChecksPerS, cfg.Suspects, cfg.Known = 4, 2, 0
	g, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	at := time.Now()
	g.now = func() time.Time { return at }
	bad, well := netip.MustParseAddr("192.0.2.1"), netip.MustParseAddr("192.0.2.2")
	for range 8 { // each on a connection of its own
		g.Prove([]byte(forged), bad, false)
	}
	if _, err := g.Prove([]byte(good), bad, false); identity.WhyOf(err) != identity.Overload {
		t.Errorf("from the bad address: %v", err)
	}
	if _, err := g.Prove([]byte(good), well, false); err != nil {
		t.Errorf("from a clean one: %v", err)
	}
	for i := range 4 { // others make it forgotten, no more are remembered
		g.sources.Bad(at, netip.AddrFrom4([4]byte{198, 51, 100, byte(i)}))
	}
	if g.sources.Len() != 2 || g.sources.Suspect(at, bad) {
		t.Errorf("%d addresses are remembered", g.sources.Len())
	}
	one, same, other := netip.MustParseAddr("2001:db8:1:2::1"), netip.MustParseAddr("2001:db8:1:2:ffff::1"), netip.MustParseAddr("2001:db8:1:3::1")
	g.sources.Bad(at, one)
	if !g.sources.Suspect(at, same) || g.sources.Suspect(at, other) || g.sources.Suspect(at.Add(31*time.Second), one) {
		t.Error("of IPv6, the first 64 bits count, for 30 s")
	}
}
