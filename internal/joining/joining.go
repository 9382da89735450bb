// Package joining implements request coalescing. It decides which reads share one attempt: which read
// leads, which ones follow, which follower takes the lead if the leader gets no answer, and which reads
// go alone.
//
// It uses no I/O, clock or goroutines and is not safe for concurrent use. It never sends, answers or
// retries anything: its host does, and the balancer handles each leading read like any other request.
// Only plain reads can be joined, as a Read can be made of nothing else.
package joining

import (
	"container/heap"
	"slices"
	"time"

	"linenloom/logic"
)

// ID is the number that the host gives to a request.
type ID = logic.RequestID

// Limits bounds a Table.
type Limits struct {
	Followers int // in total
	PerTenant int
	Groups    int // groups that exist at once
	// AcrossTenants lets one tenant's reads share the attempt of another. The host has checked each
	// tenant's access to the key before.
	AcrossTenants bool
}

// maxUnshared is how many keys are remembered whose reads are not joined.
const maxUnshared = 256

// Read is a request that may share the answer of another one.
type Read struct {
	id       ID
	identity readIdentity
	tenant   int
	deadline time.Duration
}

// readIdentity holds everything that the answer to a read depends on. Reads with equal identities may
// share an answer.
type readIdentity struct {
	key, attributes string
	class           int
	tenant          int // -1: any tenant
}

// NewRead describes a read. attributes are those of its request, except for those that differ between
// equal requests. It returns false for writes, for requests without a key and for classes whose requests
// may not be repeated at will.
func (l Limits) NewRead(r *logic.Request, effect logic.Effect, key, attributes string) (Read, bool) {
	if r.Write || effect != logic.Repeatable || key == "" {
		return Read{}, false
	}
	identity := readIdentity{key: key, attributes: attributes, class: r.Class, tenant: -1}
	if !l.AcrossTenants {
		identity.tenant = r.Tenant
	}
	return Read{id: r.ID, identity: identity, tenant: r.Tenant, deadline: r.Deadline}, true
}

// Role is what Join decides about a read.
type Role uint8

// Roles of a read.
const (
	Alone  Role = iota // sends its own attempt, which no other read shares
	Lead               // sends its own attempt, whose answer others may share
	Follow             // waits for the answer of the leading read
)

// group is a read in progress and the followers that wait for its answer.
type group struct {
	identity  readIdentity
	lead      ID
	followers followerHeap
	closed    bool // no further read may join
}

// follower is a read that waits for the answer of its group.
type follower struct {
	id        ID
	tenant    int
	deadline  time.Duration
	heapIndex int // position in the heap of its group
	group     *group
}

// followerHeap implements heap.Interface. The follower with the latest deadline is on top.
type followerHeap []*follower

