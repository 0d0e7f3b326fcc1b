package entry_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

// Guards against requests that are denied for the length of their header, although a configuration allows it.
func TestLongHeadersAreServed(t *testing.T) {
	cl := newCluster(t, 1, target("t-1", platformtest.Behaviour{}))
	for _, tt := range []struct {
		name   string
		header http.Header
		status int
	}{
		{name: "one field of 100 kB", header: http.Header{"X-Long": {strings.Repeat("h", 100_000)}}, status: http.StatusOK},
		{name: "a thousand fields", header: http.Header{"X-Long": strings.Split(strings.Repeat(strings.Repeat("h", 200)+",", 1000), ",")}, status: http.StatusOK},
		{name: "beyond all limits", header: http.Header{"X-Long": {strings.Repeat("h", 1<<20+8192)}}, status: http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.status, cl.sendWith(cl.hosts[0], tt.name, "/search/x", "", tt.header).status, "%s", cl.hosts[0].log)
		})
	}
}
