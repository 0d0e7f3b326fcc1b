// Package message defines the messages that balancers exchange over links.
//
// Every frame is one Envelope encoded in CBOR. Exactly one of its fields is set.
//
// # Usage
//
//	data, err := message.Encode(&message.Envelope{Pull: &message.Pull{Revision: 7}})
//	env, err := message.Decode(data)
package message

// This file defines Envelope and its codec.

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/fleet/member"
	"tamaracktiller.example/tamaracktiller/internal/fleet/revision"
	"tamaracktiller.example/tamaracktiller/internal/traffic/crash"
)

// Envelope is the content of one frame.
type Envelope struct {
	Heartbeat   *member.Heartbeat `cbor:"3,keyasint,omitempty"`
	Pull        *Pull             `cbor:"4,keyasint,omitempty"`
	Update      *revision.Update  `cbor:"5,keyasint,omitempty"`
	TargetCrash *crash.Crash      `cbor:"6,keyasint,omitempty"`
}

// Pull requests an update from the given revision to the current configuration.
type Pull struct {
	Revision uint64 `cbor:"1,keyasint"`
}

// MaxBytes is the maximum size of a frame.
const MaxBytes = 8 << 20

// decMode rejects duplicate keys and limits the size of arrays and maps.
var decMode = mustDecMode(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 17})

func mustDecMode(o cbor.DecOptions) cbor.DecMode {
	mode, err := o.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode encodes an envelope as a frame.
func Encode(e *Envelope) ([]byte, error) {
	data, err := cbor.Marshal(e)
	return data, errors.Wrap(err, "message: encode")
}

// Decode decodes a frame.
func Decode(data []byte) (*Envelope, error) {
	var e Envelope
	if err := decMode.Unmarshal(data, &e); err != nil {
		return nil, errors.Wrap(err, "message: decode")
	}
	return &e, nil
}
