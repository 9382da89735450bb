package proxy

import (
	"crypto/tls"
	"net"
	"net/netip"
	"sync/atomic"
	"time"
)

const (
	// handshakeTimeout is how long a TLS handshake may take.
	handshakeTimeout = commandTimeout
	// tlsBufferBytes is a client's buffer where it speaks TLS: a record's text comes whole, and what would not fit stays where nobody sees
	// that it is there (RFC 8446, section 5.1).
	tlsBufferBytes = 16<<10 + 512
	// proofCheckInterval is how often it is looked whether the certificates of standing connections still prove what they did.
	proofCheckInterval = 250 * time.Millisecond
)

// tlsConn is the encrypted side of a client's connection.
type tlsConn struct {
	*tls.Conn
	mayHaveBuffered atomic.Bool // the latest read may have left text behind
}

func (s *tlsConn) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	s.mayHaveBuffered.Store(n == len(b))
	return n, err
}

// handshake makes the handshake, without the lock, and takes in what the client's certificate proves. One that proves nothing here is none:
// a token may still do.
func (c *client) handshake(cfg *tls.Config) error {
	s := &tlsConn{Conn: tls.Server(c.input, cfg)}
	c.conn.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := s.Handshake(); err != nil {
		return err
	}
	c.conn.SetDeadline(time.Time{})
	c.conn.SetReadDeadline(time.Now().Add(commandTimeout))
	state := s.ConnectionState()
	p, _ := c.proxy.cfg.Callers.Certificate(&state)
	c.proxy.enter()
	defer c.proxy.leave()
	if c.closed {
		return net.ErrClosed
	}
	c.lastActive = c.proxy.now
	c.stream, c.tls, c.certProof = s, s, p
	c.proof = p
	c.sender.WriteThrough(s)
	return nil
}

// closeWrite ends the sending side. A TLS connection says so first, which may wait for what the kernel takes.
func (c *client) closeWrite() {
	if c.tls == nil {
		c.conn.CloseWrite()
		return
	}
	go func(conn *net.TCPConn, s *tlsConn) {
		s.CloseWrite()
		conn.CloseWrite()
	}(c.conn, c.tls)
}

// closeConn closes the connection. What comes to a TLS client without its closing words might have been cut off by anyone.
func (c *client) closeConn() {
	if c.tls == nil {
		c.conn.Close()
		return
	}
	go c.tls.Close()
}

// checkProofs ends the connections whose certificate no longer proves what it did, once what is pending on them is answered.
func (f *redisFront) checkProofs() {
	if f.tlsConfig == nil || f.proxy.now < f.nextProofCheck {
		return
	}
	f.nextProofCheck = f.proxy.now + proofCheckInterval
	for c := range f.clients {
		if c.certProof != nil && !c.ended && f.proxy.cfg.Callers.Holds(c.certProof) != nil {
			f.proxy.log.Info("a client's certificate no longer holds", "tenant", c.certProof.Tenant, "subject", c.certProof.Subject)
			c.finishSending(true)
		}
	}
}

// RemoteAddrOf is the address that a connection comes from; the zero one, where it has none.
func RemoteAddrOf(conn net.Conn) netip.Addr {
	if a, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr()
	}
	return netip.Addr{}
}
