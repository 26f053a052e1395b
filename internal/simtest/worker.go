package simtest

import (
	"sort"
	"time"
)

// machineIdentity is what a machine is.
type machineIdentity struct {
	name, addr        string
	machineType, zone string
	spot              bool
}

// fakeWorker is a stand-in of a machine's worker.
type fakeWorker struct {
	world *World
	machineIdentity
	up          bool
	incarnation uint64
	assignments map[string]*taskAssignment // by task
	images      map[string]bool            // those that are there, by job
	leaseState
	heartbeatState
	hangState
	machineFaults
}

// leaseState is what a worker knows of its lease and its leader.
type leaseState struct {
	leaseStart         time.Duration // when the last answered heartbeat was sent
	fencingToken       uint64        // the highest that it has seen
	fencingTokenSeenAt time.Duration // when it last told of a higher one at once
}

// heartbeatState is when a worker sends its next heartbeat, and to whom.
type heartbeatState struct {
	target                       int // index of the controller
	sequence                     uint64
	heartbeatInFlight            bool
	changed                      bool // something that controllers do not know yet
	lastHeartbeat, nextHeartbeat time.Duration
}

// machineFaults are what scenarios do to a machine.
type machineFaults struct {
	slowdown          float64       // run times are multiplied by this, 0: by 1
	reclaimAt         time.Duration // when the cloud takes the machine, 0: no notice was given
	heartbeatsBlocked bool          // it reaches no controller, direct commands reach it
	faulty            bool          // every task that starts on it fails
}

// newWorker boots the worker of a machine.
func newWorker(world *World, machine machineIdentity) *fakeWorker {
	worker := &fakeWorker{
		world:           world,
		machineIdentity: machine,
		up:              true,
		incarnation:     1,
		assignments:     map[string]*taskAssignment{},
		images:          map[string]bool{},
		leaseState:      leaseState{leaseStart: world.now},
		heartbeatState:  heartbeatState{target: world.random.IntN(len(world.controllers)), changed: true},
	}
	world.workers[machine.addr] = worker
	if world.network.unreachableMachines > 0 {
		world.network.unreachableMachines--
		world.network.blockInbound(worker, true)
	}
	worker.tick()
	return worker
}

// Intervals of a worker.
const (
	workerTickInterval   = 100 * time.Millisecond
	minHeartbeatInterval = 500 * time.Millisecond // also where something has changed
)

// tick lets time pass for a worker as long as its machine is up.
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

// killTasks ends all tasks without a trace.
func (worker *fakeWorker) killTasks() {
	for _, assignment := range worker.sortedAssignments() {
		worker.removeTask(assignment)
	}
	worker.assignments = map[string]*taskAssignment{}
	worker.images = map[string]bool{}
}

// sortedAssignments lists the assignments in an order that does not change from run to run.
func (worker *fakeWorker) sortedAssignments() []*taskAssignment {
	list := make([]*taskAssignment, 0, len(worker.assignments))
	for _, assignment := range worker.assignments {
		list = append(list, assignment)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].name < list[b].name })
	return list
}

// crash ends the machine without notice.
func (worker *fakeWorker) crash() {
	worker.killTasks()
	worker.up = false
}

// blockHeartbeatsFor lets a machine reach no controller for a while.
func (worker *fakeWorker) blockHeartbeatsFor(duration time.Duration) {
	worker.heartbeatsBlocked = true
	worker.world.schedule(duration, func() { worker.heartbeatsBlocked = false })
}

// isHealthy reports whether no fault and no reclaim notice keeps the machine from running tasks
// as it should.
func (worker *fakeWorker) isHealthy() bool {
	return worker.up && !worker.hung && !worker.heartbeatsBlocked && worker.reclaimAt == 0 && worker.slowdown <= 0 && !worker.faulty
}
