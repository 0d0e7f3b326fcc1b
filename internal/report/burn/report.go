package burn

// This file defines Report, the error-budget burn of all services, and Merge.

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/traffic/job"
)

// Window is the error-budget burn of a service over one window.
type Window struct {
	Seconds int64 `json:"seconds"`
	Good    int64 `json:"good-weight"`
	Bad     int64 `json:"bad-weight"`
	// Burn is the burn rate.
	Burn float64 `json:"burn-rate"`
}

// Total returns the weight of all requests in the window.
func (w Window) Total() int64 { return w.Good + w.Bad }

// WeightedCause is a cause and the decayed weight of its bad requests.
type WeightedCause struct {
	Cause
	Weight float64 `json:"weight"`
}

// Service is the error-budget burn of one service.
type Service struct {
	Name            string   `json:"service"`
	Partner         string   `json:"partner"`
	GoodPerThousand int      `json:"good-per-thousand"`
	LatencyMillis   int64    `json:"latency-ms"`
	Windows         []Window `json:"windows"`
	// BudgetLeft is the remaining share of the error budget of the longest window. It is
	// negative when the budget is exceeded.
	BudgetLeft float64         `json:"budget-left"`
	Causes     []WeightedCause `json:"causes,omitempty"`
}

// Report is the error-budget burn of all services.
type Report struct {
	// Hosts lists the hosts included in the report, and Missing those that did not respond.
	Hosts     []string  `json:"hosts"`
	Missing   []string  `json:"missing,omitempty"`
	UnixMilli int64     `json:"unix-milli"`
	Services  []Service `json:"services"`
	// Jobs is the backlog of deferrable work, as reported by the host that counts the most
	// waiting jobs.
	Jobs job.Backlog `json:"jobs"`
}

// Objective is the service-level objective of a service.
type Objective struct {
	GoodPerThousand int
	// Latency is the maximum latency of a good request; zero if it differs by request.
	Latency time.Duration
}

// Report returns the error-budget burn of the services as measured on this host. objective
// returns the objective of a service and whether the service exists.
func (m *Meter) Report(now time.Time, host string, objective func(service string) (Objective, bool)) Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := Report{Hosts: []string{host}, UnixMilli: now.UnixMilli()}
	for name, sr := range m.services {
		s := Service{Name: name, Partner: sr.partner}
		if o, ok := objective(name); ok {
			s.GoodPerThousand, s.LatencyMillis = o.GoodPerThousand, o.Latency.Milliseconds()
		}
		for _, w := range Windows {
			good, bad := sr.sum(now, w)
			s.Windows = append(s.Windows, Window{Seconds: int64(w / time.Second), Good: good, Bad: bad})
		}
		for cause, weight := range sr.causes {
			s.Causes = append(s.Causes, WeightedCause{Cause: cause, Weight: weight})
		}
		r.Services = append(r.Services, s)
	}
	r.finalize()
	return r
}

// Merge combines the reports of several hosts by adding their counts.
func Merge(reports []Report) Report {
	var merged Report
	byName := map[string]*Service{}
	for _, r := range reports {
		merged.Hosts = append(merged.Hosts, r.Hosts...)
		merged.Missing = append(merged.Missing, r.Missing...)
		merged.UnixMilli = max(merged.UnixMilli, r.UnixMilli)
		if r.Jobs.Waiting > merged.Jobs.Waiting {
			merged.Jobs = r.Jobs
		}
		for _, s := range r.Services {
			mergeService(byName, s)
		}
	}
	for _, s := range byName {
		merged.Services = append(merged.Services, *s)
	}
	merged.finalize()
	return merged
}

func mergeService(byName map[string]*Service, s Service) {
	m, ok := byName[s.Name]
	if !ok {
		s.Windows = slices.Clone(s.Windows)
		s.Causes = slices.Clone(s.Causes)
		byName[s.Name] = &s
		return
	}
	for i := range m.Windows {
		m.Windows[i].Good += s.Windows[i].Good
		m.Windows[i].Bad += s.Windows[i].Bad
	}
	for _, c := range s.Causes {
		at := slices.IndexFunc(m.Causes, func(o WeightedCause) bool { return o.Cause == c.Cause })
		if at < 0 {
			m.Causes = append(m.Causes, c)
			continue
		}
		m.Causes[at].Weight += c.Weight
	}
}

// maxShownCauses is the maximum number of causes per service in a rendered report.
const maxShownCauses = 5

// finalize computes the burn rates and the remaining budgets and sorts the lists.
func (r *Report) finalize() {
	slices.Sort(r.Hosts)
	slices.Sort(r.Missing)
	slices.SortFunc(r.Services, func(a, b Service) int {
		return cmp.Or(strings.Compare(a.Partner, b.Partner), strings.Compare(a.Name, b.Name))
	})
	for i := range r.Services {
		s := &r.Services[i]
		for w := range s.Windows {
			s.Windows[w].Burn = burnRate(s.Windows[w], s.GoodPerThousand)
		}
		if n := len(s.Windows); n > 0 {
			s.BudgetLeft = 1 - s.Windows[n-1].Burn
		}
		slices.SortFunc(s.Causes, func(a, b WeightedCause) int {
			return cmp.Or(cmp.Compare(b.Weight, a.Weight), strings.Compare(string(a.Fault)+a.Target, string(b.Fault)+b.Target))
		})
	}
}

// burnRate returns the bad share of the weight divided by the share that the objective
// allows, or 0 if nothing was counted or the objective allows no bad requests.
func burnRate(w Window, goodPerThousand int) float64 {
	total := w.Total()
	allowed := float64(1000-goodPerThousand) / 1000
	if total == 0 || allowed <= 0 {
		return 0
	}
	return float64(w.Bad) / float64(total) / allowed
}

// WriteText writes the report as a table.
func (r Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "error-budget burn at %s, %d hosts", time.UnixMilli(r.UnixMilli).UTC().Format(time.RFC3339), len(r.Hosts))
	if len(r.Missing) > 0 {
		fmt.Fprintf(w, ", no response from %s", strings.Join(r.Missing, " "))
	}
	fmt.Fprintf(w, "\ndeferrable work: %d waiting, %d overdue, %d failing", r.Jobs.Waiting, r.Jobs.Overdue, r.Jobs.Failing)
	fmt.Fprintf(w, "\n%-16s %-18s %-20s %8s %8s %8s %8s  %s\n", "partner", "service", "objective", "5m", "1h", "6h", "budget", "requests (weighted) in 6h")
	for _, s := range r.Services {
		objective := fmt.Sprintf("%.1f%% in %d ms", float64(s.GoodPerThousand)/10, s.LatencyMillis)
		fmt.Fprintf(w, "%-16s %-18s %-20s", s.Partner, s.Name, objective)
		for _, win := range s.Windows {
			fmt.Fprintf(w, " %7.2fx", win.Burn)
		}
		longest := s.Windows[len(s.Windows)-1]
		fmt.Fprintf(w, " %7.1f%%  %d\n", 100*s.BudgetLeft, longest.Total())
		for i, c := range s.Causes {
			if i == maxShownCauses {
				break
			}
			fmt.Fprintf(w, "    %s %s %s: %.0f\n", c.Fault, c.Target, c.Domain, c.Weight)
		}
	}
	return nil
}
