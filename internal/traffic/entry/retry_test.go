package entry

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
	"tamaracktiller.example/tamaracktiller/internal/intake/resource"
	"tamaracktiller.example/tamaracktiller/internal/traffic/placement"
	"tamaracktiller.example/tamaracktiller/internal/traffic/targets"
)

func TestRetryAfterIsShortWhenTheTargetHadCapacity(t *testing.T) {
	req := &clientRequest{h: &Handler{typicalTimes: map[string]time.Duration{"r": 200 * time.Millisecond}}, route: &routing.Route{Name: "r"}}
	tests := []struct {
		name string
		info targets.ResponseInfo
		want time.Duration
	}{
		{name: "capacity", info: targets.ResponseInfo{LoadKnown: true, Load: placement.Load{Running: 1, Slots: 2}}, want: shortRetryAfter},
		{name: "all slots in use", info: targets.ResponseInfo{LoadKnown: true, Load: placement.Load{Running: 2, Slots: 2}}, want: 100 * time.Millisecond},
		{name: "requests are queued", info: targets.ResponseInfo{LoadKnown: true, Load: placement.Load{Running: 1, Waiting: 1, Slots: 2}}, want: 100 * time.Millisecond},
		{name: "no load is reported", want: 100 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, req.retryAfter(attempt{outcome: rejected, info: tt.info}))
		})
	}
}

// Guards against attempts that are repeated although no memory is left for a response.
func TestAttemptsWithoutMemoryForTheResponseAreNotRepeated(t *testing.T) {
	req := &clientRequest{h: &Handler{shutdown: newShutdown()}, route: &routing.Route{Idempotent: true, MaxAttempts: 3}, deadline: time.Now().Add(time.Minute)}
	require.True(t, req.mayRetry(attempt{req: req, outcome: outcomeUnknown, cause: errNotFromTarget}, 0))
	require.False(t, req.mayRetry(attempt{req: req, outcome: outcomeUnknown, cause: errors.Wrap(resource.ErrShort, "response")}, 0))
}
