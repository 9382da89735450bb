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

// testAuthority is an installation's certificates, with two roots.
type testAuthority struct {
	*standin.Authority
	t *testing.T
}

func newAuthority(t *testing.T) *testAuthority {
	t.Helper()
	a, err := standin.NewAuthority(t.TempDir(), 2)
	if err != nil {
		t.Fatal(err)
	}
	return &testAuthority{a, t}
}

func (a *testAuthority) write(name string, text []byte) {
	a.t.Helper()
	if err := a.WriteFile(name, text); err != nil {
		a.t.Fatal(err)
	}
}

func (a *testAuthority) settings() *operator.Identity {
	return &operator.Identity{Tenants: []operator.Tenant{{Name: "kiosk"}, {Name: "shop"}}, MaxReplayIDs: 8, MaxSuspects: 8,
		TLS:          operator.TLS{Cert: a.Path("cert.pem"), Key: a.Path("key.pem"), Roots: a.Path("roots.pem"), Client: "asked", Handshakes: 1000},
		Certificates: []operator.Certificate{{DNS: "kiosk.example", Tenant: "kiosk"}}}
}

// handshake makes a handshake as a client with a certificate of this name issued by a root, and returns
// what the listener takes as proven and the listener's certificate.
func (a *testAuthority) handshake(g *Authenticator, root int, name string) (*identity.Proof, *x509.Certificate, error) {
	a.t.Helper()
	clientConn, serverConn := net.Pipe()
	defer clientConn.Close()
	cfg, err := a.ClientConfig(a.Roots[root], name)
	if err != nil {
		a.t.Fatal(err)
	}
	seen := make(chan *x509.Certificate, 1)
	go func() {
		c := tls.Client(clientConn, cfg)
		if c.Handshake() == nil {
			seen <- c.ConnectionState().PeerCertificates[0]
		} else {
			seen <- nil
		}
		io.Copy(io.Discard, c) // the server may refuse the certificate after the client's part of the handshake
		clientConn.Close()
	}()
	server := tls.Server(serverConn, g.TLS("resp2"))
	defer serverConn.Close()
	if err := server.Handshake(); err != nil {
		serverConn.Close()
		<-seen
		return nil, nil, err
	}
	state := server.ConnectionState()
	p, err := g.Certificate(&state)
	return p, <-seen, err
}

