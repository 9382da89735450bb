package descriptors

import "testing"

// Guards against two sides that starve each other: whatever is in use, a client within the clients' share is
// never closed for a member, and gives way to nobody but connections at rest.
func TestNeitherSideStarvesTheOther(t *testing.T) {
	for _, limit := range []int{64, 256, 512, 1024} {
		budget := Budget{Limit: limit, Reserve: 24}
		for clients := range limit {
			for members := range limit - clients {
				use := Use{Clients: clients, Members: members}
				if clients <= budget.ClientShare() && budget.ForMember(use) == CloseClient {
					t.Fatalf("limit %d: a client is closed for a member at %+v", limit, use)
				}
				if clients < budget.ClientShare() && budget.ForClient(use) == CloseClient {
					t.Fatalf("limit %d: a client is closed for another one within the share at %+v", limit, use)
				}
				if open := budget.ForClient(use) == Open; open != budget.HasSpare(use) {
					t.Fatalf("limit %d: opens %v at %+v", limit, open, use)
				}
				if clients+members >= limit-budget.Reserve/2 && budget.ForMember(use) == Open {
					t.Fatalf("limit %d: the reserve is used up at %+v", limit, use)
				}
			}
		}
	}
}

// Guards against a crowd of clients beyond the clients' share that keeps members without connections.
func TestClientsBeyondTheirShareGiveWay(t *testing.T) {
	budget := Budget{Limit: 256, Reserve: 24}
	crowd := Use{Clients: 116, Members: 256 - 12 - 116}
	if got := budget.ForMember(crowd); got != CloseClient {
		t.Errorf("action %d for a member beside a crowd", got)
	}
	if got := budget.ForClient(crowd); got != CloseClient {
		t.Errorf("action %d for a client beside a crowd", got)
	}
	few := Use{Clients: 20, Members: 256 - 12 - 20}
	if got := budget.ForMember(few); got != CloseMember {
		t.Errorf("action %d for a member beside few clients", got)
	}
}
