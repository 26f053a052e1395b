package scheduler

import (
	"math"

	"lugward/internal/config"
	"lugward/internal/pipeline"
)

// updateQuotas finds the jobs that are within their team's guarantee: those that
// fit there together with the team's earlier unfinished jobs.
func (s *Scheduler) updateQuotas(unfinished []*pipeline.Job) {
	byTeam := map[int]pipeline.Usage{}
	s.round.lowestPriority = pipeline.Production
	for _, job := range unfinished {
		usage := byTeam[job.Team]
		usage.Add(&job.Spec, float64(job.TaskCount-job.DoneCount()))
		byTeam[job.Team] = usage
		job.WithinQuota = isWithinQuota(job, s.cfg.Teams[job.Team], usage)
		if job.ActiveCount() > 0 {
			s.round.lowestPriority = min(s.round.lowestPriority, job.EffectivePriority)
		}
	}
}

// isWithinQuota tells whether a job is within its team's guarantee, given what
// it uses together with the team's earlier jobs. A job must use something that is
// guaranteed; what is not guaranteed does not count.
func isWithinQuota(job *pipeline.Job, team config.Team, usage pipeline.Usage) bool {
	usesCPUs := team.CPUs > 0 && job.CPUs > 0
	usesGPUs := team.GPUs > 0 && job.GPUs > 0
	if usesCPUs && usage.CPUs > team.CPUs+tolerance {
		return false
	}
	if usesGPUs && usage.GPUs > team.GPUs+tolerance {
		return false
	}
	return usesCPUs || usesGPUs
}

// TasksWithinLimit returns how many more tasks of the job its team's limit allows.
func (s *Scheduler) TasksWithinLimit(job *pipeline.Job) int {
	return s.TasksWithinLimitBeside(job, pipeline.Usage{})
}

// TasksWithinLimitBeside is the quota once the team also uses what is committed to other jobs
// of it: else each of many jobs would be given all that the limit leaves.
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