// A client certificate proves its tenant as long as its root is in force. The listener's own certificate
// and the roots are replaced while the listener is open, and files that are invalid together change
// nothing.
func TestListenerCertificatesReload(t *testing.T) {
	authority := newAuthority(t)
	var log bytes.Buffer
	authenticator, err := New(authority.settings(), slog.New(slog.NewTextHandler(&log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	proof, first, err := authority.handshake(authenticator, 0, "kiosk.example")
	if err != nil || proof.Tenant != "kiosk" || authenticator.CheckProof(proof) != nil {
		t.Fatalf("%+v, %v", proof, err)
	}
	if _, _, err := authority.handshake(authenticator, 0, ""); identity.ReasonOf(err) != identity.NoCredentials {
		t.Errorf("no certificate: %v", err)
	}
	if _, _, err := authority.handshake(authenticator, 1, "kiosk.example"); err == nil || identity.ReasonOf(err) != 0 {
		t.Errorf("an unknown root: %v", err)
	}
	if _, err := authenticator.VerifyToken([]byte("any"), netip.Addr{}, false); identity.ReasonOf(err) != identity.Forbidden {
		t.Errorf("a token where none are taken: %v", err)
	}
	otherAuthority := newAuthority(t)
	otherKey, err := os.ReadFile(otherAuthority.Path("key.pem"))
	if err != nil {
		t.Fatal(err)
	}
	for name, damage := range map[string]func(){
		"the key does not fit": func() { authority.write("key.pem", otherKey) },
		"roots cut short":      func() { authority.write("roots.pem", standin.PEM(authority.Roots[1].Cert)[:300]) },
		"roots emptied":        func() { authority.write("roots.pem", nil) },
		"cert removed":         func() { os.Remove(authority.Path("cert.pem")) },
	} {
		cert, _ := os.ReadFile(authority.Path("cert.pem"))
		key, _ := os.ReadFile(authority.Path("key.pem"))
		log.Reset()
		damage()
		authenticator.ReloadFiles()
		authenticator.ReloadFiles()
		if n := strings.Count(log.String(), "level=ERROR"); n != 1 {
			t.Errorf("%s: logged %d times: %s", name, n, &log)
		}
		if _, seen, err := authority.handshake(authenticator, 0, "kiosk.example"); err != nil || !seen.Equal(first) || authenticator.CheckProof(proof) != nil {
			t.Errorf("%s: what was in force is not: %v", name, err)
		}
		authority.write("cert.pem", cert)
		authority.write("key.pem", key)
		authority.write("roots.pem", standin.PEM(authority.Roots[0].Cert))
		authenticator.ReloadFiles()
	}
	// The listener's own certificate is replaced.
	renewed, err := authority.RenewCertificate()
	if err != nil {
		t.Fatal(err)
	}
	authenticator.ReloadFiles()
	if _, seen, err := authority.handshake(authenticator, 0, "kiosk.example"); err != nil || !seen.Equal(renewed.Cert) {
		t.Errorf("the new certificate is not shown: %v", err)
	}
	// Both roots are in force, then only the second.
	authority.write("roots.pem", standin.PEM(authority.Roots[0].Cert, authority.Roots[1].Cert))
	authenticator.ReloadFiles()
	secondProof, _, err := authority.handshake(authenticator, 1, "kiosk.example")
	if err != nil || authenticator.CheckProof(proof) != nil || authenticator.CheckProof(secondProof) != nil {
		t.Fatalf("both roots in force: %v, %v", err, authenticator.CheckProof(proof))
	}
	authority.write("roots.pem", standin.PEM(authority.Roots[1].Cert))
	authenticator.ReloadFiles()
	if why := identity.ReasonOf(authenticator.CheckProof(proof)); why != identity.KeyRetired || authenticator.CheckProof(secondProof) != nil {
		t.Errorf("the old root is gone: %v, %v", why, authenticator.CheckProof(secondProof))
	}
	if err := authenticator.Authorize(proof, identity.Request{Class: "tile-read", Front: "resp2"}); identity.ReasonOf(err) != identity.KeyRetired {
		t.Errorf("by a root that is gone: %v", err)
	}
	// The rules change.
	cfg := authority.settings()
	cfg.Certificates[0].Tenant = "shop"
	authenticator.Reload(cfg)
	if why := identity.ReasonOf(authenticator.CheckProof(secondProof)); why != identity.KeyRetired {
		t.Errorf("another tenant's now: %v", why)
	}
}

// Handshakes over the limit for a second are refused before any cryptographic work; a front end that is not
// named uses no TLS.
func TestHandshakesAreBounded(t *testing.T) {
	authority := newAuthority(t)
	cfg := authority.settings()
	cfg.TLS.Handshakes, cfg.TLS.Fronts, cfg.TLS.Client = 3, []string{"resp2"}, "required"
	authenticator, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	authenticator.listenerTLS.now = func() time.Time { return now }
	if authenticator.TLS("extproc") != nil {
		t.Error("a front that is not named speaks TLS")
	}
	good := 0
	for range 10 {
		if _, _, err := authority.handshake(authenticator, 0, "kiosk.example"); err == nil {
			good++
		} else if !strings.Contains(err.Error(), errTooManyHandshakes.Error()) {
			t.Error(err)
		}
	}
	if good != 3 {
		t.Errorf("%d handshakes at once, 3 a second are allowed", good)
	}
	now = now.Add(time.Second)
	if _, _, err := authority.handshake(authenticator, 0, ""); err == nil {
		t.Error("no certificate where one is required")
	}
}

// An address that has sent a forged token uses the open half of the signature checks, on any further
// connection.
func TestAddressThatSentForgedTokens(t *testing.T) {
	file := filepath.Join(t.TempDir(), "keys.json")
	text, good := newKeySet(t, "k1")
	_, forged := newKeySet(t, "k1")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	cfg := testSettings(file)
	cfg.ChecksPerSecond, cfg.MaxSuspects, cfg.TokenCacheSize = 4, 2, 0
	authenticator, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	authenticator.now = func() time.Time { return now }
	bad, clean := netip.MustParseAddr("192.0.2.1"), netip.MustParseAddr("192.0.2.2")
	for range 8 { // each on a connection of its own
		authenticator.VerifyToken([]byte(forged), bad, false)
	}
	if _, err := authenticator.VerifyToken([]byte(good), bad, false); identity.ReasonOf(err) != identity.Overloaded {
		t.Errorf("from the bad address: %v", err)
	}
	if _, err := authenticator.VerifyToken([]byte(good), clean, false); err != nil {
		t.Errorf("from a clean one: %v", err)
	}
	for i := range 4 { // further addresses displace it, as the number remembered is limited
		authenticator.sources.RecordForged(now, netip.AddrFrom4([4]byte{198, 51, 100, byte(i)}))
	}
	if authenticator.sources.Len() != 2 || authenticator.sources.Suspect(now, bad) {
		t.Errorf("%d addresses are remembered", authenticator.sources.Len())
	}
	one, same, other := netip.MustParseAddr("2001:db8:1:2::1"), netip.MustParseAddr("2001:db8:1:2:ffff::1"), netip.MustParseAddr("2001:db8:1:3::1")
	authenticator.sources.RecordForged(now, one)
	if !authenticator.sources.Suspect(now, same) || authenticator.sources.Suspect(now, other) || authenticator.sources.Suspect(now.Add(31*time.Second), one) {
		t.Error("of IPv6, the first 64 bits count, for 30 s")
	}
}
