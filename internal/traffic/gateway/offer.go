package gateway

// This file defines offers: a cell with a free slot notifies the cell of its pool with the
// longest queue, which then redirects a queued call to it.

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/traffic/route"
)

// OfferPath is the URL path of offers between balancers.
const OfferPath = "/offer"

// offerTimeout limits the time to send an offer. Offers are hints: if one is lost, a slot
// stays free for a while.
const offerTimeout = 200 * time.Millisecond

// offer says that the cell in the failure domain From has a free slot for a queued call of
// the cell in To.
type offer struct {
	Pool string `json:"pool"`
	From string `json:"from"`
	To   string `json:"to"`
}

// SendOffer offers a free slot of the cell from to the cell with the longest reported
// queue.
func (g *Gateway) SendOffer(from route.CellID) {
	s := g.cfg.Snapshot()
	g.mu.Lock()
	to, ok := g.router.LongestQueue(s.Cells(from.Pool), from)
	g.mu.Unlock()
	if !ok {
		return
	}
	host := s.Dispatcher(to)
	if host == s.Self.Name {
		g.cfg.Station.RedirectNext(to, from.Domain)
		return
	}
	g.cfg.Offers.Inc()
	g.g.Go("offer", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, offerTimeout)
		defer cancel()
		body, err := json.Marshal(offer{Pool: from.Pool, From: from.Domain, To: to.Domain})
		if err == nil {
			_, _ = g.PostToHost(ctx, host, OfferPath, body)
		}
		return nil
	})
}

// ServeOffer handles an offer from another balancer.
func (g *Gateway) ServeOffer(w http.ResponseWriter, r *http.Request) {
	var o offer
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSmallBodyBytes)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.cfg.Station.RedirectNext(route.CellID{Pool: o.Pool, Domain: o.To}, o.From)
	w.WriteHeader(http.StatusNoContent)
}
