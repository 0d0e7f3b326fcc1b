// Package layout writes the files of a small installation on loopback addresses:
// certificates, secrets, settings, the platform's list of hosts, intents and a
// workload.
//
// # Usage
//
//	l := layout.New("run", layout.Size{Balancers: 4, Targets: 8, Domains: 2})
//	err := l.Write()
package layout

// This file defines Layout, which derives the addresses and writes the files of an
// installation.

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/bench/load"
	"tamaracktiller.example/tamaracktiller/internal/contract/catalog"
	"tamaracktiller.example/tamaracktiller/internal/contract/document"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
	"tamaracktiller.example/tamaracktiller/internal/process/settings"
)

// Ports of the processes. Each process has its own loopback address.
const (
	portCallers   = 7301
	portPeers     = 7302
	portOperators = 7303
	portObserve   = 7304
	portTarget    = 7400
	portPlatform  = 7500
)

// The partners of the installation.
const (
	Exchange = "exchange"
	Bitacora = "bitacora"
)

// Size is the size of an installation.
type Size struct {
	Balancers int
	Targets   int
	Domains   int
	// Slots is the number of slots per target.
	Slots int
	// CallerTLS makes balancers serve callers over TLS.
	CallerTLS bool
	// Net is the second byte of all addresses. Installations on the same machine need
	// different values.
	Net byte
}

// Layout is the layout of an installation in a directory.
type Layout struct {
	Dir  string
	Size Size
}

// New returns the layout of an installation in dir.
func New(dir string, size Size) *Layout { return &Layout{Dir: dir, Size: size} }

func (l *Layout) loopbackAddr(subnet, host byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, l.Size.Net, subnet, host}), port)
}

// Platform returns the address of the fake platform.
func (l *Layout) Platform() netip.AddrPort { return l.loopbackAddr(0, 1, portPlatform) }

// SettingsFile returns the path of the settings file of the n-th balancer, from 1.
func (l *Layout) SettingsFile(n int) string { return l.path(balancerName(n) + ".json") }

// Callers returns the address at which the n-th balancer serves callers.
func (l *Layout) Callers(n int) netip.AddrPort { return l.loopbackAddr(1, byte(n), portCallers) }

// Operators returns the address at which the n-th balancer serves operators.
func (l *Layout) Operators(n int) netip.AddrPort { return l.loopbackAddr(1, byte(n), portOperators) }

// Target returns the address of the n-th target, from 1.
func (l *Layout) Target(n int) netip.AddrPort { return l.loopbackAddr(2, byte(n), portTarget) }

func (l *Layout) domain(n int) string { return fmt.Sprintf("domain-%d", (n-1)%l.Size.Domains+1) }

func balancerName(n int) string { return fmt.Sprintf("balancer-%d", n) }

func targetName(n int) string { return fmt.Sprintf("target-%d", n) }

// pool returns the pool of a target. Half of the targets are shared by both partners; a
// quarter each serves the writes of one partner.
func (l *Layout) pool(n int) string {
	switch {
	case n <= l.Size.Targets/2:
		return "common"
	case n <= l.Size.Targets*3/4:
		return "booking"
	}
	return "loot"
}

// Write writes all files.
func (l *Layout) Write() error {
	for _, dir := range []string{"", "runs", "log"} {
		if err := os.MkdirAll(filepath.Join(l.Dir, dir), 0o750); err != nil {
			return errors.Wrap(err, "layout")
		}
	}
	steps := []func() error{l.writeCertificates, l.writeSecrets, l.writeSettings, l.writeHosts, l.writeIntents, l.writeWorkload}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (l *Layout) path(name string) string { return filepath.Join(l.Dir, name) }

func (l *Layout) writeFile(name string, data []byte) error {
	return errors.Wrap(os.WriteFile(l.path(name), data, 0o600), "layout")
}

func (l *Layout) writeJSON(name string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "layout")
	}
	return l.writeFile(name, append(data, '\n'))
}

// writeSecrets writes the secret of the operator of each partner and its SHA-256 digest.
func (l *Layout) writeSecrets() error {
	for _, partner := range []string{Exchange, Bitacora} {
		secret := uuid.NewString()
		digest := sha256.Sum256([]byte(secret))
		if err := l.writeFile(partner+".secret", []byte(secret+"\n")); err != nil {
			return err
		}
		if err := l.writeFile(partner+".sha256", []byte(hex.EncodeToString(digest[:])+"\n")); err != nil {
			return err
		}
	}
	return nil
}

