package operator

// This file defines fleetPeers, which asks all balancers for status and burn.

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

// Paths of the questions between balancers.
const (
	StatusPath = "/status"
	ReportPath = "/report"
)

const (
	// askTimeout bounds the wait for one host.
	askTimeout = time.Second
	// maxAnswerBytes bounds the answer of one host.
	maxAnswerBytes = 4 << 20
)

type fleetPeers struct {
	snapshot func() *controller.Snapshot
	meter    *burn.Meter
	jobs     *job.Service
	http     *http.Client
}

// NewPeers returns the Peers that ask every host in the view.
func NewPeers(snapshot func() *controller.Snapshot, meter *burn.Meter, jobs *job.Service, cfg *tls.Config) Peers {
	return &fleetPeers{snapshot: snapshot, meter: meter, jobs: jobs, http: &http.Client{Transport: &http.Transport{TLSClientConfig: cfg}}}
}

// Status implements Peers.
func (p *fleetPeers) Status(ctx context.Context) []HostStatus {
	s := p.snapshot()
	list := []HostStatus{StatusOf(s)}
	var mu sync.Mutex
	p.askAll(ctx, s, func(h member.Host) {
		status := HostStatus{Host: h.Name, Domain: h.Domain}
		if err := p.ask(ctx, h, StatusPath, &status); err != nil {
			status.Error = err.Error()
		}
		mu.Lock()
		list = append(list, status)
		mu.Unlock()
	})
	slices.SortFunc(list, func(a, b HostStatus) int { return strings.Compare(a.Host, b.Host) })
	return list
}

// Objectives returns the objectives of a catalog's services.
func Objectives(c *catalog.Catalog) func(service string) (burn.Objective, bool) {
	return func(service string) (burn.Objective, bool) {
		s, ok := c.Services[service]
		return burn.Objective{GoodPerThousand: s.Objective.GoodPerThousand, Latency: s.Objective.Latency.Std()}, ok
	}
}

// Report implements Peers.
func (p *fleetPeers) Report(ctx context.Context) burn.Report {
	s := p.snapshot()
	own := p.meter.Report(time.Now(), s.Self.Name, Objectives(s.Catalog))
	own.Jobs = p.jobs.Backlog()
	reports := []burn.Report{own}
	var mu sync.Mutex
	p.askAll(ctx, s, func(h member.Host) {
		var r burn.Report
		if err := p.ask(ctx, h, ReportPath, &r); err != nil {
			r = burn.Report{Missing: []string{h.Name}}
		}
		mu.Lock()
		reports = append(reports, r)
		mu.Unlock()
	})
	return burn.Merge(reports)
}

// askAll calls ask for every other host at the same time.
func (p *fleetPeers) askAll(ctx context.Context, s *controller.Snapshot, ask func(member.Host)) {
	g := group.New(ctx)
	for _, hosts := range s.View.Domains {
		for _, h := range hosts {
			if h.Name == s.Self.Name {
				continue
			}
			g.Go("ask "+h.Name, func(context.Context) error {
				ask(h)
				return nil
			})
		}
	}
	_ = g.Wait()
}

func (p *fleetPeers) ask(ctx context.Context, h member.Host, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+h.Peer.String()+path, nil)
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
	return errors.Wrap(json.NewDecoder(io.LimitReader(res.Body, maxAnswerBytes)).Decode(v), "operator")
}
