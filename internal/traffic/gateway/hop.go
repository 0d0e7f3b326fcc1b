package gateway

// This file defines the HTTP handler for other balancers, which dispatches their calls.

import (
	"context"
	"net/http"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/traffic/call"
	"tamaracktiller.example/tamaracktiller/internal/traffic/route"
)

// headerCell carries the failure domain of the cell that should serve a call.
const headerCell = "Tamarack-Cell"

// PeerHandler returns the handler for calls from other balancers.
func (g *Gateway) PeerHandler() http.Handler { return http.HandlerFunc(g.servePeer) }

func (g *Gateway) servePeer(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	domain := r.Header.Get(headerCell)
	c, reports, err := call.FromHop(r, now)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		c.IsBuffered = true
	} else {
		c.SetStream()
		defer abortRequestBody(w, c)
	}
	id := route.CellID{Pool: c.Pool, Domain: domain}
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	g.recordReports(reports)
	result := g.serveCell(ctx, g.cfg.Snapshot(), id, c)
	g.attachReports(id, result)
	closeUnlessRead(w, c)
	writePeerResponse(w, result)
}

func (g *Gateway) recordReports(reports []route.LoadReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range reports {
		g.router.RecordLoad(r.At, r.Cell, r.Load)
	}
}

// attachReports sets the load reports of the result: the current load of the cell and
// recent reports of the other cells of the pool.
func (g *Gateway) attachReports(id route.CellID, result *call.Result) {
	now := time.Now()
	load := g.cfg.Station.Load(now, id)
	cells := g.cfg.Snapshot().Cells(id.Pool)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.RecordLoad(now, id, load)
	result.Reports = g.router.RecentReports(now, cells)
}

// writePeerResponse sends the result of a call to the balancer that sent it.
func writePeerResponse(w http.ResponseWriter, result *call.Result) {
	if result.Response == nil {
		result.SetHopResponse(w.Header(), time.Now())
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer result.Response.Body.Close()
	call.StripHopByHop(result.Response.Header)
	copyHeader(w.Header(), result.Response.Header)
	result.SetHopResponse(w.Header(), time.Now())
	writeResponse(w, result.Response)
}
