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

// proofCheckInterval is how often it is looked whether the certificates of standing connections still prove what they did.
const proofCheckInterval = 250 * time.Millisecond

// certificateCreds is TLS whose handshakes leave with the connection what the caller's certificate proves.
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
	// One that proves nothing here is none: a token may still do.
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

// connOf is the connection that a stream came by; nil, if that can't be told.
func connOf(ctx context.Context) *countedConn {
	if from, ok := peer.FromContext(ctx); ok {
		if a, ok := from.Addr.(remoteAddr); ok {
			return a.conn
		}
	}
	return nil
}

// remoteIP is the address that a stream came from; the zero one, where that can't be told.
func (s *stream) remoteIP() netip.Addr {
	if s.conn == nil {
		return netip.Addr{}
	}
	return proxy.AddrOf(s.conn.Conn)
}

// certificateProof is what the certificate proves of the connection that a stream came by; nil, if nothing.
func (s *stream) certificateProof() (p *identity.Proof) {
	if s.conn != nil {
		s.front.host.Do(func() { p = s.conn.proof })
	}
	return p
}

// checkProofs ends, under the host's lock, connections whose certificate no longer proves what it did: no stream is taken on them
// from now on, and each is closed with the end of its last one.
func (f *Front) checkProofs(now time.Duration) {
	if len(f.certConns) == 0 || now < f.nextProofCheck {
		return
	}
	f.nextProofCheck = now + proofCheckInterval
	for c := range f.certConns {
		if !c.closing && f.host.Callers().Holds(c.proof) != nil {
			f.log.Info("a caller's certificate no longer holds", "tenant", c.proof.Tenant, "subject", c.proof.Subject)
			c.closing = true
			c.closeIfUnused()
		}
	}
}

// closeIfUnused closes, under the host's lock, a connection that is to end and carries no stream.
func (c *countedConn) closeIfUnused() {
	if c.closing && c.streams == 0 {
		go c.Close() // it takes the lock
	}
}
