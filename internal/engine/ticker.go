package engine

import (
	"runtime"
	"time"

	"github.com/panjf2000/gnet/v2"

	"lugward/internal/event"
)

const (
	// tickInterval is the longest time between two ticks while the loop keeps up:
	// what is due is done that late at most.
	tickInterval = 50 * time.Millisecond
	// minTickInterval is the least time from any tick to one of the ticker: one that
	// follows on a tick between inputs is left out.
	minTickInterval = tickInterval / 2
	// sweepInterval is the time between two searches for connections to close.
	sweepInterval = time.Second
)

// OnTick runs on gnet's ticker goroutine: it only hands the work to the loop.
func (e *engine) OnTick() (time.Duration, gnet.Action) {
	if e.loop.Load() == nil {
		e.connectToSelf()
		return loopRetryInterval, gnet.None
	}
	e.onLoop(func() { e.tick(minTickInterval) })
	return tickInterval, gnet.None
}

// tick lets time pass, unless the last tick is less than minInterval ago. It
// is called by the ticker and between inputs: while inputs keep the loop busy
// the ticker's goroutine does not run, and a leader that answers heartbeats all
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
	e.stateMachine.SetWallClock(now, time.Now())
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
