package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// reply is an answer of a proxy.
type reply struct {
	served bool
	text   string // the value, or the line without its first byte
	busy   bool
}

func (a reply) String() string {
	switch {
	case a.served:
		return fmt.Sprintf("served %.40q (%d bytes)", a.text, len(a.text))
	case a.busy:
		return "refused: " + a.text
	}
	return "failed: " + a.text
}

// respConn is a connection that carries RESP2.
type respConn struct {
	conn net.Conn
	in   *bufio.Reader
}

func dial(addr string) (*respConn, error) {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &respConn{conn, bufio.NewReader(conn)}, nil
}

func (c *respConn) close() { c.conn.Close() }

// command encodes a command.
func command(words ...string) []byte {
	b := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, w := range words {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b
}

func (c *respConn) send(words ...string) error {
	_, err := c.conn.Write(command(words...))
	return err
}

func (c *respConn) call(words ...string) (reply, error) {
	if err := c.send(words...); err != nil {
		return reply{}, err
	}
	return c.read()
}

func line(in *bufio.Reader) (string, error) {
	s, err := in.ReadString('\n')
	return strings.TrimRight(s, "\r\n"), err
}

// read reads an answer of a proxy.
func (c *respConn) read() (a reply, err error) {
	s, err := line(c.in)
	switch {
	case err != nil:
		return a, err
	case s == "":
		return a, errors.New("an empty line")
	}
	switch s[0] {
	case '+':
		return reply{text: s[1:]}, nil
	case '-':
		return reply{text: s[1:], busy: strings.HasPrefix(s, "-BUSY")}, nil
	case '$':
		n, err := strconv.Atoi(s[1:])
		if err != nil || n < 0 {
			return reply{text: s}, err
		}
		b := make([]byte, n+2)
		_, err = io.ReadFull(c.in, b)
		return reply{served: err == nil, text: string(b[:n])}, err
	}
	return reply{text: s}, nil
}

// readCommand reads a command.
func readCommand(in *bufio.Reader) (words []string, err error) {
	s, err := line(in)
	if err != nil {
		return nil, err
	}
	if len(s) < 2 || s[0] != '*' {
		return nil, errors.New("no array")
	}
	n, err := strconv.Atoi(s[1:])
	if err != nil {
		return nil, err
	}
	for range n {
		if s, err = line(in); err != nil {
			return nil, err
		}
		if len(s) < 2 || s[0] != '$' {
			return nil, errors.New("no bulk string")
		}
		size, err := strconv.Atoi(s[1:])
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(in, b); err != nil {
			return nil, err
		}
		words = append(words, string(b[:size]))
	}
	return words, nil
}

// attribute returns an attribute of a list of names and values.
func attribute(list, name string) string {
	for _, item := range strings.Split(list, ",") {
		if n, v, ok := strings.Cut(item, "="); ok && n == name {
			return v
		}
	}
	return ""
}

// member is an entry of discovery's list.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// cache is a stand-in for a cache node. get answers a read: the value, and whether it has one.
type cache struct {
	member
	listener net.Listener
	get      func(key, id, attrs string, gone <-chan struct{}) (value string, hit bool)
	seen     func(key, id, attrs string)
}

func newCache(id, zone string, cell int) (*cache, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cache{listener: l, member: member{ID: id, HostPort: l.Addr().String(), Locality: zone, Flavor: "standard", Cell: cell, Phase: "in_service", Size: 1}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return c, nil
}

func (c *cache) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	gone := make(chan struct{})
	for {
		words, err := readCommand(in)
		if err != nil {
			return
		}
		out := "-ERR unknown\r\n"
		switch {
		case words[0] == "SELECT" || words[0] == "CLIENT":
			out = "+OK\r\n"
		case words[0] == "PING":
			out = "+PONG\r\n"
		case words[0] == "OBJ.GET" && len(words) == 4:
			if c.seen != nil {
				c.seen(words[1], words[2], words[3])
			}
			if value, hit := c.get(words[1], words[2], words[3], gone); hit {
				out = fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", len(value), value)
			} else {
				out = "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"
			}
		}
		if _, err := io.WriteString(conn, out); err != nil {
			return
		}
	}
}

// origin is a stand-in for the origin: serve handles one connection.
type origin struct {
	member
	listener net.Listener
}

// originRequest is a request whose head has been read; its body has not.
type originRequest struct {
	*http.Request
	key, id, attrs string
	conn           net.Conn
}

// newOrigin starts an origin. handle reads the body and writes the answer; it returns false to end the connection.
func newOrigin(handle func(q originRequest) bool) (*origin, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	o := &origin{listener: l, member: member{ID: "s-origin", HostPort: l.Addr().String(), Locality: "kochi-dc", Flavor: "origin", Cell: 99, Phase: "in_service", Size: 1}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				in := bufio.NewReaderSize(conn, 4<<10)
				for {
					q, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if !handle(originRequest{q, strings.TrimPrefix(q.URL.Path, "/"), q.Header.Get("X-Request-ID"), q.Header.Get("X-Attrs"), conn}) {
						return
					}
				}
			}()
		}
	}()
	return o, nil
}

