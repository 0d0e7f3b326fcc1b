package tunnel

// This file defines Dialer, which opens tunnels through other hosts.

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/kernel/dial"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
)

const (
	// stagger is the time after which the next host is asked too.
	stagger = 40 * time.Millisecond
	// maxAsked bounds the hosts that are asked for one tunnel.
	maxAsked = 8
	// maxUnreached is the number of hosts that must fail to reach a target before it is given
	// up: a single one may have lost its links, too.
	maxUnreached = 2
	// avoidTime is the time for which a host is asked last after it could not help.
	avoidTime = 2 * time.Second
	// idleTimeout is the time after which an unused connection to a host is closed.
	idleTimeout = 5 * time.Second
	// maxHeaderBytes bounds a response header. A parsed header of many short fields takes many times its
	// length.
	maxHeaderBytes = 32 << 10
)

// DialerConfig holds the dependencies of a Dialer.
type DialerConfig struct {
	// Self is the name of this host.
	Self string
	// Hosts returns the hosts of the fleet by name, and Secret the secret that signs.
	Hosts  func() map[string]directory.Host
	Secret func() []byte
	// SocketBytes is the size of the receive buffer of a connection; 0 leaves it to the system.
	SocketBytes int
}

// Dialer opens tunnels. It is safe for concurrent use.
type Dialer struct {
	cfg    DialerConfig
	g      *group.Group
	client *http.Client

	mu sync.Mutex
	// avoidUntil holds the time, by host, until which it is asked last, and proven the time at
	// which something last arrived through it.
	avoidUntil map[string]time.Time
	proven     map[string]time.Time
}

// NewDialer returns a dialer. Its goroutines run in g.
func NewDialer(cfg DialerConfig, g *group.Group) *Dialer {
	transport := &http.Transport{DialContext: dialPeer(cfg.SocketBytes), IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxHeaderBytes, DisableCompression: true}
	return &Dialer{cfg: cfg, g: g, client: &http.Client{Transport: transport}, avoidUntil: map[string]time.Time{}, proven: map[string]time.Time{}}
}

func dialPeer(socketBytes int) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		addr, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, err
		}
		nc, err := dial.TCP(ctx, addr)
		if tcp, ok := nc.(*net.TCPConn); ok && socketBytes > 0 {
			_ = tcp.SetReadBuffer(socketBytes)
		}
		return nc, err
	}
}

// Conn is a connection to a target through another host.
type Conn struct {
	net.Conn
	ws *websocket.Conn
	d  *Dialer
	// heard is set when bytes of the target have arrived.
	heard atomic.Bool
	// Peer is the host that it goes through.
	Peer string
}

// Read implements net.Conn. It returns io.EOF only if the target has closed the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.heard.Store(true)
		c.d.recordHeard(c.Peer)
	}
	if err != nil && !c.heard.Load() && !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled) {
		// The other host may have lost its links and not know it yet.
		c.d.recordFailure(c.Peer, err)
	}
	if err != io.EOF && errors.Is(err, io.EOF) { //nolint:errorlint // A tunnel that broke ends with a wrapped io.EOF.
		err = errors.Wrap(io.ErrUnexpectedEOF, "tunnel broke")
	}
	return n, err
}

// Close closes the connection at once, without the closing handshake of WebSocket.
func (c *Conn) Close() error { return c.ws.CloseNow() }

// AvoidIfSilent makes the dialer ask the other host last for a while if nothing has arrived
// through it since a time: it may have lost its links and not know it yet.
func (c *Conn) AvoidIfSilent(since time.Time) {
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	if c.d.proven[c.Peer].Before(since) {
		c.d.avoidUntil[c.Peer] = time.Now().Add(avoidTime)
	}
}

// candidates returns up to maxAsked hosts in the order in which they are asked: those that
// helped lately, others, and those that could not, each in random order.
func (d *Dialer) candidates(now time.Time) []directory.Host {
	var proven, unknown, avoided []directory.Host
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, h := range d.cfg.Hosts() {
		switch {
		case name == d.cfg.Self:
		case now.Before(d.avoidUntil[name]):
			avoided = append(avoided, h)
		case now.Sub(d.proven[name]) < avoidTime:
			proven = append(proven, h)
		default:
			unknown = append(unknown, h)
		}
	}
	list := make([]directory.Host, 0, len(proven)+len(unknown)+len(avoided))
	for _, part := range [][]directory.Host{proven, unknown, avoided} {
		rand.Shuffle(len(part), func(i, j int) { part[i], part[j] = part[j], part[i] })
		list = append(list, part...)
	}
	return list[:min(len(list), maxAsked)]
}

