package scheduler

import (
	"math"

	"lugward/internal/pipeline"
)

// tasksWithinLimit returns how many more tasks of the job its team's limit allows.
func (s *Scheduler) tasksWithinLimit(job *pipeline.Job) int {
	return s.TasksWithinLimitBeside(job, pipeline.Usage{})
}

// TasksWithinLimitBeside returns how many more tasks of the job its team's limit allows
// if the team also uses what is committed to other jobs: else each of many jobs would
// be given all that the limit leaves.
func (s *Scheduler) TasksWithinLimitBeside(job *pipeline.Job, committed pipeline.Usage) int {
	team := s.cfg.Teams[job.Team]
	usage := s.jobs.TeamUsage(job.Team)
	usage.CPUs += committed.CPUs
	usage.GPUs += committed.GPUs
	count := math.MaxInt32
	if team.CPUsMax > 0 && job.CPUs > 0 {
		count = min(count, int((team.CPUsMax-usage.CPUs+tolerance)/job.CPUs))
	}
	if team.GPUsMax > 0 && job.GPUs > 0 {
		count = min(count, int((team.GPUsMax-usage.GPUs+tolerance)/job.GPUs))
	}
	return max(count, 0)
}
