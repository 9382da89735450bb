package proxy

import (
	"crypto/tls"
	"net"
	"net/netip"
	"sync/atomic"
	"time"
)

const (
	// handshakeTime is how long a TLS handshake may take.
	handshakeTime = commandTime
	// tlsBuffer is a client's buffer where it speaks TLS: a record's text comes whole, and what would not fit stays where nobody sees
	// that it is there (RFC 8446, section 5.1).
	tlsBuffer = 16<<10 + 512
	// proofsEvery is how often it is looked whether the certificates of standing connections still prove what they did.
	proofsEvery = 250 * time.Millisecond
)

// secured is the encrypted side of a client's connection.
type secured struct {
	*tls.Conn
	undecoded atomic.Bool // the latest read may have left text behind
}

func (s *secured) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	s.undecoded.Store(n == len(b))
	return n, err
}

// secure makes the handshake, without the lock, and takes in what the client's certificate proves. One that proves nothing here is none:
// a token may still do.
func (c *client) secure(cfg *tls.Config) error {
	s := &secured{Conn: tls.Server(c.intake, cfg)}
	c.conn.SetDeadline(time.Now().Add(handshakeTime))
	if err := s.Handshake(); err != nil {
		return err
	}
	c.conn.SetDeadline(time.Time{})
	c.conn.SetReadDeadline(time.Now().Add(commandTime))
	state := s.ConnectionState()
	p, _ := c.p.cfg.Callers.Certificate(&state)
	c.p.beginEvent()
	defer c.p.endEvent()
	if c.closed {
		return net.ErrClosed
	}
	c.active = c.p.now
	c.stream, c.tls, c.cert = s, s, p
	c.proof = p
	c.w.WriteThrough(s)
	return nil
}

// endSending ends the sending side. A TLS connection says so first, which may wait for what the kernel takes.
func (c *client) endSending() {
	if c.tls == nil {
		c.conn.CloseWrite()
		return
	}
	go func(conn *net.TCPConn, s *secured) {
		s.CloseWrite()
		conn.CloseWrite()
	}(c.conn, c.tls)
}

// shut closes the connection. What comes to a TLS client without its closing words might have been cut off by anyone.
func (c *client) shut() {
	if c.tls == nil {
		c.conn.Close()
		return
	}
	go c.tls.Close()
}

// sweepProofs ends the connections whose certificate no longer proves what it did, once what is pending on them is answered.
func (f *redisFront) sweepProofs() {
	if f.tls == nil || f.p.now < f.proofsAt {
		return
	}
	f.proofsAt = f.p.now + proofsEvery
	for c := range f.clients {
		if c.cert != nil && !c.ended && f.p.cfg.Callers.Holds(c.cert) != nil {
			f.p.log.Info("a client's certificate no longer holds", "tenant", c.cert.Tenant, "subject", c.cert.Subject)
			c.hangUp(true)
		}
	}
}

// AddrOf is the address that a connection comes from; the zero one, where it has none.
func AddrOf(conn net.Conn) netip.Addr {
	if a, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr()
	}
	return netip.Addr{}
}
