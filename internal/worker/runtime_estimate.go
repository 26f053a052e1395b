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

// runtimeRatios is how long the tasks of a class run, measured in their owners'
// estimates, by class. On some days estimates are mostly too high or mostly too low.
type runtimeRatios map[pipeline.ClassIndex]float64

// of returns the ratio of a class, 1 where none of its tasks has completed.
func (r runtimeRatios) of(class pipeline.ClassIndex) float64 {
	if ratio, known := r[class]; known {
		return ratio
	}
	return 1
}

// observe takes in the ratio of a task that has completed.
func (r runtimeRatios) observe(class pipeline.ClassIndex, ratio float64) {
	usual := r.of(class)
	r[class] = usual + ratioWeight*(ratio-usual)
}

// ExpectedRuntime is what a job's task usually takes, in seconds: its owner's estimate,
// corrected by what its class took lately.
func (r *Registry) ExpectedRuntime(job *pipeline.Job) float64 {
	return job.EstimatedRuntime * r.runtimes.of(job.Class)
}

// recordRuntime learns from a completion how long a class runs and whether a machine is
// slow.
func (r *Registry) recordRuntime(machine *Machine, assignment *pipeline.Assignment, now event.Time) {
	job := assignment.Job
	if job.EstimatedRuntime <= 0 || assignment.StartedAt() == 0 {
		return
	}
	took := (now - assignment.StartedAt()).Seconds()
	ratio := took / job.EstimatedRuntime
	if ratio > slowFactor*r.runtimes.of(job.Class) {
		r.recordSlowJob(machine, job)
	} else {
		clear(machine.slowJobs)
	}
	r.runtimes.observe(job.Class, ratio)
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
