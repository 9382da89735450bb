package standin

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Authority is what an installation has for certificates: roots, and the files that a proxy reads, in a folder: cert.pem and key.pem of its
// listeners, by the first root, and roots.pem, which begins with the first root alone.
type Authority struct {
	Roots      []*Issuer
	from, till time.Time
	dir        string
}

// NewAuthority makes so many roots and the files.
func NewAuthority(dir string, roots int) (*Authority, error) {
	a := &Authority{dir: dir, from: time.Now().Add(-time.Hour), till: time.Now().Add(time.Hour)}
	for i := range roots {
		root, err := NewIssuer(fmt.Sprint("root ", i), nil, a.from, a.till)
		if err != nil {
			return nil, err
		}
		a.Roots = append(a.Roots, root)
	}
	if _, err := a.Renew(); err != nil {
		return nil, err
	}
	return a, a.Publish(a.Roots[0])
}

// Path is where a file of the authority's is.
func (a *Authority) Path(name string) string { return filepath.Join(a.dir, name) }

// Put replaces a file, whole.
func (a *Authority) Put(name string, text []byte) error {
	if err := os.WriteFile(a.Path(name)+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(a.Path(name)+".new", a.Path(name))
}

// Renew puts a new certificate of the listeners' in place.
func (a *Authority) Renew() (Certificate, error) {
	c, err := a.Roots[0].Listener(a.from, a.till)
	if err != nil {
		return c, err
	}
	key, err := c.KeyPEM()
	if err == nil {
		err = a.Put("key.pem", key)
	}
	if err == nil {
		err = a.Put("cert.pem", PEM(c.Cert))
	}
	return c, err
}

// Publish replaces the roots by these.
func (a *Authority) Publish(roots ...*Issuer) error {
	var certs []*x509.Certificate
	for _, r := range roots {
		certs = append(certs, r.Cert)
	}
	return a.Put("roots.pem", PEM(certs...))
}

// Config is a caller's, with a certificate of this name by this root; without one, if the name is empty.
func (a *Authority) Config(by *Issuer, name string) (*tls.Config, error) {
	cfg := &tls.Config{ServerName: "127.0.0.1", RootCAs: x509.NewCertPool()}
	cfg.RootCAs.AddCert(a.Roots[0].Cert)
	if name == "" {
		return cfg, nil
	}
	c, err := by.Caller(a.from, a.till, name)
	if err != nil {
		return nil, err
	}
	own := c.TLS()
	// Shown whatever roots the listener says that it takes: what it makes of the wrong one is its matter.
	cfg.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &own, nil }
	return cfg, nil
}
