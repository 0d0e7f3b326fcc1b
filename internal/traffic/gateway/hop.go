package gateway

// This file defines the handler of other balancers: the dispatching side of a
// call.

import (
	"context"
	"net/http"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/traffic/call"
	"tamaracktiller.example/tamaracktiller/internal/traffic/route"
)

// headerCell names the domain of the cell that a call is sent to.
const headerCell = "Tamarack-Cell"

// Hop returns the handler for calls that other balancers send here.
func (g *Gateway) Hop() http.Handler { return http.HandlerFunc(g.serveHop) }

func (g *Gateway) serveHop(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	domain := r.Header.Get(headerCell)
	c, known, err := call.FromHop(r, now)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		c.IsBuffered = true
	} else {
		c.SetStream()
		defer abandonBody(w, c)
	}
	id := route.CellID{Pool: c.Pool, Domain: domain}
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	g.takeReports(known)
	a := g.serveCell(ctx, g.cfg.Snapshot(), id, c)
	g.addReports(id, a)
	writeHop(w, a)
}

func (g *Gateway) takeReports(reports []route.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range reports {
		g.router.Report(r.At, r.Cell, r.Load)
	}
}

// addReports puts the load of the own cell, and what is known of the others, on
// the answer.
func (g *Gateway) addReports(id route.CellID, a *call.Answer) {
	now := time.Now()
	load := g.cfg.Station.Load(now, id)
	cells := g.cfg.Snapshot().Cells(id.Pool)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.Report(now, id, load)
	a.Reports = g.router.Known(now, cells)
}

// writeHop answers a balancer.
func writeHop(w http.ResponseWriter, a *call.Answer) {
	if a.Response == nil {
		a.SetHopAnswer(w.Header(), time.Now())
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer a.Response.Body.Close()
	call.StripHopByHop(a.Response.Header)
	copyHeader(w.Header(), a.Response.Header)
	a.SetHopAnswer(w.Header(), time.Now())
	writeResponse(w, a.Response)
}
