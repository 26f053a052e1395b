package engine

import (
	"runtime"
	"time"

	"github.com/panjf2000/gnet/v2"

	"lugward/internal/event"
)

const (
	// tickInterval is the maximum time between two ticks unless the loop is overloaded,
	// and so the maximum delay of work that is due.
	tickInterval = 50 * time.Millisecond
	// minTickInterval is the time after a tick during which the ticker does not tick
	// again. It skips its tick if inputs have caused one less than this time ago.
	minTickInterval = tickInterval / 2
	// sweepInterval is the time between two scans for connections to close.
	sweepInterval = time.Second
)

// OnTick runs on gnet's ticker goroutine. It only passes the work to the event loop.
func (e *engine) OnTick() (time.Duration, gnet.Action) {
	if e.loop.Load() == nil {
		e.connectToSelf()
		return loopRetryInterval, gnet.None
	}
	e.runOnLoop(func() { e.tick(minTickInterval) })
	return tickInterval, gnet.None
}

// tick runs the periodic work of the engine and of the state machine, unless the last
// tick was less than minInterval ago. It is called by the ticker and also between
// inputs, because the ticker's goroutine does not run while inputs keep the loop busy.
// Without the ticks between inputs, a leader that is busy with heartbeats would not
// renew its lease in time and would lose its term.
func (e *engine) tick(minInterval time.Duration) {
	now := e.now()
	if now-e.timers.lastTick < minInterval {
		return
	}
	if e.timers.lastTick > 0 && now-e.timers.lastTick > tickInterval {
		runtime.Gosched() // gives the dialling goroutines a chance to run
	}
	e.timers.lastTick = now
	e.expireCalls(now)
	e.dialPeers(now)
	if now-e.timers.lastSweep >= sweepInterval {
		e.timers.lastSweep = now
		e.sweep(now)
	}
	e.stateMachine.SetWallClock(now, time.Now())
	e.step(tickInput{now})
}

// sweep closes connections that have been idle for too long, that stalled within a
// request or frame, or whose other side reads too slowly.
func (e *engine) sweep(now event.Time) {
	for _, c := range e.sockets.connections {
		if c.timedOut(now) || c.exceedsUnsentLimit() {
			e.closeConnection(c)
		}
	}
}
