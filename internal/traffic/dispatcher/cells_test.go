package dispatcher

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
)

// Guards against cells whose dispatcher is too slow to respond in time in a burst.
func TestLargeHostsDispatchMostCells(t *testing.T) {
	tests := []struct {
		name string
		// large and small are the cores of two and thirty hosts of a domain.
		large, small float64
		// want is the least, and most the highest share of the cells that the large hosts
		// dispatch.
		want, most float64
	}{
		{name: "five times the cores", large: 0.8, small: 0.16, want: 0.8, most: 1},
		{name: "equal", large: 0.16, small: 0.16, most: 0.12},
		{name: "unknown on the small ones", large: 0.8, most: 0.12},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			hosts := map[string]directory.Host{}
			for i := range 32 {
				name, cores := fmt.Sprintf("host-%d", i), tt.small
				if i < 2 {
					cores = tt.large
				}
				hosts[name] = directory.Host{Name: name, Domain: "d", Cores: cores}
			}
			const cells = 500
			onLarge := 0
			for i := range cells {
				id := cellID{key: fmt.Sprintf("s/d/%d", i), service: "s", domain: "d"}
				if h := rankHosts(id, hosts)[0]; h.Name == "host-0" || h.Name == "host-1" {
					onLarge++
				}
			}
			require.GreaterOrEqual(t, float64(onLarge), tt.want*cells)
			require.LessOrEqual(t, float64(onLarge), tt.most*cells)
		})
	}
}

func TestRankingIsCompleteAndStable(t *testing.T) {
	hosts := map[string]directory.Host{}
	for i := range 40 {
		name := fmt.Sprintf("host-%d", i)
		hosts[name] = directory.Host{Name: name, Domain: []string{"d", "e"}[i%2], Cores: 0.16 * float64(1+i%5)}
	}
	id := cellID{key: "s/d/0", service: "s", domain: "d"}
	before := rankHosts(id, hosts)
	require.Len(t, before, maxRankedHosts)
	for _, h := range before {
		require.Equal(t, "d", h.Domain)
	}
	delete(hosts, before[2].Name)
	after := rankHosts(id, hosts)
	require.Equal(t, before[:2], after[:2])
	require.Equal(t, before[3:], after[2:maxRankedHosts-1])
}
