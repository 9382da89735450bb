package proxy

import (
	"bufio"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"linenloom/internal/callers"
	"linenloom/internal/operator"
	"linenloom/internal/standin"
	"linenloom/logic"
)

// tlsHarness is a proxy whose RESP2 listener uses TLS, with a certificate authority that has two roots.
type tlsHarness struct {
	*testProxy
	*standin.Authority
	gate        *callers.Authenticator
	memberAttrs chan string // attribute lists that members received
}

func newTLSHarness(t *testing.T, client string, answer func(a memberCommand) string) *tlsHarness {
	t.Helper()
	a, err := standin.NewAuthority(t.TempDir(), 2)
	if err != nil {
		t.Fatal(err)
	}
	d := &tlsHarness{Authority: a, memberAttrs: make(chan string, 1000)}
	d.gate, err = callers.New(&operator.Identity{MaxReplayIDs: 8, Tenants: []operator.Tenant{{Name: "kiosk", ReadOnly: true}, {Name: "shop"}},
		TLS:          operator.TLS{Cert: a.Path("cert.pem"), Key: a.Path("key.pem"), Roots: a.Path("roots.pem"), Client: client, Handshakes: 1000},
		Certificates: []operator.Certificate{{DNS: "kiosk.example", Tenant: "kiosk"}, {DNS: "shop.example", Tenant: "shop"}}},
		slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	cfg := testConfig()
	cfg.Settings.Tenants = []logic.Tenant{{Name: "kiosk", Share: 0.5}, {Name: "shop", Share: 0.5}}
	cfg.Callers = d.gate
	d.testProxy = startProxy(t, cfg, listEntry("s-a", startCache(t, func(a memberCommand) string { d.memberAttrs <- a.attrs; return answer(a) }), "large"),
		listEntry("s-o", startOrigin(t, func(r *http.Request) string { return httpOK("receipt of " + r.URL.Path[1:]) }), "origin"))
	return d
}

// connect connects with a certificate for the given name, issued by the given root; without a certificate
// if the name is empty.
func (d *tlsHarness) connect(root int, name string) *testClient {
	d.t.Helper()
	cfg, err := d.ClientConfig(d.Roots[root], name)
	if err != nil {
		d.t.Fatal(err)
	}
	conn, err := tls.Dial("tcp", d.Addr().String(), cfg)
	if err != nil {
		d.t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(testTimeout))
	d.t.Cleanup(func() { conn.Close() })
	return &testClient{t: d.t, conn: conn, in: bufio.NewReader(conn)}
}

// The certificate determines the tenant, and the tenant's rights apply; long values and long pipelines
// work.
func TestClientCertificates(t *testing.T) {
	harness := newTLSHarness(t, "asked", func(a memberCommand) string {
		size := 5_000
		if a.key == "map/1" {
			size = 100_000
		}
		return hitReply(strings.Repeat(a.key[:1], size))
	})
	kiosk, shop := harness.connect(0, "kiosk.example"), harness.connect(0, "shop.example")
	kiosk.send(respCommand("OBJ.GET", "map/1", "r1", "c=tile-read,t=shop,d=4000"))
	if got := kiosk.answer(); got != strings.Repeat("m", 100_000) {
		t.Errorf("%d bytes: %.20q", len(got), got)
	}
	if attrs := <-harness.memberAttrs; !strings.Contains(attrs, "t=kiosk") || strings.Contains(attrs, "shop") {
		t.Errorf("the member was told %q", attrs)
	}
	kiosk.send(setCommand("orders/1", "w1", "x"))
	if got := kiosk.answer(); !strings.HasPrefix(got, "-NOPERM") {
		t.Errorf("a kiosk's order: %q", got)
	}
	shop.send(setCommand("orders/2", "w2", strings.Repeat("x", 400_000)))
	if got := shop.answer(); got != "receipt of orders/2" {
		t.Errorf("a shop's order: %q", got)
	}
	for who, name := range map[string]string{"nobody": "", "somebody unknown": "other.example"} {
		c := harness.connect(0, name)
		c.send(getWithAttrs("map/1", "r-"+name, "c=tile-read,d=4000"))
		if got := c.answer(); !strings.HasPrefix(got, "-NOAUTH") {
			t.Errorf("%s: %q", who, got)
		}
	}
	var wg sync.WaitGroup
	for n := range 4 {
		c := harness.connect(0, "kiosk.example")
		wg.Go(func() {
			var b strings.Builder
			for i := range 40 {
				b.WriteString(getCommand(fmt.Sprintf("%c%d", 'a'+i%26, i), fmt.Sprintf("p%d-%d", n, i)))
			}
			go c.send(b.String())
			for i := range 40 {
				if got := c.answer(); got != strings.Repeat(string(rune('a'+i%26)), 5_000) {
					t.Errorf("answer %d: %d bytes, %.20q", i, len(got), got)
					return
				}
			}
		})
	}
	wg.Wait()
}

// A client without TLS, or without a certificate where one is required, gets no answer.
func TestConnectionsWithoutCertificateAreRefused(t *testing.T) {
	harness := newTLSHarness(t, "required", func(memberCommand) string { return hitReply("v") })
	plain := harness.dial()
	plain.send(getCommand("map/1", "r1"))
	if got := plain.answer(); strings.HasPrefix(got, "v") || strings.HasPrefix(got, "-NO") {
		t.Errorf("in plain text: %q", got)
	}
	bare := harness.connect(0, "")
	bare.send(getCommand("map/1", "r2"))
	if got := bare.answer(); got != "" {
		t.Errorf("without a certificate: %q", got)
	}
	c := harness.connect(0, "kiosk.example")
	c.send(getCommand("map/1", "r3"))
	if got := c.answer(); got != "v" {
		t.Errorf("with one: %q", got)
	}
}

// Roots change while connections are open: connections whose root was removed get the answers to their
// pending requests and then a proper end of stream; the others continue.
func TestConnectionEndsWhenItsRootIsRemoved(t *testing.T) {
	release := make(chan struct{})
	harness := newTLSHarness(t, "asked", func(a memberCommand) string {
		if a.key == "slow" {
			<-release
		}
		return hitReply("value of " + a.key)
	})
	idle, inHand := harness.connect(0, "shop.example"), harness.connect(0, "kiosk.example")
	if err := harness.PublishRoots(harness.Roots...); err != nil {
		t.Fatal(err)
	}
	harness.gate.ReloadFiles()
	stays := harness.connect(1, "kiosk.example")
	for i, c := range []*testClient{idle, inHand, stays} {
		c.send(getCommand("a", fmt.Sprint("r", i)))
		if got := c.answer(); got != "value of a" {
			t.Fatal(got)
		}
		<-harness.memberAttrs
	}
	inHand.send(getCommand("slow", "r-slow"))
	<-harness.memberAttrs
	if err := harness.PublishRoots(harness.Roots[1]); err != nil {
		t.Fatal(err)
	}
	harness.gate.ReloadFiles()
	if got := idle.answer(); got != "" {
		t.Errorf("on the idle one: %q", got)
	}
	if _, err := idle.conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("it ends without a word: %v", err)
	}
	close(release)
	if got := inHand.answer(); got != "value of slow" {
		t.Errorf("what was in hand: %q", got)
	}
	if got := inHand.answer(); got != "" {
		t.Errorf("after it: %q", got)
	}
	stays.send(getCommand("b", "r-b"))
	if got := stays.answer(); got != "value of b" {
		t.Errorf("the other: %q", got)
	}
}
