package worker

import (
	"time"

	"lugward/internal/event"
)

// Machine is a machine.
type Machine struct {
	Index       int
	Name        string
	Addr        string
	MachineType int
	Zone        int
	Spot        bool

	Known          bool // machine type and zone are known
	TokenConfirmed bool // a report of it carried our fencing token: our answers reach it
	// Deaf is since when our answers seem not to reach it, 0: they do. Its
	// reports may go on arriving all the while.
	UnreachableSince   event.Time
	unreachableSession uint64
	unconfirmedReports int // reports without our fencing token since we first answered one
	Session            uint64
	Sequence           uint64
	LastReport         event.Time // of the last report, 0: none in this term
	LastAnswer         event.Time
	ReconnectedAt      event.Time // when it was last heard again after it had been silent
	ReclaimAt          event.Time // 0: no notice

	UnknownTasks int // tasks on it that no entry explains
	Images       map[int]bool
	RefusedUntil event.Time // full or in_use: not to be used before
	// Jobs by name: an index serves another job once one is forgotten.
	failedJobs        map[string]event.Time // failed here since a task last completed: how long they had run
	failingSince      event.Time            // the first of these failures
	Faulty            bool                  // several jobs that work elsewhere fail here: no task may be placed
	SlowJobs          map[string]bool       // jobs in a row that ran far longer here than their class does
	Retiring          bool                  // logged as retired: no task may be placed
	Draining          bool                  // its tasks were told to move: to be returned when empty
	firstReport       event.Time
	IdleFrom          event.Time
	ReservedAt        event.Time // when capacity on it was last kept for a job that waits
	lastDirectCommand event.Time
	lastAnnouncement  event.Time
}

// Up tells whether a machine can take tasks now.
func (h *Machine) Up(now event.Time, silent time.Duration) bool {
	return h.Known && h.TokenConfirmed && h.UnreachableSince == 0 && h.LastReport > 0 && now-h.LastReport < silent && !h.Retiring && !h.Draining && h.ReclaimAt == 0 && h.UnknownTasks == 0 && now >= h.RefusedUntil && !h.Faulty && len(h.SlowJobs) < maxSlowJobs
}

// Describe records what the machine is: its type, its zone and whether the cloud
// may reclaim it.
func (h *Machine) Describe(machineType, zone int, spot bool) {
	h.MachineType = machineType
	h.Zone = zone
	h.Spot = spot
	h.Known = true
}
