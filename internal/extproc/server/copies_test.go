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

// What happens, in mode route: the caller gives a try up while it is under way to a member that is far, and asks for another one; that is made at a
// member that is near. The first one comes while the near one has the second in hand. A caller keeps connections and opens new ones as it likes, so
// the first message on one counts as well: it comes later by a handshake.
func TestRouteHasOneCopyAtATime(t *testing.T) {
	for name, handshake := range map[string]time.Duration{"on connections that stand": 0, "on new connections": 90 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet, copies := newFleet(t, 2), standin.NewDuplicateChecker()
			at := map[string]string{}
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
				at[m.ID] = relay.Addr()
			}
			for _, b := range fleet.Caches {
				b.SetService(45*time.Millisecond, 0)
			}
			r := newRig(t, fleet, file("route", ""), func(cfg *proxy.Config) {
				see := func(m discovery.Member) discovery.Member { m.HostPort = at[m.ID]; return m }
				view, err := fleet.Registry.ListenView(see)
				if err != nil {
					t.Fatal(err)
				}
				cfg.Discovery, cfg.Settings.ConnectTimeout = view, 600*time.Millisecond
				for i, m := range cfg.Known.Members {
					cfg.Known.Members[i] = see(m)
				}
			})
			r.c.Retries, r.c.TryTimeout = 4, 50*time.Millisecond
			for i := range 12 {
				key := fmt.Sprint("k", i)
				fleet.Fill(key)
				r.do(read(key, "id"+key))
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
