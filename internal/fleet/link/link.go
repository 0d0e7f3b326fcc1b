// Package link carries messages between balancers: WebSocket frames with CBOR
// over mutual TLS.
//
// Two hosts share one link, whoever opened it. A link that cannot keep up, or
// whose peer is not the host that its certificate names, is closed.
//
// # Usage
//
//	s := link.NewService(cfg, group, handler)
//	mux.Handle(link.Path, s)          // incoming links
//	s.Connect(host)                   // outgoing link, in the background
//	s.Send("host-2", envelope)
package link

// This file defines Service, the links of one host.

import (
	"context"
	"crypto/tls"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/fleet/member"
	"tamaracktiller.example/tamaracktiller/internal/fleet/message"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
)

// Path is the URL path of links.
const Path = "/link"

const (
	// queueLength is the number of frames that may wait on a link.
	queueLength = 1024
	// writeTimeout bounds the writing of one frame.
	writeTimeout = 2 * time.Second
	// dialTimeout bounds the opening of a link.
	dialTimeout = 2 * time.Second
)

// Errors of Send.
var (
	// ErrNoLink reports that there is no link to the host. Nothing was sent.
	ErrNoLink = errors.New("link: no link to the host")
	// ErrBroken reports that the link could not keep up and was closed.
	ErrBroken = errors.New("link: broken")
)

// Handler takes in what happens on links. Its methods must not block.
type Handler interface {
	// Received is called for each message.
	Received(from string, e *message.Envelope)
	// Up is called when a link to the host is open.
	Up(host string)
	// Down is called when the link to the host has ended, or could not be opened.
	Down(host string)
}

// Config holds the identity of the own host.
type Config struct {
	Self string
	// TLS proves the own host and checks peers, as client.
	TLS *tls.Config
	Log *logrus.Entry
	// Bytes counts the bytes sent and received, by direction. It may be nil.
	Bytes *prometheus.CounterVec
	// Messages counts the frames, by direction. It may be nil.
	Messages *prometheus.CounterVec
}

// Service holds the links of one host. It is safe for concurrent use.
type Service struct {
	cfg     Config
	g       *group.Group
	handler Handler
	client  *http.Client

	mu      sync.Mutex
	links   map[string]*peer
	dialing map[string]bool
}

// NewService returns a service without links. Its goroutines run in g.
func NewService(cfg Config, g *group.Group, handler Handler) *Service {
	transport := &http.Transport{TLSClientConfig: cfg.TLS, DisableKeepAlives: true}
	return &Service{
		cfg: cfg, g: g, handler: handler, client: &http.Client{Transport: transport},
		links: map[string]*peer{}, dialing: map[string]bool{},
	}
}

// Linked reports whether there is a link to the host.
func (s *Service) Linked(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.links[host] != nil
}

// Hosts returns the names of the linked hosts.
func (s *Service) Hosts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.links))
	for name := range s.links {
		names = append(names, name)
	}
	return names
}

// Connect opens a link to the host unless there is one or one is being opened.
func (s *Service) Connect(host member.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.links[host.Name] != nil || s.dialing[host.Name] {
		return
	}
	s.dialing[host.Name] = true
	s.g.Go("link dial", func(ctx context.Context) error {
		s.dial(ctx, host)
		return nil
	})
}

func (s *Service) dial(ctx context.Context, host member.Host) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	url := "https://" + host.Peer.String() + Path
	//nolint:bodyclose // The body belongs to the WebSocket.
	ws, res, err := websocket.Dial(dialCtx, url, &websocket.DialOptions{HTTPClient: s.client})
	s.mu.Lock()
	delete(s.dialing, host.Name)
	s.mu.Unlock()
	if err != nil {
		s.handler.Down(host.Name)
		return
	}
	name := nameOf(res.TLS)
	if name != host.Name {
		s.cfg.Log.WithFields(logrus.Fields{"host": host.Name, "certificate": name}).Warn("closed a link to the wrong host")
		_ = ws.CloseNow()
		s.handler.Down(host.Name)
		return
	}
	s.run(ctx, newPeer(name, ws, true))
}

