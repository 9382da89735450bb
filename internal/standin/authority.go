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
	Roots               []*Issuer
	notBefore, notAfter time.Time
	dir                 string
}

// NewAuthority makes so many roots and the files.
func NewAuthority(dir string, roots int) (*Authority, error) {
	a := &Authority{dir: dir, notBefore: time.Now().Add(-time.Hour), notAfter: time.Now().Add(time.Hour)}
	for i := range roots {
		root, err := NewIssuer(fmt.Sprint("root ", i), nil, a.notBefore, a.notAfter)
		if err != nil {
			return nil, err
		}
		a.Roots = append(a.Roots, root)
	}
	if _, err := a.RenewCertificate(); err != nil {
		return nil, err
	}
	return a, a.PublishRoots(a.Roots[0])
}

// Path is where a file of the authority's is.
func (a *Authority) Path(name string) string { return filepath.Join(a.dir, name) }

// WriteFile replaces a file, whole.
func (a *Authority) WriteFile(name string, text []byte) error {
	if err := os.WriteFile(a.Path(name)+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(a.Path(name)+".new", a.Path(name))
}

// RenewCertificate puts a new certificate of the listeners' in place.
func (a *Authority) RenewCertificate() (Certificate, error) {
	c, err := a.Roots[0].SignServer(a.notBefore, a.notAfter)
	if err != nil {
		return c, err
	}
	key, err := c.KeyPEM()
	if err == nil {
		err = a.WriteFile("key.pem", key)
	}
	if err == nil {
		err = a.WriteFile("cert.pem", PEM(c.Cert))
	}
	return c, err
}

// PublishRoots replaces the roots by these.
func (a *Authority) PublishRoots(roots ...*Issuer) error {
	var certs []*x509.Certificate
	for _, r := range roots {
		certs = append(certs, r.Cert)
	}
	return a.WriteFile("roots.pem", PEM(certs...))
}

// ClientConfig is a caller's, with a certificate of this name by this root; without one, if the name is empty.
func (a *Authority) ClientConfig(by *Issuer, name string) (*tls.Config, error) {
	cfg := &tls.Config{ServerName: "127.0.0.1", RootCAs: x509.NewCertPool()}
	cfg.RootCAs.AddCert(a.Roots[0].Cert)
	if name == "" {
		return cfg, nil
	}
	c, err := by.SignClient(a.notBefore, a.notAfter, name)
	if err != nil {
		return nil, err
	}
	own := c.TLSCertificate()
	// Shown whatever roots the listener says that it takes: what it makes of the wrong one is its matter.
	cfg.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &own, nil }
	return cfg, nil
}
