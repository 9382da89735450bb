package extproc

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"linenloom/internal/operator"
	"linenloom/logic"
)

func testMapping(t testing.TB) *Mapping {
	t.Helper()
	m, err := NewMapping([]operator.MapEntry{
		{Methods: []string{"GET", "HEAD"}, Path: "/tiles/{z}/{x}/{y}", Key: "{z}-{x}-{y}", Class: "tile-read"},
		{Methods: []string{"GET"}, Path: "/tiles/{key}", Key: "{key}", Class: "tile-read"},
		{Methods: []string{"PUT"}, Path: "/orders/{key}", Key: "order-{key}", Class: "pass-order", Write: true},
		{Methods: []string{"GET"}, Path: "/static/{rest...}", Key: "{rest}", Class: "tile-read"},
	})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func TestMatch(t *testing.T) {
	m := testMapping(t)
	for _, c := range []struct {
		method, path, key string // key "": no match
		write             bool
	}{
		{"GET", "/tiles/7/12/3", "7-12-3", false},
		{"GET", "/tiles/k", "k", false},
		{"GET", "/tiles/k?v=1/2", "k", false},
		{"GET", "/tiles/k#x", "k", false},
		{"GET", "/tiles/a%2Fb", "a/b", false},
		{"GET", "/tiles/a%zz", "", false},
		{"GET", "/tiles/", "", false},
		{"GET", "/tiles/7/12", "", false},
		{"GET", "/tiles/7/12/3/4", "", false},
		{"POST", "/tiles/k", "", false},
		{"PUT", "/orders/9", "order-9", true},
		{"GET", "/static/a/b/c", "a/b/c", false},
		{"GET", "/static/", "", false},
		{"GET", "tiles/k", "", false},
		{"GET", "", "", false},
		{"CONNECT", "*", "", false},
	} {
		got, ok := m.Match(c.method, c.path)
		if ok != (c.key != "") || got.Key != c.key || got.Write != c.write {
			t.Errorf("%s %s: %+v %v, want key %q", c.method, c.path, got, ok, c.key)
		}
	}
}

func FuzzMatch(f *testing.F) {
	for _, s := range []string{"/tiles/k", "/tiles/1/2/3?x", "//", "/static/%2e%2e/x", "/tiles/%", "*"} {
		f.Add("GET", s)
	}
	m := testMapping(f)
	f.Fuzz(func(t *testing.T, method, path string) {
		if target, ok := m.Match(method, path); ok && (target.Key == "" || target.Class == "" || !strings.HasPrefix(path, "/")) {
			t.Errorf("%q %q: %+v", method, path, target)
		}
	})
}

func TestTimeLeft(t *testing.T) {
	const h = "x-envoy-expected-rq-timeout-ms"
	for _, c := range []struct {
		name, value      string
		want             time.Duration
		expired, invalid bool
	}{
		{h, "250", 250 * time.Millisecond, false, false},
		{h, "0.5", 500 * time.Microsecond, false, false},
		{h, "0", maxTimeLeft, false, false}, // Envoy sends 0 for a route without a timeout
		{"x-time-left", "0", 0, true, false},
		{h, "-3", 0, true, false},
		{h, "", 0, false, true},
		{h, "ten", 0, false, true},
		{h, "NaN", 0, false, true},
		{h, "Inf", 0, false, true},
		{h, "1e300", maxTimeLeft, false, false},
		{"grpc-timeout", "250m", 250 * time.Millisecond, false, false},
		{"grpc-timeout", "2S", 2 * time.Second, false, false},
		{"grpc-timeout", "99999999H", maxTimeLeft, false, false},
		{"grpc-timeout", "0n", 0, true, false},
		{"grpc-timeout", "-1S", 0, true, false},
		{"grpc-timeout", "123456789n", 0, false, true},
		{"grpc-timeout", "5", 0, false, true},
		{"grpc-timeout", "S", 0, false, true},
		{"grpc-timeout", "5s", 0, false, true},
		{"grpc-timeout", "--1S", 0, false, true},
	} {
		got, err := TimeLeft(c.name, c.value)
		if spent := errors.Is(err, ErrExpired); got != c.want || spent != c.expired || (err != nil && !spent) != c.invalid {
			t.Errorf("%s: %s: %v, %v", c.name, c.value, got, err)
		}
	}
}

func FuzzTimeLeft(f *testing.F) {
	for _, s := range []string{"1", "-1", "5S", "-5S", "0H", "1e9", "0x1p4", "99999999n"} {
		f.Add("grpc-timeout", s)
		f.Add("x", s)
	}
	f.Fuzz(func(t *testing.T, name, value string) {
		got, err := TimeLeft(name, value)
		if err == nil && (got < 0 || got > maxTimeLeft) || err != nil && (got != 0 || len(err.Error()) > 400+len(name)) {
			t.Errorf("%q %q: %v, %v", name, value, got, err)
		}
	})
}

// Any sequence that MessageOrder accepts is one that an HTTP exchange can have.
func FuzzOrder(f *testing.F) {
	f.Add([]byte{1, 2, 2 + 16, 4, 5, 6})
	f.Add([]byte{4, 1})
	f.Fuzz(func(t *testing.T, messages []byte) {
		var order MessageOrder
		var seen [7]int
		ended := map[bool]bool{}
		for _, b := range messages {
			m, end := Message(b%6+1), b&16 > 0
			if order.Next(m, end) != nil {
				return // the stream ends here
			}
			response := m >= ResponseHeaders
			if seen[RequestHeaders] == 0 && m != RequestHeaders {
				t.Fatalf("%v before request headers", m)
			}
			if ended[response] {
				t.Fatalf("%v after its side's end", m)
			}
			if seen[m]++; seen[m] > 1 && m != RequestBody && m != ResponseBody {
				t.Fatalf("%v twice", m)
			}
			for later := m + 1; later <= ResponseTrailers && later >= ResponseHeaders == response; later++ {
				if seen[later] > 0 {
					t.Fatalf("%v after %v", m, later)
				}
			}
			ended[response] = end || m == RequestTrailers || m == ResponseTrailers
		}
	})
}

func TestMessageOrderAcceptsCallerSequences(t *testing.T) {
	type step struct {
		m   Message
		end bool
	}
	for name, steps := range map[string][]step{
		"headers only":           {{RequestHeaders, true}, {ResponseHeaders, true}},
		"bodies":                 {{RequestHeaders, false}, {RequestBody, false}, {RequestBody, true}, {ResponseHeaders, false}, {ResponseBody, true}},
		"trailers":               {{RequestHeaders, false}, {RequestBody, false}, {RequestTrailers, true}, {ResponseHeaders, false}, {ResponseTrailers, true}},
		"an early response":      {{RequestHeaders, false}, {RequestBody, false}, {ResponseHeaders, false}, {RequestBody, true}, {ResponseBody, true}},
		"phases that are spared": {{RequestHeaders, false}, {ResponseHeaders, false}},
	} {
		var o MessageOrder
		for _, s := range steps {
			if err := o.Next(s.m, s.end); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
	}
}

func TestResponseOutcome(t *testing.T) {
	for _, c := range []struct {
		r    Response
		want logic.Status
	}{
		{Response{Status: 200}, logic.StatusOK},
		{Response{Status: 204}, logic.StatusOK},
		{Response{Status: 304}, logic.StatusOK},
		{Response{Status: 404}, logic.StatusMiss},
		{Response{Status: 404, Origin: true}, logic.StatusRejected},
		{Response{Status: 400}, logic.StatusRejected},
		{Response{Status: 503}, logic.StatusError}, // it may have run
		{Response{Status: 503, NotProcessed: true}, logic.StatusFull},
		{Response{Status: 504, NotProcessed: true}, logic.StatusFull},
		{Response{Status: 500, NotProcessed: true}, logic.StatusError}, // only counts with 503 and 504
		{Response{Status: 500}, logic.StatusError},
		{Response{Status: 503, Overloaded: true}, logic.StatusNoConn},
		{Response{Status: 503, Details: "via_upstream"}, logic.StatusError},
		{Response{Status: 503, Details: "upstream_reset_before_response_started{remote_connection_failure,x}"}, logic.StatusConnectFailed},
		{Response{Status: 503, Details: "upstream_reset_before_response_started{connection_termination}"}, logic.StatusReset},
		{Response{Status: 503, Details: "no_healthy_upstream"}, logic.StatusNoConn},
		{Response{Status: 504, Details: "response_timeout"}, logic.StatusTimeout},
		{Response{Status: 504, Details: "upstream_per_try_timeout"}, logic.StatusTimeout},
	} {
		c.r.MissStatus = 404
		if got := c.r.Outcome(); got != c.want {
			t.Errorf("%+v: %v, want %v", c.r, got, c.want)
		}
	}
}

// Compares the table with a model that remembers everything, under random calls: a request that must not
// run twice is accepted again only if none of its earlier attempts may have run, and the table stays within
// its limit.
func TestCallTableAgainstModel(t *testing.T) {
	const maxEntries, retention = 8, 50 * time.Millisecond
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		table := NewCallTable(maxEntries, retention)
		type state struct {
			e          *Entry
			mayHaveRun bool          // an attempt that must not be repeated may have run
			endedAt    time.Duration // when that attempt ended
		}
		model := map[string]*state{}
		now := time.Duration(0)
		for step := range 300 {
			now += time.Duration(rng.IntN(4)) * time.Millisecond
			id := fmt.Sprint(rng.IntN(12))
			entry := model[id]
			if entry == nil {
				entry = &state{}
				model[id] = entry
			}
			switch op := rng.IntN(5); {
			case op < 2:
				attempt := rng.IntN(4)
				e, replaced, relation := table.Begin(id, attempt, true, false, now)
				switch relation {
				case RelationNew:
					if entry.e != nil {
						t.Fatalf("seed %d step %d: fresh while in hand", seed, step)
					}
					if entry.mayHaveRun && now < entry.endedAt+retention {
						t.Fatalf("seed %d step %d: fresh although it may have run", seed, step)
					}
					if attempt > 1 && !e.Reused {
						t.Fatalf("seed %d step %d: a repeat of something unknown was let through", seed, step)
					}
					entry.e, entry.mayHaveRun = e, false
				case RelationContinue:
					if e != entry.e || entry.e == nil {
						t.Fatalf("seed %d step %d: continues another request", seed, step)
					}
				case RelationReplace:
					t.Fatalf("seed %d step %d: %v was replaced", seed, step, replaced)
				default:
					if e != nil {
						t.Fatalf("seed %d step %d: an entry with %v", seed, step, relation)
					}
				}
			case op == 2 && entry.e != nil && !entry.e.AwaitingCaller:
				table.AwaitCaller(entry.e, now+5*time.Millisecond)
			case op == 3 && entry.e != nil:
				ran := rng.IntN(2) == 0
				table.End(entry.e, ran, now)
				entry.e, entry.mayHaveRun, entry.endedAt = nil, ran, now
			case op == 4:
				for _, e := range table.Overdue(now) {
					if !e.AwaitingCaller || e.ExpiresAt > now {
						t.Fatalf("seed %d step %d: %+v is not late", seed, step, e)
					}
					table.End(e, false, now)
					model[e.ID].e, model[e.ID].mayHaveRun = nil, false
				}
			}
			if table.Len() > maxEntries {
				t.Fatalf("seed %d step %d: %d entries", seed, step, table.Len())
			}
		}
		for _, m := range model {
			if m.e != nil {
				table.End(m.e, false, now)
			}
		}
		table.removeExpired(now + time.Hour)
		if table.Len() != 0 || len(table.awaiting) != 0 || table.mayHaveRun.Len() != 0 || table.neverRan.Len() != 0 {
			t.Fatalf("seed %d: %d entries are left", seed, table.Len())
		}
	}
}

func TestFullTableRemovesOnlyEntriesThatNeverRan(t *testing.T) {
	c := NewCallTable(2, time.Minute)
	for i, ran := range []bool{true, false} {
		e, _, d := c.Begin(fmt.Sprint(i), 1, true, false, 0)
		if d != RelationNew {
			t.Fatal(d)
		}
		c.End(e, ran, 0)
	}
	if _, _, d := c.Begin("2", 1, true, false, 0); d != RelationNew {
		t.Errorf("%v with one that never ran to let go of", d)
	}
	if _, _, d := c.Begin("3", 1, true, false, 0); d != RelationTableFull {
		t.Errorf("%v with no room", d)
	}
	if _, _, d := c.Begin("0", 1, true, false, 0); d != RelationMayHaveRun {
		t.Errorf("%v for what may have run", d)
	}
}

func TestRepeatedReadReplacesEarlierCall(t *testing.T) {
	c := NewCallTable(4, time.Minute)
	first, _, _ := c.Begin("r", 1, false, false, 0)
	if _, _, d := c.Begin("r", 1, false, false, 0); d != RelationInUse {
		t.Errorf("the same id at once: %v", d)
	}
	if _, _, d := c.Begin("r", 0, false, false, 0); d != RelationInUse {
		t.Errorf("the same id at once, without a count: %v", d)
	}
	second, replaced, d := c.Begin("r", 2, false, false, 0)
	if d != RelationReplace || replaced != first {
		t.Errorf("the caller's repeat: %v", d)
	}
	c.End(first, true, 0)
	if _, _, d := c.Begin("r", 2, false, false, 0); d != RelationInUse {
		t.Errorf("after the end of what was replaced: %v", d)
	}
	c.End(second, true, 0)
	if c.Len() != 0 {
		t.Errorf("%d entries for reads that are over", c.Len())
	}
}
