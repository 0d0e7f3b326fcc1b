package directory

// This file defines treePosition, the position of a host in the tree over which the
// changes of the store spread.
//
// The first host of the ranking is the root and watches the store. The first hosts of all
// failure domains form a tree below it, and the hosts of each domain form a tree below
// the first of them. So each change is sent to each domain once, and no host sends it to
// more than twice fanOut others, regardless of the size of the fleet.

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// fanOut is the number of hosts that follow one host within a tree. With twice as many
// followers, a configuration of 12 KB ten times a second takes 8 Mbit/s of a link.
const fanOut = 4

// treePosition is the position of a host. The zero value is that of a host that knows no
// other hosts.
type treePosition struct {
	// rank is the index in the order in which hosts should watch the store.
	rank int
	// parent holds the host to poll; it is empty for the root.
	parent []Host
	// fallbacks are polled when the parent has no newer data, best first.
	fallbacks []Host
	// watchers holds the names of the hosts up to maxWatchRank, which watch the store one after the
	// other if those before them fail.
	watchers []string
}

// watchScore returns the score of a host by which hosts should watch the store, lowest first.
func watchScore(name string) uint64 { return xxhash.Sum64String("watch\x00" + name) }

// ranking returns the hosts in the order in which they should watch the store.
func ranking(hosts map[string]Host) []Host {
	type scored struct {
		host  Host
		score uint64
	}
	list := make([]scored, 0, len(hosts))
	for _, h := range hosts {
		list = append(list, scored{host: h, score: watchScore(h.Name)})
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	ranked := make([]Host, 0, len(list))
	for _, s := range list {
		ranked = append(ranked, s.host)
	}
	return ranked
}

// findPosition returns the position of a host among the ranked ones. A host that is not
// among them yet comes last.
func findPosition(ranked []Host, self, domain string) treePosition {
	var domainHeads, domainHosts []Host
	seen := map[string]bool{}
	p := treePosition{rank: len(ranked)}
	for i, h := range ranked {
		if h.Name == self {
			p.rank = i
		}
		if !seen[h.Domain] {
			seen[h.Domain] = true
			domainHeads = append(domainHeads, h)
		}
		if h.Domain == domain {
			domainHosts = append(domainHosts, h)
		}
	}
	path := ancestors(domainHosts, self)
	if len(path) == 0 {
		path = ancestors(domainHeads, self)
	}
	if len(path) > 0 {
		p.parent, p.fallbacks = path[:1], slices.Clone(path[1:])
	}
	for _, h := range ranked[:min(maxWatchRank+1, len(ranked))] {
		p.watchers = append(p.watchers, h.Name)
		if h.Name != self && !slices.ContainsFunc(path, func(other Host) bool { return other.Name == h.Name }) {
			p.fallbacks = append(p.fallbacks, h)
		}
	}
	return p
}

// ancestors returns the ancestors of a host in the tree that an ordered list forms, the
// nearest first.
func ancestors(list []Host, self string) []Host {
	i := slices.IndexFunc(list, func(h Host) bool { return h.Name == self })
	if i < 0 {
		i = len(list)
	}
	var path []Host
	for i > 0 {
		i = (i - 1) / fanOut
		path = append(path, list[i])
	}
	return path
}
