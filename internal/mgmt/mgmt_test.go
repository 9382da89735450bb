package mgmt_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"strings"
	"testing"
	"time"

	"linenloom/internal/app"
	"linenloom/internal/handover"
	"linenloom/internal/maintenance"
	"linenloom/internal/mgmt"
	"linenloom/internal/proxy"
	"linenloom/internal/resp"
	"linenloom/internal/standin"
	"linenloom/logic"
)

const testTimeout = 20 * time.Second

type harness struct {
	t        *testing.T
	fleet    *standin.Fleet
	proxy    *proxy.Proxy
	addr     string
	reader   *bufio.Reader
	conn     net.Conn
	requests int

	attemptsByMember map[logic.MemberID]int // attempts so far, under the proxy's lock
}

func startHarness(t *testing.T, path string, record ...mgmt.Orders) *harness {
	t.Helper()
	fleet, err := standin.NewFleet(2, 100)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	text, err := fleet.Config("m", "127.0.0.1:0", "7", 64, 256)
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := app.ProxyConfig(text)
	if err != nil {
		t.Fatal(err)
	}
	cfg.AcceptAfterStop = 0
	// Attempts are counted when they are sent: on a busy machine a server may start an abandoned attempt after later
	// ones have been counted.
	sentTo := map[logic.MemberID]int{}
	cfg.OnSend = func(_ logic.RequestID, m logic.MemberID) { sentTo[m]++ }
	dir, _, err := handover.Open(path, "m")
	if err != nil {
		t.Fatal(err)
	}
	p, err := proxy.New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	f, err := mgmt.New(p, "127.0.0.1:0", dir, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	for _, o := range record {
		f.HandleOrders(o)
	}
	p.AddFront(f)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Errorf("Run: %v", err)
		}
		dir.Close()
	})
	conn, err := net.Dial("tcp", p.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { conn.Close() })
	return &harness{t: t, fleet: fleet, proxy: p, attemptsByMember: sentTo, addr: f.Addr().String(), conn: conn, reader: bufio.NewReader(conn)}
}

func (r *harness) call(method, path, body string) int {
	r.t.Helper()
	status, _, err := mgmt.Call(method, r.addr, path, body, testTimeout)
	if err != nil {
		r.t.Fatal(err)
	}
	return status
}

// read requests a key and waits for the value.
func (r *harness) read(key string) {
	r.t.Helper()
	r.requests++
	b := resp.AppendArray(nil, 4)
	for _, w := range []string{"OBJ.GET", key, fmt.Sprintf("%016x", r.requests), "c=tile-read,d=3000"} {
		b = resp.AppendBulk(b, w)
	}
	if _, err := r.conn.Write(b); err != nil {
		r.t.Fatal(err)
	}
	line, err := r.reader.ReadString('\n')
	if err != nil || line[0] != '$' {
		r.t.Fatalf("%q %v", line, err)
	}
	if _, err := io.CopyN(io.Discard, r.reader, 102); err != nil {
		r.t.Fatal(err)
	}
}

// attemptsForReads returns how many attempts each server was sent for a number of reads of different
// keys.
func (r *harness) attemptsForReads(reads int) (sent [2]int) {
	r.t.Helper()
	before := r.attempts()
	for i := range reads {
		r.read(fmt.Sprintf("%x", 0x1000+i))
	}
	after := r.attempts()
	for i := range sent {
		id := proxy.MemberID(r.fleet.Caches[i].ID)
		sent[i] = after[id] - before[id]
	}
	return sent
}

// attempts returns how many attempts each member has been sent.
func (r *harness) attempts() (sends map[logic.MemberID]int) {
	r.proxy.Do(func() { sends = maps.Clone(r.attemptsByMember) })
	return sends
}

