package main

// This file defines the command that reports the error-budget burn of entry hosts.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/process/entry"
	"tamaracktiller.example/tamaracktiller/internal/report/burn"
)

// reportTimeout bounds the request to one host.
const reportTimeout = 3 * time.Second

// maxReportBytes bounds the report of one host.
const maxReportBytes = 16 << 20

type burnCommand struct {
	Hosts []netip.AddrPort `arg:"" help:"Metrics addresses of the hosts."`
	HTML  string           `help:"Write a self-contained HTML page to this file." type:"path"`
}

// Run writes the merged reports of the hosts. Hosts that do not respond are listed as
// missing.
func (c *burnCommand) Run(ctx context.Context) error {
	reports := make([]burn.Report, 0, len(c.Hosts))
	for _, host := range c.Hosts {
		r, err := fetchReport(ctx, host)
		if err != nil {
			fmt.Fprintln(os.Stderr, "tamaracktiller:", err)
			r = burn.Report{Missing: []string{host.String()}}
		}
		reports = append(reports, r)
	}
	merged := burn.Merge(reports)
	if c.HTML == "" {
		return merged.WriteText(os.Stdout)
	}
	f, err := os.Create(c.HTML)
	if err != nil {
		return err
	}
	defer f.Close()
	return merged.WriteHTML(f)
}

// fetchReport requests the burn report of a host.
func fetchReport(ctx context.Context, host netip.AddrPort) (burn.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var r burn.Report
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host.String()+entry.BurnPath, nil)
	if err != nil {
		return r, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return r, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return r, errors.Errorf("%s: status %d", host, res.StatusCode)
	}
	return r, errors.Wrap(json.NewDecoder(io.LimitReader(res.Body, maxReportBytes)).Decode(&r), host.String())
}
