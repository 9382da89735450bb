package server

import (
	"context"
	"log/slog"
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
	a, err := standin.NewAuthority(t.TempDir(), 2)
	if err == nil {
		err = a.PublishRoots(a.Roots...)
	}
	if err != nil {
		t.Fatal(err)
	}
	gate, err := callers.New(&operator.Identity{Replays: 8, Tenants: []operator.Tenant{{Name: "kiosk", ReadOnly: true}, {Name: "shop"}},
		TLS:          operator.TLS{Cert: a.Path("cert.pem"), Key: a.Path("key.pem"), Roots: a.Path("roots.pem"), Client: "asked", Handshakes: 1000},
		Certificates: []operator.Certificate{{DNS: "kiosk.example", Tenant: "kiosk"}, {DNS: "shop.example", Tenant: "shop"}}},
		slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	fleet := newFleet(t, 2)
	fleet.Fill("warm")
	r := newRig(t, fleet, file("answer", ""), func(c *proxy.Config) { c.Callers = gate })
	enter := func(root int, name string) *caller.Caller {
		t.Helper()
		cfg, err := a.ClientConfig(a.Roots[root], name)
		if err != nil {
			t.Fatal(err)
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
	kiosk, shop, nobody, stays := enter(0, "kiosk.example"), enter(0, "shop.example"), enter(0, ""), enter(1, "kiosk.example")
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
	if err := a.PublishRoots(a.Roots[1]); err != nil {
		t.Fatal(err)
	}
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
