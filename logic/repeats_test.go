package logic

import (
	"testing"
	"time"
)

// keyedRequest returns a host with one member, at which a keyed request has been out for 50 ms.
func keyedRequest(t *testing.T, scope Scope) (*fakeHost, *hostRequest) {
	t.Helper()
	settings := testSettings()
	settings.Classes[0].Effect, settings.Classes[0].Scope, settings.Classes[0].DedupWindow = DeduplicatedByKey, scope, 2*time.Second
	settings.SlowStartDuration = ms // a member that has just started gets requests
	host := newHost(t, settings, 1)
	host.setMembers(ListFull, Member{ID: 1, State: Ready, Weight: 1, Cell: 4})
	req := host.request(Request{ID: 1, Key: 5})
	if len(req.attempts) != 1 {
		t.Fatalf("sent %+v", req.attempts)
	}
	host.advance(50 * ms)
	return host, req
}

// Guards against a keyed request that runs twice: its member is started anew, and the new process, at the same
// address and under the same id, is taken for the one that would drop the repeat.
func TestRepeatIsNotSentToAMemberThatHasStartedSince(t *testing.T) {
	for _, scope := range []Scope{ScopeAll, ScopeZone, ScopeCell} {
		host, req := keyedRequest(t, scope)
		host.setMembers(ListFull, Member{ID: 1, State: Ready, Weight: 1, Cell: 4, StartedAt: host.now - 10*ms})
		host.endAttempt(1, 0, StatusReset)
		host.advance(10 * time.Second)
		if len(req.attempts) != 1 || req.finalAnswers != 1 {
			t.Errorf("scope %v: sent %d times, answered %d times; want 1 and 1", scope, len(req.attempts), req.finalAnswers)
		}
		host.checkViolations()
	}
}

// Guards against a repeat that leaves its group: the group is that of the member at the time of the first attempt,
// wherever the member is listed later.
func TestRepeatStaysInTheCellOfItsFirstAttempt(t *testing.T) {
	host, req := keyedRequest(t, ScopeCell)
	host.setMembers(ListFull, Member{ID: 1, State: Ready, Weight: 1, Cell: 7}, Member{ID: 2, State: Ready, Weight: 1, Cell: 7})
	host.endAttempt(1, 0, StatusReset)
	host.advance(10 * time.Second)
	if len(req.attempts) != 1 || req.finalAnswers != 1 {
		t.Errorf("sent %d times, answered %d times; want 1 and 1", len(req.attempts), req.finalAnswers)
	}
	host.checkViolations()
}

// Guards against a rule that forbids too much: a member that has run all the time gets the repeat.
func TestRepeatIsSentToItsOwnMember(t *testing.T) {
	host, req := keyedRequest(t, ScopeCell)
	host.endAttempt(1, 0, StatusReset)
	host.advance(500 * ms)
	if len(req.attempts) != 2 {
		t.Errorf("sent %d times, want 2", len(req.attempts))
	}
	host.checkViolations()
}

// Guards against an order that is repeated because the classes have changed since it was accepted.
func TestRequestKeepsTheClassOfItsAcceptance(t *testing.T) {
	host := newHost(t, testSettings(), 1)
	host.setMembers(ListCached, withOrigin(3)...)
	accepted := host.settings.Classes[1]
	if accepted.Effect != AtMostOnce || host.settings.Classes[0].Effect != Repeatable {
		t.Fatalf("the classes are %+v", host.settings.Classes)
	}
	req := host.request(Request{ID: 1, Key: 5, Class: 0, AcceptedClass: &accepted, Write: true})
	host.endAttempt(1, 0, StatusReset)
	host.advance(10 * time.Second)
	if len(req.attempts) != 1 || req.finalAnswers != 1 {
		t.Errorf("sent %d times, answered %d times; want 1 and 1", len(req.attempts), req.finalAnswers)
	}
}
