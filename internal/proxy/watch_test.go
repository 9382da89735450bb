package proxy

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"linenloom/internal/discovery"
)

func discoveryList(revision int64, complete bool, members ...discovery.Member) discovery.List {
	return discovery.List{Revision: revision, Complete: complete, Members: members}
}

// Once a discovery at a new address has sent its list, only its lists are applied.
func TestWatchMovesToNewAddress(t *testing.T) {
	node := func(name string) string { return startCache(t, func(memberCommand) string { return hitReply(name) }) }
	a := listEntry("s-a", node("a"), "large")
	b := listEntry("s-b", node("b"), "large")
	old := newFakeDiscovery(t, discoveryList(5, true, a))
	fresh := newFakeDiscovery(t, discoveryList(7, true, b))
	p := startProxyAt(t, testConfig(), old)
	<-old.watchBegan
	c := p.dial()
	c.send(getCommand("k", "id1"))
	if got := c.answer(); got != "a" {
		t.Fatalf("before the move: %q", got)
	}

	p.SetDiscoveryAddr(fresh.addr)
	p.SetDiscoveryAddr(fresh.addr) // the same address again has no effect
	<-fresh.watchBegan
	p.eventually("the new list holds", func() bool { return p.revision == 7 && len(p.watches) == 1 })
	c.send(getCommand("k", "id2"))
	if got := c.answer(); got != "b" {
		t.Errorf("after the move: %q", got)
	}
	<-old.watchEnded
	p.receiveList(&watch{}, discoveryList(9, true, a)) // a late list of the old watch
	c.send(getCommand("k", "id3"))
	if got := c.answer(); got != "b" {
		t.Errorf("after a late list of the old discovery: %q", got)
	}

	p.SetDiscoveryAddr(old.addr) // back to a discovery with an older revision: its list is applied after a while
	<-old.watchBegan
	p.eventually("the first list holds again", func() bool { return p.revision == 5 })
	c.send(getCommand("k", "id4"))
	if got := c.answer(); got != "a" {
		t.Errorf("after the move back: %q", got)
	}
}

// If the new address does not answer, the current watch stays active.
func TestWatchStaysWhenNewAddressIsDown(t *testing.T) {
	a := listEntry("s-a", startCache(t, func(memberCommand) string { return hitReply("a") }), "large")
	b := listEntry("s-b", startCache(t, func(memberCommand) string { return hitReply("b") }), "large")
	old := newFakeDiscovery(t, discoveryList(5, true, a))
	p := startProxyAt(t, testConfig(), old)
	<-old.watchBegan
	p.SetDiscoveryAddr("127.0.0.1:1")
	gone := a
	gone.Phase = discovery.PhaseTerminated
	old.publish(discoveryList(6, false, gone, b))
	p.eventually("the change is taken", func() bool { return p.revision == 6 })
	c := p.dial()
	c.send(getCommand("k", "id1"))
	if got := c.answer(); got != "b" {
		t.Errorf("answered %q", got)
	}
}

// A proxy that shares a discovery with many others delays its first call, as all of them may be starting, and serves
// from the list of its configuration meanwhile.
func TestWatchServesFromInitialList(t *testing.T) {
	r := newFakeDiscovery(t, discoveryList(5, true, listEntry("s-a", startCache(t, func(memberCommand) string { return hitReply("a") }), "large")))
	cfg := testConfig()
	cfg.Settings.Subscribe, cfg.Settings.Instances, cfg.Settings.MaxPollInterval = true, 80, time.Minute
	cfg.Settings.SelfIndex = 60 // a late position in the spread of first calls
	p := startProxyAt(t, cfg, r)
	c := p.dial()
	c.send(getCommand("k", "id1"))
	if got := c.answer(); got != "a" {
		t.Fatalf("answered %q", got)
	}
	p.Do(func() {
		if w := p.watches[0]; w.initialDelay < 2*time.Second || len(r.watchBegan) > 0 {
			t.Errorf("the first call is put off by %v, and %d were made", w.initialDelay, len(r.watchBegan))
		}
	})
}

// Discovery is down when a proxy starts, rejects its calls for a while, and then sends a list: until then the proxy
// serves from the list of its configuration, and afterwards from the list that it received.
func TestWatchDiscoveryDownAtStart(t *testing.T) {
	a := listEntry("s-a", startCache(t, func(memberCommand) string { return hitReply("a") }), "large")
	b := listEntry("s-b", startCache(t, func(memberCommand) string { return hitReply("b") }), "large")
	r := newFakeDiscovery(t, discoveryList(6, true, b))
	var calls atomic.Int32
	var up atomic.Bool // not a number of calls, as the backoff decides their rate
	down := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if calls.Add(1); !up.Load() {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		http.Redirect(w, q, "http://"+r.addr+q.URL.RequestURI(), http.StatusTemporaryRedirect)
	}))
	t.Cleanup(down.Close)
	known := discoveryList(5, true, a)
	p := startProxyAt(t, testConfig(), &fakeDiscovery{addr: down.Listener.Addr().String(), list: known})
	c := p.dial()
	c.send(getCommand("k", "id1"))
	if got := c.answer(); got != "a" {
		t.Fatalf("while discovery is down: %q", got)
	}
	for calls.Load() < 4 { // it keeps retrying
		time.Sleep(time.Millisecond)
	}
	up.Store(true)
	p.eventually("the list is taken", func() bool { return p.revision == 6 })
	c.send(getCommand("k", "id2"))
	if got := c.answer(); got != "b" {
		t.Errorf("after a list that names another cache: %q", got)
	}
}

// The proxy does not wait for a discovery that accepts the watch and has no newer list.
func TestWatchReadyWithoutNewList(t *testing.T) {
	r := newFakeDiscovery(t, discoveryList(5, true, listEntry("s-a", startCache(t, func(memberCommand) string { return hitReply("a") }), "large")))
	r.quietAtStart = true
	p := startProxyAt(t, testConfig(), r)
	var w *watch
	p.eventually("it has been taken up", func() bool {
		if w = nil; len(p.watches) == 0 {
			return false
		}
		w = p.watches[0]
		select {
		case <-w.opened:
			return true
		default:
			return false
		}
	})
	w.awaitFirstList(t.Context(), time.Hour) // returns without the timeout
	c := p.dial()
	c.send(getCommand("k", "id1"))
	if got := c.answer(); got != "a" {
		t.Errorf("answered %q", got)
	}
}
