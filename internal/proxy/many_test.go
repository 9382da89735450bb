package proxy

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"linenloom/internal/discovery"
	"linenloom/internal/manykeys"
	"linenloom/internal/resp"
)

var manyKeysLimits = manykeys.Limits{Keys: 100, Bytes: 200_000, Outstanding: 16, PartSize: 4}

// startManyKeys starts a proxy that accepts OBJ.MGET, in front of an origin and three caches that answer alike.
func startManyKeys(t *testing.T, limits manykeys.Limits, answer func(cacheIndex int, a memberCommand) string) *testProxy {
	t.Helper()
	cfg := testConfig()
	cfg.ManyKeys = &limits
	members := []string{}
	for cacheIndex := range 3 {
		members = append(members, startCache(t, func(a memberCommand) string { return answer(cacheIndex, a) }))
	}
	o := startOrigin(t, func(r *http.Request) string { return httpOK("origin's " + r.URL.Path[1:]) })
	return startProxy(t, cfg, listEntry("s-a", members[0], "large"), listEntry("s-b", members[1], "large"), listEntry("s-c", members[2], "large"),
		listEntry("s-o", o, "origin"))
}

func mget(id, attrs string, keys ...string) string {
	return respCommand(append([]string{"OBJ.MGET", id, attrs}, keys...)...)
}

// readArray reads a reply to OBJ.MGET. It returns the elements, or nil and the line if the reply is not an array.
func (c *testClient) readArray() (all []string, line string) {
	c.t.Helper()
	line = c.answer()
	var n int
	if k, _ := fmt.Sscanf(line, "*%d", &n); k != 1 {
		return nil, line
	}
	for range n {
		all = append(all, c.answer())
	}
	return all, line
}

// readStreamedPlaces reads a reply whose keys arrive in any order. It returns the answer by place.
func (c *testClient) readStreamedPlaces() map[string]string {
	c.t.Helper()
	var n int
	fmt.Sscanf(c.answer(), "*%d", &n)
	all := map[string]string{}
	for range n {
		if line := c.answer(); line != "*2" {
			c.t.Fatalf("%q where a place begins", line)
		}
		place := c.answer()
		all[place] = c.answer()
	}
	return all
}

func TestManyKeysInOneReply(t *testing.T) {
	var maxOutstanding, outstanding [3]atomic.Int32
	p := startManyKeys(t, manyKeysLimits, func(cacheIndex int, a memberCommand) string {
		if n := outstanding[cacheIndex].Add(1); n > maxOutstanding[cacheIndex].Load() {
			maxOutstanding[cacheIndex].Store(n)
		}
		defer outstanding[cacheIndex].Add(-1)
		return hitReply("value of " + a.key)
	})
	c := p.dial()
	var keys, want []string
	for i := range 60 {
		key := fmt.Sprint("k", i%50) // ten keys occur twice
		keys, want = append(keys, key), append(want, "value of "+key)
	}
	c.send(mget("m1", "c=tile-read,d=4000", keys...) + getCommand("after", "g1"))
	if got, line := c.readArray(); !slices.Equal(got, want) {
		t.Fatalf("%s: %v", line, got)
	}
	if got := c.answer(); got != "value of after" {
		t.Errorf("the next command: %q", got)
	}
	for cacheIndex := range 3 {
		if n := maxOutstanding[cacheIndex].Load(); n > int32(manyKeysLimits.PartSize) {
			t.Errorf("cache %d worked on %d keys of one request", cacheIndex, n)
		}
	}
	c.send(mget("m2", "c=tile-read,d=4000,s=1", keys...))
	got := c.readStreamedPlaces()
	for i, w := range want {
		if got[fmt.Sprint(":", i)] != w {
			t.Errorf("place %d: %q", i, got[fmt.Sprint(":", i)])
		}
	}
	p.eventually("nothing is held", func() bool { return p.bufferedBytes == 0 && len(p.requests) == 0 })
}

