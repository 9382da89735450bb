package logic

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// discardHost is a host that records only the member of the last send.
type discardHost struct{ lastTarget MemberID }

func (q *discardHost) Send(_ RequestID, to MemberID, _, _ time.Duration) { q.lastTarget = to }
func (*discardHost) Refuse(RequestID, time.Duration, Reason)             {}
func (*discardHost) NotifyWaiting(RequestID, Reason)                     {}
func (*discardHost) Fail(RequestID, Reason)                              {}
func (*discardHost) Cancel(RequestID, int)                               {}
func (*discardHost) Probe(MemberID)                                      {}
func (*discardHost) ConnectionWait(RequestID, MemberID) time.Duration    { return 0 }
func (*discardHost) CloseIdle(MemberID)                                  {}
func (*discardHost) Watch(bool)                                          {}
func (*discardHost) FetchList()                                          {}
func (*discardHost) SendToPeer(int, []byte)                              {}
func (*discardHost) Log(string)                                          {}
func (*discardHost) SetTimer(time.Duration, uint64)                      {}

// newWarmBalancer returns a Balancer whose fleet has served 20000 requests with Zipf-distributed keys.
func newWarmBalancer(b *testing.B, members int) (*Balancer, *discardHost, func()) {
	b.Helper()
	host := &discardHost{}
	balancer, err := New(testSettings(), 1, host)
	if err != nil {
		b.Fatal(err)
	}
	now := time.Hour
	balancer.Start(now)
	balancer.SetMembers(now, ListCached, withOrigin(members))
	keys := rand.NewZipf(rand.New(rand.NewPCG(1, 2)), 1.1, 1, 20000)
	id := RequestID(0)
	serve := func() {
		id++
		now += 2 * ms
		host.lastTarget = 0
		balancer.Request(now, Request{ID: id, Key: keys.Uint64() + 1, Deadline: now + time.Second})
		if host.lastTarget != 0 {
			balancer.Outcome(now, Outcome{Request: id, Member: host.lastTarget, Status: StatusOK, Elapsed: 20 * ms, Final: true})
		}
	}
	for range 20000 { // computes the candidates of every slot that will be used
		serve()
	}
	b.ReportAllocs()
	b.ResetTimer()
	return balancer, host, serve
}

// BenchmarkRequest measures the request path, whose cost must not grow with the fleet.
func BenchmarkRequest(b *testing.B) {
	for _, members := range []int{20, 200, 2000} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			_, _, serve := newWarmBalancer(b, members)
			for b.Loop() {
				serve()
			}
		})
	}
}

// BenchmarkPlaceHotKeys measures the placement of the hot set.
func BenchmarkPlaceHotKeys(b *testing.B) {
	for _, members := range []int{20, 200, 2000} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			bal, _, _ := newWarmBalancer(b, members)
			for b.Loop() {
				bal.placeHotKeys()
			}
		})
	}
}
