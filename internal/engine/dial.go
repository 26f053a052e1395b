package engine

import (
	"context"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"

	"lugward/internal/event"
)

// dialTimeout limits a single dial. An address behind a network partition does not
// respond, and the dial should end before the call that needs it times out.
const dialTimeout = 1500 * time.Millisecond

// dial connects on a separate goroutine. The event loop handles the result in OnOpen
// or handleDialFailure.
func (e *engine) dial(c *connection) {
	go func() {
		if err := e.dialAndEnroll(c); err != nil {
			e.runOnLoop(func() { e.handleDialFailure(c) })
		}
	}()
}

// dialAndEnroll runs outside the event loop. It returns nil once gnet has registered
// the connection, or an error if it could not be established.
func (e *engine) dialAndEnroll(c *connection) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	socket, err := dialer.DialContext(e.ctx, "tcp", c.addr)
	if err != nil {
		return err
	}
	// gnet duplicates the socket and closes the original, unless Enroll fails.
	registered, err := e.eventLoop().Enroll(gnet.NewContext(context.Background(), c), socket)
	if err != nil {
		_ = socket.Close() // no data was sent, so none can be lost
		return err
	}
	select {
	case result := <-registered:
		return result.Err
	case <-e.ctx.Done():
		return e.ctx.Err()
	}
}

// handleDialed handles a dialled connection that is now open.
func (e *engine) handleDialed(c *connection) {
	e.register(c)
	if c.kind == outgoingPeer {
		link := e.peers[c.peer]
		link.dialing = false
		link.connection = c
		return
	}
	if _, ok := e.outgoing.calls[c.call.ID]; ok {
		e.sendCall(c, c.call)
	} else {
		e.addIdleOutgoing(c) // the call has timed out in the meantime
	}
}

// handleDialFailure handles a connection that could not be established.
func (e *engine) handleDialFailure(c *connection) {
	if c.kind == outgoingPeer {
		e.peers[c.peer].dialing = false
		return
	}
	e.finishCall(c.call.ID, event.NoResponse, nil)
}