func (l *Layout) writeSettings() error {
	for n := 1; n <= l.Size.Balancers; n++ {
		s := settings.Default()
		s.Name = balancerName(n)
		s.Domain = l.domain(n)
		s.Listen = settings.Listen{
			Callers: l.Callers(n), Peers: l.loopbackAddr(1, byte(n), portPeers),
			Operators: l.Operators(n), Observe: l.loopbackAddr(1, byte(n), portObserve),
		}
		s.Store = "http://" + l.Platform().String()
		s.PeerTLS.Certificate, s.PeerTLS.Key = l.path(s.Name+".pem"), l.path(s.Name+".key")
		s.PeerTLS.Authority = l.path("authority.pem")
		if l.Size.CallerTLS {
			s.CallerTLS = &settings.TLSFiles{Certificate: s.PeerTLS.Certificate, Key: s.PeerTLS.Key}
		}
		for _, partner := range []string{Exchange, Bitacora} {
			s.Operators = append(s.Operators, settings.Operator{Partner: partner, Name: "ana", SecretSHA256File: l.path(partner + ".sha256")})
		}
		if err := l.writeJSON(s.Name+".json", s); err != nil {
			return err
		}
	}
	return nil
}

func (l *Layout) writeHosts() error {
	var hosts []store.Host
	for n := 1; n <= l.Size.Balancers; n++ {
		hosts = append(hosts, store.Host{Name: balancerName(n), Role: "balancer", Domain: l.domain(n), Address: l.loopbackAddr(1, byte(n), portPeers), State: store.HostLive, Generation: 1})
	}
	for n := 1; n <= l.Size.Targets; n++ {
		hosts = append(hosts, store.Host{Name: targetName(n), Role: "target", Domain: l.domain(n), Address: l.Target(n), State: store.HostLive, Generation: 1})
	}
	return l.writeJSON("hosts.json", hosts)
}

// connections is the connection limit of a target.
const connections = 220

// writeIntents writes one intent per partner. The Exchange provides the common pool. One
// of Bitácora's services takes a share of it, so its plan must be shown to the Exchange.
func (l *Layout) writeIntents() error {
	intents := map[string]*catalog.Intent{
		Exchange: {Partner: Exchange, Reason: "open availability and booking", Front: []catalog.Service{
			service("availability", Exchange, "common", 3, catalog.Kind{Name: "search", PathPrefix: "/", Weight: 1, Deadline: seconds(2), Idempotent: true}),
			service("booking", Exchange, "booking", 1, catalog.Kind{Name: "book", PathPrefix: "/", Weight: 3, Deadline: seconds(4)}),
		}},
		Bitacora: {Partner: Bitacora, Reason: "open session notes and loot", Front: []catalog.Service{
			service("notes", Bitacora, "common", 1,
				catalog.Kind{Name: "recap", PathPrefix: "/", Weight: 1, Deadline: seconds(2), Idempotent: true},
				catalog.Kind{Name: "export", PathPrefix: "/export", Weight: 1, Deadline: seconds(20), Idempotent: true, MayWait: true, CompleteWithin: seconds(3600)}),
			service("loot", Bitacora, "loot", 1, catalog.Kind{Name: "award", PathPrefix: "/", Weight: 3, Deadline: seconds(4)}),
		}},
	}
	for n := 1; n <= l.Size.Targets; n++ {
		owner := intents[Exchange]
		if l.pool(n) == "loot" {
			owner = intents[Bitacora]
		}
		owner.Join = append(owner.Join, catalog.Join{Pool: l.pool(n), Target: catalog.Target{
			Name: targetName(n), Address: l.Target(n), Domain: l.domain(n), Slots: l.Size.Slots, Connections: connections,
		}})
	}
	for partner, in := range intents {
		if err := l.writeJSON(partner+".intent.json", in); err != nil {
			return err
		}
	}
	return nil
}

func seconds(n int) document.Duration { return document.Duration(time.Duration(n) * time.Second) }

func service(name string, partner catalog.Partner, pool string, share int, kinds ...catalog.Kind) catalog.Service {
	return catalog.Service{
		Name: name, Partner: partner, Hosts: []string{name + ".test"}, Pool: pool, Share: share, Kinds: kinds,
		Objective: catalog.Objective{Latency: document.Duration(100 * time.Millisecond), GoodPerThousand: 990},
	}
}

func (l *Layout) writeWorkload() error {
	serviceTime := document.Duration(5 * time.Millisecond)
	return l.writeJSON("workload.json", load.Workload{Kinds: []load.Kind{
		{Host: "availability.test", Method: "GET", Path: "/search?from=2026-12-04&nights=2", Weight: 5, ServiceTime: serviceTime, ResponseBytes: 800, Member: "member-1"},
		{Host: "notes.test", Method: "GET", Path: "/recap/7", Weight: 3, ServiceTime: serviceTime, ResponseBytes: 3000, Chunked: true},
		{Host: "booking.test", Method: "POST", Path: "/book", Weight: 1, ServiceTime: serviceTime, BodyBytes: 300, ResponseBytes: 200, Keyed: true, AtMostOnce: true, Member: "member-2"},
		{Host: "loot.test", Method: "POST", Path: "/award", Weight: 1, ServiceTime: serviceTime, BodyBytes: 200, ResponseBytes: 100, Keyed: true, AtMostOnce: true},
	}})
}
