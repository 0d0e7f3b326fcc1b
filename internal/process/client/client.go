// Package client calls the operators' side of a balancer.
//
// # Usage
//
//	c, err := client.New(client.Config{Server: "127.0.0.1:7303", Operator: "exchange/ana", ...})
//	plan, err := c.Declare(ctx, intent)
package client

// This file defines Client and the errors that it returns.

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

// timeout bounds one call.
const timeout = 15 * time.Second

// Config says whom to call and as whom.
type Config struct {
	Server netip.AddrPort
	// Operator is partner/name.
	Operator string
	// SecretFile holds the operator's secret.
	SecretFile string
	// Authority is the file with the certificate that signs balancers.
	Authority string
}

// Client calls one balancer.
type Client struct {
	cfg    Config
	secret string
	http   *http.Client
}

// RefusedError is a refusal by the balancer.
type RefusedError struct{ operator.Failure }

// Error implements error.
func (e *RefusedError) Error() string {
	text := e.Failure.Error
	if e.RetryAfterMS > 0 {
		text += fmt.Sprintf(" (come back in %s)", time.Duration(e.RetryAfterMS)*time.Millisecond)
	}
	return text
}

// New returns a client. It reads the secret and the authority.
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
	secure := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool, ServerName: settings.PeerServerName}
	return &Client{
		cfg: cfg, secret: strings.TrimSpace(string(secret)),
		http: &http.Client{Timeout: timeout, Transport: &http.Transport{TLSClientConfig: secure}},
	}, nil
}

// Declare sends an intent document and returns its plan.
func (c *Client) Declare(ctx context.Context, intent []byte) (*plan.Plan, error) {
	var p plan.Plan
	err := c.call(ctx, http.MethodPost, "/v1/intents", intent, &p)
	return &p, err
}

// Plans returns the open plans that concern the operator's partner.
func (c *Client) Plans(ctx context.Context) ([]*plan.Plan, error) {
	var plans []*plan.Plan
	err := c.call(ctx, http.MethodGet, "/v1/plans", nil, &plans)
	return plans, err
}

// MarkShown records that the operator was shown a plan.
func (c *Client) MarkShown(ctx context.Context, id string) error {
	return c.call(ctx, http.MethodPost, "/v1/plans/"+url.PathEscape(id)+"/shown", nil, &struct{}{})
}

// Plan returns one plan.
func (c *Client) Plan(ctx context.Context, id string) (*plan.Plan, error) {
	var p plan.Plan
	err := c.call(ctx, http.MethodGet, "/v1/plans/"+url.PathEscape(id), nil, &p)
	return &p, err
}

// Confirm puts a plan in force.
func (c *Client) Confirm(ctx context.Context, id string) (catalog.Confirmation, error) {
	var done catalog.Confirmation
	err := c.call(ctx, http.MethodPost, "/v1/plans/"+url.PathEscape(id)+"/confirm", nil, &done)
	return done, err
}

// Status returns the status of the fleet.
func (c *Client) Status(ctx context.Context) (operator.Status, error) {
	var s operator.Status
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &s)
	return s, err
}

// Report returns the service-level burn.
func (c *Client) Report(ctx context.Context) (burn.Report, error) {
	var r burn.Report
	err := c.call(ctx, http.MethodGet, "/v1/report", nil, &r)
	return r, err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, v any) error {
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
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return errors.Wrap(err, "client")
	}
	if res.StatusCode != http.StatusOK {
		var f operator.Failure
		if err := json.Unmarshal(data, &f); err != nil {
			return errors.Errorf("client: status %d: %s", res.StatusCode, data)
		}
		return &RefusedError{Failure: f}
	}
	return errors.Wrap(json.Unmarshal(data, v), "client")
}
