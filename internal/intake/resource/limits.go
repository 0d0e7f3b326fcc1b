// Package resource bounds the memory and the descriptors that clients can make a host hold.
//
// Clients decide how many connections they open, how slowly they send a body and how slowly they read a
// response, and each of these makes a host hold bytes. The package handles many such clients at once, by
// intent or by accident: without a bound on the sum, the host runs out of memory and ends.
//
// Limits derives the bounds from the memory and the descriptors of a host. A Budget holds the sum of what
// all connections hold: fixed costs of connections and requests, headers, bodies, buffered responses,
// tunnels, and what lies in the buffers of their sockets. A Holder is the part of one connection, a
// Lease that of one request. Reservations grow as bytes arrive. When the budget is short, the connections
// that hold most for the longest time in a phase that their client controls are ended; if there are none,
// the new reservation is refused.
//
// A nil Budget, Holder or Lease bounds nothing and costs nothing.
//
// # Usage
//
//	b := resource.New(resource.LimitsOf(memoryBytes, descriptors), config)
//	h, ok := b.Open(conn)                  // for each accepted connection
//	defer h.Close()
//	l := resource.NewLease(h, requestBytes) // for each request; nil if the budget is short
//	defer l.End()
//	if !l.Grow(n) { ... refuse the request or end the connection ... }
//
//	timers.Every("client memory", resource.SweepPeriod, b.Sweep)
package resource

// This file defines Limits.

const (
	// bytesShare is the share of the memory of a host that clients may make it hold. The rest is for the
	// view of the fleet, garbage, the code and the kernel.
	bytesShare = 0.4
	// runtimeShare is the share of the memory that the runtime may use, clients included. The code of the
	// program and the buffers of sockets are not part of it.
	runtimeShare = 0.75
	// minRuntimeBytes is the least memory limit of the runtime. A process that serves no clients uses 10 to
	// 20 MB; below that, the collector would run without end.
	minRuntimeBytes = 32 << 20
	// connectionsShare is the share of Limits.Bytes for the fixed cost of connections.
	connectionsShare = 0.4
	// tunnelsShare is the share of Limits.Bytes for tunnels of other hosts.
	tunnelsShare = 0.25

	// ConnectionBytes is the fixed cost of a connection: buffers and the stack of its goroutine.
	ConnectionBytes = 16 << 10
	// tunnelBytes is the fixed cost of a tunnel, besides the buffers of its two sockets: two connections,
	// two buffers for copying, two goroutines.
	tunnelBytes = 96 << 10

	// fileDescriptors is the number of descriptors that a host keeps for files.
	fileDescriptors = 200
	// clientDescriptors is the share of the others for connections of clients, and tunnelDescriptors that
	// for both ends of tunnels. The rest is for connections to targets, of which a hedged request needs
	// two, hosts and the store.
	clientDescriptors = 0.4
	tunnelDescriptors = 0.125

	// The buffers of a socket are a part of the memory of a host, within bounds that let a client 16 ms
	// away send 4 MB a second.
	socketDivisor  = 2048
	minSocketBytes = 64 << 10
	maxSocketBytes = 256 << 10
	// UnacceptedSocketBytes is the size of the receive buffer of a connection until it is accepted. With
	// that of accepted ones, 600 clients filled 63 MB before the host had accepted and refused them.
	UnacceptedSocketBytes = 16 << 10
)

// Limits bounds what clients can make a host hold. Zero means no limit.
type Limits struct {
	// Bytes bounds the bytes that connections of clients and tunnels hold together.
	Bytes int64
	// Connections bounds the open connections of clients, and Tunnels those that the host carries for
	// other hosts.
	Connections int
	Tunnels     int
	// RuntimeBytes is the memory limit of the runtime, for debug.SetMemoryLimit.
	RuntimeBytes int64
	// SocketBytes is the size of the receive buffer of a connection.
	SocketBytes int
}

// LimitsOf returns the limits of a host with memoryBytes of memory and a number of descriptors; 0 means
// that they are unknown.
func LimitsOf(memoryBytes int64, descriptors int) Limits {
	var l Limits
	if memoryBytes > 0 {
		l.Bytes = int64(bytesShare * float64(memoryBytes))
		l.RuntimeBytes = max(minRuntimeBytes, int64(runtimeShare*float64(memoryBytes)))
		l.SocketBytes = int(min(max(memoryBytes/socketDivisor, minSocketBytes), maxSocketBytes))
		l.Connections = max(1, int(connectionsShare*float64(l.Bytes))/ConnectionBytes)
		l.Tunnels = max(1, int(tunnelsShare*float64(l.Bytes))/int(l.tunnelCost()))
	}
	if usable := float64(descriptors - fileDescriptors); descriptors > 0 {
		l.Connections = lower(l.Connections, max(1, int(clientDescriptors*usable)))
		l.Tunnels = lower(l.Tunnels, max(1, int(tunnelDescriptors*usable/2)))
	}
	return l
}

// tunnelCost returns what one tunnel may hold. Its sockets are not measured.
func (l Limits) tunnelCost() int64 { return tunnelBytes + 2*int64(l.SocketBytes) }

// lower returns the lower one of two limits, of which the first one may be 0 for none.
func lower(limit, other int) int {
	if limit == 0 {
		return other
	}
	return min(limit, other)
}
