// Package standin simulates the servers that the proxy talks to: caches, the origin and discovery. They
// listen on loopback, and tests inject faults into them at any time. They are written from the platform's
// protocol, keep all state in memory, and never serve real traffic.
package standin

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"linenloom/internal/resp"
)

// Fault is how a member misbehaves while it is set.
type Fault uint8

// Faults of a member.
const (
	Healthy      Fault = iota
	Stall              // accepts a request and never answers while its connection is open
	Reset              // accepts a request and drops the connection
	Malformed          // answers with malformed bytes
	Busy               // refuses every request without processing it
	Failing            // answers with a failure
	Rejecting          // answers that the request is invalid
	Intermittent       // answers every second request with a failure
)

// member is the common part of caches and the origin: a listener, its connections and the fault.
type member struct {
	ID          string
	listener    net.Listener
	mu          sync.Mutex
	conns       map[net.Conn]struct{}
	closed      bool
	fault       Fault
	serviceTime time.Duration // how long an answer takes
	capacity    int           // concurrent requests; 0 means unlimited
	inProgress  int
	received    int                 // requests received, whatever their outcome
	coldStart   *coldStartState     // nil if warm
	lastEnded   time.Time           // when the latest request ended
	deadlines   *DeadlineChecker    // receives the deadline of each complete request; may be nil
	attribution *AttributionChecker // receives each complete request; may be nil
	strays      Strays
	answers     int // sent while strays are set
	accepted    int // connections
	quit        chan struct{}
}

func (m *member) listen(serve func(net.Conn)) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	m.listener, m.conns, m.quit = listener, map[net.Conn]struct{}{}, make(chan struct{})
	go AcceptEach(listener, func(conn net.Conn) {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.closed {
			conn.Close()
			return
		}
		m.conns[conn] = struct{}{}
		m.accepted++
		go m.serveConn(conn, serve)
	})
	return nil
}

// serveConn serves a connection until it ends.
func (m *member) serveConn(conn net.Conn, serve func(net.Conn)) {
	serve(&strayConn{Conn: conn, member: m})
	conn.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, conn)
}

// Addr returns the address that the member listens at.
func (m *member) Addr() string { return m.listener.Addr().String() }

// Close ends the member as a crashed process would: its connections are reset.
func (m *member) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	m.closed = true
	close(m.quit)
	m.listener.Close()
	for conn := range m.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// SetFault sets the fault for later requests.
func (m *member) SetFault(f Fault) {
	m.mu.Lock()
	m.fault = f
	m.mu.Unlock()
}

// SetService sets how long an answer takes and how many requests are processed concurrently; a capacity of
// 0 means unlimited.
func (m *member) SetService(d time.Duration, capacity int) {
	m.mu.Lock()
	m.serviceTime, m.capacity = d, capacity
	m.mu.Unlock()
}

// Accepted returns how many connections have been accepted.
func (m *member) Accepted() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.accepted
}

// Open returns how many connections are open.
func (m *member) Open() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.conns)
}

// Received returns how many complete requests have been received.
func (m *member) Received() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.received
}

// LastEnded returns when the latest request ended, whatever its outcome.
func (m *member) LastEnded() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastEnded
}

// InProgress returns how many requests are being processed.
func (m *member) InProgress() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inProgress
}

// SetDeadlines sets the checker for the deadlines that the member receives from now on.
func (m *member) SetDeadlines(d *DeadlineChecker) {
	m.mu.Lock()
	m.deadlines = d
	m.mu.Unlock()
}

// reportDeadline reports the deadline of a complete request to the checker.
func (m *member) reportDeadline(id, attrs string) {
	m.mu.Lock()
	d := m.deadlines
	m.mu.Unlock()
	if d != nil {
		d.AttemptReceived(m.ID, id, attrs)
	}
}

// beginRequest counts a request as in progress. It returns the fault to simulate, which is Busy at the
// capacity.
func (m *member) beginRequest() (fault Fault, serviceTime time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.received++
	if m.coldStart != nil && !m.coldStart.admit() {
		m.inProgress++
		return Reset, 0
	}
	if fault = m.fault; fault == Intermittent {
		fault = Healthy
		if m.received%2 == 0 {
			fault = Failing
		}
	}
	if fault == Healthy && m.capacity > 0 && m.inProgress >= m.capacity {
		fault = Busy
	}
	m.inProgress++
	return fault, m.serviceTime
}

