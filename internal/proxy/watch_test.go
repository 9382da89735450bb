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
func TestFollowMovesTheWatch(t *testing.T) {
	node := func(name string) string { return cache(t, func(asked) string { return hit(name) }) }
	a := entry("s-a", node("a"), "large")
	b := entry("s-b", node("b"), "large")
	old := newRegistry(t, discoveryList(5, true, a))
	fresh := newRegistry(t, discoveryList(7, true, b))
	p := startAt(t, testConfig(), old)
	<-old.watched
	c := p.dial()
	c.send(get("k", "id1"))
	if got := c.answer(); got != "a" {
		t.Fatalf("before the move: %q", got)
	}

	p.SetDiscoveryAddr(fresh.addr)
	p.SetDiscoveryAddr(fresh.addr) // again: nothing changes
	<-fresh.watched
	p.eventually("the new list holds", func() bool { return p.revision == 7 && len(p.watches) == 1 })
	c.send(get("k", "id2"))
	if got := c.answer(); got != "b" {
		t.Errorf("after the move: %q", got)
	}
	<-old.ended
	p.receiveList(&watch{}, discoveryList(9, true, a)) // what the old one had on its way
	c.send(get("k", "id3"))
	if got := c.answer(); got != "b" {
		t.Errorf("after a late list of the old discovery: %q", got)
	}

	p.SetDiscoveryAddr(old.addr) // and back, to one that has fallen behind: its list holds after a while
	<-old.watched
	p.eventually("the first list holds again", func() bool { return p.revision == 5 })
	c.send(get("k", "id4"))
	if got := c.answer(); got != "a" {
		t.Errorf("after the move back: %q", got)
	}
}

// An address that does not answer leaves the watch that stands in force.
func TestFollowToADeadAddressKeepsTheWatch(t *testing.T) {
	a := entry("s-a", cache(t, func(asked) string { return hit("a") }), "large")
	b := entry("s-b", cache(t, func(asked) string { return hit("b") }), "large")
	old := newRegistry(t, discoveryList(5, true, a))
	p := startAt(t, testConfig(), old)
	<-old.watched
	p.SetDiscoveryAddr("127.0.0.1:1")
	gone := a
	gone.Phase = discovery.PhaseTerminated
	old.tell(discoveryList(6, false, gone, b))
	p.eventually("the change is taken", func() bool { return p.revision == 6 })
	c := p.dial()
	c.send(get("k", "id1"))
	if got := c.answer(); got != "b" {
		t.Errorf("answered %q", got)
	}
}

// One of many proxies before a discovery that all of them ask puts its first call off, and serves meanwhile from the list of its
// configuration: all of them may be starting.
func TestServesFromTheKnownListBeforeItAsks(t *testing.T) {
	r := newRegistry(t, discoveryList(5, true, entry("s-a", cache(t, func(asked) string { return hit("a") }), "large")))
	cfg := testConfig()
	cfg.Settings.Subscribe, cfg.Settings.Instances, cfg.Settings.MaxPollInterval = true, 80, time.Minute
	cfg.Settings.SelfIndex = 60 // late in the spread
	p := startAt(t, cfg, r)
	c := p.dial()
	c.send(get("k", "id1"))
	if got := c.answer(); got != "a" {
		t.Fatalf("answered %q", got)
	}
	p.Do(func() {
		if w := p.watches[0]; w.initialDelay < 2*time.Second || len(r.watched) > 0 {
			t.Errorf("the first call is put off by %v, and %d were made", w.initialDelay, len(r.watched))
		}
	})
}

// Discovery is down when a proxy starts, refuses its calls for a while, and then tells a list: the proxy serves from the list of its
// configuration meanwhile, and from then on keeps to what it was told.
func TestDiscoveryDownAtTheStart(t *testing.T) {
	a := entry("s-a", cache(t, func(asked) string { return hit("a") }), "large")
	b := entry("s-b", cache(t, func(asked) string { return hit("b") }), "large")
	r := newRegistry(t, discoveryList(6, true, b))
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
	p := startAt(t, testConfig(), &registry{addr: down.Listener.Addr().String(), list: known})
	c := p.dial()
	c.send(get("k", "id1"))
	if got := c.answer(); got != "a" {
		t.Fatalf("while discovery is down: %q", got)
	}
	for calls.Load() < 4 { // it goes on asking
		time.Sleep(time.Millisecond)
	}
	up.Store(true)
	p.eventually("the list is taken", func() bool { return p.revision == 6 })
	c.send(get("k", "id2"))
	if got := c.answer(); got != "b" {
		t.Errorf("after a list that names another cache: %q", got)
	}
}

// A discovery that takes the watch up and has nothing new to tell is not waited for.
func TestReadyWithoutNews(t *testing.T) {
	r := newRegistry(t, discoveryList(5, true, entry("s-a", cache(t, func(asked) string { return hit("a") }), "large")))
	r.silent = true
	p := startAt(t, testConfig(), r)
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
	c.send(get("k", "id1"))
	if got := c.answer(); got != "a" {
		t.Errorf("answered %q", got)
	}
}
