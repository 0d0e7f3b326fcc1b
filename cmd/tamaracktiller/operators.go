package main

// This file defines the commands for operators.

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/contract/catalog"
	"tamaracktiller.example/tamaracktiller/internal/contract/plan"
	"tamaracktiller.example/tamaracktiller/internal/process/client"
	"tamaracktiller.example/tamaracktiller/internal/process/operator"
)

// clientFlags holds the flags that all commands for operators share.
type clientFlags struct {
	Server     string `help:"Operator address of any balancer." required:"" env:"TAMARACK_SERVER"`
	Operator   string `help:"Your name, as partner/name." required:"" env:"TAMARACK_OPERATOR"`
	SecretFile string `help:"File with your secret." required:"" type:"existingfile" env:"TAMARACK_SECRET_FILE"`
	Authority  string `help:"CA certificate of the balancers." required:"" type:"existingfile" env:"TAMARACK_AUTHORITY"`
	JSON       bool   `help:"Print JSON."`
}

// client returns a client for the balancer given by the flags.
func (f *clientFlags) client() (*client.Client, error) {
	server, err := netip.ParseAddrPort(f.Server)
	if err != nil {
		return nil, errors.Wrap(err, "--server")
	}
	return client.New(client.Config{Server: server, Operator: f.Operator, SecretFile: f.SecretFile, Authority: f.Authority})
}

// print writes v to standard output as JSON if JSON is set, and calls text otherwise.
func (f *clientFlags) print(v any, text func()) error {
	if !f.JSON {
		text()
		return nil
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

type intentCommand struct {
	clientFlags
	File string `arg:"" help:"Intent file, or - for standard input."`
}

// Run declares an intent and prints its plan.
func (c *intentCommand) Run(ctx context.Context) error {
	data, err := readInput(c.File)
	if err != nil {
		return err
	}
	if _, err := catalog.ParseIntent(c.File, data); err != nil {
		return err
	}
	cl, err := c.client()
	if err != nil {
		return err
	}
	p, err := cl.Declare(ctx, data)
	if err != nil {
		return err
	}
	return c.print(p, func() { printPlan(p) })
}

type planCommand struct {
	clientFlags
	ID string `arg:"" optional:"" help:"ID of the plan to show. Without it, the open plans are listed."`
}

// Run shows one plan or lists the open plans. It marks a plan as shown only after printing
// it.
func (c *planCommand) Run(ctx context.Context) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	if c.ID != "" {
		p, err := cl.Plan(ctx, c.ID)
		if err != nil {
			return err
		}
		if err := c.print(p, func() { printPlan(p) }); err != nil {
			return err
		}
		return cl.MarkShown(ctx, c.ID)
	}
	plans, err := cl.Plans(ctx)
	if err != nil {
		return err
	}
	return c.print(plans, func() {
		for _, p := range plans {
			fmt.Printf("%s  by %s/%s for revision %d: %s\n", p.ID, p.Partner, p.Operator, p.BaseRevision, p.Intent.Reason)
		}
	})
}

func printPlan(p *plan.Plan) {
	fmt.Printf("plan %s by %s/%s, made for revision %d\nreason: %s\n", p.ID, p.Partner, p.Operator, p.BaseRevision, p.Intent.Reason)
	if len(p.Effects) == 0 {
		fmt.Println("changes nothing")
	}
	for _, e := range p.Effects {
		fmt.Println("  " + e.String())
	}
	for _, partner := range p.MustBeShownTo() {
		shown, ok := p.Shown[partner]
		if !ok {
			fmt.Printf("must be shown to %s before it can be confirmed\n", partner)
			continue
		}
		fmt.Printf("shown to %s/%s at %s\n", partner, shown.Operator, formatTime(shown.UnixMilli))
	}
}

// formatTime formats a time in Unix milliseconds.
func formatTime(unixMilli int64) string {
	return time.UnixMilli(unixMilli).UTC().Format(time.RFC3339)
}

type confirmCommand struct {
	clientFlags
	ID string `arg:"" help:"ID of the plan to activate."`
}

// Run confirms and activates a plan.
func (c *confirmCommand) Run(ctx context.Context) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	conf, err := cl.Confirm(ctx, c.ID)
	if err != nil {
		return err
	}
	return c.print(conf, func() { fmt.Printf("revision %d is active (plan %s)\n", conf.Revision, conf.ID) })
}

type statusCommand struct{ clientFlags }

// Run prints the active configuration and the status of all balancers.
func (c *statusCommand) Run(ctx context.Context) error {
	s, err := c.status(ctx)
	if err != nil {
		return err
	}
	return c.print(s, func() { printStatus(s) })
}

// status requests the status from the balancer.
func (f *clientFlags) status(ctx context.Context) (operator.Status, error) {
	cl, err := f.client()
	if err != nil {
		return operator.Status{}, err
	}
	return cl.Status(ctx)
}

func printStatus(s operator.Status) {
	fmt.Printf("revision %d\n", s.Revision)
	for _, h := range s.Hosts {
		state := "ready"
		switch {
		case h.Error != "":
			state = "no response: " + h.Error
		case !h.Ready:
			state = "not ready: " + h.NotReadyReason
		}
		fmt.Printf("  %-20s %-12s revision %d since %s, %s\n", h.Host, h.Domain, h.Revision, h.ActiveSince, state)
	}
	for _, service := range s.Services {
		fmt.Printf("  service %s of %s: pool %s, share %d\n", service.Name, service.Partner, service.Pool, service.Share)
	}
	for _, pool := range s.Pools {
		fmt.Printf("  pool %s: %d targets\n", pool.Name, len(pool.Targets))
	}
	if len(s.Draining) > 0 {
		fmt.Printf("  draining targets: %s\n", strings.Join(s.Draining, " "))
	}
}

type explainCommand struct{ clientFlags }

// Run prints the latest confirmations and the active revision of each host.
func (c *explainCommand) Run(ctx context.Context) error {
	s, err := c.status(ctx)
	if err != nil {
		return err
	}
	return c.print(s.History, func() {
		for _, h := range s.History {
			fmt.Printf("revision %d: %s by %s/%s (plan %s): %s\n", h.Revision, formatTime(h.UnixMilli), h.Partner, h.Operator, h.ID, h.Reason)
		}
		for _, h := range s.Hosts {
			fmt.Printf("  %s: revision %d active since %s\n", h.Host, h.Revision, h.ActiveSince)
		}
	})
}

type reportCommand struct {
	clientFlags
	HTML string `help:"Write a self-contained HTML page to this file." type:"path"`
}

// Run prints the error-budget burn of all services or writes it to an HTML file.
func (c *reportCommand) Run(ctx context.Context) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	r, err := cl.Report(ctx)
	if err != nil {
		return err
	}
	if c.HTML != "" {
		f, err := os.Create(c.HTML)
		if err != nil {
			return err
		}
		defer f.Close()
		return r.WriteHTML(f)
	}
	return c.print(r, func() { _ = r.WriteText(os.Stdout) })
}
