package link

// This file defines peer, one open link.

import (
	"sync"
	"time"

	"github.com/coder/websocket"

	"tamaracktiller.example/tamaracktiller/internal/fleet/message"
)

type peer struct {
	name string
	ws   *websocket.Conn
	// opened says that the own host opened the link.
	opened bool
	since  time.Time
	out    chan []byte
	done   chan struct{}
	once   sync.Once

	mu      sync.Mutex
	waiting map[uint64]chan *message.Envelope
}

func newPeer(name string, ws *websocket.Conn, opened bool) *peer {
	return &peer{
		name: name, ws: ws, opened: opened, since: time.Now(),
		out: make(chan []byte, queueLength), done: make(chan struct{}),
		waiting: map[uint64]chan *message.Envelope{},
	}
}

func (p *peer) close() {
	p.once.Do(func() {
		close(p.done)
		_ = p.ws.CloseNow()
	})
}

func (p *peer) expect(call uint64) <-chan *message.Envelope {
	ch := make(chan *message.Envelope, 1)
	p.mu.Lock()
	p.waiting[call] = ch
	p.mu.Unlock()
	return ch
}

func (p *peer) forget(call uint64) {
	p.mu.Lock()
	delete(p.waiting, call)
	p.mu.Unlock()
}

func (p *peer) answer(e *message.Envelope) {
	p.mu.Lock()
	ch := p.waiting[e.Call]
	delete(p.waiting, e.Call)
	p.mu.Unlock()
	if ch != nil {
		ch <- e
	}
}
