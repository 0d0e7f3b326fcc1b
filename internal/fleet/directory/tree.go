package directory

// This file defines place, where a host stands in the tree over which the store's
// changes spread.
//
// The first host of the ranking is the root and watches the store. The first hosts of
// the domains form a tree below it, and the hosts of a domain form one below the first
// of them, so that a change crosses into each domain once and no host passes it on to
// more than twice fanOut others, however large the fleet is.

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// fanOut is the number of hosts that follow one host within a tree. A configuration of
// 12 KB ten times a second takes 8 Mbit/s of a link with twice as many followers.
const fanOut = 4

// place is a host's position. The zero value is that of a host that knows no others.
type place struct {
	// rank is the position in the order in which hosts should watch the store.
	rank int
	// parent is the host to follow; none for the root.
	parent []Host
	// spares are asked when the parent brings nothing new, best first.
	spares []Host
}

// ranking returns the hosts in the order in which they should watch the store.
func ranking(hosts map[string]Host) []Host {
	list := make([]Host, 0, len(hosts))
	score := make(map[string]uint64, len(hosts))
	for _, h := range hosts {
		list = append(list, h)
		score[h.Name] = xxhash.Sum64String("watch\x00" + h.Name)
	}
	slices.SortFunc(list, func(a, b Host) int {
		if score[a.Name] < score[b.Name] {
			return -1
		}
		return 1
	})
	return list
}

// findPlace returns the place of a host among the ranked ones. A host that is not
// among them yet stands behind them.
func findPlace(ranked []Host, self, domain string) place {
	var heads, domainHosts []Host
	seen := map[string]bool{}
	p := place{rank: len(ranked)}
	for i, h := range ranked {
		if h.Name == self {
			p.rank = i
		}
		if !seen[h.Domain] {
			seen[h.Domain] = true
			heads = append(heads, h)
		}
		if h.Domain == domain {
			domainHosts = append(domainHosts, h)
		}
	}
	line := ancestors(domainHosts, self)
	if len(line) == 0 {
		line = ancestors(heads, self)
	}
	if len(line) > 0 {
		p.parent, p.spares = line[:1], slices.Clone(line[1:])
	}
	// The second host is the first to watch the store in place of the root.
	for _, h := range ranked[:min(2, len(ranked))] {
		if h.Name != self && !slices.ContainsFunc(line, func(other Host) bool { return other.Name == h.Name }) {
			p.spares = append(p.spares, h)
		}
	}
	return p
}

// ancestors returns the hosts above a host in the tree that an ordered list forms, the
// nearest first.
func ancestors(list []Host, self string) []Host {
	at := slices.IndexFunc(list, func(h Host) bool { return h.Name == self })
	if at < 0 {
		at = len(list)
	}
	var line []Host
	for at > 0 {
		at = (at - 1) / fanOut
		line = append(line, list[at])
	}
	return line
}
