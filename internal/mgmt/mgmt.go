// Package mgmt serves the operators' HTTP/1.1 API: whether the proxy serves, and which members are out of
// use. It makes no decisions: internal/maintenance makes them, internal/handover keeps the record of
// members out of use, and the proxy applies that record. It takes no client requests. It is a proxy.Front
// so that the host counts its descriptors and closes it at the end.
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
	// readTimeout is how long a call may take to arrive. Callers that send nothing or half a call are
	// disconnected after that.
	readTimeout = 2 * time.Second
	// responseTimeout is how long a response may take, in addition to readTimeout.
	responseTimeout = time.Second
	// maxConnections bounds the open connections. A further one replaces the oldest. As calls are short,
	// that is usually one on which no whole call has arrived.
	maxConnections = 16
	maxBodyBytes   = 1 << 10
	maxHeaderBytes = 8 << 10
	// recordPollInterval is how often the record of members out of use is read. While two processes of the
	// proxy run, during a handover, a call to one of them has to apply to both.
	recordPollInterval = 50 * time.Millisecond
)

// Front is the listener for operators' calls.
type Front struct {
	proxy    *proxy.Proxy
	dir      *handover.Dir
	log      *slog.Logger
	listener net.Listener
	server   *http.Server
	mux      *http.ServeMux
	quit     chan struct{}

	mu          sync.Mutex
	connections []*connection // oldest first
	closed      bool
}

// connection is an operator's connection.
type connection struct {
	net.Conn
	front *Front
	once  sync.Once
}

var _ proxy.Front = (*Front)(nil)

// New listens at addr. Calls that arrive before the proxy serves are answered once it does.
func New(p *proxy.Proxy, addr string, dir *handover.Dir, log *slog.Logger) (*Front, error) {
	lc := net.ListenConfig{KeepAlive: -1}
	listener, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("mgmt: %w", err)
	}
	f := &Front{proxy: p, dir: dir, log: log, listener: listener, quit: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", f.status)
	mux.HandleFunc("GET /connections", f.memberConnections)
	mux.HandleFunc("PUT /maintenance/enter", f.enter)
	mux.HandleFunc("PUT /maintenance/exit", f.exit)
	f.mux = mux
	f.server = &http.Server{
		Handler: mux, ReadTimeout: readTimeout, WriteTimeout: readTimeout + responseTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	f.server.SetKeepAlivesEnabled(false) // one call per connection
	return f, nil
}

// Addr returns the address of the listener.
func (f *Front) Addr() net.Addr { return f.listener.Addr() }

// Serve accepts calls until Close. Meanwhile it applies changes of the record of members out of use.
func (f *Front) Serve() error {
	go f.followRecord()
	if err := f.server.Serve(boundedListener{f.listener, f}); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("mgmt: %w", err)
	}
	return nil
}

// followRecord applies changes that another process has made to the record of members out of use.
func (f *Front) followRecord() {
	tick := time.NewTicker(recordPollInterval)
	defer tick.Stop()
	faulty := false
	for {
		select {
		case <-f.quit:
			return
		case <-tick.C:
		}
		set, changed, err := f.dir.Reload()
		if err != nil && !faulty {
			f.log.Error("the record of members out of use can't be read; the known one stays in force", "err", err)
		}
		if faulty = err != nil; changed && !faulty {
			f.log.Info("another process has changed the members out of use", "count", set.CountOut())
			f.proxy.UpdateMaintenance(set)
		}
	}
}

// Drain does nothing: operators may call until the end.
func (f *Front) Drain() {}

// StopAccepting does nothing.
func (f *Front) StopAccepting() {}

// EndIdle returns false: no call keeps the process from ending.
func (f *Front) EndIdle() bool { return false }

// EndAll does nothing.
func (f *Front) EndAll() {}

// Sweep does nothing: the timeouts of the HTTP server are enough.
func (f *Front) Sweep() {}

// FreeDescriptor closes no connection, as there are few.
func (f *Front) FreeDescriptor() bool { return false }

// Close ends all calls. It does not wait for them: the caller holds the host's lock, which calls may wait
// for.
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
	f.listener.Close()
}

// boundedListener closes the oldest connection when a new one exceeds maxConnections.
type boundedListener struct {
	net.Listener
	front *Front
}

func (l boundedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: conn, front: l.front}
	l.front.mu.Lock()
	var oldest *connection
	if len(l.front.connections) >= maxConnections {
		oldest = l.front.connections[0]
	}
	l.front.connections = append(l.front.connections, c)
	l.front.mu.Unlock()
	l.front.proxy.Do(func() { l.front.proxy.AddDescriptors(1) })
	if oldest != nil {
		oldest.Close()
	}
	return c, nil
}

// Close closes the connection and removes it from the open ones.
func (c *connection) Close() error {
	c.once.Do(func() {
		c.front.mu.Lock()
		if i := slices.Index(c.front.connections, c); i >= 0 {
			c.front.connections = slices.Delete(c.front.connections, i, i+1)
		}
		c.front.mu.Unlock()
		// In a goroutine, as the caller may hold the host's lock.
		go c.front.proxy.Do(func() { c.front.proxy.AddDescriptors(-1) })
	})
	return c.Conn.Close()
}

func (f *Front) status(w http.ResponseWriter, _ *http.Request) {
	if !f.proxy.Serving() {
		http.Error(w, "not serving", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "serving\n")
}

// memberConnections responds with counts of the connections to members.
func (f *Front) memberConnections(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, f.proxy.Connections())
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

// readBody returns the body of a call. If it can't be read, it sends an error response and returns false.
func readBody(w http.ResponseWriter, r *http.Request, what string) (text string, ok bool) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "the body, "+what+", can't be read: "+err.Error(), http.StatusBadRequest)
	}
	return strings.TrimSpace(string(b)), err == nil
}

// writeJSON sends a response in JSON.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("content-type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// change updates the record of members out of use for a call and applies it, and only then responds with
// success. takeOut tells for the log and the response whether the call takes the member out of use.
func (f *Front) change(w http.ResponseWriter, r *http.Request, takeOut bool,
	update func(maintenance.Set, string) (maintenance.Set, error)) {
	id, ok := readBody(w, r, "the id of a member")
	if !ok {
		return
	}
	switch {
	case !maintenance.ValidID(id):
		http.Error(w, "the body is the id of a member: "+maintenance.ErrBadID.Error(), http.StatusBadRequest)
		return
	case !f.proxy.KnowsMember(id):
		http.Error(w, fmt.Sprintf("no member has the id %q", id), http.StatusNotFound)
		return
	}
	set, err := f.dir.Update(func(s maintenance.Set) (maintenance.Set, error) { return update(s, id) })
	if err != nil {
		f.log.Error("call to take a member out of use or back in use failed; nothing has changed", "member", id, "out", takeOut, "err", err)
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	f.proxy.UpdateMaintenance(set)
	f.log.Info("maintenance", "member", id, "out", takeOut, "all_out", set.CountOut())
	fmt.Fprintf(w, "%s out=%t\n", id, takeOut)
}
