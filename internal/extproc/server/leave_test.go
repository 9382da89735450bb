package server

import (
	"bufio"
	"context"
	"net"
	"testing"

	"linenloom/internal/discovery"
	"linenloom/internal/standin"
)

// A caller that leaves while its order waits for a connection to the origin has had none: it is not sent once the connection is up, and
// the caller's repeat is a new order.
func TestCallerLeavesBeforeTheConnectionIsUp(t *testing.T) {
	fleet := newFleet(t, 1)
	door, err := standin.NewFullListener()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { door.Close() })
	fleet.Registry.Update(discovery.Member{ID: "o-1", HostPort: door.Addr().String(), Locality: standin.Zone, Flavor: "origin",
		Phase: discovery.PhaseInService, Size: 1})
	r := newRig(t, fleet, file("answer", ""), nil)
	ctx, leave := context.WithCancel(context.Background())
	left := r.start(ctx, order("o1", "left"))
	r.eventually("it is in hand", func() bool { return r.p.Load().Attempts == 1 })
	leave()
	await(t, left, "the call ends")
	r.eventually("nothing is in hand", func() bool { l := r.p.Load(); return l.Requests == 0 && l.Attempts == 0 })
	asked := make(chan string, 10)
	door.Serve(func(conn net.Conn) {
		standin.ServeOrigin(bufio.NewReader(conn), conn, func(_, id string) string {
			asked <- id
			return "receipt"
		})
	})
	q := order("o1", "left")
	q.Headers["x-envoy-attempt-count"] = "2"
	r.want(r.do(q), 200, "receipt")
	await(t, asked, "the repeat comes")
	if n := len(asked); n != 0 {
		t.Errorf("%d orders too many came to the origin", n)
	}
}
