//go:build review3

package main

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// leaveSlack is the time after the close of a client within which servers must have stopped.
const leaveSlack = 500 * time.Millisecond

// work is one run of a request at a server.
type work struct {
	begin, end time.Time
	completed  bool
}

// workLog collects the runs at servers, by request id and server.
type workLog struct {
	mu   sync.Mutex
	runs map[string]map[string]work
}

func newWorkLog() *workLog { return &workLog{runs: map[string]map[string]work{}} }

func (l *workLog) set(a arrival, r work) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs[a.id] == nil {
		l.runs[a.id] = map[string]work{}
	}
	l.runs[a.id][a.server] = r
}

func (l *workLog) begin(a arrival) { l.set(a, work{begin: a.at}) }

func (l *workLog) end(a arrival, completed bool) {
	l.set(a, work{begin: a.at, end: time.Now(), completed: completed})
}

// of returns the runs of a request.
func (l *workLog) of(id string) []work {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Values(l.runs[id]))
}

// leaver is a client that closes its connection before it has the answer.
type leaver struct {
	ids    []string
	closed time.Time
}

// pipelinedGiveUp: clients send a second safe request before the first one is answered. For some seconds a share
// of them leaves before the deadline.
func pipelinedGiveUp(w *world) error {
	const (
		workTime = 1500 * time.Millisecond
		leaves   = 400 * time.Millisecond
		between  = 60 * time.Millisecond
		clients  = 240
		// Clients of which leaveShare leave start from leaveFrom on, for five seconds.
		leaveFrom  = 80
		leaveUntil = leaveFrom + int(5*time.Second/between)
		leaveShare = 0.3
	)
	w.putConfig(config(1, []route{{name: "r-reports", host: "shop.example", prefix: "/reports/", service: "reports", safe: true, timeoutMS: 6000, objectiveMS: 3000, attempts: 2}}, nil))
	log := newWorkLog()
	b := behaviour{
		work:  func(*http.Request) time.Duration { return workTime },
		onRun: func(a arrival) { log.begin(a); w.rec.line("server %s begins %s", a.server, a.id) },
		onEnd: func(a arrival, completed bool) {
			log.end(a, completed)
			w.rec.line("server %s ends %s, completed %t", a.server, a.id, completed)
		},
	}
	if err := w.startServers("reports", 20, b); err != nil {
		return err
	}
	if err := w.startHosts(4); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	list := make([]leaver, clients)
	var g sync.WaitGroup
	left := 0
	for i := range list {
		leaves := leaves
		if share := float64(left) / float64(i-leaveFrom+1); !w.trouble || i < leaveFrom || i >= leaveUntil || share >= leaveShare {
			leaves = 0
		} else {
			left++
		}
		g.Add(1)
		go func() {
			defer g.Done()
			list[i] = w.request(w.hosts[i%len(w.hosts)], !w.control, leaves)
		}()
		time.Sleep(between)
	}
	g.Wait()
	time.Sleep(2 * time.Second)
	return w.checkGone(list, log, workTime)
}

// request sends a request, and another one behind it if the client pipelines. The client closes the connection
// after some time, or when it has all answers if that is zero.
func (w *world) request(h *host, pipelines bool, leaves time.Duration) leaver {
	var l leaver
	nc, err := net.Dial("tcp", h.front())
	if err != nil {
		w.rec.line("client cannot connect: %v", err)
		return l
	}
	defer nc.Close()
	start := time.Now()
	send := func() {
		id := newID("client")
		l.ids = append(l.ids, id)
		fmt.Fprintf(nc, "GET /reports/%s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 6000\r\n\r\n", id, id)
		w.rec.line("client sends %s to %s", id, h.name)
	}
	send()
	if pipelines {
		time.Sleep(50 * time.Millisecond)
		send()
	}
	if leaves > 0 {
		time.Sleep(time.Until(start.Add(leaves)))
		l.closed = time.Now()
		w.rec.line("client of %s closes its connection", l.ids[0])
		return l
	}
	in := bufio.NewReader(nc)
	for _, id := range l.ids {
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			w.rec.line("client of %s: %v", id, err)
			return l
		}
		_, err = io.Copy(io.Discard, res.Body)
		w.rec.line("client of %s gets %d, error %v", id, res.StatusCode, err)
	}
	return l
}

// checkGone checks the rule on clients that have left.
func (w *world) checkGone(list []leaver, log *workLog, workTime time.Duration) error {
	lasting, working, late := 0, 0, 0
	for _, l := range list {
		if l.closed.IsZero() {
			continue
		}
		limit := l.closed.Add(leaveSlack)
		for _, id := range l.ids {
			lasts, works := false, false
			for _, r := range log.of(id) {
				switch {
				case r.begin.After(limit):
					late++
					w.rec.line("%s reached a server %v after its client had left", id, r.begin.Sub(l.closed))
				case r.begin.Add(workTime).After(limit):
					lasts = true
					if r.end.IsZero() || r.end.After(limit) {
						works = true
						w.rec.line("a server worked on %s until %v after its client had left", id, r.end.Sub(l.closed))
					}
				}
			}
			if lasts {
				lasting++
			}
			if works {
				working++
			}
		}
	}
	w.rec.note("%d requests would have lasted over %v after their clients had left; servers still worked on %d of them; %d reached a server later", lasting, leaveSlack, working, late)
	if working*4 > lasting || late > 5 {
		return fmt.Errorf("%w: GONE", errBroken)
	}
	return nil
}
