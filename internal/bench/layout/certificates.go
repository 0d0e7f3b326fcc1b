package layout

// This file defines the certificates of an installation: one authority and one
// certificate per balancer.

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/process/settings"
)

// validity is the lifetime of the certificates.
const validity = 30 * 24 * time.Hour

type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func (l *Layout) writeCertificates() error {
	a, err := l.writeAuthority()
	if err != nil {
		return err
	}
	for n := 1; n <= l.Size.Balancers; n++ {
		if err := l.writeCertificate(a, n); err != nil {
			return err
		}
	}
	return nil
}

func (l *Layout) writeAuthority() (*authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "layout")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "tamaracktiller bench authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(validity),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "layout")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "layout")
	}
	return &authority{certificate: certificate, key: key}, l.writePEM("authority.pem", "CERTIFICATE", der)
}

// writeCertificate writes the certificate and key of a balancer. The common name is the
// name of the balancer, by which links between balancers identify it.
func (l *Layout) writeCertificate(a *authority, n int) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "layout")
	}
	name := balancerName(n)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(int64(n) + 1), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(validity),
		DNSNames: []string{settings.PeerServerName}, IPAddresses: []net.IP{l.Callers(n).Addr().AsSlice()},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return errors.Wrap(err, "layout")
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "layout")
	}
	if err := l.writePEM(name+".pem", "CERTIFICATE", der); err != nil {
		return err
	}
	return l.writePEM(name+".key", "EC PRIVATE KEY", keyDER)
}

func (l *Layout) writePEM(name, kind string, der []byte) error {
	return l.writeFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}
