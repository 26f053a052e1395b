// Package engine is the only package that uses sockets, clocks and timers. It drives
// a StateMachine on a single gnet event loop: every input becomes one step of the
// state machine, and the effects of the step become output.
//
// # Goroutines
//
// The event loop owns all state of the engine, including the state machine. Three
// other kinds of goroutines exist. They access only the fields that the comment on
// engine lists for them, and pass their results to the loop (runOnLoop):
//
//   - gnet's ticker, which ends with the loop;
//   - one goroutine per connection that is being dialled, which ends when gnet has
//     registered the connection, after dialTimeout, or when Run's context is cancelled;
//   - gnet's own workers, which register the dialled connections.
//
// # Sockets
//
// From OnOpen on, a socket is owned by its connection. It is closed by
// closeConnection or by the action that a gnet event handler returns. In both cases
// gnet calls OnClose, which is the only function that removes an open connection from
// the engine's state. A dialled socket that gnet did not register is closed by
// dialAndEnroll.
package engine

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"

	"lugward/internal/event"
)

// readBufferBytes is the maximum number of bytes that gnet reads from a socket at
// once. It equals gnet's default. It is set explicitly so that a gnet upgrade does
// not change memory use.
const readBufferBytes = 64 << 10

// StateMachine is driven by the engine, one input at a time. Its event.Time arguments
// are readings of the process's monotonic clock. Methods append their effects to out.
type StateMachine interface {
	// SetWallClock sets the wall clock time. It is called before each Tick.
	SetWallClock(now event.Time, wall time.Time)
	// Tick runs the work that is due at now.
	Tick(now event.Time, out *event.Effects)
	// HandleRequest handles an HTTP request, which requires exactly one reply.
	HandleRequest(now event.Time, r event.Request, out *event.Effects)
	// HandleCallResult handles the outcome of a call.
	HandleCallResult(now event.Time, r event.CallResult, out *event.Effects)
	// HandleFrame handles a frame from another controller.
	HandleFrame(now event.Time, f event.PeerFrame, out *event.Effects)
}

// Config holds the addresses and the connection limit of the engine.
type Config struct {
	Bind, PeerBind string   // listen addresses for HTTP and for peers
	Peers          []string // endpoints, indexed like the state machine's peers
	MaxConnections int      // limit on open sockets, incoming and outgoing
	MaxUnreadBytes int      // limit on the buffered input of all clients; zero means none
}

// engine owns the sockets. Only the event loop accesses it, with one exception: other
// goroutines may read ctx, cfg, log and loop.
type engine struct {
	gnet.BuiltinEventEngine
	ctx          context.Context // passed to Run
	cfg          Config
	stateMachine StateMachine
	log          *slog.Logger
	start        time.Time    // origin of event.Time
	loop         atomic.Value // loopRef

	steps    stepQueue
	timers   timers
	sockets  sockets
	outgoing outgoing
	peers    []*peerLink // by peer index
}

// timers holds the times at which periodic work last ran.
type timers struct {
	lastTick  event.Time
	lastSweep event.Time
}

// Run serves until the context is cancelled. It returns an error if listening fails.
func Run(ctx context.Context, cfg Config, stateMachine StateMachine, log *slog.Logger) error {
	e := &engine{
		ctx:          ctx,
		cfg:          cfg,
		stateMachine: stateMachine,
		log:          log,
		start:        time.Now(),
		sockets:      sockets{connections: map[uint64]*connection{}},
		outgoing:     outgoing{calls: map[uint64]*pendingCall{}, idleByAddr: map[string][]*connection{}},
	}
	for range cfg.Peers {
		e.peers = append(e.peers, &peerLink{dialedAt: -redialInterval})
	}
	return gnet.Rotate(e, []string{"tcp://" + cfg.Bind, "tcp://" + cfg.PeerBind},
		gnet.WithNumEventLoop(1),
		gnet.WithTicker(true),
		gnet.WithReuseAddr(true),
		gnet.WithReadBufferCap(readBufferBytes),
		gnet.WithLogLevel(logging.ErrorLevel),
		gnet.WithLogger(gnetLogger{log}))
}

// OnBoot arranges for gnet to stop when Run's context is cancelled.
func (e *engine) OnBoot(g gnet.Engine) gnet.Action {
	context.AfterFunc(e.ctx, func() {
		// Stop needs no timeout of its own, since Run waits for the loop to end anyway.
		if err := g.Stop(context.Background()); err != nil {
			e.log.Error("failed to stop the gnet event loop", "error", err)
		}
	})
	return gnet.None
}

// now returns the current time of the monotonic clock.
func (e *engine) now() event.Time { return time.Since(e.start) }
