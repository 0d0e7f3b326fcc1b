// Package settings loads and validates the settings of a balancer.
//
// The settings are a JSON document with kebab-case keys. Errors such as unknown keys,
// invalid addresses or durations, and missing files are reported with line and field.
// Secrets and private keys are not part of the document; it contains the paths of their
// files.
//
// # Usage
//
//	s, err := settings.Load("balancer.json")
package settings

// This file defines Settings and their validation.

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/contract/document"
)

// TLSFiles holds the paths of a certificate and its private key.
type TLSFiles struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// PeerTLS holds the TLS files for connections between balancers.
type PeerTLS struct {
	TLSFiles
	// Authority is the path of the CA certificate that signs the certificates of all
	// balancers.
	Authority string `json:"authority"`
}

// Listen holds the addresses that a balancer listens on.
type Listen struct {
	// Callers serves HTTP/1.1 and HTTP/2.
	Callers netip.AddrPort `json:"callers"`
	// Peers serves other balancers.
	Peers netip.AddrPort `json:"peers"`
	// Operators serves the operator API, which the command line uses.
	Operators netip.AddrPort `json:"operators"`
	// Observe serves metrics, health and readiness.
	Observe netip.AddrPort `json:"observe"`
}

// Operator is a person who may submit intents and confirm plans.
type Operator struct {
	Partner string `json:"partner"`
	Name    string `json:"name"`
	// SecretSHA256File is the path of a file with the hexadecimal SHA-256 digest of the
	// operator's secret.
	SecretSHA256File string `json:"secret-sha256-file"`
	// Digest is the digest read from SecretSHA256File.
	Digest [sha256.Size]byte `json:"-"`
}

// Limits are the limits for client connections and requests. DrainTimeout is the time that
// open requests have to finish at shutdown.
type Limits struct {
	MaxHeaderBytes int               `json:"max-header-bytes"`
	MaxBodyBytes   int64             `json:"max-body-bytes"`
	BufferBytes    int64             `json:"buffer-bytes"`
	MaxConnections int               `json:"max-connections"`
	HeaderTimeout  document.Duration `json:"header-timeout"`
	IdleTimeout    document.Duration `json:"idle-timeout"`
	DrainTimeout   document.Duration `json:"drain-timeout"`
}

// Settings are the settings of one balancer.
type Settings struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	Listen Listen `json:"listen"`
	// Store is the URL of the metadata store.
	Store     string     `json:"store"`
	CallerTLS *TLSFiles  `json:"caller-tls,omitempty"`
	PeerTLS   PeerTLS    `json:"peer-tls"`
	Operators []Operator `json:"operators"`
	Limits    Limits     `json:"limits"`
	LogLevel  string     `json:"log-level"`
}

// Default returns the default values of optional settings.
func Default() Settings {
	return Settings{
		LogLevel: "info",
		Limits: Limits{
			MaxHeaderBytes: 32 << 10,
			MaxBodyBytes:   64 << 20,
			BufferBytes:    32 << 10,
			MaxConnections: 10000,
			HeaderTimeout:  document.Duration(5 * time.Second),
			IdleTimeout:    document.Duration(time.Minute),
			DrainTimeout:   document.Duration(30 * time.Second),
		},
	}
}

// Load reads and validates the settings in a file.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(file, data)
}

// Parse decodes and validates settings. Errors have the form file:line: field: reason.
func Parse(file string, data []byte) (*Settings, error) {
	s := Default()
	if err := document.Decode(file, data, &s); err != nil {
		return nil, err
	}
	if field, reason := s.check(); field != "" {
		return nil, document.Invalid(file, data, field, reason)
	}
	return &s, nil
}

var namePattern = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// check returns the first invalid field and the reason, or empty strings.
func (s *Settings) check() (field, reason string) {
	checks := []func() (string, string){s.checkNames, s.checkAddresses, s.checkStore, s.checkFiles, s.checkOperators, s.checkLimits}
	for _, c := range checks {
		if field, reason = c(); field != "" {
			return field, reason
		}
	}
	return "", ""
}

func (s *Settings) checkNames() (field, reason string) {
	if !namePattern.MatchString(s.Name) {
		return "name", fmt.Sprintf("want a kebab-case name, got %q", s.Name)
	}
	if !namePattern.MatchString(s.Domain) {
		return "domain", fmt.Sprintf("want a kebab-case name, got %q", s.Domain)
	}
	return "", ""
}

