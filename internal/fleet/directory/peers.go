package directory

// This file defines the protocol by which hosts send the changes of the store to each
// other.

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// ChangesPath is the URL path under which a host serves changes.
const ChangesPath = "/fleet/changes"

const (
	headerMAC = "Fleet-Code"
	// headerSecretID names the secret that the client knows.
	headerSecretID = "Fleet-Key"
	paramAfter     = "after"
	paramWait      = "wait"
	// paramMemory asks for what the server knows of targets that ended, and paramConfig is the version of the
	// configuration that the client has. Builds of earlier versions neither send nor read the latter.
	paramMemory = "memory"
	paramConfig = "config"
	// maxChangesBytes bounds one response: all keys of a large fleet.
	maxChangesBytes = 16 << 20
	// maxPeerHeaderBytes bounds the header of a response. A parsed header of many short fields takes many
	// times its length.
	maxPeerHeaderBytes = 32 << 10
	// maxPollWait bounds the wait of a poll.
	maxPollWait = 2 * time.Second
	// peerGrace is the time beyond its wait after which a poll without a response times
	// out, and responseTimeout is the time in which a response must arrive completely
	// once it has begun.
	peerGrace       = 250 * time.Millisecond
	responseTimeout = 1500 * time.Millisecond
	// largeResponseBytes is the size of the items from which a response counts as large;
	// 16 KB fill a link of 10 Mbit/s for 13 ms. maxLargeResponses is the number of large
	// responses sent at once.
	largeResponseBytes = 16 << 10
	maxLargeResponses  = 2
)

// errBadResponse reports a response of another host that cannot be used.
var errBadResponse = errors.New("directory: invalid response of a host")

// errBusy reports that a host cannot respond at the moment: it sends too many large
// responses, or does not know the secret yet.
var errBusy = errors.New("directory: host is busy")

// changesResponse is the body of a response.
type changesResponse struct {
	Items    []wireItem     `cbor:"1,keyasint,omitempty"`
	Revision store.Revision `cbor:"2,keyasint"`
	// Full reports whether the items are all keys of the store.
	Full bool `cbor:"3,keyasint,omitempty"`
	// Age is the age of the items when the response is sent, and Held is the time for
	// which the server held the request before that.
	Age  time.Duration `cbor:"4,keyasint"`
	Held time.Duration `cbor:"5,keyasint,omitempty"`
	// Origin is the name of the host that read the items from the store. Responses of earlier
	// versions lack it.
	Origin string `cbor:"6,keyasint,omitempty"`
	// Newest holds the entries of targets that count in place of those that the store holds. Builds
	// of earlier versions neither send nor read it.
	Newest []newestEntry `cbor:"7,keyasint,omitempty"`
	// SoundAge and SoundHeld are Age and Held by the time since boot of the server. Builds of earlier
	// versions neither send nor read them, and hosts without client accounts don't send them.
	SoundAge  *time.Duration `cbor:"8,keyasint,omitempty"`
	SoundHeld time.Duration  `cbor:"9,keyasint,omitempty"`
	// Memory is what the server knows of targets that ended. It is sent if the client asks for it, or
	// if entries are uncertain. Builds of earlier versions neither send nor read it.
	Memory *peerMemory `cbor:"10,keyasint,omitempty"`
	// Beliefs holds the records of the server by kind. They are sent if the client asks for its memory. Builds of
	// earlier versions neither send nor read them.
	Beliefs map[string][]byte `cbor:"11,keyasint,omitempty"`
}

