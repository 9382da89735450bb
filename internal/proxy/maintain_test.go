package proxy

import (
	"testing"

	"linenloom/internal/maintenance"
)

// Two sets of members out of use may arrive in a different order than they were recorded in: the older set must not
// return a member to use.
func TestMaintenanceOlderSetIsMerged(t *testing.T) {
	p := startProxy(t, testConfig(), listEntry("a", startCache(t, func(memberCommand) string { return hitReply("v") }), "large"))
	one, err := maintenance.Set{}.Enter("a", 1)
	if err != nil {
		t.Fatal(err)
	}
	two, err := one.Enter("b", 2)
	if err != nil {
		t.Fatal(err)
	}
	p.UpdateMaintenance(two)
	p.UpdateMaintenance(one)
	if !p.KnowsMember("a") || !p.KnowsMember("b") {
		t.Error("a member that was called out came back")
	}
}
