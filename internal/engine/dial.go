package engine

import (
	"context"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"

	"lugward/internal/event"
)

// dialTimeout: an address beyond a partition answers nothing, and the dial
// should end before its call does.
const dialTimeout = 1500 * time.Millisecond

// dial connects outside the loop and hands the connection to it, by OnOpen or
// handleDialFailure.
func (e *engine) dial(c *connection) {
	go func() {
		if err := e.dialAndEnroll(c); err != nil {
			e.onLoop(func() { e.handleDialFailure(c) })
		}
	}()
}

// dialAndEnroll runs outside the loop. It returns once gnet has taken the
// connection, with an error if there is none.
func (e *engine) dialAndEnroll(c *connection) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	socket, err := dialer.DialContext(e.ctx, "tcp", c.addr)
	if err != nil {
		return err
	}
	// gnet duplicates the socket and closes this one, unless Enroll fails.
	registered, err := e.eventLoop().Enroll(gnet.NewContext(context.Background(), c), socket)
	if err != nil {
		_ = socket.Close() // nothing has been sent on it that could get lost
		return err
	}
	select {
	case result := <-registered:
		return result.Err
	case <-e.ctx.Done():
		return e.ctx.Err()
	}
}

// handleDialed puts a connection that was dialled to its use.
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
		e.keepIdle(c) // the call has timed out meanwhile
	}
}

// handleDialFailure takes notice of a connection that could not be made.
func (e *engine) handleDialFailure(c *connection) {
	if c.kind == outgoingPeer {
		e.peers[c.peer].dialing = false
		return
	}
	e.finishCall(c.call.ID, event.NoResponse, nil)
}
