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

// errTooManyHandshakes ends a handshake before any cryptographic work.
var errTooManyHandshakes = errors.New("too many handshakes")

// tlsState holds the TLS settings of listeners: their certificate, the roots for client certificates, and
// the rules for what those prove. All files are reloaded together. Open connections keep the settings that
// they were made with, and are closed when CheckProof rejects their proof.
type tlsState struct {
	files  operator.TLS
	log    *slog.Logger
	now    func() time.Time
	config atomic.Pointer[tls.Config]     // for new connections
	certs  atomic.Pointer[identity.Certs] // decides what client certificates prove

	handshakesMu sync.Mutex // guards handshakes
	handshakes   *identity.RateLimiter

	// Guarded by Authenticator.filesMu.
	contents  [3][]byte // of cert, key and roots in force
	roots     []*x509.Certificate
	lastFault string
}

func newTLSState(cfg *operator.Identity, log *slog.Logger, now func() time.Time) (*tlsState, error) {
	state := &tlsState{files: cfg.TLS, log: log, now: now, handshakes: identity.NewRateLimiter(float64(cfg.TLS.Handshakes))}
	contents, err := state.readFiles()
	if err == nil {
		err = state.apply(contents, cfg.CertRules())
	}
	if err != nil {
		return nil, err
	}
	log.Info("listeners use TLS", "fronts", state.fronts(), "client_certificates", state.files.Client, "roots", len(state.roots),
		"rules", len(cfg.Certificates))
	return state, nil
}

func (d *tlsState) fronts() []string {
	if len(d.files.Fronts) > 0 {
		return d.files.Fronts
	}
	return []string{"resp2", "extproc"}
}

func (d *tlsState) readFiles() (contents [3][]byte, err error) {
	for i, path := range []string{d.files.Cert, d.files.Key, d.files.Roots} {
		if contents[i], err = readFile(path); err != nil {
			return contents, err
		}
	}
	return contents, nil
}

// apply puts the certificate, key and roots in force, either all or none.
func (d *tlsState) apply(contents [3][]byte, rules []identity.CertRule) error {
	certificate, err := tls.X509KeyPair(contents[0], contents[1])
	if err != nil {
		return fmt.Errorf("%s and %s: %w", d.files.Cert, d.files.Key, err)
	}
	roots, err := identity.ParseRoots(contents[2])
	if err != nil {
		return fmt.Errorf("%s: %w", d.files.Roots, err)
	}
	pool := x509.NewCertPool()
	for _, r := range roots {
		pool.AddCert(r)
	}
	clientAuth := tls.VerifyClientCertIfGiven
	if d.files.Client == "required" {
		clientAuth = tls.RequireAndVerifyClientCert
	}
	d.certs.Store(identity.NewCerts(rules, roots))
	d.config.Store(&tls.Config{
		MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{certificate}, ClientAuth: clientAuth, ClientCAs: pool, Time: d.now,
		NextProtos: []string{"h2"},
		// A resumed session brings the certificate chains of its first handshake, which the current roots
		// might not allow.
		SessionTicketsDisabled: true,
	})
	d.contents, d.roots = contents, roots
	return nil
}

// setRules replaces the rules and keeps the roots.
func (d *tlsState) setRules(rules []identity.CertRule) {
	d.certs.Store(identity.NewCerts(rules, d.roots))
}

// reload reads the files and applies them if they have changed and are valid together.
func (d *tlsState) reload(rules []identity.CertRule) {
	contents, err := d.readFiles()
	same := err == nil && slices.EqualFunc(contents[:], d.contents[:], bytes.Equal)
	if err == nil && !same {
		err = d.apply(contents, rules)
	}
	switch {
	case err != nil:
		if d.lastFault != err.Error() {
			d.log.Error("TLS files are unusable, the old ones stay in force", "err", err)
		}
		d.lastFault = err.Error()
	case !same:
		d.lastFault = ""
		d.log.Info("TLS files in force", "roots", len(d.roots))
	case d.lastFault != "":
		d.lastFault = ""
		d.log.Info("TLS files have their earlier contents again")
	}
}

// serverConfig returns the configuration of a listener. The settings in force are looked up for each
// handshake.
func (d *tlsState) serverConfig(alpn bool) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		d.handshakesMu.Lock()
		ok := d.handshakes.Allow(d.now())
		d.handshakesMu.Unlock()
		if !ok {
			return nil, errTooManyHandshakes
		}
		c := d.config.Load()
		if !alpn {
			c = c.Clone()
			c.NextProtos = nil
		}
		return c, nil
	}}
}

// TLS returns the configuration of a front end's listener, or nil if it uses no TLS.
func (a *Authenticator) TLS(front string) *tls.Config {
	if a.listenerTLS == nil || !slices.Contains(a.listenerTLS.fronts(), front) {
		return nil
	}
	return a.listenerTLS.serverConfig(front == "extproc")
}

// Certificate returns what the client certificate of a handshake proves. A caller without one may still
// send a token.
func (a *Authenticator) Certificate(s *tls.ConnectionState) (*identity.Proof, error) {
	if a.listenerTLS == nil {
		return nil, &identity.Error{Reason: identity.NoCredentials}
	}
	return a.listenerTLS.certs.Load().Check(a.now(), s.VerifiedChains)
}
