package scheduler

import (
	"math"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

const (
	fetchWeight      = 0.2
	reportWaitWeight = 0.1
)

// FetchTime is how long a machine fetches a job's image, in seconds.
func (r *Capacity) FetchTime(j *pipeline.Job) float64 {
	if r.Machine == nil || r.Machine.Images[j.Image] || r.MachineType.FetchRate <= 0 {
		return 0
	}
	return j.ImageGB / r.MachineType.FetchRate
}

// score: less is better.
func (p *Scheduler) score(j *pipeline.Job, r *Capacity, now event.Time) float64 {
	s := 0.0
	if j.GPUs == 0 && r.MachineType.GPUs > 0 {
		s += 100 // GPUs would lie idle
	}
	s += fetchWeight * r.FetchTime(j)
	// The start travels in the answer to the machine's next report.
	s += reportWaitWeight * max(0, (p.ReportInterval-(now-r.Machine.LastReport)).Seconds())
	if !r.Busy {
		s += 2
	}
	// Best fit: the least left over.
	s += (r.CPUs-j.CPUs)/r.MachineType.CPUs + r.GPUs/math.Max(r.MachineType.GPUs, 1)
	return s
}
