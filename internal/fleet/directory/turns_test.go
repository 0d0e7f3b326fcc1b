package directory

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
)

func TestFollowersGoBeforeThoseThatAskASpare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		turns := make(turns, 2)
		require.True(t, turns.take(t.Context(), 0), "nothing is on its way")
		require.False(t, turns.take(t.Context(), 0), "a follower may come")
		require.True(t, turns.take(t.Context(), time.Second))
		require.False(t, turns.take(t.Context(), time.Second), "two are on their way")
		began := time.Now()
		time.AfterFunc(300*time.Millisecond, turns.leave)
		require.True(t, turns.take(t.Context(), time.Second), "one has left")
		require.Equal(t, 300*time.Millisecond, time.Since(began))
		turns.leave()
		turns.leave()
		require.True(t, turns.take(t.Context(), 0))
	})
}

// A host that has just started is asked again soon, and not passed over.
func TestHostWithoutTheSecretIsOnlyBusy(t *testing.T) {
	d := New(Config{Decoder: plain{}}, group.New(t.Context()))
	tests := []struct {
		query string
		want  int
	}{
		{query: "after=0.0&wait=0s", want: http.StatusServiceUnavailable},
		{query: "after=7&wait=0s", want: http.StatusBadRequest},
		{query: "after=0.0", want: http.StatusBadRequest},
	}
	for _, tt := range tests {
		w := httptest.NewRecorder()
		d.ServeHTTP(w, httptest.NewRequest(http.MethodGet, ChangesPath+"?"+tt.query, nil))
		require.Equal(t, tt.want, w.Code, tt.query)
	}
}
