package gateway

// This file defines offers: a cell with a free slot tells the cell of its pool
// that probably waits most, which gives it a waiting call.

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/traffic/route"
)

// OfferPath is the path of offers between balancers.
const OfferPath = "/offer"

// offerTimeout bounds an offer. It is advice: a lost one costs a free slot.
const offerTimeout = 200 * time.Millisecond

// offer says that the cell From has a free slot for a call of the cell To.
type offer struct {
	Pool string `json:"pool"`
	From string `json:"from"`
	To   string `json:"to"`
}

// Offer tells the cell with the longest known queue that from has a free slot.
func (g *Gateway) Offer(from route.CellID) {
	s := g.cfg.Snapshot()
	g.mu.Lock()
	to, ok := g.router.Longest(s.Cells(from.Pool), from)
	g.mu.Unlock()
	if !ok {
		return
	}
	host := s.Dispatcher(to)
	if host == s.Self.Name {
		g.cfg.Station.Yield(to, from.Domain)
		return
	}
	g.cfg.Offers.Inc()
	g.g.Go("offer", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, offerTimeout)
		defer cancel()
		question, err := json.Marshal(offer{Pool: from.Pool, From: from.Domain, To: to.Domain})
		if err == nil {
			_, _ = g.Ask(ctx, host, OfferPath, question)
		}
		return nil
	})
}

// ServeOffer answers the offer of another balancer.
func (g *Gateway) ServeOffer(w http.ResponseWriter, r *http.Request) {
	var o offer
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRefusalBytes)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.cfg.Station.Yield(route.CellID{Pool: o.Pool, Domain: o.To}, o.From)
	w.WriteHeader(http.StatusNoContent)
}
