package dispatcher

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// randomScenario returns a scenario with targets of random behavior, which is not known to
// the dispatchers.
func randomScenario(rng *rand.Rand, hidesLoad bool) scenario {
	slots := 1 + rng.IntN(8)
	b := behavior{
		contentionAt: 0.4 + 0.6*rng.Float64(), contentionFactor: 1 + 3*rng.Float64(), hidesLoad: hidesLoad,
		slowShare: 0.05 + 0.45*rng.Float64(), slowFactor: 2 + 6*rng.Float64(), meanFast: time.Duration(50+rng.IntN(1950)) * time.Millisecond,
	}
	sc := scenario{hosts: 3, targets: 12, slots: slots, length: 6 * time.Second, behavior: b}
	// The rate of calls is 0.6 of the capacity of the targets at their best concurrency:
	// that of the fast targets, or of all if the load of targets is not known.
	serviceTime := 150 * time.Millisecond
	capacity := float64(sc.targets*b.bestConcurrency(slots)) * (1 - b.slowShare) / serviceTime.Seconds()
	if hidesLoad {
		capacity = float64(sc.targets*b.bestConcurrency(slots)) / (1 + b.slowShare*(b.slowFactor-1)) / serviceTime.Seconds()
	}
	if b.contentionAt*float64(slots) <= float64(b.bestConcurrency(slots)) {
		capacity /= b.contentionFactor
	}
	sc.kinds = []callKind{{name: "call", perSecond: min(300, 0.6*capacity), serviceTime: serviceTime, objective: 450 * time.Millisecond, deadline: 1500 * time.Millisecond}}
	return sc
}

// The dispatchers must learn the behavior of the targets of random deployments. The test
// fails if they serve too few calls in time compared with an oracle that knows the behavior
// and the state of each target.
func TestRandomDeployments(t *testing.T) {
	tests := []struct {
		name      string
		hidesLoad bool
		// minEach and minTotal are the minimum ratios of calls within their objectives
		// to those of the oracle, for each deployment and for the sum of all.
		minEach, minTotal float64
	}{
		{name: "targets report their load", minEach: 0.6, minTotal: 0.8},
		{name: "targets do not report their load", hidesLoad: true, minEach: 0.4, minTotal: 0.8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			total, oracleTotal := 0.0, 0.0
			for seed := range uint64(8) {
				sc := randomScenario(rand.New(rand.NewPCG(seed, 5)), tt.hidesLoad)
				oracleShare := runOracle(t, sc, false)["call"].share()
				if tt.hidesLoad {
					// Unlike the oracle, hosts cannot see which targets are slow, and use them, too.
					oracleShare *= 1 - sc.behavior.slowShare
				}
				shared := runDispatchers(t, sc, false)["call"].share()
				standalone := runDispatchers(t, sc, true)["call"].share()
				line := fmt.Sprintf("seed %d: %d slots, %+v, %.0f/s: oracle %.3f, shared %.3f, standalone %.3f", seed, sc.slots, sc.behavior, sc.kinds[0].perSecond, oracleShare, shared, standalone)
				t.Log(line)
				require.GreaterOrEqual(t, shared, tt.minEach*oracleShare, line)
				total, oracleTotal = total+shared, oracleTotal+oracleShare
			}
			require.GreaterOrEqual(t, total, tt.minTotal*oracleTotal)
		})
	}
}
