package joining

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"linenloom/logic"
)

var testLimits = Limits{Followers: 100, PerTenant: 100, Groups: 100}

func newTestRead(t *testing.T, l Limits, id ID, key string, tenant int, until time.Duration) Read {
	t.Helper()
	r, ok := l.NewRead(&logic.Request{ID: id, Tenant: tenant, Deadline: until}, logic.Repeatable, key, "")
	if !ok {
		t.Fatal("a plain read is none")
	}
	return r
}

// Only a plain read can be joined, and reads that differ in anything that the answer depends on are not
// joined.
func TestWhichReadsJoin(t *testing.T) {
	for name, c := range map[string]struct {
		r      logic.Request
		effect logic.Effect
		key    string
	}{
		"a write":          {logic.Request{Write: true}, logic.Repeatable, "k"},
		"an order":         {logic.Request{}, logic.AtMostOnce, "k"},
		"a keyed request":  {logic.Request{}, logic.DeduplicatedByKey, "k"},
		"one without keys": {logic.Request{}, logic.Repeatable, ""},
	} {
		if _, ok := testLimits.NewRead(&c.r, c.effect, c.key, ""); ok {
			t.Errorf("%s may share an answer", name)
		}
	}
	across := testLimits
	across.AcrossTenants = true
	for name, c := range map[string]struct {
		limits Limits
		other  logic.Request
		key    string
		names  string
		want   Role
	}{
		"the same":                       {testLimits, logic.Request{}, "k", "n=1", Follow},
		"another key":                    {testLimits, logic.Request{}, "l", "n=1", Lead},
		"another name":                   {testLimits, logic.Request{}, "k", "n=2", Lead},
		"another class":                  {testLimits, logic.Request{Class: 1}, "k", "n=1", Lead},
		"another tenant":                 {testLimits, logic.Request{Tenant: 1}, "k", "n=1", Lead},
		"another tenant, shared":         {across, logic.Request{Tenant: 1}, "k", "n=1", Follow},
		"another class, tenants shared":  {across, logic.Request{Class: 1, Tenant: 1}, "k", "n=1", Lead},
		"another time to wait, the same": {testLimits, logic.Request{Deadline: time.Hour}, "k", "n=1", Follow},
	} {
		tab := New(c.limits)
		first, _ := c.limits.NewRead(&logic.Request{ID: 1}, logic.Repeatable, "k", "n=1")
		c.other.ID = 2
		second, _ := c.limits.NewRead(&c.other, logic.Repeatable, c.key, c.names)
		if got := tab.Join(first); got != Lead {
			t.Fatal(got)
		}
		if got := tab.Join(second); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// A tenant with many reads fills only its own follower limit. Beyond it a read goes alone, and reads of
// other tenants still join.
func TestTenantLimits(t *testing.T) {
	l := Limits{Followers: 10, PerTenant: 4, Groups: 2, AcrossTenants: true}
	tab := New(l)
	tab.Join(newTestRead(t, l, 1, "k", 0, 0))
	id := ID(1)
	join := func(tenant int) Role { id++; return tab.Join(newTestRead(t, l, id, "k", tenant, 0)) }
	for i := range 6 {
		if got := join(0); (got == Follow) != (i < 4) || got == Lead {
			t.Errorf("the storm's follower %d: %v", i, got)
		}
	}
	for tenant := 1; tenant < 4; tenant++ {
		for i := range 3 {
			want := Follow
			if tenant == 3 || tenant == 2 && i == 3 {
				want = Alone
			}
			if got := join(tenant); got != want {
				t.Errorf("tenant %d, follower %d: %v, want %v", tenant, i, got, want)
			}
		}
	}
	if got := tab.Join(newTestRead(t, l, 100, "l", 0, 0)); got != Lead {
		t.Error(got)
	}
	if got := tab.Join(newTestRead(t, l, 101, "m", 0, 0)); got != Alone {
		t.Errorf("more flights than there may be: %v", got)
	}
	tab.RemoveFollower(2)
	if got := join(0); got != Follow {
		t.Errorf("after one has left: %v", got)
	}
}

// After a write has been answered, no read joins the groups from before it. The reads that had joined
// earlier share their answers all the same.
func TestFence(t *testing.T) {
	tab := New(testLimits)
	tab.Join(newTestRead(t, testLimits, 1, "k", 0, 0))
	tab.Join(newTestRead(t, testLimits, 2, "k", 0, 0))
	tab.Fence("k")
	if got := tab.Join(newTestRead(t, testLimits, 3, "k", 0, 0)); got != Lead {
		t.Errorf("a read after the write: %v", got)
	}
	if got := tab.Join(newTestRead(t, testLimits, 4, "k", 0, 0)); got != Follow {
		t.Errorf("and the next: %v", got)
	}
	if ids := tab.Complete(1); len(ids) != 1 || ids[0] != 2 {
		t.Errorf("the first one's followers: %v", ids)
	}
	tab.PassLead(3)
	if got := tab.Join(newTestRead(t, testLimits, 5, "k", 0, 0)); got != Follow {
		t.Errorf("a flight whose lead was passed on is closed: %v", got)
	}
	tab.Fence("k")
	tab.PassLead(4)
	if got := tab.Join(newTestRead(t, testLimits, 6, "k", 0, 0)); got != Lead {
		t.Errorf("the lead was passed on, and the fence is gone: %v", got)
	}
}

// For any order of calls: each read leads, follows or goes alone; every follower leaves once, by an
// answer, by taking the lead or by giving up; the lead passes to the follower with the latest deadline;
// no read follows across a fence; the limits are kept, and the table is empty at the end.
func TestAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		l := Limits{Followers: 1 + rng.IntN(30), PerTenant: 1 + rng.IntN(20), Groups: 1 + rng.IntN(6), AcrossTenants: seed%2 == 0}
		tab := New(l)
		deadlines, startSteps, keys := map[ID]time.Duration{}, map[ID]int{}, map[ID]string{}
		leads, follows := map[ID]bool{}, map[ID]bool{}
		fenced := map[string]int{} // latest fence by key
		pick := func(m map[ID]bool) (ID, bool) {
			for i := range ID(3000) {
				if id := i + 1; m[id] && rng.IntN(3) == 0 {
					return id, true
				}
			}
			return 0, false
		}
		for step := range 600 {
			id := ID(step + 1)
			switch k := rng.IntN(12); {
			case k < 7:
				key, tenant := fmt.Sprint("k", rng.IntN(4)), rng.IntN(3)
				deadlines[id], startSteps[id], keys[id] = time.Duration(rng.IntN(50)), step, key
				switch tab.Join(newTestRead(t, l, id, key, tenant, deadlines[id])) {
				case Lead:
					leads[id] = true
				case Follow:
					follows[id] = true
				}
			case k == 7:
				if lead, ok := pick(leads); ok {
					for _, f := range tab.Complete(lead) {
						if !follows[f] || keys[f] != keys[lead] {
							t.Fatalf("seed %d: %d shares what %d got", seed, f, lead)
						}
						if fence, ok := fenced[keys[f]]; ok && startSteps[lead] < fence && startSteps[f] > fence {
							t.Fatalf("seed %d: a read after a write's answer gets what was asked for before", seed)
						}
						delete(follows, f)
					}
					delete(leads, lead)
				}
			case k == 8:
				if lead, ok := pick(leads); ok {
					n := tab.FollowerCount(lead)
					next, ok := tab.PassLead(lead)
					if ok != (n > 0) || ok && (!follows[next] || keys[next] != keys[lead]) {
						t.Fatalf("seed %d: of %d the lead goes to %d, %v", seed, n, next, ok)
					}
					delete(leads, lead)
					if ok {
						startSteps[next] = step // its attempt is sent now
						delete(follows, next)
						leads[next] = true
					}
				}
			case k == 9:
				if f, ok := pick(follows); ok {
					tab.RemoveFollower(f)
					delete(follows, f)
				}
			case k == 10:
				key := fmt.Sprint("k", rng.IntN(4))
				tab.Fence(key)
				fenced[key] = step
			case k == 11 && rng.IntN(8) == 0:
				if lead, ok := pick(leads); ok {
					for _, f := range tab.MarkUnshareable(lead) {
						delete(follows, f)
					}
					delete(leads, lead)
				}
			}
			if n, m := tab.Len(); n != len(leads) || m != len(follows) || m > l.Followers || n > l.Groups {
				t.Fatalf("seed %d: %d flights and %d followers, %d and %d are known", seed, n, m, len(leads), len(follows))
			}
		}
		for lead := range leads {
			tab.Complete(lead)
		}
		if n, m := tab.Len(); n+m+len(tab.joinable)+len(tab.byKey)+len(tab.followersByTenant) > 0 {
			t.Fatalf("seed %d: %d flights, %d followers, %d, %d, %d are left", seed, n, m, len(tab.joinable), len(tab.byKey), len(tab.followersByTenant))
		}
	}
}

