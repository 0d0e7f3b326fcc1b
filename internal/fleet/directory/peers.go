package directory

// This file defines how hosts pass the store's changes on to each other.

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// ChangesPath is the URL path under which a host passes changes on.
const ChangesPath = "/fleet/changes"

const (
	headerCode = "Fleet-Code"
	// headerKey names the secret that the asker knows.
	headerKey  = "Fleet-Key"
	paramAfter = "after"
	paramWait  = "wait"
	// maxChangesBytes bounds one answer: all keys of a large fleet.
	maxChangesBytes = 16 << 20
	// maxPeerWait bounds the wait of a question.
	maxPeerWait = 2 * time.Second
	// peerGrace is the time beyond its wait after which a question is lost, unless its
	// answer has begun to arrive, and answerTime that after which the answer is.
	peerGrace  = 250 * time.Millisecond
	answerTime = 1500 * time.Millisecond
	// largeAnswer is the size of the items from which answers take turns: it fills a link
	// of 10 Mbit/s for 13 ms. largeAtOnce is the number of those on their way at once.
	largeAnswer = 16 << 10
	largeAtOnce = 2
)

// errPeer reports an answer of another host that cannot be used.
var errPeer = errors.New("directory: answer of a host cannot be used")

// errBusy reports that a host cannot answer at the moment: it passes on too much, or does
// not know the secret yet.
var errBusy = errors.New("directory: host cannot answer now")

// changes is what a host passes on.
type changes struct {
	Items    []parcel       `cbor:"1,keyasint,omitempty"`
	Revision store.Revision `cbor:"2,keyasint"`
	// Full says that the items are all keys.
	Full bool `cbor:"3,keyasint,omitempty"`
	// Age is the time since which the items may lack what the store has taken in, as of the
	// answer, and Held that for which the question waited for it.
	Age  time.Duration `cbor:"4,keyasint"`
	Held time.Duration `cbor:"5,keyasint,omitempty"`
}

// ServeHTTP passes changes on to another host. It implements http.Handler.
func (d *Directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := keyNamed(d.Snapshot().Keys, r.Header.Get(headerKey))
	after, err := store.ParseRevision(r.URL.Query().Get(paramAfter))
	wait, waitErr := time.ParseDuration(r.URL.Query().Get(paramWait))
	if err != nil || waitErr != nil {
		http.Error(w, "want a revision and a wait", http.StatusBadRequest)
		return
	}
	if key == nil {
		http.Error(w, "the secret is not known yet", http.StatusServiceUnavailable)
		return
	}
	asked := time.Now()
	e, ok := d.await(r.Context(), after, min(wait, maxPeerWait))
	if !ok {
		return
	}
	parcels := d.packer.pack(e.page.Items)
	if bytesOf(parcels) >= largeAnswer {
		if !d.turns.take(r.Context(), wait-time.Since(asked)) {
			http.Error(w, "too many large answers are on their way", http.StatusServiceUnavailable)
			return
		}
		defer d.turns.leave()
		e = d.journal.since(after)
		parcels = d.packer.pack(e.page.Items)
		// Only writers of tests know no deadlines.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerTime))
	}
	now := time.Now()
	body, err := cbor.Marshal(changes{
		Items: parcels, Revision: e.page.Revision, Full: e.full, Age: d.ageOf(now, e.contact), Held: now.Sub(asked),
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set(headerCode, code(key, body))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// await returns what changed after a revision, and waits if there is nothing. It is false
// if the asker has left.
func (d *Directory) await(ctx context.Context, after store.Revision, wait time.Duration) (extract, bool) {
	e := d.journal.since(after)
	if e.full || len(e.page.Items) > 0 {
		return e, true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-e.changed:
		return d.journal.since(after), true
	case <-timer.C:
		return e, true
	case <-ctx.Done():
		return e, false
	}
}

// turns bounds the large answers that are on their way at once. More of them would only
// delay each other, and what the own host asks of the store.
type turns chan struct{}

// take waits for a turn, and reports whether there was one in time. Who does not wait gets
// one only while there is nothing else on its way: followers go before those that ask a
// spare.
func (t turns) take(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return len(t) == 0 && t.take(ctx, time.Millisecond)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case t <- struct{}{}:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

func (t turns) leave() { <-t }

// keyName returns the name by which hosts tell secrets apart.
func keyName(key []byte) string {
	const nameBytes = 8
	sum := sha256.Sum256(key)
	return hex.EncodeToString(sum[:nameBytes])
}

// keyNamed returns the secret with a name, or the newest one; nil if none is known.
func keyNamed(keys [][]byte, name string) []byte {
	for _, key := range keys {
		if keyName(key) == name {
			return key
		}
	}
	if len(keys) == 0 {
		return nil
	}
	return keys[0]
}

func code(key, body []byte) string {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write(body)
	return hex.EncodeToString(mac.Sum(nil))
}

// askPeer asks another host for what changed after a revision. The age of its news includes
// the way.
func (d *Directory) askPeer(ctx context.Context, host Host, after store.Revision, wait time.Duration) (news, error) {
	asked := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lost := time.AfterFunc(wait+peerGrace, cancel)
	defer lost.Stop()
	query := url.Values{paramAfter: {after.String()}, paramWait: {wait.String()}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s?%s", host.Peers, ChangesPath, query.Encode()), nil)
	if err != nil {
		return news{}, err
	}
	key := d.Snapshot().Key()
	req.Header.Set(headerKey, keyName(key))
	res, err := d.peers.Do(req)
	if err != nil {
		return news{}, err
	}
	defer res.Body.Close()
	lost.Reset(answerTime)
	if res.StatusCode == http.StatusServiceUnavailable {
		return news{}, errors.Wrap(errBusy, host.Name)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxChangesBytes))
	if err != nil {
		return news{}, err
	}
	if res.StatusCode != http.StatusOK || !hmac.Equal([]byte(res.Header.Get(headerCode)), []byte(code(key, body))) {
		return news{}, errors.Wrapf(errPeer, "%s: status %d", host.Name, res.StatusCode)
	}
	var c changes
	if err := cbor.Unmarshal(body, &c); err != nil {
		return news{}, errors.Wrap(err, host.Name)
	}
	items, err := d.packer.unpack(c.Items)
	if err != nil {
		return news{}, errors.Wrap(err, host.Name)
	}
	received := time.Now()
	// The clocks of hosts differ, so the way is what the question took beyond its wait.
	way := max(0, received.Sub(asked)-max(0, c.Held))
	return news{page: store.Page{Items: items, Revision: c.Revision}, full: c.Full, from: host.Name, received: received, age: max(0, c.Age) + way}, nil
}
