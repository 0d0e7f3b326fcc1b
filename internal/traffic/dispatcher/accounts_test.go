package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an account that sends many times its usual rate and takes the capacity of others,
// across hosts and with targets whose speed varies.
func TestHotAccountDoesNotTakeTheCapacityOfOthers(t *testing.T) {
	const (
		others = 8
		// maxLoss is what all callers together may lose.
		maxLoss = 0.03
	)
	run := func(accounts, standalone bool) (hot, rest, all tally) {
		call := callKind{name: "hot", account: "hot", perSecond: 300, serviceTime: 120 * time.Millisecond, objective: 400 * time.Millisecond, deadline: 1500 * time.Millisecond}
		kinds := append(make([]callKind, 0, 1+others), call)
		for n := range others {
			call.name, call.account, call.perSecond = fmt.Sprintf("calm-%d", n), fmt.Sprintf("calm-%d", n), 10
			kinds = append(kinds, call)
		}
		if !accounts {
			for i := range kinds {
				kinds[i].account = ""
			}
		}
		got := runDispatchers(t, scenario{hosts: 4, targets: 16, slots: 3, length: 6 * time.Second, kinds: kinds}, standalone)
		for name, one := range got {
			sums := []*tally{&all, &rest}
			if name == "hot" {
				sums[1] = &hot
			}
			for _, sum := range sums {
				sum.calls, sum.inTime, sum.late, sum.rejected = sum.calls+one.calls, sum.inTime+one.inTime, sum.late+one.late, sum.rejected+one.rejected
			}
		}
		t.Logf("accounts %v, standalone %v: hot %.3f, others %.3f, all %.3f in time", accounts, standalone, hot.share(), rest.share(), all.share())
		return hot, rest, all
	}
	tests := []struct {
		name       string
		standalone bool
		// minOthers is the minimum share in time of the others, and minGain its minimum gain.
		minOthers, minGain float64
	}{
		{name: "a dispatcher for all hosts", minOthers: 0.95, minGain: 0.3},
		{name: "each host for itself", standalone: true, minOthers: 0.6, minGain: 0.15},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, restBefore, allBefore := run(false, tt.standalone)
			_, rest, all := run(true, tt.standalone)
			require.GreaterOrEqual(t, rest.share(), tt.minOthers)
			require.GreaterOrEqual(t, rest.share(), restBefore.share()+tt.minGain)
			require.GreaterOrEqual(t, all.share(), allBefore.share()-maxLoss)
		})
	}
}
