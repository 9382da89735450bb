package cluster

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"linenloom/internal/standin"
)

// Way is a direction of a link.
type Way uint8

// The directions.
const (
	Forth Way = iota // from who connects, or sends the datagram
	Back
)

// Trouble is what a link does to what goes over it, in one direction. The zero value is a link that is well.
type Trouble struct {
	Cut   bool          // nothing passes; connections stay open and silent
	Delay time.Duration // what passes does so later
	Lose  float64       // share of datagrams lost; of connections, this share is reset as they are opened
}

// Link is one way between two processes, on loopback: whatever goes over it goes through here. Cut, it keeps what has come until it is
// healed, like a network whose ends go on trying; a connection that is opened meanwhile comes up and stays silent.
type Link struct {
	mu      sync.Mutex
	trouble [2]Trouble
	changed chan struct{} // closed and made anew with each change
	conns   map[net.Conn]struct{}
	own     []byte        // begins the ids of the cluster's requests
	bins    map[int64]int // requests of the cluster, by tenths of a second since start
	strange int           // commands of somebody else: ports are used again, and another proxy on this machine may ask at one for a while
	start   time.Time
	watch   func(from net.Conn) *standin.Observer // of a connection to a member; nil: none is watched
	asked   func(id, attrs string)                // told of each request that has been passed on; nil: nobody is
}

func newLink(start time.Time, own []byte) *Link {
	return &Link{changed: make(chan struct{}), conns: map[net.Conn]struct{}{}, own: own, bins: map[int64]int{}, start: start}
}

// Set sets the trouble of one direction.
func (l *Link) Set(w Way, t Trouble) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trouble[w] = t
	close(l.changed)
	l.changed = make(chan struct{})
}

// Both sets the trouble of both directions.
func (l *Link) Both(t Trouble) {
	l.Set(Forth, t)
	l.Set(Back, t)
}

// Reset ends all connections at once, as a process that dies does.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// Sent is how much has been sent Forth in the tenths of a second from one time to another: by the commands in what arrived.
func (l *Link) Sent(from, to time.Time) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for b := l.bin(from); b < l.bin(to); b++ {
		n += l.bins[b]
	}
	return n
}

func (l *Link) bin(at time.Time) int64 { return int64(at.Sub(l.start) / (100 * time.Millisecond)) }

// count counts the requests in a piece.
func (l *Link) count(b []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := bytes.Count(b, l.own)
	l.bins[l.bin(time.Now())] += own
	l.strange += max(0, bytes.Count(b, []byte("OBJ."))-own)
}

// Strange is how many commands of somebody else have come Forth.
func (l *Link) Strange() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.strange
}

// watched has the connections that come from now on watched.
func (l *Link) watched(watch func(from net.Conn) *standin.Observer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watch = watch
}

// passing has asked told of each request that has been passed on over connections that come from now on.
func (l *Link) passing(asked func(id, attrs string)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked = asked
}

// pass waits until a piece that came then may go on; false: its connection has ended.
func (l *Link) pass(w Way, came time.Time, ended <-chan struct{}) bool {
	return standin.AwaitRelease(ended, func() (bool, time.Time, <-chan struct{}) {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.trouble[w].Cut, came.Add(l.trouble[w].Delay), l.changed
	})
}

// tcp relays connections that come to a listener.
func (l *Link) tcp(from net.Listener, to string) {
	standin.AcceptEach(from, func(conn net.Conn) { go l.relay(conn, to) })
}

// relay relays one connection.
func (l *Link) relay(in net.Conn, to string) {
	l.mu.Lock()
	lose, watch, asked := l.trouble[Forth].Lose, l.watch, l.asked
	l.mu.Unlock()
	if lose > 0 && rand.Float64() < lose {
		reset(in)
		return
	}
	out, err := net.DialTimeout("tcp", to, 5*time.Second)
	if err != nil {
		reset(in)
		return
	}
	ended := make(chan struct{})
	end := sync.OnceFunc(func() {
		close(ended)
		l.mu.Lock()
		delete(l.conns, in)
		delete(l.conns, out)
		l.mu.Unlock()
		in.Close()
		out.Close()
	})
	l.mu.Lock()
	l.conns[in], l.conns[out] = struct{}{}, struct{}{}
	l.mu.Unlock()
	w := &standin.Observer{}
	if watch != nil {
		w = watch(in)
	}
	passed := w.MemberReceived
	if asked != nil {
		passed = standin.ObserveRequests(asked).ProxyWrote
	}
	go func() {
		defer end()
		standin.Forward(out, in, ended, l.holding(Back, ended), standin.ForwardHooks{OnRead: w.MemberReplied})
	}()
	defer end()
	took := func(b []byte) {
		l.count(b)
		w.ProxyWrote(b)
	}
	standin.Forward(in, out, ended, l.holding(Forth, ended), standin.ForwardHooks{OnRead: took, BeforeWrite: w.Forwarding, AfterWrite: passed})
}

// holding has what goes over a connection in one direction wait for its delay. An end passes like all else: a link that is cut hides it.
func (l *Link) holding(w Way, ended <-chan struct{}) func(came time.Time) bool {
	return func(came time.Time) bool { return l.pass(w, came, ended) }
}

// gossip stands before an instance's address for the others, over UDP and TCP; who sends is told by the address that it comes from.
type gossip struct {
	udp  net.PacketConn
	tcp  net.Listener
	to   string
	link func(from net.IP) *Link
	sent atomic.Int64 // bytes of datagrams that came
}

func newGossip(at, to string, link func(net.IP) *Link) (*gossip, error) {
	udp, err := net.ListenPacket("udp", at)
	if err != nil {
		return nil, err
	}
	tcp, err := net.Listen("tcp", at)
	if err != nil {
		udp.Close()
		return nil, err
	}
	g := &gossip{udp: udp, tcp: tcp, to: to, link: link}
	go g.packets()
	go standin.AcceptEach(tcp, func(conn net.Conn) {
		if l := link(conn.RemoteAddr().(*net.TCPAddr).IP); l != nil {
			go l.relay(conn, to)
		} else {
			reset(conn)
		}
	})
	return g, nil
}

func (g *gossip) close() {
	g.udp.Close()
	g.tcp.Close()
}

func (g *gossip) packets() {
	to, err := net.ResolveUDPAddr("udp", g.to)
	if err != nil {
		panic(fmt.Sprintf("cluster: %v", err)) // it was made of an address
	}
	buf := make([]byte, 64<<10)
	for {
		n, from, err := g.udp.ReadFrom(buf)
		if err != nil {
			return
		}
		g.sent.Add(int64(n))
		l := g.link(from.(*net.UDPAddr).IP)
		if l == nil {
			continue
		}
		l.mu.Lock()
		t := l.trouble[Forth]
		l.mu.Unlock()
		if t.Cut || rand.Float64() < t.Lose {
			continue
		}
		if t.Delay == 0 {
			g.udp.WriteTo(buf[:n], to)
			continue
		}
		b := slices.Clone(buf[:n])
		time.AfterFunc(t.Delay, func() { g.udp.WriteTo(b, to) })
	}
}
