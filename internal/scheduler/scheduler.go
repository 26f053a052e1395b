// Package scheduler assigns tasks to machines. It works in rounds: a round orders the
// jobs, places their tasks by bin packing, preempts less important tasks and
// reserves capacity for the tasks that remain unassigned. Between rounds,
// consolidation evicts the tasks of some machines so that those can be released.
package scheduler

import (
	"lugward/internal/config"
	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/worker"
)

// Config holds the settings of a scheduler and its dependencies.
type Config struct {
	Jobs              *pipeline.Table
	Workers           *worker.Registry
	MachineTypes      *MachineTypes                      // may change between rounds
	Teams             map[pipeline.TeamIndex]config.Team // quotas and limits, by index of the team's name
	HeartbeatInterval event.Time                         // interval at which workers send heartbeats
	HeartbeatTimeout  event.Time                         // a machine that sends no heartbeat for this long gets no new tasks
}

// Budget reports whether the time allotted to a round is used up. A nil Budget is
// unlimited.
type Budget func() bool

// exhausted reports whether the budget is used up.
func (b Budget) exhausted() bool { return b != nil && b() }

// Scheduler assigns the tasks of a job table to the registered machines. It is not safe
// for concurrent use.
type Scheduler struct {
	cfg          Config
	jobs         *pipeline.Table
	workers      *worker.Registry
	machineTypes *MachineTypes

	capacityCache    []Capacity // free capacity by machine index, without reservations
	interruption     interruption
	reservationCount int // tasks that got a reservation in the last round
	counters         counters
	scratch          scratch
}

// counters measure the work done since the scheduler was created.
type counters struct {
	interruptedRounds    int // rounds that exhausted their budget since ConsumeInterruptedRounds was last called
	capacitiesRecomputed int
	machinesVisited      int // machines examined while placing tasks or searching slots
	victimsExamined      int // tasks examined as candidates for preemption
}

// scratch holds buffers that are reused between calls.
type scratch struct {
	slots   slotHeap          // used by cheapestSlots
	victims []victimCandidate // used by victimSearch
}

// New returns a scheduler.
func New(cfg Config) *Scheduler {
	return &Scheduler{cfg: cfg, jobs: cfg.Jobs, workers: cfg.Workers, machineTypes: cfg.MachineTypes}
}

// ReservationCount returns the number of tasks that got a reservation in the last round.
func (s *Scheduler) ReservationCount() int { return s.reservationCount }

// CapacitiesRecomputed returns how many times the free capacity of a machine was
// recomputed since the scheduler was created. It is recomputed when the machine or its
// assignments have changed.
func (s *Scheduler) CapacitiesRecomputed() int { return s.counters.capacitiesRecomputed }

// ConsumeInterruptedRounds returns the number of rounds that exhausted their budget since
// the last call, and resets it.
func (s *Scheduler) ConsumeInterruptedRounds() int {
	interrupted := s.counters.interruptedRounds
	s.counters.interruptedRounds = 0
	return interrupted
}

const nanosecondsPerSecond = 1e9

// secondsSince returns the time from at to now in seconds.
func secondsSince(at, now event.Time) float64 {
	return float64(now-at) / nanosecondsPerSecond
}
