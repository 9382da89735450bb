package standin

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/url"
	"strings"
	"time"
)

// Issuer signs certificates as an installation's own certificate authority would: for further issuers, for
// listeners on loopback and for clients.
type Issuer struct {
	Cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Certificate is a certificate with its private key.
type Certificate struct {
	Cert *x509.Certificate
	Key  *ecdsa.PrivateKey
}

// NewIssuer creates an issuer that is valid from one time until another, signed by another issuer or, if
// that is nil, self-signed.
func NewIssuer(name string, by *Issuer, from, until time.Time) (*Issuer, error) {
	c, err := by.sign(&x509.Certificate{Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotBefore: from, NotAfter: until})
	if err != nil {
		return nil, err
	}
	return &Issuer{c.Cert, c.Key}, nil
}

func (i *Issuer) sign(tmpl *x509.Certificate) (c Certificate, err error) {
	if c.Key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err != nil {
		return c, err
	}
	if tmpl.SerialNumber, err = rand.Int(rand.Reader, big.NewInt(1<<62)); err != nil {
		return c, err
	}
	parent, key := tmpl, c.Key
	if i != nil {
		parent, key = i.Cert, i.key
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, parent, &c.Key.PublicKey, key)
	if err != nil {
		return c, fmt.Errorf("sign: %w", err)
	}
	c.Cert, err = x509.ParseCertificate(der)
	return c, err
}

// SignClient signs a client certificate. Names with a scheme become URIs, all others DNS names.
func (i *Issuer) SignClient(from, until time.Time, names ...string) (Certificate, error) {
	tmpl := &x509.Certificate{Subject: pkix.Name{CommonName: "caller"}, NotBefore: from, NotAfter: until,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}}
	for _, n := range names {
		if !strings.Contains(n, "://") {
			tmpl.DNSNames = append(tmpl.DNSNames, n)
			continue
		}
		u, err := url.Parse(n)
		if err != nil {
			return Certificate{}, err
		}
		tmpl.URIs = append(tmpl.URIs, u)
	}
	return i.sign(tmpl)
}

// SignServer signs a certificate for a listener on loopback.
func (i *Issuer) SignServer(from, until time.Time) (Certificate, error) {
	return i.sign(&x509.Certificate{Subject: pkix.Name{CommonName: "listener"}, NotBefore: from, NotAfter: until,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}})
}

// PEM encodes certificates in the textual format of RFC 7468.
func PEM(certs ...*x509.Certificate) (text []byte) {
	for _, c := range certs {
		text = append(text, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c.Raw})...)
	}
	return text
}

// KeyPEM encodes the private key as PKCS #8 (RFC 5208) in PEM format.
func (c Certificate) KeyPEM() ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(c.Key)
	if err != nil {
		return nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), nil
}

// TLSCertificate returns the certificate for use in a TLS configuration.
func (c Certificate) TLSCertificate() tls.Certificate {
	return tls.Certificate{Certificate: [][]byte{c.Cert.Raw}, PrivateKey: c.Key}
}
