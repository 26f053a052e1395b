package worker

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// recordRuntime learns from a completion how long a class runs, measured in its
// owners' estimates, and whether a machine is slow.
func (f *Registry) recordRuntime(h *Machine, e *pipeline.Entry, now event.Time) {
	j := e.Job
	if j.EstimatedRuntime <= 0 || e.StartedAt == 0 {
		return
	}
	took := time.Duration(int64(now)-e.StartedAt).Seconds() / j.EstimatedRuntime
	usual, known := f.runtimeRatio[j.Class]
	if !known {
		usual = 1
	}
	if took > slowFactor*usual {
		if h.SlowJobs == nil {
			h.SlowJobs = map[string]bool{}
		}
		if h.SlowJobs[j.ID] = true; len(h.SlowJobs) == maxSlowJobs {
			f.log.Info("machine is slow", "machine", h.Name)
		}
	} else {
		clear(h.SlowJobs)
	}
	f.runtimeRatio[j.Class] = usual + ratioWeight*(took-usual)
}

// ExpectedRuntime is what a job's task usually takes, in seconds: its owner's estimate,
// corrected by what its class took lately. On some days estimates are mostly
// too high or mostly too low.
func (f *Registry) ExpectedRuntime(j *pipeline.Job) float64 {
	if r, ok := f.runtimeRatio[j.Class]; ok {
		return j.EstimatedRuntime * r
	}
	return j.EstimatedRuntime
}
