package simtest

import (
	"time"

	"lugward/internal/event"
)

// heldPacket is a packet that a cut link holds back.
type heldPacket struct {
	link    [2]string
	deliver func()
}

// send delivers a packet after the network's delay. A cut holds it back; lost
// packets of a stream are resent, so a loss only ends the exchange.
func (world *World) send(from, receiver string, action func()) {
	path := [2]string{from, receiver}
	if world.droppedLinks[path] {
		return
	}
	if world.cutLinks[path] {
		world.heldPackets = append(world.heldPackets, heldPacket{path, action})
		return
	}
	if world.random.Float64() < world.lossShare {
		return
	}
	world.schedule(time.Millisecond+time.Duration(world.random.Int64N(int64(4*time.Millisecond))), action)
}

// sendDelayed sends a packet after a delay.
func (world *World) sendDelayed(duration time.Duration, from, receiver string, action func()) {
	if duration == 0 {
		world.send(from, receiver, action)
		return
	}
	world.schedule(duration, func() { world.send(from, receiver, action) })
}

// commandDelays draws the delays of a call and of its answer.
func (world *World) commandDelays(receiver string) (there, back time.Duration) {
	if receiver == "state" && world.slowStateService > 0 {
		return 0, world.randomDuration(0, world.slowStateService)
	}
	if receiver == "state" || receiver == "cloud" || !world.chance(world.delayedCommands) {
		return 0, 0
	}
	if world.random.IntN(2) == 0 {
		return world.randomDuration(time.Second, maxDelay), 0
	}
	return 0, world.randomDuration(time.Second, maxDelay)
}

// heartbeatDelays draws where a report arrives, and the delays of the report and of
// its answer: the worker may have given it up by then.
func (world *World) heartbeatDelays(process *controllerProcess, path string) (other *controllerProcess, there, back time.Duration) {
	if path != "/hello" || !world.chance(world.delayedHeartbeats) {
		return process, 0, 0
	}
	switch world.random.IntN(4) {
	case 0:
		return process, 0, world.randomDuration(time.Second, maxDelay/2)
	case 1:
		return process, world.randomDuration(500*time.Millisecond, heartbeatTimeout), 0
	case 2:
		return process, world.randomDuration(minDelay, maxDelay), 0
	}
	lease := seconds(world.config.Settings.Workers.LeaseS)
	return world.controllers[world.random.IntN(len(world.controllers))], world.randomDuration(minDelay, 2*lease), 0
}

// setLinkCut stops packets between two machines in both directions.
func (world *World) setLinkCut(a, b string, enabled bool) {
	world.markLinkCut(a, b, enabled)
	if !enabled {
		world.releaseHeldPackets()
	}
}

func (world *World) markLinkCut(a, b string, enabled bool) {
	for _, link := range [][2]string{{a, b}, {b, a}} {
		world.cutLinks[link] = enabled
	}
}

// releaseHeldPackets delivers the packets that were held back on links that are cut no more.
func (world *World) releaseHeldPackets() {
	held := world.heldPackets
	world.heldPackets = nil
	for _, packet := range held {
		world.send(packet.link[0], packet.link[1], packet.deliver)
	}
}

// setIsolated cuts a controller off from the state service and the other
// controllers, but not from its workers.
func (world *World) setIsolated(process *controllerProcess, enabled bool) {
	world.setLinkCut(process.name, "state", enabled)
	for _, other := range world.controllers {
		if other != process {
			world.setLinkCut(process.name, other.name, enabled)
		}
	}
}

// blockInbound lets a machine be heard while nothing reaches it, or ends that.
func (world *World) blockInbound(worker *fakeWorker, enabled bool) {
	for _, process := range world.controllers {
		world.droppedLinks[[2]string{process.name, worker.name}] = enabled
	}
}

// isUnreachable tells whether some controller and the machine can't talk.
func (world *World) isUnreachable(worker *fakeWorker) bool {
	for _, process := range world.controllers {
		for _, link := range [][2]string{{process.name, worker.name}, {worker.name, process.name}} {
			if world.cutLinks[link] || world.droppedLinks[link] {
				return true
			}
		}
	}
	return false
}

