//go:build review3

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// newID returns the id of a client attempt.
func newID(prefix string) string { return fmt.Sprintf("%s-%06d", prefix, lastID.Add(1)) }

// call is a request of a client: a POST if it has a body, and else a GET.
type call struct {
	host, path, key, body string
	deadline              time.Duration
}

// answer is what a client got.
type answer struct {
	id     string
	status int
	signed bool
	wait   time.Duration
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("%s: %v", a.id, a.err)
	}
	return fmt.Sprintf("%s: %d signed=%t", a.id, a.status, a.signed)
}

// newClient returns a client with connections of its own.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
}

// send sends one attempt to a front address.
func (c call) send(client *http.Client, front, prefix string, fresh bool) answer {
	a := answer{id: newID(prefix)}
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	method, body := http.MethodGet, io.Reader(http.NoBody)
	if c.body != "" {
		method, body = http.MethodPost, io.NopCloser(strings.NewReader(c.body))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+c.path, body)
	if err != nil {
		a.err = err
		return a
	}
	req.Host, req.ContentLength = c.host, int64(len(c.body))
	req.Close = fresh
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	if c.key != "" {
		req.Header.Set("X-Credential", c.key)
	}
	res, err := client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer res.Body.Close()
	if _, err := io.ReadAll(res.Body); err != nil {
		a.err = err
		return a
	}
	a.status, a.signed = res.StatusCode, res.Header.Get("X-Server-Signature") != ""
	if s, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
		a.wait = time.Duration(s * float64(time.Second))
	}
	return a
}

func (a answer) ok() bool { return a.err == nil && a.status/100 == 2 }
