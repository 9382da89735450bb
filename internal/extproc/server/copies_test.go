package server

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"linenloom/internal/discovery"
	"linenloom/internal/proxy"
	"linenloom/internal/standin"
)

// In route mode a caller abandons an attempt that is in transit to a distant member and requests another
// one, at a near member. The first attempt then arrives while the near member processes the second. This
// also holds for the first message on a new connection, which arrives later by a handshake: a caller opens
// connections as it likes.
func TestRouteModeHasOneCopyAtATime(t *testing.T) {
	for name, handshake := range map[string]time.Duration{"on connections that stand": 0, "on new connections": 90 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet, copies := newFleet(t, 2), standin.NewDuplicateChecker()
			relayAddrs := map[string]string{}
			for _, m := range fleet.Registry.List().Members {
				far := m.ID == fleet.Caches[0].ID
				delay := time.Duration(0)
				if far {
					delay = 80 * time.Millisecond
				}
				relay, err := standin.NewRelay(m.ID, m.HostPort, true, delay, delay/8, copies)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(relay.Close)
				if far {
					relay.SetHandshake(func() time.Duration { return handshake })
				}
				relayAddrs[m.ID] = relay.Addr()
			}
			for _, b := range fleet.Caches {
				b.SetService(45*time.Millisecond, 0)
			}
			env := newHarness(t, fleet, operatorFile("route", ""), func(cfg *proxy.Config) {
				withRelay := func(m discovery.Member) discovery.Member { m.HostPort = relayAddrs[m.ID]; return m }
				view, err := fleet.Registry.ListenView(withRelay)
				if err != nil {
					t.Fatal(err)
				}
				cfg.Discovery, cfg.Settings.ConnectTimeout = view, 600*time.Millisecond
				for i, m := range cfg.InitialList.Members {
					cfg.InitialList.Members[i] = withRelay(m)
				}
			})
			env.caller.Retries, env.caller.AttemptTimeout = 4, 50*time.Millisecond
			for i := range 12 {
				key := fmt.Sprint("k", i)
				fleet.Fill(key)
				env.do(readRequest(key, "id"+key))
			}
			all, further := copies.Attempts()
			if further == 0 {
				t.Errorf("%d attempts came, none of them a further one", all)
			}
			if v := copies.Violations(); len(v) > 0 {
				t.Errorf("%d second copies among %d attempts:\n%s", len(v), all, strings.Join(v, "\n"))
			}
		})
	}
}
