package scheduler

import (
	"lugward/internal/config"
	"lugward/internal/pipeline"
)

// A team's quota (config.Team.CPUs and GPUs) is the share that it is guaranteed: its
// jobs go first up to the quota, may preempt what other teams run beyond theirs, and
// may use more while that is free. A team's limit (CPUsMax and GPUsMax) is the most
// that it may use at all; see limit.go.

// updateQuotas finds the jobs that are within their team's quota: those that fit there
// together with the team's earlier unfinished jobs. It also finds the lowest priority
// that runs.
func (r *round) updateQuotas(unfinished []*pipeline.Job) {
	byTeam := usageByTeam{}
	r.lowestRunningPriority = pipeline.Production
	for _, job := range unfinished {
		usage := byTeam[job.Team]
		usage.Add(&job.Spec, float64(job.TaskCount-job.DoneCount()))
		byTeam[job.Team] = usage
		job.SetWithinQuota(isWithinQuota(job, r.cfg.Teams[job.Team], usage))
		if job.ActiveCount() > 0 {
			r.lowestRunningPriority = min(r.lowestRunningPriority, job.EffectivePriority)
		}
	}
}

// isWithinQuota reports whether a job is within its team's quota, given what it uses
// together with the team's earlier jobs. A job must use a resource that the team has a
// quota of; other resources do not count.
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
