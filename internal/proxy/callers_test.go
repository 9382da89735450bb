package proxy

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-jose/go-jose/v4"

	"linenloom/internal/callers"
	"linenloom/internal/identity"
	"linenloom/internal/operator"
	"linenloom/logic"
)

// tokenIssuer signs tokens and maintains the key file of a callers.Authenticator.
type tokenIssuer struct {
	t    *testing.T
	file string
	keys map[string]ed25519.PrivateKey
}

func newTokenIssuer(t *testing.T, ids ...string) *tokenIssuer {
	o := &tokenIssuer{t: t, file: filepath.Join(t.TempDir(), "keys.json"), keys: map[string]ed25519.PrivateKey{}}
	o.publish(ids...)
	return o
}

// publish replaces the key file by one with these keys, and generates those that are new.
func (o *tokenIssuer) publish(ids ...string) {
	o.t.Helper()
	var set jose.JSONWebKeySet
	for _, id := range ids {
		if o.keys[id] == nil {
			_, o.keys[id], _ = ed25519.GenerateKey(rand.Reader)
		}
		set.Keys = append(set.Keys, jose.JSONWebKey{Key: o.keys[id].Public(), KeyID: id})
	}
	text, err := json.Marshal(set)
	if err == nil {
		err = os.WriteFile(o.file+".new", text, 0o600)
	}
	if err == nil {
		err = os.Rename(o.file+".new", o.file)
	}
	if err != nil {
		o.t.Fatal(err)
	}
}

func (o *tokenIssuer) token(key, tenant, jti string) string {
	o.t.Helper()
	by, err := jose.NewSigner(jose.SigningKey{Algorithm: jose.EdDSA, Key: o.keys[key]}, (&jose.SignerOptions{}).WithHeader("kid", key))
	if err != nil {
		o.t.Fatal(err)
	}
	sig, err := by.Sign(fmt.Appendf(nil, `{"iss":"i","aud":"a","tenant":%q,"jti":%q,"exp":%d}`, tenant, jti, time.Now().Add(time.Minute).Unix()))
	if err != nil {
		o.t.Fatal(err)
	}
	text, _ := sig.CompactSerialize()
	return text
}

