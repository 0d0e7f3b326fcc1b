package packet

// This file defines how names and identifiers of any length are written in messages, which must fit a datagram.

import (
	"crypto/sha256"
	"encoding/hex"
)

const (
	// maxNameBytes is the length of the longest name that is written as it is.
	maxNameBytes = 256
	// digestPrefix precedes the digest of a longer one.
	digestPrefix = "sha256:"
)

// ShortName returns a name that fits a message: the name itself, or a digest of a long one.
func ShortName(name string) string {
	if len(name) <= maxNameBytes {
		return name
	}
	sum := sha256.Sum256([]byte(name))
	return digestPrefix + hex.EncodeToString(sum[:])
}
