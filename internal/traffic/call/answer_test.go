package call

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func ran(failed bool) *Answer { return &Answer{Outcome: Ran, Failed: failed} }

// TestSummary covers what a caller is told after several tries. A request that
// may have run in any of them must not be told not-run.
func TestSummary(t *testing.T) {
	refused, unknown := NotRun("queue is full", 0), Unknown("no answer", "t1")
	tests := []struct {
		name  string
		tries []*Answer
		want  Outcome
	}{
		{"one refusal", []*Answer{refused}, OutcomeNotRun},
		{"refusals only", []*Answer{refused, refused, refused}, OutcomeNotRun},
		{"unknown, then refused", []*Answer{unknown, refused}, OutcomeUnknown},
		{"unknown, then refused twice", []*Answer{unknown, refused, refused}, OutcomeUnknown},
		{"refused, unknown, refused", []*Answer{refused, unknown, refused}, OutcomeUnknown},
		{"a failed answer, then refused", []*Answer{ran(true), refused}, OutcomeUnknown},
		{"unknown, then ran", []*Answer{unknown, ran(false)}, Ran},
		{"refused, then ran", []*Answer{refused, ran(false)}, Ran},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s Summary
			var last *Answer
			for _, a := range tt.tries {
				last = s.Add(a)
			}
			require.Equal(t, tt.want, last.Outcome)
		})
	}
}