// startWithCallers starts a proxy that authenticates its callers; the kiosk may only read, and only keys
// under map/.
func startWithCallers(t *testing.T, issuer *tokenIssuer, more ...any) (proxy *testProxy, gate *callers.Authenticator, seen func() []string) {
	t.Helper()
	var mu sync.Mutex
	var attrs []string
	note := func(s string) {
		mu.Lock()
		attrs = append(attrs, s)
		mu.Unlock()
	}
	cfg := testConfig()
	cfg.Settings.Tenants = []logic.Tenant{{Name: "kiosk", Share: 0.5}, {Name: "shop", Share: 0.5}}
	gate, err := callers.New(&operator.Identity{KeySetFile: issuer.file, Issuer: "i", Audience: "a", TenantClaim: "tenant", TokenAttribute: "tk",
		MaxLifetime: operator.Duration(time.Hour), TokenCacheSize: 16, ChecksPerSecond: 1000, MaxReplayIDs: 16, Tenants: []operator.Tenant{
			{Name: "kiosk", Classes: []string{"tile-read"}, Prefixes: []string{"map/"}, ReadOnly: true}, {Name: "shop"}}},
		slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	cfg.Callers = gate
	answer := func(memberCommand) string { return hitReply("v") }
	for _, m := range more {
		switch m := m.(type) {
		case func(*Config):
			m(&cfg)
		case func(memberCommand) string:
			answer = m
		}
	}
	proxy = startProxy(t, cfg, listEntry("s-a", startCache(t, func(a memberCommand) string { note(a.attrs); return answer(a) }), "large"),
		listEntry("s-o", startOrigin(t, func(r *http.Request) string { note(r.Header.Get("X-Attrs")); return httpOK("receipt") }), "origin"))
	return proxy, gate, func() []string { mu.Lock(); defer mu.Unlock(); return append([]string(nil), attrs...) }
}

func getWithAttrs(key, id, attrs string) string { return respCommand("OBJ.GET", key, id, attrs) }

// Checks the rights of callers and the attributes that members receive: the proven tenant and no token,
// whatever the request's own list says.
func TestCallersAreProven(t *testing.T) {
	issuer := newTokenIssuer(t, "k1")
	p, _, seen := startWithCallers(t, issuer)
	kiosk, shop := issuer.token("k1", "kiosk", ""), issuer.token("k1", "shop", "once")
	for i, c := range []struct {
		auth, send, want string
	}{
		{"", getWithAttrs("map/1", "r#", "c=tile-read,t=shop,d=4000"), "-NOAUTH"},
		{kiosk, getWithAttrs("map/1", "r#", "c=tile-read,t=shop,d=4000"), "v"},
		{kiosk, getWithAttrs("orders/1", "r#", "c=tile-read,d=4000"), "-NOPERM"},
		{kiosk, respCommand("OBJ.SET", "map/1", "r#", "c=pass-order,t=shop,d=4000", "x"), "-NOPERM"},
		{kiosk, respCommand("OBJ.SET", "map/1", "r#", "c=tile-read,d=4000", "x"), "-NOPERM"},
		{kiosk, respCommand("OBJ.SET", "map/1", "r#", "c=pass-order,d=4000,tk="+shop, "x"), "receipt"},
		{kiosk, respCommand("OBJ.SET", "map/1", "r#", "c=pass-order,d=4000,tk="+shop, "x"), "-NOPERM used before"},
		{kiosk, getWithAttrs("map/1", "r#", "c=tile-read,d=4000,tk=a.b.c"), "-WRONGPASS"},
		{kiosk[:len(kiosk)-8] + "AAAAAAAA", getWithAttrs("map/1", "r#", "c=tile-read,d=4000"), "-NOAUTH"},
	} {
		cl := p.dial()
		if c.auth != "" {
			cl.send(respCommand("AUTH", c.auth))
			if got := cl.answer(); got != "+OK" && !strings.HasPrefix(got, "-WRONGPASS") {
				t.Errorf("%d: AUTH: %q", i, got)
			}
		}
		cl.send(strings.Replace(c.send, "r#", fmt.Sprint("r", i), 1))
		if got := cl.answer(); !strings.HasPrefix(got, c.want) {
			t.Errorf("%d: %q, want %q", i, got, c.want)
		} else if strings.Contains(got, "BUSY") || strings.Contains(got, kiosk[:20]) {
			t.Errorf("%d: %q", i, got)
		}
	}
	if got := seen(); len(got) != 2 || !strings.Contains(got[0], "t=kiosk") || !strings.Contains(got[1], "t=shop") ||
		strings.Contains(strings.Join(got, ""), "shop,t=") || strings.Contains(strings.Join(got, ""), "tk=") {
		t.Errorf("members were told %q", got)
	}
}

// Requests sent before a change of identity keep the identity under which they were sent, though all are
// pipelined together.
func TestIdentityChangesInPipeline(t *testing.T) {
	issuer := newTokenIssuer(t, "k1")
	p, _, seen := startWithCallers(t, issuer)
	c := p.dial()
	c.send(respCommand("AUTH", issuer.token("k1", "kiosk", "")) + getWithAttrs("map/1", "a", "c=tile-read,d=4000") +
		respCommand("AUTH", "user", issuer.token("k1", "shop", "")) + getWithAttrs("else/1", "b", "c=tile-read,d=4000") +
		respCommand("AUTH", "nonsense") + getWithAttrs("map/1", "c", "c=tile-read,d=4000"))
	for i, want := range []string{"+OK", "v", "+OK", "v", "-WRONGPASS", "-NOAUTH"} {
		if got := c.answer(); !strings.HasPrefix(got, want) {
			t.Errorf("%d: %q, want %q", i, got, want)
		}
	}
	if got := strings.Join(seen(), " "); !strings.Contains(got, "t=kiosk") || !strings.Contains(got, "t=shop") {
		t.Errorf("members were told %q", got)
	}
}

// Keys rotate under load, before and after callers use them: a caller with a valid key is served, and none
// with an invalid one, on open connections too. An unreadable key file changes nothing.
func TestKeysRotateUnderLoad(t *testing.T) {
	issuer := newTokenIssuer(t, "k1")
	p, gate, _ := startWithCallers(t, issuer)
	old := p.dial()
	old.send(respCommand("AUTH", issuer.token("k1", "shop", "")))
	old.answer()
	n := 0
	try := func(c *testClient, attrs, want string) {
		t.Helper()
		n++
		c.send(getWithAttrs("map/1", fmt.Sprint("q", n), "c=tile-read,d=4000"+attrs))
		if got := c.answer(); !strings.HasPrefix(got, want) {
			t.Errorf("request %d: %q, want %q", n, got, want)
		}
	}
	for round := 1; round <= 5; round++ {
		now, next := fmt.Sprint("k", round), fmt.Sprint("k", round+1)
		issuer.publish(now, next)
		gate.ReloadFiles()
		held := issuer.token(now, "shop", "")
		try(old, "", "v")
		try(old, ",tk="+held, "v")
		try(old, ",tk="+issuer.token(next, "kiosk", ""), "v")
		for _, bad := range []string{"", `{"keys":[`, `{"keys":[]}`} {
			if err := os.WriteFile(issuer.file, []byte(bad), 0o600); err != nil {
				t.Fatal(err)
			}
			gate.ReloadFiles()
			try(old, ",tk="+held, "v")
		}
		if err := os.Remove(issuer.file); err != nil {
			t.Fatal(err)
		}
		gate.ReloadFiles()
		try(old, "", "v")
		issuer.publish(next)
		gate.ReloadFiles()
		try(old, "", "-WRONGPASS its key is retired")
		try(old, ",tk="+held, "-WRONGPASS its key is retired")
		old = p.dial()
		old.send(respCommand("AUTH", issuer.token(next, "shop", "")))
		if got := old.answer(); got != "+OK" {
			t.Fatal(got)
		}
	}
}

// expiringCallers is a Callers whose proofs are valid until expired is set.
type expiringCallers struct{ expired, released atomic.Int32 }

func (f *expiringCallers) TokenAttribute() string { return "tk" }
func (f *expiringCallers) TLS(string) *tls.Config { return nil }
func (f *expiringCallers) Certificate(*tls.ConnectionState) (*identity.Proof, error) {
	return nil, &identity.Error{Reason: identity.NoCredentials}
}
func (f *expiringCallers) VerifyToken([]byte, netip.Addr, bool) (*identity.Proof, error) {
	return &identity.Proof{Tenant: "shop", ID: "one"}, nil
}
func (f *expiringCallers) Authorize(*identity.Proof, identity.Request) error { return nil }
func (f *expiringCallers) Release(*identity.Proof)                           { f.released.Add(1) }
func (f *expiringCallers) CheckProof(*identity.Proof) error {
	if f.expired.Load() > 0 {
		return &identity.Error{Reason: identity.KeyRetired}
	}
	return nil
}

// A proof is checked again before each attempt: if it was revoked after the order was accepted, or after an
// attempt that never ran, nothing is sent, and the answer is not a refusal.
func TestProofIsCheckedBeforeEachAttempt(t *testing.T) {
	for name, goneAt := range map[string]int{"before the first": 0, "before the second": 1} {
		t.Run(name, func(t *testing.T) {
			expiring := &expiringCallers{}
			var asked atomic.Int32
			cfg := testConfig()
			cfg.Callers = expiring
			if goneAt == 0 {
				expiring.expired.Store(1)
			}
			p := startProxy(t, cfg, listEntry("s-o", startOrigin(t, func(*http.Request) string {
				asked.Add(1)
				expiring.expired.Store(1)
				return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
			}), "origin"))
			c := p.dial()
			c.send(respCommand("AUTH", "token"))
			c.answer()
			c.send(setCommand("orders/1", "z", "x"))
			if got := c.answer(); !strings.HasPrefix(got, "-WRONGPASS its key is retired") {
				t.Errorf("%q", got)
			}
			if int(asked.Load()) != goneAt {
				t.Errorf("the origin was asked %d times, want %d", asked.Load(), goneAt)
			}
		})
	}
}

// An order that may have run is answered as failed, even if its proof has been revoked meanwhile: if it
// were answered only with the error of its proof, its client would authenticate again and repeat the order.
func TestOrderThatMayHaveRunIsNotDenied(t *testing.T) {
	expiring := &expiringCallers{}
	cfg := testConfig()
	cfg.Callers = expiring
	p := startProxy(t, cfg, listEntry("s-o", startOrigin(t, func(*http.Request) string {
		expiring.expired.Store(1)
		return "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	}), "origin"))
	c := p.dial()
	c.send(respCommand("AUTH", "token"))
	c.answer()
	c.send(setCommand("orders/1", "z", "x"))
	if got := c.answer(); got != "-ERR failed" {
		t.Errorf("%q", got)
	}
	if n := expiring.released.Load(); n != 0 {
		t.Errorf("its token's id is given back %d times", n)
	}
}

// overloadedCallers is a Callers that is too busy to check any token but the first.
type overloadedCallers struct {
	expiringCallers
	checks atomic.Int32
}

func (b *overloadedCallers) VerifyToken(token []byte, from netip.Addr, suspect bool) (*identity.Proof, error) {
	if b.checks.Add(1) > 1 {
		return nil, &identity.Error{Reason: identity.Overloaded}
	}
	return b.expiringCallers.VerifyToken(token, from, suspect)
}

func (b *overloadedCallers) Authorize(p *identity.Proof, _ identity.Request) error {
	if p == nil {
		return &identity.Error{Reason: identity.NoCredentials}
	}
	return nil
}

// A client that sends a second token, which is not checked, loses the identity of the first.
func TestUncheckedTokenClearsIdentity(t *testing.T) {
	cfg := testConfig()
	cfg.Callers = &overloadedCallers{}
	p := startProxy(t, cfg, listEntry("s-a", startCache(t, func(memberCommand) string { return hitReply("v") }), "large"))
	c := p.dial()
	c.send(respCommand("AUTH", "one") + getCommand("k", "id1") + respCommand("AUTH", "two") + getCommand("k", "id2"))
	for _, want := range []string{"+OK", "v", "-BUSY", "-NOAUTH no token"} {
		if got := c.answer(); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}