// request sends an HTTP request to a controller; answer is called once, with
// status 0 for no response.
func (world *World) request(from string, process *controllerProcess, method, path string, body []byte, timeout time.Duration, answer func(status int, body []byte)) {
	answered := false
	once := func(status int, body []byte) {
		if !answered {
			answered = true
			answer(status, body)
		}
	}
	world.schedule(timeout, func() { once(0, nil) })
	if world.cutLinks[[2]string{from, process.name}] && world.chance(world.refusedWhenCut) {
		world.schedule(time.Millisecond, func() { once(0, nil) })
		return
	}
	deliver := func(other *controllerProcess, answer func(status int, body []byte)) {
		if !other.up {
			answer(0, nil)
			return
		}
		other.lastRequest++
		id := other.lastRequest
		other.pendingRequests[id] = answer
		world.observe(Message{From: from, To: other.name, Method: method, Path: path, Body: body})
		other.step(func(now event.Time) {
			crowded := path == "/hello" && other.connectWorker(from, id)
			other.controller.HandleRequest(now, event.Request{Conn: id, Method: method, Path: path, Body: body, ConnectionLimitReached: crowded}, &other.effects)
		})
	}
	receiver, there, back := world.heartbeatDelays(process, path)
	world.sendDelayed(there, from, receiver.name, func() {
		deliver(receiver, func(status int, body []byte) {
			if status == 0 {
				once(0, nil)
				return
			}
			if receiver == process {
				world.sendDelayed(back, process.name, from, func() { once(status, body) })
			}
		})
	})
	if path == "/hello" && world.random.Float64() < world.duplicateShare {
		// Nobody waits for what is answered to a copy.
		other, late := world.controllers[world.random.IntN(len(world.controllers))], time.Duration(world.random.Int64N(int64(world.duplicateDelay)))
		world.schedule(late, func() { deliver(other, func(int, []byte) {}) })
	}
}

// connectWorker notes that a worker is connected to a controller, and tells whether that is
// more than it has sockets for: the connection then ends with the answer, as it does
// where the worker is sent elsewhere.
func (process *controllerProcess) connectWorker(worker string, request uint64) (crowded bool) {
	for _, other := range process.world.controllers {
		delete(other.connectedWorkers, worker)
	}
	process.connectedWorkers[worker] = true
	crowded = process.world.workerSockets > 0 && len(process.connectedWorkers) > process.world.workerSockets
	answer := process.pendingRequests[request]
	process.pendingRequests[request] = func(status int, body []byte) {
		if crowded || status == 421 {
			delete(process.connectedWorkers, worker)
		}
		answer(status, body)
	}
	return crowded
}

func (world *World) isolateFor(process *controllerProcess, duration time.Duration) {
	world.setIsolated(process, true)
	world.schedule(duration, func() { world.setIsolated(process, false) })
}

// blockHeartbeatsFor lets a machine reach no controller.
func (world *World) blockHeartbeatsFor(worker *fakeWorker, duration time.Duration) {
	worker.heartbeatsBlocked = true
	world.schedule(duration, func() { worker.heartbeatsBlocked = false })
}

// cutZone cuts the workers of a zone and a controller off from everything else.
func (world *World) cutZone(process *controllerProcess, zone string, duration time.Duration) {
	inside := map[string]bool{process.name: true}
	for _, worker := range world.sortedWorkers() {
		inside[worker.name] = worker.zone == zone
	}
	out := []string{"state", "cloud", "user"}
	for _, other := range world.controllers {
		if other != process {
			out = append(out, other.name)
		}
	}
	for _, worker := range world.sortedWorkers() {
		if !inside[worker.name] {
			out = append(out, worker.name)
		}
	}
	cut := func(enabled bool) {
		for _, worker := range world.sortedWorkers() {
			if inside[worker.name] {
				for _, other := range world.controllers {
					if other != process {
						world.setLinkCut(worker.name, other.name, enabled)
					}
				}
			}
		}
		for _, o := range out {
			world.setLinkCut(process.name, o, enabled)
		}
	}
	cut(true)
	world.schedule(duration, func() { cut(false) })
}
