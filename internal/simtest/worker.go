package simtest

import (
	"sort"
	"time"
)

// machineIdentity holds the fixed properties of a machine.
type machineIdentity struct {
	name, addr        string
	machineType, zone string
	spot              bool
}

// fakeWorker is a fake of a worker together with its machine.
type fakeWorker struct {
	world *World
	machineIdentity
	up            bool
	incarnation   uint64
	assignments   map[string]*taskAssignment // by task
	fetchedImages map[string]bool            // fetched images, by job
	leaseState
	heartbeatState
	hangState
	machineFaults
}

// leaseState holds the worker's lease and the fencing token of its leader.
type leaseState struct {
	leaseStart             time.Duration // when the heartbeat that last renewed the lease was sent, or the incarnation began
	fencingToken           uint64        // highest token received so far
	fencingTokenReportedAt time.Duration // when a higher token last caused an early heartbeat
}

// heartbeatState determines when and to which controller the next heartbeat is sent.
type heartbeatState struct {
	targetController             int // index of the controller that gets the heartbeats
	sequence                     uint64
	heartbeatInFlight            bool
	statusChanged                bool // the status changed after the last heartbeat
	lastHeartbeat, nextHeartbeat time.Duration
}

// machineFaults holds the faults that are injected into a machine.
type machineFaults struct {
	slowdown          float64       // factor of run times; zero means no slowdown
	reclaimAt         time.Duration // when the cloud reclaims the machine; zero if there is no reclaim notice
	heartbeatsBlocked bool          // heartbeats reach no controller, but direct commands arrive
	faulty            bool          // every task that starts on the machine fails
}

// newWorker starts the worker of a machine that has booted.
func newWorker(world *World, machine machineIdentity) *fakeWorker {
	worker := &fakeWorker{
		world:           world,
		machineIdentity: machine,
		up:              true,
		incarnation:     1,
		assignments:     map[string]*taskAssignment{},
		fetchedImages:   map[string]bool{},
		leaseState:      leaseState{leaseStart: world.now},
		heartbeatState:  heartbeatState{targetController: world.random.IntN(len(world.controllers)), statusChanged: true},
	}
	world.workers[machine.addr] = worker
	if world.network.unreachableMachines > 0 {
		world.network.unreachableMachines--
		world.network.blockInbound(worker, true)
	}
	worker.tick()
	return worker
}

// Intervals of the worker.
const (
	workerTickInterval   = 100 * time.Millisecond
	minHeartbeatInterval = 500 * time.Millisecond // applies to early heartbeats after a change, too
)

// tick checks the lease and sends due heartbeats, periodically until the machine crashes.
// While the machine hangs it does nothing.
func (worker *fakeWorker) tick() {
	if !worker.up {
		return
	}
	worker.world.schedule(workerTickInterval, worker.tick)
	if worker.hung {
		return
	}
	worker.expireLease()
	if !worker.heartbeatInFlight && worker.heartbeatDue() {
		worker.sendHeartbeat()
	}
}

// killTasks removes all tasks, without an exit status in heartbeats, and the fetched images.
func (worker *fakeWorker) killTasks() {
	for _, assignment := range worker.sortedAssignments() {
		worker.removeTask(assignment)
	}
	worker.assignments = map[string]*taskAssignment{}
	worker.fetchedImages = map[string]bool{}
}

// sortedAssignments returns the assignments sorted by task name, so that runs are
// deterministic.
func (worker *fakeWorker) sortedAssignments() []*taskAssignment {
	list := make([]*taskAssignment, 0, len(worker.assignments))
	for _, assignment := range worker.assignments {
		list = append(list, assignment)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].name < list[b].name })
	return list
}

// crash ends the machine and its tasks without notice.
func (worker *fakeWorker) crash() {
	worker.killTasks()
	worker.up = false
}

// blockHeartbeatsFor blocks the heartbeats of the machine for a duration.
func (worker *fakeWorker) blockHeartbeatsFor(duration time.Duration) {
	worker.heartbeatsBlocked = true
	worker.world.schedule(duration, func() { worker.heartbeatsBlocked = false })
}

// isHealthy reports whether the machine is up and has neither an injected fault nor a reclaim
// notice.
func (worker *fakeWorker) isHealthy() bool {
	return worker.up && !worker.hung && !worker.heartbeatsBlocked && worker.reclaimAt == 0 && worker.slowdown <= 0 && !worker.faulty
}
