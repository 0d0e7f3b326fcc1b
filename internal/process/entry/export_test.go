package entry

import (
	"context"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
	"tamaracktiller.example/tamaracktiller/internal/intake/resource"
)

// Kill ends the process without the steps of a shutdown: requests in flight get no response,
// and the entry of the host stays until its lease ends.
func (p *Process) Kill() {
	_ = p.clientServer.Close()
	_ = p.readinessServer.Close()
	_ = p.peerServer.Close()
	_ = p.packets.Close()
	p.cancelAll()
}

// End cancels all goroutines of the process, which may still be starting. It begins no more calls.
func (p *Process) End() {
	p.cancelAll()
	<-p.g.Context().Done()
}

func (p *Process) cancelAll() {
	p.g.Go("kill", func(context.Context) error { return errKilled })
}

var errKilled = errors.New("entry: killed")

// Budget returns the budget for clients, or nil.
func (p *Process) Budget() *resource.Budget { return p.clientBudget }

// LastStart is lastStart, for tests.
var LastStart = lastStart

// Charge charges a request to an account, as the handler does for requests with the account's key.
func (p *Process) Charge(ctx context.Context, id string, a *routing.Account) (refund func(), err error) {
	return p.quotas.Charge(ctx, id, a)
}

// Issues reports whether the host is the credit host of all hosts.
func (p *Process) Issues() bool { return p.quotas.Status().Share >= 1 }