// result is the outcome of asking one host.
type result struct {
	conn *Conn
	err  error
}

// Dial opens a connection to a target through another host. The request ID is for the logs of
// both. Errors: ErrNoPeer, ErrUnreachable, or that of ctx.
func (d *Dialer) Dial(ctx context.Context, target, requestID string) (*Conn, error) {
	hosts := d.candidates(time.Now())
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan result, len(hosts))
	asked, ended, unreached := 0, 0, 0
	defer func() {
		cancel()
		d.discard(results, asked-ended)
	}()
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-next.C:
			if asked < len(hosts) {
				d.ask(ctx, hosts[asked], target, requestID, results)
				asked++
				next.Reset(stagger)
			}
		case r := <-results:
			ended++
			if r.err == nil {
				return r.conn, nil
			}
			if errors.Is(r.err, ErrUnreachable) {
				unreached++
			}
			next.Reset(0)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		switch {
		case unreached >= maxUnreached:
			return nil, errors.Wrap(ErrUnreachable, target)
		case asked == len(hosts) && ended == asked && unreached > 0:
			return nil, errors.Wrap(ErrUnreachable, target)
		case asked == len(hosts) && ended == asked:
			return nil, errors.Wrapf(ErrNoPeer, "%d asked", asked)
		}
	}
}

// DialThrough opens a connection to a target through a certain host. Errors: ErrNoPeer,
// ErrUnreachable, or that of ctx.
func (d *Dialer) DialThrough(ctx context.Context, name, target, requestID string) (*Conn, error) {
	host, ok := d.cfg.Hosts()[name]
	if !ok {
		return nil, errors.Wrap(ErrNoPeer, name)
	}
	conn, err := d.open(ctx, host, target, requestID)
	if err != nil && ctx.Err() == nil {
		d.recordFailure(name, err)
	}
	return conn, err
}

// discard closes the connections that come too late.
func (d *Dialer) discard(results chan result, pending int) {
	for range pending {
		d.g.Go("discard tunnel", func(context.Context) error {
			if r := <-results; r.conn != nil {
				_ = r.conn.Close()
			}
			return nil
		})
	}
}

func (d *Dialer) ask(ctx context.Context, host directory.Host, target, requestID string, results chan<- result) {
	d.g.Go("ask for a tunnel", func(context.Context) error {
		conn, err := d.open(ctx, host, target, requestID)
		if err != nil && ctx.Err() == nil {
			d.recordFailure(host.Name, err)
		}
		results <- result{conn: conn, err: err}
		return nil
	})
}

// recordFailure records that a host did not open a tunnel. One that does not reach the target
// may reach others.
func (d *Dialer) recordFailure(host string, err error) {
	if errors.Is(err, ErrUnreachable) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.avoidUntil[host] = time.Now().Add(avoidTime)
	delete(d.proven, host)
}

// recordHeard records that bytes of a target arrived through a host. A tunnel that opens proves
// nothing: the host may have lost its links and not know it yet.
func (d *Dialer) recordHeard(host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.proven[host] = time.Now()
	delete(d.avoidUntil, host)
}

func (d *Dialer) open(ctx context.Context, host directory.Host, target, requestID string) (*Conn, error) {
	h := http.Header{}
	h.Set(headerHost, d.cfg.Self)
	h.Set(headerTarget, target)
	h.Set(headerRequest, requestID)
	h.Set(headerMAC, mac(d.cfg.Secret(), h))
	ws, res, err := websocket.Dial(ctx, "ws://"+host.PeerAddress.String()+Path, &websocket.DialOptions{HTTPClient: d.client, HTTPHeader: h})
	if res != nil && res.Body != nil {
		defer res.Body.Close()
	}
	if err != nil {
		if res != nil && res.StatusCode == http.StatusBadGateway {
			return nil, errors.Wrap(ErrUnreachable, host.Name)
		}
		return nil, errors.Wrap(err, host.Name)
	}
	return &Conn{Conn: websocket.NetConn(context.WithoutCancel(ctx), ws, websocket.MessageBinary), ws: ws, d: d, Peer: host.Name}, nil
}
