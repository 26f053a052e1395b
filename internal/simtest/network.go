package simtest

import (
	"bytes"
	"time"
)

// fakeNetwork simulates the network between controllers, workers, users, the state service
// and the cloud. A fault that affects some of the requests is configured by the share of the
// requests that it affects, from 0 to 1.
type fakeNetwork struct {
	world *World
	linkState
	packetFaults
	requestDelays
	refusedWhenCutShare  float64 // share of requests to controllers over cut links that fail at once
	maxWorkerConnections int     // worker connections that a controller may have; zero means no limit
	unreachableMachines  int     // number of the next machines to boot that will be unreachable
	startCopies          int     // copies of start commands that have arrived so far
}

// linkState holds the faults of single links.
type linkState struct {
	cutLinks     map[link]bool // packets are held until the link is restored
	droppedLinks map[link]bool // packets are lost
	heldPackets  []heldPacket  // packets held on cut links
}

// packetFaults configures the loss and the duplication of packets.
type packetFaults struct {
	lossShare float64 // share of packets lost on any link
	copies    messageCopies
}

// messageCopies configures late copies of messages. Shares are from 0 to 1.
type messageCopies struct {
	calls          float64       // share of POST calls of controllers that are executed a second time, later
	frames         float64       // share of frames between controllers of which a copy arrives later
	responses      float64       // share of responses to heartbeats of which a copy arrives later
	heartbeats     float64       // share of heartbeats of which a copy arrives later at a random controller
	heartbeatDelay time.Duration // maximum delay of such a copy of a heartbeat
}

// copyAll returns the settings with which the given share of all messages is copied.
func copyAll(share float64) messageCopies {
	return messageCopies{calls: share, frames: share, responses: share, heartbeats: share, heartbeatDelay: maxRepeatDelay}
}

// requestDelays configures delays of requests and responses.
type requestDelays struct {
	unknownFieldShare     float64       // share of messages to controllers with additional fields, see addUnknownFields
	lateWriteShare        float64       // share of transactions that get no response and are executed late
	delayedHeartbeatShare float64       // share of heartbeats delayed by seconds, possibly to another controller
	delayedCommandShare   float64       // share of direct commands whose request or response is delayed by seconds
	maxStateServiceDelay  time.Duration // maximum delay of the state service's responses
}

// endFaults ends the loss, the duplication and the delay of messages.
func (network *fakeNetwork) endFaults() {
	network.packetFaults, network.requestDelays = packetFaults{}, requestDelays{}
}

func newNetwork(world *World) *fakeNetwork {
	return &fakeNetwork{world: world, linkState: linkState{cutLinks: map[link]bool{}, droppedLinks: map[link]bool{}}}
}

// link is one direction of a connection. Both ends are given by name: a controller, a
// worker, "state", "cloud" or "user".
type link struct{ from, to string }

// Bounds of the delay of late requests.
const (
	minDelay = 2 * time.Second
	maxDelay = 12 * time.Second
)

// heldPacket is a packet that is held until its cut link is restored.
type heldPacket struct {
	link    link
	deliver func()
}

// send delivers a packet after the network's latency. A packet on a cut link is held until
// the link is restored. TCP would resend a single lost packet, so a loss here stands for a
// connection that breaks: it ends the exchange.
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

// sendFrame sends a frame from one controller to another. A copy may arrive late, also at a later
// process of the receiver.
func (network *fakeNetwork) sendFrame(sender, receiver *controllerProcess, data []byte) {
	deliver := func() { receiver.handleFrame(data) }
	network.send(sender.name, receiver.name, deliver)
	network.repeatLater(network.copies.frames, data, deliver)
}

// repeatLater delivers a copy of a message later, with the given probability.
func (network *fakeNetwork) repeatLater(share float64, data []byte, deliver func()) {
	if !network.world.chance(share) {
		return
	}
	network.world.schedule(network.world.randomDuration(0, maxRepeatDelay), func() {
		if bytes.Contains(data, startVerbField) {
			network.startCopies++
		}
		deliver()
	})
}

// sendDelayed sends a packet after an additional delay.
func (network *fakeNetwork) sendDelayed(delay time.Duration, from, receiver string, action func()) {
	if delay == 0 {
		network.send(from, receiver, action)
		return
	}
	network.world.schedule(delay, func() { network.send(from, receiver, action) })
}

// setLinkCut cuts or restores the link between two parties in both directions. On
// restoring, held packets are sent.
func (network *fakeNetwork) setLinkCut(a, b string, enabled bool) {
	network.setLinkCutOnly(a, b, enabled)
	if !enabled {
		network.releaseHeldPackets()
	}
}

// setLinkCutOnly cuts or restores the link between two parties in both directions. Unlike
// setLinkCut, it does not send held packets.
func (network *fakeNetwork) setLinkCutOnly(a, b string, enabled bool) {
	for _, direction := range []link{{a, b}, {b, a}} {
		network.cutLinks[direction] = enabled
	}
}

// releaseHeldPackets sends the held packets again. Those on links that are still cut stay
// held.
func (network *fakeNetwork) releaseHeldPackets() {
	held := network.heldPackets
	network.heldPackets = nil
	for _, packet := range held {
		network.send(packet.link.from, packet.link.to, packet.deliver)
	}
}

// setIsolated cuts or restores the links of a controller to the state service and to the
// other controllers. The links to workers are not affected.
func (network *fakeNetwork) setIsolated(process *controllerProcess, enabled bool) {
	network.setLinkCut(process.name, "state", enabled)
	for _, other := range network.world.controllers {
		if other != process {
			network.setLinkCut(process.name, other.name, enabled)
		}
	}
}

// blockInbound drops or delivers all packets from controllers to a machine. Packets from
// the machine are delivered in either case.
func (network *fakeNetwork) blockInbound(worker *fakeWorker, enabled bool) {
	for _, process := range network.world.controllers {
		network.droppedLinks[link{process.name, worker.name}] = enabled
	}
}

// isUnreachable reports whether a link between a controller and the machine is cut or drops
// packets in either direction.
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

// isolateFor isolates a controller for a duration.
func (network *fakeNetwork) isolateFor(process *controllerProcess, duration time.Duration) {
	network.setIsolated(process, true)
	network.world.schedule(duration, func() { network.setIsolated(process, false) })
}

// cutZone partitions the network for a duration: the workers of the zone and the controller
// on one side, everything else on the other.
func (network *fakeNetwork) cutZone(process *controllerProcess, zone string, duration time.Duration) {
	inside, outside := network.splitByZone(process, zone)
	setCut := func(enabled bool) {
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
	setCut(true)
	network.world.schedule(duration, func() { setCut(false) })
}

// splitByZone returns the names of the workers of a zone, and of all parties outside the zone
// other than the controller.
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
