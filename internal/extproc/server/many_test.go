package server

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"linenloom/internal/extproc/caller"
	"linenloom/internal/identity"
	"linenloom/internal/manykeys"
	"linenloom/internal/operator"
	"linenloom/internal/proxy"
)

const manyMap = `
[[extproc.map]]
methods = ["GET"]
path = "/mountain/{keys}"
key = "{keys}"
class = "tile-read"
many = true
[many_keys]
`

// A call for many keys has one answer, in the order asked. Keys that the caller may not read are marked one
// by one, and an error of the whole call is reported once.
func TestManyKeysCall(t *testing.T) {
	fleet := newFleet(t, 3)
	var keys []string
	for i := range 12 {
		keys = append(keys, fmt.Sprint("k", i))
	}
	fleet.Fill(keys...)
	callers := newFakeCallers()
	callers.policy = identity.NewPolicy([]identity.Rights{{Tenant: "kiosk", Prefixes: []string{"k1"}}, {Tenant: "shop"}}, nil)
	env := newHarness(t, fleet, operatorFile("answer", "")+manyMap, func(c *proxy.Config) {
		c.ManyKeys = &manykeys.Limits{Keys: 20, Bytes: 1 << 20, Outstanding: 8, PartSize: 2}
		c.Callers = callers
	})
	get := func(as, id string, keys ...string) caller.Result {
		return env.caller.Do(context.Background(), withToken(as, caller.Request{Method: "GET", Path: "/mountain/" + strings.Join(keys, ","),
			Headers: map[string]string{"x-request-id": id}}))
	}
	parseReply := func(res caller.Result) (all []keyResult) {
		t.Helper()
		var reply struct {
			Keys []keyResult `json:"keys"`
		}
		if err := json.Unmarshal(res.Body, &reply); err != nil || res.Status != 200 || res.Headers["content-type"] != "application/json" {
			t.Fatalf("%d %v %v: %v: %s", res.Status, res.Err, res.Headers, err, res.Body)
		}
		return reply.Keys
	}
	asked := append(append([]string(nil), keys...), "k3", "fetched")
	all := parseReply(get("shop", "m1", asked...))
	if len(all) != len(asked) {
		t.Fatalf("%d keys", len(all))
	}
	for i, k := range all {
		if k.Key != asked[i] || !strings.HasPrefix(string(k.Value), "value of "+asked[i]) || k.Mark != "" {
			t.Errorf("place %d: %s %q %s", i, k.Key, k.Value, k.Mark)
		}
	}
	for i, k := range parseReply(get("kiosk", "m2", keys...)) {
		if allowed := strings.HasPrefix(keys[i], "k1"); allowed != (k.Mark == "") || !allowed && (k.Mark != "denied" || k.Value != nil) {
			t.Errorf("a kiosk's %s: %q %s", k.Key, k.Value, k.Mark)
		}
	}
	for name, c := range map[string]struct {
		res  caller.Result
		code int
		body string
	}{
		"too many":     {get("shop", "m3", make([]string, 21)...), 400, "too many keys"},
		"an empty one": {get("shop", "m4", "k1", "", "k2"), 400, "keys must be given"},
		"forged":       {get("forged", "m5", "k1"), 401, "wrong signature"},
	} {
		if c.res.Status != c.code || !strings.Contains(string(c.res.Body), c.body) {
			t.Errorf("%s: %d %s", name, c.res.Status, c.res.Body)
		}
	}
	env.host.Do(func() {
		if c := env.front.calls.Len(); c > 0 {
			t.Logf("%d calls are remembered", c)
		}
	})
	if load := env.host.Load(); load.Requests+load.Held > 0 {
		t.Errorf("%+v is left", load)
	}
}

// An invalid map entry for many keys is reported with its line.
func TestManyKeysEntryErrors(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"route":        {operatorFile("route", "") + manyMap, "in mode route"},
		"a write":      {strings.Replace(operatorFile("answer", "")+manyMap, "many = true", "many = true\nwrite = true", 1), "a write has one key"},
		"not set":      {strings.Replace(operatorFile("answer", "")+manyMap, "[many_keys]", "", 1), "no [many_keys]"},
		"out of range": {operatorFile("answer", "") + manyMap + "keys = 0\n", "many_keys.keys is 0"},
	} {
		if _, err := operator.Parse("f", []byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", name, err, c.want)
		}
	}
}
