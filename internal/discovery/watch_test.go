package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

const testTimeout = 20 * time.Second // a test that has waited this long fails

// runWatcher runs a watcher of a server, and closes the server after it. taken gets the lists; stop ends the
// watcher and waits until it has ended.
func runWatcher(t *testing.T, s *httptest.Server, log *slog.Logger) (taken chan List, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	taken = make(chan List, 10)
	w := Watcher{Addr: s.Listener.Addr().String(), Backoff: NewBackoff(false, 7, 80, 0, 1), Log: log,
		OnList: func(l List) (int64, bool) { taken <- l; return 0, true }, OnBreak: func() {}}
	done := make(chan struct{})
	go func() { w.Run(ctx); close(done) }()
	stop = func() { cancel(); <-done }
	t.Cleanup(func() { stop(); s.Close() })
	return taken, stop
}

// A truncated or unreadable line changes nothing: the known list stays, and the difference to it is
// requested soon, also if the connection stays open after a part of a line.
func TestBadLines(t *testing.T) {
	for name, bad := range map[string]struct {
		text string
		hang bool
		why  string // part of the logged error
	}{
		"half a line, then silence": {`{"revision":6,"complete":false,"members":[{"id":"s-a",`, true, "line stalled for"},
		"half a line, then the end": {`{"revision":6,"complete":false,"members":[{"id":"s-a",`, false, "unexpected end"},
		"no JSON":                   {"<html>busy</html>\n", true, "invalid character"},
		"another shape":             {`{"revision":"six","members":{}}` + "\n", true, "cannot unmarshal"},
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			var asked []string
			secondCall := make(chan struct{})
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				mu.Lock()
				asked = append(asked, q.URL.Query().Get("from"))
				n := len(asked)
				mu.Unlock()
				switch n {
				case 1:
					io.WriteString(w, `{"revision":5,"complete":true,"members":[{"id":"s-a","phase":"in_service"}]}`+"\n"+bad.text)
					w.(http.Flusher).Flush()
					if !bad.hang {
						return
					}
				case 2:
					fmt.Fprintln(w, `{"revision":7,"complete":false,"members":[{"id":"s-a","phase":"terminating"}]}`)
					w.(http.Flusher).Flush()
					close(secondCall)
				}
				<-q.Context().Done()
			}))
			var log strings.Builder // used by the watcher only until it has ended
			taken, stop := runWatcher(t, s, slog.New(slog.NewTextHandler(&log, nil)))
			select {
			case <-secondCall:
			case <-time.After(testTimeout):
				t.Fatal("not asked again")
			}
			first, second := <-taken, <-taken
			if first.Revision != 5 || second.Revision != 7 || second.Members[0].Phase != PhaseTerminating || len(taken) > 0 {
				t.Errorf("taken: %+v, %+v", first, second)
			}
			stop()
			if lines := strings.Count(log.String(), "\n"); lines != 1 || !strings.Contains(log.String(), bad.why) {
				t.Errorf("logged %q, want one line that tells %q", log.String(), bad.why)
			}
			mu.Lock()
			defer mu.Unlock()
			if got := strings.Join(asked, " "); got != "0 5" {
				t.Errorf("asked from %q, want the difference to what is known", got)
			}
		})
	}
}

// Guards against a discovery service that is never heard because it pauses within each line: the changes are taken
// well within the time after which they count as announced.
func TestLinesWithPausesAreHeard(t *testing.T) {
	for _, pause := range []time.Duration{200 * time.Millisecond, time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				io.WriteString(w, `{"revision":5,"complete":true,"members":[{"id":"s-a",`)
				w.(http.Flusher).Flush()
				select {
				case <-q.Context().Done():
					return
				case <-time.After(pause):
				}
				io.WriteString(w, `"phase":"in_service"}]}`+"\n")
				w.(http.Flusher).Flush()
				<-q.Context().Done()
			}))
			taken, _ := runWatcher(t, s, slog.New(slog.DiscardHandler))
			select {
			case list := <-taken:
				if list.Revision != 5 || len(list.Members) != 1 {
					t.Errorf("taken: %+v", list)
				}
			case <-time.After(testTimeout):
				t.Error("the list was not taken")
			}
		})
	}
}

