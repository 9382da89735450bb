package standin

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Relay is the network between proxies and a member: it holds what passes, each way for a time of its own, keeps its order, and reports to
// the checker of copies what it sees at its two ends. An end of a connection passes like all else.
type Relay struct {
	name     string
	origin   bool // HTTP/1.1 is spoken, else RESP
	to       string
	copies   *Copies // may be nil
	listener net.Listener

	mu        sync.Mutex
	delay     func() (there, back time.Duration) // of the next connection
	handshake func() time.Duration               // by which its first message comes later; nil: none
	stalled   [2]bool
	changed   chan struct{}
	conns     map[net.Conn]struct{}
}

// The two ways of a relay.
const (
	There = iota // to the member
	Back
)

// NewRelay makes a relay before the member at an address; origin tells that HTTP is spoken there. Every connection has the same delays.
func NewRelay(name, to string, origin bool, there, back time.Duration, copies *Copies) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{name: name, origin: origin, to: to, copies: copies, listener: listener, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	r.SetDelay(func() (time.Duration, time.Duration) { return there, back })
	go r.serve()
	return r, nil
}

// Addr is where proxies find the member.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetDelay changes how the delays of a connection are found, for connections that come from now on.
func (r *Relay) SetDelay(delay func() (there, back time.Duration)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}

// SetHandshake changes by how much later the first message of a connection comes, for connections that come from now on.
func (r *Relay) SetHandshake(handshake func() time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handshake = handshake
}

// Stall holds everything that goes one way, until it is called again.
func (r *Relay) Stall(way int, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stalled[way] = on
	close(r.changed)
	r.changed = make(chan struct{})
}

// Reset breaks all connections off.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		conn.Close()
	}
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.listener.Close()
	r.Reset()
}

func (r *Relay) serve() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.relay(conn)
	}
}

func (r *Relay) relay(in net.Conn) {
	defer in.Close()
	out, err := net.DialTimeout("tcp", r.to, 5*time.Second)
	if err != nil {
		in.(*net.TCPConn).SetLinger(0)
		return
	}
	defer out.Close()
	r.mu.Lock()
	r.conns[in], r.conns[out] = struct{}{}, struct{}{}
	there, back := r.delay()
	handshake := time.Duration(0)
	if r.handshake != nil {
		handshake = r.handshake()
	}
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.conns, in)
		delete(r.conns, out)
		r.mu.Unlock()
	}()
	c := &relayed{relay: r, ended: make(chan struct{}), over: func() bool { return over(in) }}
	var ways sync.WaitGroup
	ways.Go(func() {
		c.pass(There, in, out, there, handshake, c.wrote, c.came)
		c.end(in, out)
	})
	ways.Go(func() {
		c.pass(Back, out, in, back, 0, c.replied, nil)
		c.end(in, out)
	})
	ways.Wait()
}

// over tells whether the other side of a connection has ended it, also behind bytes that nobody has read yet.
func over(conn net.Conn) (ended bool) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		look := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(look[:], 0)
		ended = err == nil && n > 0 && look[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return ended || err != nil
}

// relayed is a connection that is relayed.
type relayed struct {
	relay *Relay
	once  sync.Once
	ended chan struct{}
	over  func() bool

	mu         sync.Mutex
	in         []byte // of the proxy's messages, what is not whole yet
	answers    []byte // of the member's
	sent       int64  // bytes that the proxy has written
	delivered  int64
	attempts   []*relayedAttempt // in order
	delivering int               // the first of them that has not come at the member
	answering  int               // the first that has no answer
}

type relayedAttempt struct {
	*copyAttempt
	id  string
	end int64 // of its last byte, in what the proxy writes; 0 for what is no attempt
}

func (c *relayed) end(conns ...net.Conn) {
	c.once.Do(func() { close(c.ended) })
	for _, conn := range conns {
		conn.Close()
	}
}

// pass passes pieces on one way, each after the delay, and none before the first has waited for the handshake. took is told of each piece as it comes, gave once it has gone on; nil for the end.
func (c *relayed) pass(way int, from, to net.Conn, delay, handshake time.Duration, took, gave func([]byte)) {
	type piece struct {
		bytes []byte // nil: the end
		at    time.Time
	}
	line := make(chan piece, 1024)
	go func() {
		defer close(line)
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			if n > 0 {
				b := slices.Clone(buffer[:n])
				took(b)
				line <- piece{b, time.Now()}
			}
			if err != nil {
				took(nil)
				line <- piece{nil, time.Now()}
				return
			}
		}
	}()
	for p := range line {
		if !c.hold(way, p.at.Add(delay+handshake)) {
			continue // the line is emptied, so that its reader ends
		}
		handshake = 0 // what is behind waits in line
		if p.bytes != nil {
			if _, err := to.Write(p.bytes); err != nil {
				c.end(from, to)
				continue
			}
		}
		if gave != nil {
			gave(p.bytes)
		}
		if p.bytes == nil {
			return
		}
	}
}

