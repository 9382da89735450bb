package cluster

import (
	"strings"
	"testing"
	"time"

	"linenloom/internal/standin"
)

// crossZoneDelay is the network delay between zones.
const crossZoneDelay = 15 * time.Millisecond

// Proxies in three zones with network delays between them, and caches that stay silent, refuse requests,
// drop connections or answer malformed bytes: no member receives an attempt of a request while another
// attempt is outstanding.
func TestOneAttemptAtATime(t *testing.T) {
	t.Parallel()
	copies := standin.NewDuplicateChecker()
	s := newHarness(t, Options{Duplicates: copies})
	for _, p := range s.Proxies {
		for _, zone := range zoneNames {
			for _, b := range s.CachesIn(zone) {
				if zone != p.Zone {
					s.Link(p.Name, b).SetBoth(Impairment{Delay: crossZoneDelay})
				}
			}
		}
	}
	for turn, fault := range []standin.Fault{standin.Stall, standin.Reset, standin.Malformed, standin.Busy, standin.Intermittent, standin.Stall} {
		zone := zoneNames[turn%len(zoneNames)]
		s.setFault(fault, zone)
		s.letRun(time.Second)
		s.setFault(standin.Healthy, zone)
	}
	s.Stop()
	all, further := copies.Attempts()
	t.Logf("%d attempts, %d of them further ones", all, further)
	if further < 50 {
		t.Errorf("only %d further attempts", further)
	}
	if v := copies.Violations(); len(v) > 0 {
		t.Errorf("%d second copies:\n%s", len(v), strings.Join(v[:min(10, len(v))], "\n"))
	}
}
