package scheduler

import (
	"math"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// Weights of a machine's score for a job. The remaining terms of the score, the shares
// of CPUs and GPUs left over, are at most 1 each.
const (
	fetchWeight         = 0.2   // per second of fetching the image
	heartbeatWaitWeight = 0.1   // per second until the machine's next heartbeat is due
	idleGPUsScore       = 100.0 // for a machine with GPUs and a job without, as the GPUs would be idle
	idleMachineScore    = 2.0   // for a machine without tasks, which could be released
)

// fetchTime returns how long the machine takes to fetch a job's image, in seconds.
func (c *Capacity) fetchTime(job *pipeline.Job) float64 {
	if c.Machine == nil || c.Machine.HasImage(job.Image) || c.MachineType.FetchRate <= 0 {
		return 0
	}
	return job.ImageGB / c.MachineType.FetchRate
}

// placementScore returns the score of a machine for a job. Lower is better.
func (s *Scheduler) placementScore(job *pipeline.Job, capacity *Capacity, now event.Time) float64 {
	score := 0.0
	if job.GPUs == 0 && capacity.MachineType.GPUs > 0 {
		score += idleGPUsScore
	}
	score += fetchWeight * capacity.fetchTime(job)
	// The start command is sent in the response to the machine's next heartbeat.
	sinceHeartbeat := now - capacity.Machine.LastHeartbeat()
	score += heartbeatWaitWeight * max(0, (s.cfg.HeartbeatInterval-sinceHeartbeat).Seconds())
	if !capacity.InUse {
		score += idleMachineScore
	}
	// Best fit: prefer the machine with the least free capacity after placement.
	cpusLeft := (capacity.FreeCPUs - job.CPUs) / capacity.MachineType.CPUs
	gpusLeft := capacity.FreeGPUs / math.Max(capacity.MachineType.GPUs, 1)
	score += cpusLeft + gpusLeft
	return score
}
