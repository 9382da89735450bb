package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"linenloom/internal/discovery"
)

// churnCache is a simulated cache that can be killed, so that its connections are closed and new ones refused, or can
// stop answering.
type churnCache struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
	silent   bool
}

func newChurnCache(t *testing.T) *churnCache {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &churnCache{listener: l}
	t.Cleanup(c.kill)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			go c.serve(conn)
		}
	}()
	return c
}

func (c *churnCache) serve(conn net.Conn) {
	in := newMemberInput(conn)
	for {
		words, err := readCommand(in)
		if err != nil {
			return
		}
		c.mu.Lock()
		silent := c.silent
		c.mu.Unlock()
		if !silent {
			io.WriteString(conn, hitReply("value of "+words[1]))
		}
	}
}

func (c *churnCache) stopAnswering() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

func (c *churnCache) kill() {
	c.listener.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
	c.conns = nil
}

// 120 caches are replaced, each at a new address, while reads go on: some drain first, some are killed, and some stop
// answering with reads in flight. Members, connections, timers, goroutines and memory must return to their numbers
// before the replacements.
func TestChurnOfCachesLeaksNothing(t *testing.T) {
	o := startOrigin(t, func(r *http.Request) string { return httpOK("value of " + r.URL.Path[1:]) })
	live := []*churnCache{newChurnCache(t), newChurnCache(t), newChurnCache(t)}
	id := func(n int) string { return fmt.Sprintf("s-%d", n) }
	list := []discovery.Member{listEntry("o-1", o, "origin")}
	for i, c := range live {
		list = append(list, listEntry(id(i), c.listener.Addr().String(), "large"))
	}
	r := newFakeDiscovery(t, discoveryList(1, true, list...))
	cfg := testConfig()
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].SoftDeadline, cfg.Settings.Classes[i].Deadline = 200*time.Millisecond, 400*time.Millisecond
	}
	cfg.Settings.ConnectTimeout = 100 * time.Millisecond
	p := startProxyAt(t, cfg, r)
	<-r.watchBegan
	c := p.dial()
	reads := 0
	read := func(n int) {
		t.Helper()
		for range n {
			reads++
			key := fmt.Sprintf("a%d", reads)
			c.send(getCommand(key, "r"+key))
			if got := c.answer(); got != "value of "+key && got[0] != '-' {
				t.Fatalf("%s was answered %q", key, got)
			}
		}
	}
	type state struct{ members, connections, timers, goroutines int }
	now := func() state {
		p.beginEvent()
		defer p.endEvent()
		return state{len(p.members), p.upstreams.OpenConns(), p.timers.count, runtime.NumGoroutine()}
	}
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	read(200)
	p.eventually("what the reads have set has run out", func() bool { return len(p.requests) == 0 && p.timers.count < 20 })
	before, heapBefore := now(), heap()

	revision := int64(1)
	publish := func(m ...discovery.Member) {
		revision++
		at := revision
		r.publish(discoveryList(at, false, m...))
		p.eventually("the change is known", func() bool { return p.revision == at })
	}
	for i := range 120 {
		old, next := live[0], newChurnCache(t)
		live = append(live[1:], next)
		gone := listEntry(id(i), old.listener.Addr().String(), "large")
		switch i % 3 {
		case 0:
			gone.Phase = discovery.PhaseTerminating
			publish(gone)
			read(2)
		case 1:
			old.kill()
			read(2)
		case 2:
			old.stopAnswering()
			read(2)
		}
		gone.Phase = discovery.PhaseTerminated
		publish(gone, listEntry(id(i+3), next.listener.Addr().String(), "large"))
		read(3)
		old.kill()
	}
	read(100)
	var after state
	p.eventually("all is as it was", func() bool { // as in now, which would take the lock again
		after = state{len(p.members), p.upstreams.OpenConns(), p.timers.count, runtime.NumGoroutine()}
		return len(p.requests) == 0 && after.members == before.members && after.connections <= before.connections+len(live) &&
			after.timers < 20 && after.goroutines <= before.goroutines+3*len(live)
	})
	t.Logf("before %+v, after %+v, heap %d and %d KB", before, after, heapBefore>>10, heap()>>10)
	if h := heap(); h > heapBefore+2<<20 {
		t.Errorf("the heap has grown from %d to %d KB", heapBefore>>10, h>>10)
	}
}
