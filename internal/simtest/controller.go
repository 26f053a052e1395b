package simtest

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"lugward/internal/config"
	"lugward/internal/controller"
	"lugward/internal/event"
)

// controllerProcess runs a controller, which may end and start again.
type controllerProcess struct {
	world       *World
	index       int
	name        string
	controller  *controller.Controller
	effects     event.Effects
	incarnation int // counts its starts
	up          bool
	startedAt   time.Duration
	connections
	pauseState
	watchBlocked bool // its watches of the state service get no answer, its other requests do
	denied       bool // the state service answers everybody but this one
}

// connections are what users and workers have asked of a controller.
type connections struct {
	pendingRequests  map[uint64]func(status int, body []byte)
	lastRequest      uint64
	connectedWorkers map[string]bool // by name
}

// pauseState is what a paused controller has yet to do.
type pauseState struct {
	paused             bool
	pauseAfterDecision time.Duration // pause for so long once the next decision is made, 0: don't
	deferredInputs     []func()      // what arrived meanwhile
	deferredEffects    func()        // what its last step decided and did not carry out
}

// addr is the endpoint that the other controllers have in their settings.
func (process *controllerProcess) addr() string {
	return fmt.Sprintf("10.0.0.%d:8080", process.index+1)
}

// boot starts a controller that knows nothing yet.
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
	process.pendingRequests = map[uint64]func(int, []byte){}
	process.connectedWorkers = map[string]bool{}
	process.controller = controller.New(&cfg, process.world.log.With("controller", process.name, "incarnation", process.incarnation), nil)
	process.effects.Reset()
	process.tick(process.incarnation)
}

// bootIfDown starts a controller that is down.
func (process *controllerProcess) bootIfDown() {
	if !process.up {
		process.boot()
	}
}

// kill ends a controller; who waits for it learns so.
func (process *controllerProcess) kill() {
	process.up, process.pauseState = false, pauseState{}
	pending := process.pendingRequests
	process.pendingRequests = nil
	for _, id := range slices.Sorted(maps.Keys(pending)) {
		pending[id](0, nil)
	}
}

// tick lets time pass for a controller as long as it has not ended.
func (process *controllerProcess) tick(incarnation int) {
	if !process.up || process.incarnation != incarnation {
		return
	}
	if !process.paused {
		process.step(func(now event.Time) {
			process.controller.SetWallClock(now, worldStartTime.Add(process.world.now))
			process.controller.Tick(now, &process.effects)
		})
	}
	process.world.schedule(tickInterval, func() { process.tick(incarnation) })
}

// pause lets a controller be paused while its clock runs on, from now or from when
// its next decision is made but not carried out yet. What arrives meanwhile waits,
// and comes in any order before anything that time brings.
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

// resume ends a pause: what was decided is carried out, then comes what arrived meanwhile.
func (process *controllerProcess) resume() {
	process.paused = false
	inputs := process.deferredInputs
	process.deferredInputs = nil
	process.world.random.Shuffle(len(inputs), func(a, b int) { inputs[a], inputs[b] = inputs[b], inputs[a] })
	if carryOut := process.deferredEffects; carryOut != nil {
		process.deferredEffects = nil
		carryOut()
	}
	for _, handle := range inputs {
		handle()
	}
}

// step gives one input to the controller and carries out the effects.
func (process *controllerProcess) step(input func(now event.Time)) {
	if process.paused {
		process.deferredInputs = append(process.deferredInputs, func() { process.step(input) })
		return
	}
	input(process.world.now - process.startedAt)
	replies, calls, frames := process.effects.Replies, process.effects.Calls, process.effects.Frames
	process.effects.Replies, process.effects.Calls, process.effects.Frames = nil, nil, nil
	if duration := process.pauseAfterDecision; duration > 0 && len(replies)+len(calls) > 0 {
		process.pauseAfterDecision = 0
		process.deferredEffects = func() { process.carryOut(replies, calls, frames) }
		process.pause(duration, false)
		return
	}
	process.carryOut(replies, calls, frames)
}

// commit carries out the effects of a step.
func (process *controllerProcess) carryOut(replies []event.Reply, calls []event.Call, frames []event.PeerFrame) {
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
		receiver := process.peer(frame.Peer)
		process.world.network.send(process.name, receiver.name, func() { receiver.handleFrame(frame.Data) })
	}
}

// handleFrame gives a frame of another controller to this one, if it is up.
func (process *controllerProcess) handleFrame(data []byte) {
	if !process.up {
		return
	}
	process.step(func(now event.Time) {
		process.controller.HandleFrame(now, event.PeerFrame{Peer: event.UnknownPeer, Data: data}, &process.effects)
	})
}

// peer returns the controller at a place in this one's list of seeds.
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
