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

// door is a proxy whose RESP2 listener speaks TLS, and the authority behind it, with two roots.
type door struct {
	*testProxy
	*standin.Authority
	gate *callers.Gate
	seen chan string // lists that members were sent
}

func newDoor(t *testing.T, client string, answer func(a asked) string) *door {
	t.Helper()
	a, err := standin.NewAuthority(t.TempDir(), 2)
	if err != nil {
		t.Fatal(err)
	}
	d := &door{Authority: a, seen: make(chan string, 1000)}
	d.gate, err = callers.New(&operator.Identity{Replays: 8, Tenants: []operator.Tenant{{Name: "kiosk", ReadOnly: true}, {Name: "shop"}},
		TLS:          operator.TLS{Cert: a.Path("cert.pem"), Key: a.Path("key.pem"), Roots: a.Path("roots.pem"), Client: client, Handshakes: 1000},
		Certificates: []operator.Certificate{{DNS: "kiosk.example", Tenant: "kiosk"}, {DNS: "shop.example", Tenant: "shop"}}},
		slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	cfg := testConfig()
	cfg.Settings.Tenants = []logic.Tenant{{Name: "kiosk", Share: 0.5}, {Name: "shop", Share: 0.5}}
	cfg.Callers = d.gate
	d.testProxy = start(t, cfg, entry("s-a", cache(t, func(a asked) string { d.seen <- a.attrs; return answer(a) }), "large"),
		entry("s-o", origin(t, func(r *http.Request) string { return page("receipt of " + r.URL.Path[1:]) }), "origin"))
	return d
}

// enter connects as a caller by a root whose certificate has this name; none, if it is empty.
func (d *door) enter(root int, name string) *testClient {
	d.t.Helper()
	cfg, err := d.ClientConfig(d.Roots[root], name)
	if err != nil {
		d.t.Fatal(err)
	}
	conn, err := tls.Dial("tcp", d.Addr().String(), cfg)
	if err != nil {
		d.t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(patience))
	d.t.Cleanup(func() { conn.Close() })
	return &testClient{t: d.t, conn: conn, in: bufio.NewReader(conn)}
}

// The certificate names the tenant, and its rights hold; long values and long pipelines pass.
func TestCertificatesOnTheFront(t *testing.T) {
	d := newDoor(t, "asked", func(a asked) string {
		size := 5_000
		if a.key == "map/1" {
			size = 100_000
		}
		return hit(strings.Repeat(a.key[:1], size))
	})
	kiosk, shop := d.enter(0, "kiosk.example"), d.enter(0, "shop.example")
	kiosk.send(words("OBJ.GET", "map/1", "r1", "c=tile-read,t=shop,d=4000"))
	if got := kiosk.answer(); got != strings.Repeat("m", 100_000) {
		t.Errorf("%d bytes: %.20q", len(got), got)
	}
	if attrs := <-d.seen; !strings.Contains(attrs, "t=kiosk") || strings.Contains(attrs, "shop") {
		t.Errorf("the member was told %q", attrs)
	}
	kiosk.send(put("orders/1", "w1", "x"))
	if got := kiosk.answer(); !strings.HasPrefix(got, "-NOPERM") {
		t.Errorf("a kiosk's order: %q", got)
	}
	shop.send(put("orders/2", "w2", strings.Repeat("x", 400_000)))
	if got := shop.answer(); got != "receipt of orders/2" {
		t.Errorf("a shop's order: %q", got)
	}
	for who, name := range map[string]string{"nobody": "", "somebody unknown": "other.example"} {
		c := d.enter(0, name)
		c.send(ask("map/1", "r-"+name, "c=tile-read,d=4000"))
		if got := c.answer(); !strings.HasPrefix(got, "-NOAUTH") {
			t.Errorf("%s: %q", who, got)
		}
	}
	var wg sync.WaitGroup
	for n := range 4 {
		c := d.enter(0, "kiosk.example")
		wg.Go(func() {
			var b strings.Builder
			for i := range 40 {
				b.WriteString(get(fmt.Sprintf("%c%d", 'a'+i%26, i), fmt.Sprintf("p%d-%d", n, i)))
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

// Who speaks plainly, or has no certificate where one is required, gets no answer.
func TestTheDoorIsShut(t *testing.T) {
	d := newDoor(t, "required", func(asked) string { return hit("v") })
	plain := d.dial()
	plain.send(get("map/1", "r1"))
	if got := plain.answer(); strings.HasPrefix(got, "v") || strings.HasPrefix(got, "-NO") {
		t.Errorf("in plain text: %q", got)
	}
	bare := d.enter(0, "")
	bare.send(get("map/1", "r2"))
	if got := bare.answer(); got != "" {
		t.Errorf("without a certificate: %q", got)
	}
	c := d.enter(0, "kiosk.example")
	c.send(get("map/1", "r3"))
	if got := c.answer(); got != "v" {
		t.Errorf("with one: %q", got)
	}
}

// Roots change while connections stand: those whose root is gone get the answer to what is in hand, and then their end in so many words;
// the others go on.
func TestConnectionEndsWithItsRoot(t *testing.T) {
	release := make(chan struct{})
	d := newDoor(t, "asked", func(a asked) string {
		if a.key == "slow" {
			<-release
		}
		return hit("value of " + a.key)
	})
	idle, inHand := d.enter(0, "shop.example"), d.enter(0, "kiosk.example")
	if err := d.PublishRoots(d.Roots...); err != nil {
		t.Fatal(err)
	}
	d.gate.Look()
	stays := d.enter(1, "kiosk.example")
	for i, c := range []*testClient{idle, inHand, stays} {
		c.send(get("a", fmt.Sprint("r", i)))
		if got := c.answer(); got != "value of a" {
			t.Fatal(got)
		}
		<-d.seen
	}
	inHand.send(get("slow", "r-slow"))
	<-d.seen
	if err := d.PublishRoots(d.Roots[1]); err != nil {
		t.Fatal(err)
	}
	d.gate.Look()
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
	stays.send(get("b", "r-b"))
	if got := stays.answer(); got != "value of b" {
		t.Errorf("the other: %q", got)
	}
}
