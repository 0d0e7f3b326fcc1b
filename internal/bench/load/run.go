package load

// This file defines Run, which sends calls in an open loop.

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/bench/proof"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
)

// Config configures a run.
type Config struct {
	// Balancers are the addresses at which the balancers serve callers.
	Balancers []netip.AddrPort
	// ReadyPort is the port of the balancers' readiness endpoint. With 0 all balancers count
	// as ready.
	ReadyPort uint16
	// Direct are the addresses of targets that get direct calls, for comparison. It may be
	// empty.
	Direct []netip.AddrPort
	// DirectShare is the number of direct calls per thousand, except for calls that must not
	// run twice.
	DirectShare int
	// Rate is the number of calls per second.
	Rate float64
	// Calls is the number of calls to send.
	Calls int
	// Timeout is the timeout of the HTTP client for one attempt.
	Timeout time.Duration
	// Retries is the maximum number of retries of a keyed call whose outcome is not
	// OutcomeRan. Retries use the same key.
	Retries int
	Seed    uint64
	// Progress is called about once a second with the number of finished calls. It may be
	// nil.
	Progress func(done int)
	// TLS is set if the balancers serve callers over TLS.
	TLS *tls.Config
}

const (
	headerOutcome = "Tamarack-Outcome"
	headerMember  = "Tamarack-Member"
	headerKey     = "Idempotency-Key"
	// maxIdleConns is the maximum number of idle connections to one balancer.
	maxIdleConns = 1024
)

// runner is the state of a run.
type runner struct {
	cfg    Config
	w      *Workload
	client *http.Client
	g      *group.Group
	ready  *readiness
	// id is unique per run and prefixes the IDs of calls, so that several runs can share the
	// journals of targets.
	id string

	mu     sync.Mutex
	result *Result
}

// Run sends all calls and returns when they have finished.
func Run(ctx context.Context, cfg Config, w *Workload) *Result {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, MaxConnsPerHost: 0, IdleConnTimeout: time.Minute, TLSClientConfig: cfg.TLS, DisableCompression: true}
	r := &runner{
		cfg: cfg, w: w, g: group.New(ctx), result: newResult(),
		client: &http.Client{Transport: transport, Timeout: cfg.Timeout},
		ready:  newReadiness(cfg.Balancers, cfg.ReadyPort),
		id:     uuid.NewString(),
	}
	polling := group.New(ctx)
	if cfg.ReadyPort != 0 {
		polling.Go("readiness", func(ctx context.Context) error {
			r.ready.run(ctx)
			return nil
		})
	}
	defer func() { _ = polling.Stop() }()
	r.sendAll()
	_ = r.g.Wait()
	r.result.finish()
	return r.result
}

