package proxy

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"linenloom/internal/discovery"
	"linenloom/logic"
)

// The new discovery of a Follow may lag behind the old one, which continues to send updates until the
// first list of the new one has arrived. What it has sent by then is not reverted, and no draining
// member becomes ready again. Once the new discovery has caught up, its list applies.
func TestFollowADiscoveryThatLagsBehind(t *testing.T) {
	node := startCache(t, func(a memberCommand) string { return hitReply("value") })
	entries := []discovery.Member{listEntry("s-1", node, "large"), listEntry("s-2", node, "large")}
	drains := entries[0]
	drains.Phase = discovery.PhaseTerminating

	old := newFakeDiscovery(t, discoveryList(41, true, entries...))
	asked, answer := make(chan struct{}, 100), make(chan discovery.List)
	lagging := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Query().Get("watch") != "" {
			w.(http.Flusher).Flush()
			<-q.Context().Done()
			return
		}
		asked <- struct{}{}
		select {
		case l := <-answer:
			json.NewEncoder(w).Encode(l)
		case <-q.Context().Done():
		}
	}))
	t.Cleanup(func() { lagging.CloseClientConnections(); lagging.Close() })

	p := startProxyAt(t, testConfig(), old)
	<-old.watchBegan
	p.SetDiscoveryAddr(lagging.Listener.Addr().String())
	wait := func(what string) {
		t.Helper()
		select {
		case <-asked:
		case <-time.After(testTimeout):
			t.Fatalf("never came about: %s", what)
		}
	}
	wait("the new discovery is asked")
	old.publish(discoveryList(42, false, drains))
	p.eventually("the drain is known", func() bool { return p.revision == 42 })
	state := func() (s logic.State) {
		p.Do(func() { s = p.members[MemberID("s-1")].state })
		return s
	}
	// Answers the call that was pending when the drain arrived, or the next one if that has timed out since.
	answer <- discoveryList(41, true, entries...)
	wait("it is asked again, as its list is older")
	if s := state(); s != logic.Draining {
		t.Fatalf("the member that drains is %v", s)
	}
	answer <- discoveryList(43, true, drains, entries[1])
	p.eventually("the new list holds", func() bool { return p.revision == 43 && len(p.watches) == 1 })
	if s := state(); s != logic.Draining {
		t.Errorf("the member that drains is %v", s)
	}
}
