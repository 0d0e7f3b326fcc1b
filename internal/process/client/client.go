// Package client is a client for the operator API of a balancer.
//
// # Usage
//
//	c, err := client.New(client.Config{Server: server, Operator: "exchange/ana", ...})
//	plan, err := c.Declare(ctx, intent)
package client

// This file defines Client and ResponseError.

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/contract/catalog"
	"tamaracktiller.example/tamaracktiller/internal/contract/plan"
	"tamaracktiller.example/tamaracktiller/internal/process/operator"
	"tamaracktiller.example/tamaracktiller/internal/process/settings"
	"tamaracktiller.example/tamaracktiller/internal/report/burn"
)

// requestTimeout bounds one request.
const requestTimeout = 15 * time.Second

// maxResponseBytes bounds a response.
const maxResponseBytes = 64 << 20

// Config holds the address of a balancer and the credentials of an operator.
type Config struct {
	Server netip.AddrPort
	// Operator is the operator's name, in the form partner/name.
	Operator string
	// SecretFile is the path of the file with the operator's secret.
	SecretFile string
	// Authority is the path of the file with the CA certificate of the balancers.
	Authority string
}

// Client sends requests to one balancer.
type Client struct {
	cfg    Config
	secret string
	http   *http.Client
}

// ResponseError is an error response of the balancer.
type ResponseError struct{ operator.Failure }

// Error implements error.
func (e *ResponseError) Error() string {
	text := e.Failure.Error
	if e.RetryAfterMS > 0 {
		text += fmt.Sprintf(" (retry in %s)", time.Duration(e.RetryAfterMS)*time.Millisecond)
	}
	return text
}

// New returns a client. It reads the files with the secret and the CA certificate.
func New(cfg Config) (*Client, error) {
	if _, _, err := operator.ParseOperator(cfg.Operator); err != nil {
		return nil, err
	}
	secret, err := os.ReadFile(cfg.SecretFile)
	if err != nil {
		return nil, errors.Wrap(err, "client: secret")
	}
	pool, err := settings.LoadAuthority(cfg.Authority)
	if err != nil {
		return nil, err
	}
	tlsConfig := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool, ServerName: settings.PeerServerName}
	return &Client{
		cfg: cfg, secret: strings.TrimSpace(string(secret)),
		http: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{TLSClientConfig: tlsConfig}},
	}, nil
}

// Declare sends an intent document and returns its plan.
func (c *Client) Declare(ctx context.Context, intent []byte) (*plan.Plan, error) {
	var p plan.Plan
	err := c.do(ctx, http.MethodPost, "/v1/intents", intent, &p)
	return &p, err
}

// Plans returns the open plans that the operator's partner declared or is affected by.
func (c *Client) Plans(ctx context.Context) ([]*plan.Plan, error) {
	var plans []*plan.Plan
	err := c.do(ctx, http.MethodGet, "/v1/plans", nil, &plans)
	return plans, err
}

// MarkShown records that the operator was shown the plan.
func (c *Client) MarkShown(ctx context.Context, id string) error {
	return c.do(ctx, http.MethodPost, "/v1/plans/"+url.PathEscape(id)+"/shown", nil, &struct{}{})
}

// Plan returns the plan with the given ID.
func (c *Client) Plan(ctx context.Context, id string) (*plan.Plan, error) {
	var p plan.Plan
	err := c.do(ctx, http.MethodGet, "/v1/plans/"+url.PathEscape(id), nil, &p)
	return &p, err
}

// Confirm activates the plan.
func (c *Client) Confirm(ctx context.Context, id string) (catalog.Confirmation, error) {
	var conf catalog.Confirmation
	err := c.do(ctx, http.MethodPost, "/v1/plans/"+url.PathEscape(id)+"/confirm", nil, &conf)
	return conf, err
}

// Status returns the configuration and the status of all balancers.
func (c *Client) Status(ctx context.Context) (operator.Status, error) {
	var s operator.Status
	err := c.do(ctx, http.MethodGet, "/v1/status", nil, &s)
	return s, err
}

// Report returns the error-budget burn of all services.
func (c *Client) Report(ctx context.Context) (burn.Report, error) {
	var r burn.Report
	err := c.do(ctx, http.MethodGet, "/v1/report", nil, &r)
	return r, err
}

// do sends a request and decodes the JSON response into v. If the status is not 200 OK, the
// error is a *ResponseError unless the body cannot be decoded.
func (c *Client) do(ctx context.Context, method, path string, body []byte, v any) error {
	r, err := http.NewRequestWithContext(ctx, method, "https://"+c.cfg.Server.String()+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "client")
	}
	r.SetBasicAuth(c.cfg.Operator, c.secret)
	res, err := c.http.Do(r)
	if err != nil {
		return errors.Wrap(err, "client")
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "client")
	}
	if res.StatusCode != http.StatusOK {
		var f operator.Failure
		if err := json.Unmarshal(data, &f); err != nil {
			return errors.Errorf("client: status %d: %s", res.StatusCode, data)
		}
		return &ResponseError{Failure: f}
	}
	return errors.Wrap(json.Unmarshal(data, v), "client")
}
