package eligibility

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a cause that is ignored because another one holds as well.
func TestStrictestCauseDecides(t *testing.T) {
	all := Facts{
		Evacuated: true, Draining: true, Leaving: true, Lapsed: true, Paused: true,
		RateLimited: true, LimitPerSecond: 2, Cold: true, ColdPerSecond: 3.6,
	}
	tests := []struct {
		name  string
		facts Facts
		clear func(f *Facts)
		want  Verdict
	}{
		{name: "no cause", facts: Facts{}, want: Verdict{}},
		{name: "all", facts: all, want: Verdict{Grade: Nothing, Reason: Evacuated}},
		{name: "not evacuated", facts: all, clear: func(f *Facts) { f.Evacuated = false }, want: Verdict{Grade: Nothing, Reason: Draining}},
		{name: "leaves", facts: Facts{Leaving: true, Lapsed: true, Paused: true}, want: Verdict{Grade: Nothing, Reason: Leaving}},
		{name: "lapsed", facts: Facts{Lapsed: true, Paused: true, Cold: true}, want: Verdict{Grade: Nothing, Reason: Lapsed}},
		{name: "paused", facts: Facts{Paused: true, RateLimited: true}, want: Verdict{Grade: Nothing, Reason: Paused}},
		{name: "limit below that of the cold", facts: Facts{RateLimited: true, LimitPerSecond: 2, Cold: true, ColdPerSecond: 3.6}, want: Verdict{Grade: Limited, PerSecond: 2, Reason: RateLimit}},
		{name: "limit above that of the cold", facts: Facts{RateLimited: true, LimitPerSecond: 5, Cold: true, ColdPerSecond: 3.6}, want: Verdict{Grade: Limited, PerSecond: 3.6, Reason: Cold}},
		{name: "not known whether cold", facts: Facts{Cold: true, ColdUnknown: true, ColdPerSecond: 3.6}, want: Verdict{Grade: Limited, PerSecond: 3.6, Reason: ColdUnknown}},
		{name: "limit of zero", facts: Facts{RateLimited: true}, want: Verdict{Grade: Limited, Reason: RateLimit}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := tt.facts
			if tt.clear != nil {
				tt.clear(&f)
			}
			require.Equal(t, tt.want, Decide(f))
		})
	}
}
