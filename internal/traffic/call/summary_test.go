package call

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func ran(failed bool) *Answer { return &Answer{Outcome: Ran, Failed: failed} }

// TestSummary covers the outcome after several attempts. It must not be not-run if the
// request may have run in any of them.
func TestSummary(t *testing.T) {
	rejected, unknown := NotRun("queue is full", 0), Unknown("no answer", "t1")
	tests := []struct {
		name     string
		attempts []*Answer
		want     Outcome
	}{
		{"one rejection", []*Answer{rejected}, OutcomeNotRun},
		{"rejections only", []*Answer{rejected, rejected, rejected}, OutcomeNotRun},
		{"unknown, then rejected", []*Answer{unknown, rejected}, OutcomeUnknown},
		{"unknown, then rejected twice", []*Answer{unknown, rejected, rejected}, OutcomeUnknown},
		{"rejected, unknown, rejected", []*Answer{rejected, unknown, rejected}, OutcomeUnknown},
		{"a failed response, then rejected", []*Answer{ran(true), rejected}, OutcomeUnknown},
		{"unknown, then ran", []*Answer{unknown, ran(false)}, Ran},
		{"rejected, then ran", []*Answer{rejected, ran(false)}, Ran},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s Summary
			var last *Answer
			for _, a := range tt.attempts {
				last = s.Add(a)
			}
			require.Equal(t, tt.want, last.Outcome)
		})
	}
}
