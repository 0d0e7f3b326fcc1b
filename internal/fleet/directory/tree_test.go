package directory

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTreeReachesAllHostsWithBoundedFanOut(t *testing.T) {
	tests := []struct {
		hosts, domains int
		// depth is the maximum distance from the root.
		depth int
	}{
		{hosts: 1, domains: 1, depth: 0},
		{hosts: 2, domains: 2, depth: 1},
		{hosts: 13, domains: 3, depth: 2},
		{hosts: 100, domains: 4, depth: 4},
		{hosts: 100, domains: 100, depth: 4},
		{hosts: 300, domains: 4, depth: 5},
		{hosts: 25_000, domains: 12, depth: 8},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d hosts in %d domains", tt.hosts, tt.domains), func(t *testing.T) {
			hosts := map[string]Host{}
			for i := range tt.hosts {
				name := fmt.Sprintf("host-%d", i)
				hosts[name] = Host{Name: name, Domain: fmt.Sprintf("d-%d", i%tt.domains)}
			}
			ranked := ranking(hosts)
			// In a large fleet only some hosts are checked.
			step := 1 + tt.hosts/400
			followers, crossings := map[string]int{}, map[string]int{}
			for i := 0; i < len(ranked); i += step {
				h, depth := ranked[i], 0
				for {
					p := findPosition(ranked, h.Name, h.Domain)
					if len(p.parent) == 0 {
						require.Equal(t, ranked[0], h, "only the root has no parent")
						break
					}
					if depth == 0 {
						followers[p.parent[0].Name]++
						if p.parent[0].Domain != h.Domain {
							crossings[h.Domain]++
						}
					}
					h = p.parent[0]
					depth++
				}
				require.LessOrEqual(t, depth, tt.depth)
			}
			for name, n := range followers {
				require.LessOrEqual(t, n, 2*fanOut, name)
			}
			for domain, n := range crossings {
				require.Equal(t, 1, n, domain)
			}
		})
	}
}

func TestUnregisteredHostComesLast(t *testing.T) {
	hosts := map[string]Host{"a": {Name: "a", Domain: "d"}, "b": {Name: "b", Domain: "d"}}
	p := findPosition(ranking(hosts), "c", "d")
	require.Equal(t, 2, p.rank)
	require.Len(t, p.parent, 1)
	require.Len(t, p.fallbacks, 1)
}
