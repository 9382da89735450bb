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

// proofsEvery is how often it is looked whether the certificates of standing connections still prove what they did.
const proofsEvery = 250 * time.Millisecond

// doorCreds is TLS whose handshakes leave with the connection what the caller's certificate proves.
type doorCreds struct {
	credentials.TransportCredentials
	f *Front
}

func (d doorCreds) ServerHandshake(raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	conn, info, err := d.TransportCredentials.ServerHandshake(raw)
	if err != nil {
		return nil, nil, err
	}
	c, counts := raw.(*counted)
	t, secure := info.(credentials.TLSInfo)
	if !counts || !secure {
		return conn, info, nil
	}
	// One that proves nothing here is none: a token may still do.
	if proof, err := d.f.p.Callers().Certificate(&t.State); err == nil {
		d.f.p.Do(func() {
			if c.cert = proof; !c.closed {
				d.f.proven[c] = struct{}{}
			}
		})
	}
	return conn, info, nil
}

func (d doorCreds) Clone() credentials.TransportCredentials {
	return doorCreds{d.TransportCredentials.Clone(), d.f}
}

// connOf is the connection that a stream came by; nil, if that can't be told.
func connOf(ctx context.Context) *counted {
	if from, ok := peer.FromContext(ctx); ok {
		if a, ok := from.Addr.(remoteAddr); ok {
			return a.conn
		}
	}
	return nil
}

// from is the address that a stream came from; the zero one, where that can't be told.
func (s *stream) from() netip.Addr {
	if s.conn == nil {
		return netip.Addr{}
	}
	return proxy.RemoteAddrOf(s.conn.Conn)
}

// byCertificate is what the certificate proves of the connection that a stream came by; nil, if nothing.
func (s *stream) byCertificate() (p *identity.Proof) {
	if s.conn != nil {
		s.f.p.Do(func() { p = s.conn.cert })
	}
	return p
}

// sweepProofs ends, under the host's lock, connections whose certificate no longer proves what it did: no stream is taken on them
// from now on, and each is closed with the end of its last one.
func (f *Front) sweepProofs(now time.Duration) {
	if len(f.proven) == 0 || now < f.proofsAt {
		return
	}
	f.proofsAt = now + proofsEvery
	for c := range f.proven {
		if !c.ending && f.p.Callers().Holds(c.cert) != nil {
			f.log.Info("a caller's certificate no longer holds", "tenant", c.cert.Tenant, "subject", c.cert.Subject)
			c.ending = true
			c.left()
		}
	}
}

// left closes, under the host's lock, a connection that is to end and carries no stream.
func (c *counted) left() {
	if c.ending && c.streams == 0 {
		go c.Close() // it takes the lock
	}
}
