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
	Groups    int // that can be joined at once
	// AcrossTenants lets one tenant's reads share another's attempt. Whether each may see the key has been asked before.
	AcrossTenants bool
}

// maxUnshared is how many keys are remembered that are not joined.
const maxUnshared = 256

// Read is a request that may share another's answer.
type Read struct {
	id       ID
	identity readIdentity
	tenant   int
	deadline time.Duration
}

// readIdentity makes answers differ.
type readIdentity struct {
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
	w := readIdentity{key: key, names: names, class: r.Class, tenant: -1}
	if !l.AcrossTenants {
		w.tenant = r.Tenant
	}
	return Read{id: r.ID, identity: w, tenant: r.Tenant, deadline: r.Deadline}, true
}

// Role is what becomes of a read.
type Role uint8

// The roles: it makes its own way and nobody shares it; it makes its own way, and others may share what it gets; it waits for another's.
const (
	Alone Role = iota
	Lead
	Follow
)

// group is one read on its way, and those who wait for what it gets.
type group struct {
	identity  readIdentity
	lead      ID
	followers followerHeap
	closed    bool // nobody joins it any more
}

type follower struct {
	id        ID
	tenant    int
	deadline  time.Duration
	heapIndex int // in the heap
	group     *group
}

// followerHeap is a heap: who has most time is on top.
type followerHeap []*follower

func (f followerHeap) Len() int           { return len(f) }
func (f followerHeap) Less(i, j int) bool { return f[i].deadline > f[j].deadline }
func (f followerHeap) Swap(i, j int) {
	f[i], f[j] = f[j], f[i]
	f[i].heapIndex, f[j].heapIndex = i, j
}

// Push is heap's.
func (f *followerHeap) Push(x any) {
	p := x.(*follower)
	p.heapIndex = len(*f)
	*f = append(*f, p)
}

// Pop is heap's.
func (f *followerHeap) Pop() any {
	old := *f
	p := old[len(old)-1]
	old[len(old)-1] = nil
	*f = old[:len(old)-1]
	return p
}

// Table is the reads that are out, by what they ask.
type Table struct {
	limits            Limits
	joinable          map[readIdentity]*group
	byKey             map[string][]*group // all, also those that are closed
	leads             map[ID]*group
	followers         map[ID]*follower
	followersByTenant map[int]int // followers
	unshared          map[string]struct{}
}

// New makes a Table.
func New(l Limits) *Table {
	return &Table{limits: l, joinable: map[readIdentity]*group{}, byKey: map[string][]*group{}, leads: map[ID]*group{}, followers: map[ID]*follower{},
		followersByTenant: map[int]int{}, unshared: map[string]struct{}{}}
}

// Limits are the table's.
func (t *Table) Limits() Limits { return t.limits }

// Join tells what becomes of a read. Past its tenant's followers, or all, it is an ordinary request: it gets nothing of another's
// attempt, and stands in nobody's way.
func (t *Table) Join(r Read) Role {
	if _, apart := t.unshared[r.identity.key]; apart {
		return Alone
	}
	f := t.joinable[r.identity]
	if f == nil {
		if len(t.leads) >= t.limits.Groups {
			return Alone
		}
		f = &group{identity: r.identity, lead: r.id}
		t.joinable[r.identity], t.leads[r.id] = f, f
		t.byKey[r.identity.key] = append(t.byKey[r.identity.key], f)
		return Lead
	}
	if len(t.followers) >= t.limits.Followers || t.followersByTenant[r.tenant] >= t.limits.PerTenant {
		return Alone
	}
	p := &follower{id: r.id, tenant: r.tenant, deadline: r.deadline, group: f}
	heap.Push(&f.followers, p)
	t.followers[r.id] = p
	t.followersByTenant[r.tenant]++
	return Follow
}

// uncountFollower takes a follower out of the counts.
func (t *Table) uncountFollower(p *follower) {
	delete(t.followers, p.id)
	if t.followersByTenant[p.tenant]--; t.followersByTenant[p.tenant] == 0 {
		delete(t.followersByTenant, p.tenant)
	}
}

