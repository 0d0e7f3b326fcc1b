package main

// This file plays servers that answer long uploads before they have read them. The uploads contain text that
// looks like requests.

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	uploads     = 40
	uploadBytes = 2 << 20
	// earlyServers of uploadServers servers answer earlyPart of the uploads early: the dose of garble.
	uploadServers = 3
	earlyServers  = 2
	earlyPart     = 0.4
	// earlyAfter is the part of an upload that a server reads before it answers.
	earlyAfter = 200 << 10
	// blockBytes is the size of the blocks in which hosts read a body.
	blockBytes = 4096
)

// rawServer is a server that sees the bytes of requests. It keeps its connections.
type rawServer struct {
	*server
	p     *smugglePlay
	early bool
}

type smugglePlay struct {
	w *world

	mu   sync.Mutex
	ran  map[string]int
	sent map[string]bool
}

// listen starts the server and registers it.
func (s *rawServer) listen() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.address, s.up, s.born = l.Addr().String(), true, time.Now().UnixMilli()
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(nc)
		}
	}()
	s.beat()
	go func() {
		for range time.Tick(1500 * time.Millisecond) {
			s.beat()
		}
	}()
	return nil
}

// readHeader reads the bytes of a header.
func readHeader(br *bufio.Reader) ([]byte, error) {
	var header []byte
	for !bytes.HasSuffix(header, []byte("\r\n\r\n")) {
		line, err := br.ReadSlice('\n')
		if err != nil {
			return nil, err
		}
		header = append(header, line...)
	}
	return header, nil
}

// serve handles the requests on a connection.
func (s *rawServer) serve(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReaderSize(nc, 2*blockBytes)
	for {
		header, err := readHeader(br)
		if err != nil {
			return
		}
		req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(header)))
		if err != nil {
			return
		}
		if req.URL.Path == "/healthz" {
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nX-Server-Load: 0,0,%d,100\r\nContent-Length: 0\r\n\r\n", s.id, s.slots)
			continue
		}
		id := req.Header.Get("X-Request-Id")
		s.p.record(s.id, id, req)
		body := io.LimitReader(br, max(0, req.ContentLength))
		status := "200 OK"
		if s.early && s.p.w.trouble && req.ContentLength > earlyAfter && rand.Float64() < earlyPart {
			status = "413 Content Too Large"
			_, _ = io.CopyN(io.Discard, body, earlyAfter)
		} else if _, err := io.Copy(io.Discard, body); err != nil {
			return
		}
		text := pattern(id, 400)
		fmt.Fprintf(nc, "HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Server-Signature: signed.%s\r\nX-Server-Load: 0,0,%d,100\r\nContent-Length: %d\r\n\r\n%s", status, id, s.id, s.slots, len(text), text)
		if _, err := io.Copy(io.Discard, body); err != nil {
			return
		}
	}
}

func (p *smugglePlay) record(server, id string, req *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ran[id]++
	if p.ran[id] > 1 && !p.sent[id] {
		return
	}
	p.w.log("server %s runs %s: %s %s, a body of %d bytes", server, id, req.Method, req.RequestURI, req.ContentLength)
}

// content returns the body of an upload: blocks of text that is like a request.
func content(n int) []byte {
	text := strings.TrimSuffix(request(fmt.Sprintf("smuggled-%02d", n), "GET", "photos.example", "/rooms/smuggled", 2*time.Second, ""), "\r\n") + "X-Fill: "
	block := text + strings.Repeat(".", blockBytes-len(text)-len("\r\n\r\n")) + "\r\n\r\n"
	return []byte(strings.Repeat(block, uploadBytes/blockBytes))
}

// upload sends an upload, and then another request on the same connection if it stays open. It returns the
// answers as the client sees them.
func (p *smugglePlay) upload(address string, n int) (answers []string) {
	nc, err := net.Dial("tcp", address)
	if err != nil {
		return []string{err.Error()}
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(5 * time.Second))
	id, next := fmt.Sprintf("upload-%02d", n), fmt.Sprintf("next-%02d", n)
	body := content(n)
	p.mu.Lock()
	p.sent[id], p.sent[next] = true, true
	p.mu.Unlock()
	written := make(chan error, 1)
	go func() {
		_, err := io.WriteString(nc, fmt.Sprintf("POST /photos/x HTTP/1.1\r\nHost: photos.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 4000\r\nContent-Length: %d\r\n\r\n", id, len(body)))
		if err == nil {
			_, err = nc.Write(body)
		}
		written <- err
	}()
	br := bufio.NewReader(nc)
	for range 2 {
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			return append(answers, "none: "+err.Error())
		}
		data, err := io.ReadAll(res.Body)
		answers = append(answers, fmt.Sprintf("%d for %q, %d bytes, close %t", res.StatusCode, res.Header.Get("X-Request-Id"), len(data), res.Close))
		if err != nil || res.Close || len(answers) == 2 {
			return answers
		}
		if err := <-written; err != nil {
			return append(answers, "the rest of the body is not taken: "+err.Error())
		}
		_, _ = io.WriteString(nc, request(next, "GET", "photos.example", "/rooms/next", 2*time.Second, ""))
	}
	return answers
}

func playSmuggle(w *world) (broken bool, err error) {
	p := &smugglePlay{w: w, ran: map[string]int{}, sent: map[string]bool{}}
	for i := range uploadServers {
		s := &rawServer{early: i < earlyServers, server: w.newServer(fmt.Sprintf("i-%d", i+1), "photos", "kerr-a", 8, w.ip(100+i)+":0"), p: p}
		if err := s.listen(); err != nil {
			return false, err
		}
	}
	w.configure(1,
		route("photos", "photos.example", "/photos/", "upload", "photos", 4000, 2),
		route("rooms", "photos.example", "/rooms/", "safe", "photos", 2000, 2), service("photos"))
	if err := w.addHosts(2, nil); err != nil {
		return false, err
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	wrong := 0
	for n := range uploads {
		answers := p.upload(w.hosts[n%2].front, n)
		w.log("upload-%02d: %s", n, strings.Join(answers, "; "))
		if len(answers) > 1 && !strings.HasPrefix(answers[1], "200 for \"next") {
			wrong++
		}
	}
	time.Sleep(time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	smuggled := 0
	for id, times := range p.ran {
		if !p.sent[id] {
			smuggled += times
			w.log("UNASKED: servers have run %s, which no client sent, %d times", id, times)
		}
	}
	w.say("servers have run %d requests that were smuggled inside %d uploads; %d clients got a wrong answer or none to the next request on their connection", smuggled, uploads, wrong)
	return smuggled > 0, nil
}
