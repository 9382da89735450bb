package logic

// PrimaryCache names the cache that a key's reads go to first, as the tables stand now; 0: there is none. It decides nothing: what
// a read that comes now meets there (limits, ejection, the cold budget) is decided when it comes.
func (b *Balancer) PrimaryCache(key uint64) MemberID {
	if placed := b.hotTable[key]; placed != nil && key != 0 {
		return placed.members[(placed.next+1)%len(placed.members)].entry.ID
	}
	if candidates := b.candidates(slotOf(key)); len(candidates) > 0 {
		return candidates[0].member.entry.ID
	}
	return 0
}
