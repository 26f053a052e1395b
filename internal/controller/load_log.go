package controller

import (
	"iter"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/scheduler"
)

// taskCounts are the numbers of tasks of unfinished jobs.
type taskCounts struct {
	jobsUnplaced  int // jobs that have unplaced tasks
	tasksUnplaced int
	notPersisted  int // placed, but the assignment is not persisted yet
	evicting      int
	byPhase       [pipeline.TaskExited + 1]int // placed tasks by phase
}

// machineCounts are the numbers of machines that the last scheduling round could use.
type machineCounts struct {
	usable   int
	idle     int
	freeGPUs float64
}

// countTasks counts the tasks of the unfinished jobs among the given jobs.
func countTasks(jobs iter.Seq[*pipeline.Job]) taskCounts {
	var load taskCounts
	for job := range jobs {
		if job.TerminalPhase != pipeline.Queued {
			continue
		}
		if unplaced := job.UnassignedCount(); unplaced > 0 {
			load.jobsUnplaced++
			load.tasksUnplaced += unplaced
		}
		for assignment := range job.Assignments() {
			load.count(assignment)
		}
	}
	return load
}

// count adds a placed task to the counts.
func (l *taskCounts) count(assignment *pipeline.Assignment) {
	l.byPhase[assignment.Phase()]++
	if assignment.Evicting() {
		l.evicting++
	}
	if !assignment.Persisted() {
		l.notPersisted++
	}
}

// countMachines counts the machines to which the given capacities belong.
func countMachines(capacities []*scheduler.Capacity) machineCounts {
	var load machineCounts
	for _, capacity := range capacities {
		load.usable++
		if !capacity.InUse {
			load.idle++
		}
		load.freeGPUs += capacity.FreeGPUs
	}
	return load
}

// logStats periodically logs the numbers of unplaced and placed tasks, the machines, and
// the load of the scheduler and the state service.
func (c *Controller) logStats(now event.Time) {
	if !c.leadership.schedule.statsLog.startIfDue(now) {
		return
	}
	tasks := countTasks(c.jobs.AllJobs())
	machines := countMachines(c.leadership.lastRound.Capacities)
	stateDemand := c.store.Demand(now)
	c.log.Info("load",
		"jobs_unplaced", tasks.jobsUnplaced,
		"tasks_unplaced", tasks.tasksUnplaced,
		"tasks_not_durable", tasks.notPersisted,
		"tasks_starting", tasks.byPhase[pipeline.TaskUnseen],
		"tasks_pulling", tasks.byPhase[pipeline.TaskPulling],
		"tasks_waiting_for_gang", tasks.byPhase[pipeline.TaskWaitingForGang],
		"tasks_running", tasks.byPhase[pipeline.TaskRunning],
		"tasks_evicting", tasks.evicting,
		"tasks_reserved", c.scheduler.ReservationCount(),
		"machines_usable", machines.usable,
		"machines_idle", machines.idle,
		"gpus_free", machines.freeGPUs,
		"rounds_interrupted", c.scheduler.ConsumeInterruptedRounds(),
		"run_records_compact", c.jobs.CompactCount(),
		"writes_per_second", int(stateDemand.Writes))
}
