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
	tickEvery = 50 * time.Millisecond
)

// loopBox gives the stored loop one concrete type.
type loopBox struct{ gnet.EventLoop }

func (e *engine) eventLoop() gnet.EventLoop { return e.loop.Load().(loopBox) }

// OnTick runs on gnet's ticker goroutine: it only hands the work to the loop.
func (e *engine) OnTick() (time.Duration, gnet.Action) {
	if e.loop.Load() == nil {
		// gnet tells its loop only through a connection, so the first tick
		// opens one to ourselves.
		if c, err := net.DialTimeout("tcp", e.cfg.Bind, dialTimeout); err != nil {
			e.log.Error("no event loop", "err", err)
		} else {
			_ = c.Close()
		}
		return 4 * tickEvery, gnet.None
	}
	_ = e.eventLoop().Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		e.tick(tickEvery / 2)
		return nil
	}))
	return tickEvery, gnet.None
}

// tick lets time pass, unless it did so within the given time. It is called by
// the ticker, and between two inputs: while inputs keep the loop busy, neither
// the ticker's goroutine nor a dial's comes to run, and a leader that answers
// reports all the time would lose its term, as its renewals are due by time.
func (e *engine) tick(least time.Duration) {
	now := e.now()
	if now-e.ticked < least {
		return
	}
	if e.ticked > 0 && now-e.ticked > tickEvery {
		runtime.Gosched()
	}
	e.ticked = now
	for id, at := range e.expiry {
		if now >= at {
			e.finishCall(id, 0, nil)
		}
	}
	for i, p := range e.peers {
		if p.conn == nil && !p.busy && now-p.dialed >= redialEvery {
			p.busy, p.dialed = true, now
			e.dial(&conn{kind: kindPeerOut, addr: e.cfg.Peers[i], peer: i})
		}
	}
	if now-e.swept >= time.Second {
		e.swept = now
		e.sweep(now)
	}
	e.core.Clock(now, time.Now())
	e.step(func() { e.core.Tick(now, &e.out) })
}

// sweep closes connections that idle, stall or read too slowly.
func (e *engine) sweep(now event.Time) {
	for _, c := range e.conns {
		quiet := now - c.since
		switch c.kind {
		case kindHTTP, kindPeerIn:
			if (c.half && quiet > halfRequest) || (!c.busy && quiet > idleIn) {
				e.drop(c)
				continue
			}
		case kindCall:
			if !c.busy && quiet > idleOut {
				e.drop(c)
				continue
			}
		}
		if c.g.OutboundBuffered() > maxUnsent {
			e.drop(c)
		}
	}
}
