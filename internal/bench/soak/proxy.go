package soak

// This file defines proxy, a TCP proxy that simulates a slow, silent or broken link.

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
)

// linkState is how a proxy treats the bytes that pass through it.
type linkState string

// The states of a link.
const (
	linkUp linkState = "up"
	// linkSlow delays bytes in both directions.
	linkSlow linkState = "slow"
	// linkSilent holds back bytes in both directions; connections stay open.
	linkSilent linkState = "silent"
	// linkOneWay forwards requests and holds back responses.
	linkOneWay linkState = "one-way"
	// linkReset resets open and new connections.
	linkReset linkState = "reset"
)

const (
	// slowDelay is the delay of a slow link in each direction.
	slowDelay = 40 * time.Millisecond
	// bufferBytes is the maximum number of bytes forwarded at once.
	bufferBytes = 16 << 10
)

// proxy forwards TCP connections to one address.
type proxy struct {
	to       netip.AddrPort
	listener net.Listener
	g        *group.Group

	mu    sync.Mutex
	state linkState
	// changed is closed and replaced when the state is set.
	changed chan struct{}
	conns   map[net.Conn]bool
}

func newProxy(ctx context.Context, to netip.AddrPort, g *group.Group) (*proxy, error) {
	var cfg net.ListenConfig
	l, err := cfg.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{to: to, listener: l, g: g, state: linkUp, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	g.Go("link", p.accept)
	return p, nil
}

func (p *proxy) address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

// set sets the state of the link. linkReset also resets the open connections.
func (p *proxy) set(state linkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
	close(p.changed)
	p.changed = make(chan struct{})
	if state == linkReset {
		for conn := range p.conns {
			reset(conn)
		}
	}
}

func (p *proxy) accept(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = p.listener.Close() })
	defer stop()
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return nil //nolint:nilerr // The listener is closed at the end.
		}
		p.g.Go("connection", func(ctx context.Context) error {
			p.serve(ctx, conn)
			return nil
		})
	}
}

func (p *proxy) serve(ctx context.Context, client net.Conn) {
	defer client.Close()
	if !p.track(client) {
		return
	}
	defer p.untrack(client)
	var dialer net.Dialer
	server, err := dialer.DialContext(ctx, "tcp", p.to.String())
	if err != nil {
		reset(client)
		return
	}
	defer server.Close()
	stop := context.AfterFunc(ctx, func() { _, _ = client.Close(), server.Close() })
	defer stop()
	done := make(chan struct{})
	p.g.Go("answers", func(ctx context.Context) error {
		defer close(done)
		p.forward(ctx, client, server, true)
		return nil
	})
	p.forward(ctx, server, client, false)
	_ = server.Close()
	<-done
}

// track adds conn to the open connections. In state linkReset it resets conn instead and
// returns false.
func (p *proxy) track(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == linkReset {
		reset(conn)
		return false
	}
	p.conns[conn] = true
	return true
}

func (p *proxy) untrack(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// forward copies bytes between two connections as the state allows, until one of them
// ends. responses is set for the direction from the server to the client.
func (p *proxy) forward(ctx context.Context, to, from net.Conn, responses bool) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if !p.wait(ctx, responses) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				reset(to)
			}
			_ = to.Close()
			return
		}
	}
}

// wait delays or blocks one direction as the state requires. It returns false if ctx is
// done first.
func (p *proxy) wait(ctx context.Context, responses bool) bool {
	for {
		p.mu.Lock()
		state, changed := p.state, p.changed
		p.mu.Unlock()
		switch {
		case state == linkSlow:
			time.Sleep(slowDelay)
			return true
		case state == linkSilent, state == linkOneWay && responses:
		default:
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
