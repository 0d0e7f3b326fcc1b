package soak

// This file defines proxy, a loopback link that can be slow, silent or broken.

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

// linkState is how a link treats bytes.
type linkState string

// The states of a link.
const (
	linkUp linkState = "up"
	// linkSlow delays what passes, in both directions.
	linkSlow linkState = "slow"
	// linkSilent holds everything back.
	linkSilent linkState = "silent"
	// linkOneWay passes what callers send, and holds answers back.
	linkOneWay linkState = "one-way"
	// linkReset resets what is open and what comes.
	linkReset linkState = "reset"
)

const (
	// slowDelay is the delay of a slow link in each direction.
	slowDelay = 40 * time.Millisecond
	// chunkBytes is what a link passes on at once.
	chunkBytes = 16 << 10
)

// proxy is a link to one address.
type proxy struct {
	to       netip.AddrPort
	listener net.Listener
	g        *group.Group

	mu    sync.Mutex
	state linkState
	// changed is closed at the next change of the state.
	changed chan struct{}
	open    map[net.Conn]bool
}

func newProxy(ctx context.Context, to netip.AddrPort, g *group.Group) (*proxy, error) {
	var cfg net.ListenConfig
	l, err := cfg.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{to: to, listener: l, g: g, state: linkUp, changed: make(chan struct{}), open: map[net.Conn]bool{}}
	g.Go("link", p.accept)
	return p, nil
}

func (p *proxy) address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

// set changes the state of the link.
func (p *proxy) set(state linkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
	close(p.changed)
	p.changed = make(chan struct{})
	if state == linkReset {
		for conn := range p.open {
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

func (p *proxy) serve(ctx context.Context, near net.Conn) {
	defer near.Close()
	if !p.keep(near) {
		return
	}
	defer p.forget(near)
	var dialer net.Dialer
	far, err := dialer.DialContext(ctx, "tcp", p.to.String())
	if err != nil {
		reset(near)
		return
	}
	defer far.Close()
	stop := context.AfterFunc(ctx, func() { _, _ = near.Close(), far.Close() })
	defer stop()
	done := make(chan struct{})
	p.g.Go("answers", func(ctx context.Context) error {
		defer close(done)
		p.pass(ctx, near, far, true)
		return nil
	})
	p.pass(ctx, far, near, false)
	_ = far.Close()
	<-done
}

// keep notes an open connection, unless the link resets it.
func (p *proxy) keep(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == linkReset {
		reset(conn)
		return false
	}
	p.open[conn] = true
	return true
}

func (p *proxy) forget(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, conn)
}

// pass copies from one side to the other as the state allows, until one ends.
func (p *proxy) pass(ctx context.Context, to, from net.Conn, answers bool) {
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		if !p.wait(ctx, answers) {
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

// wait holds bytes back as long as the state asks. It returns false when ctx ends.
func (p *proxy) wait(ctx context.Context, answers bool) bool {
	for {
		p.mu.Lock()
		state, changed := p.state, p.changed
		p.mu.Unlock()
		switch {
		case state == linkSlow:
			time.Sleep(slowDelay)
			return true
		case state == linkSilent, state == linkOneWay && answers:
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
