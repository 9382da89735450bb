package logic

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// quiet is a host that keeps nothing but the last send.
type quiet struct{ to MemberID }

func (q *quiet) Send(_ RequestID, to MemberID, _ time.Duration) { q.to = to }
func (*quiet) Refuse(RequestID, time.Duration, Reason)          {}
func (*quiet) NotifyWaiting(RequestID, Reason)                  {}
func (*quiet) Fail(RequestID, Reason)                           {}
func (*quiet) Cancel(RequestID, int)                            {}
func (*quiet) Probe(MemberID)                                   {}
func (*quiet) ConnectionWait(RequestID, MemberID) time.Duration { return 0 }
func (*quiet) CloseIdle(MemberID)                               {}
func (*quiet) Watch(bool)                                       {}
func (*quiet) FetchList()                                       {}
func (*quiet) SendToPeer(int, []byte)                           {}
func (*quiet) Log(string)                                       {}
func (*quiet) SetTimer(time.Duration, uint64)                   {}

// warm makes a balancer over a fleet that has served some thousand requests of a Zipf popularity.
func warm(b *testing.B, members int) (*Balancer, *quiet, func()) {
	b.Helper()
	q := &quiet{}
	bal, err := New(testSettings(), 1, q)
	if err != nil {
		b.Fatal(err)
	}
	now := time.Hour
	bal.Start(now)
	bal.SetMembers(now, ListCached, withOrigin(members))
	keys := rand.NewZipf(rand.New(rand.NewPCG(1, 2)), 1.1, 1, 20000)
	id := RequestID(0)
	serve := func() {
		id++
		now += 2 * ms
		q.to = 0
		bal.Request(now, Request{ID: id, Key: keys.Uint64() + 1, Deadline: now + time.Second})
		if q.to != 0 {
			bal.Outcome(now, Outcome{Request: id, Member: q.to, Status: StatusOK, Elapsed: 20 * ms, Final: true})
		}
	}
	for range 20000 { // every slot that will be asked for has been worked out
		serve()
	}
	b.ReportAllocs()
	b.ResetTimer()
	return bal, q, serve
}

// The request path must not grow with the fleet.
func BenchmarkRequest(b *testing.B) {
	for _, members := range []int{20, 200, 2000} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			_, _, serve := warm(b, members)
			for b.Loop() {
				serve()
			}
		})
	}
}

// A rebuild places the hot set anew.
func BenchmarkRebuild(b *testing.B) {
	for _, members := range []int{20, 200, 2000} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			bal, _, _ := warm(b, members)
			for b.Loop() {
				bal.place()
			}
		})
	}
}