func (s *Settings) checkAddresses() (field, reason string) {
	addresses := []struct {
		field   string
		address netip.AddrPort
	}{
		{"listen.callers", s.Listen.Callers},
		{"listen.peers", s.Listen.Peers},
		{"listen.operators", s.Listen.Operators},
		{"listen.observe", s.Listen.Observe},
	}
	seen := map[netip.AddrPort]string{}
	for _, a := range addresses {
		if !a.address.IsValid() {
			return a.field, "want an IP address and a port"
		}
		if other, duplicate := seen[a.address]; duplicate && a.address.Port() != 0 {
			return a.field, fmt.Sprintf("%s is used by %s", a.address, other)
		}
		seen[a.address] = a.field
	}
	if s.Listen.Peers.Addr().IsUnspecified() {
		return "listen.peers", "want a specific IP address, since other balancers connect to it"
	}
	return "", ""
}

func (s *Settings) checkStore() (field, reason string) {
	u, err := url.Parse(s.Store)
	if err != nil || u.Scheme != "http" || !s.StoreAddress().IsValid() {
		return "store", fmt.Sprintf("want a URL such as http://192.0.2.1:7400, got %q", s.Store)
	}
	return "", ""
}

// StoreAddress returns the address of the metadata store. It returns an invalid address if
// the URL contains none.
func (s *Settings) StoreAddress() netip.AddrPort {
	u, err := url.Parse(s.Store)
	if err != nil {
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(u.Host)
	if err != nil {
		return netip.AddrPort{}
	}
	return address
}

func (s *Settings) checkFiles() (field, reason string) {
	files := []struct{ field, file string }{
		{"peer-tls.certificate", s.PeerTLS.Certificate},
		{"peer-tls.key", s.PeerTLS.Key},
		{"peer-tls.authority", s.PeerTLS.Authority},
	}
	if s.CallerTLS != nil {
		files = append(files, []struct{ field, file string }{
			{"caller-tls.certificate", s.CallerTLS.Certificate},
			{"caller-tls.key", s.CallerTLS.Key},
		}...)
	}
	for _, f := range files {
		if f.file == "" {
			return f.field, "want a file path"
		}
		if _, err := os.Stat(f.file); err != nil {
			return f.field, err.Error()
		}
	}
	return "", ""
}

func (s *Settings) checkOperators() (field, reason string) {
	if len(s.Operators) == 0 {
		return "operators", "want at least one operator"
	}
	for i := range s.Operators {
		o := &s.Operators[i]
		path := fmt.Sprintf("operators[%d]", i)
		if !namePattern.MatchString(o.Partner) {
			return path + ".partner", fmt.Sprintf("want a kebab-case name, got %q", o.Partner)
		}
		if !namePattern.MatchString(o.Name) {
			return path + ".name", fmt.Sprintf("want a kebab-case name, got %q", o.Name)
		}
		data, err := os.ReadFile(o.SecretSHA256File)
		if err != nil {
			return path + ".secret-sha256-file", err.Error()
		}
		digest, err := hex.DecodeString(strings.TrimSpace(string(data)))
		if err != nil || len(digest) != sha256.Size {
			return path + ".secret-sha256-file", "want 64 hexadecimal digits"
		}
		copy(o.Digest[:], digest)
	}
	return "", ""
}

const wantPositive = "want a positive duration"

func (s *Settings) checkLimits() (field, reason string) {
	l := s.Limits
	switch {
	case l.MaxHeaderBytes < 1<<10 || l.MaxHeaderBytes > 64<<10:
		return "limits.max-header-bytes", "want 1024 to 65536"
	case l.BufferBytes < 0 || l.BufferBytes > 1<<20:
		return "limits.buffer-bytes", "want 0 to 1048576"
	case l.MaxBodyBytes < l.BufferBytes:
		return "limits.max-body-bytes", "want at least buffer-bytes"
	case l.MaxConnections < 1:
		return "limits.max-connections", "want at least 1"
	case l.HeaderTimeout <= 0:
		return "limits.header-timeout", wantPositive
	case l.IdleTimeout <= 0:
		return "limits.idle-timeout", wantPositive
	case l.DrainTimeout <= 0:
		return "limits.drain-timeout", wantPositive
	}
	return "", ""
}
