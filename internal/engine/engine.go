// Package engine is the only place with sockets, clocks and timers. It runs
// the core on one gnet event loop: every input becomes a Step, every effect
// becomes output.
package engine

import (
	"container/list"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"

	"lugward/internal/event"
)

// Core is the state machine that the engine drives.
type Core interface {
	// Clock tells the time of day before each Tick.
	Clock(now event.Time, wall time.Time)
	Tick(now event.Time, out *event.Effects)
	Request(now event.Time, r event.Request, out *event.Effects)
	CallDone(now event.Time, d event.CallDone, out *event.Effects)
	Frame(now event.Time, f event.PeerFrame, out *event.Effects)
}

// Config says where to listen and what to bound.
type Config struct {
	Bind, PeerBind string
	Peers          []string // endpoints, in the order of the core's peer indices
	MaxConnections int
}

type engine struct {
	gnet.BuiltinEventEngine
	cfg   Config
	core  Core
	log   *slog.Logger
	start time.Time
	loop  atomic.Value // gnet.EventLoop, set once by the loop itself

	out      event.Effects
	lastConn uint64
	conns    map[uint64]*conn
	incoming int
	workers  int // connections of workers
	// Incoming connections between two requests, least recently used first.
	resting [parties]list.List
	spare   list.List // outgoing connections without a call, least recently used first
	idle    map[string][]*conn
	peers   []*peerLink
	pending []pendingInput // raised while a step is being carried out
	inStep  bool
	expiry  map[uint64]event.Time // call ID -> deadline
	calls   map[uint64]*conn
	swept   event.Time
	ticked  event.Time
	failed  error
}

type pendingInput func()

// Run serves until the process is killed or listening fails.
func Run(cfg Config, core Core, log *slog.Logger) error {
	e := &engine{cfg: cfg, core: core, log: log, start: time.Now(), conns: map[uint64]*conn{}, idle: map[string][]*conn{},
		expiry: map[uint64]event.Time{}, calls: map[uint64]*conn{}}
	for range cfg.Peers {
		e.peers = append(e.peers, &peerLink{dialed: -redialEvery})
	}
	err := gnet.Rotate(e, []string{"tcp://" + cfg.Bind, "tcp://" + cfg.PeerBind},
		gnet.WithNumEventLoop(1), gnet.WithTicker(true), gnet.WithReuseAddr(true),
		gnet.WithReadBufferCap(64<<10), gnet.WithLogLevel(logging.ErrorLevel), gnet.WithLogger(quiet{}))
	return errors.Join(err, e.failed)
}

func (e *engine) now() event.Time { return time.Since(e.start) }

// step runs one input through the core, then carries out the effects; inputs
// raised meanwhile follow in order.
func (e *engine) step(f func()) {
	if e.inStep {
		e.pending = append(e.pending, f)
		return
	}
	e.inStep = true
	f()
	e.perform()
	for len(e.pending) > 0 {
		next := e.pending[0]
		e.pending = e.pending[1:]
		next()
		e.perform()
	}
	e.inStep = false
}

func (e *engine) perform() {
	replies, calls, frames := e.out.Replies, e.out.Calls, e.out.Frames
	for _, r := range replies {
		e.reply(r)
	}
	for _, c := range calls {
		e.startCall(c)
	}
	for _, f := range frames {
		e.sendFrame(f)
	}
	e.out.Reset()
}
