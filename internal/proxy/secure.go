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
	// tlsBufferBytes is the size of a TLS client's buffer: it holds the text of a whole record, as the rest
	// of a record that doesn't fit would be invisible to the proxy's checks for unread input (RFC 8446,
	// section 5.1).
	tlsBufferBytes = 16<<10 + 512
	// proofCheckInterval is how often the certificates of open connections are checked again.
	proofCheckInterval = 250 * time.Millisecond
)

// tlsConn is the TLS side of a client's connection.
type tlsConn struct {
	*tls.Conn
	mayHaveBuffered atomic.Bool // the latest read may have left decrypted text behind
}

func (s *tlsConn) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	s.mayHaveBuffered.Store(n == len(b))
	return n, err
}

// handshake performs the TLS handshake, without the lock, and records the identity that the client's
// certificate proves. A certificate that proves no identity here counts as none: the client may still send
// a token.
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
	c.proxy.beginEvent()
	defer c.proxy.endEvent()
	if c.closed {
		return net.ErrClosed
	}
	c.lastActive = c.proxy.now
	c.stream, c.tls, c.certProof = s, s, p
	c.proof = p
	c.sender.WriteThrough(s)
	return nil
}

// closeWrite closes the sending side. A TLS connection first sends a close alert, which may block until the
// kernel accepts it.
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

// closeConn closes the connection. A TLS client that sees the end without a close alert must assume that
// anyone may have truncated the stream.
func (c *client) closeConn() {
	if c.tls == nil {
		c.conn.Close()
		return
	}
	go c.tls.Close()
}

// checkProofs ends the connections whose certificate is no longer valid, once their pending commands are
// answered.
func (f *redisFront) checkProofs() {
	if f.tlsConfig == nil || f.proxy.now < f.nextProofCheck {
		return
	}
	f.nextProofCheck = f.proxy.now + proofCheckInterval
	for c := range f.clients {
		if c.certProof != nil && !c.ended && f.proxy.cfg.Callers.CheckProof(c.certProof) != nil {
			f.proxy.log.Info("client certificate is no longer valid; ending its connection", "tenant", c.certProof.Tenant, "subject", c.certProof.Subject)
			c.finishSending(true)
		}
	}
}

// RemoteAddrOf returns the IP address of a connection's peer; the zero address if it has none.
func RemoteAddrOf(conn net.Conn) netip.Addr {
	if a, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr()
	}
	return netip.Addr{}
}
