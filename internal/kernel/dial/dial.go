// Package dial opens TCP connections that quickly detect an unreachable peer.
//
// A connection can stop working without an error, for example when a middlebox loses its
// state. Keep-alive probes and a time limit for acknowledgements turn this into an error.
//
// # Usage
//
//	nc, err := dial.TCP(ctx, address)
package dial

// This file defines TCP.

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout is the time after which a connection with unacknowledged data is
	// closed. Round trips within a region take milliseconds, and lost packets are
	// retransmitted after about 200 ms.
	userTimeout = 1500 * time.Millisecond
	// keepAlivePeriod is the idle time before the first keep-alive probe, and the interval
	// between probes.
	keepAlivePeriod = time.Second
	// keepAliveCount is the number of unanswered probes after which a connection is closed.
	keepAliveCount = 2
)

// TCP opens a TCP connection to address.
func TCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	return TCPFrom(ctx, netip.Addr{}, address)
}

// TCPFrom opens a TCP connection from a local address to address. The zero source leaves the
// choice of the local address to the system.
func TCPFrom(ctx context.Context, source netip.Addr, address netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{
		Control:         UserTimeout(userTimeout),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: keepAliveCount},
	}
	if source.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	return d.DialContext(ctx, "tcp", address.String())
}

// UserTimeout returns a Control function for net.Dialer that sets TCP_USER_TIMEOUT: the
// kernel closes the connection if sent data is not acknowledged within timeout.
func UserTimeout(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var sockoptErr error
		err := raw.Control(func(fd uintptr) {
			sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return sockoptErr
	}
}
