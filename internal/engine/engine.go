// Package engine is the only place with sockets, clocks and timers. It runs
// the core on one gnet event loop: every input becomes a step of the core,
// every effect of the step becomes output.
package engine

import (
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"

	"lugward/internal/event"
)

// readBufferBytes is how much gnet reads from a socket at once.
const readBufferBytes = 64 << 10

// Core is the state machine that the engine drives, one input at a time.
type Core interface {
	// SetWallClock sets the time of day before each Tick.
	SetWallClock(now event.Time, wall time.Time)
	// Tick does what is due.
	Tick(now event.Time, out *event.Effects)
	// HandleRequest takes an HTTP request, which needs exactly one reply.
	HandleRequest(now event.Time, r event.Request, out *event.Effects)
	// HandleCallResult takes the outcome of a call.
	HandleCallResult(now event.Time, d event.CallResult, out *event.Effects)
	// HandleFrame takes a frame of another controller.
	HandleFrame(now event.Time, f event.PeerFrame, out *event.Effects)
}

// Config says where to listen and how many connections to have.
type Config struct {
	Bind, PeerBind string   // addresses to listen on, for HTTP and for peers
	Peers          []string // endpoints, in the order of the core's peer indices
	MaxConnections int      // open sockets, incoming and outgoing
}

// engine owns the sockets. Only the event loop uses it; other goroutines read
// cfg, log and loop alone, and hand their results to the loop (onLoop).
type engine struct {
	gnet.BuiltinEventEngine
	cfg   Config
	core  Core
	log   *slog.Logger
	start time.Time    // of the monotonic clock
	loop  atomic.Value // loopRef

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

// Run serves until the process is killed or listening fails.
func Run(cfg Config, core Core, log *slog.Logger) error {
	e := &engine{
		cfg:      cfg,
		core:     core,
		log:      log,
		start:    time.Now(),
		sockets:  sockets{connections: map[uint64]*connection{}},
		outgoing: outgoing{calls: map[uint64]*pendingCall{}, spareByAddr: map[string][]*connection{}},
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
		gnet.WithLogger(gnetLog{}))
}

// now returns the time of the monotonic clock.
func (e *engine) now() event.Time { return time.Since(e.start) }
