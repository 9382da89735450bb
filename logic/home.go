package logic

// PrimaryCache names the cache that a key's reads go to first, as the tables stand now; 0: there is none. It decides nothing: what
// a read that comes now meets there (limits, ejection, the cold budget) is decided when it comes.
func (b *Balancer) PrimaryCache(key uint64) MemberID {
	if p := b.hot[key]; p != nil && key != 0 {
		return p.nodes[(p.next+1)%len(p.nodes)].m.ID
	}
	if o := b.order(slotOf(key)); len(o) > 0 {
		return o[0].n.m.ID
	}
	return 0
}
