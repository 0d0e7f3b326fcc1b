// Package packet sends small messages between hosts in UDP datagrams.
//
// Datagrams suit messages whose loss costs little: there are no connections that can
// stall or that must be opened again after a partition. A sender that needs a response
// retries. Messages are encoded as CBOR. Each carries a MAC computed with the fleet
// secret, so that no one else on the network can forge messages.
//
// # Usage
//
//	c, err := packet.Listen(ctx, address, secrets)
//	g.Go("packets", func(ctx context.Context) error { return c.Run(ctx, handle, failed) })
//	err = c.Send(to, message)
package packet

// This file defines Conn.

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
)

const (
	// MaxBytes bounds a datagram, so that it fits one frame of common networks.
	MaxBytes = 1400
	// macBytes is the length of the message authentication code.
	macBytes = 16
)

// ErrTooLarge reports a message that does not fit a datagram.
var ErrTooLarge = errors.New("packet: message is too large")

// Conn sends and receives messages of type M. It is safe for concurrent use.
type Conn[M any] struct {
	udp      *net.UDPConn
	secrets  func() [][]byte
	rejected atomic.Int64
}

// Listen opens the socket. secrets returns the fleet secrets: the first one signs, and
// all are accepted. While there are none, Send fails and received datagrams are rejected.
func Listen[M any](ctx context.Context, address netip.AddrPort, secrets func() [][]byte) (*Conn[M], error) {
	var cfg net.ListenConfig
	pc, err := cfg.ListenPacket(ctx, "udp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "packet")
	}
	udp, ok := pc.(*net.UDPConn)
	if !ok {
		return nil, errors.Errorf("packet: unexpected socket %T", pc)
	}
	return &Conn[M]{udp: udp, secrets: secrets}, nil
}

// Close closes the socket.
func (c *Conn[M]) Close() error { return c.udp.Close() }

// Rejected returns the number of received datagrams that were rejected.
func (c *Conn[M]) Rejected() int64 { return c.rejected.Load() }

// Send sends a message. The message may be lost without an error.
func (c *Conn[M]) Send(to netip.AddrPort, m M) error { return c.SendAll([]netip.AddrPort{to}, m) }

// SendAll sends a message to several hosts. It is encoded once. After an error it is still sent to the others; the
// last error is returned.
func (c *Conn[M]) SendAll(to []netip.AddrPort, m M) error {
	secrets := c.secrets()
	if len(secrets) == 0 {
		return errors.New("packet: the fleet secret is not known yet")
	}
	data, err := cbor.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "packet")
	}
	if len(data)+macBytes > MaxBytes {
		return errors.Wrapf(ErrTooLarge, "%d bytes", len(data))
	}
	data = append(data, MAC(secrets[0], data)...)
	for _, address := range to {
		if _, writeErr := c.udp.WriteToUDPAddrPort(data, address); writeErr != nil {
			err = errors.Wrapf(writeErr, "packet: to %s", address)
		}
	}
	return err
}

// MAC returns the message authentication code of data under a secret.
func MAC(secret, data []byte) []byte {
	h := hmac.New(sha256.New, secret)
	_, _ = h.Write(data)
	return h.Sum(nil)[:macBytes]
}

// readRetryDelay is the pause after a failed read.
const readRetryDelay = 10 * time.Millisecond

// Run passes received messages to handle until ctx is done or the socket is closed. handle
// must not block. Errors of single reads are passed to failed.
func (c *Conn[M]) Run(ctx context.Context, handle func(from netip.AddrPort, m M), failed func(err error)) error {
	stop := context.AfterFunc(ctx, func() { _ = c.udp.Close() })
	defer stop()
	buf := make([]byte, MaxBytes)
	for {
		n, from, err := c.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			switch {
			case ctx.Err() != nil:
				return nil
			case errors.Is(err, net.ErrClosed):
				return errors.Wrap(err, "packet")
			}
			failed(err)
			timer.Sleep(ctx, readRetryDelay)
			continue
		}
		m, ok := c.decode(buf[:n])
		if !ok {
			c.rejected.Add(1)
			continue
		}
		handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), m)
	}
}

func (c *Conn[M]) decode(datagram []byte) (m M, ok bool) {
	if len(datagram) <= macBytes {
		return m, false
	}
	data, mac := datagram[:len(datagram)-macBytes], datagram[len(datagram)-macBytes:]
	if !slices.ContainsFunc(c.secrets(), func(secret []byte) bool { return hmac.Equal(mac, MAC(secret, data)) }) {
		return m, false
	}
	return m, cbor.Unmarshal(data, &m) == nil
}
