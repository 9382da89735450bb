package proxy

import (
	"net"
	"strings"
	"testing"
	"time"

	"linenloom/logic"
)

// A request that may have run is retried only if its class's effect allows it. A class with deduplication by key allows
// it within its scope and window, and only if the request has a key: without one, the receiver cannot recognize the
// repetition.
func TestEffectDecidesRetries(t *testing.T) {
	for name, c := range map[string]struct {
		effect logic.Effect
		scope  logic.Scope
		key    string
		want   string
		tries  int
	}{
		"repeatable":               {logic.Repeatable, logic.ScopeAll, "", "value", 2},
		"once":                     {logic.AtMostOnce, logic.ScopeAll, "", "-ERR", 1},
		"once, with a key":         {logic.AtMostOnce, logic.ScopeAll, ",k=1", "-ERR", 1},
		"keyed":                    {logic.DeduplicatedByKey, logic.ScopeAll, ",k=1", "value", 2},
		"keyed, without its key":   {logic.DeduplicatedByKey, logic.ScopeAll, "", "-ERR", 1},
		"keyed, with an empty key": {logic.DeduplicatedByKey, logic.ScopeAll, ",k=", "-ERR", 1},
		"keyed, in a cell":         {logic.DeduplicatedByKey, logic.ScopeCell, ",k=1", "value", 2},
		"keyed, in a zone":         {logic.DeduplicatedByKey, logic.ScopeZone, ",k=1", "value", 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newRequestLog()
			// The first request is read completely, then its connection is closed.
			node := serveConns(t, func(conn net.Conn) {
				for words := range commandsOf(conn) {
					if l.add(words[2]); len(l.all()) == 1 {
						return
					}
					conn.Write([]byte(hitReply("value")))
				}
			})
			cfg := testConfig()
			cfg.Settings.Classes[0] = logic.Class{Name: "odd", SoftDeadline: 5 * time.Second, Deadline: 8 * time.Second, Value: 1, Effect: c.effect,
				Scope: c.scope, DedupWindow: time.Hour}
			p := startProxy(t, cfg, listEntry("s-1", node, "large"))
			client := p.dial()
			client.send(respCommand("OBJ.GET", "a1", "id", "c=odd,d=8000"+c.key))
			if got := client.answer(); !strings.HasPrefix(got, c.want) {
				t.Errorf("answered %q, want %s", got, c.want)
			}
			if n := len(l.all()); n != c.tries {
				t.Errorf("%d attempts, want %d", n, c.tries)
			}
		})
	}
}
