package crash

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// crashAt is a crash that happens some time after the start of a test.
type crashAt struct {
	after       time.Duration
	fingerprint uint64
	target      string
}

func TestOnlyPoisonRequestsAreRejected(t *testing.T) {
	const poison, innocent, third = 1, 2, 3
	tests := []struct {
		name     string
		crashes  []crashAt
		at       time.Duration
		poison   bool
		innocent bool
	}{
		{name: "no crash"},
		{name: "two targets crashed", crashes: []crashAt{{0, poison, "a"}, {time.Second, poison, "b"}}},
		{name: "one target crashed three times", crashes: []crashAt{{0, poison, "a"}, {time.Second, poison, "a"}, {2 * time.Second, poison, "a"}}},
		{name: "three targets crashed", crashes: []crashAt{{0, poison, "a"}, {time.Minute, poison, "b"}, {2 * time.Minute, poison, "c"}}, at: 3 * time.Minute, poison: true},
		{name: "three targets crashed in quick succession, through retries", crashes: []crashAt{{0, poison, "a"}, {time.Millisecond, poison, "b"}, {2 * time.Millisecond, poison, "c"}}, poison: true},
		{
			name:    "other requests ran on the same targets",
			crashes: []crashAt{{0, poison, "a"}, {0, innocent, "a"}, {time.Millisecond, poison, "b"}, {time.Millisecond, third, "b"}, {2 * time.Millisecond, poison, "c"}}, poison: true,
		},
		{
			name: "a rack fails, and with it every attempt of an innocent request",
			crashes: []crashAt{
				{0, innocent, "a"}, {time.Millisecond, innocent, "b"}, {2 * time.Millisecond, innocent, "c"},
				{0, third, "d"}, {0, third, "e"}, {0, poison, "f"},
			},
		},
		{name: "the crashes are too old", crashes: []crashAt{{0, poison, "a"}, {time.Second, poison, "b"}, {2 * time.Second, poison, "c"}}, at: time.Hour},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Unix(1_000_000, 0)
			local, remote := NewDetector(), NewDetector()
			for _, at := range tt.crashes {
				now := start.Add(at.after)
				c := local.RecordCrash(now, at.fingerprint, at.target)
				require.True(t, remote.Merge(now, c))
				require.False(t, remote.Merge(now, c))
			}
			for _, detector := range []*Detector{local, remote} {
				require.Equal(t, tt.poison, detector.IsPoison(start.Add(tt.at), poison))
				require.Equal(t, tt.innocent, detector.IsPoison(start.Add(tt.at), innocent))
			}
		})
	}
}
