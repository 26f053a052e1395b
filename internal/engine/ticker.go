package engine

import (
	"context"
	"net"
	"runtime"
	"time"

	"github.com/panjf2000/gnet/v2"

	"lugward/internal/event"
)

const (
	tickInterval  = 50 * time.Millisecond
	sweepInterval = time.Second
	// firstTickRetry is the time between two attempts to reach gnet's loop.
	firstTickRetry = 4 * tickInterval
)

// loopRef wraps the event loop, since atomic.Value needs one concrete type.
// The loop stores it once, with the first connection; any goroutine may read it.
type loopRef struct{ gnet.EventLoop }

func (e *engine) eventLoop() gnet.EventLoop { return e.loop.Load().(loopRef) }

// onLoop runs a function on the event loop.
func (e *engine) onLoop(f func()) {
	_ = e.eventLoop().Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		f()
		return nil
	}))
}

// OnTick runs on gnet's ticker goroutine: it only hands the work to the loop.
func (e *engine) OnTick() (time.Duration, gnet.Action) {
	if e.loop.Load() == nil {
		e.openFirstConnection()
		return firstTickRetry, gnet.None
	}
	e.onLoop(func() { e.tick(tickInterval / 2) })
	return tickInterval, gnet.None
}

// openFirstConnection connects to ourselves: gnet makes its loop known only
// through a connection.
func (e *engine) openFirstConnection() {
	c, err := net.DialTimeout("tcp", e.cfg.Bind, dialTimeout)
	if err != nil {
		e.log.Error("no event loop", "err", err)
		return
	}
	_ = c.Close()
}

// tick lets time pass, unless the last tick is less than minInterval ago. It
// is called by the ticker and between inputs: while inputs keep the loop busy
// the ticker's goroutine does not run, and a leader that answers reports all
// the time would lose its term, as its renewals are due by time.
func (e *engine) tick(minInterval time.Duration) {
	now := e.now()
	if now-e.timers.tickedAt < minInterval {
		return
	}
	if e.timers.tickedAt > 0 && now-e.timers.tickedAt > tickInterval {
		runtime.Gosched() // lets goroutines that dial run as well
	}
	e.timers.tickedAt = now
	e.expireCalls(now)
	e.dialPeers(now)
	if now-e.timers.sweptAt >= sweepInterval {
		e.timers.sweptAt = now
		e.sweep(now)
	}
	e.core.SetWallClock(now, time.Now())
	e.step(tickInput{now})
}

// sweep closes connections that are idle, stalled within a request, or read
// our output too slowly.
func (e *engine) sweep(now event.Time) {
	for _, c := range e.sockets.connections {
		if c.timedOut(now) || c.readerIsBehind() {
			e.drop(c)
		}
	}
}
