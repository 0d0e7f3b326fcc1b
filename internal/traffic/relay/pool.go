// Package relay sends HTTP/1.1 requests to targets and to peer balancers over
// pooled connections.
//
// It uses Request.Write and ReadResponse of net/http, but not the client, because the
// caller must know exactly what happened: whether a byte of the request may have reached
// the peer, on which connection, and whether the response is complete. It never retries a
// request.
//
// # Usage
//
//	p := relay.NewPool(address, relay.Config{MaxConnections: 240, Dial: dial}, group)
//	res, err := p.RoundTrip(ctx, request, relay.Options{Idempotent: true})
//	if err != nil {
//		relay.MayHaveRun(err) // false: no byte was sent
//	}
//	defer res.Body.Close()
package relay

// This file defines Pool, the connection pool for one address.

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
)

// Errors of a round trip. Each is wrapped in an *Error.
var (
	// ErrPoolExhausted reports that all connections to the address are in use.
	ErrPoolExhausted = errors.New("all connections are in use")
	// ErrNoIdleConnection reports that there is no idle connection, for Options.IdleOnly.
	ErrNoIdleConnection = errors.New("no connection is idle")
	// ErrAmbiguousFraming reports a response whose body length is not given exactly once.
	ErrAmbiguousFraming = errors.New("ambiguous response framing")
	// ErrHeaderTooLarge reports a response header that exceeds maxHeaderBytes.
	ErrHeaderTooLarge = errors.New("response header is too large")
	// ErrMismatchedResponse reports responses that belong to other requests.
	ErrMismatchedResponse = errors.New("response belongs to another request")
	// ErrInvalidStatus reports a response whose status is not three digits from 100 to 599.
	ErrInvalidStatus = errors.New("invalid response status")
	// ErrTooManyInformational reports too many informational responses to one request, or too long
	// ones.
	ErrTooManyInformational = errors.New("too many informational responses")
	// ErrUnexpectedUpgrade reports a response that switches protocols although no upgrade
	// was requested.
	ErrUnexpectedUpgrade = errors.New("unexpected protocol switch")
	// ErrRequestBody reports that the request body of the caller could not be read.
	// RoundTrip does not return it: it returns the error of http.Request.Write instead.
	ErrRequestBody = errors.New("request body could not be read")
)

// Error describes a failed round trip.
type Error struct {
	Address netip.AddrPort
	// Sent is set if bytes of the request may have reached the address.
	Sent bool
	// Reused is set if the connection had carried a request before.
	Reused bool
	Cause  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("relay: %s (sent %t, reused %t): %v", e.Address, e.Sent, e.Reused, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// MayHaveRun reports whether the peer may have received the request, and so may have run
// it.
func MayHaveRun(err error) bool {
	var e *Error
	return !errors.As(err, &e) || e.Sent
}

// IsTimeout reports whether the peer went silent: an operation on the connection timed out.
func IsTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout() || errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH)
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// Config holds the parameters of a pool.
type Config struct {
	MaxConnections int
	Dial           DialFunc
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is the time after which unused connections are closed; zero for none.
	IdleTimeout time.Duration
	// MaxNonIdempotentIdle is the maximum time since the last response on a connection
	// that may be reused for a request that is not idempotent.
	MaxNonIdempotentIdle time.Duration
	// MayReuse reports whether a connection may carry another request; nil means always.
	MayReuse func(nc net.Conn) bool
}

// Pool holds the connections to one address. It is safe for concurrent use.
type Pool struct {
	address netip.AddrPort
	cfg     Config
	g       *group.Group

	mu     sync.Mutex
	idle   []*conn
	open   int
	closed bool
}

// NewPool returns a pool for address. Request bodies are sent by goroutines of g.
func NewPool(address netip.AddrPort, cfg Config, g *group.Group) *Pool {
	return &Pool{address: address, cfg: cfg, g: g}
}

// Address returns the address of the pool.
func (p *Pool) Address() netip.AddrPort { return p.address }

// MaxConnections returns the limit of connections.
func (p *Pool) MaxConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cfg.MaxConnections
}

