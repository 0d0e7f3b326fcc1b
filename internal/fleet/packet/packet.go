// Package packet carries small messages between hosts in UDP datagrams.
//
// Datagrams suit messages whose loss costs little: there are no connections that
// can go silent, and none to open after a partition. Whoever needs an answer asks
// again. Messages are CBOR; each bears a code over its bytes with the fleet's key,
// so that nobody else on the network can take part.
//
// # Usage
//
//	c, err := packet.Listen(ctx, address, keys)
//	g.Go("packets", func(ctx context.Context) error { return c.Run(ctx, handle) })
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

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// MaxBytes bounds a message, so that it fits one frame of a usual network.
	MaxBytes = 1400
	// codeBytes is the length of the authentication code.
	codeBytes = 16
)

// ErrTooLarge reports a message that does not fit a datagram.
var ErrTooLarge = errors.New("packet: message is too large")

// Conn sends and receives messages of type M. It is safe for concurrent use.
type Conn[M any] struct {
	udp  *net.UDPConn
	keys func() [][]byte
	bad  atomic.Int64
}

// Listen opens the socket. keys returns the fleet's keys, none while none is known; then
// nothing is sent or taken in. The first one signs, and all are accepted.
func Listen[M any](ctx context.Context, address netip.AddrPort, keys func() [][]byte) (*Conn[M], error) {
	var cfg net.ListenConfig
	pc, err := cfg.ListenPacket(ctx, "udp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "packet")
	}
	udp, ok := pc.(*net.UDPConn)
	if !ok {
		return nil, errors.Errorf("packet: unexpected socket %T", pc)
	}
	return &Conn[M]{udp: udp, keys: keys}, nil
}

// Close closes the socket.
func (c *Conn[M]) Close() error { return c.udp.Close() }

// Rejected returns the number of datagrams that were not taken in.
func (c *Conn[M]) Rejected() int64 { return c.bad.Load() }

// Send sends a message. It may be lost without an error.
func (c *Conn[M]) Send(to netip.AddrPort, m M) error {
	keys := c.keys()
	if len(keys) == 0 {
		return errors.New("packet: no key is known yet")
	}
	data, err := cbor.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "packet")
	}
	if len(data)+codeBytes > MaxBytes {
		return errors.Wrapf(ErrTooLarge, "%d bytes", len(data))
	}
	_, err = c.udp.WriteToUDPAddrPort(append(data, code(keys[0], data)...), to)
	return errors.Wrap(err, "packet")
}

func code(key, data []byte) []byte {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write(data)
	return mac.Sum(nil)[:codeBytes]
}

// Run hands received messages to handle until ctx ends. handle must not block.
func (c *Conn[M]) Run(ctx context.Context, handle func(from netip.AddrPort, m M)) error {
	stop := context.AfterFunc(ctx, func() { _ = c.udp.Close() })
	defer stop()
	buf := make([]byte, MaxBytes)
	for {
		n, from, err := c.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "packet")
		}
		m, ok := c.decode(buf[:n])
		if !ok {
			c.bad.Add(1)
			continue
		}
		handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), m)
	}
}

func (c *Conn[M]) decode(datagram []byte) (m M, ok bool) {
	if len(datagram) <= codeBytes {
		return m, false
	}
	data, given := datagram[:len(datagram)-codeBytes], datagram[len(datagram)-codeBytes:]
	if !slices.ContainsFunc(c.keys(), func(key []byte) bool { return hmac.Equal(given, code(key, data)) }) {
		return m, false
	}
	return m, cbor.Unmarshal(data, &m) == nil
}