// hold waits until what is held may pass; false: the connection has ended.
func (c *relayed) hold(way int, until time.Time) bool {
	for {
		c.relay.mu.Lock()
		stalled, changed := c.relay.stalled[way], c.relay.changed
		c.relay.mu.Unlock()
		var ripe <-chan time.Time
		if !stalled {
			left := time.Until(until)
			if left <= 0 {
				return true
			}
			ripe = time.After(left)
		}
		select {
		case <-c.ended:
			return false
		case <-changed:
		case <-ripe:
		}
	}
}

// wrote takes what the proxy has written, or nil for its end.
func (c *relayed) wrote(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.relay.copies == nil {
		return
	}
	if b == nil {
		c.relay.copies.closed(c.out())
		return
	}
	c.in = append(c.in, b...)
	for len(c.in) > 0 {
		id, n := c.message()
		if n == 0 {
			return
		}
		c.sent += int64(n)
		c.in = c.in[n:]
		a := &relayedAttempt{id: id, end: c.sent}
		if id != "" {
			a.copyAttempt = c.relay.copies.wrote(c.relay.name, id, c.over)
		}
		c.attempts = append(c.attempts, a)
	}
}

// out is what the proxy has written and the member has not answered.
func (c *relayed) out() (all []*copyAttempt) {
	for _, a := range c.attempts[c.answering:] {
		if a.copyAttempt != nil {
			all = append(all, a.copyAttempt)
		}
	}
	return all
}

// came takes what has gone on to the member, or nil for the end.
func (c *relayed) came(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.relay.copies == nil {
		return
	}
	if b == nil {
		c.relay.copies.closedAtMember(c.out())
		return
	}
	c.delivered += int64(len(b))
	for ; c.delivering < len(c.attempts) && c.attempts[c.delivering].end <= c.delivered; c.delivering++ {
		if a := c.attempts[c.delivering]; a.copyAttempt != nil {
			c.relay.copies.arrived(a.id, a.copyAttempt)
		}
	}
}

// replied takes what the member has written.
func (c *relayed) replied(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.relay.copies == nil || b == nil {
		return
	}
	c.answers = append(c.answers, b...)
	for len(c.answers) > 0 && c.answering < len(c.attempts) {
		n := c.answer()
		if n == 0 {
			return
		}
		c.answers = c.answers[n:]
		if a := c.attempts[c.answering]; a.copyAttempt != nil {
			c.relay.copies.replied(a.copyAttempt)
		}
		c.answering++
	}
}

// message measures the message that c.in begins with; id is empty where it is no attempt, n is 0 where it is not whole.
func (c *relayed) message() (id string, n int) {
	whole := bytes.NewReader(c.in)
	buffered := bufio.NewReader(whole)
	length := func() int { return len(c.in) - whole.Len() - buffered.Buffered() }
	if c.relay.origin {
		request, err := http.ReadRequest(buffered)
		if err != nil {
			return "", 0
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return "", 0
		}
		return request.Header.Get("X-Request-ID"), length()
	}
	words, err := readWords(buffered)
	if err != nil {
		return "", 0
	}
	if len(words) > 3 && bytes.HasPrefix(words[0], []byte("OBJ.")) {
		id = string(words[2])
	}
	return id, length()
}

// answer measures the answer that c.answers begins with; 0, where it is not whole.
func (c *relayed) answer() int {
	whole := bytes.NewReader(c.answers)
	buffered := bufio.NewReader(whole)
	if c.relay.origin {
		response, err := http.ReadResponse(buffered, nil)
		if err != nil {
			return 0
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return 0
		}
	} else if skipReply(buffered) != nil {
		return 0
	}
	return len(c.answers) - whole.Len() - buffered.Buffered()
}

var errReply = errors.New("standin: no reply")

// skipReply reads over one reply.
func skipReply(in *bufio.Reader) error {
	line, err := in.ReadString('\n')
	if err != nil || len(line) < 3 {
		return errReply
	}
	kind := line[0]
	if kind != '$' && kind != '*' {
		return nil
	}
	n, err := strconv.Atoi(strings.TrimSpace(line[1:]))
	if err != nil {
		return errReply
	}
	if kind == '$' && n >= 0 {
		_, err = io.CopyN(io.Discard, in, int64(n)+2)
		return err
	}
	for range max(0, n) {
		if kind == '*' {
			if err := skipReply(in); err != nil {
				return err
			}
		}
	}
	return nil
}
