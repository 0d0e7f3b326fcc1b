package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that come back late and are taken for new ones.
func TestTimeSpentOnEarlierAttempts(t *testing.T) {
	const usual = 3 * time.Second
	repeat := func(n int, waits ...time.Duration) (all []time.Duration) {
		for range n {
			all = append(all, waits...)
		}
		return all
	}
	tests := []struct {
		name   string
		before []time.Duration
		wait   time.Duration
		want   time.Duration
	}{
		{name: "first requests of a route", before: repeat(3, usual), wait: time.Second},
		{name: "a new request", before: repeat(20, usual), wait: usual},
		{name: "one that comes back", before: repeat(20, usual), wait: 2200 * time.Millisecond, want: 800 * time.Millisecond},
		{name: "a third comes back", before: repeat(40, usual, usual, 2*time.Second), wait: 2 * time.Second, want: time.Second},
		{name: "a client that waits longer", before: repeat(20, usual), wait: time.Minute},
		{name: "clients that differ", before: repeat(40, usual, time.Second, 2*time.Second), wait: time.Second},
		{name: "another configuration of the clients", before: append(repeat(200, usual), repeat(100, time.Second)...), wait: time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var c clientWait
			for _, wait := range tt.before {
				c.record(wait)
			}
			require.Equal(t, tt.want, c.record(tt.wait))
		})
	}
}
