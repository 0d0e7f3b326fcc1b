package link

// This file defines peer, one open link.

import (
	"sync"
	"time"

	"github.com/coder/websocket"
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
}

func newPeer(name string, ws *websocket.Conn, opened bool) *peer {
	return &peer{
		name: name, ws: ws, opened: opened, since: time.Now(),
		out: make(chan []byte, queueLength), done: make(chan struct{}),
	}
}

func (p *peer) close() {
	p.once.Do(func() {
		close(p.done)
		_ = p.ws.CloseNow()
	})
}
