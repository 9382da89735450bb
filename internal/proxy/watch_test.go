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

// Once another discovery has told its list, that one alone counts.
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
	p.SetDiscoveryAddr(fresh.addr) // again: nothing changes
	<-fresh.watchBegan
	p.eventually("the new list holds", func() bool { return p.revision == 7 && len(p.watches) == 1 })
	c.send(getCommand("k", "id2"))
	if got := c.answer(); got != "b" {
		t.Errorf("after the move: %q", got)
	}
	<-old.watchEnded
	p.receiveList(&watch{}, discoveryList(9, true, a)) // what the old one had on its way
	c.send(getCommand("k", "id3"))
	if got := c.answer(); got != "b" {
		t.Errorf("after a late list of the old discovery: %q", got)
	}

	p.SetDiscoveryAddr(old.addr) // and back, to one that has fallen behind: its list holds after a while
	<-old.watchBegan
	p.eventually("the first list holds again", func() bool { return p.revision == 5 })
	c.send(getCommand("k", "id4"))
	if got := c.answer(); got != "a" {
		t.Errorf("after the move back: %q", got)
	}
}

// An address that does not answer leaves the watch that stands in force.
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

// One of many proxies before a discovery that all of them ask puts its first call off, and serves meanwhile from the list of its
// configuration: all of them may be starting.
func TestWatchServesFromInitialList(t *testing.T) {
	r := newFakeDiscovery(t, discoveryList(5, true, listEntry("s-a", startCache(t, func(memberCommand) string { return hitReply("a") }), "large")))
	cfg := testConfig()
	cfg.Settings.Subscribe, cfg.Settings.Instances, cfg.Settings.MaxPollInterval = true, 80, time.Minute
	cfg.Settings.SelfIndex = 60 // late in the spread
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

// Discovery is down when a proxy starts, refuses its calls for a while, and then tells a list: the proxy serves from the list of its
// configuration meanwhile, and from then on keeps to what it was told.
func TestWatchDiscoveryDownAtStart(t *testing.T) {
	a := listEntry("s-a", startCache(t, func(memberCommand) string { return hitReply("a") }), "large")
	b := listEntry("s-b", startCache(t, func(memberCommand) string { return hitReply("b") }), "large")
	r := newFakeDiscovery(t, discoveryList(6, true, b))
	var calls atomic.Int32
	var up atomic.Bool // not a number of calls: how soon they come is the pace's affair
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
	for calls.Load() < 4 { // it goes on asking
		time.Sleep(time.Millisecond)
	}
	up.Store(true)
	p.eventually("the list is taken", func() bool { return p.revision == 6 })
	c.send(getCommand("k", "id2"))
	if got := c.answer(); got != "b" {
		t.Errorf("after a list that names another cache: %q", got)
	}
}

// A discovery that takes the watch up and has nothing new to tell is not waited for.
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
	w.awaitFirstList(t.Context(), time.Hour) // ends by itself
	c := p.dial()
	c.send(getCommand("k", "id1"))
	if got := c.answer(); got != "a" {
		t.Errorf("answered %q", got)
	}
}
