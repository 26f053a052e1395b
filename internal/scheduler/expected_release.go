package scheduler

import (
	"cmp"
	"math"
	"slices"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// minRemainingShare is the least share of its expected runtime for which a running
// task is expected to run on, as estimates are often wrong.
const minRemainingShare = 0.3

// expectedRelease is when a task is expected to free what it uses.
type expectedRelease struct {
	task  *pipeline.Assignment
	after float64 // seconds
}

// sortReleases sorts the earliest to the front.
func sortReleases(releases []expectedRelease) {
	slices.SortFunc(releases, func(a, b expectedRelease) int {
		return cmp.Or(cmp.Compare(a.after, b.after), compareAssignments(a.task, b.task))
	})
}

// compareAssignments orders assignments by job, in the order of readiness, and task.
func compareAssignments(a, b *pipeline.Assignment) int {
	return cmp.Or(cmp.Compare(a.Job.ReadyRevision, b.Job.ReadyRevision), cmp.Compare(a.Task, b.Task))
}

// remainingRuntime estimates how long a task still runs, in seconds.
func (s *Scheduler) remainingRuntime(task *pipeline.Assignment, now event.Time) float64 {
	if task.Job.Shape == pipeline.Daemon {
		return math.Inf(1) // until it is cancelled
	}
	expected := s.workers.ExpectedRuntime(task.Job)
	if task.StartedAt() == 0 {
		return expected
	}
	return max(expected-secondsSince(task.StartedAt(), now), minRemainingShare*expected)
}

// ProjectedCapacities lists what is free on the machines that are up once the tasks
// that are being evicted have terminated; those that are to run again are returned.
// ReleaseWithin then adds what is released later.
func (s *Scheduler) ProjectedCapacities(now event.Time) (capacities []*Capacity, evicting []*pipeline.Assignment) {
	capacities = s.machineCapacities(now)
	for _, capacity := range capacities {
		for _, task := range s.jobs.OnMachine(capacity.Machine.Index) {
			finished := task.Job.TerminalPhase != pipeline.Queued
			if task.Evicting() && !finished {
				evicting = append(evicting, task)
			}
			switch {
			case task.Phase() == pipeline.TaskExited: // it was not counted
			case task.Evicting() || finished || task.Pending() != pipeline.NoPendingWrite:
				capacity.release(&task.Job.Spec)
			default:
				capacity.releases = append(capacity.releases, expectedRelease{task, s.remainingRuntime(task, now)})
			}
		}
		sortReleases(capacity.releases)
	}
	slices.SortFunc(evicting, compareAssignments)
	return capacities, evicting
}

// ReleaseWithin frees the capacity of tasks that are expected to end within so many
// seconds.
func (c *Capacity) ReleaseWithin(seconds float64) {
	for len(c.releases) > 0 && c.releases[0].after <= seconds {
		c.release(&c.releases[0].task.Job.Spec)
		c.releases = c.releases[1:]
	}
}

// expectedReleases lists when the tasks of a machine are expected to free what they
// use, the earliest first. The list is made when it is first needed in a round.
func (s *Scheduler) expectedReleases(capacity *Capacity, now event.Time) []expectedRelease {
	if capacity.releasesListed {
		return capacity.releases
	}
	capacity.releasesListed = true
	for _, task := range s.jobs.OnMachine(capacity.Machine.Index) {
		if task.Phase() == pipeline.TaskExited {
			continue // it was not counted
		}
		after := s.remainingRuntime(task, now)
		if task.Evicting() {
			after = task.Job.CheckpointDuration
		}
		capacity.releases = append(capacity.releases, expectedRelease{task, after})
	}
	sortReleases(capacity.releases)
	return capacity.releases
}

// fitsAfter estimates in how many seconds a task of the job fits on a machine. It is
// infinite where none will.
func (s *Scheduler) fitsAfter(job *pipeline.Job, capacity *Capacity, now event.Time) float64 {
	if capacity.Fits(&job.Spec) > 0 {
		return 0
	}
	free := *capacity
	for _, release := range s.expectedReleases(capacity, now) {
		free.release(&release.task.Job.Spec)
		if free.Fits(&job.Spec) > 0 {
			return release.after
		}
	}
	return math.Inf(1)
}
