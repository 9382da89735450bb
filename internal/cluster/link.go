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

func newLink(start time.Time, idPrefix []byte) *Link {
	return &Link{changed: make(chan struct{}), conns: map[net.Conn]struct{}{}, idPrefix: idPrefix, requestBins: map[int64]int{}, start: start}
}

// Set sets the impairment of one direction.
func (l *Link) Set(direction Direction, impairment Impairment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.impairments[direction] = impairment
	close(l.changed)
	l.changed = make(chan struct{})
}

// SetBoth sets the impairment of both directions.
func (l *Link) SetBoth(impairment Impairment) {
	l.Set(Forward, impairment)
	l.Set(Backward, impairment)
}

// Reset resets all connections, as a crashing process does.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		reset(conn)
	}
}

func reset(conn net.Conn) {
	if tcpConn, ok := conn.(*net.TCPConn); ok {
		tcpConn.SetLinger(0)
	}
	conn.Close()
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
func (l *Link) observeConns(observe func(from net.Conn) *standin.Observer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observe = observe
}

// notifyRequests sets a function that is called for each request that later connections have forwarded.
func (l *Link) notifyRequests(onRequest func(id, attrs string)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onRequest = onRequest
}

// awaitPassage waits until a piece that arrived at the given time may pass. It returns false if the
// connection has ended.
func (l *Link) awaitPassage(direction Direction, arrivedAt time.Time, ended <-chan struct{}) bool {
	return standin.AwaitRelease(ended, func() (bool, time.Time, <-chan struct{}) {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.impairments[direction].Blocked, arrivedAt.Add(l.impairments[direction].Delay), l.changed
	})
}

// serve relays the connections of a listener.
func (l *Link) serve(listener net.Listener, to string) {
	standin.AcceptEach(listener, func(conn net.Conn) { go l.relay(conn, to) })
}

// relay relays one connection.
func (l *Link) relay(in net.Conn, to string) {
	l.mu.Lock()
	lossRate, observe, onRequest := l.impairments[Forward].LossRate, l.observe, l.onRequest
	l.mu.Unlock()
	if lossRate > 0 && rand.Float64() < lossRate {
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
	observer := &standin.Observer{}
	if observe != nil {
		observer = observe(in)
	}
	afterWrite := observer.MemberReceived
	if onRequest != nil {
		afterWrite = standin.ObserveRequests(onRequest).ProxyWrote
	}
	go func() {
		defer end()
		standin.Forward(out, in, ended, l.holdFunc(Backward, ended), standin.ForwardHooks{OnRead: observer.MemberReplied})
	}()
	defer end()
	onRead := func(b []byte) {
		l.countRequests(b)
		observer.ProxyWrote(b)
	}
	standin.Forward(in, out, ended, l.holdFunc(Forward, ended), standin.ForwardHooks{OnRead: onRead, BeforeWrite: observer.Forwarding, AfterWrite: afterWrite})
}

// holdFunc returns the hold function of standin.Forward for one direction of a connection. The end of a
// stream is held as well: a blocked link hides it.
func (l *Link) holdFunc(direction Direction, ended <-chan struct{}) func(arrivedAt time.Time) bool {
	return func(arrivedAt time.Time) bool { return l.awaitPassage(direction, arrivedAt, ended) }
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

func newGossipRelay(listenAddr, target string, linkFrom func(net.IP) *Link) (*gossipRelay, error) {
	udp, err := net.ListenPacket("udp", listenAddr)
	if err != nil {
		return nil, err
	}
	tcp, err := net.Listen("tcp", listenAddr)
	if err != nil {
		udp.Close()
		return nil, err
	}
	relay := &gossipRelay{udp: udp, tcp: tcp, target: target, linkFrom: linkFrom}
	go relay.relayDatagrams()
	go standin.AcceptEach(tcp, func(conn net.Conn) {
		if link := linkFrom(conn.RemoteAddr().(*net.TCPAddr).IP); link != nil {
			go link.relay(conn, target)
		} else {
			reset(conn)
		}
	})
	return relay, nil
}

func (g *gossipRelay) close() {
	g.udp.Close()
	g.tcp.Close()
}

func (g *gossipRelay) relayDatagrams() {
	target, err := net.ResolveUDPAddr("udp", g.target)
	if err != nil {
		panic(fmt.Sprintf("cluster: %v", err)) // it was built from an IP and a port
	}
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := g.udp.ReadFrom(buffer)
		if err != nil {
			return
		}
		g.datagramBytes.Add(int64(n))
		link := g.linkFrom(from.(*net.UDPAddr).IP)
		if link == nil {
			continue
		}
		link.mu.Lock()
		impairment := link.impairments[Forward]
		link.mu.Unlock()
		if impairment.Blocked || rand.Float64() < impairment.LossRate {
			continue
		}
		if impairment.Delay == 0 {
			g.udp.WriteTo(buffer[:n], target)
			continue
		}
		datagram := slices.Clone(buffer[:n])
		time.AfterFunc(impairment.Delay, func() { g.udp.WriteTo(datagram, target) })
	}
}
