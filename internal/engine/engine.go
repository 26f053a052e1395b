// Package engine is the only place with sockets, clocks and timers. It drives a
// StateMachine on one gnet event loop: every input becomes a step of the state
// machine, and every effect of the step becomes output.
//
// # Goroutines
//
// The event loop owns all state of the engine, the state machine included. Three
// kinds of other goroutines exist. They touch nothing but the fields of engine that
// are marked for them, and hand their results to the loop (onLoop):
//
//   - gnet's ticker, which ends with the loop;
//   - one goroutine for each connection that is being dialled, which ends when gnet
//     has taken the connection, after dialTimeout, or with Run's context;
//   - gnet's own workers, which register the dialled connections.
//
// # Sockets
//
// A socket belongs to its connection from OnOpen on. It is closed by drop, or by the
// action that a handler of gnet's events returns; OnClose follows in either case and
// is the one place that forgets the connection. A dialled socket that gnet has not
// taken is closed where it was dialled.
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

// readBufferBytes is how much gnet reads from a socket at once: gnet's own default,
// set here so that another version of gnet does not change the memory in use.
const readBufferBytes = 64 << 10

// StateMachine is what the engine drives, one input at a time. Points in time are of
// the process's monotonic clock; effects are added to out.
type StateMachine interface {
	// SetWallClock sets the time of day before each Tick.
	SetWallClock(now event.Time, wall time.Time)
	// Tick does what is due.
	Tick(now event.Time, out *event.Effects)
	// HandleRequest takes an HTTP request, which needs exactly one reply.
	HandleRequest(now event.Time, r event.Request, out *event.Effects)
	// HandleCallResult takes the outcome of a call.
	HandleCallResult(now event.Time, r event.CallResult, out *event.Effects)
	// HandleFrame takes a frame of another controller.
	HandleFrame(now event.Time, f event.PeerFrame, out *event.Effects)
}

// Config says where to listen and how many connections to have.
type Config struct {
	Bind, PeerBind string   // addresses to listen on, for HTTP and for peers
	Peers          []string // endpoints, in the order of the state machine's peer indices
	MaxConnections int      // open sockets, incoming and outgoing
}

// engine owns the sockets. Only the event loop uses it; other goroutines read ctx,
// cfg, log and loop alone.
type engine struct {
	gnet.BuiltinEventEngine
	ctx          context.Context // of Run
	cfg          Config
	stateMachine StateMachine
	log          *slog.Logger
	start        time.Time    // of the monotonic clock
	loop         atomic.Value // loopRef

	steps    stepQueue
	timers   timers
	sockets  sockets
	outgoing outgoing
	peers    []*peerLink // by peer index
}

// timers holds when periodic work was last done.
type timers struct {
	tickedAt event.Time
	sweptAt  event.Time
}

// Run serves until the context is cancelled, or listening fails. Its error is that
// of the listener.
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

// OnBoot lets the end of Run's context stop gnet.
func (e *engine) OnBoot(g gnet.Engine) gnet.Action {
	context.AfterFunc(e.ctx, func() {
		// The context of Stop bounds how long it waits; Run waits anyhow.
		if err := g.Stop(context.Background()); err != nil {
			e.log.Error("the event loop does not stop", "error", err)
		}
	})
	return gnet.None
}

// now returns the time of the monotonic clock.
func (e *engine) now() event.Time { return time.Since(e.start) }
