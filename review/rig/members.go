package rig

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Member is an entry of discovery's list.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  float64 `json:"up_since_ms"`
}

// List is discovery's list.
type List struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Call is a call of a proxy to discovery.
type Call struct {
	At      time.Time
	Refused bool // discovery was down
	Watch   bool
}

// Registry is discovery.
type Registry struct {
	Addr     string
	OnCall   func(Call) // called with each call; may be nil
	OnTold   func(List) // called with each list that is written to a proxy; may be nil
	listener net.Listener
	server   *http.Server
	mu       sync.Mutex
	list     List
	changed  chan struct{} // closed and replaced at each change of the list or of down
	down     bool
}

// NewRegistry starts discovery.
func NewRegistry() (*Registry, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Registry{Addr: listener.Addr().String(), listener: listener, list: List{Revision: 1, Complete: true}, changed: make(chan struct{})}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go r.server.Serve(listener)
	return r, nil
}

// Close ends discovery.
func (r *Registry) Close() { r.server.Close() }

// Set adds or changes an entry.
func (r *Registry) Set(m Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list.Revision++
	members := []Member{}
	found := false
	for _, old := range r.list.Members {
		if old.ID == m.ID {
			old, found = m, true
		}
		members = append(members, old)
	}
	if !found {
		members = append(members, m)
	}
	r.list.Members = members
	r.notify()
}

func (r *Registry) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// SetDown takes discovery down, which ends all watches, or brings it back.
func (r *Registry) SetDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
	r.notify()
}

// List returns the whole list.
func (r *Registry) List() List {
	l, _, _ := r.state()
	return l
}

func (r *Registry) state() (List, bool, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list, r.down, r.changed
}

func (r *Registry) serve(w http.ResponseWriter, request *http.Request) {
	list, down, changed := r.state()
	watch := request.URL.Query().Get("watch") != ""
	if r.OnCall != nil {
		r.OnCall(Call{time.Now(), down, watch})
	}
	if down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	send := func() {
		json.NewEncoder(w).Encode(list)
		w.(http.Flusher).Flush()
		if r.OnTold != nil {
			r.OnTold(list)
		}
	}
	if send(); !watch {
		return
	}
	for {
		select {
		case <-changed:
			told := list.Revision
			list, down, changed = r.state()
			if down {
				return
			}
			if list.Revision > told {
				send()
			}
		case <-time.After(2 * time.Second):
			io.WriteString(w, "\n")
			w.(http.Flusher).Flush()
		case <-request.Context().Done():
			return
		}
	}
}

// Read is a read at a cache.
type Read struct {
	Cache         string
	Key, ID, List string
	Began         time.Time // when its first byte had come
}

// Cache is a cache node that has a value for every key.
type Cache struct {
	ID       string
	Addr     string
	OnRead   func(Read)               // called with each read; may be nil
	Takes    func(Read) time.Duration // how long a read takes; may be nil
	Value    func(Read) string        // makes the value; may be nil
	Copy     func(Read) time.Duration // how late a second copy of the answer comes; 0: none does; may be nil
	listener net.Listener
}

// NewCache starts a cache.
func NewCache(id string) (*Cache, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Cache{ID: id, Addr: listener.Addr().String(), listener: listener}
	go acceptEach(listener, c.serve)
	return c, nil
}

// Close closes the listener.
func (c *Cache) Close() { c.listener.Close() }

func acceptEach(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			serve(conn)
		}()
	}
}

// Value is the value that a cache or the origin makes for a request.
func Value(key, id string) string { return "value of " + key + " for " + id }

func (c *Cache) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		var began time.Time
		words, err := ReadCommand(in, func() { began = time.Now() })
		if err != nil {
			return
		}
		reply, late := "-ERR unknown command\r\n", time.Duration(0)
		switch name := words[0]; {
		case name == "PING":
			reply = "+PONG\r\n"
		case name == "SELECT" || name == "CLIENT":
			reply = "+OK\r\n"
		case name == "OBJ.GET" && len(words) == 4:
			read := Read{c.ID, words[1], words[2], words[3], began}
			if c.OnRead != nil {
				c.OnRead(read)
			}
			if c.Takes != nil {
				time.Sleep(c.Takes(read))
			}
			var b strings.Builder
			value := Value(read.Key, read.ID)
			if c.Value != nil {
				value = c.Value(read)
			}
			b.WriteString("*3\r\n")
			b.Write(Command(value)[len("*1\r\n"):])
			b.WriteString("$3\r\nhit\r\n$-1\r\n")
			reply = b.String()
			if c.Copy != nil {
				late = c.Copy(read)
			}
		}
		if _, err := io.WriteString(conn, reply); err != nil {
			return
		}
		if late > 0 {
			time.AfterFunc(late, func() { io.WriteString(conn, reply) })
		}
	}
}

// Put is a write at the origin.
type Put struct {
	Key, ID, List string
	Value         []byte
	Began, Came   time.Time // when its first and its last byte had come
}

// Verdict is how the origin ends a request.
type Verdict struct {
	After time.Duration // how long after its last byte
	Reset bool          // its connection is reset; else it is answered with the receipt
	Body  string
}

// Origin is the origin. It answers each request on a connection in turn.
type Origin struct {
	Addr     string
	OnPut    func(Put) Verdict // decides on each write when its last byte has come
	listener net.Listener
}

// NewOrigin starts an origin.
func NewOrigin() (*Origin, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	o := &Origin{Addr: listener.Addr().String(), listener: listener}
	go acceptEach(listener, o.serve)
	return o, nil
}

// Close closes the listener.
func (o *Origin) Close() { o.listener.Close() }

func (o *Origin) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		began := time.Now()
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		value, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		key, id, list := strings.TrimPrefix(request.URL.Path, "/"), request.Header.Get("X-Request-ID"), request.Header.Get("X-Attrs")
		verdict := Verdict{Body: Value(key, id)}
		if request.Method == http.MethodPut && o.OnPut != nil {
			verdict = o.OnPut(Put{key, id, list, value, began, time.Now()})
		}
		time.Sleep(verdict.After)
		if verdict.Reset {
			conn.(*net.TCPConn).SetLinger(0)
			return
		}
		response := http.Response{StatusCode: 200, ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(verdict.Body)),
			Body: io.NopCloser(strings.NewReader(verdict.Body))}
		if response.Write(conn) != nil {
			return
		}
	}
}
