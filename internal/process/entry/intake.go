package entry

// This file defines what clients may make the host hold.

import (
	"context"
	"net"
	"net/netip"
	"runtime/debug"
	runtimemetrics "runtime/metrics"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"tamaracktiller.example/tamaracktiller/internal/intake/resource"
	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
)

// addClientBudget creates the budget for clients, if the settings give the memory or the descriptors of
// the host.
func (p *Process) addClientBudget(timers *timer.Service) {
	limits := resource.LimitsOf(p.cfg.MemoryBytes, p.cfg.Descriptors)
	log := p.log.For("intake")
	used := memoryInUse
	if debug.SetMemoryLimit(-1) != limits.RuntimeBytes {
		// The program has not set the limit of this host, so other hosts or tests share the process.
		used = nil
	}
	p.clientBudget = resource.New(limits, resource.Config{
		Now: time.Now, MemoryInUse: used, OnRefuse: p.metrics.CountIntakeRefusal,
		OnEnd: func(e resource.End) {
			fields := logrus.Fields{"count": e.Count, "bytes": e.Bytes, "held-bytes": e.Held, "limit-bytes": limits.Bytes, "too-many": e.TooMany}
			for phase, n := range e.Phases {
				fields["phase-"+phase.String()] = n
				p.metrics.CountIntakeEnded(phase.String(), n)
			}
			log.WithFields(fields).Info("connections of clients are ended")
		},
	})
	if p.clientBudget == nil {
		return
	}
	p.metrics.registerIntake(p.clientBudget)
	timers.Every("client memory", resource.SweepPeriod, p.clientBudget.Sweep)
}

// memoryInUse returns the memory that counts towards the limit of the runtime.
func memoryInUse() int64 {
	sample := []runtimemetrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	runtimemetrics.Read(sample)
	return int64(sample[0].Value.Uint64() - sample[1].Value.Uint64())
}

// listen listens on address. The buffers of accepted connections are bounded if the memory of the host is
// known: what clients have sent, or have not received, is a part of it.
func (p *Process) listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	var cfg net.ListenConfig
	if limits := resource.LimitsOf(p.cfg.MemoryBytes, p.cfg.Descriptors); limits.SocketBytes > 0 {
		receive := limits.SocketBytes
		if address == p.cfg.Callers {
			// Connections that wait to be accepted are not part of the budget.
			receive = resource.UnacceptedSocketBytes
		}
		cfg.Control = func(_, _ string, raw syscall.RawConn) error {
			return setSocketBytes(raw, receive, limits.SocketBytes)
		}
	}
	l, err := cfg.Listen(ctx, "tcp", address.String())
	return l, errors.Wrap(err, "entry")
}

func setSocketBytes(raw syscall.RawConn, receive, send int) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receive)
		if optionErr == nil {
			optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, send)
		}
	})
	if err != nil {
		return err
	}
	return optionErr
}
