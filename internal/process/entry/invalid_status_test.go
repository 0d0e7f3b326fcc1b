package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

// Guards against invalid statuses of a faulty target: they were taken for informational responses, so that
// the client waited until its timeout or got the second response on the connection, or were passed on.
func TestInvalidStatusesReachNoClient(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			faulty := newRawTarget(t, func(w io.Writer, id string) bool {
				head := responseHead(id, "Content-Length: 6\r\n")
				_, _ = io.WriteString(w, strings.Replace(head, "200 OK", status+" Odd", 1))
				_, _ = io.WriteString(w, head+"second")
				return true
			})
			cl := newCluster(t, 1)
			cl.store.Put("servers/t-1", faulty.entry(t))
			time.Sleep(300 * time.Millisecond)
			resp, err := cl.send(t.Context(), cl.hosts[0], "b-1", "/book/x")
			require.NoError(t, err)
			require.Equal(t, http.StatusBadGateway, resp.status)
			require.NotContains(t, resp.body, "second")

			sound := target("t-2", platformtest.Behaviour{})
			t.Cleanup(sound.Close)
			cl.store.Put("servers/t-2", sound.Entry("ready"))
			time.Sleep(300 * time.Millisecond)
			for n := range 10 {
				resp, err = cl.send(t.Context(), cl.hosts[0], fmt.Sprintf("s-%d", n), "/search/x")
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, resp.status)
				require.True(t, strings.HasPrefix(resp.body, "t-2"), resp.body)
			}
		})
	}
}
