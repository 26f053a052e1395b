package scheduler

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// minRemainingShare is the lower bound of a running task's estimated remaining runtime,
// as a share of its expected runtime. Estimates are often wrong, so a task may run longer
// than expected.
const minRemainingShare = 0.3

// expectedRelease is the time at which a task is expected to free its resources.
type expectedRelease struct {
	task  *pipeline.Assignment
	after float64       // seconds from now
	freed taskResources // resources of this and all earlier releases, if computed by expectedReleases
}

// sortReleases sorts releases by time, earliest first.
func sortReleases(releases []expectedRelease) {
	slices.SortFunc(releases, func(a, b expectedRelease) int {
		return cmp.Or(cmp.Compare(a.after, b.after), compareAssignments(a.task, b.task))
	})
}

// compareAssignments orders assignments by the readiness of their jobs, then by task.
func compareAssignments(a, b *pipeline.Assignment) int {
	return cmp.Or(cmp.Compare(a.Job.ReadyRevision, b.Job.ReadyRevision), cmp.Compare(a.Task, b.Task))
}

// remainingRuntime estimates the remaining runtime of a task in seconds.
func (s *Scheduler) remainingRuntime(task *pipeline.Assignment, now event.Time) float64 {
	if task.Job.Shape == pipeline.Daemon {
		return math.Inf(1) // a daemon runs until it is cancelled
	}
	expected := s.workers.ExpectedRuntime(task.Job)
	if task.StartedAt() == 0 {
		return expected
	}
	return max(expected-secondsSince(task.StartedAt(), now), minRemainingShare*expected)
}

// ProjectedCapacities lists the free capacity of the schedulable machines as it will be
// once all tasks that are being evicted have terminated. It also returns the evicted
// tasks of unfinished jobs, which must be placed again. Resources that are expected to be
// freed later are added by FreeWithin.
func (s *Scheduler) ProjectedCapacities(now event.Time) (capacities []*Capacity, evicting []*pipeline.Assignment) {
	capacities = s.machineCapacities(now)
	for _, capacity := range capacities {
		for task := range s.jobs.AssignmentsOn(capacity.Machine.Index) {
			finished := task.Job.TerminalPhase != pipeline.Queued
			if task.Evicting() && !finished {
				evicting = append(evicting, task)
			}
			switch {
			case task.Phase() == pipeline.TaskExited: // its resources were not subtracted
			case task.Evicting() || finished || task.Pending() != pipeline.NoPendingWrite:
				capacity.release(&task.Job.Spec)
			default:
				capacity.releases = append(capacity.releases, expectedRelease{task: task, after: s.remainingRuntime(task, now)})
			}
		}
		sortReleases(capacity.releases)
	}
	slices.SortFunc(evicting, compareAssignments)
	return capacities, evicting
}

// FreeWithin adds the resources of the tasks that are expected to exit within the given
// number of seconds to the free capacity.
func (c *Capacity) FreeWithin(seconds float64) {
	for len(c.releases) > 0 && c.releases[0].after <= seconds {
		c.release(&c.releases[0].task.Job.Spec)
		c.releases = c.releases[1:]
	}
}

// expectedReleases lists the expected releases of the tasks on a machine, earliest first.
// The list is computed when it is first needed in a round.
func (s *Scheduler) expectedReleases(capacity *Capacity, now event.Time) []expectedRelease {
	if capacity.releasesListed {
		return capacity.releases
	}
	capacity.releasesListed = true
	for task := range s.jobs.AssignmentsOn(capacity.Machine.Index) {
		if task.Phase() == pipeline.TaskExited {
			continue // its resources were not subtracted
		}
		after := s.remainingRuntime(task, now)
		if task.Evicting() {
			after = task.Job.CheckpointDuration
		}
		capacity.releases = append(capacity.releases, expectedRelease{task: task, after: after})
	}
	sortReleases(capacity.releases)
	var freed taskResources
	for i := range capacity.releases {
		release := &capacity.releases[i]
		freed.add(&release.task.Job.Spec)
		release.freed = freed
	}
	return capacity.releases
}

// timeUntilFit estimates the time in seconds until a task of the job fits on a machine. It
// returns +Inf if a task will not fit there.
func (s *Scheduler) timeUntilFit(job *pipeline.Job, capacity *Capacity, now event.Time) float64 {
	if capacity.FittingTasks(&job.Spec) > 0 {
		return 0
	}
	releases := s.expectedReleases(capacity, now)
	first := sort.Search(len(releases), func(i int) bool {
		free := *capacity
		free.releaseAll(releases[i].freed)
		return free.FittingTasks(&job.Spec) > 0
	})
	if first == len(releases) {
		return math.Inf(1)
	}
	return releases[first].after
}
