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

// The directions.
const (
	Forward Direction = iota // from who connects, or sends the datagram
	Backward
)

// Impairment is what a link does to what goes over it, in one direction. The zero value is a link that is well.
type Impairment struct {
	Blocked  bool          // nothing passes; connections stay open and silent
	Delay    time.Duration // what passes does so later
	LossRate float64       // share of datagrams lost; of connections, this share is reset as they are opened
}

// Link is one way between two processes, on loopback: whatever goes over it goes through here. Cut, it keeps what has come until it is
// healed, like a network whose ends go on trying; a connection that is opened meanwhile comes up and stays silent.
type Link struct {
	mu              sync.Mutex
	impairments     [2]Impairment
	changed         chan struct{} // closed and made anew with each change
	conns           map[net.Conn]struct{}
	idPrefix        []byte        // begins the ids of the cluster's requests
	requestBins     map[int64]int // requests of the cluster, by tenths of a second since start
	foreignRequests int           // commands of somebody else: ports are used again, and another proxy on this machine may ask at one for a while
	start           time.Time
	observe         func(from net.Conn) *standin.Observer // of a connection to a member; nil: none is watched
	onRequest       func(id, attrs string)                // told of each request that has been passed on; nil: nobody is
}

func newLink(start time.Time, own []byte) *Link {
	return &Link{changed: make(chan struct{}), conns: map[net.Conn]struct{}{}, idPrefix: own, requestBins: map[int64]int{}, start: start}
}

// Set sets the trouble of one direction.
func (l *Link) Set(w Direction, t Impairment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.impairments[w] = t
	close(l.changed)
	l.changed = make(chan struct{})
}

// SetBoth sets the trouble of both directions.
func (l *Link) SetBoth(t Impairment) {
	l.Set(Forward, t)
	l.Set(Backward, t)
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

// RequestsSent is how much has been sent Forth in the tenths of a second from one time to another: by the commands in what arrived.
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

// ForeignRequests is how many commands of somebody else have come Forth.
func (l *Link) ForeignRequests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.foreignRequests
}

// observeConns has the connections that come from now on watched.
func (l *Link) observeConns(watch func(from net.Conn) *standin.Observer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observe = watch
}

// notifyRequests has asked told of each request that has been passed on over connections that come from now on.
func (l *Link) notifyRequests(asked func(id, attrs string)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onRequest = asked
}

// awaitPassage waits until a piece that came then may go on; false: its connection has ended.
func (l *Link) awaitPassage(w Direction, came time.Time, ended <-chan struct{}) bool {
	return standin.AwaitRelease(ended, func() (bool, time.Time, <-chan struct{}) {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.impairments[w].Blocked, came.Add(l.impairments[w].Delay), l.changed
	})
}

// serve relays connections that come to a listener.
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

// holdFunc has what goes over a connection in one direction wait for its delay. An end passes like all else: a link that is cut hides it.
func (l *Link) holdFunc(w Direction, ended <-chan struct{}) func(came time.Time) bool {
	return func(came time.Time) bool { return l.awaitPassage(w, came, ended) }
}

// gossipRelay stands before an instance's address for the others, over UDP and TCP; who sends is told by the address that it comes from.
type gossipRelay struct {
	udp           net.PacketConn
	tcp           net.Listener
	target        string
	linkFrom      func(from net.IP) *Link
	datagramBytes atomic.Int64 // bytes of datagrams that came
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
		panic(fmt.Sprintf("cluster: %v", err)) // it was made of an address
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
