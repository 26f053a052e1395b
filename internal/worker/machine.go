package worker

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// unknown is the index of a machine type or zone that is not known yet.
const unknown = -1

// Machine is a cloud machine with its worker. Only methods of this package change its
// state; other packages read it.
type Machine struct {
	Index pipeline.MachineIndex // index in pipeline.Names.Machines
	Name  string                // name of the machine in the cloud

	addr string // address of the worker, empty if not known
	description
	heartbeatState
	reachability
	lifecycle
	usage
	health
	directCommandTimes
}

// description holds the fixed properties of a machine.
type description struct {
	machineType pipeline.MachineTypeIndex
	zone        pipeline.ZoneIndex
	spot        bool
	known       bool // whether machineType, zone and spot are set
}

// heartbeatState is the state of the exchange of heartbeats and responses in this term.
// Times are zero if the event has not occurred. Heartbeats are ordered by incarnation and
// sequence.
type heartbeatState struct {
	incarnation    uint64
	sequence       uint64
	firstHeartbeat event.Time // first heartbeat of this term, or since lastHeartbeat was cleared
	lastHeartbeat  event.Time // last heartbeat of this term; cleared when all tasks have terminated
	lastResponse   event.Time // last response of this term
	reconnectedAt  event.Time // when heartbeats last resumed after the heartbeat timeout
	redirectedAt   event.Time // when the worker was last redirected because of the connection limit
	relayedAt      event.Time // when a heartbeat was last relayed by another controller
}

// reachability records whether the responses of this controller reach the worker. If they
// do not, heartbeats of the worker may still arrive.
type reachability struct {
	// tokenConfirmed reports whether a heartbeat carried the fencing token of this term.
	tokenConfirmed bool
	// unreachableSince is when responses were found not to arrive, or zero if they do.
	unreachableSince       event.Time
	unreachableIncarnation uint64 // incarnation of the worker at unreachableSince
	unconfirmedHeartbeats  int    // heartbeats without this term's fencing token since the first response
}

// lifecycle records whether the machine is about to be released or reclaimed.
type lifecycle struct {
	decommissioning bool       // to be released, or released; no task may be placed
	draining        bool       // tasks are being evicted; to be released when empty
	reclaimAt       event.Time // when the cloud reclaims the machine, zero without a notice
}

// usage records the use of the machine.
type usage struct {
	idleSince    event.Time                   // when the machine last had tasks, or when it came up
	reservedAt   event.Time                   // when capacity was last reserved for a waiting job
	unknownTasks int                          // number of listed tasks without an assignment
	images       map[pipeline.ImageIndex]bool // images that the machine has fetched
}

// health records faults of the machine that its tasks have shown. Jobs are identified by ID,
// because the index of a removed job is reused for another job.
type health struct {
	quarantined      bool                  // at fault: see failureDetector
	slowJobs         map[string]bool       // consecutive jobs that ran far longer here than is usual for their class
	unavailableUntil event.Time            // no task may be placed before; set when the worker refuses a task
	failedJobs       map[string]event.Time // runtimes of jobs that failed here since a task last completed, by job ID
	failingSince     event.Time            // first failure in failedJobs
}

// directCommandTimes holds the times of the last direct commands to the worker.
type directCommandTimes struct {
	lastTerminations event.Time
	lastAnnouncement event.Time
}

// Schedulable reports whether tasks may be placed on the machine now. This is not the case
// if it has sent no heartbeat for heartbeatTimeout.
func (m *Machine) Schedulable(now event.Time, heartbeatTimeout time.Duration) bool {
	responsive := m.lastHeartbeat > 0 && now-m.lastHeartbeat < heartbeatTimeout
	return responsive && m.known && m.reachable() && m.acceptsTasks(now) && m.healthy()
}

// reachable reports whether the responses of this controller reach the worker.
func (r *reachability) reachable() bool {
	return r.tokenConfirmed && r.unreachableSince == 0
}

// leaving reports whether the machine is to be released or reclaimed.
func (l *lifecycle) leaving() bool {
	return l.decommissioning || l.reclaimAt != 0
}

// acceptsTasks reports whether the machine can be assigned more tasks: it stays in use, lists
// no unknown tasks and has not refused a task recently.
func (m *Machine) acceptsTasks(now event.Time) bool {
	if m.leaving() || m.draining {
		return false
	}
	return m.unknownTasks == 0 && now >= m.unavailableUntil
}

