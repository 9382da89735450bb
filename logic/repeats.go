package logic

import "time"

// dedupWindowEnd returns the time from which repeats of a keyed request that may have run are no longer
// certain to be dropped.
func (b *Balancer) dedupWindowEnd(req *pendingRequest) time.Duration {
	return req.firstRunAt + req.class.DedupWindow - 2*b.settings.MaxEventDelay
}

// repeatBefore returns the time before which the next attempt of a request has to begin, because it may be
// the repeat of an earlier one; 0: at any time.
func (b *Balancer) repeatBefore(req *pendingRequest) time.Duration {
	if req.mayHaveRun == 0 || req.class.Effect != DeduplicatedByKey {
		return 0
	}
	return b.dedupWindowEnd(req)
}

// mayRepeatAt reports whether a request may be sent to a member although an earlier attempt may have run.
func (b *Balancer) mayRepeatAt(req *pendingRequest, member *memberState) bool {
	if req.mayHaveRun == 0 || req.class.Effect == Repeatable {
		return true
	}
	if req.class.Effect == AtMostOnce || b.now >= b.dedupWindowEnd(req) {
		return false
	}
	if member.entry.StartedAt > req.firstRunAt { // a process that has started since remembers nothing of it
		return false
	}
	return req.class.Scope == ScopeAll || req.class.Scope == ScopeZone && member.entry.Zone == req.firstRunMember.Zone ||
		req.class.Scope == ScopeCell && member.entry.Cell == req.firstRunMember.Cell
}
