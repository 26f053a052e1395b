package worker

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// unknown stands for a machine type or zone that is not known yet.
const unknown = -1

// Machine is a machine of the cloud with its worker. Its state changes only by the
// methods of this package; other packages read it.
type Machine struct {
	Index pipeline.MachineIndex // in pipeline.Names.Machines
	Name  string                // in the cloud

	addr string // of the worker, "" if not known
	description
	contact
	reachability
	lifecycle
	usage
	health
	directContact
}

// description is what the machine is.
type description struct {
	machineType pipeline.MachineTypeIndex
	zone        pipeline.ZoneIndex
	spot        bool
	known       bool // machine type and zone are known
}

// contact is how far the exchange of heartbeats and responses has come in this term.
// Heartbeats are ordered by incarnation and sequence.
type contact struct {
	incarnation    uint64
	sequence       uint64
	firstHeartbeat event.Time // 0: none in this term
	lastHeartbeat  event.Time // 0: none in this term
	lastResponse   event.Time // 0: none in this term
	reconnectedAt  event.Time // when heartbeats last came again after some were missed
	redirectedAt   event.Time // when it was last sent to another controller for want of sockets, 0: never
	relayedAt      event.Time // when a heartbeat last came through another controller, 0: never
}

// reachability is whether our responses reach the worker. Its heartbeats may go on
// arriving where they do not.
type reachability struct {
	// tokenConfirmed reports whether a heartbeat carried our fencing token.
	tokenConfirmed bool
	// unreachableSince is since when our responses seem not to arrive, 0: they do.
	unreachableSince       event.Time
	unreachableIncarnation uint64 // the incarnation of that time
	unconfirmedHeartbeats  int    // without our fencing token since our first response
}

// lifecycle is whether the machine is on its way out.
type lifecycle struct {
	decommissioning bool       // to be released, or released: no task may be placed
	draining        bool       // its tasks are being evicted: to be released when empty
	reclaimAt       event.Time // when the cloud reclaims it, 0: no notice
}

// usage is what the machine is used for.
type usage struct {
	idleSince    event.Time                   // when it last had tasks
	reservedAt   event.Time                   // when capacity was last reserved for a job that waits
	unknownTasks int                          // tasks on it that no assignment explains
	images       map[pipeline.ImageIndex]bool // that it has fetched
}

// health is what its tasks show of the machine. Jobs go by ID, as an index serves
// another job once one is forgotten.
type health struct {
	quarantined      bool                  // several jobs that work elsewhere fail here
	slowJobs         map[string]bool       // jobs in a row that ran far longer here than their class does
	unavailableUntil event.Time            // the worker has refused a task: not to be used before
	failedJobs       map[string]event.Time // failed here since a task last completed: how long they had run
	failingSince     event.Time            // the first of these failures
}

// directContact is when the worker was last sent direct commands.
type directContact struct {
	lastTerminations event.Time
	lastAnnouncement event.Time
}

// Schedulable reports whether a machine can take tasks now. A machine that has sent no
// heartbeat for heartbeatTimeout cannot.
func (m *Machine) Schedulable(now event.Time, heartbeatTimeout time.Duration) bool {
	responsive := m.lastHeartbeat > 0 && now-m.lastHeartbeat < heartbeatTimeout
	return responsive && m.known && m.reachable() && m.accepting(now) && m.healthy()
}

// reachable reports whether our responses reach the worker.
func (r *reachability) reachable() bool {
	return r.tokenConfirmed && r.unreachableSince == 0
}

// leaving reports whether the machine is to be released or reclaimed.
func (l *lifecycle) leaving() bool {
	return l.decommissioning || l.reclaimAt != 0
}

// accepting reports whether nothing forbids another task.
func (m *Machine) accepting(now event.Time) bool {
	if m.leaving() || m.draining {
		return false
	}
	return m.unknownTasks == 0 && now >= m.unavailableUntil
}

