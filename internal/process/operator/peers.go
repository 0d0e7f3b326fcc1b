package operator

// This file defines fleetPeers, which collects the status and the error-budget burn
// of all balancers.

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/contract/catalog"
	"tamaracktiller.example/tamaracktiller/internal/fleet/controller"
	"tamaracktiller.example/tamaracktiller/internal/fleet/member"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/report/burn"
	"tamaracktiller.example/tamaracktiller/internal/traffic/job"
)

// Paths of the requests between balancers.
const (
	StatusPath = "/status"
	ReportPath = "/report"
)

const (
	// peerTimeout bounds the request to one host.
	peerTimeout = time.Second
	// maxResponseBytes bounds the response of one host.
	maxResponseBytes = 4 << 20
	// maxHeaderBytes bounds a response header. A parsed header of many short fields takes many times its
	// length.
	maxHeaderBytes = 32 << 10
)

// fleetPeers implements Peers for all hosts in the view of the fleet.
type fleetPeers struct {
	snapshot func() *controller.Snapshot
	meter    *burn.Meter
	jobs     *job.Service
	http     *http.Client
}

// NewPeers returns Peers that query every other host in the view of the fleet, with the TLS
// configuration cfg. The data of the local host comes from snapshot, meter and jobs.
func NewPeers(snapshot func() *controller.Snapshot, meter *burn.Meter, jobs *job.Service, cfg *tls.Config) Peers {
	return &fleetPeers{snapshot: snapshot, meter: meter, jobs: jobs, http: &http.Client{Transport: &http.Transport{TLSClientConfig: cfg, MaxResponseHeaderBytes: maxHeaderBytes}}}
}

// Status implements Peers.
func (p *fleetPeers) Status(ctx context.Context) []HostStatus {
	s := p.snapshot()
	list := []HostStatus{StatusOf(s)}
	var mu sync.Mutex
	p.forEachPeer(ctx, s, func(h member.Host) {
		status := HostStatus{Host: h.Name, Domain: h.Domain}
		if err := p.get(ctx, h, StatusPath, &status); err != nil {
			status.Error = err.Error()
		}
		mu.Lock()
		list = append(list, status)
		mu.Unlock()
	})
	slices.SortFunc(list, func(a, b HostStatus) int { return strings.Compare(a.Host, b.Host) })
	return list
}

// Objectives returns a function that looks up the objective of a service in the catalog.
func Objectives(c *catalog.Catalog) func(service string) (burn.Objective, bool) {
	return func(service string) (burn.Objective, bool) {
		s, ok := c.Services[service]
		return burn.Objective{GoodPerThousand: s.Objective.GoodPerThousand, Latency: s.Objective.Latency.Std()}, ok
	}
}

// Report implements Peers.
func (p *fleetPeers) Report(ctx context.Context) burn.Report {
	s := p.snapshot()
	local := p.meter.Report(time.Now(), s.Self.Name, Objectives(s.Catalog))
	local.Jobs = p.jobs.Backlog()
	reports := []burn.Report{local}
	var mu sync.Mutex
	p.forEachPeer(ctx, s, func(h member.Host) {
		var r burn.Report
		if err := p.get(ctx, h, ReportPath, &r); err != nil {
			r = burn.Report{Missing: []string{h.Name}}
		}
		mu.Lock()
		reports = append(reports, r)
		mu.Unlock()
	})
	return burn.Merge(reports)
}

// forEachPeer calls fn for every host but the local one, concurrently, and waits for all
// calls.
func (p *fleetPeers) forEachPeer(ctx context.Context, s *controller.Snapshot, fn func(member.Host)) {
	g := group.New(ctx)
	for _, hosts := range s.View.Domains {
		for _, h := range hosts {
			if h.Name == s.Self.Name {
				continue
			}
			g.Go("query "+h.Name, func(context.Context) error {
				fn(h)
				return nil
			})
		}
	}
	_ = g.Wait()
}

// get requests path from the peer and decodes the JSON response into v.
func (p *fleetPeers) get(ctx context.Context, h member.Host, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+h.PeerAddress.String()+path, nil)
	if err != nil {
		return errors.Wrap(err, "operator")
	}
	res, err := p.http.Do(r)
	if err != nil {
		return errors.Wrap(err, "operator")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("operator: %s answered %d", h.Name, res.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(res.Body, maxResponseBytes)).Decode(v), "operator")
}
