package worker

import (
	"maps"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

const (
	// So many different jobs that fail on a machine and work elsewhere make the
	// machine faulty: with one, chance or the job's own fault is as likely.
	minFailedJobs = 2
	// Where nothing else is free the jobs that failed there can't show that they
	// work elsewhere, and a faulty machine, always empty, draws all of them. So many
	// that failed nowhere else, for so long without a task that completed, make the
	// machine faulty as well.
	minUnprovenJobs = 3
	unprovenTime    = 15 * time.Second
	// A task that runs on another machine for this long, and for so many times as
	// long as it ran on the one where it failed, works there.
	minWorkingTime    = 15 * time.Second
	workingTimeFactor = 2
	// A replica runs until its service is cancelled: after this long the job that
	// it belongs to is no more at fault.
	serviceWorkingTime = time.Minute
	faultScanInterval  = time.Second
)

// taskFailed takes in a task that ended with an error. Either the machine is
// faulty or the job is: the job is if it also fails elsewhere, the machine if
// several jobs fail there that work elsewhere. Until one of these is proven, the
// job tries another machine at once and the machine is used as before.
func (f *Registry) taskFailed(h *Machine, e *pipeline.Entry, now event.Time) {
	j := e.Job
	f.log.Info("task failed", "job", j.ID, "machine", h.Name)
	if h.failedJobs == nil {
		h.failedJobs = map[string]event.Time{}
	}
	if len(h.failedJobs) == 0 {
		h.failingSince = now
	}
	h.failedJobs[j.ID] = runTime(e, now)
	f.suspects[h.Index] = true
	failures := j.Failures()
	if f.Jobs.TaskFailed(e, now); j.Failures() > failures {
		f.log.Info("job backing off", "job", j.ID, "failures", j.Failures())
	}
}

// taskSucceeded takes in a task that completed: neither the machine nor the job
// is at fault.
func (f *Registry) taskSucceeded(h *Machine, j *pipeline.Job) {
	clear(h.failedJobs)
	delete(f.suspects, h.Index)
	f.Jobs.ClearFailures(j)
}

// runTime is for how long a task has been seen running.
func runTime(e *pipeline.Entry, now event.Time) event.Time {
	if e.StartedAt == 0 {
		return 0
	}
	return now - event.Time(e.StartedAt)
}

// scanFaults looks at the machines on which tasks have failed. Without any it
// costs nothing.
func (f *Registry) scanFaults(now event.Time) {
	if now-f.faultScanAt < faultScanInterval {
		return
	}
	f.faultScanAt = now
	for _, i := range slices.Sorted(maps.Keys(f.suspects)) {
		h := f.At(i)
		if h == nil || h.Faulty {
			delete(f.suspects, i)
			continue
		}
		if f.provenFailures(h, now) >= minFailedJobs || f.unprovenFailures(h, now) >= minUnprovenJobs {
			f.quarantine(h)
		}
	}
}

// provenFailures counts the jobs that failed on a machine though they work
// elsewhere.
func (f *Registry) provenFailures(h *Machine, now event.Time) (count int) {
	for id, ran := range h.failedJobs {
		j := f.Jobs.Job(id)
		if j != nil && !j.AtFault() && f.worksElsewhere(j, h, ran, now) {
			count++
		}
	}
	return count
}

// unprovenFailures counts the jobs that failed on a machine and nowhere else, once
// the first failure is long enough ago.
func (f *Registry) unprovenFailures(h *Machine, now event.Time) (count int) {
	if now-h.failingSince < unprovenTime {
		return 0
	}
	for id := range h.failedJobs {
		if j := f.Jobs.Job(id); j != nil && j.FailedOnlyOn(h.Index) {
			count++
		}
	}
	return count
}

// worksElsewhere tells whether tasks of a job have completed, or have been running
// on other machines for longer than one ran on this machine before it failed.
func (f *Registry) worksElsewhere(j *pipeline.Job, h *Machine, ran, now event.Time) bool {
	if j.DoneCount() > 0 {
		return true
	}
	needed := max(minWorkingTime, workingTimeFactor*ran)
	works := false
	j.Entries(func(e *pipeline.Entry) {
		works = works || (e.Machine != h.Index && e.Phase == pipeline.RunningTask && runTime(e, now) >= needed)
	})
	return works
}

// quarantine takes a faulty machine out of use: what runs there moves at once, and
// the machine is released when it is empty.
func (f *Registry) quarantine(h *Machine) {
	f.log.Info("machine is faulty", "machine", h.Name, "failed_jobs", len(h.failedJobs))
	h.Faulty = true
	h.Draining = true
	for _, id := range slices.Sorted(maps.Keys(h.failedJobs)) {
		if j := f.Jobs.Job(id); j != nil && j.FailedOnlyOn(h.Index) {
			f.Jobs.ClearFailures(j)
		}
	}
	for _, e := range f.sorted(h) {
		f.Evict(e, e.Job.CheckpointDuration+1)
	}
}

// checkService ends the probing of a service whose replica goes on running.
func (f *Registry) checkService(j *pipeline.Job, now event.Time) {
	if !j.AtFault() || j.Shape != pipeline.Daemon {
		return
	}
	works := false
	j.Entries(func(e *pipeline.Entry) {
		works = works || (e.Phase == pipeline.RunningTask && runTime(e, now) >= serviceWorkingTime)
	})
	if works {
		f.Jobs.ClearFailures(j)
	}
}
