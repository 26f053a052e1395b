package engine

import (
	"context"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// loopRetryInterval is the pause between two attempts to obtain gnet's event loop. The
// attempt itself takes up to dialTimeout in addition.
const loopRetryInterval = 200 * time.Millisecond

// loopRef wraps the event loop, since atomic.Value requires a single concrete type.
// The event loop stores it once, when the first connection opens. Any goroutine may
// read it.
type loopRef struct{ gnet.EventLoop }

func (e *engine) eventLoop() gnet.EventLoop { return e.loop.Load().(loopRef) }

// runOnLoop schedules f on the event loop. f does not run if the loop is shutting down.
func (e *engine) runOnLoop(f func()) {
	if e.ctx.Err() != nil {
		return
	}
	// Execute fails only during shutdown, when f is no longer needed.
	_ = e.eventLoop().Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		f()
		return nil
	}))
}

// connectToSelf opens the first connection to the engine's own HTTP address. gnet
// exposes its event loop only through a connection.
func (e *engine) connectToSelf() {
	c, err := net.DialTimeout("tcp", e.cfg.Bind, dialTimeout)
	if err != nil {
		e.log.Error("failed to connect to the local HTTP address to obtain the event loop; retrying", "addr", e.cfg.Bind, "error", err)
		return
	}
	_ = c.Close() // no data was sent, so none can be lost
}
