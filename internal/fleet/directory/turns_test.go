package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
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
