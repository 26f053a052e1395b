package scheduler

import (
	"math"

	"lugward/internal/pipeline"
)

// tasksWithinLimit returns how many more tasks of the job its team's limit allows.
func (s *Scheduler) tasksWithinLimit(job *pipeline.Job) int {
	return s.TasksWithinLimitGiven(job, pipeline.Usage{})
}

// AssignmentsLeft returns how many more tasks of a job may be assigned within the memory for
// assignments.
func (s *Scheduler) AssignmentsLeft(job *pipeline.Job) int {
	return s.jobs.AssignmentsLeft(job.EffectivePriority)
}

// TasksWithinLimitGiven returns how many more tasks of the job its team's limit allows
// in addition to the team's usage and the resources that are reserved for the team's
// other jobs. Without counting those, each of many jobs could get all that the limit
// still allows.
func (s *Scheduler) TasksWithinLimitGiven(job *pipeline.Job, reserved pipeline.Usage) int {
	team := s.cfg.Teams[job.Team]
	usage := s.jobs.TeamUsage(job.Team)
	usage.CPUs += reserved.CPUs
	usage.GPUs += reserved.GPUs
	count := math.MaxInt32
	if team.CPUsMax > 0 && job.CPUs > 0 {
		count = min(count, int((team.CPUsMax-usage.CPUs+tolerance)/job.CPUs))
	}
	if team.GPUsMax > 0 && job.GPUs > 0 {
		count = min(count, int((team.GPUsMax-usage.GPUs+tolerance)/job.GPUs))
	}
	return max(count, 0)
}
