package logic

// PrimaryCache returns the cache that reads of a key are sent to first according to the current tables; 0
// if there is none. It decides nothing: what applies to a read (limits, ejection, the cold budget) is
// decided when it arrives.
func (b *Balancer) PrimaryCache(key uint64) MemberID {
	if placed := b.hotTable[key]; placed != nil && key != 0 {
		return placed.members[(placed.next+1)%len(placed.members)].entry.ID
	}
	if candidates := b.candidates(slotOf(key)); len(candidates) > 0 {
		return candidates[0].member.entry.ID
	}
	return 0
}
