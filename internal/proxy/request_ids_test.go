package proxy

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"linenloom/internal/requestids"
	"linenloom/internal/upstream"
)

// Guards against an order that runs twice: its client leaves, and sends it again under the same id to the other
// process of an upgrade.
func TestOrderThatComesAgainAtTheOtherProcessDoesNotRun(t *testing.T) {
	arrived, release := newRequestLog(), make(chan struct{})
	origin := startOrigin(t, func(r *http.Request) string {
		arrived.add(r.Header.Get("X-Request-ID"))
		<-release
		return httpOK("done")
	})
	defer close(release)
	memory := make([]uint64, requestids.Slots)
	startOne := func() *testProxy {
		cfg := testConfig()
		p := &testProxy{}
		cfg.RequestIDs = clockedIDs{p, requestids.New(memory)}
		*p = *startProxy(t, cfg, listEntry("s-0", origin, "origin"))
		return p
	}
	predecessor, successor := startOne(), startOne()
	client := predecessor.dial()
	client.send(setCommand("k", "order", "v"))
	arrived.awaitRequests(t, 1)
	client.conn.Close()
	again := successor.dial()
	again.send(setCommand("k", "order", "v"))
	if got := again.answer(); !strings.HasPrefix(got, "-ERR the id is in use") {
		t.Errorf("the order that came again was answered %q", got)
	}
	if ids := arrived.all(); len(ids) != 1 {
		t.Errorf("the order ran %d times", len(ids))
	}
}

// clockedIDs are shared ids, by one proxy's clock.
type clockedIDs struct {
	proxy *testProxy
	table *requestids.Table
}

func (c clockedIDs) Claim(id []byte) requestids.Result { return c.table.Claim(id, c.proxy.now) }

// Guards against an order that runs twice because its id is forgotten for those of many reads.
func TestIDOfAnOrderIsNotForgottenForThoseOfReads(t *testing.T) {
	p := startProxy(t, testConfig())
	p.eventually("it serves", func() bool { return p.serving })
	order := func() *Request {
		return &Request{Responder: &callerWithConnections{}, Command: Command{Message: upstream.Message{
			Write: true, Key: []byte("k"), ReqID: []byte("order"), Attrs: []byte("c=pass-order,d=8000"), Value: []byte("v")}}}
	}
	p.Do(func() {
		if err := p.Submit(order()); err != nil {
			t.Fatal(err)
		}
		for i := range 3 * maxIDsPerGeneration {
			p.recentIDs.add(fmt.Appendf(nil, "read-%d", i), p.now)
		}
		if err := p.Submit(order()); !errors.Is(err, ErrIDInUse) {
			t.Errorf("the id again: %v", err)
		}
	})
}
