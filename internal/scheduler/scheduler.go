// Package scheduler decides which task goes to which machine. A round has a
// budget of time; what it could not look at, the next one starts with.
package scheduler

import (
	"lugward/internal/config"
	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/worker"
)

// Scheduler makes the rounds.
type Scheduler struct {
	Jobs              *pipeline.Table
	Workers           *worker.Registry
	MachineTypes      *MachineTypes
	Teams             map[int]config.Team
	HeartbeatInterval event.Time // between two reports of a machine
	HeartbeatTimeout  event.Time // a machine without a report for this long gets no new task

	// Interrupted counts the rounds that ran out of their budget.
	Interrupted int
	// Recounted counts the machines whose capacity was counted anew.
	Recounted int
	// Visited counts the machines that were looked at for a job.
	Visited int
	// OverBudget tells whether the budget of a round is used up; nil: no limit.
	OverBudget func() bool

	cached  []Capacity // by machine, as its entries leave it
	round   roundState
	scratch scratch
}

// roundState is what a round knows beyond the table. Only resume, reservations and
// reserved outlive it.
type roundState struct {
	resume         *pipeline.Job          // where the last round ran out of time
	reservations   []reservation          // by the jobs before resume
	roomy          []*Capacity            // on which a task of some job fits; capacity only shrinks in a round
	bySoonest      []capacityRelease      // the machines by when capacity comes free first, nil: not listed yet
	reserved       int                    // tasks with a reservation in this round
	lowestPriority pipeline.Priority      // of what runs
	preempting     map[int]pipeline.Usage // by team: what this round stops
	committed      map[int]pipeline.Usage // by team: what this round reserves for it
}

// scratch is memory that calls reuse.
type scratch struct {
	offers     offers      // of choose
	candidates []candidate // of victims
}

// overBudget tells whether the round has used up its time.
func (s *Scheduler) overBudget() bool {
	return s.OverBudget != nil && s.OverBudget()
}

const nanosecondsPerSecond = 1e9

// secondsSince is how long ago a point in time was, in seconds.
func secondsSince(at, now event.Time) float64 {
	return float64(now-at) / nanosecondsPerSecond
}
