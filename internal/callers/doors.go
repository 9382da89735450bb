package callers

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"linenloom/internal/identity"
	"linenloom/internal/operator"
)

// errTooMany ends a handshake before anything is computed for it.
var errTooMany = errors.New("too many handshakes")

// doors is what listeners need to speak TLS: their certificate, the roots of their callers', and what those prove. All of it is read
// again together: connections that stand keep what they were made with, and are ended by what Holds says of their proof.
type doors struct {
	files  operator.TLS
	log    *slog.Logger
	now    func() time.Time
	config atomic.Pointer[tls.Config]     // for new connections
	certs  atomic.Pointer[identity.Certs] // what certificates prove

	mu         sync.Mutex // of handshakes
	handshakes *identity.RateLimiter

	// Under the Gate's files.
	texts [3][]byte // of cert, key and roots in force
	roots []*x509.Certificate
	fault string
}

func newDoors(cfg *operator.Identity, log *slog.Logger, now func() time.Time) (*doors, error) {
	d := &doors{files: cfg.TLS, log: log, now: now, handshakes: identity.NewRateLimiter(float64(cfg.TLS.Handshakes))}
	texts, err := d.read()
	if err == nil {
		err = d.put(texts, cfg.CertRules())
	}
	if err != nil {
		return nil, err
	}
	log.Info("listeners speak TLS", "fronts", d.fronts(), "client_certificates", d.files.Client, "roots", len(d.roots),
		"rules", len(cfg.Certificates))
	return d, nil
}

func (d *doors) fronts() []string {
	if len(d.files.Fronts) > 0 {
		return d.files.Fronts
	}
	return []string{"resp2", "extproc"}
}

func (d *doors) read() (texts [3][]byte, err error) {
	for i, path := range []string{d.files.Cert, d.files.Key, d.files.Roots} {
		if texts[i], err = read(path); err != nil {
			return texts, err
		}
	}
	return texts, nil
}

// put puts certificate, key and roots in force, all or none.
func (d *doors) put(texts [3][]byte, rules []identity.CertRule) error {
	own, err := tls.X509KeyPair(texts[0], texts[1])
	if err != nil {
		return fmt.Errorf("%s and %s: %w", d.files.Cert, d.files.Key, err)
	}
	roots, err := identity.ParseRoots(texts[2])
	if err != nil {
		return fmt.Errorf("%s: %w", d.files.Roots, err)
	}
	pool := x509.NewCertPool()
	for _, r := range roots {
		pool.AddCert(r)
	}
	ask := tls.VerifyClientCertIfGiven
	if d.files.Client == "required" {
		ask = tls.RequireAndVerifyClientCert
	}
	d.certs.Store(identity.NewCerts(rules, roots))
	d.config.Store(&tls.Config{
		MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{own}, ClientAuth: ask, ClientCAs: pool, Time: d.now,
		NextProtos: []string{"h2"},
		// A session taken up again brings the chains of its first handshake along, which the roots of today might not allow.
		SessionTicketsDisabled: true,
	})
	d.texts, d.roots = texts, roots
	return nil
}

// rule puts other rules in force, with the roots as they are.
func (d *doors) rule(rules []identity.CertRule) { d.certs.Store(identity.NewCerts(rules, d.roots)) }

// look reads the files, and puts them in force if they have changed and fit together.
func (d *doors) look(rules []identity.CertRule) {
	texts, err := d.read()
	same := err == nil && slices.EqualFunc(texts[:], d.texts[:], bytes.Equal)
	if err == nil && !same {
		err = d.put(texts, rules)
	}
	switch {
	case err != nil:
		if d.fault != err.Error() {
			d.log.Error("TLS files can't be used, the old ones stay in force", "err", err)
		}
		d.fault = err.Error()
	case !same:
		d.fault = ""
		d.log.Info("TLS files in force", "roots", len(d.roots))
	case d.fault != "":
		d.fault = ""
		d.log.Info("TLS files are as they were before the fault")
	}
}

// serverConfig is for a listener. What is in force is looked up with each handshake.
func (d *doors) serverConfig(alpn bool) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		d.mu.Lock()
		ok := d.handshakes.Allow(d.now())
		d.mu.Unlock()
		if !ok {
			return nil, errTooMany
		}
		c := d.config.Load()
		if !alpn {
			c = c.Clone()
			c.NextProtos = nil
		}
		return c, nil
	}}
}

// TLS is the configuration of a front's listener; nil: it speaks plainly.
func (g *Gate) TLS(front string) *tls.Config {
	if g.doors == nil || !slices.Contains(g.doors.fronts(), front) {
		return nil
	}
	return g.doors.serverConfig(front == "extproc")
}

// Certificate tells what the certificate proves that a handshake has verified. A caller without one may still bring a token.
func (g *Gate) Certificate(s *tls.ConnectionState) (*identity.Proof, error) {
	if g.doors == nil {
		return nil, &identity.Error{Reason: identity.NoCredentials}
	}
	return g.doors.certs.Load().Check(g.now(), s.VerifiedChains)
}
