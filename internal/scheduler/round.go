package scheduler

import (
	"slices"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/worker"
)

// Round places what it can and returns the jobs that still have tasks open,
// with the machine capacities as they are left. A round that runs out of its budget goes on
// where it stopped, and then still keeps the capacity that the jobs before that
// point were promised: else the less important ones behind them would take it.
func (p *Scheduler) Round(now event.Time) (blocked []*pipeline.Job, capacities []*Capacity) {
	capacities = p.Capacities(now)
	all := p.Jobs.Unfinished()
	p.updateGuarantees(all)
	jobs := slices.DeleteFunc(all, func(j *pipeline.Job) bool { return !j.Waits(int64(now)) })
	order(jobs, now)
	p.preempting, p.committed = map[int]pipeline.Usage{}, map[int]pipeline.Usage{}
	start := slices.IndexFunc(jobs, func(j *pipeline.Job) bool { return j == p.resume })
	if start < 0 {
		start, p.reservations = 0, p.reservations[:0]
	}
	if len(p.reservations) > 0 {
		at := make(map[*worker.Machine]*Capacity, len(capacities))
		for _, r := range capacities {
			at[r.Machine] = r
		}
		for _, h := range p.reservations {
			if r := at[h.machine]; r != nil && h.job.StartableCount() > 0 && h.job.Final == pipeline.Queued {
				r.Allocate(&h.job.Spec, 1)
				p.commitQuota(h.job)
			}
		}
	}
	p.resume = nil
	p.reserved = 0
	for i, j := range jobs[start:] {
		if i > 0 && p.OverBudget != nil && p.OverBudget() {
			p.resume = j
			p.Interrupted++
			break
		}
		p.place(j, capacities, now)
		if j.StartableCount() > 0 {
			left := p.preempt(j, capacities, now)
			p.reserve(j, left, capacities, now)
		}
	}
	for _, j := range jobs {
		if j.StartableCount() > 0 {
			blocked = append(blocked, j)
		}
	}
	return blocked, capacities
}

// Reserved is how many tasks got a reservation in the last round.
func (p *Scheduler) Reserved() int { return p.reserved }

// reserveTask gives capacity that is not free yet to a task that waits for it.
func (p *Scheduler) reserveTask(j *pipeline.Job, r *Capacity, now event.Time) {
	r.Allocate(&j.Spec, 1)
	p.commitQuota(j)
	r.Machine.ReservedAt = now
	p.reservations = append(p.reservations, reservation{j, r.Machine})
}

// commitQuota notes that a team is to get what a task of the job takes.
func (p *Scheduler) commitQuota(j *pipeline.Job) {
	u := p.committed[j.Team]
	u.Add(&j.Spec, 1)
	p.committed[j.Team] = u
}

type reservation struct {
	job     *pipeline.Job
	machine *worker.Machine
}
