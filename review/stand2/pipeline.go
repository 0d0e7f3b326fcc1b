package main

// This file plays a planned stop of a host whose clients send a further safe request before the first one is
// answered.

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	pipelineAnswer = 30_000
	pipelineWork   = 300 * time.Millisecond
	// pipelineGap is the time between the first request and the one behind it.
	pipelineGap = 60 * time.Millisecond
	// windowBytes is the receive buffer of a client, and pieceBytes and piecePause make it read 1.6 MB a
	// second, as over a link of some 13 Mbit/s.
	windowBytes = 8 << 10
	pieceBytes  = 8 << 10
	piecePause  = 5 * time.Millisecond
)

// slowLink reads from a connection as fast as the link of its client allows.
type slowLink struct{ nc net.Conn }

func (l slowLink) Read(p []byte) (int, error) {
	time.Sleep(piecePause)
	return l.nc.Read(p[:min(len(p), pieceBytes)])
}

func smallWindow(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
	})
}

type pipelineResult struct {
	id     string
	sent   time.Time
	status int
	got    int
	err    error
	whole  bool
}

func request(id, method, hostName, uri string, deadline time.Duration, body string) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, uri, hostName, id, deadline.Milliseconds())
	if method != http.MethodGet {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return text + "\r\n" + body
}

// pair sends two requests on a new connection, the second one before the first is answered, and reads the
// first answer. If the connection stays open, it reads the second one too.
func pair(address, first, second string) (results []pipelineResult) {
	d := net.Dialer{Control: smallWindow}
	nc, err := d.Dial("tcp", address)
	if err != nil {
		return nil
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(10 * time.Second))
	sent := time.Now()
	_, _ = io.WriteString(nc, request(first, "GET", "reports.example", "/report/a", 8*time.Second, ""))
	time.Sleep(pipelineGap)
	_, _ = io.WriteString(nc, request(second, "GET", "reports.example", "/report/b", 8*time.Second, ""))
	br := bufio.NewReaderSize(slowLink{nc}, pieceBytes)
	for _, id := range []string{first, second} {
		r := pipelineResult{id: id, sent: sent}
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			r.err = err
			return append(results, r)
		}
		body, err := io.ReadAll(res.Body)
		r.status, r.got, r.err = res.StatusCode, len(body), err
		r.whole = err == nil && (res.StatusCode != http.StatusOK || string(body) == pattern(id, pipelineAnswer))
		results = append(results, r)
		if err != nil || res.Close {
			return results
		}
	}
	return results
}

func playPipeline(w *world) (broken bool, err error) {
	ran := map[string]string{}
	var mu sync.Mutex
	for i := range 4 {
		s := w.newServer(fmt.Sprintf("i-%d", i+1), "reports", []string{"kerr-a", "kerr-b"}[i%2], 16, w.ip(100+i)+":0")
		s.onRun = func(r run) {
			mu.Lock()
			defer mu.Unlock()
			ran[r.id] = r.server
		}
		s.handle = func(s *server, rw http.ResponseWriter, r *http.Request, _ []byte) {
			select {
			case <-time.After(pipelineWork):
			case <-r.Context().Done():
				return
			}
			s.answer(rw, http.StatusOK, pattern(r.Header.Get("X-Request-Id"), pipelineAnswer))
		}
		if err := s.start(); err != nil {
			return false, err
		}
	}
	w.configure(1, route("reports", "reports.example", "/report/", "safe", "reports", 8000, 2), service("reports"))
	if err := w.addHosts(3, nil); err != nil {
		return false, err
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	h := w.hosts[0]
	stop := time.AfterFunc(2*time.Second, func() {
		if !w.trouble {
			return
		}
		w.log("SIGTERM to %s", h.name)
		_ = h.cmd.Process.Signal(syscall.SIGTERM)
	})
	defer stop.Stop()
	var all []pipelineResult
	var wg sync.WaitGroup
	until := time.Now().Add(4 * time.Second)
	for c := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Now().Before(until); n++ {
				results := pair(h.front, fmt.Sprintf("c%d-%d-first", c, n), fmt.Sprintf("c%d-%d-second", c, n))
				mu.Lock()
				all = append(all, results...)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	lost, whole, notRead := 0, 0, 0
	for _, r := range all {
		server := ran[r.id]
		switch {
		case r.whole:
			whole++
		case server == "" && (errors.Is(r.err, io.EOF) || errors.Is(r.err, io.ErrUnexpectedEOF)) && r.got == 0:
			notRead++
		case server == "":
			notRead++
		default:
			lost++
			w.log("LOST: %s was run by %s; its client got status %d and %d of %d bytes: %v", r.id, server, r.status, r.got, pipelineAnswer, r.err)
			continue
		}
		w.log("%s: status %d, %d bytes, run by %q, error %v", r.id, r.status, r.got, server, r.err)
	}
	w.say("%d answers were whole, %d requests were not passed on, %d were passed on and their answer was cut", whole, notRead, lost)
	return lost > 0, nil
}
