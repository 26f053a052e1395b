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
	Jobs           *pipeline.Table
	Workers        *worker.Registry
	MachineTypes   *MachineTypes
	Teams          map[int]config.Team
	ReportInterval event.Time // between two reports of a machine
	SilentAfter    event.Time // a machine not heard for this long gets nothing new

	// Interrupted counts the rounds that ran out of their budget, Counted the
	// machines whose capacity was counted anew.
	Interrupted, Recounted int
	// OverBudget tells how much of the budget is used; nil: no limit.
	OverBudget func() bool

	cached         []Capacity             // by machine, as its entries left it
	offers         offers                 // capacity for choose, and
	candidates     []candidate            // for victims, to work in
	resume         *pipeline.Job          // where the last round ran out of time
	reservations   []reservation          // by the jobs before that
	reserved       int                    // tasks with a reservation in this round
	lowestPriority pipeline.Priority      // of what runs
	preempting     map[int]pipeline.Usage // by team, of what this round stops
	committed      map[int]pipeline.Usage // by team, of the capacity that this round keeps for it
}