// A whole list that is empty or older than the known one leaves the known list in force, however often it
// is sent, and a change after it is applied. A list of a discovery service that has been behind for long
// enough is valid: its revision numbers have restarted.
func TestEmptyAndOlderLists(t *testing.T) {
	for name, c := range map[string]struct {
		bad   string
		since time.Duration // how long discovery has been behind
		want  int64
	}{
		"an empty whole list":          {`{"revision":9,"complete":true,"members":[]}`, 0, 6},
		"an older whole list":          {`{"revision":2,"complete":true,"members":[{"id":"s-a","phase":"in_service"}]}`, 0, 6},
		"older changes":                {`{"revision":4,"complete":false,"members":[{"id":"s-a","phase":"in_service"}]}`, 0, 6},
		"one that has long been older": {`{"revision":2,"complete":true,"members":[{"id":"s-a","phase":"in_service"}]}`, time.Hour, 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				if q.URL.Query().Get("from") == "5" { // called by a watcher that is up to date
					io.WriteString(w, c.bad+"\n"+c.bad+"\n"+`{"revision":6,"complete":false,"members":[]}`+"\n")
				}
				w.(http.Flusher).Flush()
				<-q.Context().Done()
			}))
			defer s.Close()
			var took []int64
			var log strings.Builder
			ctx, stop := context.WithTimeout(context.Background(), testTimeout)
			defer stop()
			w := Watcher{Addr: s.Listener.Addr().String(), Revision: 5, HasMembers: true, Log: slog.New(slog.NewTextHandler(&log, nil)),
				OnList: func(l List) (int64, bool) { took = append(took, l.Revision); stop(); return 0, true }, OnBreak: func() {}}
			if c.since > 0 {
				w.behindSince = time.Now().Add(-c.since)
			}
			_, err := w.watch(ctx, s.Client())
			if errors.Is(err, errStaleList) { // on the next call, discovery has caught up
				if len(took) > 0 || w.Revision != 5 {
					t.Fatalf("taken %v, revision %d", took, w.Revision)
				}
				return
			}
			if len(took) == 0 || took[0] != c.want || strings.Count(log.String(), "\n") > 1 {
				t.Errorf("taken %v, want %d first; err %v, log %q", took, c.want, err, log.String())
			}
		})
	}
}

// Of a line truncated at any byte, only complete entries of draining members are used, and only if the
// line is known to be newer or has no revision yet: the revision may stand before the members or after
// them.
func TestDrainsInTruncatedLine(t *testing.T) {
	const members = `"members":[{"id":"s-a","phase":"terminating"},{"id":"s-b","phase":"in_service"},` +
		`{"id":"s-c","phase":"terminated"},{"id":"s-d","phase":"in_service"}]`
	checkPrefixes(t, `{"revision":6,"complete":false,`+members+`}`)
	checkPrefixes(t, `{"complete":false,`+members+`,"revision":6}`)
	if got := salvageDrains([]byte(`{"revision":6,"complete":false,`+members), 6); len(got) > 0 {
		t.Errorf("of a line that is not newer: %+v", got)
	}
}

func checkPrefixes(t *testing.T, line string) {
	t.Helper()
	for n := range len(line) {
		got := ""
		for _, m := range salvageDrains([]byte(line[:n]), 5) {
			got += m.ID + " "
		}
		want := ""
		if n >= strings.Index(line, `,{"id":"s-b"`) {
			want += "s-a "
		}
		if n >= strings.Index(line, `,{"id":"s-d"`) {
			want += "s-c "
		}
		if got != want {
			t.Fatalf("%q: %q, want %q", line[:n], got, want)
		}
	}
}

func FuzzSalvageDrains(f *testing.F) {
	for _, s := range []string{"", "{", `{"revision":6,"members":[{"id":"s-a","phase":"terminating"},{`, `{"members":[{"id":"s-a"}]}`,
		`{"x":{"y":[1,2]},"revision":9,"members":[{"id":"a","phase":"terminated"} false`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		for _, m := range salvageDrains(line, 5) {
			if m.ID == "" || m.Phase == PhaseInService {
				t.Errorf("%q: %+v", line, m)
			}
		}
	})
}

// A chunk that stalls on an open connection is abandoned like a line that does, and the drains in it are
// applied. net/http returns no data of a chunk until the chunk is whole.
func TestTruncatedChunk(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		http.ReadRequest(bufio.NewReader(conn))
		const half = `{"revision":6,"complete":false,"members":[{"id":"s-a","phase":"terminating"},{"id":"s-b",`
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n%x\r\n%s", len(half)+50, half)
		io.Copy(io.Discard, conn) // until the watcher closes the connection
		conn.Close()
	}()
	var took []List
	ctx, stop := context.WithTimeout(context.Background(), testTimeout)
	defer stop()
	w := &Watcher{Addr: l.Addr().String(), Revision: 5, Log: slog.New(slog.DiscardHandler), OnList: func(l List) (int64, bool) { took = append(took, l); return 0, true }}
	_, err = w.watch(ctx, &http.Client{Transport: &http.Transport{DialContext: w.dial, DisableKeepAlives: true}})
	if err == nil || !strings.Contains(err.Error(), "line stalled for") {
		t.Errorf("ended with %v", err)
	}
	if len(took) != 1 || took[0].Revision != 5 || len(took[0].Members) != 1 || took[0].Members[0].ID != "s-a" {
		t.Errorf("taken %+v", took)
	}
}
