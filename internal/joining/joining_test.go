package joining

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"linenloom/logic"
)

var some = Limits{Followers: 100, PerTenant: 100, Flights: 100}

func read(t *testing.T, l Limits, id ID, key string, tenant int, until time.Duration) Read {
	t.Helper()
	r, ok := l.NewRead(&logic.Request{ID: id, Tenant: tenant, Deadline: until}, logic.Repeatable, key, "")
	if !ok {
		t.Fatal("a plain read is none")
	}
	return r
}

// What is no plain read can't be made one, and what differs in anything that makes answers differ is not joined.
func TestWhatJoins(t *testing.T) {
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
		if _, ok := some.NewRead(&c.r, c.effect, c.key, ""); ok {
			t.Errorf("%s may share an answer", name)
		}
	}
	across := some
	across.AcrossTenants = true
	for name, c := range map[string]struct {
		limits Limits
		other  logic.Request
		key    string
		names  string
		want   Role
	}{
		"the same":                       {some, logic.Request{}, "k", "n=1", Follow},
		"another key":                    {some, logic.Request{}, "l", "n=1", Lead},
		"another name":                   {some, logic.Request{}, "k", "n=2", Lead},
		"another class":                  {some, logic.Request{Class: 1}, "k", "n=1", Lead},
		"another tenant":                 {some, logic.Request{Tenant: 1}, "k", "n=1", Lead},
		"another tenant, shared":         {across, logic.Request{Tenant: 1}, "k", "n=1", Follow},
		"another class, tenants shared":  {across, logic.Request{Class: 1, Tenant: 1}, "k", "n=1", Lead},
		"another time to wait, the same": {some, logic.Request{Deadline: time.Hour}, "k", "n=1", Follow},
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

// One tenant's storm takes its own room; past it a read goes alone, and others still join.
func TestTenantsShare(t *testing.T) {
	l := Limits{Followers: 10, PerTenant: 4, Flights: 2, AcrossTenants: true}
	tab := New(l)
	tab.Join(read(t, l, 1, "k", 0, 0))
	id := ID(1)
	join := func(tenant int) Role { id++; return tab.Join(read(t, l, id, "k", tenant, 0)) }
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
	if got := tab.Join(read(t, l, 100, "l", 0, 0)); got != Lead {
		t.Error(got)
	}
	if got := tab.Join(read(t, l, 101, "m", 0, 0)); got != Alone {
		t.Errorf("more flights than there may be: %v", got)
	}
	tab.Left(2)
	if got := join(0); got != Follow {
		t.Errorf("after one has left: %v", got)
	}
}

// After a write's answer nobody joins what was out before; what follows it is served by that all the same.
func TestFence(t *testing.T) {
	tab := New(some)
	tab.Join(read(t, some, 1, "k", 0, 0))
	tab.Join(read(t, some, 2, "k", 0, 0))
	tab.Fence("k")
	if got := tab.Join(read(t, some, 3, "k", 0, 0)); got != Lead {
		t.Errorf("a read after the write: %v", got)
	}
	if got := tab.Join(read(t, some, 4, "k", 0, 0)); got != Follow {
		t.Errorf("and the next: %v", got)
	}
	if ids := tab.Landed(1); len(ids) != 1 || ids[0] != 2 {
		t.Errorf("the first one's followers: %v", ids)
	}
	tab.Lost(3)
	if got := tab.Join(read(t, some, 5, "k", 0, 0)); got != Follow {
		t.Errorf("a flight whose lead was passed on is closed: %v", got)
	}
	tab.Fence("k")
	tab.Lost(4)
	if got := tab.Join(read(t, some, 6, "k", 0, 0)); got != Lead {
		t.Errorf("the lead was passed on, and the fence is gone: %v", got)
	}
}

// Whatever happens, in whatever order: each read leads, follows or goes alone; every follower comes out once, by an answer, by the lead or by
// leaving; the lead goes to who has most time; nobody follows across a fence; bounds are kept, and nothing is left at the end.
func TestAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		l := Limits{Followers: 1 + rng.IntN(30), PerTenant: 1 + rng.IntN(20), Flights: 1 + rng.IntN(6), AcrossTenants: seed%2 == 0}
		tab := New(l)
		until, since, what := map[ID]time.Duration{}, map[ID]int{}, map[ID]string{}
		leads, follows := map[ID]bool{}, map[ID]bool{}
		fenced := map[string]int{} // by key: the latest fence
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
				until[id], since[id], what[id] = time.Duration(rng.IntN(50)), step, key
				switch tab.Join(read(t, l, id, key, tenant, until[id])) {
				case Lead:
					leads[id] = true
				case Follow:
					follows[id] = true
				}
			case k == 7:
				if lead, ok := pick(leads); ok {
					for _, f := range tab.Landed(lead) {
						if !follows[f] || what[f] != what[lead] {
							t.Fatalf("seed %d: %d shares what %d got", seed, f, lead)
						}
						if fence, ok := fenced[what[f]]; ok && since[lead] < fence && since[f] > fence {
							t.Fatalf("seed %d: a read after a write's answer gets what was asked for before", seed)
						}
						delete(follows, f)
					}
					delete(leads, lead)
				}
			case k == 8:
				if lead, ok := pick(leads); ok {
					n := tab.Waited(lead)
					next, ok := tab.Lost(lead)
					if ok != (n > 0) || ok && (!follows[next] || what[next] != what[lead]) {
						t.Fatalf("seed %d: of %d the lead goes to %d, %v", seed, n, next, ok)
					}
					delete(leads, lead)
					if ok {
						since[next] = step // what it gets is asked for now
						delete(follows, next)
						leads[next] = true
					}
				}
			case k == 9:
				if f, ok := pick(follows); ok {
					tab.Left(f)
					delete(follows, f)
				}
			case k == 10:
				key := fmt.Sprint("k", rng.IntN(4))
				tab.Fence(key)
				fenced[key] = step
			case k == 11 && rng.IntN(8) == 0:
				if lead, ok := pick(leads); ok {
					for _, f := range tab.Apart(lead) {
						delete(follows, f)
					}
					delete(leads, lead)
				}
			}
			if n, m := tab.Len(); n != len(leads) || m != len(follows) || m > l.Followers || n > l.Flights {
				t.Fatalf("seed %d: %d flights and %d followers, %d and %d are known", seed, n, m, len(leads), len(follows))
			}
		}
		for lead := range leads {
			tab.Landed(lead)
		}
		if n, m := tab.Len(); n+m+len(tab.open)+len(tab.byKey)+len(tab.tenants) > 0 {
			t.Fatalf("seed %d: %d flights, %d followers, %d, %d, %d are left", seed, n, m, len(tab.open), len(tab.byKey), len(tab.tenants))
		}
	}
}

// The lead goes to who has most time.
func TestLeadGoesToWhoHasMostTime(t *testing.T) {
	tab := New(some)
	for i, until := range []time.Duration{5, 3, 9, 1, 7} {
		tab.Join(read(t, some, ID(i+1), "k", 0, until))
	}
	tab.Left(5)
	lead := ID(1)
	var got []ID
	for {
		next, ok := tab.Lost(lead)
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

// The keys that are not joined are bounded.
func TestApartIsBounded(t *testing.T) {
	tab := New(some)
	for i := range ID(2 * mostApart) {
		tab.Join(read(t, some, i, fmt.Sprint("k", i), 0, 0))
		tab.Apart(i)
	}
	if len(tab.apart) != mostApart {
		t.Errorf("%d keys are remembered", len(tab.apart))
	}
	if got := tab.Join(read(t, some, 1<<20, fmt.Sprint("k", 2*mostApart-1), 0, 0)); got != Alone {
		t.Errorf("a read of a key whose answers can't be shared: %v", got)
	}
}
