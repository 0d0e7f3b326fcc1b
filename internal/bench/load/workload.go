// Package load is an open-loop load generator: it sends calls at a given rate regardless
// of the progress of earlier ones, measures the latency of each from the time at which it
// was due, and checks that every response is complete and belongs to its request.
//
// # Usage
//
//	w, err := load.ReadWorkload("workload.json", data)
//	result := load.Run(ctx, cfg, w)
package load

// This file defines Workload, the mix of calls.

import (
	"fmt"
	"math/rand/v2"

	"tamaracktiller.example/tamaracktiller/internal/contract/document"
)

// Kind is one kind of call in the mix.
type Kind struct {
	// Host is the Host header.
	Host   string `json:"host"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// Weight is the relative frequency in the mix.
	Weight int `json:"weight"`
	// ServiceTime is the service time that the call requests from the target.
	ServiceTime   document.Duration `json:"work"`
	BodyBytes     int               `json:"body-bytes,omitempty"`
	ResponseBytes int               `json:"answer-bytes"`
	Chunked       bool              `json:"chunked,omitempty"`
	// Keyed calls carry an idempotency key.
	Keyed bool `json:"keyed,omitempty"`
	// AtMostOnce marks calls that must not run twice; ReadJournals checks this.
	AtMostOnce bool   `json:"once,omitempty"`
	Member     string `json:"member,omitempty"`
}

// Workload is a mix of calls.
type Workload struct {
	Kinds []Kind `json:"kinds"`
}

// ReadWorkload decodes and validates a workload. file is the name used in errors.
func ReadWorkload(file string, data []byte) (*Workload, error) {
	var w Workload
	if err := document.Decode(file, data, &w); err != nil {
		return nil, err
	}
	if len(w.Kinds) == 0 {
		return nil, document.Invalid(file, data, "kinds", "at least one kind is required")
	}
	for i, k := range w.Kinds {
		if k.Host == "" || k.Method == "" || k.Path == "" || k.Weight < 1 {
			return nil, document.Invalid(file, data, fmt.Sprintf("kinds[%d]", i), "host, method, path and a weight of at least 1 are required")
		}
	}
	return &w, nil
}

// pick returns a random kind by weight.
func (w *Workload) pick(rng *rand.Rand) *Kind {
	total := 0
	for _, k := range w.Kinds {
		total += k.Weight
	}
	offset := rng.IntN(total)
	for i := range w.Kinds {
		if offset -= w.Kinds[i].Weight; offset < 0 {
			return &w.Kinds[i]
		}
	}
	return &w.Kinds[0]
}
