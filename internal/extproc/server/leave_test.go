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
	listener, err := standin.NewFullListener()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	fleet.Registry.Update(discovery.Member{ID: "o-1", HostPort: listener.Addr().String(), Locality: standin.Zone, Flavor: "origin",
		Phase: discovery.PhaseInService, Size: 1})
	env := newHarness(t, fleet, operatorFile("answer", ""), nil)
	ctx, disconnect := context.WithCancel(context.Background())
	result := env.start(ctx, orderRequest("o1", "left"))
	env.eventually("it is in hand", func() bool { return env.host.Load().Attempts == 1 })
	disconnect()
	await(t, result, "the call ends")
	env.eventually("nothing is in hand", func() bool { l := env.host.Load(); return l.Requests == 0 && l.Attempts == 0 })
	requestIDs := make(chan string, 10)
	listener.Serve(func(conn net.Conn) {
		standin.ServeOrigin(bufio.NewReader(conn), conn, func(_, id string) string {
			requestIDs <- id
			return "receipt"
		})
	})
	q := orderRequest("o1", "left")
	q.Headers["x-envoy-attempt-count"] = "2"
	env.expect(env.do(q), 200, "receipt")
	await(t, requestIDs, "the repeat comes")
	if n := len(requestIDs); n != 0 {
		t.Errorf("%d orders too many came to the origin", n)
	}
}
