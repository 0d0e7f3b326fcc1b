package store

// This file defines Client, the HTTP client of the platform's service.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

const (
	// callTimeout bounds one call, watches excepted.
	callTimeout = 2 * time.Second
	// maxListBytes bounds the answer of a list call.
	maxListBytes = 8 << 20
)

// Client calls the platform's service over HTTP. It is safe for concurrent use.
type Client struct {
	base  string
	http  *http.Client
	calls *prometheus.CounterVec
}

var (
	_ Store      = (*Client)(nil)
	_ HostLister = (*Client)(nil)
)

// NewClient returns a client of the service at base, for example
// http://127.0.0.1:7400. calls counts each call by operation and may be nil.
func NewClient(base string, calls *prometheus.CounterVec) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}
	return &Client{base: strings.TrimSuffix(base, "/"), http: &http.Client{Transport: transport}, calls: calls}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.read(ctx, "get", key, keyPath(key))
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, after Version, wait time.Duration) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	path := fmt.Sprintf("%s?after=%d&wait=%s", strings.Replace(keyPath(key), "/v1/kv/", "/v1/watch/", 1), after, wait)
	return c.read(ctx, "watch", key, path)
}

func (c *Client) read(ctx context.Context, operation, key, path string) (Value, error) {
	r, err := c.do(ctx, operation, http.MethodGet, path, nil, "")
	if err != nil {
		return Value{}, errors.Wrapf(ErrDown, "%s %s: %v", operation, key, err)
	}
	defer r.Body.Close()
	switch r.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return Value{}, errors.Wrapf(ErrNotFound, "%s %s", operation, key)
	case http.StatusNotModified:
		return Value{}, errors.Wrapf(ErrUnchanged, "%s %s", operation, key)
	default:
		return Value{}, errors.Wrapf(ErrDown, "%s %s: status %d", operation, key, r.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, MaxValueBytes+1))
	if err != nil {
		return Value{}, errors.Wrapf(ErrDown, "%s %s: %v", operation, key, err)
	}
	version, err := versionOf(r)
	if err != nil {
		return Value{}, errors.Wrapf(ErrDown, "%s %s: %v", operation, key, err)
	}
	return Value{Key: key, Version: version, Data: data}, nil
}

// Swap implements Store.
func (c *Client) Swap(ctx context.Context, key string, old Version, data []byte) (Version, error) {
	if len(data) > MaxValueBytes {
		return 0, errors.Errorf("store: swap %s: %d bytes, the limit is %d", key, len(data), MaxValueBytes)
	}
	return c.write(ctx, "swap", http.MethodPut, key, old, data)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, old Version) error {
	_, err := c.write(ctx, "delete", http.MethodDelete, key, old, nil)
	return err
}

func (c *Client) write(ctx context.Context, operation, method, key string, old Version, data []byte) (Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.do(ctx, operation, method, keyPath(key), data, strconv.FormatUint(uint64(old), 10))
	if err != nil {
		return 0, errors.Wrapf(ErrUnclear, "%s %s: %v", operation, key, err)
	}
	defer r.Body.Close()
	switch r.StatusCode {
	case http.StatusOK:
		return versionOf(r)
	case http.StatusPreconditionFailed:
		return 0, errors.Wrapf(ErrConflict, "%s %s", operation, key)
	case http.StatusServiceUnavailable:
		return 0, errors.Wrapf(ErrDown, "%s %s", operation, key)
	}
	return 0, errors.Wrapf(ErrUnclear, "%s %s: status %d", operation, key, r.StatusCode)
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Value, error) {
	var values []Value
	err := c.readJSON(ctx, "list", "/v1/list?prefix="+url.QueryEscape(prefix), &values)
	return values, err
}

// Hosts implements HostLister.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var hosts []Host
	err := c.readJSON(ctx, "hosts", "/v1/hosts", &hosts)
	return hosts, err
}

func (c *Client) readJSON(ctx context.Context, operation, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.do(ctx, operation, http.MethodGet, path, nil, "")
	if err != nil {
		return errors.Wrapf(ErrDown, "%s: %v", operation, err)
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrDown, "%s: status %d", operation, r.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxListBytes)).Decode(v); err != nil {
		return errors.Wrapf(ErrDown, "%s: %v", operation, err)
	}
	return nil
}

// do sends one call. The transport must not repeat a write, so a write has no
// GetBody and its connection failures surface here.
func (c *Client) do(ctx context.Context, operation, method, path string, data []byte, ifMatch string) (*http.Response, error) {
	if c.calls != nil {
		c.calls.WithLabelValues(operation).Inc()
	}
	var body io.Reader
	if data != nil {
		body = io.NopCloser(bytes.NewReader(data))
	}
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, err
	}
	r.ContentLength = int64(len(data))
	if ifMatch != "" {
		r.Header.Set("If-Match", ifMatch)
	}
	return c.http.Do(r)
}

func keyPath(key string) string { return "/v1/kv/" + key }

func versionOf(r *http.Response) (Version, error) {
	n, err := strconv.ParseUint(r.Header.Get("ETag"), 10, 64)
	return Version(n), err
}
