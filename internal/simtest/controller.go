package simtest

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"lugward/internal/config"
	"lugward/internal/controller"
	"lugward/internal/event"
)

// controllerProcess is a controller.
type controllerProcess struct {
	world           *World
	index           int
	name            string
	controller      *controller.Controller
	effects         event.Effects
	incarnation     int // incarnation
	up              bool
	startedAt       time.Duration
	pendingRequests map[uint64]func(status int, body []byte)

	connectedWorkers map[string]bool // workers with a connection, by name
	lastRequest      uint64

	watchBlocked       bool // its questions about changes get no answer, its other requests do
	denied             bool // the state service answers everybody but this one
	paused             bool
	pauseAfterDecision time.Duration
	deferredInputs     []func() // inputs that wait while it is paused
	deferredEffects    func()   // what its last step decided and did not carry out
}

func (process *controllerProcess) addr() string {
	return fmt.Sprintf("10.0.0.%d:8080", process.index+1)
}

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
	process.controller = controller.New(&cfg, process.world.log.With("node", process.name, "life", process.incarnation), nil)
	process.effects.Reset()
	process.tick(process.incarnation)
}

func (process *controllerProcess) kill() {
	process.up, process.paused, process.deferredInputs, process.deferredEffects, process.pauseAfterDecision = false, false, nil, nil, 0
	conns := process.pendingRequests
	process.pendingRequests = nil
	var ids []uint64
	for id := range conns {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(a, b int) bool { return ids[a] < ids[b] })
	for _, id := range ids {
		conns[id](0, nil)
	}
}

func (process *controllerProcess) tick(life int) {
	if !process.up || process.incarnation != life {
		return
	}
	if !process.paused {
		process.step(func(now event.Time) {
			process.controller.SetWallClock(now, worldStartTime.Add(process.world.now))
			process.controller.Tick(now, &process.effects)
		})
	}
	process.world.schedule(tickInterval, func() { process.tick(life) })
}

// pause lets a controller be paused while its clock runs on, from now or,
// within a step, from when its next decision is made but not carried out yet.
// What arrives meanwhile waits, and comes in any order before anything that
// time brings.
func (process *controllerProcess) pause(duration time.Duration, within bool) {
	if within {
		process.pauseAfterDecision = duration
		return
	}
	process.paused = true
	life := process.incarnation
	process.world.schedule(duration, func() {
		if process.incarnation != life || !process.paused {
			return
		}
		process.paused = false
		list := process.deferredInputs
		process.deferredInputs = nil
		process.world.random.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
		if action := process.deferredEffects; action != nil {
			process.deferredEffects = nil
			action()
		}
		for _, action := range list {
			action()
		}
	})
}

// step gives one input to the core and carries out the effects.
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

// carryOut carries out the effects of a step.
func (process *controllerProcess) carryOut(replies []event.Reply, calls []event.Call, frames []event.PeerFrame) {
	process.observeEffects(replies, calls, frames)
	life := process.incarnation
	for _, reply := range replies {
		if answer := process.pendingRequests[reply.Conn]; answer != nil {
			delete(process.pendingRequests, reply.Conn)
			answer(reply.Status, reply.Body)
		}
	}
	for _, call := range calls {
		process.sendCall(call, life)
	}
	for _, frame := range frames {
		other := process.peer(frame.Peer)
		data := frame.Data
		process.world.send(process.name, other.name, func() {
			if other.up {
				other.step(func(now event.Time) {
					other.controller.HandleFrame(now, event.PeerFrame{Peer: event.UnknownPeer, Data: data}, &other.effects)
				})
			}
		})
	}
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

func (process *controllerProcess) sendCall(call event.Call, life int) {
	answered := false
	finish := func(status int, body []byte) {
		if answered || !process.up || process.incarnation != life {
			return
		}
		answered = true
		process.world.observe(Message{From: call.Addr, To: process.name, Path: call.Path, Status: status, Body: body})
		process.step(func(now event.Time) {
			process.controller.HandleCallResult(now, event.CallResult{ID: call.ID, Status: status, Body: body}, &process.effects)
		})
	}
	process.world.schedule(call.Timeout, func() { finish(0, nil) })
	receiver := ""
	var serve func(answer func(int, any))
	switch call.Addr {
	case stateAddr:
		receiver = "state"
		serve = func(respond func(int, any)) {
			if process.denied {
				respond(503, unavailable)
				return
			}
			process.world.stateService.serve(call.Method, call.Path, call.Body, func(status int, response any) {
				if !process.denied { // else an open watch waits on
					respond(status, response)
				}
			})
		}
	case cloudAddr:
		receiver = "cloud"
		serve = func(respond func(int, any)) { process.world.cloud.serve(call.Method, call.Path, call.Body, respond) }
	default:
		worker := process.world.workers[call.Addr]
		if worker == nil {
			return
		}
		receiver = worker.name
		serve = func(respond func(int, any)) { worker.serve(call.Path, call.Body, respond) }
	}
	if receiver == "state" && (process.delayTransaction(call) || process.watchBlocked && strings.HasPrefix(call.Path, "/follow")) {
		return
	}
	there, back := process.world.commandDelays(receiver)
	process.world.sendDelayed(there, process.name, receiver, func() {
		serve(func(status int, response any) {
			body, _ := json.Marshal(response)
			process.world.sendDelayed(back, receiver, process.name, func() { finish(status, body) })
		})
		// A repeat of what was carried out, as the network may make it.
		if call.Method == "POST" && process.world.random.Float64() < process.world.lateRepeatShare {
			process.world.schedule(time.Duration(process.world.random.Int64N(int64(20*time.Second))), func() { serve(func(int, any) {}) })
		}
	})
}

// delayTransaction lets a transaction go unanswered and be executed late, judged by its
// conditions then. In an outage it waits in the service for its end.
func (process *controllerProcess) delayTransaction(call event.Call) bool {
	world := process.world
	if call.Path != "/commit" || process.denied || world.stateService.down || world.cutLinks[[2]string{process.name, "state"}] || !world.chance(world.lateWrites) {
		return false
	}
	var action func()
	action = func() {
		if world.stateService.down {
			world.schedule(100*time.Millisecond, action)
			return
		}
		world.stateService.expireLeases()
		world.stateService.commit(call.Body)
	}
	world.schedule(world.randomDuration(minDelay, maxDelay), action)
	return true
}

func (world *World) denyFor(process *controllerProcess, duration time.Duration) {
	process.denied = true
	world.schedule(duration, func() { process.denied = false })
}

// churn changes the leader so many times within that time, in all the ways
// that a leader can go.
func (world *World) churn(times int, over time.Duration, how string) {
	each := over / time.Duration(times)
	for i := range times {
		world.schedule(time.Duration(i)*each, func() {
			process := world.leader()
			if process == nil || !process.up {
				return
			}
			way := how
			if way == "" {
				way = []string{"kill", "kill", "deny", "isolate", "pause"}[world.random.IntN(5)]
			}
			long := each * 3 / 4
			switch way {
			case "kill":
				process.kill()
				world.schedule(world.randomDuration(50*time.Millisecond, long/2), func() {
					if !process.up {
						process.boot()
					}
				})
			case "deny":
				world.denyFor(process, long)
			case "isolate":
				world.isolateFor(process, long)
			case "pause":
				if !process.paused {
					process.pause(long, world.random.IntN(2) == 0)
				}
			}
		})
	}
}