func (m *member) endRequest() {
	m.mu.Lock()
	m.inProgress--
	m.lastEnded = time.Now()
	m.mu.Unlock()
}

// awaitDisconnect waits until the connection or the member has ended, so that no client can still be
// waiting for an answer. Bytes that arrive on the connection meanwhile stay unread.
func (m *member) awaitDisconnect(in *bufio.Reader) {
	for n := in.Buffered() + 1; ; n++ {
		switch _, err := in.Peek(n); {
		case errors.Is(err, bufio.ErrBufferFull):
			<-m.quit
			return
		case err != nil:
			return
		}
	}
}

// sleep waits for the service time. It returns false if the member is closed meanwhile.
func (m *member) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-m.quit:
		return false
	}
}

// Cache simulates a cache node. It speaks RESP2 as the protocol specifies and, on the same port, HTTP/1.1
// for clients that do their own exchanges: 200 for a hit, 404 for a miss, 503 with X-Not-Processed for a
// refusal.
type Cache struct {
	member
	Zone      string
	startedAt time.Time
	store     map[string][]byte
	// onMiss reports the request id of a miss to the fleet, which stores the value here once the origin
	// has answered.
	onMiss         func(id string, cache *Cache)
	hits           int
	misses         int
	onRead         func(id string) // called with the id of each read; may be nil
	endAfterSelect bool
	source         func(key string) []byte // makes the values of keys that are not stored; may be nil
}

func newCache(id, zone string, onMiss func(string, *Cache)) (*Cache, error) {
	cache := &Cache{Zone: zone, store: map[string][]byte{}, onMiss: onMiss}
	cache.ID = id
	return cache, cache.listen(cache.serve)
}

// Put stores a value.
func (c *Cache) Put(key string, value []byte) {
	c.mu.Lock()
	c.store[key] = value
	c.mu.Unlock()
}

// Clear removes all values.
func (c *Cache) Clear() {
	c.mu.Lock()
	clear(c.store)
	c.mu.Unlock()
}

// SetSource sets the function that makes the values of keys that are not stored, which then are no misses.
func (c *Cache) SetSource(source func(key string) []byte) {
	c.mu.Lock()
	c.source = source
	c.mu.Unlock()
}

// OnRead sets a function that is called with the id of each later read before it is processed.
func (c *Cache) OnRead(f func(id string)) {
	c.mu.Lock()
	c.onRead = f
	c.mu.Unlock()
}

// Reads returns how many reads were hits and how many were misses.
func (c *Cache) Reads() (hits, misses int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hits, c.misses
}

func (c *Cache) lookup(key, id string) (value []byte, ok bool) {
	c.mu.Lock()
	if value, ok = c.store[key]; !ok && c.source != nil {
		value, ok = c.source(key), true
	}
	if ok {
		c.hits++
	} else {
		c.misses++
	}
	c.mu.Unlock()
	if !ok && c.onMiss != nil {
		c.onMiss(id, c)
	}
	return value, ok
}

func (c *Cache) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		first, err := in.Peek(1)
		if err != nil {
			return
		}
		if first[0] == '*' {
			err = c.serveRESP(conn, in)
		} else {
			err = c.serveHTTP(conn, in)
		}
		if err != nil {
			return
		}
	}
}

// serveRESP answers one command.
func (c *Cache) serveRESP(conn net.Conn, in *bufio.Reader) error {
	args, err := readCommand(in)
	if err != nil {
		return err
	}
	var out []byte
	switch {
	case len(args) >= 1 && string(args[0]) == "PING":
		out = []byte("+PONG\r\n")
	case len(args) == 2 && string(args[0]) == "INFO":
		out = []byte("-NOPERM\r\n")
	case len(args) >= 1 && (string(args[0]) == "CLIENT" || string(args[0]) == "SELECT"):
		out = []byte("+OK\r\n")
	case len(args) == 4 && string(args[0]) == "OBJ.GET":
		c.reportDeadline(string(args[2]), string(args[3]))
		c.beginAttempt(conn, string(args[2]))
		out, err = c.handleRead(in, string(args[1]), string(args[2]))
	default:
		out = []byte("-ERR unknown command\r\n")
	}
	if err != nil {
		return err
	}
	if _, err = conn.Write(out); err == nil && c.endsAfter(args) {
		return errClosed
	}
	return err
}

