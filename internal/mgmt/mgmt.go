// Package mgmt answers operators' calls over HTTP/1.1: whether the proxy serves, and which members stand out of use. It
// decides nothing: internal/maintenance does, internal/handover keeps the record, and the proxy carries it out. It never
// takes clients' requests, and it is the host's second front only for its descriptors and its end.
package mgmt

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"linenloom/internal/handover"
	"linenloom/internal/maintenance"
	"linenloom/internal/proxy"
)

const (
	// callTime is how long a call may take to arrive. Callers that send nothing or half a call hold a place for no longer.
	callTime   = 2 * time.Second
	answerTime = time.Second
	// maxCalls bounds the calls at once; one more takes the place of the oldest, which can only be one that stays silent.
	maxCalls = 16
	maxBody  = 1 << 10
	maxHead  = 8 << 10
	// lookEvery is how often the record is looked at: a call at one process has to bind the other too.
	lookEvery = 50 * time.Millisecond
)

// Front takes operators' calls.
type Front struct {
	p      *proxy.Proxy
	dir    *handover.Dir
	log    *slog.Logger
	listen net.Listener
	server *http.Server
	mux    *http.ServeMux
	quit   chan struct{}

	mu     sync.Mutex
	open   []*call // the oldest first
	closed bool
}

// call is a caller's connection.
type call struct {
	net.Conn
	f    *Front
	once sync.Once
}

var _ proxy.Front = (*Front)(nil)

// New listens at addr. Calls that come before the proxy serves are answered once it does.
func New(p *proxy.Proxy, addr string, dir *handover.Dir, log *slog.Logger) (*Front, error) {
	lc := net.ListenConfig{KeepAlive: -1}
	l, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("mgmt: %w", err)
	}
	f := &Front{p: p, dir: dir, log: log, listen: l, quit: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", f.status)
	mux.HandleFunc("PUT /maintenance/enter", f.enter)
	mux.HandleFunc("PUT /maintenance/exit", f.exit)
	f.mux = mux
	f.server = &http.Server{
		Handler: mux, ReadTimeout: callTime, WriteTimeout: callTime + answerTime, MaxHeaderBytes: maxHead,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	f.server.SetKeepAlivesEnabled(false) // one call a connection
	return f, nil
}

// Addr is where calls are taken.
func (f *Front) Addr() net.Addr { return f.listen.Addr() }

// Serve takes calls until Close, and follows the record meanwhile.
func (f *Front) Serve() error {
	go f.look()
	if err := f.server.Serve(listener{f.listen, f}); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("mgmt: %w", err)
	}
	return nil
}

// look takes over what another process has changed.
func (f *Front) look() {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	faulty := false
	for {
		select {
		case <-f.quit:
			return
		case <-tick.C:
		}
		set, changed, err := f.dir.Look()
		if err != nil && !faulty {
			f.log.Error("the record of members out of use can't be read, what is known stays in force", "err", err)
		}
		if faulty = err != nil; changed && !faulty {
			f.log.Info("members out of use, by another process's record", "count", set.Outs())
			f.p.Maintain(set)
		}
	}
}

// Drain changes nothing: operators go on calling until the end.
func (f *Front) Drain() {}

// StopTaking changes nothing.
func (f *Front) StopTaking() {}

// Owes tells that nothing is owed for which the process should stay.
func (f *Front) Owes() bool { return false }

// End changes nothing.
func (f *Front) End() {}

// Sweep has nothing to do: the server's time-outs do it.
func (f *Front) Sweep() {}

// MakeRoom gives up no call: there are few.
func (f *Front) MakeRoom() bool { return false }

// Close ends the calls. The host's lock is held, which calls may wait for, so nothing here waits for them.
func (f *Front) Close() {
	f.mu.Lock()
	closed := f.closed
	f.closed = true
	f.mu.Unlock()
	if closed {
		return
	}
	close(f.quit)
	go f.server.Close()
	f.listen.Close()
}

// listener makes room for each new call.
type listener struct {
	net.Listener
	f *Front
}

func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &call{Conn: conn, f: l.f}
	l.f.mu.Lock()
	var oldest *call
	if len(l.f.open) >= maxCalls {
		oldest = l.f.open[0]
	}
	l.f.open = append(l.f.open, c)
	l.f.mu.Unlock()
	l.f.p.Do(func() { l.f.p.Descriptors(1) })
	if oldest != nil {
		oldest.Close()
	}
	return c, nil
}

// Close ends a call's connection.
func (c *call) Close() error {
	c.once.Do(func() {
		c.f.mu.Lock()
		if i := slices.Index(c.f.open, c); i >= 0 {
			c.f.open = slices.Delete(c.f.open, i, i+1)
		}
		c.f.mu.Unlock()
		go c.f.p.Do(func() { c.f.p.Descriptors(-1) }) // the host's lock may be held by who closes
	})
	return c.Conn.Close()
}

func (f *Front) status(w http.ResponseWriter, _ *http.Request) {
	if !f.p.Serving() {
		http.Error(w, "not serving", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "serving\n")
}

func (f *Front) enter(w http.ResponseWriter, r *http.Request) {
	f.change(w, r, true, func(s maintenance.Set, id string) (maintenance.Set, error) {
		return s.Enter(id, time.Now().UnixMilli())
	})
}

func (f *Front) exit(w http.ResponseWriter, r *http.Request) {
	f.change(w, r, false, func(s maintenance.Set, id string) (maintenance.Set, error) {
		return s.Exit(id, time.Now().UnixMilli()), nil
	})
}

// body is a call's text; where it can't be read the call has been answered.
func body(w http.ResponseWriter, r *http.Request, what string) (text string, ok bool) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "the body, "+what+", can't be read: "+err.Error(), http.StatusBadRequest)
	}
	return strings.TrimSpace(string(b)), err == nil
}

// answer answers a call in JSON.
func answer(w http.ResponseWriter, v any) {
	w.Header().Set("content-type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// change records what a call asks for and carries it out, and only then answers yes.
func (f *Front) change(w http.ResponseWriter, r *http.Request, out bool,
	to func(maintenance.Set, string) (maintenance.Set, error)) {
	id, ok := body(w, r, "the id of a member")
	if !ok {
		return
	}
	switch {
	case !maintenance.ValidID(id):
		http.Error(w, "the body is the id of a member: "+maintenance.ErrBadID.Error(), http.StatusBadRequest)
		return
	case !f.p.Knows(id):
		http.Error(w, fmt.Sprintf("no member has the id %q", id), http.StatusNotFound)
		return
	}
	set, err := f.dir.Change(func(s maintenance.Set) (maintenance.Set, error) { return to(s, id) })
	if err != nil {
		f.log.Error("call to take a member out of use or back failed, nothing is changed", "member", id, "out", out, "err", err)
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	f.p.Maintain(set)
	f.log.Info("maintenance", "member", id, "out", out, "all_out", set.Outs())
	fmt.Fprintf(w, "%s out=%t\n", id, out)
}
