package simtest

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"lugward/internal/config"
	"lugward/internal/controller"
	"lugward/internal/event"
	"lugward/internal/peer"
)

// controllerProcess simulates the process of a controller. It can be killed, restarted and
// paused.
type controllerProcess struct {
	world       *World
	index       int
	name        string
	controller  *controller.Controller
	effects     event.Effects
	incarnation int // number of starts so far
	up          bool
	startedAt   time.Duration
	clockError  time.Duration // difference of this incarnation's time of day from true time
	connections
	pauseState
	forwardsResponse bool // the current step forwards the leader's response to a relayed heartbeat
	watchBlocked     bool // watch requests to the state service get no response; other requests do
	denied           bool // the state service rejects the requests of this controller only
}

// connections holds the open requests and worker connections of a controller.
type connections struct {
	pendingRequests  map[uint64]func(status int, body []byte)
	lastRequest      uint64
	connectedWorkers map[string]bool // by name
}

// pauseState holds the deferred work of a paused controller.
type pauseState struct {
	paused             bool
	pauseAfterDecision time.Duration // pause for this duration after the next step with replies or calls; zero means no pause
	deferredInputs     []func()      // inputs that arrived during the pause
	deferredEffects    func()        // applies the effects of the last step before the pause
}

// addr returns the endpoint of the controller in the settings of its peers.
func (process *controllerProcess) addr() string {
	return fmt.Sprintf("10.0.0.%d:8080", process.index+1)
}

// boot starts the controller with empty state. As in a real process, the IDs of connections
// and calls begin anew, and the time of day may have changed within the clock skew.
func (process *controllerProcess) boot() {
	cfg := *process.world.config
	cfg.Label, cfg.Seeds = process.name, nil
	for _, other := range process.world.controllers {
		if other != process {
			cfg.Seeds = append(cfg.Seeds, config.Seed{Label: other.name, Endpoint: other.addr()})
		}
	}
	process.incarnation++
	process.up, process.startedAt = true, process.world.now
	process.clockError = process.world.drawClockError()
	process.pendingRequests, process.lastRequest = map[uint64]func(int, []byte){}, 0
	process.connectedWorkers = map[string]bool{}
	process.controller = controller.New(&cfg, process.world.log.With("controller", process.name, "incarnation", process.incarnation), process.roundClock())
	process.effects = event.Effects{}
	process.tick(process.incarnation)
}

// roundClockStep is the time that passes with each reading of a round's clock.
const roundClockStep = time.Millisecond

// roundClock returns the clock that limits scheduling rounds. It advances with each reading, so
// that rounds end after a few jobs and steps within jobs. It returns nil if rounds are not limited.
func (process *controllerProcess) roundClock() func() time.Duration {
	if !process.world.limitRounds {
		return nil
	}
	var now time.Duration
	return func() time.Duration {
		now += roundClockStep
		return now
	}
}

// bootIfDown starts the controller unless it is up.
func (process *controllerProcess) bootIfDown() {
	if !process.up {
		process.boot()
	}
}

// kill ends the process. Its pending requests fail with status 0, in the order of their IDs.
func (process *controllerProcess) kill() {
	process.up, process.pauseState = false, pauseState{}
	pending := process.pendingRequests
	process.pendingRequests = nil
	for _, id := range slices.Sorted(maps.Keys(pending)) {
		pending[id](0, nil)
	}
}

// tick calls the controller's Tick periodically until this incarnation of the process ends.
func (process *controllerProcess) tick(incarnation int) {
	if !process.up || process.incarnation != incarnation {
		return
	}
	if !process.paused {
		process.step(func(now event.Time) {
			process.controller.SetWallClock(now, worldStartTime.Add(process.world.now+process.clockError))
			process.controller.Tick(now, &process.effects)
		})
	}
	process.world.schedule(tickInterval, func() { process.tick(incarnation) })
}

// pause pauses the controller for a duration while its clock keeps running. With
// afterDecision, the pause begins after the next step that has replies or calls, before they
// are sent; otherwise it begins now. Inputs that arrive during the pause are deferred. They are
// handled in random order when the pause ends, before the next tick.
func (process *controllerProcess) pause(duration time.Duration, afterDecision bool) {
	if afterDecision {
		process.pauseAfterDecision = duration
		return
	}
	process.paused = true
	incarnation := process.incarnation
	process.world.schedule(duration, func() {
		if process.incarnation != incarnation || !process.paused {
			return
		}
		process.resume()
	})
}

// resume ends a pause. It applies the deferred effects, then handles the deferred inputs in
// random order.
func (process *controllerProcess) resume() {
	process.paused = false
	inputs := process.deferredInputs
	process.deferredInputs = nil
	process.world.random.Shuffle(len(inputs), func(a, b int) { inputs[a], inputs[b] = inputs[b], inputs[a] })
	if apply := process.deferredEffects; apply != nil {
		process.deferredEffects = nil
		apply()
	}
	for _, handle := range inputs {
		handle()
	}
}

// step passes one input to the controller and applies the resulting effects. While the
// controller is paused, the input is deferred.
func (process *controllerProcess) step(input func(now event.Time)) {
	if process.paused {
		process.deferredInputs = append(process.deferredInputs, func() { process.step(input) })
		return
	}
	input(process.world.now - process.startedAt)
	replies, calls, frames := process.effects.Replies, process.effects.Calls, process.effects.Frames
	process.effects.Replies, process.effects.Calls, process.effects.Frames = nil, nil, nil
	if process.forwardsResponse {
		process.forwardsResponse = false // decided by the leader, whose step was checked
	} else {
		process.world.checker.checkGivenStarts(process.name, replies, frames)
	}
	if duration := process.pauseAfterDecision; duration > 0 && len(replies)+len(calls) > 0 {
		process.pauseAfterDecision = 0
		process.deferredEffects = func() { process.applyEffects(replies, calls, frames) }
		process.pause(duration, false)
		return
	}
	process.applyEffects(replies, calls, frames)
}

// applyEffects sends the replies, calls and frames of a step.
func (process *controllerProcess) applyEffects(replies []event.Reply, calls []event.Call, frames []event.PeerFrame) {
	process.observeEffects(replies, calls, frames)
	incarnation := process.incarnation
	for _, reply := range replies {
		if answer := process.pendingRequests[reply.Conn]; answer != nil {
			delete(process.pendingRequests, reply.Conn)
			answer(reply.Status, reply.Body)
		}
	}
	for _, call := range calls {
		process.sendCall(call, incarnation)
	}
	for _, frame := range frames {
		process.world.checker.checkRelayID(process.name, frame.Data)
		process.world.network.sendFrame(process, process.peer(frame.Peer), frame.Data)
	}
}

// handleFrame passes a frame from another controller to this one if it is up.
func (process *controllerProcess) handleFrame(data []byte) {
	if !process.up {
		return
	}
	frame, err := peer.Decode(data)
	process.step(func(now event.Time) {
		process.forwardsResponse = err == nil && frame.Kind == peer.RelayAck
		process.controller.HandleFrame(now, event.PeerFrame{Peer: event.UnknownPeer, Data: data}, &process.effects)
	})
}

// peer returns the controller at an index of this controller's list of seeds.
func (process *controllerProcess) peer(seed int) *controllerProcess {
	others := 0
	for _, other := range process.world.controllers {
		if other == process {
			continue
		}
		if others == seed {
			return other
		}
		others++
	}
	return nil
}
