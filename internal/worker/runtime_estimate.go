package worker

import (
	"lugward/internal/event"
	"lugward/internal/pipeline"
)

const (
	// maxSlowJobs is the number of consecutive slow jobs after which a machine is
	// assigned no more tasks. A job is slow if its runtime exceeds slowFactor times the
	// usual runtime of its class. A single job is not sufficient, because estimates are
	// often wrong by half.
	maxSlowJobs = 3
	slowFactor  = 1.8
	// ratioWeight is the weight of a new completion in the moving average of a class's
	// ratio of runtime to estimate.
	ratioWeight = 0.1
)

// runtimeRatios holds the ratio of the measured to the estimated runtime of tasks by class.
// It corrects the users' estimates, which are mostly too high or mostly too low on some
// days.
type runtimeRatios map[pipeline.ClassIndex]float64

// get returns the ratio of a class, or 1 if none of its tasks has completed.
func (r runtimeRatios) get(class pipeline.ClassIndex) float64 {
	if ratio, known := r[class]; known {
		return ratio
	}
	return 1
}

// record records the ratio of a completed task in the moving average of its class.
func (r runtimeRatios) record(class pipeline.ClassIndex, ratio float64) {
	usual := r.get(class)
	r[class] = usual + ratioWeight*(ratio-usual)
}

// ExpectedRuntime returns the expected runtime of a job's tasks in seconds: the user's
// estimate, corrected by the runtime ratio of recent tasks of its class.
func (r *Registry) ExpectedRuntime(job *pipeline.Job) float64 {
	return job.EstimatedRuntime * r.runtimes.get(job.Class)
}

// recordRuntime records the runtime of a completed task for its class, and whether the
// machine was slow.
func (r *Registry) recordRuntime(machine *Machine, assignment *pipeline.Assignment, now event.Time) {
	job := assignment.Job
	if job.EstimatedRuntime <= 0 || assignment.StartedAt() == 0 {
		return
	}
	runtime := (now - assignment.StartedAt()).Seconds()
	ratio := runtime / job.EstimatedRuntime
	if ratio > slowFactor*r.runtimes.get(job.Class) {
		r.recordSlowJob(machine, job)
	} else {
		clear(machine.slowJobs)
	}
	r.runtimes.record(job.Class, ratio)
}

// recordSlowJob records a job that ran far longer on a machine than is usual for its class.
func (r *Registry) recordSlowJob(machine *Machine, job *pipeline.Job) {
	if machine.slowJobs == nil {
		machine.slowJobs = map[string]bool{}
	}
	machine.slowJobs[job.ID] = true
	if len(machine.slowJobs) == maxSlowJobs {
		r.log.Info("machine excluded from scheduling: consecutive jobs were slow", "machine", machine.Name)
	}
}
