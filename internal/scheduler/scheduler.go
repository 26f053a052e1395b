// Package scheduler decides which task runs on which machine. It works in rounds:
// each orders the jobs, places tasks by bin packing, preempts less important work
// and reserves capacity for what still waits. Between rounds, consolidation moves
// tasks off machines that can then be released.
package scheduler

import (
	"lugward/internal/config"
	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/worker"
)

// Config holds the settings of a scheduler and the parts that it works on.
type Config struct {
	Jobs              *pipeline.Table
	Workers           *worker.Registry
	MachineTypes      *MachineTypes                      // may change between rounds
	Teams             map[pipeline.TeamIndex]config.Team // quotas and limits, by index of the team's name
	HeartbeatInterval event.Time                         // between two heartbeats of a worker
	HeartbeatTimeout  event.Time                         // a machine without a heartbeat for this long gets no new task
}

// Budget reports whether the processor time for a round is used up. A nil Budget
// never ends.
type Budget func() bool

// exhausted reports whether nothing is left of the budget.
func (b Budget) exhausted() bool { return b != nil && b() }

// Scheduler places the tasks of a table of jobs on the registered machines. It must
// not be used concurrently.
type Scheduler struct {
	cfg          Config
	jobs         *pipeline.Table
	workers      *worker.Registry
	machineTypes *MachineTypes

	capacityCache    []Capacity // by machine, as its assignments leave it
	interruption     interruption
	reservationCount int // of the last round
	counters         counters
	scratch          scratch
}

// counters count the work of all rounds.
type counters struct {
	interruptedRounds    int // that ran out of budget, since they were last taken
	capacitiesRecomputed int
	machinesVisited      int // looked at for a job
}

// scratch is memory that calls reuse.
type scratch struct {
	slots   slotHeap          // of cheapestSlots
	victims []victimCandidate // of cheapestVictims
}

// New returns a scheduler.
func New(cfg Config) *Scheduler {
	return &Scheduler{cfg: cfg, jobs: cfg.Jobs, workers: cfg.Workers, machineTypes: cfg.MachineTypes}
}

// ReservationCount returns how many tasks got a reservation in the last round.
func (s *Scheduler) ReservationCount() int { return s.reservationCount }

// CapacitiesRecomputed returns how often the free capacity of a machine was computed
// since the scheduler was made, as something had changed there.
func (s *Scheduler) CapacitiesRecomputed() int { return s.counters.capacitiesRecomputed }

// TakeInterruptedRounds returns how many rounds ran out of their budget since the
// last call.
func (s *Scheduler) TakeInterruptedRounds() int {
	interrupted := s.counters.interruptedRounds
	s.counters.interruptedRounds = 0
	return interrupted
}

const nanosecondsPerSecond = 1e9

// secondsSince is how long ago a point in time was, in seconds.
func secondsSince(at, now event.Time) float64 {
	return float64(now-at) / nanosecondsPerSecond
}
