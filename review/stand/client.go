package main

// This file defines the stand-in for clients.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// answer is how an attempt of a client ended.
type answer struct {
	id      string
	sentAt  time.Time
	endedAt time.Time
	status  int
	signed  bool
	body    string
	close   bool
	retry   string
	problem string
	// wasCut is set if the host ended the connection without a complete answer.
	wasCut   bool
	deadline time.Duration
}

func (a answer) String() string {
	if a.problem != "" {
		return a.problem
	}
	return fmt.Sprintf("status %d, signed %t", a.status, a.signed)
}

// clientConn is a connection of a client to a host.
type clientConn struct {
	nc net.Conn
	br *bufio.Reader
}

func connect(h *host) (*clientConn, error) {
	nc, err := net.DialTimeout("tcp", h.front(), time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{nc: nc, br: bufio.NewReader(nc)}, nil
}

func (c *clientConn) close() { _ = c.nc.Close() }

// text returns a request as it is sent.
func text(method, path, id string, deadline time.Duration, body string) string {
	s := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, id, deadline.Milliseconds())
	if body != "" || method == "POST" {
		s += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return s + "\r\n" + body
}

func newID() string { return fmt.Sprintf("q%07d", lastID.Add(1)) }

// read reads one answer. It must come before the deadline of the client.
func (c *clientConn) read(a *answer, method string) {
	_ = c.nc.SetReadDeadline(a.sentAt.Add(a.deadline))
	res, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err == nil {
		var data []byte
		data, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		a.status, a.body, a.close = res.StatusCode, string(data), res.Close
		a.signed, a.retry = res.Header.Get("X-Server-Signature") != "", res.Header.Get("Retry-After")
	}
	a.endedAt = time.Now()
	if err == nil {
		return
	}
	var ne net.Error
	if e, ok := err.(net.Error); ok {
		ne = e
	}
	if ne != nil && ne.Timeout() {
		a.problem = "no answer before the deadline"
		return
	}
	a.problem, a.wasCut = "connection ended without a complete answer: "+err.Error(), true
}

// do sends a request on the connection and reads the answer.
func (c *clientConn) do(ctx context.Context, method, path string, deadline time.Duration, body string) answer {
	a := answer{id: newID(), sentAt: time.Now(), deadline: deadline}
	stop := context.AfterFunc(ctx, func() { _ = c.nc.Close() })
	defer stop()
	_ = c.nc.SetWriteDeadline(a.sentAt.Add(deadline))
	_, err := io.WriteString(c.nc, text(method, path, a.id, deadline, body))
	if err != nil {
		// An early answer may be there although the body could not be sent.
		c.read(&a, method)
		if a.problem != "" {
			a.problem = "request could not be sent: " + strings.TrimSpace(err.Error())
		}
		return a
	}
	a.sentAt = time.Now()
	c.read(&a, method)
	return a
}

// once sends a request on a new connection.
func once(h *host, method, path string, deadline time.Duration, body string) answer {
	c, err := connect(h)
	if err != nil {
		return answer{id: "-", sentAt: time.Now(), endedAt: time.Now(), problem: "no connection: " + err.Error()}
	}
	defer c.close()
	return c.do(context.Background(), method, path, deadline, body)
}
