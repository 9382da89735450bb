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

// nameProvers is Callers by whom each token proves its own text to be; the kiosk may only read, and an order's token is good for one order.
type nameProvers struct {
	policy  *identity.Policy
	replays identity.ReplayGuard
}

func newProvers() *nameProvers {
	return &nameProvers{policy: identity.NewPolicy([]identity.Rights{{Tenant: "kiosk", ReadOnly: true}, {Tenant: "shop"},
		{Tenant: "app", Fronts: []string{"resp2"}}}, nil), replays: identity.ReplayGuard{MaxIDs: 8}}
}

func (n *nameProvers) Name() string           { return "tk" }
func (n *nameProvers) TLS(string) *tls.Config { return nil }
func (n *nameProvers) Certificate(*tls.ConnectionState) (*identity.Proof, error) {
	return nil, &identity.Error{Reason: identity.NoCredentials}
}
func (n *nameProvers) Prove(token []byte, _ netip.Addr, _ bool) (*identity.Proof, error) {
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
func (n *nameProvers) Holds(*identity.Proof) error { return nil }
func (n *nameProvers) May(p *identity.Proof, a identity.Request) error {
	if err := n.policy.Authorize(time.Now(), p.Tenant, a); err != nil || !a.AtMostOnce {
		return err
	}
	return n.replays.Use(time.Now(), p)
}
func (n *nameProvers) Release(p *identity.Proof) { n.replays.Release(p) }

func by(token string, q caller.Request) caller.Request {
	if token != "" {
		q.Headers["authorization"] = "Bearer " + token
	}
	return q
}

// Callers of the processor are proven by their token: the tenant in the headers says nothing, a kiosk places no order in any way, and
// what turns a caller away is no 503 or 429 that it would try again by.
func TestCallersOfTheProcessorAreProven(t *testing.T) {
	fleet := newFleet(t, 2)
	fleet.Fill("warm")
	r := newRig(t, fleet, file("answer", ""), func(c *proxy.Config) { c.Callers = newProvers() })
	as := func(tenant string, q caller.Request) caller.Request { q.Headers["x-tenant"] = tenant; return q }
	basic := read("warm", "r0")
	basic.Headers["authorization"] = "Basic c2hvcDpzaG9w"
	for _, c := range []struct {
		q    caller.Request
		code int
		body string
	}{
		{read("warm", "r1"), 401, "no token"},
		{basic, 401, "no token"},
		{by("forged", read("warm", "r2")), 401, "wrong signature"},
		{by("many", read("warm", "r3")), 503, "too many tokens"},
		{by("kiosk", read("warm", "r4")), 200, "value of warm"},
		{by("app", read("warm", "r5")), 403, "not on this front"},
		{by("else", read("warm", "r6")), 403, "no right"},
		{as("shop", by("kiosk", order("o1", "w1"))), 403, "to reads only"},
		{by("shop#one", order("o1", "w1")), 200, "receipt of o1"},
		{by("shop#one", order("o2", "w2")), 403, "used before"},
		{by("kiosk", read("warm", "w1")), 200, "value of warm"}, // under the id of the shop's order
	} {
		r.want(r.do(c.q), c.code, c.body)
	}
	if ran := fleet.Origin.Executions(); len(ran) != 1 || ran["o1"] != 1 {
		t.Errorf("executions %v", ran)
	}
	r.quiet()
}

// An order that is refused has surely not run: its token is as good as before.
func TestRefusedOrderKeepsItsToken(t *testing.T) {
	fleet := newFleet(t, 1)
	n := newProvers()
	r := newRig(t, fleet, file("answer", ""), func(c *proxy.Config) { c.Callers = n })
	fleet.Origin.Close()
	if res := r.do(by("shop#one", order("o1", "w1"))); res.Status != 503 && res.Status != 429 {
		t.Fatalf("answered %d %q, want a refusal", res.Status, res.Body)
	}
	r.p.Do(func() {
		if n.replays.Len() != 0 {
			t.Errorf("%d ids are used by an order that never ran", n.replays.Len())
		}
	})
}

// In mode route callers are proven on each call, and the message that names a member has the token taken out of what goes there.
func TestRouteTakesTheTokenOut(t *testing.T) {
	fleet := newFleet(t, 2)
	fleet.Fill("warm")
	r := newRig(t, fleet, file("route", ""), func(c *proxy.Config) { c.Callers = newProvers() })
	r.c.Retries = 4
	r.want(r.do(read("warm", "r1")), 401, "no token")
	r.want(r.do(by("forged", read("warm", "r2"))), 401, "wrong signature")
	r.want(r.do(by("kiosk", order("o1", "w1"))), 403, "to reads only")
	r.want(r.do(by("kiosk", read("warm", "r3"))), 200, "value of warm")
	res := r.do(by("kiosk", read("cold", "r4"))) // a miss: its call comes back for the origin
	r.want(res, 200, "value of cold")
	if len(res.Members) < 2 {
		t.Errorf("a miss went to %v", res.Members)
	}
	r.want(r.do(by("shop#one", order("o1", "w2"))), 200, "receipt of o1")
	for kind := range kinds {
		m := name(r.f.cfg.Load(), "127.0.0.1:1", time.Second, kind)
		common := m.GetRequestHeaders().GetResponse()
		if kind == inBody {
			common = m.GetRequestBody().GetResponse()
		}
		if got := common.GetHeaderMutation().GetRemoveHeaders(); len(got) != 1 || got[0] != authorization {
			t.Errorf("message %d takes out %v", kind, got)
		}
	}
	r.quiet()
}
