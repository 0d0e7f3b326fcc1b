// Package load is the load tool: it sends calls at a set rate whatever becomes of
// the earlier ones, measures each from the time at which it was due, and checks
// that every answer is whole and belongs to its request.
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
	// Weight is the share in the mix.
	Weight int `json:"weight"`
	// Work is the service time that the target is asked for.
	Work        document.Duration `json:"work"`
	BodyBytes   int               `json:"body-bytes,omitempty"`
	AnswerBytes int               `json:"answer-bytes"`
	Chunked     bool              `json:"chunked,omitempty"`
	// Keyed calls carry an idempotency key.
	Keyed bool `json:"keyed,omitempty"`
	// Once calls must not run twice; the tool checks it.
	Once   bool   `json:"once,omitempty"`
	Member string `json:"member,omitempty"`
}

// Workload is a mix of calls.
type Workload struct {
	Kinds []Kind `json:"kinds"`
}

// ReadWorkload reads and checks a workload.
func ReadWorkload(file string, data []byte) (*Workload, error) {
	var w Workload
	if err := document.Decode(file, data, &w); err != nil {
		return nil, err
	}
	if len(w.Kinds) == 0 {
		return nil, document.Invalid(file, data, "kinds", "want at least one kind")
	}
	for i, k := range w.Kinds {
		if k.Host == "" || k.Method == "" || k.Path == "" || k.Weight < 1 {
			return nil, document.Invalid(file, data, fmt.Sprintf("kinds[%d]", i), "want host, method, path and a weight from 1")
		}
	}
	return &w, nil
}

// pick draws a kind by weight.
func (w *Workload) pick(rng *rand.Rand) *Kind {
	total := 0
	for _, k := range w.Kinds {
		total += k.Weight
	}
	at := rng.IntN(total)
	for i := range w.Kinds {
		if at -= w.Kinds[i].Weight; at < 0 {
			return &w.Kinds[i]
		}
	}
	return &w.Kinds[0]
}
