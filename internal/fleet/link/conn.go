package link

// This file defines conn.

import (
	"sync"
	"time"

	"github.com/coder/websocket"
)

// conn is an open link.
type conn struct {
	// name is the host at the other end.
	name string
	ws   *websocket.Conn
	// dialed is set if the local host opened the link.
	dialed    bool
	openedAt  time.Time
	sendQueue chan []byte
	done      chan struct{}
	closeOnce sync.Once
}

func newConn(name string, ws *websocket.Conn, dialed bool) *conn {
	return &conn{
		name: name, ws: ws, dialed: dialed, openedAt: time.Now(),
		sendQueue: make(chan []byte, sendQueueLength), done: make(chan struct{}),
	}
}

func (c *conn) close() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.ws.CloseNow()
	})
}
