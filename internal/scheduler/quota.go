package scheduler

import (
	"lugward/internal/config"
	"lugward/internal/pipeline"
)

// A team's quota (config.Team.CPUs and GPUs) is its guaranteed use. Jobs within the quota
// are scheduled first and may preempt tasks that other teams run beyond their quotas. A
// team may use more than its quota while capacity is free. A team's limit (CPUsMax and
// GPUsMax) is its maximum use; see limit.go.

// updateQuotaStatus updates which jobs are within their team's quota: those that fit into
// it together with the team's earlier unfinished jobs. It also updates
// lowestRunningPriority.
func (r *round) updateQuotaStatus(unfinished []*pipeline.Job) {
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

// isWithinQuota reports whether a job is within its team's quota. usage is the usage of
// the job and the team's earlier jobs. Only resources that the team has a quota for
// count, and the job must use at least one of them.
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
