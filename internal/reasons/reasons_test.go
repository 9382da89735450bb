package reasons

import (
	"slices"
	"strings"
	"testing"

	"linenloom/logic"
)

func TestCountsByClassAndTenant(t *testing.T) {
	c := New([]string{"read", "order"}, []string{"acme", "peak"})
	c.Add(Refused, 0, 1, logic.NoRoom)
	was := c.Clone()
	for range 3 {
		c.Add(Refused, 0, 1, logic.Throttled)
	}
	c.Add(Refused, 0, 1, logic.NoRoom)
	c.Add(Failed, 1, 99, logic.MayHaveRun) // an unknown tenant counts as the first
	c.Add(Refused, 1, 0, HostFull)
	for _, bad := range []int{-1, 2} {
		c.Add(Failed, bad, 0, logic.MayHaveRun)
	}
	c.Add(Failed, 0, 0, reasonCount)
	want := []any{"refused_read_peak", "throttled=3 no_room=1", "refused_order_acme", "host_full=1",
		"failed_order_acme", "may_have_run=1"}
	if got := c.Since(was).Attrs(); !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
	if got := c.Since(nil).Total(Refused, logic.NoRoom); got != 2 {
		t.Errorf("%d refused for want of room, want 2", got)
	}
	if got := was.Total(Refused, logic.Throttled); got != 0 {
		t.Errorf("a copy has changed: %d", got)
	}
}

// Each reason has a distinct name, so that no two are confused.
func TestEveryReasonHasAName(t *testing.T) {
	seen := map[string]bool{}
	for r := range reasonCount {
		if n := Name(r); n == "" || n == "unknown" || seen[n] {
			t.Errorf("reason %d is called %q", r, n)
		} else {
			seen[n] = true
		}
	}
	if Name(reasonCount) != "unknown" {
		t.Errorf("a reason that does not exist is called %q", Name(reasonCount))
	}
}

func TestPrint(t *testing.T) {
	var out strings.Builder
	c := New([]string{"read"}, nil)
	if err := c.Print(&out); err != nil || !strings.Contains(out.String(), "no request") {
		t.Errorf("%q, %v", out.String(), err)
	}
	c.Add(Waited, 0, 0, logic.SharedFetch)
	out.Reset()
	if err := c.Print(&out); err != nil || !strings.Contains(out.String(), "shared_fetch") {
		t.Errorf("%q, %v", out.String(), err)
	}
}
