package server

import (
	"crypto/tls"
	"net/netip"
	"strings"
	"testing"
	"time"

	"linenloom/internal/extproc/caller"
	"linenloom/internal/identity"
	"linenloom/internal/proxy"
)

// fakeCallers implements Callers: each token proves its own text as the tenant. The kiosk may only read,
// and the token of an order is valid for one order.
type fakeCallers struct {
	policy  *identity.Policy
	replays identity.ReplayGuard
}

func newFakeCallers() *fakeCallers {
	return &fakeCallers{policy: identity.NewPolicy([]identity.Rights{{Tenant: "kiosk", ReadOnly: true}, {Tenant: "shop"},
		{Tenant: "app", Fronts: []string{"resp2"}}}, nil), replays: identity.ReplayGuard{MaxIDs: 8}}
}

func (n *fakeCallers) TokenAttribute() string { return "tk" }
func (n *fakeCallers) TLS(string) *tls.Config { return nil }
func (n *fakeCallers) Certificate(*tls.ConnectionState) (*identity.Proof, error) {
	return nil, &identity.Error{Reason: identity.NoCredentials}
}
func (n *fakeCallers) VerifyToken(token []byte, _ netip.Addr, _ bool) (*identity.Proof, error) {
	switch name := string(token); name {
	case "forged":
		return nil, &identity.Error{Reason: identity.BadSignature}
	case "many":
		return nil, &identity.Error{Reason: identity.Overloaded}
	default:
		tenant, id, _ := strings.Cut(name, "#")
		return &identity.Proof{Tenant: tenant, ID: id, ExpiresAt: time.Now().Add(time.Hour)}, nil
	}
}
func (n *fakeCallers) CheckProof(*identity.Proof) error { return nil }
func (n *fakeCallers) Authorize(p *identity.Proof, a identity.Request) error {
	if err := n.policy.Authorize(time.Now(), p.Tenant, a); err != nil || !a.AtMostOnce {
		return err
	}
	return n.replays.Use(time.Now(), p)
}
func (n *fakeCallers) Release(p *identity.Proof) { n.replays.Release(p) }

func withToken(token string, q caller.Request) caller.Request {
	if token != "" {
		q.Headers["authorization"] = "Bearer " + token
	}
	return q
}

// Callers are authenticated by their token: the tenant in the headers is ignored, a kiosk cannot place an
// order, and a denied caller gets no 503 or 429 that would make it retry.
func TestCallersAreAuthenticated(t *testing.T) {
	fleet := newFleet(t, 2)
	fleet.Fill("warm")
	env := newHarness(t, fleet, operatorFile("answer", ""), func(c *proxy.Config) { c.Callers = newFakeCallers() })
	withTenant := func(tenant string, q caller.Request) caller.Request { q.Headers["x-tenant"] = tenant; return q }
	basic := readRequest("warm", "r0")
	basic.Headers["authorization"] = "Basic c2hvcDpzaG9w"
	for _, c := range []struct {
		q    caller.Request
		code int
		body string
	}{
		{readRequest("warm", "r1"), 401, "no token"},
		{basic, 401, "no token"},
		{withToken("forged", readRequest("warm", "r2")), 401, "wrong signature"},
		{withToken("many", readRequest("warm", "r3")), 503, "too many tokens"},
		{withToken("kiosk", readRequest("warm", "r4")), 200, "value of warm"},
		{withToken("app", readRequest("warm", "r5")), 403, "not on this front"},
		{withToken("else", readRequest("warm", "r6")), 403, "no right"},
		{withTenant("shop", withToken("kiosk", orderRequest("o1", "w1"))), 403, "to reads only"},
		{withToken("shop#one", orderRequest("o1", "w1")), 200, "receipt of o1"},
		{withToken("shop#one", orderRequest("o2", "w2")), 403, "used before"},
		{withToken("kiosk", readRequest("warm", "w1")), 200, "value of warm"}, // the id of the shop's order
	} {
		env.expect(env.do(c.q), c.code, c.body)
	}
	if ran := fleet.Origin.Executions(); len(ran) != 1 || ran["o1"] != 1 {
		t.Errorf("executions %v", ran)
	}
	env.waitIdle()
}

// An order that was refused has not run, so its token stays usable.
func TestRefusedOrderKeepsItsToken(t *testing.T) {
	fleet := newFleet(t, 1)
	callers := newFakeCallers()
	env := newHarness(t, fleet, operatorFile("answer", ""), func(c *proxy.Config) { c.Callers = callers })
	fleet.Origin.Close()
	if res := env.do(withToken("shop#one", orderRequest("o1", "w1"))); res.Status != 503 && res.Status != 429 {
		t.Fatalf("answered %d %q, want a refusal", res.Status, res.Body)
	}
	env.host.Do(func() {
		if callers.replays.Len() != 0 {
			t.Errorf("%d ids are used by an order that never ran", callers.replays.Len())
		}
	})
}

// In route mode callers are authenticated on each call, and the message that names a member removes the
// token from the request.
func TestRouteModeRemovesToken(t *testing.T) {
	fleet := newFleet(t, 2)
	fleet.Fill("warm")
	env := newHarness(t, fleet, operatorFile("route", ""), func(c *proxy.Config) { c.Callers = newFakeCallers() })
	env.caller.Retries = 4
	env.expect(env.do(readRequest("warm", "r1")), 401, "no token")
	env.expect(env.do(withToken("forged", readRequest("warm", "r2"))), 401, "wrong signature")
	env.expect(env.do(withToken("kiosk", orderRequest("o1", "w1"))), 403, "to reads only")
	env.expect(env.do(withToken("kiosk", readRequest("warm", "r3"))), 200, "value of warm")
	res := env.do(withToken("kiosk", readRequest("cold", "r4"))) // a miss: the call returns for the origin
	env.expect(res, 200, "value of cold")
	if len(res.Members) < 2 {
		t.Errorf("a miss went to %v", res.Members)
	}
	env.expect(env.do(withToken("shop#one", orderRequest("o1", "w2"))), 200, "receipt of o1")
	for kind := range kindCount {
		m := memberMessage(env.front.config.Load(), "127.0.0.1:1", time.Second, kind)
		common := m.GetRequestHeaders().GetResponse()
		if kind == inBody {
			common = m.GetRequestBody().GetResponse()
		}
		if got := common.GetHeaderMutation().GetRemoveHeaders(); len(got) != 1 || got[0] != authorization {
			t.Errorf("message %d takes out %v", kind, got)
		}
	}
	env.waitIdle()
}