// The lead passes to the follower with the latest deadline.
func TestLeadPassesToLatestDeadline(t *testing.T) {
	tab := New(testLimits)
	for i, until := range []time.Duration{5, 3, 9, 1, 7} {
		tab.Join(newTestRead(t, testLimits, ID(i+1), "k", 0, until))
	}
	tab.RemoveFollower(5)
	lead := ID(1)
	var got []ID
	for {
		next, ok := tab.PassLead(lead)
		if !ok {
			break
		}
		got = append(got, next)
		lead = next
	}
	if fmt.Sprint(got) != "[3 2 4]" {
		t.Error(got)
	}
}

// The number of keys that are remembered as not joined is bounded.
func TestUnsharedKeysAreBounded(t *testing.T) {
	tab := New(testLimits)
	for i := range ID(2 * maxUnshared) {
		tab.Join(newTestRead(t, testLimits, i, fmt.Sprint("k", i), 0, 0))
		tab.MarkUnshareable(i)
	}
	if len(tab.unshared) != maxUnshared {
		t.Errorf("%d keys are remembered", len(tab.unshared))
	}
	if got := tab.Join(newTestRead(t, testLimits, 1<<20, fmt.Sprint("k", 2*maxUnshared-1), 0, 0)); got != Alone {
		t.Errorf("a read of a key whose answers can't be shared: %v", got)
	}
}
