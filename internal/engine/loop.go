package engine

import (
	"context"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// loopRetryInterval is the time between two attempts to reach gnet's loop. An attempt
// takes up to dialTimeout besides.
const loopRetryInterval = 200 * time.Millisecond

// loopRef wraps the event loop, since atomic.Value needs one concrete type.
// The loop stores it once, with the first connection; any goroutine may read it.
type loopRef struct{ gnet.EventLoop }

func (e *engine) eventLoop() gnet.EventLoop { return e.loop.Load().(loopRef) }

// onLoop runs a function on the event loop, unless that is ending.
func (e *engine) onLoop(f func()) {
	if e.ctx.Err() != nil {
		return
	}
	// Execute fails only when the loop is ending, and what it was to do with it.
	_ = e.eventLoop().Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		f()
		return nil
	}))
}

// connectToSelf makes the first connection: gnet makes its loop known only through
// one.
func (e *engine) connectToSelf() {
	c, err := net.DialTimeout("tcp", e.cfg.Bind, dialTimeout)
	if err != nil {
		e.log.Error("cannot connect to our own address", "addr", e.cfg.Bind, "error", err)
		return
	}
	_ = c.Close() // nothing has been sent on it that could get lost
}
