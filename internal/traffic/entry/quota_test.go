package entry

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/account/quota"
	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
	"tamaracktiller.example/tamaracktiller/internal/process/settings"
	"tamaracktiller.example/tamaracktiller/internal/traffic/dispatcher"
)

// fakeQuotas counts charges and refunds.
type fakeQuotas struct {
	err              error
	charged, refunds int
}

func (q *fakeQuotas) Charge(ctx context.Context, _ string, _ *routing.Account) (func(), error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if q.err != nil {
		return nil, q.err
	}
	q.charged++
	return func() { q.refunds++ }, nil
}

// Guards against requests that are sent beyond the quota, that are charged though they have not run, or
// that are refunded though they may have run.
func TestRequestsAreChargedOnce(t *testing.T) {
	limited := &routing.Account{Name: "x", PerSecond: 5}
	tests := []struct {
		name       string
		account    *routing.Account
		err        error
		mayHaveRun bool
		left       bool
		status     int
		outcome    Outcome
		retryAfter time.Duration
		charged    int
		refunds    int
		placed     int
	}{
		{name: "no account", status: http.StatusServiceUnavailable, outcome: Refused, retryAfter: 7 * time.Millisecond, placed: 1},
		{name: "account without a rate", account: &routing.Account{Name: "x"}, status: http.StatusServiceUnavailable, outcome: Refused, retryAfter: 7 * time.Millisecond, placed: 1},
		{name: "rejected by the dispatcher", account: limited, status: http.StatusServiceUnavailable, outcome: Refused, retryAfter: 7 * time.Millisecond, charged: 1, refunds: 1, placed: 1},
		{name: "may have run", account: limited, mayHaveRun: true, status: http.StatusBadGateway, outcome: Unknown, retryAfter: 7 * time.Millisecond, charged: 1, placed: 1},
		{name: "beyond the quota", account: limited, err: &quota.ExceededError{RetryAfter: time.Second}, status: http.StatusTooManyRequests, outcome: Denied, retryAfter: time.Second},
		{name: "no credit host", account: limited, err: &quota.UnavailableError{RetryAfter: 300 * time.Millisecond}, status: http.StatusServiceUnavailable, outcome: Refused, retryAfter: 300 * time.Millisecond},
		{name: "client left", account: limited, left: true, status: statusClientClosed, outcome: ClientDisconnected},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			q := &fakeQuotas{err: tt.err}
			p := &waitingPlacer{err: &dispatcher.RejectedError{Reason: "no capacity", RetryAfter: 7 * time.Millisecond}}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if tt.left {
				cancel()
			}
			incoming, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://x/", nil)
			require.NoError(t, err)
			h := New(Config{Placer: p, Quotas: q, Bounds: settings.Bounds{RetryWindow: 10 * time.Second}, Log: logrus.NewEntry(log)}, nil)
			req := &clientRequest{h: h, incoming: incoming, route: &routing.Route{}, account: tt.account, mayHaveRun: tt.mayHaveRun, deadline: time.Now().Add(time.Second), started: time.Now()}
			resp := req.run(ctx)
			require.Equal(t, tt.status, resp.status)
			require.Equal(t, tt.outcome, resp.outcome)
			require.Equal(t, tt.retryAfter, resp.retryAfter)
			require.Equal(t, []int{tt.charged, tt.refunds, tt.placed}, []int{q.charged, q.refunds, len(p.requests)})
		})
	}
}
