package member

// This file defines Sum.

import "github.com/cespare/xxhash/v2"

// Sum returns a digest of the names, incarnations and draining flags of hosts. It
// depends on their order.
func Sum(hosts []Host) uint64 {
	d := xxhash.New()
	for _, h := range hosts {
		_, _ = d.WriteString(h.Name)
		_, _ = d.WriteString("\x00")
		_, _ = d.WriteString(h.Incarnation)
		if h.Draining {
			_, _ = d.WriteString("\x01")
		}
		_, _ = d.WriteString("\x00")
	}
	return d.Sum64()
}
