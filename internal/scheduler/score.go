package scheduler

import (
	"math"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// Parts of a machine's score for a job. A part of one or less compares how well
// tasks fill the machine.
const (
	fetchWeight      = 0.2   // per second of fetching the image
	reportWaitWeight = 0.1   // per second until the machine's next report is due
	idleGPUsScore    = 100.0 // a machine with GPUs for a job without: they would be idle
	emptyScore       = 2.0   // a machine without tasks, which could be released
)

// FetchTime is how long a machine fetches a job's image, in seconds.
func (c *Capacity) FetchTime(job *pipeline.Job) float64 {
	if c.Machine == nil || c.Machine.HasImage(job.Image) || c.MachineType.FetchRate <= 0 {
		return 0
	}
	return job.ImageGB / c.MachineType.FetchRate
}

// score tells how suitable a machine is for a job: less is better.
func (s *Scheduler) score(job *pipeline.Job, capacity *Capacity, now event.Time) float64 {
	score := 0.0
	if job.GPUs == 0 && capacity.MachineType.GPUs > 0 {
		score += idleGPUsScore
	}
	score += fetchWeight * capacity.FetchTime(job)
	// The start travels in the answer to the machine's next report.
	sinceReport := now - capacity.Machine.LastHeartbeat()
	score += reportWaitWeight * max(0, (s.cfg.HeartbeatInterval-sinceReport).Seconds())
	if !capacity.InUse {
		score += emptyScore
	}
	// Best fit: the least left over.
	cpusLeft := (capacity.FreeCPUs - job.CPUs) / capacity.MachineType.CPUs
	gpusLeft := capacity.FreeGPUs / math.Max(capacity.MachineType.GPUs, 1)
	score += cpusLeft + gpusLeft
	return score
}
