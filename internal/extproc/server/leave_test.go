package server

import (
	"bufio"
	"context"
	"net"
	"testing"

	"linenloom/internal/discovery"
	"linenloom/internal/standin"
)

// A caller that disconnects while its order waits for a connection to the origin has had no attempt: the
// order is not sent once the connection is established, and the caller's repeat is a new order.
func TestCallerDisconnectsBeforeOriginConnects(t *testing.T) {
	fleet := newFleet(t, 1)
	door, err := standin.NewDoor()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { door.Close() })
	fleet.Registry.Tell(discovery.Member{ID: "o-1", HostPort: door.Addr().String(), Locality: standin.Zone, Flavor: "origin",
		Phase: discovery.PhaseInService, Size: 1})
	env := newHarness(t, fleet, operatorFile("answer", ""), nil)
	ctx, leave := context.WithCancel(context.Background())
	left := env.start(ctx, orderRequest("o1", "left"))
	env.eventually("it is in hand", func() bool { return env.host.Load().Attempts == 1 })
	leave()
	await(t, left, "the call ends")
	env.eventually("nothing is in hand", func() bool { l := env.host.Load(); return l.Requests == 0 && l.Attempts == 0 })
	asked := make(chan string, 10)
	door.Serve(func(conn net.Conn) {
		standin.AnswerAsOrigin(bufio.NewReader(conn), conn, func(_, id string) string {
			asked <- id
			return "receipt"
		})
	})
	q := orderRequest("o1", "left")
	q.Headers["x-envoy-attempt-count"] = "2"
	env.expect(env.do(q), 200, "receipt")
	await(t, asked, "the repeat comes")
	if n := len(asked); n != 0 {
		t.Errorf("%d orders too many came to the origin", n)
	}
}
