package entry

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/process/settings"
	"tamaracktiller.example/tamaracktiller/internal/traffic/budget"
	"tamaracktiller.example/tamaracktiller/internal/traffic/dispatcher"
	"tamaracktiller.example/tamaracktiller/internal/traffic/placement"
	"tamaracktiller.example/tamaracktiller/internal/traffic/targets"
)

// Guards against requests that are lost for lack of retry budget although their clients would have
// waited until there was one, and against ones that are held although their clients can come back.
func TestRequestsWaitForTheRetryBudget(t *testing.T) {
	const typical = 200 * time.Millisecond
	tests := []struct {
		name     string
		returned bool
		outcome  attemptOutcome
		left     time.Duration
		// earned is the time after which other requests have earned an extra attempt; zero for
		// never.
		earned time.Duration
		// at is the time of the decision.
		at      time.Duration
		granted bool
	}{
		{name: "the target responded", returned: true, outcome: targetError, left: 2 * time.Second, earned: 300 * time.Millisecond},
		{name: "the client can come back", outcome: rejected, left: 2 * time.Second, earned: 50 * time.Millisecond},
		{name: "the client came back", returned: true, outcome: rejected, left: 2 * time.Second, earned: 300 * time.Millisecond, at: 300 * time.Millisecond, granted: true},
		{name: "the client came back, in vain", returned: true, outcome: rejected, left: 500 * time.Millisecond, at: 300 * time.Millisecond},
		{name: "too little time to come back", outcome: rejected, left: 235 * time.Millisecond, earned: 15 * time.Millisecond, at: 20 * time.Millisecond, granted: true},
		{name: "too little time for an attempt", returned: true, outcome: rejected, left: 150 * time.Millisecond, earned: 15 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				logger := logrus.New()
				logger.SetOutput(io.Discard)
				placer := &waitingPlacer{grant: dispatcher.Grant{Choice: placement.Choice{ID: "t"}}}
				h := New(Config{
					Placer: placer, Log: logrus.NewEntry(logger), Snapshot: func() *directory.Snapshot { return &directory.Snapshot{MaxHosts: 1} },
					Bounds: settings.Bounds{RetryRatio: 1, RetryWindow: 10 * time.Second},
				}, nil)
				h.typicalTimes["r"] = typical
				started := time.Now()
				req := &clientRequest{
					h: h, incoming: &http.Request{}, route: &routing.Route{Name: "r"}, service: routing.Service{Name: "s"}, started: started, deadline: started.Add(tt.left),
					returned: tt.returned, attempts: 1,
				}
				if tt.earned > 0 {
					time.AfterFunc(tt.earned-time.Millisecond, func() {
						h.countRequest("s")
						h.countRequest("s")
					})
				}
				ctx, cancel := context.WithDeadline(t.Context(), req.deadline)
				defer cancel()
				_, resp := req.assignNext(ctx, attempt{req: req, outcome: tt.outcome})
				require.InDelta(t, tt.at, time.Since(started), float64(2*budgetPoll))
				require.Equal(t, tt.granted, resp == nil)
				require.Empty(t, placer.returned)
				if resp != nil {
					require.Equal(t, tt.outcome == rejected, resp.status == http.StatusServiceUnavailable)
					require.Empty(t, placer.requests, "no target is asked for without budget")
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against a Retry-After with which the client comes back too late, and against clients that
// are held off although the load of the target is not why it rejected the request.
func TestRetryAfterOfRejectedRequests(t *testing.T) {
	const typical = 200 * time.Millisecond
	free := dispatcher.Grant{Choice: placement.Choice{LoadKnown: true, Load: placement.Load{Running: 1, Slots: 3}, Age: 5 * time.Millisecond, Concurrency: 2, Slots: 3}}
	old := free
	old.Age = time.Second
	full := free
	full.Concurrency = 4
	report := targets.ResponseInfo{NotRun: true, LoadKnown: true, Load: placement.Load{Running: 1, Slots: 3}}
	busy := targets.ResponseInfo{NotRun: true, LoadKnown: true, Load: placement.Load{Running: 3, Waiting: 2, Slots: 3}}
	tests := []struct {
		name     string
		last     attempt
		left     time.Duration
		min, max time.Duration
	}{
		{name: "the rejection reports a free slot", last: attempt{info: report}, left: 2 * time.Second, min: shortRetryAfter, max: 2 * shortRetryAfter},
		{name: "the rejection reports a queue", last: attempt{info: busy, grant: free}, left: 2 * time.Second, min: typical / 2, max: typical},
		{name: "no report, a free slot was known", last: attempt{grant: free}, left: 2 * time.Second, min: shortRetryAfter, max: 2 * shortRetryAfter},
		{name: "no report, a free slot was known long ago", last: attempt{grant: old}, left: 2 * time.Second, min: typical / 2, max: typical},
		{name: "no report, the target was full", last: attempt{grant: full}, left: 2 * time.Second, min: typical / 2, max: typical},
		{name: "just enough time to come back", last: attempt{grant: full}, left: typical + returnMargin + 20*time.Millisecond, min: 15 * time.Millisecond, max: 20 * time.Millisecond},
		{name: "too little time to come back", last: attempt{info: report}, left: typical},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				req := &clientRequest{h: &Handler{typicalTimes: map[string]time.Duration{"r": typical}}, route: &routing.Route{Name: "r"}, deadline: time.Now().Add(tt.left)}
				tt.last.outcome = rejected
				for range 50 {
					got := req.failureResponse(tt.last, "").retryAfter
					require.GreaterOrEqual(t, got, tt.min)
					require.LessOrEqual(t, got, tt.max)
				}
			})
		})
	}
}

// Guards against hedges that take the retry budget from requests that were rejected.
func TestHedgesGiveWayToRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := New(Config{
			Snapshot: func() *directory.Snapshot { return &directory.Snapshot{MaxHosts: 1} },
			Bounds:   settings.Bounds{RetryRatio: 1, RetryWindow: 10 * time.Second},
		}, nil)
		h.countRequest("s")
		h.countRequest("s")
		require.GreaterOrEqual(t, h.remainingRetries("s", budget.NeedHedge), 1.0)
		req := &clientRequest{h: h, service: routing.Service{Name: "s"}}
		req.askRetry(budget.NeedRetry)
		require.Less(t, h.remainingRetries("s", budget.NeedHedge), 1.0)
		require.GreaterOrEqual(t, h.remainingRetries("s", budget.NeedRetry), 1.0)
	})
}