// closeGroup keeps further reads from joining a flight.
func (t *Table) closeGroup(f *group) {
	f.closed = true
	if t.joinable[f.identity] == f {
		delete(t.joinable, f.identity)
	}
}

// removeGroup takes a flight out of the table.
func (t *Table) removeGroup(f *group) {
	t.closeGroup(f)
	delete(t.leads, f.lead)
	all := t.byKey[f.identity.key]
	if all = slices.DeleteFunc(all, func(g *group) bool { return g == f }); len(all) == 0 {
		delete(t.byKey, f.identity.key)
	} else {
		t.byKey[f.identity.key] = all
	}
}

// Complete tells who shares the answer that a lead has got, those first whose time ends first. The flight is over.
func (t *Table) Complete(lead ID) []ID {
	f := t.leads[lead]
	if f == nil {
		return nil
	}
	t.removeGroup(f)
	slices.SortFunc(f.followers, func(a, b *follower) int {
		if a.deadline != b.deadline {
			return int(max(-1, min(1, a.deadline-b.deadline)))
		}
		return int(max(-1, min(1, int64(a.id)-int64(b.id))))
	})
	ids := make([]ID, len(f.followers))
	for i, p := range f.followers {
		ids[i] = p.id
		t.uncountFollower(p)
	}
	return ids
}

// PassLead passes the lead on from one that has got no answer and will get none: to who has most time, one at a time, so that what
// condemned the one neither condemns the others nor is met by all of them at once. false: nobody is left.
func (t *Table) PassLead(lead ID) (next ID, ok bool) {
	f := t.leads[lead]
	if f == nil {
		return 0, false
	}
	if len(f.followers) == 0 {
		t.removeGroup(f)
		return 0, false
	}
	p := heap.Pop(&f.followers).(*follower)
	t.uncountFollower(p)
	delete(t.leads, f.lead)
	f.lead = p.id
	t.leads[p.id] = f
	return p.id, true
}

// RemoveFollower takes out a follower that waits no longer. It names the lead where that one has been left alone: nobody else waits for what it
// gets. The lead does not leave while others do: ask Waited, then Lost.
func (t *Table) RemoveFollower(id ID) (lead ID, alone bool) {
	p := t.followers[id]
	if p == nil {
		return 0, false
	}
	heap.Remove(&p.group.followers, p.heapIndex)
	t.uncountFollower(p)
	return p.group.lead, len(p.group.followers) == 0
}

// FollowerCount tells how many wait for what a lead gets.
func (t *Table) FollowerCount(lead ID) int {
	if f := t.leads[lead]; f != nil {
		return len(f.followers)
	}
	return 0
}

// LatestDeadline is the latest time at which one of those who wait for what a lead gets still waits; 0: nobody does.
func (t *Table) LatestDeadline(lead ID) time.Duration {
	if f := t.leads[lead]; f != nil && len(f.followers) > 0 {
		return f.followers[0].deadline
	}
	return 0
}

// Fence closes what is out for a key to reads that come from now on: a write of it has been answered, or may have run, and what was
// asked for before may not show it.
func (t *Table) Fence(key string) {
	for _, f := range t.byKey[key] {
		t.closeGroup(f)
	}
}

// MarkUnshareable ends a flight whose answer can't be shared, and tells who followed it: each makes its own way now, and so do reads of the key
// from now on, for as long as it is remembered.
func (t *Table) MarkUnshareable(lead ID) []ID {
	f := t.leads[lead]
	if f == nil {
		return nil
	}
	for key := range t.unshared {
		if len(t.unshared) < maxUnshared {
			break
		}
		delete(t.unshared, key)
	}
	t.unshared[f.identity.key] = struct{}{}
	return t.Complete(lead)
}

// Len counts the flights and those who follow.
func (t *Table) Len() (flights, followers int) { return len(t.leads), len(t.followers) }
