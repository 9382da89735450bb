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

// Direction is a direction of a link.
type Direction uint8

// Directions of a link.
const (
	Forward Direction = iota // from the side that connects or sends the datagram
	Backward
)

// Impairment is what a link does to traffic in one direction. The zero value is a healthy link.
type Impairment struct {
	Blocked  bool          // nothing passes; connections stay open and silent
	Delay    time.Duration // added to all traffic
	LossRate float64       // share of datagrams that are lost, and of connections that are reset on opening
}

// Link relays all traffic between two processes on loopback. While it is blocked it holds what it has
// received until it is restored, as a network whose ends keep retransmitting; connections opened meanwhile
// are established and stay silent.
type Link struct {
	mu              sync.Mutex
	impairments     [2]Impairment
	changed         chan struct{} // closed and replaced on each change
	conns           map[net.Conn]struct{}
	idPrefix        []byte        // of the ids of the cluster's requests
	requestBins     map[int64]int // the cluster's requests, by tenths of a second since start
	foreignRequests int           // ports are reused, so another proxy on this machine may connect for a while
	start           time.Time
	observe         func(from net.Conn) *standin.Observer // for each connection to a member; may be nil
	// called for each request that has been forwarded; may be nil
	onRequest func(id, attrs string)
}

func newLink(start time.Time, own []byte) *Link {
	return &Link{changed: make(chan struct{}), conns: map[net.Conn]struct{}{}, idPrefix: own, requestBins: map[int64]int{}, start: start}
}

// Set sets the impairment of one direction.
func (l *Link) Set(w Direction, t Impairment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.impairments[w] = t
	close(l.changed)
	l.changed = make(chan struct{})
}

// SetBoth sets the impairment of both directions.
func (l *Link) SetBoth(t Impairment) {
	l.Set(Forward, t)
	l.Set(Backward, t)
}

// Reset resets all connections, as a crashing process does.
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

// RequestsSent returns how many requests were sent in the Forward direction in a period, to a tenth of a
// second. It counts the commands in the bytes received.
func (l *Link) RequestsSent(from, to time.Time) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for b := l.binIndex(from); b < l.binIndex(to); b++ {
		n += l.requestBins[b]
	}
	return n
}

func (l *Link) binIndex(at time.Time) int64 { return int64(at.Sub(l.start) / (100 * time.Millisecond)) }

// countRequests counts the requests in a piece.
func (l *Link) countRequests(b []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := bytes.Count(b, l.idPrefix)
	l.requestBins[l.binIndex(time.Now())] += own
	l.foreignRequests += max(0, bytes.Count(b, []byte("OBJ."))-own)
}

// ForeignRequests returns how many commands of other clusters were received in the Forward direction.
func (l *Link) ForeignRequests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.foreignRequests
}

// observeConns sets the function that returns the observers of later connections.
func (l *Link) observeConns(watch func(from net.Conn) *standin.Observer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observe = watch
}

// notifyRequests sets a function that is called for each request that later connections have forwarded.
func (l *Link) notifyRequests(asked func(id, attrs string)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onRequest = asked
}

// awaitPassage waits until a piece that arrived at the given time may pass. It returns false if the
// connection has ended.
func (l *Link) awaitPassage(w Direction, came time.Time, ended <-chan struct{}) bool {
	return standin.AwaitRelease(ended, func() (bool, time.Time, <-chan struct{}) {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.impairments[w].Blocked, came.Add(l.impairments[w].Delay), l.changed
	})
}

// serve relays the connections of a listener.
func (l *Link) serve(from net.Listener, to string) {
	standin.AcceptEach(from, func(conn net.Conn) { go l.relay(conn, to) })
}

// relay relays one connection.
func (l *Link) relay(in net.Conn, to string) {
	l.mu.Lock()
	lose, watch, asked := l.impairments[Forward].LossRate, l.observe, l.onRequest
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
		standin.Forward(out, in, ended, l.holdFunc(Backward, ended), standin.ForwardHooks{OnRead: w.MemberReplied})
	}()
	defer end()
	took := func(b []byte) {
		l.countRequests(b)
		w.ProxyWrote(b)
	}
	standin.Forward(in, out, ended, l.holdFunc(Forward, ended), standin.ForwardHooks{OnRead: took, BeforeWrite: w.Forwarding, AfterWrite: passed})
}

// holdFunc returns the hold function of standin.Forward for one direction of a connection. The end of a
// stream is held as well: a blocked link hides it.
func (l *Link) holdFunc(w Direction, ended <-chan struct{}) func(came time.Time) bool {
	return func(came time.Time) bool { return l.awaitPassage(w, came, ended) }
}

// gossipRelay relays UDP and TCP to an instance's gossip address. The source address determines the
// sending instance.
type gossipRelay struct {
	udp           net.PacketConn
	tcp           net.Listener
	target        string
	linkFrom      func(from net.IP) *Link
	datagramBytes atomic.Int64 // received
}

func newGossipRelay(at, to string, link func(net.IP) *Link) (*gossipRelay, error) {
	udp, err := net.ListenPacket("udp", at)
	if err != nil {
		return nil, err
	}
	tcp, err := net.Listen("tcp", at)
	if err != nil {
		udp.Close()
		return nil, err
	}
	g := &gossipRelay{udp: udp, tcp: tcp, target: to, linkFrom: link}
	go g.relayDatagrams()
	go standin.AcceptEach(tcp, func(conn net.Conn) {
		if l := link(conn.RemoteAddr().(*net.TCPAddr).IP); l != nil {
			go l.relay(conn, to)
		} else {
			reset(conn)
		}
	})
	return g, nil
}

func (g *gossipRelay) close() {
	g.udp.Close()
	g.tcp.Close()
}

func (g *gossipRelay) relayDatagrams() {
	to, err := net.ResolveUDPAddr("udp", g.target)
	if err != nil {
		panic(fmt.Sprintf("cluster: %v", err)) // it was built from an IP and a port
	}
	buf := make([]byte, 64<<10)
	for {
		n, from, err := g.udp.ReadFrom(buf)
		if err != nil {
			return
		}
		g.datagramBytes.Add(int64(n))
		l := g.linkFrom(from.(*net.UDPAddr).IP)
		if l == nil {
			continue
		}
		l.mu.Lock()
		t := l.impairments[Forward]
		l.mu.Unlock()
		if t.Blocked || rand.Float64() < t.LossRate {
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
