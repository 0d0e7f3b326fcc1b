package entry

// This file defines race, the attempts of a request that run at the same time.

import (
	"context"

	"tamaracktiller.example/tamaracktiller/internal/traffic/dispatcher"
)

// maxRacing is the maximum number of attempts that run at the same time: the first one and
// a hedge.
const maxRacing = 2

// race holds the attempts of a request that run at the same time.
type race struct {
	req     *clientRequest
	running int
	results chan attempt
	// cancels holds the functions that cancel the attempts, by target.
	cancels map[string]context.CancelFunc
}

func (r *race) start(ctx context.Context, grant dispatcher.Grant, extra bool) {
	ctx, cancel := context.WithCancel(ctx)
	r.running++
	r.cancels[grant.ID] = cancel
	newConnection := r.req.needsNewConnection(grant)
	r.req.h.g.Go("send", func(context.Context) error {
		r.results <- r.req.sendOn(ctx, grant, newConnection, extra)
		return nil
	})
}

// end cancels all attempts but the one that is used, whose response body may still be read
// until the context of the request ends. It discards the responses of the others.
func (r *race) end(used attempt) {
	for target, cancel := range r.cancels {
		if target != used.grant.ID || used.unread == nil {
			cancel()
		}
	}
	for range r.running {
		r.req.h.g.Go("discard", func(context.Context) error {
			out := <-r.results
			out.discard()
			return nil
		})
	}
}
