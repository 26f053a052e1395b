package worker

import (
	"lugward/internal/event"
	"lugward/internal/pipeline"
)

const (
	// A machine on which this many jobs in a row took slowFactor times what their
	// class takes gets no more tasks. One job says little: estimates are often
	// wrong by half.
	maxSlowJobs = 3
	slowFactor  = 1.8
	// ratioWeight is the weight of a new completion in a class's ratio of runtime to
	// estimate.
	ratioWeight = 0.1
)

// recordRuntime learns from a completion how long a class runs, measured in its
// owners' estimates, and whether a machine is slow.
func (r *Registry) recordRuntime(machine *Machine, assignment *pipeline.Assignment, now event.Time) {
	job := assignment.Job
	if job.EstimatedRuntime <= 0 || assignment.StartedAt() == 0 {
		return
	}
	took := (now - assignment.StartedAt()).Seconds()
	ratio := took / job.EstimatedRuntime
	usual, known := r.runtimeRatio[job.Class]
	if !known {
		usual = 1
	}
	if ratio > slowFactor*usual {
		r.recordSlowJob(machine, job)
	} else {
		clear(machine.slowJobs)
	}
	r.runtimeRatio[job.Class] = usual + ratioWeight*(ratio-usual)
}

// recordSlowJob counts a job that took far longer on a machine than its class does.
func (r *Registry) recordSlowJob(machine *Machine, job *pipeline.Job) {
	if machine.slowJobs == nil {
		machine.slowJobs = map[string]bool{}
	}
	machine.slowJobs[job.ID] = true
	if len(machine.slowJobs) == maxSlowJobs {
		r.log.Info("machine excluded as slow", "machine", machine.Name)
	}
}

// ExpectedRuntime is what a job's task usually takes, in seconds: its owner's
// estimate, corrected by what its class took lately. On some days estimates are
// mostly too high or mostly too low.
func (r *Registry) ExpectedRuntime(job *pipeline.Job) float64 {
	ratio, known := r.runtimeRatio[job.Class]
	if !known {
		return job.EstimatedRuntime
	}
	return job.EstimatedRuntime * ratio
}
