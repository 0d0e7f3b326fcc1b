package route

// This file defines rendezvous hashing, which ranks the hosts for each key.

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the hosts in the rendezvous order of the key (Thaler and Ravishankar,
// 1998). When a host joins or leaves, only the keys that rank it first change their first
// host. The cost is linear in the number of hosts, plus the sort.
func Rank(key string, hosts []string) []string {
	type scored struct {
		host  string
		score uint64
	}
	list := make([]scored, len(hosts))
	for i, host := range hosts {
		list[i] = scored{host: host, score: score(key, host)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return cmp.Compare(a.host, b.host)
	})
	ranked := make([]string, len(list))
	for i, s := range list {
		ranked[i] = s.host
	}
	return ranked
}

// RankFirst returns the first host in the rendezvous order of the key, or "" without
// hosts. It computes one hash per host and does not sort.
func RankFirst(key string, hosts []string) string {
	var best string
	var bestScore uint64
	for _, host := range hosts {
		s := score(key, host)
		if best == "" || s > bestScore || s == bestScore && host < best {
			best, bestScore = host, s
		}
	}
	return best
}

func score(key, host string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(host)
	return d.Sum64()
}
