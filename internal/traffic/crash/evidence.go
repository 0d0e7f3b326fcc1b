package crash

// This file defines Evidence, which entry hosts exchange about requests that may crash
// targets.

import "time"

// EvidenceKind is the kind of an Evidence.
type EvidenceKind uint8

// Kinds of evidence.
const (
	// TargetCrashed means that a target crashed while it ran a request.
	TargetCrashed EvidenceKind = iota + 1
	// Cleared means that a target responded to such a request, so it does not crash targets.
	Cleared
	// Blocked means that such requests are rejected from now on.
	Blocked
)

// Evidence is a message between hosts about the requests with a fingerprint. Builds of earlier versions neither
// send nor read the last three fields.
type Evidence struct {
	Kind        EvidenceKind `cbor:"1,keyasint"`
	Fingerprint uint64       `cbor:"2,keyasint"`
	// Target is the target that crashed, for TargetCrashed.
	Target string `cbor:"3,keyasint,omitempty"`
	// Service is the service of the request.
	Service string `cbor:"4,keyasint,omitempty"`
	// Age is the time since the crash, and Ran the time for which the request had been at the target.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
	Ran time.Duration `cbor:"6,keyasint,omitempty"`
}