// healthy reports whether the machine is neither quarantined nor excluded as slow.
func (h *health) healthy() bool {
	return !h.quarantined && len(h.slowJobs) < maxSlowJobs
}

// Describe records the properties of the machine: the indices of its type and its zone,
// and whether the cloud may reclaim it.
func (m *Machine) Describe(machineType pipeline.MachineTypeIndex, zone pipeline.ZoneIndex, spot bool) {
	m.machineType = machineType
	m.zone = zone
	m.spot = spot
	m.known = true
}

// RecordListedAddr records the worker's address from the machine list of the cloud, unless
// the address is already known.
func (m *Machine) RecordListedAddr(addr string) {
	if m.addr == "" {
		m.addr = addr
	}
}

// RecordRedirect records that the worker was redirected to another controller because this
// controller has reached its connection limit.
func (m *Machine) RecordRedirect(now event.Time) { m.redirectedAt = now }

// RecordInUse records that tasks may be on the machine now.
func (m *Machine) RecordInUse(now event.Time) { m.idleSince = now }

// RecordReservation records that capacity of the machine is reserved for a waiting job.
func (m *Machine) RecordReservation(now event.Time) { m.reservedAt = now }

// StartDraining marks the machine as draining: no more tasks are placed on it, and it is
// released once it is empty.
func (m *Machine) StartDraining() { m.draining = true }

// StartDecommission marks the machine for decommissioning: no more tasks are placed on it,
// and it is released.
func (m *Machine) StartDecommission() { m.decommissioning = true }

// MachineType returns the index of the machine's type, or -1 if it is not known.
func (m *Machine) MachineType() pipeline.MachineTypeIndex { return m.machineType }

// Zone returns the index of the machine's zone, or -1 if it is not known.
func (m *Machine) Zone() pipeline.ZoneIndex { return m.zone }

// Spot reports whether the cloud may reclaim the machine.
func (m *Machine) Spot() bool { return m.spot }

// Known reports whether the machine's type and zone are known.
func (m *Machine) Known() bool { return m.known }

// LastHeartbeat returns when the last heartbeat of this term was handled, or zero if there
// was none since all tasks of the machine were last recorded as terminated.
func (m *Machine) LastHeartbeat() event.Time { return m.lastHeartbeat }

// ReconnectedAt returns when heartbeats last resumed after the heartbeat timeout, or zero.
func (m *Machine) ReconnectedAt() event.Time { return m.reconnectedAt }

// RedirectedAt returns when the worker was last redirected to another controller because
// this controller had reached its connection limit, or zero.
func (m *Machine) RedirectedAt() event.Time { return m.redirectedAt }

// RelayedAt returns when a heartbeat was last relayed by another controller, or zero.
func (m *Machine) RelayedAt() event.Time { return m.relayedAt }

// TokenConfirmed reports whether a heartbeat has carried the fencing token of this term.
func (m *Machine) TokenConfirmed() bool { return m.tokenConfirmed }

// UnreachableSince returns when responses were found not to reach the worker, or zero if
// they reach it.
func (m *Machine) UnreachableSince() event.Time { return m.unreachableSince }

// Decommissioning reports whether the machine is to be released or has been released.
func (m *Machine) Decommissioning() bool { return m.decommissioning }

// Draining reports whether the machine is to be released once it is empty.
func (m *Machine) Draining() bool { return m.draining }

// ReclaimAt returns when the cloud reclaims the machine, or zero without a notice.
func (m *Machine) ReclaimAt() event.Time { return m.reclaimAt }

// IdleSince returns when tasks were last on the machine, or when it came up.
func (m *Machine) IdleSince() event.Time { return m.idleSince }

// ReservedAt returns when capacity was last reserved for a waiting job, or zero.
func (m *Machine) ReservedAt() event.Time { return m.reservedAt }

// UnknownTasks returns the number of tasks on the machine without an assignment.
func (m *Machine) UnknownTasks() int { return m.unknownTasks }

// HasImage reports whether the machine has fetched the image with the given index.
func (m *Machine) HasImage(image pipeline.ImageIndex) bool { return m.images[image] }
