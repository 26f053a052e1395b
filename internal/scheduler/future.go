package scheduler

import (
	"cmp"
	"math"
	"slices"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// minRemainingShare is the least share of its usual runtime for which a task is
// expected to run on: estimates are often wrong.
const minRemainingShare = 0.3

// ending is a task with the seconds that it is expected to run on.
type ending struct {
	entry *pipeline.Assignment
	after float64
}

// sortEndings puts what ends first to the front.
func sortEndings(endings []ending) {
	slices.SortFunc(endings, func(a, b ending) int {
		return cmp.Or(cmp.Compare(a.after, b.after), compareAssignments(a.entry, b.entry))
	})
}

// compareAssignments orders entries by job, in the order of readiness, and task.
func compareAssignments(a, b *pipeline.Assignment) int {
	return cmp.Or(cmp.Compare(a.Job.ReadyRevision, b.Job.ReadyRevision), cmp.Compare(a.Task, b.Task))
}

// RemainingRuntime estimates how long a task still runs, in seconds.
func (s *Scheduler) RemainingRuntime(entry *pipeline.Assignment, now event.Time) float64 {
	if entry.Job.Shape == pipeline.Daemon {
		return math.Inf(1) // until it is cancelled
	}
	usual := s.workers.ExpectedRuntime(entry.Job)
	if entry.StartedAt == 0 {
		return usual
	}
	return max(usual-secondsSince(entry.StartedAt, now), minRemainingShare*usual)
}

// ProjectedCapacities lists what is left of the machines that are up once the tasks
// that are being stopped have terminated; those that are to run again are returned.
// ReleaseWithin then adds what ends later.
func (s *Scheduler) ProjectedCapacities(now event.Time) (capacities []*Capacity, preempting []*pipeline.Assignment) {
	capacities = s.Capacities(now)
	for _, capacity := range capacities {
		for _, entry := range s.jobs.OnMachine(capacity.Machine.Index) {
			ended := entry.Job.TerminalPhase != pipeline.Queued
			if entry.Evicting && !ended {
				preempting = append(preempting, entry)
			}
			switch {
			case entry.Phase == pipeline.TaskExited: // it was not counted
			case entry.Evicting || ended || entry.Pending != pipeline.NoPendingWrite:
				capacity.release(&entry.Job.Spec)
			default:
				capacity.endings = append(capacity.endings, ending{entry, s.RemainingRuntime(entry, now)})
			}
		}
		sortEndings(capacity.endings)
	}
	slices.SortFunc(preempting, compareAssignments)
	return capacities, preempting
}

// ReleaseWithin frees the capacity of tasks that end within so many seconds.
func (c *Capacity) ReleaseWithin(within float64) {
	for len(c.endings) > 0 && c.endings[0].after <= within {
		c.release(&c.endings[0].entry.Job.Spec)
		c.endings = c.endings[1:]
	}
}
