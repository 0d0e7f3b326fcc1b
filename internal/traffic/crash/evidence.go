package crash

// This file defines Evidence, what hosts tell each other.

// EvidenceKind is what evidence says of requests with a fingerprint.
type EvidenceKind uint8

// The kinds of evidence.
const (
	// TargetDied: a target died of one.
	TargetDied EvidenceKind = iota + 1
	// Cleared: one was answered.
	Cleared
	// Blocked: they are refused from now on.
	Blocked
)

// Evidence is what hosts tell each other of requests that may crash targets.
type Evidence struct {
	Kind        EvidenceKind `cbor:"1,keyasint"`
	Fingerprint uint64       `cbor:"2,keyasint"`
	Target      string       `cbor:"3,keyasint,omitempty"`
}