// SetMaxConnections changes the limit of connections. Connections beyond it are closed when
// they are idle.
func (p *Pool) SetMaxConnections(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cfg.MaxConnections = n
	p.closeExcess()
}

// closeExcess closes the oldest idle connections beyond the limit. The caller holds the
// mutex.
func (p *Pool) closeExcess() {
	for p.open > p.cfg.MaxConnections && len(p.idle) > 0 {
		_ = p.idle[0].nc.Close()
		p.idle = p.idle[1:]
		p.open--
	}
}

// Close closes the idle connections. Those in use are closed at the end of their response.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.open -= len(idle)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.nc.Close()
	}
}

// CloseIdle closes connections that have been idle for longer than the idle timeout.
func (p *Pool) CloseIdle(now time.Time) {
	p.mu.Lock()
	var expired []*conn
	keep := p.idle[:0]
	for _, c := range p.idle {
		if c.expired(now, p.cfg.IdleTimeout) {
			expired = append(expired, c)
		} else {
			keep = append(keep, c)
		}
	}
	p.idle = keep
	p.open -= len(expired)
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.nc.Close()
	}
}

// DropIdle closes all idle connections.
func (p *Pool) DropIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.nc.Close()
	}
}

// HasIdle reports whether there is an idle connection.
func (p *Pool) HasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0
}

// NeedsRefresh reports whether there is an idle connection, but none that carried a response
// within MaxNonIdempotentIdle.
func (p *Pool) NeedsRefresh() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	return n > 0 && time.Since(p.idle[n-1].lastResponse) > p.cfg.MaxNonIdempotentIdle
}

// get returns an idle connection or opens one. For a request that is not idempotent, an idle
// connection must have carried a response within MaxNonIdempotentIdle, because an older one
// may be dead without an error.
func (p *Pool) get(ctx context.Context, o Options) (*conn, error) {
	for {
		c, mayDial := p.takeIdle(o)
		if c != nil {
			if !c.expired(time.Now(), p.cfg.IdleTimeout) && c.isIdle() {
				return c, nil
			}
			p.discard(c)
			continue
		}
		if o.IdleOnly {
			return nil, ErrNoIdleConnection
		}
		if !mayDial {
			return nil, ErrPoolExhausted
		}
		if o.Dial != nil {
			return p.dialWith(ctx, o.Dial)
		}
		return p.dial(ctx)
	}
}

// takeIdle returns the connection used last, or reports whether a new one may be opened.
// At the limit of connections, it closes the oldest idle one to make room.
func (p *Pool) takeIdle(o Options) (c *conn, mayDial bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 && !o.NewConnection && o.Dial == nil {
		last := p.idle[n-1]
		if o.Idempotent || time.Since(last.lastResponse) <= p.cfg.MaxNonIdempotentIdle {
			p.idle = p.idle[:n-1]
			return last, false
		}
	}
	if o.IdleOnly {
		return nil, false
	}
	if p.open >= p.cfg.MaxConnections && len(p.idle) > 0 {
		oldest := p.idle[0]
		p.idle = p.idle[1:]
		p.open--
		_ = oldest.nc.Close()
	}
	if p.open >= p.cfg.MaxConnections {
		return nil, false
	}
	p.open++
	return nil, true
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	return p.dialWith(ctx, func(ctx context.Context) (net.Conn, error) { return p.cfg.Dial(ctx, p.address) })
}

func (p *Pool) dialWith(ctx context.Context, dial func(ctx context.Context) (net.Conn, error)) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	nc, err := dial(ctx)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	return newConn(nc), nil
}

// put returns a connection to the pool after a response that ended cleanly.
func (p *Pool) put(c *conn) {
	c.lastResponse = time.Now()
	c.reused = true
	mayReuse := p.cfg.MayReuse == nil || p.cfg.MayReuse(c.nc)
	p.mu.Lock()
	if !p.closed && mayReuse {
		p.idle = append(p.idle, c)
		p.closeExcess()
		p.mu.Unlock()
		return
	}
	p.open--
	p.mu.Unlock()
	_ = c.nc.Close()
}

// discard closes a connection that must not be reused.
func (p *Pool) discard(c *conn) {
	_ = c.nc.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// OpenConnections returns the number of open connections.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