// healthy reports whether tasks run on the machine as they do elsewhere.
func (h *health) healthy() bool {
	return !h.quarantined && len(h.slowJobs) < maxSlowJobs
}

// Describe records what the machine is: the indices of its type and its zone, and
// whether the cloud may reclaim it.
func (m *Machine) Describe(machineType pipeline.MachineTypeIndex, zone pipeline.ZoneIndex, spot bool) {
	m.machineType = machineType
	m.zone = zone
	m.spot = spot
	m.known = true
}

// NoteListedAddr records the worker's address by the cloud's list, where no heartbeat
// has told it.
func (m *Machine) NoteListedAddr(addr string) {
	if m.addr == "" {
		m.addr = addr
	}
}

// NoteRedirect records that the worker was sent to another controller for want of
// sockets.
func (m *Machine) NoteRedirect(now event.Time) { m.redirectedAt = now }

// NoteInUse records that tasks may be on the machine.
func (m *Machine) NoteInUse(now event.Time) { m.idleSince = now }

// Reserve records that capacity of the machine is reserved for a job that waits.
func (m *Machine) Reserve(now event.Time) { m.reservedAt = now }

// StartDraining begins to drain the machine: it takes no more tasks and is released
// once it is empty.
func (m *Machine) StartDraining() { m.draining = true }

// StartDecommission begins to decommission the machine: it takes no more tasks and is
// released.
func (m *Machine) StartDecommission() { m.decommissioning = true }

// MachineType is the index of the machine's type, -1 if it is not known.
func (m *Machine) MachineType() pipeline.MachineTypeIndex { return m.machineType }

// Zone is the index of the machine's zone, -1 if it is not known.
func (m *Machine) Zone() pipeline.ZoneIndex { return m.zone }

// Spot reports whether the cloud may reclaim the machine.
func (m *Machine) Spot() bool { return m.spot }

// Known reports whether the machine's type and zone are known.
func (m *Machine) Known() bool { return m.known }

// LastHeartbeat is when the last heartbeat was taken in this term, 0 if none was.
func (m *Machine) LastHeartbeat() event.Time { return m.lastHeartbeat }

// ReconnectedAt is when heartbeats last came again after some were missed, 0: never.
func (m *Machine) ReconnectedAt() event.Time { return m.reconnectedAt }

// RedirectedAt is when the worker was last sent to another controller for want of
// sockets, 0: never.
func (m *Machine) RedirectedAt() event.Time { return m.redirectedAt }

// RelayedAt is when a heartbeat last came through another controller, 0: never.
func (m *Machine) RelayedAt() event.Time { return m.relayedAt }

// TokenConfirmed reports whether a heartbeat has carried the fencing token of this term.
func (m *Machine) TokenConfirmed() bool { return m.tokenConfirmed }

// UnreachableSince is since when responses seem not to reach the worker, 0: they do.
func (m *Machine) UnreachableSince() event.Time { return m.unreachableSince }

// Decommissioning reports whether the machine is to be released, or is released.
func (m *Machine) Decommissioning() bool { return m.decommissioning }

// Draining reports whether the machine is to be released once it is empty.
func (m *Machine) Draining() bool { return m.draining }

// ReclaimAt is when the cloud reclaims the machine, 0: it has given no notice.
func (m *Machine) ReclaimAt() event.Time { return m.reclaimAt }

// IdleSince is when tasks were last on the machine, or when it came up.
func (m *Machine) IdleSince() event.Time { return m.idleSince }

// ReservedAt is when capacity was last reserved for a job that waits, 0: never.
func (m *Machine) ReservedAt() event.Time { return m.reservedAt }

// UnknownTasks is how many tasks are on the machine that no assignment explains.
func (m *Machine) UnknownTasks() int { return m.unknownTasks }

// HasImage reports whether the machine has fetched an image, by the image's index.
func (m *Machine) HasImage(image pipeline.ImageIndex) bool { return m.images[image] }
