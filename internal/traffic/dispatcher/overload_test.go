package dispatcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against overload in which most calls start too late to end within their objectives,
// while targets have the capacity to serve most of them in time.
func TestCallsEndInTimeWhileMoreArriveThanTargetsCarry(t *testing.T) {
	views := callKind{name: "view", priority: 1, perSecond: 62, serviceTime: 160 * time.Millisecond, objective: 380 * time.Millisecond, deadline: 3 * time.Second}
	orders := callKind{name: "order", priority: 0, perSecond: 27, serviceTime: 210 * time.Millisecond, objective: 480 * time.Millisecond, deadline: 3 * time.Second}
	unsteady := behavior{contentionAt: 0.8, contentionFactor: 1.7, slowShare: 0.3, slowFactor: 5, meanFast: 350 * time.Millisecond}
	// minShare is the minimum ratio of calls in time to those of the oracle.
	const minShare = 0.8
	tests := []struct {
		name  string
		burst float64
	}{
		{name: "a little more", burst: 1.3},
		{name: "twice as many", burst: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sc := scenario{hosts: 4, targets: 20, slots: 2, length: 8 * time.Second, kinds: []callKind{views, orders}, behavior: unsteady, burst: between(time.Second, 7*time.Second, tt.burst)}
			oracleResult, got := runOracle(t, sc, true), runDispatchers(t, sc, false)
			inTime, want := 0, 0
			for _, k := range sc.kinds {
				r, o := got[k.name], oracleResult[k.name]
				t.Logf("%-6s %d calls: %d in time, %d late, %d rejected; oracle %d in time, %d late, %d rejected", k.name, r.calls, r.inTime, r.late, r.rejected, o.inTime, o.late, o.rejected)
				inTime += r.inTime
				want += o.inTime
			}
			require.GreaterOrEqual(t, float64(inTime), minShare*float64(want))
		})
	}
}
