package simtest

import (
	"time"
)

// fakeNetwork is a stand-in of the network between controllers, workers, users, the state
// service and the cloud. Faults that concern some requests are given as their share.
type fakeNetwork struct {
	world *World
	linkState
	packetFaults
	requestDelays
	refusedWhenCut      float64 // requests to controllers over cut links that fail at once
	workerSockets       int     // workers that a controller has sockets for, 0: for all
	unreachableMachines int     // so many of the machines that boot next are unreachable
}

// linkState is which links are there.
type linkState struct {
	cutLinks     map[link]bool // packets wait until the link is back
	droppedLinks map[link]bool // packets are lost
	heldPackets  []heldPacket  // on links that are cut
}

// packetFaults lose and repeat what is sent.
type packetFaults struct {
	lossShare       float64       // packets that are lost on any link
	lateRepeatShare float64       // calls to the state service and the cloud that are carried out once more, late
	duplicateShare  float64       // heartbeats of which a copy comes later, to any controller
	duplicateDelay  time.Duration // by at most this
}

// requestDelays let requests arrive or be answered late.
type requestDelays struct {
	lateWrites        float64       // transactions that get no answer and are carried out late
	delayedHeartbeats float64       // heartbeats that arrive seconds late, maybe elsewhere
	delayedCommands   float64       // direct commands that arrive, or whose answers arrive, seconds late
	slowStateService  time.Duration // within which the state service answers
}

func newNetwork(world *World) *fakeNetwork {
	return &fakeNetwork{world: world, linkState: linkState{cutLinks: map[link]bool{}, droppedLinks: map[link]bool{}}}
}

// link is a direction between two parties, by their names.
type link struct{ from, to string }

// Bounds of the delays of requests that come seconds late.
const (
	minDelay = 2 * time.Second
	maxDelay = 12 * time.Second
)

// heldPacket is a packet that a cut link holds back.
type heldPacket struct {
	link    link
	deliver func()
}

// send delivers a packet after the network's delay. A cut holds it back; lost
// packets of a stream are resent, so a loss only ends the exchange.
func (network *fakeNetwork) send(from, receiver string, action func()) {
	direction := link{from, receiver}
	if network.droppedLinks[direction] {
		return
	}
	if network.cutLinks[direction] {
		network.heldPackets = append(network.heldPackets, heldPacket{direction, action})
		return
	}
	if network.world.random.Float64() < network.lossShare {
		return
	}
	network.world.schedule(time.Millisecond+time.Duration(network.world.random.Int64N(int64(4*time.Millisecond))), action)
}

// sendDelayed sends a packet after a delay.
func (network *fakeNetwork) sendDelayed(delay time.Duration, from, receiver string, action func()) {
	if delay == 0 {
		network.send(from, receiver, action)
		return
	}
	network.world.schedule(delay, func() { network.send(from, receiver, action) })
}

// setLinkCut stops packets between two parties in both directions, or ends that.
func (network *fakeNetwork) setLinkCut(a, b string, enabled bool) {
	network.markLinkCut(a, b, enabled)
	if !enabled {
		network.releaseHeldPackets()
	}
}

// markLinkCut is setLinkCut that leaves what was held back where it is.
func (network *fakeNetwork) markLinkCut(a, b string, enabled bool) {
	for _, direction := range []link{{a, b}, {b, a}} {
		network.cutLinks[direction] = enabled
	}
}

// releaseHeldPackets delivers the packets that were held back on links that are cut no more.
func (network *fakeNetwork) releaseHeldPackets() {
	held := network.heldPackets
	network.heldPackets = nil
	for _, packet := range held {
		network.send(packet.link.from, packet.link.to, packet.deliver)
	}
}

// setIsolated cuts a controller off from the state service and the other
// controllers, but not from its workers.
func (network *fakeNetwork) setIsolated(process *controllerProcess, enabled bool) {
	network.setLinkCut(process.name, "state", enabled)
	for _, other := range network.world.controllers {
		if other != process {
			network.setLinkCut(process.name, other.name, enabled)
		}
	}
}

// blockInbound lets a machine be heard while nothing reaches it, or ends that.
func (network *fakeNetwork) blockInbound(worker *fakeWorker, enabled bool) {
	for _, process := range network.world.controllers {
		network.droppedLinks[link{process.name, worker.name}] = enabled
	}
}

// isUnreachable reports whether some controller and the machine can't talk.
func (network *fakeNetwork) isUnreachable(worker *fakeWorker) bool {
	for _, process := range network.world.controllers {
		for _, direction := range []link{{process.name, worker.name}, {worker.name, process.name}} {
			if network.cutLinks[direction] || network.droppedLinks[direction] {
				return true
			}
		}
	}
	return false
}

// isolateFor isolates a controller for a while.
func (network *fakeNetwork) isolateFor(process *controllerProcess, duration time.Duration) {
	network.setIsolated(process, true)
	network.world.schedule(duration, func() { network.setIsolated(process, false) })
}

// cutZone cuts the workers of a zone and a controller off from everything else.
func (network *fakeNetwork) cutZone(process *controllerProcess, zone string, duration time.Duration) {
	inside, outside := network.splitByZone(process, zone)
	set := func(enabled bool) {
		for _, worker := range inside {
			for _, other := range network.world.controllers {
				if other != process {
					network.setLinkCut(worker, other.name, enabled)
				}
			}
		}
		for _, party := range outside {
			network.setLinkCut(process.name, party, enabled)
		}
	}
	set(true)
	network.world.schedule(duration, func() { set(false) })
}

// splitByZone names the workers of a zone, and all parties but these and a controller.
func (network *fakeNetwork) splitByZone(process *controllerProcess, zone string) (inside, outside []string) {
	outside = []string{"state", "cloud", "user"}
	for _, other := range network.world.controllers {
		if other != process {
			outside = append(outside, other.name)
		}
	}
	for _, worker := range network.world.sortedWorkers() {
		if worker.zone == zone {
			inside = append(inside, worker.name)
		} else {
			outside = append(outside, worker.name)
		}
	}
	return inside, outside
}
