package settings

// This file builds TLS configurations from the settings.

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

// PeerServerName is the DNS name in the certificate of every balancer.
const PeerServerName = "balancer.tamaracktiller"

// Load returns the configurations for connections between balancers. The server requires
// and verifies client certificates.
func (p PeerTLS) Load() (server, client *tls.Config, err error) {
	certificate, err := tls.LoadX509KeyPair(p.Certificate, p.Key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "settings: peer-tls")
	}
	pool, err := LoadAuthority(p.Authority)
	if err != nil {
		return nil, nil, err
	}
	server = &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
	}
	client = &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate},
		RootCAs: pool, ServerName: PeerServerName, ClientSessionCache: tls.NewLRUClientSessionCache(0),
	}
	return server, client, nil
}

// LoadAuthority reads the CA certificates in a PEM file.
func LoadAuthority(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "settings: authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("settings: authority: no certificate found in %s", file)
	}
	return pool, nil
}

// Load returns the server configuration for client connections.
func (t *TLSFiles) Load() (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, errors.Wrap(err, "settings: caller-tls")
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{certificate},
		NextProtos: []string{"h2", "http/1.1"},
	}, nil
}
