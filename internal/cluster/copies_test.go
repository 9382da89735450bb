package cluster

import (
	"strings"
	"testing"
	"time"

	"linenloom/internal/standin"
)

// crossZoneDelay is the network delay between zones.
const crossZoneDelay = 15 * time.Millisecond

// maxFirstTransit is the longest time for which a proxy assumes the first request on a connection to be in
// transit: the connect timeout, beyond which the connection never opens.
const maxFirstTransit = 250 * time.Millisecond

// Proxies in three zones with network delays between them, and caches that stay silent, refuse requests,
// drop connections or answer malformed bytes: no member receives an attempt of a request while another
// attempt is outstanding.
func TestOneAttemptAtATime(t *testing.T) {
	t.Parallel()
	duplicates := standin.NewDuplicateChecker()
	duplicates.MaxInTransit = maxFirstTransit
	h := newHarness(t, Options{Duplicates: duplicates})
	for _, p := range h.Proxies {
		for _, zone := range zoneNames {
			for _, cache := range h.CachesIn(zone) {
				if zone != p.Zone {
					h.Link(p.Name, cache).SetBoth(Impairment{Delay: crossZoneDelay})
				}
			}
		}
	}
	for turn, fault := range []standin.Fault{standin.Stall, standin.Reset, standin.Malformed, standin.Busy, standin.Intermittent, standin.Stall} {
		zone := zoneNames[turn%len(zoneNames)]
		h.setFault(fault, zone)
		h.letRun(time.Second)
		h.setFault(standin.Healthy, zone)
	}
	h.Stop()
	all, further := duplicates.Attempts()
	t.Logf("%d attempts, %d of them further ones", all, further)
	if further < 50 {
		t.Errorf("only %d further attempts", further)
	}
	if v := duplicates.Violations(); len(v) > 0 {
		t.Errorf("%d second copies:\n%s", len(v), strings.Join(v[:min(10, len(v))], "\n"))
	}
}
