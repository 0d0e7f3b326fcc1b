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

func TestFollowersHavePriorityOverFallbackPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sem := make(semaphore, 2)
		require.True(t, sem.acquire(t.Context(), 0), "all slots are free")
		require.False(t, sem.acquire(t.Context(), 0), "the last slot is reserved for followers")
		require.True(t, sem.acquire(t.Context(), time.Second))
		require.False(t, sem.acquire(t.Context(), time.Second), "no slot is free")
		start := time.Now()
		time.AfterFunc(300*time.Millisecond, sem.release)
		require.True(t, sem.acquire(t.Context(), time.Second), "a slot was released")
		require.Equal(t, 300*time.Millisecond, time.Since(start))
		sem.release()
		sem.release()
		require.True(t, sem.acquire(t.Context(), 0))
	})
}

// A host without the fleet secret responds that it is busy, so that the client retries
// soon instead of suspecting it.
func TestHostWithoutSecretReportsBusy(t *testing.T) {
	d := New(Config{Decoder: plainDecoder{}}, group.New(t.Context()))
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