// answer writes an HTTP answer.
func (q originRequest) answer(status int, body string) bool {
	extra := ""
	if status == 503 {
		extra = "X-Not-Processed: 1\r\n"
	}
	_, err := fmt.Fprintf(q.conn, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), extra, len(body), body)
	return err == nil
}

// reset ends the connection with a reset.
func (q originRequest) reset() bool {
	if c, ok := q.conn.(*net.TCPConn); ok {
		c.SetLinger(0)
	}
	q.conn.Close()
	return false
}

// registry is a stand-in for discovery. Its lines may be written in two pieces with a pause between.
type registry struct {
	listener net.Listener
	mu       sync.Mutex
	revision int64
	members  []member
	history  []change
	notify   chan struct{}
	pause    time.Duration // between the two pieces of a line with members; 0: lines are written in one piece
	calls    int
	told     func(revision int64) // called when a line has been written whole
}

type change struct {
	revision int64
	member   member
}

func newRegistry(members ...member) (*registry, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &registry{listener: l, revision: 1, members: members, notify: make(chan struct{})}
	go http.Serve(l, http.HandlerFunc(d.serve))
	return d, nil
}

func (d *registry) addr() string { return d.listener.Addr().String() }

// known returns the list in the form of a configuration.
func (d *registry) known() map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return map[string]any{"revision": d.revision, "complete": true, "members": append([]member(nil), d.members...)}
}

// update changes a member.
func (d *registry) update(m member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	for i := range d.members {
		if d.members[i].ID == m.ID {
			d.members[i] = m
		}
	}
	d.history = append(d.history, change{d.revision, m})
	close(d.notify)
	d.notify = make(chan struct{})
}

func (d *registry) setPause(p time.Duration) {
	d.mu.Lock()
	d.pause = p
	d.mu.Unlock()
}

type listLine struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

func (d *registry) serve(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != "/registry/instances" {
		http.NotFound(w, q)
		return
	}
	flush := func() { w.(http.Flusher).Flush() }
	d.mu.Lock()
	d.calls++
	d.mu.Unlock()
	if q.URL.Query().Get("watch") == "" {
		d.mu.Lock()
		text, _ := json.Marshal(listLine{d.revision, true, d.members})
		d.mu.Unlock()
		w.Write(text)
		return
	}
	from, _ := strconv.ParseInt(q.URL.Query().Get("from"), 10, 64)
	first := true
	w.WriteHeader(200)
	flush()
	for {
		d.mu.Lock()
		changed, pause, revision := d.notify, d.pause, d.revision
		l := listLine{Revision: revision}
		for _, c := range d.history {
			if c.revision > from {
				l.Members = append(l.Members, c.member)
			}
		}
		d.mu.Unlock()
		if len(l.Members) > 0 || first && from < 1 {
			if from < 1 {
				d.mu.Lock()
				l.Complete, l.Members = true, append([]member(nil), d.members...)
				d.mu.Unlock()
			}
			text, _ := json.Marshal(l)
			text = append(text, '\n')
			if pause > 0 {
				cut := len(text) * 2 / 3
				w.Write(text[:cut])
				flush()
				select {
				case <-time.After(pause):
				case <-q.Context().Done():
					return
				}
				text = text[cut:]
			}
			if _, err := w.Write(text); err != nil {
				return
			}
			flush()
			from = revision
			if d.told != nil {
				d.told(revision)
			}
		}
		first = false
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
			if _, err := io.WriteString(w, "\n"); err != nil {
				return
			}
			flush()
		case <-q.Context().Done():
			return
		}
	}
}
