package load

// This file defines Run, the open loop of calls.

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

// Config says how much is sent where.
type Config struct {
	// Balancers are the callers' addresses of the balancers.
	Balancers []netip.AddrPort
	// ReadyPort is the port at which balancers tell that they are ready; 0 sends
	// to all of them.
	ReadyPort uint16
	// Direct are addresses of targets for the comparison. It may be empty.
	Direct []netip.AddrPort
	// DirectShare is the share of calls, of 1000, that go directly.
	DirectShare int
	// Rate is the number of calls per second.
	Rate float64
	// Calls is the number of calls to send.
	Calls int
	// Timeout bounds one call at the caller.
	Timeout time.Duration
	// Retries is the number of times that a keyed call is sent again, under its
	// key, when it was not told that it ran.
	Retries int
	Seed    uint64
	// Progress is called about once a second with the calls that have ended. It
	// may be nil.
	Progress func(done int)
	// TLS is set when the balancers serve TLS.
	TLS *tls.Config
}

const (
	headerOutcome = "Tamarack-Outcome"
	headerMember  = "Tamarack-Member"
	headerKey     = "Idempotency-Key"
	// maxConnections bounds the idle connections to one balancer.
	maxConnections = 1024
)

// runner holds the state of a run.
type runner struct {
	cfg    Config
	w      *Workload
	client *http.Client
	g      *group.Group
	ready  *readiness
	// id is unique per run, so that journals of several runs do not meet.
	id string

	mu     sync.Mutex
	result *Result
}

// Run sends all calls and returns when each has its outcome.
func Run(ctx context.Context, cfg Config, w *Workload) *Result {
	transport := &http.Transport{MaxIdleConnsPerHost: maxConnections, MaxConnsPerHost: 0, IdleConnTimeout: time.Minute, TLSClientConfig: cfg.TLS, DisableCompression: true}
	r := &runner{
		cfg: cfg, w: w, g: group.New(ctx), result: newResult(),
		client: &http.Client{Transport: transport, Timeout: cfg.Timeout},
		ready:  newReadiness(cfg.Balancers, cfg.ReadyPort),
		id:     uuid.NewString(),
	}
	asking := group.New(ctx)
	if cfg.ReadyPort != 0 {
		asking.Go("readiness", func(ctx context.Context) error {
			r.ready.run(ctx)
			return nil
		})
	}
	defer func() { _ = asking.Stop() }()
	r.sendAll()
	_ = r.g.Wait()
	r.result.finish()
	return r.result
}

// sendAll starts each call at its due time. A call that starts late still counts
// from its due time.
func (r *runner) sendAll() {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 1))
	due := time.Now()
	nextProgress := due.Add(time.Second)
	r.result.began = due
	for n := range r.cfg.Calls {
		due = due.Add(time.Duration(rng.ExpFloat64() / r.cfg.Rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		c := r.newCall(rng, n, due)
		r.g.Go("call", func(ctx context.Context) error {
			r.carry(ctx, c)
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

// outgoing is one call with all that is needed to send and check it.
type outgoing struct {
	id     string
	key    string
	kind   *Kind
	due    time.Time
	direct bool
	first  int
	body   []byte
}

func (r *runner) newCall(rng *rand.Rand, n int, due time.Time) *outgoing {
	kind := r.w.pick(rng)
	c := &outgoing{id: fmt.Sprintf("%s-%d", r.id, n), kind: kind, due: due, first: rng.IntN(1 << 20)}
	c.direct = len(r.cfg.Direct) > 0 && !kind.Once && rng.IntN(1000) < r.cfg.DirectShare
	if kind.Keyed {
		c.key = uuid.Must(uuid.NewV7()).String()
	}
	if kind.BodyBytes > 0 {
		c.body = proof.Answer(c.id, kind.BodyBytes)
	}
	return c
}

// answer is what the caller got for one try.
type answer struct {
	outcome Outcome
	whole   bool
	inside  time.Duration
	status  int
	reason  string
	err     error
}

func (r *runner) carry(ctx context.Context, c *outgoing) {
	a := r.send(ctx, c)
	for try := 0; try < r.cfg.Retries && c.key != "" && a.outcome != OutcomeRan; try++ {
		time.Sleep(retryPause)
		a = r.send(ctx, c)
	}
	latency := time.Since(c.due)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.add(c, a, latency)
}

// retryPause is the time between two tries of a keyed call.
const retryPause = 200 * time.Millisecond

// send tries the addresses in turn until one takes the connection, as the
// platform's balancer does.
func (r *runner) send(ctx context.Context, c *outgoing) answer {
	addresses := r.ready.order(c.first)
	if c.direct {
		addresses = r.cfg.Direct[c.first%len(r.cfg.Direct):]
	}
	var a answer
	for _, address := range addresses {
		a = r.sendTo(ctx, c, address)
		if a.err == nil || !isDialError(a.err) {
			return a
		}
	}
	return a
}

func isDialError(err error) bool {
	var op interface{ Timeout() bool }
	_ = errors.As(err, &op)
	return err != nil && bytes.Contains([]byte(err.Error()), []byte("connect: connection refused"))
}

func (r *runner) sendTo(ctx context.Context, c *outgoing, address netip.AddrPort) answer {
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
		return answer{outcome: OutcomeError, err: err}
	}
	req.ContentLength = int64(len(c.body))
	r.setHeaders(req, c)
	res, err := r.client.Do(req)
	if err != nil {
		return answer{outcome: OutcomeError, err: err}
	}
	defer res.Body.Close()
	return check(c, res)
}

func (r *runner) setHeaders(req *http.Request, c *outgoing) {
	req.Host = c.kind.Host
	h := req.Header
	h.Set(proof.HeaderID, c.id)
	h.Set(proof.HeaderWork, strconv.FormatInt(c.kind.Work.Std().Microseconds(), 10))
	h.Set(proof.HeaderSize, strconv.Itoa(c.kind.AnswerBytes))
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

// check reads the answer and compares it with the only right one.
func check(c *outgoing, res *http.Response) answer {
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return answer{outcome: OutcomeError, err: err, status: res.StatusCode}
	}
	a := answer{outcome: Outcome(res.Header.Get(headerOutcome)), status: res.StatusCode}
	if c.direct {
		a.outcome = OutcomeRan
	}
	if a.outcome == OutcomeNotRun || a.outcome == OutcomeUnknown {
		var told struct {
			Reason string `json:"reason"`
		}
		_ = json.Unmarshal(body, &told)
		a.reason = told.Reason
	}
	if a.outcome == OutcomeRan && res.StatusCode == http.StatusOK {
		digest := proof.Digest(c.id, c.kind.Method, c.kind.Path, c.body)
		a.whole = proof.Whole(body, digest, c.kind.AnswerBytes)
		us, _ := strconv.ParseInt(res.Header.Get(proof.HeaderInside), 10, 64)
		a.inside = time.Duration(us) * time.Microsecond
	}
	return a
}
