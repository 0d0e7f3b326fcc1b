package entry

import (
	"context"

	"github.com/pkg/errors"
)

// Kill ends the process without the steps of a shutdown: requests in flight get no response,
// and the entry of the host stays until its lease ends.
func (p *Process) Kill() {
	_ = p.clientServer.Close()
	_ = p.readinessServer.Close()
	_ = p.peerServer.Close()
	_ = p.packets.Close()
	p.g.Go("kill", func(context.Context) error { return errKilled })
}

var errKilled = errors.New("entry: killed")

// LastStart is lastStart, for tests.
var LastStart = lastStart
