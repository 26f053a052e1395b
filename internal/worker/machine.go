package worker

import (
	"time"

	"lugward/internal/event"
)

// unknown stands for a machine type or zone that is not known yet.
const unknown = -1

// Machine is a machine of the cloud with its worker.
type Machine struct {
	Index int
	Name  string
	Addr  string

	description
	contact
	reachability
	use
	health
	commands
}

// description is what the machine is.
type description struct {
	MachineType int
	Zone        int
	Spot        bool
	Known       bool // machine type and zone are known
}

// contact is how far the exchange of reports and answers has come in this term.
// Reports are ordered by session and sequence.
type contact struct {
	Incarnation    uint64
	Sequence       uint64
	LastHeartbeat  event.Time // 0: none in this term
	LastAnswer     event.Time // 0: none in this term
	ReconnectedAt  event.Time // when it last reported again after it had been silent
	RedirectedAt   event.Time // when it was last sent to another controller for want of sockets, 0: never
	RelayedAt      event.Time // when a report of it last came through another controller, 0: never
	firstHeartbeat event.Time
}

// reachability is whether our answers reach the worker. Its reports may go on
// arriving where they do not.
type reachability struct {
	// TokenConfirmed tells whether a report carried our fencing token.
	TokenConfirmed bool
	// UnreachableSince is since when our answers seem not to arrive, 0: they do.
	UnreachableSince       event.Time
	unreachableIncarnation uint64 // the session of that time
	unconfirmedHeartbeats  int    // without our fencing token since we first answered one
}

// use is what the machine is used for.
type use struct {
	Decommissioning bool         // to be released, or released: no task may be placed
	Draining        bool         // its tasks are being moved: to be released when empty
	ReclaimAt       event.Time   // when the cloud takes it back, 0: no notice
	IdleSince       event.Time   // when it last had tasks
	ReservedAt      event.Time   // when capacity was last reserved for a job that waits
	UnknownTasks    int          // tasks on it that no entry explains
	Images          map[int]bool // that it has fetched
}

// health is what its tasks show of the machine. Jobs go by name, as an index serves
// another job once one is forgotten.
type health struct {
	Quarantined      bool                  // several jobs that work elsewhere fail here
	SlowJobs         map[string]bool       // jobs in a row that ran far longer here than their class does
	UnavailableUntil event.Time            // the worker has refused a task: not to be used before
	failedJobs       map[string]event.Time // failed here since a task last completed: how long they had run
	failingSince     event.Time            // the first of these failures
}

// commands is when the worker was last called directly.
type commands struct {
	lastTerminations event.Time
	lastAnnouncement event.Time
}

// Schedulable tells whether a machine can take tasks now.
func (m *Machine) Schedulable(now event.Time, silentAfter time.Duration) bool {
	reporting := m.LastHeartbeat > 0 && now-m.LastHeartbeat < silentAfter
	return reporting && m.Known && m.reachable() && m.accepting(now) && m.healthy()
}

// reachable tells whether our answers reach the worker.
func (c *reachability) reachable() bool {
	return c.TokenConfirmed && c.UnreachableSince == 0
}

// leaving tells whether the machine is to be released or reclaimed.
func (u *use) leaving() bool {
	return u.Decommissioning || u.ReclaimAt != 0
}

// accepting tells whether nothing forbids another task.
func (m *Machine) accepting(now event.Time) bool {
	if m.leaving() || m.Draining {
		return false
	}
	return m.UnknownTasks == 0 && now >= m.UnavailableUntil
}

// healthy tells whether tasks run on the machine as they do elsewhere.
func (h *health) healthy() bool {
	return !h.Quarantined && len(h.SlowJobs) < maxSlowJobs
}

// Describe records what the machine is: its type, its zone and whether the cloud
// may reclaim it.
func (d *description) Describe(machineType, zone int, spot bool) {
	d.MachineType = machineType
	d.Zone = zone
	d.Spot = spot
	d.Known = true
}
