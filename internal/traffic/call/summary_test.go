package call

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func ran(failed bool) *Result { return &Result{Outcome: OutcomeRan, Failed: failed} }

// TestSummary covers the outcome after several attempts. It must not be not-run if the
// request may have run in any of them.
func TestSummary(t *testing.T) {
	rejected, unknown := NotRun("queue is full", 0), Unknown("no answer", "t1")
	tests := []struct {
		name     string
		attempts []*Result
		want     Outcome
	}{
		{"one rejection", []*Result{rejected}, OutcomeNotRun},
		{"rejections only", []*Result{rejected, rejected, rejected}, OutcomeNotRun},
		{"unknown, then rejected", []*Result{unknown, rejected}, OutcomeUnknown},
		{"unknown, then rejected twice", []*Result{unknown, rejected, rejected}, OutcomeUnknown},
		{"rejected, unknown, rejected", []*Result{rejected, unknown, rejected}, OutcomeUnknown},
		{"a failed response, then rejected", []*Result{ran(true), rejected}, OutcomeUnknown},
		{"unknown, then ran", []*Result{unknown, ran(false)}, OutcomeRan},
		{"rejected, then ran", []*Result{rejected, ran(false)}, OutcomeRan},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s Summary
			var last *Result
			for _, result := range tt.attempts {
				last = s.Add(result)
			}
			require.Equal(t, tt.want, last.Outcome)
		})
	}
}
