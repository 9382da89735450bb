// Package joining decides which reads share one attempt: who leads, who follows, to whom the lead passes when the one who has it gets
// no answer, and who had better go alone.
//
// It is free of I/O, clock and goroutines, and not safe for concurrent use. It never sends, answers or tries anything again: its host
// does, and the balancer decides on each lead as on any request. A request that is no plain read can't get in: Read can be made of
// no other.
package joining

import (
	"container/heap"
	"slices"
	"time"

	"linenloom/logic"
)

// ID is a request's number with the host.
type ID = logic.RequestID

// Limits bound a Table.
type Limits struct {
	Followers int // in all
	PerTenant int
	Flights   int // that can be joined at once
	// AcrossTenants lets one tenant's reads share another's attempt. Whether each may see the key has been asked before.
	AcrossTenants bool
}

// mostApart is how many keys are remembered that are not joined.
const mostApart = 256

// Read is a request that may share another's answer.
type Read struct {
	id     ID
	what   what
	tenant int
	until  time.Duration
}

// what makes answers differ.
type what struct {
	key, names string
	class      int
	tenant     int // -1: whoever asks
}

// NewRead describes a read. Names are what its list says beside what differs between equal requests. Writes, and classes whose
// requests may not be repeated as one likes, are none.
func (l Limits) NewRead(r *logic.Request, effect logic.Effect, key, names string) (Read, bool) {
	if r.Write || effect != logic.Repeatable || key == "" {
		return Read{}, false
	}
	w := what{key: key, names: names, class: r.Class, tenant: -1}
	if !l.AcrossTenants {
		w.tenant = r.Tenant
	}
	return Read{id: r.ID, what: w, tenant: r.Tenant, until: r.Deadline}, true
}

// Role is what becomes of a read.
type Role uint8

// The roles: it makes its own way and nobody shares it; it makes its own way, and others may share what it gets; it waits for another's.
const (
	Alone Role = iota
	Lead
	Follow
)

// flight is one read on its way, and those who wait for what it gets.
type flight struct {
	what      what
	lead      ID
	followers followers
	closed    bool // nobody joins it any more
}

type party struct {
	id     ID
	tenant int
	until  time.Duration
	at     int // in the heap
	of     *flight
}

// followers is a heap: who has most time is on top.
type followers []*party

func (f followers) Len() int           { return len(f) }
func (f followers) Less(i, j int) bool { return f[i].until > f[j].until }
func (f followers) Swap(i, j int) {
	f[i], f[j] = f[j], f[i]
	f[i].at, f[j].at = i, j
}

// Push is heap's.
func (f *followers) Push(x any) {
	p := x.(*party)
	p.at = len(*f)
	*f = append(*f, p)
}

// Pop is heap's.
func (f *followers) Pop() any {
	old := *f
	p := old[len(old)-1]
	old[len(old)-1] = nil
	*f = old[:len(old)-1]
	return p
}

// Table is the reads that are out, by what they ask.
type Table struct {
	limits  Limits
	open    map[what]*flight
	byKey   map[string][]*flight // all, also those that are closed
	leads   map[ID]*flight
	follows map[ID]*party
	tenants map[int]int // followers
	apart   map[string]struct{}
}

// New makes a Table.
func New(l Limits) *Table {
	return &Table{limits: l, open: map[what]*flight{}, byKey: map[string][]*flight{}, leads: map[ID]*flight{}, follows: map[ID]*party{},
		tenants: map[int]int{}, apart: map[string]struct{}{}}
}

// Limits are the table's.
func (t *Table) Limits() Limits { return t.limits }

// Join tells what becomes of a read. Past its tenant's followers, or all, it is an ordinary request: it gets nothing of another's
// attempt, and stands in nobody's way.
func (t *Table) Join(r Read) Role {
	if _, apart := t.apart[r.what.key]; apart {
		return Alone
	}
	f := t.open[r.what]
	if f == nil {
		if len(t.leads) >= t.limits.Flights {
			return Alone
		}
		f = &flight{what: r.what, lead: r.id}
		t.open[r.what], t.leads[r.id] = f, f
		t.byKey[r.what.key] = append(t.byKey[r.what.key], f)
		return Lead
	}
	if len(t.follows) >= t.limits.Followers || t.tenants[r.tenant] >= t.limits.PerTenant {
		return Alone
	}
	p := &party{id: r.id, tenant: r.tenant, until: r.until, of: f}
	heap.Push(&f.followers, p)
	t.follows[r.id] = p
	t.tenants[r.tenant]++
	return Follow
}