func (f followerHeap) Len() int           { return len(f) }
func (f followerHeap) Less(i, j int) bool { return f[i].deadline > f[j].deadline }
func (f followerHeap) Swap(i, j int) {
	f[i], f[j] = f[j], f[i]
	f[i].heapIndex, f[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (f *followerHeap) Push(x any) {
	p := x.(*follower)
	p.heapIndex = len(*f)
	*f = append(*f, p)
}

// Pop implements heap.Interface.
func (f *followerHeap) Pop() any {
	old := *f
	p := old[len(old)-1]
	old[len(old)-1] = nil
	*f = old[:len(old)-1]
	return p
}

// Table holds the reads in progress by identity.
type Table struct {
	limits            Limits
	joinable          map[readIdentity]*group
	byKey             map[string][]*group // all groups, closed ones included
	leads             map[ID]*group
	followers         map[ID]*follower
	followersByTenant map[int]int // number of followers
	unshared          map[string]struct{}
}

// New returns an empty Table.
func New(l Limits) *Table {
	return &Table{limits: l, joinable: map[readIdentity]*group{}, byKey: map[string][]*group{}, leads: map[ID]*group{}, followers: map[ID]*follower{},
		followersByTenant: map[int]int{}, unshared: map[string]struct{}{}}
}

// Limits returns the limits of the table.
func (t *Table) Limits() Limits { return t.limits }

// Join decides about a read. A read beyond the follower limit of its tenant or of the table is an
// ordinary request: it gets nothing of another attempt and delays no other read.
func (t *Table) Join(r Read) Role {
	if _, unshared := t.unshared[r.identity.key]; unshared {
		return Alone
	}
	g := t.joinable[r.identity]
	if g == nil {
		if len(t.leads) >= t.limits.Groups {
			return Alone
		}
		g = &group{identity: r.identity, lead: r.id}
		t.joinable[r.identity], t.leads[r.id] = g, g
		t.byKey[r.identity.key] = append(t.byKey[r.identity.key], g)
		return Lead
	}
	if len(t.followers) >= t.limits.Followers || t.followersByTenant[r.tenant] >= t.limits.PerTenant {
		return Alone
	}
	p := &follower{id: r.id, tenant: r.tenant, deadline: r.deadline, group: g}
	heap.Push(&g.followers, p)
	t.followers[r.id] = p
	t.followersByTenant[r.tenant]++
	return Follow
}

// uncountFollower removes a follower from the counts.
func (t *Table) uncountFollower(p *follower) {
	delete(t.followers, p.id)
	if t.followersByTenant[p.tenant]--; t.followersByTenant[p.tenant] == 0 {
		delete(t.followersByTenant, p.tenant)
	}
}

// closeGroup keeps further reads from joining a group.
func (t *Table) closeGroup(g *group) {
	g.closed = true
	if t.joinable[g.identity] == g {
		delete(t.joinable, g.identity)
	}
}

// removeGroup removes a group from the table.
func (t *Table) removeGroup(g *group) {
	t.closeGroup(g)
	delete(t.leads, g.lead)
	all := t.byKey[g.identity.key]
	if all = slices.DeleteFunc(all, func(other *group) bool { return other == g }); len(all) == 0 {
		delete(t.byKey, g.identity.key)
	} else {
		t.byKey[g.identity.key] = all
	}
}

// Complete removes the group of a leading read that has got its answer, and returns the followers that
// share the answer, earliest deadline first.
func (t *Table) Complete(lead ID) []ID {
	g := t.leads[lead]
	if g == nil {
		return nil
	}
	t.removeGroup(g)
	slices.SortFunc(g.followers, func(a, b *follower) int {
		if a.deadline != b.deadline {
			return int(max(-1, min(1, a.deadline-b.deadline)))
		}
		return int(max(-1, min(1, int64(a.id)-int64(b.id))))
	})
	ids := make([]ID, len(g.followers))
	for i, p := range g.followers {
		ids[i] = p.id
		t.uncountFollower(p)
	}
	return ids
}

// PassLead passes the lead from a read that has got no answer and will get none to the follower with the
// latest deadline. Only one follower at a time takes the lead, so that a failure of one request does not
// fail the others and does not hit all of them at once. It returns false if there are no followers.
func (t *Table) PassLead(lead ID) (next ID, ok bool) {
	g := t.leads[lead]
	if g == nil {
		return 0, false
	}
	if len(g.followers) == 0 {
		t.removeGroup(g)
		return 0, false
	}
	p := heap.Pop(&g.followers).(*follower)
	t.uncountFollower(p)
	delete(t.leads, g.lead)
	g.lead = p.id
	t.leads[p.id] = g
	return p.id, true
}

// RemoveFollower removes a follower that no longer waits. It returns the leading read, and whether no
// other read waits for its answer. A leading read must not leave while others wait: call FollowerCount,
// then PassLead.
func (t *Table) RemoveFollower(id ID) (lead ID, alone bool) {
	p := t.followers[id]
	if p == nil {
		return 0, false
	}
	heap.Remove(&p.group.followers, p.heapIndex)
	t.uncountFollower(p)
	return p.group.lead, len(p.group.followers) == 0
}

// FollowerCount returns how many reads wait for the answer of a leading read.
func (t *Table) FollowerCount(lead ID) int {
	if g := t.leads[lead]; g != nil {
		return len(g.followers)
	}
	return 0
}

// LatestDeadline returns the latest deadline of the reads that wait for the answer of a leading read; 0
// if there are none.
func (t *Table) LatestDeadline(lead ID) time.Duration {
	if g := t.leads[lead]; g != nil && len(g.followers) > 0 {
		return g.followers[0].deadline
	}
	return 0
}

// Fence closes the groups of a key to reads that arrive from now on. A write of the key has been
// answered, or may have run, and answers to earlier attempts may not reflect it.
func (t *Table) Fence(key string) {
	for _, g := range t.byKey[key] {
		t.closeGroup(g)
	}
}

// MarkUnshareable removes a group whose answer can't be shared, and returns its followers. Each of them
// becomes a request of its own, and so do later reads of the key for as long as the key is remembered.
func (t *Table) MarkUnshareable(lead ID) []ID {
	g := t.leads[lead]
	if g == nil {
		return nil
	}
	for key := range t.unshared {
		if len(t.unshared) < maxUnshared {
			break
		}
		delete(t.unshared, key)
	}
	t.unshared[g.identity.key] = struct{}{}
	return t.Complete(lead)
}

// Len returns the number of groups and of followers.
func (t *Table) Len() (flights, followers int) { return len(t.leads), len(t.followers) }
