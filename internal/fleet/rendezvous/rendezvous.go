// Package rendezvous ranks nodes for a key by weighted rendezvous hashing.
//
// All who know the same nodes and weights get the same ranking, without talking to each other,
// and a node that leaves moves only the keys that it ranked first for. A node is the first for a
// share of the keys that is proportional to its weight. With equal weights the order is that of
// descending hashes.
//
// # Usage
//
//	cost := rendezvous.Cost(key+"\x00"+node.Name, node.Weight)
//	// the node with the lowest cost comes first
package rendezvous

// This file defines Cost.

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Cost returns the cost of a pair of key and node, which is at least 0. weight must be positive.
func Cost(pair string, weight float64) float64 {
	// The hash maps to the open interval from 0 to 1.
	u := (float64(xxhash.Sum64String(pair)>>hashShift) + halfStep) / (1 << hashBits)
	return -math.Log(u) / weight
}

const (
	// hashBits is the number of bits of a hash that a float64 holds exactly.
	hashBits  = 52
	hashShift = 64 - hashBits
	halfStep  = 0.5
)
