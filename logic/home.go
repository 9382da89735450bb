package logic

// PrimaryCache names the cache that a key's reads go to first, as the tables stand now; 0: there is none. It decides nothing: what
// a read that comes now meets there (limits, ejection, the cold budget) is decided when it comes.
func (b *Balancer) PrimaryCache(key uint64) MemberID {
	if p := b.hotTable[key]; p != nil && key != 0 {
		return p.members[(p.next+1)%len(p.members)].entry.ID
	}
	if o := b.candidates(slotOf(key)); len(o) > 0 {
		return o[0].member.entry.ID
	}
	return 0
}
