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

// Callers without a token are authenticated by their connection's certificate. Roots change while
// connections are open: a connection whose root is removed accepts no further stream and is closed after
// its last one.
func TestCallerCertificates(t *testing.T) {
	authority, err := standin.NewAuthority(t.TempDir(), 2)
	if err == nil {
		err = authority.PublishRoots(authority.Roots...)
	}
	if err != nil {
		t.Fatal(err)
	}
	authenticator, err := callers.New(&operator.Identity{MaxReplayIDs: 8, Tenants: []operator.Tenant{{Name: "kiosk", ReadOnly: true}, {Name: "shop"}},
		TLS:          operator.TLS{Cert: authority.Path("cert.pem"), Key: authority.Path("key.pem"), Roots: authority.Path("roots.pem"), Client: "asked", Handshakes: 1000},
		Certificates: []operator.Certificate{{DNS: "kiosk.example", Tenant: "kiosk"}, {DNS: "shop.example", Tenant: "shop"}}},
		slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	fleet := newFleet(t, 2)
	fleet.Fill("warm")
	env := newHarness(t, fleet, operatorFile("answer", ""), func(c *proxy.Config) { c.Callers = authenticator })
	dialAs := func(root int, name string) *caller.Caller {
		t.Helper()
		cfg, err := authority.ClientConfig(authority.Roots[root], name)
		if err != nil {
			t.Fatal(err)
		}
		c, err := caller.DialTLS(cfg, env.front.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c.MessageTimeout = testTimeout
		t.Cleanup(c.Close)
		return c
	}
	ctx := context.Background()
	kiosk, shop, anonymous, otherRoot := dialAs(0, "kiosk.example"), dialAs(0, "shop.example"), dialAs(0, ""), dialAs(1, "kiosk.example")
	withTenant := func(tenant string, q caller.Request) caller.Request { q.Headers["x-tenant"] = tenant; return q }
	for i, c := range []struct {
		by   *caller.Caller
		q    caller.Request
		code int
	}{
		{kiosk, readRequest("warm", "r1"), 200},
		{kiosk, withTenant("shop", orderRequest("o1", "w1")), 403},
		{shop, orderRequest("o2", "w2"), 200},
		{anonymous, readRequest("warm", "r2"), 401},
		{otherRoot, readRequest("warm", "r3"), 200},
		{kiosk, withToken("any", readRequest("warm", "r4")), 401}, // tokens take precedence, none are accepted
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
		env.host.Do(func() { n = len(env.front.certConns) })
		return n
	}
	wait := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("never came about: %s", what)
			}
		}
	}
	wait("the stream is there", func() bool { return env.front.Counts().Streams == 1 })
	if n := conns(); n != 3 {
		t.Fatalf("%d proven connections", n)
	}
	if err := authority.PublishRoots(authority.Roots[1]); err != nil {
		t.Fatal(err)
	}
	authenticator.ReloadFiles()
	wait("the idle connection is closed, the other is not", func() bool { return conns() == 2 })
	if res := kiosk.Do(ctx, readRequest("warm", "r5")); res.Status == 200 {
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
	if res := shop.Do(ctx, orderRequest("o3", "w3")); res.Status == 200 {
		t.Error("a certificate whose root is gone gets in again")
	}
	if res := otherRoot.Do(ctx, readRequest("warm", "r6")); res.Status != 200 {
		t.Errorf("the other: %d, %v", res.Status, res.Err)
	}
}
