package crash

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type seen struct {
	after       time.Duration
	fingerprint uint64
	target      string
}

func TestOnlyRequestsThatCrashTargetsAreRefused(t *testing.T) {
	const poison, innocent, third = 1, 2, 3
	tests := []struct {
		name     string
		deaths   []seen
		at       time.Duration
		poison   bool
		innocent bool
	}{
		{name: "nothing died"},
		{name: "two targets died", deaths: []seen{{0, poison, "a"}, {time.Second, poison, "b"}}},
		{name: "one target died thrice", deaths: []seen{{0, poison, "a"}, {time.Second, poison, "a"}, {2 * time.Second, poison, "a"}}},
		{name: "three targets died", deaths: []seen{{0, poison, "a"}, {time.Minute, poison, "b"}, {2 * time.Minute, poison, "c"}}, at: 3 * time.Minute, poison: true},
		{name: "at once, by retries", deaths: []seen{{0, poison, "a"}, {time.Millisecond, poison, "b"}, {2 * time.Millisecond, poison, "c"}}, poison: true},
		{
			name:   "with neighbours on the same targets",
			deaths: []seen{{0, poison, "a"}, {0, innocent, "a"}, {time.Millisecond, poison, "b"}, {time.Millisecond, third, "b"}, {2 * time.Millisecond, poison, "c"}}, poison: true,
		},
		{
			name: "a rack fails and takes every try of an innocent request",
			deaths: []seen{
				{0, innocent, "a"}, {time.Millisecond, innocent, "b"}, {2 * time.Millisecond, innocent, "c"},
				{0, third, "d"}, {0, third, "e"}, {0, poison, "f"},
			},
		},
		{name: "long ago", deaths: []seen{{0, poison, "a"}, {time.Second, poison, "b"}, {2 * time.Second, poison, "c"}}, at: time.Hour},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Unix(1_000_000, 0)
			g, other := NewGuard(), NewGuard()
			for _, s := range tt.deaths {
				now := start.Add(s.after)
				d := g.Died(now, s.fingerprint, s.target)
				require.True(t, other.Merge(now, d))
				require.False(t, other.Merge(now, d))
			}
			for _, guard := range []*Guard{g, other} {
				require.Equal(t, tt.poison, guard.Refuses(start.Add(tt.at), poison))
				require.Equal(t, tt.innocent, guard.Refuses(start.Add(tt.at), innocent))
			}
		})
	}
}