// ServeHTTP serves the changes after a revision to another host, and waits for some if
// there are none. It implements http.Handler.
func (d *Directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	secret := secretByID(d.Snapshot().Secrets, r.Header.Get(headerSecretID))
	after, err := store.ParseRevision(r.URL.Query().Get(paramAfter))
	wait, waitErr := time.ParseDuration(r.URL.Query().Get(paramWait))
	if err != nil || waitErr != nil {
		http.Error(w, "want a revision and a wait", http.StatusBadRequest)
		return
	}
	if secret == nil {
		http.Error(w, "the secret is not known yet", http.StatusServiceUnavailable)
		return
	}
	start, bootStart := time.Now(), d.bootNow()
	cs, ok := d.waitForChanges(r.Context(), after, min(wait, maxPollWait))
	if !ok {
		return
	}
	items := d.codec.encode(cs.page.Items)
	if totalBytes(items) >= largeResponseBytes {
		if !d.largeResponses.acquire(r.Context(), wait-time.Since(start)) {
			http.Error(w, "too many large answers are on their way", http.StatusServiceUnavailable)
			return
		}
		defer d.largeResponses.release()
		cs = d.cache.since(after)
		items = d.codec.encode(cs.page.Items)
		// Only the response writers of tests do not support deadlines.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseTimeout))
	}
	now := time.Now()
	response := changesResponse{
		Items: items, Revision: cs.page.Revision, Full: cs.full, Age: d.ageOf(now, cs.asOf), Held: now.Sub(start), Origin: d.originName(),
		Newest: encodeNewest(now, cs.memory.newest),
	}
	if r.URL.Query().Has(paramMemory) || len(cs.memory.uncertain) > 0 {
		response.Memory = cs.memory.encode(now, configVersion(r))
	}
	if r.URL.Query().Has(paramMemory) {
		response.Beliefs = d.cfg.Beliefs.Export()
	}
	d.addSoundAge(&response, bootStart, cs.soundAsOf)
	body, err := cbor.Marshal(response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set(headerMAC, computeMAC(secret, body))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// configVersion returns the version of the configuration that the client of a request has. Clients that don't say so need
// none.
func configVersion(r *http.Request) uint64 {
	version, err := strconv.ParseUint(r.URL.Query().Get(paramConfig), 10, 64)
	if err != nil {
		return math.MaxUint64
	}
	return version
}

// waitForChanges returns the changes after a revision, and waits for some if there are
// none. It returns false if the client disconnected.
func (d *Directory) waitForChanges(ctx context.Context, after store.Revision, wait time.Duration) (changeSet, bool) {
	cs := d.cache.since(after)
	if cs.full || len(cs.page.Items) > 0 {
		return cs, true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-cs.changed:
		return d.cache.since(after), true
	case <-timer.C:
		return cs, true
	case <-ctx.Done():
		return cs, false
	}
}

// semaphore limits the large responses that are sent at once. More of them would only
// delay each other and the requests of this host to the store.
type semaphore chan struct{}

// acquire waits for a free slot and reports whether it got one in time. A caller that
// does not wait gets one only if all slots are free: followers have priority over hosts
// that poll a fallback.
func (s semaphore) acquire(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return len(s) == 0 && s.acquire(ctx, time.Millisecond)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case s <- struct{}{}:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

func (s semaphore) release() { <-s }

// secretID returns the identifier by which hosts tell secrets apart.
func secretID(secret []byte) string {
	const idBytes = 8
	sum := sha256.Sum256(secret)
	return hex.EncodeToString(sum[:idBytes])
}

// secretByID returns the secret with an identifier, or the newest one; nil if none is
// known.
func secretByID(secrets [][]byte, id string) []byte {
	for _, secret := range secrets {
		if secretID(secret) == id {
			return secret
		}
	}
	if len(secrets) == 0 {
		return nil
	}
	return secrets[0]
}

func computeMAC(secret, body []byte) string {
	mac := hmac.New(sha256.New, secret)
	_, _ = mac.Write(body)
	return hex.EncodeToString(mac.Sum(nil))
}

// poll describes a request for changes.
type poll struct {
	// wait is the time for which the server waits for changes.
	wait time.Duration
	// memory asks for what the server knows of targets that ended.
	memory bool
}

// fetchChanges requests the changes after a revision from another host. The age of the
// update includes the transit time.
func (d *Directory) fetchChanges(ctx context.Context, host Host, after store.Revision, p poll) (update, error) {
	start, sent := time.Now(), d.bootNow()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.AfterFunc(p.wait+peerGrace, cancel)
	defer timeout.Stop()
	query := url.Values{paramAfter: {after.String()}, paramWait: {p.wait.String()}}
	if p.memory {
		query.Set(paramMemory, "")
		query.Set(paramConfig, strconv.FormatUint(d.Snapshot().configVersion(), 10))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s?%s", host.PeerAddress, ChangesPath, query.Encode()), nil)
	if err != nil {
		return update{}, err
	}
	secret := d.Snapshot().Secret()
	req.Header.Set(headerSecretID, secretID(secret))
	res, err := d.peers.Do(req)
	if err != nil {
		return update{}, err
	}
	defer res.Body.Close()
	timeout.Reset(responseTimeout)
	if res.StatusCode == http.StatusServiceUnavailable {
		return update{}, errors.Wrap(errBusy, host.Name)
	}
	if res.ContentLength > maxChangesBytes {
		return update{}, errors.Wrapf(errBadResponse, "%s: length %d", host.Name, res.ContentLength)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxChangesBytes))
	if err != nil {
		return update{}, err
	}
	if res.StatusCode != http.StatusOK || !hmac.Equal([]byte(res.Header.Get(headerMAC)), []byte(computeMAC(secret, body))) {
		return update{}, errors.Wrapf(errBadResponse, "%s: status %d", host.Name, res.StatusCode)
	}
	var c changesResponse
	if err := cbor.Unmarshal(body, &c); err != nil {
		return update{}, errors.Wrap(err, host.Name)
	}
	decoded, err := d.codec.decode(c.Items)
	if err != nil {
		return update{}, errors.Wrap(err, host.Name)
	}
	receivedAt := time.Now()
	// The clocks of hosts differ, so the transit time is the time of the request minus
	// its hold time.
	transit := max(0, receivedAt.Sub(start)-max(0, c.Held))
	return update{
		page: store.Page{Items: decoded, Revision: c.Revision}, full: c.Full, newest: c.Newest, memory: c.Memory, beliefs: c.Beliefs, source: host.Name, origin: c.Origin,
		receivedAt: receivedAt, age: max(0, c.Age) + transit, soundAsOf: d.peerSoundAsOf(&c, sent),
	}, nil
}