// An error of the request as a whole is reported once and no key is requested. The connection stays usable.
func TestInvalidManyKeysRequests(t *testing.T) {
	var requests atomic.Int32
	p := startManyKeys(t, manyKeysLimits, func(_ int, a memberCommand) string { requests.Add(1); return hitReply("v") })
	c := p.dial()
	c.send(mget("used", "c=tile-read,d=4000", "a"))
	c.readArray()
	requests.Store(0)
	for name, k := range map[string]struct{ send, want string }{
		"no key":          {mget("f1", "c=tile-read,d=4000"), "-ERR no key"},
		"10,000 keys":     {mget("f2", "c=tile-read,d=4000", make([]string, 10_000)...), "-ERR too many keys: 10000"},
		"an empty key":    {mget("f3", "c=tile-read,d=4000", "a", ""), "-ERR keys must be given"},
		"no class":        {mget("f4", "d=4000", "a"), "-ERR unknown class"},
		"a class of once": {mget("f5", "c=pass-order,d=4000", "a"), "-ERR requests for many keys are for reads"},
		"a used id":       {mget("used", "c=tile-read,d=4000", "a"), "-ERR the id is in use"},
	} {
		c.send(k.send)
		if _, line := c.readArray(); !strings.HasPrefix(line, k.want) {
			t.Errorf("%s: %q, want %q", name, line, k.want)
		}
	}
	if n := requests.Load(); n > 0 {
		t.Errorf("%d keys were asked for", n)
	}
	bare := startProxy(t, testConfig()).dial()
	bare.send(mget("m", "c=tile-read,d=4000", "a"))
	if got := bare.answer(); !strings.HasPrefix(got, "-ERR unknown command") {
		t.Errorf("where it is off: %q", got)
	}
}

// If one cache stalls, keys that others can give are served, and keys that no cache gives in time are marked late.
func TestManyKeysWithAStalledCache(t *testing.T) {
	release := make(chan struct{})
	var once sync.Once
	free := func() { once.Do(func() { close(release) }) }
	t.Cleanup(free)
	p := startManyKeys(t, manyKeysLimits, func(cacheIndex int, a memberCommand) string {
		if cacheIndex == 0 || strings.HasPrefix(a.key, "never") {
			<-release
		}
		return hitReply("value of " + a.key)
	})
	c := p.dial()
	var keys, want []string
	for i := range 20 {
		keys, want = append(keys, fmt.Sprint("k", i)), append(want, fmt.Sprint("value of k", i))
	}
	c.send(mget("m1", "c=tile-read,d=4000", keys...))
	if got, line := c.readArray(); !slices.Equal(got, want) {
		t.Errorf("one cache stalls: %s %v", line, got)
	}
	c.send(mget("m2", "c=tile-read,d=600", append([]string{"never1", "never2"}, keys...)...))
	startedAt := time.Now()
	got, line := c.readArray()
	if took := time.Since(startedAt); took > testTimeout/2 {
		t.Errorf("the reply took %v", took)
	}
	for i, v := range got {
		if i < 2 && v != "-LATE" || i >= 2 && v != want[i-2] && v != "-LATE" {
			t.Errorf("%s: place %d: %q", line, i, v)
		}
	}
	if len(got) != 22 {
		t.Errorf("%d places", len(got))
	}
	free()
	p.eventually("nothing is left", func() bool { return len(p.requests) == 0 && p.bufferedBytes == 0 })
}

// Misses are fetched from the origin. If a reply grows too large, the keys that do not fit are marked.
func TestManyKeysMissesAndSizeLimit(t *testing.T) {
	limits := manyKeysLimits
	limits.Bytes = 3000
	p := startManyKeys(t, limits, func(_ int, a memberCommand) string {
		switch {
		case strings.HasPrefix(a.key, "miss"):
			return "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"
		case strings.HasPrefix(a.key, "big"):
			return hitReply(strings.Repeat("x", 1000))
		}
		return hitReply("value of " + a.key)
	})
	c := p.dial()
	c.send(mget("m1", "c=tile-read,d=4000", "miss1", "k1", "miss2"))
	if got, _ := c.readArray(); !slices.Equal(got, []string{"origin's miss1", "value of k1", "origin's miss2"}) {
		t.Errorf("%q", got)
	}
	c.send(mget("m2", "c=tile-read,d=4000", "big1", "big2", "big3", "big4", "big5"))
	got, _ := c.readArray()
	large := 0
	for _, v := range got {
		if v == "-LARGE" {
			large++
		} else if len(v) != 1000 {
			t.Errorf("%.40q", v)
		}
	}
	if len(got) != 5 || large != 2 {
		t.Errorf("%d places, %d marked as too large", len(got), large)
	}
}