func TestCalls(t *testing.T) {
	r := startHarness(t, t.TempDir())
	for _, c := range []struct {
		method, path, body string
		want               int
	}{
		{"GET", "/status", "", 200},
		{"PUT", "/maintenance/enter", "nobody", 404},
		{"PUT", "/maintenance/exit", "nobody", 404},
		{"PUT", "/maintenance/enter", "", 400},
		{"PUT", "/maintenance/enter", "s-1 s-2", 400},
		{"PUT", "/maintenance/enter", strings.Repeat("x", 5000), 400},
		{"POST", "/maintenance/enter", "s-1", 405},
		{"PUT", "/status", "", 405},
		{"GET", "/else", "", 404},
		{"PUT", "/maintenance/exit", "s-1", 200}, // in use already
	} {
		if got := r.call(c.method, c.path, c.body); got != c.want {
			t.Errorf("%s %s %.10q: %d, want %d", c.method, c.path, c.body, got, c.want)
		}
	}
	if n := r.attemptsForReads(60); n[0] == 0 || n[1] == 0 {
		t.Fatalf("before: %v", n)
	}
	for range 2 { // two calls to enter maintenance
		if got := r.call("PUT", "/maintenance/enter", "s-1\n"); got != 200 {
			t.Fatalf("enter: %d", got)
		}
	}
	if n := r.attemptsForReads(60); n[0] != 0 || n[1] == 0 {
		t.Errorf("s-1 is out: %v", n)
	}
	// Regardless of discovery, where the member drains, is gone, and returns to its old position.
	r.fleet.Drain(r.fleet.Caches[0])
	if _, err := r.fleet.AddCache("s-3", time.Time{}); err != nil {
		t.Fatal(err)
	}
	r.fleet.Registry.Update(r.fleet.Registry.List().Members[1])
	member := r.fleet.Registry.List().Members[1]
	member.Phase = "in_service"
	r.fleet.Registry.Update(member)
	for !r.proxy.KnowsMember("s-3") {
		time.Sleep(time.Millisecond)
	}
	if n := r.attemptsForReads(60); n[0] != 0 {
		t.Errorf("discovery has called s-1 back: %v", n)
	}
	if got := r.call("PUT", "/maintenance/exit", "s-1"); got != 200 { // one call to leave it
		t.Fatalf("exit: %d", got)
	}
	// The member counts as cold, and is used as its cold-start budget allows, which grows with time.
	for end := time.Now().Add(testTimeout); r.attemptsForReads(90)[0] == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("s-1 is back and unused")
		}
	}
}

// A call to another process of this proxy applies to this one too.
func TestRecordOfAnotherProcess(t *testing.T) {
	path := t.TempDir()
	r := startHarness(t, path)
	r.attemptsForReads(10)
	other, alone, err := handover.Open(path, "m")
	if err != nil || alone {
		t.Fatalf("alone %t %v", alone, err)
	}
	defer other.Close()
	if _, err := other.Update(func(s maintenance.Set) (maintenance.Set, error) { return s.Enter("s-2", 1) }); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(testTimeout); r.proxy.Load().Ready != 2; time.Sleep(time.Millisecond) {
		// Ready counts a cache and the origin.
		if time.Now().After(end) {
			t.Fatal("s-2 is still in use")
		}
	}
	if n := r.attemptsForReads(60); n[1] != 0 {
		t.Errorf("s-2 is out: %v", n)
	}
}

// Callers that send nothing, or half a call, do not block others.
func TestSilentCallers(t *testing.T) {
	r := startHarness(t, "")
	for i := range 60 {
		conn, err := net.Dial("tcp", r.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if i%2 == 0 {
			io.WriteString(conn, "PUT /maintenance/enter HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\ns")
		}
		if i%10 == 9 {
			if got := r.call("GET", "/status", ""); got != 200 {
				t.Errorf("%d", got)
			}
		}
	}
	if got := r.call("PUT", "/maintenance/enter", "s-1"); got != 200 {
		t.Errorf("%d", got)
	}
}

// A second copy of an answer appears in the counts of connections that operators see, with the reason for
// which its connection was closed.
func TestConnectionCountsShowStrayBytes(t *testing.T) {
	r := startHarness(t, t.TempDir())
	for _, cache := range r.fleet.Caches {
		cache.SetSource(func(key string) []byte { return standin.Value(key, 100) })
		cache.SetStrays(standin.Strays{Form: standin.StrayCopy, Every: 1, Delay: 20 * time.Millisecond})
	}
	r.read("k1")
	var counts proxy.ConnectionCounts
	for end := time.Now().Add(testTimeout); counts.Closed["unsolicited"] == 0; time.Sleep(time.Millisecond) {
		status, body, err := mgmt.Call("GET", r.addr, "/connections", "", testTimeout)
		if err != nil || status != 200 {
			t.Fatal(status, err)
		}
		if err := json.Unmarshal([]byte(body), &counts); err != nil {
			t.Fatal(err)
		}
		if time.Now().After(end) {
			t.Fatalf("no stray bytes are counted: %+v", counts)
		}
	}
	if counts.Strays == 0 || counts.Opened == 0 {
		t.Errorf("counts %+v", counts)
	}
}
