package scheduler

import (
	"math"

	"lugward/internal/pipeline"
)

// updateGuarantees finds the jobs that are within their team's guarantee: those that
// fit there together with the team's unfinished jobs from before. A job must
// use something that is guaranteed; what is not guaranteed does not count.
func (p *Scheduler) updateGuarantees(all []*pipeline.Job) {
	sum := map[int]pipeline.Usage{}
	p.lowestPriority = pipeline.Production
	for _, j := range all {
		t, u, n := p.Teams[j.Team], sum[j.Team], float64(j.TaskCount-j.DoneCount())
		u.Add(&j.Spec, n)
		sum[j.Team] = u
		cpus, gpus := t.CPUs > 0 && j.CPUs > 0, t.GPUs > 0 && j.GPUs > 0
		j.WithinGuarantee = (cpus || gpus) && (!cpus || u.CPUs <= t.CPUs+tolerance) && (!gpus || u.GPUs <= t.GPUs+tolerance)
		if j.Active() > 0 {
			p.lowestPriority = min(p.lowestPriority, j.EffectivePriority)
		}
	}
}

// Quota returns how many more tasks of the job its team's limit allows.
func (p *Scheduler) Quota(j *pipeline.Job) int { return p.QuotaBeside(j, pipeline.Usage{}) }

// QuotaBeside is the quota once the team also has what is promised to other jobs
// of it: else each of many jobs would be promised all that the limit leaves.
func (p *Scheduler) QuotaBeside(j *pipeline.Job, committed pipeline.Usage) int {
	t := p.Teams[j.Team]
	u := p.Jobs.Team(j.Team)
	u.CPUs += committed.CPUs
	u.GPUs += committed.GPUs
	n := math.MaxInt32
	if t.CPUsMax > 0 && j.CPUs > 0 {
		n = min(n, int((t.CPUsMax-u.CPUs+tolerance)/j.CPUs))
	}
	if t.GPUsMax > 0 && j.GPUs > 0 {
		n = min(n, int((t.GPUsMax-u.GPUs+tolerance)/j.GPUs))
	}
	return max(n, 0)
}
