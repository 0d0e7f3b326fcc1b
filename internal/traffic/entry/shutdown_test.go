package entry

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
	"tamaracktiller.example/tamaracktiller/internal/traffic/dispatcher"
	"tamaracktiller.example/tamaracktiller/internal/traffic/placement"
)

// waitingPlacer lets the first placements wait until their context ends. The last one gets what is
// left of response.
type waitingPlacer struct {
	waits    int
	grant    dispatcher.Grant
	err      error
	requests []dispatcher.Request
	returned []placement.Result
}

func (p *waitingPlacer) Place(ctx context.Context, req dispatcher.Request) (dispatcher.Grant, error) {
	p.requests = append(p.requests, req)
	if len(p.requests) <= p.waits {
		<-ctx.Done()
		return dispatcher.Grant{}, ctx.Err()
	}
	return p.grant, p.err
}

func (p *waitingPlacer) Done(_ dispatcher.Grant, o dispatcher.Outcome) {
	p.returned = append(p.returned, o.Result)
}

// delayedPlacer grants a target after a delay.
type delayedPlacer struct {
	waitingPlacer
	delay time.Duration
}

func (p *delayedPlacer) Place(ctx context.Context, req dispatcher.Request) (dispatcher.Grant, error) {
	time.Sleep(p.delay)
	return p.waitingPlacer.Place(ctx, req)
}

// Guards against requests that wait at a host that shuts down until it is too late to go elsewhere.
func TestRequestsThatWaitWhenAShutdownBegins(t *testing.T) {
	const (
		typical   = 400 * time.Millisecond
		begin     = time.Second
		lastStart = 2 * time.Second
		end       = 5 * time.Second
		unlimited = 30 * time.Second
	)
	rejected := &dispatcher.RejectedError{Reason: "no target will have room in time", RetryAfter: 4 * time.Second}
	tests := []struct {
		name     string
		deadline time.Duration
		// lastStart is the latest time of a first attempt; 0 means the end.
		lastStart            time.Duration
		mayHaveRun, streamed bool
		placer               waitingPlacer
		// at is the time of the response, and status zero if the request got a target.
		at         time.Duration
		status     int
		placements int
		// dispatchedBy is the deadline that the dispatcher is told; 0 means the end.
		dispatchedBy time.Duration
		// retryAfter is the longest Retry-After.
		retryAfter time.Duration
	}{
		{name: "deadline before the end", deadline: 4 * time.Second, placer: waitingPlacer{waits: 9}, at: 4 * time.Second, status: http.StatusServiceUnavailable, placements: 1},
		{name: "gets a target", deadline: unlimited, placer: waitingPlacer{waits: 1}, at: begin, placements: 2},
		{name: "would not start in time", deadline: unlimited, placer: waitingPlacer{waits: 1, err: rejected}, at: begin, status: http.StatusServiceUnavailable, placements: 2, retryAfter: shutdownRetryAfter + shutdownRetrySpread},
		{name: "would not start in time, an attempt may have run", deadline: unlimited, mayHaveRun: true, placer: waitingPlacer{waits: 1, err: rejected}, at: begin, status: http.StatusBadGateway, placements: 2, retryAfter: shutdownRetryAfter + shutdownRetrySpread},
		{name: "rate limits leave no room", deadline: unlimited, placer: waitingPlacer{waits: 1, err: &dispatcher.RejectedError{RetryAfter: 4 * time.Second, Limited: true}}, at: begin, status: http.StatusServiceUnavailable, placements: 2, retryAfter: 4 * time.Second},
		{name: "waits in vain", deadline: unlimited, placer: waitingPlacer{waits: 2}, at: end - typical, status: http.StatusServiceUnavailable, placements: 2, retryAfter: shutdownRetryAfter + shutdownRetrySpread},
		{name: "granted target is too slow", deadline: unlimited, placer: waitingPlacer{waits: 1, grant: dispatcher.Grant{Choice: placement.Choice{ID: "t", ServiceTime: end}}}, at: begin, status: http.StatusServiceUnavailable, placements: 2, retryAfter: shutdownRetryAfter + shutdownRetrySpread},
		{name: "gets no target before the last start", deadline: unlimited, lastStart: lastStart, placer: waitingPlacer{waits: 2}, at: lastStart, status: http.StatusServiceUnavailable, placements: 2, dispatchedBy: lastStart + typical, retryAfter: shutdownRetryAfter + shutdownRetrySpread},
		{name: "gets a target before the last start", deadline: unlimited, lastStart: lastStart, placer: waitingPlacer{waits: 1}, at: begin, placements: 2, dispatchedBy: lastStart + typical},
		{name: "waits again after an attempt that may have run", deadline: unlimited, lastStart: lastStart, mayHaveRun: true, placer: waitingPlacer{waits: 2}, at: end - typical, status: http.StatusGatewayTimeout, placements: 2},
		{name: "body is not complete", deadline: unlimited, streamed: true, placer: waitingPlacer{waits: 1}, at: begin, status: http.StatusServiceUnavailable, placements: 1, retryAfter: shutdownRetryAfter + shutdownRetrySpread},
		{name: "deadline before the end, after the last start", deadline: 4 * time.Second, lastStart: lastStart, placer: waitingPlacer{waits: 9}, at: 4 * time.Second, status: http.StatusServiceUnavailable, placements: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				logger := logrus.New()
				logger.SetOutput(io.Discard)
				h := New(Config{Placer: &tt.placer, Log: logrus.NewEntry(logger)}, nil)
				h.typicalTimes["r"] = typical
				started := time.Now()
				req := &clientRequest{h: h, incoming: &http.Request{}, route: &routing.Route{Name: "r"}, started: started, deadline: started.Add(tt.deadline), mayHaveRun: tt.mayHaveRun, streamed: tt.streamed}
				time.AfterFunc(begin, func() { h.Drain(started.Add(cmp.Or(tt.lastStart, end)), started.Add(end)) })
				ctx, cancel := context.WithDeadline(t.Context(), req.deadline)
				defer cancel()
				_, resp := req.assign(ctx)
				require.Equal(t, tt.at, time.Since(started))
				require.Len(t, tt.placer.requests, tt.placements)
				if tt.placements > 1 {
					require.Equal(t, started.Add(cmp.Or(tt.dispatchedBy, end)), tt.placer.requests[1].Deadline)
				}
				if tt.status == 0 {
					require.Nil(t, resp)
					return
				}
				final := req.finalize(*resp)
				require.Equal(t, tt.status, final.status)
				require.LessOrEqual(t, final.retryAfter, tt.retryAfter)
				require.Equal(t, tt.retryAfter > 0, final.retryAfter > 0)
				time.Sleep(end)
			})
		})
	}
}

