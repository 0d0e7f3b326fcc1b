package targets

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/traffic/ratelimit"
)

// Guards against targets that count as cold for seconds after a host has started, since they say nothing of
// a cold time while they have none, and against cold ones that count as warm.
func TestGoodHealthResponseWithoutAColdTimeIsOfAWarmTarget(t *testing.T) {
	cold := ratelimit.Cold{Known: true, Left: time.Second}
	tests := []struct {
		name   string
		info   ResponseInfo
		status int
		want   ratelimit.Cold
	}{
		{name: "good, no cold time", info: ResponseInfo{ColdOmitted: true}, status: http.StatusOK, want: ratelimit.Cold{Known: true}},
		{name: "not good, no cold time", info: ResponseInfo{ColdOmitted: true}, status: http.StatusServiceUnavailable},
		{name: "good, cold", info: ResponseInfo{Cold: cold}, status: http.StatusOK, want: cold},
		{name: "not good, cold", info: ResponseInfo{Cold: cold}, status: http.StatusServiceUnavailable, want: cold},
		{name: "good, invalid cold time", status: http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { require.Equal(t, tt.want, tt.info.healthCold(tt.status)) })
	}
}
