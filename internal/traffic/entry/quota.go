package entry

// This file defines how requests are charged to client accounts.

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/account/quota"
	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
)

// Quotas charges requests to the quotas of client accounts.
type Quotas interface {
	// Charge charges a request. refund must be called if it has not run. The error is a
	// *quota.ExceededError, a *quota.UnavailableError or that of ctx.
	Charge(ctx context.Context, requestID string, a *routing.Account) (refund func(), err error)
}

// charge charges the request to its account. It returns a response if the request must not be sent.
func (req *clientRequest) charge(ctx context.Context) (refund func(), rejection *finalResponse) {
	if req.h.cfg.Quotas == nil || req.account == nil || req.account.PerSecond <= 0 {
		return func() {}, nil
	}
	refund, err := req.h.cfg.Quotas.Charge(ctx, req.id, req.account)
	if err == nil {
		return refund, nil
	}
	var exceeded *quota.ExceededError
	if errors.As(err, &exceeded) {
		return nil, reject(http.StatusTooManyRequests, "the account is beyond its quota", exceeded.RetryAfter)
	}
	var unavailable *quota.UnavailableError
	if errors.As(err, &unavailable) {
		return nil, reject(http.StatusServiceUnavailable, "no host issues credit for the account", unavailable.RetryAfter)
	}
	return nil, req.assignTimeoutResponse()
}
