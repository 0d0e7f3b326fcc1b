// Package link transports messages between balancers as CBOR in WebSocket frames over
// mutual TLS.
//
// Two hosts use a single link for both directions, no matter which of them opened it. A
// link is closed when its send queue is full, and not used when the certificate of the
// peer names another host than the dialed one.
//
// # Usage
//
//	s := link.NewService(cfg, group, handler)
//	mux.Handle(link.Path, s)          // incoming links
//	s.Connect(host)                   // outgoing link, in the background
//	s.Send("host-2", envelope)
package link

// This file defines Service, which manages the links of a host.

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
	// sendQueueLength is the capacity of a link's send queue in frames.
	sendQueueLength = 1024
	// writeTimeout limits the time to write one frame.
	writeTimeout = 2 * time.Second
	// dialTimeout limits the time to open a link.
	dialTimeout = 2 * time.Second
	// maxHeaderBytes bounds a response header. A parsed header of many short fields takes many times its
	// length.
	maxHeaderBytes = 32 << 10
)

// Errors of Send.
var (
	// ErrNoLink reports that there is no link to the host. The message was not sent.
	ErrNoLink = errors.New("link: no link to the host")
	// ErrQueueFull reports that the link was closed because its send queue was full.
	ErrQueueFull = errors.New("link: send queue is full")
)

// Handler receives messages and state changes of links. Its methods must not block.
type Handler interface {
	// MessageReceived is called for each message from a host.
	MessageReceived(from string, e *message.Envelope)
	// LinkUp is called when a link to the host has been opened.
	LinkUp(host string)
	// LinkDown is called when the link to the host has ended or could not be opened.
	LinkDown(host string)
}

// Config holds the identity and the dependencies of a Service.
type Config struct {
	// Self is the name of the local host.
	Self string
	// TLS is the client configuration for outgoing links.
	TLS *tls.Config
	Log *logrus.Entry
	// Bytes counts the bytes sent and received, by direction. It may be nil.
	Bytes *prometheus.CounterVec
	// Messages counts the frames, by direction. It may be nil.
	Messages *prometheus.CounterVec
}

// Service manages the links of a host. It is safe for concurrent use.
type Service struct {
	cfg     Config
	g       *group.Group
	handler Handler
	client  *http.Client

	mu      sync.Mutex
	links   map[string]*conn
	dialing map[string]bool
}

// NewService returns a service without links. Its goroutines run in g.
func NewService(cfg Config, g *group.Group, handler Handler) *Service {
	transport := &http.Transport{TLSClientConfig: cfg.TLS, MaxResponseHeaderBytes: maxHeaderBytes, DisableKeepAlives: true}
	return &Service{
		cfg: cfg, g: g, handler: handler, client: &http.Client{Transport: transport},
		links: map[string]*conn{}, dialing: map[string]bool{},
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

// Connect opens a link to the host in the background, unless a link exists or is being
// opened.
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
	url := "https://" + host.PeerAddress.String() + Path
	//nolint:bodyclose // The body belongs to the WebSocket.
	ws, res, err := websocket.Dial(dialCtx, url, &websocket.DialOptions{HTTPClient: s.client})
	s.mu.Lock()
	delete(s.dialing, host.Name)
	s.mu.Unlock()
	if err != nil {
		s.handler.LinkDown(host.Name)
		return
	}
	name := peerName(res.TLS)
	if name != host.Name {
		s.cfg.Log.WithFields(logrus.Fields{"host": host.Name, "certificate": name}).Warn("closed a link: the peer's certificate names a different host")
		_ = ws.CloseNow()
		s.handler.LinkDown(host.Name)
		return
	}
	s.run(ctx, newConn(name, ws, true))
}

// ServeHTTP accepts an incoming link.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := peerName(r.TLS)
	if name == "" || name == s.cfg.Self {
		http.Error(w, "a link needs the certificate of another host", http.StatusForbidden)
		return
	}
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	s.run(s.g.Context(), newConn(name, ws, false))
}

// peerName returns the host name in the peer's certificate, or "" if there is none.
func peerName(state *tls.ConnectionState) string {
	if state == nil || len(state.PeerCertificates) == 0 {
		return ""
	}
	return state.PeerCertificates[0].Subject.CommonName
}

// run registers a link and serves it until it ends.
func (s *Service) run(ctx context.Context, c *conn) {
	if !s.register(c) {
		_ = c.ws.CloseNow()
		return
	}
	c.ws.SetReadLimit(message.MaxBytes)
	s.handler.LinkUp(c.name)
	s.g.Go("link write", func(ctx context.Context) error {
		s.writeLoop(ctx, c)
		return nil
	})
	s.readLoop(ctx, c)
	s.unregister(c)
}

// register adds the link and reports whether it is to be used. If two hosts dial each
// other at the same time, both keep the link that was opened by the host with the smaller
// name. Otherwise a new link replaces the existing one, which the peer may have abandoned.
func (s *Service) register(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	existing := s.links[c.name]
	simultaneous := existing != nil && c.openedAt.Sub(existing.openedAt) < dialTimeout
	if simultaneous && existing.dialed != c.dialed && existing.dialed == (s.cfg.Self < c.name) {
		return false
	}
	s.links[c.name] = c
	if existing != nil {
		existing.close()
	}
	return true
}

func (s *Service) unregister(c *conn) {
	c.close()
	s.mu.Lock()
	current := s.links[c.name] == c
	if current {
		delete(s.links, c.name)
	}
	s.mu.Unlock()
	if current {
		s.handler.LinkDown(c.name)
	}
}

// Disconnect closes the link to the host.
func (s *Service) Disconnect(host string) {
	s.mu.Lock()
	c := s.links[host]
	s.mu.Unlock()
	if c != nil {
		c.close()
	}
}

func (s *Service) readLoop(ctx context.Context, c *conn) {
	for {
		_, data, err := c.ws.Read(ctx)
		if err != nil {
			return
		}
		s.countFrame("in", len(data))
		e, err := message.Decode(data)
		if err != nil {
			s.cfg.Log.WithField("host", c.name).WithError(err).Warn("closed a link: invalid frame")
			return
		}
		s.handler.MessageReceived(c.name, e)
	}
}

func (s *Service) writeLoop(ctx context.Context, c *conn) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.done:
			return
		case data := <-c.sendQueue:
			writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
			err := c.ws.Write(writeCtx, websocket.MessageBinary, data)
			cancel()
			if err != nil {
				c.close()
				return
			}
			s.countFrame("out", len(data))
		}
	}
}

func (s *Service) countFrame(direction string, n int) {
	if s.cfg.Bytes != nil {
		s.cfg.Bytes.WithLabelValues(direction).Add(float64(n))
		s.cfg.Messages.WithLabelValues(direction).Inc()
	}
}

// Send queues a message to the host. Errors: ErrNoLink, ErrQueueFull.
func (s *Service) Send(host string, e *message.Envelope) error {
	s.mu.Lock()
	c := s.links[host]
	s.mu.Unlock()
	if c == nil {
		return errors.Wrap(ErrNoLink, host)
	}
	return s.enqueue(c, e)
}

func (s *Service) enqueue(c *conn, e *message.Envelope) error {
	data, err := message.Encode(e)
	if err != nil {
		return err
	}
	select {
	case c.sendQueue <- data:
		return nil
	case <-c.done:
		return errors.Wrap(ErrNoLink, c.name)
	default:
		c.close()
		return errors.Wrap(ErrQueueFull, c.name)
	}
}
