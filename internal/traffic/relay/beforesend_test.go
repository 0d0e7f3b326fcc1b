package relay

import (
	"net/http"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// Guards against a request that is refused directly before it is sent and counts as one that may have
// run, or keeps a connection.
func TestRequestThatIsRefusedBeforeItIsSentHasNotRun(t *testing.T) {
	p, _ := newScriptedPool(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	errRefused := errors.New("refused")
	for _, refuse := range []bool{true, false} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://target/", nil)
		require.NoError(t, err)
		res, err := p.RoundTrip(t.Context(), req, Options{Idempotent: true, BeforeSend: func() error {
			if refuse {
				return errRefused
			}
			return nil
		}})
		if !refuse {
			require.NoError(t, err)
			_ = res.Body.Close()
			continue
		}
		require.ErrorIs(t, err, errRefused)
		require.False(t, MayHaveRun(err))
		require.Zero(t, p.OpenConnections())
	}
}
