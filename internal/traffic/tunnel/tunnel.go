// Package tunnel carries connections to targets through another host of the fleet, for a host
// whose own links to the targets are broken.
//
// A tunnel is a WebSocket between two hosts that carries the bytes of one connection to one
// registered target. The other host opens that connection over its own links only, so there is
// never more than one hop, and knows nothing of the requests in it: what was sent, what may
// have run, retries, limits and deadlines stay with the host that opened the tunnel. The end
// of a tunnel tells a connection that the target closed from one that broke, so that a
// truncated response never looks complete. Each tunnel carries one request.
//
// # Usage
//
//	mux.Handle(tunnel.Path, tunnel.NewServer(cfg, group)) // for other hosts
//	d := tunnel.NewDialer(cfg)
//	conn, err := d.Dial(ctx, target, requestID)
package tunnel

// This file defines what both ends share.

import (
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/fleet/packet"
)

// Path is the URL path under which a host serves tunnels.
const Path = "/fleet/tunnel"

// Headers of the request that opens a tunnel.
const (
	headerTarget  = "Fleet-Target"
	headerRequest = "Fleet-Request"
	headerHost    = "Fleet-Host"
	headerMAC     = "Fleet-Code"
)

// Errors of Dial. In each case nothing was sent to the target.
var (
	// ErrNoPeer reports that no other host could be asked.
	ErrNoPeer = errors.New("tunnel: no other host is available")
	// ErrUnreachable reports that other hosts do not reach the target either.
	ErrUnreachable = errors.New("tunnel: other hosts do not reach the target")
)

// mac returns the message authentication code of the headers.
func mac(secret []byte, h http.Header) string {
	text := strings.Join([]string{Path, h.Get(headerHost), h.Get(headerTarget), h.Get(headerRequest)}, "\n")
	return hex.EncodeToString(packet.MAC(secret, []byte(text)))
}
