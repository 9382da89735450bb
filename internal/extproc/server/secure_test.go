package server

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"

	"linenloom/internal/callers"
	"linenloom/internal/extproc/caller"
	"linenloom/internal/operator"
	"linenloom/internal/proxy"
	"linenloom/internal/standin"
)

// Callers of the processor are proven by the certificate of their connection where they bring no token. Roots change while connections
// stand: one whose root is gone takes no further stream, and is closed with the end of its last.
func TestCertificatesOfCallers(t *testing.T) {
	from, till, dir := time.Now().Add(-time.Hour), time.Now().Add(time.Hour), t.TempDir()
	write := func(name string, text []byte) string {
		t.Helper()
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	issuer := func(name string) *standin.Issuer {
		t.Helper()
		i, err := standin.NewIssuer(name, nil, from, till)
		if err != nil {
			t.Fatal(err)
		}
		return i
	}
	old, next := issuer("old"), issuer("next")
	own, err := old.Listener(from, till)
	if err != nil {
		t.Fatal(err)
	}
	key, err := own.KeyPEM()
	if err != nil {
		t.Fatal(err)
	}
	gate, err := callers.New(&operator.Identity{Replays: 8, Tenants: []operator.Tenant{{Name: "kiosk", ReadOnly: true}, {Name: "shop"}},
		TLS: operator.TLS{Cert: write("cert.pem", standin.PEM(own.Cert)), Key: write("key.pem", key),
			Roots: write("roots.pem", standin.PEM(old.Cert, next.Cert)), Client: "asked", Handshakes: 1000},
		Certificates: []operator.Certificate{{DNS: "kiosk.example", Tenant: "kiosk"}, {DNS: "shop.example", Tenant: "shop"}}},
		slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	fleet := newFleet(t, 2)
	fleet.Fill("warm")
	r := newRig(t, fleet, file("answer", ""), func(c *proxy.Config) { c.Callers = gate })
	enter := func(by *standin.Issuer, name string) *caller.Caller {
		t.Helper()
		cfg := &tls.Config{ServerName: "127.0.0.1", RootCAs: x509.NewCertPool()}
		cfg.RootCAs.AddCert(old.Cert)
		if name != "" {
			c, err := by.Caller(from, till, name)
			if err != nil {
				t.Fatal(err)
			}
			own := c.TLS()
			cfg.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &own, nil }
		}
		c, err := caller.DialTLS(cfg, r.f.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c.MessageTimeout = patience
		t.Cleanup(c.Close)
		return c
	}
	ctx := context.Background()
	kiosk, shop, nobody, stays := enter(old, "kiosk.example"), enter(old, "shop.example"), enter(old, ""), enter(next, "kiosk.example")
	as := func(tenant string, q caller.Request) caller.Request { q.Headers["x-tenant"] = tenant; return q }
	for i, c := range []struct {
		by   *caller.Caller
		q    caller.Request
		code int
	}{
		{kiosk, read("warm", "r1"), 200},
		{kiosk, as("shop", order("o1", "w1")), 403},
		{shop, order("o2", "w2"), 200},
		{nobody, read("warm", "r2"), 401},
		{stays, read("warm", "r3"), 200},
		{kiosk, by("any", read("warm", "r4")), 401}, // a token wins, and none are taken here
	} {
		if res := c.by.Do(ctx, c.q); res.Status != c.code || res.Err != nil {
			t.Errorf("%d: %d, %v; want %d", i, res.Status, res.Err, c.code)
		}
	}

	stream, err := extprocv3.NewExternalProcessorClient(kiosk.Conn(0)).Process(ctx)
	if err != nil {
		t.Fatal(err)
	}
	conns := func() (n int) {
		r.p.Do(func() { n = len(r.f.proven) })
		return n
	}
	wait := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("never came about: %s", what)
			}
		}
	}
	wait("the stream is there", func() bool { return r.f.Counts().Streams == 1 })
	if n := conns(); n != 3 {
		t.Fatalf("%d proven connections", n)
	}
	write("roots.pem", standin.PEM(next.Cert))
	gate.Look()
	wait("the idle connection is closed, the other is not", func() bool { return conns() == 2 })
	if res := kiosk.Do(ctx, read("warm", "r5")); res.Status == 200 {
		t.Error("a stream is taken on a connection whose root is gone")
	}
	if n := conns(); n != 2 {
		t.Errorf("%d proven connections while a stream stands", n)
	}
	if err := stream.CloseSend(); err != nil {
		t.Error(err)
	}
	for err == nil {
		_, err = stream.Recv()
	}
	wait("the connection is closed with its last stream", func() bool { return conns() == 1 })
	if res := shop.Do(ctx, order("o3", "w3")); res.Status == 200 {
		t.Error("a certificate whose root is gone gets in again")
	}
	if res := stays.Do(ctx, read("warm", "r6")); res.Status != 200 {
		t.Errorf("the other: %d, %v", res.Status, res.Err)
	}
}