// forget takes a follower out of the counts.
func (t *Table) forget(p *party) {
	delete(t.follows, p.id)
	if t.tenants[p.tenant]--; t.tenants[p.tenant] == 0 {
		delete(t.tenants, p.tenant)
	}
}

// close keeps further reads from joining a flight.
func (t *Table) close(f *flight) {
	f.closed = true
	if t.open[f.what] == f {
		delete(t.open, f.what)
	}
}

// end takes a flight out of the table.
func (t *Table) end(f *flight) {
	t.close(f)
	delete(t.leads, f.lead)
	all := t.byKey[f.what.key]
	if all = slices.DeleteFunc(all, func(g *flight) bool { return g == f }); len(all) == 0 {
		delete(t.byKey, f.what.key)
	} else {
		t.byKey[f.what.key] = all
	}
}

// Landed tells who shares the answer that a lead has got, those first whose time ends first. The flight is over.
func (t *Table) Landed(lead ID) []ID {
	f := t.leads[lead]
	if f == nil {
		return nil
	}
	t.end(f)
	slices.SortFunc(f.followers, func(a, b *party) int {
		if a.until != b.until {
			return int(max(-1, min(1, a.until-b.until)))
		}
		return int(max(-1, min(1, int64(a.id)-int64(b.id))))
	})
	ids := make([]ID, len(f.followers))
	for i, p := range f.followers {
		ids[i] = p.id
		t.forget(p)
	}
	return ids
}

// Lost passes the lead on from one that has got no answer and will get none: to who has most time, one at a time, so that what
// condemned the one neither condemns the others nor is met by all of them at once. false: nobody is left.
func (t *Table) Lost(lead ID) (next ID, ok bool) {
	f := t.leads[lead]
	if f == nil {
		return 0, false
	}
	if len(f.followers) == 0 {
		t.end(f)
		return 0, false
	}
	p := heap.Pop(&f.followers).(*party)
	t.forget(p)
	delete(t.leads, f.lead)
	f.lead = p.id
	t.leads[p.id] = f
	return p.id, true
}

// Left takes out a follower that waits no longer. It names the lead where that one has been left alone: nobody else waits for what it
// gets. The lead does not leave while others do: ask Waited, then Lost.
func (t *Table) Left(id ID) (lead ID, alone bool) {
	p := t.follows[id]
	if p == nil {
		return 0, false
	}
	heap.Remove(&p.of.followers, p.at)
	t.forget(p)
	return p.of.lead, len(p.of.followers) == 0
}

// Waited tells how many wait for what a lead gets.
func (t *Table) Waited(lead ID) int {
	if f := t.leads[lead]; f != nil {
		return len(f.followers)
	}
	return 0
}

// Until is the latest time at which one of those who wait for what a lead gets still waits; 0: nobody does.
func (t *Table) Until(lead ID) time.Duration {
	if f := t.leads[lead]; f != nil && len(f.followers) > 0 {
		return f.followers[0].until
	}
	return 0
}

// Fence closes what is out for a key to reads that come from now on: a write of it has been answered, or may have run, and what was
// asked for before may not show it.
func (t *Table) Fence(key string) {
	for _, f := range t.byKey[key] {
		t.close(f)
	}
}

// Apart ends a flight whose answer can't be shared, and tells who followed it: each makes its own way now, and so do reads of the key
// from now on, for as long as it is remembered.
func (t *Table) Apart(lead ID) []ID {
	f := t.leads[lead]
	if f == nil {
		return nil
	}
	for key := range t.apart {
		if len(t.apart) < mostApart {
			break
		}
		delete(t.apart, key)
	}
	t.apart[f.what.key] = struct{}{}
	return t.Landed(lead)
}

// Len counts the flights and those who follow.
func (t *Table) Len() (flights, followers int) { return len(t.leads), len(t.follows) }
