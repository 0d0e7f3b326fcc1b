// Command tamaracktiller runs balancers and entry hosts, and provides the commands for
// operators.
//
// Exit codes: 0 success; 1 failure; 2 invalid usage, settings or intent; 3 the balancer
// refused the request, for example because the plan is stale, belongs to another partner or
// was not shown to an affected partner; 4 the configuration store is unavailable; 5 the
// outcome is not known yet.
package main

// This file defines the command line and the commands balancer and check.

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/contract/catalog"
	"tamaracktiller.example/tamaracktiller/internal/contract/document"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/process/balancer"
	"tamaracktiller.example/tamaracktiller/internal/process/client"
	"tamaracktiller.example/tamaracktiller/internal/process/logs"
	"tamaracktiller.example/tamaracktiller/internal/process/operator"
	"tamaracktiller.example/tamaracktiller/internal/process/settings"
	"tamaracktiller.example/tamaracktiller/platform"
)

// Exit codes.
const (
	exitFailed      = 1
	exitUsage       = 2
	exitRefused     = 3
	exitUnavailable = 4
	exitUndecided   = 5
)

type commands struct {
	Balancer balancerCommand `cmd:"" help:"Run a balancer."`
	Entry    entryCommand    `cmd:"" help:"Run an entry host on the platform."`
	Check    checkCommand    `cmd:"" help:"Validate a settings file or an intent file."`
	Intent   intentCommand   `cmd:"" help:"Declare an intent and print its plan."`
	Plan     planCommand     `cmd:"" help:"Show a plan, or list the open plans."`
	Confirm  confirmCommand  `cmd:"" help:"Activate a plan."`
	Status   statusCommand   `cmd:"" help:"Show the active configuration and the status of each host."`
	Explain  explainCommand  `cmd:"" help:"Show the latest confirmations: who made them, and why."`
	Burn     burnCommand     `cmd:"" help:"Report the error-budget burn of entry hosts."`
	Trace    traceCommand    `cmd:"" help:"Show the timeline of one request from the logs of hosts."`
	Report   reportCommand   `cmd:"" help:"Report the error-budget burn of all balancers."`
}

func main() {
	// A hangup must not end an entry host that is still starting.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	var c commands
	k := kong.Parse(&c,
		kong.Name("tamaracktiller"),
		kong.Description("A load balancer for partners who share targets.\n\nExit codes: 0 success, 1 failure, 2 invalid usage or input, 3 refused, 4 store unavailable, 5 outcome not known yet."),
		kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Exit(func(code int) {
			if code != 0 {
				code = exitUsage
			}
			os.Exit(code)
		}),
	)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	if !strings.HasPrefix(k.Command(), "entry") {
		signal.Reset(syscall.SIGHUP)
	}
	k.BindTo(ctx, (*context.Context)(nil))
	k.Bind(hangups)
	err := k.Run()
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "tamaracktiller:", err)
		os.Exit(exitCode(err))
	}
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var respErr *client.ResponseError
	var doc *document.Error
	switch {
	case errors.As(err, &doc):
		return exitUsage
	case !errors.As(err, &respErr):
		return exitFailed
	}
	switch respErr.Kind {
	case operator.KindInvalid:
		return exitUsage
	case operator.KindUnavailable:
		return exitUnavailable
	case operator.KindUndecided:
		return exitUndecided
	}
	return exitRefused
}

type balancerCommand struct {
	Settings string `arg:"" help:"Settings file." type:"existingfile"`
}

// Run runs a balancer until it receives a signal. A second signal terminates the process
// immediately.
func (c *balancerCommand) Run(ctx context.Context) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	g := group.New(context.WithoutCancel(ctx))
	out := logs.NewAsync(os.Stdout, g)
	defer func() {
		out.Flush()
		_ = g.Stop()
	}()
	log, err := logs.New(out, s.LogLevel, s.Name)
	if err != nil {
		return err
	}
	b, err := balancer.New(s, platform.OpenStore, log)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { signal.Reset(os.Interrupt, syscall.SIGTERM) })
	return b.Run(ctx)
}

type checkCommand struct {
	File string `arg:"" help:"Settings file or intent file." type:"existingfile"`
	Kind string `help:"Kind of the file: settings or intent." enum:"settings,intent" default:"settings"`
}

// Run validates a file.
func (c *checkCommand) Run() error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	name := filepath.Base(c.File)
	if c.Kind == "intent" {
		_, err = catalog.ParseIntent(name, data)
	} else {
		_, err = settings.Parse(name, data)
	}
	if err != nil {
		return err
	}
	fmt.Printf("%s: valid %s\n", name, c.Kind)
	return nil
}

// readInput returns the content of a file, or of standard input if file is "-". Standard
// input is truncated just above the maximum size of an intent.
func readInput(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(io.LimitReader(os.Stdin, catalog.MaxIntentBytes+1))
	}
	return os.ReadFile(file)
}