// ServeHTTP accepts an incoming link.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := nameOf(r.TLS)
	if name == "" || name == s.cfg.Self {
		http.Error(w, "a link needs the certificate of another host", http.StatusForbidden)
		return
	}
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	s.run(s.g.Context(), newPeer(name, ws, false))
}

// nameOf returns the host that the peer's certificate names.
func nameOf(state *tls.ConnectionState) string {
	if state == nil || len(state.PeerCertificates) == 0 {
		return ""
	}
	return state.PeerCertificates[0].Subject.CommonName
}

// run serves a link until it ends.
func (s *Service) run(ctx context.Context, p *peer) {
	if !s.register(p) {
		_ = p.ws.CloseNow()
		return
	}
	p.ws.SetReadLimit(message.MaxBytes)
	s.handler.Up(p.name)
	s.g.Go("link write", func(ctx context.Context) error {
		s.writeAll(ctx, p)
		return nil
	})
	s.readAll(ctx, p)
	s.unregister(p)
}

// register adds the link. Of two links that both hosts opened at the same time
// both sides keep the one of the host with the smaller name. A later link replaces
// an older one, which its other end may have given up.
func (s *Service) register(p *peer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.links[p.name]
	atOnce := old != nil && p.since.Sub(old.since) < dialTimeout
	if atOnce && old.opened != p.opened && old.opened == (s.cfg.Self < p.name) {
		return false
	}
	s.links[p.name] = p
	if old != nil {
		old.close()
	}
	return true
}

func (s *Service) unregister(p *peer) {
	p.close()
	s.mu.Lock()
	current := s.links[p.name] == p
	if current {
		delete(s.links, p.name)
	}
	s.mu.Unlock()
	if current {
		s.handler.Down(p.name)
	}
}

// Disconnect closes the link to the host.
func (s *Service) Disconnect(host string) {
	s.mu.Lock()
	p := s.links[host]
	s.mu.Unlock()
	if p != nil {
		p.close()
	}
}

func (s *Service) readAll(ctx context.Context, p *peer) {
	for {
		_, data, err := p.ws.Read(ctx)
		if err != nil {
			return
		}
		s.count("in", len(data))
		e, err := message.Decode(data)
		if err != nil {
			s.cfg.Log.WithField("host", p.name).WithError(err).Warn("closed a link with a bad frame")
			return
		}
		s.handler.Received(p.name, e)
	}
}

func (s *Service) writeAll(ctx context.Context, p *peer) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.done:
			return
		case data := <-p.out:
			writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
			err := p.ws.Write(writeCtx, websocket.MessageBinary, data)
			cancel()
			if err != nil {
				p.close()
				return
			}
			s.count("out", len(data))
		}
	}
}

func (s *Service) count(direction string, n int) {
	if s.cfg.Bytes != nil {
		s.cfg.Bytes.WithLabelValues(direction).Add(float64(n))
		s.cfg.Messages.WithLabelValues(direction).Inc()
	}
}

// Send queues a message to the host. Errors: ErrNoLink, ErrBroken.
func (s *Service) Send(host string, e *message.Envelope) error {
	s.mu.Lock()
	p := s.links[host]
	s.mu.Unlock()
	if p == nil {
		return errors.Wrap(ErrNoLink, host)
	}
	return s.enqueue(p, e)
}

func (s *Service) enqueue(p *peer, e *message.Envelope) error {
	data, err := message.Encode(e)
	if err != nil {
		return err
	}
	select {
	case p.out <- data:
		return nil
	case <-p.done:
		return errors.Wrap(ErrNoLink, p.name)
	default:
		p.close()
		return errors.Wrap(ErrBroken, p.name)
	}
}