// sendAll starts each call at its due time, with exponentially distributed intervals. The
// latency of a call counts from its due time even if the call starts late.
func (r *runner) sendAll() {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 1))
	due := time.Now()
	nextProgress := due.Add(time.Second)
	r.result.start = due
	for n := range r.cfg.Calls {
		due = due.Add(time.Duration(rng.ExpFloat64() / r.cfg.Rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		c := r.newCall(rng, n, due)
		r.g.Go("call", func(ctx context.Context) error {
			r.execute(ctx, c)
			return nil
		})
		if r.cfg.Progress != nil && time.Now().After(nextProgress) {
			nextProgress = time.Now().Add(time.Second)
			r.mu.Lock()
			done := r.result.Calls
			r.mu.Unlock()
			r.cfg.Progress(done)
		}
	}
}

// call is a call with the data to send it and to check its response.
type call struct {
	id     string
	key    string
	kind   *Kind
	due    time.Time
	direct bool
	// first is the index of the address that is tried first, modulo the number of addresses.
	first int
	body  []byte
}

func (r *runner) newCall(rng *rand.Rand, n int, due time.Time) *call {
	kind := r.w.pick(rng)
	c := &call{id: fmt.Sprintf("%s-%d", r.id, n), kind: kind, due: due, first: rng.IntN(1 << 20)}
	c.direct = len(r.cfg.Direct) > 0 && !kind.AtMostOnce && rng.IntN(1000) < r.cfg.DirectShare
	if kind.Keyed {
		c.key = uuid.Must(uuid.NewV7()).String()
	}
	if kind.BodyBytes > 0 {
		c.body = proof.Body(c.id, kind.BodyBytes)
	}
	return c
}

// response is what the caller got for one attempt.
type response struct {
	outcome Outcome
	// valid is set for a complete response that belongs to the call.
	valid bool
	// targetTime is the time that the target reported for the call.
	targetTime time.Duration
	status     int
	reason     string
	err        error
}

// execute sends a call, retries it if it is keyed, and adds it to the result.
func (r *runner) execute(ctx context.Context, c *call) {
	res := r.send(ctx, c)
	for attempt := 0; attempt < r.cfg.Retries && c.key != "" && res.outcome != OutcomeRan; attempt++ {
		time.Sleep(retryDelay)
		res = r.send(ctx, c)
	}
	latency := time.Since(c.due)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.add(c, res, latency)
}

// retryDelay is the delay before a retry of a keyed call.
const retryDelay = 200 * time.Millisecond

// send tries the addresses in turn until one accepts the connection, as the platform's
// load balancer does.
func (r *runner) send(ctx context.Context, c *call) response {
	addresses := r.ready.order(c.first)
	if c.direct {
		addresses = r.cfg.Direct[c.first%len(r.cfg.Direct):]
	}
	var res response
	for _, address := range addresses {
		res = r.sendTo(ctx, c, address)
		if res.err == nil || !isConnRefused(res.err) {
			return res
		}
	}
	return res
}

func isConnRefused(err error) bool {
	var op interface{ Timeout() bool }
	_ = errors.As(err, &op)
	return err != nil && bytes.Contains([]byte(err.Error()), []byte("connect: connection refused"))
}

func (r *runner) sendTo(ctx context.Context, c *call, address netip.AddrPort) response {
	scheme := "http://"
	if r.cfg.TLS != nil && !c.direct {
		scheme = "https://"
	}
	var body io.Reader
	if c.body != nil {
		body = io.NopCloser(bytes.NewReader(c.body))
	}
	req, err := http.NewRequestWithContext(ctx, c.kind.Method, scheme+address.String()+c.kind.Path, body)
	if err != nil {
		return response{outcome: OutcomeError, err: err}
	}
	req.ContentLength = int64(len(c.body))
	r.setHeaders(req, c)
	res, err := r.client.Do(req)
	if err != nil {
		return response{outcome: OutcomeError, err: err}
	}
	defer res.Body.Close()
	return readResponse(c, res)
}

func (r *runner) setHeaders(req *http.Request, c *call) {
	req.Host = c.kind.Host
	h := req.Header
	h.Set(proof.HeaderID, c.id)
	h.Set(proof.HeaderServiceTime, strconv.FormatInt(c.kind.ServiceTime.Std().Microseconds(), 10))
	h.Set(proof.HeaderResponseBytes, strconv.Itoa(c.kind.ResponseBytes))
	if c.kind.Chunked {
		h.Set(proof.HeaderChunked, "1")
	}
	if c.key != "" {
		h.Set(headerKey, c.key)
	}
	if c.kind.Member != "" {
		h.Set(headerMember, c.kind.Member)
	}
}

// readResponse reads the response to a call and compares it with the expected one.
func readResponse(c *call, res *http.Response) response {
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return response{outcome: OutcomeError, err: err, status: res.StatusCode}
	}
	r := response{outcome: Outcome(res.Header.Get(headerOutcome)), status: res.StatusCode}
	if c.direct {
		r.outcome = OutcomeRan
	}
	if r.outcome == OutcomeNotRun || r.outcome == OutcomeUnknown {
		var document struct {
			Reason string `json:"reason"`
		}
		_ = json.Unmarshal(body, &document)
		r.reason = document.Reason
	}
	if r.outcome == OutcomeRan && res.StatusCode == http.StatusOK {
		digest := proof.Digest(c.id, c.kind.Method, c.kind.Path, c.body)
		r.valid = proof.Valid(body, digest, c.kind.ResponseBytes)
		us, _ := strconv.ParseInt(res.Header.Get(proof.HeaderTargetTime), 10, 64)
		r.targetTime = time.Duration(us) * time.Microsecond
	}
	return r
}
