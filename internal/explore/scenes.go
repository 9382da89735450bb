package explore

import (
	"time"

	"linenloom/logic"
)

const ms = time.Millisecond

func testSettings() logic.Settings {
	return logic.Settings{
		Classes: []logic.Class{
			{Name: "read", SoftDeadline: 500 * ms, Deadline: 2 * time.Second, Value: 1},
			{Name: "order", SoftDeadline: time.Second, Deadline: 4 * time.Second, Value: 3, Effect: logic.AtMostOnce},
			{Name: "note", SoftDeadline: 600 * ms, Deadline: 2 * time.Second, Value: 2, Effect: logic.DeduplicatedByKey, DedupWindow: 200 * ms},
			{Name: "zoned", SoftDeadline: 600 * ms, Deadline: 2 * time.Second, Value: 2, Effect: logic.DeduplicatedByKey,
				Scope: logic.ScopeZone, DedupWindow: 900 * ms},
		},
		Instances: 1, Mode: logic.CacheAside, OriginKind: 9, MaxAttempts: 2, MaxEventDelay: 5 * ms, CanCancel: true, Zones: 1,
		SlowStartCapacity: 0.2, SlowStartDuration: 10 * time.Second, OverloadMultiple: 3, OverloadDuration: 1500 * ms, Weights: logic.WeightsNominal,
	}
}

var origin = logic.Member{ID: 1000, Kind: 9, Weight: 1}

func members() []logic.Member {
	return []logic.Member{{ID: 1, Weight: 1}, {ID: 2, Zone: 1, Weight: 1}, origin}
}

// allOutcomes lists the statuses that an attempt can end with, one of each group that the rules treat
// alike.
var allOutcomes = []logic.Status{logic.StatusOK, logic.StatusMiss, logic.StatusFull, logic.StatusError, logic.StatusReset,
	logic.StatusTimeout, logic.StatusNoConn}

func modified(m logic.Member, change func(*logic.Member)) logic.Member {
	change(&m)
	return m
}

// Scenarios returns the scenarios by name: two members, an origin and three requests each, with different
// faults.
func Scenarios() map[string]Scenario {
	drains := func(m logic.Member) logic.Member {
		return modified(m, func(m *logic.Member) { m.State = logic.Draining })
	}
	gone := func(m logic.Member) logic.Member { return modified(m, func(m *logic.Member) { m.State = logic.Gone }) }
	read := func(id logic.RequestID, key uint64) logic.Request {
		return logic.Request{ID: id, Key: key, Deadline: 2 * time.Second}
	}
	write := func(id logic.RequestID, class int) logic.Request {
		return logic.Request{ID: id, Key: uint64(id) + 100, Class: class, Write: true, Deadline: 2 * time.Second}
	}
	// A cold cache replaces the only other cache, so that all later reads go to it.
	cold := modified(members()[1], func(m *logic.Member) { m.StartedAt = time.Hour + 400*ms })
	return map[string]Scenario{
		"reads of one key": {Settings: testSettings(), Members: members(), Outcomes: allOutcomes, ClientsMayLeave: true,
			Requests: []logic.Request{read(1, 7), read(2, 7), read(3, 7)}},
		"orders and notes": {Settings: testSettings(), Members: members(), Outcomes: allOutcomes,
			Requests: []logic.Request{write(1, 1), write(2, 2), write(3, 3)}, Changes: []logic.Member{gone(origin)}},
		"the list changes": {Settings: testSettings(), Members: members(), Outcomes: allOutcomes[:5],
			Requests: []logic.Request{read(1, 7), read(2, 7), write(3, 1)},
			Changes:  []logic.Member{drains(members()[0]), gone(members()[1]), drains(origin)}},
		"a cold member": {Settings: testSettings(), Members: []logic.Member{members()[0], origin}, WarmupReads: 100, MaxColdRequests: 2,
			Outcomes: allOutcomes, Requests: []logic.Request{read(1, 7), read(2, 8), read(3, 9)},
			Changes: []logic.Member{cold, gone(members()[0])}},
		"reads by key and zone": {Settings: testSettings(), Members: members(), Outcomes: allOutcomes,
			Requests: []logic.Request{{ID: 1, Key: 7, Class: 3, Deadline: time.Second}, {ID: 2, Key: 7, Class: 2, Deadline: time.Second},
				{ID: 3, Key: 8, Class: 3, Deadline: time.Second}}, Changes: []logic.Member{gone(members()[0])}},
	}
}
