package standin

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Authority is the certificate authority of an installation. It holds the root issuers and writes the
// files that a proxy reads, all in one directory: cert.pem and key.pem of its listeners, signed by the
// first root, and roots.pem, which at first contains the first root alone.
type Authority struct {
	Roots               []*Issuer
	notBefore, notAfter time.Time
	dir                 string
}

// NewAuthority creates the given number of roots and writes the files.
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

// Path returns the path of one of the authority's files.
func (a *Authority) Path(name string) string { return filepath.Join(a.dir, name) }

// WriteFile replaces a file atomically.
func (a *Authority) WriteFile(name string, text []byte) error {
	if err := os.WriteFile(a.Path(name)+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(a.Path(name)+".new", a.Path(name))
}

// RenewCertificate writes a new certificate and key for the listeners.
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

// PublishRoots replaces the published roots with the given ones.
func (a *Authority) PublishRoots(roots ...*Issuer) error {
	var certs []*x509.Certificate
	for _, r := range roots {
		certs = append(certs, r.Cert)
	}
	return a.WriteFile("roots.pem", PEM(certs...))
}

// ClientConfig returns a client's TLS configuration, with a certificate for the name signed by the given
// root, or without a certificate if the name is empty.
func (a *Authority) ClientConfig(issuer *Issuer, name string) (*tls.Config, error) {
	config := &tls.Config{ServerName: "127.0.0.1", RootCAs: x509.NewCertPool()}
	config.RootCAs.AddCert(a.Roots[0].Cert)
	if name == "" {
		return config, nil
	}
	signed, err := issuer.SignClient(a.notBefore, a.notAfter, name)
	if err != nil {
		return nil, err
	}
	cert := signed.TLSCertificate()
	// The certificate is sent whichever roots the listener announces as accepted, so that the listener has
	// to verify a certificate of the wrong root.
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &cert, nil }
	return config, nil
}
