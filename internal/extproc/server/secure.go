package server

import (
	"context"
	"net"
	"net/netip"
	"time"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"

	"linenloom/internal/identity"
	"linenloom/internal/proxy"
)

// proofCheckInterval is how often the certificates of open connections are checked again.
const proofCheckInterval = 250 * time.Millisecond

// certificateCreds is TLS that records in the connection what the client's certificate proves.
type certificateCreds struct {
	credentials.TransportCredentials
	front *Front
}

func (d certificateCreds) ServerHandshake(raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	conn, info, err := d.TransportCredentials.ServerHandshake(raw)
	if err != nil {
		return nil, nil, err
	}
	c, counts := raw.(*countedConn)
	t, secure := info.(credentials.TLSInfo)
	if !counts || !secure {
		return conn, info, nil
	}
	// A certificate that proves nothing here is ignored; a token can still authenticate the caller.
	if proof, err := d.front.host.Callers().Certificate(&t.State); err == nil {
		d.front.host.Do(func() {
			if c.proof = proof; !c.closed {
				d.front.certConns[c] = struct{}{}
			}
		})
	}
	return conn, info, nil
}

func (d certificateCreds) Clone() credentials.TransportCredentials {
	return certificateCreds{d.TransportCredentials.Clone(), d.front}
}

// connOf returns the connection that carries a stream, or nil if it is unknown.
func connOf(ctx context.Context) *countedConn {
	if from, ok := peer.FromContext(ctx); ok {
		if a, ok := from.Addr.(remoteAddr); ok {
			return a.conn
		}
	}
	return nil
}

// remoteIP returns the address that a stream came from, or the zero address if it is unknown.
func (s *stream) remoteIP() netip.Addr {
	if s.conn == nil {
		return netip.Addr{}
	}
	return proxy.RemoteAddrOf(s.conn.Conn)
}

// certificateProof returns what the connection's certificate proves, or nil.
func (s *stream) certificateProof() (p *identity.Proof) {
	if s.conn != nil {
		s.front.host.Do(func() { p = s.conn.proof })
	}
	return p
}

// checkProofs closes connections whose certificate no longer proves what it did: they accept no new
// streams, and each is closed after its last one. The host's lock must be held.
func (f *Front) checkProofs(now time.Duration) {
	if len(f.certConns) == 0 || now < f.nextProofCheck {
		return
	}
	f.nextProofCheck = now + proofCheckInterval
	for c := range f.certConns {
		if !c.closing && f.host.Callers().CheckProof(c.proof) != nil {
			f.log.Info("client certificate is no longer valid", "tenant", c.proof.Tenant, "subject", c.proof.Subject)
			c.closing = true
			c.closeIfUnused()
		}
	}
}

// closeIfUnused closes a closing connection that carries no stream. The host's lock must be held.
func (c *countedConn) closeIfUnused() {
	if c.closing && c.streams == 0 {
		go c.Close() // Close takes the host's lock
	}
}
