package tunnel

// This file defines Server, which opens connections to targets for other hosts.

import (
	"context"
	"crypto/hmac"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
)

const (
	// targetTimeout bounds the time to connect to a target for another host.
	targetTimeout = 250 * time.Millisecond
	// maxTunnels bounds the tunnels that a host serves at a time.
	maxTunnels = 512
	// drainPollPeriod is the interval at which Drain checks for open tunnels.
	drainPollPeriod = 20 * time.Millisecond
)

// ServerConfig holds the dependencies of a Server.
type ServerConfig struct {
	// Secrets returns the accepted fleet secrets.
	Secrets func() [][]byte
	// Connect opens a connection to a target over the links of this host.
	Connect func(ctx context.Context, target string) (net.Conn, error)
	// Available reports whether this host itself reaches the targets.
	Available func() bool
	Log       *logrus.Entry
	// OnOpen is called for each tunnel that was opened.
	OnOpen func()
	// Reserve reserves the memory and the descriptors of a tunnel; nil for no limit. It returns false if
	// there are none. release is called at the end of the tunnel.
	Reserve func() (release func(), ok bool)
}

// Server serves tunnels to other hosts. It is safe for concurrent use.
type Server struct {
	cfg      ServerConfig
	g        *group.Group
	draining atomic.Bool
	open     atomic.Int64
}

var _ http.Handler = (*Server)(nil)

// NewServer returns a server whose goroutines run in g.
func NewServer(cfg ServerConfig, g *group.Group) *Server { return &Server{cfg: cfg, g: g} }

// Drain refuses new tunnels and waits until the open ones have ended or ctx is done. It
// returns the number of tunnels that are still open.
func (s *Server) Drain(ctx context.Context) int {
	s.Refuse()
	for s.open.Load() > 0 && ctx.Err() == nil {
		timer.Sleep(ctx, drainPollPeriod)
	}
	return int(s.open.Load())
}

// Refuse refuses new tunnels from now on.
func (s *Server) Refuse() { s.draining.Store(true) }

// ServeHTTP implements http.Handler. It responds with 503 if this host cannot help, and with
// 502 if it does not reach the target.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	target, line := r.Header.Get(headerTarget), s.cfg.Log.WithFields(logrus.Fields{
		"request": r.Header.Get(headerRequest), "target": r.Header.Get(headerTarget), "host": r.Header.Get(headerHost),
	})
	sent := []byte(r.Header.Get(headerMAC))
	if !slices.ContainsFunc(s.cfg.Secrets(), func(secret []byte) bool { return hmac.Equal(sent, []byte(mac(secret, r.Header))) }) {
		line.Warn("tunnel without a valid code is refused")
		http.Error(w, "invalid code", http.StatusForbidden)
		return
	}
	defer s.open.Add(-1)
	if open := s.open.Add(1); open > maxTunnels || s.draining.Load() || !s.cfg.Available() {
		line.WithFields(logrus.Fields{"open": open, "draining": s.draining.Load()}).Info("tunnel is refused")
		http.Error(w, "not available", http.StatusServiceUnavailable)
		return
	}
	if s.cfg.Reserve != nil {
		release, ok := s.cfg.Reserve()
		if !ok {
			line.Info("tunnel is refused: no memory or descriptor is left for it")
			http.Error(w, "not available", http.StatusServiceUnavailable)
			return
		}
		defer release()
	}
	started := time.Now()
	ctx, cancel := context.WithTimeout(r.Context(), targetTimeout)
	conn, err := s.cfg.Connect(ctx, target)
	cancel()
	if err != nil {
		line.WithError(err).Info("target of a tunnel is not reached")
		http.Error(w, "target is not reached", http.StatusBadGateway)
		return
	}
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		_ = conn.Close()
		line.WithError(err).Info("tunnel cannot be opened")
		return
	}
	s.cfg.OnOpen()
	connected := time.Since(started)
	err = s.forward(ws, conn)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	line.WithError(err).WithFields(logrus.Fields{"connect-ms": connected.Milliseconds(), "ms": time.Since(started).Milliseconds()}).Info("tunnel has ended")
}

// forward copies bytes in both directions until one end closes or breaks.
func (s *Server) forward(ws *websocket.Conn, target net.Conn) error {
	ctx, cancel := context.WithCancel(s.g.Context())
	defer cancel()
	nc := websocket.NetConn(ctx, ws, websocket.MessageBinary)
	s.g.Go("tunnel", func(context.Context) error {
		_, _ = io.Copy(target, nc)
		// The other host has given up the request: what has not arrived must not run.
		reset(target)
		return nil
	})
	_, err := io.Copy(nc, target)
	if err != nil {
		_ = ws.CloseNow()
		reset(target)
		return err
	}
	err = ws.Close(websocket.StatusNormalClosure, "")
	_ = target.Close()
	return err
}

// reset closes a connection and discards the bytes that it holds back.
func reset(conn net.Conn) {
	if l, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = l.SetLinger(0)
	}
	_ = conn.Close()
}
