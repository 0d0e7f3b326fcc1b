package entry

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/fleet/roster"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/traffic/dispatcher"
	"tamaracktiller.example/tamaracktiller/internal/traffic/eligibility"
	"tamaracktiller.example/tamaracktiller/internal/traffic/placement"
	"tamaracktiller.example/tamaracktiller/internal/traffic/targets"
)

// Guards against a request that is sent to a target whose domain was evacuated after the grant, counts
// as an attempt there, or is given up because its body is streamed.
func TestRequestIsPlacedAgainIfItsTargetIsEvacuated(t *testing.T) {
	for _, streamed := range []bool{false, true} {
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		links := targets.NewLinks(targets.Config{Log: logrus.NewEntry(logger)}, group.New(t.Context()))
		links.SetTargets(&directory.Snapshot{
			Evacuated: map[string]bool{"d": true},
			Withheld:  map[string][]roster.WithheldTarget{"s": {{ID: "t", Service: "s", Domain: "d", Reason: eligibility.Evacuated}}},
		}, nil)
		p := &waitingPlacer{}
		h := New(Config{Placer: p, Links: links, Log: logrus.NewEntry(logger)}, nil)
		req := &clientRequest{h: h, incoming: &http.Request{}, route: &routing.Route{Name: "r"}, streamed: streamed, started: time.Now(), deadline: time.Now().Add(time.Second)}
		out := req.send(t.Context(), dispatcher.Grant{Choice: placement.Choice{ID: "t"}}, false)
		req.countAttempt(out)
		require.Equal(t, notSent, out.outcome)
		require.ErrorIs(t, out.cause, targets.ErrEvacuated)
		require.Equal(t, []placement.Result{placement.Cancelled}, p.returned, "the target has not failed")
		require.Zero(t, req.attempts)
		require.True(t, req.mayRetry(out, maxRetries))
		req.deadline = time.Now()
		require.False(t, req.mayRetry(out, 0))
	}
}
