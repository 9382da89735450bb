package logic_test

import (
	"fmt"
	"time"

	"linenloom/logic"
)

// printingHost is a host that only prints the actions.
type printingHost struct{}

func (printingHost) Send(id logic.RequestID, to logic.MemberID, _, _ time.Duration) {
	fmt.Printf("send request %d to member %d\n", id, to)
}
func (printingHost) NotifyWaiting(logic.RequestID, logic.Reason) {}
func (printingHost) Refuse(id logic.RequestID, _ time.Duration, _ logic.Reason) {
	fmt.Printf("refuse request %d\n", id)
}
func (printingHost) Fail(id logic.RequestID, _ logic.Reason)                      { fmt.Printf("fail request %d\n", id) }
func (printingHost) Cancel(logic.RequestID, int)                                  {}
func (printingHost) Probe(logic.MemberID)                                         {}
func (printingHost) ConnectionWait(logic.RequestID, logic.MemberID) time.Duration { return 0 }
func (printingHost) CloseIdle(logic.MemberID)                                     {}
func (printingHost) SetTimer(time.Duration, uint64)                               {}
func (printingHost) Watch(bool)                                                   {}
func (printingHost) FetchList()                                                   {}
func (printingHost) SendToPeer(int, []byte)                                       {}
func (printingHost) Log(string)                                                   {}

// A hit, a miss fetched from the origin, and a refusal.
func Example() {
	settings := logic.Settings{
		Classes:     []logic.Class{{SoftDeadline: time.Second, Deadline: 3 * time.Second, Value: 1}},
		MaxAttempts: 4, Mode: logic.CacheAside, OriginKind: 1,
	}
	b, err := logic.New(settings, 1, printingHost{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Duration(0)
	b.Start(now)
	b.SetMembers(now, logic.ListFull, []logic.Member{{ID: 10, Weight: 1}, {ID: 99, Kind: 1, Weight: 1}})

	b.Request(now, logic.Request{ID: 1, Key: 7, Deadline: now + 3*time.Second})
	b.Outcome(now, logic.Outcome{Request: 1, Member: 10, Status: logic.StatusOK, Final: true})

	b.Request(now, logic.Request{ID: 2, Key: 8, Deadline: now + 3*time.Second})
	b.Outcome(now, logic.Outcome{Request: 2, Member: 10, Status: logic.StatusMiss})
	b.Outcome(now, logic.Outcome{Request: 2, Attempt: 1, Member: 99, Status: logic.StatusOK, Final: true})

	b.SetMembers(now, logic.ListFull, nil) // all members are removed
	b.Request(now, logic.Request{ID: 3, Key: 7, Deadline: now + 3*time.Second})
	// Output:
	// send request 1 to member 10
	// send request 2 to member 10
	// send request 2 to member 99
	// refuse request 3
}