// All keys of a request are at one cache that drains or is cold. Each key is fetched elsewhere or
// marked, none waits for that cache, and a cold cache gets no more than its budget.
func TestManyKeysAtDrainingOrColdCache(t *testing.T) {
	keys := make([]string, 24)
	for i := range keys {
		keys[i] = fmt.Sprint("k", i)
	}
	for name, change := range map[string]func(*discovery.Member){
		"draining": func(m *discovery.Member) { m.Phase = discovery.PhaseTerminating },
		"cold":     func(m *discovery.Member) { m.UpSinceMS = float64(time.Now().UnixMilli()) },
	} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig()
			cfg.ManyKeys = &manyKeysLimits
			cfg.Settings.SlowStartDuration, cfg.Settings.Instances = time.Hour, 1
			var requests atomic.Int32
			only := listEntry("s-a", startCache(t, func(a memberCommand) string { requests.Add(1); return hitReply("value of " + a.key) }), "large")
			origin := listEntry("s-o", startOrigin(t, func(r *http.Request) string { return httpOK("origin's " + r.URL.Path[1:]) }), "origin")
			r := newFakeDiscovery(t, discoveryList(1, true, only, origin))
			p := startProxyAt(t, cfg, r)
			<-r.watchBegan
			c := p.dial()
			c.send(mget("warm", "c=tile-read,d=4000", keys...))
			if got, line := c.readArray(); len(got) != len(keys) {
				t.Fatalf("%d places, %q", len(got), line)
			}
			change(&only)
			r.publish(discoveryList(2, false, only))
			p.eventually("the list is told", func() bool { return p.revision == 2 })
			requests.Store(0)
			c.send(mget("all", "c=tile-read,d=4000", keys...))
			got, line := c.readArray()
			if len(got) != len(keys) {
				t.Fatalf("%d places, %q", len(got), line)
			}
			served := int32(0)
			for i, v := range got {
				if v == "value of "+keys[i] {
					served++
				} else if !strings.HasPrefix(v, "-") && v != "origin's "+keys[i] {
					t.Errorf("%s: %q", keys[i], v)
				}
			}
			if n := requests.Load(); n != served || name == "draining" && n > 0 || name == "cold" && n == int32(len(keys)) {
				t.Errorf("the cache is asked for %d keys, %d served by it", n, served)
			}
			p.eventually("nothing is left", func() bool { return len(p.requests) == 0 && p.bufferedBytes == 0 })
		})
	}
}

// A client leaves, and the proxy stops, while requests for many keys are outstanding.
func TestManyKeysWhenAClientLeavesAndAtStop(t *testing.T) {
	release := make(chan struct{})
	var requests atomic.Int32
	p := startManyKeys(t, manyKeysLimits, func(_ int, a memberCommand) string { requests.Add(1); <-release; return hitReply("value of " + a.key) })
	gone, stays := p.dial(), p.dial()
	keys := make([]string, 4) // with more keys and no answers, the throttle would refuse some
	for i := range keys {
		keys[i] = fmt.Sprint("k", i)
	}
	gone.send(mget("m1", "c=tile-read,d=4000,s=1", keys...))
	p.eventually("it is out", func() bool { return len(p.requests) > 0 })
	gone.conn.Close()
	stays.send(mget("m2", "c=tile-read,d=4000", keys[:3]...))
	p.eventually("the other is out, and what is left of the first is on its way", func() bool {
		n := 0
		for _, r := range p.requests {
			if !r.done {
				n++
			}
		}
		return n == 3
	})
	p.stop()
	close(release)
	if got, line := stays.readArray(); !slices.Equal(got, []string{"value of k0", "value of k1", "value of k2"}) {
		t.Errorf("%s %q", line, got)
	}
}

// Whatever a client sends, a parsed command stays within its limits, and the accounting of held memory is exact.
func FuzzCommand(f *testing.F) {
	for _, s := range []string{getCommand("k", "i"), setCommand("k", "i", "value"), mget("m", "c=tile-read,d=40,s=1", "a", "b", "a"), mget("m", "c=x"),
		respCommand("OBJ.MGET", "m"), "*70\r\n$8\r\nOBJ.MGET\r\n", "*5\r\n$8\r\nOBJ.MGET\r\n$1\r\nm\r\n$-1\r\n", respCommand("AUTH", "a", "b"), "*-1\r\n", "PING\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		limits := manykeys.Limits{Keys: 8, Bytes: 100, Outstanding: 2, PartSize: 2}
		p := &Proxy{cfg: Config{ManyKeys: &limits, MemoryMB: 1}, maxBufferedBytes: 1 << 20}
		c := &client{proxy: p, conn: &net.TCPConn{}, stream: &net.TCPConn{}}
		c.reader = resp.NewReader(bytes.NewReader(text), 256)
		c.reader.SetMaxElements(maxManyElements)
		held := 0
		for range 20 {
			cmd, err := c.readCommand()
			if err != nil {
				break
			}
			total := 0
			for _, k := range cmd.keys {
				total += len(k)
			}
			if len(cmd.keys) > limits.Keys || total > maxKeyTextBytes || cmd.rejectedKeys > 0 && len(cmd.keys) > 0 || len(cmd.Key)+len(cmd.ReqID)+len(cmd.Attrs) > maxTextBytes {
				t.Fatalf("%d keys of %d bytes, %d too many", len(cmd.keys), total, cmd.rejectedKeys)
			}
			held += cap(cmd.Value)
		}
		if p.bufferedBytes != held {
			t.Fatalf("%d bytes count as held, %d are", p.bufferedBytes, held)
		}
	})
}