// SetEndAfterSelect makes the cache end each connection once it has answered SELECT.
func (c *Cache) SetEndAfterSelect(on bool) {
	c.mu.Lock()
	c.endAfterSelect = on
	c.mu.Unlock()
}

// endsAfter reports whether the connection ends after a command.
func (c *Cache) endsAfter(args [][]byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endAfterSelect && len(args) > 0 && string(args[0]) == "SELECT"
}

var errClosed = fmt.Errorf("standin: %w", net.ErrClosed)

func (c *Cache) handleRead(in *bufio.Reader, key, id string) ([]byte, error) {
	c.mu.Lock()
	onRead := c.onRead
	c.mu.Unlock()
	if onRead != nil {
		onRead(id)
	}
	fault, serviceTime := c.beginRequest()
	defer c.endRequest()
	switch fault {
	case Stall:
		c.awaitDisconnect(in)
		return nil, errClosed
	case Reset:
		return nil, errClosed
	case Malformed:
		return []byte("\x8fb2\xf4\r\n"), nil
	case Busy:
		return []byte("-BUSY\r\n"), nil
	case Failing:
		return []byte("-ERR failed\r\n"), nil
	case Rejecting:
		return []byte("-ERR bad request\r\n"), nil
	}
	if !c.sleep(serviceTime) {
		return nil, errClosed
	}
	value, ok := c.lookup(key, id)
	out := resp.AppendArray(nil, 3)
	if ok {
		return append(resp.AppendBulk(resp.AppendBulk(out, value), "hit"), "$-1\r\n"...), nil
	}
	return append(resp.AppendBulk(append(out, "$-1\r\n"...), "miss"), "$-1\r\n"...), nil
}

// readCommand reads an array of bulk strings.
func readCommand(in *bufio.Reader) ([][]byte, error) {
	var n int
	if err := readNumber(in, '*', &n); err != nil {
		return nil, err
	}
	args := make([][]byte, 0, n)
	for range n {
		var size int
		if err := readNumber(in, '$', &size); err != nil {
			return nil, err
		}
		arg := make([]byte, size+2)
		if _, err := io.ReadFull(in, arg); err != nil {
			return nil, err
		}
		args = append(args, arg[:size])
	}
	return args, nil
}

func readNumber(in *bufio.Reader, kind byte, n *int) error {
	line, err := in.ReadSlice('\n')
	if err != nil {
		return err
	}
	if _, err := fmt.Sscanf(string(bytes.TrimSpace(line)), string(kind)+"%d", n); err != nil || *n < 0 || *n > resp.MaxValue {
		return resp.ErrProtocol
	}
	return nil
}

// serveHTTP answers one request.
func (c *Cache) serveHTTP(conn net.Conn, in *bufio.Reader) error {
	r, err := http.ReadRequest(in)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return err
	}
	fault, serviceTime := c.beginRequest()
	defer c.endRequest()
	switch fault {
	case Stall:
		c.awaitDisconnect(in)
		return errClosed
	case Reset:
		return errClosed
	case Malformed:
		_, err = io.WriteString(conn, "\x8fb2\xf4\r\n")
		return err
	case Busy:
		return writeHTTP(conn, 503, "X-Not-Processed: 1\r\n", nil)
	case Failing:
		return writeHTTP(conn, 500, "", nil)
	case Rejecting:
		return writeHTTP(conn, 400, "", nil)
	}
	if !c.sleep(serviceTime) {
		return errClosed
	}
	if value, ok := c.lookup(strings.TrimPrefix(r.URL.Path, "/"), r.Header.Get("X-Request-ID")); ok {
		return writeHTTP(conn, 200, "X-Cache: hit\r\n", value)
	}
	return writeHTTP(conn, 404, "X-Cache: miss\r\n", nil)
}

func writeHTTP(w io.Writer, status int, headers string, body []byte) error {
	out := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), headers, len(body))
	_, err := w.Write(append(out, body...))
	return err
}