// Guards against requests that are sent to a target because they are expected to end before their host,
// and are cut.
func TestRequestsThatArriveDuringAShutdown(t *testing.T) {
	const (
		lastStart = 2 * time.Second
		end       = 5 * time.Second
	)
	tests := []struct {
		name string
		// at is the time of arrival from the beginning of the shutdown.
		at, timeout time.Duration
		grant       time.Duration
		placed      bool
		// deadline is the one that the dispatcher is told, from the beginning of the shutdown.
		deadline time.Duration
		status   int
	}{
		{name: "early", at: time.Second, timeout: 30 * time.Second, placed: true, deadline: lastStart + 400*time.Millisecond},
		{name: "early, granted target is too slow", at: time.Second, timeout: 30 * time.Second, grant: 4100 * time.Millisecond, placed: true, deadline: lastStart + 400*time.Millisecond, status: http.StatusServiceUnavailable},
		{name: "late, may outlast the host", at: 2100 * time.Millisecond, timeout: 3 * time.Second, status: http.StatusServiceUnavailable},
		{name: "late, ends before the host", at: 2100 * time.Millisecond, timeout: 2900 * time.Millisecond, placed: true, deadline: end},
		{name: "late, ends before the host, any grant", at: 4 * time.Second, timeout: time.Second, grant: 3 * time.Second, placed: true, deadline: end},
		{name: "at the end", at: 4700 * time.Millisecond, timeout: 30 * time.Second, status: http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				logger := logrus.New()
				logger.SetOutput(io.Discard)
				p := &waitingPlacer{grant: dispatcher.Grant{Choice: placement.Choice{ID: "t", ServiceTime: tt.grant}}}
				h := New(Config{Placer: p, Log: logrus.NewEntry(logger)}, nil)
				h.typicalTimes["r"] = 400 * time.Millisecond
				started := time.Now()
				h.Drain(started.Add(lastStart), started.Add(end))
				time.Sleep(tt.at)
				req := &clientRequest{h: h, incoming: &http.Request{}, route: &routing.Route{Name: "r"}, started: time.Now(), deadline: time.Now().Add(tt.timeout)}
				_, resp := req.assign(t.Context())
				require.Equal(t, tt.at, time.Since(started), "no request waits")
				if tt.placed {
					require.Equal(t, started.Add(tt.deadline), p.requests[0].Deadline)
				} else {
					require.Empty(t, p.requests, "no target is asked for when too little time is left")
				}
				if tt.status == 0 {
					require.Nil(t, resp)
				} else {
					require.Equal(t, tt.status, resp.status)
					require.Positive(t, resp.retryAfter)
				}
				require.False(t, req.isDone(t.Context()))
				time.Sleep(time.Until(started.Add(end)))
				require.True(t, req.isDone(t.Context()), "the last responses are due")
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against a request that is granted a target after the end of its host has come forward.
func TestGrantsAreReturnedWhenTheEndOfTheHostComesForward(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		p := &delayedPlacer{delay: 2 * time.Second}
		h := New(Config{Placer: p, Log: logrus.NewEntry(logger)}, nil)
		h.typicalTimes["r"] = 400 * time.Millisecond
		started := time.Now()
		h.Drain(started.Add(time.Second), started.Add(10*time.Second))
		req := &clientRequest{h: h, incoming: &http.Request{}, route: &routing.Route{Name: "r"}, started: started, deadline: started.Add(8 * time.Second)}
		time.AfterFunc(time.Second, func() { h.Drain(started.Add(time.Second), started.Add(4*time.Second)) })
		_, resp := req.assign(t.Context())
		require.Equal(t, http.StatusServiceUnavailable, resp.status)
		require.Equal(t, []placement.Result{placement.Cancelled}, p.returned)
		time.Sleep(10 * time.Second)
	})
}
