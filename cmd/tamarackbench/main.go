// Command tamarackbench runs a fake platform, fake targets, the load tool and the soak
// test.
//
// Exit codes: 0 success; 1 failure or a violated guarantee; 2 invalid usage.
package main

// This file defines the command line, and all commands except soak.

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/bench/layout"
	"tamaracktiller.example/tamaracktiller/internal/bench/load"
	"tamaracktiller.example/tamaracktiller/internal/bench/platform"
	"tamaracktiller.example/tamaracktiller/internal/bench/target"
	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

type commands struct {
	Layout   layoutCommand   `cmd:"" help:"Write the files of a small installation."`
	Platform platformCommand `cmd:"" help:"Run a fake platform."`
	Target   targetCommand   `cmd:"" help:"Run a fake target."`
	Load     loadCommand     `cmd:"" help:"Send calls and measure their latency and outcomes."`
	Soak     soakCommand     `cmd:"" help:"Run hosts under seeded faults and verify their guarantees."`
}

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("tamarackbench"), kong.Description("Fake platform and targets, load tool and soak test for tamaracktiller."),
		kong.UsageOnError(), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	k.BindTo(ctx, (*context.Context)(nil))
	err := k.Run()
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "tamarackbench:", err)
		os.Exit(1)
	}
}

type layoutCommand struct {
	Dir       string `arg:"" help:"Directory to write to."`
	Balancers int    `default:"4" help:"Number of balancers."`
	Targets   int    `default:"8" help:"Number of targets."`
	Domains   int    `default:"2" help:"Number of failure domains."`
	Slots     int    `default:"8" help:"Slots per target."`
	CallerTLS bool   `name:"caller-tls" help:"Serve callers over TLS."`
}

// Run writes the files of an installation.
func (c *layoutCommand) Run() error {
	size := layout.Size{Balancers: c.Balancers, Targets: c.Targets, Domains: c.Domains, Slots: c.Slots, CallerTLS: c.CallerTLS}
	return layout.New(c.Dir, size).Write()
}

type platformCommand struct {
	Listen  string        `default:"127.0.0.1:7500" help:"Address to serve on."`
	HostLag time.Duration `default:"2s" help:"Delay with which a change of the host list appears."`
}

// Run serves the fake platform until ctx is done.
func (c *platformCommand) Run(ctx context.Context) error {
	h := platform.Handler(platformtest.New(), platform.Config{HostLag: c.HostLag})
	var cfg net.ListenConfig
	l, err := cfg.Listen(ctx, "tcp", c.Listen)
	if err != nil {
		return err
	}
	return serve(ctx, &http.Server{Handler: h, ReadHeaderTimeout: time.Second}, l)
}

func serve(ctx context.Context, server *http.Server, l net.Listener) error {
	context.AfterFunc(ctx, func() {
		stopCtx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = server.Shutdown(stopCtx)
	})
	err := server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

type targetCommand struct {
	Name        string        `required:"" help:"Name of the target."`
	Listen      string        `required:"" help:"Address to serve on."`
	Connections int           `default:"220" help:"Maximum number of open connections."`
	Slots       int           `default:"8" help:"Maximum number of requests that run at the same time."`
	Queue       int           `default:"64" help:"Maximum number of requests that wait for a slot."`
	ColdTime    time.Duration `default:"0s" help:"Time after the start during which requests take longer."`
	ColdFactor  float64       `default:"3" help:"Factor by which requests take longer during the cold time."`
	Journal     string        `help:"File to which each run is appended."`
}

// Run serves a fake target until ctx is done.
func (c *targetCommand) Run(ctx context.Context) error {
	t, err := target.New(target.Config{
		Name: c.Name, Slots: c.Slots, Queue: c.Queue, ColdTime: c.ColdTime, ColdFactor: c.ColdFactor, Journal: c.Journal,
		Crash: func() { os.Exit(1) },
	})
	if err != nil {
		return err
	}
	var cfg net.ListenConfig
	l, err := cfg.Listen(ctx, "tcp", c.Listen)
	if err != nil {
		return err
	}
	return serve(ctx, &http.Server{Handler: t.Handler(), ReadHeaderTimeout: time.Second}, target.Limit(l, c.Connections))
}

type loadCommand struct {
	Workload    string        `required:"" type:"existingfile" help:"Workload file."`
	Balancer    []string      `required:"" help:"Address at which a balancer serves callers; may be repeated."`
	ReadyPort   uint16        `default:"7304" help:"Port of the balancers' readiness endpoint; 0 sends to all balancers."`
	Direct      []string      `help:"Address of a target for direct calls; may be repeated."`
	DirectShare int           `default:"0" help:"Direct calls per thousand."`
	Rate        float64       `default:"500" help:"Calls per second."`
	Calls       int           `default:"5000" help:"Number of calls."`
	Timeout     time.Duration `default:"10s" help:"Timeout of one attempt of a call."`
	Retries     int           `default:"0" help:"Maximum number of retries of a keyed call."`
	Seed        uint64        `default:"1" help:"Seed of the arrival times and the mix of calls."`
	Journals    string        `help:"Directory with the journals of the targets."`
	TLS         bool          `name:"tls" help:"Call balancers over TLS, without verifying their certificates."`
}

// Run sends the calls and prints the result as text, followed by a line of JSON.
func (c *loadCommand) Run(ctx context.Context) error {
	data, err := os.ReadFile(c.Workload)
	if err != nil {
		return err
	}
	w, err := load.ReadWorkload(c.Workload, data)
	if err != nil {
		return err
	}
	cfg := load.Config{ReadyPort: c.ReadyPort, DirectShare: c.DirectShare, Rate: c.Rate, Calls: c.Calls, Timeout: c.Timeout, Retries: c.Retries, Seed: c.Seed}
	if cfg.Balancers, err = parseAddresses(c.Balancer); err != nil {
		return err
	}
	if cfg.Direct, err = parseAddresses(c.Direct); err != nil {
		return err
	}
	if c.TLS {
		cfg.TLS = &tls.Config{InsecureSkipVerify: true} //nolint:gosec // The certificates are those of a test installation.
	}
	cfg.Progress = func(done int) { fmt.Printf("%d of %d calls have ended\n", done, c.Calls) }
	result := load.Run(ctx, cfg, w)
	if c.Journals != "" {
		if err := result.ReadJournals(c.Journals); err != nil {
			return err
		}
	}
	result.WriteText(os.Stdout)
	if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
		return err
	}
	if !result.Passed() {
		return errors.New("a guarantee was violated")
	}
	return nil
}

func parseAddresses(texts []string) ([]netip.AddrPort, error) {
	list := make([]netip.AddrPort, 0, len(texts))
	for _, text := range texts {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, err
		}
		list = append(list, a)
	}
	return list, nil
}
